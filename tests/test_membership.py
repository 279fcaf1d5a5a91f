"""Flat membership without sockets: precedence of updates, all message orders of three members, and whole fleets.

Fleets run on a simulated network with seeded faults.
"""

from __future__ import annotations

import copy
import io
from collections.abc import Callable
from dataclasses import replace
from itertools import permutations
from random import Random
from typing import Any, BinaryIO, cast

import orjson
import pytest
import structlog
from hypothesis import given, strategies as st

from oakcroft.decisions.admission.request_limits import LimitLedger, RequestLimit, LimitScope
from oakcroft.decisions.membership import suspicion
from oakcroft.decisions.membership.member import (
    MAX_INCARNATION,
    MemberState,
    MemberUpdate,
    commitment,
    next_generation,
    supersedes,
)
from oakcroft.decisions.membership.shares import max_overshoot, rate_divisor
from oakcroft.decisions.membership.member_table import FAILED_RETENTION, MAX_FORMER_ADDRESSES, MAX_MEMBERS
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import ANYONE, MAX_UPDATES, Message, MessageKind, ReceivedMessage
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.membership_simulation import SimulatedNetwork, settled_network
from oakcroft.rulecheck.membership import check_membership
from oakcroft.running.logs import LossyOutput

ALIVE, SUSPECTED, FAILED, LEFT = MemberState
SECRET = b"s" * 16
member_updates = st.builds(
    lambda generation, incarnation, state, reported_by: MemberUpdate(
        "x", generation, incarnation, state, "h", 1, "w", "1",
        SECRET if state is LEFT else commitment(SECRET), reported_by,
    ),
    st.integers(1, 3), st.integers(0, 3), st.sampled_from(MemberState), st.sampled_from(["a", "b"]),
)  # fmt: skip


def update(
    name: str = "x",
    state: MemberState = ALIVE,
    incarnation: int = 0,
    generation: int = 1,
    reported_by: str = "",
) -> MemberUpdate:
    proof = SECRET if state is LEFT else commitment(SECRET)
    return MemberUpdate(name, generation, incarnation, state, f"host-{name}", 1, "w", "1", proof, reported_by)


def reported(net: SimulatedNetwork, state: MemberState) -> set[str]:
    """Members that any front has reported in a state."""
    return {about for _, _, about, _, now in net.state_changes if now == state.label}


@given(st.lists(member_updates, max_size=6))
def test_the_resulting_state_does_not_depend_on_the_order_of_updates(updates: list[MemberUpdate]) -> None:
    results = set[tuple[int, bool, int, int]]()
    for order in list(permutations(updates))[:60]:
        known: MemberUpdate | None = None
        for received in order:
            if supersedes(received, known):
                known = received
        results.add(known.precedence if known is not None else (0, False, 0, 0))
    assert len(results) == 1
    assert not updates or results == {max(each.precedence for each in updates)}


@given(
    st.lists(member_updates.filter(lambda each: each.state in (ALIVE, SUSPECTED, LEFT)), max_size=6),
    st.randoms(),
)
def test_memberships_that_received_the_same_updates_are_equal(
    updates: list[MemberUpdate], rng: Random
) -> None:
    views = [Membership(update("me"), SECRET, Random(1), 0) for _ in range(2)]
    for view in views:
        rng.shuffle(updates)
        for received in updates:
            view.receive_message(
                ReceivedMessage(update("teller"), MessageKind.GOSSIP, 0, ANYONE, None, [received]), 0
            )
    held = [{name: member.latest.precedence for name, member in view.members.items()} for view in views]
    assert held[0] == held[1]


def test_only_a_member_itself_can_announce_that_it_leaves() -> None:
    view = Membership(update("me"), SECRET, Random(1), 0)
    view.receive_message(ReceivedMessage(update("x"), MessageKind.GOSSIP, 0, ANYONE, None, []), 0)
    forged = replace(update("x", LEFT), proof=b"f" * 16)
    view.receive_message(ReceivedMessage(update("liar"), MessageKind.GOSSIP, 0, ANYONE, None, [forged]), 0)
    assert view.state_of("x") is ALIVE
    assert view.counts.refused_leaves == 1
    view.receive_message(ReceivedMessage(update("x", LEFT), MessageKind.GOSSIP, 0, ANYONE, None, []), 0)
    assert view.state_of("x") is LEFT


