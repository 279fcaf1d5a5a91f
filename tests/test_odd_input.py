"""Unusual but valid input, long-lasting faults and failing connections: each affects no other client."""

from __future__ import annotations

from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
import trio.testing
from oakcroft.client.retry import Retries
from oakcroft.client.session import SessionClient
from oakcroft.decisions.fleet.backoff import EVENT_STREAM_RETRY, LIST_RETRY, RetryBackoff
from oakcroft.decisions.sessions.node_sessions import NodeSessions
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.sessions.setup_outcome import RequestProgress, setup_outcome
from oakcroft.decisions.fleet.node_list import ListRejection, NodeList
from oakcroft.front import node_list_client
from oakcroft.front.node_client import NodeClient
from oakcroft.front.playback_session import UpstreamSession
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS, SECOND, Outcome
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import session_api as api
from oakcroft.standins.playout import PlayoutNode, reset_connection

from rig import Rig, run_async_test, running_front_end, wait_until
from test_sessions import coordinator_and_api, raw_client
from test_repeated_requests import request_playback


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
    connect_limit = 1_100
    attempts = [0]

    async def test() -> None:
        async with trio.open_nursery() as nursery:
            client = SessionClient("http://127.0.0.1:1", "", api.JSON, nursery, Retries(Random(1)))

            async def refuse_connection() -> None:
                attempts[0] += 1
                if attempts[0] > connect_limit:
                    nursery.cancel_scope.cancel()
                raise OSError("connection refused")

            client._connect = refuse_connection  # type: ignore[method-assign]
            nursery.start_soon(client._run)

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    assert attempts[0] > connect_limit


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
            assert (await rig.request_playback()).status == HTTPStatus.CREATED

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
            assert (await rig.request_playback()).status == HTTPStatus.CREATED

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
                if pending and response.status == HTTPStatus.CREATED:
                    pending.clear()
                    response.headers = [
                        (name, value if name == field else old) for name, old in response.headers
                    ]
                return response

            monkeypatch.setattr(PlayoutNode, "set_up", answer_with_changed_field)
            first = await rig.request_playback("/whep/course/t")
            assert first.status == status
            if status == HTTPStatus.CREATED:
                end_answer = await rig.request("DELETE", first.header("location") or "")
                assert end_answer.status == HTTPStatus.OK
            assert (await rig.request_playback("/whep/course/t")).status == HTTPStatus.CREATED

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
            assert (await peer.request("POST", "/a", [], b"x" * 10)).status == HTTPStatus.CREATED
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
            playing = await request_playback(client_connection, "k")
            assert playing.status == HTTPStatus.CREATED
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
            assert len(coordinator.sessions_by_id) == len((answer, playing))
            assert (await rig.request_playback()).status == HTTPStatus.CREATED

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
            ).status == HTTPStatus.OK
            assert target.etag == "target"

    run_async_test(test)


def test_unclaimed_sessions_of_a_node_are_bounded() -> None:
    """Guards against unbounded memory where a node reports sessions without end."""
    started_count, max_unclaimed = 1_000, 100
    claims = NodeSessions(10 * SECOND, max_unclaimed=max_unclaimed)
    for number in range(started_count):
        claims.session_started(f"/s/{number}", 0)
    assert len(claims.take_orphans(0)) == started_count - max_unclaimed
    assert len(claims.unclaimed) == max_unclaimed
    assert claims.claim("/s/950", 0)
