"""Fronts that take over from each other and nodes that hand sessions on, as a pure fleet: the decisions of both sides
over simulated time, with words that are late, doubled or lost, fronts that die, sleep and are seen as gone wrongly.

What is modelled here and not decided by the program: the view (each front sees a death some seconds late, and now and
then one that is none), the network, and what a front's capacity is. All of it comes from one seed.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from oakcroft.decisions.fleet.session_takeover import SessionTakeover, TakeoverBounds, TakeoverRequest
from oakcroft.decisions.fleet.session_ownership import (
    Caller,
    TakeoverAnswer,
    effective_lease,
    may_control,
    check_takeover,
)
from oakcroft.interface import MS, SECOND

STEP_NS = 50 * MS
NODE_LEASE_NS = 3 * SECOND
PAGE = 32


@dataclass
class NetworkConditions:
    """How words travel. Times in ns."""

    latency_ns: tuple[int, int] = (MS, 20 * MS)
    loss: float = 0.0
    duplication: float = 0.0
    long_delay_share: float = 0.0  # share of words that come up to ten seconds late


@dataclass
class Front:
    """One front: its course, and what it believes to hold."""

    name: str
    start: int
    takeover: SessionTakeover
    capacity: int
    held: dict[str, int] = field(default_factory=dict)  # session -> node
    gone: dict[str, int] = field(default_factory=dict)  # whom it sees as gone
    is_dead: bool = False
    is_paused: bool = False

    @property
    def caller(self) -> Caller:
        """As nodes know it."""
        return Caller(f"{self.name}-{self.start}", self.name, self.start)


@dataclass
class EventStream:
    """One front's stream at one node."""

    is_open: bool = True
    closed_at: int = 0


@dataclass
class Node:
    """One node: who holds what."""

    holder: dict[str, Caller] = field(default_factory=dict)
    streams: dict[str, EventStream] = field(default_factory=dict)  # by pseudonym
    requests_by_second: Counter[int] = field(default_factory=Counter)  # by second
    rejected_changes: int = 0


