"""Simulates fronts that take over sessions from each other, and the nodes that hold the sessions.

The decisions of both sides run over simulated time, with messages that are late, duplicated or lost and fronts that die,
pause or are wrongly seen as gone. The simulation itself provides the membership view (each front sees a death some
seconds late, and now and then sees one that did not occur), the network, and the capacity of a front. All chance comes
from one seed.
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
MAX_LONG_DELAY_NS = 10 * SECOND
LOST_MESSAGE_TIMEOUT_NS = 2 * SECOND
"""When the sender of a lost message gives up."""

REQUEST_TIMEOUT_NS = 4 * SECOND
"""When a front gives up a takeover request, whatever became of its messages."""

DEATH_SEEN_WITHIN_NS = (2500 * MS, 4500 * MS)
"""Each front sees the death or pause of another after a time between these."""

PAUSED_STREAMS_LOST_AFTER_NS = 200 * MS


@dataclass
class NetworkConditions:
    """What the network does to messages."""

    latency_ns: tuple[int, int] = (MS, 20 * MS)
    loss: float = 0.0
    duplication: float = 0.0
    long_delay_share: float = 0.0
    """Share of messages that are up to ten seconds late."""


@dataclass
class Front:
    """One front: its takeover decisions, and the sessions that it believes to hold."""

    name: str
    start: int
    takeover: SessionTakeover
    capacity: int
    sessions: dict[str, int] = field(default_factory=dict)
    """Number of the node of each session."""
    gone: dict[str, int] = field(default_factory=dict)
    """Start numbers of the fronts that it sees as gone."""
    is_dead: bool = False
    is_paused: bool = False

    @property
    def caller(self) -> Caller:
        """The front as nodes know it."""
        return Caller(f"{self.name}-{self.start}", self.name, self.start)

    @property
    def is_stopped(self) -> bool:
        """Whether it is dead or paused."""
        return self.is_dead or self.is_paused


@dataclass
class EventStream:
    """One front's event stream at one node."""

    is_open: bool = True
    closed_at: int = 0


@dataclass
class Node:
    """One node: who holds its sessions."""

    holders: dict[str, Caller] = field(default_factory=dict)
    """The holder of each session."""
    streams: dict[str, EventStream] = field(default_factory=dict)
    """Event streams by the pseudonym of the front."""
    requests_by_second: Counter[int] = field(default_factory=Counter)
    rejected_changes: int = 0


