"""Fleet leases have one holder at a time: a model check of acceptors and candidates.

The tests try every order of events up to a depth, and long seeded random walks. They also disable one rule of the
protocol at a time and require that the same checks then fail. There are no sockets and no clock: a world consists of
three to seven acceptors, some candidates, and the messages between them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from oakcroft.decisions.fleet import acceptor, lease
from oakcroft.decisions.fleet import candidate as candidate_module
from oakcroft.decisions.fleet.acceptor import MAX_LEASES, LeaseAcceptor
from oakcroft.decisions.fleet.candidate import AcceptorMessage, CandidateState, LeaseCandidate
from oakcroft.decisions.fleet.lease import (
    Fence,
    LeaseMessageKind,
    LeaseNote,
    LeaseRequest,
    LeaseTerm,
    safe_term_length,
)
from oakcroft.interface import MS, SECOND

TERM_LENGTH = 4 * SECOND
LEASE_NAME = "roll-out"


class ShortestDelay(Random):
    """Random numbers with which every delay is the shortest one."""

    def randrange(self, *_: Any) -> int:
        """Returns 0 for any range."""
        return 0


class MessageLog:
    """All messages ever sent, each stored once, so that worlds refer to them by number."""

    def __init__(self) -> None:
        """Starts without messages."""
        self.messages: list[tuple[str, Any]] = []
        self.known: dict[tuple[str, Any], int] = {}

    def number(self, message: tuple[str, Any]) -> int:
        """Returns the number of a message, which is added if it is new."""
        if message not in self.known:
            self.known[message] = len(self.messages)
            self.messages.append(message)
        return self.known[message]


MESSAGES = MessageLog()


@dataclass
class World:
    """Acceptors, candidates and the messages in flight.

    An acceptor that restarts with its record has everything that was saved before it sent an answer.
    """

    acceptors: dict[str, LeaseAcceptor]
    candidates: dict[str, LeaseCandidate]
    requests: list[int] = field(default_factory=list)  # requests in flight, by message number
    answers: list[int] = field(default_factory=list)  # answers in flight, by message number
    now: int = 0
    epoch: int = 1
    terms: list[tuple[int, str]] = field(default_factory=list)  # terms in the order in which they began
    # The last note that a holder knew to be recorded by a quorum.
    recorded_note: LeaseNote = field(default_factory=LeaseNote)
    tokens: set[int] = field(default_factory=set)
    used_budgets: tuple[int, ...] = (0, 0, 0, 0)  # used parts of the budgets, see BUDGET_OF

    def send(self, name: str, messages: list[AcceptorMessage]) -> None:
        """Adds the requests of a candidate to those in flight and checks the invariants."""
        self.requests += [MESSAGES.number((name, message)) for message in messages]
        self.check()

    def tick(self) -> None:
        """Lets every candidate do what is due now."""
        for name, candidate in self.candidates.items():
            self.send(name, candidate.tick(self.now))

    def deliver(self, number: int) -> int | None:
        """Delivers a request to its acceptor and returns the number of the answer, which is not sent yet."""
        name, message = MESSAGES.messages[number]
        answer = self.acceptors[message.acceptor].handle_request(message.request, self.now)
        return None if answer is None else MESSAGES.number((name, answer))

    def answer(self, number: int) -> None:
        """Delivers an answer to its candidate."""
        name, answer = MESSAGES.messages[number]
        self.send(name, self.candidates[name].receive_answer(answer, self.now))

    def restart(self, name: str, keeps_record: bool) -> None:
        """Restarts an acceptor. Without its record it asks all others, which answer at once."""
        old, self.epoch = self.acceptors[name], self.epoch + 1
        new = LeaseAcceptor(name, self.acceptors, TERM_LENGTH, self.epoch, self.now)
        if keeps_record:
            new.load_record(old.epoch, old.peer_epochs, old.records, True, self.now)
        self.acceptors[name] = new
        for other in new.peers_to_ask():
            peer_record = self.acceptors[other].record_for_peer(name, new.epoch)
            if peer_record is not None:
                new.receive_peer_record(peer_record, self.now)

    def due_times(self) -> list[int]:
        """Returns the future times at which a term or a wait ends, or a candidate is due."""
        times = {c.due_at for c in self.candidates.values() if c.state is not CandidateState.IDLE}
        times |= {c.held_until for c in self.candidates.values()}
        for member in self.acceptors.values():
            times |= {member.silent_until, *member.running_until.values()}
        return sorted(time for time in times if time > self.now)

    def check(self) -> None:
        """Checks the invariants: one holder, growing fencing tokens, no lost note."""
        owners = [c for c in self.candidates.values() if c.held_term(self.now) is not None]
        assert len(owners) <= 1, f"owned by {[c.own_name for c in owners]}"
        for one in owners:
            assert one.term is not None
            if one.term.fencing_token not in self.tokens:
                self.tokens.add(one.term.fencing_token)
                assert not self.terms or one.term.fencing_token > self.terms[-1][0], (
                    f"{one.term} after {self.terms}"
                )
                assert one.note.body == self.recorded_note.body or one.note.body > self.recorded_note.body, (
                    "a recorded note is lost"
                )
                self.terms.append((one.term.fencing_token, one.own_name))
            if one.note.version == one.recorded_version and one.note.body >= self.recorded_note.body:
                self.recorded_note = one.note

    def key(self) -> Any:
        """Returns a key that is the same for equal worlds."""
        return (
            self.now,
            self.used_budgets,
            self.recorded_note.body,
            tuple(sorted(self.requests)),
            tuple(sorted(self.answers)),
            *[
                (
                    k.epoch,
                    k.has_full_record,
                    k.silent_until,
                    k.running_until.get(LEASE_NAME, 0),
                    *k.peer_epochs.values(),
                    MESSAGES.number(("", k.records.get(LEASE_NAME))),
                )
                for k in self.acceptors.values()
            ],
            *[
                (
                    c.state,
                    c.highest_token,
                    c.seq,
                    c.first_seq,
                    c.is_round_accepted,
                    c.rounds,
                    c.due_at,
                    c.held_until,
                    c.recorded_version,
                    c.note.version,
                    *[(n, a.seq) for n, a in sorted(c.answers.items())],
                    *sorted(c.refusals.items()),
                )
                for c in self.candidates.values()
            ],
        )


def make_world(
    acceptor_count: int, candidates: int, rng: Callable[[int], Random] = lambda _: ShortestDelay()
) -> World:
    """Returns a world in which every candidate wants the lease and its first requests are in flight."""
    names = [f"k{i}" for i in range(acceptor_count)]
    acceptors = {n: LeaseAcceptor(n, names, TERM_LENGTH, 1, -TERM_LENGTH) for n in names}
    for member in acceptors.values():
        member.load_record(1, {}, {}, True, 0)
    own = {
        f"c{i}": LeaseCandidate(LEASE_NAME, f"c{i}", 1, names, TERM_LENGTH, rng(i), 0, 0)
        for i in range(candidates)
    }
    start = World(acceptors, own)
    for name, candidate in own.items():
        start.send(name, candidate.set_wanted(True, 0))
    start.tick()
    return start


def copied(at: World) -> World:
    """Returns a copy of a world; what never changes is shared."""
    new = copy(at)
    new.acceptors = {n: copy(k) for n, k in at.acceptors.items()}
    for k in new.acceptors.values():
        k.records, k.running_until, k.peer_epochs, k.peer_records, k.unsaved = (
            dict(k.records), dict(k.running_until), dict(k.peer_epochs), dict(k.peer_records), set[str]())  # fmt: skip
    new.candidates = {n: copy(c) for n, c in at.candidates.items()}
    for c in new.candidates.values():
        c.answers, c.refusals = dict(c.answers), dict(c.refusals)
    new.requests, new.answers, new.terms, new.tokens = (
        list(at.requests),
        list(at.answers),
        list(at.terms),
        set(at.tokens),
    )
    return new


Event = tuple[str, Any]
BUDGET_OF = {
    "lost": 0,
    "late": 0,
    "twice": 1,
    "restart": 2,
    "wiped": 3,
}  # which budget each kind of event uses


def next_events(at: World, budgets: tuple[int, ...]) -> Iterator[Event]:
    """Returns all events that may come next.

    A request is answered, its answer is lost or late, a request is delivered twice, an acceptor restarts with or without
    its record, or time advances to the next due time. A lost request is one that is never delivered.
    """
    allowed = {kind for kind, part in BUDGET_OF.items() if at.used_budgets[part] < budgets[part]}
    for number in sorted(set(at.requests)):
        yield "answered", number
        for kind in ("lost", "late", "twice"):
            if kind in allowed:
                yield kind, number
    for number in sorted(set(at.answers)):
        yield "answer", number
    if times := at.due_times():
        yield "time", times[0]
    for kind in ("restart", "wiped"):
        if kind in allowed:
            for name in at.acceptors:
                yield kind, name


def apply_event(at: World, event: Event) -> World:
    """Returns the world after one event."""
    new, (kind, subject) = copied(at), event
    if kind in BUDGET_OF:
        new.used_budgets = tuple(n + (i == BUDGET_OF[kind]) for i, n in enumerate(at.used_budgets))
    if kind == "time":
        new.now = subject
        new.tick()
    elif kind in ("restart", "wiped"):
        new.restart(subject, kind == "restart")
    elif kind == "answer":
        new.answers.remove(subject)
        new.answer(subject)
    else:
        if kind != "twice":
            new.requests.remove(subject)
        answer = new.deliver(subject)
        if answer is not None and kind == "late":
            new.answers.append(answer)
        elif answer is not None and kind != "lost":
            new.answer(answer)
    new.check()
    return new


def explore(start: World, depth: int, budgets: tuple[int, ...]) -> int:
    """Tries every order of events up to a depth and returns the number of distinct worlds."""
    seen, frontier = {start.key()}, [start]
    for _ in range(depth):
        next_frontier = list[World]()
        for at in frontier:
            for event in next_events(at, budgets):
                new = apply_event(at, event)
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    next_frontier.append(new)
        frontier = next_frontier
    return len(seen)


def held_by_two_of_three() -> World:
    """Returns a world in which c0 holds the lease by k0 and k1.

    The requests of c0 to k2 are still in flight, and c1 has sent none.
    """
    start = make_world(3, 2)
    start.requests = [n for n in start.requests if MESSAGES.messages[n][0] == "c0"]
    for _ in range(2):
        for name in ("k0", "k1"):
            number = next(n for n in start.requests if MESSAGES.messages[n][1].acceptor == name)
            start = apply_event(start, ("answered", number))
    assert start.candidates["c0"].held_term(start.now)
    return start


def ended_and_requested_by_another() -> World:
    """Returns the world of `held_by_two_of_three` after the term of c0 has ended; c1 may request one."""
    start = held_by_two_of_three()
    until = max(start.acceptors["k0"].running_until.values())
    late = next(n for n in start.requests if MESSAGES.messages[n][1].request.kind is LeaseMessageKind.PROPOSE)
    while start.now < until:
        start = apply_event(start, ("time", start.due_times()[0]))
    start.requests = [late, *[n for n in start.requests if MESSAGES.messages[n][0] == "c1"][-3:]]
    return start


@pytest.mark.parametrize(
    ("start", "depth", "budgets"),
    [(lambda: make_world(3, 2), 6, (0, 0, 0, 0)), (lambda: make_world(3, 2), 3, (1, 1, 1, 1)),
     (held_by_two_of_three, 4, (1, 1, 1, 1)), (ended_and_requested_by_another, 4, (1, 1, 1, 1))],
)  # fmt: skip
def test_every_order_of_events_to_a_depth(
    start: Callable[[], World], depth: int, budgets: tuple[int, ...], record_property: Any
) -> None:
    """Guards against two holders, fencing tokens that do not grow and lost notes, in every reachable world."""
    count = explore(start(), depth, budgets)
    record_property("worlds", count)
    assert count > 2_000, count


# Random walks.


class RandomWalk:
    """A seeded random walk: messages are lost, late or duplicated, candidates are suspended, acceptors restart."""

    LOST_SHARE = 0.08
    """Share of the requests, and of the answers, that are lost."""
    DUPLICATED_SHARE = 0.08
    """Share of the requests that are delivered twice."""

    def __init__(self, seed: int, acceptor_count: int, wipes: int) -> None:
        """`wipes`: number of acceptors that may be without their records at one time."""
        self.rng = Random(seed)
        self.acceptor_count = acceptor_count
        self.wipes = wipes
        self.world = make_world(acceptor_count, 3, lambda i: Random(seed * 10 + i))
        self.record_lost_until = dict[str, int]()
        self.suspended_until = dict[str, int]()

    def step(self) -> None:
        """Lets one random event happen and checks the invariants."""
        draw = self.rng.random()
        message_share = 1 - 0.3 / self.acceptor_count  # a round with many acceptors takes more messages
        if self.world.requests and draw < 0.6 * message_share:
            self.deliver_request()
        elif self.world.answers and draw < message_share:
            self.deliver_answer()
        elif draw < 1 - 0.09 / self.acceptor_count:
            self.advance_time()
            self.record_notes()
        elif draw < 1 - 0.03 / self.acceptor_count:
            self.world.restart(self.rng.choice(sorted(self.world.acceptors)), True)
        elif self.wipes:
            self.wipe_acceptor()
        self.world.check()

    def deliver_request(self) -> None:
        """Delivers a random request, unless it is lost; it may be delivered again later."""
        requests = self.world.requests
        number = requests.pop(self.rng.randrange(len(requests)))
        fate = self.rng.random()
        if fate < self.LOST_SHARE:
            return
        answer = self.world.deliver(number)
        if fate < self.LOST_SHARE + self.DUPLICATED_SHARE:
            requests.append(number)
        if answer is not None:
            self.world.answers.append(answer)

    def deliver_answer(self) -> None:
        """Delivers a random answer, unless it is lost."""
        answers = self.world.answers
        number = answers.pop(self.rng.randrange(len(answers)))
        if self.rng.random() >= self.LOST_SHARE:
            self.world.answer(number)

    def advance_time(self) -> None:
        """Advances the time to a due time; suspended candidates miss what is due."""
        world = self.world
        if times := world.due_times():
            world.now = times[0] if self.rng.random() < 0.9 else times[-1]
        for name, candidate in world.candidates.items():
            if self.suspended_until.get(name, 0) <= world.now:
                world.send(name, candidate.tick(world.now))
            if self.rng.random() < 0.03:
                self.suspended_until[name] = world.now + self.rng.randrange(3 * TERM_LENGTH)

    def record_notes(self) -> None:
        """Lets holders record notes, each greater than those before it."""
        world = self.world
        for name, candidate in world.candidates.items():
            if candidate.held_term(world.now) is not None and self.rng.random() < 0.3:
                body = f"{len(world.tokens):05}-{self.rng.randrange(100_000):05}".encode()
                world.send(name, candidate.record_note(max(body, candidate.note.body + b"+"), world.now))

    def wipe_acceptor(self) -> None:
        """Restarts an acceptor without its record, unless too many are without theirs."""
        world = self.world
        without_record = {
            name
            for name, until in self.record_lost_until.items()
            if until > world.now or not world.acceptors[name].has_full_record
        }
        name = self.rng.choice(sorted(world.acceptors))
        if len(without_record | {name}) <= self.wipes:
            world.restart(name, False)
            self.record_lost_until[name] = world.now + TERM_LENGTH


def random_walk(seed: int, acceptor_count: int, wipes: int, events: int = 4_000) -> World:
    """Returns the world after a random walk."""
    walk = RandomWalk(seed, acceptor_count, wipes)
    for _ in range(events):
        walk.step()
    return walk.world


@pytest.mark.parametrize(("acceptor_count", "wipes"), [(3, 1), (5, 2), (7, 3)])
def test_random_walks(acceptor_count: int, wipes: int) -> None:
    """The invariants of `World.check` hold on long random walks in which acceptors lose their records, too."""
    terms_begun = 0
    for seed in range(40):
        terms_begun += len(random_walk(seed, acceptor_count, wipes).terms)
    assert terms_begun > 100, terms_begun  # with few terms the walks would test nothing


def load_record_without_promises(
    self: LeaseAcceptor, epoch: int, epochs: Any, rows: Any, whole: bool, now: int
) -> None:
    """Replaces `load_record`: the acceptor answers right after a restart, without its promises."""
    self.has_full_record, self.silent_until = True, now


def load_record_and_end_term(
    self: LeaseAcceptor, epoch: int, epochs: Any, rows: Any, whole: bool, now: int
) -> None:
    """Replaces `load_record`: the acceptor keeps its record but lets the term on it end at once."""
    self.records, self.peer_epochs, self.epoch, self.has_full_record, self.silent_until = (
        dict(rows),
        dict(epochs),
        epoch,
        True,
        now,
    )


def accepts_all(row: Any, term: LeaseTerm) -> bool:
    """Replaces `_may_accept`: the acceptor accepts every term."""
    return True


WEAKENED_RULES: dict[str, list[tuple[Any, str, Any]]] = {
    "a promise binds": [(LeaseAcceptor, "_may_accept", staticmethod(accepts_all))],
    "nothing is promised while a term runs": [(LeaseAcceptor, "running_term", lambda self, duty, now: None)],
    "an acceptor keeps its promises over a restart": [
        (LeaseAcceptor, "load_record", load_record_without_promises)
    ],
    "a recorded term runs its whole length after a restart": [
        (LeaseAcceptor, "load_record", load_record_and_end_term)
    ],
    "a holder counts its term from its request": [
        (candidate_module, "safe_term_length", lambda length: 2 * length)
    ],
    "a lease needs a majority": [(candidate_module, "majority", lambda of: 1)],
    "an acceptor without a record asks a majority": [(acceptor, "majority", lambda of: 0)],
}


@pytest.mark.parametrize("rule", WEAKENED_RULES)
def test_random_walks_fail_without_a_rule(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against random walks that cannot find a violation: each rule is necessary and is checked."""
    for target, name, replacement in WEAKENED_RULES[rule]:
        monkeypatch.setattr(target, name, replacement)

    def walks() -> None:
        for seed in range(40):
            for acceptor_count, wipes in ((3, 1), (5, 2), (7, 3)):
                random_walk(seed, acceptor_count, wipes, 8_000)

    with pytest.raises(AssertionError):
        walks()


