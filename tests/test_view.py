"""The fleet's view without sockets: the order of news, every order of messages of three members, and fleets on a
simulated network, seeded, with what befalls them."""

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
from oakcroft.decisions.membership.messages import ANYONE, MAX_UPDATES, MessageKind
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.membership_simulation import SimulatedNetwork, settled_network
from oakcroft.rulecheck.membership import check_membership
from oakcroft.running.logs import LossyOutput

ALIVE, SUSPECTED, FAILED, LEFT = MemberState
SECRET = b"s" * 16
word = st.builds(
    lambda generation, incarnation, state, by: MemberUpdate(
        "x", generation, incarnation, state, "h", 1, "w", "1", SECRET if state is LEFT else commitment(SECRET), by
    ),
    st.integers(1, 3), st.integers(0, 3), st.sampled_from(MemberState), st.sampled_from(["a", "b"]),
)  # fmt: skip


def update(
    name: str = "x", state: MemberState = ALIVE, incarnation: int = 0, generation: int = 1, by: str = ""
) -> MemberUpdate:
    proof = SECRET if state is LEFT else commitment(SECRET)
    return MemberUpdate(name, generation, incarnation, state, f"host-{name}", 1, "w", "1", proof, by)


def told(net: SimulatedNetwork, state: MemberState) -> set[str]:
    """Whom anybody has seen so."""
    return {about for _, _, about, _, now in net.state_changes if now == state.label}


@given(st.lists(word, max_size=6))
def test_what_holds_does_not_depend_on_the_order_of_news(some: list[MemberUpdate]) -> None:
    ends = set[tuple[int, bool, int, int]]()
    for order in list(permutations(some))[:60]:
        known: MemberUpdate | None = None
        for one in order:
            if supersedes(one, known):
                known = one
        ends.add(known.precedence if known is not None else (0, False, 0, 0))
    assert len(ends) == 1
    assert not some or ends == {max(n.precedence for n in some)}


@given(st.lists(word.filter(lambda n: n.state in (ALIVE, SUSPECTED, LEFT)), max_size=6), st.randoms())
def test_views_that_were_told_the_same_are_the_same(some: list[MemberUpdate], rng: Random) -> None:
    views = [Membership(update("me"), SECRET, Random(1), 0) for _ in range(2)]
    for view in views:
        rng.shuffle(some)
        for one in some:
            view.heard(update("teller"), MessageKind.GOSSIP, 0, ANYONE, None, [one], 0)
    held = [{n: m.latest.precedence for n, m in v.members.items()} for v in views]
    assert held[0] == held[1]


def test_only_a_member_itself_can_say_that_it_leaves() -> None:
    view = Membership(update("me"), SECRET, Random(1), 0)
    view.heard(update("x"), MessageKind.GOSSIP, 0, ANYONE, None, [], 0)
    forged = replace(update("x", LEFT), proof=b"f" * 16)
    view.heard(update("liar"), MessageKind.GOSSIP, 0, ANYONE, None, [forged], 0)
    assert view.standing("x") is ALIVE
    assert view.counts.refused_leaves == 1
    view.heard(update("x", LEFT), MessageKind.GOSSIP, 0, ANYONE, None, [], 0)
    assert view.standing("x") is LEFT


def test_words_that_nobody_could_outbid_are_none() -> None:
    view = Membership(update("me"), SECRET, Random(1), 0)
    for bad in (
        update("x", incarnation=MAX_INCARNATION),
        update("x", generation=1 << 60),
        replace(update("x"), proof=b""),
    ):
        view.heard(update("liar"), MessageKind.GOSSIP, 0, ANYONE, None, [bad], 0)
    assert view.standing("x") is None
    assert view.counts.unsound == 3


def test_the_number_of_a_start_grows_without_file_or_with_the_clock_back() -> None:
    assert next_generation(1_000, 0) == 1_000
    assert next_generation(500, 1_000) == 1_001  # the clock went back
    assert next_generation(500, 0, 2_000) == 2_001  # the file is lost as well: peers know