class TakeoverExchange:
    """One takeover request: the front asks the node for sessions, chooses its own, and takes them over."""

    def __init__(self, simulation: TakeoverSimulation, front: Front, request: TakeoverRequest) -> None:
        """`start` sends the first message."""
        self.simulation = simulation
        self.front = front
        self.request = request
        self.node_number = int(request.node)
        self.answers: dict[str, TakeoverAnswer] = {}
        self.chosen = list[str]()
        self.is_finished = False

    def start(self) -> None:
        """Asks the node, and gives up after `REQUEST_TIMEOUT_NS`."""
        self.simulation.send(self._node_offers_sessions, self._fail)
        self.simulation.schedule(self.simulation.now + REQUEST_TIMEOUT_NS, self._fail)

    def _node_offers_sessions(self) -> None:
        simulation = self.simulation
        simulation.nodes[self.node_number].requests_by_second[simulation.now // SECOND] += 1
        answers, offered = simulation.offer(self.front.caller, self.node_number, self.request.front_names)
        simulation.send(lambda: self._front_chooses(answers, offered), self._fail)

    def _front_chooses(self, answers: dict[str, TakeoverAnswer], offered: list[tuple[str, str]]) -> None:
        if self.front.is_stopped or self.is_finished:
            return
        self.answers.update(answers)
        free = max(0, self.front.capacity - len(self.front.sessions))
        own = [session for session, holder in offered if self.request.is_own(holder, session)][:free]
        self.chosen.extend(own)
        # The sessions count against its capacity before it asks for them.
        self.front.sessions.update(dict.fromkeys(own, self.node_number))
        if own:
            self.simulation.send(lambda: self._node_hands_over(own), self._fail)
        else:
            self._front_receives([])

    def _node_hands_over(self, sessions: list[str]) -> None:
        handed_over = self.simulation.take_over(self.front.caller, self.node_number, sessions)
        self.simulation.send(lambda: self._front_receives(handed_over), self._fail)

    def _front_receives(self, handed_over: list[str]) -> None:
        if self.front.is_stopped:
            return
        for session in set(self.chosen) - set(handed_over):
            self.front.sessions.pop(session, None)
        self._finish(self.answers)

    def _fail(self) -> None:
        self._finish(None)

    def _finish(self, answers: dict[str, TakeoverAnswer] | None) -> None:
        """Passes the result to the front once; answers is None if the node did not answer in time."""
        if not self.is_finished:
            self.is_finished = True
            self.front.takeover.request_finished(self.request, answers, self.simulation.now)


class TakeoverSimulation:
    """The simulated fronts, nodes and network."""

    def __init__(
        self,
        fronts: int,
        nodes: int,
        sessions_per_front: int,
        seed: int,
        bounds: TakeoverBounds,
        net: NetworkConditions | None = None,
        capacity: int = 10_000,
        checks_holders: bool = True,
    ) -> None:
        """`sessions_per_front`: sessions that a front begins with; `capacity`: sessions that it takes; `checks_holders`:
        whether nodes check who holds a session."""
        self.rng = Random(seed)
        self.net = net or NetworkConditions()
        self.bounds = bounds
        self.now = 0
        self.checks_holders = checks_holders
        self.nodes = [Node() for _ in range(nodes)]
        self.fronts: dict[str, Front] = {}
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.orphaned: dict[str, int] = {}
        """When the front of each session died that has no front now."""
        self.takeover_delays: list[int] = []
        """How long each session that was taken over from a dead front had been without a front, ns."""
        self.ended_by_lease = 0
        self.breaches: list[str] = []
        self.takeover_count = 0
        self.processor_seconds = 0.0
        """Processor time of the takeover decisions of all fronts."""
        self.names = [f"f{number}" for number in range(fronts)]
        for name in self.names:
            self._start_front(name, 1, capacity)
        for front_number, name in enumerate(self.names):
            for session_number in range(sessions_per_front):
                node_number = self.rng.randrange(nodes)
                session = f"s{front_number}-{session_number}"
                self.nodes[node_number].holders[session] = self.fronts[name].caller
                self.fronts[name].sessions[session] = node_number

    def _start_front(self, name: str, start: int, capacity: int) -> None:
        takeover = SessionTakeover(name, self.bounds)
        front = Front(name, start, takeover, capacity)
        self.fronts[name] = front
        takeover.update_nodes(map(str, range(len(self.nodes))), self.now)
        takeover.update_fronts((), self.names, self.now)
        for node in self.nodes:
            node.streams[front.caller.pseudonym] = EventStream()

    # The network.

    def send(self, deliver: Callable[[], None], on_lost: Callable[[], None] = lambda: None) -> None:
        """Delivers a message late, twice or never; `on_lost` runs at the sender when it gives up a lost message."""
        if self.rng.random() < self.net.loss:
            self.schedule(self.now + LOST_MESSAGE_TIMEOUT_NS, on_lost)
            return
        copies = 2 if self.rng.random() < self.net.duplication else 1
        for _ in range(copies):
            delay = self.rng.randint(*self.net.latency_ns)
            if self.rng.random() < self.net.long_delay_share:
                delay += self.rng.randint(0, MAX_LONG_DELAY_NS)
            self.schedule(self.now + delay, deliver)

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Runs an event at a time."""
        self.event_count += 1
        heapq.heappush(self.heap, (at, self.event_count, event))

    # Fronts.

    def kill(self, names: Iterable[str], streams_lost_after: int = 0) -> None:
        """Kills fronts now. Nodes lose their streams after `streams_lost_after` ns, and the other fronts see it later."""
        for name in names:
            front = self.fronts[name]
            front.is_dead = True
            for session, node_number in front.sessions.items():
                if self.nodes[node_number].holders.get(session) == front.caller:
                    self.orphaned.setdefault(session, self.now)
            self._lose_streams(front, streams_lost_after)
            self._schedule_death_seen(name, DEATH_SEEN_WITHIN_NS)

    def pause(self, name: str, seconds: float, loses_streams: bool) -> None:
        """Pauses a front, with its messages still in flight, and resumes it."""
        front = self.fronts[name]
        front.is_paused = True
        if loses_streams:
            self._lose_streams(front, PAUSED_STREAMS_LOST_AFTER_NS)
        self._schedule_death_seen(name, DEATH_SEEN_WITHIN_NS)

        def resume() -> None:
            front.is_paused = False
            for other in self.fronts.values():
                self._see_returned(other, name)
            for node in self.nodes:
                node.streams[front.caller.pseudonym] = EventStream()
            # It changes all sessions that it believes to hold before any node has reported otherwise.
            for session, node_number in list(front.sessions.items()):
                self.send(lambda s=session, n=node_number: self._change_session(front, n, s))  # type: ignore[misc]

        self.schedule(self.now + round(seconds * SECOND), resume)

    def suspect(self, observer: str, suspected: str) -> None:
        """Makes one front see another as gone that is running."""
        front = self.fronts[observer]
        front.gone[suspected] = self.fronts[suspected].start
        self._update_view(front)

    def _lose_streams(self, front: Front, after: int) -> None:
        def close_streams() -> None:
            for node in self.nodes:
                stream = node.streams.get(front.caller.pseudonym)
                if stream is not None and front.is_stopped:
                    stream.is_open = False
                    stream.closed_at = self.now

        self.schedule(self.now + after, close_streams)

    def _schedule_death_seen(self, name: str, within: tuple[int, int]) -> None:
        for other in self.fronts.values():
            if other.name != name:
                delay = self.rng.randint(*within)
                self.schedule(self.now + delay, lambda o=other: self._see_gone(o, name))  # type: ignore[misc]

    def _see_gone(self, other: Front, name: str) -> None:
        if self.fronts[name].is_stopped:
            other.gone[name] = self.fronts[name].start
            self._update_view(other)

    def _see_returned(self, other: Front, name: str) -> None:
        if other.gone.pop(name, None) is not None:
            self._update_view(other)

    def _update_view(self, front: Front) -> None:
        present = [name for name in self.names if name not in front.gone]
        front.takeover.update_fronts(front.gone, present, self.now)

    # Nodes.

    def offer(
        self, caller: Caller, node_number: int, names: Iterable[str]
    ) -> tuple[dict[str, TakeoverAnswer], list[tuple[str, str]]]:
        """Returns the node's answer for each front asked about, and the sessions (with their holder) to take over."""
        node = self.nodes[node_number]
        answers = dict.fromkeys(names, TakeoverAnswer.ALLOWED)
        offered = list[tuple[str, str]]()
        for session, holder in node.holders.items():
            if holder.member in answers:
                answer = self._check_takeover(node, holder, caller)
                if answer is TakeoverAnswer.ALLOWED:
                    offered.append((session, holder.member))
                else:
                    answers[holder.member] = answer
        return answers, offered

    def _check_takeover(self, node: Node, holder: Caller, caller: Caller) -> TakeoverAnswer:
        stream = node.streams.get(holder.pseudonym)
        caller_stream = node.streams.get(caller.pseudonym)
        silent_for: int | None = None
        if stream is None or not stream.is_open:
            silent_for = self.now - (stream.closed_at if stream is not None else 0)
        is_caller_connected = caller_stream is not None and caller_stream.is_open
        return check_takeover(holder, caller, silent_for, is_caller_connected)

    def take_over(self, caller: Caller, node_number: int, sessions: list[str]) -> list[str]:
        """Hands over to the caller all requested sessions that it may take over, and returns these."""
        node = self.nodes[node_number]
        handed_over = list[str]()
        for session in sessions:
            holder = node.holders.get(session)
            if holder is None:
                continue
            if (
                self.checks_holders
                and self._check_takeover(node, holder, caller) is not TakeoverAnswer.ALLOWED
            ):
                continue
            if self._is_listening(node, holder):
                self.breaches.append(f"{session} taken from {holder.member}, which listens")
            node.holders[session] = caller
            self.takeover_count += 1
            handed_over.append(session)
            orphaned_at = self.orphaned.pop(session, None)
            if orphaned_at is not None:
                self.takeover_delays.append(self.now - orphaned_at)
        return handed_over

    @staticmethod
    def _is_listening(node: Node, holder: Caller) -> bool:
        stream = node.streams.get(holder.pseudonym)
        return stream is not None and stream.is_open

    def _change_session(self, front: Front, node_number: int, session: str) -> None:
        """A front changes a session: a rung, a release."""
        node = self.nodes[node_number]
        holder = node.holders.get(session)
        if holder is None:
            return
        if self.checks_holders and not may_control(holder, front.caller):
            node.rejected_changes += 1
        elif holder.member != front.name:
            self.breaches.append(f"{session}: {front.name} changed what {holder.member} has")

    def _expire_leases(self) -> None:
        lease = effective_lease(self.bounds.session_lease, NODE_LEASE_NS)
        for node in self.nodes:
            for session, holder in list(node.holders.items()):
                stream = node.streams.get(holder.pseudonym)
                if stream is not None and not stream.is_open and self.now - stream.closed_at > lease:
                    del node.holders[session]
                    self.ended_by_lease += 1
                    self.orphaned.pop(session, None)

    # Time.

    def run(self, seconds: float) -> None:
        """Runs for a simulated time."""
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            step_end = self.now + STEP_NS
            while self.heap and self.heap[0][0] <= step_end:
                self.now, _, event = heapq.heappop(self.heap)
                event()
            self.now = step_end
            self._expire_leases()
            for front in self.fronts.values():
                if front.is_stopped:
                    continue
                began = time.perf_counter()
                requests = front.takeover.due_requests(self.now)
                front.takeover.take_finished(self.now)
                self.processor_seconds += time.perf_counter() - began
                for request in requests:
                    TakeoverExchange(self, front, request).start()

    def session_count(self) -> int:
        """How many sessions run."""
        return sum(len(node.holders) for node in self.nodes)

    def max_requests_per_second(self) -> int:
        """The most requests that any node got in a second."""
        return max((max(node.requests_by_second.values(), default=0) for node in self.nodes), default=0)