# Single rules.


def term(number: int, owner: str = "c0") -> LeaseTerm:
    """Returns a term with a fencing token and a holder."""
    return LeaseTerm(number, owner, 1)


def make_acceptor(name: str = "k0", acceptor_count: int = 3) -> LeaseAcceptor:
    """Returns an acceptor of a fleet with its record loaded, so that it answers at once."""
    one = LeaseAcceptor(name, [f"k{i}" for i in range(acceptor_count)], TERM_LENGTH, 1, -TERM_LENGTH)
    one.load_record(1, {}, {}, True, 0)
    return one


def test_a_repeated_proposal_does_not_renew_a_term() -> None:
    """Guards against a duplicate proposal that prolongs a term beyond what its holder counts."""
    one, ask = make_acceptor(), LeaseRequest(LeaseMessageKind.PROPOSE, LEASE_NAME, term(5), 1, TERM_LENGTH)
    assert one.handle_request(ask, 0) is not None
    again = one.handle_request(ask, TERM_LENGTH - 1)
    assert again is not None
    assert again.kind is LeaseMessageKind.ACCEPTED  # the first answer may have been lost
    assert one.running_term(LEASE_NAME, TERM_LENGTH - 1)
    assert one.running_term(LEASE_NAME, TERM_LENGTH) is None
    assert one.handle_request(replace(ask, seq=2), TERM_LENGTH) is not None
    assert one.running_term(LEASE_NAME, TERM_LENGTH) == term(5)


