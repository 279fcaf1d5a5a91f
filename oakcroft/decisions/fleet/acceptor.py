"""The acceptor of fleet leases, one member of the quorum: a state machine without disk, sockets or clock.

`unsaved` names what must be durable before an answer is sent: the host saves it first. The proof in docs/owners.md rests
on the following rules. tests/test_lease_protocol.py disables each of them in turn and checks that its random walk then
fails.

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
    MAX_NOTE_OCTETS,
    NUMBER_LIMIT,
    LeaseAnswer,
    LeaseRequest,
    AcceptorRecord,
    LeaseRecord,
    LeaseMessageKind,
    LeaseTerm,
    majority,
)

MAX_LEASES = 64
"""Leases that one acceptor has on record."""

PEER_EPOCHS = ""
"""In a set of unsaved leases, stands for the epochs of the other acceptors."""


class LeaseAcceptor:
    """One acceptor of the fleet's leases. Times in ns."""

    def __init__(
        self, own_name: str, acceptors: Iterable[str], term_length: int, epoch: int, now: int
    ) -> None:
        """`own_name` is one of `acceptors`, `term_length` the longest term that this acceptor grants.

        `epoch` numbers its record: each new record has a higher epoch than the one before.
        """
        self.own_name = own_name
        self.acceptors = tuple(sorted(acceptors))
        self.term_length = term_length
        self.epoch = epoch
        self.silent_until = now + term_length
        self.records: dict[str, LeaseRecord] = {}
        self.running_until: dict[str, int] = {}  # end of each running term
        self.last_seqs: dict[str, int] = {}  # sequence number of the last proposal for each lease
        self.peer_epochs: dict[str, int] = {}  # record epochs of the other acceptors
        self.has_full_record = False
        self.peer_records: dict[str, AcceptorRecord] = {}
        # Leases whose records must be durable first; PEER_EPOCHS for the epochs of the other acceptors.
        self.unsaved: set[str] = set()

    def load_record(
        self,
        epoch: int,
        peer_epochs: Mapping[str, int],
        records: Mapping[str, LeaseRecord],
        is_latest: bool,
        now: int,
    ) -> None:
        """Loads the stored record at the start.

        `is_latest` says that it is the last one written and not an older copy; an older one does not count as complete.
        """
        self.records = dict(records)
        self.peer_epochs = dict(peer_epochs)
        for lease_name, record in self.records.items():
            if record.accepted_term is not None:
                self.running_until[lease_name] = now + self.term_length
        if is_latest:
            self.epoch = epoch
            self.has_full_record = True
            self.silent_until = now

    def can_answer(self, now: int) -> bool:
        """Returns whether it may answer candidates."""
        return self.has_full_record and now >= self.silent_until

    def running_term(self, lease_name: str, now: int) -> LeaseTerm | None:
        """Returns the term that runs, as far as this acceptor knows."""
        record = self.records.get(lease_name)
        if record is None or now >= self.running_until.get(lease_name, 0):
            return None
        return record.accepted_term

    # Requests of candidates.

    def handle_request(self, request: LeaseRequest, now: int) -> LeaseAnswer | None:
        """Returns the answer to a candidate, None where there is none. Save what is `unsaved` before sending it."""
        if (
            not self.can_answer(now)
            or not 0 < request.term.fencing_token < NUMBER_LIMIT
            or len(request.note.body) > MAX_NOTE_OCTETS
        ):
            return None
        if request.lease_name not in self.records and len(self.records) >= MAX_LEASES:
            return None
        if request.kind is LeaseMessageKind.PREPARE:
            return self._prepare(request, now)
        if request.kind is LeaseMessageKind.PROPOSE:
            return self._propose(request, now)
        if (
            request.kind is LeaseMessageKind.RELEASE
            and self.running_term(request.lease_name, now) == request.term
        ):
            self.running_until[request.lease_name] = now
        return None

    def _answer(
        self, request: LeaseRequest, kind: LeaseMessageKind, record: LeaseRecord, now: int
    ) -> LeaseAnswer:
        running_term = self.running_term(request.lease_name, now)
        time_left = self.running_until[request.lease_name] - now if running_term is not None else 0
        return LeaseAnswer(
            kind,
            request.lease_name,
            self.own_name,
            self.epoch,
            request.term.fencing_token,
            request.seq,
            record.promised_token,
            running_term,
            time_left,
            record.note,
            tuple(sorted(self.peer_epochs.items())),
        )

    def _prepare(self, request: LeaseRequest, now: int) -> LeaseAnswer:
        record = self.records.get(request.lease_name, LeaseRecord())
        running_term = self.running_term(request.lease_name, now)
        is_other_process = running_term is not None and (running_term.holder, running_term.generation) != (
            request.term.holder,
            request.term.generation,
        )
        if is_other_process or not self._may_accept(record, request.term):
            return self._answer(request, LeaseMessageKind.REFUSED, record, now)
        self._store(
            request.lease_name,
            replace(record, promised_token=request.term.fencing_token, promised_to=process_key(request.term)),
        )
        return self._answer(request, LeaseMessageKind.PROMISED, self.records[request.lease_name], now)

    def _propose(self, request: LeaseRequest, now: int) -> LeaseAnswer:
        record = self.records.get(request.lease_name, LeaseRecord())
        if not self._may_accept(record, request.term) or request.term_length > self.term_length:
            return self._answer(request, LeaseMessageKind.REFUSED, record, now)
        note = request.note if request.note.version > record.note.version else record.note
        updated = LeaseRecord(request.term.fencing_token, process_key(request.term), request.term, note)
        is_repeated = record.accepted_term == request.term and request.seq <= self.last_seqs.get(
            request.lease_name, 0
        )
        # A renewal needs no save: after a restart the term runs its whole length anyway.
        if updated != record:
            self._store(request.lease_name, updated)
        # A replayed proposal of an earlier holder must not renew its term.
        if not is_repeated:
            self.running_until[request.lease_name] = now + self.term_length
            self.last_seqs[request.lease_name] = request.seq
        return self._answer(request, LeaseMessageKind.ACCEPTED, updated, now)

    @staticmethod
    def _may_accept(record: LeaseRecord, term: LeaseTerm) -> bool:
        return term.fencing_token > record.promised_token or (
            term.fencing_token == record.promised_token and process_key(term) == record.promised_to
        )

    def _store(self, lease_name: str, record: LeaseRecord) -> None:
        self.records[lease_name] = record
        self.unsaved.add(lease_name)

    # Records of other acceptors.

    def peers_to_ask(self) -> list[str]:
        """Returns the acceptors that one without its record still has to ask for theirs."""
        if self.has_full_record:
            return []
        return [
            acceptor
            for acceptor in self.acceptors
            if acceptor != self.own_name and acceptor not in self.peer_records
        ]

    def record_for_peer(self, peer: str, epoch: int) -> AcceptorRecord | None:
        """Returns its record for an acceptor that lost its own, and notes the epoch of that acceptor's new record.

        None where the peer is no acceptor, or where a newer record of it is known. Save what is `unsaved` before sending.

        This guards against two processes under one acceptor's name: a vote on the older record is not counted together
        with a vote of any acceptor that knows of the newer one.
        """
        if peer not in self.acceptors or peer == self.own_name or epoch < self.peer_epochs.get(peer, 0):
            return None
        if self.peer_epochs.get(peer) != epoch:
            self.peer_epochs[peer] = epoch
            self.unsaved.add(PEER_EPOCHS)
        return AcceptorRecord(
            self.own_name, self.epoch, self.has_full_record, tuple(sorted(self.records.items()))
        )

    def receive_peer_record(self, peer_record: AcceptorRecord, now: int) -> bool:
        """Takes the record of another acceptor.

        Returns True where this acceptor's record is complete with it; everything is `unsaved` then.
        """
        if (
            self.has_full_record
            or peer_record.acceptor not in self.acceptors
            or peer_record.acceptor == self.own_name
        ):
            return False
        self.peer_records[peer_record.acceptor] = peer_record
        full_records = sum(record.has_full_record for record in self.peer_records.values())
        has_majority = full_records >= majority(len(self.acceptors))
        if not has_majority and len(self.peer_records) < len(self.acceptors) - 1:
            return False
        for peer in self.peer_records.values():
            self.peer_epochs[peer.acceptor] = max(peer.epoch, self.peer_epochs.get(peer.acceptor, 0))
            for lease_name, record in peer.records[:MAX_LEASES]:
                self._merge_record(lease_name, record, now)
        self.has_full_record = True
        self.unsaved |= {PEER_EPOCHS, *self.records}
        return True

    def _merge_record(self, lease_name: str, record: LeaseRecord, now: int) -> None:
        own = self.records.get(lease_name, LeaseRecord())
        latest = max((own, record), key=_accepted_token)
        promised = max((own, record), key=lambda either: either.promised_token)
        note = max((own.note, record.note), key=lambda either: either.version)
        self.records[lease_name] = LeaseRecord(
            promised.promised_token, promised.promised_to, latest.accepted_term, note
        )
        if latest.accepted_term is not None:
            self.running_until[lease_name] = max(
                self.running_until.get(lease_name, 0), now + self.term_length
            )


def _accepted_token(record: LeaseRecord) -> int:
    """Returns the fencing token of the term that was accepted last, 0 where none was."""
    return record.accepted_term.fencing_token if record.accepted_term is not None else 0


def process_key(term: LeaseTerm) -> str:
    """Returns the holder's name and generation as one string."""
    return f"{term.holder}/{term.generation}"
