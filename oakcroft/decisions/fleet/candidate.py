"""A candidate for a fleet lease, which renews the lease while it holds it.

A term takes two rounds (single-decree Paxos, Lamport 1998; with leases as in PaxosLease, Trencseni et al. 2012). First a
majority of acceptors, none of which has a term of another process running, promises a fencing token; then a majority
accepts the term. The term counts from when acceptance was requested. The holder renews it by requesting acceptance again
under the same token, and puts a note for its successor on record with the same request. Time is passed in with each
call, and nothing here sends messages.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakcroft.decisions.fleet.lease import (
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

WITHIN = 400 * MS
"""Time for the answers to one round, after which its requests are sent again."""

ROUNDS = 4
"""Times that the requests of a round are sent before the candidate backs off."""


class Course(Enum):
    """State of a candidate; operators read the values."""

    IDLE = "does not want it"
    BACK = "waits before it asks"
    ASKING = "asks for promises"
    PROPOSING = "asks for acceptance"
    OWNS = "owns it"


@dataclass(frozen=True)
class Word:
    """A request addressed to one acceptor."""

    to: str
    ask: Ask


class Candidate:
    """One front's candidacy for one lease. Times in ns."""

    def __init__(
        self, duty: str, me: str, start: int, keepers: Iterable[str], length: int, rng: Random, floor: int, now: int,
    ) -> None:  # fmt: skip
        """`term_length` must not exceed that of any acceptor; fencing tokens of this candidate are above `min_token`."""
        self.duty, self.me, self.start, self.length, self.rng = duty, me, start, length, rng
        self.keepers = tuple(sorted(keepers))
        self.course = Course.IDLE
        self.rank = 0  # place among the candidates, set by the host: later ones wait longer
        self.highest = floor  # highest token seen; the next one is above it
        self.term: Term | None = None
        self.seq = self.rounds = self.first = 0
        self.kept = False  # the present round of acceptances has its majority
        self.asked_at = self.due = now
        self.held_until = 0  # until when this front may act as the holder
        self.note = Note()  # the last one on record, or being put there
        self.settled = (0, 0)  # version of the last note that a majority has
        self.answers: dict[str, Answer] = {}
        self.refusals: dict[str, int] = {}  # of the present round: time left of the running term, by acceptor
        self.other: Term | None = None  # term of another holder, as last told
        self.other_until = 0
        self.taken = 0  # terms held so far

    # Calls of the host.

    def owns(self, now: int) -> Term | None:
        """Returns the term while this front may act as the holder.

        This is no proof: only the `Fence` at the resource keeps out late work of an earlier holder.
        """
        return self.term if self.course is Course.OWNS and now < self.held_until else None

    def owner(self, now: int) -> Term | None:
        """Returns the term of the holder, as far as this front knows."""
        return self.owns(now) or (self.other if now < self.other_until else None)

    def want(self, wanted: bool, now: int) -> list[Word]:
        """Sets whether this front wants the lease; a holder that does not want it any more releases it.

        Returns the requests to send, as all methods do that return `AcceptorMessage`.
        """
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
        """Puts a note on record; a majority has it once `recorded_version` has reached the note's version."""
        if self.owns(now) is None or self.term is None:
            return []
        self.note = Note(
            self.term.number, self.note.step + 1 if self.note.number == self.term.number else 1, body
        )
        return self._propose(now)

    # Timers.

    def tick(self, now: int) -> list[Word]:
        """Returns the requests that are due."""
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
            # Either an acceptor has promised a higher token, and the next round soon goes above it. Or a term of another
            # process runs there: it may be about to get its majority, and a request now would take away its promises.
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
        """Requests promises. Repeated requests use the same token, so answers to any of them count together."""
        assert self.term is not None
        self.asked_at, self.due = now, now + WITHIN
        return [
            Word(k, Ask(Step.PREPARE, self.duty, self.term)) for k in self.keepers if k not in self.answers
        ]

    def _propose(self, now: int, again: bool = False) -> list[Word]:
        """Requests acceptance, or renews the term.

        With `is_resend` the proposal of the present round is sent once more: answers to any of its requests count
        together, and the term counts from the first. So a holder on a lossy link has as many attempts at a renewal as
        fit into a term.
        """
        assert self.term is not None
        if self.course is Course.ASKING:
            self.course = Course.PROPOSING
        self.seq += 1
        if not again:
            self.first, self.asked_at, self.answers, self.kept, self.refusals = self.seq, now, {}, False, {}
        self.due = now + WITHIN
        ask = Ask(Step.PROPOSE, self.duty, self.term, self.seq, self.length, self.note)
        return [Word(k, ask) for k in self.keepers]

    # Answers of acceptors.

    def heard(self, answer: Answer, now: int) -> list[Word]:
        """Takes an answer; answers to earlier rounds are ignored."""
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
            # The note gets this term's token, so that a note which an earlier holder put on a minority only cannot
            # supersede it later.
            self.note = Note(self.term.number if self.term is not None else 0, 0, last.body)
            return self._propose(now)
        self._accepted()
        return []

    def counted(self) -> list[Answer]:
        """Returns the answers without those on an outdated record.

        A record is outdated where another answer of the round knows of a newer record of the same acceptor.
        """
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
        """Takes a refusal. The round ends once the refusals leave no majority.

        A single refusal must not end it: otherwise a term that only a minority accepted would keep all candidates out
        for its whole length.
        """
        if not mine or self.course not in (Course.ASKING, Course.PROPOSING):
            return []  # a holder that one acceptor refuses renews at the others, or its term runs out
        self.refusals[answer.keeper] = answer.left if answer.running is not None else 0
        self.answers.pop(answer.keeper, None)
        short = majority(len(self.keepers)) - (len(self.keepers) - len(self.refusals))
        if short <= 0:
            return []
        left = sorted(self.refusals.values())[short - 1]  # until enough acceptors are free again
        self.term = None
        self._stand_back(now, left + self.rank * self.length // 8 * (left > 0) + 20 * MS
                         + self.rng.randrange(self.length // 16 + 1))  # fmt: skip
        return []
