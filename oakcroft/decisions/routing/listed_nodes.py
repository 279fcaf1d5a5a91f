"""The nodes on the node list, indexed by rack, cell and name: a change of one node costs the same in any fleet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

from oakcroft.interface import Node, NodeStatus, Rack

Key = TypeVar("Key", int, str)

MAX_LOGGED_CHANGES = 8_192
"""Joins, leaves and moves that are kept for indexes which are brought up to date later."""


@dataclass(frozen=True)
class ListedPlace:
    """Where a listed node is indexed."""

    cell: int
    rack: Rack
    link_capacity: float


def base_name(name: str) -> str:
    """Name of a node without the generation behind a `+`."""
    return name.partition("+")[0]


class ListedNodes:
    """The listed nodes in the order of their listing.

    `version` counts the joins, leaves and moves between cells.
    """

    def __init__(self, cell_count: int, racks: Sequence[Rack]) -> None:
        """Starts without nodes; a node's rack is its cell modulo the number of racks."""
        self.cell_count = cell_count
        self.racks = racks
        self.nodes: dict[Node, None] = {}
        self.version = 0
        self.link_capacity = 0.0
        self._places: dict[Node, ListedPlace] = {}
        self._by_cell: dict[int, dict[Node, bytes]] = {}
        self._by_base_name: dict[str, dict[Node, bytes]] = {}
        self._encoded_names: dict[Node, bytes] = {}
        self._changes = deque[Node](maxlen=MAX_LOGGED_CHANGES)

    def update(self, changed: Iterable[Node]) -> None:
        """Indexes nodes whose entries have changed, and drops those that are gone."""
        racks_to_order = dict[Rack, None]()
        for node in changed:
            place = self._places.get(node)
            if node.status is NodeStatus.GONE:
                if place is not None:
                    self._remove(node, place)
            elif place is None:
                self._add(node)
            elif place.cell != node.cell % self.cell_count or place.rack is not self._rack_of(node):
                self._move(node, place, racks_to_order)
            elif place.link_capacity != node.link_capacity:
                self._set_place(node)
                self.link_capacity += node.link_capacity - place.link_capacity
        if racks_to_order:
            self._restore_rack_order(racks_to_order)

    def sum_link_capacity(self) -> None:
        """Adds up the capacity of all links again, without the rounding of single changes."""
        self.link_capacity = sum(node.link_capacity for node in self.nodes)

    def _rack_of(self, node: Node) -> Rack:
        """The rack of a node."""
        return self.racks[node.cell % len(self.racks)]

    def _set_place(self, node: Node) -> ListedPlace:
        """Records where a node is indexed."""
        place = ListedPlace(node.cell % self.cell_count, self._rack_of(node), node.link_capacity)
        self._places[node] = place
        return place

    def _add(self, node: Node) -> None:
        """Indexes a node that joins the list."""
        place = self._set_place(node)
        encoded_name = node.name.encode()
        self.nodes[node] = None
        self._encoded_names[node] = encoded_name
        self._by_base_name.setdefault(base_name(node.name), {})[node] = encoded_name
        self._by_cell.setdefault(place.cell, {})[node] = encoded_name
        place.rack.nodes[node] = None
        self.link_capacity += node.link_capacity
        self._log_change(node)

    def _remove(self, node: Node, place: ListedPlace) -> None:
        """Drops a node that leaves the list."""
        del self._places[node]
        del self.nodes[node]
        del self._encoded_names[node]
        _remove_from_group(self._by_base_name, base_name(node.name), node)
        _remove_from_group(self._by_cell, place.cell, node)
        del place.rack.nodes[node]
        self.link_capacity -= place.link_capacity
        self._log_change(node)

    def _move(self, node: Node, place: ListedPlace, racks_to_order: dict[Rack, None]) -> None:
        """Indexes a node under another cell; adds its racks to those whose order is to be restored."""
        new_place = self._set_place(node)
        _remove_from_group(self._by_cell, place.cell, node)
        self._by_cell.setdefault(new_place.cell, {})[node] = self._encoded_names[node]
        del place.rack.nodes[node]
        new_place.rack.nodes[node] = None
        racks_to_order[new_place.rack] = None
        self.link_capacity += node.link_capacity - place.link_capacity
        self._log_change(node)

    def _restore_rack_order(self, racks: Mapping[Rack, None]) -> None:
        """Lists the nodes of racks in the order of the node list."""
        for rack in racks:
            rack.nodes.clear()
        for node, place in self._listed_places():
            if place.rack in racks:
                place.rack.nodes[node] = None

    def _listed_places(self) -> Iterator[tuple[Node, ListedPlace]]:
        """All nodes with their places, in the order of the node list."""
        return ((node, self._places[node]) for node in self.nodes)

    def _log_change(self, node: Node) -> None:
        """Records that a node has joined, left or moved."""
        self.version += 1
        self._changes.append(node)

    def changed_since(self, version: int) -> Iterable[Node] | None:
        """Nodes that have joined, left or moved since a version, each once.

        None if that is no longer known, or if to read all nodes is cheaper.
        """
        count = self.version - version
        if count > min(len(self._changes), len(self.nodes)):
            return None
        return dict.fromkeys(islice(reversed(self._changes), count))

    def in_cells(self, home_cell: int, copies: int) -> Iterator[tuple[Node, bytes]]:
        """Nodes in `copies` cells from `home_cell` on, each with its encoded name."""
        if copies >= self.cell_count:
            yield from self._encoded_names.items()
            return
        for offset in range(copies):
            yield from self._by_cell.get((home_cell + offset) % self.cell_count, {}).items()

    def named(self, base_names: frozenset[str]) -> Iterator[tuple[Node, bytes]]:
        """Nodes with one of some base names, each with its encoded name."""
        for name in sorted(base_names):
            yield from self._by_base_name.get(name, {}).items()

    def count_in_cells(self, home_cell: int, copies: int) -> int:
        """Number of nodes in `copies` cells from `home_cell` on."""
        if copies >= self.cell_count:
            return len(self.nodes)
        cells = ((home_cell + offset) % self.cell_count for offset in range(copies))
        return sum(len(self._by_cell.get(cell, ())) for cell in cells)


def _remove_from_group(groups: dict[Key, dict[Node, bytes]], key: Key, node: Node) -> None:
    """Removes a node from its group, and the group with its last node."""
    group = groups[key]
    del group[node]
    if not group:
        del groups[key]
