"""Decision module of a front end: who plays, on which playout node and at which rung of the quality ladder.

A host (types and protocols in `oakcroft/interface.py`) creates one `Controller` per front end from its
`DeploymentSettings`, a seed and itself, and calls the controller's event methods as things happen. The controller
answers by calling the host within the same call. Times are whole nanoseconds, rates are in kB/s.

Admission follows the paper's SA2C (session-aware admission control, docs/design.md):

- `_end_interval` samples the load of every node, fits a line to the samples to predict the next one, and blends the
  predicted and the measured cluster load into x. It then moves the thresholds T2 and T3 and steps the rungs of
  playbacks that play.
- `on_request` rejects a request with a probability that rises from 0 to 1 while x is in the band from T1 to T2.
- `_place` picks the holder of the title and the start rung.

Mechanisms beyond the paper, six at most:

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
from collections.abc import Iterable, Sequence
from random import Random

from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    DecayingSum,
    KeyScope,
    Host,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
)
from oakcroft.interface import Outcome, Playback, Rack, PlaybackState, DeploymentSettings, Title

# Parameters that the paper leaves open.
SAMPLE_INTERVAL_NS = SECOND  # between two load samples
FORECAST_SAMPLES = 5  # samples in the linear fit
ALPHA = 0.95  # the paper's alpha: weight of the mean in the cluster load, against the variance
# Thresholds on x. Requests are rejected from T1 on, all of them past T2; rungs are stepped down past T3. T2 and T3 are
# start values, which move towards T1 under overload. FULL is the paper's C, the cap of a sampled load.
T1, T2, T3, MAX_SAMPLED_LOAD = 0.92, 1.30, 1.02, 1.50
LINK_LOAD_LIMIT = 0.90  # set-ups keep a link's load under it
# The same for starts in the upper half of the ladder and for steps up; well below T3, so that they are not undone.
UPPER_RUNG_LOAD_LIMIT = 0.70
STEP_UP_DELAY_NS = 8 * SECOND  # from a playback's change of rung to its next step up
MAX_THRESHOLD_MOVE = 0.10  # largest move of T2 or T3 per interval, as a share of its distance to T1
# Largest share of the playbacks concerned that are stepped up, or down, per interval.
MAX_STEP_UP_SHARE, MAX_STEP_DOWN_SHARE = 0.15, 0.25

# Half-life of a node's failure score, and the score from which the node gets no set-ups.
FAILURE_SCORE_HALF_LIFE_NS, FAILURE_SCORE_LIMIT = 4 * SECOND, 0.7
MAX_ANSWER_DELAY_NS = 600 * MS  # a set-up unanswered for longer counts against its node
RETRYABLE_TRY_SHARE = 0.4  # of the startup target: time limit of a try that another may follow
# Set-ups in a cold slot from which random ones are allowed besides, and how unevenly nodes are asked for.
MIN_CHANCE_SETUPS, DEMAND_SKEW = 4, 3
COLD_SLOT_BUDGET_SHARE = 0.45  # share of the overload budget per time slot: a window may overlap two slots
TRY_REPORT_AGE_NS = 300 * MS  # age of a load report that comes with the outcome of a try
SHORT_DELIVERY_VALID_NS = 2 * SECOND  # for which a report of short delivery is valid
# A rack's uplink correction: its decay per interval, its bounds, and the value past which it is logged.
UPLINK_CORRECTION_DECAY, MAX_UPLINK_CORRECTION, MIN_UPLINK_CORRECTION, LOGGED_UPLINK_CORRECTION = (
    0.94,
    2.0,
    0.5,
    1.1,
)
MAX_CARRIED_LOAD = 1.2  # a link loaded above this has lost capacity: it loads its rack's uplink with no more
# A delivered share under the first is short; under the second, the node has stopped delivering.
SHORT_DELIVERY_SHARE, STALLED_DELIVERY_SHARE = 0.98, 0.2
UPTIME_UNKNOWN_NS = 6 * SECOND  # after its start, for which a front end can't know which nodes are warm
REPORT_TOLERANCE_NS = 2 * SECOND  # by which a load report may be late before it is stale
# Number of front ends at which the assumed load weighs as much as what a front end extrapolates from its own playbacks.
MEAN_LOAD_WEIGHT_FRONTS = 4
SLOT_USED_UP = 1 << 30  # recorded as the set-ups of a time slot that is used up
DEFAULT_ASSUMED_LOAD = 0.7  # load assumed for a link while no link has reported its load


# Allowed transitions of a playback's state; states without an entry are final.
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
# States in which a playback holds a seat and adds to its node's load.
SEAT_HOLDING_STATES = {PlaybackState.SETTING_UP, PlaybackState.PLAYING, PlaybackState.VIEWER_LEFT}


class Controller:
    """Takes the decisions of one front end; its host calls the public methods, one at a time."""

    def __init__(self, settings: DeploymentSettings, seed: int, host: Host, now: int) -> None:
        """Starts at `now`: subscribes to the node list where the settings require it, and sets the first timer."""
        self.settings, self.host, self.rng = settings, host, Random(seed)
        self.started_at, self.racks = now, [Rack() for _ in range(settings.rack_count)]
        self.nodes: dict[Node, None] = {}
        self.list_version, self.subscribed_at, self.is_subscribed = 0, now, False
        self.interval_ends_at = now + SAMPLE_INTERVAL_NS  # end of the running sample interval
        self.t2, self.t3, self.x, self.prediction_error, self.predicted_load = T2, T3, 0.0, 1.0, 0.0
        self.assumed_load = DEFAULT_ASSUMED_LOAD  # for a link without reports: the mean of those with reports
        self.assumed_load_is_measured = False  # `assumed_load` is such a mean, no longer a default
        self.max_report_age_ns = (
            settings.report_interval_ns + settings.report_delay_ns + REPORT_TOLERANCE_NS
        )  # age up to which a report is fresh
        self.unreported_weight, self.mean_rung = (
            0.0,
            self._middle_rung(),
        )  # weight of missing reports, 0 to 1; own playbacks
        self.held_rate, self.total_link_capacity = 0.0, 1.0  # kB/s: of own playbacks, of all links
        self.held_rate_history = deque([(now, 0.0)], maxlen=12)  # at the ends of the last intervals
        self.mode, self.recent_requests = "open", DecayingSum()  # and recent requests
        self.request_times, self.retry_times = deque[int](), deque[int]()
        if settings.must_subscribe:
            host.subscribe_to_nodes()
        host.set_timer(self.interval_ends_at)

    # Node list.

    def on_node_list(self, kind: NodeListKind, entries: Iterable[NodeEntry], now: int) -> None:
        """Takes over the node list, or changes of it."""
        self.is_subscribed = kind in (NodeListKind.CHANGES, NodeListKind.WHOLE)
        if kind is NodeListKind.FAILED:
            return  # `on_timer` subscribes again
        missing = dict(self.nodes) if kind is not NodeListKind.CHANGES else {}
        for e in entries:
            node = e.node
            missing.pop(node, None)
            # The start time never goes back, so that a late list can't make a node warm, and is never in the
            # future, so that a clock ahead of ours can't keep it cold for ever.
            started_at = min(e.started_at, now)
            if started_at > node.started_at:  # a new process: what is known of the old one is void
                node.failure_score.clear()
                # It is empty. Where most nodes report nothing, all front ends would choose it for that, so only
                # some of them take its load as known.
                node.load_known, node.reported_load, node.load_reported_at = (
                    self.rng.random() >= self.unreported_weight,
                    0.0,
                    now,
                )
                node.has_handed_over_playback = False
            node.status, node.started_at = e.status, max(node.started_at, started_at)
            node.link_capacity, node.playback_capacity = max(1.0, e.link_capacity), e.playback_capacity
            node.estimated_load = self._estimate_link_load(node)
            node.rack = self.racks[node.cell % self.settings.rack_count]
            self.nodes[node] = None
        for node in missing:
            node.status = NodeStatus.GONE
        self.nodes = {n: None for n in self.nodes if n.status is not NodeStatus.GONE}
        for i, rack in enumerate(self.racks):
            rack.nodes = [n for n in self.nodes if n.cell % self.settings.rack_count == i]
        self.list_version += 1
        self.total_link_capacity = max(1.0, sum(n.link_capacity for n in self.nodes))
        if not self.assumed_load_is_measured:
            self.assumed_load = self._initial_assumed_load()
            for node in self.nodes:
                node.estimated_load = self._estimate_link_load(node)
        self._update_carried_rates()

    def _holders(self, title: Title) -> list[Node]:
        """Nodes that hold a title, in a hash order that is the same on all front ends."""
        if title.holders_version != self.list_version:
            cells = self.settings.cell_count
            copies = title.copies if 0 < title.copies < cells else cells
            held = [n for n in self.nodes if (n.cell - title.home_cell) % cells < copies]
            if (named := title.holder_names) is not None:
                held = [n for n in self.nodes if n.name.partition("+")[0] in named]
            held.sort(key=lambda n: stable_hash(f"{title.name}\0{n.name}"))
            title.holders, title.holders_version = held, self.list_version
        return title.holders

    # Load.

    def _playback_rate(self, playback: Playback, rung: int) -> float:
        """Rate of a playback at a rung, in kB/s."""
        rates = playback.title.rung_rates or self.settings.rung_rates
        return rates[min(rung, len(rates) - 1)] * playback.plan.rate_factor

    def _added_rate(self, playback: Playback, node: Node, rung: int) -> float:
        """Rate that a set-up would add to a node, in kB/s; smaller where it joins a running stream."""
        same = ((other.title, other.plan, other.rung) for other in node.playbacks)
        joins = playback.plan.shares_stream and (playback.title, playback.plan, rung) in same
        return self._playback_rate(playback, rung) * (self.settings.join_rate_share if joins else 1.0)

    def _estimate_link_load(self, node: Node) -> float:
        """Demand on the link over its capacity, from the last report and own changes since then."""
        if not node.load_known:
            own = sum(self._playback_rate(pb, pb.rung) for pb in node.playbacks)
            # Own playbacks times the number of front ends is a poor estimate where there are many front ends:
            # the more there are, the more the assumed load counts.
            over = own * self.settings.front_count / node.link_capacity - self.assumed_load
            return self.assumed_load + over / (1 + self.settings.front_count / MEAN_LOAD_WEIGHT_FRONTS)
        since = sum(kb for at, kb in node.own_rate_changes if at > node.load_reported_at) / node.link_capacity
        return max(0.0, node.reported_load + since + self._unreported_load_of_peers(node.load_reported_at))

    def _initial_assumed_load(self) -> float:
        """Load to assume for links while none has reported.

        Where the links of a rack exceed its uplink, the default load is taken for the uplink; otherwise racks would
        look full on an assumption alone. Drawback: a full fleet shows only by reports of short delivery.
        """
        through = (
            self.settings.uplink_capacity * self.settings.rack_count / self.total_link_capacity
            if self.settings.uplink_capacity > 0
            else 1.0
        )
        return DEFAULT_ASSUMED_LOAD * min(1.0, through)

    def _unreported_load_of_peers(self, since: int) -> float:
        """Link load that the other front ends have added since `since`, extrapolated from this one's own change.

        Covers crowds that arrive between two reports, and links that a loss has emptied while their last report
        still says full: any change that all front ends see alike. Drawback: viewers that move from one front end to
        another count as new.
        """
        then = next(
            (kb for t, kb in reversed(self.held_rate_history) if t <= since), self.held_rate_history[0][1]
        )
        net, unit = self.held_rate - then, self.settings.rung_rates[len(self.settings.rung_rates) // 2]
        sure = abs(net) / (abs(net) + unit)  # weight: a single playback may be chance
        return sure * net * (self.settings.front_count - 1) / self.total_link_capacity

    def _update_carried_rates(self) -> None:
        """Recomputes the rate that the links of each rack carry."""
        for rack in self.racks:
            rack.carried_rate = sum(
                min(n.estimated_load, MAX_CARRIED_LOAD) * n.link_capacity for n in rack.nodes
            )

    def _effective_load(self, node: Node, now: int, added_rate: float = 0.0) -> float:
        """Load that affects a playback on this node, link or uplink, with `added_rate` kB/s on top."""
        crowd = self._unreported_load_of_peers(self.held_rate_history[-1][0])
        load = node.estimated_load + added_rate / node.link_capacity + crowd
        if self.settings.uplink_capacity > 0:
            load = max(
                load,
                (node.rack.carried_rate + added_rate)
                * node.rack.uplink_correction
                / self.settings.uplink_capacity
                + crowd,
            )
        return load

    def _add_own_rate_change(self, node: Node, rate_change: float, now: int) -> None:
        """Records a change of what a node carries, in kB/s, that no report covers yet."""
        node.own_rate_changes.append((now, rate_change))
        while node.own_rate_changes[0][0] < now - 8 * SECOND:
            node.own_rate_changes.popleft()
        node.estimated_load = max(0.0, node.estimated_load + rate_change / node.link_capacity)
        node.rack.carried_rate += rate_change

    def _record_link_load(
        self, node: Node, link_load: float, report_age_ns: int, now: int, is_inferred: bool = False
    ) -> None:
        """Records the load of a link as of `report_age_ns` ago.

        With `is_inferred` the node did not report it: it follows from a refusal or from short delivery.
        """
        if now - report_age_ns < node.load_reported_at and not node.load_from_peer:
            return
        old = node.estimated_load
        node.load_known, node.reported_load, node.load_reported_at, node.load_from_peer = (
            True,
            link_load,
            now - report_age_ns,
            False,
        )
        node.has_reported_load |= not is_inferred
        node.estimated_load = self._estimate_link_load(node)
        node.rack.carried_rate += (
            min(node.estimated_load, MAX_CARRIED_LOAD) - min(old, MAX_CARRIED_LOAD)
        ) * node.link_capacity

    def on_peer_load(self, node: Node, link_load: float, report_age_ns: int, now: int) -> None:
        """Takes over the load of a link that another front end heard `report_age_ns` ago.

        It counts only where this front end's own traffic brings no reports of the link any more, and the next own
        report replaces it.
        """
        own = (
            node.load_known
            and not node.load_from_peer
            and now - node.load_reported_at <= self.settings.report_interval_ns + REPORT_TOLERANCE_NS
        )
        if not own and now - report_age_ns > (node.load_reported_at if node.load_known else 0):
            self._record_link_load(node, link_load, report_age_ns, now)
            node.load_from_peer = True

    def _record_uplink_load(self, rack: Rack, uplink_load: float) -> None:
        """Sets the uplink correction so that the estimated load of the uplink equals the reported one."""
        if rack.carried_rate > 0 and self.settings.uplink_capacity > 0:
            rack.uplink_correction = min(
                MAX_UPLINK_CORRECTION,
                max(MIN_UPLINK_CORRECTION, uplink_load * self.settings.uplink_capacity / rack.carried_rate),
            )

    def on_metric(self, playback: Playback, metric: PlaybackMetric, value: float, now: int) -> None:
        """Takes over a reported value about one playback, most of which describe its node.

        Ignored where the playback holds no place on a node: the report is late or early and can't be trusted.
        """
        node = playback.node
        if node is None or playback.state not in SEAT_HOLDING_STATES:
            return
        if metric is PlaybackMetric.RUNG:
            self._add_own_rate_change(
                node,
                self._playback_rate(playback, int(value)) - self._playback_rate(playback, playback.rung),
                now,
            )
            playback.rung = int(value)
        elif metric is PlaybackMetric.LINK_LOAD:
            self._record_link_load(
                node, value, 0 if playback.next_link_load_is_current else self.settings.report_delay_ns, now
            )
            playback.next_link_load_is_current = False
        elif metric is PlaybackMetric.UPLINK_LOAD:
            self._record_uplink_load(node.rack, value)
        elif metric is PlaybackMetric.DELIVERED_SHARE:
            if value < STALLED_DELIVERY_SHARE:
                # A full link still delivers some of it; this node has stopped.
                node.failure_score.add(1.0, now, FAILURE_SCORE_HALF_LIFE_NS)
                return
            node.delivered_share, node.short_delivery_at = (
                value,
                now if value < SHORT_DELIVERY_SHARE else node.short_delivery_at - SHORT_DELIVERY_VALID_NS,
            )
            alone = self._is_short_by_own_link(node, now)
            if value < SHORT_DELIVERY_SHARE and alone and 1 / max(value, 0.2) > node.estimated_load + 0.05:
                self._record_link_load(
                    node, 1 / max(value, 0.2), self.settings.report_delay_ns, now, is_inferred=True
                )

    def _is_short_by_own_link(self, node: Node, now: int) -> bool:
        """Whether the node's own link causes its short delivery; if not, raises the rack's uplink correction.

        An uplink limits all its nodes to the same share, so the node with the best share shows how far the uplink is
        overloaded. A node without neighbours is judged by whether the load of its link explains the short delivery.
        Covers uplinks with less than the mean capacity, which no load report shows, and any other bottleneck that
        several nodes share. Drawback: a rack whose links are all overloaded looks like an overloaded uplink until the
        correction has decayed.
        """
        rack = node.rack
        shares = [
            n.delivered_share if now - n.short_delivery_at < SHORT_DELIVERY_VALID_NS else 1.0
            for n in rack.nodes
            if n.playbacks
        ]
        carried = max(
            rack.carried_rate, *rack.recent_carried_rates
        )  # the report is late and describes an earlier moment
        explained = (
            len(shares) < 2 and 1 / max(shares) < max([node.estimated_load, *node.load_samples[-3:]]) + 0.1
        )
        if (
            explained
            or max(shares) >= SHORT_DELIVERY_SHARE
            or carried <= 0
            or self.settings.uplink_capacity <= 0
        ):
            return True
        rack.uplink_correction = min(
            MAX_UPLINK_CORRECTION,
            max(rack.uplink_correction, self.settings.uplink_capacity / max(shares) / carried),
        )
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
        due = now - self.subscribed_at >= self.settings.subscribe_within_ns // 2
        if self.settings.must_subscribe and due and not self.is_subscribed:
            self.subscribed_at = now
            self.host.subscribe_to_nodes()
        self.host.set_timer(self.interval_ends_at)

    def _end_interval(self, now: int) -> None:
        """Samples the loads, updates x and the thresholds, and steps rungs."""
        listed = [n for n in self.nodes if n.status is NodeStatus.READY]
        if not listed:
            return
        # A node that does not answer carries no load. Counted as full, it would cause rejections of requests that the
        # other nodes have room for.
        ready = [n for n in listed if self._is_healthy(n, now)] or listed
        self._log_health(listed, now)
        fresh = [n for n in ready if n.load_known and now - n.load_reported_at <= self.max_report_age_ns]
        # Where no node reports its load, the only known loads are those of links found full, which must not stand
        # for all others. Drawback: that the whole fleet is full is learnt there node by node.
        if not any(n.has_reported_load for n in fresh):
            fresh = []
        silent = 1 - len(fresh) / len(ready)  # the weight below stays near 0 for few such nodes
        self.unreported_weight = silent**3 / (silent**3 + (1 - silent) ** 3)
        if fresh:
            self.assumed_load, self.assumed_load_is_measured = (
                sum(n.estimated_load for n in fresh) / len(fresh),
                True,
            )
        if now - self.started_at <= UPTIME_UNKNOWN_NS:
            self.held_rate_history.clear()
        self.held_rate_history.append((now, self.held_rate))
        for node in self.nodes:
            if now - node.load_reported_at > self.max_report_age_ns:  # its reports have stopped
                node.load_known, node.load_samples = False, []
            node.estimated_load = self._estimate_link_load(node)
        self._update_carried_rates()
        telling = fresh or ready
        for node in telling:
            node.load_samples = [
                *node.load_samples[1 - FORECAST_SAMPLES :],
                min(MAX_SAMPLED_LOAD, self._effective_load(node, now)),
            ]
            node.load_forecast = forecast(node.load_samples)
        for rack in self.racks:
            rack.recent_carried_rates = [*rack.recent_carried_rates[-2:], rack.carried_rate]
            uplink = (
                rack.carried_rate * rack.uplink_correction / self.settings.uplink_capacity
                if self.settings.uplink_capacity > 0
                else 0.0
            )
            if uplink > T1 and all(
                now - n.short_delivery_at > SHORT_DELIVERY_VALID_NS + SAMPLE_INTERVAL_NS for n in rack.nodes
            ):
                rack.uplink_correction = max(
                    MIN_UPLINK_CORRECTION,
                    rack.uplink_correction * (UPLINK_CORRECTION_DECAY if uplink < 1 else 1 / uplink),
                )
        measured = cluster_load([n.load_samples[-1] for n in telling])
        self.prediction_error = (
            min(1.0, abs(self.predicted_load / measured - 1)) if fresh and measured > 0 else 1.0
        )
        self.predicted_load = cluster_load([n.load_forecast for n in telling])
        self.x = blend_loads(self.prediction_error, self.predicted_load, measured)
        self._move_thresholds()
        self._adjust_rungs(ready, now)

    def _log_health(self, listed: list[Node], now: int) -> None:
        """Logs nodes that became healthy or unhealthy, and racks whose uplink correction became high or normal."""
        for node in listed:
            if node.logged_as_unhealthy == self._is_healthy(node, now):
                node.logged_as_unhealthy = not node.logged_as_unhealthy
                why = (
                    f"distrust {node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS):.1f}, "
                    f"{len(node.pending_setups)} unanswered"
                )
                self.host.log(f"node {node.name} {'out' if node.logged_as_unhealthy else 'back'}: {why}")
        for i, rack in enumerate(self.racks):
            if rack.logged_as_overloaded != (rack.uplink_correction > LOGGED_UPLINK_CORRECTION):
                rack.logged_as_overloaded = not rack.logged_as_overloaded
                self.host.log(
                    f"rack {i} {'tight' if rack.logged_as_overloaded else 'eased'}: {rack.uplink_correction:.2f}"
                )

    def _move_thresholds(self) -> None:
        """Moves T2 and T3 towards T1 while x exceeds them, resets them under T1, and logs a change of mode."""
        if (x := self.x) < T1:
            self.t2, self.t3 = T2, T3
        if x > self.t2:
            self.t2 -= min(x - self.t2, MAX_THRESHOLD_MOVE * (self.t2 - T1))
        if x > self.t3:
            self.t3 -= min(x - self.t3, MAX_THRESHOLD_MOVE * (self.t3 - T1))
        mode = "open" if x <= T1 else "band" if x <= self.t2 else "closed"
        mode += ", stepping down" if x > self.t3 else ""
        if mode != self.mode:
            self.mode = mode
            self.host.log(
                f"mode {mode}: x={x:.2f} err={self.prediction_error:.2f} T2={self.t2:.2f} T3={self.t3:.2f}"
            )

    def _adjust_rungs(self, ready: list[Node], now: int) -> None:
        """Steps the rungs of playing playbacks down past T3 and up under T1, a bounded share of them per interval."""
        rungs = [pb.rung for node in ready for pb in node.playbacks]
        self.mean_rung = sum(rungs) / len(rungs) if rungs else self._middle_rung()
        for node in [n for n in ready if n.playbacks]:
            playing = [pb for pb in node.playbacks if pb.state is PlaybackState.PLAYING]
            load = self._effective_load(node, now)
            mark = (
                T1 if now - node.short_delivery_at < SHORT_DELIVERY_VALID_NS else self.t3
            )  # short delivery is reported without noise
            if load > mark:
                p = step_down_probability(max(self.x, load), self.t3)
                down = [pb for pb in playing if pb.rung > pb.plan.floor]
                down.sort(key=lambda pb: self._revenue_per_kb(pb, pb.rung - 1))
                self._step_rungs(node, down, -1, (load - mark) * node.link_capacity, p, now)
            elif self.x < T1 and load < UPPER_RUNG_LOAD_LIMIT:
                even = self.mean_rung + 0.5
                rested = [pb for pb in playing if now - pb.rung_changed_at > STEP_UP_DELAY_NS]
                up = [pb for pb in rested if pb.rung < pb.top_rung and pb.rung <= even]
                up.sort(key=lambda pb: -self._revenue_per_kb(pb, pb.rung))
                self._step_rungs(node, up, 1, (UPPER_RUNG_LOAD_LIMIT - load) * node.link_capacity, 1.0, now)

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
        own = sum(self._playback_rate(pb, pb.rung) for pb in node.playbacks)
        many = min(
            max(1.0, node.estimated_load * node.link_capacity / max(own, 1.0)), self.settings.front_count
        )
        pace = (MAX_STEP_UP_SHARE if direction > 0 else MAX_STEP_DOWN_SHARE) * len(node.playbacks)
        for pb in candidates:
            kb = abs(self._playback_rate(pb, pb.rung + direction) - self._playback_rate(pb, pb.rung))
            part = min(1.0, pace, rate_gap / max(1.0, kb * many))
            if part <= 0:
                break
            rate_gap, pace = rate_gap - part * kb * many, pace - part
            self._add_own_rate_change(node, direction * kb * (many - 1) * part * probability, now)
            if self.rng.random() < part * probability:
                self._add_own_rate_change(node, direction * kb, now)
                pb.rung, pb.rung_changed_at = pb.rung + direction, now
                self.host.set_rung(pb, pb.rung)

    def _revenue_per_kb(self, playback: Playback, lower_rung: int) -> float:
        """Revenue gained by the step from a rung to the next, per kB/s."""
        worth = playback.plan.revenue * (
            self.settings.rung_revenue_shares[lower_rung + 1] - self.settings.rung_revenue_shares[lower_rung]
        )
        return worth / max(
            1.0, self._playback_rate(playback, lower_rung + 1) - self._playback_rate(playback, lower_rung)
        )

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
        if playback.copy_of is not None and not self._may_retry(playback, now):
            self._give_up(playback, now)
            return
        self._record_time(
            self.request_times if playback.copy_of is None else self.retry_times, now
        )  # a copy counts as a retry
        self.recent_requests.add(1.0, now, self.settings.overload_window_ns)
        if not playback.comes_from_move and self.rng.random() < refusal_probability(self.x, self.t2):
            self._give_up(playback, now)
        else:
            self._place(playback, now)

    def _place(self, playback: Playback, now: int) -> None:
        """Sends a try to the less loaded of the first two holders with room, or gives the playback up."""
        plan = playback.plan
        two, unsure = list[Node](), list[Node]()
        if not plan.seats or playback.title.seats_taken.get(plan, 0) < plan.seats:
            for node in self._holders(playback.title):
                low = self._added_rate(playback, node, plan.floor)
                if (
                    self._may_try(playback, node, now)
                    and self._effective_load(node, now, low) <= LINK_LOAD_LIMIT
                ):
                    # Without load reports, all front ends would fill a title's first holders without noticing. So a
                    # holder comes last at random, with the weight of missing reports as probability (near 0 with few
                    # front ends), unless its known load is under the assumed one. Drawback: a title spreads over more
                    # holders than it needs.
                    fresh = node.load_known and self._effective_load(node, now) < self.assumed_load
                    (two if fresh or self.rng.random() >= self.unreported_weight else unsure).append(node)
                    if len(two) == 2:
                        break
        self.rng.shuffle(unsure)
        two = [*two, *unsure][:2]
        if two:
            node = min(two, key=lambda n: (self._effective_load(n, now), self.rng.random()))
            self._send_try(playback, node, self._start_rung(playback, node, now), now)
        else:
            self._give_up(playback, now)

    def _middle_rung(self) -> float:
        """Mean rung assumed by a front end that plays nothing.

        Otherwise a whole fleet that comes back would start at the bottom of the ladder, as no front end has a
        playback to go by. Drawback: it starts too high where links are full and report nothing.
        """
        return float((len(self.settings.rung_rates) - 1) // 2)

    def _start_rung(self, playback: Playback, node: Node, now: int) -> int:
        """Highest rung that keeps the load under its limit, which is lower for the upper half of the ladder.

        It is at most one above the mean of what plays on the node, or on this front end where few play on the node:
        otherwise the first viewers would take what later ones lack. Also protects front ends that know no load yet.
        Drawback: a lone viewer starts low.
        """
        playing = [other.rung for other in node.playbacks]
        mean = sum(playing) / len(playing) if len(playing) > 2 else self.mean_rung
        most = max(playback.plan.floor, min(playback.top_rung, round(mean) + 1))
        rung = playback.plan.floor
        while rung < most:
            mark = LINK_LOAD_LIMIT if rung < len(self.settings.rung_rates) // 2 else UPPER_RUNG_LOAD_LIMIT
            if self._effective_load(node, now, self._added_rate(playback, node, rung + 1)) > mark:
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
            node.cold_slot, node.cold_slot_setups = slot, 0
        node.cold_slot_setups += 1
        until = playback.abandon_at - 10 * MS
        if playback.plan.effect is not Effect.PAID and len(playback.tries) + 1 < self.settings.max_tries:
            until = min(until, now + int(playback.plan.startup_target_ns * RETRYABLE_TRY_SHARE))
        playback.tries.append((node, now))
        self._set_state(playback, PlaybackState.SETTING_UP, now, node)
        self.host.send_setup(playback, node, until)

    def _may_try(self, playback: Playback, node: Node, now: int) -> bool:
        """Whether the rules, the failure score and the cold pace allow a try on this node now."""
        if node.status is not NodeStatus.READY or any(n is node for n, _ in playback.tries):
            return False
        if playback.node_filter is not None and not playback.node_filter(node):
            return False
        if not all(self._repeats_safely(playback, ran, at, node, now) for ran, at in playback.may_have_run):
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
        faint = node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS) < 2 * FAILURE_SCORE_LIMIT
        return faint and not node.pending_setups and playback.plan.effect is Effect.FREE

    def _is_healthy(self, node: Node, now: int) -> bool:
        """Whether a node answers in time and its failure score is under the limit."""
        answers = all(now - at <= MAX_ANSWER_DELAY_NS for at in node.pending_setups.values())
        return answers and node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS) < FAILURE_SCORE_LIMIT

    def _known_uptime_ns(self, node: Node, now: int) -> int:
        """Time for which a node has certainly been up without a failure seen here.

        Right after its own start a front end can't know it, except for nodes with a playback handed over to it.
        """
        if now - self.started_at < UPTIME_UNKNOWN_NS and not node.has_handed_over_playback:
            return 0
        return max(0, now - max(node.started_at, node.failed_at))

    def _cold_slot(self, node: Node, now: int) -> tuple[int, int]:
        """Number of the running time slot, and the set-ups that all front ends together may send a cold node in it."""
        terms = self.settings
        age = min(self._known_uptime_ns(node, now), terms.cold_duration_ns)
        share = (
            terms.cold_pace_share + (1 - terms.cold_pace_share) * (age / max(1, terms.cold_duration_ns)) ** 2
        )
        pace = (
            terms.overload_multiple * share * node.playback_capacity / max(1, terms.cold_duration_ns)
        )  # set-ups per ns
        allowed = int(COLD_SLOT_BUDGET_SHARE * pace * terms.overload_window_ns)
        if allowed >= 1:
            return now // terms.overload_window_ns, allowed
        length = int(2 * max(terms.overload_window_ns, 1 / max(pace, 1e-15)))
        return now // length, 1 if now % length < length // 2 else 0

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
        turns = (
            -(-self.settings.front_count // allowed) if allowed else 0
        )  # one slot in so many is this front end's
        if turns and not (slot + self.settings.front_index + stable_hash(node.name)) % turns:
            return (node.cold_slot_setups if slot == node.cold_slot else 0) < max(
                1, allowed // self.settings.front_count
            )
        # The front end whose slot it is seldom has a request. Where the budget is large enough for random set-ups to stay
        # under it, the others may send as well, at a probability with which all of them, if as busy as this one and
        # asked for this title, use half the slot's budget.
        # Shortly after its start a front end has counted only part of its usual requests. The count is scaled up for
        # that; a single first request is not yet a rate.
        seen = 1 - 0.5 ** max(1.0, (now - self.started_at) / self.settings.overload_window_ns)
        busy = self.recent_requests.read(now, self.settings.overload_window_ns) / seen
        each = DEMAND_SKEW * busy / len(self._holders(playback.title))
        return (
            allowed >= MIN_CHANCE_SETUPS
            and self.rng.random() * each * self.settings.front_count < allowed / 2
        )

    def _repeats_safely(
        self, playback: Playback, earlier_node: Node, earlier_sent_at: int, node: Node, now: int
    ) -> bool:
        """Whether a set-up may be repeated on `node` although one sent to another node may have run."""
        plan = playback.plan
        if plan.effect is Effect.FREE:
            return True
        if plan.effect is Effect.PAID or now - earlier_sent_at >= plan.key_ttl_ns:
            return False
        same = {
            KeyScope.ALL: True,
            KeyScope.ZONE: node.zone == earlier_node.zone,
            KeyScope.CELL: node.cell == earlier_node.cell,
        }
        return same[plan.key_scope]

    def _may_retry(self, playback: Playback, now: int) -> bool:
        """Whether the number of tries, the viewer's abandon time and the retry budget allow another try."""
        terms = self.settings
        if len(playback.tries) >= terms.max_tries or now >= playback.abandon_at - 20 * MS:
            return False
        if terms.retry_budget_base is None:
            return True
        while self.request_times and self.request_times[0] <= now - terms.retry_budget_window_ns:
            self.request_times.popleft()
        while self.retry_times and self.retry_times[0] < now - terms.retry_budget_window_ns:
            self.retry_times.popleft()
        return len(self.retry_times) + 1 <= terms.retry_budget_base + terms.retry_budget_share * len(
            self.request_times
        )

    def _record_time(self, times: deque[int], now: int) -> None:
        """Adds a time to the window of the retry budget, where there is a budget.

        Drops what has left the window: a front end whose tries seldom fail would otherwise keep all times.
        """
        if self.settings.retry_budget_base is not None:
            times.append(now)
            while times[0] < now - self.settings.retry_budget_window_ns:
                times.popleft()

    def _give_up(self, playback: Playback, now: int) -> None:
        """Gives the final answer: a rejection, or an abort where a paid or keyed set-up may have run."""
        plan = playback.plan
        harmless = plan.effect is Effect.KEYED and plan.key_scope is KeyScope.ALL
        if playback.may_have_run and plan.effect is not Effect.FREE and not harmless:
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
        self.held_rate_history[0] = (now, self.held_rate + self._playback_rate(playback, playback.rung))
        self._set_state(playback, PlaybackState.PLAYING, now, node)

    def on_history_restored(
        self, retry_times: Iterable[int], nodes_with_spent_slot: Iterable[Node], now: int
    ) -> None:
        """Takes over what an earlier process of this front end did.

        `retry_times` count in the retry budget; the running time slot of `nodes_with_spent_slot` is used up.
        """
        self.retry_times.extend(retry_times)
        for node in nodes_with_spent_slot:
            node.cold_slot, node.cold_slot_setups = self._cold_slot(node, now)[0], SLOT_USED_UP

    def on_playing(self, playback: Playback, now: int) -> None:
        """Handles a successful set-up; ignored when repeated, or after the playback has ended."""
        if playback.state is PlaybackState.SETTING_UP:
            playback.next_link_load_is_current = True
            self._set_state(playback, PlaybackState.PLAYING, now)

    def on_try_ended(
        self, playback: Playback, outcome: Outcome, is_closed: bool,
        link_load: float | None, link_used: float | None, uplink_load: float | None, now: int,
    ) -> None:  # fmt: skip
        """Handles the end of a setup try or of the playback that it started.

        `is_closed` says that no more comes of the playback. `link_load` is the demand on the link over its capacity,
        `link_used` the same capped at 1, `uplink_load` that of the rack's uplink. Ignored where no try is out and
        nothing plays: the event is a duplicate or late.
        """
        node, state = playback.node, playback.state
        if node is None or state not in SEAT_HOLDING_STATES:
            return
        if link_load is not None:
            self._record_link_load(node, link_load, TRY_REPORT_AGE_NS, now)
        elif link_used is not None and (link_used < 0.99 or node.estimated_load < 1):
            self._record_link_load(
                node, link_used, TRY_REPORT_AGE_NS, now
            )  # capped at 1; a higher known load stands
        if uplink_load is not None:
            self._record_uplink_load(node.rack, uplink_load)
        proven = outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        if outcome in (Outcome.NO_CONNECTION, Outcome.RESET, Outcome.LATE):
            if outcome is not Outcome.LATE or node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS) > 1:
                node.failed_at = now
            node.failure_score.add(1.0, now, FAILURE_SCORE_HALF_LIFE_NS)
        elif outcome is Outcome.ERROR and playback.title.has_played:
            # Only for titles that have played: requests for titles that don't exist would otherwise raise the score
            # of good nodes. Drawback: a node that answers everything with errors is found only once it is asked for a
            # title that has played.
            node.failure_score.add(0.4, now, FAILURE_SCORE_HALF_LIFE_NS)
        elif outcome is Outcome.FULL:
            # It holds as many playbacks as it can, even if its link has room.
            self._record_link_load(node, max(node.estimated_load, T1), 0, now, is_inferred=True)
        if is_closed or state is not PlaybackState.SETTING_UP:
            self._set_state(playback, PlaybackState.ENDED, now)
            return
        if not proven:
            playback.may_have_run.append(playback.tries[-1])
        self._set_state(playback, PlaybackState.BETWEEN_TRIES, now)
        if self._may_retry(playback, now):
            self._place(playback, now)
        else:
            self._give_up(playback, now)

    def on_viewer_left(self, playback: Playback, now: int) -> None:
        """Handles the leaving of a viewer; the end of a try that is out is still reported."""
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
        """Changes the state of a playback, and the seats and loads with it; nothing else does.

        Raises ValueError for a transition that is not allowed.
        """
        if state not in STATE_TRANSITIONS.get(playback.state, ()):
            raise ValueError(f"a playback cannot go from {playback.state.value} to {state.value}")
        held, playback.state = playback.state in SEAT_HOLDING_STATES, state
        if node:
            playback.node = node
        at = playback.node
        if at is None:
            return
        playback.title.has_played |= state is PlaybackState.PLAYING
        if state is PlaybackState.SETTING_UP:
            at.pending_setups[playback] = now
        else:
            at.pending_setups.pop(playback, None)
        if held != (state in SEAT_HOLDING_STATES):
            sign = -1 if held else 1
            seats = playback.title.seats_taken
            seats[playback.plan] = seats.get(playback.plan, 0) + sign
            if held:
                del at.playbacks[playback]
            else:
                at.playbacks[playback] = None
            self.held_rate += sign * self._playback_rate(playback, playback.rung)
            self._add_own_rate_change(at, sign * self._playback_rate(playback, playback.rung), now)