def test_an_acceptor_names_what_is_unsaved() -> None:
    """Promises and new terms have to be saved before the answer is sent; a renewal does not."""
    one = make_acceptor()
    one.handle_request(LeaseRequest(LeaseMessageKind.PREPARE, LEASE_NAME, term(1)), 0)
    assert one.unsaved == {LEASE_NAME}
    one.unsaved.clear()
    one.handle_request(LeaseRequest(LeaseMessageKind.PROPOSE, LEASE_NAME, term(1), 1, TERM_LENGTH), 0)
    assert one.unsaved == {LEASE_NAME}
    one.unsaved.clear()
    one.handle_request(LeaseRequest(LeaseMessageKind.PROPOSE, LEASE_NAME, term(1), 2, TERM_LENGTH), 0)
    assert not one.unsaved  # a renewal needs no save


def test_an_acceptor_bounds_its_records_and_refuses_invalid_requests() -> None:
    """Guards against unbounded records, exhausted tokens, oversized notes and terms that are too long."""
    one = make_acceptor()
    for i in range(MAX_LEASES + 5):
        one.handle_request(LeaseRequest(LeaseMessageKind.PREPARE, f"d{i}", term(1)), 0)
    assert len(one.records) == MAX_LEASES
    assert (
        one.handle_request(LeaseRequest(LeaseMessageKind.PREPARE, "d0", term(lease.NUMBER_LIMIT)), 0) is None
    )  # no higher token is possible
    assert (
        one.handle_request(
            LeaseRequest(
                LeaseMessageKind.PROPOSE, "d0", term(2), 1, TERM_LENGTH, LeaseNote(2, 1, b"x" * 5_000)
            ),
            0,
        )
        is None
    )
    refused = one.handle_request(LeaseRequest(LeaseMessageKind.PROPOSE, "d0", term(2), 1, TERM_LENGTH + 1), 0)
    assert refused is not None
    assert refused.kind is LeaseMessageKind.REFUSED  # a longer term than the acceptor grants


