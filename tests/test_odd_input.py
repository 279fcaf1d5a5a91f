"""Unusual but valid input, and faults that show only after months: each is handled as specified and affects no others."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
import trio.testing
from oakcroft.client.retry import Retries
from oakcroft.client.session import SessionClient
from oakcroft.decisions.fleet.backoff import EVENT_STREAM_RETRY, LIST_RETRY, RetryBackoff
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.sessions.node_sessions import NodeSessions
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.routing.catalogue import CatalogueVerdict as Taken
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.store.file import DeleteExpired, StateFile
from oakcroft.decisions.sessions.setup_outcome import RequestProgress, setup_outcome
from oakcroft.decisions.sessions.event_stream_health import StreamState
from oakcroft.decisions.sessions.idempotency import IdempotencyStore, KeyDecision
from oakcroft.decisions.fleet.node_list import ListedNode, ListRejection, NodeList
from oakcroft.front import node_list_client
from oakcroft.front.session_service import MAX_EVENT_READERS
from oakcroft.front.node_client import NodeClient
from oakcroft.front.playback_session import UpstreamSession
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp
from oakcroft.signalling import session_api as api
from oakcroft.standins.playout import PlayoutNode, reset_connection

from rig import Rig, wait_until_recovered, run_async_test, running_front_end, start_front_end, wait_until
from test_sessions import RawClient, coordinator_and_api, raw_client


# Faults that last for months.


def test_retries_that_fail_for_months_keep_the_longest_delay() -> None:
    """The backoff never exceeds its longest delay and never falls back to short ones."""
    for schedule in (LIST_RETRY, EVENT_STREAM_RETRY):
        backoff, now, wait = RetryBackoff(schedule, Random(1), 0), 0, None
        for _ in range(3_000):
            wait = backoff.record_failure(now)
            assert wait is not None
            assert wait <= schedule.max_delay
            now += SECOND
        assert wait
        assert wait >= schedule.max_delay // 2


def test_a_client_keeps_reconnecting_to_a_front_that_is_away_for_long() -> None:
    """Guards against an overflow of the reconnect delay: at 1,024 doublings a float cannot hold it."""
    attempts = [0]

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            client = SessionClient("http://127.0.0.1:1", "", api.JSON, nursery, Retries(Random(1)))

            async def refuse_connection() -> None:
                attempts[0] += 1
                if attempts[0] > 1_100:
                    nursery.cancel_scope.cancel()
                raise OSError("connection refused")

            client._connect = refuse_connection  # type: ignore[method-assign]
            nursery.start_soon(client._run)

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    assert attempts[0] > 1_100


# Input of one client or one node over sockets: the front end keeps serving all others.

UPGRADE = (
    "GET /api/v1 HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nSec-WebSocket-Protocol: oakcroft.v1.json\r\n"
)


async def first_answer(rig: Rig, request_bytes: bytes) -> bytes:
    """The first bytes of the answer to `request_bytes` on a new connection."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    async with stream:
        await stream.send_all(request_bytes)
        return bytes(await stream.receive_some(65_536))


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ("Connection: Upgrade\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Key: x\r\nSec-WebSocket-Version: 12\r\n", 426),
        ("Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n", 400),
        ("Sec-WebSocket-Key: x\r\nSec-WebSocket-Version: 13\r\n", 400),
    ],
)
def test_an_invalid_handshake_gets_its_status_and_affects_no_other_client(
    tmp_path: Path, fields: str, status: int
) -> None:
    """A WebSocket handshake without a required field gets an error status."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            assert (await first_answer(rig, f"{UPGRADE}{fields}\r\n".encode())).startswith(
                b"HTTP/1.1 %d" % status
            )
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/whep/open/\u00e9", "k", 404),
        ("/whep/open/t?encodingId=2&x=", "k", 404),
        ("/whep/open/a b", "k", 404),
        ("/whep/open/t", "\u00e9", 400),
        ("/whep/open/t", "a\r\nVia: b", 400),
        ("/whep/open/t", "k" * 256, 400),
        ("/whep/open/%C3%A9", "a key", 201),
    ],
)
def test_paths_and_keys_that_http_cannot_carry_are_rejected_by_the_session_api(
    tmp_path: Path, path: str, key: str, status: int
) -> None:
    """Guards against a request to a node that HTTP cannot represent, or with injected header fields."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            async with raw_client(rig, api.Hello()) as client_connection:
                await client_connection.receive()
                await client_connection.send(api.Ask(1, path, offer(20_000, 1), key))
                answer = await client_connection.receive()
                assert isinstance(answer, api.Answer)
                assert answer.status == status
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


def test_integers_that_only_one_subprotocol_can_encode_are_rejected() -> None:
    """Guards against an id that JSON accepts and the answer cannot repeat."""
    for number in (2**53, -(2**53), 10**400):
        with pytest.raises(ValueError, match="int"):
            api.Codec(api.JSON).decode_client_message(b'{"type":"end","playback":"p","id":%d}' % number)


