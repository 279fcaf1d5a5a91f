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
    NUMBER_LIMIT,
    LeaseAnswer,
    LeaseRequest,
    LeaseNote,
    LeaseMessageKind,
    LeaseTerm,
    safe_term_length,
    majority,
)
from oakcroft.interface import MS

ROUND_TIMEOUT = 400 * MS
"""Time for the answers to one round, after which its requests are sent again."""

MAX_ROUNDS = 4
"""Times that the requests of a round are sent before the candidate backs off."""

RETRY_MARGIN = 20 * MS
"""Added to the wait for running terms, so that the next request arrives after their end."""


class CandidateState(Enum):
    """State of a candidate; operators read the values."""

    IDLE = "does not want it"
    BACKING_OFF = "waits before it asks"
    PREPARING = "asks for promises"
    PROPOSING = "asks for acceptance"
    HOLDING = "owns it"


EXPECTED_KIND = {
    CandidateState.PREPARING: LeaseMessageKind.PROMISED,
    CandidateState.PROPOSING: LeaseMessageKind.ACCEPTED,
    CandidateState.HOLDING: LeaseMessageKind.ACCEPTED,
}
"""Kind of the answers that count in a state; refusals are handled apart."""


@dataclass(frozen=True)
class AcceptorMessage:
    """A request addressed to one acceptor."""

    acceptor: str
    request: LeaseRequest


