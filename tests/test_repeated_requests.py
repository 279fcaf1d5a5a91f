"""Repeated idempotency keys in each state of their request, and calls on sessions that have ended."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack
from http import HTTPStatus
from pathlib import Path

import orjson
import pytest
import trio
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.sessions.node_sessions import NodeSessions
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.sessions.idempotency import IdempotencyStore, KeyDecision
from oakcroft.front.session_service import MAX_EVENT_READERS
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp
from oakcroft.signalling import session_api as api

from rig import wait_until_recovered, run_async_test, running_front_end, start_front_end, wait_until
from test_sessions import RawClient, coordinator_and_api, raw_client


def test_the_end_of_an_earlier_playback_does_not_end_a_later_one_under_its_key() -> None:
    """A set-up that succeeds after its abort has the key of a later playback, whose answer stays."""
    store, first, later = IdempotencyStore(10, 60 * SECOND), object(), object()
    store.begin("k", "a", False, 0)
    # Its abandon time was reached; its set-up succeeds later.
    store.record_answer("k", FinalAnswer.ABORTED, first, 1)
    store.begin("k", "a", False, 2)
    store.record_answer("k", FinalAnswer.PLAYS, later, 3)
    store.playback_ended("k", first, 4)
    assert store.decide("k", "a", 5) == (KeyDecision.REPLAY, None, later)


def test_a_full_idempotency_store_starts_no_paid_request(tmp_path: Path) -> None:
    """Guards against a paid request whose repeat would not be recognized."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            rig.coordinator().idempotency_store.capacity = 1
            served_paths = ("/whep/course/t", "/whep/open/t")
            for path in served_paths:
                assert (await rig.request_playback(path)).status == HTTPStatus.CREATED
            assert (await rig.request_playback("/whep/course/u")).status == HTTPStatus.SERVICE_UNAVAILABLE
            assert len(rig.recorded("setup")) == len(served_paths)

    run_async_test(test)
    store = IdempotencyStore(1, 60 * SECOND)
    store.begin("paid", "", True, 0)
    store.record_answer("paid", FinalAnswer.ABORTED, None, 1)
    assert not store.begin("other", "", False, 2)
    assert store.decide("paid", "", 3)[0] is KeyDecision.REPLAY