# The paper's formulas.


def stable_hash(text: str) -> int:
    """64-bit hash of a text; the same on all front ends and in all processes."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def forecast(samples: Sequence[float]) -> float:
    """Next value on the line fitted to equally spaced samples by least squares, at least 0."""
    n = len(samples)
    mean = sum(samples) / n
    if n < 2:
        return mean
    mid = (n - 1) / 2
    slope = sum((i - mid) * s for i, s in enumerate(samples)) / sum((i - mid) ** 2 for i in range(n))
    return max(0.0, mean + slope * (n - mid))


def cluster_load(loads: list[float]) -> float:
    """The paper's l_c: alpha times the mean plus 1 - alpha times the variance."""
    mean = sum(loads) / len(loads)
    return ALPHA * mean + (1 - ALPHA) * sum((v - mean) ** 2 for v in loads) / len(loads)


def blend_loads(prediction_error: float, predicted: float, measured: float) -> float:
    """The paper's x: the mean of measured and predicted load, weighted by the error of the last prediction."""
    return (1 - prediction_error) * predicted + prediction_error * measured


def refusal_probability(load: float, t2: float) -> float:
    """Probability of a rejection: 0 up to T1, 1 from T2 on, linear in the band between them."""
    if load <= T1:
        return 0.0
    return 1.0 if load >= t2 else (load - T1) / (t2 - T1)


def step_down_probability(load: float, t3: float) -> float:
    """The paper's max(pu, 1 - pu), where pu = 1 - |(x - T3) / (C - T3)|, kept within 0 and 1."""
    pu = 1 - min(1.0, abs((load - t3) / (MAX_SAMPLED_LOAD - t3)))
    return max(pu, 1 - pu)
