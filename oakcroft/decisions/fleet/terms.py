"""Terms: whose work a duty is, for how long, and under which number; the words that keepers and candidates exchange.

A duty is a piece of work on behalf of the whole fleet, by name. Its owner has it for a term, granted by a majority of the
keepers that the configuration names. Each term has a number that only grows, which goes with everything the owner does:
whoever the work lands on keeps the highest number seen and turns lower ones away (`Fence`). The owner's own look at its
clock is a courtesy, never the proof.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS

MOST_NUMBER = 1 << 62
MOST_NOTE = 500  # octets of a note: what fits one datagram beside the rest
DRIFT = 50  # clocks of two machines differ by less than one part in so many over a term


class Step(Enum):
    """What a word between candidate and keeper is for; the number is the wire's."""

    PREPARE = 1  # may I have the next term, under this number?
    PROPOSE = 2  # I have it; again to keep it, or to put a note on record
    RELEASE = 3  # I give it back
    LEARN = 4  # a keeper that remembers nothing asks another what it knows
    PROMISED = 5
    REFUSED = 6
    ACCEPTED = 7
    LEARNT = 8


@dataclass(frozen=True)
class Term:
    """One turn of one owner: `owner` and `start` name the process, `number` fences what it does."""

    number: int
    owner: str
    start: int


@dataclass(frozen=True)
class Note:
    """What the owner of a duty put on record for whoever comes after it. Of two the later (number, then step) holds."""

    number: int = 0
    step: int = 0
    body: bytes = b""

    @property
    def key(self) -> tuple[int, int]:
        return self.number, self.step


@dataclass(frozen=True)
class Ask:
    """A candidate's word to a keeper."""

    step: Step
    duty: str
    term: Term
    seq: int = 0  # of a proposal: the answers name it
    length: int = 0  # of a proposal: the term asked for, in ns
    note: Note = Note()


@dataclass(frozen=True)
class Answer:
    """A keeper's word to a candidate. `epoch`: of the keeper's record; `epochs`: which record of each other keeper holds.

    `highest`: the highest number promised; `running`: the term that runs, where another has it, and `left`: for how long.
    """

    step: Step
    duty: str
    keeper: str
    epoch: int
    number: int
    seq: int = 0
    highest: int = 0
    running: Term | None = None
    left: int = 0
    note: Note = Note()
    epochs: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Row:
    """What a keeper has on record of one duty."""

    promised: int = 0
    to: str = ""  # whom it was promised to: two may come with one number
    term: Term | None = None  # accepted last, whether or not it runs still
    note: Note = Note()


@dataclass(frozen=True)
class Learnt:
    """What one keeper tells another that remembers nothing."""

    keeper: str
    epoch: int
    sound: bool  # it remembers everything it ever promised
    rows: tuple[tuple[str, Row], ...]


def majority(of: int) -> int:
    """How many make one."""
    return of // 2 + 1


def belief(length: int) -> int:
    """For how long an owner may take itself for one, from when it asked: less than any keeper's own count of the term."""
    return length - length // DRIFT - MS


class Fence:
    """The highest number that has taken effect of each duty, at whoever the work lands on.

    Guards against an owner that slept through the end of its term with a message half sent: its number is lower than that
    of the owner after it, and the work of lower numbers is turned away here. Within one term steps count up, so that a
    message that was overtaken does nothing either. Whoever lives on after a restart has `seen` on record first.
    """

    MOST = 64  # duties; they are named by the program, not by what peers say

    def __init__(self, seen: dict[str, tuple[int, int]] | None = None) -> None:
        self.seen = dict(seen or {})
        self.turned_away = 0

    def admits(self, duty: str, number: int, step: int) -> bool:
        """Whether work under this number and step may take effect; the same step again may, it changes nothing."""
        if (number, step) < self.seen.get(duty, (0, 0)):
            self.turned_away += 1
            return False
        return duty in self.seen or len(self.seen) < self.MOST

    def takes(self, duty: str, number: int, step: int) -> None:
        """It takes effect now."""
        self.seen[duty] = max(self.seen.get(duty, (0, 0)), (number, step))