@pytest.mark.parametrize(
    ("field", "value", "status"),
    [
        ("Location", "http://127.0.0.1:99999/s", 504),
        ("Location", "//[", 504),
        ("Location", "/sessions/\u00e9", 504),
        ("Link", '<//[>; rel="urn:ietf:params:whep:ext:core:layer"', 201),
        ("ETag", '"\u00e9"', 201),
    ],
)
def test_an_invalid_answer_of_a_node_affects_only_its_own_set_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, field: str, value: str, status: int
) -> None:
    """Invalid header fields of a node fail at most the one set-up."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            set_up, pending = PlayoutNode.set_up, [True]

            async def answer_with_changed_field(node: PlayoutNode, request: Request, front: str) -> Response:
                response = await set_up(node, request, front)
                if pending and response.status == 201:
                    pending.clear()
                    response.headers = [
                        (name, value if name == field else old) for name, old in response.headers
                    ]
                return response

            monkeypatch.setattr(PlayoutNode, "set_up", answer_with_changed_field)
            first = await rig.request_playback("/whep/course/t")
            assert first.status == status
            if status == 201:
                end_answer = await rig.request("DELETE", first.header("location") or "")
                assert end_answer.status == 200
            assert (await rig.request_playback("/whep/course/t")).status == 201

    run_async_test(test)


@pytest.mark.parametrize(
    "changed_fields",
    [{"started_at_ms": 1e305}, {"drains_until_ms": -1e305}, {"address": "a..b"}, {"address": "\u00e9" * 80}],
)
def test_a_list_with_an_impossible_time_or_address_is_rejected_as_a_whole(
    changed_fields: dict[str, object],
) -> None:
    """Such a list is rejected by the parser or by the node list, without another exception."""
    fields_of_node = {"name": "n", "cell": 0, "link_kb": 1.0, "places": 1.0} | changed_fields
    socket_address = {"address": fields_of_node.pop("address", "127.0.0.1"), "port_value": 1}
    listed_node = {
        "endpoint": {"address": {"socket_address": socket_address}},
        "metadata": {"filter_metadata": {"oakcroft": fields_of_node}},
    }
    resources = [{"cluster_name": "c", "endpoints": [{"lb_endpoints": [listed_node]}]}]
    body = orjson.dumps({"version_info": "1", "resources": resources})
    try:
        listed_nodes, version, service = node_list_client.parse_response(body)
    except node_list_client.NodeListError:
        return
    assert isinstance(NodeList().apply(listed_nodes, version, service, 0), ListRejection)


# Repeated idempotency keys, in each state of their request.


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
            assert (await rig.request_playback("/whep/course/t")).status == 201
            assert (await rig.request_playback("/whep/open/t")).status == 201
            assert (await rig.request_playback("/whep/course/u")).status == 503
            assert len(rig.recorded("setup")) == 2

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
            assert (await rig.request("DELETE", location)).status == 200
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            repeat = await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')
            assert (repeat.status, repeat.header("location"), repeat.body) == (201, location, first.body)
            assert (await rig.request("DELETE", location)).status == 404
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
            assert repeat.status == 409
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = False
                node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert (await rig.request_playback(Idempotency_Key='"k"')).status == 201
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
            assert (await rig.request_playback("/whep/course/t", Idempotency_Key='"k"')).status == 201
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
                assert answer.status == 201
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
            assert answer.status == 201
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
            assert (await rig.request_playback()).status == 503
            assert (await request_playback(client_connection, "other", 2)).status == 429
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
                assert (await rig.request("DELETE", name)).status == 200
            if session_state == "ended":
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            for method, suffix in LATE_CALLS:
                body = offer(20_000, 1).encode() if suffix == "/move" else b'{"encodingId": "0"}'
                kind = {"": SDPFRAG_MEDIA_TYPE, "/move": sdp.MEDIA_TYPE}.get(suffix, "application/json")
                answer = await rig.request(method, location + suffix, body, Content_Type=kind, If_Match="*")
                assert answer.status == 404, (method, suffix)
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
                assert (done.id, done.status) == (
                    7 + n,
                    200 if done.id == 10 and session_state == "ending" else 404,
                )
            for node in rig.fleet.nodes.values():
                node.faults.is_silent = False
                node.notify_changed()
            await wait_until(lambda: not rig.coordinator().sessions_by_playback)

    run_async_test(test)


# Nodes that are added and removed.


async def replace_node_list(rig: Rig, *listed_nodes: ListedNode) -> None:
    """Applies a new node list: these nodes, and those of the current list that they do not replace."""
    coordinator = rig.coordinator()
    kept = {x.name: x for x in coordinator.node_list.listed_nodes.values()} | {
        x.name: x for x in listed_nodes
    }
    assert await coordinator.node_list_updater.apply(
        list(kept.values()), coordinator.node_list.version + 100, coordinator.node_list.service
    )


def test_added_and_removed_nodes_leave_no_client_no_task_and_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow leak over many changes of the node list."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator = rig.coordinator()
            monkeypatch.setattr(NodeList, "REMOVED_RETENTION", -1)
            n1 = coordinator.node_list.listed_nodes["n1"]
            before = len(coordinator.nursery.child_tasks)
            for n in range(20):  # a replaced machine has a new name, a moved one a new address
                listed_node = replace(n1, name=f"n{n + 10}", port=1 + n, address="127.0.0.1")
                await replace_node_list(rig, listed_node)
                node_client = coordinator.node_clients[listed_node.name]
                coordinator.follow_events(node_client, "/events/x")
                await replace_node_list(rig, replace(listed_node, port=101 + n))
                coordinator.follow_events(coordinator.node_clients[listed_node.name], "/events/x")
                del coordinator.node_list.listed_nodes[listed_node.name]
                del coordinator.node_list.nodes[listed_node.name]
            await wait_until(
                lambda: len(coordinator.node_clients) == 2 and len(coordinator.nursery.child_tasks) == before
            )
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


@pytest.mark.parametrize(("path", "status"), [("/whep/course/t", 504), ("/whep/open/t", 201)])
def test_a_set_up_answered_by_a_process_that_the_list_has_replaced_is_ended_there(
    tmp_path: Path, path: str, status: int
) -> None:
    """A paid set-up is aborted, a free one is tried elsewhere, and the late session is ended."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            async with trio.open_nursery() as nursery:
                answers = list[Response | None]()

                async def ask() -> None:
                    answers.append(await rig.recorded_viewer("k", path))

                nursery.start_soon(ask)
                await wait_until(lambda: rig.recorded("ran"))
                name = rig.recorded("setup")[0]["node"]
                await replace_node_list(rig, replace(rig.coordinator().node_list.listed_nodes[name], port=1))
                for node in rig.fleet.nodes.values():
                    node.faults.is_hung = False
                    node.notify_changed()
                await wait_until(lambda: answers)
            assert answers[0] is not None
            assert answers[0].status == status
            await wait_until(lambda: not rig.node(name).sessions)
            rig.assert_rules_hold()

    run_async_test(test)