def test_updates_that_no_later_one_could_supersede_are_dropped() -> None:
    view = Membership(update("me"), SECRET, Random(1), 0)
    for bad in (
        update("x", incarnation=MAX_INCARNATION),
        update("x", generation=1 << 60),
        replace(update("x"), proof=b""),
    ):
        view.receive_message(ReceivedMessage(update("liar"), MessageKind.GOSSIP, 0, ANYONE, None, [bad]), 0)
    assert view.state_of("x") is None
    assert view.counts.unsound == 3


def test_the_generation_grows_without_a_file_or_if_the_clock_goes_back() -> None:
    assert next_generation(1_000, 0) == 1_000
    assert next_generation(500, 1_000) == 1_001  # the clock went back
    assert next_generation(500, 0, 2_000) == 2_001  # the file is lost too, but peers know the generation


def test_every_order_of_messages_of_three_members_to_a_depth() -> None:
    """Each message of three members is delivered, lost or delayed, with time passing in between.

    An update of an older generation or incarnation never replaces a newer one, no member fails only because another says
    so, and tables stay within their bounds.
    """
    names = ("a", "b", "c")
    seen = set[str]()
    state_count = 0

    def start() -> tuple[dict[str, Membership], list[tuple[str, MemberUpdate, Message]]]:
        views = {n: Membership(update(n), SECRET, Random(ord(n)), 0) for n in names}
        for view in views.values():
            for other in names:
                if other != view.own_update.name:
                    view.receive_message(
                        ReceivedMessage(update(other), MessageKind.GOSSIP, 0, ANYONE, None, []), 0
                    )
        views["a"].receive_message(
            ReceivedMessage(
                update("b"), MessageKind.GOSSIP, 0, ANYONE, None, [update("c", SUSPECTED, reported_by="b")]
            ),
            0,
        )
        return views, []

    def collect(views: dict[str, Membership], in_flight: list[tuple[str, MemberUpdate, Message]]) -> None:
        for view in views.values():
            for message in view.outgoing:
                receiver = message.address[0].removeprefix("host-")
                if message.kind is not MessageKind.PUSH_PULL and len(in_flight) < 6:
                    in_flight.append((receiver, view.own_update, message))
            view.outgoing = []
            view.changes = []

    def fingerprint(
        views: dict[str, Membership], in_flight: list[tuple[str, MemberUpdate, Message]], now: int
    ) -> str:
        held = [
            sorted((name, member.latest.precedence) for name, member in view.members.items())
            for view in views.values()
        ]
        messages = sorted(
            (receiver, sender.precedence, repr(message)) for receiver, sender, message in in_flight
        )
        return repr((held, messages, now))

    def precedences(view: Membership) -> dict[str, tuple[int, bool, int, int]]:
        return {name: member.latest.precedence for name, member in view.members.items()}

    first = start()
    collect(*first)
    frontier = [(first, 0)]
    for _depth in range(6):
        next_frontier = []
        for (known_views, known_in_flight), now in frontier:
            positions = range(len(known_in_flight))
            steps: list[int | str] = [*positions, "time", *(f"lose {i}" for i in positions)]
            for step in steps:
                views, in_flight = copy.deepcopy((known_views, known_in_flight))
                then = now
                before = {name: precedences(view) for name, view in views.items()}
                if step == "time":
                    then = now + 700 * MS
                    for view in views.values():
                        view.tick(then)
                elif isinstance(step, str):
                    in_flight.pop(int(step.split()[1]))
                else:
                    receiver, sender, sent = in_flight.pop(step)
                    views[receiver].receive_message(sent.as_received(sender), then)
                for name, view in views.items():
                    for about, member in view.members.items():
                        latest = member.latest
                        assert latest.precedence >= before[name].get(about, (0, False, 0, 0)), (
                            "an older update replaced a newer one"
                        )
                        assert latest.state is not FAILED or then >= suspicion.MIN_TIMEOUT, (
                            "failed before any suspicion could end"
                        )
                    assert len(view.members) == 3
                    assert len(view.prober.probes) <= 32
                collect(views, in_flight)
                state_count += 1
                if (key := fingerprint(views, in_flight, then)) not in seen:
                    seen.add(key)
                    next_frontier.append(((views, in_flight), then))
        frontier = next_frontier[:400]
    assert state_count > 5_000


