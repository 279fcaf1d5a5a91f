"""Simulation of fronts of several zones in one process, on a simulated network; deterministic for each seed."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.member_table import StateChange
from oakcroft.decisions.membership.messages import Address, Message, MessageKind
from oakcroft.decisions.membership.zone_directory import RemoteState, ZoneChange
from oakcroft.decisions.membership.zone_messages import ZoneMessage, OutgoingZoneMessage, estimated_size
from oakcroft.decisions.membership.zone_placement import ZonePlacement, ZoneSeeds
from oakcroft.decisions.membership.zone_reporter import contact_of
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.interface import MS, SECOND

IP_HEADERS_BYTES = 28
FLAT_MESSAGE_BYTES = 130
UPDATE_BYTES = 78
STREAM_BYTES = 400
PORT = 7946
WINDOW = 10 * SECOND
LOCAL_LATENCY = (200_000, MS)
REMOTE_LATENCY = (20 * MS, 60 * MS)
SEEDS_PER_ZONE = 2
RESTART_DURATION = 2 * SECOND


@dataclass
class Traffic:
    """Octets in one direction: in total, in the last ten seconds, and the maximum in any ten seconds."""

    total: int = 0
    in_window: int = 0
    worst_window: int = 0
    recent: deque[tuple[int, int]] = field(default_factory=deque)

    def count(self, now: int, octets: int) -> None:
        """Counts a message."""
        self.total += octets
        self.recent.append((now, octets))
        self.in_window += octets
        while self.recent[0][0] <= now - WINDOW:
            self.in_window -= self.recent.popleft()[1]
        self.worst_window = max(self.worst_window, self.in_window)


@dataclass
class Front:
    """One simulated front."""

    name: str
    zone: str
    region: str
    membership: ZonedMembership
    alive: bool = True
    next_tick_at: int = -1
    changes: list[tuple[int, StateChange | ZoneChange]] = field(default_factory=list)
    sent: Traffic = field(default_factory=Traffic)
    received: Traffic = field(default_factory=Traffic)

    @property
    def worst_window(self) -> int:
        """Maximum octets in any ten seconds, in the busier direction."""
        return max(self.sent.worst_window, self.received.worst_window)


class ZoneFleet:
    """Fronts and the network between them. `now` is in nanoseconds and starts at 0."""

    def __init__(self, seed: int, regions: int, zones: int, members: int, loss: float = 0.0) -> None:
        """Starts no fronts. There are `zones` zones per region and `members` fronts per zone."""
        self.rng = Random(seed)
        self.loss = loss
        self.now = 0
        self.event_count = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.fronts: dict[str, Front] = {}
        self.fronts_by_address: dict[Address, Front] = {}
        self.cut: Callable[[Front, Front], bool] = lambda _a, _b: False
        self.layout = {f"r{r}z{z}": f"r{r}" for r in range(regions) for z in range(zones)}
        self.members = members

    # Fronts.

    def names(self, zone: str) -> list[str]:
        """Names of all fronts of a zone."""
        return [f"{zone}f{i}" for i in range(self.members)]

    @staticmethod
    def address(name: str) -> Address:
        """Address of a front."""
        return f"host-{name}", PORT

    def start(self, name: str, generation: int = 0) -> Front:
        """Starts or restarts a front."""
        zone = name[: name.index("f")]
        secret = self.rng.randbytes(16)
        host, port = self.address(name)
        generation = generation or self.now // 1_000 + 1
        own_update = MemberUpdate(
            name, generation, 0, MemberState.ALIVE, host, port, zone, "1", commitment(secret)
        )
        membership = ZonedMembership(
            own_update, secret, Random(self.rng.getrandbits(64)), self.now, self._placement(zone)
        )
        former = self.fronts.get(name)
        if former is not None:
            former.alive = False
        front = Front(name, zone, self.layout[zone], membership)
        if former is not None:
            front.sent, front.received = former.sent, former.received
        self.fronts[name] = self.fronts_by_address[host, port] = front
        self._process_output(front)
        return front

    def _placement(self, zone: str) -> ZonePlacement:
        others = tuple(ZoneSeeds(z, r, self._seeds(z)) for z, r in self.layout.items() if z != zone)
        return ZonePlacement(self.layout[zone], self._seeds(zone), others)

    def _seeds(self, zone: str) -> tuple[Address, ...]:
        return tuple(self.address(name) for name in self.names(zone)[:SEEDS_PER_ZONE])

    def start_all(self, within: int = 500 * MS) -> None:
        """Schedules the start of all fronts at random times within a duration."""
        for zone in self.layout:
            for name in self.names(zone):
                self.schedule(self.now + self.rng.randrange(within), self._start_event(name))

    def _start_event(self, name: str) -> Callable[[], None]:
        def event() -> None:
            self.start(name)

        return event

    def settle(self) -> None:
        """Starts all fronts and runs until all know each other."""
        self.start_all()
        assert self.run(120 * SECOND, self.is_settled), "the fleet does not settle"
        for front in self.fronts.values():
            front.changes.clear()

    def is_settled(self) -> bool:
        """Whether every living front sees all of its zone, and the other zones as reachable with the right counts."""
        if len(self.fronts) < self.members * len(self.layout):
            return False
        sizes = {zone: sum(f.alive for f in self.fronts.values() if f.zone == zone) for zone in self.layout}
        for front in self.living():
            if len(front.membership.present()) != sizes[front.zone] or front.membership.local.suspects:
                return False
            seen = {s.zone: s.counts.present for s in front.membership.zones() if s.is_reachable}
            expected = {zone: size for zone, size in sizes.items() if zone != front.zone and size}
            if seen != expected:
                return False
        return True

    def kill(self, name: str) -> None:
        """Stops a front without a leave."""
        self.fronts[name].alive = False

    def leave(self, name: str) -> None:
        """A front leaves the fleet, and stops a second later."""
        front = self.fronts[name]
        front.membership.leave(self.now)
        self._process_output(front)
        self.schedule(self.now + SECOND, lambda: setattr(front, "alive", False))

    def restart_at(self, at: int, name: str) -> None:
        """Schedules that a front leaves at a time and then starts again."""
        self.schedule(at, lambda: self.leave(name))
        self.schedule(at + RESTART_DURATION, self._start_event(name))

    def living(self) -> list[Front]:
        """The running fronts."""
        return [front for front in self.fronts.values() if front.alive]

    # Time.

    def schedule(self, at: int, event: Callable[[], None]) -> None:
        """Schedules an event."""
        self.event_count += 1
        heapq.heappush(self.heap, (max(at, self.now), self.event_count, event))

    def run(self, duration: int, until: Callable[[], bool] | None = None) -> bool:
        """Runs for a duration, or until a condition holds, checked every 100 ms; returns whether it holds."""
        end = self.now + duration
        next_check_at = self.now
        while self.heap and self.heap[0][0] <= end:
            at, _, event = heapq.heappop(self.heap)
            self.now = at
            event()
            if until is not None and self.now >= next_check_at:
                if until():
                    return True
                next_check_at = self.now + 100 * MS
        self.now = end
        return until is not None and until()

    # The network.

    def _process_output(self, front: Front) -> None:
        membership = front.membership
        messages = membership.outgoing
        membership.outgoing = []
        for message in messages:
            self._send(front, message)
        changes = membership.changes
        membership.changes = []
        front.changes += [(self.now, change) for change in changes]
        due = max(membership.due, self.now + MS)
        if front.next_tick_at < self.now or due < front.next_tick_at:
            front.next_tick_at = due
            self.schedule(due, lambda: self._tick(front, due))

    def _tick(self, front: Front, due: int) -> None:
        if front.next_tick_at != due:
            return
        front.next_tick_at = -1
        if front.alive:
            front.membership.tick(self.now)
            self._process_output(front)

    def _send(self, sender: Front, message: Message | OutgoingZoneMessage) -> None:
        receiver = self.fronts_by_address.get(message.address)
        if isinstance(message, Message) and message.kind is MessageKind.PUSH_PULL:
            self._exchange(sender, receiver)
            return
        if isinstance(message, Message):
            octets = FLAT_MESSAGE_BYTES + UPDATE_BYTES * len(message.updates)
        else:
            octets = estimated_size(message.message)
        sender.sent.count(self.now, octets + IP_HEADERS_BYTES)
        if receiver is None or self.rng.random() < self.loss:
            return
        sender_update = sender.membership.local.own_update

        def arrive() -> None:
            if receiver.alive and not self.cut(sender, receiver):
                receiver.received.count(self.now, octets + IP_HEADERS_BYTES)
                self._deliver(sender_update, receiver, message)

        self.schedule(self.now + self._latency(sender, receiver), arrive)

    def _latency(self, sender: Front, receiver: Front) -> int:
        return self.rng.randint(*(LOCAL_LATENCY if sender.region == receiver.region else REMOTE_LATENCY))

    def _deliver(
        self, sender_update: MemberUpdate, receiver: Front, message: Message | OutgoingZoneMessage
    ) -> None:
        if isinstance(message, Message):
            receiver.membership.receive_message(message.as_received(sender_update), self.now)
            self._process_output(receiver)
        else:
            self.deliver_zone_message(contact_of(sender_update), receiver, message.message)

    def deliver_zone_message(self, sender: ZoneContact, receiver: Front, message: ZoneMessage) -> None:
        """Delivers a message between zones to a front, from any sender."""
        receiver.membership.receive_zone_message(sender, message, self.now)
        self._process_output(receiver)

    def look_up(self, front: Front, zone: str, name: str) -> None:
        """Starts a front's lookup of a member of another zone."""
        front.membership.lookup(zone, name, self.now)
        self._process_output(front)

    def _exchange(self, one: Front, other: Front | None) -> None:
        if other is None or not other.alive or self.cut(one, other) or self.cut(other, one):
            return
        request = one.membership.full_state()
        self._count_state(one, other, request)
        if not other.membership.accepts_exchange(self.now):
            return
        answer = other.membership.full_state(request)
        self._count_state(other, one, answer)

        def deliver() -> None:
            for receiver, state in ((other, request), (one, answer)):
                if receiver.alive:
                    receiver.membership.receive_full_state(state[0], state, self.now)
                    self._process_output(receiver)

        self.schedule(self.now + 4 * LOCAL_LATENCY[1], deliver)

    def _count_state(self, sender: Front, receiver: Front, state: list[MemberUpdate]) -> None:
        octets = STREAM_BYTES + UPDATE_BYTES * len(state)
        sender.sent.count(self.now, octets)
        receiver.received.count(self.now, octets)

    # Reported states.

    def sees_failed(self, front: Front, name: str) -> bool:
        """Whether a front sees another as failed."""
        zone = name[: name.index("f")]
        if front.zone == zone:
            return front.membership.state_of(name) is MemberState.FAILED
        return front.membership.remote_state(zone, name) is RemoteState.FAILED

    def known_failed(self, name: str) -> bool:
        """Whether all living fronts see a front as failed."""
        return all(self.sees_failed(front, name) for front in self.living())

    def failure_reports(self) -> list[tuple[int, str, str]]:
        """All reports that a front failed: the time, the reporting front and the failed one."""
        reports = []
        for front in self.fronts.values():
            for at, change in front.changes:
                if change.now in (MemberState.FAILED.label, RemoteState.FAILED.value):
                    reports.append((at, front.name, change.name))
        return reports

    def worst_rate(self) -> float:
        """Octets a second in the busiest ten seconds of any front."""
        return max(front.worst_window for front in self.fronts.values()) * SECOND / WINDOW
