"""Follows the command channel by long polls, starting after the last event that was received completely.

List changes take precedence over all other events: they are read and applied in one step and bypass the
inbox. So even a front end that is overloaded or was paused uses an outdated node list for at most one batch
of events (5 ms) after the update has reached its socket.
"""

from __future__ import annotations

import structlog
import trio

from oakcroft.decisions.fleet.node_list_freshness import NodeListFreshness
from oakcroft.platform.connection import BufferedConnection, connect
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.long_poll import LongPollConnection

POLL_WAIT_MS = 1_000  # longest time for which the channel may hold a poll
POLL_OVERDUE_S = 0.4  # after that time; a channel that has not answered by then counts as silent
RECEIVE_BYTES = 65_536
MAX_LOGGED_ERROR_LENGTH = 200
CONNECT_TIMEOUT_S = 0.5
# Between connection attempts; the delay doubles with each failure.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2


class ChannelFollower:
    """Polls the command channel and passes its events to the session coordinator."""

    def __init__(
        self,
        address: tuple[str, int],
        last_cursor: int,
        coordinator: SessionCoordinator,
        log: structlog.typing.FilteringBoundLogger,
        startup_duration_ns: int = 0,
    ) -> None:
        """Creates a follower without a connection.

        `last_cursor` is the cursor of the last event already known, `startup_duration_ns` the time that the
        process has taken to start.
        """
        self.address = address
        self.last_cursor = last_cursor
        self.coordinator = coordinator
        self.log = log
        self.freshness = NodeListFreshness(coordinator.clock.now(), startup_duration_ns)
        self.confirmed = trio.Event()  # the first answer since the start has been applied
        self.connection: BufferedConnection | None = None
        self.long_poll = LongPollConnection(*address)
        self.poll_overdue_at = 0.0  # trio time at which the open poll is overdue
        self.failure = ""  # error that made the connection unusable; empty while it is usable
        self.connection_scope = trio.CancelScope()

    def switch_address(self, address: tuple[str, int]) -> None:
        """Continues at another address after the last event received; drops the poll at the old address."""
        if address != self.address:
            self.log.info("channel moves", after=self.last_cursor)
            self.address = address
            self.freshness.record_loss()
            self.connection_scope.cancel()

    async def run(self) -> None:
        """Follows the channel until it is cancelled."""
        retry_delay_s, was_reported = MIN_RETRY_DELAY_S, False
        while True:
            with trio.CancelScope() as self.connection_scope:
                try:
                    silent = await self._follow_connection()
                except (OSError, trio.TooSlowError, command_channel.ChannelError) as error:
                    if self.freshness.is_current or not was_reported:
                        self.log.warning(
                            "channel broken", after=self.last_cursor, why=str(error)[:MAX_LOGGED_ERROR_LENGTH]
                        )
                        retry_delay_s, was_reported = MIN_RETRY_DELAY_S, True
                    self.freshness.record_loss()
                    await trio.sleep(retry_delay_s)
                    retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
                else:
                    if silent:
                        self.log.warning("channel silent", after=self.last_cursor)
                        self.freshness.record_loss()

    async def _follow_connection(self) -> bool:
        """Uses one connection until its poll is overdue (returns True) or the channel has closed it after an
        answer (returns False).

        Raises OSError, trio.TooSlowError or ChannelError if the connection cannot be opened or fails.
        """
        address = self.address
        sock = await connect(address, CONNECT_TIMEOUT_S)
        self.connection = BufferedConnection(sock, self.coordinator.nursery)
        self.long_poll = LongPollConnection(*address)
        self.failure = ""
        try:
            self._send_poll()
            while self.connection.is_open and trio.current_time() < self.poll_overdue_at:
                with trio.move_on_at(self.poll_overdue_at):
                    await trio.lowlevel.wait_readable(sock)
                self._read_answers()
        finally:
            silent = self.connection.is_open
            self.connection.close()
            self.connection = None
        if self.failure:
            raise command_channel.ChannelError(self.failure)
        return silent

    def _send_poll(self) -> None:
        """Sends the next poll and sets the time at which it is overdue."""
        assert self.connection is not None
        wait_ms = self.freshness.poll_timeout_ms(POLL_WAIT_MS)
        self.poll_overdue_at = trio.current_time() + POLL_WAIT_MS / 1e3 + POLL_OVERDUE_S
        self.connection.write(self.long_poll.poll(self.last_cursor, wait_ms))

    def _read_answers(self) -> None:
        """Reads and applies everything that has arrived, and polls again. Never waits."""
        while self.connection is not None and self.connection.is_open:
            try:
                data = self.connection.sock.recv(RECEIVE_BYTES)
                self.long_poll.receive_data(data)
                while self.connection.is_open and (answer := self.long_poll.next_answer()) is not None:
                    self._apply_answer(*answer)
                    if self.long_poll.is_ready:
                        self._send_poll()
                    else:
                        self.connection.close()  # the channel closes the connection after this answer
            except BlockingIOError:
                return
            except (OSError, command_channel.ChannelError) as error:
                self.failure = str(error) or repr(error)
                self.connection.close()

    def _apply_answer(self, last_cursor: int, changes: list[command_channel.ListChange]) -> None:
        """Applies the events of one answer that are newer than the last cursor."""
        for number, complete, members in changes:
            if number > self.last_cursor:
                self.last_cursor = number
                self.coordinator.apply_list_immediately(complete, members)
        self.last_cursor = max(self.last_cursor, last_cursor)
        if not self.freshness.is_current and self.freshness.is_confirmed:
            self.log.info("channel back", after=self.last_cursor)
        self.freshness.record_answer()
        self.confirmed.set()
