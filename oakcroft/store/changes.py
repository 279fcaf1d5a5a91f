"""The changes that can be written to a state file, one type each, and the contents of a file as read."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.decisions.state.recovery import NodePenalty, SlotUsage
from oakcroft.decisions.state.promise import Promise

COMPLETE_KEY = "whole"
"""Name of the value whose presence says that the file holds all promises."""

ALIVE_KEY = "alive"
"""Name of the value that says when the front end last wrote while it served: ns since the epoch, in digits."""

LEARNED_KEYS_KEY = "learnt"
"""Name of the value with the keys that nodes reported after a loss of the file, and the time (ns) of its writing."""


@dataclass(frozen=True)
class PutPromise:
    """Writes the current state of a promise. A promise whose mark is GONE is deleted."""

    promise: Promise


@dataclass(frozen=True)
class PutNodeList:
    """Replaces the stored node list. `received_at` is in ns."""

    listed_nodes: tuple[ListedNode, ...]
    version: int
    service: str
    received_at: int


@dataclass(frozen=True)
class MoveRecord:
    """A move of a playback in progress since `started_at`, in ns. Written with an empty `new_playback` when over."""

    playback: str
    new_playback: str
    started_at: int


@dataclass(frozen=True)
class VersionRecord:
    """A version of a document that can change while the front end serves. `activated_at` is in ns."""

    kind: str
    number: int
    digest: str
    activated_at: int
    reason: str
    body: bytes


@dataclass(frozen=True)
class DropVersion:
    """Deletes a version that has left its history."""

    kind: str
    number: int


@dataclass(frozen=True)
class NamedValue:
    """Writes a value under a name."""

    name: str
    value: bytes


@dataclass(frozen=True)
class DeleteExpired:
    """Deletes expired rows and returns as many free pages to the file system.

    These are at most `max_promises` promises with the marks ABORTED and INTENT that were last changed before
    `changed_before`, and all node penalties and slot usage recorded before `node_rows_before`. Both times are in ns.
    """

    changed_before: int
    max_promises: int
    node_rows_before: int = 0


@dataclass(frozen=True)
class ReplaceContents:
    """Replaces the promises, and the node list if one is given, by what is in memory. All else in the file stays."""

    promises: tuple[Promise, ...]
    node_list: PutNodeList | None = None


StateChange = (
    PutPromise
    | PutNodeList
    | MoveRecord
    | VersionRecord
    | DropVersion
    | NamedValue
    | DeleteExpired
    | ReplaceContents
    | NodePenalty
    | SlotUsage
)


@dataclass
class StateContents:
    """The contents of a state file."""

    promises: list[Promise] = field(default_factory=list)
    listed_nodes: list[ListedNode] = field(default_factory=list)
    list_version: int = -1
    service: str = ""
    node_penalties: list[NodePenalty] = field(default_factory=list)
    slot_usage: list[SlotUsage] = field(default_factory=list)
    moves: list[MoveRecord] = field(default_factory=list)
    versions: list[VersionRecord] = field(default_factory=list)
    named_values: dict[str, bytes] = field(default_factory=dict)