class TakeoverSimulation:
    """The whole."""

    def __init__(
        self,
        fronts: int,
        nodes: int,
        each: int,
        seed: int,
        bounds: TakeoverBounds,
        net: NetworkConditions | None = None,
        capacity: int = 10_000,
        checks: bool = True,
    ) -> None:
        """`each`: sessions that a front begins with; `capacity`: sessions that it takes; `checks`: whether nodes check
        who asks."""
        self.rng, self.net, self.bounds, self.now, self.checks = (
            Random(seed),
            net or NetworkConditions(),
            bounds,
            0,
            checks,
        )
        self.nodes = [Node() for _ in range(nodes)]
        self.fronts: dict[str, Front] = {}
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0
        self.orphaned: dict[str, int] = {}  # sessions whose front died, and when
        self.takeover_delays: list[int] = []  # how long each was without a front, ns
        self.ended_by_lease = 0  # by a lease
        self.breaches: list[str] = []
        self.takeover_count = 0
        self.processor_seconds = 0.0  # seconds of processor time in the courses
        self.names = [f"f{i}" for i in range(fronts)]
        for name in self.names:
            self._begin(name, 1, capacity)
        for i, name in enumerate(self.names):
            for j in range(each):
                at = self.rng.randrange(nodes)
                session = f"s{i}-{j}"
                self.nodes[at].holder[session] = self.fronts[name].caller
                self.fronts[name].held[session] = at

    def _begin(self, name: str, start: int, capacity: int) -> None:
        course = SessionTakeover(name, self.bounds)
        self.fronts[name] = front = Front(name, start, course, capacity)
        course.update_nodes(map(str, range(len(self.nodes))), self.now)
        course.update_fronts((), self.names, self.now)
        for node in self.nodes:
            node.streams[front.caller.pseudonym] = EventStream()

    # The network.

    def _send(self, word: Callable[[], None], lost: Callable[[], None] = lambda: None) -> None:
        """A word that comes late, twice or never; `lost`: what its sender makes of no answer."""
        if self.rng.random() < self.net.loss:
            self.at(self.now + 2 * SECOND, lost)
            return
        times = 2 if self.rng.random() < self.net.duplication else 1
        for _ in range(times):
            late = self.rng.randint(*self.net.latency_ns)
            if self.rng.random() < self.net.long_delay_share:
                late += self.rng.randint(0, 10 * SECOND)
            self.at(self.now + late, word)

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Something happens then."""
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, what))

    # Fronts.

    def kill(self, some: Iterable[str], heard_after: int = 0) -> None:
        """These die now; nodes lose their streams at once or later. All others see it in their own time."""
        for name in some:
            front = self.fronts[name]
            front.is_dead = True
            for session, at in front.held.items():
                if self.nodes[at].holder.get(session) == front.caller:
                    self.orphaned.setdefault(session, self.now)
            self._lose_streams(front, heard_after)
            self._seen(name, (2500 * MS, 4500 * MS))

    def pause(self, name: str, seconds: float, loses_streams: bool) -> None:
        """This one stands still, its words under way with it, and wakes."""
        front = self.fronts[name]
        front.is_paused = True
        if loses_streams:
            self._lose_streams(front, 200 * MS)
        self._seen(name, (2500 * MS, 4500 * MS))

        def wake() -> None:
            front.is_paused = False
            for other in self.fronts.values():
                self._back(other, name)
            for node in self.nodes:
                node.streams[front.caller.pseudonym] = EventStream()
            # What it believes to hold it changes now, before any node has told it otherwise.
            for session, at in list(front.held.items()):
                self._send(lambda s=session, n=at: self._change(front, n, s))  # type: ignore[misc]

        self.at(self.now + round(seconds * SECOND), wake)

    def suspect(self, by: str, whom: str) -> None:
        """One sees another as gone, which is there."""
        front = self.fronts[by]
        front.gone[whom] = self.fronts[whom].start
        self._look(front)

    def _lose_streams(self, front: Front, after: int) -> None:
        def lose() -> None:
            for node in self.nodes:
                if (ear := node.streams.get(front.caller.pseudonym)) is not None and (
                    front.is_dead or front.is_paused
                ):
                    ear.is_open, ear.closed_at = False, self.now

        self.at(self.now + after, lose)

    def _seen(self, name: str, within: tuple[int, int]) -> None:
        for other in self.fronts.values():
            if other.name != name:
                self.at(self.now + self.rng.randint(*within), lambda o=other: self._sees(o, name))  # type: ignore[misc]

    def _sees(self, other: Front, name: str) -> None:
        if self.fronts[name].is_dead or self.fronts[name].is_paused:
            other.gone[name] = self.fronts[name].start
            self._look(other)

    def _back(self, other: Front, name: str) -> None:
        if other.gone.pop(name, None) is not None:
            self._look(other)

    def _look(self, front: Front) -> None:
        present = [n for n in self.names if n not in front.gone]
        front.takeover.update_fronts(front.gone, present, self.now)

    def _errand(self, front: Front, errand: TakeoverRequest) -> None:
        told: dict[str, TakeoverAnswer] = {}
        answered, told_mine = [False], list[str]()

        def failed() -> None:
            if not answered[0]:
                answered[0] = True
                front.takeover.request_finished(errand, None, self.now)

        def node_takes(mine: list[str]) -> None:
            given = self._take(front.caller, at, mine)
            self._send(lambda: front_hears(given), failed)

        def front_hears(given: list[str]) -> None:
            if front.is_dead or front.is_paused:
                return
            for session in set(told_mine) - set(given):
                front.held.pop(session, None)
            if not answered[0]:
                answered[0] = True
                front.takeover.request_finished(errand, told, self.now)

        def node_tells() -> None:
            second = self.now // SECOND
            self.nodes[at].requests_by_second[second] += 1
            words, some = self._offer(front.caller, at, errand.front_names)
            self._send(lambda: front_chooses(words, some), failed)

        def front_chooses(words: dict[str, TakeoverAnswer], some: list[tuple[str, str]]) -> None:
            if front.is_dead or front.is_paused or answered[0]:
                return
            told.update(words)
            mine = [s for s, of in some if errand.is_own(of, s)][: max(0, front.capacity - len(front.held))]
            told_mine.extend(mine)
            front.held.update(dict.fromkeys(mine, at))  # its capacity is taken before it asks for them
            if mine:
                self._send(lambda: node_takes(mine), failed)
            else:
                front_hears([])

        at = int(errand.node)
        self._send(node_tells, failed)
        self.at(self.now + 4 * SECOND, failed)

    # Nodes.

    def _offer(
        self, caller: Caller, at: int, names: Iterable[str]
    ) -> tuple[dict[str, TakeoverAnswer], list[tuple[str, str]]]:
        node, told = self.nodes[at], dict.fromkeys(names, TakeoverAnswer.ALLOWED)
        some = list[tuple[str, str]]()
        for session, held in node.holder.items():
            if held.member in told:
                word = self._word(node, held, caller)
                if word is TakeoverAnswer.ALLOWED:
                    some.append((session, held.member))
                else:
                    told[held.member] = word
        return told, some

    def _word(self, node: Node, held: Caller, caller: Caller) -> TakeoverAnswer:
        ear, mine = node.streams.get(held.pseudonym), node.streams.get(caller.pseudonym)
        away = (
            None if ear is not None and ear.is_open else self.now - (ear.closed_at if ear is not None else 0)
        )
        return check_takeover(held, caller, away, mine is not None and mine.is_open)

    def _take(self, caller: Caller, at: int, sessions: list[str]) -> list[str]:
        node, given = self.nodes[at], []
        for session in sessions:
            held = node.holder.get(session)
            if held is None or (self.checks and self._word(node, held, caller) is not TakeoverAnswer.ALLOWED):
                continue
            if self._listens(node, held):
                self.breaches.append(f"{session} taken from {held.member}, which listens")
            node.holder[session] = caller
            self.takeover_count += 1
            given.append(session)
            if (since := self.orphaned.pop(session, None)) is not None:
                self.takeover_delays.append(self.now - since)
        return given

    @staticmethod
    def _listens(node: Node, held: Caller) -> bool:
        ear = node.streams.get(held.pseudonym)
        return ear is not None and ear.is_open

    def _change(self, front: Front, at: int, session: str) -> None:
        """A front's word on a session: a rung, a release."""
        node = self.nodes[at]
        held = node.holder.get(session)
        if held is None:
            return
        if self.checks and not may_control(held, front.caller):
            node.rejected_changes += 1
        elif held.member != front.name:
            self.breaches.append(f"{session}: {front.name} changed what {held.member} has")

    def _leases(self) -> None:
        keeps = effective_lease(self.bounds.session_lease, NODE_LEASE_NS)
        for node in self.nodes:
            for session, held in list(node.holder.items()):
                ear = node.streams.get(held.pseudonym)
                if ear is not None and not ear.is_open and self.now - ear.closed_at > keeps:
                    del node.holder[session]
                    self.ended_by_lease += 1
                    self.orphaned.pop(session, None)

    # Time.

    def run(self, seconds: float) -> None:
        """So much time passes."""
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            then = self.now + STEP_NS
            while self.heap and self.heap[0][0] <= then:
                self.now, _, what = heapq.heappop(self.heap)
                what()
            self.now = then
            self._leases()
            for front in self.fronts.values():
                if front.is_dead or front.is_paused:
                    continue
                began = time.perf_counter()
                errands = front.takeover.due_requests(self.now)
                front.takeover.take_finished(self.now)
                self.processor_seconds += time.perf_counter() - began
                for errand in errands:
                    self._errand(front, errand)

    def session_count(self) -> int:
        """Sessions that run."""
        return sum(len(n.holder) for n in self.nodes)

    def max_requests_per_second(self) -> int:
        """Most questions that any node had in a second."""
        return max((max(n.requests_by_second.values(), default=0) for n in self.nodes), default=0)
