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
        self.ended_in_order_at = 0  # an end that is not confirmed as a sign of life yet; 0 if there is none
        self.unknown_activity_at = 0  # of a process of which it is not known whether it is the node's

    def connection_opened(self, connection: NodeConnection, now: int) -> None:
        """Adds a connection that has come up."""
        self.identity.opened(connection, now)

    def data_received(self, connection: NodeConnection, written_at: int) -> None:
        """Handles data, which the other end has written at `written_at` at the earliest."""
        connection.last_written_at = written_at
        if self.identity.data_received(connection):
            self._sign_of_life(written_at)
        else:
            self.unknown_activity_at = written_at

    def session_named(self, connection: NodeConnection, began_at: int) -> None:
        """Handles a message on a session that began at `began_at`."""
        if self.identity.session_named(connection, began_at):
            self._sign_of_life(connection.last_written_at)

    def _sign_of_life(self, at: int) -> None:
        """Handles a sign of life of the node's process."""
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
        return not self.identity.may_have_died(now) and self.identity.data_received(connection)

    def confirm_end(self, connections: list[NodeConnection], now: int) -> None:
        """Takes an end in order for a sign of life, unless it was one of many: those of a process that has died."""
        if not self.ended_in_order_at or now - self.ended_in_order_at < END_CONFIRMATION_NS:
            return
        if any(connection.is_open and not connection.is_at_end() for connection in connections):
            self._sign_of_life(self.ended_in_order_at)
            self.ended_in_order_at = 0

    def test_if_due(self, connections: list[NodeConnection], now: int) -> None:
        """Sends a test on a connection to a silent node, and on one more each time that it is not answered."""
        if not self.liveness.is_test_due(now):
            return
        if self.tested_at and now - max(self.tested_at.values()) < TEST_INTERVAL_NS:
            return
        for connection in reversed(connections):
            if connection in self.identity.known and connection not in self.tested_at:
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
                if connection in self.identity.known and not connection.pending_setups
            ),
            None,
        )

    def sessions_lost(self, now: int) -> None:
        """Starts anew with whichever process has answered last, after all sessions from before it were released."""
        unknown_since = self.identity.unknown_since
        self.tested_at.clear()
        self.identity.start_anew()
        self.liveness.loss_reported()
        if unknown_since is None:
            self.liveness.watch_started(now)
        else:
            self.liveness.watch_started(unknown_since)
            self.liveness.message_received(self.unknown_activity_at)

    def first_session_began(self, now: int) -> None:
        """Starts to watch the process at which the first session stands."""
        self.identity.start_anew()
        self.liveness.watch_started(now)
