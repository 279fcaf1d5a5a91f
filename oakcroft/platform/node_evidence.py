"""Signs of life of a playout node's process: which connections have shown them, and which are asked for them.

Combines when a node is asked (`NodeLiveness`) with which connections lead to the process at which the sessions stand
(`NodeIdentity`). What another process sends that has taken the node's address is no sign of life of the former one.
"""

from __future__ import annotations

from oakcroft.decisions.sessions.node_identity import ConnectionEnd, NodeIdentity
from oakcroft.decisions.sessions.node_liveness import LivenessTimeouts, NodeLiveness
from oakcroft.interface import MS
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platformwire import cause_codes, json_lines

TEST_SESSION_ID = "0000000000000000"
TEST_MESSAGE = json_lines.encode("probe", TEST_SESSION_ID, {}, cause_codes.TEST)
TEST_INTERVAL_NS = 500 * MS
"""Time from the test of one connection to that of the next, where the first is not answered."""

PROMPT_ANSWER_NS = 500 * MS
"""Time within which a process that does not hang answers."""

RESYNC_DELAY_NS = 500 * MS
"""Time in which a process that has hung writes what it could not write meanwhile, maybe to connections that are over."""

END_CONFIRMATION_NS = 50 * MS
"""Time after which another connection shows that a process that ended one in order has not died."""


class NodeEvidence:
    """The signs of life of one node. Its pool tells it what happens on the connections. Times in ns."""

    def __init__(self, timeouts: LivenessTimeouts) -> None:
        """Starts without a connection."""
        self.liveness = NodeLiveness(timeouts)
        can_be_proven = timeouts.until_report_overdue is not None
        self.identity = NodeIdentity[NodeConnection](can_be_proven=can_be_proven)
        self.tested_at = dict[NodeConnection, int]()  # in the present silence
        self.resync_at: int | None = (
            None  # after a hang, in which connections may have ended unnoticed by the node
        )
        self.ended_in_order_at = 0  # an end that is not confirmed as a sign of life yet; 0 if there is none
        self.is_handover_unproven = False
        self.last_data_at = dict[int, int]()  # by the process that has sent it; of those that are not known

    def connection_opened(self, connection: NodeConnection) -> None:
        """Adds a connection that has come up."""
        self.identity.opened(connection)

    def data_received(self, connection: NodeConnection, written_at: int) -> None:
        """Handles data, which the other end has written at `written_at` at the earliest."""
        connection.last_written_at = written_at
        if self.identity.data_received(connection):
            self._sign_of_life(written_at)
        else:
            self.last_data_at[self.identity.process_of(connection)] = written_at

    def session_named(self, connection: NodeConnection, session_process: int) -> None:
        """Handles a message on a session that stands at a process of that number."""
        if self.identity.session_named(connection, session_process):
            self.last_data_at.clear()
            self.is_handover_unproven = False
            self._sign_of_life(connection.last_written_at)
        elif session_process > self.identity.known_process:
            self.last_data_at[session_process] = connection.last_written_at

    def _sign_of_life(self, at: int) -> None:
        """Handles a sign of life of the node's process."""
        if self.liveness.unanswered_for(at) > PROMPT_ANSWER_NS:
            self.resync_at = at + RESYNC_DELAY_NS
        self.tested_at.clear()
        self.liveness.message_received(at)

    def connection_ended(
        self, connection: NodeConnection, now: int, *, was_retired: bool, is_in_order: bool
    ) -> None:
        """Handles the end of a connection; a process that lives ends its side of a retired one."""
        self.tested_at.pop(connection, None)
        if not is_in_order:
            self.ended_in_order_at = 0
        elif was_retired and connection.has_received_end and self._is_known_process(connection, now):
            self.ended_in_order_at = now
        self.identity.ended(connection, ConnectionEnd.IN_ORDER if is_in_order else ConnectionEnd.BROKEN, now)

    def _is_known_process(self, connection: NodeConnection, now: int) -> bool:
        """Whether the node's process has ended a connection, which was not one of several that broke at its death."""
        process = self.identity.process_of(connection)
        return not self.identity.may_have_died(process, now) and self.identity.data_received(connection)

    def confirm_end(self, connections: list[NodeConnection], now: int) -> None:
        """Takes an end in order for a sign of life, unless it was one of many: those of a process that has died."""
        if not self.ended_in_order_at or now - self.ended_in_order_at < END_CONFIRMATION_NS:
            return
        if any(connection.is_open and not connection.is_at_end() for connection in connections):
            self._sign_of_life(self.ended_in_order_at)
            self.ended_in_order_at = 0

    def is_resync_due(self, now: int) -> bool:
        """Whether the node is to repeat on a new connection what it has written since it hung; then once only."""
        if self.resync_at is None or now < self.resync_at:
            return False
        self.resync_at = None
        return True

    def test_if_due(self, connections: list[NodeConnection], now: int) -> None:
        """Sends a test on a connection to a silent node, and on one more each time that it is not answered."""
        if not self.liveness.is_test_due(now):
            return
        if self.tested_at and now - max(self.tested_at.values()) < TEST_INTERVAL_NS:
            return
        for connection in reversed(connections):
            if self.identity.is_known(connection) and connection not in self.tested_at:
                self.tested_at[connection] = now
                if connection.write(TEST_MESSAGE):
                    self.liveness.question_sent(now)
                    return

    def oldest_known(self, connections: list[NodeConnection]) -> NodeConnection | None:
        """Returns the oldest connection to the node's process without set-ups; None if there is none."""
        return next(
            (
                connection
                for connection in connections
                if self.identity.is_known(connection) and not connection.pending_setups
            ),
            None,
        )

    def sessions_lost(self, now: int) -> None:
        """Goes on with the next process that may be at the address, after the sessions of the known one were released."""
        self.tested_at.clear()
        self.identity.known_process_lost()
        self.liveness.loss_reported()
        heard_at = self.last_data_at.pop(self.identity.known_process, None)
        if heard_at is None:
            self.liveness.watch_started(now)
        else:
            self.liveness.message_received(heard_at)

    def first_session_began(self, now: int) -> None:
        """Starts to watch the process at which the first session stands."""
        self.identity.start_anew()
        self.liveness.watch_started(now)

    def former_session_handed_over(self, now: int) -> bool:
        """Starts to watch the process of sessions set up before all connections.

        Returns whether all other sessions have the next number of a process from now on.
        """
        self.last_data_at.clear()
        self.liveness.watch_started(now)
        self.is_handover_unproven = self.identity.insert_former_process()
        return self.is_handover_unproven

    def trust_handover(self, now: int, *, has_seen_reports: bool) -> bool:
        """Takes the process at the address for that of the sessions handed over, if no node sends any reports.

        Returns whether it does, once, instead of a loss of these sessions.
        """
        is_trusted = self.is_handover_unproven and not has_seen_reports
        self.is_handover_unproven = False
        if is_trusted:
            self.first_session_began(now)
        return is_trusted
