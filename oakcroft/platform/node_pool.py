"""The connections to one playout node.

A node is identified by its id, never by its address, since a new node may use the address of a former one.
"""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio

from oakcroft.decisions.sessions.node_liveness import (
    CHECKS_UNTIL_LOST,
    RELEASE_LIMIT_NS,
    CheckResult,
    LivenessTimeouts,
    NodeLiveness,
)
from oakcroft.interface import MS, SECOND, NodeStatus, Node, Outcome, PlaybackState
from oakcroft.platform.connection import connect
from oakcroft.platform.node_checks import NodeChecks
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platform.node_evidence import NodeEvidence
from oakcroft.platform.node_pool_listener import NodeLoss, NodePoolListener
from oakcroft.platform.playback_session import PlaybackSession
from oakcroft.platformwire import cause_codes, json_lines
from oakcroft.platformwire.framing import ProtocolError
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event
from oakcroft.running.local_shortage import is_local_shortage

RETIRE_IDLE_SHARE = 0.6  # share of the idle timeout; the node must not close a connection that is in use here
MAX_UNSENT_MESSAGES = 512  # per node; over the limit the oldest is dropped
RETIRED_CLOSE_TIMEOUT_NS = 2 * SECOND  # for the node to close its side of a retired connection
MAINTENANCE_CONNECT_INTERVAL_NS = 300 * MS  # minimum time between two connects that no set-up needs
MIN_CONNECTIONS_FOR_RETIREMENT = 2  # the last connection is not retired for a new one


@dataclass(frozen=True)
class NodePoolSettings:
    """What the pools of all nodes have in common."""

    streams_per_connection: int  # set-ups that may await an answer on one connection
    idle_timeout_ns: int  # after which a node closes an idle connection
    connect_timeout_ns: int
    liveness_timeouts: LivenessTimeouts  # after which a node is asked whether it is still there
    earliest_written_at: Callable[[int, int], int]  # of data read at a time, not before another; for pauses