def test_a_paid_key_keeps_its_answer_after_its_playback_has_ended(tmp_path: Path) -> None:
    """A repeat gets the first answer; after a restart it is aborted rather than set up again."""

    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            first = await rig.recorded_viewer("k", "/whep/course/t")
            assert first is not None
            location = first.header("location") or ""
            assert (await rig.request("DELETE", location)).status == HTTPStatus.OK
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            repeat = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            assert (repeat.status, repeat.header("location"), repeat.body) == (201, location, first.body)
            assert (await rig.request("DELETE", location)).status == HTTPStatus.NOT_FOUND
            rig.stop.set()
            await rig.exited.wait()
            async with trio.open_nursery() as nursery:
                await start_front_end(nursery, rig, with_state=True)
                await wait_until_recovered(rig)
                later = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
                assert (later.status, orjson.loads(later.body)["retry"]) == (504, False)
                nursery.cancel_scope.cancel()
            assert len(rig.recorded("ran")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_free_key_waits_for_the_end_of_a_set_up_whose_viewer_left(tmp_path: Path) -> None:
    """A repeat gets 409 while the abandoned set-up is pending, and a playback after its end."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.recorded_viewer, "k")
                await wait_until(lambda: rig.recorded("setup"))
                nursery.cancel_scope.cancel()
            repeat = await rig.request_playback(Idempotency_Key='"k"')
            assert repeat.status == HTTPStatus.CONFLICT
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = False
                node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert (await rig.request_playback(Idempotency_Key='"k"')).status == HTTPStatus.CREATED
            rig.assert_rules_hold()

    run_async_test(test)


@pytest.mark.parametrize("plan", ["course", "open"])
def test_an_undelivered_answer_is_replayed_to_its_key_or_its_playback_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, plan: str
) -> None:
    """Guards against a playback without a viewer, where the connection was lost under its answer."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator, path = rig.coordinator(), f"/whep/{plan}/t"
            first = await rig.request_playback(path, Idempotency_Key='"k"')
            session = coordinator.sessions_by_id[(first.header("location") or "").rpartition("/")[2]]
            # As if the connection was lost while the answer was written.
            coordinator.answer_delivery.handle_undelivered(session)
            assert (await rig.request_playback(path, Idempotency_Key='"k"')).header(
                "location"
            ) == first.header("location")
            assert not session.answer_undelivered
            monkeypatch.setattr("oakcroft.front.answer_delivery.UNDELIVERED_ANSWER_SECONDS", 0.05)
            coordinator.answer_delivery.handle_undelivered(session)
            await wait_until(lambda: not coordinator.sessions_by_playback)
            assert len(rig.recorded("ran")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


def test_nothing_is_set_up_for_a_viewer_that_left_before_the_decision(tmp_path: Path) -> None:
    """A request whose viewer left while it was queued is dropped, and its key can be used again."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator = rig.coordinator()
            try_submit, queued_events = coordinator.try_submit, list[Callable[[], None]]()
            coordinator.try_submit = lambda event: not queued_events.append(event)  # type: ignore[method-assign,func-returns-value]
            async with trio.open_nursery() as nursery:
                await nursery.start(rig.recorded_viewer, "k", "/whep/course/t")
                await wait_until(lambda: queued_events)
                nursery.cancel_scope.cancel()
            await wait_until(lambda: len(queued_events) > 1)
            coordinator.try_submit = try_submit  # type: ignore[method-assign]
            for event in queued_events:
                await coordinator.submit(event)
            assert (
                await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            ).status == HTTPStatus.CREATED
            assert len(rig.recorded("setup")) == 1
            rig.assert_rules_hold()

    run_async_test(test)


async def request_playback(
    client: RawClient, key: str, call_id: int = 1, path: str = "/whep/open/t"
) -> api.Answer:
    """Requests a playback over the session API and returns the answer."""
    await client.send(api.Ask(call_id, path, offer(20_000, 1), key))
    while not isinstance(answer := await client.receive(), api.Answer):
        pass
    return answer


def test_a_playback_belongs_to_the_client_session_that_requested_it_last(tmp_path: Path) -> None:
    """A repeat under the same key moves the playback to the new client session and leaves nothing in the earlier ones."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, AsyncExitStack() as stack:
            _, session_api = coordinator_and_api(rig)
            first = None
            # Each a new client session, as of a client without its resume token.
            for _ in range(MAX_EVENT_READERS + 2):
                client_connection = await stack.enter_async_context(raw_client(rig, api.Hello()))
                await client_connection.receive()
                answer = await request_playback(client_connection, "k")
                assert answer.status == HTTPStatus.CREATED
                first = first or answer.playback
                assert answer.playback == first
            *earlier, last = session_api.clients.values()
            assert [len(h.playbacks) + len(h.event_readers) + len(h.requested_rungs) for h in earlier] == [
                0
            ] * (MAX_EVENT_READERS + 1)
            assert [h.usage.playbacks for h in session_api.clients.values()] == [0] * (
                MAX_EVENT_READERS + 1
            ) + [1]
            for api_client in earlier:
                await session_api.end_client_session(api_client)
            repeat = await request_playback(client_connection, "k", 2)
            assert (repeat.playback, repeat.answer, repeat.again) == (first, answer.answer, True)
            await client_connection.send(api.End(first or "", 3))
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert [
                len(last.playbacks),
                len(last.event_readers),
                len(last.requested_rungs),
                last.usage.playbacks,
            ] == [0] * 4
            rig.assert_rules_hold()

    run_async_test(test)


def test_a_playback_that_ended_before_its_answer_leaves_its_client_session(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an entry that stays where the end of a playback is reported before its set-up."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as client_connection:
            _, session_api = coordinator_and_api(rig)
            await client_connection.receive()
            # The node's report of the end arrived first.
            monkeypatch.setattr(NodeSessions, "claim", lambda *_: False)
            answer = await request_playback(client_connection, "k")
            assert answer.status == HTTPStatus.CREATED
            event = await client_connection.receive()
            assert isinstance(event, api.Event)
            assert (event.playback, event.kind) == (answer.playback, "inactive")
            (api_client,) = session_api.clients.values()
            await wait_until(
                lambda: (
                    not (
                        api_client.playbacks
                        or api_client.event_readers
                        or api_client.requested_rungs
                        or api_client.usage.playbacks
                    )
                )
            )

    run_async_test(test)


def test_a_repeat_of_an_answered_request_passes_every_limit(tmp_path: Path) -> None:
    """Load shedding, limits of the client and changed routes reject new requests, not replays."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as client_connection:
            service = rig.front_end.service if rig.front_end else None
            assert service is not None
            await client_connection.receive()
            over_session = await request_playback(client_connection, "seat")
            paid = await rig.request_playback("/whep/course/t", Idempotency_Key='"paid"')
            service.request_queue.should_shed = lambda path: True  # type: ignore[method-assign]
            for api_client in coordinator_and_api(rig)[1].clients.values():
                api_client.usage.pending_requests = api_client.usage.limits.pending_requests
            service.coordinator.site.route_table.plans.clear()
            assert (await rig.request_playback()).status == HTTPStatus.SERVICE_UNAVAILABLE
            assert (
                await request_playback(client_connection, "other", 2)
            ).status == HTTPStatus.TOO_MANY_REQUESTS
            assert (await request_playback(client_connection, "seat", 3)).playback == over_session.playback
            repeat = await rig.request_playback("/whep/course/t", Idempotency_Key='"paid"')
            assert (repeat.status, repeat.header("location")) == (201, paid.header("location"))

    run_async_test(test)


LATE_CALLS = [
    ("PATCH", ""),
    ("DELETE", ""),
    ("POST", "/layer"),
    ("GET", "/events"),
    ("POST", "/move"),
    ("POST", "/move/done"),
]


@pytest.mark.parametrize("session_state", ["ending", "ended"])
def test_every_call_on_a_session_that_has_ended_gets_404(tmp_path: Path, session_state: str) -> None:
    """This holds over both APIs, while the node has not confirmed the end and afterwards."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as client_connection:
            await client_connection.receive()
            playing = await request_playback(client_connection, "k")
            location = (await rig.request_playback()).header("location") or ""
            for node in rig.nodes_in_use():
                # "ending": the node has not confirmed the end of the session.
                node.faults.is_silent = session_state == "ending"
            for name in (location, f"/session/{playing.playback}"):
                assert (await rig.request("DELETE", name)).status == HTTPStatus.OK
            if session_state == "ended":
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            for method, suffix in LATE_CALLS:
                body = offer(20_000, 1).encode() if suffix == "/move" else b'{"encodingId": "0"}'
                kind = {"": SDPFRAG_MEDIA_TYPE, "/move": sdp.MEDIA_TYPE}.get(suffix, "application/json")
                answer = await rig.request(method, location + suffix, body, Content_Type=kind, If_Match="*")
                assert answer.status == HTTPStatus.NOT_FOUND, (method, suffix)
            calls = [
                api.Layer(playing.playback, 0, 7),
                api.Pause(playing.playback, 8),
                api.MoveDone(playing.playback, 9),
                api.End(playing.playback, 10),
            ]
            for n, call in enumerate(calls):
                await client_connection.send(call)
                while not isinstance(done := await client_connection.receive(), api.Done):
                    pass
                is_repeated_end = isinstance(call, api.End) and session_state == "ending"
                expected_status = HTTPStatus.OK if is_repeated_end else HTTPStatus.NOT_FOUND
                assert (done.id, done.status) == (7 + n, expected_status)
            for node in rig.fleet.nodes.values():
                node.faults.is_silent = False
                node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)

    run_async_test(test)
