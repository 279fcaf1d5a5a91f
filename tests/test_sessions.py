"""The session API: client sessions that outlive connections, the request queue, and whole sessions over WebSocket."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest
import trio
import wsproto
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import Rig, wait_until_recovered, run_async_test, running_front_end, start_front_end, wait_until
from wsproto import events

from oakcroft.client import Refused, Retries, SessionClient, Unsure, WhepClient
from oakcroft.client.blocking import BlockingWhepClient
from oakcroft.client.retry import RetryAction
from oakcroft.decisions.admission.client_limits import ClientLimits, ClientUsage, ClientVerdict
from oakcroft.decisions.admission.resume_tokens import TokenError, ResumeTokens
from oakcroft.decisions.sessions.client_session import (
    Outbox,
    KeepaliveProbe,
    ClientSession,
    ClientSessionState,
)
from oakcroft.decisions.admission.load_shedding import FairQueue, QueuedRequest, ConcurrencyWindow
from oakcroft.httpwire.message import is_whole_post
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.websocket_api import SessionApi
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import session_api as api

HERE = Path(__file__).parent
OFFER = offer(9_000, 4)


# Decisions.


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.sampled_from("pacb"), st.integers(0, 6)), max_size=60))
def test_a_client_receives_each_message_once_and_in_order_over_reconnects(
    steps: list[tuple[str, int]],
) -> None:
    """Random sequences of messages, acknowledgements and lost connections lose and repeat no message."""
    client_session, now, connection_number = ClientSession[int](10 * SECOND, Outbox(16), connection=1), 0, 1
    received, sent, wire = list[int](), 0, list[tuple[int, int]]()
    for step, count in steps:
        now += MS
        if step == "p" and not client_session.has_ended:
            number = client_session.enqueue(sent, now)
            if number is not None:
                sent += 1
                if client_session.state is ClientSessionState.ATTACHED:
                    wire.append((number, sent - 1))
        elif step == "a":  # the connection delivers some messages, the client acknowledges them
            for number, message in wire[:count]:
                if number == len(received) + 1:
                    received.append(message)
            del wire[:count]
            assert client_session.outbox.acknowledge(len(received))
        elif step == "c":  # the connection is lost and the client reconnects: messages in transit are lost
            client_session.detach(connection_number, now)
            wire.clear()
            connection_number += 1
            attachment = client_session.attach(connection_number, len(received), now)
            if attachment is not None:
                wire += attachment[0]
        elif step == "b":
            client_session.detach(connection_number, now)
            wire.clear()
    attachment = client_session.attach(connection_number + 1, len(received), now)
    if attachment is None:
        assert client_session.state is ClientSessionState.OVERRUN
        return
    assert received + [m for _, m in attachment[0]] == list(range(sent))


def test_the_later_connection_wins_and_a_client_session_expires() -> None:
    """An earlier connection has no effect any more, and an unattached client session ends after its timeout."""
    client_session = ClientSession[str](SECOND, Outbox(4), connection=1)
    assert client_session.enqueue("a", 0) == 1
    assert client_session.attach(2, 0, 1) == ([(1, "a")], 1)
    assert not client_session.detach(1, 2)  # the earlier connection no longer acts for the client session
    assert not client_session.leave(1, 2)
    assert client_session.detach(2, 3)
    assert not client_session.check_expiry(SECOND)
    assert client_session.check_expiry(2 * SECOND)
    assert client_session.attach(3, 0, 2 * SECOND) is None
    misbehaving_session = ClientSession[str](SECOND, Outbox(4), connection=1)
    assert not misbehaving_session.outbox.acknowledge(1)
    assert misbehaving_session.attach(2, 5, 0) is None  # it acknowledges a message that was never sent
    keepalive = KeepaliveProbe(SECOND)
    for asked in range(3):
        assert not keepalive.is_dead, asked
        keepalive.ping_sent()
    assert keepalive.is_dead
    keepalive.message_received()
    assert not keepalive.is_dead


def test_resume_tokens_are_signed_bound_to_a_caller_and_expire() -> None:
    """A token is valid only unchanged, for its caller, within its lifetime and while its key is kept."""
    tokens = ResumeTokens(10 * SECOND, SECOND)
    tokens.add_key(0, b"k" * 32, 0)
    token = tokens.issue("seat-1", "alice", 0)
    assert tokens.verify(token, "alice", 1) == "seat-1"
    assert tokens.verify(token, "bob", 1) is TokenError.BAD_SIGNATURE
    assert tokens.verify(token.replace("seat-1", "seat-2"), "alice", 1) is TokenError.BAD_SIGNATURE
    assert tokens.verify(token, "alice", 11 * SECOND) is TokenError.EXPIRED
    assert tokens.verify("no pass", "alice", 1) is TokenError.MALFORMED
    assert tokens.needs_key(2 * SECOND)
    tokens.add_key(1, b"l" * 32, 2 * SECOND)
    assert tokens.verify(token, "alice", 3 * SECOND) == "seat-1"
    tokens.add_key(2, b"m" * 32, 4 * SECOND)
    assert tokens.verify(token, "alice", 5 * SECOND) is TokenError.UNKNOWN_KEY
    restarted = ResumeTokens(10 * SECOND)
    restarted.add_key(9, b"z" * 32, 0)
    assert restarted.verify(token, "alice", 1) is TokenError.UNKNOWN_KEY


def test_the_usage_of_a_client_is_limited() -> None:
    """Connections, pending requests, playbacks and the message rate each have their limit."""
    client = ClientUsage(
        ClientLimits(
            connections=1, pending_requests=2, playbacks=3, messages_per_second=1.0, message_burst=2.0
        )
    )
    assert [client.open_connection(), client.open_connection()] == [
        ClientVerdict.ALLOWED,
        ClientVerdict.TOO_MANY_CONNECTIONS,
    ]
    assert [client.request_playback() for _ in range(3)] == [
        ClientVerdict.ALLOWED,
        ClientVerdict.ALLOWED,
        ClientVerdict.TOO_MANY_REQUESTS,
    ]
    client.finish_request(True)
    client.finish_request(True)
    assert client.request_playback() is ClientVerdict.ALLOWED
    client.finish_request(True)
    assert client.request_playback() is ClientVerdict.TOO_MANY_PLAYBACKS
    assert [
        client.receive_message(0),
        client.receive_message(0),
        client.receive_message(0),
        client.receive_message(SECOND),
    ] == [
        ClientVerdict.ALLOWED,
        ClientVerdict.ALLOWED,
        ClientVerdict.MESSAGE_RATE_EXCEEDED,
        ClientVerdict.ALLOWED,
    ]
    assert not client.is_unused


def test_the_fair_queue_answers_in_time_and_starves_no_plan() -> None:
    """Under five times the capacity, the queue earns far more than in order of arrival, and every plan gets its share."""
    served: dict[str, dict[str, int]] = {}
    for order in ("fair", "arrival"):
        fair_queue = FairQueue(
            {"dear": 9.0, "cheap": 1.0}, ConcurrencyWindow(min_size=1, max_size=1, size=1.0), 50 * MS
        )
        rng, now, number, in_time = Random(3), 0, 0, {"dear": 0, "cheap": 0}
        queue = list[QueuedRequest]()
        finishes: list[int] = []
        for now in range(0, 20 * SECOND, 10 * MS):
            # 100 requests a second at 50 ms each: five times the capacity
            for _ in range(rng.choice([0, 1, 1, 2])):
                number += 1
                queued = QueuedRequest(
                    now + 500 * MS, number, rng.choice(["dear", "cheap"]), f"c{rng.randrange(5)}"
                )
                if order == "arrival":
                    queue.append(queued)
                elif fair_queue.submit(queued):
                    in_time[queued.plan] += 1
                    finishes.append(now + 50 * MS)
            for at in [f for f in finishes if f <= now]:
                finishes.remove(at)
                if order == "fair":
                    fair_queue.finish()
            if order == "fair":
                fair_queue.remove_expired(now)
                while (turn := fair_queue.next_request()) is not None:
                    in_time[turn.plan] += 1
                    finishes.append(now + 50 * MS)
            elif queue and not finishes:
                queued = queue.pop(0)
                finishes.append(now + 50 * MS)
                in_time[queued.plan] += queued.abandon_at >= now + 50 * MS
        served[order] = in_time
    revenue = {order: 9 * s["dear"] + s["cheap"] for order, s in served.items()}
    assert revenue["fair"] > 5 * revenue["arrival"]
    assert served["fair"]["cheap"] >= 0.08 * sum(served["fair"].values())  # its minimum share
    assert served["fair"]["dear"] > 4 * served["fair"]["cheap"]


def test_the_concurrency_window_shrinks_under_delay_and_recovers() -> None:
    """The window shrinks to its minimum while the event loop is late, and grows again afterwards."""
    window = ConcurrencyWindow(min_size=4, max_size=100, size=100.0)
    for _ in range(30):
        window.adjust(80 * MS)
    assert window.size == 4
    for _ in range(30):
        window.adjust(0)
    assert window.size == 100


def test_a_plan_that_cannot_be_served_in_time_is_shed_and_no_other() -> None:
    """Only the plan whose queue is longer than its share of the throughput is shed."""
    fair_queue = FairQueue(
        {"dear": 9.0, "cheap": 1.0},
        ConcurrencyWindow(min_size=1, max_size=1, size=1.0),
        50 * MS,
        startup_targets={"dear": SECOND, "cheap": SECOND},
    )
    fair_queue.submit(QueuedRequest(5 * SECOND, 0, "cheap", ""))
    fair_queue.turns_since_heartbeat, fair_queue.throughput = 0, 100.0
    for number in range(1, 20):
        assert not fair_queue.should_shed("dear")
        if not fair_queue.should_shed("cheap"):
            fair_queue.submit(QueuedRequest(5 * SECOND, number, "cheap", ""))
    # Alone it gets all the turns: 50 in half its startup target.
    assert fair_queue.plans["cheap"].waiting_count == 19
    fair_queue.submit(QueuedRequest(5 * SECOND, 20, "dear", ""))
    assert fair_queue.should_shed("cheap")  # now it gets a tenth of them
    assert not fair_queue.should_shed("dear")


def test_only_a_complete_plain_post_is_answered_unparsed() -> None:
    """Any header field or byte beyond a plain POST makes the server parse the request."""
    good = b"POST /whep/open/t HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nv=0\n"
    assert is_whole_post(good)
    assert is_whole_post(good.replace(b"Content-Length", b"content-length"))
    for bad in (
        good[:-1], good + b"P", good.replace(b"POST", b"GET "), good.replace(b"\r\nContent-Length: 4", b""),
        good.replace(b"Host: a", b"Transfer-Encoding: chunked"), good.replace(b"Host: a", b"Expect: 100-continue"),
        good.replace(b"Host: a", b"Connection: close"), good.replace(b"Host: a", b"Content-Length: 4"), b"POST /", b"",
    ):  # fmt: skip
        assert not is_whole_post(bad), bad


def test_a_client_retries_only_where_that_is_safe() -> None:
    """The retry policy gives the action for each kind of answer, within its budget."""
    retries = Retries(Random(1), most=3)
    assert retries.after(1, 201, "", True, None)[0] is RetryAction.DONE
    assert retries.after(1, None, "", True, None, sent=False)[0] is RetryAction.SAME_KEY
    # A killed front end without a state file forgets its keys.
    assert retries.after(1, None, "", True, None, sent=True)[0] is RetryAction.GIVE_UP
    assert Retries(Random(1), repeatable=True).after(1, None, "", True, None)[0] is RetryAction.SAME_KEY
    assert retries.after(1, 409, "urn:oakcroft:problem:outstanding", True, 1.0)[0] is RetryAction.SAME_KEY
    next_action, wait = retries.after(1, 503, "", True, 2.0)
    assert next_action is RetryAction.NEW_KEY
    assert 2.0 <= wait <= 2.5
    assert retries.after(1, 504, "", False, None)[0] is RetryAction.GIVE_UP
    assert retries.after(3, 503, "", True, None)[0] is RetryAction.GIVE_UP
    assert retries.after(1, 400, "", True, None)[0] is RetryAction.GIVE_UP
    while retries.after(1, 503, "", True, None)[0] is RetryAction.NEW_KEY:
        pass
    assert retries.budget < 1.0


def test_the_reference_page_matches_the_messages() -> None:
    """The reference page in docs is generated from the message classes as they are."""
    assert (HERE.parent / "docs" / "session-api.md").read_text() == api.reference()


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=120), st.sampled_from(api.SUBPROTOCOLS))
def test_arbitrary_bytes_raise_only_value_error_in_the_codec(data: bytes, subprotocol: str) -> None:
    """Bytes decode to a message that survives encoding, or raise ValueError."""
    codec = api.Codec(subprotocol)
    try:
        message = codec.decode_client_message(data)
    except ValueError:
        return
    assert codec.decode_client_message(codec.encode(message)) == message


# Whole sessions.


def coordinator_and_api(rig: Rig) -> tuple[SessionCoordinator, SessionApi]:
    """Returns the coordinator and the session API of a running front end."""
    assert rig.front_end is not None
    assert rig.front_end.coordinator is not None
    assert rig.front_end.session_api is not None
    return rig.front_end.coordinator, rig.front_end.session_api


class RawClient:
    """A WebSocket client whose every step is under the test's control."""

    def __init__(self, stream: trio.SocketStream, websocket: wsproto.WSConnection) -> None:
        """`websocket`: the state of an upgraded connection on `stream`."""
        self.stream, self.websocket = stream, websocket

    async def send(self, message: object) -> None:
        """Sends a message as one text frame."""
        await self.stream.send_all(
            self.websocket.send(events.TextMessage(data=api.Codec(api.JSON).encode(message).decode()))
        )

    async def next_event(self) -> events.Event:
        """Returns the next WebSocket event."""
        while True:
            for event in self.websocket.events():
                return event
            self.websocket.receive_data(await self.stream.receive_some(65_536) or None)

    async def receive(self) -> api.ToClient:
        """Returns the next message; fails if the connection was closed."""
        while True:
            event = await self.next_event()
            if isinstance(event, events.TextMessage):
                return api.Codec(api.JSON).decode_server_message(event.data.encode())
            assert not isinstance(event, events.CloseConnection), (event.code, event.reason)

    async def close_code(self) -> int:
        """Returns the status code of the close frame, skipping what comes before it."""
        while not isinstance(event := await self.next_event(), events.CloseConnection):
            pass
        return event.code

    async def abort(self) -> None:
        """Closes the connection without a close frame."""
        await trio.aclose_forcefully(self.stream)


