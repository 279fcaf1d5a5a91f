"""Accepts viewer connections and handles the messages that arrive on them."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.admission.deadlines import PauseDetector
from oakcroft.interface import SECOND
from oakcroft.platform.idle_connections import IdleConnections
from oakcroft.platform.connection import configure_socket
from oakcroft.platform.playback_session import SetupRequest
from oakcroft.platform.viewer_connection import ViewerConnection
from oakcroft.platformwire import cause_codes, framing
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.framing import ProtocolError
from oakcroft.platformwire.setup_request import SetupLimits, SetupRequestError, parse_setup_request
from oakcroft.running.clock import Clock

# For the first message of a connection and the rest of a partial one. The close is due within 3 s.
MESSAGE_TIMEOUT_NS = 2 * SECOND
MAX_SETUPS_PER_CONNECTION = 256
MESSAGES_PER_TURN = 32  # handled on one connection before other tasks run
OVERDUE_CHECK_INTERVAL_S = 0.1
ACCEPT_RETRY_DELAY_S = 0.01
LISTEN_BACKLOG = 1_024  # connections that wait in the kernel to be accepted


class ViewerEvents(Protocol):
    """Receives what viewers send; implemented by the session coordinator. Calls take effect at once."""

    configuration: Configuration
    pause_detector: PauseDetector
    max_description_chars: int

    @property
    def description_chars(self) -> int:
        """Characters in the descriptions of open and queued set-ups."""

    def connection_opened(self, connection: ViewerConnection) -> None:
        """A connection opened."""

    def count(self, category: str, detail: str = "") -> None:
        """Counts an error of a client, or a connection that was closed for another."""

    def connection_closed(self, connection: ViewerConnection) -> None:
        """A connection closed."""

    def release_received(self, connection: ViewerConnection, session_id: str) -> None:
        """A viewer cancels a set-up or ends a playback."""

    def release_confirmed(self, connection: ViewerConnection, session_id: str) -> None:
        """A viewer's side confirms that it has received a release."""

    def request_received(self, request: SetupRequest) -> None:
        """Queues a set-up request."""


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
        """Creates the server of a bound socket; `run` accepts connections from it."""
        self.listener = listener
        self.max_connections = max_connections
        self.coordinator = coordinator
        self.clock = clock
        self.nursery = nursery
        self.log = log
        settings = coordinator.configuration.deployment_settings
        self.setup_limits = SetupLimits(
            coordinator.configuration.abandon_ns_by_plan, settings.cell_count, len(settings.rung_rates)
        )
        self.max_retry_after_ns = settings.max_retry_after_ns
        self.connections: dict[ViewerConnection, None] = {}
        self.idle_connections = IdleConnections(self.connections, max_connections, clock)
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
                await trio.sleep(ACCEPT_RETRY_DELAY_S)
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
        found = self.idle_connections.next_to_evict()
        if found is None:
            return False
        connection, eviction_class = found
        self.coordinator.count("evicted", eviction_class.name.lower())
        self._shed_connection(connection)
        return True

    def _shed_connection(self, connection: ViewerConnection) -> None:
        """Closes a connection because the limit is reached or a message is overdue."""
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
                # If the data has arrived but was not read, the delay is this front end's own.
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
        except Exception as error:  # an error on one connection must not end all sessions
            self.log.error("connection failed", error=repr(error), exc_info=error)
        finally:
            self.connections.pop(connection, None)
            self.coordinator.connection_closed(connection)
            connection.close()

    def _handle_message(
        self, connection: ViewerConnection, kind: int, session_id: str, parameters: dict[int, bytes]
    ) -> None:
        """Handles one message. A health check is answered here, without the coordinator."""
        coordinator = self.coordinator
        if kind == framing.TEST:
            self.was_health_checked = self.was_health_checked or self.is_ready
            connection.write(
                framing.encode(framing.TESTED, session_id, (framing.CAUSE, bytes((int(self.is_ready),))))
            )
        elif kind == framing.RELEASE:
            coordinator.release_received(connection, session_id)
        elif kind == framing.RELEASE_CONFIRMED:
            coordinator.release_confirmed(connection, session_id)
        elif kind == framing.SET_UP:
            self._handle_setup(connection, session_id, parameters)

    def _handle_setup(
        self, connection: ViewerConnection, session_id: str, parameters: dict[int, bytes]
    ) -> None:
        """Queues a set-up request, or rejects it if it is invalid or a limit is reached."""
        coordinator = self.coordinator
        try:
            setup = parse_setup_request(session_id, parameters, self.setup_limits)
        except SetupRequestError as error:
            coordinator.count("unusable set-up", str(error))
            connection.write(framing.encode_release(session_id, cause_codes.FAILED))
            return
        # A playback that plays already needs no description.
        description = "" if setup.playing_node else setup.description
        # Bounds the memory for set-ups: by their number on one connection, by their descriptions on all together.
        setup_count = len(connection.open_setups) + len(connection.queued_requests)
        has_too_many = setup_count >= MAX_SETUPS_PER_CONNECTION
        exceeds_memory = coordinator.description_chars + len(description) > coordinator.max_description_chars
        if not setup.playing_node and (has_too_many or exceeds_memory):
            connection.write(
                framing.encode_release(session_id, cause_codes.REJECTED, self.max_retry_after_ns)
            )
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
