"""Simulates many fronts with their lease candidates and acceptors in one process, on a simulated network.

Time is simulated and all chance comes from one seed, so a run can be repeated. A message takes 1 to 5 ms, or is lost, or
is stopped by a partition. Fronts learn of a crash `CRASH_KNOWN_SECONDS` after it (docs/fleet.md: the time within which
all know at p99); until then the dead front still ranks among the candidates.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from oakcroft.decisions.fleet.acceptor import LeaseAcceptor
from oakcroft.decisions.fleet.candidate import LeaseCandidate, CandidateState, AcceptorMessage
from oakcroft.decisions.membership.rendezvous import rank_order
from oakcroft.decisions.fleet.lease import LeaseAnswer, AcceptorRecord
from oakcroft.interface import MS, SECOND

LEASE_NAME = "catalogue"
CRASH_KNOWN_SECONDS = 4.4
TICK_NS = 50 * MS
CANDIDATE_COUNT = 5
"""How many fronts, by their rank for the lease, are candidates for it."""

LEARN_INTERVAL_NS = 500 * MS
"""How often an acceptor that lost its record asks the others for theirs."""

LATENCY_MIN_NS = MS
LATENCY_MAX_NS = 5 * MS


class LeaseSimulation:
    """A number of fronts, the first of which are acceptors, with one lease. `now` is in ns from 0."""

    def __init__(self, fronts: int, acceptors: int, term: int, loss: float = 0.0, seed: int = 1) -> None:
        """`term`: the length of a lease, ns; `loss`: the share of messages that is lost."""
        self.rng = Random(seed)
        self.loss = loss
        self.term = term
        self.names = [f"f{number:03}" for number in range(fronts)]
        acceptor_names = self.names[:acceptors]
        self.acceptors = {
            name: LeaseAcceptor(name, acceptor_names, term, 1, -term) for name in acceptor_names
        }
        for acceptor in self.acceptors.values():
            acceptor.load_record(1, {}, {}, True, 0)
        self.candidates = {name: self._create_candidate(name, 1, 0) for name in self.names}
        self.dead = set[str]()
        self.known_dead = set[str]()
        self.cut: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.now = 0
        self.event_count = 0
        self.message_count = 0
        self.restart_count = 0
        self.terms_begun: list[tuple[int, int, str]] = []
        """When each term began, its fencing token and its holder."""
        self.candidates_by_rank: list[str] | None = None
        for number, name in enumerate(self.names):
            self.schedule(number * MS % TICK_NS, lambda name=name: self._tick(name))  # type: ignore[misc]

    def _create_candidate(self, name: str, generation: int, min_token: int) -> LeaseCandidate:
        rng = Random(f"{name}/{generation}")
        return LeaseCandidate(
            LEASE_NAME,
            name,
            generation,
            self.acceptors,
            self.term,
            rng,
            min_token,
            self.now if generation > 1 else 0,
        )

    def schedule(self, delay: int, event: Callable[[], None]) -> None:
        """Runs an event after a delay, ns."""
        self.event_count += 1
        heapq.heappush(self.heap, (self.now + delay, self.event_count, event))

    def run(self, duration: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Runs for a duration (ns) or until a condition holds, and returns whether it holds."""
        end = self.now + duration
        while self.heap and self.heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self.heap)
            event()
            if until():
                return True
        self.now = end
        return False

    # Messages.

    def _send(self, sender: str, receiver: str, event: Callable[[], None]) -> None:
        self.message_count += 1
        if not self.cut(sender, receiver) and self.rng.random() >= self.loss:
            self.schedule(self.rng.randrange(LATENCY_MIN_NS, LATENCY_MAX_NS), event)

    def _tick(self, name: str) -> None:
        self.schedule(TICK_NS, lambda: self._tick(name))
        if name in self.dead:
            return
        if self.candidates_by_rank is None:
            present = [other for other in self.names if other not in self.known_dead]
            self.candidates_by_rank = rank_order(LEASE_NAME, present)[:CANDIDATE_COUNT]
        candidate = self.candidates[name]
        is_ranked = name in self.candidates_by_rank
        candidate.rank = self.candidates_by_rank.index(name) if is_ranked else CANDIDATE_COUNT
        is_wanted = candidate.rank < CANDIDATE_COUNT or candidate.held_term(self.now) is not None
        self._send_requests(name, candidate.set_wanted(is_wanted, self.now))
        self._send_requests(name, candidate.tick(self.now))
        self._check_holder(name)

    def _send_requests(self, name: str, messages: list[AcceptorMessage]) -> None:
        for message in messages:
            self._send(name, message.acceptor, lambda m=message: self._receive_request(name, m))  # type: ignore[misc]

    def _receive_request(self, sender: str, message: AcceptorMessage) -> None:
        if message.acceptor in self.dead:
            return
        answer = self.acceptors[message.acceptor].handle_request(message.request, self.now)
        if answer is not None:
            self._send(message.acceptor, sender, lambda: self._receive_answer(sender, answer))

    def _receive_answer(self, name: str, answer: LeaseAnswer) -> None:
        if name not in self.dead:
            self._send_requests(name, self.candidates[name].receive_answer(answer, self.now))
            self._check_holder(name)

    def _check_holder(self, name: str) -> None:
        """Records a term that began, and asserts that it has the only holder and a higher token than all before."""
        term = self.candidates[name].held_term(self.now)
        if term is None or (self.terms_begun and self.terms_begun[-1][1] == term.fencing_token):
            return
        assert not [other for other in self.candidates if other != name and self._holds_lease(other)], (
            "two holders"
        )
        assert not self.terms_begun or term.fencing_token > self.terms_begun[-1][1], (
            f"{term} after {self.terms_begun[-1]}"
        )
        self.terms_begun.append((self.now, term.fencing_token, name))

    def _holds_lease(self, name: str) -> bool:
        candidate = self.candidates[name]
        return (
            name not in self.dead
            and candidate.state is CandidateState.HOLDING
            and candidate.held_term(self.now) is not None
        )

    def holder(self) -> str | None:
        """Returns the front that believes itself the holder; None if there is none."""
        return next((name for name in self.candidates if self._holds_lease(name)), None)

    # Crashes.

    def kill(self, name: str, down_for: int, keeps_record: bool = True, min_token: int = 0) -> None:
        """A front crashes and starts again after `down_for` ns without its candidate's memory.

        `keeps_record`: whether it keeps its record if it is an acceptor; `min_token`: the fencing tokens of its next
        process are above this, which a front takes from its clock.
        """
        self.dead.add(name)
        self.schedule(
            round(CRASH_KNOWN_SECONDS * SECOND), lambda: self._update_known_dead(name, name in self.dead)
        )
        self.schedule(down_for, lambda: self._restart(name, keeps_record, min_token))

    def _update_known_dead(self, name: str, is_dead: bool) -> None:
        self.known_dead = self.known_dead | {name} if is_dead else self.known_dead - {name}
        self.candidates_by_rank = None

    def _restart(self, name: str, has_record: bool, min_token: int) -> None:
        self.dead.discard(name)
        self._update_known_dead(name, False)
        self.restart_count += 1
        self.candidates[name] = self._create_candidate(name, 1 + self.restart_count, min_token)
        old = self.acceptors.get(name)
        if old is None:
            return
        new = LeaseAcceptor(name, self.acceptors, self.term, 1 + self.restart_count, self.now)
        self.acceptors[name] = new
        if has_record:
            new.load_record(old.epoch, old.peer_epochs, old.records, True, self.now)
        else:
            self._learn_records(name, new)

    def _learn_records(self, name: str, acceptor: LeaseAcceptor) -> None:
        """Requests the other acceptors' records until the acceptor's own is full again."""
        if acceptor.has_full_record or self.acceptors[name] is not acceptor or name in self.dead:
            return
        self.schedule(LEARN_INTERVAL_NS, lambda: self._learn_records(name, acceptor))
        if not acceptor.peers_to_ask():
            acceptor.peer_records.clear()
        for other in acceptor.peers_to_ask():
            self._send(name, other, lambda o=other: self._receive_record_request(o, name, acceptor))  # type: ignore[misc]

    def _receive_record_request(self, receiver: str, sender: str, acceptor: LeaseAcceptor) -> None:
        record: AcceptorRecord | None = None
        if receiver not in self.dead:
            record = self.acceptors[receiver].record_for_peer(sender, acceptor.epoch)
        if record is not None:
            self._send(receiver, sender, lambda: self._receive_record(acceptor, record))

    def _receive_record(self, acceptor: LeaseAcceptor, record: AcceptorRecord) -> None:
        acceptor.receive_peer_record(record, self.now)
