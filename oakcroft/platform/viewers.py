"""The viewers' listener and connections."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.admission.eviction import IdleConnection
from oakcroft.decisions.admission.patience import Stillness
from oakcroft.interface import MS, SECOND
from oakcroft.platform.idle_connections import IdleConnections
from oakcroft.platform.link import READ, Link, prepared
from oakcroft.platform.ticket import Asked, Ticket
from oakcroft.platformwire import asking, framing
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.framing import Frames, Unreadable
from oakcroft.running.clock import Clock

FAILED = 41
REFUSED = 42
OVER = 16
WHOLE_WITHIN = (
    2 * SECOND
)  # a first message, and one that has begun, must be whole by then: a close is owed within 3 s
MOST_HERE = 256  # set-ups open on one connection
TURN = 32  # messages of one connection before the others have their turn
LOOK = 0.1
BACKLOG = 1_024  # connections that the kernel accepts before this program has


class Owner(Protocol):
    """What the viewers' side needs of the one that decides. What it is told, it acts on in the same step."""

    told: Configuration
    stillness: Stillness
    held: int
    most_held: int

    def opened(self, link: ViewerLink) -> None:
        """A connection has come."""

    def count(self, what: str, why: str = "") -> None:
        """Counts something that clients did wrong."""

    def viewer_gone(self, link: ViewerLink) -> None:
        """A connection is over."""

    def released(self, link: ViewerLink, session: str) -> None:
        """A viewer gives a set-up up, or ends a playback."""

    def release_heard(self, session: str) -> None:
        """A viewer's side confirms that it has heard the end of a session."""

    def asked(self, a: Asked) -> None:
        """A set-up has come. It waits for its turn."""


