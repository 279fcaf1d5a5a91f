"""Types shared by the decision module and its hosts.

A host reads its settings into `DeploymentSettings` and passes them, a seed and itself as `Host` to the decision module.
From then on it calls the module for every event. Times are whole nanoseconds, rates are in kB/s.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MS = 1_000_000
"""Nanoseconds in a millisecond."""
SECOND = 1_000_000_000
"""Nanoseconds in a second."""


class Effect(Enum):
    """What it means if a set-up of a plan runs twice.

    FREE: nothing, it may be repeated. KEYED: nothing where the same key is recognised, see `KeyScope`. PAID: the viewer
    is charged again, so it must not be repeated.
    """

    FREE = "free"
    KEYED = "keyed"
    PAID = "paid"


class Group(Enum):
    """Nodes that recognise the key of a repeated set-up: all, those of the same zone, or those of the same cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Listing(Enum):
    """Status of a playout node on the node list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a node list came: as changes, whole, as kept from an earlier run, or not at all."""

    CHANGES = "changes"
    WHOLE = "whole"
    KEPT = "kept"
    FAILED = "failed"


class Outcome(Enum):
    """How a setup try, or the playback that it started, ended.

    After FULL, NO_CONNECTION and NOT_SENT it is certain that the try did not run.
    """

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not sent"


class Note(Enum):
    """Kind of a value that is reported about a playing playback."""

    DELIVERED = "delivered share"
    RUNG = "rung in force"
    LINK_ASKED = "asked of the link"
    UPLINK_ASKED = "asked of the rack's uplink"


@dataclass(frozen=True, eq=False)
class Plan:
    """A plan, with the terms its viewers were promised.

    Two plans are equal if they are versions of the same plan, so that their seats count together.
    """

    effect: Effect
    group: Group  # which nodes recognise a key
    key_lasts: int  # how long nodes recognise a key
    startup_target: int  # time within which a set-up should succeed
    revenue: float  # earned by a playback on the highest rung
    floor: int  # lowest rung
    top: int  # highest rung
    seats: int  # playbacks of the plan on one title at the same time; 0: any number
    rate_factor: float  # factor on the rates of the rungs
    shares_stream: bool  # whether playbacks of one title on one node share a stream
    family: int = -1  # the same for all versions of a plan; -1: it has only one

    def __eq__(self, other: object) -> bool:
        """Whether both are the same object or versions of one plan."""
        return self is other or (isinstance(other, Plan) and self.family == other.family >= 0)

    def __hash__(self) -> int:
        """Hash that is equal for all versions of a plan."""
        return self.family if self.family >= 0 else id(self)


@dataclass(frozen=True, eq=False)
class Terms:
    """Settings of a deployment, as far as the decision module reads them."""

    fronts: int  # number of front ends
    front: int  # index of this front end, from 0
    must_follow: bool  # whether the module has to subscribe to the node list
    ask_within: int  # time limit for renewing a lost subscription
    cells: int  # number of cells
    racks: int  # number of racks; the rack of a node is its cell modulo this
    rates: tuple[float, ...]  # rates of the ladder's rungs, kB/s, lowest first
    rung_worth: tuple[float, ...]  # share of a plan's revenue earned at each rung
    uplink: float  # capacity of a rack's uplink, kB/s; 0: unlimited
    join_adds: float  # share of its rate that a playback adds when it joins a running stream
    seen_after: int  # age of a node's reports on arrival
    reports_every: int  # time between two load reports of a node; 0: it sends none
    most_tries: int  # setup tries per playback
    stay_away_most: int  # longest time for which a rejected viewer is asked to stay away
    cold_share: float  # share of the full setup pace that a node bears at its start
    cold_for: int  # how long a node is cold after its start
    fall_multiple: float  # setup rate that overloads a warm node, in its playback capacity per cold duration
    fall_window: int  # window over which that rate is taken
    tries_free: float | None  # retries allowed in a window in any case; None: no budget
    tries_share: float  # retries allowed besides, per request in the window
    tries_window: int  # window of the retry budget


class Fading:
    """Sum with exponential decay, updated on access.

    All calls on one instance have to pass the same half-life.
    """

    def __init__(self) -> None:
        """Starts at 0."""
        self.sum, self.at = 0.0, 0

    def read(self, now: int, half: int) -> float:
        """Returns the sum, decayed up to `now` with a half-life in ns."""
        if now > self.at:
            self.sum *= 0.5 ** ((now - self.at) / half)
            self.at = now
        return self.sum

    def add(self, amount: float, now: int, half: int) -> None:
        """Adds an amount, which may be negative; the sum stays at least 0."""
        self.sum = max(0.0, self.read(now, half) + amount)

    def clear(self) -> None:
        """Sets the sum to 0."""
        self.sum = 0.0


