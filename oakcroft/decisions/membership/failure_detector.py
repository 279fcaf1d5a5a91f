"""Whom a front probes, and how one probe runs its course.

SWIM's probe: a question to one member, in a shuffled round so that each has its turn in bounded time; unanswered, the
same again and through others; unanswered still, the member is suspected. Probes overlap: their pace is what decides
how soon a crash is found, their length how seldom a loss is taken for one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oakcroft.interface import MS, SECOND

EVERY = 300 * MS
"""Between two probes of one front. Each member is then asked 3.3 times a second by all together, whatever their
number: the first to ask a crashed one comes within 1.4 s in 99 of 100 cases (4.6 times this), which leaves 4.6 s of
the six wanted."""

AGAIN = 300 * MS
"""After which a question is repeated, and put through others; and once more after as long again."""

JUDGED = SECOND
"""After which a probe without an answer has failed."""

HELPERS = 3
"""Asked to put the question in this front's place (SWIM's k): with three, and three questions of its own, 6 of a million
probes of a living member fail at 5% loss, and 1 in 100 at 20%."""

MOST_PROBES = 32
MOST_SLOW = 4


@dataclass
class Probe:
    """One member being asked. `step` counts what has been done: asked once, again through others, again."""

    name: str
    seq: int
    began: int
    step: int = 0

    def due(self, slow: int) -> int:
        """When the next step is to be done, by a front that is so many times as slow as a sound one."""
        return self.began + (AGAIN * (self.step + 1) if self.step < 2 else JUDGED) * slow


class Round:
    """The members in turn: a new order for each round, new ones somewhere in what is left of this one."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.left = rng, list[str]()

    def add(self, name: str) -> None:
        """A member has come."""
        self.left.insert(self.rng.randrange(len(self.left) + 1), name)

    def next(self, present: Callable[[], list[str]], here: Callable[[str], bool]) -> str | None:
        """Whose turn it is among those `present` of whom `here` holds; None where there is nobody."""
        while self.left:
            if here(name := self.left.pop()):
                return name
        self.left = [name for name in present() if here(name)]
        self.rng.shuffle(self.left)
        return self.left.pop() if self.left else None


@dataclass
class Health:
    """How far a front may trust its own findings (Lifeguard's local health multiplier).

    Guards against a front that is short of time and takes its own lateness for others' deaths: it gives more time while
    it was late, or was shown to be wrong. Failed probes alone don't count, or a crash of most of the fleet would make
    the rest slow to find it. Harm: for some seconds a front that was late finds crashes later.
    """

    score: int = 0

    @property
    def slow(self) -> int:
        """How many times as long it gives."""
        return 1 + self.score

    def wrong(self) -> None:
        """It was late, or one it suspected lives."""
        self.score = min(MOST_SLOW - 1, self.score + 1)

    def right(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)
