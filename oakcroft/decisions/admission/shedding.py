"""Who is asked about next when the process nears its own capacity: a deadline-aware line in front of the module.

While the front keeps up, every request goes straight through. When its loop lags, fewer are let in at a time and the
rest wait here. What can no longer be answered in time is answered at once, and so is a newcomer whose plan has as many
waiting already as get their turn within its startup target (`sheds`): that costs least before its request is read.
Among those that can be answered, plans share turns in
proportion to their revenue, none under a least share, so that the dear do not starve the cheap; within a plan
clients take turns, and one client's requests go by their deadline. What is turned away here the module never sees: it
learns load from the nodes, not from the door, so its view stays true.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

LEAST_SHARE = 0.1
SHORTEST = 4  # so many of a plan may always wait
PACE_KEPT = 0.8  # of the estimate of turns a second, with each beat


@dataclass
class Window:
    """How many requests may be at work at once, by how late the loop is: a little more with each beat in time, a fifth
    less with each late one (additive increase, multiplicative decrease)."""

    least: int = 16
    most: int = 512
    late: int = 12 * MS  # a set-up takes some ten rounds of the loop
    size: float = 512.0

    def beat(self, lag: int) -> None:
        """A beat came so much later than it was due."""
        self.size = max(self.least, self.size * 0.8) if lag > self.late else min(self.most, self.size + 8)


@dataclass(order=True)
class Waiting:
    """One request in the line."""

    abandon: int
    number: int
    plan: str = field(compare=False)
    client: str = field(compare=False)


@dataclass
class _Plan:
    """The line of one plan: its clients in turn, each with its requests by deadline."""

    weight: float
    served: float = 0.0  # turns taken, over the weight: the plan with least goes next
    waiting: int = 0
    clients: OrderedDict[str, list[Waiting]] = field(default_factory=OrderedDict)


@dataclass
class Line:
    """The line. `needs`: the time that an answer needs at least."""

    weights: Mapping[str, float]
    window: Window
    needs: int
    most: int = 4096
    targets: Mapping[str, int] = field(default_factory=dict)  # of each plan: its startup target
    pace: float = 0.0  # turns a second of late, while any wait
    turns: int = 0  # since the last beat
    at_work: int = 0
    waiting: dict[int, Waiting] = field(default_factory=dict)
    plans: dict[str, _Plan] = field(default_factory=dict)
    clock: float = 0.0

    def __post_init__(self) -> None:
        self.take_version(self.weights, self.targets)

    def take_version(self, weights: Mapping[str, float], targets: Mapping[str, int]) -> None:
        """Revenue and startup target by plan; each gets its share of turns, none under the least. A plan that is gone
        stays until its last request has left."""
        self.weights, self.targets = weights, targets
        for name in [n for n, p in self.plans.items() if n not in weights and not p.waiting]:
            del self.plans[name]
        whole = sum(weights.values()) or 1.0
        for name, revenue in weights.items():
            share = max(LEAST_SHARE, revenue / whole)
            if name in self.plans:
                self.plans[name].weight = share
            else:
                self.plans[name] = _Plan(share, self.clock)

    def enter(self, one: Waiting) -> bool:
        """A request comes; whether it may go on at once. Else it waits for `next`, or the line was full (`full`)."""
        if not self.waiting and self.at_work < self.window.size:
            self._serve(one.plan)
            return True
        self.waiting[one.number] = one
        plan = self.plans.setdefault(one.plan, _Plan(LEAST_SHARE, self.clock))
        plan.waiting += 1
        if not plan.clients:
            plan.served = max(plan.served, self.clock)  # time away from the line gives no credit
        heapq.heappush(plan.clients.setdefault(one.client, []), one)
        return False

    @property
    def full(self) -> bool:
        """Whether nobody more may wait: a line several times as long as what is at work cannot be answered in time, and
        reading its requests takes the turns of those that can."""
        return len(self.waiting) >= min(self.most, max(64, 4 * self.window.size))

    def beat(self, lag: int, passed: int) -> None:
        """A beat of the loop, so late, so long after the last."""
        self.window.beat(lag)
        now = self.turns * SECOND / max(1, passed)
        self.pace = now if not self.pace else PACE_KEPT * self.pace + (1 - PACE_KEPT) * now
        self.turns = 0

    def sheds(self, name: str) -> bool:
        """Whether a newcomer of this plan is to be turned away at once: the plan's turns, at the pace of late and against
        the plans that wait beside it, are taken for half its startup target. Guards against answers that come late to
        all instead of in time to some; a crowd of one plan does not shut the door to another. Harm: where the pace was
        low for lack of demand, some few wait less than they could have."""
        if self.full:
            return True
        plan = self.plans.get(name)
        if plan is None or plan.waiting < SHORTEST or name not in self.targets:
            return False
        beside = sum(p.weight for p in self.plans.values() if p.waiting) or plan.weight
        return plan.waiting >= self.pace * plan.weight / beside * self.targets[name] / (2 * SECOND)

    def _serve(self, name: str) -> None:
        plan = self.plans.setdefault(name, _Plan(LEAST_SHARE, self.clock))
        self.clock = max(self.clock, plan.served)
        plan.served += 1.0 / plan.weight
        self.at_work += 1
        self.turns += 1

    def hopeless(self, now: int) -> list[Waiting]:
        """Those that can no longer be answered in time; they leave the line."""
        gone = [w for w in self.waiting.values() if w.abandon - now < self.needs]
        for w in gone:
            self.leave(w.number)
        return gone

    def leave(self, number: int) -> None:
        """A request leaves the line without its turn."""
        one = self.waiting.pop(number, None)
        if one is None:
            return
        plan = self.plans[one.plan]
        plan.waiting -= 1
        some = plan.clients[one.client]
        some.remove(one)
        heapq.heapify(some)
        if not some:
            del plan.clients[one.client]

    def next(self) -> Waiting | None:
        """The request whose turn it is, when there is room for one more at work."""
        if not self.waiting or self.at_work >= self.window.size:
            return None
        name = min((n for n, p in self.plans.items() if p.clients), key=lambda n: (self.plans[n].served, n))
        plan = self.plans[name]
        client, some = next(iter(plan.clients.items()))
        one = some[0]
        self.leave(one.number)
        if client in plan.clients:
            plan.clients.move_to_end(client)
        self._serve(name)
        return one

    def done(self) -> None:
        """One at work has its answer."""
        self.at_work -= 1