def test_every_order_of_messages_of_three_members_to_a_depth() -> None:
    """Three members, each message delivered, lost or left waiting, time passing between: news of an older start or
    incarnation never wins, nobody is gone by hearsay, tables stay within bounds."""
    names, seen, states = ("a", "b", "c"), set[str](), 0

    def start() -> tuple[dict[str, Membership], list[tuple[str, MemberUpdate, object]]]:
        views = {n: Membership(update(n), SECRET, Random(ord(n)), 0) for n in names}
        for view in views.values():
            for other in names:
                if other != view.me.name:
                    view.heard(update(other), MessageKind.GOSSIP, 0, ANYONE, None, [], 0)
        views["a"].heard(
            update("b"), MessageKind.GOSSIP, 0, ANYONE, None, [update("c", SUSPECTED, by="b")], 0
        )
        return views, []

    def collect(views: dict[str, Membership], flying: list[tuple[str, MemberUpdate, object]]) -> None:
        for view in views.values():
            for out in view.out:
                to = out.address[0].removeprefix("host-")
                if out.kind is not MessageKind.PUSH_PULL and len(flying) < 6:
                    flying.append((to, view.me, out))
            view.out, view.changes = [], []

    def shape(views: dict[str, Membership], flying: list[tuple[str, MemberUpdate, object]], now: int) -> str:
        held = [sorted((n, m.latest.precedence) for n, m in v.members.items()) for v in views.values()]
        return repr((held, sorted((t, s.precedence, repr(o)) for t, s, o in flying), now))

    first = start()
    collect(*first)
    front = [(first, 0)]
    for _depth in range(6):
        ahead = []
        for (views, flying), now in front:
            steps: list[int | str] = [*range(len(flying)), "time", *(f"lose {i}" for i in range(len(flying)))]
            for step in steps:
                v, f = copy.deepcopy((views, flying))
                then = now
                before = {
                    n: {m: x.latest.precedence for m, x in view.members.items()} for n, view in v.items()
                }
                if step == "time":
                    then = now + 700 * MS
                    for view in v.values():
                        view.tick(then)
                elif isinstance(step, str):
                    f.pop(int(step.split()[1]))
                else:
                    to, sender, out = f.pop(step)
                    v[to].heard(sender, out.kind, out.sequence, out.to, out.target, out.updates, then)  # type: ignore[attr-defined]
                for n, view in v.items():
                    for m, x in view.members.items():
                        assert x.latest.precedence >= before[n].get(m, (0, False, 0, 0)), "an older word won"
                        assert x.latest.state is not FAILED or then >= suspicion.MIN_TIMEOUT, (
                            "gone by hearsay"
                        )
                    assert len(view.members) == 3
                    assert len(view.prober.probes) <= 32
                collect(v, f)
                states += 1
                if (key := shape(v, f, then)) not in seen:
                    seen.add(key)
                    ahead.append(((v, f), then))
        front = ahead[:400]
    assert states > 5_000


def test_a_crash_is_known_to_all_and_nobody_else_is_gone() -> None:
    net = settled_network(24, 1, loss=0.05)
    net.state_changes.clear()
    began = net.now
    net.kill("f7")
    assert net.run(10 * SECOND, lambda: net.all_see({"f7"}, FAILED))
    assert net.now - began < 6 * SECOND
    net.run(10 * SECOND)
    assert told(net, FAILED) == {"f7"}
    net.add("f7", (("host-f0", 1),))
    assert net.run(3 * SECOND, net.is_settled)


def test_seven_in_ten_killed_in_one_moment_and_back() -> None:
    net = settled_network(30, 2, loss=0.05)
    victims = {f"f{i}" for i in range(9, 30)}
    net.state_changes.clear()
    for name in victims:
        net.kill(name)
    assert net.run(15 * SECOND, net.is_settled)
    assert told(net, FAILED) == victims
    for name in victims:
        net.add(name, (("host-f0", 1), ("host-f20", 1)))
    assert net.run(5 * SECOND, net.is_settled)


