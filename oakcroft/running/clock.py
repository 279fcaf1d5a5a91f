"""Clock of a front end."""

from __future__ import annotations

import time

import trio


class Clock:
    """Whole nanoseconds since the epoch, advanced by trio's clock.

    The wall clock is read only once, at the start, so a later step of it has no effect. The cold pace assigns time
    slots to front ends by this clock; differences between their clocks only reduce its safety margin.
    """

    def __init__(self, epoch_ns: int | None = None) -> None:
        """Starts at `epoch_ns`, by default at the wall clock's time."""
        self.offset_ns = (time.time_ns() if epoch_ns is None else epoch_ns) - round(trio.current_time() * 1e9)

    def now(self) -> int:
        """Returns the time in ns since the epoch."""
        return round(trio.current_time() * 1e9) + self.offset_ns

    def trio_time(self, at: int) -> float:
        """Converts a time of this clock to trio's clock, in seconds."""
        return (at - self.offset_ns) / 1e9
