"""Simulates the membership views of many fronts in one process, on a simulated network.

All chance comes from one seed, so a run can be repeated. Time is simulated and jumps from event to event. A message
takes some time, or is lost, duplicated, or stopped by a partition.
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

HEADER_BYTES = 28 + 80
"""Size of the headers of IP and UDP, and of a message without updates as sealed by peerwire."""

MAX_WAITING_MESSAGES = 256
"""Messages that wait for a paused process, as in the buffer of its socket."""

UPDATE_BYTES = 78
"""Size of one member update, as measured of the codec for names of 9 bytes."""

UPDATES_PER_FRAME = 15
"""Updates that fit one frame of a full exchange."""

CHECK_INTERVAL_NS = 20 * MS
"""How often `run` looks at its condition."""

EXCHANGE_LATENCIES = 4
"""A full exchange over a stream takes so many times the highest latency."""


@dataclass
class SimulatedProcess:
    """One simulated front."""

    name: str
    view: Membership
    alive: bool = True
    is_paused: bool = False
    """A paused process does nothing, and a bounded number of messages waits for it."""
    waiting: list[Callable[[], None]] = field(default_factory=list)
    messages: int = 0
    octets: int = 0
    next_tick_at: int = -1
    """When its next tick is scheduled, -1 for never."""


class SimulatedNetwork:
    """Processes and the network between them. `now` in ns from 0."""

    def __init__(
        self, seed: int, loss: float = 0.0, duplication: float = 0.0, latency: tuple[int, int] = (MS, 5 * MS)
    ) -> None:
        """Creates a network without processes.

        `loss` and `duplication` are the chances of each message to be lost or duplicated; `latency` is its range in ns.
        """
        self.rng = Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.latency = latency
        self.now = 0
        self.event_count = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.processes_by_address: dict[tuple[str, int], SimulatedProcess] = {}
        self.cut: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.state_changes: list[tuple[int, str, str, str, str]] = []
        """Time, observing process, member, state before and state after."""

    # Processes.

    def add(
        self, name: str, seeds: tuple[tuple[str, int], ...] = (), generation: int = 0, host: str = ""
    ) -> SimulatedProcess:
        """Starts a process under a name, again or for the first time."""
        earlier = self.processes.get(name)
        secret = self.rng.randbytes(16)
        own_update = MemberUpdate(
            name,
            generation or self.now // 1_000 + 1,
            0,
            MemberState.ALIVE,
            host or f"host-{name}",
            1,
            "w",
            "1",
            commitment(secret),
        )
        view = Membership(own_update, secret, Random(self.rng.getrandbits(64)), self.now, seeds)
        process = SimulatedProcess(name, view)
        if earlier is not None:
            process.messages = earlier.messages
            process.octets = earlier.octets
            earlier.alive = False
        self.processes[name] = process
        self.processes_by_address[own_update.address] = process
        self.send_output(process)
        return process

    def start(self, name: str, seeds: tuple[tuple[str, int], ...]) -> None:
        """Starts a process under a name, as an event."""
        self.add(name, seeds)

    def kill(self, name: str) -> None:
        """The process crashes: it ends without a message."""
        self.processes[name].alive = False

    def pause(self, name: str) -> None:
        """Pauses a process."""
        self.processes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resumes a process: its timers run first, then it receives the messages that have waited."""
        process = self.processes[name]
        process.is_paused = False
        waiting = process.waiting
        process.waiting = []
        process.view.tick(self.now)
        self.send_output(process)
        for event in waiting:
            event()

    def running_processes(self) -> list[SimulatedProcess]:
        """The processes that run."""
        return [process for process in self.processes.values() if process.alive and not process.is_paused]

    # Time.

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Runs an event at a time."""
        self.event_count += 1
        heapq.heappush(self.heap, (max(at, self.now), self.event_count, event))

    def run(self, duration: int, until: Callable[[], bool] | None = None) -> bool:
        """Runs for a duration (ns) or until a condition holds, and returns whether it holds.

        The condition is checked every `CHECK_INTERVAL_NS`.
        """
        end = self.now + duration
        check_at = self.now
        while self.heap and self.heap[0][0] <= end:
            at, _, event = heapq.heappop(self.heap)
            while until is not None and check_at <= at:
                self.now = check_at
                if until():
                    heapq.heappush(self.heap, (at, 0, event))
                    return True
                check_at += CHECK_INTERVAL_NS
            self.now = at
            event()
        self.now = end
        return until is not None and until()

    # The network.

    def send_output(self, process: SimulatedProcess) -> None:
        """Sends the messages that a process has written, records its state changes and schedules its next tick."""
        view = process.view
        messages = view.outgoing
        view.outgoing = []
        for message in messages:
            self._send(process, message)
        changes = view.changes
        view.changes = []
        self.state_changes += [
            (self.now, process.name, change.name, change.was, change.now) for change in changes
        ]
        due = max(view.due, self.now + MS)
        if process.next_tick_at < self.now or due < process.next_tick_at:
            process.next_tick_at = due
            self.schedule(due, lambda: self._tick(process, due))

    def _tick(self, process: SimulatedProcess, due: int) -> None:
        if process.next_tick_at != due:
            return  # another tick has been scheduled before this one
        process.next_tick_at = -1
        if process.alive and not process.is_paused:
            process.view.tick(self.now)
            self.send_output(process)

    def _send(self, sender: SimulatedProcess, message: Message) -> None:
        if message.kind is MessageKind.PUSH_PULL:
            self._exchange(sender, message.address)
            return
        sender.messages += 1
        sender.octets += HEADER_BYTES + UPDATE_BYTES * (1 + len(message.updates))
        sender_update = sender.view.own_update
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                latency = self.rng.randint(*self.latency)
                self.schedule(self.now + latency, lambda: self._receive(sender, sender_update, message))

    def _receive(self, sender: SimulatedProcess, sender_update: MemberUpdate, message: Message) -> None:
        receiver = self.processes_by_address.get(message.address)
        if receiver is None or not receiver.alive or self.cut(sender.name, receiver.name):
            return

        def handle() -> None:
            receiver.view.receive_message(message.as_received(sender_update), self.now)
            self.send_output(receiver)

        if receiver.is_paused:
            if len(receiver.waiting) < MAX_WAITING_MESSAGES:
                receiver.waiting.append(handle)
        else:
            handle()

    def _exchange(self, process: SimulatedProcess, address: tuple[str, int]) -> None:
        """Exchanges the full views of a process and the one at an address, over a stream."""
        other = self.processes_by_address.get(address)
        if (
            other is None
            or not other.alive
            or other.is_paused
            or self.cut(process.name, other.name)
            or self.cut(other.name, process.name)
        ):
            return
        own_view = process.view.full_state()
        other_view = other.view.full_state()
        for sender, view in ((process, own_view), (other, other_view)):
            frames = 2 + len(view) // UPDATES_PER_FRAME
            sender.octets += HEADER_BYTES * frames + UPDATE_BYTES * len(view)

        def deliver() -> None:
            for receiver, view in ((other, own_view), (process, other_view)):
                if receiver.alive and not receiver.is_paused:
                    receiver.view.receive_full_state(view[0], view, self.now)
                    self.send_output(receiver)

        self.schedule(self.now + EXCHANGE_LATENCIES * self.latency[1], deliver)

    # The state of the views.

    def all_see(self, names: set[str], state: MemberState) -> bool:
        """Whether all running processes see all these members in one state."""
        return all(
            process.view.state_of(name) is state
            for process in self.running_processes()
            for name in names
            if name != process.name
        )

    def is_settled(self) -> bool:
        """Whether all running processes see just the running ones as alive, and suspect none."""
        running = {process.name for process in self.running_processes()}
        return all(self._sees_only(process.view, running) for process in self.running_processes())

    @staticmethod
    def _sees_only(view: Membership, names: set[str]) -> bool:
        if view.suspects or len(view.present()) != len(names):
            return False
        return all(view.state_of(name) is MemberState.ALIVE for name in names)


def settled_network(size: int, seed: int, loss: float = 0.0, duplication: float = 0.0) -> SimulatedNetwork:
    """Returns a network of `size` fronts that know each other and whose views agree."""
    net = SimulatedNetwork(seed, loss, duplication)
    seeds = (("host-f0", 1), ("host-f1", 1))
    for number in range(size):
        net.schedule(net.rng.randrange(500 * MS), partial(net.start, f"f{number}", seeds))
    net.run(60 * SECOND, lambda: len(net.processes) == size and net.is_settled())
    return net
