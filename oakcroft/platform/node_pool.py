"""The connections to one playout node.

A node is identified by its id, never by its address: a new node may take the address of one that is gone.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import trio

from oakcroft.interface import MS, SECOND, Listing, Node, Outcome
from oakcroft.platform.connection import Link, connect
from oakcroft.platform.playback_session import NodeEnd, Ticket
from oakcroft.platformwire import json_lines
from oakcroft.platformwire.framing import Unreadable
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

KEPT = 0.6  # of the idle timeout, so that a connection is retired before the node closes it
GIVEN_UP = 16
REFUSALS, TIME_OUTS = 2, 5  # consecutive connects that show a node's process to be gone
OWN_SHORTAGE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # say nothing about the node
MOST_UNSAID = 512
READ_OUT = 2 * SECOND  # by then the node has closed a connection that was half-closed here
AGAIN = 300 * MS  # least time between two connects for maintenance


class NodeLink(Link):
    """A connection to a node, with the set-ups that await an answer on it."""

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, now: int) -> None:
        """Wraps a connected socket; `now` counts as its last use."""
        super().__init__(sock, nursery)
        self.out_here: dict[Ticket, range] = {}  # with the bytes of each, as counted by `queued_bytes`
        self.used_at = now


class Pool:
    """The connections to one node.

    The coordinator's calls take effect at once; what arrives from the node is submitted to the coordinator as
    events.
    """

    def __init__(
        self, node: Node, address: tuple[str, int], most: int, streams: int, idle: int, connect_within: int, silent: int,
        clock: Clock, nursery: trio.Nursery, tell: Callable[[Event], Awaitable[None]], listener: Listener,
    ) -> None:  # fmt: skip
        """Creates a pool without connections. Timeouts are in ns."""
        self.node, self.address, self.most, self.streams = node, address, most, streams
        self.idle, self.connect_within, self.silent = idle, connect_within, silent
        self.clock, self.nursery, self.tell, self.listener = clock, nursery, tell, listener
        self.links: list[NodeLink] = []
        self.opening = 0
        self.waiting: dict[Ticket, None] = {}  # set-ups that wait for a connection being opened
        self.standing: dict[Ticket, None] = {}
        self.unsaid: deque[bytes] = deque(maxlen=MOST_UNSAID)  # to be sent on the next connection that opens
        self.refused = self.timed_out = 0
        self.tried_at = self.heard_at = 0
        self.retired: dict[NodeLink, int] = {}  # connections that are only read, and since when
        self.cut = False  # messages may be lost; the node repeats them on the next connection
        self.gone = False  # removed from the list, or its name has another address

    def set_up(self, t: Ticket) -> None:
        """Sends a set-up: on a connection without one, else on a new connection, else on the least used."""
        link = self._free()
        while link is not None and (not link.out_here or len(self.links) + self.opening >= self.most):
            if self._write(link, t):
                return
            link = self._free()
        self.waiting[t] = None
        room = len(self.links) + self.opening < self.most
        if (link is None and not self.opening) or (self.opening < len(self.waiting) and room):
            self._open()

    def _free(self) -> NodeLink | None:
        """The least used connection that can take a set-up; None if there is none.

        A connection that the node has closed is never used: a set-up that may have been read there cannot be
        sent again.
        """
        usable = list[NodeLink]()
        for link in list(self.links):
            if link.ended():
                if not link.out_here:
                    self._drop(link)
            elif link.open and len(link.out_here) < self.streams and not self._retires(link):
                usable.append(link)
        return min(usable, key=lambda x: len(x.out_here), default=None)

    def _retires(self, link: NodeLink) -> bool:
        """Whether the connection has been idle for so long that the node may soon close it."""
        return self.clock.now() - link.used_at > KEPT * self.idle

    def _write(self, link: NodeLink, t: Ticket) -> bool:
        """Sends a set-up on a connection; returns whether nothing more is to be done for it here.

        The viewer is checked immediately before sending.
        """
        if self.listener.gone(t):
            return True
        now = self.clock.now()
        left = max(1, (t.until - now) // MS)
        attrs: json_lines.Attributes = {
            "class": t.plan_name,
            "left": str(left),
            "key": t.pb.title.name,
            "rung": str(t.pb.rung),
        }
        before = link.queued
        if (
            not link.write(json_lines.encode("open", t.id, attrs, None, t.description))
            and link.taken <= before
        ):
            self._drop(link)  # no byte of it was sent, so it can go to another connection
            return False
        t.link = link
        link.out_here[t], link.used_at = range(before, link.queued), now
        return True

    def give_up(self, t: Ticket) -> bool:
        """Cancels a set-up that nobody waits for; returns whether the node cannot have received all of it."""
        link = t.link
        unsaid = link is None or self._unsaid(link, t)
        if link is not None and not unsaid:
            link.write(json_lines.encode("close", t.id, {}, GIVEN_UP))
        self.settled(t)
        return unsaid

    @staticmethod
    def _unsaid(link: NodeEnd, t: Ticket) -> bool:
        """Removes a set-up from the send buffer; returns whether the node cannot have received all of it.

        If a part of it has been sent, the connection is closed, unless it is used by other set-ups. So a
        set-up does not reach its node after its viewer has left, or when the node may get nothing new, even
        if the node does not read. The drawback: messages on their way from the node on a closed connection
        arrive later.
        """
        said = link.out_here[t]
        if link.unsay(said):
            for other, where in link.out_here.items():
                if where.start > said.start:
                    link.out_here[other] = range(where.start - len(said), where.stop - len(said))
            return True
        if link.taken < said.stop and len(link.out_here) == 1:
            link.shut()
            return True
        return False

    def settled(self, t: Ticket) -> None:
        """A set-up is over; its connection takes the next one that waits."""
        self.waiting.pop(t, None)
        if t.link is not None:
            t.link.out_here.pop(t, None)
            t.link = None
        while self.waiting and (free := self._free()) is not None and not free.out_here:
            waits = next(iter(self.waiting))
            del self.waiting[waits]
            if not self._write(free, waits):
                self.set_up(waits)
                return

    def withdraw(self) -> None:
        """The node takes nothing new: set-ups that wait for a connection or in a send buffer are not sent."""
        stuck, self.waiting = list(self.waiting), {}
        stuck += [t for link in self.links for t in list(link.out_here) if self._unsaid(link, t)]
        for t in stuck:
            self.settled(t)
            self.listener.tried(t, Outcome.NOT_SENT, None)

    def say(self, kind: str, session: str, attrs: json_lines.Attributes, code: int | None = None) -> None:
        """Sends a message about a playback on any open connection, else on the next one that opens."""
        message = json_lines.encode(kind, session, attrs, code)
        for link in self.links:
            if link.open and not link.ended() and link.write(message):
                return
        self.unsaid.append(message)
        self.look(self.clock.now())

    def _open(self, spare: int = 0) -> None:
        """Starts a connect. If no descriptor is free, another node's connection is closed that was idle for
        `min_idle_ns`.
        """
        self.opening += 1
        self.tried_at = self.clock.now()
        if self.listener.may_open(self, spare):
            self.nursery.start_soon(self._connect)
        else:
            none = OSError(errno.EMFILE, "connections to nodes have their part of the descriptors")
            self.nursery.start_soon(self.tell, partial(self._unreached, none))

    async def _connect(self) -> None:
        """Connects, and then reads the connection until it ends."""
        try:
            sock = await connect(self.address, self.connect_within / SECOND)
        except (OSError, trio.TooSlowError) as error:
            await self.tell(partial(self._unreached, error))
            return
        link = NodeLink(sock, self.nursery, self.clock.now())
        await self.tell(partial(self._connected, link))
        await self._read(link)

    def _connected(self, link: NodeLink) -> None:
        """Sends what waits for a connection."""
        self.opening -= 1
        self.refused = self.timed_out = 0
        self.heard_at = self.clock.now()
        if self.gone and not self.standing and not self.waiting:
            link.shut()
            return
        self.links.append(link)
        while self.unsaid and link.write(self.unsaid[0]):
            self.unsaid.popleft()
        for t in list(self.waiting):
            if link.out_here and self.opening:
                break  # the other set-ups wait for connections that are being opened
            del self.waiting[t]
            if not self._write(link, t):
                self.set_up(t)
                return

    def _unreached(self, error: Exception) -> None:
        """A connect failed: set-ups that wait go to a used connection or end, and the node may count as lost."""
        self.opening -= 1
        short = isinstance(error, OSError) and error.errno in OWN_SHORTAGE
        if short:
            self.listener.unreadable(self, "no descriptor left")
        else:
            self.refused = self.refused + 1 if isinstance(error, ConnectionRefusedError) else 0
            self.timed_out += 1
        if not self.opening:
            stuck, self.waiting = list(self.waiting), {}
            for t in stuck:
                link = self._free()  # a connection in use is acceptable when no other can be opened
                if link is None or not self._write(link, t):
                    self.listener.tried(t, Outcome.NOT_SENT if short else Outcome.NO_CONNECTION, None)
        alive = any(x.open for x in self.links) and self.clock.now() - self.heard_at <= self.silent
        if not alive and (self.refused >= REFUSALS or self.timed_out >= TIME_OUTS):
            self.listener.lost(self, "no connection")

    async def _read(self, link: NodeLink) -> None:
        """Submits the messages of a connection until it ends; closes it if the data is unreadable."""
        heard, why = json_lines.Lines(), ""
        try:
            while data := await link.read():
                heard.receive_data(data)
                while (event := heard.next_event()) is not None:
                    await self.tell(partial(self.listener.said, self, link, *event))
        except Unreadable as fault:
            why = str(fault)
            link.shut()
        await self.tell(partial(self._ended, link, why))

    def _ended(self, link: NodeLink, why: str) -> None:
        """A connection ended: its tries end according to how much of them was sent."""
        if why:
            self.listener.unreadable(self, why)
        if self.retired.pop(link, None) is None:
            self.cut = True
        self._drop(link)
        if self.standing:
            self.look(self.clock.now())

    def _drop(self, link: NodeLink) -> None:
        """Closes a connection and ends its tries: `RESET` if the kernel accepted any of it, else `NOT_SENT`."""
        if link in self.links:
            self.links.remove(link)
        out, link.out_here = link.out_here, {}
        link.shut()
        for t, said in out.items():
            t.link = None
            self.listener.tried(t, Outcome.RESET if link.taken > said.start else Outcome.NOT_SENT, None)

    def look(self, now: int) -> None:
        """Maintains the connections.

        Retires connections before the node closes them, keeps a fresh one while sessions play, and opens
        another to a node that has been silent for too long, which shows whether it is still there.
        """
        for link in list(self.links):
            if not link.out_here and self._retires(link):
                self._retire(link, now)
        for link, since in list(self.retired.items()):
            if now - since > READ_OUT:
                link.shut()
        if self.gone or self.opening or not self.standing or now - self.tried_at < AGAIN:
            return
        if not self.links or self.cut or (self.timed_out or now - self.heard_at > self.silent):
            spare = [x for x in self.links if not x.out_here]
            if spare and len(self.links) >= max(2, self.most):
                self._retire(spare[0], now)
            self.cut = False
            self._open(READ_OUT)

    def _retire(self, link: NodeLink, now: int) -> None:
        """Half-closes a connection and only reads it from now on, so that the end of a playback on its way
        here is not lost.
        """
        self.links.remove(link)
        self.retired[link] = now
        link.finish()

    def close(self) -> None:
        """Closes all connections; the node is gone for good."""
        for link in [*self.links, *self.retired]:
            self._drop(link)

    @property
    def descriptors(self) -> int:
        """Number of descriptors that its connections hold or are about to hold."""
        return len(self.links) + self.opening + len(self.retired)

    def let_go(self, link: NodeLink) -> None:
        """Closes an idle connection to give its descriptor to another node. The node repeats lost messages on
        the next one.
        """
        self.cut = True
        self._drop(link)

    @property
    def unused(self) -> bool:
        """Whether no session, set-up or connection attempt needs the pool."""
        return not (
            self.standing
            or self.waiting
            or self.opening
            or self.retired
            or any(x.out_here for x in self.links)
        )

    @property
    def listed(self) -> bool:
        """Whether the node is on the list."""
        return self.node.listing is not Listing.GONE and not self.gone


class Listener(Protocol):
    """What a pool reports to and asks; implemented by the session coordinator."""

    def may_open(self, pool: Pool, spare: int) -> bool:
        """Whether a descriptor is free for one more connection, if need be by closing another that was idle
        for `min_idle_ns`.
        """

    def gone(self, t: Ticket) -> bool:
        """Cancels a set-up that is about to be sent if its viewer has left; returns whether it did."""

    def said(
        self, pool: Pool, link: NodeLink, kind: str, session: str, attrs: json_lines.Attributes, code: int | None,
        text: str | None,
    ) -> None:  # fmt: skip
        """A message arrived from the node."""

    def tried(self, t: Ticket, outcome: Outcome, load: dict[str, float] | None) -> None:
        """A setup try ended without an answer."""

    def lost(self, pool: Pool, why: str) -> None:
        """The node's process is gone, with all sessions that played there."""

    def unreadable(self, pool: Pool, why: str) -> None:
        """The node sent unreadable data, or could not be reached for lack of local resources."""
