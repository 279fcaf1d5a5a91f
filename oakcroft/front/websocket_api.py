"""The session API over WebSocket (RFC 6455, on wsproto): an adapter to the session service.

A connection acts for a client session, which outlives it: playbacks, open requests and messages that the client has not
acknowledged belong to the client session (`decisions/sessions/client_session.py`). The requests and event forwarders of
a client session are tasks of the API's nursery, each in a cancel scope of the client session; they end with the client
session, not with the connection.
"""

from __future__ import annotations

import secrets
from contextlib import suppress
from functools import partial

import structlog
import trio
import wsproto
from wsproto.frame_protocol import CloseReason

from oakcroft.config.settings import BearerToken
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer, Reply
from oakcroft.decisions.admission.client_limits import CLOSE_CODES, ClientLimits, ClientUsage, ClientVerdict
from oakcroft.decisions.admission.resume_tokens import TokenError, ResumeTokens
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.decisions.sessions.client_session import Outbox, ClientSession, ClientSessionState
from oakcroft.front.request_checks import RequestError
from oakcroft.front.session_service import PlaybackRequest, SessionService
from oakcroft.front.playback_session import SessionEventReader, PlaybackSession
from oakcroft.front.websocket_connection import ApiClient, WebSocketConnection
from oakcroft.front.websocket_messages import (
    MessageFactory,
    done_message,
    error_answer,
    event_message,
    moved_message,
    playing_answer,
    reply_answer,
)
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import MS, SECOND
from oakcroft.signalling import session_api as api

