"""Duration of a suspicion, after which the member counts as failed.

As in Lifeguard (Dadgar, Phillips, Currey 2017), the timeout is long while only one front reports the member, and
shorter with each further member that independently confirms it, but never shorter than a refutation takes to spread.
Each front uses its own clock: an update that a member has failed counts as one more confirmation and does not end the
timeout. So no member is declared failed only because others say so, and a partitioned part of the fleet or a faulty
member causes refutations at worst.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

MIN_TIMEOUT = 1_800 * MS
"""A refutation has to reach the accused and come back by gossip: at 200 fronts and 5% loss the median was 0.2 s and the
maximum of 193 was 0.42 s (simulated, docs/fleet.md); four times that, for machines that are short of processor time."""

MAX_TIMEOUT = 6 * SECOND
"""Timeout without confirmations. The fleet probes each member about three times a second, so a crash is confirmed
within a second; a front that stays alone with a suspicion is more likely to be cut off itself."""

MAX_CONFIRMATIONS = 2
"""Confirmations, beside the first accuser's, that shorten the timeout to the minimum."""


@dataclass
class Suspicion:
    """One member under suspicion, as one front counts it."""

    started_at: int
    first_accuser: str
    health_multiplier: int = 1
    confirmations: set[str] = field(default_factory=set)

    def confirm(self, reported_by: str) -> bool:
        """Counts a confirmation; returns whether it is new."""
        if reported_by == self.first_accuser or reported_by in self.confirmations:
            return False
        if len(self.confirmations) > MAX_CONFIRMATIONS:
            return False
        self.confirmations.add(reported_by)
        return True

    def deadline(self, others: int) -> int:
        """When the suspicion ends; `others` is the number of members that could confirm it."""
        needed = min(MAX_CONFIRMATIONS, max(0, others))
        if needed == 0:
            return self.started_at + MIN_TIMEOUT * self.health_multiplier
        progress = math.log(len(self.confirmations) + 1) / math.log(needed + 1)
        timeout = round(MAX_TIMEOUT - (MAX_TIMEOUT - MIN_TIMEOUT) * min(1.0, progress))
        return self.started_at + self.health_multiplier * timeout

    def extend(self, duration: int) -> None:
        """Extends the suspicion by a time in which this front was paused and could not receive a refutation."""
        self.started_at += duration
