"""Follows the command channel by long polls, starting after the last event that was received completely.

List changes take precedence over all other events: they bypass the inbox, and drains are applied first. So even a
front end that is overloaded or was paused uses an outdated node list for at most one batch of events (5 ms) after the
update has reached its socket, or for a few of them where thousands of changes come at once.
"""

from __future__ import annotations

import structlog
import trio

from oakcroft.decisions.fleet.node_list_freshness import NodeListFreshness
from oakcroft.decisions.fleet.poll_patience import KEPT_POLL_NS, SLOW_LATENESS_NS, PollPatience
from oakcroft.interface import MS, SECOND
from oakcroft.platform.channel_connection import ChannelConnection
from oakcroft.platform.connection import connect
from oakcroft.platform.list_updates import ListUpdates
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.answer_decoder import Answer

POLL_WAIT_MS = 1_000  # longest time for which the channel may hold a poll
POLL_OVERDUE_S = SLOW_LATENESS_NS / SECOND  # after that time a channel counts as silent at the latest
MAX_LOGGED_ERROR_LENGTH = 200
CONNECT_TIMEOUT_S = 0.5
# Between connection attempts; the delay doubles with each failure.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.2
MAX_TOO_LARGE_RETRY_DELAY_S = 5.0  # the answer may become smaller, when the channel drops old events


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
        self.list_updates = ListUpdates(coordinator)
        self.apply_lock = trio.Lock()  # answers to overdue polls are read beside the next one
        self.freshness = NodeListFreshness(coordinator.clock.now(), startup_duration_ns)
        self.confirmed = trio.Event()  # the first answer since the start has been applied
        self.connection: ChannelConnection | None = None
        # With overdue polls, which are read beside the next one.
        self.kept_connections = dict[ChannelConnection, None]()
        self.patience = PollPatience(POLL_WAIT_MS * MS)
        self.poll_overdue_at = 0.0  # trio time at which the open poll is overdue
        self.connection_scope = trio.CancelScope()

    def switch_address(self, address: tuple[str, int]) -> None:
        """Continues at another address after the last event received; drops the poll at the old address."""
        if address != self.address:
            self.log.info("channel moves", after=self.last_cursor)
            self.address = address
            self.freshness.record_loss()
            self.connection_scope.cancel()
            for connection in self.kept_connections:
                connection.close()

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
                    is_too_large = isinstance(error, command_channel.AnswerTooLargeError)
                    max_delay_s = MAX_TOO_LARGE_RETRY_DELAY_S if is_too_large else MAX_RETRY_DELAY_S
                    retry_delay_s = min(2 * retry_delay_s, max_delay_s)
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
        coordinator = self.coordinator
        connection = ChannelConnection(
            sock, address, coordinator.clock, coordinator.nursery, self._answer_received
        )
        self.connection = connection
        is_kept = False
        try:
            self._send_poll(connection)
            while connection.is_open and trio.current_time() < self.poll_overdue_at:
                await connection.wait_until(self.poll_overdue_at)
            is_silent = connection.is_open
            is_kept = is_silent and self.patience.overdue(len(self.kept_connections))
            if is_kept:
                self.kept_connections[connection] = None
                coordinator.nursery.start_soon(self._read_kept, connection)
        finally:
            self.connection = None
            if not is_kept:
                connection.close()
        if connection.failure:
            raise connection.failure
        return is_silent

    def _send_poll(self, connection: ChannelConnection) -> None:
        """Sends the next poll and sets the time at which it is overdue."""
        wait_ms = self.freshness.poll_timeout_ms(POLL_WAIT_MS)
        time_for_answer_ns = self.patience.time_for_answer(wait_ms * MS)
        self.poll_overdue_at = trio.current_time() + time_for_answer_ns / SECOND
        connection.send_poll(self.last_cursor, wait_ms)

    async def _read_kept(self, connection: ChannelConnection) -> None:
        """Waits for the answer to an overdue poll, and closes its connection."""
        age_ns = self.coordinator.clock.now() - connection.polled_at
        deadline = trio.current_time() + max(0, KEPT_POLL_NS - age_ns) / SECOND
        try:
            while connection.is_open and trio.current_time() < deadline:
                await connection.wait_until(deadline)
        except trio.ClosedResourceError:
            pass
        finally:
            connection.close()
            del self.kept_connections[connection]

    async def _answer_received(self, connection: ChannelConnection, answer: Answer) -> None:
        """Applies an answer, and polls again on the same connection unless it answers an overdue poll."""
        answered_at = self.coordinator.clock.now()
        with trio.CancelScope(shield=True):  # what has been received is applied even if the channel moves
            async with self.apply_lock:
                await self._apply_answer(*answer)
        self.patience.answered(connection.wait_ns, answered_at - connection.polled_at)
        if connection is self.connection and connection.can_poll:
            self._send_poll(connection)
        else:
            connection.close()  # the channel closes it after this answer, or it has another one beside it

    async def _apply_answer(self, last_cursor: int, changes: list[command_channel.ListChange]) -> None:
        """Applies the events of one answer that are newer than the last cursor."""
        newer = list[command_channel.ListChange]()
        newest_cursor = self.last_cursor
        for change in changes:
            if change.cursor > newest_cursor:
                newest_cursor = change.cursor
                newer.append(change)
        await self.list_updates.apply(newer)
        self.last_cursor = max(newest_cursor, last_cursor)
        if not self.freshness.is_current and self.freshness.is_confirmed:
            self.log.info("channel back", after=self.last_cursor)
        self.freshness.record_answer()
        self.confirmed.set()
