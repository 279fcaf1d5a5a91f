"""A simulated day of a fleet whose nodes report no loads: real decision modules, a simple model of the links.

Fronts receive only delivered shares: once a second, for one session per node, while the node delivers too little. The
middle third of a simulated day has a burst of requests. The result is the revenue earned divided by the revenue wanted;
a session that gets less than 98% of its rate loses 7% of its revenue for each missing percent. As this is a model, only
differences between two versions of the module are meaningful.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import NamedTuple

from benchmarks.decision_module import PLAIN_DEPLOYMENT, NullHost, create_plan
from oakcroft.choice import Controller
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
    Outcome,
    Plan,
    Playback,
    PlaybackState,
    DeploymentSettings,
    Title,
)

DAY_NS = 45 * SECOND
STEP_NS = 100 * MS
SETUP_DELAY_NS = 60 * MS
REPORT_DELAY_NS = SECOND
MEAN_SESSION_S = 40.0
RUNG_RATES = (231.0, 486.0, 1041.0, 2198.0)
"""kB/s."""
RUNG_REVENUE_SHARES = (0.22, 0.5, 0.75, 1.0)
MEAN_RATE = 745.0
"""kB/s of a session, from which the capacity of links and the request rate follow."""
SESSIONS_PER_CORE = 4.5
CORE_COUNTS = (2, 4)
CAPACITY_PER_SESSION = 2.6
"""Listed capacity of a node per session that its link carries."""
UPLINK_SHARE = 0.66
"""Capacity of a rack's uplink as a share of the capacity of its links."""
CAPACITY_SIGMA = 0.2
"""Relative standard deviation of the true capacity of links and uplinks."""
NODES_PER_RACK = 5.5
FULL_DELIVERY_SHARE = 0.98
STALL_PENALTY = 7.0
"""Revenue lost per missing share of delivery, as a multiple."""
LEAVE_BELOW_SHARE = 0.75
LEAVE_CHANCE = 0.03
"""Chance in each step that a session with less than `LEAVE_BELOW_SHARE` is withdrawn."""
FULL_AT_LOAD = 1.3
"""Requested rate over link capacity at which a node answers that it is full."""
RETRY_CHANCE = 0.92
RETRY_DELAY_NS = (800 * MS, 2100 * MS)
SMALL_SCREEN_SHARE = 0.25
SMALL_SCREEN_TOP_RUNG = 1
BURST_FACTOR = 1.5
BACKGROUND_RATE_SHARE = 0.92
"""Share of the target load that is requested outside of the burst."""
INITIAL_SESSION_SHARE = 0.9
SMOOTHING = 0.3
"""Weight of the newest delivered share in its moving average."""


TOP_RUNG = len(RUNG_RATES) - 1
STARTUP_TARGET_NS = 1500 * MS
PLANS = (
    create_plan(TOP_RUNG, Effect.FREE, 1.0, 0.7, STARTUP_TARGET_NS),
    create_plan(TOP_RUNG, Effect.PAID, 2.0, 1.4, STARTUP_TARGET_NS),
)
PLAN_SHARES = (0.75, 0.25)


@dataclass
class ModelNode:
    """The true state of a node, which is unknown to the fronts. Capacities and rates are in kB/s."""

    listed_link_capacity: float
    true_link_capacity: float
    capacity: float
    rack: int
    sessions: dict[Session, None] = field(default_factory=dict)
    delivered_share: float = 1.0
    smoothed_share: float = 1.0
    was_short: dict[Front, bool] = field(default_factory=dict)

    def requested_rate(self) -> float:
        """Returns the rate that all sessions together would take."""
        return sum(RUNG_RATES[session.rung] * session.playback.plan.rate_factor for session in self.sessions)


@dataclass(eq=False)
class Session:
    """One viewer's session, which is wanted until `ends_at`."""

    playback: Playback
    top_rung: int
    ends_at: int
    node: ModelNode | None = None
    rung: int = 0


