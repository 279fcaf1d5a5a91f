"""Types shared by the decision module and its hosts.

A host reads its settings into `DeploymentSettings` and creates the controller of the decision module (choice.py) from
them, a seed and itself as `Host`. From then on it calls the controller for every event. Times are whole nanoseconds,
rates are in kB/s.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

MS = 1_000_000
"""Nanoseconds in a millisecond."""
SECOND = 1_000_000_000
"""Nanoseconds in a second."""


class Effect(Enum):
    """Effect of a second run of a set-up.

    FREE: none, so it may be repeated. KEYED: none on nodes that recognise its key, see `KeyScope`. PAID: the viewer is
    charged again, so it must not be repeated.
    """

    FREE = "free"
    KEYED = "keyed"
    PAID = "paid"


class KeyScope(Enum):
    """Nodes that recognise the key of a repeated set-up: all, those of the same zone, or those of the same cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeStatus(Enum):
    """Status of a playout node on the node list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class NodeListKind(Enum):
    """Kind of a received node list: changes, a whole list, one kept from an earlier run, or a failed subscription."""

    CHANGES = "changes"
    WHOLE = "whole"
    KEPT = "kept"
    FAILED = "failed"


class Outcome(Enum):
    """How a setup try, or the playback that it started, ended.

    FULL, NO_CONNECTION and NOT_SENT prove that the try did not run.
    """

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not sent"


class PlaybackMetric(Enum):
    """Kind of a value that is reported for a playing playback."""

    DELIVERED_SHARE = "delivered share"
    RUNG = "rung in force"
    LINK_LOAD = "asked of the link"
    UPLINK_LOAD = "asked of the rack's uplink"


@dataclass(frozen=True, eq=False)
class Plan:
    """A version of a plan: the service that its viewers get.

    Two plans are equal if they are versions of the same plan, so that their seats are counted together.
    """

    effect: Effect
    key_scope: KeyScope  # nodes that recognise the key of a set-up sent to one of them
    key_ttl_ns: int  # how long they recognise it
    startup_target_ns: int  # time within which a set-up should succeed
    revenue: float  # revenue of a playback on the highest rung
    floor: int  # lowest rung
    top_rung: int  # highest rung
    seats: int  # largest number of concurrent playbacks of the plan on one title; 0: no limit
    rate_factor: float  # factor on the rates of the rungs
    shares_stream: bool  # whether playbacks of one title on one node share a stream
    family_id: int = -1  # the same for all versions of a plan; -1: it has only one

    def __eq__(self, other: object) -> bool:
        """Whether both are the same object or versions of one plan."""
        return self is other or (isinstance(other, Plan) and self.family_id == other.family_id >= 0)

    def __hash__(self) -> int:
        """Hash that is equal for all versions of a plan."""
        return self.family_id if self.family_id >= 0 else id(self)


@dataclass(frozen=True, eq=False)
class DeploymentSettings:
    """Settings of a deployment, as far as the decision module reads them."""

    front_count: int  # number of front ends
    front_index: int  # index of this front end, from 0
    must_subscribe: bool  # whether the decision module has to subscribe to the node list
    subscribe_within_ns: int  # time limit for renewing a lost subscription
    cell_count: int  # number of cells, the groups of nodes by which titles are placed
    rack_count: int  # number of racks; the rack of a node is its cell modulo this
    rung_rates: tuple[float, ...]  # rates of the rungs of the quality ladder, kB/s, lowest first
    rung_revenue_shares: tuple[float, ...]  # share of a plan's revenue earned at each rung
    uplink_capacity: float  # capacity of a rack's uplink, kB/s; 0: unlimited
    join_rate_share: float  # share of its rate that a playback adds to the load if it joins a running stream
    report_delay_ns: int  # age of a node's reports on arrival
    report_interval_ns: int  # time between two load reports of a node; 0: it sends none
    max_tries: int  # setup tries allowed per playback
    max_retry_after_ns: int  # longest Retry-After of a rejection
    cold_pace_share: float  # share of the full setup pace that a node can take at its start
    cold_duration_ns: int  # how long a node is cold after its start
    # Setup rate that overloads a warm node, as a multiple of its playback capacity per cold duration.
    overload_multiple: float
    overload_window_ns: int  # window over which that rate is measured
    retry_budget_base: float | None  # retries allowed in a window in any case; None: no budget
    retry_budget_share: float  # additional retries allowed per request in the window
    retry_budget_window_ns: int  # window of the retry budget


class DecayingSum:
    """Sum with exponential decay, updated on access.

    Every call on one instance has to pass the same half-life.
    """

    def __init__(self) -> None:
        """Starts at 0."""
        self.value = 0.0
        self.updated_at = 0

    def read(self, now: int, half_life_ns: int) -> float:
        """Returns the sum, decayed up to `now` with a half-life in ns."""
        if now > self.updated_at:
            self.value *= 0.5 ** ((now - self.updated_at) / half_life_ns)
            self.updated_at = now
        return self.value

    def add(self, amount: float, now: int, half_life_ns: int) -> None:
        """Adds an amount, which may be negative; the sum stays at least 0."""
        self.value = max(0.0, self.read(now, half_life_ns) + amount)

    def clear(self) -> None:
        """Sets the sum to 0."""
        self.value = 0.0


class PlaybackState(Enum):
    """State of a playback."""

    ARRIVED = "arrived"
    SETTING_UP = "setting up"
    BETWEEN_TRIES = "between tries"
    PLAYING = "playing"
    VIEWER_LEFT = "closed, its try still out"
    ENDED = "ended"
    REJECTED = "rejected"
    ABORTED = "aborted"


class LoadEstimator(Protocol):
    """Computes the estimated loads that a change of the node list has made outdated, when they are next read.

    So a change of one node costs the same in any fleet. A value is outdated if its version differs from the present one.
    """

    link_load_version: int
    carried_rate_version: int

    def link_load(self, node: Node) -> float:
        """Load of a node's link at the time of the last change, demand over capacity."""
        ...

    def carried_rate(self, rack: Rack) -> float:
        """Rate that the links of a rack's nodes carry, kB/s."""
        ...


