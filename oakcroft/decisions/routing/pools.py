"""Pools of playout nodes: which nodes the playbacks of a route may go to.

A pool filters nodes by their properties and does not place playbacks. The decision module tries the holders of a title
in its own order and skips those that the pool does not admit.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.interface import Node


@dataclass(frozen=True)
class Pool:
    """A pool by name; each of its conditions that is not empty must hold."""

    name: str
    zones: tuple[str, ...] = ()
    racks: tuple[int, ...] = ()
    """A node's rack is its cell modulo the number of racks."""

    kinds: tuple[str, ...] = ()
    tags: tuple[str, ...] = ()
    """Tags that a node must have, all of them."""

    nodes: tuple[str, ...] = ()
    """Names of nodes; a name covers the node's replacements NAME+1 too."""

    excluded_nodes: tuple[str, ...] = ()
    """Names of nodes that are not admitted."""

    def admits(self, node: Node, rack_count: int) -> bool:
        """Returns whether a node belongs to the pool."""
        return (
            (not self.zones or node.zone in self.zones)
            and (not self.racks or node.cell % max(1, rack_count) in self.racks)
            and (not self.kinds or node.kind in self.kinds)
            and (not self.tags or all(tag in node.tags for tag in self.tags))
            and (not self.nodes or node.name.partition("+")[0] in self.nodes or node.name in self.nodes)
            and node.name not in self.excluded_nodes
        )

    def empty_reason(self) -> str | None:
        """Returns why the pool's own conditions admit no node; None where they may admit some."""
        if self.nodes and all(node in self.excluded_nodes for node in self.nodes):
            return "every node in nodes is also in but"
        return None