class Front(NullHost):
    """One front: the host of a decision module."""

    def __init__(self, day: Day, number: int) -> None:
        """Creates the front with this index."""
        self.day = day
        self.nodes = {Node(f"n{i}"): node for i, node in enumerate(day.nodes)}
        self.sessions: dict[Playback, Session] = {}
        self.controller = Controller(
            replace(day.settings, front_index=number), day.rng.getrandbits(50), self, 0
        )
        entries = list[NodeEntry]()
        for i, (node, model) in enumerate(self.nodes.items()):
            node.cell = i
            entries.append(NodeEntry(node, NodeStatus.READY, 0, model.listed_link_capacity, model.capacity))
        self.controller.on_node_list(NodeListKind.KEPT, entries, 0)

    def request(self, plan: Plan, top_rung: int, ends_at: int) -> None:
        """Handles a viewer's request for a playback."""
        title = Title(str(self.day.rng.random()), 0, 0)  # on all nodes
        playback = Playback(title, plan, top_rung, self.day.now + 3 * SECOND, False)
        self.sessions[playback] = Session(playback, top_rung, ends_at)
        self.day.request_count += 1
        self.controller.on_request(playback, self.day.now)

    def hand_over(self, plan: Plan, top_rung: int, ends_at: int, node: Node, rung: int) -> None:
        """Adds a session that has been playing since before the start."""
        playback = Playback(Title(str(self.day.rng.random()), 0, 0), plan, top_rung, 0, False)
        session = Session(playback, top_rung, ends_at, self.nodes[node], rung)
        self.sessions[playback] = session
        self.nodes[node].sessions[session] = None
        self.controller.on_handed_over(playback, node, 0)
        self.controller.on_metric(playback, PlaybackMetric.RUNG, rung, 0)
        self.day.schedule(ends_at, lambda: self.end_session(session, Outcome.DONE))

    def end_session(self, session: Session, outcome: Outcome) -> None:
        """Ends a session that played."""
        if session.node is not None and self.sessions.pop(session.playback, None) is not None:
            del session.node.sessions[session]
            self.controller.on_try_ended(session.playback, outcome, True, None, None, None, self.day.now)

    def _set_up(self, playback: Playback, model: ModelNode) -> None:
        if playback.state is not PlaybackState.SETTING_UP:
            return
        is_overloaded = model.requested_rate() > FULL_AT_LOAD * model.true_link_capacity
        if len(model.sessions) >= model.capacity or is_overloaded:
            self.controller.on_try_ended(playback, Outcome.FULL, False, None, None, None, self.day.now)
            return
        session = self.sessions[playback]
        session.node = model
        session.rung = playback.rung
        model.sessions[session] = None
        self.controller.on_playing(playback, self.day.now)
        self.day.schedule(session.ends_at, lambda: self.end_session(session, Outcome.DONE))

    # The host interface that the decision module calls.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends a set-up to a node."""
        model = self.nodes[node]
        self.day.schedule(self.day.now + SETUP_DELAY_NS, lambda: self._set_up(playback, model))

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Rejects a request; most viewers retry on any front."""
        session = self.sessions.pop(playback)
        day = self.day
        day.rejected_count += 1
        if day.rng.random() < RETRY_CHANCE:
            retry_at = day.now + day.rng.randrange(*RETRY_DELAY_NS)
            if retry_at < session.ends_at:
                front = day.rng.choice(day.fronts)
                day.schedule(
                    retry_at, lambda: front.request(playback.plan, session.top_rung, session.ends_at)
                )

    def abort(self, playback: Playback) -> None:
        """Handled like a rejection: the viewer cannot tell the difference."""
        self.reject(playback, 0)

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Applies a rung at once."""
        if playback in self.sessions:
            self.sessions[playback].rung = rung

    def set_timer(self, at: int) -> None:
        """Schedules the end of an interval."""
        self.day.schedule(at, lambda: self.controller.on_timer(self.day.now))


class DayResult(NamedTuple):
    """The result of one simulated day."""

    earned_share: float
    """Earned over wanted revenue."""
    rejected_share: float
    """Rejections over requests."""
    mean_x: float
    """Mean x of the fronts at the end."""


def create_settings(fronts: int, nodes: int, racks: int, uplink: float) -> DeploymentSettings:
    """Returns the settings of a deployment; `uplink` is the capacity of a rack's uplink in kB/s."""
    return replace(
        PLAIN_DEPLOYMENT,
        front_count=fronts,
        cell_count=nodes,
        rack_count=racks,
        rung_rates=RUNG_RATES,
        rung_revenue_shares=RUNG_REVENUE_SHARES,
        uplink_capacity=uplink,
        report_delay_ns=REPORT_DELAY_NS,
        report_interval_ns=0,
        max_tries=4,
        max_retry_after_ns=500 * MS,
        overload_window_ns=1500 * MS,
    )


