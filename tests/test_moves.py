"""Moves: every reachable state of the state machine, the decisions around it, and whole moves with failures."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
from helpers import FREE, KEYED, PAID, TERMS, ControllerHarness
from rig import Rig, run_async_test, running_front_end, wait_until

from oakcroft.decisions.moving.degrading_nodes import DegradingNodes
from oakcroft.decisions.moving.handover import (
    END_STATES,
    TRANSITIONS,
    MoveAction,
    MoveState,
    Handover,
    MoveEvent,
)
from oakcroft.decisions.moving.move_rules import (
    StayReason,
    MoveMethod,
    may_target,
    is_confined_to_zone,
    reason_to_stay,
    move_method,
)
from oakcroft.decisions.moving.move_scheduler import MoveScheduler, MoveLimits, MoveReason
from oakcroft.decisions.moving.drain_notice import DrainNotices
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Response
from oakcroft.interface import MS, SECOND, KeyScope, NodeStatus, Node, Outcome, Playback
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp
from oakcroft.standins import rtp
from oakcroft.standins.playout import PlayoutNode

# Model check: all states of a move with all faults.


@dataclass(frozen=True)
class World:
    """Simplified model of a front end with one playback, its copy, and the answers that it owes."""

    state: MoveState
    source: str  # plays, ending or gone
    target: str  # none, out (set-up sent), plays, ending or gone
    viewer: bool  # whether it is connected
    offer: str  # none, waits or answered
    played_from: str  # source, target or nothing
    ends_on_start: str = ""  # "yes" if a copy whose set-up is in progress is ended once it plays


INITIAL = World(MoveState.PLANNED, "plays", "none", True, "none", "source")


def possible_events(world: World) -> list[MoveEvent]:
    """Returns the events that can happen next."""
    events = []
    if world.state is MoveState.PLANNED:
        events.append(MoveEvent.DUE)
    if world.source == "plays":
        events += [MoveEvent.SOURCE_LOST, MoveEvent.SOURCE_ENDED]
    if world.source == "ending":
        events += [MoveEvent.SOURCE_ENDED, MoveEvent.SOURCE_LOST]
    if world.target == "out":
        events += [MoveEvent.TARGET_PLAYS, MoveEvent.TARGET_FAILED]
    if world.target == "plays":
        events += [MoveEvent.TARGET_LOST, MoveEvent.TARGET_DRAINING]
    if world.viewer:
        events.append(MoveEvent.VIEWER_LEFT)
        if world.offer == "none" and world.state is MoveState.ASKED:
            events.append(MoveEvent.OFFER_RECEIVED)
        if world.offer == "answered" and world.target == "plays":
            events.append(MoveEvent.CONFIRMED)
    move = Handover(world.state)
    if (timer := move.pending_timeout()) is not None:
        events.append(timer)
    if world.source == "plays":
        events.append(MoveEvent.CANCELLED)
    return events


def after(world: World, event: MoveEvent) -> World:
    """Returns the model after an event and after the action that the state machine requests for it."""
    source = world.source
    target = world.target
    viewer = world.viewer
    offer = world.offer
    played_from = world.played_from
    ends_on_start = world.ends_on_start
    if event in (MoveEvent.SOURCE_LOST, MoveEvent.SOURCE_ENDED):
        source = "gone"
        played_from = "nothing" if played_from == "source" else played_from
    elif event is MoveEvent.TARGET_LOST:
        target = "gone"
        played_from = "nothing" if played_from == "target" else played_from
    elif event is MoveEvent.TARGET_PLAYS:
        target = "ending" if ends_on_start else "plays"
    elif event is MoveEvent.TARGET_FAILED:
        target = "gone"
    elif event is MoveEvent.VIEWER_LEFT:
        viewer = False
        played_from = "nothing"
    elif event is MoveEvent.OFFER_RECEIVED:
        offer = "waits"
    elif event is MoveEvent.CONFIRMED:
        played_from = "target"
    move = Handover(world.state)
    action = move.handle(event)
    if action is MoveAction.PLACE_TARGET:
        target = "out"
    elif action is MoveAction.ACCEPT_OFFER:
        offer = "answered"
    elif action is MoveAction.SWITCH_AND_ACCEPT_OFFER:
        offer = "answered"
        played_from = "target"
    elif action is MoveAction.REJECT_OFFER:
        offer = "answered"
    elif action is MoveAction.SWITCH_TO_TARGET:
        played_from = "target"
    elif action is MoveAction.END_SOURCE:
        played_from = "target" if viewer and target == "plays" else played_from
        source = "ending" if source == "plays" else source
    elif action in (MoveAction.END_TARGET, MoveAction.END_TARGET_AND_REJECT_OFFER):
        target = "ending" if target == "plays" else target
        offer = "answered"
        played_from = "source" if played_from == "target" and source == "plays" else played_from
    elif action is MoveAction.END_ALL:
        ends_on_start = "yes" if target == "out" else ""
        source = "ending" if source == "plays" else source
        target = "ending" if target == "plays" else target
        offer = "answered" if offer == "waits" else offer
    elif action is MoveAction.REPORT_LOST:
        offer = "answered" if offer == "waits" else offer
        played_from = "nothing"
    return World(move.state, source, target, viewer, offer, played_from, ends_on_start)


def test_every_reachable_state_has_a_way_out_and_keeps_the_rules() -> None:
    """Checks every reachable state of the model with all faults.

    Each state has a way out, every offer gets its answer, a playback whose source plays on is never lost, and
    no copy is left over.
    """
    seen, frontier = {INITIAL}, [INITIAL]
    while frontier:
        world = frontier.pop()
        for event in possible_events(world):
            next_world = after(world, event)
            if next_world not in seen:
                seen.add(next_world)
                frontier.append(next_world)
    states = Counter(world.state for world in seen)
    assert set(states) == set(MoveState)
    assert len(seen) == 38, len(seen)  # written in docs/moving.md
    for world in seen:
        if world.state not in END_STATES:
            # It has a way out.
            assert any(after(world, event).state is not world.state for event in possible_events(world)), (
                world
            )
        else:
            assert world.offer != "waits", world  # every offer has its answer
            if world.viewer and world.source == "plays":
                assert world.played_from == "source", world  # it plays on, whatever failed
            assert not (
                world.viewer
                and world.state is MoveState.DONE
                and world.played_from != "target"
                and world.target == "plays"
            ), world
        # No copy is left over.
        assert not (world.source == "plays" and world.target == "plays" and world.state in END_STATES), world
        if world.state is MoveState.STAYED and world.viewer:
            assert world.source != "ending", world


def test_no_transition_leaves_an_end_state() -> None:
    """No transition leaves an end state or keeps its state; a move that has ended ignores all events."""
    for (state, _), (next_state, _) in TRANSITIONS.items():
        assert state not in END_STATES
        assert next_state is not state
    move = Handover()
    for event in (
        MoveEvent.DUE,
        MoveEvent.OFFER_RECEIVED,
        MoveEvent.TARGET_PLAYS,
        MoveEvent.CONFIRMED,
        MoveEvent.SOURCE_ENDED,
    ):
        move.handle(event)
    assert move.has_ended
    assert [move.handle(event) for event in MoveEvent] == [MoveAction.NONE] * len(MoveEvent)


# The decisions around it: rules, notices, degrading nodes and the schedule.


def test_move_rules() -> None:
    """Paid playbacks and unmovable players stay, keyed ones move within their group, and seats decide the order."""
    source, target = Node("a"), Node("b")
    source.zone, target.zone = "west", "east"
    assert reason_to_stay(PAID, 0, 1, 0, True) is StayReason.PAID
    assert reason_to_stay(KEYED, 0, KEYED.key_ttl_ns, 0, True) is StayReason.KEY_EXPIRED
    assert reason_to_stay(KEYED, 0, 1, MS, True) is None
    assert reason_to_stay(FREE, 0, 10**15, 0, False) is StayReason.PLAYER_NOT_MOVABLE
    assert not may_target(PAID, source, target)
    assert not may_target(FREE, source, source)
    assert may_target(FREE, source, target)
    assert KEYED.key_scope is KeyScope.ZONE
    assert not may_target(KEYED, source, target)
    confined = [
        KEYED,
        replace(KEYED, key_scope=KeyScope.CELL),
        replace(KEYED, key_scope=KeyScope.ALL),
        FREE,
        PAID,
    ]
    assert [is_confined_to_zone(plan) for plan in confined] == [True, True, False, False, False]
    target.zone = "west"
    assert may_target(KEYED, source, target)
    seated = FREE.__class__(**{**FREE.__dict__, "seats": 2})
    assert move_method(seated, 1, 9 * SECOND, SECOND) is MoveMethod.MAKE_BEFORE_BREAK
    assert move_method(seated, 2, 9 * SECOND, SECOND) is MoveMethod.WAIT_FOR_SEAT
    assert move_method(seated, 2, SECOND, SECOND) is MoveMethod.BREAK_BEFORE_MAKE


def test_drain_notices_are_stated_or_estimated() -> None:
    """The notice is the stated one or the estimate, which follows quickly downwards and slowly upwards."""
    notices = DrainNotices(10 * SECOND)
    assert notices.start_drain("a", 0, None)
    assert not notices.start_drain("a", SECOND, None)
    assert notices.time_left("a", 2 * SECOND) == 6 * SECOND
    notices.node_gone("a", 4 * SECOND)
    assert notices.expected_duration == 7 * SECOND  # follows quickly downwards
    notices.start_drain("b", 0, None)
    notices.node_gone("b", 17 * SECOND)
    assert notices.expected_duration == 8 * SECOND  # follows slowly upwards
    notices.start_drain("c", 0, 30 * SECOND)
    assert notices.time_left("c", 10 * SECOND) == 20 * SECOND
    notices.node_gone("c", SECOND)
    assert notices.expected_duration == 8 * SECOND
    notices.start_drain("d", 0, None)
    assert notices.cancel_drain("d")
    assert notices.time_left("d", 1) is None


def test_a_node_degrades_by_falling_reports_and_never_during_shared_congestion() -> None:
    """Guards against false alarms that empty a good node.

    A node degrades only by falling reports while the others deliver more, and one node at a time.
    """
    falling = [0.95, 0.85, 0.78, 0.7]
    degrading = DegradingNodes()
    shared = DegradingNodes()
    swinging = DegradingNodes()
    reports = [degrading.report("n", share, 1.0, i * SECOND) for i, share in enumerate(falling)]
    assert reports == [False, False, False, True]
    assert not any(shared.report("n", share, 0.7, i * SECOND) for i, share in enumerate(falling))
    assert not any(
        swinging.report("n", share, 1.0, i * SECOND) for i, share in enumerate([0.6, 0.9, 0.5, 0.6])
    )
    # One node at a time.
    assert not any(degrading.report("m", share, 1.0, i * SECOND) for i, share in enumerate(falling))
    degrading.report("n", 1.0, 1.0, 9 * SECOND)
    assert "n" not in degrading.leaving_since


def test_two_hundred_front_ends_spread_the_moves_of_a_drain() -> None:
    """The moves of many front ends spread over the notice, without a burst in any second."""
    start_times: list[int] = []
    notice = 20 * SECOND
    step = 50 * MS
    for front in range(200):
        scheduler = MoveScheduler(MoveLimits(), Random(front))
        assert (
            scheduler.plan_node("n", [(f"{front}.{i}", 1.0) for i in range(3)], notice, MoveReason.DRAIN, 0)
            == 3
        )
        for now in range(0, notice, step):
            for move in scheduler.start_due(now, 99):
                start_times.append(now)
                assert scheduler.finish(move.key, True, now + 100 * MS, notice - now) is False
    assert len(start_times) == 600
    assert max(start_times) <= notice * 0.7
    seconds = Counter(at // SECOND for at in start_times)
    assert max(seconds.values()) < 2 * 600 / (20 * 0.7 - 1.5)  # no burst in any second


def test_moves_start_by_value_within_the_limits_and_are_retried() -> None:
    """Moves of the highest value start first, within the limits, and are retried while there is time."""
    scheduler = MoveScheduler(MoveLimits(max_concurrent=2, max_per_target=1), Random(1))
    scheduler.plan_node("n", [("a", 1.0), ("b", 3.0), ("c", 2.0)], 0, MoveReason.DRAIN, 0)
    assert [move.key for move in scheduler.start_due(0, 9)] == ["b", "c"]
    assert scheduler.start_due(10 * SECOND, 9) == []
    scheduler.set_target("b", "t")
    assert not scheduler.has_room_on("c", "t")
    assert scheduler.has_room_on("b", "t")
    assert scheduler.finish("b", False, 0, 5 * SECOND)  # it stayed, and there is time for another attempt
    assert not scheduler.finish("c", True, 0, 5 * SECOND)
    assert scheduler.start_due(SECOND, 0) == []  # no further tries are left
    assert {move.key for move in scheduler.start_due(20 * SECOND, 9)} == {"a", "b"}
    assert not scheduler.finish("b", False, 0, 100 * MS)  # too late for another attempt
    assert scheduler.cancel_node("n") == ["a"]
    assert scheduler.plan_node("n", [("a", 1.0)], 0, MoveReason.DRAIN, 0) == 0  # in progress already
    assert scheduler.next_due_at(0) is None


def test_a_copy_counts_as_a_further_try_and_is_not_rejected_as_a_new_request() -> None:
    """The copy of a playback counts as a further try, and admission control does not reject it as a new request."""
    terms = TERMS.__class__(
        **{
            **TERMS.__dict__,
            "retry_budget_base": 1.0,
            "retry_budget_share": 0.0,
            "retry_budget_window_ns": 10 * SECOND,
        }
    )
    fleet = ControllerHarness(terms=terms)
    fleet.controller.x = 9.0  # all new requests are rejected
    first = Playback(fleet.request().title, FREE, 2, fleet.now + SECOND, False)
    answers = []
    for _ in range(2):
        copy = Playback(first.title, FREE, 2, fleet.now + SECOND, True)
        copy.copy_of = first
        fleet.controller.on_request(copy, fleet.now)
        answers.append(fleet.final_answers(copy))
    assert answers == [[], ["reject"]]
    assert len(fleet.sent_nodes()) == 1
    fleet.controller.on_try_ended(first, Outcome.DONE, True, None, None, None, fleet.now)


# Whole moves on sockets, with a front end and playout nodes.


@dataclass
class Player:
    """A viewer that can be moved."""

    rig: Rig
    response: Response
    path: str
    offer_requested: trio.Event
    ended: trio.Event

    async def listen(self) -> None:
        """Reads its event stream until the playback ends; sets the events on the way."""
        peer, reader = HttpClient("127.0.0.1", self.rig.port), http_formats.EventStreamParser()
        with suppress(ExchangeError):  # its front end may stop
            async with peer.stream("GET", f"{self.path}/events?kinds=inactive.move", []) as (_, chunks):
                async for chunk in chunks:
                    for name, data in reader.feed(chunk):
                        if name == "move":
                            assert orjson.loads(data) == {"offer": f"{self.path}/move"}
                            self.offer_requested.set()
                        elif name == "inactive":
                            self.ended.set()
        self.ended.set()

    async def offer(self) -> Response:
        """Sends its offer for the move."""
        return await self.rig.request(
            "POST", f"{self.path}/move", offer(9_000, 2).encode(), Content_Type=sdp.MEDIA_TYPE
        )

    async def done(self) -> None:
        """Confirms that it plays from the target."""
        assert (await self.rig.request("POST", f"{self.path}/move/done")).status == 204


async def playing(rig: Rig, nursery: trio.Nursery, path: str = "/whep/open/t") -> Player:
    """Starts a playback and its event stream."""
    response = await rig.request_playback(path)
    assert response.status == 201
    player = Player(rig, response, response.header("location") or "", trio.Event(), trio.Event())
    nursery.start_soon(player.listen)
    coordinator = rig.front_end.coordinator if rig.front_end else None
    assert coordinator is not None
    session = coordinator.sessions_by_id[player.path.rpartition("/")[2]]
    await wait_until(lambda: session.readers and all(n.subscriptions for n in rig.nodes_in_use()))
    return player


def drain(rig: Rig) -> tuple[PlayoutNode, PlayoutNode]:
    """Starts to drain the node that plays; returns it and the other one."""
    source = rig.nodes_in_use()[0]
    other = next(n for n in rig.fleet.nodes.values() if n is not source)
    source.faults.is_draining = True
    rig.fleet.publish_list()
    return source, other


def end_states(rig: Rig) -> list[str]:
    """Returns the end states of all moves so far, from the log."""
    return [e["end"] for e in rig.log_entries() if e["event"] == "moved"]


def test_a_playback_leaves_a_draining_node_and_its_player_keeps_its_session(tmp_path: Path) -> None:
    """A move off a draining node keeps the session: the copy plays before the source ends."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            source, target = drain(rig)
            await player.offer_requested.wait()
            moved = await player.offer()
            assert (moved.status, moved.header("location")) == (201, player.path)
            assert moved.header("etag") != player.response.header("etag") or target.name != source.name
            assert source.sessions
            assert target.sessions  # make before break
            await player.done()
            await wait_until(lambda: not source.sessions and target.sessions)
            await wait_until(lambda: end_states(rig) == ["done"])
            assert (await rig.request("POST", f"{player.path}/layer", b'{"encodingId": "1"}')).status == 200
            assert not player.ended.is_set()
            assert (await rig.request("DELETE", player.path)).status == 200
            await wait_until(lambda: not rig.nodes_in_use())
            coordinator = rig.front_end.coordinator if rig.front_end else None
            assert coordinator is not None
            await wait_until(
                lambda: (
                    not coordinator.sessions_by_playback
                    and coordinator.playing_count == 0
                    and not coordinator.sessions_by_upstream
                )
            )
            nursery.cancel_scope.cancel()

    run_async_test(test)


