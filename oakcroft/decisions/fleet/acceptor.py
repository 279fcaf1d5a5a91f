"""The acceptor of fleet leases, one member of the quorum: a state machine without disk, sockets or clock.

`unsaved` names what must be durable before an answer is sent: the host saves it first. The proof in docs/owners.md rests
on the following rules. tests/test_terms.py disables each of them in turn and checks that its random walk then fails.

- A promise binds: requests under a lower fencing token are refused, and so are those of another process under the same.
- While a term runs here, no other process is promised anything.
- A term runs here for its whole length from when it was accepted, which is after it was requested.
- A restarted acceptor lets the term on its record run its whole length again, as it cannot know what is left of it.
- An acceptor that lost its record answers nobody until the length of a term has passed and it has received the records
  of a majority of acceptors that have theirs, or of all others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from oakcroft.decisions.fleet.lease import (
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
"""Leases that one acceptor has on record."""


class Keeper:
    """One acceptor of the fleet's leases. Times in ns."""

    def __init__(self, me: str, keepers: Iterable[str], length: int, epoch: int, now: int) -> None:
        """`me` is its name among `acceptors`, `term_length` the longest term that it grants.

        `epoch` numbers its record: each new record has a higher epoch than the one before.
        """
        self.me, self.keepers, self.length = me, tuple(sorted(keepers)), length
        self.epoch, self.mute_until = epoch, now + length
        self.rows: dict[str, Row] = {}
        self.until: dict[str, int] = {}  # end of each running term
        self.seqs: dict[str, int] = {}  # sequence number of the last proposal for each lease
        self.epochs: dict[str, int] = {}  # record epochs of the other acceptors
        self.sound = False
        self.learnt: dict[str, Learnt] = {}
        self.unsaved: set[str] = set()  # leases whose records must be durable first; "" for the peers' epochs

    def take_on(
        self, epoch: int, epochs: Mapping[str, int], rows: Mapping[str, Row], whole: bool, now: int
    ) -> None:
        """Loads the stored record at the start.

        `is_latest` says that it is the last one written and not an older copy; an older one does not count as complete.
        """
        self.rows = dict(rows)
        self.epochs = dict(epochs)
        for duty, row in self.rows.items():
            if row.term is not None:
                self.until[duty] = now + self.length
        if whole:
            self.epoch, self.sound, self.mute_until = epoch, True, now

    def speaks(self, now: int) -> bool:
        """Returns whether it may answer candidates."""
        return self.sound and now >= self.mute_until

    def runs(self, duty: str, now: int) -> Term | None:
        """Returns the term that runs, as far as this acceptor knows."""
        row = self.rows.get(duty)
        return row.term if row is not None and now < self.until.get(duty, 0) else None

    # Requests of candidates.

    def asked(self, ask: Ask, now: int) -> Answer | None:
        """Returns the answer to a candidate, None where there is none. Save what is `unsaved` before sending it."""
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
        if after != row:  # a renewal needs no save: after a restart the term runs its whole length anyway
            self._save(ask.duty, after)
        if not again:  # a replayed proposal of an earlier holder must not renew its term
            self.until[ask.duty], self.seqs[ask.duty] = now + self.length, ask.seq
        return self._mine(ask, Step.ACCEPTED, after, now)

    @staticmethod
    def _follows(row: Row, term: Term) -> bool:
        return term.number > row.promised or (term.number == row.promised and whom(term) == row.to)

    def _save(self, duty: str, row: Row) -> None:
        self.rows[duty] = row
        self.unsaved.add(duty)

    # Records of other acceptors.

    def asks_others(self) -> list[str]:
        """Returns the acceptors that one without its record still has to ask for theirs."""
        return [] if self.sound else [k for k in self.keepers if k != self.me and k not in self.learnt]

    def tells(self, to: str, epoch: int) -> Learnt | None:
        """Returns its record for an acceptor that lost its own, and notes the epoch of that acceptor's new record.

        None where the peer is no acceptor, or where a newer record of it is known. Save what is `unsaved` before sending.

        This guards against two processes under one acceptor's name: a vote on the older record is not counted together
        with a vote of any acceptor that knows of the newer one.
        """
        if to not in self.keepers or to == self.me or epoch < self.epochs.get(to, 0):
            return None
        if self.epochs.get(to) != epoch:
            self.epochs[to] = epoch
            self.unsaved.add("")
        return Learnt(self.me, self.epoch, self.sound, tuple(sorted(self.rows.items())))

    def hears(self, told: Learnt, now: int) -> bool:
        """Takes the record of another acceptor.

        Returns True where this acceptor's record is complete with it; everything is `unsaved` then.
        """
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
    """Returns the holder's name and generation as one string."""
    return f"{term.owner}/{term.start}"