def test_all_detect_a_crash_and_no_other_member_fails() -> None:
    net = settled_network(24, 1, loss=0.05)
    net.state_changes.clear()
    killed_at = net.now
    net.kill("f7")
    assert net.run(10 * SECOND, lambda: net.all_see({"f7"}, FAILED))
    assert net.now - killed_at < 6 * SECOND
    net.run(10 * SECOND)
    assert reported(net, FAILED) == {"f7"}
    net.add("f7", (("host-f0", 1),))
    assert net.run(3 * SECOND, net.is_settled)


def test_seven_in_ten_crash_at_once_and_restart() -> None:
    net = settled_network(30, 2, loss=0.05)
    victims = {f"f{i}" for i in range(9, 30)}
    net.state_changes.clear()
    for name in victims:
        net.kill(name)
    assert net.run(15 * SECOND, net.is_settled)
    assert reported(net, FAILED) == victims
    for name in victims:
        net.add(name, (("host-f0", 1), ("host-f20", 1)))
    assert net.run(5 * SECOND, net.is_settled)


def test_a_front_paused_for_half_a_minute_declares_nobody_failed_and_is_alive_again() -> None:
    net = settled_network(12, 3)
    net.pause("f4")
    assert net.run(10 * SECOND, lambda: net.all_see({"f4"}, FAILED))
    net.run(30 * SECOND)
    net.state_changes.clear()
    net.resume("f4")
    resumed_at = net.now
    assert net.run(5 * SECOND, net.is_settled)
    assert net.now - resumed_at < 3 * SECOND
    net.run(10 * SECOND)
    assert reported(net, FAILED) == set()
    assert net.processes["f4"].view.counts.stood_still == 1


def test_no_member_fails_by_a_link_that_is_broken_one_way() -> None:
    net = settled_network(8, 4)
    net.state_changes.clear()
    net.cut = lambda one, other: (one, other) == ("f1", "f2")
    net.run(60 * SECOND)
    assert reported(net, FAILED) == set()
    net.cut = lambda one, other: "f2" in (one, other) and "f5" not in (one, other)
    net.run(60 * SECOND)  # f2 is reachable only through f5
    assert reported(net, FAILED) == set()


def test_no_member_fails_by_lost_duplicate_late_and_reordered_messages() -> None:
    net = settled_network(10, 5)
    net.state_changes.clear()
    net.loss = 0.33
    net.duplication = 0.2
    net.latency = (MS, 150 * MS)
    net.run(120 * SECOND)
    assert reported(net, FAILED) == set()


@pytest.mark.parametrize("many", [2, 5])
def test_a_partition_longer_than_the_retention_of_failed_members_heals_without_an_operator(many: int) -> None:
    net = settled_network(10, 6)
    part = {f"f{i}": i % many for i in range(10)}
    net.cut = lambda one, other: part[one] != part[other]
    net.run(FAILED_RETENTION + 60 * SECOND)
    view = net.processes["f3"].view
    # Members of the other parts have been removed from the table.
    assert all(view.state_of(name) is None for name in part if part[name] != part["f3"])
    net.cut = lambda _one, _other: False
    healed_at = net.now
    assert net.run(30 * SECOND, net.is_settled)
    assert net.now - healed_at < 20 * SECOND


def test_a_restart_while_updates_of_the_failure_spread() -> None:
    net = settled_network(12, 7)
    net.kill("f5")
    net.run(2 * SECOND)
    net.add("f5", (("host-f1", 1),))
    assert net.run(5 * SECOND, net.is_settled)
    net.state_changes.clear()
    net.run(15 * SECOND)
    assert reported(net, FAILED) == set()


def test_a_start_with_a_lower_generation_learns_the_higher_one_from_its_peers() -> None:
    net = settled_network(5, 8)
    net.kill("f3")
    net.run(1 * SECOND)
    net.add("f3", (("host-f0", 1),), generation=1)  # no file, and the clock went back
    assert net.run(5 * SECOND, net.is_settled)
    assert net.processes["f3"].view.own_update.generation > 1
    assert not net.processes["f3"].view.displaced


