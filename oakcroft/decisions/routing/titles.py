"""The titles that one front has met, a bounded number of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from oakcroft.decisions.routing.catalogue import Item
from oakcroft.interface import Title


class Shelf:
    """Titles by name; the module keeps seats and holders on them, so that one in use must stay the same object.

    Guards against clients that ask for names without end. When the shelf is full, the title unused for longest
    goes, if no seat of it is taken; where all are in use, the new one gets no place (`get` answers None). Harm: the
    holder order of a seldom title is reckoned anew.
    """

    def __init__(self, most: int, cells: int, copies: int, stated: Mapping[str, tuple[int, int]]) -> None:
        self.most, self.cells, self.copies, self.stated = most, cells, copies, stated
        self.titles: OrderedDict[str, Title] = OrderedDict()
        self.homes: dict[str, tuple[int, int | None]] = {}
        self.items: Mapping[str, Item] = {}  # of the catalogue in force

    def get(self, name: str, home: int, copies: int | None = None) -> Title | None:
        """The title; `home` is the first cell that holds it, in `copies` cells or the usual number, unless its place is
        stated."""
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
        """Where titles are held has changed; those on the shelf stay the same objects, with their seats."""
        self.copies, self.stated = copies, stated
        for title in self.titles.values():
            self._place(title)

    def take_catalogue(self, items: Mapping[str, Item], changed: Iterable[str]) -> None:
        """Another catalogue is in force; only these titles are looked at, and of them those on the shelf."""
        self.items = items
        for name in changed:
            if (title := self.titles.get(name)) is not None:
                self._place(title)

    def _place(self, title: Title) -> None:
        """Where a title is held and at which rates: by the catalogue, else as stated, else by the rule for all. The
        object stays the same, with its seats."""
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
