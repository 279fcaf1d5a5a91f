"""The connection pools of all playout nodes that the list names, and the bound on their connections together."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from oakcroft.interface import NodeEntry, NodeStatus, Node
from oakcroft.platform.node_pool import NodeConnection, NodePool
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.configuration import Configuration
from oakcroft.running.clock import Clock

MAX_CONNECTIONS_PER_NODE = 16
DESCRIPTOR_SHARE_DIVISOR = 3  # of the descriptors: one in so many is for connections to nodes


class PoolEvents(Protocol):
    """What is told of pools whose node's process is another, or gone."""

    def node_restarted(self, pool: NodePool, started_at: int) -> None:
        """Another process has the node's name: what stood there before `started_at` is over."""

    def node_lost(self, pool: NodePool, reason: str) -> None:
        """A node's process is gone, and all that stood there."""


class NodePools:
    """One pool a node, by the node's name; those of a name that got another address are emptied beside it."""

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        events: PoolEvents,
        make_pool: Callable[[Node, tuple[str, int]], NodePool],
    ) -> None:
        """`make_pool` makes the pool of a node at an address."""
        self.configuration, self.clock, self.events, self.make_pool = configuration, clock, events, make_pool
        self.by_name: dict[str, NodePool] = {}
        self.replaced: dict[NodePool, None] = {}  # of nodes whose name has another address now
        self.max_connections = max(1, configuration.max_sockets // DESCRIPTOR_SHARE_DIVISOR)

    def __iter__(self) -> Iterator[NodePool]:
        """All of them, those being emptied last."""
        yield from self.by_name.values()
        yield from self.replaced

    @property
    def unsent_count(self) -> int:
        """Nodes for which releases and other messages wait, for a connection or for the node to read."""
        return sum(
            1
            for pool in self.by_name.values()
            if pool.unsent_messages or any(connection.send_buffer for connection in pool.connections)
        )

    @property
    def connection_count(self) -> int:
        """Connections that are open to nodes on the list."""
        return sum(len(pool.connections) for pool in self.by_name.values())

    def list_entries(self, members: list[command_channel.NodeMember]) -> list[NodeEntry]:
        """What a list or its changes say, as the module takes it; makes the pools that are new."""
        found = [self._list_entry(*member) for member in members]
        return [entry for entry in found if entry is not None]

    def _list_entry(
        self, name: str, address: tuple[str, int], zone: str, kind: str, cell: int, listing: NodeStatus, size: float,
        started_at: int,
    ) -> NodeEntry | None:  # fmt: skip
        pool = self.by_name.get(name)
        if listing is NodeStatus.GONE and pool is None:
            return None
        if pool is None or (listing is not NodeStatus.GONE and (pool.is_removed or address != pool.address)):
            pool = self._replace(name, pool, address)
        node = pool.node
        if listing is not NodeStatus.GONE:
            node.cell, node.zone, node.kind = cell, zone, kind
        if node.started_at < started_at:
            self.events.node_restarted(pool, started_at)
        link_capacity = self.configuration.link_rate_per_size * size
        places = self.configuration.places_by_kind.get(kind, 0.0)
        return NodeEntry(node, listing, started_at, link_capacity, places)

    def _replace(self, name: str, old_pool: NodePool | None, address: tuple[str, int]) -> NodePool:
        node = Node(name)
        if old_pool is not None:
            node = old_pool.node
            old_pool.is_removed = True
            self.replaced[old_pool] = None
            self.events.node_lost(old_pool, "another address")
        pool = self.by_name[name] = self.make_pool(node, address)
        return pool

    def list_applied(self) -> None:
        """The module has taken the list: what waits for nodes that are not ready comes back, and connections are shared
        out anew."""
        for pool in self.by_name.values():
            if pool.node.status is NodeStatus.GONE and not pool.is_removed:
                pool.is_removed = True
                self.events.node_lost(pool, "removed")
            if pool.node.status is not NodeStatus.READY:
                pool.cancel_unsent_setups()
        for pool in self.replaced:
            pool.cancel_unsent_setups()
        shared_out = self.max_connections // max(1, len(self.by_name))
        for pool in self.by_name.values():
            pool.max_connections = max(1, min(MAX_CONNECTIONS_PER_NODE, shared_out))

    def maintain(self, now: int) -> None:
        """Connections that are due, nodes that are silent; pools that nothing needs any more go."""
        for pool in list(self):
            pool.maintain(now)
            if not pool.is_listed and pool.is_unused:
                self._remove_pool(pool)

    def _remove_pool(self, pool: NodePool) -> None:
        pool.close()
        self.replaced.pop(pool, None)
        if self.by_name.get(pool.node.name) is pool:
            del self.by_name[pool.node.name]

    def make_room_for_connection(self, pool: NodePool, min_idle_ns: int) -> bool:
        """Whether there is a descriptor for one more connection to a node.

        Guards the listener's descriptors and the channel's: each node has one connection at least, and there may be more
        nodes than that allows. Harm: past it a node's connection is closed for another's, and what it tells comes later.
        `min_idle_ns`: ns for which a connection must have been idle to be closed.
        """
        if sum(p.descriptor_count for p in self) <= self.max_connections:  # its own counts as held already
            return True
        idle = self._longest_idle_connection(pool, min_idle_ns)
        if idle is None:
            return False
        holder, connection = idle
        holder.close_idle_connection(connection)
        return True

    def _longest_idle_connection(
        self, requesting_pool: NodePool, min_idle_ns: int
    ) -> tuple[NodePool, NodeConnection] | None:
        """A connection that is idle for longer than `min_idle_ns`; those of nodes where nothing stands before others."""
        now = self.clock.now()
        idle = [
            (bool(pool.playing_sessions), connection.last_used_at, number, pool, connection)
            for number, pool in enumerate(self)
            for connection in pool.connections
            if pool is not requesting_pool
            and not connection.pending_setups
            and now - connection.last_used_at >= min_idle_ns
        ]
        if not idle:
            return None
        *_, pool, connection = min(idle, key=lambda found: found[:3])
        return pool, connection
