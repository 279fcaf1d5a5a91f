"""The session API over WebSocket (RFC 6455, on wsproto): an adapter to the session service.

A connection acts for a client session, which outlives it: playbacks, open requests and messages that the client has not
acknowledged belong to the client session (`decisions/sessions/client_session.py`). The requests and event forwarders of
a client session are tasks of the API's nursery, each in a cancel scope of the client session; they end with the client
session, not with the connection.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial

import structlog
import trio
import wsproto
from wsproto import events
from wsproto.frame_protocol import CloseReason

from oakcroft.config.settings import BearerToken
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer, Reply
from oakcroft.decisions.admission.client_limits import CLOSE_CODES, ClientLimits, ClientUsage, ClientVerdict
from oakcroft.decisions.admission.resume_tokens import TokenError, ResumeTokens
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.sessions.client_session import (
    Outbox,
    KeepaliveProbe,
    ClientSession,
    ClientSessionState,
)
from oakcroft.front.session_service import PlaybackRequest, SessionService, RequestError
from oakcroft.front.playback_session import SessionEventReader, PlaybackSession
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.signalling import session_api as api

SESSION_API_PATH = "/api/v1"
RESUME_TIMEOUT_NS = 15 * SECOND
FORWARDED_EVENTS = frozenset({"inactive", "layers", "move"})
HELLO_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 5.0
MAX_RECENT_CALL_IDS = 4096
MessageFactory = Callable[[int], object]


@dataclass(eq=False)
class ApiClient:
    """A client session with the tasks, playbacks and connection that belong to it."""

    id: str
    client_session: ClientSession[object]
    usage: ClientUsage
    token: BearerToken | None
    source: str
    task_scopes: set[trio.CancelScope] = field(default_factory=set)  # of its requests and event forwarders
    playbacks: dict[str, PlaybackSession] = field(default_factory=dict)
    event_readers: dict[str, SessionEventReader] = field(default_factory=dict)
    requested_rungs: dict[str, int] = field(default_factory=dict)
    # Recent call ids, to recognise repeated calls; the values are unused.
    recent_call_ids: OrderedDict[int, None] = field(default_factory=OrderedDict)
    connection: WebSocketConnection | None = None

    def register_call(self, call_id: int) -> bool:
        """Records a call id; False for a repeated call.

        After a lost connection a client repeats calls that it does not know to have been received. Calls without an id
        (0) are never repeated calls.
        """
        if call_id and call_id in self.recent_call_ids:
            return False
        if call_id:
            self.recent_call_ids[call_id] = None
            while len(self.recent_call_ids) > MAX_RECENT_CALL_IDS:
                self.recent_call_ids.popitem(last=False)
        return True

    @contextmanager
    def task_scope(self) -> Iterator[None]:
        """Runs the body in a cancel scope that is cancelled when the client session ends."""
        with trio.CancelScope() as scope:
            self.task_scopes.add(scope)
            try:
                yield
            finally:
                self.task_scopes.discard(scope)


class SessionApi:
    """The session API of one front end: all its client sessions and their connections."""

    def __init__(
        self, service: SessionService, nursery: trio.Nursery, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """`service` does what clients request; requests and event forwarders run in `nursery`."""
        self.service = service
        self.nursery = nursery
        self.log = log
        self.clock = service.clock
        self.limits = ClientLimits()
        self.resume_tokens = ResumeTokens(RESUME_TIMEOUT_NS + 60 * SECOND)
        self.clients: dict[str, ApiClient] = {}
        self.usage_by_caller: dict[str, ClientUsage] = {}  # connections by access token or address
        self.connection_count = 0

    # Client sessions.

    def _rotate_key(self) -> None:
        now = self.clock.now()
        if self.resume_tokens.needs_key(now):
            self.resume_tokens.add_key(self.resume_tokens.newest_key_number + 1, secrets.token_bytes(32), now)

    async def expire_client_sessions(self) -> None:
        """Ends client sessions whose clients have not reconnected in time; drops unused connection counts."""
        while True:
            await trio.sleep(0.5)
            now = self.clock.now()
            for api_client in list(self.clients.values()):
                if api_client.client_session.check_expiry(now):
                    self.log.info("client gone", seat=api_client.id, playbacks=len(api_client.playbacks))
                    await self.end_client_session(api_client)
            for name in [
                caller_name for caller_name, usage in self.usage_by_caller.items() if usage.is_unused
            ]:
                del self.usage_by_caller[name]

    async def end_client_session(self, api_client: ApiClient) -> None:
        """Ends a client session: cancels its requests and ends its playbacks."""
        if self.clients.pop(api_client.id, None) is None:
            return
        for scope in list(api_client.task_scopes):
            scope.cancel()
        for session in list(api_client.playbacks.values()):
            await self._end_playback(api_client, session)

    async def _end_playback(self, api_client: ApiClient, session: PlaybackSession) -> None:
        if not self._detach_playback(api_client, session):
            return
        with suppress(RequestError):  # the playback has already ended
            await self.service.end_session(session)

    def _detach_playback(self, api_client: ApiClient, session: PlaybackSession) -> bool:
        """Detaches a playback from its client session; False if it was not attached."""
        if api_client.playbacks.pop(session.id, None) is None:
            return False
        api_client.usage.playbacks -= 1
        api_client.requested_rungs.pop(session.id, None)
        self.service.close_reader(session, api_client.event_readers.pop(session.id))
        return True

    def enqueue(self, api_client: ApiClient, make_message: MessageFactory) -> None:
        """Queues a message until the client acknowledges it, and sends it if the client is connected.

        `make_message` makes the message from its number. A client with too many unacknowledged messages loses its
        client session.
        """
        number = api_client.client_session.outbox.next_number
        message = make_message(number)
        if api_client.client_session.enqueue(message, self.clock.now()) is None:
            if api_client.client_session.state is ClientSessionState.OVERRUN:
                self.log.info("client overrun", seat=api_client.id, behind=self.limits.max_unacknowledged)
                self.nursery.start_soon(self.end_client_session, api_client)
                if api_client.connection is not None:
                    api_client.connection.close(1013, "too far behind")
            return
        if api_client.connection is not None:
            api_client.connection.send(message)

    # Connections.

    def upgrade_response(self, request: Request) -> Response:
        """The HTTP response to a WebSocket opening handshake (RFC 6455 4.2).

        Raises RequestError if the handshake is invalid or names no known subprotocol.
        """
        offered = [
            protocol.strip()
            for value in request.header_values("sec-websocket-protocol")
            for protocol in value.split(",")
        ]
        chosen = next((protocol for protocol in api.SUBPROTOCOLS if protocol in offered), None)
        if (request.header("upgrade") or "").lower() != "websocket" or request.method != "GET":
            return Response(426, [("Upgrade", "websocket"), ("Connection", "Upgrade")], close=True)
        if chosen is None:
            raise RequestError(
                400, "subprotocol", f"One of the subprotocols {', '.join(api.SUBPROTOCOLS)} is spoken here"
            )
        if request.header("sec-websocket-version") != "13":
            return Response(426, [("Upgrade", "websocket"), ("Sec-WebSocket-Version", "13")], close=True)
        websocket = wsproto.WSConnection(wsproto.ConnectionType.SERVER)
        fields = [
            (header_name.encode("latin-1"), header_value.encode("latin-1"))
            for header_name, header_value in request.headers
        ]
        try:  # checked here, where the client can still get an HTTP error response
            websocket.initiate_upgrade_connection(fields, request.target)
        except wsproto.utilities.RemoteProtocolError as fault:
            raise RequestError(400, "handshake", "This is no WebSocket handshake", str(fault)) from None
        return Response(101, upgrade=partial(self._serve_connection, websocket, request.source, chosen))

    async def _serve_connection(
        self,
        websocket: wsproto.WSConnection,
        source: str,
        subprotocol: str,
        stream: trio.SocketStream,
        early_data: bytes,
    ) -> None:
        self.connection_count += 1
        connection = WebSocketConnection(stream, websocket, subprotocol, self.connection_count, self.limits)
        await connection.accept(early_data)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write_queued, nursery.cancel_scope)
                await self._read_messages(connection, source)
                nursery.cancel_scope.deadline = trio.current_time() + 1  # for messages still to be written
                connection.finish_writing()
        finally:
            if connection.caller_usage is not None:
                connection.caller_usage.connections -= 1
            api_client = connection.api_client
            if api_client is not None and api_client.client_session.detach(
                connection.number, self.clock.now()
            ):
                api_client.connection = None

    async def _read_messages(self, connection: WebSocketConnection, source: str) -> None:
        """Reads and handles messages until the connection ends; the first must be a hello."""
        with trio.move_on_after(HELLO_TIMEOUT_S) as hello_timeout:
            first = await connection.receive()
            if not isinstance(first, api.Hello):
                connection.close(1008, "hello comes first")
                return
            try:
                if not self._attach_client_session(connection, first, source):
                    return
            except RequestError as fault:
                connection.close(4000 + fault.status, fault.title)
                return
        if hello_timeout.cancelled_caught:
            connection.close(1008, "hello comes first")
            return
        api_client = connection.api_client
        assert api_client is not None
        while True:
            message = await connection.receive()
            if message is None or api_client.connection is not connection:
                return
            verdict = api_client.usage.receive_message(self.clock.now())
            if verdict is not ClientVerdict.ALLOWED:
                connection.close(CLOSE_CODES[verdict], verdict.value)
                return
            if isinstance(message, api.Ack):
                if not api_client.client_session.outbox.acknowledge(message.n):
                    connection.close(1008, "acknowledges what was never sent")
                    return
            elif isinstance(message, api.Bye):
                api_client.client_session.leave(connection.number, self.clock.now())
                await self.end_client_session(api_client)
                connection.close(1000, "")
                return
            elif isinstance(message, api.Hello):
                connection.close(1008, "hello comes once")
                return
            elif api_client.register_call(getattr(message, "id", 0)):
                self.nursery.start_soon(self._handle_call, api_client, message, self.clock.now())

    def _attach_client_session(self, connection: WebSocketConnection, hello: api.Hello, source: str) -> bool:
        """Gives a connection its client session: the one that its resume token names, or a new one.

        False if the connection is closed because its caller has too many.
        """
        self._rotate_key()
        token = self.service.authenticate(hello.token or None)
        now = self.clock.now()
        caller_name = token.name if token else source
        caller_usage = self.usage_by_caller.setdefault(caller_name, ClientUsage(self.limits))
        verdict = caller_usage.open_connection()
        if verdict is not ClientVerdict.ALLOWED:
            connection.close(CLOSE_CODES[verdict], verdict.value)
            return False
        connection.caller_usage = caller_usage
        resume_failure = ""
        if hello.resume:
            verified_id = self.resume_tokens.verify(hello.resume, caller_name, now)
            earlier_client = self.clients.get(verified_id) if isinstance(verified_id, str) else None
            attachment = (
                earlier_client.client_session.attach(connection.number, hello.seen, now)
                if earlier_client is not None
                else None
            )
            if earlier_client is not None and attachment is not None:
                self._resume_client_session(connection, earlier_client, attachment[0])
                return True
            resume_failure = (
                verified_id.value
                if isinstance(verified_id, TokenError)
                else "the seat is over, or what was missed cannot be told"
            )
        client_session = ClientSession[object](
            RESUME_TIMEOUT_NS,
            Outbox(self.limits.max_unacknowledged),
            connection=connection.number,
            changed_at=now,
        )
        api_client = ApiClient(
            secrets.token_urlsafe(12),
            client_session,
            ClientUsage(self.limits),
            token,
            source,
            connection=connection,
        )
        self.clients[api_client.id] = api_client
        connection.api_client = api_client
        has_state_file = self.service.coordinator.durable_state is not None
        resume_token = self.resume_tokens.issue(api_client.id, caller_name, now)
        connection.send(
            api.Welcome(
                resume_token, RESUME_TIMEOUT_NS // 1_000_000, False, resume_failure, remembers=has_state_file
            )
        )
        return True

    def _resume_client_session(
        self,
        connection: WebSocketConnection,
        api_client: ApiClient,
        missed_messages: list[tuple[int, object]],
    ) -> None:
        earlier_connection = api_client.connection
        if earlier_connection is not None and earlier_connection is not connection:
            earlier_connection.send(api.Replaced())
            earlier_connection.close(4001, "replaced")
        api_client.connection = connection
        connection.api_client = api_client
        caller_name = api_client.token.name if api_client.token else api_client.source
        resume_token = self.resume_tokens.issue(api_client.id, caller_name, self.clock.now())
        connection.send(
            api.Welcome(resume_token, RESUME_TIMEOUT_NS // 1_000_000, True, "", list(api_client.playbacks))
        )
        for _, message in missed_messages:
            connection.send(message)

    # Calls.

    async def _handle_call(self, api_client: ApiClient, message: api.FromClient, received_at: int) -> None:
        with api_client.task_scope():
            if isinstance(message, api.Ask):
                await self._request_playback(api_client, message, received_at)
                return
            call_id = getattr(message, "id", 0)
            try:
                await self._execute_call(api_client, message, call_id)
            except RequestError as fault:
                self.enqueue(
                    api_client, partial(_done_message, call_id, fault.status, fault.problem_type, fault.title)
                )
            except Exception as error:  # a failed call must not end the front end
                self.log.error("call failed", kind=type(message).__name__, error=repr(error))
                self.enqueue(
                    api_client,
                    partial(
                        _done_message,
                        call_id,
                        500,
                        "urn:oakcroft:problem:fault",
                        "The front failed on this call",
                    ),
                )

    async def _request_playback(self, api_client: ApiClient, request: api.Ask, received_at: int) -> None:
        verdict = api_client.usage.request_playback(
            self.service.has_replay(request.key or None, api_client.token)
        )
        if verdict is not ClientVerdict.ALLOWED:
            self.enqueue(
                api_client,
                partial(_rejected_answer, request.id, 429, "urn:oakcroft:problem:client", verdict.value),
            )
            return
        is_newly_attached = False
        try:
            written_at = self.service.coordinator.pause_detector.earliest_written_at(received_at, 0)
            prefer_headers = [f"wait={request.wait_s}"] if request.wait_s > 0 else []
            client_name = api_client.token.name if api_client.token else api_client.source
            playback_request = PlaybackRequest(
                request.path,
                request.offer,
                request.key or None,
                written_at,
                api_client.token,
                client_name,
                prefer_headers,
                request.top,
                True,
            )
            answer, is_first = await self.service.request_playback(playback_request)
            if isinstance(answer, Reply):
                self.enqueue(api_client, partial(_reply_answer, request.id, answer))
            elif (
                answer.final_answer is not FinalAnswer.PLAYS
                or answer.upstream is None
                or answer.resource is None
            ):
                self.enqueue(
                    api_client, partial(_reply_answer, request.id, answer.reply or answers.rejected_reply(0))
                )
            else:
                is_newly_attached = self._attach_playback(api_client, answer)
                self.enqueue(api_client, partial(_playing_answer, request.id, answer, not is_first))
        except RequestError as fault:
            self.enqueue(
                api_client,
                partial(_rejected_answer, request.id, fault.status, fault.problem_type, fault.title),
            )
        finally:
            api_client.usage.finish_request(is_newly_attached)

    def _attach_playback(self, api_client: ApiClient, session: PlaybackSession) -> bool:
        """Attaches a playback to the client session; False if it was attached already."""
        if session.id in api_client.playbacks:
            return False
        session.answer_undelivered = False
        for other in self.clients.values():  # it belongs to the one client session that requested it last
            if other.playbacks.get(session.id) is session:
                self._detach_playback(other, session)
                self.enqueue(
                    other,
                    partial(_event_message, session.id, "inactive", {"why": "another seat has asked for it"}),
                )
        api_client.playbacks[session.id] = session
        api_client.requested_rungs[session.id] = session.playback.top_rung
        reader = api_client.event_readers[session.id] = self.service.open_reader(
            session, FORWARDED_EVENTS, for_client_session=True
        )
        self.nursery.start_soon(self._forward_events, api_client, session, reader)
        return True

    async def _forward_events(
        self, api_client: ApiClient, session: PlaybackSession, reader: SessionEventReader
    ) -> None:
        """Sends the events of a playback to the client until the playback ends."""
        # Closed when the client ends the playback.
        with api_client.task_scope(), suppress(trio.ClosedResourceError):
            async for kind, data in reader.receive:
                self.enqueue(api_client, partial(_event_message, session.id, kind, data))
        if api_client.event_readers.get(session.id) is reader:
            self._detach_playback(api_client, session)

    async def _execute_call(self, api_client: ApiClient, message: api.FromClient, call_id: int) -> None:
        session = self._client_playback(api_client, getattr(message, "playback", ""))
        match message:
            case api.End():
                await self._end_playback(api_client, session)
            case api.Layer():
                api_client.requested_rungs[session.id] = message.rung
                await self.service.select_layer(session, str(message.rung))
            case api.Pause():
                await self.service.select_layer(session, str(session.playback.plan.floor))
            case api.Resume():
                await self.service.select_layer(
                    session,
                    str(
                        min(
                            api_client.requested_rungs.get(session.id, session.playback.plan.top_rung),
                            session.playback.plan.top_rung,
                        )
                    ),
                )
            case api.Trickle():
                etags = ["*"] if message.tag == "*" else [f'"{message.tag}"']
                patched = await self.service.patch(
                    session, SDPFRAG_MEDIA_TYPE, etags, message.fragment.encode()
                )
                self.enqueue(
                    api_client,
                    partial(_done_message, call_id, 200, "", "", patched.etag, patched.fragment.decode()),
                )
                return
            case api.MoveOffer():
                moved = await self.service.accept_move_offer(
                    session, message.offer, message.key or secrets.token_urlsafe(15), []
                )
                if isinstance(moved, Reply):
                    raise RequestError(moved.status, moved.problem_type.rpartition(":")[2], moved.title)
                self.enqueue(api_client, partial(_moved_message, call_id, session.id, *moved))
                return
            case api.MoveDone():
                await self.service.confirm_move(session)
        self.enqueue(api_client, partial(_done_message, call_id, 200, "", ""))

    @staticmethod
    def _client_playback(api_client: ApiClient, playback_id: str) -> PlaybackSession:
        session = api_client.playbacks.get(playback_id)
        if session is None:
            raise RequestError(404, "no-session", "No such playback")
        return session


def _playing_answer(
    call_id: int, session: PlaybackSession, is_replay: bool, message_number: int
) -> api.Answer:
    assert session.upstream is not None
    assert session.resource is not None
    return api.Answer(
        message_number,
        call_id,
        201,
        playback=session.id,
        answer=session.upstream.sdp_answer,
        tag=session.resource.etag,
        again=is_replay,
    )


def _reply_answer(call_id: int, reply: Reply, message_number: int) -> api.Answer:
    return api.Answer(
        message_number,
        call_id,
        reply.status,
        reply.problem_type,
        reply.title,
        reply.may_retry,
        reply.retry_after_s,
    )


def _rejected_answer(
    call_id: int, status: int, problem_type: str, title: str, message_number: int
) -> api.Answer:
    return api.Answer(message_number, call_id, status, problem_type, title)


def _event_message(playback_id: str, kind: str, data: dict[str, str], message_number: int) -> api.Event:
    return api.Event(message_number, playback_id, kind, data)


def _done_message(call_id: int, status: int, problem_type: str, title: str, *rest: object) -> api.Done:
    *patch_result, message_number = rest
    assert isinstance(message_number, int)
    etag, fragment = (str(patch_result[0]), str(patch_result[1])) if patch_result else ("", "")
    return api.Done(message_number, call_id, status, problem_type, title, etag, fragment)


def _moved_message(
    call_id: int, playback_id: str, answer: str, etag: str, message_number: int
) -> api.MovedTo:
    return api.MovedTo(message_number, call_id, playback_id, answer, etag)


class WebSocketConnection:
    """One WebSocket connection: reads messages from frames, writes messages through a bounded queue."""

    def __init__(
        self,
        stream: trio.SocketStream,
        websocket: wsproto.WSConnection,
        subprotocol: str,
        number: int,
        limits: ClientLimits,
    ) -> None:
        """`number` identifies the connection to its client session; later connections have higher numbers."""
        self.stream = stream
        self.subprotocol = subprotocol
        self.number = number
        self.limits = limits
        self.codec = api.Codec(subprotocol)
        self.websocket = websocket
        self.write_queue, self.write_queue_reader = trio.open_memory_channel[bytes](
            limits.max_unacknowledged + 16
        )
        self.api_client: ApiClient | None = None
        self.caller_usage: ClientUsage | None = None
        self.keepalive = KeepaliveProbe()
        self.partial_message = bytearray()
        self.is_closing = False

    async def accept(self, early_data: bytes) -> None:
        """Sends the upgrade response.

        `early_data`: bytes received after the request. Raises trio.BrokenResourceError if the client does not read the
        response in time.
        """
        for event in self.websocket.events():
            if isinstance(event, events.Request):
                with trio.move_on_after(WRITE_TIMEOUT_S) as write_timeout:
                    accept = self.websocket.send(events.AcceptConnection(subprotocol=self.subprotocol))
                    await self.stream.send_all(accept)
                if write_timeout.cancelled_caught:
                    raise trio.BrokenResourceError
        if early_data:
            self.websocket.receive_data(early_data)

    def send(self, message: object) -> None:
        """Queues a message for writing.

        A full queue ends the connection; the client session still has the message until it is acknowledged.
        """
        if self.is_closing:
            return
        data = self.codec.encode(message)
        frame = (
            events.BytesMessage(data=data) if self.codec.is_binary else events.TextMessage(data=data.decode())
        )
        self._enqueue(self.websocket.send(frame))

    def _enqueue(self, data: bytes) -> None:
        try:
            self.write_queue.send_nowait(data)
        except (trio.WouldBlock, trio.ClosedResourceError, trio.BrokenResourceError):
            self.is_closing = True
            self.write_queue.close()

    def close(self, code: int, reason: str) -> None:
        """Closes the connection with a status code (RFC 6455 7.4) after the queued messages are written."""
        if not self.is_closing:
            with suppress(wsproto.utilities.LocalProtocolError):
                self._enqueue(self.websocket.send(events.CloseConnection(code=code, reason=reason[:120])))
            self.finish_writing()

    def finish_writing(self) -> None:
        """Accepts no more messages; those already queued are still written."""
        self.is_closing = True
        self.write_queue.close()

    async def write_queued(self, connection_scope: trio.CancelScope) -> None:
        """Writes queued messages until writing ends, then cancels `connection_scope`.

        A client that does not read a message in time loses the connection.
        """
        with trio.CancelScope() as writing_scope:
            async for data in self.write_queue_reader:
                with trio.move_on_after(WRITE_TIMEOUT_S) as write_timeout:
                    try:
                        await self.stream.send_all(data)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        writing_scope.cancel()
                if write_timeout.cancelled_caught:
                    break
        connection_scope.cancel()

    async def receive(self) -> api.FromClient | None:
        """The next message; None when either side ends the connection."""
        while True:
            try:
                for event in self.websocket.events():
                    message = self._handle_event(event)
                    if message is not None:
                        return message
                    if self.is_closing:
                        return None
                data = b""
                with trio.move_on_after(self.keepalive.interval / 1e9) as read_timeout:
                    data = await self.stream.receive_some(65_536)
                if read_timeout.cancelled_caught:
                    self.keepalive.ping_sent()
                    if self.keepalive.is_dead:
                        return None
                    self._enqueue(self.websocket.send(events.Ping()))
                    continue
                self.keepalive.message_received()
                if not data:
                    return None
                self.websocket.receive_data(data)
            except wsproto.utilities.RemoteProtocolError as fault:
                if fault.event_hint is not None:
                    self._enqueue(self.websocket.send(fault.event_hint))
                self.finish_writing()
                return None
            except (trio.BrokenResourceError, trio.ClosedResourceError, wsproto.utilities.LocalProtocolError):
                return None

    def _handle_event(self, event: events.Event) -> api.FromClient | None:
        match event:
            case events.TextMessage() | events.BytesMessage():
                self.partial_message += (
                    event.data.encode() if isinstance(event.data, str) else bytes(event.data)
                )
                if len(self.partial_message) > self.limits.max_message_bytes:
                    self.close(CloseReason.MESSAGE_TOO_BIG, "the message is too large")
                    return None
                if not event.message_finished:
                    return None
                data = bytes(self.partial_message)
                self.partial_message = bytearray()
                if isinstance(event, events.BytesMessage) is not self.codec.is_binary:
                    self.close(CloseReason.UNSUPPORTED_DATA, f"{self.subprotocol} has other frames")
                    return None
                try:
                    return self.codec.decode_client_message(data)
                except ValueError as fault:
                    self.close(CloseReason.INVALID_FRAME_PAYLOAD_DATA, str(fault))
            case events.Ping():
                self._enqueue(self.websocket.send(event.response()))
            case events.CloseConnection():
                if not self.is_closing:
                    self._enqueue(self.websocket.send(event.response()))
                self.finish_writing()
        return None
