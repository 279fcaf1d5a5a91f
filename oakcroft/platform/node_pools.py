"""The connection pools of all listed playout nodes, and the limit on their connections together."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Protocol

import trio

from oakcroft.decisions.sessions.node_liveness import liveness_timeouts
from oakcroft.interface import Node, NodeEntry, NodeStatus
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platform.node_pool import NodePool, NodePoolSettings
from oakcroft.platform.node_pool_listener import NodePoolListener
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.configuration import Configuration
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

MAX_CONNECTIONS_PER_NODE = 16
DESCRIPTOR_SHARE_DIVISOR = 3  # a third of the descriptors is for connections to nodes
CHECK_RESERVE_DIVISOR = 64  # part of the descriptors beyond that share, for checks of silent nodes


class NodePoolsListener(NodePoolListener[NodePool], Protocol):
    """Receives the events of all pools; implemented by the session coordinator."""

    def node_restarted(self, pool: NodePool, started_at: int) -> None:
        """Another process has the node's name; sessions that began before `started_at` are over."""


class NodePools:
    """One pool for each listed node, by the node's name.

    When a node's address changes, the pool of the old address is kept beside the new one until it is empty.
    """

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        nursery: trio.Nursery,
        submit: Callable[[Event], Awaitable[None]],
        listener: NodePoolsListener,
        earliest_written_at: Callable[[int, int], int],
    ) -> None:
        """Creates no pools yet; `submit` takes what arrives from nodes.

        `earliest_written_at` tells when data read at a time was written at the earliest, not before another time.
        """
        self.configuration = configuration
        self.clock = clock
        self.nursery = nursery
        self.submit = submit
        self.listener = listener
        settings = configuration.deployment_settings
        self.pool_settings = NodePoolSettings(
            configuration.streams_per_connection,
            configuration.idle_timeout_ns,
            configuration.connect_timeout_ns,
            liveness_timeouts(
                settings.report_interval_ns, settings.report_delay_ns, may_test=configuration.may_test_nodes
            ),
            earliest_written_at,
        )
        self.by_name: dict[str, NodePool] = {}
        self.replaced: dict[NodePool, None] = {}  # pools of former addresses of nodes
        self._newly_replaced = list[NodePool]()  # since the last entries were applied
        # Pools that may have descriptors in use; so a search for one costs the same in any fleet.
        self._with_descriptors: dict[NodePool, None] = {}
        self.max_connections = max(1, configuration.max_sockets // DESCRIPTOR_SHARE_DIVISOR)
        self.connections_per_node = MAX_CONNECTIONS_PER_NODE
        self.check_reserve = configuration.max_sockets // CHECK_RESERVE_DIVISOR

    def __iter__(self) -> Iterator[NodePool]:
        """All pools; those of former addresses come last."""
        yield from self.by_name.values()
        yield from self.replaced

    @property
    def unsent_count(self) -> int:
        """Number of nodes with messages that wait for a connection or for the node to read."""
        return sum(
            1
            for pool in self.by_name.values()
            if pool.unsent_messages or any(connection.send_buffer for connection in pool.connections)
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections to listed nodes."""
        return sum(len(pool.connections) for pool in self.by_name.values())

    def entries(self, names: Iterable[str], status: NodeStatus) -> list[NodeEntry]:
        """Entries that give listed nodes another status, and change nothing else of them."""
        nodes = [self.by_name[name].node for name in names]
        return [
            NodeEntry(node, status, node.started_at, node.link_capacity, node.playback_capacity)
            for node in nodes
        ]

    def list_entries(self, members: Iterable[command_channel.NodeMember]) -> list[NodeEntry]:
        """Converts a list or its changes for the decision module, and creates the pools of new nodes."""
        found = [self._list_entry(member) for member in members]
        return [entry for entry in found if entry is not None]

    def _list_entry(self, member: command_channel.NodeMember) -> NodeEntry | None:
        """Converts one node; returns None for the removal of an unknown node."""
        is_gone = member.status is NodeStatus.GONE
        pool = self.by_name.get(member.name)
        if is_gone and pool is None:
            return None
        if pool is None or (not is_gone and (pool.is_removed or member.address != pool.address)):
            pool = self._replace(member.name, pool, member.address)
        node = pool.node
        if not is_gone:
            node.cell = member.cell
            node.zone = member.zone
            node.kind = member.kind
        if node.started_at < member.started_at:
            self.listener.node_restarted(pool, member.started_at)
        link_capacity = self.configuration.link_capacity_per_size * member.size
        playback_capacity = self.configuration.playback_capacity_by_kind.get(member.kind, 0.0)
        return NodeEntry(node, member.status, member.started_at, link_capacity, playback_capacity)

    def _replace(self, name: str, old_pool: NodePool | None, address: tuple[str, int]) -> NodePool:
        """Creates the pool of a new node or of a changed address; sessions at the former address are lost."""
        node = Node(name)
        if old_pool is not None:
            node = old_pool.node
            old_pool.is_removed = True
            self.replaced[old_pool] = None
            self._newly_replaced.append(old_pool)
            self.listener.node_lost(old_pool, old_pool.describe_loss("another address"))
        pool = self.by_name[name] = self._create_pool(node, address)
        return pool

    def _create_pool(self, node: Node, address: tuple[str, int]) -> NodePool:
        """Creates the pool of a node at an address, without connections."""
        return NodePool(
            node,
            address,
            self.connections_per_node,
            self.pool_settings,
            self.clock,
            self.nursery,
            self.submit,
            self.listener,
        )

    def list_applied(self, entries: Iterable[NodeEntry]) -> None:
        """Follows entries that the decision module has applied.

        Set-ups that wait for nodes which are no longer ready are cancelled, and the connections are divided
        among the listed nodes again.
        """
        for node in dict.fromkeys(entry.node for entry in entries):
            pool = self.by_name[node.name]
            if node.status is NodeStatus.GONE and not pool.is_removed:
                pool.is_removed = True
                self.listener.node_lost(pool, pool.describe_loss("removed"))
            if node.status is not NodeStatus.READY:
                pool.cancel_unsent_setups()
        for pool in self._newly_replaced:
            pool.cancel_unsent_setups()
        self._newly_replaced.clear()
        self._divide_connections()

    def _divide_connections(self) -> None:
        """Sets the largest number of connections to one node, by the number of nodes."""
        fair_share = self.max_connections // max(1, len(self.by_name))
        connections_per_node = max(1, min(MAX_CONNECTIONS_PER_NODE, fair_share))
        if connections_per_node != self.connections_per_node:
            self.connections_per_node = connections_per_node
            for pool in self.by_name.values():
                pool.max_connections = connections_per_node

    def maintain(self, now: int) -> None:
        """Maintains each pool's connections and closes pools that are no longer needed."""
        for pool in list(self):
            pool.maintain(now)
            if not pool.is_listed and pool.is_unused:
                self._remove_pool(pool)
        self._with_descriptors = {pool: None for pool in self._with_descriptors if pool.descriptor_count}

    def _remove_pool(self, pool: NodePool) -> None:
        """Closes a pool and removes it."""
        pool.close()
        self.replaced.pop(pool, None)
        if self.by_name.get(pool.node.name) is pool:
            del self.by_name[pool.node.name]

    def make_room_for_connection(self, pool: NodePool, min_idle_ns: int) -> bool:
        """Returns whether a descriptor is free for one more connection to a node.

        If none is free, closes a connection to another node that has been idle for at least `min_idle_ns`. This
        leaves enough descriptors for viewers and the command channel even if there are more nodes than
        connections allowed. The drawback: reports of the node whose connection was closed arrive later.
        """
        self._with_descriptors[pool] = None
        # The descriptors include that of the new connection.
        if self._descriptor_count() <= self.max_connections:
            return True
        idle = self._longest_idle_connection(pool, min_idle_ns)
        if idle is None:
            return False
        holder, connection = idle
        holder.close_idle_connection(connection)
        return True

    def make_room_for_check(self, pool: NodePool) -> bool:
        """Returns whether a descriptor is free for a connect that checks a silent node.

        If none is free, closes any idle connection to another node, else one to the silent node, which repeats what
        may be lost on the next connection. A small reserve beyond the share of nodes is for the case that there is
        neither: without checks the viewers of a lost node would not be told.
        """
        if self.make_room_for_connection(pool, 0) or pool.close_unused_connection():
            return True
        return self._descriptor_count() <= self.max_connections + self.check_reserve

    def _descriptor_count(self) -> int:
        """Number of descriptors in use for connections to nodes, including those of new connections."""
        return sum(pool.descriptor_count for pool in self._with_descriptors)

    def _longest_idle_connection(
        self, requesting_pool: NodePool, min_idle_ns: int
    ) -> tuple[NodePool, NodeConnection] | None:
        """Returns the connection of another node that has been idle for longest, at least for `min_idle_ns`.

        Nodes without playing sessions come first.
        """
        now = self.clock.now()
        idle = [
            (bool(pool.playing_sessions), connection.last_used_at, number, pool, connection)
            for number, pool in enumerate(self._with_descriptors)
            for connection in pool.connections
            if pool is not requesting_pool
            and not connection.pending_setups
            and now - connection.last_used_at >= min_idle_ns
        ]
        if not idle:
            return None
        *_, pool, connection = min(idle, key=lambda found: found[:3])
        return pool, connection
