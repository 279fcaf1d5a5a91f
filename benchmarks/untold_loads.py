"""A fleet whose nodes report no loads, simulated: the real module in each front, a plain model of links and uplinks.

python -m benchmarks.untold_loads [SEEDS]

Fronts hear of nothing but shares delivered, once a second on one session a node while it gives too little. A day has a
burst in its middle third. The figure is revenue earned over revenue wanted, second by second; a session that gets under
98% of its rate loses seven points for each that is missing. It is a model: only differences between two texts of the
module mean anything.
"""

from __future__ import annotations

import heapq
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from oakcroft.choice import Controller
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    KeyScope,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
    Outcome,
)
from oakcroft.interface import Plan, Playback, PlaybackState, DeploymentSettings, Title

DAY, STEP, SHOWS = 45 * SECOND, 100 * MS, 5 * SECOND
SET_UP, SEEN_AFTER = 60 * MS, SECOND
LIFE = 40.0  # seconds, mean
RATES, WORTH = (231.0, 486.0, 1041.0, 2198.0), (0.22, 0.5, 0.75, 1.0)  # kB a second
MIDDLE = 745.0  # kB a second
SESSIONS_A_CORE, PLACES_A_SESSION, CORES = 4.5, 2.6, (2, 4)
UPLINK_SHARE, SPREAD = 0.66, 0.2  # of a rack's links; sigma of true links and uplinks
NODES_A_RACK = 5.5
ENOUGH, STALL, LEAVES_UNDER, LEAVES = 0.98, 7.0, 0.75, 0.03  # the last: chance in a step
REFUSES_AT = 1.3  # asked over given at which a node answers that it is full
RETURNS, RETURNS_AFTER = 0.92, (800 * MS, 2100 * MS)
SMALL_SCREENS, SMALL_TOP = 0.25, 1
BURST = 1.5


def plan(effect: Effect, revenue: float, rate_factor: float) -> Plan:
    """One plan without seats or floor."""
    return Plan(
        effect=effect, key_scope=KeyScope.ALL, key_ttl_ns=SECOND, startup_target_ns=1500 * MS, revenue=revenue,
        floor=0, top_rung=len(RATES) - 1, seats=0, rate_factor=rate_factor, shares_stream=False,
    )  # fmt: skip


PLANS, PLAN_SHARES = (plan(Effect.FREE, 1.0, 0.7), plan(Effect.PAID, 2.0, 1.4)), (0.75, 0.25)


@dataclass
class ModelNode:
    """A node as it is, which no front is told."""

    link: float  # as listed, kB a second
    gives: float
    places: float
    rack: int
    sessions: dict[Session, None] = field(default_factory=dict)
    share: float = 1.0
    smooth: float = 1.0
    was_short: dict[Front, bool] = field(default_factory=dict)

    def asked(self) -> float:
        """kB a second."""
        return sum(RATES[s.rung] * s.pb.plan.rate_factor for s in self.sessions)


@dataclass(eq=False)
class Session:
    """What one viewer wants until `ends`."""

    pb: Playback
    top: int
    ends: int
    node: ModelNode | None = None
    rung: int = 0


