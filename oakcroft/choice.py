"""Decision module of a front end: admits playbacks, places them on playout nodes and sets their rungs.

A rung is one rate of the quality ladder.

A host (types and protocols in `oakcroft/interface.py`) creates one `Controller` per front end from its
`DeploymentSettings`, a seed and itself, and calls the controller's event methods for every event. The controller
answers by calling the host within the same call. Times are whole nanoseconds, rates are in kB/s.

Admission follows the paper's SA2C (session-aware admission control, docs/design.md):

- `_end_interval` samples the load of every node, fits a line to the samples to predict the next one, and blends the
  predicted and the measured cluster load into x. It then moves the thresholds T2 and T3 and steps the rungs of
  playbacks that play.
- `on_request` rejects a request with a probability that rises from 0 to 1 while x is in the band from T1 to T2.
- `_place` picks the holder of the title and the start rung.

Mechanisms beyond the paper, of which there are to be no more than six:

1. Failure score: a node with failed or unanswered set-ups gets no more of them until its score has decayed.
2. Cold pace: a node that may have just started gets set-ups only in this front end's time slots, or with a small
   probability.
3. Tries: what an outcome proves, when a retry may follow, and how long a try may take.
4. Uplink correction: reports of short delivery raise the estimated load of a node, or of its rack's uplink, above
   what load reports can express.
5. Sampling: a front end sees a sample of the traffic. It extrapolates its own set-ups, losses and rung steps to the
   other front ends, assumes a load for links that report none, and tries nodes without reports last, with a
   probability that grows with their number.
6. Evenness: no playback starts at, or steps up to, more than about one rung above what plays already.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from oakcroft.decisions.routing.holder_order import HolderOrders
from oakcroft.decisions.routing.listed_nodes import ListedNodes
from oakcroft.interface import (
    MS,
    SECOND,
    DecayingSum,
    DeploymentSettings,
    Effect,
    Host,
    KeyScope,
    Node,
    NodeEntry,
    NodeListKind,
    NodeStatus,
    Outcome,
    Playback,
    PlaybackMetric,
    PlaybackState,
    Rack,
)

# Parameters that the paper leaves open.

SAMPLE_INTERVAL_NS = SECOND
"""Time between two load samples."""
FORECAST_SAMPLES = 5
"""Number of samples in the linear fit."""
ALPHA = 0.95
"""The paper's alpha: weight of the mean in the cluster load, against the variance."""
T1 = 0.92
"""Load x from which requests are rejected; T1 to T2 is the band in which only some are."""
T2 = 1.30
"""Load x from which all requests are rejected; start value of a threshold that moves towards T1 under overload."""
T3 = 1.02
"""Load from which rungs are stepped down; start value, moves like T2."""
MAX_SAMPLED_LOAD = 1.50
"""The paper's C: cap of a sampled load."""
MAX_THRESHOLD_MOVE = 0.10
"""Largest move of T2 or T3 per interval, as a share of its distance to T1."""
LINK_LOAD_LIMIT = 0.90
"""Largest load that a set-up may bring a link to."""
UPPER_RUNG_LOAD_LIMIT = 0.70
"""The same for starts in the upper half of the ladder and for steps up; well below T3, so that no step down follows."""
STEP_UP_DELAY_NS = 8 * SECOND
"""Least time from a playback's change of rung to its next step up."""
MAX_STEP_UP_SHARE = 0.15
"""Largest share of a node's playbacks that is stepped up per interval."""
MAX_STEP_DOWN_SHARE = 0.25
"""Largest share of a node's playbacks that is stepped down per interval."""
STEP_UP_RUNG_MARGIN = 0.5
"""A playback steps up only if its rung is at most this much above the mean rung."""

# Failure score.

FAILURE_SCORE_HALF_LIFE_NS = 4 * SECOND
"""Half-life of a node's failure score."""
FAILURE_SCORE_LIMIT = 0.7
"""Score from which a node gets no set-ups."""
FAILED_TRY_SCORE = 1.0
"""Added to the score for a try that failed or got no answer, and for a node that stopped delivering."""
ERROR_SCORE = 0.4
"""Added to the score for a try that was answered with an error."""
RESTART_SUSPECT_SCORE = 1
"""Score past which an unanswered try counts as a sign that the node has restarted."""
MAX_ANSWER_DELAY_NS = 600 * MS
"""A set-up that is unanswered for longer counts against its node."""

# Tries.

RETRYABLE_TRY_SHARE = 0.4
"""Time limit of a try that another may follow, as a share of the startup target."""
TRY_END_MARGIN_NS = 10 * MS
"""Time left for the answer between the end of a try and the moment its viewer gives up."""
RETRY_MARGIN_NS = 20 * MS
"""Time before the viewer gives up in which no retry starts."""
HOLDERS_COMPARED = 2
"""Number of holders with room of which the less loaded one is chosen."""
MIN_PLAYBACKS_FOR_MEAN_RUNG = 3
"""Playbacks on a node from which their mean rung counts; with fewer, that of this front end does."""

# Cold pace.

UPTIME_UNKNOWN_NS = 6 * SECOND
"""Time after its start in which a front end can't know which nodes are warm (no longer cold)."""
COLD_SLOT_BUDGET_SHARE = 0.45
"""Share of the overload budget that a time slot gets; under half, since an overload window may overlap two slots."""
MIN_SETUP_PACE = 1e-15
"""Set-ups per ns: lower bound that avoids a division by zero."""
MIN_BUDGET_FOR_RANDOM_SETUPS = 4
"""Set-ups allowed in a time slot from which front ends may also send at random outside their own slots."""
DEMAND_SKEW = 3
"""Assumed demand for the node in question, as a multiple of the mean over the title's holders."""
SLOT_USED_UP = 1 << 30
"""Recorded as the number of set-ups in a slot that is used up."""

# Load reports.

TRY_REPORT_AGE_NS = 300 * MS
"""Age of a load report that comes with the outcome of a try."""
REPORT_TOLERANCE_NS = 2 * SECOND
"""Lateness from which a load report is stale."""
CAPPED_LOAD_THRESHOLD = 0.99
"""Load from which a report that is capped at 1 may stand for any higher load."""
DEFAULT_ASSUMED_LOAD = 0.7
"""Load assumed for a link while no link has reported its load."""
MEAN_LOAD_WEIGHT_FRONTS = 4
"""Number of front ends at which the assumed load weighs as much as one front end's extrapolation."""
OWN_CHANGES_KEPT_NS = 8 * SECOND
"""How long own changes of a node's load are kept; longer than the age of any report in use."""
OWN_RATE_HISTORY_LENGTH = 12
"""Number of interval ends for which the rate of own playbacks is kept."""

# Short delivery.