def test_of_two_acceptors_under_one_name_the_older_one_does_not_count() -> None:
    """Guards against a lease by two acceptors with one name, after one of them lost its record."""
    old, names = make_acceptor("k2"), ["k0", "k1", "k2"]
    others = [make_acceptor("k0"), make_acceptor("k1")]
    new = LeaseAcceptor("k2", names, TERM_LENGTH, 7, 0)
    assert new.peers_to_ask() == ["k0", "k1"]
    assert (
        new.handle_request(LeaseRequest(LeaseMessageKind.PREPARE, LEASE_NAME, term(9)), 2 * TERM_LENGTH)
        is None
    )  # it has no record yet
    for one in others:
        peer_record = one.record_for_peer("k2", new.epoch)
        assert peer_record is not None
        new.receive_peer_record(peer_record, 0)
    assert new.has_full_record
    assert not new.can_answer(TERM_LENGTH - 1)  # it waits for the longest term to end
    assert new.can_answer(TERM_LENGTH)
    candidate = LeaseCandidate(LEASE_NAME, "c0", 1, names, TERM_LENGTH, ShortestDelay(), 0, 0)
    candidate.set_wanted(True, 0)
    messages = candidate.tick(0)
    for at in (old, others[0]):
        answer = at.handle_request(next(w for w in messages if w.acceptor == at.own_name).request, 0)
        assert answer is not None
        candidate.receive_answer(answer, 0)
    assert candidate.state is CandidateState.PREPARING
    assert [a.acceptor for a in candidate.counted_answers()] == ["k0"]
    assert others[0].record_for_peer("k2", 1) is None  # the older record gets no answer either


