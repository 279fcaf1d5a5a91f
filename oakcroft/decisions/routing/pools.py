"""Pools of playout nodes: which nodes a route's playbacks may go to.

A pool names what its nodes have in common; it places nothing. The module goes through the holders of a title in its own
order and leaves out those that the playback's pool does not admit.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.interface import Node


@dataclass(frozen=True)
class Pool:
    """Each part that is not empty must hold. `racks` count by cell mod racks; `but` takes nodes out again."""

    name: str
    wings: tuple[str, ...] = ()
    racks: tuple[int, ...] = ()
    kinds: tuple[str, ...] = ()
    tags: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    but: tuple[str, ...] = ()

    def admits(self, node: Node, racks: int) -> bool:
        """Whether a node is one of the pool."""
        return (
            (not self.wings or node.zone in self.wings)
            and (not self.racks or node.cell % max(1, racks) in self.racks)
            and (not self.kinds or node.kind in self.kinds)
            and (not self.tags or all(tag in node.tags for tag in self.tags))
            and (not self.nodes or node.name.partition("+")[0] in self.nodes or node.name in self.nodes)
            and node.name not in self.but
        )

    def empty_by_itself(self) -> str | None:
        """Why no node at all can be in it, as far as its own words tell."""
        if self.nodes and all(node in self.but for node in self.nodes):
            return "every node that it names is taken out again"
        return None