class ViewerLink(Link):
    """One connection from viewers, with the set-ups that are open on it.

    What lies in its socket is read by whoever needs to know it, not by its own task alone: a set-up is sent only where
    the socket does not say that its viewer has gone, however much else waits in the front.
    """

    def __init__(
        self, sock: socket.socket, nursery: trio.Nursery, clock: Clock, stillness: Stillness
    ) -> None:
        super().__init__(sock, nursery)
        self.clock, self.stillness = clock, stillness
        self.frames = Frames()
        self.open_here: dict[str, Ticket] = {}
        self.asked: dict[str, Asked] = {}  # handed to the owner and not yet taken by it
        self.since = self.empty_at = clock.now()  # when it last gave a whole message; was last known empty
        self.written: int | None = None  # the earliest time at which what is unread may have been
        self.spoke = False
        self.sessions = 0  # that stand and came on it
        self.has_served = False  # a set-up that came on it was answered with a session
        self.left = False  # the peer has closed or reset it: nothing more comes
        self.waiting = trio.CancelScope()

    def hear(self) -> bool:
        """Takes in what lies in the socket, up to a message and a receive, without waiting; whether any did."""
        heard = False
        while self.open and not self.left and len(self.frames.buffer) < framing.MOST:
            try:
                data = self.sock.recv(READ)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            heard, now = True, self.clock.now()
            self.left = not data
            if self.written is None:
                self.written = self.stillness.written_at(now, self.empty_at)
            if self.spoke and not self.frames.partial:
                self.since = now
            self.frames.receive_data(data)
        if heard:
            self.waiting.cancel()  # its own task has not seen that it came
        return heard

    async def wait(self) -> None:
        """Until something comes, or has been read by another."""
        with trio.CancelScope() as self.waiting, suppress(trio.ClosedResourceError, OSError):
            await trio.lowlevel.wait_readable(self.sock)

    def gone(self, session: str) -> bool:
        """Whether the viewer of a set-up has left or taken it back, by what its socket knows now. A peer that has said
        its end has left, whether or not it still reads: nothing else tells of a close (docs/platform.md)."""
        self.hear()
        if not self.open or self.left or self.closing():
            return True
        return any(kind == framing.RELEASE and sid == session for kind, sid in self.frames.waiting())

    @property
    def idle(self) -> bool:
        """Whether nothing is owed on it."""
        return not (self.open_here or self.asked)

    @property
    def as_idle(self) -> IdleConnection:
        """What its eviction is decided by, where it is idle."""
        return IdleConnection(self.since, self.spoke, self.sessions, self.frames.partial, bool(self.out))

    @property
    def unread(self) -> int:
        """Whole messages that have not been taken, those in its socket among them."""
        self.hear()
        return sum(1 for _ in self.frames.waiting())


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
        self.idle_connections = IdleConnections(self.links, clock)
        self.tested = self.ready = False
        self.accepting = True
        self.shed = 0

    async def run(self) -> None:
        """Accepts until it is told to stop."""
        self.nursery.start_soon(self._look)
        while self.accepting:
            try:
                self._accept()
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
            except OSError:  # no descriptor left, or the peer has gone meanwhile
                self._make_room()
                await trio.sleep(0.01)
            else:
                await trio.lowlevel.checkpoint()

    def _accept(self) -> None:
        sock, _ = self.listener.accept()
        if len(self.links) >= self.most and not self._make_room():
            sock.close()
            self.shed += 1
            return
        link = ViewerLink(prepared(sock), self.nursery, self.clock, self.owner.stillness)
        self.links[link] = None
        self.nursery.start_soon(self._serve, link)

    def stop(self) -> None:
        """No more connections. Those that the kernel has accepted are taken first: closing the listener would reset
        them, with the set-ups that they brought."""
        if self.accepting:
            self.accepting = False
            with suppress(OSError):  # none is left, or nobody ever listened
                for _ in range(BACKLOG):
                    self._accept()
            trio.lowlevel.notify_closing(self.listener)
            self.listener.close()

    @property
    def unanswered(self) -> int:
        """Set-ups and other messages that have come and that the module does not know, those unread in sockets too."""
        return sum(link.unread + len(link.asked) for link in self.links)

    @property
    def unsaid(self) -> int:
        """Connections on which answers and releases wait for their reader."""
        return sum(1 for link in self.links if link.out)

    def _make_room(self) -> bool:
        """Closes a connection without an open set-up, if there is one."""
        link = self.idle_connections.first()
        if link is None:
            return False
        self._drop(link)
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
                overdue = (not link.spoke or link.frames.partial) and now - link.since > WHOLE_WITHIN
                # What has come is not held against it where this front was late.
                if overdue and not link.hear() and not link.unread:
                    self._drop(link)

    async def _serve(self, link: ViewerLink) -> None:
        self.owner.opened(link)
        try:
            while link.open:
                link.hear()
                turn = 0
                while link.open and (event := link.frames.next_event()) is not None:
                    link.spoke, link.since = True, self.clock.now()
                    self._take(link, *event)
                    turn += 1
                    if turn % TURN == 0:
                        await trio.lowlevel.checkpoint()
                link.written, link.empty_at = None, self.clock.now()
                if link.left:
                    break
                await link.wait()
        except Unreadable as fault:
            self.owner.count("unreadable viewer", str(fault))
        except Exception as fault:  # what one connection brings may not end the front with all that it holds
            self.log.error("connection failed", error=repr(fault), exc_info=fault)
        finally:
            self.links.pop(link, None)
            self.owner.viewer_gone(link)
            link.shut()

    def _take(self, link: ViewerLink, kind: int, session: str, params: dict[int, bytes]) -> None:
        """One message. A test is answered here: it waits for nobody."""
        owner = self.owner
        if kind == framing.TEST:
            self.tested = self.tested or self.ready
            link.write(framing.encode(framing.TESTED, session, (framing.CAUSE, bytes((int(self.ready),)))))
        elif kind == framing.RELEASE:
            owner.released(link, session)
        elif kind == framing.HEARD:
            owner.release_heard(session)
        elif kind == framing.SET_UP:
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
            crowded = len(link.open_here) + len(link.asked) >= MOST_HERE
            if not at and (crowded or owner.held + len(description) > owner.most_held):
                self.turn_away(link, session, REFUSED, owner.told.terms.stay_away_most)
                return
            written = self.clock.now() if link.written is None else link.written
            owner.asked(Asked(link, session, written, *asked[:-2], description, at))

    @staticmethod
    def turn_away(link: ViewerLink, session: str, cause: int, away: int = 0) -> None:
        """A final answer to what never became a playback."""
        link.write(release(session, cause, away))


def release(session: str, cause: int, away: int = 0) -> bytes:
    """A release, with the time to stay away where there is one."""
    stay = [(framing.AWAY, str(away // MS).encode())] if away else []
    return framing.encode(framing.RELEASE, session, (framing.CAUSE, bytes((cause,))), *stay)