async def open_raw_client(rig: Rig) -> RawClient:
    """Opens a WebSocket connection to the front end."""
    stream = await trio.open_tcp_stream("127.0.0.1", rig.port)
    websocket = wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
    await stream.send_all(websocket.send(events.Request(host="a", target="/api/v1", subprotocols=[api.JSON])))
    client_connection = RawClient(stream, websocket)
    assert isinstance(await client_connection.next_event(), events.AcceptConnection)
    return client_connection


@asynccontextmanager
async def raw_client(rig: Rig, hello: api.Hello | None = None) -> AsyncIterator[RawClient]:
    """Gives a raw client that has sent `hello`, if there is one."""
    client_connection = await open_raw_client(rig)
    try:
        if hello is not None:
            await client_connection.send(hello)
        yield client_connection
    finally:
        await client_connection.abort()


def test_a_playback_over_websocket_and_the_client_library(tmp_path: Path) -> None:
    """The client library plays, changes rungs, gets events and ends playbacks in both subprotocols."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator, sessions = coordinator_and_api(rig)
            for subprotocol in api.SUBPROTOCOLS:
                async with SessionClient.open(
                    f"http://127.0.0.1:{rig.port}", subprotocol=subprotocol
                ) as client:
                    playback = await client.play("/whep/open/t", OFFER)
                    assert "m=video" in playback.answer
                    assert await client.layer(playback, 1) == 200
                    assert await client.layer(playback, 9) == 422
                    with pytest.raises(Refused, match="404"):
                        await client.play("/nowhere/t", OFFER)
                    rig.nodes_in_use()[0].kill()
                    with trio.fail_after(5):
                        received = [e.kind async for e in playback.events]
                    assert received[-1] == "inactive"
                    second = await client.play("/whep/course/t", OFFER)
                    assert rig.nodes_in_use()
                    await client.end(second)
                    await wait_until(lambda: not rig.nodes_in_use())
                    third = await client.play("/whep/course/u", OFFER)
                    assert third.id in coordinator.sessions_by_id
                # Closing the client ended its playbacks.
                await wait_until(lambda: not rig.nodes_in_use() and not coordinator.sessions_by_playback)
                await wait_until(lambda: not sessions.clients)
                for node in rig.fleet.nodes.values():
                    if node.faults.is_dead:
                        node.machine.restart(0)
                        await rig.fleet.start_node(node)

    run_async_test(test, 40)


def test_one_key_over_both_apis_is_one_playback(tmp_path: Path) -> None:
    """A key that was used over HTTP replays its answer over WebSocket."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as client_connection:
            assert isinstance(await client_connection.receive(), api.Welcome)
            http_answer = await rig.request(
                "POST",
                "/whep/course/t",
                OFFER.encode(),
                Content_Type="application/sdp",
                Idempotency_Key='"k"',
            )
            await client_connection.send(api.Ask(1, "/whep/course/t", OFFER, "k"))
            answer = await client_connection.receive()
            assert isinstance(answer, api.Answer)
            assert (answer.status, answer.again) == (201, True)
            assert f"/session/{answer.playback}" == http_answer.header("location")
            assert len(rig.recorded("ran")) == 1

    run_async_test(test)