async def moved_away(rig: Rig, player: Player) -> PlayoutNode:
    """Drains the node that plays until its playback plays on the other one; returns the node that it left."""
    coordinator = rig.coordinator()
    ended_before = len(end_states(rig))
    player.offer_requested = trio.Event()
    source, _ = drain(rig)
    await player.offer_requested.wait()
    assert (await player.offer()).status == 201
    await player.done()
    await wait_until(lambda: len(end_states(rig)) > ended_before and not source.sessions)
    assert end_states(rig)[-1] == "done"
    source.faults.is_draining = False
    rig.fleet.publish_list()
    await wait_until(lambda: coordinator.node_list.listed_nodes[source.name].listing is NodeStatus.READY)
    return source


def test_a_playback_moves_back_to_the_node_that_it_left(tmp_path: Path) -> None:
    """A node that was left and is ready again can be the target of a later move."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            first = await moved_away(rig, player)
            second = await moved_away(rig, player)
            assert second is not first
            assert rig.nodes_in_use() == [first]
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_copy_keeps_to_the_pool_of_its_route(tmp_path: Path) -> None:
    """Guards against a copy on a node outside the pool of its route."""
    form = """(pool first (nodes n1)) (route first (path "/whep/first/") (plan open) (pool first))"""

    async def test() -> None:
        async with running_front_end(tmp_path, form) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery, "/whep/first/t")
            assert [n.name for n in rig.nodes_in_use()] == ["n1"]
            drain(rig)
            await player.offer_requested.wait()
            assert (await player.offer()).status == 503
            assert [n.name for n in rig.nodes_in_use()] == ["n1"]
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_paid_playbacks_stay_on_a_draining_node(tmp_path: Path) -> None:
    """A paid playback on a draining node stays there, and its player is not asked."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery, "/whep/course/t")
            drain(rig)
            await wait_until(lambda: any(e["event"] == "leaving node" for e in rig.log_entries()))
            entry = next(e for e in rig.log_entries() if e["event"] == "leaving node")
            assert (entry["moves"], entry["stay"]) == (0, 1)
            assert (await player.offer()).status == 409
            assert not player.offer_requested.is_set()
            assert len(rig.recorded("ran")) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


