"""Retries with exponential backoff for list requests, event streams, rung changes and session ends.

All of these are safe to repeat. Retries of set-ups are decided by the module instead. Delays grow by a constant factor
and carry jitter, so that many fronts that lost the same peer at one moment do not all reconnect at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Rhythm:
    """How an operation is retried. Times in ns."""

    first: int
    """Upper bound of the first delay."""

    longest: int
    """Upper bound of any delay."""

    growth: float
    """Factor by which the upper bound grows with each failure."""

    give_up_after: int
    """No attempt is made this long after the first failure; 0 retries without end."""


LIST = Rhythm(100 * MS, 2 * SECOND, 2.0, 0)
EVENTS = Rhythm(50 * MS, SECOND, 2.0, 0)
RUNG = Rhythm(50 * MS, 400 * MS, 2.0, 1500 * MS)
RENDITION_BOUND = Rhythm(250 * MS, 5 * SECOND, 2.0, 30 * SECOND)
"""For a node that refused to step a playback down."""
FAREWELL = Rhythm(200 * MS, 5 * SECOND, 2.0, 30 * SECOND)
"""For telling a node that a session has ended."""


class Again:
    """Retry state of one operation."""

    def __init__(self, rhythm: Rhythm, rng: Random, now: int) -> None:
        """`rng` draws the jitter; `now` in ns."""
        self.rhythm, self.rng, self.since = rhythm, rng, now
        self.failures, self.ceiling = 0, float(rhythm.first)

    def worked(self, now: int) -> None:
        """Resets the delay after an attempt that succeeded. `now` in ns."""
        self.failures, self.ceiling, self.since = 0, float(self.rhythm.first), now

    def failed(self, now: int) -> int | None:
        """Returns the delay in ns before the next attempt, or None to give up. `now` in ns."""
        if not self.failures:
            self.since = now
        # Multiplied step by step: multiplier ** failures overflows a float after 1,024 failures.
        ceiling = self.ceiling
        self.ceiling = min(self.rhythm.longest, ceiling * self.rhythm.growth)
        self.failures += 1
        wait = int(ceiling * (0.5 + 0.5 * self.rng.random()))
        if self.rhythm.give_up_after and now + wait - self.since > self.rhythm.give_up_after:
            return None
        return wait