class Front:
    """One front: the module's host."""

    def __init__(self, day: Day, number: int) -> None:
        """The front of this number on a day."""
        self.day = day
        self.nodes = {Node(f"n{i}"): node for i, node in enumerate(day.nodes)}
        self.sessions: dict[Playback, Session] = {}
        self.control = Controller(replace(day.terms, front_index=number), day.rng.getrandbits(50), self, 0)
        entries = list[NodeEntry]()
        for i, (node, model) in enumerate(self.nodes.items()):
            node.cell = i
            entries.append(NodeEntry(node, NodeStatus.READY, 0, model.link, model.places))
        self.control.on_node_list(NodeListKind.KEPT, entries, 0)

    def ask(self, terms: Plan, top: int, ends: int) -> None:
        """A viewer comes."""
        title = Title(str(self.day.rng.random()), 0, 0)  # on all nodes
        pb = Playback(title, terms, top, self.day.now + 3 * SECOND, False)
        self.sessions[pb] = Session(pb, top, ends)
        self.day.asks += 1
        self.control.on_request(pb, self.day.now)

    def hand_over(self, terms: Plan, top: int, ends: int, node: Node, rung: int) -> None:
        """A session plays from before the start."""
        pb = Playback(Title(str(self.day.rng.random()), 0, 0), terms, top, 0, False)
        session = self.sessions[pb] = Session(pb, top, ends, self.nodes[node], rung)
        self.nodes[node].sessions[session] = None
        self.control.on_handed_over(pb, node, 0)
        self.control.on_metric(pb, PlaybackMetric.RUNG, rung, 0)
        self.day.at(ends, lambda: self.over(session, Outcome.DONE))

    def over(self, session: Session, how: Outcome) -> None:
        """A session that played is over."""
        if session.node is not None and self.sessions.pop(session.pb, None) is not None:
            del session.node.sessions[session]
            self.control.on_try_ended(session.pb, how, True, None, None, None, self.day.now)

    def _set_up(self, pb: Playback, model: ModelNode) -> None:
        if pb.state is not PlaybackState.SETTING_UP:
            return
        if len(model.sessions) >= model.places or model.asked() > REFUSES_AT * model.gives:
            self.control.on_try_ended(pb, Outcome.FULL, False, None, None, None, self.day.now)
            return
        session = self.sessions[pb]
        session.node, session.rung = model, pb.rung
        model.sessions[session] = None
        self.control.on_playing(pb, self.day.now)
        self.day.at(session.ends, lambda: self.over(session, Outcome.DONE))

    # What the module asks for.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """A set-up leaves."""
        model = self.nodes[node]
        self.day.at(self.day.now + SET_UP, lambda: self._set_up(playback, model))

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """A viewer is refused; most come again, to any front."""
        session, day = self.sessions.pop(playback), self.day
        day.refused += 1
        if day.rng.random() < RETURNS:
            back = day.now + day.rng.randrange(*RETURNS_AFTER)
            if back < session.ends:
                front = day.rng.choice(day.fronts)
                day.at(back, lambda: front.ask(playback.plan, session.top, session.ends))

    def abort(self, playback: Playback) -> None:
        """The same to a viewer."""
        self.reject(playback, 0)

    def set_rung(self, playback: Playback, rung: int) -> None:
        """A rung comes into force at once."""
        if playback in self.sessions:
            self.sessions[playback].rung = rung

    def set_timer(self, at: int) -> None:
        """The end of an interval."""
        self.day.at(at, lambda: self.control.on_timer(self.day.now))

    def subscribe_to_nodes(self) -> None:
        """The list does not change."""

    def log(self, message: str) -> None:
        """Nobody reads it."""