class Day:
    """One simulated day. `load` is the requested share of what links and uplinks carry, at the mean rate."""

    def __init__(self, fronts: int, nodes: int, load: float, seed: int) -> None:
        """Creates the fronts and nodes and the sessions that play at the start."""
        self.rng = Random(seed)
        self.now = 0
        self.rejected_count = 0
        self.request_count = 0
        self.earned_revenue = 0.0
        self.wanted_revenue = 0.0
        self.event_heap = list[tuple[int, int, Callable[[], None]]]()
        self.scheduled_count = 0
        racks = max(1, round(nodes / NODES_PER_RACK))
        self.nodes = [self._create_node(i % racks) for i in range(nodes)]
        uplink = UPLINK_SHARE * sum(node.listed_link_capacity for node in self.nodes) / racks
        self.uplinks = [uplink * self._draw_capacity_factor() for _ in range(racks)]
        self.settings = create_settings(fronts, nodes, racks, uplink)
        self.fronts = [Front(self, i) for i in range(fronts)]
        self.front_weights = [self.rng.lognormvariate(0, 0.5) for _ in range(fronts)]
        mean_rate = MEAN_RATE * sum(
            share * plan.rate_factor for share, plan in zip(PLAN_SHARES, PLANS, strict=True)
        )
        total_capacity = min(sum(node.true_link_capacity for node in self.nodes), sum(self.uplinks))
        self.sessions_per_second = BACKGROUND_RATE_SHARE * load * total_capacity / mean_rate / MEAN_SESSION_S
        self._start()

    def _draw_capacity_factor(self) -> float:
        return max(0.4, self.rng.gauss(1, CAPACITY_SIGMA))

    def _create_node(self, rack: int) -> ModelNode:
        sessions = SESSIONS_PER_CORE * self.rng.choice(CORE_COUNTS)
        link = sessions * MEAN_RATE
        return ModelNode(link, link * self._draw_capacity_factor(), sessions * CAPACITY_PER_SESSION, rack)

    def _start(self) -> None:
        for _ in range(round(self.sessions_per_second * MEAN_SESSION_S * INITIAL_SESSION_SHARE)):
            front, plan, top_rung, ends_at = self._draw_viewer()
            weights = [model.listed_link_capacity for model in self.nodes]
            node = self.rng.choices(list(front.nodes), weights)[0]
            front.hand_over(plan, top_rung, ends_at, node, min(top_rung, self.rng.choice((0, 1, 1, 2))))
        self._schedule_next_request()
        self.schedule(0, self._step)

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Schedules an event."""
        self.scheduled_count += 1
        heapq.heappush(self.event_heap, (at, self.scheduled_count, event))

    def _draw_viewer(self) -> tuple[Front, Plan, int, int]:
        """Returns the front, plan, top rung and end of a new viewer's session."""
        plan = self.rng.choices(PLANS, PLAN_SHARES)[0]
        top_rung = SMALL_SCREEN_TOP_RUNG if self.rng.random() < SMALL_SCREEN_SHARE else plan.top_rung
        ends_at = self.now + round(max(1.0, self.rng.expovariate(1 / MEAN_SESSION_S)) * SECOND)
        wanted_ns = min(ends_at, DAY_NS) - self.now
        self.wanted_revenue += plan.revenue * RUNG_REVENUE_SHARES[top_rung] * wanted_ns / SECOND
        return self.rng.choices(self.fronts, self.front_weights)[0], plan, top_rung, ends_at

    def _schedule_next_request(self) -> None:
        def request() -> None:
            """Requests a playback and schedules the next request."""
            front, plan, top_rung, ends_at = self._draw_viewer()
            front.request(plan, top_rung, ends_at)
            self._schedule_next_request()

        is_burst = DAY_NS // 3 < self.now < DAY_NS * 2 // 3
        rate = self.sessions_per_second * (BURST_FACTOR if is_burst else 1)
        self.schedule(self.now + round(self.rng.expovariate(rate) * SECOND), request)

    def _step(self) -> None:
        rack_traffic = [0.0] * len(self.uplinks)
        for node in self.nodes:
            rack_traffic[node.rack] += min(node.requested_rate(), node.true_link_capacity)
        for node in self.nodes:
            link_load = node.requested_rate() / node.true_link_capacity
            uplink_load = rack_traffic[node.rack] / self.uplinks[node.rack]
            node.delivered_share = 1 / max(1.0, link_load, uplink_load)
            node.smoothed_share += SMOOTHING * (node.delivered_share - node.smoothed_share)
            self._count_revenue(node)
            if self.now % SECOND == 0:
                self._report_short_delivery(node)
        self.schedule(self.now + STEP_NS, self._step)

    def _count_revenue(self, node: ModelNode) -> None:
        missing_share = max(0.0, FULL_DELIVERY_SHARE - node.delivered_share)
        earned_share = max(0.0, 1 - STALL_PENALTY * missing_share)
        for session in list(node.sessions):
            rung_share = RUNG_REVENUE_SHARES[min(session.rung, session.top_rung)]
            revenue = session.playback.plan.revenue * rung_share
            self.earned_revenue += revenue * earned_share * STEP_NS / SECOND
            if node.delivered_share < LEAVE_BELOW_SHARE and self.rng.random() < LEAVE_CHANCE:
                front = next(front for front in self.fronts if session.playback in front.sessions)
                front.end_session(session, Outcome.WITHDRAWN)

    def _report_short_delivery(self, node: ModelNode) -> None:
        """Reports short delivery to each front that has a session on the node, and once more after it has ended."""
        for front in self.fronts:
            session = next((own for own in node.sessions if own.playback in front.sessions), None)
            is_short = node.smoothed_share < FULL_DELIVERY_SHARE
            if session is not None and (is_short or node.was_short.get(front, False)):
                report = self._create_report(front, session.playback, min(1.0, node.smoothed_share))
                self.schedule(self.now + REPORT_DELAY_NS, report)
            node.was_short[front] = is_short

    def _create_report(self, front: Front, playback: Playback, share: float) -> Callable[[], None]:
        return lambda: front.controller.on_metric(playback, PlaybackMetric.DELIVERED_SHARE, share, self.now)

    def play(self) -> DayResult:
        """Runs the day."""
        while self.event_heap[0][0] < DAY_NS:
            self.now, _, event = heapq.heappop(self.event_heap)
            event()
        x = sum(front.controller.x for front in self.fronts) / len(self.fronts)
        rejected_share = self.rejected_count / max(1, self.request_count)
        return DayResult(self.earned_revenue / self.wanted_revenue, rejected_share, x)
