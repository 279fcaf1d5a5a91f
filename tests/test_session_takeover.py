"""Session takeover without sockets: ownership at a node, the requests of a front, and the fields that carry them.

A simulated fleet of fronts and nodes runs it as a whole, with late, duplicated and lost messages.
"""

from __future__ import annotations

from itertools import product
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from rig import SITE_TEMPLATE

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.config.settings import PeerSettings
from oakcroft.decisions.fleet import session_takeover
from oakcroft.decisions.fleet.session_takeover import (
    MAX_CONCURRENT_REQUESTS,
    MAX_FRONTS_PER_REQUEST,
    SessionTakeover,
    TakeoverBounds,
)
from oakcroft.decisions.fleet.session_ownership import (
    RECONNECT_GRACE,
    MAX_SESSION_LEASE,
    Caller,
    TakeoverAnswer,
    effective_lease,
    may_control,
    check_takeover,
)
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.takeover_simulation import NetworkConditions, TakeoverSimulation
from oakcroft.signalling import takeover_messages

BOUNDS = TakeoverBounds(200 * MS, 15 * SECOND, 1_000)
TEXT = st.text(max_size=60)


def test_control_and_takeover_in_every_case() -> None:
    """All combinations of two fronts, three generations, event streams that are open, just broken and long closed, and
    callers with and without an event stream."""
    callers = product("ab", (1, 2), ("a", "b", ""), (1, 2, 3))
    for holder_name, holder_generation, caller_name, caller_generation in callers:
        holder = Caller(f"front-{holder_name}", holder_name, holder_generation)
        caller = Caller(f"front-{caller_name}", caller_name, caller_generation)
        is_same_front = caller_name == holder_name
        assert may_control(holder, caller) == (is_same_front and caller_generation >= holder_generation)
        for disconnected_for, is_connected in product(
            (None, 0, RECONNECT_GRACE - 1, RECONNECT_GRACE, MAX_SESSION_LEASE), (True, False)
        ):
            answer = check_takeover(holder, caller, disconnected_for, is_connected)
            is_allowed = answer is TakeoverAnswer.ALLOWED
            is_holder_gone = disconnected_for is not None and disconnected_for >= RECONNECT_GRACE
            assert not is_allowed or is_holder_gone  # never from a connected front
            assert not is_allowed or is_connected  # never to a front that may have failed
            assert not is_allowed or caller_name  # never to a front without a name
            # Never to an earlier generation.
            assert not is_allowed or not is_same_front or caller_generation > holder_generation
            if caller_name and not is_same_front and is_connected and is_holder_gone:
                assert is_allowed
            if is_allowed:  # afterwards the previous holder can do nothing
                assert not may_control(
                    Caller(caller.pseudonym, caller_name, caller_generation),
                    Caller(holder.pseudonym, holder_name, holder_generation),
                ) or (is_same_front and holder_generation >= caller_generation)


def test_leases_are_bounded() -> None:
    """A lease is at least the default of the node and at most `MAX_SESSION_LEASE`."""
    assert effective_lease(0, 3 * SECOND) == 3 * SECOND
    assert effective_lease(15 * SECOND, 3 * SECOND) == 15 * SECOND
    assert effective_lease(SECOND, 3 * SECOND) == 3 * SECOND
    assert effective_lease(3600 * SECOND, 3 * SECOND) == MAX_SESSION_LEASE