class Rack:
    """Nodes behind one uplink, the rate that they carry, and how far the uplink's load is underestimated."""

    def __init__(self, load_estimator: LoadEstimator | None = None) -> None:
        """Starts without nodes and load."""
        self.nodes: dict[Node, None] = {}  # the listed ones
        self.load_estimator = load_estimator
        self._carried_rate = 0.0
        self._carried_rate_version = 0
        self.recent_carried_rates = [0.0]  # `carried_rate` at the ends of the last sample intervals
        self.uplink_correction = 1.0  # factor on the estimated load of the uplink
        self.logged_as_overloaded = False  # whether its uplink was last logged as overloaded

    @property
    def carried_rate(self) -> float:
        """Estimated rate that the links of its nodes carry, kB/s."""
        estimator = self.load_estimator
        if estimator is not None and self._carried_rate_version != estimator.carried_rate_version:
            self.carried_rate = estimator.carried_rate(self)
        return self._carried_rate

    @carried_rate.setter
    def carried_rate(self, carried_rate: float) -> None:
        """Sets the rate, which is up to date from now on."""
        self._carried_rate = carried_rate
        if self.load_estimator is not None:
            self._carried_rate_version = self.load_estimator.carried_rate_version


class Node:
    """A playout node, with what is reported to one front end and what the front end infers about it."""

    def __init__(self, name: str) -> None:
        """Starts as a node that is not listed yet."""
        # From the node list.
        self.name = name
        self.zone = ""
        self.cell = 0
        self.kind = ""
        self.tags = frozenset[str]()
        self.status = NodeStatus.GONE
        self.started_at = 0
        self.link_capacity = 1.0  # kB/s
        self.playback_capacity = 0.0  # number of playbacks
        self.rack = Rack()
        # Own playbacks.
        self.playbacks: dict[Playback, None] = {}
        self.pending_setups: dict[Playback, int] = {}  # send time of each set-up without an answer
        self.own_rate_changes: deque[tuple[int, float]] = (
            deque()
        )  # time and kB/s of each own change of its load
        self.has_handed_over_playback = False  # whether one handed over at the front end's start plays here
        # Load of its link: demand over capacity.
        self.load_known = False  # whether a report of it is fresh
        self.reported_load = 0.0
        self.load_reported_at = 0
        self.load_from_peer = False  # whether the last report came from another front end
        self.has_reported_load = False  # whether its load was ever reported and not only inferred
        self.load_estimator: LoadEstimator | None = None  # set when it is first listed
        self._estimated_load = 0.0
        self._estimated_load_version = 0
        self.load_samples: list[float] = []  # load at the ends of the last sample intervals
        self.load_forecast = 0.0  # for the end of the next sample interval
        # Delivery.
        self.delivered_share = 1.0  # delivered share of the streams' rate, as last reported
        self.short_delivery_at = 0  # time of the last report of short delivery
        # Failures and the cold pace.
        self.failure_score = DecayingSum()
        self.failed_at = 0  # time of the last failure that suggests a restart
        self.logged_as_unhealthy = False  # whether it was last logged as unhealthy
        self.cold_slot = -1  # last time slot of the cold pace with set-ups
        self.cold_slot_setups = 0  # set-ups sent in it

    @property
    def estimated_load(self) -> float:
        """Load of its link for the present moment, demand over capacity."""
        self.refresh_estimated_load()
        return self._estimated_load

    @estimated_load.setter
    def estimated_load(self, estimated_load: float) -> None:
        """Sets the load, which is up to date from now on."""
        self._estimated_load = estimated_load
        if self.load_estimator is not None:
            self._estimated_load_version = self.load_estimator.link_load_version

    def refresh_estimated_load(self) -> None:
        """Estimates its load anew if a change of the node list has made the estimate outdated."""
        estimator = self.load_estimator
        if estimator is not None and self._estimated_load_version != estimator.link_load_version:
            self.estimated_load = estimator.link_load(self)


