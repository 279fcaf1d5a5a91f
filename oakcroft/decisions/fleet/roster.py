"""The list of playout nodes as one front holds it: which lists are believed and what each says to the module.

Lists come whole and versioned from the list service (docs/front.md names the format). What a list says of a node
becomes ready, draining or gone; what it does not say has gone. A list that cannot be right is refused whole, and
the one before stays in force.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oakcroft.interface import SECOND, Entry, Listing, ListKind, Node

HOST = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}\.?|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]{1,44}"
)
"""A host name (RFC 1123 2.1, underscores suffered) or an IP address; no resolver can be asked for anything else."""


@dataclass(frozen=True, order=True)
class Line:
    """What one list says of one node. Times in ns since the epoch, link in kB a second."""

    name: str
    address: str
    port: int
    zone: str
    cell: int
    listing: Listing
    started_at: int
    link: float
    places: float
    kind: str = ""
    tags: tuple[str, ...] = ()
    drains_until: int | None = None  # told only of some draining nodes


@dataclass(frozen=True)
class Refused:
    """Why a list was not believed."""

    why: str


class Roster:
    """The list in force and what it takes to change it.

    Guards against a list service that has lost its data, answers with a part of it, or goes back in time. Covers
    duplicate names, impossible figures and two nodes at one address. An empty list is never believed: a fleet
    that is really gone shows by its refused connections. A list that drops over half of the nodes at once is believed
    for what it removes (nothing new goes there) but the removed are kept for `WITHHELD`, so that a list that returns
    finds their history. Harm: a service restarted with lower versions is ignored until it passes
    the old one, or names itself anew.
    """

    WITHHELD = 60 * SECOND

    def __init__(self) -> None:
        self.lines: dict[str, Line] = {}
        self.nodes: dict[str, Node] = {}
        self.gone_at: dict[str, int] = {}
        self.version, self.service = -1, ""

    def take(
        self, lines: Sequence[Line], version: int, service: str, now: int, kept: bool = False
    ) -> tuple[ListKind, list[Entry]] | Refused | None:
        """What a list means for the module; None where it says nothing new."""
        same_service = service == self.service
        if not kept and same_service and version == self.version:
            return None
        if wrong := self._wrong(lines, version, same_service):
            return Refused(wrong)
        first = not self.lines
        if not kept:
            self.version, self.service = version, service
        entries = self._entries(lines, now)
        if not entries and not first:
            return None
        if kept:
            return ListKind.KEPT, entries
        return (ListKind.WHOLE if first else ListKind.CHANGES), entries

    def _wrong(self, lines: Sequence[Line], version: int, same_service: bool) -> str | None:
        if not lines:
            return "it names no node"
        if same_service and version < self.version:
            return f"its version {version} is older than {self.version}"
        names, places = set[str](), set[tuple[str, int]]()
        for line in lines:
            if wrong := line_fault(line):
                return f"node {line.name!r}: {wrong}"
            if line.name in names:
                return f"node {line.name!r} stands in it twice"
            if (line.address, line.port) in places:
                return f"node {line.name!r} has the address of another"
            names.add(line.name)
            places.add((line.address, line.port))
        return None

    def _entries(self, lines: Iterable[Line], now: int) -> list[Entry]:
        """The lines that differ from those in force; the caller's module is told of nothing else."""
        entries, missing = [], dict(self.lines)
        for line in sorted(lines):
            missing.pop(line.name, None)
            if self.lines.get(line.name) != line:
                self.lines[line.name] = line
                entries.append(self._entry(line, line.listing))
            self.gone_at.pop(line.name, None)
        for name, line in missing.items():
            del self.lines[name]
            self.gone_at[name] = now
            entries.append(self._entry(line, Listing.GONE))
        for name in [n for n, at in self.gone_at.items() if now - at > self.WITHHELD]:
            del self.gone_at[name]
            del self.nodes[name]
        return entries

    def _entry(self, line: Line, listing: Listing) -> Entry:
        node = self.nodes.get(line.name)
        if node is None:
            node = self.nodes[line.name] = Node(line.name)
        node.zone, node.cell = line.zone, line.cell
        node.kind, node.tags = line.kind, frozenset(line.tags)
        return Entry(node, listing, line.started_at, line.link, line.places)


def line_fault(line: Line) -> str | None:
    """What is impossible about one line, if anything."""
    if not line.name:
        return "it has no name"
    if not HOST.fullmatch(line.address):
        return f"address {line.address[:40]!r} is no host name and no IP address"
    if not 0 < line.port < 65_536:
        return f"port {line.port} does not exist"
    if not (0 < line.link < 1e12):
        return f"a link of {line.link} kB a second cannot be"
    if not (0 <= line.places < 1e9):
        return f"{line.places} places cannot be"
    if line.cell < 0:
        return f"cell {line.cell} is under 0"
    if line.started_at < 0:
        return "it started before the epoch"
    return None
