"""A candidate: a front that would have a duty, and keeps it while it has it. Time and chance come in with each call.

A term is asked for in two rounds (single-decree Paxos, Lamport 1998; with leases as in PaxosLease, Trencseni and others
2012): promises of a majority of keepers to a number, none of which has a term of another running; then acceptance by a
majority. The term counts from when acceptance was asked for. It is kept by asking for acceptance again, under the same
number; a note for the owner after this one goes on record by the same word.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakcroft.decisions.fleet.terms import (
    MOST_NUMBER,
    Answer,
    Ask,
    Note,
    Step,
    Term,
    belief,
    majority,
)
from oakcroft.interface import MS

WITHIN = 400 * MS  # for the answers to one round; then it is asked anew
ROUNDS = 4  # times that a round is asked before the candidate stands back


class Course(Enum):
    """How a candidate stands."""

    IDLE = "does not want it"
    BACK = "waits before it asks"
    ASKING = "asks for promises"
    PROPOSING = "asks for acceptance"
    OWNS = "owns it"


@dataclass(frozen=True)
class Word:
    """Something for a keeper."""

    to: str
    ask: Ask


class Candidate:
    """One front's try for one duty. `length`: of a term in ns, the same on all keepers or less."""

    def __init__(
        self, duty: str, me: str, start: int, keepers: Iterable[str], length: int, rng: Random, floor: int, now: int,
    ) -> None:  # fmt: skip
        self.duty, self.me, self.start, self.length, self.rng = duty, me, start, length, rng
        self.keepers = tuple(sorted(keepers))
        self.course = Course.IDLE
        self.rank = 0  # its place among those that would have it, set by the host: later ones wait longer
        self.highest = floor  # number seen: the next is over it
        self.term: Term | None = None
        self.seq = self.rounds = self.first = 0
        self.kept = False  # the present round of acceptances has its majority
        self.asked_at = self.due = now
        self.held_until = 0  # by its own belief
        self.note = Note()  # the last on record, or asked to be
        self.settled = (0, 0)  # key of the last note that a majority has
        self.answers: dict[str, Answer] = {}
        self.refusals: dict[
            str, int
        ] = {}  # of the present round: by keeper, what is left of the term that runs there
        self.other: Term | None = None  # whoever else has it, as told last
        self.other_until = 0
        self.taken = 0  # terms of its own so far

    # What the host asks.

    def owns(self, now: int) -> Term | None:
        """The term, while this front may take itself for the owner. Not the proof: that is at the `Fence`."""
        return self.term if self.course is Course.OWNS and now < self.held_until else None

    def owner(self, now: int) -> Term | None:
        """Who has it, as far as this front was told."""
        return self.owns(now) or (self.other if now < self.other_until else None)

    def want(self, wanted: bool, now: int) -> list[Word]:
        """Whether this front would have the duty."""
        if wanted and self.course is Course.IDLE:
            self._stand_back(now, self.rank * self.length // 4 + self.rng.randrange(self.length // 16 + 1))
            return []
        if not wanted and self.course is not Course.IDLE:
            held, term = self.owns(now) is not None, self.term
            self.course, self.term, self.held_until = Course.IDLE, None, 0
            if held and term is not None:
                return [Word(k, Ask(Step.RELEASE, self.duty, term)) for k in self.keepers]
        return []

    def record(self, body: bytes, now: int) -> list[Word]:
        """Puts a note on record; it is there once `settled` has reached its key."""
        if self.owns(now) is None or self.term is None:
            return []
        self.note = Note(
            self.term.number, self.note.step + 1 if self.note.number == self.term.number else 1, body
        )
        return self._propose(now)

    # Time.

    def tick(self, now: int) -> list[Word]:
        """Does what is due."""
        if self.course is Course.IDLE:
            return []
        if self.course is Course.OWNS and now >= self.held_until:
            self._lose(now)
            return []
        if now < self.due:
            return []
        if self.course is Course.BACK:
            return self._ask(now)
        if self.course is Course.OWNS:
            return self._propose(now, again=not self.kept)
        self.rounds += 1
        if self.refusals:
            # One has promised more to another: this one asks over that, soon. Or another's term runs there: it is left
            # its time, for it may be just being taken, and asking meanwhile would take its keepers' promises away.
            runs = max(self.refusals.values())
            self._stand_back(now, runs + 20 * MS + self.rng.randrange(self.length // 16 + 1))
            return []
        if self.rounds >= ROUNDS:
            self._stand_back(now, self.length // 16 + self.rng.randrange(self.length // 8 + 1))
            return []
        if self.course is Course.PROPOSING:
            return self._propose(now, again=True)
        return self._prepare(now)

    def _lose(self, now: int) -> None:
        self.term, self.held_until = None, 0
        self._stand_back(now, self.rng.randrange(self.length // 8 + 1))

    def _stand_back(self, now: int, wait: int) -> None:
        self.course, self.rounds, self.due = Course.BACK, 0, now + wait
        self.answers = {}

    def _ask(self, now: int) -> list[Word]:
        self.highest = min(MOST_NUMBER - 2, self.highest + 1)
        self.term = Term(self.highest, self.me, self.start)
        self.course, self.answers, self.refusals = Course.ASKING, {}, {}
        return self._prepare(now)

    def _prepare(self, now: int) -> list[Word]:
        """Asks for promises, again under the same number: answers to any asking count together."""
        assert self.term is not None
        self.asked_at, self.due = now, now + WITHIN
        return [
            Word(k, Ask(Step.PREPARE, self.duty, self.term)) for k in self.keepers if k not in self.answers
        ]

    def _propose(self, now: int, again: bool = False) -> list[Word]:
        """Asks for acceptance; `again`: the same once more, answers to any asking of the round counting together, and the
        term from the first. Guards an owner against lossy links: a term holds as many askings as fit into it."""
        assert self.term is not None
        if self.course is Course.ASKING:
            self.course = Course.PROPOSING
        self.seq += 1
        if not again:
            self.first, self.asked_at, self.answers, self.kept, self.refusals = self.seq, now, {}, False, {}
        self.due = now + WITHIN
        ask = Ask(Step.PROPOSE, self.duty, self.term, self.seq, self.length, self.note)
        return [Word(k, ask) for k in self.keepers]

    # Keepers' answers.

    def heard(self, answer: Answer, now: int) -> list[Word]:
        """An answer; one to another round than the last is none."""
        if answer.keeper not in self.keepers:
            return []
        if answer.running is not None and (answer.running.owner, answer.running.start) != (
            self.me,
            self.start,
        ):
            self.other, self.other_until = answer.running, now + answer.left
        if self.course is Course.IDLE:
            return []
        self.highest = max(self.highest, min(answer.highest, MOST_NUMBER - 2))
        mine = self.term is not None and answer.number == self.term.number
        if answer.step is Step.REFUSED:
            return self._refused(answer, mine, now)
        wanted = {Course.ASKING: Step.PROMISED, Course.PROPOSING: Step.ACCEPTED, Course.OWNS: Step.ACCEPTED}
        if not mine or answer.step is not wanted.get(self.course):
            return []
        if answer.step is Step.ACCEPTED and not self.first <= answer.seq <= self.seq:
            return []
        self.answers[answer.keeper] = answer
        if len(self.counted()) < majority(len(self.keepers)):
            return []
        if self.course is Course.ASKING:
            last = max((a.note for a in self.answers.values()), key=lambda n: n.key)
            # Under this term's number from here on: what a minority has of an owner in between can't come to light later.
            self.note = Note(self.term.number if self.term is not None else 0, 0, last.body)
            return self._propose(now)
        self._accepted()
        return []

    def counted(self) -> list[Answer]:
        """Votes but those of a keeper of whose newer record another in the same round knows."""
        newest = dict[str, int]()
        for answer in self.answers.values():
            newest[answer.keeper] = max(newest.get(answer.keeper, 0), answer.epoch)
            for name, epoch in answer.epochs:
                newest[name] = max(newest.get(name, 0), epoch)
        return [a for a in self.answers.values() if a.epoch >= newest[a.keeper]]

    def _accepted(self) -> None:
        if self.course is Course.PROPOSING:
            self.course = Course.OWNS
            self.taken += 1
        if not self.kept:
            self.kept, self.due = True, self.asked_at + self.length // 4
        self.held_until = max(self.held_until, self.asked_at + belief(self.length))
        self.settled = max(self.settled, self.note.key)
        self.other = None

    def _refused(self, answer: Answer, mine: bool, now: int) -> list[Word]:
        """One keeper refuses. It counts once so many do that no majority is left: a term that only a minority ever
        accepted would else keep everybody away for its whole length."""
        if not mine or self.course not in (Course.ASKING, Course.PROPOSING):
            return []  # an owner that one keeper refuses has the others, or loses the term at its end
        self.refusals[answer.keeper] = answer.left if answer.running is not None else 0
        self.answers.pop(answer.keeper, None)
        short = majority(len(self.keepers)) - (len(self.keepers) - len(self.refusals))
        if short <= 0:
            return []
        left = sorted(self.refusals.values())[short - 1]  # until enough of them are free
        self.term = None
        self._stand_back(now, left + self.rank * self.length // 8 * (left > 0) + 20 * MS
                         + self.rng.randrange(self.length // 16 + 1))  # fmt: skip
        return []
