"""The connection pools of all playout nodes that the list names, and the bound on their connections together."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from oakcroft.interface import Entry, Listing, Node
from oakcroft.platform.node_pool import NodeLink, Pool
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.configuration import Configuration
from oakcroft.running.clock import Clock

MAX_CONNECTIONS_PER_NODE = 16
DESCRIPTOR_PART = 3  # of the descriptors: one in so many is for connections to nodes


class PoolEvents(Protocol):
    """What is told of pools whose node's process is another, or gone."""

    def restarted(self, pool: Pool, started_at: int) -> None:
        """Another process has the node's name: what stood there before `started_at` is over."""

    def lost(self, pool: Pool, why: str) -> None:
        """A node's process is gone, and all that stood there."""


class NodePools:
    """One pool a node, by the node's name; those of a name that got another address are emptied beside it."""

    def __init__(
        self, told: Configuration, clock: Clock, events: PoolEvents, make_pool: Callable[[Node, tuple[str, int]], Pool]
    ) -> None:  # fmt: skip
        """`make_pool` makes the pool of a node at an address."""
        self.told, self.clock, self.events, self.make_pool = told, clock, events, make_pool
        self.by_name: dict[str, Pool] = {}
        self.former: dict[Pool, None] = {}  # of nodes whose name has another address now
        self.max_connections = max(1, told.sockets // DESCRIPTOR_PART)

    def __iter__(self) -> Iterator[Pool]:
        """All of them, those being emptied last."""
        yield from self.by_name.values()
        yield from self.former

    @property
    def unsaid(self) -> int:
        """Nodes for which releases and other messages wait, for a connection or for the node to read."""
        return sum(1 for pool in self.by_name.values() if pool.unsaid or any(link.out for link in pool.links))

    @property
    def connections(self) -> int:
        """Connections that are open to nodes on the list."""
        return sum(len(pool.links) for pool in self.by_name.values())

    def entries(self, members: list[command_channel.Member]) -> list[Entry]:
        """What a list or its changes say, as the module takes it; makes the pools that are new."""
        found = [self._entry(*member) for member in members]
        return [entry for entry in found if entry is not None]

    def _entry(
        self, name: str, address: tuple[str, int], zone: str, kind: str, cell: int, listing: Listing, size: float,
        started_at: int,
    ) -> Entry | None:  # fmt: skip
        pool = self.by_name.get(name)
        if listing is Listing.GONE and pool is None:
            return None
        if pool is None or (listing is not Listing.GONE and (pool.gone or address != pool.address)):
            pool = self._replace(name, pool, address)
        node = pool.node
        if listing is not Listing.GONE:
            node.cell, node.zone, node.kind = cell, zone, kind
        if node.started_at < started_at:
            self.events.restarted(pool, started_at)
        link, places = self.told.link_per_weight * size, self.told.places.get(kind, 0.0)
        return Entry(node, listing, started_at, link, places)

    def _replace(self, name: str, before: Pool | None, address: tuple[str, int]) -> Pool:
        node = Node(name)
        if before is not None:
            node = before.node
            before.gone = True
            self.former[before] = None
            self.events.lost(before, "another address")
        pool = self.by_name[name] = self.make_pool(node, address)
        return pool

    def listed(self) -> None:
        """The module has taken the list: what waits for nodes that are not ready comes back, and connections are shared
        out anew."""
        for pool in self.by_name.values():
            if pool.node.listing is Listing.GONE and not pool.gone:
                pool.gone = True
                self.events.lost(pool, "removed")
            if pool.node.listing is not Listing.READY:
                pool.withdraw()
        for pool in self.former:
            pool.withdraw()
        shared_out = self.max_connections // max(1, len(self.by_name))
        for pool in self.by_name.values():
            pool.most = max(1, min(MAX_CONNECTIONS_PER_NODE, shared_out))

    def look(self, now: int) -> None:
        """Connections that are due, nodes that are silent; pools that nothing needs any more go."""
        for pool in list(self):
            pool.look(now)
            if not pool.listed and pool.unused:
                self._close(pool)

    def _close(self, pool: Pool) -> None:
        pool.close()
        self.former.pop(pool, None)
        if self.by_name.get(pool.node.name) is pool:
            del self.by_name[pool.node.name]

    def may_open(self, pool: Pool, spare: int) -> bool:
        """Whether there is a descriptor for one more connection to a node.

        Guards the listener's descriptors and the channel's: each node has one connection at least, and there may be more
        nodes than that allows. Harm: past it a node's connection is closed for another's, and what it tells comes later.
        `spare`: ns for which a connection must have been idle to be closed.
        """
        if sum(p.descriptors for p in self) <= self.max_connections:  # its own counts as held already
            return True
        idle = self._longest_idle(pool, spare)
        if idle is None:
            return False
        holder, link = idle
        holder.let_go(link)
        return True

    def _longest_idle(self, asking: Pool, spare: int) -> tuple[Pool, NodeLink] | None:
        """A connection that is idle for longer than `spare`; those of nodes where nothing stands before others."""
        now = self.clock.now()
        idle = [
            (bool(pool.standing), link.used_at, number, pool, link)
            for number, pool in enumerate(self)
            for link in pool.links
            if pool is not asking and not link.out_here and now - link.used_at >= spare
        ]
        if not idle:
            return None
        *_, pool, link = min(idle, key=lambda found: found[:3])
        return pool, link