SCRIPT: list[object] = [
    api.Ask(1, "/whep/open/a", OFFER, "ka"), api.Ask(2, "/whep/course/b", OFFER, "kb"), api.Layer("?", 1, 3),
    api.End("?", 4),
]  # fmt: skip


@pytest.mark.parametrize("cut", range(2 * len(SCRIPT) + 1))
def test_a_connection_lost_at_any_message_loses_and_repeats_nothing(tmp_path: Path, cut: int) -> None:
    """Cuts the connection before or after one message of a script, reconnects and runs the rest of the script.

    Guards against messages lost or repeated when a client session is resumed.
    """

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            coordinator, sessions = coordinator_and_api(rig)
            received, numbers, playing, resume_token = list[object](), list[int](), dict[int, str](), ""

            async def connect() -> RawClient:
                """Opens a connection that resumes the client session, if there is one."""
                nonlocal resume_token
                client_connection = await open_raw_client(rig)
                await client_connection.send(api.Hello(resume_token, numbers[-1] if numbers else 0))
                welcome = await client_connection.receive()
                assert isinstance(welcome, api.Welcome)
                assert welcome.back is bool(resume_token)
                resume_token = welcome.resume
                return client_connection

            client_connection = await connect()
            for i, message in enumerate(SCRIPT):
                if cut == 2 * i:  # before the message is sent
                    await client_connection.abort()
                    client_connection = await connect()
                if isinstance(message, api.Layer):
                    message = api.Layer(playing[1], message.rung, message.id)
                elif isinstance(message, api.End):
                    message = api.End(playing[1], message.id)
                await client_connection.send(message)
                if cut == 2 * i + 1:  # sent, but its answer is not received
                    await trio.sleep(0.05)
                    await client_connection.abort()
                    client_connection = await connect()
                await collect(client_connection, received, numbers, playing, i + 1)
            if cut == 2 * len(SCRIPT):
                await client_connection.abort()
                client_connection = await connect()
            answers = [m.id for m in received if isinstance(m, api.Answer | api.Done)]
            assert answers == [1, 2, 3, 4]
            assert numbers == list(range(1, len(numbers) + 1))  # each message once, in order
            assert len(rig.recorded("ran")) == 2
            await client_connection.send(api.Bye())
            assert await client_connection.close_code() == 1000
            await client_connection.abort()
            await wait_until(
                lambda: (
                    not coordinator.sessions_by_playback and not sessions.clients and not rig.nodes_in_use()
                )
            )
            await wait_until(lambda: not sessions.usage_by_caller and coordinator.unanswered_count == 0)

    run_async_test(test)