class Day:
    """One simulated day. `load`: of what links and uplinks give, at the middle rate."""

    def __init__(self, fronts: int, nodes: int, load: float, seed: int) -> None:
        """A day with so many fronts and nodes."""
        self.rng, self.now, self.refused, self.asks = Random(seed), 0, 0, 0
        self.earned = self.wanted = 0.0
        self.heap = list[tuple[int, int, Callable[[], None]]]()
        self.pushed = 0
        racks = max(1, round(nodes / NODES_A_RACK))
        self.nodes = [self._node(i % racks) for i in range(nodes)]
        uplink = UPLINK_SHARE * sum(n.link for n in self.nodes) / racks
        self.uplinks = [uplink * self._spread() for _ in range(racks)]
        self.terms = DeploymentSettings(
            front_count=fronts,
            front_index=0,
            must_subscribe=False,
            subscribe_within_ns=0,
            cell_count=nodes,
            rack_count=racks,
            rung_rates=RATES,
            rung_revenue_shares=WORTH,
            uplink_capacity=uplink,
            join_rate_share=1.0,
            report_delay_ns=SEEN_AFTER,
            report_interval_ns=0,
            max_tries=4,
            max_retry_after_ns=500 * MS,
            cold_pace_share=0.5,
            cold_duration_ns=SECOND,
            overload_multiple=2.5,
            overload_window_ns=1500 * MS,
            retry_budget_base=None,
            retry_budget_share=0.0,
            retry_budget_window_ns=0,
        )
        self.fronts = [Front(self, i) for i in range(fronts)]
        self.weights = [self.rng.lognormvariate(0, 0.5) for _ in range(fronts)]
        mean = MIDDLE * sum(s * p.rate_factor for s, p in zip(PLAN_SHARES, PLANS, strict=True))
        gives = min(sum(n.gives for n in self.nodes), sum(self.uplinks))
        self.rate = 0.92 * load * gives / mean / LIFE  # sessions a second
        self._begin()

    def _spread(self) -> float:
        return max(0.4, self.rng.gauss(1, SPREAD))

    def _node(self, rack: int) -> ModelNode:
        sessions = SESSIONS_A_CORE * self.rng.choice(CORES)
        link = sessions * MIDDLE
        return ModelNode(link, link * self._spread(), sessions * PLACES_A_SESSION, rack)

    def _begin(self) -> None:
        for _ in range(round(self.rate * LIFE * 0.9)):
            front, terms, top, ends = self._viewer()
            node = self.rng.choices(list(front.nodes), [n.link for n in self.nodes])[0]
            front.hand_over(terms, top, ends, node, min(top, self.rng.choice((0, 1, 1, 2))))
        self._next()
        self.at(0, self._step)

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Does something then."""
        self.pushed += 1
        heapq.heappush(self.heap, (when, self.pushed, what))

    def _viewer(self) -> tuple[Front, Plan, int, int]:
        terms = self.rng.choices(PLANS, PLAN_SHARES)[0]
        top = SMALL_TOP if self.rng.random() < SMALL_SCREENS else terms.top_rung
        ends = self.now + round(max(1.0, self.rng.expovariate(1 / LIFE)) * SECOND)
        self.wanted += terms.revenue * WORTH[top] * (min(ends, DAY) - self.now) / SECOND
        return self.rng.choices(self.fronts, self.weights)[0], terms, top, ends

    def _next(self) -> None:
        def come() -> None:
            front, terms, top, ends = self._viewer()
            front.ask(terms, top, ends)
            self._next()

        rate = self.rate * (BURST if DAY // 3 < self.now < DAY * 2 // 3 else 1)
        self.at(self.now + round(self.rng.expovariate(rate) * SECOND), come)

    def _step(self) -> None:
        carried = [0.0] * len(self.uplinks)
        for node in self.nodes:
            carried[node.rack] += min(node.asked(), node.gives)
        for node in self.nodes:
            over = max(node.asked() / node.gives, carried[node.rack] / self.uplinks[node.rack])
            node.share = 1 / max(1.0, over)
            node.smooth += 0.3 * (node.share - node.smooth)
            self._earn(node)
            if self.now % SECOND == 0:
                self._tell(node)
        self.at(self.now + STEP, self._step)

    def _earn(self, node: ModelNode) -> None:
        kept = max(0.0, 1 - STALL * max(0.0, ENOUGH - node.share))
        for session in list(node.sessions):
            revenue = session.pb.plan.revenue * WORTH[min(session.rung, session.top)]
            self.earned += revenue * kept * STEP / SECOND
            if node.share < LEAVES_UNDER and self.rng.random() < LEAVES:
                front = next(f for f in self.fronts if session.pb in f.sessions)
                front.over(session, Outcome.WITHDRAWN)

    def _tell(self, node: ModelNode) -> None:
        """Notes of short delivery, one a front, and one more when it is over."""
        for front in self.fronts:
            mine = next((s for s in node.sessions if s.pb in front.sessions), None)
            short = node.smooth < ENOUGH
            if mine is not None and (short or node.was_short.get(front, False)):
                self.at(self.now + SEEN_AFTER, self._note(front, mine.pb, min(1.0, node.smooth)))
            node.was_short[front] = short

    def _note(self, front: Front, pb: Playback, value: float) -> Callable[[], None]:
        return lambda: front.control.on_metric(pb, PlaybackMetric.DELIVERED_SHARE, value, self.now)

    def play(self) -> tuple[float, float, float]:
        """Revenue earned over wanted, refusals over asks, and the mean x of the fronts at the end."""
        while self.heap[0][0] < DAY:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        x = sum(f.control.x for f in self.fronts) / len(self.fronts)
        return self.earned / self.wanted, self.refused / max(1, self.asks), x


CASES = ((40, 40, 0.47), (40, 40, 0.9), (40, 40, 1.4), (200, 60, 0.47), (3, 16, 0.47), (3, 16, 1.2))


def main() -> None:
    """Prints a table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print("| fronts | nodes | load | earned of wanted | lowest, highest | refused | x at the end |")
    print("| --- " * 7 + "|")
    for fronts, nodes, load in CASES:
        days = [Day(fronts, nodes, load, seed).play() for seed in range(seeds)]
        earned = [d[0] for d in days]
        refused, x = (sum(d[i] for d in days) / seeds for i in (1, 2))
        print(f"| {fronts} | {nodes} | {load} | {sum(earned) / seeds:.3f} | {min(earned):.3f}, {max(earned):.3f}",
              f"| {refused:.0%} | {x:.2f} |", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
