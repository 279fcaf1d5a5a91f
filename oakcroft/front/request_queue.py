"""The queue of requests in front of the policy, on one front end.

Measures how busy the event loop is, lets requests go on to the policy in fair order, and sheds requests that
cannot be answered in time. The decisions are in `oakcroft/decisions/admission/load_shedding.py`.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
import trio

from oakcroft.decisions.admission.connection_limits import MIN_SETUP_TIME_NS
from oakcroft.decisions.admission.deadlines import HEARTBEAT_INTERVAL_NS
from oakcroft.decisions.admission.load_shedding import ConcurrencyWindow, FairQueue, QueuedRequest
from oakcroft.front.session_coordinator import SessionCoordinator


class RequestQueue:
    """Requests that wait for their turn."""

    def __init__(self, coordinator: SessionCoordinator, log: structlog.typing.FilteringBoundLogger) -> None:
        """Creates an empty queue; `run` has to run beside it."""
        self.coordinator = coordinator
        self.clock = coordinator.clock
        self.log = log
        self.fair_queue = FairQueue({}, ConcurrencyWindow(), MIN_SETUP_TIME_NS)
        self.apply_configuration()
        self.shed_count = 0  # requests rejected unread
        self.shed_logged = 0  # of those, the ones that the log has reported
        self.is_shedding = False
        self.on_loop_lag: Callable[[int], None] = lambda lag_ns: None
        self.turn_events: dict[int, trio.Event] = {}
        self.granted_numbers: set[int] = set()

    def apply_configuration(self) -> None:
        """Applies the revenues and startup targets of the plans in force."""
        plans = {name: plan_terms.plan for name, plan_terms in self.coordinator.site.plans.items()}
        targets = {name: plan.startup_target_ns for name, plan in plans.items()}
        self.fair_queue.set_plans({name: plan.revenue for name, plan in plans.items()}, targets)

    async def run(self) -> None:
        """Measures how late the event loop runs, and lets queued requests go on as their turn comes."""
        while True:
            slept_at = trio.current_time()
            await trio.sleep(HEARTBEAT_INTERVAL_NS / 1e9)
            elapsed_ns = round((trio.current_time() - slept_at) * 1e9)
            self.fair_queue.heartbeat(elapsed_ns - HEARTBEAT_INTERVAL_NS, elapsed_ns)
            self.on_loop_lag(max(0, elapsed_ns - HEARTBEAT_INTERVAL_NS))
            self._log_shedding()
            for request in self.fair_queue.remove_expired(self.clock.now()):
                self.turn_events.pop(request.number).set()
            self._start_next_requests()

    def _start_next_requests(self) -> None:
        """Gives queued requests their turn while there is room."""
        while (request := self.fair_queue.next_request()) is not None:
            self.granted_numbers.add(request.number)
            self.turn_events.pop(request.number).set()

    def should_shed(self, path: str) -> bool:
        """Whether to reject a request for this path unread, because its plan's queue is too long."""
        if not self.fair_queue.waiting:
            return False
        plans = self.coordinator.site.route_table.plans.get(path[: path.rfind("/") + 1])
        if not plans or not all(self.fair_queue.should_shed(plan) for plan in plans):
            return False
        self.shed_count += 1
        return True

    def _log_shedding(self) -> None:
        """Logs once when shedding begins and once when it has ended, with its figures."""
        newly_shed = self.shed_count - self.shed_logged
        ended = not self.fair_queue.waiting
        begins = newly_shed > 0 and not self.is_shedding
        ends = self.is_shedding and ended
        if begins or ends:
            self.shed_logged = self.shed_count
            self.is_shedding = begins
            self.log.warning(
                "shedding" if begins else "shedding over",
                turned_away=newly_shed,
                pace=round(self.fair_queue.throughput),
                window=round(self.fair_queue.window.size),
                waiting=len(self.fair_queue.waiting),
            )

    async def wait_for_turn(self, queued_request: QueuedRequest) -> bool:
        """Waits for a request's turn; returns False where it cannot be answered in time, or too many wait."""
        if self.fair_queue.is_full:
            return False
        if self.fair_queue.submit(queued_request):
            return True
        turn_event = self.turn_events[queued_request.number] = trio.Event()
        has_turn = False
        try:
            await turn_event.wait()
            has_turn = (
                queued_request.number in self.granted_numbers
                and queued_request.abandon_at - self.clock.now() >= MIN_SETUP_TIME_NS
            )
        finally:
            if not turn_event.is_set():
                self.turn_events.pop(queued_request.number, None)
                self.fair_queue.remove(queued_request.number)
            if queued_request.number in self.granted_numbers:
                self.granted_numbers.discard(queued_request.number)
                if not has_turn:  # its turn came too late, or its viewer left at that moment
                    self.fair_queue.finish()
        return has_turn

    def finish_request(self) -> None:
        """Handles the end of a request that had its turn."""
        self.fair_queue.finish()
        self._start_next_requests()
