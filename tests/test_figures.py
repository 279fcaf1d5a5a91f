"""Load sharing among fronts: who probes which node, what is passed on and how old it is, and what the module makes of it.

The last test runs several processes, with a front that is killed and one that sends false loads.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio
from hypothesis import given, settings, strategies as st
from helpers import ControllerHarness
from rig import run_async_test
from test_takeover_processes import TakeoverFronts
from test_peers import KEY, fronts

from oakcroft.decisions.fleet.load_sharing import (
    MAX_CONCURRENT_PROBES,
    GOSSIP_FANOUT,
    MAX_REPORT_AGE,
    MAX_REPORTS_PER_MESSAGE,
    BACKUP_PROBE_INTERVALS,
    LoadSharing,
    LoadReport,
    process_id,
)
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.sealing import KeyRing

EVERY = 2500 * MS
NAMES = [f"f{i}" for i in range(9)]
NODES = {f"n{i}": 1_000 + i for i in range(30)}


def front(name: str = "f0", present: list[str] = NAMES, nodes: dict[str, int] = NODES) -> LoadSharing:
    figures = LoadSharing(name, EVERY, Random(name))
    figures.update_nodes(nodes)
    figures.update_present_fronts(present)
    return figures


def due(figures: LoadSharing, now: int) -> set[str]:
    """Returns all nodes that a front would probe now where no probe is answered."""
    some, asked = set(figures.due_probes(now)), set[str]()
    while some:
        asked |= some
        for node in some:
            figures.probe_finished(node, None, True, now)
        some = set(figures.due_probes(now))
    return asked


def test_each_node_is_probed_by_one_front_and_few_move_when_one_goes() -> None:
    first = {n: due(front(n), SECOND) for n in NAMES}
    assert set().union(*first.values()) == set(NODES)
    assert sum(len(s) for s in first.values()) == len(NODES)
    rest = [n for n in NAMES if n != "f4"]
    then = {n: due(front(n, rest), SECOND) for n in rest}
    assert set().union(*then.values()) == set(NODES)
    assert all(first[n] <= then[n] for n in rest)  # only the nodes of f4 have moved to other fronts


def test_the_second_front_probes_when_reports_are_missing() -> None:
    late = 1 + BACKUP_PROBE_INTERVALS * EVERY
    asked = [due(front(n), late) for n in NAMES]
    assert sum(len(s) for s in asked) == 2 * len(NODES)


def test_loads_seen_in_traffic_need_no_probe_and_are_reported_at_the_interval() -> None:
    figures = front(present=["f0", "f1"])
    (one, *_) = sorted(due(figures, 0))
    figures = front(present=["f0", "f1"])
    figures.due_probes(0)
    figures.record_own_load(one, 0.5, 0, 10 * SECOND)
    assert one not in due(figures, 10 * SECOND)
    ((to, rows),) = figures.due_messages(10 * SECOND)
    assert (to, [(r.process_id, r.load) for r in rows]) == ("f1", [(process_id(one, NODES[one]), 0.5)])
    for i in range(5):  # loads seen before the interval is over are not reported
        figures.record_own_load(one, 0.6, 0, 10 * SECOND + (i + 1) * 100 * MS)
    told = [figures.due_messages(11 * SECOND + i * SECOND) for i in range(5)]
    assert sum(bool(t) for t in told) <= 2
    figures.record_own_load(one, 0.7, 0, 20 * SECOND)
    assert figures.due_messages(20 * SECOND)[0][1][0].load == 0.7


def test_a_report_is_passed_on_a_few_times_and_ages() -> None:
    figures = front("f3")
    (node,) = list(NODES)[:1]
    assert figures.receive_reports(
        [LoadReport(process_id(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND
    ) == [(node, 0.8, 305 * MS)]
    assert (
        figures.receive_reports([LoadReport(process_id(node, NODES[node]), 0.8, 300 * MS)], 10 * SECOND) == []
    )  # known already
    rounds, now, ages = 0, 10 * SECOND, []
    while tells := figures.due_messages(now):
        assert len(tells) == GOSSIP_FANOUT
        assert len({to for to, _ in tells}) == GOSSIP_FANOUT
        assert "f3" not in {to for to, _ in tells}
        ages.append(tells[0][1][0].age)
        rounds, now = rounds + 1, now + SECOND
    assert 2 <= rounds <= 3
    assert ages == [305 * MS + i * SECOND for i in range(rounds)]


def test_loads_of_earlier_processes_and_invalid_loads_are_ignored() -> None:
    figures, node = front(), "n5"
    old = process_id(node, NODES[node])
    figures.record_own_load(node, 0.9, 0, SECOND)
    figures.update_nodes({**NODES, node: 5_000})
    assert figures.nodes[node].latest is None
    assert figures.receive_reports([LoadReport(old, 0.9, 0)], 2 * SECOND) == []
    new = process_id(node, 5_000)
    for load, age in ((float("nan"), 0), (-0.1, 0), (1e9, 0), (0.5, MAX_REPORT_AGE + 1), (0.5, -1)):
        assert figures.receive_reports([LoadReport(new, load, age)], 2 * SECOND) == []
    assert figures.reports_discarded == 6
    assert figures.receive_reports([LoadReport(new, 0.5, 0)], 2 * SECOND)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(1, 80))
def test_probes_reports_and_tables_are_bounded(seed: int, nodes: int) -> None:
    rng = Random(seed)
    list_ = {f"n{i}": i for i in range(nodes)}
    figures, now, out = front(nodes=list_), 0, set[str]()
    for _ in range(80):
        now += rng.randrange(SECOND)
        if rng.random() < 0.2:
            figures.update_nodes({n: s for n, s in list_.items() if rng.random() < 0.8})
            out &= set(figures.nodes)
        if rng.random() < 0.2:
            figures.update_present_fronts(n for n in NAMES if rng.random() < 0.7)
        new = figures.due_probes(now)
        assert not out & set(new)
        out |= set(new)
        assert len(out) <= MAX_CONCURRENT_PROBES
        assert (
            figures.probes_in_flight
            == sum(p.is_being_probed for p in figures.nodes.values())
            <= MAX_CONCURRENT_PROBES
        )
        for node in [n for n in out if rng.random() < 0.5]:
            out.discard(node)
            figures.probe_finished(node, rng.choice([None, 0.3]), rng.random() < 0.9, now)
        rows = [
            LoadReport(process_id(n, s), rng.random(), rng.randrange(MAX_REPORT_AGE))
            for n, s in list_.items()
        ]
        figures.receive_reports(rows, now)
        for to, some in figures.due_messages(now):
            assert to in figures.present_fronts
            assert 0 < len(some) <= MAX_REPORTS_PER_MESSAGE
        assert len(figures.by_process_id) == len(figures.nodes)


def test_load_reports_survive_encoding_and_decoding() -> None:
    codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
    rows = [LoadReport(process_id(f"n{i}", i), i / 8, i * 100 * MS) for i in range(MAX_REPORTS_PER_MESSAGE)]
    octets = codec.encode("f" * 64, 1 << 55, rows)
    assert len(octets) <= MAX_DATAGRAM_BYTES
    sender, taken = codec.decode(codec.ring.open(octets, 0) or b"")
    assert (sender, taken) == ("f" * 64, rows)
    assert codec.decode(codec.ring.open(codec.encode("f0", 1, [*rows, rows[0]]), 0) or b"")[1] == rows
    other = LoadCodec("another", codec.ring)
    for opened in (b"", b"C", b"C\xc1", octets, other.ring.open(other.encode("f0", 1, rows), 0) or b""):
        with pytest.raises(MessageError):
            codec.decode(opened)


def test_the_module_uses_reports_only_without_recent_own_traffic() -> None:
    fleet = ControllerHarness()
    module, node, now = fleet.controller, fleet.nodes[0], fleet.now
    usual = node.estimated_load
    module.on_peer_load(node, 0.95, SECOND, now)
    assert (node.load_known, node.reported_load, node.load_from_peer) == (True, 0.95, True)
    assert node.estimated_load != usual
    module.on_peer_load(node, 0.2, 2 * SECOND, now)  # an older report
    assert node.reported_load == 0.95
    # The front's own traffic replaces the report, although it is slightly older.
    pb = fleet.request()
    (node,) = fleet.sent_nodes()
    module.on_peer_load(node, 0.95, 0, now)
    module.on_try_ended(pb, Outcome.FULL, False, 0.4, None, None, now)
    assert not node.load_from_peer
    own = node.reported_load
    module.on_peer_load(node, 0.05, 0, now + SECOND)  # own traffic counts while it is recent
    assert node.reported_load == own
    module.on_peer_load(node, 0.05, 0, now + 30 * SECOND)
    assert (node.reported_load, node.load_from_peer) == (0.05, True)


class Probers(TakeoverFronts):
    """Fronts that share the loads of nodes."""

    takeover_form = "(probing (every 500ms))"

    async def knows(self, name: str, within: float = 10, **more: Any) -> dict[str, Any]:
        """Waits until a front knows the loads of both nodes."""
        said = dict[str, Any]()
        with trio.move_on_after(within):
            while True:
                said = dict((await self.status(name)).get("probing", {}))
                if said.get("known") == 2 and (said["age_ms"] or [9e9, 9e9])[1] < 3_000:
                    return said
                await trio.sleep(0.05)
        raise AssertionError(said)


def test_processes_know_all_loads_with_one_prober_a_node(tmp_path: Path) -> None:
    async def whole() -> None:
        async with fronts(tmp_path, 5, Probers) as rig:
            assert isinstance(rig, Probers)
            for name in rig.names:
                await rig.knows(name)
            some = rig.facts("load asked")
            began, last = some[0]["t"], some[-1]["t"]
            await trio.sleep(4)  # the measured time
            later = [f for f in rig.facts("load asked") if f["t"] > last]
            span = (later[-1]["t"] - last) / 1e9
            assert began <= last
            # A node gets about two probes a second; with each of the five fronts probing it would get ten.
            assert len(later) / 2 / span < 4, (len(later), span)
            askers = {f["front"].split("-")[1] for f in later}
            assert 1 <= len(askers) <= 2 + 1  # one for each of two nodes, and at times the backup of one

            # A front that probes is killed: the others get the loads from another one.
            first = f"f{sorted(askers)[0]}"
            rig.signal(first, signal.SIGKILL)
            await rig.wait_for_states([n for n in rig.names if n != first], {first: "gone"}, 12)
            for name in rig.names:
                if name != first:
                    await rig.knows(name)

            # A front with the key reports all nodes as full; fronts with playbacks there go by their own traffic.
            honest = next(n for n in rig.names if n != first)
            await rig.request_until_playing(honest, "/whep/open/t1", "before")
            codec = LoadCodec("oakcroft", KeyRing((bytes.fromhex(KEY),)))
            place = {n.name: round(n.machine.started_at) for n in rig.nodes.nodes.values()}
            lies = [LoadReport(process_id(n, at), 40.0, 0) for n, at in place.items()]
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as out:
                for _ in range(20):
                    await out.sendto(codec.encode(first, 1, lies), rig.network.front_addresses[honest])
                    await trio.sleep(0.01)
                await rig.request_until_playing(honest, "/whep/open/t1", "beside")
            rig.assert_rules_hold()

    run_async_test(whole, 90)
