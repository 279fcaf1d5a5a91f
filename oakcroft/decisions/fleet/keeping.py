"""A keeper: one of those that grant terms. A state machine without disk, sockets or clock.

What must be on record before an answer leaves is told by `unsaved`: the host saves it, and sends the answer only when
that is durable. The rules, each of which the proof in docs/owners.md rests on (and each of which the walk of
tests/test_terms.py takes away once, to see that the walk fails):

- a promise binds: no word under a lower number is followed any more, nor one of another under the same number;
- while a term runs here nobody else is promised anything;
- a term runs here for its whole length from when it was accepted, which is after it was asked for;
- a keeper that was started again lets the term on its record run anew, for it can't know what is left of it;
- a keeper whose record is lost answers nobody until a term's length has passed, and until it has learnt from a majority
  of sound keepers what numbers there were, or from all.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from oakcroft.decisions.fleet.terms import (
    MOST_NOTE,
    MOST_NUMBER,
    Answer,
    Ask,
    Learnt,
    Row,
    Step,
    Term,
    majority,
)

MOST_DUTIES = 64


class Keeper:
    """One keeper. `length`: the longest term it grants, in ns; `epoch`: a number of its record, later ones are higher."""

    def __init__(self, me: str, keepers: Iterable[str], length: int, epoch: int, now: int) -> None:
        self.me, self.keepers, self.length = me, tuple(sorted(keepers)), length
        self.epoch, self.mute_until = epoch, now + length
        self.rows: dict[str, Row] = {}
        self.until: dict[str, int] = {}  # of terms that run
        self.seqs: dict[str, int] = {}  # of the last proposal of each
        self.epochs: dict[str, int] = {}  # of the other keepers' records
        self.sound = False
        self.learnt: dict[str, Learnt] = {}
        self.unsaved: set[str] = (
            set()
        )  # duties whose rows are to be on record before anything leaves ("": the epochs)

    def take_on(
        self, epoch: int, epochs: Mapping[str, int], rows: Mapping[str, Row], whole: bool, now: int
    ) -> None:
        """What its record holds, at the start. `whole`: it is the last that was written, and no copy of an older one."""
        self.rows = dict(rows)
        self.epochs = dict(epochs)
        for duty, row in self.rows.items():
            if row.term is not None:
                self.until[duty] = now + self.length
        if whole:
            self.epoch, self.sound, self.mute_until = epoch, True, now

    def speaks(self, now: int) -> bool:
        """Whether it may answer candidates."""
        return self.sound and now >= self.mute_until

    def runs(self, duty: str, now: int) -> Term | None:
        """The term that runs here, as far as this keeper knows."""
        row = self.rows.get(duty)
        return row.term if row is not None and now < self.until.get(duty, 0) else None

    # Candidates' words.

    def asked(self, ask: Ask, now: int) -> Answer | None:
        """The answer to a candidate; None where there is none to be given. Save what is `unsaved` before it leaves."""
        if not self.speaks(now) or not 0 < ask.term.number < MOST_NUMBER or len(ask.note.body) > MOST_NOTE:
            return None
        if ask.duty not in self.rows and len(self.rows) >= MOST_DUTIES:
            return None
        if ask.step is Step.PREPARE:
            return self._prepare(ask, now)
        if ask.step is Step.PROPOSE:
            return self._propose(ask, now)
        if ask.step is Step.RELEASE and self.runs(ask.duty, now) == ask.term:
            self.until[ask.duty] = now
        return None

    def _mine(self, ask: Ask, step: Step, row: Row, now: int) -> Answer:
        running = self.runs(ask.duty, now)
        left = self.until[ask.duty] - now if running is not None else 0
        return Answer(
            step, ask.duty, self.me, self.epoch, ask.term.number, ask.seq, row.promised, running, left, row.note,
            tuple(sorted(self.epochs.items())),
        )  # fmt: skip

    def _prepare(self, ask: Ask, now: int) -> Answer:
        row, running = self.rows.get(ask.duty, Row()), self.runs(ask.duty, now)
        another = running is not None and (running.owner, running.start) != (ask.term.owner, ask.term.start)
        if another or not self._follows(row, ask.term):
            return self._mine(ask, Step.REFUSED, row, now)
        self._save(ask.duty, replace(row, promised=ask.term.number, to=whom(ask.term)))
        return self._mine(ask, Step.PROMISED, self.rows[ask.duty], now)

    def _propose(self, ask: Ask, now: int) -> Answer:
        row = self.rows.get(ask.duty, Row())
        if not self._follows(row, ask.term) or ask.length > self.length:
            return self._mine(ask, Step.REFUSED, row, now)
        note = ask.note if ask.note.key > row.note.key else row.note
        after = Row(ask.term.number, whom(ask.term), ask.term, note)
        again = row.term == ask.term and ask.seq <= self.seqs.get(ask.duty, 0)
        if after != row:  # to keep a term needs no record: after a restart it runs its whole length anyway
            self._save(ask.duty, after)
        if not again:  # guards against words of an owner that is gone, played again by whoever recorded them
            self.until[ask.duty], self.seqs[ask.duty] = now + self.length, ask.seq
        return self._mine(ask, Step.ACCEPTED, after, now)

    @staticmethod
    def _follows(row: Row, term: Term) -> bool:
        return term.number > row.promised or (term.number == row.promised and whom(term) == row.to)

    def _save(self, duty: str, row: Row) -> None:
        self.rows[duty] = row
        self.unsaved.add(duty)

    # Other keepers' words.

    def asks_others(self) -> list[str]:
        """Whom a keeper that remembers nothing has to ask still."""
        return [] if self.sound else [k for k in self.keepers if k != self.me and k not in self.learnt]

    def tells(self, to: str, epoch: int) -> Learnt | None:
        """What it tells a keeper that remembers nothing; from then on only that one's new record counts. None: that was
        no keeper, or one with an older record than is known. Save what is `unsaved` before it leaves.

        Guards against two processes under one keeper's name: the votes of the one with the older record are not counted
        beside that of any keeper that knows of the newer.
        """
        if to not in self.keepers or to == self.me or epoch < self.epochs.get(to, 0):
            return None
        if self.epochs.get(to) != epoch:
            self.epochs[to] = epoch
            self.unsaved.add("")
        return Learnt(self.me, self.epoch, self.sound, tuple(sorted(self.rows.items())))

    def hears(self, told: Learnt, now: int) -> bool:
        """What another keeper told; True where this one is sound from now on (save all rows and the epochs)."""
        if self.sound or told.keeper not in self.keepers or told.keeper == self.me:
            return False
        self.learnt[told.keeper] = told
        enough = sum(t.sound for t in self.learnt.values()) >= majority(len(self.keepers))
        if not enough and len(self.learnt) < len(self.keepers) - 1:
            return False
        for one in self.learnt.values():
            self.epochs[one.keeper] = max(one.epoch, self.epochs.get(one.keeper, 0))
            for duty, row in one.rows[:MOST_DUTIES]:
                self._learn(duty, row, now)
        self.sound = True
        self.unsaved |= {"", *self.rows}
        return True

    def _learn(self, duty: str, row: Row, now: int) -> None:
        own = self.rows.get(duty, Row())
        last = max((own, row), key=lambda r: r.term.number if r.term is not None else 0)
        promised = max((own, row), key=lambda r: r.promised)
        note = max((own.note, row.note), key=lambda n: n.key)
        self.rows[duty] = Row(promised.promised, promised.to, last.term, note)
        if last.term is not None:
            self.until[duty] = max(self.until.get(duty, 0), now + self.length)


def whom(term: Term) -> str:
    """A process, as one word."""
    return f"{term.owner}/{term.start}"