def test_three_fronts_share_the_sessions_of_each_node_and_then_take_the_rest() -> None:
    """Each node is asked by three front ends, first for disjoint shares of its sessions and later for all of them."""
    names = [f"f{i}" for i in range(9)]
    present = [name for name in names if name != "f4"]
    shares_by_node: dict[str, list[tuple[str, set[str]]]] = {}
    sessions = {f"s{i}" for i in range(60)}
    for name in present:
        takeover = SessionTakeover(name, BOUNDS)
        takeover.update_nodes(["n1", "n2", "n3"], 0)
        takeover.update_fronts([], names, 0)
        assert takeover.due_requests(10 * SECOND) == []
        takeover.update_fronts(["f4"], present, 10 * SECOND)
        assert takeover.due_requests(10 * SECOND + 100 * MS) == []  # the delay is not over
        for request in takeover.due_requests(10 * SECOND + 300 * MS):
            assert request.front_names == ["f4"]
            own_share = {session for session in sessions if request.is_own("f4", session)}
            assert not request.is_own("f5", "s1")
            shares_by_node.setdefault(request.node, []).append((name, own_share))
            takeover.request_finished(request, {"f4": TakeoverAnswer.ALLOWED}, 11 * SECOND)
            assert all(other.node != request.node for other in takeover.due_requests(11 * SECOND + 500 * MS))
            (second,) = [
                other for other in takeover.due_requests(12 * SECOND + 100 * MS) if other.node == request.node
            ]
            assert all(second.is_own("f4", session) for session in sessions)
            takeover.request_finished(second, {"f4": TakeoverAnswer.ALLOWED}, 12 * SECOND + 200 * MS)
            assert not [other for other in takeover.due_requests(20 * SECOND) if other.node == request.node]
    assert set(shares_by_node) == {"n1", "n2", "n3"}
    for shares in shares_by_node.values():
        assert len(shares) == 3
        assert set().union(*(own_share for _, own_share in shares)) == sessions
        assert sum(len(own_share) for _, own_share in shares) == len(sessions)  # each belongs to one front


def test_a_front_that_returns_keeps_its_sessions_and_failed_requests_are_repeated() -> None:
    """Requests are repeated until they succeed, the front end returns or its sessions have expired."""
    takeover = SessionTakeover("f0", BOUNDS)
    takeover.update_nodes(["n1"], 0)
    takeover.update_fronts([], ["f0", "f1"], 0)
    takeover.update_fronts(["f1"], ["f0"], SECOND)
    (request,) = takeover.due_requests(2 * SECOND)
    takeover.request_finished(request, None, 2 * SECOND)
    assert takeover.due_requests(2 * SECOND + 100 * MS) == []
    (request,) = takeover.due_requests(3 * SECOND)
    takeover.request_finished(
        request, {"f1": TakeoverAnswer.CONNECTED}, 3 * SECOND
    )  # its event stream at the node is open
    (request,) = takeover.due_requests(4 * SECOND)
    (ended,) = takeover.update_fronts([], ["f0", "f1"], 4 * SECOND)
    assert ended.name == "f1"
    takeover.request_finished(request, {"f1": TakeoverAnswer.CONNECTED}, 4 * SECOND)
    assert takeover.due_requests(9 * SECOND) == []
    assert not takeover.tasks
    takeover.update_fronts(["f1"], ["f0"], 20 * SECOND)
    assert takeover.due_requests(21 * SECOND)  # it failed again
    takeover.update_fronts([], ["f0"], 22 * SECOND)
    takeover.update_fronts(["f1"], ["f0"], 23 * SECOND)
    assert (
        takeover.due_requests(23 * SECOND + BOUNDS.session_lease + 10 * SECOND) == []
    )  # nodes have ended its sessions
    assert [front.name for front in takeover.take_finished(60 * SECOND)] == ["f1"]
    assert takeover.take_finished(61 * SECOND) == []