def test_one_that_stood_still_for_half_a_minute_declares_nobody_dead_and_is_taken_back() -> None:
    net = settled_network(12, 3)
    net.pause("f4")
    assert net.run(10 * SECOND, lambda: net.all_see({"f4"}, FAILED))
    net.run(30 * SECOND)
    net.state_changes.clear()
    net.resume("f4")
    began = net.now
    assert net.run(5 * SECOND, net.is_settled)
    assert net.now - began < 3 * SECOND
    net.run(10 * SECOND)
    assert told(net, FAILED) == set()
    assert net.processes["f4"].view.counts.stood_still == 1


def test_a_link_that_is_broken_one_way_costs_nobody_its_standing() -> None:
    net = settled_network(8, 4)
    net.state_changes.clear()
    net.cut = lambda one, other: (one, other) == ("f1", "f2")
    net.run(60 * SECOND)
    assert told(net, FAILED) == set()
    net.cut = lambda one, other: "f2" in (one, other) and "f5" not in (one, other)
    net.run(60 * SECOND)  # f2 is reached through f5 only
    assert told(net, FAILED) == set()


def test_a_third_lost_doubled_late_and_out_of_order() -> None:
    net = settled_network(10, 5)
    net.state_changes.clear()
    net.loss, net.double, net.latency = 0.33, 0.2, (MS, 150 * MS)
    net.run(120 * SECOND)
    assert told(net, FAILED) == set()


@pytest.mark.parametrize("many", [2, 5])
def test_a_partition_longer_than_the_dead_are_kept_heals_without_a_person(many: int) -> None:
    net = settled_network(10, 6)
    part = {f"f{i}": i % many for i in range(10)}
    net.cut = lambda one, other: part[one] != part[other]
    net.run(FAILED_RETENTION + 60 * SECOND)
    view = net.processes["f3"].view
    assert all(view.standing(n) is None for n in part if part[n] != part["f3"])  # forgotten
    net.cut = lambda _one, _other: False
    began = net.now
    assert net.run(30 * SECOND, net.is_settled)
    assert net.now - began < 20 * SECOND


def test_a_restart_while_news_of_the_death_travels() -> None:
    net = settled_network(12, 7)
    net.kill("f5")
    net.run(2 * SECOND)
    net.add("f5", (("host-f1", 1),))
    assert net.run(5 * SECOND, net.is_settled)
    net.state_changes.clear()
    net.run(15 * SECOND)
    assert told(net, FAILED) == set()


def test_a_start_with_a_lower_number_learns_the_higher_from_its_peers() -> None:
    net = settled_network(5, 8)
    net.kill("f3")
    net.run(1 * SECOND)
    net.add("f3", (("host-f0", 1),), start=1)  # no file, and the clock went back
    assert net.run(5 * SECOND, net.is_settled)
    assert net.processes["f3"].view.me.generation > 1
    assert not net.processes["f3"].view.displaced


def test_two_processes_under_one_name_are_told_and_leave_the_view_stable() -> None:
    net = settled_network(6, 9)
    first = net.processes["f2"]
    other = net.add("f2", (("host-f0", 1),), host="host-other")
    first.alive = True  # it runs on, at its own address
    net.processes["f2 before"] = first
    net.run(10 * SECOND)
    assert first.view.displaced
    assert not other.view.displaced
    told_to = {
        at
        for _, at, about, _, now in net.state_changes
        if about == "f2" and at == "f2" and now in ("displaced", "alive")
    }
    assert told_to == {"f2"}
    net.state_changes.clear()
    net.run(30 * SECOND)
    assert [t for t in net.state_changes if t[2] == "f2" and t[4] in ("gone", "suspected")] == []
    other.alive = False
    net.run(40 * SECOND)  # the one that was displaced comes back when the other has gone
    assert not first.view.displaced
    assert net.processes["f0"].view.standing("f2") is ALIVE


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


def test_an_address_that_has_passed_to_another_front() -> None:
    net = settled_network(6, 12)
    net.kill("f4")
    net.add("new", (("host-f0", 1),), host="host-f4")
    assert net.run(10 * SECOND, lambda: net.all_see({"f4"}, FAILED) and net.all_see({"new"}, ALIVE))


