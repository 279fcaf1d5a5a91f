"""What is to happen at a time: one task for all of a front's timers."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable

import trio

from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event


class Alarms:
    """Events by time. A set-up's timer stays until its time, which the plans bound, and is then found to be over."""

    def __init__(self, clock: Clock, tell: Callable[[Event], Awaitable[None]]) -> None:
        self.clock, self.tell = clock, tell
        self.heap: list[tuple[int, int, Event]] = []
        self.number = 0
        self.sooner = trio.Event()

    def at(self, when: int, event: Event) -> None:
        """Hands the event in at that time."""
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, event))
        if self.heap[0][1] == self.number:
            self.sooner.set()

    async def run(self) -> None:
        """Waits for the next one, until it is cancelled."""
        while True:
            while self.heap and self.heap[0][0] <= self.clock.now():
                await self.tell(heapq.heappop(self.heap)[2])
            self.sooner = trio.Event()
            until = self.clock.deadline(self.heap[0][0]) if self.heap else float("inf")
            with trio.move_on_at(until):
                await self.sooner.wait()