class NodePool:
    """The connections to one node.

    Calls of the coordinator take effect at once. Messages of the node are submitted to the coordinator as events.
    """

    def __init__(
        self,
        node: Node,
        address: tuple[str, int],
        max_connections: int,
        settings: NodePoolSettings,
        clock: Clock,
        nursery: trio.Nursery,
        submit: Callable[[Event], Awaitable[None]],
        listener: NodePoolListener[NodePool],
    ) -> None:
        """Creates a pool without connections."""
        self.node = node
        self.address = address
        self.max_connections = max_connections
        self.streams_per_connection = settings.streams_per_connection
        self.idle_timeout_ns = settings.idle_timeout_ns
        self.connect_timeout_ns = settings.connect_timeout_ns
        self.clock = clock
        self.nursery = nursery
        self.submit = submit
        self.listener = listener
        self.connections: list[NodeConnection] = []
        self.opening_for_setups = 0
        # Set-ups that wait for a connection being opened.
        self.waiting_setups: dict[PlaybackSession, None] = {}
        self.playing_sessions: dict[PlaybackSession, None] = {}
        # To be sent on the next connection that opens.
        self.unsent_messages: deque[bytes] = deque(maxlen=MAX_UNSENT_MESSAGES)
        self.evidence = NodeEvidence(settings.liveness_timeouts)
        self.earliest_written_at = settings.earliest_written_at
        self.may_test = settings.liveness_timeouts.until_test is not None
        self.checks = NodeChecks(self.liveness, clock, nursery, submit, self)
        self.last_connect_at = 0
        # Connections that are only read, and since when.
        self.retired_connections: dict[NodeConnection, int] = {}
        self.has_handed_over = False  # sessions from before the start of this front end
        self.needs_resync = False  # messages may be lost; the node repeats them on the next connection
        self.is_removed = False  # removed from the list, or its name has another address

    @property
    def liveness(self) -> NodeLiveness:
        """When the node is asked for a sign of life, and whether it is lost."""
        return self.evidence.liveness

    def add_playing_session(
        self, session: PlaybackSession, now: int, connection: NodeConnection | None = None
    ) -> None:
        """Registers a session that plays at the node from now on; one without a connection was handed over."""
        if not self.playing_sessions:
            self.evidence.first_session_began(now)
        if connection is None and not self.has_handed_over:
            self.has_handed_over = True
            if self.evidence.former_session_handed_over(now):
                for other in self.playing_sessions:
                    other.node_process += 1
        session.node_process = self.evidence.identity.process_of(connection)
        self.playing_sessions[session] = None

    @property
    def opening_count(self) -> int:
        """Number of connections being opened."""
        return self.opening_for_setups + self.liveness.open_checks

    def send_setup(self, session: PlaybackSession) -> None:
        """Sends a set-up: on a connection without one, else on a new connection, else on the least used."""
        connection = self._least_used_connection()
        while connection is not None and (
            not connection.pending_setups
            or len(self.connections) + self.opening_for_setups >= self.max_connections
        ):
            if self._write_setup(connection, session):
                return
            connection = self._least_used_connection()
        self.waiting_setups[session] = None
        has_room = len(self.connections) + self.opening_for_setups < self.max_connections
        if (connection is None and not self.opening_for_setups) or (
            self.opening_for_setups < len(self.waiting_setups) and has_room
        ):
            self._open_connection()

    def _least_used_connection(self) -> NodeConnection | None:
        """Returns the connection with the fewest set-ups that can take another one; None if there is none.

        A connection that the node has closed is never used: a set-up that may have been read there cannot be
        sent again.
        """
        usable = list[NodeConnection]()
        for connection in list(self.connections):
            if connection.is_at_end():
                if not connection.pending_setups:
                    self._discard_connection(connection)
            elif (
                connection.is_open
                and len(connection.pending_setups) < self.streams_per_connection
                and not self._is_due_to_retire(connection)
            ):
                usable.append(connection)
        return min(usable, key=lambda candidate: len(candidate.pending_setups), default=None)

    def _is_due_to_retire(self, connection: NodeConnection) -> bool:
        """Whether the connection has been idle for so long that the node may soon close it."""
        return self.clock.now() - connection.last_used_at > RETIRE_IDLE_SHARE * self.idle_timeout_ns

    def _write_setup(self, connection: NodeConnection, session: PlaybackSession) -> bool:
        """Sends a set-up on a connection; returns False if it has to be sent on another one.

        Checks immediately before sending that the viewer is still there; otherwise the set-up is cancelled.
        """
        if self.listener.cancel_if_viewer_gone(session):
            return True
        now = self.clock.now()
        time_left_ms = max(1, (session.abandon_at - now) // MS)
        attributes: json_lines.Attributes = {
            "class": session.plan_name,
            "left": str(time_left_ms),
            "key": session.playback.title.name,
            "rung": str(session.playback.rung),
        }
        queued_before = connection.queued_bytes
        if (
            not connection.write(json_lines.encode("open", session.id, attributes, None, session.description))
            and connection.sent_bytes <= queued_before
        ):
            self._discard_connection(connection)  # no byte of it was sent, so it can go to another connection
            return False
        session.node_connection = connection
        connection.pending_setups[session] = range(queued_before, connection.queued_bytes)
        connection.last_used_at = now
        return True

    def cancel_setup(self, session: PlaybackSession) -> bool:
        """Cancels a set-up whose answer is no longer needed; returns whether the node cannot have received all
        of it.
        """
        connection = session.node_connection
        never_received = connection is None or connection.retract_setup(session)
        if connection is not None and not never_received:
            connection.write(json_lines.encode("close", session.id, {}, cause_codes.CANCELLED))
        self.setup_finished(session)
        return never_received

    def setup_finished(self, session: PlaybackSession) -> None:
        """Frees the connection of a set-up that has ended, and sends the next waiting set-up on it."""
        self.waiting_setups.pop(session, None)
        if session.node_connection is not None:
            session.node_connection.pending_setups.pop(session, None)
            session.node_connection = None
        while (
            self.waiting_setups
            and (free_connection := self._least_used_connection()) is not None
            and not free_connection.pending_setups
        ):
            next_session = next(iter(self.waiting_setups))
            del self.waiting_setups[next_session]
            if not self._write_setup(free_connection, next_session):
                self.send_setup(next_session)
                return

    def cancel_unsent_setups(self) -> None:
        """Cancels the set-ups that wait for a connection or in a send buffer, as the node takes no new ones."""
        unsent_setups, self.waiting_setups = list(self.waiting_setups), {}
        unsent_setups += [
            session
            for connection in self.connections
            for session in list(connection.pending_setups)
            if connection.retract_setup(session)
        ]
        for session in unsent_setups:
            self.setup_finished(session)
            self.listener.try_ended(session, Outcome.NOT_SENT, None)

    def send_message(
        self, kind: str, session_id: str, attributes: json_lines.Attributes, code: int | None = None
    ) -> None:
        """Sends a message about a playback on any open connection, or on the next one if none is open."""
        message = json_lines.encode(kind, session_id, attributes, code)
        for connection in self.connections:
            if connection.is_open and not connection.is_at_end() and connection.write(message):
                return
        self._queue_for_new_connection(message)

    def send_on_new_connection(
        self, kind: str, session_id: str, attributes: json_lines.Attributes, code: int | None = None
    ) -> None:
        """Sends a message about a playback on the next connection, which is opened now if there is room."""
        self.needs_resync = True
        self._queue_for_new_connection(json_lines.encode(kind, session_id, attributes, code))

    def _queue_for_new_connection(self, message: bytes) -> None:
        """Keeps a message for the next connection, and opens one if it may be."""
        self.unsent_messages.append(message)
        self.maintain(self.clock.now())

    def _repeat_closes(self) -> None:
        """Sends the closes again that the node has not confirmed, as a connection that has ended may have had them."""
        for session in self.playing_sessions:
            if session.playback.state is PlaybackState.VIEWER_LEFT:
                self.send_message("close", session.id, {}, cause_codes.CANCELLED)

    def _open_connection(self) -> None:
        """Starts a connect for the waiting set-ups; if no descriptor is free, closes an idle connection."""
        self.opening_for_setups += 1
        self.last_connect_at = self.clock.now()
        if self.listener.make_room_for_connection(self, 0):
            self.nursery.start_soon(self._connect)
        else:
            no_descriptor = OSError(errno.EMFILE, "connections to nodes have their part of the descriptors")
            self.nursery.start_soon(self.submit, partial(self._on_connect_failed, no_descriptor))

    async def _connect(self) -> None:
        """Connects, and reads the messages of the connection until it ends."""
        try:
            sock = await connect(self.address, self.connect_timeout_ns / SECOND)
        except (OSError, trio.TooSlowError) as error:
            await self.submit(partial(self._on_connect_failed, error))
            return
        connection = NodeConnection(sock, self.nursery, self.clock.now())
        await self.submit(partial(self._on_connected, connection))
        await self.read_messages(connection)

    def _on_connected(self, connection: NodeConnection) -> None:
        """Handles the end of a connect for set-ups."""
        self.opening_for_setups -= 1
        self.liveness.connected()
        self.add_connection(connection)

    def add_connection(self, connection: NodeConnection) -> None:
        """Adds a new connection to the pool, and sends the messages and set-ups that wait for one."""
        if self.is_removed and not self.playing_sessions and not self.waiting_setups:
            connection.close()
            return
        self.connections.append(connection)
        self.evidence.connection_opened(connection)
        while self.unsent_messages and connection.write(self.unsent_messages[0]):
            self.unsent_messages.popleft()
        for session in list(self.waiting_setups):
            if connection.pending_setups and self.opening_for_setups:
                break  # the other set-ups wait for connections that are being opened
            del self.waiting_setups[session]
            if not self._write_setup(connection, session):
                self.send_setup(session)
                return

    def _on_connect_failed(self, error: Exception) -> None:
        """Sends the waiting set-ups on a connection in use or ends them; reports the node as lost if it is."""
        self.opening_for_setups -= 1
        outcome = Outcome.NO_CONNECTION
        if is_local_shortage(error):
            outcome = Outcome.NOT_SENT
            self.listener.node_failed(self, "no descriptor left")
        else:
            self.liveness.connect_failed(is_refused=isinstance(error, ConnectionRefusedError))
        if not self.opening_for_setups:
            unsent_setups, self.waiting_setups = list(self.waiting_setups), {}
            for session in unsent_setups:
                # A connection in use is acceptable when no other can be opened.
                connection = self._least_used_connection()
                if connection is None or not self._write_setup(connection, session):
                    self.listener.try_ended(session, outcome, None)
        self._report_if_lost()

    def check_ended(self, result: CheckResult) -> None:
        """Counts the end of a check; reports the node as lost if it is."""
        self.listener.check_ended(self, result)
        if result is CheckResult.NO_DESCRIPTOR:
            self.needs_resync = True  # what the node repeats still waits for a new connection
        self._report_if_lost()

    def _report_if_lost(self) -> None:
        """Reports the node as lost if it is, and nothing that it has sent is still to be read."""
        now = self.clock.now()
        opened_at = [candidate.opened_at for candidate in self.connections if candidate.is_open]
        if not self.liveness.is_lost(
            now, has_open_connection=bool(opened_at), connected_since=min(opened_at, default=now)
        ):
            return
        if any(candidate.has_unread_input() for candidate in [*self.connections, *self.retired_connections]):
            return
        if self.evidence.trust_handover(now, has_seen_reports=self.listener.has_seen_reports):
            return
        loss = self.describe_loss("no sign of life", self.evidence.identity.known_process)
        self.evidence.sessions_lost(now)  # the closes of its sessions lead to another round of maintenance
        self.listener.node_lost(self, loss)

    def describe_loss(self, reason: str, last_process: int | None = None) -> NodeLoss:
        """Describes the loss of the node's process at this moment."""
        return NodeLoss(
            reason,
            self.liveness.silent_for(self.clock.now()),
            self.liveness.silence_before_check,
            len(self.evidence.tested_at),
            last_process,
        )

    async def read_messages(self, connection: NodeConnection) -> None:
        """Submits the messages of a connection until it ends; closes it if the data is unreadable."""
        decoder, reason = json_lines.LineDecoder(), ""
        try:
            while data := await connection.read():
                now = self.clock.now()
                written_at = self.earliest_written_at(now, connection.last_read_at)
                connection.last_read_at = now
                self.evidence.data_received(connection, written_at)
                decoder.receive_data(data)
                while (event := decoder.next_event()) is not None:
                    await self.submit(partial(self.listener.message_received, self, connection, *event))
        except ProtocolError as fault:
            reason = str(fault)
            connection.close()
        await self.submit(partial(self._on_connection_ended, connection, reason))

    def _on_connection_ended(self, connection: NodeConnection, reason: str) -> None:
        """Removes a connection that has ended, and ends its tries."""
        if reason:
            self.listener.node_failed(self, reason)
        was_retired = self.retired_connections.pop(connection, None) is not None
        if not was_retired or not connection.has_received_end:
            self.needs_resync = True  # what the node has sent there may be lost
        self._discard_connection(connection, was_retired=was_retired)
        if self.playing_sessions:
            self._repeat_closes()
            self.maintain(self.clock.now())

    def _discard_connection(self, connection: NodeConnection, *, was_retired: bool = False) -> None:
        """Closes a connection and ends its tries: `RESET` if the kernel accepted part of one, else `NOT_SENT`."""
        if connection in self.connections:
            self.connections.remove(connection)
        pending, connection.pending_setups = connection.pending_setups, {}
        is_idle_end = connection.has_received_end and not pending and self._is_due_to_retire(connection)
        is_answered_end = was_retired and connection.has_received_end
        is_in_order = is_answered_end or is_idle_end or not connection.is_ended_by_peer()
        connection.close()
        self.evidence.connection_ended(
            connection, self.clock.now(), was_retired=was_retired, is_in_order=is_in_order
        )
        for session, queued_range in pending.items():
            session.node_connection = None
            self.listener.try_ended(
                session,
                Outcome.RESET if connection.sent_bytes > queued_range.start else Outcome.NOT_SENT,
                None,
            )

    def maintain(self, now: int) -> None:
        """Maintains the connections.

        Retires connections before the node closes them, keeps a fresh one while sessions play, and checks a node
        that has been silent for too long.
        """
        for connection in list(self.connections):
            if not connection.pending_setups and self._is_due_to_retire(connection):
                self._retire_connection(connection, now)
        for connection, since in list(self.retired_connections.items()):
            if self._has_ended_or_never_will(since, now):
                connection.close()
        if self.is_removed or not self.playing_sessions:
            return
        self._ask_if_silent(now)
        if checks_due := self.liveness.checks_due(now):
            self._start_checks(checks_due, now)
        elif self._needs_new_connection() and now - self.last_connect_at >= MAINTENANCE_CONNECT_INTERVAL_NS:
            self._start_checks(1, now)
        self._report_if_lost()

    def _has_ended_or_never_will(self, retired_at: int, now: int) -> bool:
        """Whether a retired connection is closed although the node has not ended its side.

        One that hangs has time for it, since it may still send there what it could not send meanwhile.
        """
        has_lived_since = self.liveness.last_activity_at - retired_at > RETIRED_CLOSE_TIMEOUT_NS
        is_unused = has_lived_since or not self.playing_sessions
        return now - retired_at > (RETIRED_CLOSE_TIMEOUT_NS if is_unused else RELEASE_LIMIT_NS)

    def _ask_if_silent(self, now: int) -> None:
        """Asks a silent node for a sign of life, by a test or by the end of a connection beside another one."""
        self.evidence.confirm_end(self.connections, now)
        self.evidence.test_if_due(self.connections, now)
        if self.evidence.is_resync_due(now):
            self.needs_resync = True
        if self.may_test or not self.liveness.is_silent(now):
            return
        is_asked = any(since > self.liveness.last_activity_at for since in self.retired_connections.values())
        if is_asked or len(self.connections) < MIN_CONNECTIONS_FOR_RETIREMENT:
            return
        connection = self.evidence.oldest_known(self.connections)
        if connection is not None:
            self._retire_connection(connection, now)

    def _needs_new_connection(self) -> bool:
        """Whether a connection is to be opened although the node is not silent and no set-up waits for one.

        A check that is not up yet may never come up, and a release of the node may wait for it.
        """
        if self.opening_for_setups or self.liveness.open_checks >= CHECKS_UNTIL_LOST:
            return False
        return (
            not self.connections
            or self.needs_resync
            or self.liveness.has_failed_connect
            or self.liveness.open_checks > 0
        )

    def _start_checks(self, count: int, now: int) -> None:
        """Opens connections that show whether the node is there, and on which it repeats what may be lost."""
        if len(self.connections) >= max(MIN_CONNECTIONS_FOR_RETIREMENT, self.max_connections):
            unused_connection = self._unused_connection()
            if unused_connection is not None:
                self._retire_connection(unused_connection, now)
        self.last_connect_at = now
        self.needs_resync = False
        for _ in range(count):
            self.checks.start()

    def make_room_for_check(self) -> bool:
        """Returns whether a descriptor is free for a check that has been started."""
        if self.liveness.is_silent(self.clock.now()):
            return self.listener.make_room_for_check(self)
        return self.listener.make_room_for_connection(self, RETIRED_CLOSE_TIMEOUT_NS)

    def _unused_connection(self) -> NodeConnection | None:
        """Returns the oldest connection on which no set-up awaits its answer; None if there is none."""
        return next((candidate for candidate in self.connections if not candidate.pending_setups), None)

    def close_unused_connection(self) -> bool:
        """Closes a connection without set-ups to free its descriptor; returns whether there was one."""
        connection = self._unused_connection()
        if connection is not None:
            self.close_idle_connection(connection)
        return connection is not None

    def _retire_connection(self, connection: NodeConnection, now: int) -> None:
        """Half-closes a connection, which is only read from now on.

        So a message of the node that is on its way, such as the end of a playback, is not lost.
        """
        self.connections.remove(connection)
        self.retired_connections[connection] = now
        connection.shut_down_writing()
        self.liveness.question_sent(now)  # a process that lives ends its side as well

    def close(self) -> None:
        """Closes all connections of a node that is gone."""
        for connection in [*self.connections, *self.retired_connections]:
            self._discard_connection(connection)

    @property
    def descriptor_count(self) -> int:
        """Number of descriptors used by its connections, including those being opened."""
        return len(self.connections) + self.opening_count + len(self.retired_connections)

    def close_idle_connection(self, connection: NodeConnection) -> None:
        """Closes an idle connection to free its descriptor for another node.

        The node repeats messages that are lost with it on the next connection.
        """
        self.needs_resync = True
        self._discard_connection(connection)

    @property
    def is_unused(self) -> bool:
        """Whether no session, set-up or connection attempt needs the pool."""
        return not (
            self.playing_sessions
            or self.waiting_setups
            or self.opening_count
            or self.retired_connections
            or any(candidate.pending_setups for candidate in self.connections)
        )

    @property
    def is_listed(self) -> bool:
        """Whether the node is on the list."""
        return self.node.status is not NodeStatus.GONE and not self.is_removed
