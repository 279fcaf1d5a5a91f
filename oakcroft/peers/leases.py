"""The fleet's leases on one front: its candidates, its acceptor where it is one, and messages between them and others'.

All messages go by the peers' own datagrams. Time is CLOCK_BOOTTIME: no step of the wall clock moves it, and it counts on
while the machine sleeps, so a holder that slept knows that its term is over.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random

import structlog
import trio

from oakcroft.config.settings import PeerSettings
from oakcroft.decisions.fleet.acceptor import LeaseAcceptor
from oakcroft.decisions.fleet.candidate import LeaseCandidate, CandidateState, AcceptorMessage
from oakcroft.decisions.membership.rendezvous import rank
from oakcroft.decisions.fleet.lease import (
    NUMBER_LIMIT,
    LeaseAnswer,
    LeaseRequest,
    LeaseMessageKind,
    LeaseTerm,
    majority,
)
from oakcroft.decisions.membership.membership import Membership
from oakcroft.interface import MS, SECOND
from oakcroft.peers.lease_acceptor import AcceptorHost, NamedValueStore
from oakcroft.peers.lease_status import lease_status
from oakcroft.peers.order_work import OrderWork
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport, RecordPart, RecordRequest
from oakcroft.peerwire.sealing import KeyRing

MAX_RANK = 5
"""Fronts that ask for a lease, the first in line first: a fleet of 200 is not to ask its acceptors all the time."""

TICK_INTERVAL = 50 * MS
RECORD_CHECK_INTERVAL = 10 * MS


def boot_time() -> int:
    """Now: ns since the machine started, its sleep included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class LeaseHost:
    """All leases of one front, by name ("duty" in the words of operators and of the wire)."""

    def __init__(
        self, place: PeerSettings, ring: KeyRing, membership: Membership, record: NamedValueStore | None, seed: int,
        send: Callable[[str, bytes], None], log: structlog.typing.FilteringBoundLogger,
    ) -> None:  # fmt: skip
        """`record` is the state file, which an acceptor needs; `send` takes octets to a front by name."""
        self.settings = place
        self.membership = membership
        self.log = log
        self.send = send
        self.codec = LeaseCodec(place.fleet_name, ring)
        self.rng = Random(seed)
        self.dropped: Counter[str] = Counter()
        self.acceptor_host = self._make_acceptor(record)
        self.candidates: dict[str, LeaseCandidate] = {}
        self.wanted: set[str] = set()
        self.ranked: list[str] | None = None  # the fronts by which `ranks` were found
        self.ranks: dict[str, int] = {}
        self.reported_terms: dict[str, LeaseTerm] = {}  # as the host was last told
        self.order_work = OrderWork(self._send_report, log)
        self.order_handlers = self.order_work.handlers
        self.report_handlers: dict[str, Callable[[str, OrderReport], None]] = {}
        self.holder_handlers: dict[str, Callable[[LeaseTerm | None], None]] = {}
        self.floors: dict[str, dict[str, int]] = {}  # by duty and acceptor, the highest number promised
        self.find_text: Callable[[str], bytes | None] = lambda _: None  # what this front holds, by digest
        self.nursery: trio.Nursery | None = None

    def _make_acceptor(self, record: NamedValueStore | None) -> AcceptorHost | None:
        place, now = self.settings, boot_time()
        if place.name not in place.keepers or record is None:
            return None
        keeper = LeaseAcceptor(place.name, place.keepers, place.term_ns, self.membership.me.generation, now)
        return AcceptorHost(
            keeper, record, self.codec, self._name_and_generation, self._send_to, self.dropped, self.log, now
        )

    # What the front's own work asks for.

    def want(self, duty: str) -> None:
        """This front would have a lease when its turn in line comes."""
        self.wanted.add(duty)
        self.ranked = None

    def held_term(self, duty: str) -> LeaseTerm | None:
        """The term of a lease, while this front may take itself for its holder."""
        candidate = self.candidates.get(duty)
        return candidate.held_term(boot_time()) if candidate is not None else None

    def recorded_note(self, duty: str) -> bytes:
        """What the holders of a lease have put on record, as this holder found or wrote it."""
        candidate = self.candidates.get(duty)
        return candidate.note.body if candidate is not None else b""

    async def record_note(self, duty: str, body: bytes) -> bool:
        """Puts a note on record at a majority; False where the term ended first."""
        candidate = self.candidates.get(duty)
        if candidate is None or candidate.held_term(boot_time()) is None:
            return False
        self._send_asks(candidate.record_note(body, boot_time()))
        key, term = candidate.note.version, candidate.term
        while candidate.held_term(boot_time()) is not None and candidate.term == term:
            if candidate.recorded_version >= key:
                return True
            await trio.sleep(RECORD_CHECK_INTERVAL / SECOND)
        return False

    def holder(self, duty: str) -> LeaseTerm | None:
        """Who has a lease, as far as this front knows: by its own term, its acceptor, or what it was told."""
        candidate, now = self.candidates.get(duty), boot_time()
        seen = self.acceptor_host.acceptor.running_term(duty, now) if self.acceptor_host is not None else None
        told = candidate.known_term(now) if candidate is not None else None
        return max((t for t in (seen, told) if t is not None), key=lambda t: t.fencing_token, default=None)

    def raise_token(self, duty: str, number: int) -> None:
        """A resource has seen a higher number than this holder's: it asks for a term over that."""
        candidate = self.candidates.get(duty)
        if candidate is None or candidate.held_term(boot_time()) is None:
            return
        candidate.highest_token = max(candidate.highest_token, min(number, NUMBER_LIMIT - 2))
        self._send_asks(candidate.set_wanted(False, boot_time()))
        candidate.set_wanted(True, boot_time())
        self._tell_change(duty, candidate, boot_time())

    def token_floor(self, duty: str) -> int | None:
        """A number that no begun term of a lease is over, as a majority of acceptors says; None until one has."""
        told = self.floors.get(duty, {})
        return max(told.values()) if len(told) >= majority(len(self.settings.keepers)) else None

    def request_token_floor(self, duty: str) -> None:
        """Asks the acceptors for it: a number as low as this is refused, with what was promised."""
        ask = LeaseRequest(LeaseMessageKind.PREPARE, duty, LeaseTerm(1, *self.me))
        self._send_asks([AcceptorMessage(k, ask) for k in self.settings.keepers])

    def yield_lease(self, duty: str) -> None:
        """An operator has taken the lease from this front: it stands back for a few terms."""
        if (candidate := self.candidates.get(duty)) is not None:
            self._send_asks(candidate.set_wanted(False, boot_time()))
            candidate.rank = MAX_RANK
            candidate.set_wanted(True, boot_time())

    # Messages received.

    def receive(self, opened: bytes) -> None:
        """A message that came by datagram. MessageError where it is none."""
        received = self.codec.decode(opened)
        if self.membership.displaced or self.membership.left:
            return  # another process has this name: it speaks
        sender, message, now = received.sender, received.message, boot_time()
        if isinstance(message, LeaseAnswer):
            self._receive_answer(message, now)
        elif isinstance(message, Order):
            self.order_work.begin(received, message)
        elif isinstance(message, OrderReport):
            if (reported := self.report_handlers.get(message.duty)) is not None:
                reported(sender, message)
        elif self.acceptor_host is not None:
            self._pass_to_acceptor(self.acceptor_host, sender, message, now)

    @staticmethod
    def _pass_to_acceptor(
        acceptor: AcceptorHost, sender: str, message: LeaseRequest | RecordRequest | RecordPart, now: int
    ) -> None:
        if isinstance(message, LeaseRequest):
            acceptor.receive_request(sender, message, now)
        elif isinstance(message, RecordRequest):
            acceptor.receive_record_request(sender, message.epoch)
        else:
            acceptor.receive_record_part(sender, message, now)

    def _receive_answer(self, answer: LeaseAnswer, now: int) -> None:
        candidate = self.candidates.get(answer.lease_name)
        if candidate is None:
            return
        if answer.acceptor in self.settings.keepers:
            self.floors.setdefault(answer.lease_name, {})[answer.acceptor] = answer.highest_promised
        self._send_asks(candidate.receive_answer(answer, now))
        self._tell_change(answer.lease_name, candidate, now)

    # Messages sent.

    @property
    def me(self) -> tuple[str, int]:
        """This front's name and generation."""
        return self.membership.me.name, self.membership.me.generation

    def _name_and_generation(self) -> tuple[str, int]:
        return self.me

    def _send_asks(self, words: list[AcceptorMessage]) -> None:
        for word in words:
            with suppress(MessageError):
                self._send_to(word.acceptor, self.codec.encode_request(*self.me, word.request))

    def order(self, to: str, word: Order) -> None:
        """A holder's order to a front."""
        self._send_to(to, self.codec.encode_order(*self.me, word))

    def _send_report(self, to: str, word: OrderReport) -> None:
        self._send_to(to, self.codec.encode_report(*self.me, word))

    def _send_to(self, to: str, octets: bytes) -> None:
        if to != self.membership.me.name:
            self.send(to, octets)
        elif self.nursery is not None:  # to itself: no way that can be cut, but the next turn
            self.nursery.start_soon(self._receive_own, octets)

    async def _receive_own(self, octets: bytes) -> None:
        opened = self.codec.ring.open(octets, 0)
        if opened is not None:
            with suppress(MessageError):
                self.receive(opened)

    # Time.

    async def run(self) -> None:
        """Looks after all of it until it is cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._use_nursery(nursery)
                while True:
                    self.tick(boot_time())
                    await trio.sleep(TICK_INTERVAL / SECOND)
        finally:
            self._use_nursery(None)

    def _use_nursery(self, nursery: trio.Nursery | None) -> None:
        self.nursery = self.order_work.nursery = nursery
        if self.acceptor_host is not None:
            self.acceptor_host.nursery = nursery

    def tick(self, now: int) -> None:
        """Does what is due."""
        if self.acceptor_host is not None:
            self.acceptor_host.tick(now)
        if self.membership.displaced or self.membership.left:
            for candidate in self.candidates.values():
                self._send_asks(candidate.set_wanted(False, now))
            return
        self._rank()
        for duty in sorted(self.wanted):
            candidate = self._candidate(duty, now)
            rank_now = self.ranks[duty]
            if candidate.state is CandidateState.IDLE or candidate.rank < MAX_RANK:
                candidate.rank = rank_now
            in_line = rank_now < MAX_RANK or candidate.held_term(now) is not None
            self._send_asks(candidate.set_wanted(in_line, now))
            self._send_asks(candidate.tick(now))
            self._tell_change(duty, candidate, now)

    def _rank(self) -> None:
        """The membership gives another list when it changes; hashes of all members at each tick are saved."""
        present = self.membership.present()
        if present is not self.ranked:
            self.ranked = present
            self.ranks = {duty: rank(duty, self.membership.me.name, present) for duty in self.wanted}

    def _candidate(self, duty: str, now: int) -> LeaseCandidate:
        known = self.candidates.get(duty)
        generation = self.membership.me.generation
        if known is not None and (known.generation == generation or known.held_term(now) is not None):
            return known
        place = self.settings
        self.candidates[duty] = candidate = LeaseCandidate(
            duty, self.membership.me.name, generation, place.keepers, place.term_ns, self.rng, generation, now
        )
        return candidate

    def _tell_change(self, duty: str, candidate: LeaseCandidate, now: int) -> None:
        """Tells of a change of holder, as far as this front is concerned."""
        term, before = candidate.held_term(now), self.reported_terms.get(duty)
        if term == before:
            return
        if term is not None:
            self.reported_terms[duty] = term
            self.log.info("duty taken", duty=duty, number=term.fencing_token, terms=candidate.terms_won)
        else:
            self.reported_terms.pop(duty, None)
            self.log.info("duty over", duty=duty, number=before.fencing_token if before else 0)
        if (tell := self.holder_handlers.get(duty)) is not None:
            tell(term)

    def status(self) -> dict[str, object]:
        """Leases, holders and this front's acceptor, for operators."""
        return lease_status(self, boot_time())

    def leave(self) -> None:
        """The front leaves: its leases pass on at once."""
        for candidate in self.candidates.values():
            self._send_asks(candidate.set_wanted(False, boot_time()))
