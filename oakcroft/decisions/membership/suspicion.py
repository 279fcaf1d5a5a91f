"""How long a member stays suspected before it counts as gone.

Lifeguard (Dadgar, Phillips, Currey 2017): long while only one says so, shorter with each further member that finds
the same by itself, never under what a refutation needs to get round. The clock is each front's own: a word that
somebody is gone counts as one more voice, never as the end of the time. So nobody is gone by hearsay alone, and a
part of the fleet that was cut off, or a member that lies, costs refutations and no standing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

SHORTEST = 1_800 * MS
"""Of a suspicion. A refutation passes the accused and comes back by gossip: at 200 fronts and 5% loss it took 0.2 s in
the middle and 0.42 s at most of 193 (simulated, docs/fleet.md); four times that, for machines that are short of time."""

LONGEST = 6 * SECOND
"""While nobody else finds the same. A fleet probes each member some three times a second in all, so that in a crash
further voices come within a second; one that stands alone so long is more likely to be cut off itself."""

VOICES = 2
"""Beside the first, that shorten it all the way."""


@dataclass
class Suspicion:
    """One member under suspicion, as one front counts it."""

    since: int
    first: str  # who said so first
    slow: int = 1  # how many times as long this front gives, by its own health
    voices: set[str] = field(default_factory=set)

    def confirmed(self, by: str) -> bool:
        """A voice; whether it is a new one that counts."""
        if by == self.first or by in self.voices or len(self.voices) > VOICES:
            return False
        self.voices.add(by)
        return True

    def until(self, others: int) -> int:
        """When it ends, with so many others who could confirm it."""
        need = min(VOICES, max(0, others))
        if need == 0:
            return self.since + SHORTEST * self.slow
        share = math.log(len(self.voices) + 1) / math.log(need + 1)
        return self.since + self.slow * round(LONGEST - (LONGEST - SHORTEST) * min(1.0, share))

    def stood_still(self, for_: int) -> None:
        """The front did not run for so long, and could not have heard a refutation."""
        self.since += for_
