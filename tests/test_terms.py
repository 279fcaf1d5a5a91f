"""Fleet leases have one holder at a time: a model check of acceptors and candidates.

The tests try every order of events up to a depth and long seeded random walks. They also disable one rule at a time and
require that the same checks then fail. There are no sockets and no clock: a world consists of three to seven acceptors,
some candidates, and the messages between them.
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
from oakcroft.decisions.fleet.candidate import LeaseCandidate, CandidateState, AcceptorMessage
from oakcroft.decisions.fleet.lease import (
    LeaseRequest,
    Fence,
    LeaseNote,
    LeaseMessageKind,
    LeaseTerm,
    safe_term_length,
)
from oakcroft.interface import MS, SECOND

TERM_LENGTH = 4 * SECOND
LEASE_NAME = "roll-out"


class ShortestDelay(Random):
    """Draws the shortest delay each time."""

    def randrange(self, *_: Any) -> int:
        return 0


class MessageLog:
    """All messages ever sent, each once, so that worlds refer to them by number."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, Any]] = []
        self.known: dict[tuple[str, Any], int] = {}

    def number(self, message: tuple[str, Any]) -> int:
        if message not in self.known:
            self.known[message] = len(self.messages)
            self.messages.append(message)
        return self.known[message]


MESSAGES = MessageLog()


@dataclass
class World:
    """Acceptors, candidates and the messages in flight.

    An acceptor that restarts with its record has everything that was saved before an answer was sent.
    """

    acceptors: dict[str, LeaseAcceptor]
    candidates: dict[str, LeaseCandidate]
    requests: list[int] = field(default_factory=list)  # requests in flight, by message number
    answers: list[int] = field(default_factory=list)  # answers in flight, by message number
    now: int = 0
    epoch: int = 1
    terms: list[tuple[int, str]] = field(default_factory=list)  # terms in the order in which they began
    recorded_note: LeaseNote = field(
        default_factory=LeaseNote
    )  # the last note that its holder knew to be on record
    tokens: set[int] = field(default_factory=set)
    used_budgets: tuple[int, ...] = (0, 0, 0, 0)  # used up of the budgets of a walk

    def send(self, name: str, words: list[AcceptorMessage]) -> None:
        self.requests += [MESSAGES.number((name, w)) for w in words]
        self.check()

    def tick(self) -> None:
        for name, candidate in self.candidates.items():
            self.send(name, candidate.tick(self.now))

    def deliver(self, which: int) -> int | None:
        """Delivers a request to its acceptor and returns the number of the answer, which is not sent yet."""
        name, word = MESSAGES.messages[which]
        answer = self.acceptors[word.acceptor].handle_request(word.request, self.now)
        return None if answer is None else MESSAGES.number((name, answer))

    def answer(self, which: int) -> None:
        name, answer = MESSAGES.messages[which]
        self.send(name, self.candidates[name].receive_answer(answer, self.now))

    def restart(self, name: str, record: bool) -> None:
        """Restarts an acceptor. Without its record it asks all others, which answer at once."""
        old, self.epoch = self.acceptors[name], self.epoch + 1
        new = LeaseAcceptor(name, self.acceptors, TERM_LENGTH, self.epoch, self.now)
        if record:
            new.load_record(old.epoch, old.peer_epochs, old.records, True, self.now)
        self.acceptors[name] = new
        for other in new.peers_to_ask():
            told = self.acceptors[other].record_for_peer(name, new.epoch)
            if told is not None:
                new.receive_peer_record(told, self.now)

    def due_times(self) -> list[int]:
        """Returns the future times at which something ends or is due."""
        some = {c.due_at for c in self.candidates.values() if c.state is not CandidateState.IDLE}
        some |= {c.held_until for c in self.candidates.values()}
        for member in self.acceptors.values():
            some |= {member.silent_until, *member.running_until.values()}
        return sorted(t for t in some if t > self.now)

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
                    "a note on record is lost"
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


