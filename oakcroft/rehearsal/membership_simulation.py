"""Many views in one process, on a simulated network: seeded, the same every time.

Time is simulated and jumps from event to event; a message takes its time, or is lost, doubled or cut off by the link it
goes over.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import Message, MessageKind
from oakcroft.interface import MS, SECOND

HEADER_BYTES = 28 + 80  # octets of IP and UDP, and of a message without news, as sealed by peerwire
MAX_WAITING_MESSAGES = 256  # messages that wait for a process that stands still, as in its socket's buffer
UPDATE_BYTES = 78  # of one word of news, as measured of the codec for names of 9 octets


@dataclass
class SimulatedProcess:
    """One simulated front."""

    name: str
    view: Membership
    alive: bool = True
    stopped: bool = False  # stands still: nothing is done, what comes waits, bounded
    waiting: list[Callable[[], None]] = field(default_factory=list)
    lives: int = 1
    messages: int = 0
    octets: int = 0
    scheduled: int = -1


class SimulatedNetwork:
    """Processes and the network between them. `now` in ns from 0."""

    def __init__(
        self, seed: int, loss: float = 0.0, double: float = 0.0, latency: tuple[int, int] = (MS, 5 * MS)
    ) -> None:
        """A network of nobody. `loss` and `double` are chances for each message, `latency` its least and most in ns."""
        self.rng, self.loss, self.double, self.latency = Random(seed), loss, double, latency
        self.now, self.number = 0, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.at: dict[tuple[str, int], SimulatedProcess] = {}
        self.cut: Callable[[str, str], bool] = lambda _a, _b: False  # from, to
        self.state_changes: list[tuple[int, str, str, str, str]] = []  # when, at whom, about whom, was, now

    # Processes.

    def add(
        self, name: str, seeds: tuple[tuple[str, int], ...] = (), start: int = 0, host: str = ""
    ) -> SimulatedProcess:
        """Starts a process under a name, again or for the first time."""
        known = self.processes.get(name)
        lives = known.lives + 1 if known is not None else 1
        secret = self.rng.randbytes(16)
        me = MemberUpdate(
            name,
            start or self.now // 1_000 + 1,
            0,
            MemberState.ALIVE,
            host or f"host-{name}",
            1,
            "w",
            "1",
            commitment(secret),
        )
        view = Membership(me, secret, Random(self.rng.getrandbits(64)), self.now, seeds)
        process = SimulatedProcess(name, view, lives=lives)
        if known is not None:
            process.messages, process.octets = known.messages, known.octets
            known.alive = False
        self.processes[name] = self.at[me.address] = process
        self.send_output(process)
        return process

    def start(self, name: str, seeds: tuple[tuple[str, int], ...]) -> None:
        """The same, as an event."""
        self.add(name, seeds)

    def kill(self, name: str) -> None:
        """The process ends with no word."""
        self.processes[name].alive = False

    def pause(self, name: str) -> None:
        """It stands still."""
        self.processes[name].stopped = True

    def resume(self, name: str) -> None:
        """It runs again: its timers first, then what has waited."""
        process = self.processes[name]
        process.stopped = False
        waiting, process.waiting = process.waiting, []
        process.view.tick(self.now)
        self.send_output(process)
        for event in waiting:
            event()

    def running_processes(self) -> list[SimulatedProcess]:
        """Those that run."""
        return [p for p in self.processes.values() if p.alive and not p.stopped]

    # Time.

    def later(self, at: int, event: Callable[[], None]) -> None:
        """Does something at a time."""
        self.number += 1
        heapq.heappush(self.heap, (max(at, self.now), self.number, event))

    def run(self, for_: int, until: Callable[[], bool] | None = None) -> bool:
        """Plays on for so long, or until something holds, looked at every 20 ms; whether it does."""
        end, look = self.now + for_, self.now
        while self.heap and self.heap[0][0] <= end:
            at, _, event = heapq.heappop(self.heap)
            while until is not None and look <= at:
                self.now = look
                if until():
                    heapq.heappush(self.heap, (at, 0, event))
                    return True
                look += 20 * MS
            self.now = at
            event()
        self.now = end
        return until is not None and until()

    # The network.

    def send_output(self, process: SimulatedProcess) -> None:
        """Carries out what a process has asked for, and sets its clock."""
        view = process.view
        out, view.out = view.out, []
        for message in out:
            self._carry(process, message)
        changes, view.changes = view.changes, []
        self.state_changes += [(self.now, process.name, c.name, c.was, c.now) for c in changes]
        due = max(view.due, self.now + MS)
        if process.scheduled < self.now or due < process.scheduled:
            process.scheduled = due
            self.later(due, lambda: self._tick(process, due))

    def _tick(self, process: SimulatedProcess, due: int) -> None:
        if process.scheduled != due:
            return  # there is an earlier one
        process.scheduled = -1
        if process.alive and not process.stopped:
            process.view.tick(self.now)
            self.send_output(process)

    def _carry(self, sender: SimulatedProcess, message: Message) -> None:
        if message.kind is MessageKind.PUSH_PULL:
            self._exchange(sender, message.address)
            return
        sender.messages += 1
        sender.octets += HEADER_BYTES + UPDATE_BYTES * (1 + len(message.updates))
        me, times = sender.view.me, 2 if self.rng.random() < self.double else 1
        for _ in range(times):
            if self.rng.random() >= self.loss:
                self.later(
                    self.now + self.rng.randint(*self.latency), lambda: self._arrive(sender, me, message)
                )

    def _arrive(self, sender: SimulatedProcess, me: MemberUpdate, message: Message) -> None:
        there = self.at.get(message.address)
        if there is None or not there.alive or self.cut(sender.name, there.name):
            return

        def hear() -> None:
            there.view.heard(
                me, message.kind, message.sequence, message.to, message.target, message.updates, self.now
            )
            self.send_output(there)

        if there.stopped:
            if len(there.waiting) < MAX_WAITING_MESSAGES:
                there.waiting.append(hear)
        else:
            hear()

    def _exchange(self, one: SimulatedProcess, address: tuple[str, int]) -> None:
        other = self.at.get(address)
        if (
            other is None
            or not other.alive
            or other.stopped
            or self.cut(one.name, other.name)
            or self.cut(other.name, one.name)
        ):
            return
        mine, theirs = one.view.whole(), other.view.whole()
        for process, whole in ((one, mine), (other, theirs)):
            process.octets += HEADER_BYTES * (2 + len(whole) // 15) + UPDATE_BYTES * len(whole)

        def swap() -> None:
            for process, sender, whole in ((other, mine[0], mine), (one, theirs[0], theirs)):
                if process.alive and not process.stopped:
                    process.view.exchanged(sender, whole, self.now)
                    self.send_output(process)

        self.later(self.now + 4 * self.latency[1], swap)

    # What the views say.

    def all_see(self, names: set[str], standing: MemberState) -> bool:
        """Whether all that run see all these so."""
        return all(
            p.view.standing(n) is standing for p in self.running_processes() for n in names if n != p.name
        )

    def is_settled(self) -> bool:
        """Whether all that run see just those as alive that run, and suspect nobody."""
        living = {p.name for p in self.running_processes()}
        return all(self._sees(p.view, living) for p in self.running_processes())

    @staticmethod
    def _sees(view: Membership, living: set[str]) -> bool:
        if view.suspects or len(view.present()) != len(living):
            return False
        return all(view.standing(n) is MemberState.ALIVE for n in living)


def settled_network(size: int, seed: int, loss: float = 0.0, double: float = 0.0) -> SimulatedNetwork:
    """So many fronts that know each other and have settled."""
    net = SimulatedNetwork(seed, loss, double)
    seeds = (("host-f0", 1), ("host-f1", 1))
    for i in range(size):
        net.later(net.rng.randrange(500 * MS), partial(net.start, f"f{i}", seeds))
    net.run(60 * SECOND, lambda: len(net.processes) == size and net.is_settled())
    return net