async def collect(
    client: RawClient, received: list[object], numbers: list[int], playing: dict[int, str], wanted: int
) -> None:
    """Receives messages until the answers to the first `wanted` calls have arrived."""
    with trio.fail_after(5):
        while len([m for m in received if isinstance(m, api.Answer | api.Done)]) < wanted:
            message = await client.receive()
            received.append(message)
            numbers.append(getattr(message, "n", 0))
            if isinstance(message, api.Answer):
                playing[message.id] = message.playback


def test_a_later_connection_replaces_and_an_unknown_resume_token_is_reported(tmp_path: Path) -> None:
    """A reconnect closes the earlier connection, and an unknown token starts a new session with the reason."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig, api.Hello()) as client_connection:
            welcome = await client_connection.receive()
            assert isinstance(welcome, api.Welcome)
            async with raw_client(rig, api.Hello(welcome.resume, 0)) as second:
                again = await second.receive()
                assert isinstance(again, api.Welcome)
                assert again.back
                assert isinstance(await client_connection.receive(), api.Replaced)
                assert await client_connection.close_code() == 4001
            async with raw_client(rig, api.Hello("1.2.x.y", 0)) as third:
                new_session_welcome = await third.receive()
                assert isinstance(new_session_welcome, api.Welcome)
                assert (new_session_welcome.back, new_session_welcome.why) == (
                    False,
                    TokenError.UNKNOWN_KEY.value,
                )

    run_async_test(test)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x81\x05hello", 1002),  # a client's frames are masked (5.1)
        (b"\x83\x80\0\0\0\0", 1002),  # a reserved opcode (5.2)
        (b"\xc1\x80\0\0\0\0", 1002),  # a reserved bit (5.2)
        (b"\x09\x80\0\0\0\0", 1002),  # a fragmented control frame (5.5)
        (b"\x89\xfe\x00\x7e\0\0\0\0" + b"x" * 126, 1002),  # a control frame over 125 bytes (5.5)
        (b"\x80\x80\0\0\0\0", 1002),  # a continuation frame without a message (5.4)
        (b"\x81\x82\0\0\0\0\xff\xfe", 1007),  # text that is not UTF-8 (8.1)
        (b"\x82\x82\0\0\0\0{}", 1003),  # a binary frame under the JSON subprotocol
        (b"\x81\x82\0\0\0\0{}", 1007),  # a JSON object that is no message
        (b"\x88\x82\0\0\0\0\x03\xe8", 1000),  # a close frame is answered with one (5.5.1)
        (b"\x88\x81\0\0\0\0x", 1002),  # a close frame with half a status code (5.5.1)
    ],
)
def test_frames_that_the_rfc_forbids_close_with_its_code(tmp_path: Path, data: bytes, code: int) -> None:
    """Each violation of RFC 6455 closes its connection with the status code of the RFC."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig) as client_connection:
            await client_connection.stream.send_all(data)
            with trio.fail_after(3):
                assert await client_connection.close_code() == code
            assert (await rig.request_playback()).status == 201

    run_async_test(test)