SHORT_DELIVERY_SHARE = 0.98
"""Delivered share under which delivery is short."""
STALLED_DELIVERY_SHARE = 0.2
"""Delivered share under which a node counts as having stopped delivering."""
SHORT_DELIVERY_VALID_NS = 2 * SECOND
"""How long a report of short delivery is valid."""
INFERRED_LOAD_MARGIN = 0.05
"""Excess over the known load from which a load inferred from short delivery counts."""
EXPLAINED_LOAD_MARGIN = 0.1
"""Largest gap between a link's load and the load inferred from short delivery at which the link explains it."""
MIN_NODES_TO_COMPARE = 2
"""Nodes of a rack that have to play before their shares are compared."""
RECENT_SAMPLES = 3
"""Number of recent interval ends that a late report of short delivery may describe."""
MAX_CARRIED_LOAD = 1.2
"""Cap of a link's load in the load of its rack's uplink; a link above it has lost capacity and carries no more."""
MAX_UPLINK_CORRECTION = 2.0
"""Upper bound of a rack's uplink correction."""
MIN_UPLINK_CORRECTION = 0.5
"""Lower bound of a rack's uplink correction."""
LOGGED_UPLINK_CORRECTION = 1.1
"""Uplink correction from which the rack is logged as overloaded."""
UPLINK_CORRECTION_DECAY = 0.94
"""Factor by which each interval lowers the correction of a loaded uplink without short delivery."""


STATE_TRANSITIONS = {
    PlaybackState.ARRIVED: {
        PlaybackState.SETTING_UP,
        PlaybackState.PLAYING,
        PlaybackState.REJECTED,
        PlaybackState.ABORTED,
        PlaybackState.ENDED,
    },
    PlaybackState.SETTING_UP: {
        PlaybackState.PLAYING,
        PlaybackState.BETWEEN_TRIES,
        PlaybackState.VIEWER_LEFT,
        PlaybackState.ENDED,
    },
    PlaybackState.BETWEEN_TRIES: {PlaybackState.SETTING_UP, PlaybackState.REJECTED, PlaybackState.ABORTED},
    PlaybackState.PLAYING: {PlaybackState.VIEWER_LEFT, PlaybackState.ENDED},
    PlaybackState.VIEWER_LEFT: {PlaybackState.ENDED},
}
"""Allowed transitions of a playback's state; states without an entry are final."""
SEAT_HOLDING_STATES = {PlaybackState.SETTING_UP, PlaybackState.PLAYING, PlaybackState.VIEWER_LEFT}
"""States in which a playback holds a seat and adds to its node's load."""


@dataclass(frozen=True)
class LoadBasis:
    """What the estimates of all links' loads have in common at one time; rates in kB/s."""

    assumed_load: float
    own_rate: float
    own_rate_history: tuple[tuple[int, float], ...]
    total_link_capacity: float


