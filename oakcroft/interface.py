"""Plain types between the decision module and whatever hosts it.

A host builds one `Terms` from its settings, hands it to the module with a seed and itself as
`Host`, and from then on calls the module for each thing it hears. Times are whole nanoseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

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
    family: int = -1  # one number for a plan in all its versions, whose seats count together; -1: it has one

    def __eq__(self, other: object) -> bool:
        return self is other or (isinstance(other, Plan) and self.family == other.family >= 0)

    def __hash__(self) -> int:
        return self.family if self.family >= 0 else id(self)


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


class Fading:
    """A sum that halves every so often; brought up to date when it is read."""

    def __init__(self) -> None:
        self.sum, self.at = 0.0, 0

    def read(self, now: int, half: int) -> float:
        if now > self.at:
            self.sum *= 0.5 ** ((now - self.at) / half)
            self.at = now
        return self.sum

    def add(self, amount: float, now: int, half: int) -> None:
        self.sum = max(0.0, self.read(now, half) + amount)

    def clear(self) -> None:
        self.sum = 0.0


class State(Enum):
    """Where a playback stands."""

    ARRIVED = "arrived"
    SETTING_UP = "setting up"
    BETWEEN = "between tries"
    PLAYING = "playing"
    CLOSED = "closed, its try still out"
    ENDED = "ended"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Rack:
    """Nodes behind one uplink: what they carry, in kB a second, and how tight it has proved."""

    def __init__(self) -> None:
        self.nodes: list[Node] = []
        self.carried, self.lately = 0.0, [0.0]
        self.tight, self.logged = 1.0, False


class Node:
    """A playout node, with what one front end has heard and guessed of it."""

    def __init__(self, name: str) -> None:
        self.name, self.zone, self.cell = name, "", 0
        self.kind, self.tags = "", frozenset[str]()
        self.listing, self.started_at = Listing.GONE, 0
        self.link, self.places = 1.0, 0.0
        self.rack = Rack()
        self.playbacks: dict[Playback, None] = {}
        self.waiting: dict[Playback, int] = {}  # set-ups without an answer, and when they were sent
        self.own: deque[tuple[int, float]] = deque()  # own changes of what it carries, kB a second
        self.heard, self.reported, self.reported_at = False, 0.0, 0
        self.told = False  # the last report is another front's
        self.reports = False  # its load has been told at some time, not only inferred from what it did
        self.level = 0.0  # load of its link, as estimated now
        self.short, self.short_at = 1.0, 0  # delivered share, as last told
        self.samples: list[float] = []
        self.forecast = 0.0
        self.distrust, self.out = Fading(), False
        self.failed_at = 0
        self.handed_over = False  # a playback that this front was handed at its start plays here
        self.slot, self.slot_used = -1, 0


class Title:
    """What is watched, the cells that hold it, and the seats taken in each plan."""

    def __init__(self, name: str, home: int, copies: int) -> None:
        self.name, self.home, self.copies = name, home, copies
        self.seats: dict[Plan, int] = {}
        self.played = False  # it has played, wherever: there is such a title
        self.holders: list[Node] = []
        self.known = -1  # the version of the list that `holders` was made from
        self.named: frozenset[str] | None = None  # its holders by name; none: those in its cells
        self.rates: tuple[float, ...] = ()  # of its own rungs in kB a second; none: the ladder's


class Playback:
    """One viewer's request and the playback that it becomes."""

    def __init__(self, title: Title, plan: Plan, top: int, abandon: int, moved: bool) -> None:
        self.title, self.plan, self.abandon, self.moved = title, plan, abandon, moved
        self.top = max(plan.floor, min(top, plan.top))
        self.state = State.ARRIVED
        self.rung = plan.floor
        self.node: Node | None = None
        self.tries: list[tuple[Node, int]] = []
        self.may_have_run: list[tuple[Node, int]] = []
        self.changed_at = 0
        self.fresh = False  # its next link note tells of now
        self.beside: Playback | None = (
            None  # the one that plays on meanwhile, of which this is to be the copy
        )
        self.admits: Callable[[Node], bool] | None = None  # the nodes that it may go to; none: all holders


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