def test_fragmented_messages_pings_and_invalid_acknowledgements(tmp_path: Path) -> None:
    """Fragments are joined, pings are answered, and an acknowledgement of nothing sent closes the connection."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, raw_client(rig) as client_connection:
            text = api.Codec(api.JSON).encode(api.Hello()).decode()
            await client_connection.stream.send_all(
                client_connection.websocket.send(events.TextMessage(data=text[:5], message_finished=False))
            )
            # A control frame between fragments (5.4).
            await client_connection.stream.send_all(
                client_connection.websocket.send(events.Ping(payload=b"p"))
            )
            assert isinstance(await client_connection.next_event(), events.Pong)
            await client_connection.stream.send_all(
                client_connection.websocket.send(events.TextMessage(data=text[5:], message_finished=True))
            )
            assert isinstance(await client_connection.receive(), api.Welcome)
            await client_connection.send(api.Ack(7))
            assert await client_connection.close_code() == 1008
            without_upgrade = await rig.request("GET", "/api/v1")
            assert without_upgrade.status == 426

    run_async_test(test)


def test_random_bytes_after_the_upgrade_affect_no_other_client(tmp_path: Path) -> None:
    """Random bytes cause no failed request in the log, and other clients are served."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            rng = Random(5)
            for _ in range(25):
                async with raw_client(rig) as client_connection:
                    await client_connection.stream.send_all(rng.randbytes(rng.randrange(1, 200)))
            assert (await rig.request_playback()).status == 201
            assert not any(e["event"] == "request failed" for e in rig.log_entries())

    run_async_test(test)