@pytest.mark.parametrize(
    "fault",
    ["silent player", "target refuses", "target dies beside", "source dies asked", "source dies placing",
     "viewer leaves beside", "taken back", "taken back placing", "source dies beside"],
)  # fmt: skip
def test_each_failure_during_a_move_leads_to_its_end_state(tmp_path: Path, fault: str) -> None:
    """Each failure during a move leads to its defined end state, on real sockets."""

    async def test() -> None:
        async with running_front_end(tmp_path, fleet="(most-tries 1)") as rig, trio.open_nursery() as nursery:
            player = await playing(rig, nursery)
            source, target = drain(rig)
            await player.offer_requested.wait()
            answers: list[Response] = []

            async def send_offer() -> None:
                answers.append(await player.offer())

            match fault:
                case "silent player":
                    await wait_until(lambda: end_states(rig))
                    assert end_states(rig)[0] == "stayed"
                    assert source.sessions
                case "target refuses":
                    target.machine.playback_capacity = 0
                    assert (await player.offer()).status == 503
                    assert end_states(rig) == ["stayed"]
                    assert source.sessions
                case "target dies beside":
                    assert (await player.offer()).status == 201
                    target.kill()
                    await wait_until(lambda: end_states(rig) == ["stayed"])
                    assert source.sessions
                case "source dies asked":
                    source.kill()
                    await player.ended.wait()
                    assert end_states(rig) == ["lost"]
                case "source dies placing":
                    target.faults.is_hung = True
                    nursery.start_soon(send_offer)
                    await wait_until(lambda: target.sessions)
                    source.kill()
                    await wait_until(
                        lambda: any(e.get("state") == MoveState.ORPHANED.value for e in rig.log_entries())
                    )
                    target.faults.is_hung = False
                    target.notify_changed()
                    await wait_until(lambda: answers)
                    assert answers[0].status == 201  # the copy has become the playback
                    assert not player.ended.is_set()
                    assert (await rig.request("DELETE", player.path)).status == 200
                case "viewer leaves beside":
                    assert (await player.offer()).status == 201
                    assert (await rig.request("DELETE", player.path)).status == 200
                    await wait_until(lambda: not rig.nodes_in_use())
                case "taken back":
                    source.faults.is_draining = False
                    rig.fleet.publish_list()
                    await wait_until(lambda: end_states(rig) == ["stayed"])
                    assert (await player.offer()).status == 409
                case "taken back placing":
                    target.faults.is_hung = True
                    nursery.start_soon(send_offer)
                    await wait_until(lambda: target.sessions)
                    source.faults.is_draining = False
                    rig.fleet.publish_list()
                    await wait_until(
                        lambda: any(e.get("state") == MoveState.RECALLED.value for e in rig.log_entries())
                    )
                    target.faults.is_hung = False
                    target.notify_changed()
                    await wait_until(lambda: answers and not target.sessions)
                    assert answers[0].status == 503
                    assert source.sessions
                case "source dies beside":
                    assert (await player.offer()).status == 201
                    source.kill()
                    await wait_until(lambda: end_states(rig) == ["done"])
                    assert not player.ended.is_set()
                    assert (await rig.request("DELETE", player.path)).status == 200
                    await wait_until(lambda: not rig.nodes_in_use())
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_rtp_is_parsed_as_sent_and_overlapping_streams_play_once() -> None:
    """RTP packets are parsed as sent, and a player plays overlapping streams once."""
    for i in range(5):
        data = rtp.encode_packet(65_535 + i, 1000 + i, 7, 123, 2)
        parsed = rtp.parse_packet(data)
        assert parsed is not None
        assert (parsed.sequence, parsed.source, parsed.rung) == ((65_535 + i) & 0xFFFF, 7, 2)
    assert rtp.parse_packet(b"\x80" * 21) is None
    assert rtp.parse_packet(b"") is None
    tracker = rtp.PlayoutTracker()
    ticks = [(0, 1), (1, 1), (2, 1), (2, 2), (3, 2), (3, 1), (4, 2), (9, 2)]
    for tick, source in ticks:
        packet = rtp.parse_packet(rtp.encode_packet(tick, tick, source, 0, 0))
        assert packet is not None
        tracker.receive(packet, tick * rtp.PACKET_INTERVAL_NS + 1)
    assert tracker.played_count == 6
    assert tracker.duplicate_count == 2
    assert tracker.longest_gap_ns == 5 * rtp.PACKET_INTERVAL_NS
