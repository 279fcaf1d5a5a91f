"""A bounded cache of the titles that were requested from one front."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from oakcroft.decisions.routing.catalogue import Item
from oakcroft.interface import Title


class Shelf:
    """Titles by name. The module keeps seats and holders on them, so a title in use must stay the same object.

    The bound protects against clients that request ever new names. When the cache is full, the title unused for longest
    that has no seat taken is evicted; where all are in use, a new title is refused. The cost: the holder order of a
    rarely used title is computed again.
    """

    def __init__(self, most: int, cells: int, copies: int, stated: Mapping[str, tuple[int, int]]) -> None:
        """`configured_placements` gives (home cell, copies) by title; others are in `default_copies` cells."""
        self.most, self.cells, self.copies, self.stated = most, cells, copies, stated
        self.titles: OrderedDict[str, Title] = OrderedDict()
        self.homes: dict[str, tuple[int, int | None]] = {}  # (home cell, copies) as `get` was called
        self.items: Mapping[str, Item] = {}  # of the catalogue in force

    def get(self, name: str, home: int, copies: int | None = None) -> Title | None:
        """Returns a title, None where it is new and the cache is full of titles in use.

        `home` is the first cell that holds it and `copies` the number of cells, None for the default. A placement in the
        configuration or the catalogue takes precedence.
        """
        title = self.titles.get(name)
        if title is None:
            if len(self.titles) >= self.most and not self._make_room():
                return None
            title = self.titles[name] = Title(name, 0, 0)
            self.homes[name] = home, copies
            self._place(title)
        self.titles.move_to_end(name)
        return title

    def take_version(self, copies: int, stated: Mapping[str, tuple[int, int]]) -> None:
        """Applies another configuration; cached titles stay the same objects, with their seats."""
        self.copies, self.stated = copies, stated
        for title in self.titles.values():
            self._place(title)

    def take_catalogue(self, items: Mapping[str, Item], changed: Iterable[str]) -> None:
        """Applies another catalogue; `changed` names the titles that differ in it."""
        self.items = items
        for name in changed:
            if (title := self.titles.get(name)) is not None:
                self._place(title)

    def _place(self, title: Title) -> None:
        """Sets where a title is held and its rates: by the catalogue, else the configuration, else the default.

        The object stays the same, with its seats.
        """
        item = self.items.get(title.name)
        first, asked = self.homes[title.name]
        usual = first % self.cells, self.copies if asked is None else asked
        home, copies = self.stated.get(title.name, usual)
        if item is not None and item.home >= 0:
            home, copies = item.home, item.copies
        named = (
            frozenset(h.partition("+")[0] for h in item.holders)
            if item is not None and item.holders
            else None
        )
        if (title.home, title.copies, title.named) != (home, copies, named):
            title.home, title.copies, title.named, title.known = home, copies, named, -1
        title.rates = item.rates if item is not None else ()

    def _make_room(self) -> bool:
        for name, title in self.titles.items():
            if not any(title.seats.values()):
                del self.titles[name]
                del self.homes[name]
                return True
        return False