class State(Enum):
    """State of a playback."""

    ARRIVED = "arrived"
    SETTING_UP = "setting up"
    BETWEEN = "between tries"
    PLAYING = "playing"
    CLOSED = "closed, its try still out"
    ENDED = "ended"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Rack:
    """Nodes behind one uplink, the rate that they carry in kB/s, and how far the uplink's load is underestimated."""

    def __init__(self) -> None:
        """An empty rack without load."""
        self.nodes: list[Node] = []
        self.carried, self.lately = 0.0, [0.0]
        self.tight, self.logged = 1.0, False


class Node:
    """A playout node, with what one front end was told and has inferred about it."""

    def __init__(self, name: str) -> None:
        """A node that is not listed yet."""
        self.name, self.zone, self.cell = name, "", 0
        self.kind, self.tags = "", frozenset[str]()
        self.listing, self.started_at = Listing.GONE, 0
        self.link, self.places = 1.0, 0.0
        self.rack = Rack()
        self.playbacks: dict[Playback, None] = {}
        self.waiting: dict[Playback, int] = {}  # set-ups without an answer, by when they were sent
        self.own: deque[tuple[int, float]] = deque()  # time and kB/s of own changes of its load
        self.heard, self.reported, self.reported_at = False, 0.0, 0
        self.told = False  # the last report came from another front end
        self.reports = False  # its load was reported at some time, not only inferred
        self.level = 0.0  # load of its link, estimated for now
        self.short, self.short_at = 1.0, 0  # delivered share as last reported
        self.samples: list[float] = []  # load at the ends of the last sample intervals
        self.forecast = 0.0
        self.distrust, self.out = Fading(), False
        self.failed_at = 0  # time of the last failure that suggests a restart
        self.handed_over = False  # a playback handed over to this front end at its start plays here
        self.slot, self.slot_used = -1, 0  # last time slot of the cold pace, and set-ups sent in it


class Title:
    """A title that viewers watch, the cells that hold it, and the seats taken in each plan."""

    def __init__(self, name: str, home: int, copies: int) -> None:
        """A title held by `copies` cells from `home_cell` on; 0 copies: by all cells."""
        self.name, self.home, self.copies = name, home, copies
        self.seats: dict[Plan, int] = {}  # seats taken in each plan
        self.played = False  # on any node; proves that the title exists
        self.holders: list[Node] = []
        self.known = -1  # version of the node list that `holders` was computed from; -1: none
        self.named: frozenset[str] | None = None  # names of its holders; None: the nodes in its cells
        self.rates: tuple[float, ...] = ()  # of its own rungs, kB/s; empty: those of the deployment


class Playback:
    """A viewer's request, and the playback that results from it."""

    def __init__(self, title: Title, plan: Plan, top: int, abandon: int, moved: bool) -> None:
        """A request that has arrived.

        Its highest rung is `top_rung` within the plan's bounds; the viewer gives up at `abandon_at`. A request that
        `comes_from_move` is not rejected in the band.
        """
        self.title, self.plan, self.abandon, self.moved = title, plan, abandon, moved
        self.top = max(plan.floor, min(top, plan.top))
        self.state = State.ARRIVED
        self.rung = plan.floor
        self.node: Node | None = None
        self.tries: list[tuple[Node, int]] = []  # node and send time of each setup try
        self.may_have_run: list[tuple[Node, int]] = []  # the failed tries that may have run all the same
        self.changed_at = 0  # time of the last change of its rung
        self.fresh = False  # the next report of its link's load is not delayed
        # The playback that this one, a copy on another node, is to replace; it plays on meanwhile.
        self.beside: Playback | None = None
        self.admits: Callable[[Node], bool] | None = None  # the nodes it may use; None: all holders


@dataclass(frozen=True)
class Entry:
    """Entry of the node list; capacities as in `Node`."""

    node: Node
    listing: Listing
    started_at: int
    link: float
    places: float


class Host(Protocol):
    """What the decision module asks of its host; the calls come while the host is calling the module."""

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try; one that is unanswered at `abandon_at` has to end as LATE."""
        ...

    def reject(self, pb: Playback, stay_away: int) -> None:
        """Rejects a request; the viewer should not come back for `retry_after_ns`."""
        ...

    def abort(self, pb: Playback) -> None:
        """Ends a request whose set-up may have run."""
        ...

    def set_rung(self, pb: Playback, rung: int) -> None:
        """Changes the rung of a playback, or of the set-up to come."""
        ...

    def alarm(self, at: int) -> None:
        """Has `Controller.on_timer` called at a time."""
        ...

    def follow(self) -> None:
        """Subscribes to the node list."""
        ...

    def log(self, line: str) -> None:
        """Writes a log line."""
        ...