def test_the_http_client_retries_safely(tmp_path: Path) -> None:
    """A paid request without an answer is not repeated, and the blocking client plays and ends."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            client = WhepClient(f"http://127.0.0.1:{rig.port}", retries=Retries(Random(1), first_wait=0.01))
            playing = await client.ask("/whep/open/t", OFFER)
            await client.end(playing)
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            with pytest.raises(Unsure):
                await client.ask("/whep/course/t", OFFER)
            assert len([f for f in rig.recorded("setup") if f["plan"] == "course"]) == 1
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = False
                node.notify_changed()

            def play_blocking() -> int:
                """Plays with the blocking client; returns the length of the answer."""
                with BlockingWhepClient(f"http://127.0.0.1:{rig.port}") as blocking:
                    answer = blocking.ask("/whep/open/t", OFFER)
                    blocking.end(answer)
                    return len(answer.answer)

            await wait_until(lambda: not rig.nodes_in_use(), 10)
            assert await trio.to_thread.run_sync(play_blocking) > 100

    run_async_test(test)


def test_a_request_pending_in_a_restart_is_not_repeated(tmp_path: Path) -> None:
    """Guards against a paid playback that is set up twice, before and after a restart without a state file."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig, trio.open_nursery() as nursery:
            for node in rig.fleet.nodes.values():
                node.faults.is_hung = True
            async with SessionClient.open(
                f"http://127.0.0.1:{rig.port}", retries=Retries(Random(1))
            ) as client:
                unsure: list[Unsure] = []

                async def request_in_vain() -> None:
                    """Requests a paid playback, which must end in doubt."""
                    with pytest.raises(Unsure) as caught:
                        await client.play("/whep/course/t", OFFER)
                    unsure.append(caught.value)

                nursery.start_soon(request_in_vain)
                await wait_until(lambda: rig.recorded("setup"))
                rig.front_end_scope.cancel()
                await start_front_end(nursery, rig, port=rig.port)
                await wait_until(lambda: unsure)
                assert unsure[0].kind.endswith(":front-lost")
                assert len(rig.recorded("setup")) == 1
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_a_call_lost_with_its_connection_is_sent_again_and_carried_out_once(tmp_path: Path) -> None:
    """The connection is lost before a call is written, or while its set-up is pending at a node."""

    async def test() -> None:
        async with running_front_end(tmp_path) as rig:
            async with SessionClient.open(
                f"http://127.0.0.1:{rig.port}", retries=Retries(Random(1))
            ) as client:
                for i in range(4):
                    stream, cuts = client.stream, client.resumed
                    assert stream is not None
                    if i % 2:
                        await trio.aclose_forcefully(stream)  # before the call is written
                    else:
                        for node in rig.fleet.nodes.values():
                            node.faults.is_hung = True

                        async def cut_connection(
                            stream: trio.SocketStream = stream, so_far: int = i, cuts: int = cuts
                        ) -> None:
                            await wait_until(lambda: len(rig.recorded("setup")) > so_far)
                            await trio.aclose_forcefully(stream)
                            await wait_until(lambda: client.resumed > cuts)
                            for node in rig.fleet.nodes.values():
                                node.faults.is_hung = False
                                node.notify_changed()

                    async with trio.open_nursery() as nursery:  # or while its set-up is pending at a node
                        if not i % 2:
                            nursery.start_soon(cut_connection)
                        playback = await client.play(f"/whep/course/t{i}", OFFER)
                    assert playback.answer
                    await wait_until(lambda cuts=cuts: client.resumed > cuts)  # type: ignore[misc]
                assert client.lost == 0
            assert len(rig.recorded("ran")) == 4

    run_async_test(test)


