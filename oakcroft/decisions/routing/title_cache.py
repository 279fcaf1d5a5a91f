"""A bounded cache of the titles that were requested from one front end."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from oakcroft.decisions.routing.catalogue import CatalogueTitle
from oakcroft.interface import Title

MAX_NEVER_PLAYED_SHARE = 0.5
"""Share of the cache from which titles that have never played take no place of one that has."""


class TitleCache:
    """Titles by name.

    The decision module stores seats and holders on a title, so a title in use must stay the same object. The bound
    protects against clients that request ever new names. When the cache is full, the least recently used title without
    a seat taken is evicted; where all are in use, a new title is refused. Titles that have never played, which may not
    exist, are evicted first, and take no more than half of the cache from those that have. Drawback: the holder order
    of a rarely used title is computed again.
    """

    def __init__(
        self,
        max_titles: int,
        cell_count: int,
        default_copies: int,
        configured_placements: Mapping[str, tuple[int, int]],
    ) -> None:
        """`configured_placements` gives (home cell, copies) by title; others are in `default_copies` cells."""
        self.max_titles = max_titles
        self.cell_count = cell_count
        self.default_copies = default_copies
        self.configured_placements = configured_placements
        self.titles: OrderedDict[str, Title] = OrderedDict()
        self.never_played = OrderedDict[str, None]()  # titles that had not played when last asked for
        # (home cell, copies) by title, as passed to `get`.
        self.requested_placements: dict[str, tuple[int, int | None]] = {}
        self.catalogue_titles: Mapping[str, CatalogueTitle] = {}  # of the active catalogue

    def get(self, name: str, home: int, copies: int | None = None) -> Title | None:
        """Returns a title; None where it is new and the cache is full of titles in use.

        `home` is the first cell that holds it and `copies` the number of cells, None for the default. A placement in the
        configuration or the catalogue takes precedence. Those of the first request hold for playbacks that state none of
        their own.
        """
        title = self.titles.get(name)
        if title is None:
            if len(self.titles) >= self.max_titles and not self._evict_unused():
                return None
            title = self.titles[name] = Title(name, 0, 0)
            self.requested_placements[name] = home, copies
            self._update_placement(title)
            self.never_played[name] = None
        self.titles.move_to_end(name)
        if title.has_played:
            self.never_played.pop(name, None)
        else:
            self.never_played.move_to_end(name)
        return title

    def apply_configuration(
        self, default_copies: int, configured_placements: Mapping[str, tuple[int, int]]
    ) -> None:
        """Applies another configuration; cached titles stay the same objects, with their seats."""
        self.default_copies = default_copies
        self.configured_placements = configured_placements
        for title in self.titles.values():
            self._update_placement(title)

    def apply_catalogue(self, catalogue_titles: Mapping[str, CatalogueTitle], changed: Iterable[str]) -> None:
        """Applies another catalogue; `changed` names the titles that differ in it."""
        self.catalogue_titles = catalogue_titles
        for name in changed:
            if (title := self.titles.get(name)) is not None:
                self._update_placement(title)

    def _update_placement(self, title: Title) -> None:
        """Sets the placement and rates of a title: from the catalogue, else the configuration, else the default.

        The object stays the same, with its seats.
        """
        catalogue_title = self.catalogue_titles.get(title.name)
        requested_home, requested_copies = self.requested_placements[title.name]
        default_placement = (
            requested_home % self.cell_count,
            self.default_copies if requested_copies is None else requested_copies,
        )
        title.is_placed = title.name in self.configured_placements
        home, copies = self.configured_placements.get(title.name, default_placement)
        if catalogue_title is not None and catalogue_title.home >= 0:
            home = catalogue_title.home
            copies = catalogue_title.copies
            title.is_placed = True
        holder_names = (
            frozenset(holder.partition("+")[0] for holder in catalogue_title.holders)
            if catalogue_title is not None and catalogue_title.holders
            else None
        )
        if (title.home_cell, title.copies, title.holder_names) != (home, copies, holder_names):
            title.home_cell = home
            title.copies = copies
            title.holder_names = holder_names
            title.holder_orders.clear()
        title.rung_rates = catalogue_title.rates if catalogue_title is not None else ()

    def _evict_unused(self) -> bool:
        """Evicts a title without a seat taken; False if there is none that a new one may take the place of."""
        if self._evict_first(name for name in self.never_played if not self.titles[name].has_played):
            return True
        if len(self.never_played) >= self.max_titles * MAX_NEVER_PLAYED_SHARE:
            return False
        return self._evict_first(self.titles)

    def _evict_first(self, names: Iterable[str]) -> bool:
        """Evicts the first of some titles that has no seat taken; False if there is none."""
        for name in names:
            if not any(self.titles[name].seats_taken.values()):
                del self.titles[name]
                del self.requested_placements[name]
                self.never_played.pop(name, None)
                return True
        return False
