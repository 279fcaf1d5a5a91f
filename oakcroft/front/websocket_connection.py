"""A WebSocket connection of the session API (RFC 6455, on wsproto), and the client that it acts for."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field

import trio
import wsproto
from wsproto import events
from wsproto.frame_protocol import CloseReason

from oakcroft.config.settings import BearerToken
from oakcroft.decisions.admission.client_limits import ClientLimits, ClientUsage
from oakcroft.decisions.sessions.client_session import ClientSession, KeepaliveProbe
from oakcroft.front.playback_session import PlaybackSession, SessionEventReader
from oakcroft.signalling import session_api as api

WRITE_TIMEOUT_S = 5.0
READ_BYTES = 65_536
MAX_RECENT_CALL_IDS = 4096
WRITE_QUEUE_RESERVE = 16  # control frames beside the unacknowledged messages


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

    @property
    def caller_name(self) -> str:
        """Name of its access token, or its address without one."""
        return self.token.name if self.token else self.source

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
            limits.max_unacknowledged + WRITE_QUEUE_RESERVE
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
        """Queues the bytes of a frame; ends the connection where the queue is full or closed."""
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
                if not await self._read_data():
                    return None
            except wsproto.utilities.RemoteProtocolError as fault:
                if fault.event_hint is not None:
                    self._enqueue(self.websocket.send(fault.event_hint))
                self.finish_writing()
                return None
            except (trio.BrokenResourceError, trio.ClosedResourceError, wsproto.utilities.LocalProtocolError):
                return None

    async def _read_data(self) -> bool:
        """Reads data of the client, or pings a silent one; False where the connection has ended."""
        data = b""
        with trio.move_on_after(self.keepalive.interval / 1e9) as read_timeout:
            data = await self.stream.receive_some(READ_BYTES)
        if read_timeout.cancelled_caught:
            self.keepalive.ping_sent()
            if self.keepalive.is_dead:
                return False
            self._enqueue(self.websocket.send(events.Ping()))
            return True
        self.keepalive.message_received()
        if not data:
            return False
        self.websocket.receive_data(data)
        return True

    def _handle_event(self, event: events.Event) -> api.FromClient | None:
        """Handles a WebSocket event; returns the message that it completes, if any."""
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
