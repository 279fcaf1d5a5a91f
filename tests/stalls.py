"""Stalls of a test's own process, which its front end, nodes and client share; a bound on time leaves them out."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

HEARTBEAT_SECONDS = 0.005
MIN_STALL_SECONDS = 0.02
"""Shorter gaps between two heartbeats are scheduling jitter."""


@dataclass
class Stalls:
    """The times in which the event loop did not run, on trio's clock in seconds."""

    last_heartbeat_at: float
    recorded: list[tuple[float, float]] = field(default_factory=list)
    """Begin and end of each."""

    def heartbeat(self) -> None:
        """Records the stall since the last heartbeat, if there was one."""
        now = trio.current_time()
        if now - self.last_heartbeat_at >= MIN_STALL_SECONDS:
            self.recorded.append((self.last_heartbeat_at, now))
        self.last_heartbeat_at = now

    def seconds_since(self, start: float) -> float:
        """Returns for how much of the time from `start` to now the event loop did not run."""
        self.heartbeat()
        return sum(max(0.0, end - max(begin, start)) for begin, end in self.recorded)


@asynccontextmanager
async def watched_stalls() -> AsyncIterator[Stalls]:
    """Records the stalls of this process while the block runs."""
    stalls = Stalls(trio.current_time())

    async def watch() -> None:
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            stalls.heartbeat()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        yield stalls
        nursery.cancel_scope.cancel()
