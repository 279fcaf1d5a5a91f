"""The changes that can be written to a state file, one type each, and the contents of a file as read."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.decisions.fleet.node_list import Line
from oakcroft.decisions.state.recovery import Grudge, Spent
from oakcroft.decisions.state.promise import Promise


@dataclass(frozen=True)
class Put:
    """Writes the current state of a promise. A promise whose mark is GONE is deleted."""

    promise: Promise


@dataclass(frozen=True)
class Told:
    """Replaces the stored node list. `received_at` is in ns."""

    lines: tuple[Line, ...]
    version: int
    service: str
    at: int


@dataclass(frozen=True)
class Move:
    """A move of a playback in progress since `started_at`, in ns. Written with an empty `new_playback` when over."""

    playback: str
    copy: str
    began: int


@dataclass(frozen=True)
class Version:
    """A version of a document that can change while the front end serves. `activated_at` is in ns."""

    kind: str
    number: int
    digest: str
    taken: int
    why: str
    body: bytes


@dataclass(frozen=True)
class Dropped:
    """Deletes a version that has left its history."""

    kind: str
    number: int


@dataclass(frozen=True)
class Fact:
    """Writes a value under a name."""

    name: str
    value: bytes


@dataclass(frozen=True)
class Expire:
    """Deletes expired rows and returns as many free pages to the file system.

    These are at most `max_promises` promises with the marks ABORTED and INTENT that were last changed before
    `changed_before`, and all node penalties and slot usage recorded before `node_rows_before`. Both times are in ns.
    """

    before: int
    most: int
    nodes_before: int = 0


@dataclass(frozen=True)
class Whole:
    """Replaces the promises, and the node list if one is given, by what is in memory. All else in the file stays."""

    promises: tuple[Promise, ...]
    told: Told | None = None


Change = Put | Told | Move | Version | Dropped | Fact | Expire | Whole | Grudge | Spent


@dataclass
class Held:
    """The contents of a state file."""

    promises: list[Promise] = field(default_factory=list)
    lines: list[Line] = field(default_factory=list)
    list_version: int = -1
    service: str = ""
    grudges: list[Grudge] = field(default_factory=list)
    spent: list[Spent] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    facts: dict[str, bytes] = field(default_factory=dict)
