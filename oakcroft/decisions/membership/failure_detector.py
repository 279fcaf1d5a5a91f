"""Parts of the failure detector: one probe's course, the order in which members are probed, and local health.

SWIM's probe: a question to one member, in a shuffled round so that each has its turn in bounded time; unanswered, it is
repeated directly and through others; unanswered still, the member is suspected. Probes overlap: their interval decides
how soon a crash is found, their length how seldom a loss is taken for one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from oakcroft.interface import MS, SECOND

PROBE_INTERVAL = 300 * MS
"""Between two probes of one front. Each member is then probed 3.3 times a second by all together, whatever their
number: the first probe of a crashed one comes within 1.4 s in 99 of 100 cases (4.6 intervals), which leaves 4.6 s of
the six wanted."""

RETRY_INTERVAL = 300 * MS
"""After which a probe is repeated, directly and through others; and once more after as long again."""

PROBE_TIMEOUT = SECOND
"""After which a probe without an answer has failed."""

INDIRECT_PROBES = 3
"""Members asked to probe in this front's place (SWIM's k): with three, and three probes of its own, 6 of a million
probes of a living member fail at 5% loss, and 1 in 100 at 20%."""

MAX_PROBES = 32
"""Probes open at once; further ones wait for their turn in the round."""

MAX_HEALTH_MULTIPLIER = 4
"""How many times as long a front in poor health waits, at most."""


class ProbeStage(IntEnum):
    """What has been done for one probe so far."""

    SENT = 0
    RETRIED_INDIRECTLY = 1
    RETRIED_AGAIN = 2


@dataclass
class Probe:
    """One member being probed."""

    name: str
    sequence: int
    started_at: int
    stage: ProbeStage = ProbeStage.SENT

    def deadline(self, multiplier: int) -> int:
        """When the next step is due, for a front with this health multiplier."""
        if self.stage is ProbeStage.RETRIED_AGAIN:
            return self.started_at + PROBE_TIMEOUT * multiplier
        return self.started_at + RETRY_INTERVAL * (self.stage + 1) * multiplier


class ProbeRound:
    """The members in turn: shuffled anew for each round, newcomers at random places in what is left of this one."""

    def __init__(self, rng: Random) -> None:
        """`rng` shuffles the rounds."""
        self.rng = rng
        self.remaining = list[str]()

    def add(self, name: str) -> None:
        """A member has joined."""
        self.remaining.insert(self.rng.randrange(len(self.remaining) + 1), name)

    def next(self, present: Callable[[], list[str]], eligible: Callable[[str], bool]) -> str | None:
        """Whose turn it is among those `present` that are `eligible`; None where there is nobody."""
        while self.remaining:
            if eligible(name := self.remaining.pop()):
                return name
        self.remaining = [name for name in present() if eligible(name)]
        self.rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None


@dataclass
class LocalHealth:
    """How far a front may trust its own findings (Lifeguard's local health multiplier).

    Guards against a front that is short of time and takes its own lateness for others' failures: it waits longer while it
    was late, or was shown to be wrong. Failed probes alone don't count, or a crash of most of the fleet would make the
    rest slow to find it. Cost: for some seconds a front that was late finds crashes later.
    """

    score: int = 0

    @property
    def multiplier(self) -> int:
        """How many times as long this front waits."""
        return 1 + self.score

    def worsen(self) -> None:
        """This front was late, or a member that it suspected lives."""
        self.score = min(MAX_HEALTH_MULTIPLIER - 1, self.score + 1)

    def improve(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)