def test_a_front_that_crashes_every_two_seconds_does_not_flood_the_rest() -> None:
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
    quiet = [p for n, p in net.processes.items() if n != "f7"]
    assert max(p.octets for p in quiet) / 60 < 4_000
    lines = [t for t in net.state_changes if t[1] == "f0" and t[2] == "f7"]
    assert len(lines) < 30


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
    assert told(net, FAILED) == set()  # they left, each by its own word
    assert told(net, LEFT) == {f"f{i}" for i in range(10)}


def test_the_worst_of_one_liar_is_refutations_and_no_standing() -> None:
    net = settled_network(16, 15, loss=0.05)
    net.state_changes.clear()
    liar = net.processes["f3"]
    for _ in range(100):
        view = liar.view
        for name in sorted(view.members):
            if name != "f3":
                known = view.members[name].latest
                lies = [
                    known.with_state(FAILED, "f3"),
                    replace(known.with_state(SUSPECTED, "f3"), incarnation=known.incarnation + 1),
                ]
                for to in view.table.sample(3):
                    there = net.processes[to].view
                    there.heard(view.me, MessageKind.GOSSIP, 0, ANYONE, None, lies, net.now)
                    net.send_output(net.processes[to])
        net.run(100 * MS)
    assert told(net, FAILED) == set()
    assert sum(p.view.counts.refuted for p in net.running_processes()) > 0
    assert net.run(10 * SECOND, net.is_settled)


@pytest.mark.parametrize("state", [ALIVE, SUSPECTED, FAILED])
def test_the_highest_incarnation_that_can_be_claimed_is_refuted_too(state: MemberState) -> None:
    """One message of one liar: without a way out the accused could say nothing any more that others would take."""
    net = settled_network(8, 17)
    net.state_changes.clear()
    claim = replace(net.processes["f5"].view.me.with_state(state, "f3"), incarnation=MAX_INCARNATION - 1)
    for process in net.running_processes():
        if process.name not in ("f3", "f5"):
            liar = net.processes["f3"].view.me
            process.view.heard(liar, MessageKind.GOSSIP, 0, ANYONE, None, [claim], net.now)
            net.send_output(process)
    net.run(30 * SECOND)
    assert told(net, FAILED) == set()
    assert net.is_settled()
    assert all(p.view.members["f5"].latest.is_plausible() for p in net.running_processes())


def test_tables_stay_within_their_bounds() -> None:
    view, now = Membership(update("me"), SECRET, Random(1), 0), 0
    for i in range(3 * MAX_MEMBERS):
        view.heard(update(f"m{i}"), MessageKind.PING, i, ANYONE, None, [update(f"n{i}", FAILED)] * 50, now)
        assert all(len(out.updates) <= MAX_UPDATES for out in view.out)
        view.out.clear()
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


def test_a_share_passes_on_only_from_one_that_left_and_within_the_stated_bound() -> None:
    """A partition, with one that left on one side and comes back there unheard by the other: both sides' rates summed."""
    fronts, rate = 10, 100.0
    net = settled_network(fronts, 16)
    limit = RequestLimit("all", LimitScope.ALL, "", rate=rate)

    def total() -> float:
        whole = 0.0
        for process in net.running_processes():
            ledger = LimitLedger(int(process.name[1:]), fronts)
            ledger.set_limits([limit])
            ledger.set_rate_shares(rate_divisor(fronts, process.view.left_count()))
            whole += ledger.limits["all"].rate or 0.0
        return whole

    net.kill("f8")
    assert net.run(10 * SECOND, lambda: net.all_see({"f8"}, FAILED))
    assert total() == pytest.approx(
        rate * 9 / 10
    )  # gone: its share stays its own, for it may serve elsewhere
    net.processes["f9"].view.leave()
    net.send_output(net.processes["f9"])
    net.kill("f9")
    assert net.run(5 * SECOND, lambda: net.all_see({"f9"}, LEFT))
    assert total() == pytest.approx(rate * 8 / 9)
    side = {"f0", "f1", "f2", "f9"}
    net.cut = lambda one, other: (one in side) != (other in side)
    net.add("f9", (("host-f0", 1),))
    net.add("f8", (("host-f0", 1),))
    for _ in range(40):
        net.run(SECOND)
        assert total() <= rate * (1 + max_overshoot(fronts, 1)) + 1e-9
    net.cut = lambda _one, _other: False
    assert net.run(20 * SECOND, net.is_settled)
    assert total() == pytest.approx(rate)


