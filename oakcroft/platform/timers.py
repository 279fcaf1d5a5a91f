"""One task that fires all timers of a front end."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable

import trio

from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

CANCELLED_ENTRIES_ALLOWED = 32  # besides the heap entries of the timers that are still scheduled


class TimerQueue:
    """A queue of events by due time, in ns of the front end's clock.

    Cancelling a timer releases its event at once. Its heap entry is removed when more than half of the
    entries are cancelled.
    """

    def __init__(
        self,
        clock: Clock,
        submit: Callable[[Event], Awaitable[None]],
        submit_nowait: Callable[[Event], None],
    ) -> None:
        """Creates an empty queue; `submit_nowait` receives each event when it is due.

        It raises trio.WouldBlock while there is no room, for which `submit` waits.
        """
        self.clock = clock
        self.submit = submit
        self.submit_nowait = submit_nowait
        self.heap: list[tuple[int, int]] = []
        self.events: dict[int, Event] = {}  # by timer id; a cancelled timer has no entry
        self.last_id = 0
        self.earliest_changed = trio.Event()

    def schedule(self, due_at: int, event: Event) -> int:
        """Schedules an event for the time `due_at`; returns the timer id."""
        self.last_id += 1
        self.events[self.last_id] = event
        heapq.heappush(self.heap, (due_at, self.last_id))
        if self.heap[0][1] == self.last_id:
            self.earliest_changed.set()
        return self.last_id

    def cancel(self, timer_id: int) -> None:
        """Cancels a timer; an unknown id is ignored.

        Removing the cancelled heap entries bounds the memory that set-ups which are cancelled by the thousand
        can take.
        """
        if (
            self.events.pop(timer_id, None) is not None
            and len(self.heap) > 2 * len(self.events) + CANCELLED_ENTRIES_ALLOWED
        ):
            self.heap = [entry for entry in self.heap if entry[1] in self.events]
            heapq.heapify(self.heap)

    async def run(self) -> None:
        """Fires timers as they become due, until it is cancelled."""
        while True:
            while self.heap and self.heap[0][0] <= self.clock.now():
                event = self.events.pop(heapq.heappop(self.heap)[1], None)
                if event is not None:
                    await self._fire(event)
            self.earliest_changed = trio.Event()
            wake_at = self.clock.trio_time(self.heap[0][0]) if self.heap else float("inf")
            with trio.move_on_at(wake_at):
                await self.earliest_changed.wait()

    async def _fire(self, event: Event) -> None:
        """Submits an event; waits only while there is no room.

        So all timers that are due fire in one round of a loaded event loop, not one in each.
        """
        try:
            self.submit_nowait(event)
        except trio.WouldBlock:
            await self.submit(event)