def test_a_client_continues_over_the_restart_of_a_front_with_a_state_file(tmp_path: Path) -> None:
    """Playbacks continue over the restart, and a pending paid request is aborted."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            async with SessionClient.open(
                f"http://127.0.0.1:{rig.port}", retries=Retries(Random(1))
            ) as client:
                paid = await client.play("/whep/course/a", offer(900, 1))
                free = await client.play("/whep/open/b", offer(900, 1))
                for node in rig.fleet.nodes.values():
                    node.faults.is_silent = True  # a third request is pending when the front end stops
                answers = list[object]()

                async def request_third() -> None:
                    """Makes the request that is pending in the restart."""
                    ask = api.Ask(next(client.call_ids), "/whep/course/c", offer(900, 1), "third")
                    answers.append(await client.call(ask))

                nursery.start_soon(request_third)
                await wait_until(lambda: len(rig.recorded("setup")) == 3)
                await wait_until(
                    lambda: (
                        rig.front_end
                        and rig.front_end.coordinator
                        and rig.front_end.coordinator.durable_state
                        and not rig.front_end.coordinator.durable_state.store.queue
                    )
                )
                port = rig.port
                rig.front_end_scope.cancel()
                await rig.exited.wait()
                for node in rig.fleet.nodes.values():
                    node.faults.is_silent = False
                    node.notify_changed()
                await start_front_end(nursery, rig, with_state=True, port=port)
                assert rig.front_end is not None
                await wait_until(lambda: answers)
                third_answer = answers[0]
                assert isinstance(third_answer, api.Answer)
                assert (third_answer.status, third_answer.kind) == (504, "urn:oakcroft:problem:aborted")
                assert (client.lost, sorted(client.playbacks)) == (0, sorted([paid.id, free.id]))
                assert await client.layer(paid, 1) == 200
                assert rig.front_end.coordinator.durable_state.restoration.unclaimed_until == {}  # type: ignore[union-attr]
                await client.end(free)
                await wait_until(
                    lambda: len(
                        {f["key"] for f in rig.recorded("over")} & {free.request.key if free.request else ""}
                    )
                )
            assert Counter(f["plan"] for f in rig.recorded("ran"))["course"] <= 2
            nursery.cancel_scope.cancel()

    run_async_test(test)


def test_playbacks_that_no_client_resumes_after_a_restart_end(tmp_path: Path) -> None:
    """Guards against playbacks that run for ever because their client does not return after a restart."""

    async def test() -> None:
        async with trio.open_nursery() as nursery, running_front_end(tmp_path, with_state=True) as rig:
            await wait_until_recovered(rig)
            async with SessionClient.open(
                f"http://127.0.0.1:{rig.port}", retries=Retries(Random(1))
            ) as client:
                await client.play("/whep/course/a", offer(900, 1))
                rig.front_end_scope.cancel()
                await rig.exited.wait()
                client.closing = True  # it does not reconnect
            await start_front_end(nursery, rig, with_state=True)
            assert rig.front_end is not None
            assert rig.front_end.coordinator is not None
            durable_state = rig.front_end.coordinator.durable_state
            assert durable_state is not None
            assert len(durable_state.restoration.unclaimed_until) == 1
            durable_state.restoration.unclaimed_until = dict.fromkeys(
                durable_state.restoration.unclaimed_until, 0
            )
            await wait_until(lambda: len(rig.recorded("over")) == 1)
            nursery.cancel_scope.cancel()

    run_async_test(test)