def test_a_new_fleet_starts_if_no_acceptor_has_a_record() -> None:
    """In a new fleet, an acceptor has a full record once all others have answered that they have none."""
    names = ["k0", "k1", "k2"]
    acceptors = {n: LeaseAcceptor(n, names, TERM_LENGTH, 5, 0) for n in names}
    peer_record = acceptors["k1"].record_for_peer("k0", 5)
    assert peer_record is not None
    assert not acceptors["k0"].receive_peer_record(
        peer_record, 0
    )  # one of the two others, which has no record either
    peer_record = acceptors["k2"].record_for_peer("k0", 5)
    assert peer_record is not None
    assert acceptors["k0"].receive_peer_record(peer_record, 0)
    assert not acceptors["k0"].can_answer(TERM_LENGTH - 1)


def test_a_fence_rejects_older_tokens_and_steps() -> None:
    """Guards against steps of an earlier holder, also after the fence is restored from what it has seen."""
    fence = Fence()
    for number, step in ((3, 1), (3, 1), (3, 2), (5, 1)):
        assert fence.admits(LEASE_NAME, number, step)
        fence.record(LEASE_NAME, number, step)
    assert not fence.admits(LEASE_NAME, 3, 9)
    assert not fence.admits(LEASE_NAME, 5, 0)
    assert fence.rejected_count == 2
    assert Fence(fence.highest_seen).admits(LEASE_NAME, 5, 1)
    assert not Fence(fence.highest_seen).admits(LEASE_NAME, 4, 1)


def test_a_holder_counts_its_term_shorter_than_any_acceptor() -> None:
    """Guards against a holder whose clock runs slowly and that acts after its term has ended at an acceptor."""
    for length in (SECOND, TERM_LENGTH, 60 * SECOND):
        assert safe_term_length(length) < length - length // 100
    at = held_by_two_of_three()
    held = at.candidates["c0"].held_until
    assert held <= at.now + safe_term_length(TERM_LENGTH)
    assert all(
        t >= held + MS for k, t in ((k, at.acceptors[k].running_until[LEASE_NAME]) for k in ("k0", "k1"))
    )
