"""What is to happen at a time: one task for all of a front's timers."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable

import trio

from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

CANCELLED_ENTRIES_ALLOWED = 32  # entries of dropped events that may stay


class TimerQueue:
    """Events by time. One that is dropped lets go of what it holds at once, and of its place when half are such."""

    def __init__(self, clock: Clock, submit: Callable[[Event], Awaitable[None]]) -> None:
        self.clock, self.submit = clock, submit
        self.heap: list[tuple[int, int]] = []
        self.events: dict[int, Event] = {}  # by number; of those dropped there is none
        self.last_id = 0
        self.earliest_changed = trio.Event()

    def schedule(self, due_at: int, event: Event) -> int:
        """Hands the event in at that time; its number."""
        self.last_id += 1
        self.events[self.last_id] = event
        heapq.heappush(self.heap, (due_at, self.last_id))
        if self.heap[0][1] == self.last_id:
            self.earliest_changed.set()
        return self.last_id

    def cancel(self, timer_id: int) -> None:
        """The event is not handed in any more. Guards memory against set-ups that are taken back by the thousand."""
        if (
            self.events.pop(timer_id, None) is not None
            and len(self.heap) > 2 * len(self.events) + CANCELLED_ENTRIES_ALLOWED
        ):
            self.heap = [entry for entry in self.heap if entry[1] in self.events]
            heapq.heapify(self.heap)

    async def run(self) -> None:
        """Waits for the next one, until it is cancelled."""
        while True:
            while self.heap and self.heap[0][0] <= self.clock.now():
                event = self.events.pop(heapq.heappop(self.heap)[1], None)
                if event is not None:
                    await self.submit(event)
            self.earliest_changed = trio.Event()
            wake_at = self.clock.trio_time(self.heap[0][0]) if self.heap else float("inf")
            with trio.move_on_at(wake_at):
                await self.earliest_changed.wait()