def test_own_earlier_sessions_are_requested_at_all_nodes_once_these_are_listed() -> None:
    """A restarted front end requests the sessions of its earlier generation from every listed node."""
    takeover = SessionTakeover("f0", BOUNDS)
    takeover.add_own_earlier_generation(SECOND)
    assert takeover.take_finished(SECOND) == []
    takeover.update_fronts([], ["f0", "f1", "f2", "f3"], SECOND)
    takeover.update_nodes([f"n{i}" for i in range(MAX_CONCURRENT_REQUESTS + 4)], 2 * SECOND)
    first = takeover.due_requests(2 * SECOND)
    assert len(first) == MAX_CONCURRENT_REQUESTS
    assert all(request.is_own("f0", f"s{i}") for request in first for i in range(20))
    for request in first:
        takeover.request_finished(request, {"f0": TakeoverAnswer.ALLOWED}, 3 * SECOND)
    for request in (rest := takeover.due_requests(3 * SECOND)):
        takeover.request_finished(request, {"f0": TakeoverAnswer.CALLER_NOT_ELIGIBLE}, 3 * SECOND)
    assert {request.node for request in first + rest} == takeover.listed_nodes
    assert [front.name for front in takeover.take_finished(4 * SECOND)] == ["f0"]


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 40), st.integers(1, 12), st.integers(0, 1 << 30))
def test_requests_and_tables_are_bounded(fronts: int, nodes: int, seed: int) -> None:
    """Random events never exceed the bounds, and each pending task exists exactly once."""
    rng = Random(seed)
    names = [f"f{i}" for i in range(fronts)]
    takeover, now = SessionTakeover("f0", BOUNDS), 0
    active: list[session_takeover.TakeoverRequest] = []
    for _ in range(60):
        now += rng.randrange(400 * MS)
        failed = {name for name in names[1:] if rng.random() < 0.4}
        takeover.update_fronts(failed, [name for name in names if name not in failed], now)
        if rng.random() < 0.3:
            takeover.update_nodes([f"n{i}" for i in range(rng.randrange(nodes + 1))], now)
        active += takeover.due_requests(now)
        assert (
            len({request.node for request in active})
            == len(active)
            == len(takeover.active_requests)
            <= MAX_CONCURRENT_REQUESTS
        )
        assert all(0 < len(request.front_names) <= MAX_FRONTS_PER_REQUEST for request in active)
        while active and rng.random() < 0.6:
            request = active.pop(rng.randrange(len(active)))
            answers = rng.choice([None, dict.fromkeys(request.front_names, rng.choice(list(TakeoverAnswer)))])
            takeover.request_finished(request, answers, now)
        takeover.take_finished(now)
        # Each task of a current takeover exists once: queued, or in a request.
        pending = [
            (task.front.name, task.node)
            for task in takeover.tasks
            if takeover.failed_fronts.get(task.front.name) is task.front
        ]
        pending += [
            (task.front.name, task.node)
            for request in active
            for task in request.tasks
            if takeover.failed_fronts.get(task.front.name) is task.front
        ]
        assert len(pending) == len(set(pending))
        assert set(pending) == {
            (front.name, node) for front in takeover.failed_fronts.values() for node in front.pending_nodes
        }


