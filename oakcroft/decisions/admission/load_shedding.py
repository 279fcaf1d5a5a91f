"""Load shedding when the process nears its own capacity: a fair queue before admission control.

While the front end keeps up, every request is processed at once. When its event loop lags, fewer requests are
processed at a time and the rest wait here. Requests that can no longer be answered in time are answered at
once. So is a new request whose plan already has as many waiting as get their turn within its startup target
(`should_shed`), since rejecting is cheapest before the request is read.

Among the rest, plans share turns in proportion to their revenue, each with a least share, so that plans of
high revenue do not starve the others. Within a plan clients take turns, and the requests of one client go by
deadline. Admission control never sees what is shed here: it learns load from the nodes, so its estimates stay
correct.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

LEAST_SHARE = 0.1
SHORTEST = 4  # requests of a plan that may always wait
PACE_KEPT = 0.8  # weight of the old estimate at each heartbeat


@dataclass
class Window:
    """Number of requests that may be processed at one time, adapted to the lag of the event loop.

    Additive increase, multiplicative decrease: 8 more with each heartbeat in time, a fifth less with each
    late one.
    """

    least: int = 16
    most: int = 512
    late: int = 12 * MS  # a set-up takes about ten iterations of the event loop
    size: float = 512.0

    def beat(self, lag: int) -> None:
        """Adapts the size after a heartbeat that was `lag` ns late."""
        self.size = max(self.least, self.size * 0.8) if lag > self.late else min(self.most, self.size + 8)


@dataclass(order=True)
class Waiting:
    """One queued request. `abandon_at`: its deadline, ns."""

    abandon: int
    number: int
    plan: str = field(compare=False)
    client: str = field(compare=False)


@dataclass
class _Plan:
    """Queue of one plan: its clients in turn, the requests of each by deadline."""

    weight: float
    served: float = 0.0  # turns taken divided by the weight; the plan with the least goes next
    waiting: int = 0
    clients: OrderedDict[str, list[Waiting]] = field(default_factory=OrderedDict)


@dataclass
class Line:
    """Weighted fair queue of requests by plan. `min_answer_time`: least time that an answer needs, ns."""

    weights: Mapping[str, float]
    window: Window
    needs: int
    most: int = 4096
    targets: Mapping[str, int] = field(default_factory=dict)  # startup target by plan
    pace: float = 0.0  # recent turns a second, while requests wait
    turns: int = 0  # since the last heartbeat
    at_work: int = 0
    waiting: dict[int, Waiting] = field(default_factory=dict)
    plans: dict[str, _Plan] = field(default_factory=dict)
    clock: float = 0.0

    def __post_init__(self) -> None:
        """Makes the queues of the plans."""
        self.take_version(self.weights, self.targets)

    def take_version(self, weights: Mapping[str, float], targets: Mapping[str, int]) -> None:
        """Sets revenue (`weights`) and startup target (ns) by plan.

        Each plan gets its share of turns, none less than the least share. A plan that is gone stays until its
        last request has left.
        """
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
        """Adds a request; True if it may be processed at once, False if it waits for `next_request`."""
        if not self.waiting and self.at_work < self.window.size:
            self._serve(one.plan)
            return True
        self.waiting[one.number] = one
        plan = self.plans.setdefault(one.plan, _Plan(LEAST_SHARE, self.clock))
        plan.waiting += 1
        if not plan.clients:
            plan.served = max(plan.served, self.clock)  # a plan gains no credit while it has no requests
        heapq.heappush(plan.clients.setdefault(one.client, []), one)
        return False

    @property
    def full(self) -> bool:
        """Whether no further request may wait.

        A queue several times as long as what is processed at one time cannot be answered in time, and reading
        its requests takes time from those that can be.
        """
        return len(self.waiting) >= min(self.most, max(64, 4 * self.window.size))

    def beat(self, lag: int, passed: int) -> None:
        """Adapts the window and the throughput after a heartbeat. `lag`, `elapsed` since the last one: ns."""
        self.window.beat(lag)
        now = self.turns * SECOND / max(1, passed)
        self.pace = now if not self.pace else PACE_KEPT * self.pace + (1 - PACE_KEPT) * now
        self.turns = 0

    def sheds(self, name: str) -> bool:
        """Whether a new request of a plan is to be rejected at once.

        It is if the plan's turns, at the recent throughput and against the plans that wait beside it, are
        taken for half its startup target. This guards against answers that come late to all instead of in
        time to some, without letting a crowd of one plan shut out the others. Drawback: if the throughput was
        low for lack of demand, a few requests wait for less time than they could have.
        """
        if self.full:
            return True
        plan = self.plans.get(name)
        if plan is None or plan.waiting < SHORTEST or name not in self.targets:
            return False
        beside = sum(p.weight for p in self.plans.values() if p.waiting) or plan.weight
        return plan.waiting >= self.pace * plan.weight / beside * self.targets[name] / (2 * SECOND)

    def _serve(self, name: str) -> None:
        """Counts a turn of a plan and a request in progress."""
        plan = self.plans.setdefault(name, _Plan(LEAST_SHARE, self.clock))
        self.clock = max(self.clock, plan.served)
        plan.served += 1.0 / plan.weight
        self.at_work += 1
        self.turns += 1

    def hopeless(self, now: int) -> list[Waiting]:
        """Removes and returns the requests that can no longer be answered in time. `now`: ns."""
        gone = [w for w in self.waiting.values() if w.abandon - now < self.needs]
        for w in gone:
            self.leave(w.number)
        return gone

    def leave(self, number: int) -> None:
        """Removes a request without its turn."""
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
        """Takes the request whose turn it is; None if none waits or too many are in progress."""
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
        """A request in progress has its answer."""
        self.at_work -= 1
