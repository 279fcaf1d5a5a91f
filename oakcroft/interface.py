"""Plain types between the decision module and whatever hosts it.

A host builds one `Terms` from its settings, hands it to the module with a seed and itself as
`Host`, and from then on calls the module for each thing it hears. Times are whole nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from oakcroft.choice import Node, Playback

MS = 1_000_000
SECOND = 1_000_000_000


class Effect(Enum):
    """What a repeated set-up of a plan would do."""

    FREE = "free"
    KEYED = "keyed"
    PAID = "paid"


class Group(Enum):
    """Where a keyed plan recognises a repeated set-up."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Listing(Enum):
    """What the list of playout nodes says of one."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list came: changes, all of it, as kept from before, or not at all."""

    CHANGES = "changes"
    WHOLE = "whole"
    KEPT = "kept"
    FAILED = "failed"


class Outcome(Enum):
    """How a setup try, or the playback that it started, ended."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not sent"


class Note(Enum):
    """News on a playback that plays."""

    DELIVERED = "delivered share"
    RUNG = "rung in force"
    LINK_ASKED = "asked of the link"
    UPLINK_ASKED = "asked of the rack's uplink"


@dataclass(frozen=True, eq=False)
class Plan:
    """What one plan was promised."""

    effect: Effect
    group: Group
    key_lasts: int
    startup_target: int
    revenue: float
    floor: int
    top: int
    seats: int
    rate_factor: float
    shares_stream: bool


@dataclass(frozen=True, eq=False)
class Terms:
    """What a deployment states at start, as far as the module reads it."""

    fronts: int
    front: int
    must_follow: bool
    ask_within: int
    cells: int
    racks: int
    rates: tuple[float, ...]
    rung_worth: tuple[float, ...]
    uplink: float
    join_adds: float
    seen_after: int
    reports_every: int
    most_tries: int
    stay_away_most: int
    cold_share: float
    cold_for: int
    fall_multiple: float
    fall_window: int
    tries_free: float | None
    tries_share: float
    tries_window: int


@dataclass(frozen=True)
class Entry:
    """One line of the list of playout nodes."""

    node: Node
    listing: Listing
    started_at: int
    link: float
    places: float


class Host(Protocol):
    """What the module may ask for."""

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None: ...

    def reject(self, pb: Playback, stay_away: int) -> None: ...

    def abort(self, pb: Playback) -> None: ...

    def set_rung(self, pb: Playback, rung: int) -> None: ...

    def alarm(self, at: int) -> None: ...

    def follow(self) -> None: ...

    def log(self, line: str) -> None: ...
