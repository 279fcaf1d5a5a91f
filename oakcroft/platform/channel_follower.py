"""Follows the command channel by long polls, from the last event heard whole.

What the channel has said goes before all else: it is read and acted on in one step, not handed to the inbox. However much
waits there, a front that was late or stood still decides at most one turn of its loop (5 ms of events) on a list of which
news lies unread in its own socket.
"""

from __future__ import annotations

import structlog
import trio

from oakcroft.decisions.fleet.node_list_freshness import Freshness
from oakcroft.platform.connection import Link, connect
from oakcroft.platform.session_coordinator import Owner
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.long_poll import Polling

BLOCK = 1_000  # ms that a poll waits for events
OVERDUE = 0.4  # seconds past that, after which the channel has stopped and is asked again
CONNECT_WITHIN = 0.5
FIRST_WAIT, MOST_WAIT = 0.02, 0.2  # between tries, after a break


class Follower:
    """Asks for events and hands them to the owner."""

    def __init__(
        self, address: tuple[str, int], last: int, owner: Owner, log: structlog.typing.FilteringBoundLogger,
        start_took: int = 0,
    ) -> None:  # fmt: skip
        self.address, self.last, self.owner, self.log = address, last, owner, log
        self.freshness = Freshness(owner.clock.now(), start_took)
        self.confirmed = trio.Event()  # the first answer since the start has been handed on
        self.link: Link | None = None
        self.polling = Polling(*address)
        self.until = 0.0  # when the open poll is overdue
        self.fault = ""  # why the connection is of no further use
        self.moved = trio.CancelScope()

    def turn_to(self, address: tuple[str, int]) -> None:
        """Goes on at another address, with the number last heard; the poll at the old one is dropped."""
        if address != self.address:
            self.log.info("channel moves", after=self.last)
            self.address = address
            self.freshness.lost()
            self.moved.cancel()

    async def run(self) -> None:
        """Follows until it is cancelled."""
        wait, told = FIRST_WAIT, False
        while True:
            with trio.CancelScope() as self.moved:
                try:
                    silent = await self._follow()
                except (OSError, trio.TooSlowError, command_channel.Unreadable) as fault:
                    if self.freshness.current or not told:
                        self.log.warning("channel broken", after=self.last, why=str(fault)[:200])
                        wait, told = FIRST_WAIT, True
                    self.freshness.lost()
                    await trio.sleep(wait)
                    wait = min(2 * wait, MOST_WAIT)
                else:
                    if silent:
                        self.log.warning("channel silent", after=self.last)
                        self.freshness.lost()

    async def _follow(self) -> bool:
        """One connection, until its poll is overdue (True) or the channel has closed it after an answer.

        OSError, trio.TooSlowError or channel.Unreadable where it breaks.
        """
        address = self.address
        sock = await connect(address, CONNECT_WITHIN)
        self.link, self.polling, self.fault = Link(sock, self.owner.nursery), Polling(*address), ""
        try:
            self._ask()
            while self.link.open and trio.current_time() < self.until:
                with trio.move_on_at(self.until):
                    await trio.lowlevel.wait_readable(sock)
                self._take()
        finally:
            silent = self.link.open
            self.link.shut()
            self.link = None
        if self.fault:
            raise command_channel.Unreadable(self.fault)
        return silent

    def _ask(self) -> None:
        assert self.link is not None
        block = self.freshness.patience(BLOCK)
        self.until = trio.current_time() + BLOCK / 1e3 + OVERDUE
        self.link.write(self.polling.ask(self.last, block))

    def _take(self) -> None:
        """Takes what the channel has said by now, and asks on. Waits for nothing."""
        while self.link is not None and self.link.open:
            try:
                data = self.link.sock.recv(65_536)
                self.polling.receive_data(data)
                while self.link.open and (answer := self.polling.next_answer()) is not None:
                    self._heard(*answer)
                    if self.polling.may_ask:
                        self._ask()
                    else:
                        self.link.shut()  # the channel closes after this answer
            except BlockingIOError:
                return
            except (OSError, command_channel.Unreadable) as fault:
                self.fault = str(fault) or repr(fault)
                self.link.shut()

    def _heard(self, last: int, changes: list[command_channel.Change]) -> None:
        for number, complete, members in changes:
            if number > self.last:
                self.last = number
                self.owner.listed_at_once(complete, members)
        self.last = max(self.last, last)
        if not self.freshness.current and self.freshness.confirmed:
            self.log.info("channel back", after=self.last)
        self.freshness.heard()
        self.confirmed.set()
