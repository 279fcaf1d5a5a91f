"""The viewers' listener and connections."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Protocol

import structlog
import trio

from oakcroft.decisions.admission.eviction import IdleConnection
from oakcroft.decisions.admission.deadlines import Stillness
from oakcroft.interface import MS, SECOND
from oakcroft.platform.idle_connections import IdleConnections
from oakcroft.platform.connection import READ, Link, prepared
from oakcroft.platform.playback_session import Asked, Ticket
from oakcroft.platformwire import setup_request, framing
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.framing import Frames, Unreadable
from oakcroft.running.clock import Clock

FAILED = 41
REFUSED = 42
OVER = 16
WHOLE_WITHIN = 2 * SECOND  # for the first message and any that has begun; a close is due within 3 s
MOST_HERE = 256
TURN = 32  # messages of one connection before other tasks run
LOOK = 0.1
BACKLOG = 1_024  # connections that wait in the kernel to be accepted


class Owner(Protocol):
    """What the viewers' side needs of the session coordinator. Calls take effect in the same step."""

    told: Configuration
    stillness: Stillness
    held: int
    most_held: int

    def opened(self, link: ViewerLink) -> None:
        """A connection opened."""

    def count(self, what: str, why: str = "") -> None:
        """Counts a fault of a client."""

    def viewer_gone(self, link: ViewerLink) -> None:
        """A connection closed."""

    def released(self, link: ViewerLink, session: str) -> None:
        """A viewer cancels a set-up or ends a playback."""

    def release_heard(self, session: str) -> None:
        """A viewer's side confirms that it has received a release."""

    def asked(self, a: Asked) -> None:
        """Queues a set-up request."""


class ViewerLink(Link):
    """A connection from viewers, with the set-ups open on it.

    Its socket is read not only by its own task but by any that needs to know its state: a set-up is sent only
    if the socket does not show that its viewer has left, however much other work waits in the front end.
    """

    def __init__(
        self, sock: socket.socket, nursery: trio.Nursery, clock: Clock, stillness: Stillness
    ) -> None:
        """Wraps an accepted socket."""
        super().__init__(sock, nursery)
        self.clock, self.stillness = clock, stillness
        self.frames = Frames()
        self.open_here: dict[str, Ticket] = {}
        self.asked: dict[str, Asked] = {}  # queued in the coordinator's inbox
        self.since = self.empty_at = clock.now()  # last complete message; socket last known to be empty
        self.written: int | None = None  # earliest time at which the unread data may have been sent
        self.spoke = False
        self.sessions = 0  # playing sessions whose set-up came on it
        self.has_served = False  # a set-up that came on it became a session
        self.left = False  # the peer has closed or reset it
        self.waiting = trio.CancelScope()

    def hear(self) -> bool:
        """Receives what the socket holds, without waiting; returns whether there was anything.

        Stops once a maximal message is buffered, so that the buffer holds at most one message and one
        receive.
        """
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
            self.waiting.cancel()  # wakes its own task, which has not seen this data arrive
        return heard

    async def wait(self) -> None:
        """Waits until data arrives, or until another task has received it."""
        with trio.CancelScope() as self.waiting, suppress(trio.ClosedResourceError, OSError):
            await trio.lowlevel.wait_readable(self.sock)

    def gone(self, session: str) -> bool:
        """Whether the viewer of a set-up has left or released it, as far as the socket shows now.

        A half-closed peer counts as having left even if it still reads, because a full close looks the same
        from here (docs/platform.md).
        """
        self.hear()
        if not self.open or self.left or self.closing():
            return True
        return any(kind == framing.RELEASE and sid == session for kind, sid in self.frames.waiting())

    @property
    def idle(self) -> bool:
        """Whether no set-up is open or queued on it."""
        return not (self.open_here or self.asked)

    @property
    def as_idle(self) -> IdleConnection:
        """The facts that the eviction order depends on; valid while it is idle."""
        return IdleConnection(self.since, self.spoke, self.sessions, self.frames.partial, bool(self.out))

    @property
    def unread(self) -> int:
        """Number of complete messages that have not been handled, including those still in the socket."""
        self.hear()
        return sum(1 for _ in self.frames.waiting())


