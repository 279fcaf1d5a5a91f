"""Repeated attempts of errands that are no set-ups: lists, event streams, rung changes, farewells.

Set-ups are the module's matter; these are safe to repeat. Waits grow by a factor with full jitter, so that many
fronts that lost the same peer at the same moment do not come back together.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Rhythm:
    """How an errand is repeated: first wait, longest wait, growth, and how long in all (0: for ever)."""

    first: int
    longest: int
    growth: float
    give_up_after: int


LIST = Rhythm(100 * MS, 2 * SECOND, 2.0, 0)
EVENTS = Rhythm(50 * MS, SECOND, 2.0, 0)
RUNG = Rhythm(50 * MS, 400 * MS, 2.0, 1500 * MS)
RENDITION_BOUND = Rhythm(250 * MS, 5 * SECOND, 2.0, 30 * SECOND)  # of a node that refused to step down
FAREWELL = Rhythm(200 * MS, 5 * SECOND, 2.0, 30 * SECOND)


class Again:
    """The state of one errand."""

    def __init__(self, rhythm: Rhythm, rng: Random, now: int) -> None:
        self.rhythm, self.rng, self.since = rhythm, rng, now
        self.failures, self.ceiling = 0, float(rhythm.first)

    def worked(self, now: int) -> None:
        """It went well; the next failure begins at the first wait again."""
        self.failures, self.ceiling, self.since = 0, float(self.rhythm.first), now

    def failed(self, now: int) -> int | None:
        """It failed; how long to wait before the next attempt, None to give up."""
        if not self.failures:
            self.since = now
        # Grown from wait to wait: a power of all failures is no number any more after the 1,024th.
        ceiling = self.ceiling
        self.ceiling = min(self.rhythm.longest, ceiling * self.rhythm.growth)
        self.failures += 1
        wait = int(ceiling * (0.5 + 0.5 * self.rng.random()))
        if self.rhythm.give_up_after and now + wait - self.since > self.rhythm.give_up_after:
            return None
        return wait