def test_two_processes_under_one_name_are_reported_and_do_not_destabilize_the_membership() -> None:
    net = settled_network(6, 9)
    first = net.processes["f2"]
    other = net.add("f2", (("host-f0", 1),), host="host-other")
    first.alive = True  # keeps running at its own address
    net.processes["f2 before"] = first
    net.run(10 * SECOND)
    assert first.view.displaced
    assert not other.view.displaced
    reporters = {
        at
        for _, at, about, _, now in net.state_changes
        if about == "f2" and at == "f2" and now in ("displaced", "alive")
    }
    assert reporters == {"f2"}
    net.state_changes.clear()
    net.run(30 * SECOND)
    accusations = [
        (at, now)
        for _, at, about, _, now in net.state_changes
        if about == "f2" and now in ("gone", "suspected")
    ]
    assert accusations == []
    other.alive = False
    net.run(40 * SECOND)  # the displaced process takes the name back after the other has ended
    assert not first.view.displaced
    assert net.processes["f0"].view.state_of("f2") is ALIVE


def test_all_seeds_down_at_the_start_and_a_seed_that_is_the_front_itself() -> None:
    net = SimulatedNetwork(10)
    seeds = (("host-s", 1), ("host-a", 1))
    net.add("a", seeds)
    net.add("b", seeds)
    net.run(5 * SECOND)
    assert net.is_settled()  # b found a
    lonely = SimulatedNetwork(11)
    lonely.add("a", (("host-s", 1), ("host-a", 1)))
    lonely.add("b", (("host-s", 1),))
    lonely.run(30 * SECOND)
    assert not lonely.is_settled()
    lonely.add("s")
    assert lonely.run(5 * SECOND, lonely.is_settled)


def test_an_address_that_another_front_has_taken_over() -> None:
    net = settled_network(6, 12)
    net.kill("f4")
    net.add("new", (("host-f0", 1),), host="host-f4")
    assert net.run(10 * SECOND, lambda: net.all_see({"f4"}, FAILED) and net.all_see({"new"}, ALIVE))


