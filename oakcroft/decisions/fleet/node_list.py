"""The list of playout nodes on one front: which lists it accepts, and what each means for the module.

The list service sends whole, versioned lists (docs/front.md describes the format). A listed node is ready, draining or
gone; a node that a list does not name is gone. A list that cannot be right is rejected as a whole, and the one before
stays in force.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from oakcroft.interface import SECOND, Entry, Listing, ListKind, Node

HOST = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}\.?|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]{1,44}"
)
"""A host name (RFC 1123 2.1, with underscores allowed) or an IP address; nothing else can be resolved."""


@dataclass(frozen=True, order=True)
class Line:
    """One node of a list. The field names are stored in the state file. Times in ns since the epoch."""

    name: str
    address: str
    port: int
    zone: str
    cell: int
    listing: Listing
    started_at: int
    link: float
    """Capacity of the node's link in kB a second."""

    places: float
    kind: str = ""
    tags: tuple[str, ...] = ()
    drains_until: int | None = None
    """When a draining node leaves; known only of some."""


@dataclass(frozen=True)
class Refused:
    """Why a list was rejected."""

    why: str


class Roster:
    """The list in force, and the checks for a new one.

    The checks protect against a list service that has lost its data, answers with a part of it, or goes back to an older
    version, and against duplicate names, impossible figures and two nodes at one address. An empty list is always
    rejected: a fleet that is really gone shows by refused connections. Removed nodes get nothing new, but their history
    is kept for `REMOVED_RETENTION`, so that it is still there where a list that dropped many nodes is followed by a
    complete one. The cost: a list service that restarts with lower versions is ignored until it passes the last version,
    or uses another name.
    """

    WITHHELD = 60 * SECOND
    """How long removed nodes are kept, in ns."""

    def __init__(self) -> None:
        """Begins without a list."""
        self.lines: dict[str, Line] = {}  # by name
        self.nodes: dict[str, Node] = {}  # by name, removed ones included
        self.gone_at: dict[str, int] = {}  # when a node was removed, by name
        self.version, self.service = -1, ""

    def take(
        self, lines: Sequence[Line], version: int, service: str, now: int, kept: bool = False
    ) -> tuple[ListKind, list[Entry]] | Refused | None:
        """Applies a list of the list service that calls itself `service`.

        Returns what it changes for the module, a rejection, or None where nothing changes. `is_cached` marks the list
        that an earlier process cached: it does not count as a version of the service. `now` in ns.
        """
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
        """Sets the list in force and returns entries for the nodes that differ; the module needs no others."""
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
    """Returns what is impossible about one node, None where nothing is."""
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
