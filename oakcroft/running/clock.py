"""The front's one clock."""

from __future__ import annotations

import time

import trio


class Clock:
    """Whole nanoseconds since the epoch, running by trio's clock.

    The wall clock is looked at once, at the start: a step of it later moves nothing here. The cold pace shares
    out slots of time among fronts by this clock, and clocks that disagree cost it margin only.
    """

    def __init__(self, epoch: int | None = None) -> None:
        self.offset = (time.time_ns() if epoch is None else epoch) - round(trio.current_time() * 1e9)

    def now(self) -> int:
        """Now."""
        return round(trio.current_time() * 1e9) + self.offset

    def deadline(self, at: int) -> float:
        """A time of this clock as trio's."""
        return (at - self.offset) / 1e9
