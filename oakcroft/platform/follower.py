"""Follows the command channel by long polls, from the last event heard whole."""

from __future__ import annotations

from functools import partial

import structlog
import trio

from oakcroft.decisions.freshness import Freshness
from oakcroft.httpwire.client import Ended, Peer
from oakcroft.platform.owner import Owner
from oakcroft.platformwire import channel

PATH = "/cmd/next"
BLOCK = 1_000  # ms that a poll waits for events: what is told late is told so much later at most
OVERDUE = 0.4  # seconds past that, after which the channel has stopped and is asked again
FIRST_WAIT, MOST_WAIT = 0.02, 0.5  # between tries, after a break


class Follower:
    """Asks for events and hands them to the owner."""

    def __init__(
        self, address: tuple[str, int], last: int, owner: Owner, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        self.address, self.last, self.owner, self.log = address, last, owner, log
        self.freshness = Freshness(owner.clock.now())
        self.confirmed = trio.Event()  # the first answer since the start has been handed on
        self.poll = trio.CancelScope()

    def turn_to(self, address: tuple[str, int]) -> None:
        """Goes on at another address, with the number last heard; the poll at the old one is dropped."""
        if address != self.address:
            self.log.info("channel moves", after=self.last)
            self.address = address
            self.freshness.lost()
            self.poll.cancel()

    async def run(self) -> None:
        """Follows until it is cancelled."""
        wait, broken = FIRST_WAIT, False
        while True:
            address = self.address
            peer = Peer(*address, connect_within=0.5, most_idle=1)
            try:
                while self.address == address:
                    with trio.CancelScope(deadline=trio.current_time() + BLOCK / 1e3 + OVERDUE) as self.poll:
                        await self._ask(peer)
                        if broken:
                            self.log.info("channel back", after=self.last)
                        wait, broken = FIRST_WAIT, False
                    if self.poll.cancelled_caught and self.address == address:
                        self.freshness.lost()
                        self.log.warning("channel silent", after=self.last)
            except (Ended, channel.Unreadable) as fault:
                if not broken:
                    self.log.warning("channel broken", after=self.last, why=str(fault)[:200])
                broken = True
                self.freshness.lost()
                with trio.move_on_after(wait) as self.poll:
                    await trio.sleep_forever()
                wait = min(2 * wait, MOST_WAIT)
            finally:
                with trio.CancelScope(shield=True):
                    await peer.close()

    async def _ask(self, peer: Peer) -> None:
        block = self.freshness.patience(BLOCK)
        response = await peer.ask("GET", f"{PATH}?resume={self.last}&block={block}", [], b"")
        if response.status != 200:
            raise channel.Unreadable(f"status {response.status}")
        last, changes = channel.document(response.body)
        for number, complete, members in changes:
            if number > self.last:
                self.last = number
                await self.owner.tell(partial(self.owner.listed, complete, members))
        self.last = max(self.last, last)
        self.freshness.heard()
        self.confirmed.set()
