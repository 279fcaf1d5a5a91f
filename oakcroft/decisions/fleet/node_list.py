"""The list of playout nodes on one front: which lists it accepts, and what each means for the module.

The list service sends whole, versioned lists (docs/front.md describes the format). A listed node is ready, draining or
gone; a node that a list does not name is gone. A list that cannot be right is rejected as a whole, and the one before
stays in force.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oakcroft.interface import SECOND, NodeEntry, NodeStatus, NodeListKind, Node

HOST_PATTERN = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}\.?|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]{1,44}"
)
"""A host name (RFC 1123 2.1, with underscores allowed) or an IP address; nothing else can be resolved."""


MAX_PORT = 65_535
MAX_LINK_KB_PER_S = 1e12
MAX_PLACES = 1e9
"""Bounds of figures that are taken for valid; a link or a number of places must be below its bound."""


@dataclass(frozen=True, order=True)
class ListedNode:
    """One node of a list. The field names are stored in the state file. Times in ns since the epoch."""

    name: str
    address: str
    port: int
    zone: str
    cell: int
    listing: NodeStatus
    started_at: int
    link: float
    """Capacity of the node's link in kB a second."""

    places: float
    kind: str = ""
    tags: tuple[str, ...] = ()
    drains_until: int | None = None
    """When a draining node leaves; known only of some."""


@dataclass(frozen=True)
class ListRejection:
    """Why a list was rejected."""

    reason: str


class NodeList:
    """The list in force, and the checks for a new one.

    The checks protect against a list service that has lost its data, answers with a part of it, or goes back to an older
    version, and against duplicate names, impossible figures and two nodes at one address. An empty list is always
    rejected: a fleet that is really gone shows by refused connections. Removed nodes get nothing new, but their history
    is kept for `REMOVED_RETENTION`, so that it is still there where a list that dropped many nodes is followed by a
    complete one. The cost: a list service that restarts with lower versions is ignored until it passes the last version,
    or uses another name.
    """

    REMOVED_RETENTION = 60 * SECOND
    """How long removed nodes are kept, in ns."""

    def __init__(self) -> None:
        """Begins without a list."""
        self.listed_nodes: dict[str, ListedNode] = {}  # by name
        self.nodes: dict[str, Node] = {}  # by name, removed ones included
        self.removed_at: dict[str, int] = {}  # when a node was removed, by name
        self.version = -1
        self.service = ""

    def apply(
        self,
        listed_nodes: Sequence[ListedNode],
        version: int,
        service: str,
        now: int,
        is_cached: bool = False,
    ) -> tuple[NodeListKind, list[NodeEntry]] | ListRejection | None:
        """Applies a list of the list service that calls itself `service`.

        Returns what it changes for the module, a rejection, or None where nothing changes. `is_cached` marks the list
        that an earlier process cached: it does not count as a version of the service. `now` in ns.
        """
        same_service = service == self.service
        if not is_cached and same_service and version == self.version:
            return None
        if fault := self._find_fault(listed_nodes, version, same_service):
            return ListRejection(fault)
        is_first = not self.listed_nodes
        if not is_cached:
            self.version = version
            self.service = service
        entries = self._changed_entries(listed_nodes, now)
        if not entries and not is_first:
            return None
        if is_cached:
            return NodeListKind.KEPT, entries
        return (NodeListKind.WHOLE if is_first else NodeListKind.CHANGES), entries

    def _find_fault(self, listed_nodes: Sequence[ListedNode], version: int, same_service: bool) -> str | None:
        if not listed_nodes:
            return "it lists no node"
        if same_service and version < self.version:
            return f"its version {version} is older than {self.version}"
        names = set[str]()
        addresses = set[tuple[str, int]]()
        for node in listed_nodes:
            if fault := node_fault(node):
                return f"node {node.name!r}: {fault}"
            if node.name in names:
                return f"node {node.name!r} is listed twice"
            if (node.address, node.port) in addresses:
                return f"node {node.name!r} has the address of another node"
            names.add(node.name)
            addresses.add((node.address, node.port))
        return None

    def _changed_entries(self, listed_nodes: Iterable[ListedNode], now: int) -> list[NodeEntry]:
        """Sets the list in force and returns entries for the nodes that differ; the module needs no others."""
        entries = []
        missing = dict(self.listed_nodes)
        for node in sorted(listed_nodes):
            missing.pop(node.name, None)
            if self.listed_nodes.get(node.name) != node:
                self.listed_nodes[node.name] = node
                entries.append(self._make_entry(node, node.listing))
            self.removed_at.pop(node.name, None)
        for name, node in missing.items():
            del self.listed_nodes[name]
            self.removed_at[name] = now
            entries.append(self._make_entry(node, NodeStatus.GONE))
        for name, removed_at in list(self.removed_at.items()):
            if now - removed_at > self.REMOVED_RETENTION:
                del self.removed_at[name]
                del self.nodes[name]
        return entries

    def _make_entry(self, listed_node: ListedNode, listing: NodeStatus) -> NodeEntry:
        node = self.nodes.get(listed_node.name)
        if node is None:
            node = self.nodes[listed_node.name] = Node(listed_node.name)
        node.zone = listed_node.zone
        node.cell = listed_node.cell
        node.kind = listed_node.kind
        node.tags = frozenset(listed_node.tags)
        return NodeEntry(node, listing, listed_node.started_at, listed_node.link, listed_node.places)


def node_fault(listed_node: ListedNode) -> str | None:
    """Returns why a node's entry is invalid, None where it is valid."""
    if not listed_node.name:
        return "it has no name"
    if not HOST_PATTERN.fullmatch(listed_node.address):
        return f"address {listed_node.address[:40]!r} is neither a host name nor an IP address"
    if not 0 < listed_node.port <= MAX_PORT:
        return f"port {listed_node.port} is out of range"
    if not 0 < listed_node.link < MAX_LINK_KB_PER_S:
        return f"link of {listed_node.link} kB/s is out of range"
    if not 0 <= listed_node.places < MAX_PLACES:
        return f"number of places {listed_node.places} is out of range"
    if listed_node.cell < 0:
        return f"cell {listed_node.cell} is negative"
    if listed_node.started_at < 0:
        return "its start time is before the epoch"
    return None