def test_a_front_that_crashes_every_two_seconds_does_not_flood_the_others() -> None:
    net = settled_network(8, 13)
    net.run(30 * SECOND)
    for process in net.processes.values():
        process.octets = 0
    net.state_changes.clear()
    for _ in range(30):
        net.kill("f7")
        net.run(SECOND // 2)
        net.add("f7", (("host-f0", 1),))
        net.run(3 * SECOND // 2)
    others = [process for name, process in net.processes.items() if name != "f7"]
    assert max(process.octets for process in others) / 60 < 4_000
    reports = [now for _, at, about, _, now in net.state_changes if at == "f0" and about == "f7"]
    assert len(reports) < 30


def test_a_rolling_restart_of_all() -> None:
    net = settled_network(10, 14)
    net.state_changes.clear()
    for i in range(10):
        net.processes[f"f{i}"].view.leave()
        net.send_output(net.processes[f"f{i}"])
        net.kill(f"f{i}")
        net.run(SECOND)
        net.add(f"f{i}", (("host-f0", 1), ("host-f5", 1)))
        net.run(SECOND)
    assert net.run(5 * SECOND, net.is_settled)
    assert reported(net, FAILED) == set()  # each announced that it left
    assert reported(net, LEFT) == {f"f{i}" for i in range(10)}


def test_false_accusations_by_one_member_cause_refutations_and_no_failed_member() -> None:
    net = settled_network(16, 15, loss=0.05)
    net.state_changes.clear()
    faulty_member = net.processes["f3"]
    for _ in range(100):
        view = faulty_member.view
        for name in sorted(view.members):
            if name != "f3":
                known = view.members[name].latest
                accusations = [
                    known.with_state(FAILED, "f3"),
                    replace(known.with_state(SUSPECTED, "f3"), incarnation=known.incarnation + 1),
                ]
                for receiver_name in view.table.sample(3):
                    receiver = net.processes[receiver_name]
                    receiver.view.receive_message(
                        ReceivedMessage(view.own_update, MessageKind.GOSSIP, 0, ANYONE, None, accusations),
                        net.now,
                    )
                    net.send_output(receiver)
        net.run(100 * MS)
    assert reported(net, FAILED) == set()
    assert sum(process.view.counts.refuted for process in net.running_processes()) > 0
    assert net.run(10 * SECOND, net.is_settled)


@pytest.mark.parametrize("state", [ALIVE, SUSPECTED, FAILED])
def test_an_accusation_with_the_highest_plausible_incarnation_is_refuted(state: MemberState) -> None:
    """The accused cannot raise its incarnation further, so without a new generation others would drop its updates."""
    net = settled_network(8, 17)
    net.state_changes.clear()
    accusation = replace(
        net.processes["f5"].view.own_update.with_state(state, "f3"), incarnation=MAX_INCARNATION - 1
    )
    sender = net.processes["f3"].view.own_update
    for process in net.running_processes():
        if process.name not in ("f3", "f5"):
            process.view.receive_message(
                ReceivedMessage(sender, MessageKind.GOSSIP, 0, ANYONE, None, [accusation]), net.now
            )
            net.send_output(process)
    net.run(30 * SECOND)
    assert reported(net, FAILED) == set()
    assert net.is_settled()
    assert all(p.view.members["f5"].latest.is_plausible() for p in net.running_processes())


def test_tables_stay_within_their_bounds() -> None:
    view = Membership(update("me"), SECRET, Random(1), 0)
    now = 0
    for i in range(3 * MAX_MEMBERS):
        view.receive_message(
            ReceivedMessage(
                update(f"m{i}"), MessageKind.PING, i, ANYONE, None, [update(f"n{i}", FAILED)] * 50
            ),
            now,
        )
        assert all(len(out.updates) <= MAX_UPDATES for out in view.outgoing)
        view.outgoing.clear()
        if i % 100 == 0:
            now += 100 * MS
            view.tick(now)
    assert len(view.members) == MAX_MEMBERS
    assert view.counts.full > 0
    for _ in range(100):
        now += 900 * MS
        view.tick(now)
    assert len(view.prober.probes) <= 32
    assert len(view.prober.relayed) <= 64
    now += FAILED_RETENTION
    for _ in range(30):
        now += 20 * SECOND
        view.tick(now)
    assert len(view.table.former_addresses) <= MAX_FORMER_ADDRESSES


def test_shares_of_fronts_that_left_are_taken_over_within_the_stated_overshoot() -> None:
    """A front leaves and returns on one side of a partition; the rates of both sides together stay within the bound."""
    fronts = 10
    rate = 100.0
    net = settled_network(fronts, 16)
    limit = RequestLimit("all", LimitScope.ALL, "", rate=rate)

    def total_rate() -> float:
        total = 0.0
        for process in net.running_processes():
            ledger = LimitLedger(int(process.name[1:]), fronts)
            ledger.set_limits([limit])
            ledger.set_rate_shares(rate_divisor(fronts, process.view.left_count()))
            total += ledger.limits["all"].rate or 0.0
        return total

    net.kill("f8")
    assert net.run(10 * SECOND, lambda: net.all_see({"f8"}, FAILED))
    # A failed front keeps its share, since it may still be serving on the other side of a partition.
    assert total_rate() == pytest.approx(rate * 9 / 10)
    net.processes["f9"].view.leave()
    net.send_output(net.processes["f9"])
    net.kill("f9")
    assert net.run(5 * SECOND, lambda: net.all_see({"f9"}, LEFT))
    assert total_rate() == pytest.approx(rate * 8 / 9)
    side = {"f0", "f1", "f2", "f9"}
    net.cut = lambda one, other: (one in side) != (other in side)
    net.add("f9", (("host-f0", 1),))
    net.add("f8", (("host-f0", 1),))
    for _ in range(40):
        net.run(SECOND)
        assert total_rate() <= rate * (1 + max_overshoot(fronts, 1)) + 1e-9
    net.cut = lambda _one, _other: False
    assert net.run(20 * SECOND, net.is_settled)
    assert total_rate() == pytest.approx(rate)


# The external check of membership, and planted faults that it must find.


def observe(net: SimulatedNetwork, seconds: int) -> list[dict[str, Any]]:
    """Runs the simulation and records twice a second how each process sees the others."""
    facts = []
    for _ in range(2 * seconds):
        net.run(SECOND // 2)
        for process in net.running_processes():
            members = {
                n: [m.latest.state.label, m.latest.generation] for n, m in process.view.members.items()
            }
            facts.append({"t": net.now, "kind": "seen", "front": int(process.name[1:]), "members": members})
    return facts


def breaches_by_rule(plant_fault: Callable[[SimulatedNetwork], None]) -> dict[int, int]:
    """Runs a fleet of six with a planted fault through a crash, a restart and a partition; counts breaches by rule."""
    net = settled_network(6, 20)
    plant_fault(net)
    facts = observe(net, 5)
    facts.append({"t": net.now, "kind": "front killed", "front": 5})
    net.kill("f5")
    facts += observe(net, 25)
    facts.append({"t": net.now, "kind": "front started", "front": 5})
    net.add("f5", (("host-f0", 1),))
    facts += observe(net, 15)
    facts.append({"t": net.now, "kind": "cut", "phase": "begins", "fronts": [0, 1], "one_way": False})
    net.cut = lambda one, other: (one in ("f0", "f1")) != (other in ("f0", "f1"))
    facts += observe(net, 15)
    facts.append({"t": net.now, "kind": "cut", "phase": "ends", "fronts": [0, 1], "one_way": False})
    net.cut = lambda _one, _other: False
    facts += observe(net, 30)
    found = check_membership(facts, {i: f"f{i}" for i in range(6)})
    assert all(finding.cases for finding in found if finding.rule != 13)
    return {finding.rule: len(finding.breaches) for finding in found if finding.breaches}


def test_the_check_finds_no_breach_in_a_correct_fleet() -> None:
    assert breaches_by_rule(lambda _: None) == {}


def test_the_check_finds_a_front_that_never_declares_a_member_failed() -> None:
    def plant_fault(net: SimulatedNetwork) -> None:
        net.processes["f3"].view._expire_suspicions = lambda now: None  # type: ignore[method-assign]

    assert breaches_by_rule(plant_fault).keys() >= {12}


def test_the_check_finds_a_front_that_makes_failed_members_alive_again() -> None:
    def plant_fault(net: SimulatedNetwork) -> None:
        view = net.processes["f2"].view
        tick = view.tick

        def faulty_tick(now: int) -> None:
            tick(now)
            for member in view.members.values():
                if member.latest.state is FAILED and now - member.since > 3 * SECOND:
                    member.latest = replace(member.latest, state=ALIVE)

        view.tick = faulty_tick  # type: ignore[method-assign]

    assert breaches_by_rule(plant_fault).keys() >= {13}


def test_the_check_finds_a_front_that_declares_a_living_member_failed() -> None:
    def plant_fault(net: SimulatedNetwork) -> None:
        view = net.processes["f2"].view
        tick = view.tick

        def faulty_tick(now: int) -> None:
            tick(now)
            view.members["f4"].latest = replace(view.members["f4"].latest, state=FAILED)

        view.tick = faulty_tick  # type: ignore[method-assign]

    assert breaches_by_rule(plant_fault).keys() >= {11}


def test_the_check_fails_without_observations() -> None:
    assert check_membership([], {0: "f0"})[0].breaches


def test_a_log_on_a_full_disk_fails_nothing_and_counts_lost_lines() -> None:
    class FullDisk(io.BytesIO):
        is_full = True

        def write(self, text: Any) -> int:
            if self.is_full:
                raise OSError(28, "No space left on device")
            return super().write(text)

    disk = FullDisk()
    output = LossyOutput(disk)
    processors: list[Any] = [
        output.add_lost_count,
        structlog.processors.JSONRenderer(serializer=orjson.dumps),
    ]
    log = structlog.wrap_logger(structlog.BytesLogger(cast(BinaryIO, output)), processors=processors)
    log.info("first")
    log.info("second")
    disk.is_full = False
    log.info("third")
    assert orjson.loads(disk.getvalue()) == {"event": "third", "unwritten": 2}
