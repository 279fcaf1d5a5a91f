"""The order in which the holders of a title are tried.

Holders are sorted by a hash of title and node, so that all front ends use the same order (rendezvous hashing, Thaler and
Ravishankar 1998). Only the first few of them are ever compared, so only these are kept. A change of the node list is
applied to them when the title is next asked for.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from collections.abc import Iterator
from hashlib import blake2b

from oakcroft.decisions.routing.listed_nodes import ListedNodes, base_name
from oakcroft.interface import HolderOrder, Node, Placement, RankedHolder, Title

DIGEST_BYTES = 8
DIGEST_COUNT = 1 << 8 * DIGEST_BYTES
"""Number of different digests."""
TARGET_KEPT_HOLDERS = 32
"""Holders that are kept of a title on average."""
MIN_KEPT_HOLDERS = 8
"""Holders from which an order is of use; with fewer it is computed again."""
MAX_KEPT_HOLDERS = 128
"""Holders past which an order is computed again, after many nodes have joined."""
MAX_ORDERS_PER_TITLE = 4
"""Placements of one title whose orders are kept."""
MAX_COMPLETE_ORDERS = 1_024
"""Complete orders that are kept, of titles of which more than the first holders were looked at."""
LAST_DIGEST = b"\xff" * DIGEST_BYTES


def digest_of(holder: RankedHolder) -> bytes:
    """The digest by which holders are sorted."""
    return holder[0]


class HolderOrders:
    """The orders of all titles in use."""

    def __init__(self, listed: ListedNodes) -> None:
        """Starts without orders."""
        self.listed = listed
        self._remaining_holders = OrderedDict[HolderOrder, list[Node]]()
        # All holders of the order that was computed last, since a set-up may go on to the others at once.
        self._last_computed: tuple[HolderOrder, list[RankedHolder]] | None = None

    def holders(self, title: Title, placement: Placement) -> Iterator[Node]:
        """The nodes that hold a title in a placement, in order."""
        order = self._current_order(title, placement)
        for _, node in order.first:
            yield node
        if order.last_digest != LAST_DIGEST:
            yield from self._remaining(title, placement, order)

    def count(self, title: Title, placement: Placement) -> int:
        """Number of nodes that hold a title in a placement."""
        if title.holder_names is not None:
            return sum(1 for _ in self.listed.named(title.holder_names))
        home_cell, copies = self._cells(placement)
        return self.listed.count_in_cells(home_cell, copies)

    def _cells(self, placement: Placement) -> tuple[int, int]:
        """First cell and number of cells of a placement."""
        cell_count = self.listed.cell_count
        if 0 < placement.copies < cell_count:
            return placement.home_cell % cell_count, placement.copies
        return 0, cell_count

    def _current_order(self, title: Title, placement: Placement) -> HolderOrder:
        """The order of a title in a placement, brought up to date."""
        key = self._key(title, placement)
        order = title.holder_orders.get(key)
        if order is None:
            order = self._compute(title, placement)
            self._make_room(title)
            title.holder_orders[key] = order
        elif order.version != self.listed.version and not self._catch_up(title, placement, order):
            order = title.holder_orders[key] = self._compute(title, placement)
        return order

    def _key(self, title: Title, placement: Placement) -> Placement | None:
        """Key of an order among those of its title; the same for all placements in the same cells."""
        return None if title.holder_names is not None else Placement(*self._cells(placement))

    def record_playing(self, title: Title, placement: Placement) -> None:
        """Records that a title has played in a placement, which proves that it is there."""
        key = self._key(title, placement)
        title.played_placements.pop(key, None)
        title.played_placements[key] = None
        if len(title.played_placements) > MAX_ORDERS_PER_TITLE:
            del title.played_placements[next(iter(title.played_placements))]

    def has_played(self, title: Title, placement: Placement) -> bool:
        """Whether a title has played in a placement lately."""
        return self._key(title, placement) in title.played_placements

    def _make_room(self, title: Title) -> None:
        """Drops an order of a title if it has too many: the oldest of those in which it has not played.

        So requests with ever new figures push out none of those whose figures are true.
        """
        orders = title.holder_orders
        if len(orders) >= MAX_ORDERS_PER_TITLE:
            oldest = next(iter(orders))
            del orders[next((key for key in orders if key not in title.played_placements), oldest)]

    def _candidates(self, title: Title, placement: Placement) -> Iterator[tuple[Node, bytes]]:
        """The holders of a title in a placement with their encoded names, unordered."""
        if title.holder_names is not None:
            return self.listed.named(title.holder_names)
        return self.listed.in_cells(*self._cells(placement))

    def _rank_all(self, title: Title, placement: Placement) -> list[RankedHolder]:
        """All holders with their digests, unordered."""
        copy_hash = blake2b(f"{title.name}\0".encode(), digest_size=DIGEST_BYTES).copy
        ranked = list[RankedHolder]()
        for node, encoded_name in self._candidates(title, placement):
            hasher = copy_hash()
            hasher.update(encoded_name)
            ranked.append((hasher.digest(), node))
        return ranked

    def _compute(self, title: Title, placement: Placement) -> HolderOrder:
        """Computes the first part of an order."""
        ranked = self._rank_all(title, placement)
        last_digest = LAST_DIGEST
        if len(ranked) > MAX_KEPT_HOLDERS:
            limit = DIGEST_COUNT * TARGET_KEPT_HOLDERS // len(ranked)
            last_digest = limit.to_bytes(DIGEST_BYTES, "big")
            first = [holder for holder in ranked if holder[0] <= last_digest]
            if len(first) < MIN_KEPT_HOLDERS:
                first, last_digest = ranked, LAST_DIGEST
        else:
            first = ranked
        order = HolderOrder(sorted(first, key=digest_of), last_digest, self.listed.version)
        self._last_computed = order, ranked
        return order

    def _catch_up(self, title: Title, placement: Placement, order: HolderOrder) -> bool:
        """Applies the changes of the node list to an order; returns False if it has to be computed again."""
        self._last_computed = None
        changed = self.listed.changed_since(order.version)
        if changed is None:
            return False
        for node in changed:
            self._apply_change(title, placement, order, node)
        order.version = self.listed.version
        is_complete = order.last_digest == LAST_DIGEST
        return len(order.first) <= MAX_KEPT_HOLDERS and (is_complete or len(order.first) >= MIN_KEPT_HOLDERS)

    def _apply_change(self, title: Title, placement: Placement, order: HolderOrder, node: Node) -> None:
        """Applies the join, leave or move of a node to an order."""
        hasher = blake2b(f"{title.name}\0{node.name}".encode(), digest_size=DIGEST_BYTES)
        digest = hasher.digest()
        if digest > order.last_digest:
            return
        order.first = [holder for holder in order.first if holder[1] is not node]
        if self._holds(title, placement, node):
            insort(order.first, (digest, node), key=digest_of)

    def _holds(self, title: Title, placement: Placement, node: Node) -> bool:
        """Whether a node is listed and holds a title in a placement."""
        if node not in self.listed.nodes:
            return False
        if title.holder_names is not None:
            return base_name(node.name) in title.holder_names
        home_cell, copies = self._cells(placement)
        return (node.cell - home_cell) % self.listed.cell_count < copies

    def _remaining(self, title: Title, placement: Placement, order: HolderOrder) -> list[Node]:
        """The holders behind those that are kept, in order."""
        remaining = self._remaining_holders.pop(order, None)
        if remaining is None or order.remaining_version != self.listed.version:
            ranked = self._take_last_computed(order) or self._rank_all(title, placement)
            behind = [holder for holder in ranked if holder[0] > order.last_digest]
            behind.sort(key=digest_of)
            remaining = [node for _, node in behind]
            order.remaining_version = self.listed.version
        self._remaining_holders[order] = remaining
        if len(self._remaining_holders) > MAX_COMPLETE_ORDERS:
            self._remaining_holders.popitem(last=False)
        return remaining

    def _take_last_computed(self, order: HolderOrder) -> list[RankedHolder] | None:
        """All holders of an order if it was computed last, and no change of the node list was applied since."""
        last_computed, self._last_computed = self._last_computed, None
        if last_computed is None or last_computed[0] is not order:
            return None
        return last_computed[1]
