"""Load sharing among front ends: which front end probes which node, how reports spread and age, and how they are used.

The last test runs several processes, with a front end that is killed and one that sends false loads.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio
from helpers import ControllerHarness
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import run_async_test
from test_takeover_processes import TakeoverFronts
from test_peers import KEY, fronts

from oakcroft.decisions.fleet.load_sharing import (
    BACKUP_PROBE_INTERVALS,
    GOSSIP_FANOUT,
    MAX_CONCURRENT_PROBES,
    MAX_REPORT_AGE,
    MAX_REPORTS_PER_MESSAGE,
    LoadReport,
    LoadSharing,
    process_id,
)
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.sealing import KeyRing

PROBE_INTERVAL = 2500 * MS
NAMES = [f"f{i}" for i in range(9)]
NODES = {f"n{i}": 1_000 + i for i in range(30)}


def load_sharing(name: str = "f0", present: list[str] = NAMES, nodes: dict[str, int] = NODES) -> LoadSharing:
    """Returns the load sharing of one front end that knows the nodes and the front ends present."""
    sharing = LoadSharing(name, PROBE_INTERVAL, Random(name))
    sharing.update_nodes(nodes)
    sharing.update_present_fronts(present)
    return sharing


def probed_nodes(sharing: LoadSharing, now: int) -> set[str]:
    """Returns all nodes that a front end probes now if no probe is answered."""
    due, probed = set(sharing.due_probes(now)), set[str]()
    while due:
        probed |= due
        for node in due:
            sharing.probe_finished(node, None, True, now)
        due = set(sharing.due_probes(now))
    return probed


def test_each_node_is_probed_by_one_front_end_and_few_change_when_one_leaves() -> None:
    """Guards against nodes that are probed twice or not at all, and against a reshuffle when a front end leaves."""
    before = {name: probed_nodes(load_sharing(name), SECOND) for name in NAMES}
    assert set().union(*before.values()) == set(NODES)
    assert sum(len(nodes) for nodes in before.values()) == len(NODES)
    remaining = [name for name in NAMES if name != "f4"]
    after = {name: probed_nodes(load_sharing(name, remaining), SECOND) for name in remaining}
    assert set().union(*after.values()) == set(NODES)
    assert all(before[name] <= after[name] for name in remaining)  # only the nodes of f4 have moved


def test_a_second_front_end_probes_when_reports_are_missing() -> None:
    """A node without reports for several intervals is probed by a backup as well."""
    late = 1 + BACKUP_PROBE_INTERVALS * PROBE_INTERVAL
    probed = [probed_nodes(load_sharing(name), late) for name in NAMES]
    assert sum(len(nodes) for nodes in probed) == 2 * len(NODES)


def test_loads_seen_in_traffic_need_no_probe_and_are_reported_once_per_interval() -> None:
    """Guards against probes of nodes with own traffic, and against a report for each load seen there."""
    sharing = load_sharing(present=["f0", "f1"])
    (node, *_) = sorted(probed_nodes(sharing, 0))
    sharing = load_sharing(present=["f0", "f1"])
    sharing.due_probes(0)
    sharing.record_own_load(node, 0.5, 0, 10 * SECOND)
    assert node not in probed_nodes(sharing, 10 * SECOND)
    ((receiver, reports),) = sharing.due_messages(10 * SECOND)
    assert receiver == "f1"
    assert [(r.process_id, r.load) for r in reports] == [(process_id(node, NODES[node]), 0.5)]
    for i in range(5):  # loads seen before the interval is over are not reported
        sharing.record_own_load(node, 0.6, 0, 10 * SECOND + (i + 1) * 100 * MS)
    sent = [sharing.due_messages(11 * SECOND + i * SECOND) for i in range(5)]
    assert sum(bool(messages) for messages in sent) <= 2
    sharing.record_own_load(node, 0.7, 0, 20 * SECOND)
    assert sharing.due_messages(20 * SECOND)[0][1][0].load == 0.7


def test_a_report_is_passed_on_a_few_times_and_ages() -> None:
    """Guards against reports that circulate without end or look younger than they are."""
    sharing = load_sharing("f3")
    (node,) = list(NODES)[:1]
    assert sharing.receive_reports(
        [LoadReport(process_id(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND
    ) == [(node, 0.8, 305 * MS)]
    assert (
        sharing.receive_reports([LoadReport(process_id(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND) == []
    )  # known already
    rounds, now, ages = 0, 10 * SECOND, []
    while messages := sharing.due_messages(now):
        assert len(messages) == GOSSIP_FANOUT
        assert len({receiver for receiver, _ in messages}) == GOSSIP_FANOUT
        assert "f3" not in {receiver for receiver, _ in messages}
        ages.append(messages[0][1][0].age)
        rounds, now = rounds + 1, now + SECOND
    assert 2 <= rounds <= 3
    assert ages == [305 * MS + i * SECOND for i in range(rounds)]


def test_loads_of_earlier_processes_and_invalid_loads_are_ignored() -> None:
    """Guards against the load of a process that was replaced, and against values that cannot be loads."""
    sharing, node = load_sharing(), "n5"
    old_process = process_id(node, NODES[node])
    sharing.record_own_load(node, 0.9, 0, SECOND)
    sharing.update_nodes({**NODES, node: 5_000})
    assert sharing.nodes[node].latest is None
    assert sharing.receive_reports([LoadReport(old_process, 0.9, 0)], 2 * SECOND) == []
    new_process = process_id(node, 5_000)
    for load, age in ((float("nan"), 0), (-0.1, 0), (1e9, 0), (0.5, MAX_REPORT_AGE + 1), (0.5, -1)):
        assert sharing.receive_reports([LoadReport(new_process, load, age)], 2 * SECOND) == []
    assert sharing.reports_discarded == 6
    assert sharing.receive_reports([LoadReport(new_process, 0.5, 0)], 2 * SECOND)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 80))
def test_probes_reports_and_tables_are_bounded(seed: int, node_count: int) -> None:
    """Guards against unbounded probes, messages and tables when nodes and front ends come and go."""
    rng = Random(seed)
    nodes = {f"n{i}": i for i in range(node_count)}
    sharing, now, pending = load_sharing(nodes=nodes), 0, set[str]()
    for _ in range(80):
        now += rng.randrange(SECOND)
        if rng.random() < 0.2:
            sharing.update_nodes({n: started for n, started in nodes.items() if rng.random() < 0.8})
            pending &= set(sharing.nodes)
        if rng.random() < 0.2:
            sharing.update_present_fronts(n for n in NAMES if rng.random() < 0.7)
        started_probes = sharing.due_probes(now)
        assert not pending & set(started_probes)
        pending |= set(started_probes)
        assert len(pending) <= MAX_CONCURRENT_PROBES
        assert (
            sharing.probes_in_flight
            == sum(p.is_being_probed for p in sharing.nodes.values())
            <= MAX_CONCURRENT_PROBES
        )
        for node in [n for n in pending if rng.random() < 0.5]:
            pending.discard(node)
            sharing.probe_finished(node, rng.choice([None, 0.3]), rng.random() < 0.9, now)
        reports = [
            LoadReport(process_id(n, started), rng.random(), rng.randrange(MAX_REPORT_AGE))
            for n, started in nodes.items()
        ]
        sharing.receive_reports(reports, now)
        for receiver, message in sharing.due_messages(now):
            assert receiver in sharing.present_fronts
            assert 0 < len(message) <= MAX_REPORTS_PER_MESSAGE
        assert len(sharing.by_process_id) == len(sharing.nodes)


def test_load_reports_survive_encoding_and_decoding() -> None:
    """Messages stay within a datagram, excess reports are left out, and foreign or damaged ones are rejected."""
    codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
    reports = [
        LoadReport(process_id(f"n{i}", i), i / 8, i * 100 * MS) for i in range(MAX_REPORTS_PER_MESSAGE)
    ]
    datagram = codec.encode("f" * 64, 1 << 55, reports)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    sender, received = codec.decode(codec.ring.open(datagram, 0) or b"")
    assert (sender, received) == ("f" * 64, reports)
    assert (
        codec.decode(codec.ring.open(codec.encode("f0", 1, [*reports, reports[0]]), 0) or b"")[1] == reports
    )
    other = LoadCodec("another", codec.ring)
    for opened in (b"", b"C", b"C\xc1", datagram, other.ring.open(other.encode("f0", 1, reports), 0) or b""):
        with pytest.raises(MessageError):
            codec.decode(opened)


def test_the_controller_uses_reports_of_others_only_without_recent_own_traffic() -> None:
    """Guards against reports of other front ends that replace a more recent load seen in own traffic."""
    harness = ControllerHarness()
    controller, node, now = harness.controller, harness.nodes[0], harness.now
    initial_load = node.estimated_load
    controller.on_peer_load(node, 0.95, SECOND, now)
    assert (node.load_known, node.reported_load, node.load_from_peer) == (True, 0.95, True)
    assert node.estimated_load != initial_load
    controller.on_peer_load(node, 0.2, 2 * SECOND, now)  # an older report
    assert node.reported_load == 0.95
    # The load seen in own traffic replaces the report, although it is slightly older.
    playback = harness.request()
    (node,) = harness.sent_nodes()
    controller.on_peer_load(node, 0.95, 0, now)
    controller.on_try_ended(playback, Outcome.FULL, False, 0.4, None, None, now)
    assert not node.load_from_peer
    own_load = node.reported_load
    controller.on_peer_load(node, 0.05, 0, now + SECOND)  # own traffic counts while it is recent
    assert node.reported_load == own_load
    controller.on_peer_load(node, 0.05, 0, now + 30 * SECOND)
    assert (node.reported_load, node.load_from_peer) == (0.05, True)


class LoadSharingFronts(TakeoverFronts):
    """Front ends that share the loads of nodes."""

    takeover_form = "(probing (every 500ms))"

    async def wait_for_loads(self, name: str, timeout_seconds: float = 10) -> None:
        """Waits until a front end has recent loads of both nodes."""
        probing = dict[str, Any]()
        with trio.move_on_after(timeout_seconds):
            while True:
                probing = dict((await self.status(name)).get("probing", {}))
                if probing.get("known") == 2 and (probing["age_ms"] or [9e9, 9e9])[1] < 3_000:
                    return
                await trio.sleep(0.05)
        raise AssertionError(probing)


def test_processes_know_all_loads_with_one_probing_front_end_per_node(tmp_path: Path) -> None:
    """Guards against loads that are lost with the front end that probes, and against false reports of one front end."""

    async def test() -> None:
        async with fronts(tmp_path, 5, LoadSharingFronts) as rig:
            assert isinstance(rig, LoadSharingFronts)
            for name in rig.names:
                await rig.wait_for_loads(name)
            probes = rig.facts("load asked")
            first_at, last_at = probes[0]["t"], probes[-1]["t"]
            await trio.sleep(4)  # the measured time
            later = [fact for fact in rig.facts("load asked") if fact["t"] > last_at]
            span = (later[-1]["t"] - last_at) / 1e9
            assert first_at <= last_at
            # A node gets about two probes a second; if each of the five front ends probed it, it would get ten.
            assert len(later) / 2 / span < 4, (len(later), span)
            probing = {fact["front"].split("-")[1] for fact in later}
            assert 1 <= len(probing) <= 2 + 1  # one for each of two nodes, and at times the backup of one

            # A front end that probes is killed: the others get the loads from another one.
            killed = f"f{sorted(probing)[0]}"
            rig.signal(killed, signal.SIGKILL)
            await rig.wait_for_states([n for n in rig.names if n != killed], {killed: "gone"}, 12)
            for name in rig.names:
                if name != killed:
                    await rig.wait_for_loads(name)

            # A sender with the key reports all nodes as full; front ends with playbacks there use their own traffic.
            receiver = next(n for n in rig.names if n != killed)
            await rig.request_until_playing(receiver, "/whep/open/t1", "before")
            codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
            started_at = {n.name: round(n.machine.started_at) for n in rig.nodes.nodes.values()}
            false_reports = [LoadReport(process_id(n, started), 40.0, 0) for n, started in started_at.items()]
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
                for _ in range(20):
                    await sender.sendto(
                        codec.encode(killed, 1, false_reports), rig.network.front_addresses[receiver]
                    )
                    await trio.sleep(0.01)
                await rig.request_until_playing(receiver, "/whep/open/t1", "beside")
            rig.assert_rules_hold()

    run_async_test(test, 90)
