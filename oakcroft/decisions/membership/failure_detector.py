"""Parts of the failure detector: the stages of a probe, the order in which members are probed, and local health.

A SWIM probe pings one member, in a shuffled round so that each member is probed within a bounded time. Without an
answer the ping is repeated directly and through other members; without an answer to these, the member is suspected.
Probes overlap: their interval determines how soon a crash is found, and their timeout how seldom a lost message is
taken for one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from oakcroft.interface import MS, SECOND

PROBE_INTERVAL = 300 * MS
"""Interval between two probes by one front. All fronts together then probe each member 3.3 times a second, whatever
their number: a crashed member is first probed within 1.4 s in 99 of 100 cases (4.6 intervals), which leaves 4.6 s of
the 6 s in which a crash must be known."""

RETRY_INTERVAL = 300 * MS
"""Delay before a probe is repeated directly and through others, and before the second repetition."""

PROBE_TIMEOUT = SECOND
"""Time after which a probe without an answer has failed."""

INDIRECT_PROBES = 3
"""Members asked to probe in this front's place (k in SWIM). With three of them and three direct pings, 6 of a million
probes of a living member fail at 5% loss, and 1 in 100 at 20%."""

MAX_PROBES = 32
"""Probes in progress at once; no further ones start until one ends."""

MAX_HEALTH_MULTIPLIER = 4
"""Upper bound of the factor by which a front in poor local health extends its timeouts."""


class ProbeStage(IntEnum):
    """The last step taken for a probe."""

    SENT = 0
    RETRIED_INDIRECTLY = 1
    RETRIED_TWICE = 2


@dataclass
class Probe:
    """A probe of one member."""

    name: str
    sequence: int
    started_at: int
    stage: ProbeStage = ProbeStage.SENT

    def deadline(self, multiplier: int) -> int:
        """When the next step is due, given the front's health multiplier."""
        if self.stage is ProbeStage.RETRIED_TWICE:
            return self.started_at + PROBE_TIMEOUT * multiplier
        return self.started_at + RETRY_INTERVAL * (self.stage + 1) * multiplier


class ProbeRound:
    """Order in which members are probed: shuffled for each round; a new member is inserted at a random position."""

    def __init__(self, rng: Random) -> None:
        """Shuffles rounds with `rng`."""
        self.rng = rng
        self.remaining = list[str]()

    def add(self, name: str) -> None:
        """Adds a member to the current round."""
        self.remaining.insert(self.rng.randrange(len(self.remaining) + 1), name)

    def next(self, present: Callable[[], list[str]], eligible: Callable[[str], bool]) -> str | None:
        """The next eligible member; starts a new round of the `present` members when needed. None if there is none."""
        while self.remaining:
            if eligible(name := self.remaining.pop()):
                return name
        self.remaining = [name for name in present() if eligible(name)]
        self.rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None


@dataclass
class LocalHealth:
    """Local health of a front (Lifeguard's local health multiplier).

    A front that is short of processor time must not take its own delays for failures of others: it waits longer after
    it was late or suspected a member that is alive. Failed probes alone do not count, or a crash of most of the fleet
    would delay its detection by the rest. The cost: for some seconds a front that was late detects crashes later.
    """

    score: int = 0

    @property
    def multiplier(self) -> int:
        """Factor by which this front extends its timeouts."""
        return 1 + self.score

    def worsen(self) -> None:
        """Records that this front was late, or that a member it suspected is alive."""
        self.score = min(MAX_HEALTH_MULTIPLIER - 1, self.score + 1)

    def improve(self) -> None:
        """Records a probe that was answered in time."""
        self.score = max(0, self.score - 1)
