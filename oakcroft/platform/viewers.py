"""The viewers' listener and connections."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.admission.eviction import IdleConnection
from oakcroft.decisions.admission.deadlines import PauseDetector
from oakcroft.interface import MS, SECOND
from oakcroft.platform.idle_connections import IdleConnections
from oakcroft.platform.connection import RECEIVE_BYTES, BufferedConnection, configure_socket
from oakcroft.platform.playback_session import SetupRequest, PlaybackSession
from oakcroft.platformwire import cause_codes, framing
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.framing import FrameDecoder, ProtocolError
from oakcroft.platformwire.setup_request import SetupRequestError, parse_setup_request
from oakcroft.running.clock import Clock

MESSAGE_TIMEOUT_NS = 2 * SECOND  # for the first message and any that has begun; a close is due within 3 s
MAX_SETUPS_PER_CONNECTION = 256
MESSAGES_PER_TURN = 32  # messages of one connection before other tasks run
OVERDUE_CHECK_INTERVAL_S = 0.1
LISTEN_BACKLOG = 1_024  # connections that wait in the kernel to be accepted


class ViewerEvents(Protocol):
    """What the viewers' side needs of the session coordinator. Calls take effect in the same step."""

    configuration: Configuration
    pause_detector: PauseDetector
    description_chars: int
    max_description_chars: int

    def connection_opened(self, connection: ViewerConnection) -> None:
        """A connection opened."""

    def count(self, category: str, detail: str = "") -> None:
        """Counts a fault of a client."""

    def connection_closed(self, connection: ViewerConnection) -> None:
        """A connection closed."""

    def release_received(self, connection: ViewerConnection, session_id: str) -> None:
        """A viewer cancels a set-up or ends a playback."""

    def release_confirmed(self, session_id: str) -> None:
        """A viewer's side confirms that it has received a release."""

    def request_received(self, request: SetupRequest) -> None:
        """Queues a set-up request."""


class ViewerConnection(BufferedConnection):
    """A connection from viewers, with the set-ups open on it.

    Its socket is read not only by its own task but by any that needs to know its state: a set-up is sent only
    if the socket does not show that its viewer has left, however much other work waits in the front end.
    """

    def __init__(
        self, sock: socket.socket, nursery: trio.Nursery, clock: Clock, pause_detector: PauseDetector
    ) -> None:
        """Wraps an accepted socket."""
        super().__init__(sock, nursery)
        self.clock = clock
        self.pause_detector = pause_detector
        self.frames = FrameDecoder()
        self.open_setups: dict[str, PlaybackSession] = {}
        self.queued_requests: dict[str, SetupRequest] = {}  # queued in the coordinator's inbox
        self.idle_since = self.known_empty_at = (
            clock.now()
        )  # last complete message; socket last known to be empty
        self.written_at: int | None = None  # earliest time at which the unread data may have been sent
        self.has_sent_message = False
        self.session_count = 0  # playing sessions whose set-up came on it
        self.has_served = False  # a set-up that came on it became a session
        self.has_peer_left = False  # the peer has closed or reset it
        self.wait_scope = trio.CancelScope()

    def receive_available(self) -> bool:
        """Receives what the socket holds, without waiting; returns whether there was anything.

        Stops once a maximal message is buffered, so that the buffer holds at most one message and one
        receive.
        """
        has_received = False
        while self.is_open and not self.has_peer_left and len(self.frames.buffer) < framing.MAX_MESSAGE_BYTES:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            has_received, now = True, self.clock.now()
            self.has_peer_left = not data
            if self.written_at is None:
                self.written_at = self.pause_detector.earliest_written_at(now, self.known_empty_at)
            if self.has_sent_message and not self.frames.has_partial_message:
                self.idle_since = now
            self.frames.receive_data(data)
        if has_received:
            self.wait_scope.cancel()  # wakes its own task, which has not seen this data arrive
        return has_received

    async def wait_for_data(self) -> None:
        """Waits until data arrives, or until another task has received it."""
        with trio.CancelScope() as self.wait_scope, suppress(trio.ClosedResourceError, OSError):
            await trio.lowlevel.wait_readable(self.sock)

    def has_viewer_left(self, session_id: str) -> bool:
        """Whether the viewer of a set-up has left or released it, as far as the socket shows now.

        A half-closed peer counts as having left even if it still reads, because a full close looks the same
        from here (docs/platform.md).
        """
        self.receive_available()
        if not self.is_open or self.has_peer_left or self.has_peer_closed():
            return True
        return any(
            kind == framing.RELEASE and other_id == session_id
            for kind, other_id in self.frames.pending_messages()
        )

    @property
    def is_idle(self) -> bool:
        """Whether no set-up is open or queued on it."""
        return not (self.open_setups or self.queued_requests)

    @property
    def idle_state(self) -> IdleConnection:
        """The facts that the eviction order depends on; valid while it is idle."""
        return IdleConnection(
            self.idle_since,
            self.has_sent_message,
            self.session_count,
            self.frames.has_partial_message,
            bool(self.send_buffer),
        )

    @property
    def unread_count(self) -> int:
        """Number of complete messages that have not been handled, including those still in the socket."""
        self.receive_available()
        return sum(1 for _ in self.frames.pending_messages())