class Controller:
    """Takes the decisions of one front end; its host calls the public methods, one at a time."""

    def __init__(self, settings: DeploymentSettings, seed: int, host: Host, now: int) -> None:
        """Starts at `now`: subscribes to the node list where the settings require it, and sets the first timer."""
        self.settings = settings
        self.host = host
        self.rng = Random(seed)
        self.started_at = now
        self.interval_ends_at = now + SAMPLE_INTERVAL_NS
        # Node list.
        self.link_load_version = 0  # incremented when the loads of all links are estimated anew
        self.carried_rate_version = 0  # incremented with each list or change applied
        self.racks = [Rack(self) for _ in range(settings.rack_count)]
        self.listed = ListedNodes(settings.cell_count, self.racks)
        self.nodes = self.listed.nodes
        self.holder_orders = HolderOrders(self.listed)
        self.subscribed_at = now  # time of the last request to subscribe
        self.is_subscribed = False
        self.total_link_capacity = 1.0
        # Cluster load and thresholds.
        self.t2 = T2
        self.t3 = T3
        self.x = 0.0
        self.prediction_error = 1.0
        self.predicted_load = 0.0
        self.mode = "open"  # as last logged
        # Load of links without reports.
        self.assumed_load = DEFAULT_ASSUMED_LOAD  # the mean of the links with reports, once there are any
        self.assumed_load_is_measured = False
        self.max_report_age_ns = settings.report_interval_ns + settings.report_delay_ns + REPORT_TOLERANCE_NS
        self.unreported_weight = 0.0  # near 0 if most nodes report their load, near 1 if most do not
        # Own playbacks and requests.
        self.mean_rung = self._middle_rung()
        self.own_rate = 0.0
        self.own_rate_history = deque([(now, 0.0)], maxlen=OWN_RATE_HISTORY_LENGTH)
        self.recent_requests = DecayingSum()
        self.request_times = deque[int]()
        self.retry_times = deque[int]()
        self.load_basis = self._current_load_basis()
        self.peer_load = 0.0  # as last computed, from `peer_load_basis`
        self.peer_load_basis: tuple[float, tuple[int, float], float] | None = None
        if settings.must_subscribe:
            host.subscribe_to_nodes()
        host.set_timer(self.interval_ends_at)

    # Node list.

    def on_node_list(self, kind: NodeListKind, entries: Iterable[NodeEntry], now: int) -> None:
        """Applies the node list, or changes of it."""
        self.is_subscribed = kind in (NodeListKind.CHANGES, NodeListKind.WHOLE)
        if kind is NodeListKind.FAILED:
            return  # `on_timer` subscribes again
        missing = dict(self.nodes) if kind is not NodeListKind.CHANGES else {}
        changed = dict[Node, None]()
        for entry in entries:
            missing.pop(entry.node, None)
            self._apply_entry(entry, now)
            changed[entry.node] = None
        for node in missing:
            node.status = NodeStatus.GONE
        self.listed.update([*changed, *missing])
        self.total_link_capacity = max(1.0, self.listed.link_capacity)
        if not self.assumed_load_is_measured:
            self.assumed_load = self._initial_assumed_load()
            self.load_basis = self._current_load_basis()
            self.link_load_version += 1
        self.carried_rate_version += 1

    def _apply_entry(self, entry: NodeEntry, now: int) -> None:
        """Applies one entry of the node list."""
        node = entry.node
        # The start time never goes back, so that a late list can't make a node warm, and is never in the future, so
        # that a clock ahead of ours can't keep it cold for ever.
        started_at = min(entry.started_at, now)
        if started_at > node.started_at:  # a new process; nothing known of the old one applies to it
            node.failure_score.clear()
            # The new process has no load. Where most nodes report nothing, all front ends would choose it for that,
            # so only some of them take its load as known.
            node.load_known = self.rng.random() >= self.unreported_weight
            node.reported_load = 0.0
            node.load_reported_at = now
            node.has_handed_over_playback = False
        node.status = entry.status
        node.started_at = max(node.started_at, started_at)
        node.link_capacity = max(1.0, entry.link_capacity)
        node.playback_capacity = entry.playback_capacity
        node.load_estimator = self
        node.estimated_load = self._estimate_link_load(node)
        node.rack = self.racks[node.cell % self.settings.rack_count]

    def _holders(self, playback: Playback) -> Iterator[Node]:
        """Nodes that hold a playback's title, in the order that is the same on all front ends."""
        return self.holder_orders.holders(playback.title, playback.placement)

    # Load.

    def _playback_rate(self, playback: Playback, rung: int) -> float:
        """Rate of a playback at a rung, in kB/s."""
        rates = playback.title.rung_rates or self.settings.rung_rates
        return rates[min(rung, len(rates) - 1)] * playback.plan.rate_factor

    def _added_rate(self, playback: Playback, node: Node, rung: int) -> float:
        """Rate that a set-up would add to a node, in kB/s; smaller where it joins a running stream."""
        if not node.playbacks:
            return self._playback_rate(playback, rung)
        running = ((other.title, other.plan, other.rung) for other in node.playbacks)
        joins = playback.plan.shares_stream and (playback.title, playback.plan, rung) in running
        return self._playback_rate(playback, rung) * (self.settings.join_rate_share if joins else 1.0)

    def _current_load_basis(self) -> LoadBasis:
        """What the loads of all links are estimated from at this moment."""
        return LoadBasis(
            self.assumed_load, self.own_rate, tuple(self.own_rate_history), self.total_link_capacity
        )

    def link_load(self, node: Node) -> float:
        """Load of a node's link as of the last change of the node list that made it outdated."""
        return self._estimate_link_load(node, self.load_basis)

    def carried_rate(self, rack: Rack) -> float:
        """Rate that the links of a rack carry, kB/s."""
        return sum(min(node.estimated_load, MAX_CARRIED_LOAD) * node.link_capacity for node in rack.nodes)

    def _estimate_link_load(self, node: Node, basis: LoadBasis | None = None) -> float:
        """Demand on the link over its capacity, from the last report and own changes since then.

        `basis` is what all estimates have in common, by default as of now.
        """
        assumed_load = self.assumed_load if basis is None else basis.assumed_load
        if not node.load_known:
            own_rate = sum(self._playback_rate(playback, playback.rung) for playback in node.playbacks)
            # One front end of many sees too little of a node: the more there are, the more the assumed load counts.
            excess = own_rate * self.settings.front_count / node.link_capacity - assumed_load
            return assumed_load + excess / (1 + self.settings.front_count / MEAN_LOAD_WEIGHT_FRONTS)
        reported_at = node.load_reported_at
        own_change = sum(rate for at, rate in node.own_rate_changes if at > reported_at) / node.link_capacity
        return max(0.0, node.reported_load + own_change + self._unreported_load_of_peers(reported_at, basis))

    def _initial_assumed_load(self) -> float:
        """Load to assume for links while none has reported.

        Where the links of a rack exceed its uplink, the default load is taken for the uplink; otherwise racks would
        look full on an assumption alone. Drawback: a full fleet shows only by reports of short delivery.
        """
        if self.settings.uplink_capacity > 0:
            uplink_capacity = self.settings.uplink_capacity * self.settings.rack_count
            usable_share = uplink_capacity / self.total_link_capacity
        else:
            usable_share = 1.0
        return DEFAULT_ASSUMED_LOAD * min(1.0, usable_share)

    def _unreported_load_of_peers(self, since: int, basis: LoadBasis | None = None) -> float:
        """Link load that the other front ends have added since `since`, extrapolated from this one's own change.

        Covers crowds that arrive between two reports, and links that a loss has emptied while their last report
        reports them as full: any change that all front ends see alike. Drawback: viewers that move from one front end to
        another count as new.
        """
        own_rate = self.own_rate
        history: Sequence[tuple[int, float]] = self.own_rate_history
        total_link_capacity = self.total_link_capacity
        if basis is not None:
            own_rate, history = basis.own_rate, basis.own_rate_history
            total_link_capacity = basis.total_link_capacity
        earlier_rate = next((rate for at, rate in reversed(history) if at <= since), history[0][1])
        change = own_rate - earlier_rate
        typical_rate = self.settings.rung_rates[len(self.settings.rung_rates) // 2]
        confidence = abs(change) / (abs(change) + typical_rate)  # a single playback may be chance
        return confidence * change * (self.settings.front_count - 1) / total_link_capacity

    def _current_peer_load(self) -> float:
        """Link load that the other front ends have added since the last interval; kept while what it follows from stays.

        A set-up reads it for each holder that it looks at.
        """
        basis = (self.own_rate, self.own_rate_history[-1], self.total_link_capacity)
        if basis != self.peer_load_basis:
            self.peer_load_basis = basis
            self.peer_load = self._unreported_load_of_peers(self.own_rate_history[-1][0])
        return self.peer_load

    def _effective_load(self, node: Node, now: int, added_rate: float = 0.0) -> float:
        """Load that limits a playback on this node (the higher of link and uplink), with `added_rate` kB/s on top."""
        peer_load = self._current_peer_load()
        load = node.estimated_load + added_rate / node.link_capacity + peer_load
        if self.settings.uplink_capacity > 0:
            uplink_rate = (node.rack.carried_rate + added_rate) * node.rack.uplink_correction
            load = max(load, uplink_rate / self.settings.uplink_capacity + peer_load)
        return load

    def _add_own_rate_change(self, node: Node, rate_change: float, now: int) -> None:
        """Records a change of what a node carries, in kB/s, that no report covers yet."""
        carried_rate = node.rack.carried_rate
        estimated_load = node.estimated_load
        node.own_rate_changes.append((now, rate_change))
        while node.own_rate_changes[0][0] < now - OWN_CHANGES_KEPT_NS:
            node.own_rate_changes.popleft()
        node.estimated_load = max(0.0, estimated_load + rate_change / node.link_capacity)
        node.rack.carried_rate = carried_rate + rate_change

    def _record_link_load(
        self, node: Node, link_load: float, report_age_ns: int, now: int, is_inferred: bool = False
    ) -> None:
        """Records the load of a link as of `report_age_ns` ago.

        With `is_inferred` the node did not report it: it follows from a refusal or from short delivery.
        """
        if now - report_age_ns < node.load_reported_at and not node.load_from_peer:
            return
        earlier_load = node.estimated_load
        carried_rate = node.rack.carried_rate
        node.load_known = True
        node.reported_load = link_load
        node.load_reported_at = now - report_age_ns
        node.load_from_peer = False
        node.has_reported_load |= not is_inferred
        node.estimated_load = self._estimate_link_load(node)
        change = min(node.estimated_load, MAX_CARRIED_LOAD) - min(earlier_load, MAX_CARRIED_LOAD)
        node.rack.carried_rate = carried_rate + change * node.link_capacity

    def on_peer_load(self, node: Node, link_load: float, report_age_ns: int, now: int) -> None:
        """Records the load of a link that was reported to another front end `report_age_ns` ago.

        It counts only where this front end's own traffic no longer brings reports of the link, and the next own report
        replaces it.
        """
        max_age_ns = self.settings.report_interval_ns + REPORT_TOLERANCE_NS
        has_own_report = (
            node.load_known and not node.load_from_peer and now - node.load_reported_at <= max_age_ns
        )
        if not has_own_report and now - report_age_ns > (node.load_reported_at if node.load_known else 0):
            self._record_link_load(node, link_load, report_age_ns, now)
            node.load_from_peer = True

    def _record_uplink_load(self, rack: Rack, uplink_load: float) -> None:
        """Sets the uplink correction so that the estimated load of the uplink equals the reported one."""
        if rack.carried_rate > 0 and self.settings.uplink_capacity > 0:
            correction = uplink_load * self.settings.uplink_capacity / rack.carried_rate
            rack.uplink_correction = min(MAX_UPLINK_CORRECTION, max(MIN_UPLINK_CORRECTION, correction))

    def on_metric(self, playback: Playback, metric: PlaybackMetric, value: float, now: int) -> None:
        """Records a reported value of one playback; all but its rung describe its node or rack.

        Ignored where the playback holds no seat on a node: the report is late or early and can't be trusted.
        """
        node = playback.node
        if node is None or playback.state not in SEAT_HOLDING_STATES:
            return
        if metric is PlaybackMetric.RUNG:
            new_rate = self._playback_rate(playback, int(value))
            self._add_own_rate_change(node, new_rate - self._playback_rate(playback, playback.rung), now)
            playback.rung = int(value)
        elif metric is PlaybackMetric.LINK_LOAD:
            report_age_ns = 0 if playback.next_link_load_is_current else self.settings.report_delay_ns
            self._record_link_load(node, value, report_age_ns, now)
            playback.next_link_load_is_current = False
        elif metric is PlaybackMetric.UPLINK_LOAD:
            self._record_uplink_load(node.rack, value)
        elif metric is PlaybackMetric.DELIVERED_SHARE:
            self._record_delivered_share(node, value, now)

    def _record_delivered_share(self, node: Node, share: float, now: int) -> None:
        """Records what share of its playbacks' streams a node delivers, and the loads that follow from it."""
        if share < STALLED_DELIVERY_SHARE:
            # A full link still delivers part of the streams, so this node has stopped.
            node.failure_score.add(FAILED_TRY_SCORE, now, FAILURE_SCORE_HALF_LIFE_NS)
            return
        is_short = share < SHORT_DELIVERY_SHARE
        node.delivered_share = share
        node.short_delivery_at = now if is_short else node.short_delivery_at - SHORT_DELIVERY_VALID_NS
        is_short_by_link = self._is_short_by_own_link(node, now)
        inferred_load = 1 / max(share, STALLED_DELIVERY_SHARE)
        if is_short and is_short_by_link and inferred_load > node.estimated_load + INFERRED_LOAD_MARGIN:
            self._record_link_load(node, inferred_load, self.settings.report_delay_ns, now, is_inferred=True)

    def _is_short_by_own_link(self, node: Node, now: int) -> bool:
        """Whether the node's own link causes its short delivery; if not, raises the rack's uplink correction.

        An uplink limits all its nodes to the same share, so the node with the best share shows how far the uplink is
        overloaded. A node without neighbours is judged by whether the load of its link explains the short delivery.
        Covers uplinks with less than the mean capacity, which no load report shows, and any other bottleneck that
        several nodes share. Drawback: a rack whose links are all overloaded looks like an overloaded uplink until the
        correction has decayed.

        Only listed nodes count, as the rate that the uplink is taken to carry is theirs. Where none of them plays, which
        happens to a node that has left the list, nothing is known of the uplink: the node's own link is the cause.
        """
        rack = node.rack
        shares = [
            listed.delivered_share if now - listed.short_delivery_at < SHORT_DELIVERY_VALID_NS else 1.0
            for listed in rack.nodes
            if listed.playbacks
        ]
        best_share = max(shares, default=1.0)
        # The report is late and describes an earlier moment.
        carried_rate = max(rack.carried_rate, *rack.recent_carried_rates)
        link_load = max([node.estimated_load, *node.load_samples[-RECENT_SAMPLES:]])
        is_explained = (
            len(shares) < MIN_NODES_TO_COMPARE and 1 / best_share < link_load + EXPLAINED_LOAD_MARGIN
        )
        has_uplink_load = carried_rate > 0 and self.settings.uplink_capacity > 0
        if is_explained or best_share >= SHORT_DELIVERY_SHARE or not has_uplink_load:
            return True
        correction = self.settings.uplink_capacity / best_share / carried_rate
        rack.uplink_correction = min(MAX_UPLINK_CORRECTION, max(rack.uplink_correction, correction))
        return False

    # Sample interval.

    def on_timer(self, now: int) -> None:
        """Ends the sample interval and sets the timer for the next one.

        A timer that fires too early or twice is ignored: it would start a second chain of intervals.
        """
        if now < self.interval_ends_at - MS:
            return
        self.interval_ends_at = now + SAMPLE_INTERVAL_NS
        self._end_interval(now)
        is_due = now - self.subscribed_at >= self.settings.subscribe_within_ns // 2
        if self.settings.must_subscribe and is_due and not self.is_subscribed:
            self.subscribed_at = now
            self.host.subscribe_to_nodes()
        self.host.set_timer(self.interval_ends_at)

    def _end_interval(self, now: int) -> None:
        """Samples the loads, updates x and the thresholds, and steps rungs."""
        ready = [node for node in self.nodes if node.status is NodeStatus.READY]
        if not ready:
            return
        # A node that does not answer carries no load; counted as full, it would cause rejections elsewhere.
        healthy = [node for node in ready if self._is_healthy(node, now)] or ready
        self._log_health(ready, now)
        reporting = self._reporting_nodes(healthy, now)
        self._update_assumed_load(reporting, healthy)
        self._refresh_estimates(now)
        sampled = reporting or healthy
        self._sample_loads(sampled, now)
        self._relax_uplink_corrections(now)
        self._update_x(sampled, has_reports=bool(reporting))
        self._move_thresholds()
        self._adjust_rungs(healthy, now)

    def _reporting_nodes(self, nodes: list[Node], now: int) -> list[Node]:
        """Nodes with a fresh load report, or none where all known loads are inferred."""
        fresh = [
            node
            for node in nodes
            if node.load_known and now - node.load_reported_at <= self.max_report_age_ns
        ]
        # Where no node reports its load, the only known loads are those of links found full, which must not stand
        # for all others. Drawback: a fleet that is full as a whole is then discovered node by node.
        return fresh if any(node.has_reported_load for node in fresh) else []

    def _update_assumed_load(self, reporting: list[Node], nodes: list[Node]) -> None:
        """Updates the weight of missing reports, and the load assumed for links without one."""
        unreported_share = 1 - len(reporting) / len(nodes)
        # Near 0 if few nodes are without reports, near 1 if many are.
        self.unreported_weight = unreported_share**3 / (unreported_share**3 + (1 - unreported_share) ** 3)
        if reporting:
            self.assumed_load = sum(node.estimated_load for node in reporting) / len(reporting)
            self.assumed_load_is_measured = True

    def _refresh_estimates(self, now: int) -> None:
        """Records the rate of own playbacks and recomputes the estimated loads of all nodes and racks."""
        if now - self.started_at <= UPTIME_UNKNOWN_NS:
            self.own_rate_history.clear()
        self.own_rate_history.append((now, self.own_rate))
        self.listed.sum_link_capacity()
        self.total_link_capacity = max(1.0, self.listed.link_capacity)
        for node in self.nodes:
            if now - node.load_reported_at > self.max_report_age_ns:  # its reports have stopped
                node.load_known = False
                node.load_samples = []
            node.estimated_load = self._estimate_link_load(node)
        self.carried_rate_version += 1

    def _sample_loads(self, nodes: list[Node], now: int) -> None:
        """Adds a load sample to each node and forecasts its load at the end of the next interval."""
        for node in nodes:
            sample = min(MAX_SAMPLED_LOAD, self._effective_load(node, now))
            node.load_samples = [*node.load_samples[1 - FORECAST_SAMPLES :], sample]
            node.load_forecast = forecast(node.load_samples)

    def _relax_uplink_corrections(self, now: int) -> None:
        """Lowers the correction of uplinks that look loaded although no node of the rack delivers too little."""
        for rack in self.racks:
            rack.recent_carried_rates = [*rack.recent_carried_rates[1 - RECENT_SAMPLES :], rack.carried_rate]
            uplink_load = 0.0
            if self.settings.uplink_capacity > 0:
                uplink_load = rack.carried_rate * rack.uplink_correction / self.settings.uplink_capacity
            quiet_ns = SHORT_DELIVERY_VALID_NS + SAMPLE_INTERVAL_NS
            if uplink_load > T1 and all(now - node.short_delivery_at > quiet_ns for node in rack.nodes):
                factor = UPLINK_CORRECTION_DECAY if uplink_load < 1 else 1 / uplink_load
                rack.uplink_correction = max(MIN_UPLINK_CORRECTION, rack.uplink_correction * factor)

    def _update_x(self, sampled: list[Node], has_reports: bool) -> None:
        """Blends measured and predicted cluster load into x and predicts the next cluster load."""
        measured_load = cluster_load([node.load_samples[-1] for node in sampled])
        if has_reports and measured_load > 0:
            self.prediction_error = min(1.0, abs(self.predicted_load / measured_load - 1))
        else:
            self.prediction_error = 1.0
        self.predicted_load = cluster_load([node.load_forecast for node in sampled])
        self.x = blend_loads(self.prediction_error, self.predicted_load, measured_load)

    def _log_health(self, nodes: list[Node], now: int) -> None:
        """Logs nodes that became healthy or unhealthy, and racks whose uplink correction became high or normal."""
        for node in nodes:
            if node.logged_as_unhealthy == self._is_healthy(node, now):
                node.logged_as_unhealthy = not node.logged_as_unhealthy
                status = "out" if node.logged_as_unhealthy else "back"
                score = node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS)
                reason = f"distrust {score:.1f}, {len(node.pending_setups)} unanswered"
                self.host.log(f"node {node.name} {status}: {reason}")
        for index, rack in enumerate(self.racks):
            if rack.logged_as_overloaded != (rack.uplink_correction > LOGGED_UPLINK_CORRECTION):
                rack.logged_as_overloaded = not rack.logged_as_overloaded
                status = "tight" if rack.logged_as_overloaded else "eased"
                self.host.log(f"rack {index} {status}: {rack.uplink_correction:.2f}")

    def _move_thresholds(self) -> None:
        """Moves T2 and T3 towards T1 while x exceeds them, resets them under T1, and logs a change of mode."""
        x = self.x
        if x < T1:
            self.t2 = T2
            self.t3 = T3
        if x > self.t2:
            self.t2 -= min(x - self.t2, MAX_THRESHOLD_MOVE * (self.t2 - T1))
        if x > self.t3:
            self.t3 -= min(x - self.t3, MAX_THRESHOLD_MOVE * (self.t3 - T1))
        mode = "open" if x <= T1 else "band" if x <= self.t2 else "closed"
        mode += ", stepping down" if x > self.t3 else ""
        if mode != self.mode:
            self.mode = mode
            thresholds = f"T2={self.t2:.2f} T3={self.t3:.2f}"
            self.host.log(f"mode {mode}: x={x:.2f} err={self.prediction_error:.2f} {thresholds}")

    def _adjust_rungs(self, nodes: list[Node], now: int) -> None:
        """Steps the rungs of playing playbacks down past T3 and up under T1, a bounded share of them per interval."""
        rungs = [playback.rung for node in nodes for playback in node.playbacks]
        self.mean_rung = sum(rungs) / len(rungs) if rungs else self._middle_rung()
        playing_nodes = [node for node in nodes if node.playbacks]
        for node in playing_nodes:
            playing = [playback for playback in node.playbacks if playback.state is PlaybackState.PLAYING]
            load = self._effective_load(node, now)
            # Reports of short delivery are free of noise, so with one a lower load suffices for steps down.
            is_short = now - node.short_delivery_at < SHORT_DELIVERY_VALID_NS
            limit = T1 if is_short else self.t3
            if load > limit:
                probability = step_down_probability(max(self.x, load), self.t3)
                candidates = [playback for playback in playing if playback.rung > playback.plan.floor]
                candidates.sort(key=lambda playback: self._revenue_per_kb(playback, playback.rung - 1))
                rate_gap = (load - limit) * node.link_capacity
                self._step_rungs(node, candidates, -1, rate_gap, probability, now)
            elif self.x < T1 and load < UPPER_RUNG_LOAD_LIMIT:
                max_rung = self.mean_rung + STEP_UP_RUNG_MARGIN
                settled = [
                    playback for playback in playing if now - playback.rung_changed_at > STEP_UP_DELAY_NS
                ]
                candidates = [
                    playback
                    for playback in settled
                    if playback.rung < playback.top_rung and playback.rung <= max_rung
                ]
                candidates.sort(key=lambda playback: -self._revenue_per_kb(playback, playback.rung))
                rate_gap = (UPPER_RUNG_LOAD_LIMIT - load) * node.link_capacity
                self._step_rungs(node, candidates, 1, rate_gap, 1.0, now)

    def _step_rungs(
        self,
        node: Node,
        candidates: list[Playback],
        direction: int,
        rate_gap: float,
        probability: float,
        now: int,
    ) -> None:
        """Steps playbacks of a node one rung in `direction`, to close a gap in kB/s that every front end sees.

        The other front ends are assumed to step as well, and each takes its part at random: otherwise many front ends
        with one playback each would overshoot together. Works for any number of front ends. Drawback: a front end
        that is alone on a link may take longer.
        """
        own_rate = sum(self._playback_rate(playback, playback.rung) for playback in node.playbacks)
        # Number of front ends with playbacks on the node, estimated from its load.
        fronts_on_node = max(1.0, node.estimated_load * node.link_capacity / max(own_rate, 1.0))
        fronts_on_node = min(fronts_on_node, self.settings.front_count)
        max_share = MAX_STEP_UP_SHARE if direction > 0 else MAX_STEP_DOWN_SHARE
        steps_left = max_share * len(node.playbacks)
        for playback in candidates:
            new_rung = playback.rung + direction
            step_rate = abs(
                self._playback_rate(playback, new_rung) - self._playback_rate(playback, playback.rung)
            )
            step_share = min(1.0, steps_left, rate_gap / max(1.0, step_rate * fronts_on_node))
            if step_share <= 0:
                break
            rate_gap -= step_share * step_rate * fronts_on_node
            steps_left -= step_share
            peer_change = direction * step_rate * (fronts_on_node - 1) * step_share * probability
            self._add_own_rate_change(node, peer_change, now)
            if self.rng.random() < step_share * probability:
                self._add_own_rate_change(node, direction * step_rate, now)
                playback.rung = new_rung
                playback.rung_changed_at = now
                self.host.set_rung(playback, playback.rung)

    def _revenue_per_kb(self, playback: Playback, lower_rung: int) -> float:
        """Revenue gained by the step from a rung to the next, per kB/s."""
        shares = self.settings.rung_revenue_shares
        revenue = playback.plan.revenue * (shares[lower_rung + 1] - shares[lower_rung])
        higher_rate = self._playback_rate(playback, lower_rung + 1)
        return revenue / max(1.0, higher_rate - self._playback_rate(playback, lower_rung))

    # Requests.

    def on_request(self, playback: Playback, now: int) -> None:
        """Handles a request: rejects it with the probability that holds in the band, else places it.

        A request that was handled before is ignored.
        """
        if playback.state is not PlaybackState.ARRIVED:
            return
        if now >= playback.abandon_at:  # the viewer has given up
            self._give_up(playback, now)
            return
        is_copy = playback.copy_of is not None
        if is_copy and not self._may_retry(playback, now):
            self._give_up(playback, now)
            return
        # The set-up of a copy counts as a retry.
        self._record_time(self.retry_times if is_copy else self.request_times, now)
        self.recent_requests.add(1.0, now, self.settings.overload_window_ns)
        if not playback.comes_from_move and self.rng.random() < rejection_probability(self.x, self.t2):
            self._give_up(playback, now)
        else:
            self._place(playback, now)

    def _place(self, playback: Playback, now: int) -> None:
        """Sends a try to the less loaded of the first two holders with room, or gives the playback up."""
        plan = playback.plan
        candidates = list[Node]()
        last_candidates = list[Node]()
        if not plan.seats or playback.title.seats_taken.get(plan, 0) < plan.seats:
            for node in self._holders(playback):
                if not self._has_room(playback, node, now):
                    continue
                # Without load reports, all front ends would fill a title's first holders without noticing. So a holder
                # comes last at random, with the weight of missing reports as probability (near 0 with few front ends),
                # unless its known load is under the assumed one. Drawback: a title spreads over more holders than it
                # needs.
                is_lightly_loaded = node.load_known and self._effective_load(node, now) < self.assumed_load
                comes_first = is_lightly_loaded or self.rng.random() >= self.unreported_weight
                (candidates if comes_first else last_candidates).append(node)
                if len(candidates) == HOLDERS_COMPARED:
                    break
        self.rng.shuffle(last_candidates)
        candidates = [*candidates, *last_candidates][:HOLDERS_COMPARED]
        if candidates:
            node = min(candidates, key=lambda holder: (self._effective_load(holder, now), self.rng.random()))
            self._send_try(playback, node, self._start_rung(playback, node, now), now)
        else:
            self._give_up(playback, now)

    def _has_room(self, playback: Playback, node: Node, now: int) -> bool:
        """Whether a try on a node is allowed, and its load stays under the limit at the playback's floor."""
        floor_rate = self._added_rate(playback, node, playback.plan.floor)
        return (
            self._may_try(playback, node, now)
            and self._effective_load(node, now, floor_rate) <= LINK_LOAD_LIMIT
        )

    def _middle_rung(self) -> float:
        """Mean rung assumed by a front end that plays nothing.

        Otherwise a whole fleet that comes back would start at the bottom of the ladder, as no front end has a
        playback to go by. Drawback: it starts too high where links are full and report nothing.
        """
        return float((len(self.settings.rung_rates) - 1) // 2)

    def _start_rung(self, playback: Playback, node: Node, now: int) -> int:
        """Highest rung that keeps the load under its limit, which is lower for the upper half of the ladder.

        It is at most one above the mean of what plays on the node, or on this front end where few play on the node:
        otherwise the first viewers would use capacity that later ones lack. Also limits front ends that know no load yet.
        Drawback: a lone viewer starts low.
        """
        rungs = [other.rung for other in node.playbacks]
        mean_rung = sum(rungs) / len(rungs) if len(rungs) >= MIN_PLAYBACKS_FOR_MEAN_RUNG else self.mean_rung
        max_rung = max(playback.plan.floor, min(playback.top_rung, round(mean_rung) + 1))
        rung = playback.plan.floor
        while rung < max_rung:
            is_lower_half = rung < len(self.settings.rung_rates) // 2
            limit = LINK_LOAD_LIMIT if is_lower_half else UPPER_RUNG_LOAD_LIMIT
            if self._effective_load(node, now, self._added_rate(playback, node, rung + 1)) > limit:
                break
            rung += 1
        return rung

    def _send_try(self, playback: Playback, node: Node, rung: int, now: int) -> None:
        """Sends a setup try to a node, with a time limit that leaves time for a retry where one may follow."""
        if rung != playback.rung:
            playback.rung = rung
            self.host.set_rung(playback, rung)
        if playback.tries:
            self._record_time(self.retry_times, now)
        slot = self._cold_slot(node, now)[0]
        if slot != node.cold_slot:
            node.cold_slot = slot
            node.cold_slot_setups = 0
        node.cold_slot_setups += 1
        try_ends_at = playback.abandon_at - TRY_END_MARGIN_NS
        if playback.plan.effect is not Effect.PAID and len(playback.tries) + 1 < self.settings.max_tries:
            time_limit_ns = int(playback.plan.startup_target_ns * RETRYABLE_TRY_SHARE)
            try_ends_at = min(try_ends_at, now + time_limit_ns)
        playback.tries.append((node, now))
        self._set_state(playback, PlaybackState.SETTING_UP, now, node)
        self.host.send_setup(playback, node, try_ends_at)

    def _may_try(self, playback: Playback, node: Node, now: int) -> bool:
        """Whether the rules, the failure score and the cold pace allow a try on this node now."""
        if node.status is not NodeStatus.READY:
            return False
        if playback.tries and any(tried_node is node for tried_node, _ in playback.tries):
            return False
        if playback.node_filter is not None and not playback.node_filter(node):
            return False
        if playback.may_have_run and not all(
            self._may_repeat_on(playback, earlier_node, sent_at, node, now)
            for earlier_node, sent_at in playback.may_have_run
        ):
            return False
        return self._is_trusted(playback, node, now) and self._warm_enough(playback, node, now)

    def _is_trusted(self, playback: Playback, node: Node, now: int) -> bool:
        """Whether the failures of a node allow a try.

        Keeps set-ups off nodes that are dead, silent, hung or cut off before the node list says so, whatever leaves
        set-ups unanswered. A single try of a free plan may go to a node whose score is under twice the limit; otherwise
        a few nodes with one failure each would cause every request to be rejected. Drawback: a good node that answers
        slowly is idle until its score has decayed.
        """
        if self._is_healthy(node, now):
            return True
        score = node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS)
        return (
            score < 2 * FAILURE_SCORE_LIMIT
            and not node.pending_setups
            and playback.plan.effect is Effect.FREE
        )

    def _is_healthy(self, node: Node, now: int) -> bool:
        """Whether a node answers in time and its failure score is under the limit."""
        if not node.pending_setups and not node.failure_score.value:
            return True
        answers_in_time = all(
            now - sent_at <= MAX_ANSWER_DELAY_NS for sent_at in node.pending_setups.values()
        )
        score = node.failure_score
        return answers_in_time and score.read(now, FAILURE_SCORE_HALF_LIFE_NS) < FAILURE_SCORE_LIMIT

    def _known_uptime_ns(self, node: Node, now: int) -> int:
        """Time for which a node has certainly been up without a failure seen here.

        Right after its own start a front end can't know it, except for nodes with a playback handed over to it.
        """
        if now - self.started_at < UPTIME_UNKNOWN_NS and not node.has_handed_over_playback:
            return 0
        return max(0, now - max(node.started_at, node.failed_at))

    def _cold_slot(self, node: Node, now: int) -> tuple[int, int]:
        """Number of the running time slot, and the set-ups that all front ends together may send a cold node in it."""
        settings = self.settings
        cold_duration_ns = max(1, settings.cold_duration_ns)
        uptime_ns = min(self._known_uptime_ns(node, now), settings.cold_duration_ns)
        warmth = (uptime_ns / cold_duration_ns) ** 2
        pace_share = settings.cold_pace_share + (1 - settings.cold_pace_share) * warmth
        setups_per_ns = settings.overload_multiple * pace_share * node.playback_capacity / cold_duration_ns
        allowed = int(COLD_SLOT_BUDGET_SHARE * setups_per_ns * settings.overload_window_ns)
        if allowed >= 1:
            return now // settings.overload_window_ns, allowed
        slot_ns = int(2 * max(settings.overload_window_ns, 1 / max(setups_per_ns, MIN_SETUP_PACE)))
        return now // slot_ns, 1 if now % slot_ns < slot_ns // 2 else 0

    def _warm_enough(self, playback: Playback, node: Node, now: int) -> bool:
        """Whether a node is warm, or the cold pace allows a try on it now.

        Keeps all front ends together from overloading a node that has just started. Each sends only in its own time
        slots. A slot is shared by as many front ends as the budget holds set-ups, and its front ends differ from node to
        node; any overload window overlaps at most two slots. Applies to nodes that this front end saw fail as well, and
        right after its own start to all nodes but those with a playback handed over to it. Drawback: a warm node that
        failed is paced, too.
        """
        if self._known_uptime_ns(node, now) >= self.settings.cold_duration_ns:
            return True
        slot, allowed = self._cold_slot(node, now)
        settings = self.settings
        # One of every `slots_per_turn` time slots is this front end's own.
        slots_per_turn = -(-settings.front_count // allowed) if allowed else 0
        if slots_per_turn and not (slot + settings.front_index + stable_hash(node.name)) % slots_per_turn:
            setups = node.cold_slot_setups if slot == node.cold_slot else 0
            return setups < max(1, allowed // settings.front_count)
        # The front end whose slot it is seldom has a request. Where the budget is large enough for random set-ups to stay
        # under it, the others may send as well, with a probability at which all of them together use half the slot's
        # budget, if they are as busy as this one and get requests for this title.
        # Shortly after its start a front end has counted only part of its usual requests. The count is scaled up for
        # that; a single first request is not yet a rate.
        counted_share: float = 1 - 0.5 ** max(1.0, (now - self.started_at) / settings.overload_window_ns)
        requests = self.recent_requests.read(now, settings.overload_window_ns) / counted_share
        requests_per_holder = (
            DEMAND_SKEW * requests / self.holder_orders.count(playback.title, playback.placement)
        )
        if allowed < MIN_BUDGET_FOR_RANDOM_SETUPS:
            return False
        return self.rng.random() * requests_per_holder * settings.front_count < allowed / 2

    def _may_repeat_on(
        self, playback: Playback, earlier_node: Node, earlier_sent_at: int, node: Node, now: int
    ) -> bool:
        """Whether a set-up may be repeated on `node` although one sent to another node may have run."""
        plan = playback.plan
        if plan.effect is Effect.FREE:
            return True
        if plan.effect is Effect.PAID or now - earlier_sent_at >= plan.key_ttl_ns:
            return False
        recognises_key = {
            KeyScope.ALL: True,
            KeyScope.ZONE: node.zone == earlier_node.zone,
            KeyScope.CELL: node.cell == earlier_node.cell,
        }
        return recognises_key[plan.key_scope]

    def _may_retry(self, playback: Playback, now: int) -> bool:
        """Whether the number of tries, the viewer's abandon time and the retry budget allow another try."""
        settings = self.settings
        if len(playback.tries) >= settings.max_tries or now >= playback.abandon_at - RETRY_MARGIN_NS:
            return False
        if settings.retry_budget_base is None:
            return True
        window_start = now - settings.retry_budget_window_ns
        while self.request_times and self.request_times[0] <= window_start:
            self.request_times.popleft()
        while self.retry_times and self.retry_times[0] < window_start:
            self.retry_times.popleft()
        allowed = settings.retry_budget_base + settings.retry_budget_share * len(self.request_times)
        return len(self.retry_times) + 1 <= allowed

    def _record_time(self, times: deque[int], now: int) -> None:
        """Adds a time to the window of the retry budget, where there is a budget.

        Drops what has left the window: a front end whose tries seldom fail would otherwise keep all times.
        """
        if self.settings.retry_budget_base is not None:
            times.append(now)
            while times[0] < now - self.settings.retry_budget_window_ns:
                times.popleft()

    def _give_up(self, playback: Playback, now: int) -> None:
        """Gives the final answer: a rejection, or an abort where a set-up may have run that must not be repeated."""
        plan = playback.plan
        is_safe_to_repeat = plan.effect is Effect.FREE or (
            plan.effect is Effect.KEYED and plan.key_scope is KeyScope.ALL
        )
        if playback.may_have_run and not is_safe_to_repeat:
            self._set_state(playback, PlaybackState.ABORTED, now)
            self.host.abort(playback)
        else:
            self._set_state(playback, PlaybackState.REJECTED, now)
            self.host.reject(playback, min(self.settings.max_retry_after_ns, SAMPLE_INTERVAL_NS))

    # Tries and playbacks.

    def on_handed_over(self, playback: Playback, node: Node, now: int) -> None:
        """Takes over a playback that was handed over at the start and plays already."""
        if playback.state is not PlaybackState.ARRIVED:
            return
        playback.tries.append((node, now))
        node.has_handed_over_playback = True
        self.own_rate_history[0] = (now, self.own_rate + self._playback_rate(playback, playback.rung))
        self._set_state(playback, PlaybackState.PLAYING, now, node)

    def on_history_restored(
        self, retry_times: Iterable[int], nodes_with_used_slot: Iterable[Node], now: int
    ) -> None:
        """Restores what an earlier process of this front end did.

        `retry_times` count in the retry budget; the running time slot of `nodes_with_used_slot` is used up.
        """
        self.retry_times.extend(retry_times)
        for node in nodes_with_used_slot:
            node.cold_slot = self._cold_slot(node, now)[0]
            node.cold_slot_setups = SLOT_USED_UP

    def on_playing(self, playback: Playback, now: int) -> None:
        """Handles a successful set-up; ignored when repeated, or after the playback has ended."""
        if playback.state is PlaybackState.SETTING_UP:
            playback.next_link_load_is_current = True
            self._set_state(playback, PlaybackState.PLAYING, now)

    def on_try_ended(
        self, playback: Playback, outcome: Outcome, is_closed: bool,
        link_load: float | None, capped_link_load: float | None, uplink_load: float | None, now: int,
    ) -> None:  # fmt: skip
        """Handles the end of a setup try or of the playback that it started.

        `is_closed`: no further event of the playback follows. `link_load` is the demand on the link over its capacity,
        `capped_link_load` the same capped at 1, `uplink_load` that of the rack's uplink. Ignored where no try is pending
        and nothing plays: the event is a duplicate or late.
        """
        node = playback.node
        state = playback.state
        if node is None or state not in SEAT_HOLDING_STATES:
            return
        if link_load is not None:
            self._record_link_load(node, link_load, TRY_REPORT_AGE_NS, now)
        elif capped_link_load is not None and (
            capped_link_load < CAPPED_LOAD_THRESHOLD or node.estimated_load < 1
        ):
            # Capped at 1, so it does not replace a higher known load.
            self._record_link_load(node, capped_link_load, TRY_REPORT_AGE_NS, now)
        if uplink_load is not None:
            self._record_uplink_load(node.rack, uplink_load)
        self._record_outcome(playback, node, outcome, now)
        if is_closed or state is not PlaybackState.SETTING_UP:
            self._set_state(playback, PlaybackState.ENDED, now)
            return
        if outcome not in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT):
            playback.may_have_run.append(playback.tries[-1])
        self._set_state(playback, PlaybackState.BETWEEN_TRIES, now)
        if self._may_retry(playback, now):
            self._place(playback, now)
        else:
            self._give_up(playback, now)

    def _record_outcome(self, playback: Playback, node: Node, outcome: Outcome, now: int) -> None:
        """Updates what is known of a node by the outcome of a try or playback on it."""
        score = node.failure_score
        if outcome in (Outcome.NO_CONNECTION, Outcome.RESET, Outcome.LATE):
            if (
                outcome is not Outcome.LATE
                or score.read(now, FAILURE_SCORE_HALF_LIFE_NS) > RESTART_SUSPECT_SCORE
            ):
                node.failed_at = now
            score.add(FAILED_TRY_SCORE, now, FAILURE_SCORE_HALF_LIFE_NS)
        elif outcome is Outcome.ERROR and self._is_known_to_exist(playback):
            # Only for titles that have played: requests for titles that don't exist, or are not where the request says,
            # would otherwise raise the score of good nodes. Drawback: a node that answers everything with errors is found
            # only once it is asked for a title that has played.
            score.add(ERROR_SCORE, now, FAILURE_SCORE_HALF_LIFE_NS)
        elif outcome is Outcome.FULL:
            # It holds as many playbacks as it can, even if its link has room.
            self._record_link_load(node, max(node.estimated_load, T1), 0, now, is_inferred=True)

    def _is_known_to_exist(self, playback: Playback) -> bool:
        """Whether a playback's title has played where the playback looks for it."""
        if playback.own_placement is None:
            return playback.title.has_played
        return self.holder_orders.has_played(playback.title, playback.own_placement)

    def on_viewer_left(self, playback: Playback, now: int) -> None:
        """Handles a viewer that leaves; the end of a pending try is still reported."""
        if playback.state in (PlaybackState.SETTING_UP, PlaybackState.PLAYING):
            self._set_state(playback, PlaybackState.VIEWER_LEFT, now)
        elif playback.state is PlaybackState.ARRIVED:
            self._set_state(playback, PlaybackState.ENDED, now)

    def is_over(self, playback: Playback) -> bool:
        """Whether a playback is in a final state."""
        return playback.state not in STATE_TRANSITIONS

    def _set_state(
        self, playback: Playback, state: PlaybackState, now: int, node: Node | None = None
    ) -> None:
        """Changes the state of a playback, and its seat and load with it; the only place that does.

        Raises ValueError for a transition that is not allowed.
        """
        if state not in STATE_TRANSITIONS.get(playback.state, ()):
            raise ValueError(f"a playback cannot go from {playback.state.value} to {state.value}")
        held_seat = playback.state in SEAT_HOLDING_STATES
        playback.state = state
        if node:
            playback.node = node
        current_node = playback.node
        if current_node is None:
            return
        current_node.refresh_estimated_load()  # before the playbacks that it depends on change
        if state is PlaybackState.PLAYING:
            playback.title.has_played = True
            self.holder_orders.record_playing(playback.title, playback.placement)
        if state is PlaybackState.SETTING_UP:
            current_node.pending_setups[playback] = now
        else:
            current_node.pending_setups.pop(playback, None)
        if held_seat == (state in SEAT_HOLDING_STATES):
            return
        sign = -1 if held_seat else 1
        seats_taken = playback.title.seats_taken
        seats_taken[playback.plan] = seats_taken.get(playback.plan, 0) + sign
        if held_seat:
            del current_node.playbacks[playback]
        else:
            current_node.playbacks[playback] = None
        rate_change = sign * self._playback_rate(playback, playback.rung)
        self.own_rate += rate_change
        self._add_own_rate_change(current_node, rate_change, now)


# The paper's formulas.


def stable_hash(text: str) -> int:
    """64-bit hash of a text; the same on all front ends and in all processes."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def forecast(samples: Sequence[float]) -> float:
    """Next value on the line fitted to equally spaced samples by least squares, at least 0."""
    count = len(samples)
    mean = sum(samples) / count
    if count == 1:
        return mean
    middle = (count - 1) / 2
    covariance = sum((position - middle) * sample for position, sample in enumerate(samples))
    variance = sum((position - middle) ** 2 for position in range(count))
    slope = covariance / variance
    return max(0.0, mean + slope * (count - middle))


def cluster_load(loads: list[float]) -> float:
    """The paper's l_c: alpha times the mean plus 1 - alpha times the variance."""
    mean = sum(loads) / len(loads)
    return ALPHA * mean + (1 - ALPHA) * sum((load - mean) ** 2 for load in loads) / len(loads)


def blend_loads(prediction_error: float, predicted: float, measured: float) -> float:
    """The paper's x: the mean of measured and predicted load, weighted by the error of the last prediction."""
    return (1 - prediction_error) * predicted + prediction_error * measured


def rejection_probability(load: float, t2: float) -> float:
    """Probability of a rejection: 0 up to T1, 1 from T2 on, linear in the band between them."""
    if load <= T1:
        return 0.0
    return 1.0 if load >= t2 else (load - T1) / (t2 - T1)


def step_down_probability(load: float, t3: float) -> float:
    """The paper's max(pu, 1 - pu), where pu = 1 - |(x - T3) / (C - T3)|, kept within 0 and 1.

    pu is the closeness of the load to T3.
    """
    closeness = 1 - min(1.0, abs((load - t3) / (MAX_SAMPLED_LOAD - t3)))
    return max(closeness, 1 - closeness)