def test_tasks_past_the_bound_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tasks over `MAX_TASKS` are dropped and counted."""
    monkeypatch.setattr(session_takeover, "MAX_TASKS", 10)
    takeover = SessionTakeover("f0", BOUNDS)
    takeover.update_nodes([f"n{i}" for i in range(4)], 0)
    takeover.update_fronts([f"f{i}" for i in range(1, 6)], ["f0"], 0)
    assert (len(takeover.tasks), takeover.dropped_tasks) == (10, 10)


@given(TEXT, TEXT, st.integers(0, 1 << 40), st.booleans())
def test_a_context_survives_encoding_and_decoding(id_: str, title: str, when: int, publishes: bool) -> None:
    """Decoding an encoded context gives the same context."""
    context = takeover_messages.SessionContext(
        id_, "a", "/whep/open/t", title, "open", "u", "", 3, when, when + 1, publishes
    )
    assert takeover_messages.decode_context(takeover_messages.encode_context(context)) == context


@given(st.text(max_size=80) | st.binary(max_size=80).map(lambda b: b.decode("latin-1")))
def test_invalid_contexts_fronts_and_leases_are_ignored(text: str) -> None:
    """Arbitrary header values decode to a valid value or count as absent."""
    context = takeover_messages.decode_context(text)
    assert context is None or takeover_messages.encode_context(context)
    name, start = takeover_messages.parse_front(text)
    assert (name == "") == (start == 0) or start == 0
    assert 0 <= takeover_messages.parse_lease(text) < 10_000 * SECOND


@given(st.text(min_size=1, max_size=64), st.integers(1, (1 << 56) - 1))
def test_a_field_can_hold_any_member_name(name: str, start: int) -> None:
    """Any name that UTF-8 can encode survives the Oakcroft-Front field."""
    try:
        name.encode()
    except UnicodeEncodeError:
        return
    assert takeover_messages.parse_front(takeover_messages.format_front(name, start)) == (name, start)


def test_a_context_that_does_not_fit_its_field_is_empty() -> None:
    """A context over the limit is not sent, and an invalid one is not decoded."""
    context = takeover_messages.SessionContext(
        "i", "a", "/" + "x" * 5_000, "t", "open", "u", "", 3, 0, 1, False
    )
    assert takeover_messages.encode_context(context) == ""
    assert takeover_messages.decode_context("A" * 100) is None


def test_takeovers_and_probes_are_off_unless_configured() -> None:
    """Takeovers and probes are configured by their own forms, with defaults."""

    def place(more: str) -> PeerSettings:
        peers = '(peers (name f0) (listen "127.0.0.1:7946") (seeds "127.0.0.1:7947") (key-file "k"))'
        front = '(front (zone west) (listen "127.0.0.1:0") (list-service "127.0.0.1:1"))'
        found, problems = check_file(
            "front", lambda _: f"{front} {peers} {more} {SITE_TEMPLATE.replace('EXTRA', '')}"
        )
        assert found is not None, [problems.format(p) for p in problems.errors]
        meant = build_deployment(found).front.peers
        assert meant is not None
        return meant

    assert (place("").takeover_bounds, place("").probe_interval_ns) == (None, 0)
    assert place("(adopting)").takeover_bounds == TakeoverBounds(SECOND, 15 * SECOND, 1_000)
    assert place("(probing)").probe_interval_ns == 2500 * MS


# A simulated fleet.


@pytest.mark.parametrize("seed", range(6))
def test_sessions_of_failed_fronts_are_taken_over(seed: int) -> None:
    """All sessions of failed front ends continue elsewhere within eight seconds."""
    fleet = TakeoverSimulation(12, 6, 20, seed, BOUNDS)
    fleet.run(1)
    fleet.kill([f"f{i}" for i in range(1 + 3 * (seed % 3))], streams_lost_after=seed * 100 * MS)
    fleet.run(25)
    assert (fleet.session_count(), fleet.ended_by_lease, fleet.breaches) == (240, 0, [])
    assert fleet.takeover_count == 20 * (1 + 3 * (seed % 3))
    assert max(fleet.takeover_delays) < 8 * SECOND


@pytest.mark.parametrize("seed", range(20))
def test_late_and_duplicated_messages_do_not_break_ownership(seed: int) -> None:
    """Lost, late and duplicated messages never give a session two holders or a failed one."""
    rng, net = Random(seed), NetworkConditions(loss=0.1, duplication=0.2, long_delay_share=0.2)
    fleet = TakeoverSimulation(8, 4, 10, seed, BOUNDS, net)
    for _ in range(6):
        fleet.run(rng.random() * 6)
        running = [front.name for front in fleet.fronts.values() if not front.is_stopped]
        match rng.randrange(4):
            case 0 if len(running) > 3:
                fleet.kill([rng.choice(running)], streams_lost_after=rng.randrange(3) * SECOND)
            case 1 if len(running) > 2:
                fleet.pause(rng.choice(running), rng.uniform(1, 20), rng.random() < 0.7)
            case _ if len(running) > 1:
                fleet.suspect(*rng.sample(running, 2))
    fleet.run(40)
    assert fleet.breaches == []
    dead = {front.name for front in fleet.fronts.values() if front.is_dead}
    assert not [holder for node in fleet.nodes for holder in node.holders.values() if holder.member in dead]


def test_the_simulation_detects_nodes_that_do_not_check_ownership() -> None:
    """Shows that the simulation would find a violation: with nodes that do not check, it finds some."""
    found = 0
    for seed in range(20):
        rng = Random(seed)
        net = NetworkConditions(loss=0.1, duplication=0.2, long_delay_share=0.2)
        fleet = TakeoverSimulation(8, 4, 10, seed, BOUNDS, net, checks_holders=False)
        fleet.pause("f1", 12, loses_streams=True)
        fleet.run(rng.uniform(5, 8))
        fleet.kill(["f2"])
        fleet.run(30)
        found += bool(fleet.breaches)
    assert found >= 18


def test_sessions_that_no_front_has_room_for_end_with_their_lease() -> None:
    """Sessions over the capacity of the remaining front ends end when their lease expires."""
    fleet = TakeoverSimulation(4, 2, 10, 1, BOUNDS, capacity=12)
    fleet.kill(["f0"])
    fleet.run(25)
    assert (fleet.takeover_count, fleet.ended_by_lease, fleet.breaches) == (6, 4, [])
