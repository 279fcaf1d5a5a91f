"""How long a member stays suspected before it counts as failed.

Lifeguard (Dadgar, Phillips, Currey 2017): long while only one front reports it, shorter with each further member that
finds the same by itself, never under what a refutation needs to get round. The clock is each front's own: an update that
somebody has failed counts as one more confirmation, never as the end of the time. So nobody fails by hearsay alone, and
a part of the fleet that was cut off, or a member that lies, costs refutations and no member's state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

MIN_TIMEOUT = 1_800 * MS
"""Of a suspicion. A refutation passes the accused and comes back by gossip: at 200 fronts and 5% loss it took 0.2 s in
the middle and 0.42 s at most of 193 (simulated, docs/fleet.md); four times that, for machines that are short of time."""

MAX_TIMEOUT = 6 * SECOND
"""While nobody else finds the same. A fleet probes each member some three times a second in all, so that in a crash
confirmations come within a second; one that stands alone so long is more likely to be cut off itself."""

MAX_CONFIRMATIONS = 2
"""Beside the first accuser, that shorten the timeout all the way."""


@dataclass
class Suspicion:
    """One member under suspicion, as one front counts it."""

    started_at: int
    first_accuser: str
    health_multiplier: int = 1
    confirmations: set[str] = field(default_factory=set)

    def confirm(self, reported_by: str) -> bool:
        """Counts a confirmation; whether it is a new one that counts."""
        if reported_by == self.first_accuser or reported_by in self.confirmations:
            return False
        if len(self.confirmations) > MAX_CONFIRMATIONS:
            return False
        self.confirmations.add(reported_by)
        return True

    def deadline(self, others: int) -> int:
        """When it ends, with so many others who could confirm it."""
        wanted = min(MAX_CONFIRMATIONS, max(0, others))
        if wanted == 0:
            return self.started_at + MIN_TIMEOUT * self.health_multiplier
        progress = math.log(len(self.confirmations) + 1) / math.log(wanted + 1)
        timeout = round(MAX_TIMEOUT - (MAX_TIMEOUT - MIN_TIMEOUT) * min(1.0, progress))
        return self.started_at + self.health_multiplier * timeout

    def extend(self, duration: int) -> None:
        """This front did not run for so long, and could not have received a refutation."""
        self.started_at += duration
