"""What is written to a state file, one typed change each, and what a file holds when it is read."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.decisions.fleet.roster import Line
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.remembered import Promise


@dataclass(frozen=True)
class Put:
    """A promise as it stands now; one that binds no more goes."""

    promise: Promise


@dataclass(frozen=True)
class Told:
    """The list of nodes in force."""

    lines: tuple[Line, ...]
    version: int
    service: str
    at: int


@dataclass(frozen=True)
class Move:
    """A move under way, or over (no copy)."""

    playback: str
    copy: str
    began: int


@dataclass(frozen=True)
class Version:
    """A version of a document that is changed while serving."""

    kind: str
    number: int
    digest: str
    taken: int
    why: str
    body: bytes


@dataclass(frozen=True)
class Dropped:
    """A version that is out of its history."""

    kind: str
    number: int


@dataclass(frozen=True)
class Fact:
    """One named value."""

    name: str
    value: bytes


@dataclass(frozen=True)
class Expire:
    """Drops up to `most` promises in these marks that were changed before a time, what is held against nodes and spent
    of their slots `nodes_before` another, and gives pages back."""

    before: int
    most: int
    nodes_before: int = 0


@dataclass(frozen=True)
class Whole:
    """Everything that is in memory, in the place of everything that is in the file; versions and facts stay."""

    promises: tuple[Promise, ...]
    told: Told | None = None


Change = Put | Told | Move | Version | Dropped | Fact | Expire | Whole | Grudge | Spent


@dataclass
class Held:
    """All that a file holds."""

    promises: list[Promise] = field(default_factory=list)
    lines: list[Line] = field(default_factory=list)
    list_version: int = -1
    service: str = ""
    grudges: list[Grudge] = field(default_factory=list)
    spent: list[Spent] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    facts: dict[str, bytes] = field(default_factory=dict)
