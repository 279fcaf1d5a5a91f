"""The titles that one front has met, a bounded number of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

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
        self.homes: dict[str, int] = {}

    def get(self, name: str, home: int) -> Title | None:
        """The title; `home` is the first cell that holds it unless its place is stated."""
        title = self.titles.get(name)
        if title is None:
            if len(self.titles) >= self.most and not self._make_room():
                return None
            cell, copies = self.stated.get(name, (home % self.cells, self.copies))
            title = self.titles[name] = Title(name, cell, copies)
            self.homes[name] = home
        self.titles.move_to_end(name)
        return title

    def take_version(self, copies: int, stated: Mapping[str, tuple[int, int]]) -> None:
        """Where titles are held has changed; those on the shelf stay the same objects, with their seats."""
        self.copies, self.stated = copies, stated
        for name, title in self.titles.items():
            home, held = stated.get(name, (self.homes[name] % self.cells, copies))
            if (title.home, title.copies) != (home, held):
                title.home, title.copies, title.known = home, held, -1

    def _make_room(self) -> bool:
        for name, title in self.titles.items():
            if not any(title.seats.values()):
                del self.titles[name]
                del self.homes[name]
                return True
        return False