class ViewerServer:
    """Accepts viewers' connections and passes their messages to the session coordinator."""

    def __init__(
        self,
        listener: socket.socket,
        max_connections: int,
        coordinator: ViewerEvents,
        clock: Clock,
        nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Takes a bound socket and accepts connections from it once `run` is called."""
        self.listener = listener
        self.max_connections = max_connections
        self.coordinator = coordinator
        self.clock = clock
        self.nursery = nursery
        self.log = log
        self.connections: dict[ViewerConnection, None] = {}
        self.idle_connections = IdleConnections(self.connections, clock)
        self.was_health_checked = False
        self.is_ready = False
        self.is_accepting = True
        self.shed_count = 0

    async def run(self) -> None:
        """Accepts connections until it is stopped."""
        self.nursery.start_soon(self._close_overdue_connections)
        while self.is_accepting:
            try:
                self._accept()
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
            except OSError:  # no descriptor is free, or the peer has left already
                self._make_room()
                await trio.sleep(0.01)
            else:
                await trio.lowlevel.checkpoint()

    def _accept(self) -> None:
        """Accepts one connection; closes it at once if there is no room and none can be made."""
        sock, _ = self.listener.accept()
        if len(self.connections) >= self.max_connections and not self._make_room():
            sock.close()
            self.shed_count += 1
            return
        connection = ViewerConnection(
            configure_socket(sock), self.nursery, self.clock, self.coordinator.pause_detector
        )
        self.connections[connection] = None
        self.nursery.start_soon(self._serve_connection, connection)

    def stop(self) -> None:
        """Stops accepting and closes the listener.

        Connections that wait in the kernel are accepted first; closing the listener would reset them, and
        with them any set-ups they have sent.
        """
        if self.is_accepting:
            self.is_accepting = False
            with suppress(OSError):  # none is left, or the socket never listened
                for _ in range(LISTEN_BACKLOG):
                    self._accept()
            trio.lowlevel.notify_closing(self.listener)
            self.listener.close()

    @property
    def unanswered_count(self) -> int:
        """Number of messages and queued requests that the decision module does not know yet, including those
        in sockets.
        """
        return sum(
            connection.unread_count + len(connection.queued_requests) for connection in self.connections
        )

    @property
    def unsent_count(self) -> int:
        """Number of connections on which answers or releases wait for the peer to read."""
        return sum(1 for connection in self.connections if connection.send_buffer)

    def _make_room(self) -> bool:
        """Closes an idle connection; returns whether there was one."""
        connection = self.idle_connections.next_to_evict()
        if connection is None:
            return False
        self._shed_connection(connection)
        return True

    def _shed_connection(self, connection: ViewerConnection) -> None:
        """Closes a connection for want of room or because a message is overdue."""
        self.connections.pop(connection, None)
        connection.close()
        self.shed_count += 1

    async def _close_overdue_connections(self) -> None:
        """Closes connections whose first message, or a message that has begun, is overdue."""
        while True:
            await trio.sleep(OVERDUE_CHECK_INTERVAL_S)
            now = self.clock.now()
            for connection in list(self.connections):
                is_overdue = (
                    not connection.has_sent_message or connection.frames.has_partial_message
                ) and now - connection.idle_since > MESSAGE_TIMEOUT_NS
                # If the data has arrived, the delay is this front end's own.
                if is_overdue and not connection.receive_available() and not connection.unread_count:
                    self._shed_connection(connection)

    async def _serve_connection(self, connection: ViewerConnection) -> None:
        """Handles the messages of one connection until it ends."""
        self.coordinator.connection_opened(connection)
        try:
            while connection.is_open:
                connection.receive_available()
                handled = 0
                while connection.is_open and (event := connection.frames.next_event()) is not None:
                    connection.has_sent_message, connection.idle_since = True, self.clock.now()
                    self._handle_message(connection, *event)
                    handled += 1
                    if handled % MESSAGES_PER_TURN == 0:
                        await trio.lowlevel.checkpoint()
                connection.written_at, connection.known_empty_at = None, self.clock.now()
                if connection.has_peer_left:
                    break
                await connection.wait_for_data()
        except ProtocolError as error:
            self.coordinator.count("unreadable viewer", str(error))
        except Exception as error:  # no single connection may stop the front end and with it all sessions
            self.log.error("connection failed", error=repr(error), exc_info=error)
        finally:
            self.connections.pop(connection, None)
            self.coordinator.connection_closed(connection)
            connection.close()

    def _handle_message(
        self, connection: ViewerConnection, kind: int, session_id: str, parameters: dict[int, bytes]
    ) -> None:
        """Handles one message. A test is answered here, without the coordinator."""
        coordinator = self.coordinator
        if kind == framing.TEST:
            self.was_health_checked = self.was_health_checked or self.is_ready
            connection.write(
                framing.encode(framing.TESTED, session_id, (framing.CAUSE, bytes((int(self.is_ready),))))
            )
        elif kind == framing.RELEASE:
            coordinator.release_received(connection, session_id)
        elif kind == framing.RELEASE_CONFIRMED:
            coordinator.release_confirmed(session_id)
        elif kind == framing.SET_UP:
            self._handle_setup(connection, session_id, parameters)

    def _handle_setup(
        self, connection: ViewerConnection, session_id: str, parameters: dict[int, bytes]
    ) -> None:
        """Queues a set-up request, or rejects it if it is invalid or a limit is reached."""
        coordinator = self.coordinator
        settings = coordinator.configuration.deployment_settings
        try:
            setup = parse_setup_request(
                session_id,
                parameters,
                coordinator.configuration.abandon_ns_by_plan,
                settings.cell_count,
                len(settings.rung_rates),
            )
        except SetupRequestError as error:
            coordinator.count("unusable set-up", str(error))
            self.reject_request(connection, session_id, cause_codes.FAILED)
            return
        # A playback that is set up already needs no description.
        description = "" if setup.playing_node else setup.description
        # Bounds the memory for set-ups, on one connection by number and on all by the length of descriptions.
        open_and_queued = len(connection.open_setups) + len(connection.queued_requests)
        is_crowded = open_and_queued >= MAX_SETUPS_PER_CONNECTION
        is_full = coordinator.description_chars + len(description) > coordinator.max_description_chars
        if not setup.playing_node and (is_crowded or is_full):
            self.reject_request(connection, session_id, cause_codes.REJECTED, settings.max_retry_after_ns)
            return
        coordinator.request_received(
            SetupRequest(
                connection=connection,
                session_id=session_id,
                written_at=self.clock.now() if connection.written_at is None else connection.written_at,
                plan_name=setup.plan_name,
                wait_ns=setup.wait_ns,
                title_name=setup.title_name,
                home_cell=setup.home_cell,
                copies=setup.copies,
                top_rung=setup.top_rung,
                description=description,
                playing_node=setup.playing_node,
            )
        )

    @staticmethod
    def reject_request(
        connection: ViewerConnection, session_id: str, cause: int, retry_after_ns: int = 0
    ) -> None:
        """Sends the final answer to a request that is not queued."""
        connection.write(encode_release(session_id, cause, retry_after_ns))


def encode_release(session_id: str, cause: int, retry_after_ns: int = 0) -> bytes:
    """Encodes a release, with the time to stay away if there is one."""
    retry_after = [(framing.RETRY_AFTER, str(retry_after_ns // MS).encode())] if retry_after_ns else []
    return framing.encode(framing.RELEASE, session_id, (framing.CAUSE, bytes((cause,))), *retry_after)
