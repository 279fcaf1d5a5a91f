"""Load shedding when the process nears its own capacity: a fair queue before admission control.

While the front end keeps up, every request is processed at once. When its event loop lags, fewer requests are
processed at a time and the rest wait here. Requests that can no longer be answered in time are rejected at
once. So is a new request whose plan already has as many waiting as are processed within half its startup
target (`should_shed`), since rejecting is cheapest before the request is read.

Among the rest, plans get turns (requests processed) in proportion to their revenue, each with a minimum share,
so that plans of high revenue do not starve the others. Within a plan clients take turns, and the requests of
one client are ordered by deadline. Admission control never sees what is shed here; as it learns load from the
nodes, its estimates stay correct.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

MIN_PLAN_SHARE = 0.1
MIN_QUEUE_LENGTH = 4  # waiting requests of a plan below which none is shed, unless the whole queue is full
THROUGHPUT_SMOOTHING = 0.8  # weight of the previous estimate at each heartbeat
MIN_FULL_QUEUE = 64  # waiting requests below which the queue is never full
QUEUE_PER_WINDOW = 4  # waiting requests of a full queue per request that may be in progress
WINDOW_INCREASE = 8  # requests, at each heartbeat that is on time
WINDOW_DECREASE = 0.8  # factor, at each late heartbeat


@dataclass
class ConcurrencyWindow:
    """Number of requests that may be processed at one time, adapted to the lag of the event loop.

    Additive increase, multiplicative decrease: 8 more with each heartbeat that is on time, a fifth less with
    each late one.
    """

    min_size: int = 16
    max_size: int = 512
    late_after: int = 12 * MS  # a set-up takes about ten iterations of the event loop
    size: float = 512.0

    def adjust(self, lag: int) -> None:
        """Adapts the size after a heartbeat that was `lag` ns late."""
        if lag > self.late_after:
            self.size = max(self.min_size, self.size * WINDOW_DECREASE)
        else:
            self.size = min(self.max_size, self.size + WINDOW_INCREASE)


@dataclass(order=True)
class QueuedRequest:
    """One queued request. `abandon_at`: its deadline, ns."""

    abandon_at: int
    number: int
    plan: str = field(compare=False)
    client: str = field(compare=False)


@dataclass
class _PlanQueue:
    """Queue of one plan: its clients in turn, the requests of each by deadline."""

    weight: float
    virtual_time: float = 0.0  # turns taken divided by the weight; the plan with the least goes next
    waiting_count: int = 0
    requests_by_client: OrderedDict[str, list[QueuedRequest]] = field(default_factory=OrderedDict)


@dataclass
class FairQueue:
    """Weighted fair queue of requests by plan. `min_answer_time`: shortest time that an answer takes, ns."""

    weights: Mapping[str, float]
    window: ConcurrencyWindow
    min_answer_time: int
    capacity: int = 4096
    startup_targets: Mapping[str, int] = field(default_factory=dict)  # by plan, ns
    throughput: float = 0.0  # recent turns a second, while requests wait
    turns_since_heartbeat: int = 0
    in_progress: int = 0
    waiting: dict[int, QueuedRequest] = field(default_factory=dict)
    plans: dict[str, _PlanQueue] = field(default_factory=dict)
    virtual_clock: float = 0.0

    def __post_init__(self) -> None:
        """Creates the queues of the plans."""
        self.set_plans(self.weights, self.startup_targets)

    def set_plans(self, weights: Mapping[str, float], startup_targets: Mapping[str, int]) -> None:
        """Sets revenue (`weights`) and startup target (ns) by plan.

        Each plan gets its share of turns, none less than the minimum share. A removed plan stays until its last
        request has left.
        """
        self.weights = weights
        self.startup_targets = startup_targets
        for name, plan in list(self.plans.items()):
            if name not in weights and not plan.waiting_count:
                del self.plans[name]
        total = sum(weights.values()) or 1.0
        for name, revenue in weights.items():
            share = max(MIN_PLAN_SHARE, revenue / total)
            if name in self.plans:
                self.plans[name].weight = share
            else:
                self.plans[name] = _PlanQueue(share, self.virtual_clock)

    def submit(self, request: QueuedRequest) -> bool:
        """Adds a request; True if it may be processed at once, False if it waits for `next_request`."""
        if not self.waiting and self.in_progress < self.window.size:
            self._start(request.plan)
            return True
        self.waiting[request.number] = request
        plan = self.plans.setdefault(request.plan, _PlanQueue(MIN_PLAN_SHARE, self.virtual_clock))
        plan.waiting_count += 1
        if not plan.requests_by_client:
            # A plan gains no credit while it has no requests.
            plan.virtual_time = max(plan.virtual_time, self.virtual_clock)
        heapq.heappush(plan.requests_by_client.setdefault(request.client, []), request)
        return False

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait.

        A queue several times as long as what is processed at one time cannot be answered in time, and reading
        its requests takes time from those that can be.
        """
        limit = max(MIN_FULL_QUEUE, QUEUE_PER_WINDOW * self.window.size)
        return len(self.waiting) >= min(self.capacity, limit)

    def heartbeat(self, lag: int, elapsed: int) -> None:
        """Adapts the window and the throughput after a heartbeat. `lag`, `elapsed` since the last one: ns."""
        self.window.adjust(lag)
        measured = self.turns_since_heartbeat * SECOND / max(1, elapsed)
        if not self.throughput:
            self.throughput = measured
        else:
            self.throughput = THROUGHPUT_SMOOTHING * self.throughput + (1 - THROUGHPUT_SMOOTHING) * measured
        self.turns_since_heartbeat = 0

    def should_shed(self, plan_name: str) -> bool:
        """Whether a new request of a plan is to be rejected at once.

        It is if the plan has as many requests waiting as it gets turns within half its startup target, at the
        recent throughput and beside the other plans with waiting requests. This guards against late answers to
        all requests instead of timely answers to some, without letting a crowd of one plan shut out the
        others. Drawback: if the throughput was low for lack of demand, a few requests wait for less time than
        they could have.
        """
        if self.is_full:
            return True
        plan = self.plans.get(plan_name)
        if plan is None or plan.waiting_count < MIN_QUEUE_LENGTH or plan_name not in self.startup_targets:
            return False
        waiting_weight = sum(queue.weight for queue in self.plans.values() if queue.waiting_count)
        startup_target = self.startup_targets[plan_name]
        turns = (
            self.throughput * plan.weight / (waiting_weight or plan.weight) * startup_target / (2 * SECOND)
        )
        return plan.waiting_count >= turns

    def _start(self, plan_name: str) -> None:
        """Counts a turn of a plan and a request in progress."""
        plan = self.plans.setdefault(plan_name, _PlanQueue(MIN_PLAN_SHARE, self.virtual_clock))
        self.virtual_clock = max(self.virtual_clock, plan.virtual_time)
        plan.virtual_time += 1.0 / plan.weight
        self.in_progress += 1
        self.turns_since_heartbeat += 1

    def remove_expired(self, now: int) -> list[QueuedRequest]:
        """Removes and returns the requests that can no longer be answered in time. `now`: ns."""
        expired = [
            request for request in self.waiting.values() if request.abandon_at - now < self.min_answer_time
        ]
        for request in expired:
            self.remove(request.number)
        return expired

    def remove(self, number: int) -> None:
        """Removes a waiting request without processing it; an unknown one is ignored."""
        request = self.waiting.pop(number, None)
        if request is None:
            return
        plan = self.plans[request.plan]
        plan.waiting_count -= 1
        requests = plan.requests_by_client[request.client]
        requests.remove(request)
        heapq.heapify(requests)
        if not requests:
            del plan.requests_by_client[request.client]

    def next_request(self) -> QueuedRequest | None:
        """Starts the request whose turn it is and returns it; None if none waits or too many are in progress."""
        if not self.waiting or self.in_progress >= self.window.size:
            return None
        plan_name = min(
            (name for name, plan in self.plans.items() if plan.requests_by_client),
            key=lambda name: (self.plans[name].virtual_time, name),
        )
        plan = self.plans[plan_name]
        client, requests = next(iter(plan.requests_by_client.items()))
        request = requests[0]
        self.remove(request.number)
        if client in plan.requests_by_client:
            plan.requests_by_client.move_to_end(client)
        self._start(plan_name)
        return request

    def finish(self) -> None:
        """A request in progress has its answer."""
        self.in_progress -= 1