SESSION_API_PATH = "/api/v1"
RESUME_TIMEOUT_NS = 15 * SECOND
RESUME_TIMEOUT_MS = RESUME_TIMEOUT_NS // MS
HTTP_CLOSE_CODE_BASE = 4_000  # plus an HTTP status; a code for private use (RFC 6455 7.4.2)
POLICY_VIOLATION = CloseReason.POLICY_VIOLATION
REPLACED = 4001  # close code of a connection that a later one of its client has replaced
FORWARDED_EVENTS = frozenset({"inactive", "layers", "move"})
HELLO_TIMEOUT_S = 5.0


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
        """Adds a key for resume tokens where the newest one is due for replacement."""
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
            unused_callers = [caller for caller, usage in self.usage_by_caller.items() if usage.is_unused]
            for caller_name in unused_callers:
                del self.usage_by_caller[caller_name]

    async def end_client_session(self, api_client: ApiClient) -> None:
        """Ends a client session: cancels its requests and ends its playbacks."""
        if self.clients.pop(api_client.id, None) is None:
            return
        for scope in list(api_client.task_scopes):
            scope.cancel()
        for session in list(api_client.playbacks.values()):
            await self._end_playback(api_client, session)

    async def _end_playback(self, api_client: ApiClient, session: PlaybackSession) -> None:
        """Detaches a playback from its client session and ends it."""
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
                    api_client.connection.close(CloseReason.TRY_AGAIN_LATER, "too far behind")
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
        """Serves one upgraded connection until it ends; `early_data` was received after the request."""
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
        if not await self._receive_hello(connection, source):
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
            if not await self._handle_message(connection, api_client, message):
                return

    async def _receive_hello(self, connection: WebSocketConnection, source: str) -> bool:
        """Waits for the hello and gives the connection its client session; False if the connection is closed."""
        with trio.move_on_after(HELLO_TIMEOUT_S):
            first = await connection.receive()
            if not isinstance(first, api.Hello):
                connection.close(POLICY_VIOLATION, "hello comes first")
                return False
            try:
                return self._attach_client_session(connection, first, source)
            except RequestError as fault:
                connection.close(HTTP_CLOSE_CODE_BASE + fault.status, fault.title)
                return False
        connection.close(POLICY_VIOLATION, "hello comes first")
        return False

    async def _handle_message(
        self, connection: WebSocketConnection, api_client: ApiClient, message: api.FromClient
    ) -> bool:
        """Handles a message after the hello; False if it ends the connection."""
        match message:
            case api.Ack():
                if not api_client.client_session.outbox.acknowledge(message.n):
                    connection.close(POLICY_VIOLATION, "acknowledges what was never sent")
                    return False
            case api.Bye():
                api_client.client_session.leave(connection.number, self.clock.now())
                await self.end_client_session(api_client)
                connection.close(CloseReason.NORMAL_CLOSURE, "")
                return False
            case api.Hello():
                connection.close(POLICY_VIOLATION, "hello comes once")
                return False
            case _ if api_client.register_call(getattr(message, "id", 0)):
                self.nursery.start_soon(self._handle_call, api_client, message, self.clock.now())
        return True

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
            resume_failure = self._try_resume(connection, hello, caller_name, now)
            if not resume_failure:
                return True
        self._start_client_session(connection, token, source, resume_failure, now)
        return True

    def _try_resume(
        self, connection: WebSocketConnection, hello: api.Hello, caller_name: str, now: int
    ) -> str:
        """Resumes the client session that a resume token names; returns why not, or ""."""
        verified_id = self.resume_tokens.verify(hello.resume, caller_name, now)
        if isinstance(verified_id, TokenError):
            return verified_id.value
        api_client = self.clients.get(verified_id)
        attachment = (
            api_client.client_session.attach(connection.number, hello.seen, now)
            if api_client is not None
            else None
        )
        if api_client is None or attachment is None:
            return "the seat is over, or what was missed cannot be told"
        self._resume_client_session(connection, api_client, attachment[0])
        return ""

    def _start_client_session(
        self,
        connection: WebSocketConnection,
        token: BearerToken | None,
        source: str,
        resume_failure: str,
        now: int,
    ) -> None:
        """Starts a new client session and welcomes its client."""
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
        resume_token = self.resume_tokens.issue(api_client.id, api_client.caller_name, now)
        connection.send(
            api.Welcome(resume_token, RESUME_TIMEOUT_MS, False, resume_failure, remembers=has_state_file)
        )

    def _resume_client_session(
        self,
        connection: WebSocketConnection,
        api_client: ApiClient,
        missed_messages: list[tuple[int, object]],
    ) -> None:
        """Attaches a connection to its earlier client session and sends the messages that the client missed."""
        earlier_connection = api_client.connection
        if earlier_connection is not None and earlier_connection is not connection:
            earlier_connection.send(api.Replaced())
            earlier_connection.close(REPLACED, "replaced")
        api_client.connection = connection
        connection.api_client = api_client
        resume_token = self.resume_tokens.issue(api_client.id, api_client.caller_name, self.clock.now())
        connection.send(api.Welcome(resume_token, RESUME_TIMEOUT_MS, True, "", list(api_client.playbacks)))
        for _, message in missed_messages:
            connection.send(message)

    # Calls.

    async def _handle_call(self, api_client: ApiClient, message: api.FromClient, received_at: int) -> None:
        """Handles one call as a task, and answers it whatever happens."""
        with api_client.task_scope():
            if isinstance(message, api.Ask):
                await self._request_playback(api_client, message, received_at)
                return
            call_id = getattr(message, "id", 0)
            try:
                await self._execute_call(api_client, message, call_id)
            except RequestError as fault:
                self.enqueue(
                    api_client, partial(done_message, call_id, fault.status, fault.problem_type, fault.title)
                )
            except Exception as error:  # a failed call must not end the front end
                self.log.error("call failed", kind=type(message).__name__, error=repr(error))
                self.enqueue(
                    api_client,
                    partial(
                        done_message,
                        call_id,
                        500,
                        "urn:oakcroft:problem:fault",
                        "The front failed on this call",
                    ),
                )

    async def _request_playback(self, api_client: ApiClient, request: api.Ask, received_at: int) -> None:
        """Handles a request for a playback, within the limits of its client."""
        verdict = api_client.usage.request_playback(
            self.service.has_replay(request.key or None, api_client.token)
        )
        if verdict is not ClientVerdict.ALLOWED:
            self.enqueue(
                api_client,
                partial(error_answer, request.id, 429, "urn:oakcroft:problem:client", verdict.value),
            )
            return
        is_newly_attached = False
        try:
            answer, is_first = await self.service.request_playback(
                self._playback_request(api_client, request, received_at)
            )
            if isinstance(answer, Reply):
                make_message = partial(reply_answer, request.id, answer)
            elif (
                answer.final_answer is not FinalAnswer.PLAYS
                or answer.upstream is None
                or answer.resource is None
            ):
                reply = answer.reply or answers.rejected_reply(0)
                make_message = partial(reply_answer, request.id, reply)
            else:
                is_newly_attached = self._attach_playback(api_client, answer)
                make_message = partial(playing_answer, request.id, answer, not is_first)
            self.enqueue(api_client, make_message)
        except RequestError as fault:
            self.enqueue(
                api_client,
                partial(error_answer, request.id, fault.status, fault.problem_type, fault.title),
            )
        finally:
            api_client.usage.finish_request(is_newly_attached)

    def _playback_request(self, api_client: ApiClient, request: api.Ask, received_at: int) -> PlaybackRequest:
        """Request for a playback as the session service takes it."""
        return PlaybackRequest(
            request.path,
            request.offer,
            request.key or None,
            self.service.coordinator.pause_detector.earliest_written_at(received_at, 0),
            api_client.token,
            api_client.caller_name,
            [f"wait={request.wait_s}"] if request.wait_s > 0 else [],
            request.top,
            True,
        )

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
                    partial(event_message, session.id, "inactive", {"why": "another seat has asked for it"}),
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
                self.enqueue(api_client, partial(event_message, session.id, kind, data))
        if api_client.event_readers.get(session.id) is reader:
            self._detach_playback(api_client, session)

    async def _execute_call(self, api_client: ApiClient, message: api.FromClient, call_id: int) -> None:
        """Carries out a call on a playback and answers it. Raises RequestError where it is not possible."""
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
                top_rung = session.playback.plan.top_rung
                rung = min(api_client.requested_rungs.get(session.id, top_rung), top_rung)
                await self.service.select_layer(session, str(rung))
            case api.Trickle():
                await self._trickle(api_client, session, message)
                return
            case api.MoveOffer():
                await self._accept_move_offer(api_client, session, message)
                return
            case api.MoveDone():
                await self.service.confirm_move(session)
        self.enqueue(api_client, partial(done_message, call_id, 200, "", ""))

    async def _trickle(self, api_client: ApiClient, session: PlaybackSession, message: api.Trickle) -> None:
        """Passes a trickle ICE fragment on and sends the result."""
        etags = ["*"] if message.tag == "*" else [f'"{message.tag}"']
        result = await self.service.patch(session, SDPFRAG_MEDIA_TYPE, etags, message.fragment.encode())
        make_message = partial(
            done_message, message.id, 200, "", "", etag=result.etag, fragment=result.fragment.decode()
        )
        self.enqueue(api_client, make_message)

    async def _accept_move_offer(
        self, api_client: ApiClient, session: PlaybackSession, message: api.MoveOffer
    ) -> None:
        """Handles the offer of a player that was told to move, and sends the target's answer."""
        result = await self.service.accept_move_offer(
            session, message.offer, message.key or secrets.token_urlsafe(15), []
        )
        if isinstance(result, Reply):
            raise RequestError(result.status, result.problem_type.rpartition(":")[2], result.title)
        self.enqueue(api_client, partial(moved_message, message.id, session.id, *result))

    @staticmethod
    def _client_playback(api_client: ApiClient, playback_id: str) -> PlaybackSession:
        """Playback of a client session. Raises RequestError 404 where it has none of that id."""
        session = api_client.playbacks.get(playback_id)
        if session is None:
            raise RequestError(404, "no-session", "No such playback")
        return session