def world(
    acceptor_count: int, candidates: int, rng: Callable[[int], Random] = lambda _: ShortestDelay()
) -> World:
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
    its record, or time advances to the next due time. Requests that are never delivered are lost.
    """
    able = {kind for kind, part in BUDGET_OF.items() if at.used_budgets[part] < budgets[part]}
    for which in sorted(set(at.requests)):
        yield "answered", which
        for kind in ("lost", "late", "twice"):
            if kind in able:
                yield kind, which
    for which in sorted(set(at.answers)):
        yield "answer", which
    if times := at.due_times():
        yield "time", times[0]
    for kind in ("restart", "wiped"):
        if kind in able:
            for name in at.acceptors:
                yield kind, name


def apply_event(at: World, what: Event) -> World:
    """Returns the world after one event."""
    new, (kind, which) = copied(at), what
    if kind in BUDGET_OF:
        new.used_budgets = tuple(n + (i == BUDGET_OF[kind]) for i, n in enumerate(at.used_budgets))
    if kind == "time":
        new.now = which
        new.tick()
    elif kind in ("restart", "wiped"):
        new.restart(which, kind == "restart")
    elif kind == "answer":
        new.answers.remove(which)
        new.answer(which)
    else:
        if kind != "twice":
            new.requests.remove(which)
        back = new.deliver(which)
        if back is not None and kind == "late":
            new.answers.append(back)
        elif back is not None and kind != "lost":
            new.answer(back)
    new.check()
    return new


def explore(start: World, depth: int, budgets: tuple[int, ...]) -> int:
    """Tries every order of events up to a depth and returns the number of distinct worlds."""
    seen, here = {start.key()}, [start]
    for _ in range(depth):
        later = list[World]()
        for at in here:
            for what in next_events(at, budgets):
                new = apply_event(at, what)
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    later.append(new)
        here = later
    return len(seen)


def held_by_two_of_three() -> World:
    """c0 holds the lease by k0 and k1; its requests to k2 are still in flight, and c1 has sent none."""
    start = world(3, 2)
    start.requests = [n for n in start.requests if MESSAGES.messages[n][0] == "c0"]
    for _ in range(2):
        for name in ("k0", "k1"):
            which = next(n for n in start.requests if MESSAGES.messages[n][1].acceptor == name)
            start = apply_event(start, ("answered", which))
    assert start.candidates["c0"].held_term(start.now)
    return start


def ended_and_requested_by_another() -> World:
    """The same later: c0 has received nothing more and its term has ended, and c1 may request one."""
    start = held_by_two_of_three()
    until = max(start.acceptors["k0"].running_until.values())
    late = next(n for n in start.requests if MESSAGES.messages[n][1].request.kind is LeaseMessageKind.PROPOSE)
    while start.now < until:
        start = apply_event(start, ("time", start.due_times()[0]))
    start.requests = [late, *[n for n in start.requests if MESSAGES.messages[n][0] == "c1"][-3:]]
    return start


@pytest.mark.parametrize(
    ("start", "depth", "budgets"),
    [(lambda: world(3, 2), 6, (0, 0, 0, 0)), (lambda: world(3, 2), 3, (1, 1, 1, 1)),
     (held_by_two_of_three, 4, (1, 1, 1, 1)), (ended_and_requested_by_another, 4, (1, 1, 1, 1))],
)  # fmt: skip
def test_every_order_of_events_to_a_depth(
    start: Callable[[], World], depth: int, budgets: tuple[int, ...], record_property: Any
) -> None:
    """One holder at most, tokens that only grow, and no lost note, in every world that can be reached."""
    count = explore(start(), depth, budgets)
    record_property("worlds", count)
    assert count > 2_000, count


# Random walks.


def random_walk(seed: int, acceptor_count: int, wipes: int, events: int = 4_000) -> World:
    """A seeded random walk: messages are lost, late or duplicated, candidates are suspended, acceptors restart."""
    rng = Random(seed)
    at = world(acceptor_count, 3, lambda i: Random(seed * 10 + i))
    wiped_until, asleep = dict[str, int](), dict[str, int]()
    for _ in range(events):
        dice = rng.random()
        quiet = 1 - 0.3 / acceptor_count  # a round with many acceptors takes more messages
        if at.requests and dice < 0.6 * quiet:
            which = at.requests.pop(rng.randrange(len(at.requests)))
            fate = rng.random()
            if fate < 0.08:
                continue
            back = at.deliver(which)
            if fate < 0.16:
                at.requests.append(which)
            if back is not None:
                at.answers.append(back)
        elif at.answers and dice < quiet:
            which = at.answers.pop(rng.randrange(len(at.answers)))
            if rng.random() < 0.08:
                continue
            at.answer(which)
        elif dice < 1 - 0.09 / acceptor_count:
            times = at.due_times()
            if times:
                at.now = times[0] if rng.random() < 0.9 else times[-1]
            for name, candidate in at.candidates.items():
                if asleep.get(name, 0) <= at.now:
                    at.send(name, candidate.tick(at.now))
                if rng.random() < 0.03:
                    asleep[name] = at.now + rng.randrange(3 * TERM_LENGTH)
            for name, candidate in at.candidates.items():
                if candidate.held_term(at.now) is not None and rng.random() < 0.3:
                    body = f"{len(at.tokens):05}-{rng.randrange(100_000):05}".encode()
                    at.send(name, candidate.record_note(max(body, candidate.note.body + b"+"), at.now))
        elif dice < 1 - 0.03 / acceptor_count:
            at.restart(rng.choice(sorted(at.acceptors)), True)
        elif wipes:
            mute = {n for n, t in wiped_until.items() if t > at.now or not at.acceptors[n].has_full_record}
            name = rng.choice(sorted(at.acceptors))
            if len(mute | {name}) <= wipes:
                at.restart(name, False)
                wiped_until[name] = at.now + TERM_LENGTH
        at.check()
    return at


@pytest.mark.parametrize(("acceptor_count", "wipes"), [(3, 1), (5, 2), (7, 3)])
def test_random_walks(acceptor_count: int, wipes: int) -> None:
    terms_begun = 0
    for seed in range(40):
        terms_begun += len(random_walk(seed, acceptor_count, wipes).terms)
    assert terms_begun > 100, terms_begun  # otherwise the walks test nothing


def forgets(self: LeaseAcceptor, epoch: int, epochs: Any, rows: Any, whole: bool, now: int) -> None:
    """An acceptor that takes part right after a restart, without what it had promised."""
    self.has_full_record, self.silent_until = True, now


def ends_term(self: LeaseAcceptor, epoch: int, epochs: Any, rows: Any, whole: bool, now: int) -> None:
    """An acceptor that restarts with its record and lets the term on it end at once."""
    self.records, self.peer_epochs, self.epoch, self.has_full_record, self.silent_until = (
        dict(rows),
        dict(epochs),
        epoch,
        True,
        now,
    )


def accepts_all(row: Any, term: LeaseTerm) -> bool:
    return True


WEAKENED_RULES: dict[str, list[tuple[Any, str, Any]]] = {
    "a promise binds": [(LeaseAcceptor, "_may_accept", staticmethod(accepts_all))],
    "nothing is promised while a term runs": [(LeaseAcceptor, "running_term", lambda self, duty, now: None)],
    "an acceptor remembers": [(LeaseAcceptor, "load_record", forgets)],
    "a term on record runs anew": [(LeaseAcceptor, "load_record", ends_term)],
    "a term counts from the asking": [(candidate_module, "safe_term_length", lambda length: 2 * length)],
    "it takes a majority": [(candidate_module, "majority", lambda of: 1)],
    "one that forgot learns from a majority": [(acceptor, "majority", lambda of: 0)],
}


@pytest.mark.parametrize("rule", WEAKENED_RULES)
def test_random_walks_fail_without_a_rule(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for where, name, weaker in WEAKENED_RULES[rule]:
        monkeypatch.setattr(where, name, weaker)

    def walks() -> None:
        for seed in range(40):
            for acceptor_count, wipes in ((3, 1), (5, 2), (7, 3)):
                random_walk(seed, acceptor_count, wipes, 8_000)

    with pytest.raises(AssertionError):
        walks()


# Single rules.


def term(number: int, owner: str = "c0") -> LeaseTerm:
    return LeaseTerm(number, owner, 1)


def make_acceptor(name: str = "k0", acceptor_count: int = 3) -> LeaseAcceptor:
    one = LeaseAcceptor(name, [f"k{i}" for i in range(acceptor_count)], TERM_LENGTH, 1, -TERM_LENGTH)
    one.load_record(1, {}, {}, True, 0)
    return one


def test_a_repeated_proposal_does_not_renew_a_term() -> None:
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


def test_of_two_acceptors_under_one_name_the_older_record_does_not_count() -> None:
    old, names = make_acceptor("k2"), ["k0", "k1", "k2"]
    others = [make_acceptor("k0"), make_acceptor("k1")]
    new = LeaseAcceptor("k2", names, TERM_LENGTH, 7, 0)
    assert new.peers_to_ask() == ["k0", "k1"]
    assert (
        new.handle_request(LeaseRequest(LeaseMessageKind.PREPARE, LEASE_NAME, term(9)), 2 * TERM_LENGTH)
        is None
    )  # it has no record yet
    for one in others:
        told = one.record_for_peer("k2", new.epoch)
        assert told is not None
        new.receive_peer_record(told, 0)
    assert new.has_full_record
    assert not new.can_answer(TERM_LENGTH - 1)  # it waits for the longest term to end
    assert new.can_answer(TERM_LENGTH)
    candidate = LeaseCandidate(LEASE_NAME, "c0", 1, names, TERM_LENGTH, ShortestDelay(), 0, 0)
    candidate.set_wanted(True, 0)
    words = candidate.tick(0)
    for at in (old, others[0]):
        answer = at.handle_request(next(w for w in words if w.acceptor == at.own_name).request, 0)
        assert answer is not None
        candidate.receive_answer(answer, 0)
    assert candidate.state is CandidateState.PREPARING
    assert [a.acceptor for a in candidate.counted_answers()] == ["k0"]
    assert others[0].record_for_peer("k2", 1) is None  # the older record gets no answer either


def test_a_new_fleet_begins_where_no_acceptor_has_a_record() -> None:
    names = ["k0", "k1", "k2"]
    some = {n: LeaseAcceptor(n, names, TERM_LENGTH, 5, 0) for n in names}
    told = some["k1"].record_for_peer("k0", 5)
    assert told is not None
    assert not some["k0"].receive_peer_record(told, 0)  # one of two others, which has no record either
    told = some["k2"].record_for_peer("k0", 5)
    assert told is not None
    assert some["k0"].receive_peer_record(told, 0)
    assert not some["k0"].can_answer(TERM_LENGTH - 1)


def test_a_fence_rejects_older_tokens_and_steps() -> None:
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
    for length in (SECOND, TERM_LENGTH, 60 * SECOND):
        assert safe_term_length(length) < length - length // 100
    at = held_by_two_of_three()
    held = at.candidates["c0"].held_until
    assert held <= at.now + safe_term_length(TERM_LENGTH)
    assert all(
        t >= held + MS for k, t in ((k, at.acceptors[k].running_until[LEASE_NAME]) for k in ("k0", "k1"))
    )
