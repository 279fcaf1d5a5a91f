"""Seats of setup tries whose outcome stays unknown: a plan never has more playbacks on a title than its seats.

A try whose answer is late, or whose connection breaks, may have left a session on its node. Its request is tried again on
another node, or rejected, while that session runs.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import fields, make_dataclass, replace
from pathlib import Path
from random import Random
from typing import Any, get_type_hints

import msgspec
import pytest
import trio
from rig import Rig, run_async_test, running_front_end, start_front_end, wait_until, wait_until_recovered
from state_rig import (
    RETENTION,
    KillRounds,
    check_rules_2_and_5,
    durable_state_of,
    key_header,
    make_promise,
    node_report,
    restart_front_end,
)

from oakcroft.decisions.state.promise import PromiseState, Promise, may_still_run, unproven_try
from oakcroft.decisions.state.recovery import (
    MAX_IN_FLIGHT_NS,
    PromiseVerdict,
    RecoveryAction,
    judge_promise,
    recovery_action,
)
from oakcroft.front.node_client import NodeClient, NodeEvent, TryResult
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.front.uncertain_intents import MAX_SEAT_HOLD_NS
from oakcroft.interface import MS, SECOND, Effect, Outcome, PlaybackState
from oakcroft.standins.playout import PlayoutNode

PATH = "/whep/seats/t"
SEATS = 2
"""Path of a title in a plan with seats, and their number on each title."""

SLOW_SETUP_NS = 100 * MS
UNKNOWN_SHARE = 0.3
"""Share of the tries that end with an unknown outcome."""

CREATED = 201
UNAVAILABLE = 503
SetUp = Callable[..., Coroutine[Any, Any, TryResult]]


def make_next_try_unknown(rig: Rig, outcome: Outcome, cuts_node: bool = True) -> list[str]:
    """Lets the next setup try run and end with an outcome that hides it; returns a list that gets its node's name.

    `cuts_node`: the front end hears nothing of that node from then on, until it is reachable again.
    """
    tried_nodes: list[str] = []

    def wrap(client: NodeClient, set_up: SetUp) -> SetUp:
        async def set_up_unseen(session: PlaybackSession, rung: int, abandon_at: int) -> TryResult:
            result = await set_up(session, rung, abandon_at)
            if tried_nodes:
                return result
            tried_nodes.append(client.name)
            if cuts_node:
                set_reachable(rig.node(client.name), False)
            return replace(result, outcome=outcome, upstream=None)

        return set_up_unseen

    for client in rig.coordinator().node_clients.values():
        client.set_up = wrap(client, client.set_up)  # type: ignore[method-assign]
    return tried_nodes


def set_reachable(node: PlayoutNode, is_reachable: bool) -> None:
    """Lets a node answer, or cuts it off: nothing that it sends arrives."""
    node.faults.is_silent = not is_reachable
    node.notify_changed()


async def open_event_streams(rig: Rig) -> None:
    """Opens the event streams of all nodes, so that a new report comes only when it is asked for."""
    coordinator = rig.coordinator()
    clients = coordinator.node_clients.values()
    for client in clients:
        coordinator.follow_events(client, f"/events/{coordinator.pseudonym}")
    await wait_until(lambda: all(client.stream_health.process for client in clients))


def seats_taken(rig: Rig) -> int:
    """The seats that the front end counts as taken on all titles."""
    titles = rig.coordinator().title_cache.titles.values()
    return sum(taken for title in titles for taken in title.seats_taken.values())


@pytest.mark.parametrize("outcome", [Outcome.LATE, Outcome.RESET])
def test_a_restarted_front_end_keeps_the_seat_of_a_try_whose_outcome_was_unknown(
    tmp_path: Path, outcome: Outcome
) -> None:
    """Guards against a third playback on two seats after a kill.

    The first try of a request runs unseen, a second one plays on another node, and the front end is killed. The state
    file must name both nodes: the first one is out of reach when the next viewer comes.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            tried_nodes = make_next_try_unknown(rig, outcome)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            assert len(rig.recorded("ran")) == SEATS
            await wait_until(lambda: not durable_state_of(rig).store.queue)
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            first_node = rig.node(tried_nodes[0])
            await start_front_end(nursery, rig, with_state=True)
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == UNAVAILABLE
            set_reachable(first_node, True)
            await wait_until(lambda: not first_node.sessions)
            await wait_until(lambda: seats_taken(rig) == 1)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            assert (await rig.request_playback(PATH, **key_header("k3"))).status == CREATED
            assert len(rig.recorded("ran")) == SEATS + 1
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_try_whose_outcome_is_unknown_keeps_its_seat_until_its_node_proves_its_end(tmp_path: Path) -> None:
    """Guards against a third playback on two seats while the first try of a request runs unseen."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            await open_event_streams(rig)
            tried_nodes = make_next_try_unknown(rig, Outcome.LATE, cuts_node=False)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == UNAVAILABLE
            assert seats_taken(rig) == SEATS
            first_node = rig.node(tried_nodes[0])
            await wait_until(lambda: not first_node.sessions)
            await wait_until(lambda: seats_taken(rig) == 1)
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == CREATED
            state = durable_state_of(rig)
            assert [p.mark for p in state.promises.values()] == [PromiseState.PLAYS] * 2
            assert not state.uncertain
            assert not state.uncertain.seats_held
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_no_try_follows_one_of_unknown_outcome_without_a_free_seat(tmp_path: Path) -> None:
    """Guards against a retry that takes a third seat: the session of the first try may run, and has the second one."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            make_next_try_unknown(rig, Outcome.RESET)
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == UNAVAILABLE
            assert len(rig.recorded("setup")) == SEATS
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_node_that_proves_nothing_keeps_a_seat_for_a_limited_time(tmp_path: Path) -> None:
    """Guards against a seat that is never released because its node does not come back."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            make_next_try_unknown(rig, Outcome.LATE)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            state = durable_state_of(rig)
            (promise_id,) = state.uncertain.sessions
            promise = state.promises[promise_id]
            await trio.sleep(0.6)  # one maintenance run at least
            assert promise_id in state.uncertain.sessions
            state.promises[promise_id] = replace(
                promise, abandon=promise.abandon - MAX_SEAT_HOLD_NS - 4 * SECOND
            )
            state.uncertain.proof_due_at[promise_id] = 0
            await wait_until(lambda: not state.uncertain)
            assert promise_id not in state.promises
            assert seats_taken(rig) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_session_set_up_again_with_the_key_of_an_unknown_try_is_not_ended(tmp_path: Path) -> None:
    """Guards against ending a viewer's new session on the node that is asked what became of its earlier try.

    A viewer may ask again with the same key, so that its node reports two sessions of the key: the one that the
    unknown try has left, and one that plays here or whose set-up has not been answered yet.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            tried_nodes = make_next_try_unknown(rig, Outcome.LATE)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            coordinator, state = rig.coordinator(), durable_state_of(rig)
            client = coordinator.node_clients[tried_nodes[0]]
            ended: list[str] = []

            async def end_session(resource: str) -> bool:
                ended.append(resource)
                return True

            client.end_session = end_session  # type: ignore[method-assign]
            (session,) = coordinator.sessions_by_id.values()
            coordinator.sessions_by_upstream[client.name, "/sessions/new"] = session
            report = NodeEvent(sessions=["/sessions/new", "/sessions/left"], keys=["k1", "k1"], ran=["k1"])
            session.playback.state = PlaybackState.SETTING_UP
            state.node_state_received(client, report, coordinator.clock.now())
            assert len(state.uncertain) == 1
            session.playback.state = PlaybackState.PLAYING
            state.node_state_received(client, report, coordinator.clock.now())
            await wait_until(lambda: seats_taken(rig) == 1)
            assert not state.uncertain
            assert ended == ["/sessions/left"]
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_kill_before_a_left_session_has_ended_gives_its_seat_to_nobody(tmp_path: Path) -> None:
    """Guards against a third playback on two seats: the record of a try went before its session's end was confirmed.

    The node has reported the session that the try has left, and the front end is killed while it ends it there.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            await open_event_streams(rig)
            tried_nodes = make_next_try_unknown(rig, Outcome.LATE, cuts_node=False)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            client = rig.coordinator().node_clients[tried_nodes[0]]
            client.end_session = never_confirmed  # type: ignore[method-assign]
            client.reopen_stream()
            await wait_until(lambda: any(e.get("verdict") == "running" for e in rig.log_entries()))
            await wait_until(lambda: not durable_state_of(rig).store.queue)
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            set_reachable(rig.node(tried_nodes[0]), False)
            await start_front_end(nursery, rig, with_state=True)
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == UNAVAILABLE
            set_reachable(rig.node(tried_nodes[0]), True)
            await wait_until(lambda: seats_taken(rig) == 1)
            assert (await rig.request_playback(PATH, **key_header("k2"))).status == CREATED
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test)


async def never_confirmed(resource: str) -> bool:
    """An end of a session that its node does not confirm."""
    await trio.sleep_forever()
    return False


def test_a_session_that_is_being_ended_proves_nothing_of_a_later_try(tmp_path: Path) -> None:
    """Guards against a seat given back by a report that still lists the session of an earlier try with the same key."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            tried_nodes = make_next_try_unknown(rig, Outcome.LATE)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            coordinator, state = rig.coordinator(), durable_state_of(rig)
            client = coordinator.node_clients[tried_nodes[0]]
            may_end = trio.Event()

            async def end_session(resource: str) -> bool:
                await may_end.wait()
                return True

            client.end_session = end_session  # type: ignore[method-assign]
            (session,) = coordinator.sessions_by_id.values()
            report = NodeEvent(sessions=["/sessions/left"], keys=["k1"], ran=["k1"])
            state.node_state_received(client, report, coordinator.clock.now())
            assert not state.uncertain
            session.playback.tries.append((coordinator.node_list.nodes[client.name], coordinator.clock.now()))
            state.uncertain.hold_seat_of_last_try(session)
            requested_at = coordinator.clock.now()
            state.node_state_received(client, report, requested_at)
            may_end.set()
            await wait_until(lambda: len(state.uncertain.seats_held) == 1)
            state.node_state_received(client, report, requested_at)  # requested before the end was confirmed
            assert len(state.uncertain) == 1
            assert seats_taken(rig) == SEATS
            state.node_state_received(client, NodeEvent(ran=["k1"]), coordinator.clock.now())
            assert len(state.uncertain) == 1  # the key may be known from the first try
            proven_at = session.deadline.abandon_at + MAX_IN_FLIGHT_NS
            state.node_state_received(client, NodeEvent(ran=["k1"]), proven_at)
            assert not state.uncertain
            assert seats_taken(rig) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_kills_among_tries_of_unknown_outcome_exceed_no_seats(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a third playback on two seats: tries end unknown at random, and the front end is killed."""
    rng = Random(7)
    set_up = NodeClient.set_up

    async def set_up_unseen(
        client: NodeClient, session: PlaybackSession, rung: int, abandon_at: int
    ) -> TryResult:
        result = await set_up(client, session, rung, abandon_at)
        if rng.random() < UNKNOWN_SHARE:
            return replace(result, outcome=Outcome.LATE, upstream=None)
        return result

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path) as rig:
            rounds = KillRounds(rig, nursery)
            await restart_front_end(rig, nursery, rounds.open_state_file)
            await wait_until_recovered(rig)
            monkeypatch.setattr(NodeClient, "set_up", set_up_unseen)
            for kill_point in range(0, 72, 4):
                requested = [(f"/whep/seats/s{kill_point}", f"s{kill_point}.{n}") for n in range(4)]
                await rounds.request_until_killed(requested, kill_point)
                await rounds.restart()
                for path, key in requested:
                    await rounds.request(path, key)
                await rounds.end_playbacks([key for _, key in requested])
            check_rules_2_and_5(rig)
            nursery.cancel_scope.cancel()

    run_async_test(test, 60)


def test_the_promise_of_a_try_binds_no_key() -> None:
    """The promise of a try is held after a restart and judged by the key on its node, and has no key of its own."""
    intent = make_promise(effect=Effect.PAID, seats=True)
    promise = unproven_try(intent, 1)
    assert promise.id != intent.id
    assert promise.key not in (intent.key, "")
    assert promise.node_key == intent.node_key == intent.key
    assert not promise.must_not_repeat
    assert recovery_action(promise, True, True, RETENTION, 10 * SECOND) is RecoveryAction.HOLD
    assert recovery_action(promise, False, True, RETENTION, 10 * SECOND) is RecoveryAction.FORGET
    running = node_report(running_sessions={"/s/1": intent.key})
    assert judge_promise(promise, running) is PromiseVerdict.RUNNING
    key_known = node_report(known_keys=frozenset({intent.key}))
    assert judge_promise(promise, key_known) is PromiseVerdict.RAN
    early_report = replace(key_known, requested_at=promise.abandon + MAX_IN_FLIGHT_NS - 1)
    assert judge_promise(promise, early_report) is PromiseVerdict.UNPROVEN
    assert judge_promise(intent, early_report) is PromiseVerdict.RAN  # it is never set up again
    assert judge_promise(promise, node_report()) is PromiseVerdict.NEVER_RAN
    assert {outcome for outcome in Outcome if may_still_run(outcome)} == {
        Outcome.LATE,
        Outcome.RESET,
        Outcome.WITHDRAWN,
    }


def test_promises_are_readable_by_builds_without_the_key_of_a_try() -> None:
    """A promise without the field is read as before, and a reader that does not know the field reads the rest."""
    promise = unproven_try(make_promise(seats=True), 2)
    stored = msgspec.msgpack.decode(msgspec.msgpack.encode(promise))
    del stored["setup_key"]
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(stored), type=Promise)
    assert read == replace(promise, setup_key="")
    hints = get_type_hints(Promise)
    names = [field.name for field in fields(Promise) if field.name != "setup_key"]
    earlier_type = make_dataclass("EarlierPromise", [(name, hints[name]) for name in names])
    earlier: Any = msgspec.msgpack.decode(msgspec.msgpack.encode(promise), type=earlier_type)
    assert all(getattr(earlier, name) == getattr(promise, name) for name in names)


def test_a_kill_before_an_abandoned_set_up_has_ended_gives_its_seat_to_nobody(tmp_path: Path) -> None:
    """Guards against a third playback on two seats: the record of a request went when its viewer had left.

    The set-up of a viewer that left succeeds, and the front end is killed before the node has confirmed its end.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            for node in rig.fleet.nodes.values():
                node.setup_duration_ns = (SLOW_SETUP_NS, SLOW_SETUP_NS)
            for client in rig.coordinator().node_clients.values():
                client.end_session = never_confirmed  # type: ignore[method-assign]
            async with trio.open_nursery() as viewers:
                viewers.start_soon(rig.request_playback_ignoring_errors, PATH, key_header("k1"))
                await wait_until(lambda: rig.recorded("setup"))
                viewers.cancel_scope.cancel()
            await wait_until(lambda: rig.recorded("ran"))
            (node,) = rig.nodes_in_use()
            await wait_until(lambda: rig.coordinator().pending_session_ends)
            await wait_until(lambda: not durable_state_of(rig).store.queue)
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            set_reachable(node, False)
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert seats_taken(rig) == 1
            assert len(durable_state_of(rig).uncertain) == 1
            set_reachable(node, True)
            await wait_until(lambda: not node.sessions)
            await wait_until(lambda: seats_taken(rig) == 0)
            assert not durable_state_of(rig).promises
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_kill_before_a_session_of_a_silent_node_has_ended_gives_its_seat_to_nobody(tmp_path: Path) -> None:
    """Guards against a seat given away while a node that was taken for lost still runs its session.

    The session is closed towards its viewer at once, and the front end is killed while its node does not answer.
    """

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            assert (await rig.request_playback(PATH, **key_header("k1"))).status == CREATED
            (node,) = rig.nodes_in_use()
            await wait_until(lambda: rig.coordinator().node_clients[node.name].stream_health.process)
            set_reachable(node, False)
            await wait_until(lambda: not rig.coordinator().sessions_by_id)
            await wait_until(lambda: not durable_state_of(rig).store.queue)
            assert seats_taken(rig) == 1
            rig.front_end_scope.cancel()
            await rig.exited.wait()
            assert node.sessions
            await start_front_end(nursery, rig, with_state=True)
            await wait_until_recovered(rig)
            assert seats_taken(rig) == 1
            set_reachable(node, True)
            await wait_until(lambda: seats_taken(rig) == 0)
            assert not node.sessions
            assert not durable_state_of(rig).promises
            nursery.cancel_scope.cancel()

    run_async_test(test)