# The check from outside, and faults that it must find.


def asked(net: SimulatedNetwork, seconds: int) -> list[dict[str, Any]]:
    """Plays on, and asks every process twice a second how it sees the others."""
    facts = []
    for _ in range(2 * seconds):
        net.run(SECOND // 2)
        for process in net.running_processes():
            members = {
                n: [m.latest.state.label, m.latest.generation] for n, m in process.view.members.items()
            }
            facts.append({"t": net.now, "kind": "seen", "front": int(process.name[1:]), "members": members})
    return facts


def judged(plant: Callable[[SimulatedNetwork], None]) -> dict[int, int]:
    """A fleet of six, one of which dies and comes back, two cut off for a while: breaches by property."""
    net = settled_network(6, 20)
    plant(net)
    facts = asked(net, 5)
    facts.append({"t": net.now, "kind": "front killed", "front": 5})
    net.kill("f5")
    facts += asked(net, 25)
    facts.append({"t": net.now, "kind": "front started", "front": 5})
    net.add("f5", (("host-f0", 1),))
    facts += asked(net, 15)
    facts.append({"t": net.now, "kind": "cut", "phase": "begins", "fronts": [0, 1], "one_way": False})
    net.cut = lambda one, other: (one in ("f0", "f1")) != (other in ("f0", "f1"))
    facts += asked(net, 15)
    facts.append({"t": net.now, "kind": "cut", "phase": "ends", "fronts": [0, 1], "one_way": False})
    net.cut = lambda _one, _other: False
    facts += asked(net, 30)
    found = check_membership(facts, {i: f"f{i}" for i in range(6)})
    assert all(f.cases for f in found if f.rule != 13)
    return {f.rule: len(f.breaches) for f in found if f.breaches}


def test_a_sound_fleet_is_found_sound() -> None:
    assert judged(lambda _: None) == {}


def test_a_front_that_never_forgets_is_found() -> None:
    def plant(net: SimulatedNetwork) -> None:
        net.processes["f3"].view._expire_suspicions = lambda now: None  # type: ignore[method-assign]

    assert judged(plant).keys() >= {12}


def test_a_front_that_resurrects_the_dead_is_found() -> None:
    def plant(net: SimulatedNetwork) -> None:
        view = net.processes["f2"].view
        tick = view.tick

        def ticks(now: int) -> None:
            tick(now)
            for member in view.members.values():
                if member.latest.state is FAILED and now - member.since > 3 * SECOND:
                    member.latest = replace(member.latest, state=ALIVE)

        view.tick = ticks  # type: ignore[method-assign]

    assert judged(plant).keys() >= {13}


def test_a_front_that_calls_the_living_gone_is_found() -> None:
    def plant(net: SimulatedNetwork) -> None:
        view = net.processes["f2"].view
        tick = view.tick

        def ticks(now: int) -> None:
            tick(now)
            view.members["f4"].latest = replace(view.members["f4"].latest, state=FAILED)

        view.tick = ticks  # type: ignore[method-assign]

    assert judged(plant).keys() >= {11}


def test_nothing_asked_is_nothing_shown() -> None:
    assert check_membership([], {0: "f0"})[0].breaches


def test_a_log_on_a_full_disk_fails_nothing_and_says_what_was_lost() -> None:
    class Full(io.BytesIO):
        full = True

        def write(self, text: Any) -> int:
            if self.full:
                raise OSError(28, "No space left on device")
            return super().write(text)

    out = Full()
    spared = LossyOutput(out)
    processors: list[Any] = [
        spared.add_lost_count,
        structlog.processors.JSONRenderer(serializer=orjson.dumps),
    ]
    log = structlog.wrap_logger(structlog.BytesLogger(cast(BinaryIO, spared)), processors=processors)
    log.info("first")
    log.info("second")
    out.full = False
    log.info("third")
    assert orjson.loads(out.getvalue()) == {"event": "third", "unwritten": 2}
