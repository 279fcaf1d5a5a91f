"""What is to happen at a time: one task for all of a front's timers."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable

import trio

from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event

SPARE = 32  # entries of dropped events that may stay


class Alarms:
    """Events by time. One that is dropped lets go of what it holds at once, and of its place when half are such."""

    def __init__(self, clock: Clock, tell: Callable[[Event], Awaitable[None]]) -> None:
        self.clock, self.tell = clock, tell
        self.heap: list[tuple[int, int]] = []
        self.events: dict[int, Event] = {}  # by number; of those dropped there is none
        self.number = 0
        self.sooner = trio.Event()

    def at(self, when: int, event: Event) -> int:
        """Hands the event in at that time; its number."""
        self.number += 1
        self.events[self.number] = event
        heapq.heappush(self.heap, (when, self.number))
        if self.heap[0][1] == self.number:
            self.sooner.set()
        return self.number

    def drop(self, number: int) -> None:
        """The event is not handed in any more. Guards memory against set-ups that are taken back by the thousand."""
        if self.events.pop(number, None) is not None and len(self.heap) > 2 * len(self.events) + SPARE:
            self.heap = [entry for entry in self.heap if entry[1] in self.events]
            heapq.heapify(self.heap)

    async def run(self) -> None:
        """Waits for the next one, until it is cancelled."""
        while True:
            while self.heap and self.heap[0][0] <= self.clock.now():
                event = self.events.pop(heapq.heappop(self.heap)[1], None)
                if event is not None:
                    await self.tell(event)
            self.sooner = trio.Event()
            until = self.clock.deadline(self.heap[0][0]) if self.heap else float("inf")
            with trio.move_on_at(until):
                await self.sooner.wait()
