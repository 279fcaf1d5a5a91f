"""The viewers' listener and connections."""

from __future__ import annotations

import socket
from functools import partial
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.admission.patience import Stillness
from oakcroft.interface import MS, SECOND
from oakcroft.platform.link import Link, prepared
from oakcroft.platform.ticket import Ticket
from oakcroft.platformwire import asking, framing
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.framing import Frames, Unreadable
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

FAILED = 41
REFUSED = 42
OVER = 16
WHOLE_WITHIN = (
    2 * SECOND
)  # a first message, and one that has begun, must be whole by then: a close is owed within 3 s
MOST_HERE = 256  # set-ups open on one connection
TURN = 32  # messages of one connection before the others have their turn
LOOK = 0.1


class Owner(Protocol):
    """What the viewers' side needs of the one that decides."""

    told: Configuration
    stillness: Stillness
    held: int
    most_held: int

    def opened(self, link: ViewerLink) -> None:
        """A connection has come."""

    def count(self, what: str, why: str = "") -> None:
        """Counts something that clients did wrong."""

    async def tell(self, event: Event) -> None:
        """Hands an event in, waiting for a place."""

    def viewer_gone(self, link: ViewerLink) -> None:
        """A connection is over."""

    def released(self, link: ViewerLink, session: str) -> None:
        """A viewer gives a set-up up, or ends a playback."""

    def asked(
        self, link: ViewerLink, session: str, written: int, plan_name: str, wait: int, name: str, home: int, copies: int,
        top: int, description: str, at: str,
    ) -> None:  # fmt: skip
        """A set-up has come."""


class ViewerLink(Link):
    """One connection from viewers, with the set-ups that are open on it."""

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, now: int) -> None:
        super().__init__(sock, nursery)
        self.frames = Frames()
        self.open_here: dict[str, Ticket] = {}
        self.asked = 0  # set-ups handed to the owner and not yet taken by it
        self.since = self.empty_at = now  # when it last gave a whole message; when it was last known empty
        self.spoke = False


class Viewers:
    """Accepts connections and hands what comes on them to the owner."""

    def __init__(
        self, listener: socket.socket, most: int, owner: Owner, clock: Clock, nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        self.listener, self.most, self.owner, self.clock, self.nursery, self.log = (
            listener,
            most,
            owner,
            clock,
            nursery,
            log,
        )
        self.links: dict[ViewerLink, None] = {}
        self.tested = self.ready = False
        self.accepting = True
        self.shed = 0

    async def run(self) -> None:
        """Accepts until it is told to stop."""
        self.nursery.start_soon(self._look)
        while self.accepting:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
                continue
            except OSError:  # no descriptor left, or the peer has gone meanwhile
                self._make_room()
                await trio.sleep(0.01)
                continue
            if len(self.links) >= self.most and not self._make_room():
                sock.close()
                self.shed += 1
                continue
            link = ViewerLink(prepared(sock), self.nursery, self.clock.now())
            self.links[link] = None
            self.nursery.start_soon(self._serve, link)
            await trio.lowlevel.checkpoint()

    def stop(self) -> None:
        """No more connections."""
        if self.accepting:
            self.accepting = False
            trio.lowlevel.notify_closing(self.listener)
            self.listener.close()

    def _make_room(self) -> bool:
        """Closes the connection without an open set-up that has been silent for longest.

        Guards against clients that connect by hundreds and say nothing; covers any that hold more connections than
        they use. Harm: a viewer that is as idle opens another.
        """
        idle = [x for x in self.links if not x.open_here and not x.asked]
        if not idle:
            return False
        self._drop(min(idle, key=lambda x: (x.spoke, x.since)))
        return True

    def _drop(self, link: ViewerLink) -> None:
        self.links.pop(link, None)
        link.shut()
        self.shed += 1

    async def _look(self) -> None:
        while True:
            await trio.sleep(LOOK)
            now = self.clock.now()
            for link in list(self.links):
                if (not link.spoke or link.frames.partial) and now - link.since > WHOLE_WITHIN:
                    self._drop(link)

    async def _serve(self, link: ViewerLink) -> None:
        self.owner.opened(link)
        try:
            while data := await link.read():
                if link.spoke and not link.frames.partial:
                    link.since = self.clock.now()
                link.frames.receive_data(data)
                turn = 0
                while link.open and (event := link.frames.next_event()) is not None:
                    link.spoke, link.since = True, self.clock.now()
                    await self._take(link, *event)
                    turn += 1
                    if turn % TURN == 0:
                        await trio.lowlevel.checkpoint()
                link.empty_at = self.clock.now()
        except Unreadable as fault:
            self.owner.count("unreadable viewer", str(fault))
        except Exception as fault:  # what one connection brings may not end the front with all that it holds
            self.log.error("connection failed", error=repr(fault), exc_info=fault)
        finally:
            self.links.pop(link, None)
            link.shut()
        await self.owner.tell(partial(self.owner.viewer_gone, link))

    async def _take(self, link: ViewerLink, kind: int, session: str, params: dict[int, bytes]) -> None:
        """One message. A test is answered here: it waits for nobody."""
        owner = self.owner
        if kind == framing.TEST:
            self.tested = self.tested or self.ready
            link.write(framing.encode(framing.TESTED, session, (framing.CAUSE, bytes((int(self.ready),)))))
        elif kind == framing.RELEASE:
            await owner.tell(partial(owner.released, link, session))
        elif kind == framing.SET_UP:
            now = self.clock.now()
            try:
                asked = asking.playback(
                    session, params, owner.told.waits, owner.told.terms.cells, len(owner.told.terms.rates)
                )
            except asking.Unusable as fault:
                owner.count("unusable set-up", str(fault))
                self.turn_away(link, session, FAILED)
                return
            at = asked[-1]
            description = "" if at else asked[-2]  # nothing is set up, and no answer brings one
            # Guards memory against set-ups as many and as long as they may be, on one connection and on all.
            crowded = len(link.open_here) + link.asked >= MOST_HERE
            if not at and (crowded or owner.held + len(description) > owner.most_held):
                self.turn_away(link, session, REFUSED, owner.told.terms.stay_away_most)
                return
            owner.held += len(description)
            link.asked += 1
            written = owner.stillness.written_at(now, link.empty_at)
            await owner.tell(partial(owner.asked, link, session, written, *asked[:-2], description, at))

    @staticmethod
    def turn_away(link: ViewerLink, session: str, cause: int, away: int = 0) -> None:
        """A final answer to what never became a playback."""
        link.write(release(session, cause, away))


def release(session: str, cause: int, away: int = 0) -> bytes:
    """A release, with the time to stay away where there is one."""
    stay = [(framing.AWAY, str(away // MS).encode())] if away else []
    return framing.encode(framing.RELEASE, session, (framing.CAUSE, bytes((cause,))), *stay)