def test_publishers_that_ended_by_themselves_leave_no_entry(tmp_path: Path) -> None:
    """Guards against a table of publishers that grows with each of them."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            service = rig.front_end.service if rig.front_end else None
            assert service is not None
            for n in range(4):
                assert (await rig.request_playback(f"/whip/open/live{n}")).status == 201
                (node,) = rig.nodes_in_use()
                node_client = rig.coordinator().node_clients[node.name]
                await wait_until(lambda c=node_client: c.stream_health.state is StreamState.ALIVE)  # type: ignore[misc]
                for session in list(node.sessions):
                    node.end_session(session, "the publisher has gone")
                await wait_until(lambda: not rig.coordinator().sessions_by_playback)
            assert len(service.publishers) == 1

    run_async_test(test)


def test_the_state_file_drops_old_versions_and_removed_nodes(tmp_path: Path) -> None:
    """Guards against a state file that grows with each catalogue version and each node."""

    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            catalogues = rig.front_end.catalogue_versions if rig.front_end else None
            assert catalogues is not None
            catalogues.history.max_versions = 3
            for n in range(8):
                text = f"(catalogue (title t{n} (home 0) (copies 1)) (others yes))"
                assert (await catalogues.replace(text, None, False, ""))[0] is Taken.TAKEN
            rig.stop.set()
            await rig.exited.wait()

    run_async_test(test)
    file = StateFile(str(tmp_path / "state"))
    assert [version.number for version in file.read().versions] == [6, 7, 8]
    file.commit(
        [
            NodePenalty("old", 1.0, 5, 5),
            NodePenalty("new", 1.0, 9, 9),
            SlotUsage("old", 0, 1, 1, 5),
            SlotUsage("new", 0, 1, 1, 9),
        ]
    )
    file.commit([DeleteExpired(0, 10, 8)])
    held = file.read()
    assert ([g.node for g in held.node_penalties], [s.node for s in held.slot_usage]) == (["new"], ["new"])
    file.close()


def test_a_record_after_the_abort_of_its_request_changes_nothing(tmp_path: Path) -> None:
    """A late record does not turn an aborted promise into a playing one."""

    async def test() -> None:
        async with running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            answer = await rig.request_playback("/whep/course/t")
            coordinator, durable_state = rig.coordinator(), rig.coordinator().durable_state
            assert durable_state is not None
            session = coordinator.sessions_by_id[(answer.header("location") or "").rpartition("/")[2]]
            # As if its abandon time was reached meanwhile.
            durable_state.update_promise(
                replace(durable_state.promises[session.id], mark=PromiseState.ABORTED)
            )
            session.final_answer = FinalAnswer.ABORTED
            assert not await durable_state.record_playing(session)
            assert not await durable_state.record_intent(session, "n1", 0, coordinator.clock.now() + SECOND)
            assert durable_state.promises[session.id].mark is PromiseState.ABORTED
            session.final_answer = FinalAnswer.PLAYS
            coordinator.submit_later(lambda: coordinator.end_session(session))
            await wait_until(lambda: not coordinator.sessions_by_playback)

    run_async_test(test)


# Connections that fail.


def test_a_kept_alive_connection_lost_during_a_set_up_proves_nothing() -> None:
    """The server may have read the request before it closed the connection, so its outcome is a reset."""

    async def node(stream: trio.SocketStream) -> None:
        while b"\r\n\r\n" not in await stream.receive_some(4_096):
            pass
        await stream.send_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
        await stream.receive_some(1)  # the next request has begun to arrive
        reset_connection(stream)

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(partial(trio.serve_tcp, node, 0, host="127.0.0.1"))
            peer = HttpClient("127.0.0.1", listener.socket.getsockname()[1])
            assert (await peer.request("POST", "/a", [], b"x" * 10)).status == 201
            assert len(peer.idle) == 1
            progress = RequestProgress()
            with pytest.raises(ExchangeError) as caught:
                await peer.request("POST", "/a", [], b"x" * 10, progress)
            assert setup_outcome(progress, caught.value.end) is Outcome.RESET
            assert not peer.idle
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_idle_connections_and_stalled_readers_lose_only_their_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their playbacks continue, and other clients are served."""
    monkeypatch.setattr("oakcroft.front.websocket_connection.WRITE_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, AsyncExitStack() as stack:
            coordinator, session_api = coordinator_and_api(rig)
            connection_table = rig.front_end.connection_table if rig.front_end else None
            assert connection_table is not None
            connection_table.limits = replace(connection_table.limits, idle=200 * MS, write_within=200 * MS)
            answer = await rig.request_playback()
            location = answer.header("location") or ""
            session = coordinator.sessions_by_id[location.rpartition("/")[2]]
            idle, reader = [await trio.open_tcp_stream("127.0.0.1", rig.port) for _ in range(2)]
            await reader.send_all(f"GET {location}/events HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            client_connection = await stack.enter_async_context(raw_client(rig, api.Hello()))
            await client_connection.receive()
            assert (await request_playback(client_connection, "k")).status == 201
            (api_client,) = session_api.clients.values()
            await wait_until(lambda: session.readers)
            for _ in range(100):  # far more than the socket buffers hold
                coordinator.publish_event(session, "layers", {"encodingId": "x" * 200_000})
                for attached in list(api_client.playbacks.values()):
                    coordinator.publish_event(attached, "layers", {"encodingId": "x" * 200_000})
                await trio.sleep(0)
            await wait_until(lambda: not session.readers and api_client.connection is None)
            assert await idle.receive_some(1) == b""
            await wait_until(lambda: not connection_table.connections)
            # Playbacks continue: the client may resume its session.
            assert len(coordinator.sessions_by_id) == 2
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


def test_an_ice_restart_that_a_move_overtakes_changes_nothing_of_the_target(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The late answer of the source node does not change the entity tag of the target."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            answer = await rig.request_playback()
            location, patch = answer.header("location") or "", NodeClient.patch
            session = rig.coordinator().sessions_by_id[location.rpartition("/")[2]]
            target = UpstreamSession("n9", "/sessions/9", "", "", "target", "")

            async def overtaken(
                node_client: NodeClient, upstream: UpstreamSession, if_match: str, body: bytes
            ) -> Response | None:
                reply = await patch(node_client, upstream, if_match, body)
                session.upstream = target  # the move switched to its target while the node answered
                return reply

            monkeypatch.setattr(NodeClient, "patch", overtaken)
            fragment = b"a=ice-ufrag:fresh001\r\na=ice-pwd:" + b"q" * 24 + b"\r\n"
            assert (
                await rig.request("PATCH", location, fragment, Content_Type=SDPFRAG_MEDIA_TYPE, If_Match="*")
            ).status == 200
            assert target.etag == "target"

    run_async_test(test)


def test_unclaimed_sessions_of_a_node_are_bounded() -> None:
    """Guards against unbounded memory where a node reports sessions without end."""
    claims = NodeSessions(10 * SECOND, max_unclaimed=100)
    for number in range(1_000):
        claims.session_started(f"/s/{number}", 0)
    assert len(claims.take_orphans(0)) == 900
    assert len(claims.unclaimed) == 100
    assert claims.claim("/s/950", 0)