class Placement(NamedTuple):
    """The cells that hold a title: `copies` cells in a row from `home_cell` on, or all cells with 0 copies."""

    home_cell: int
    copies: int


RankedHolder = tuple[bytes, Node]
"""Digest of a title and a node, by which the holders of the title are sorted, and the node."""


@dataclass(eq=False, slots=True)
class HolderOrder:
    """The first holders of a title in one placement, in the order in which they are tried."""

    first: list[RankedHolder]
    last_digest: bytes
    """All holders with a digest up to this one are among the first."""
    version: int
    """Version of the node list that it belongs to."""
    remaining_version: int = -1
    """Version of the node list for which the other holders were last computed; -1: none."""


class Title:
    """A title that viewers watch, the cells that hold it, and the seats taken in each plan."""

    def __init__(self, name: str, home_cell: int, copies: int) -> None:
        """Creates a title that is held by `copies` cells from `home_cell` on, or by all cells with 0 copies."""
        self.name = name
        self.home_cell = home_cell
        self.copies = copies
        self.seats_taken: dict[Plan, int] = {}  # seats taken in each plan
        self.has_played = False  # whether it ever played, which proves that it exists
        self.is_placed = False  # whether the configuration or the catalogue says where it is
        # Both by the cells of the placement; None for the holders in `holder_names`.
        self.holder_orders: dict[Placement | None, HolderOrder] = {}
        self.played_placements: dict[Placement | None, None] = {}  # where it has played last, oldest first
        self.holder_names: frozenset[str] | None = None  # names of its holders; None: the nodes in its cells
        self.rung_rates: tuple[float, ...] = ()  # of its own rungs, kB/s; empty: those of the deployment


class Playback:
    """A viewer's request, and the playback that results from it."""

    def __init__(
        self,
        title: Title,
        plan: Plan,
        top_rung: int,
        abandon_at: int,
        comes_from_move: bool,
        requested_placement: Placement | None = None,
    ) -> None:
        """Creates the playback of a request that has arrived.

        Its highest rung is `top_rung` within the plan's bounds; the viewer gives up at `abandon_at`. A request that
        `comes_from_move` is not rejected in the band (T1 to T2, see choice.py). `requested_placement` is where the
        request says that its title is; it holds for this playback alone.
        """
        self.title = title
        self.plan = plan
        self.abandon_at = abandon_at
        self.comes_from_move = comes_from_move
        self.top_rung = max(plan.floor, min(top_rung, plan.top_rung))
        self.state = PlaybackState.ARRIVED
        self.rung = plan.floor
        self.node: Node | None = None
        self.tries: list[tuple[Node, int]] = []  # node and send time of each setup try
        self.may_have_run: list[tuple[Node, int]] = []  # failed tries that may have run on the node
        self.rung_changed_at = 0  # time of the last change of its rung
        self.next_link_load_is_current = False  # the next report of its link's load is not delayed
        # The playback that this one, a copy on another node, will replace; it continues to play meanwhile.
        self.copy_of: Playback | None = None
        self.node_filter: Callable[[Node], bool] | None = None  # the nodes it may use; None: all holders
        self._requested_placement = requested_placement

    @property
    def own_placement(self) -> Placement | None:
        """Where its request says that its title is; None if it does not say, or the title has a place."""
        return None if self.title.is_placed else self._requested_placement

    @property
    def placement(self) -> Placement:
        """The cells that hold its title."""
        return self.own_placement or Placement(self.title.home_cell, self.title.copies)


@dataclass(frozen=True)
class NodeEntry:
    """Entry of the node list; capacities as in `Node`."""

    node: Node
    status: NodeStatus
    started_at: int
    link_capacity: float
    playback_capacity: float


class Host(Protocol):
    """Host of the decision module; its methods are called while the host calls the module."""

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try; if it is unanswered at `abandon_at`, it has to end as LATE."""
        ...

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Rejects a request; the viewer should not retry for `retry_after_ns`."""
        ...

    def abort(self, playback: Playback) -> None:
        """Ends a request whose set-up may have run."""
        ...

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Changes the rung of a playback, or of its next set-up."""
        ...

    def set_timer(self, at: int) -> None:
        """Schedules a call of `Controller.on_timer` at a time."""
        ...

    def subscribe_to_nodes(self) -> None:
        """Subscribes to the node list."""
        ...

    def log(self, message: str) -> None:
        """Writes a log line."""
        ...