class LeaseCandidate:
    """One front's candidacy for one lease. Times in ns."""

    def __init__(
        self,
        lease_name: str,
        own_name: str,
        generation: int,
        acceptors: Iterable[str],
        term_length: int,
        rng: Random,
        min_token: int,
        now: int,
    ) -> None:
        """`term_length` must not exceed that of any acceptor; fencing tokens of this candidate are above `min_token`."""
        self.lease_name = lease_name
        self.own_name = own_name
        self.generation = generation
        self.term_length = term_length
        self.rng = rng
        self.acceptors = tuple(sorted(acceptors))
        self.state = CandidateState.IDLE
        self.rank = 0  # place among the candidates, set by the host: later ones wait longer
        self.highest_token = min_token  # highest token seen; the next one is above it
        self.term: LeaseTerm | None = None
        self.seq = 0
        self.rounds = 0
        self.first_seq = 0
        self.is_round_accepted = False  # the present round of acceptances has its majority
        self.requested_at = now
        self.due_at = now
        self.held_until = 0  # until when this front may act as the holder
        self.note = LeaseNote()  # the last one on record, or being put there
        self.recorded_version = (0, 0)  # version of the last note that a majority has
        self.answers: dict[str, LeaseAnswer] = {}
        self.refusals: dict[str, int] = {}  # of the present round: time left of the running term, by acceptor
        self.other_term: LeaseTerm | None = None  # term of another holder, as last reported
        self.other_term_until = 0
        self.terms_won = 0  # terms held so far

    # Calls of the host.

    def held_term(self, now: int) -> LeaseTerm | None:
        """Returns the term while this front may act as the holder.

        This is no proof: only the `Fence` at the resource keeps out late work of an earlier holder.
        """
        return self.term if self.state is CandidateState.HOLDING and now < self.held_until else None

    def known_term(self, now: int) -> LeaseTerm | None:
        """Returns the term of the holder, as far as this front knows."""
        return self.held_term(now) or (self.other_term if now < self.other_term_until else None)

    def set_wanted(self, wanted: bool, now: int) -> list[AcceptorMessage]:
        """Sets whether this front wants the lease; a holder that does not want it any more releases it.

        Returns the requests to send, as all methods do that return `AcceptorMessage`.
        """
        if wanted and self.state is CandidateState.IDLE:
            self._back_off(
                now, self.rank * self.term_length // 4 + self.rng.randrange(self.term_length // 16 + 1)
            )
            return []
        if not wanted and self.state is not CandidateState.IDLE:
            was_holder = self.held_term(now) is not None
            term = self.term
            self.state = CandidateState.IDLE
            self.term = None
            self.held_until = 0
            if was_holder and term is not None:
                return [
                    AcceptorMessage(acceptor, LeaseRequest(LeaseMessageKind.RELEASE, self.lease_name, term))
                    for acceptor in self.acceptors
                ]
        return []

    def record_note(self, body: bytes, now: int) -> list[AcceptorMessage]:
        """Puts a note on record; a majority has it once `recorded_version` has reached the note's version."""
        if self.held_term(now) is None or self.term is None:
            return []
        self.note = LeaseNote(
            self.term.fencing_token,
            self.note.step + 1 if self.note.fencing_token == self.term.fencing_token else 1,
            body,
        )
        return self._propose(now)

    # Timers.

    def tick(self, now: int) -> list[AcceptorMessage]:
        """Returns the requests that are due."""
        if self.state is CandidateState.IDLE:
            return []
        if self.state is CandidateState.HOLDING and now >= self.held_until:
            self._lose_term(now)
            return []
        if now < self.due_at:
            return []
        if self.state is CandidateState.BACKING_OFF:
            return self._start_round(now)
        if self.state is CandidateState.HOLDING:
            return self._propose(now, is_resend=not self.is_round_accepted)
        self.rounds += 1
        if self.refusals:
            # Either an acceptor has promised a higher token, and the next round soon goes above it. Or a term of another
            # process runs there: it may be about to get its majority, and a request now would take away its promises.
            longest_wait = max(self.refusals.values())
            self._back_off(now, longest_wait + RETRY_MARGIN + self.rng.randrange(self.term_length // 16 + 1))
            return []
        if self.rounds >= MAX_ROUNDS:
            self._back_off(now, self.term_length // 16 + self.rng.randrange(self.term_length // 8 + 1))
            return []
        if self.state is CandidateState.PROPOSING:
            return self._propose(now, is_resend=True)
        return self._prepare(now)

    def _lose_term(self, now: int) -> None:
        self.term = None
        self.held_until = 0
        self._back_off(now, self.rng.randrange(self.term_length // 8 + 1))

    def _back_off(self, now: int, wait: int) -> None:
        self.state = CandidateState.BACKING_OFF
        self.rounds = 0
        self.due_at = now + wait
        self.answers = {}

    def _start_round(self, now: int) -> list[AcceptorMessage]:
        self.highest_token = min(NUMBER_LIMIT - 2, self.highest_token + 1)
        self.term = LeaseTerm(self.highest_token, self.own_name, self.generation)
        self.state = CandidateState.PREPARING
        self.answers = {}
        self.refusals = {}
        return self._prepare(now)

    def _prepare(self, now: int) -> list[AcceptorMessage]:
        """Requests promises. Repeated requests use the same token, so answers to any of them count together."""
        assert self.term is not None
        self.requested_at = now
        self.due_at = now + ROUND_TIMEOUT
        return [
            AcceptorMessage(acceptor, LeaseRequest(LeaseMessageKind.PREPARE, self.lease_name, self.term))
            for acceptor in self.acceptors
            if acceptor not in self.answers
        ]

    def _propose(self, now: int, is_resend: bool = False) -> list[AcceptorMessage]:
        """Requests acceptance, or renews the term.

        With `is_resend` the proposal of the present round is sent once more: answers to any of its requests count
        together, and the term counts from the first. So a holder on a lossy link has as many attempts at a renewal as
        fit into a term.
        """
        assert self.term is not None
        if self.state is CandidateState.PREPARING:
            self.state = CandidateState.PROPOSING
        self.seq += 1
        if not is_resend:
            self.first_seq = self.seq
            self.requested_at = now
            self.answers = {}
            self.is_round_accepted = False
            self.refusals = {}
        self.due_at = now + ROUND_TIMEOUT
        request = LeaseRequest(
            LeaseMessageKind.PROPOSE, self.lease_name, self.term, self.seq, self.term_length, self.note
        )
        return [AcceptorMessage(acceptor, request) for acceptor in self.acceptors]

    # Answers of acceptors.

    def receive_answer(self, answer: LeaseAnswer, now: int) -> list[AcceptorMessage]:
        """Takes an answer; answers to earlier rounds are ignored."""
        if answer.acceptor not in self.acceptors:
            return []
        running = answer.running_term
        if running is not None and (running.holder, running.generation) != (self.own_name, self.generation):
            self.other_term = running
            self.other_term_until = now + answer.time_left
        if self.state is CandidateState.IDLE:
            return []
        self.highest_token = max(self.highest_token, min(answer.highest_promised, NUMBER_LIMIT - 2))
        is_own_token = self.term is not None and answer.fencing_token == self.term.fencing_token
        if answer.kind is LeaseMessageKind.REFUSED:
            return self._receive_refusal(answer, is_own_token, now)
        if not is_own_token or answer.kind is not EXPECTED_KIND.get(self.state):
            return []
        if answer.kind is LeaseMessageKind.ACCEPTED and not self.first_seq <= answer.seq <= self.seq:
            return []
        self.answers[answer.acceptor] = answer
        if len(self.counted_answers()) < majority(len(self.acceptors)):
            return []
        if self.state is CandidateState.PREPARING:
            latest_note = max(
                (promise.note for promise in self.answers.values()), key=lambda note: note.version
            )
            # The note gets this term's token, so that a note which an earlier holder put on a minority only cannot
            # supersede it later.
            self.note = LeaseNote(
                self.term.fencing_token if self.term is not None else 0, 0, latest_note.body
            )
            return self._propose(now)
        self._majority_accepted()
        return []

    def counted_answers(self) -> list[LeaseAnswer]:
        """Returns the answers without those on an outdated record.

        A record is outdated where another answer of the round knows of a newer record of the same acceptor.
        """
        latest_epochs = dict[str, int]()
        for answer in self.answers.values():
            latest_epochs[answer.acceptor] = max(latest_epochs.get(answer.acceptor, 0), answer.epoch)
            for name, epoch in answer.peer_epochs:
                latest_epochs[name] = max(latest_epochs.get(name, 0), epoch)
        return [answer for answer in self.answers.values() if answer.epoch >= latest_epochs[answer.acceptor]]

    def _majority_accepted(self) -> None:
        if self.state is CandidateState.PROPOSING:
            self.state = CandidateState.HOLDING
            self.terms_won += 1
        if not self.is_round_accepted:
            self.is_round_accepted = True
            self.due_at = self.requested_at + self.term_length // 4
        self.held_until = max(self.held_until, self.requested_at + safe_term_length(self.term_length))
        self.recorded_version = max(self.recorded_version, self.note.version)
        self.other_term = None

    def _receive_refusal(self, answer: LeaseAnswer, is_own_token: bool, now: int) -> list[AcceptorMessage]:
        """Takes a refusal. The round ends once the refusals leave no majority.

        A single refusal must not end it: otherwise a term that only a minority accepted would keep all candidates out
        for its whole length.
        """
        if not is_own_token or self.state not in (CandidateState.PREPARING, CandidateState.PROPOSING):
            return []  # a holder that one acceptor refuses renews at the others, or its term runs out
        self.refusals[answer.acceptor] = answer.time_left if answer.running_term is not None else 0
        self.answers.pop(answer.acceptor, None)
        needed = majority(len(self.acceptors)) - (len(self.acceptors) - len(self.refusals))
        if needed <= 0:
            return []
        wait = sorted(self.refusals.values())[needed - 1]  # until enough acceptors are free again
        self.term = None
        delay_by_rank = self.rank * self.term_length // 8 if wait > 0 else 0
        jitter = self.rng.randrange(self.term_length // 16 + 1)
        self._back_off(now, wait + delay_by_rank + RETRY_MARGIN + jitter)
        return []
