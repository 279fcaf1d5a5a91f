"""Many fronts with their candidates and keepers in one process, on a simulated network: seeded, the same every time.

Time is simulated. A word takes 1 to 5 ms, or is lost, or does not pass a cut. Fronts learn of a crash
`CRASH_KNOWN_SECONDS` after it (docs/fleet.md: what all know at p99); until then the dead stand in line for the duty.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from oakcroft.decisions.fleet.acceptor import LeaseAcceptor
from oakcroft.decisions.fleet.candidate import LeaseCandidate, CandidateState, AcceptorMessage
from oakcroft.decisions.membership.rendezvous import line
from oakcroft.decisions.fleet.lease import LeaseAnswer, AcceptorRecord
from oakcroft.interface import MS, SECOND

DUTY = "catalogue"
CRASH_KNOWN_SECONDS = 4.4
TICK_NS = 50 * MS
CANDIDATE_COUNT = 5
LEARN_INTERVAL_NS = 500 * MS


class LeaseSimulation:
    """So many fronts, the first of them keepers, one duty, and what befalls them. `now` in ns from 0."""

    def __init__(self, fronts: int, keepers: int, term: int, loss: float = 0.0, seed: int = 1) -> None:
        """`term`: the length of a lease, ns; `loss`: the share of messages that is lost."""
        self.rng, self.loss, self.term = Random(seed), loss, term
        self.names = [f"f{i:03}" for i in range(fronts)]
        granting = self.names[:keepers]
        self.keepers = {k: LeaseAcceptor(k, granting, term, 1, -term) for k in granting}
        for k in self.keepers.values():
            k.load_record(1, {}, {}, True, 0)
        self.candidates = {n: self._candidate(n, 1, 0) for n in self.names}
        self.dead, self.known_dead = set[str](), set[str]()
        self.cut: Callable[[str, str], bool] = lambda _a, _b: False
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.now = self.count = self.message_count = self.lives = 0
        self.terms_begun: list[tuple[int, int, str]] = []  # terms: when, number, owner
        self.in_line: list[str] | None = None
        for i, name in enumerate(self.names):
            self.later(i * MS % TICK_NS, lambda n=name: self._look(n))  # type: ignore[misc]

    def _candidate(self, name: str, start: int, floor: int) -> LeaseCandidate:
        rng = Random(f"{name}/{start}")
        return LeaseCandidate(
            DUTY, name, start, self.keepers, self.term, rng, floor, self.now if start > 1 else 0
        )

    def later(self, after: int, event: Callable[[], None]) -> None:
        """Does something after a time, ns."""
        self.count += 1
        heapq.heappush(self.heap, (self.now + after, self.count, event))

    def run(self, for_: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Plays on for so long, or until something holds; whether it does."""
        end = self.now + for_
        while self.heap and self.heap[0][0] <= end:
            self.now, _, event = heapq.heappop(self.heap)
            event()
            if until():
                return True
        self.now = end
        return False

    # Words.

    def _pass(self, one: str, other: str, event: Callable[[], None]) -> None:
        self.message_count += 1
        if not self.cut(one, other) and self.rng.random() >= self.loss:
            self.later(self.rng.randrange(MS, 5 * MS), event)

    def _look(self, name: str) -> None:
        self.later(TICK_NS, lambda: self._look(name))
        if name in self.dead:
            return
        if self.in_line is None:
            self.in_line = line(DUTY, [n for n in self.names if n not in self.known_dead])[:CANDIDATE_COUNT]
        one = self.candidates[name]
        one.rank = self.in_line.index(name) if name in self.in_line else CANDIDATE_COUNT
        self._say(
            name, one.set_wanted(one.rank < CANDIDATE_COUNT or one.held_term(self.now) is not None, self.now)
        )
        self._say(name, one.tick(self.now))
        self._owners(name)

    def _say(self, name: str, words: list[AcceptorMessage]) -> None:
        for word in words:
            self._pass(name, word.acceptor, lambda w=word: self._asked(name, w))  # type: ignore[misc]

    def _asked(self, name: str, word: AcceptorMessage) -> None:
        if word.acceptor in self.dead:
            return
        answer = self.keepers[word.acceptor].handle_request(word.request, self.now)
        if answer is not None:
            self._pass(word.acceptor, name, lambda: self._answered(name, answer))

    def _answered(self, name: str, answer: LeaseAnswer) -> None:
        if name not in self.dead:
            self._say(name, self.candidates[name].receive_answer(answer, self.now))
            self._owners(name)

    def _owners(self, name: str) -> None:
        """Notes a term that began, and that there is one owner at most, with a number over all before."""
        term = self.candidates[name].held_term(self.now)
        if term is None or (self.terms_begun and self.terms_begun[-1][1] == term.fencing_token):
            return
        assert not [n for n in self.candidates if n != name and self._owns(n)], "two owners"
        assert not self.terms_begun or term.fencing_token > self.terms_begun[-1][1], (
            f"{term} after {self.terms_begun[-1]}"
        )
        self.terms_begun.append((self.now, term.fencing_token, name))

    def _owns(self, name: str) -> bool:
        one = self.candidates[name]
        return (
            name not in self.dead
            and one.state is CandidateState.HOLDING
            and one.held_term(self.now) is not None
        )

    def owner(self) -> str | None:
        """Whoever takes itself for the owner."""
        return next((n for n in self.candidates if self._owns(n)), None)

    # What befalls them.

    def kill(self, name: str, away: int, record: bool = True, floor: int = 0) -> None:
        """A front ends with no word and starts again after `away` ns, without its candidate's memory; as a keeper with
        its record or without. `floor`: the number that its clock gives it."""
        self.dead.add(name)
        self.later(round(CRASH_KNOWN_SECONDS * SECOND), lambda: self._known(name, name in self.dead))
        self.later(away, lambda: self._back(name, record, floor))

    def _known(self, name: str, dead: bool) -> None:
        self.known_dead = self.known_dead | {name} if dead else self.known_dead - {name}
        self.in_line = None

    def _back(self, name: str, record: bool, floor: int) -> None:
        self.dead.discard(name)
        self._known(name, False)
        self.lives += 1
        self.candidates[name] = self._candidate(name, 1 + self.lives, floor)
        old = self.keepers.get(name)
        if old is None:
            return
        new = self.keepers[name] = LeaseAcceptor(name, self.keepers, self.term, 1 + self.lives, self.now)
        if record:
            new.load_record(old.epoch, old.peer_epochs, old.records, True, self.now)
        else:
            self._learn(name, new)

    def _learn(self, name: str, keeper: LeaseAcceptor) -> None:
        if keeper.has_full_record or self.keepers[name] is not keeper or name in self.dead:
            return
        self.later(LEARN_INTERVAL_NS, lambda: self._learn(name, keeper))
        if not keeper.peers_to_ask():
            keeper.peer_records.clear()
        for other in keeper.peers_to_ask():
            self._pass(name, other, lambda o=other: self._told(o, name, keeper))  # type: ignore[misc]

    def _told(self, other: str, name: str, keeper: LeaseAcceptor) -> None:
        told: AcceptorRecord | None = (
            None if other in self.dead else self.keepers[other].record_for_peer(name, keeper.epoch)
        )
        if told is not None:
            self._pass(other, name, lambda: self._hears(keeper, told))

    def _hears(self, keeper: LeaseAcceptor, told: AcceptorRecord) -> None:
        keeper.receive_peer_record(told, self.now)