class Viewers:
    """Accepts viewers' connections and passes their messages to the session coordinator."""

    def __init__(
        self, listener: socket.socket, most: int, owner: Owner, clock: Clock, nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """Takes a bound socket and accepts connections from it once `run` is called."""
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
        """Accepts connections until it is stopped."""
        self.nursery.start_soon(self._look)
        while self.accepting:
            try:
                self._accept()
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
            except OSError:  # no descriptor is free, or the peer has left already
                self._make_room()
                await trio.sleep(0.01)
            else:
                await trio.lowlevel.checkpoint()

    def _accept(self) -> None:
        """Accepts one connection; closes it at once if there is no room and none can be made."""
        sock, _ = self.listener.accept()
        if len(self.links) >= self.most and not self._make_room():
            sock.close()
            self.shed += 1
            return
        link = ViewerLink(prepared(sock), self.nursery, self.clock, self.owner.stillness)
        self.links[link] = None
        self.nursery.start_soon(self._serve, link)

    def stop(self) -> None:
        """Stops accepting and closes the listener.

        Connections that wait in the kernel are accepted first; closing the listener would reset them, and
        with them any set-ups they have sent.
        """
        if self.accepting:
            self.accepting = False
            with suppress(OSError):  # none is left, or the socket never listened
                for _ in range(BACKLOG):
                    self._accept()
            trio.lowlevel.notify_closing(self.listener)
            self.listener.close()

    @property
    def unanswered(self) -> int:
        """Number of messages and queued requests that the decision module does not know yet, including those
        in sockets.
        """
        return sum(link.unread + len(link.asked) for link in self.links)

    @property
    def unsaid(self) -> int:
        """Number of connections on which answers or releases wait for the peer to read."""
        return sum(1 for link in self.links if link.out)

    def _make_room(self) -> bool:
        """Closes an idle connection; returns whether there was one."""
        link = self.idle_connections.first()
        if link is None:
            return False
        self._drop(link)
        return True

    def _drop(self, link: ViewerLink) -> None:
        """Closes a connection for want of room or because a message is overdue."""
        self.links.pop(link, None)
        link.shut()
        self.shed += 1

    async def _look(self) -> None:
        """Closes connections whose first message, or a message that has begun, is overdue."""
        while True:
            await trio.sleep(LOOK)
            now = self.clock.now()
            for link in list(self.links):
                overdue = (not link.spoke or link.frames.partial) and now - link.since > WHOLE_WITHIN
                # If the data has arrived, the delay is this front end's own.
                if overdue and not link.hear() and not link.unread:
                    self._drop(link)

    async def _serve(self, link: ViewerLink) -> None:
        """Handles the messages of one connection until it ends."""
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
        except Exception as fault:  # no single connection may stop the front end and with it all sessions
            self.log.error("connection failed", error=repr(fault), exc_info=fault)
        finally:
            self.links.pop(link, None)
            self.owner.viewer_gone(link)
            link.shut()

    def _take(self, link: ViewerLink, kind: int, session: str, params: dict[int, bytes]) -> None:
        """Handles one message. A test is answered here, without the coordinator."""
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
                asked = setup_request.playback(
                    session, params, owner.told.waits, owner.told.terms.cells, len(owner.told.terms.rates)
                )
            except setup_request.Unusable as fault:
                owner.count("unusable set-up", str(fault))
                self.turn_away(link, session, FAILED)
                return
            at = asked[-1]
            description = "" if at else asked[-2]  # not needed for a playback that is set up already
            # Bounds the memory for set-ups, on one connection by number and on all by the length of descriptions.
            crowded = len(link.open_here) + len(link.asked) >= MOST_HERE
            if not at and (crowded or owner.held + len(description) > owner.most_held):
                self.turn_away(link, session, REFUSED, owner.told.terms.stay_away_most)
                return
            written = self.clock.now() if link.written is None else link.written
            owner.asked(Asked(link, session, written, *asked[:-2], description, at))

    @staticmethod
    def turn_away(link: ViewerLink, session: str, cause: int, away: int = 0) -> None:
        """Sends the final answer to a request that is not queued."""
        link.write(release(session, cause, away))


def release(session: str, cause: int, away: int = 0) -> bytes:
    """Encodes a release, with the time to stay away if there is one."""
    stay = [(framing.AWAY, str(away // MS).encode())] if away else []
    return framing.encode(framing.RELEASE, session, (framing.CAUSE, bytes((cause,))), *stay)
