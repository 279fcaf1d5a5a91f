"""The fleet's leases on one front: its candidates, its acceptor if it has one, and their messages to other fronts.

Messages are datagrams between peers. Time is CLOCK_BOOTTIME: steps of the wall clock do not change it, and it advances
while the machine is suspended, so a holder that was suspended knows that its term is over.
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
from oakcroft.peers.order_executor import OrderExecutor
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import LeaseCodec
from oakcroft.peerwire.lease_wire import Order, OrderReport, RecordPart, RecordRequest
from oakcroft.peerwire.sealing import KeyRing

MAX_RANK = 5
"""Number of fronts, the first in rendezvous order, that request a lease: 200 fronts would overload the acceptors."""

TICK_INTERVAL = 50 * MS
RECORD_CHECK_INTERVAL = 10 * MS


def boot_time() -> int:
    """Nanoseconds since the machine started, including time in which it was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class LeaseHost:
    """All leases of one front, by name (`duty` in logs and in status output)."""

    def __init__(
        self,
        settings: PeerSettings,
        ring: KeyRing,
        membership: Membership,
        store: NamedValueStore | None,
        seed: int,
        send: Callable[[str, bytes], None],
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """`store` is the state file, which an acceptor needs; `send` sends octets to a front by name."""
        self.settings = settings
        self.membership = membership
        self.log = log
        self.send = send
        self.codec = LeaseCodec(settings.fleet_name, ring)
        self.rng = Random(seed)
        self.dropped: Counter[str] = Counter()
        self.acceptor_host = self._make_acceptor(store)
        self.candidates: dict[str, LeaseCandidate] = {}
        self.wanted_leases: set[str] = set()
        self.ranked: list[str] | None = None  # the present fronts that `ranks` was computed from
        self.ranks: dict[str, int] = {}
        self.reported_terms: dict[str, LeaseTerm] = {}  # held terms as last passed to `holder_handlers`
        self.order_executor = OrderExecutor(self._send_report, log)
        self.order_handlers = self.order_executor.handlers
        self.report_handlers: dict[str, Callable[[str, OrderReport], None]] = {}
        self.holder_handlers: dict[str, Callable[[LeaseTerm | None], None]] = {}
        self.highest_promised: dict[str, dict[str, int]] = {}  # fencing token by lease and acceptor
        # Returns a text that this front holds, by its digest.
        self.find_text: Callable[[str], bytes | None] = lambda _: None
        self.nursery: trio.Nursery | None = None

    def _make_acceptor(self, store: NamedValueStore | None) -> AcceptorHost | None:
        settings = self.settings
        now = boot_time()
        if settings.name not in settings.lease_acceptors or store is None:
            return None
        generation = self.membership.own_update.generation
        acceptor = LeaseAcceptor(settings.name, settings.lease_acceptors, settings.term_ns, generation, now)
        return AcceptorHost(
            acceptor,
            store,
            self.codec,
            self.identity,
            self._send_to,
            self.dropped,
            self.log,
            now,
        )

    # Calls by the front.

    def become_candidate(self, lease_name: str) -> None:
        """Makes this front a candidate for a lease whenever its rank is low enough."""
        self.wanted_leases.add(lease_name)
        self.ranked = None

    def held_term(self, lease_name: str) -> LeaseTerm | None:
        """The term of a lease while this front holds it."""
        candidate = self.candidates.get(lease_name)
        return candidate.held_term(boot_time()) if candidate is not None else None

    def recorded_note(self, lease_name: str) -> bytes:
        """The note that the lease's holders have recorded, as this holder read or wrote it."""
        candidate = self.candidates.get(lease_name)
        return candidate.note.body if candidate is not None else b""

    async def record_note(self, lease_name: str, body: bytes) -> bool:
        """Records a note at a majority of acceptors; returns False if the term ended first."""
        candidate = self.candidates.get(lease_name)
        if candidate is None or candidate.held_term(boot_time()) is None:
            return False
        self._send_requests(candidate.record_note(body, boot_time()))
        version = candidate.note.version
        term = candidate.term
        while candidate.held_term(boot_time()) is not None and candidate.term == term:
            if candidate.recorded_version >= version:
                return True
            await trio.sleep(RECORD_CHECK_INTERVAL / SECOND)
        return False

    def current_term(self, lease_name: str) -> LeaseTerm | None:
        """Current term of a lease, as far as this front's candidate and acceptor know."""
        candidate = self.candidates.get(lease_name)
        now = boot_time()
        accepted = (
            self.acceptor_host.acceptor.running_term(lease_name, now)
            if self.acceptor_host is not None
            else None
        )
        known = candidate.known_term(now) if candidate is not None else None
        terms = [term for term in (accepted, known) if term is not None]
        return max(terms, key=lambda term: term.fencing_token, default=None)

    def raise_token(self, lease_name: str, seen_token: int) -> None:
        """Requests a new term with a token above `seen_token`: a resource has seen a higher token than this holder's."""
        candidate = self.candidates.get(lease_name)
        if candidate is None or candidate.held_term(boot_time()) is None:
            return
        candidate.highest_token = max(candidate.highest_token, min(seen_token, NUMBER_LIMIT - 2))
        self._send_requests(candidate.set_wanted(False, boot_time()))
        candidate.set_wanted(True, boot_time())
        self._report_change(lease_name, candidate, boot_time())

    def token_floor(self, lease_name: str) -> int | None:
        """An upper bound on the tokens of a lease's terms so far; None until a majority of acceptors has answered."""
        promised = self.highest_promised.get(lease_name, {})
        return (
            max(promised.values()) if len(promised) >= majority(len(self.settings.lease_acceptors)) else None
        )

    def request_token_floor(self, lease_name: str) -> None:
        """Asks the acceptors for their highest promised token: they refuse a token of 1 and name it in the refusal."""
        request = LeaseRequest(LeaseMessageKind.PREPARE, lease_name, LeaseTerm(1, *self.identity()))
        self._send_requests(
            [AcceptorMessage(acceptor, request) for acceptor in self.settings.lease_acceptors]
        )

    def yield_lease(self, lease_name: str) -> None:
        """Releases a lease on an operator's request and lets the other candidates go first for some terms."""
        if (candidate := self.candidates.get(lease_name)) is not None:
            self._send_requests(candidate.set_wanted(False, boot_time()))
            candidate.rank = MAX_RANK
            candidate.set_wanted(True, boot_time())

    # Messages received.

    def receive(self, opened: bytes) -> None:
        """Processes an authenticated datagram. Raises MessageError if it is invalid."""
        received = self.codec.decode(opened)
        if self.membership.displaced or self.membership.left:
            return  # another process under this front's name answers
        sender = received.sender
        message = received.message
        now = boot_time()
        if isinstance(message, LeaseAnswer):
            self._receive_answer(message, now)
        elif isinstance(message, Order):
            self.order_executor.begin(received, message)
        elif isinstance(message, OrderReport):
            if (handle_report := self.report_handlers.get(message.lease_name)) is not None:
                handle_report(sender, message)
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
        if answer.acceptor in self.settings.lease_acceptors:
            self.highest_promised.setdefault(answer.lease_name, {})[answer.acceptor] = answer.highest_promised
        self._send_requests(candidate.receive_answer(answer, now))
        self._report_change(answer.lease_name, candidate, now)

    # Messages sent.

    def identity(self) -> tuple[str, int]:
        """This front's name and generation."""
        return self.membership.own_update.name, self.membership.own_update.generation

    def _send_requests(self, messages: list[AcceptorMessage]) -> None:
        for message in messages:
            with suppress(MessageError):
                self._send_to(message.acceptor, self.codec.encode_request(*self.identity(), message.request))

    def send_order(self, receiver: str, order: Order) -> None:
        """Sends an order to a front, as the holder of a lease."""
        self._send_to(receiver, self.codec.encode_order(*self.identity(), order))

    def _send_report(self, receiver: str, report: OrderReport) -> None:
        self._send_to(receiver, self.codec.encode_report(*self.identity(), report))

    def _send_to(self, receiver: str, octets: bytes) -> None:
        if receiver != self.membership.own_update.name:
            self.send(receiver, octets)
        elif self.nursery is not None:
            # A message to itself does not use the network, but arrives asynchronously too.
            self.nursery.start_soon(self._receive_own, octets)

    async def _receive_own(self, octets: bytes) -> None:
        opened = self.codec.ring.open(octets, 0)
        if opened is not None:
            with suppress(MessageError):
                self.receive(opened)

    # Time.

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._use_nursery(nursery)
                while True:
                    self.tick(boot_time())
                    await trio.sleep(TICK_INTERVAL / SECOND)
        finally:
            self._use_nursery(None)

    def _use_nursery(self, nursery: trio.Nursery | None) -> None:
        self.nursery = self.order_executor.nursery = nursery
        if self.acceptor_host is not None:
            self.acceptor_host.nursery = nursery

    def tick(self, now: int) -> None:
        """Advances candidates and acceptor to the time `now`."""
        if self.acceptor_host is not None:
            self.acceptor_host.tick(now)
        if self.membership.displaced or self.membership.left:
            for candidate in self.candidates.values():
                self._send_requests(candidate.set_wanted(False, now))
            return
        self._update_ranks()
        for lease_name in sorted(self.wanted_leases):
            candidate = self._candidate(lease_name, now)
            current_rank = self.ranks[lease_name]
            if candidate.state is CandidateState.IDLE or candidate.rank < MAX_RANK:
                candidate.rank = current_rank
            is_wanted = current_rank < MAX_RANK or candidate.held_term(now) is not None
            self._send_requests(candidate.set_wanted(is_wanted, now))
            self._send_requests(candidate.tick(now))
            self._report_change(lease_name, candidate, now)

    def _update_ranks(self) -> None:
        """Computes ranks only when the membership returns a different list, to avoid hashing all members each tick."""
        present = self.membership.present()
        if present is not self.ranked:
            self.ranked = present
            self.ranks = {
                lease_name: rank(lease_name, self.membership.own_update.name, present)
                for lease_name in self.wanted_leases
            }

    def _candidate(self, lease_name: str, now: int) -> LeaseCandidate:
        known = self.candidates.get(lease_name)
        generation = self.membership.own_update.generation
        if known is not None and (known.generation == generation or known.held_term(now) is not None):
            return known
        name = self.membership.own_update.name
        acceptors = self.settings.lease_acceptors
        term_length = self.settings.term_ns
        candidate = LeaseCandidate(
            lease_name, name, generation, acceptors, term_length, self.rng, generation, now
        )
        self.candidates[lease_name] = candidate
        return candidate

    def _report_change(self, lease_name: str, candidate: LeaseCandidate, now: int) -> None:
        """Logs and reports that this front now holds a lease, or no longer does."""
        term = candidate.held_term(now)
        previous = self.reported_terms.get(lease_name)
        if term == previous:
            return
        if term is not None:
            self.reported_terms[lease_name] = term
            self.log.info("duty taken", duty=lease_name, number=term.fencing_token, terms=candidate.terms_won)
        else:
            self.reported_terms.pop(lease_name, None)
            self.log.info("duty over", duty=lease_name, number=previous.fencing_token if previous else 0)
        if (handle_change := self.holder_handlers.get(lease_name)) is not None:
            handle_change(term)

    def status(self) -> dict[str, object]:
        """Status of leases, holders and this front's acceptor, for operators."""
        return lease_status(self, boot_time())

    def leave(self) -> None:
        """Releases all leases, so that others can take them at once."""
        for candidate in self.candidates.values():
            self._send_requests(candidate.set_wanted(False, boot_time()))
