"""A rig: fronts of several zones in one process, on a simulated network; seeded, the same every time."""

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
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.interface import MS, SECOND

IP_HEADERS = 28
FLAT_SIZE = 130
UPDATE_SIZE = 78
STREAM_SIZE = 400
PORT = 7946
WINDOW = 10 * SECOND
LOCAL_LATENCY = (200_000, MS)
REMOTE_LATENCY = (20 * MS, 60 * MS)
SEEDS_A_ZONE = 2
RESTART_TAKES = 2 * SECOND


@dataclass
class Traffic:
    """Octets one way: all, in the last ten seconds, and the most in any ten seconds."""

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
    scheduled: int = -1
    changes: list[tuple[int, StateChange | ZoneChange]] = field(default_factory=list)
    sent: Traffic = field(default_factory=Traffic)
    received: Traffic = field(default_factory=Traffic)

    @property
    def worst_window(self) -> int:
        """The most octets in any ten seconds, of the busier way."""
        return max(self.sent.worst_window, self.received.worst_window)


class ZoneFleet:
    """Fronts and the network between them. `now` in ns from 0."""

    def __init__(self, seed: int, regions: int, zones: int, members: int, loss: float = 0.0) -> None:
        """Nobody has started. `regions` of so many `zones` each, of so many `members`."""
        self.rng = Random(seed)
        self.loss = loss
        self.now = 0
        self.number = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.fronts: dict[str, Front] = {}
        self.at: dict[Address, Front] = {}
        self.cut: Callable[[Front, Front], bool] = lambda _a, _b: False
        self.layout = {f"r{r}z{z}": f"r{r}" for r in range(regions) for z in range(zones)}
        self.members = members

    # Fronts.

    def names(self, zone: str) -> list[str]:
        """All names of a zone's fronts."""
        return [f"{zone}f{i}" for i in range(self.members)]

    @staticmethod
    def address(name: str) -> Address:
        """Where a front stands."""
        return f"host-{name}", PORT

    def start(self, name: str, generation: int = 0) -> Front:
        """Starts a front, again or for the first time."""
        zone = name[: name.index("f")]
        secret = self.rng.randbytes(16)
        host, port = self.address(name)
        generation = generation or self.now // 1_000 + 1
        me = MemberUpdate(name, generation, 0, MemberState.ALIVE, host, port, zone, "1", commitment(secret))
        membership = ZonedMembership(
            me, secret, Random(self.rng.getrandbits(64)), self.now, self._placement(zone)
        )
        former = self.fronts.get(name)
        if former is not None:
            former.alive = False
        front = Front(name, zone, self.layout[zone], membership)
        if former is not None:
            front.sent, front.received = former.sent, former.received
        self.fronts[name] = self.at[host, port] = front
        self._after(front)
        return front

    def _placement(self, zone: str) -> ZonePlacement:
        others = tuple(ZoneSeeds(z, r, self._seeds(z)) for z, r in self.layout.items() if z != zone)
        return ZonePlacement(self.layout[zone], self._seeds(zone), others)

    def _seeds(self, zone: str) -> tuple[Address, ...]:
        return tuple(self.address(name) for name in self.names(zone)[:SEEDS_A_ZONE])

    def start_all(self, within: int = 500 * MS) -> None:
        """All start at random times within so long."""
        for zone in self.layout:
            for name in self.names(zone):
                self.later(self.now + self.rng.randrange(within), self._starting(name))

    def _starting(self, name: str) -> Callable[[], None]:
        def event() -> None:
            self.start(name)

        return event

    def settle(self) -> None:
        """Starts all and plays until every front sees all of its zone and all zones."""
        self.start_all()
        assert self.run(120 * SECOND, self.is_settled), "the fleet does not settle"
        for front in self.fronts.values():
            front.changes.clear()

    def is_settled(self) -> bool:
        """Whether every living front sees its zone whole and all zones reachable and rightly counted."""
        if len(self.fronts) < self.members * len(self.layout):
            return False
        sizes = {zone: sum(f.alive for f in self.fronts.values() if f.zone == zone) for zone in self.layout}
        for front in self.living():
            if len(front.membership.present()) != sizes[front.zone] or front.membership.local.suspects:
                return False
            seen = {s.zone: s.counts.present for s in front.membership.zones() if s.is_reachable}
            wanted = {z: n for z, n in sizes.items() if z != front.zone and n}
            if seen != wanted:
                return False
        return True

    def kill(self, name: str) -> None:
        """A front ends without a word."""
        self.fronts[name].alive = False

    def leave(self, name: str) -> None:
        """A front leaves in order."""
        front = self.fronts[name]
        front.membership.leave(self.now)
        self._after(front)
        self.later(self.now + SECOND, lambda: setattr(front, "alive", False))

    def restart_at(self, at: int, name: str) -> None:
        """A front leaves in order then, and starts again under its name."""
        self.later(at, lambda: self.leave(name))
        self.later(at + RESTART_TAKES, self._starting(name))

    def living(self) -> list[Front]:
        """Those that run."""
        return [front for front in self.fronts.values() if front.alive]

    # Time.

    def later(self, at: int, event: Callable[[], None]) -> None:
        """Does something at a time."""
        self.number += 1
        heapq.heappush(self.heap, (max(at, self.now), self.number, event))

    def run(self, duration: int, until: Callable[[], bool] | None = None) -> bool:
        """Plays on for so long, or until something holds, looked at every 100 ms; whether it does."""
        end = self.now + duration
        look = self.now
        while self.heap and self.heap[0][0] <= end:
            at, _, event = heapq.heappop(self.heap)
            self.now = at
            event()
            if until is not None and self.now >= look:
                if until():
                    return True
                look = self.now + 100 * MS
        self.now = end
        return until is not None and until()

    # The network.

    def _after(self, front: Front) -> None:
        membership = front.membership
        out, membership.out = membership.out, []
        for message in out:
            self._carry(front, message)
        changes, membership.changes = membership.changes, []
        front.changes += [(self.now, change) for change in changes]
        due = max(membership.due, self.now + MS)
        if front.scheduled < self.now or due < front.scheduled:
            front.scheduled = due
            self.later(due, lambda: self._tick(front, due))

    def _tick(self, front: Front, due: int) -> None:
        if front.scheduled != due:
            return
        front.scheduled = -1
        if front.alive:
            front.membership.tick(self.now)
            self._after(front)

    def _carry(self, sender: Front, message: Message | OutgoingZoneMessage) -> None:
        receiver = self.at.get(message.address)
        if isinstance(message, Message) and message.kind is MessageKind.PUSH_PULL:
            self._exchange(sender, receiver)
            return
        if isinstance(message, Message):
            octets = FLAT_SIZE + UPDATE_SIZE * len(message.updates)
        else:
            octets = estimated_size(message.message)
        sender.sent.count(self.now, octets + IP_HEADERS)
        if receiver is None or self.rng.random() < self.loss:
            return
        me = sender.membership.local.me

        def arrive() -> None:
            if receiver.alive and not self.cut(sender, receiver):
                receiver.received.count(self.now, octets + IP_HEADERS)
                self._deliver(me, receiver, message)

        self.later(self.now + self._latency(sender, receiver), arrive)

    def _latency(self, sender: Front, receiver: Front) -> int:
        return self.rng.randint(*(LOCAL_LATENCY if sender.region == receiver.region else REMOTE_LATENCY))

    def _deliver(self, me: MemberUpdate, receiver: Front, message: Message | OutgoingZoneMessage) -> None:
        if isinstance(message, Message):
            receiver.membership.receive_message(
                me, message.kind, message.sequence, message.to, message.target, message.updates, self.now
            )
            self._after(receiver)
        else:
            sender = ZoneContact(me.name, me.generation, me.zone, me.host, me.port)
            self.tell(sender, receiver, message.message)

    def tell(self, sender: ZoneContact, receiver: Front, message: ZoneMessage) -> None:
        """Hands a message of the zone layer to a front, whoever wrote it."""
        receiver.membership.receive_zone_message(sender, message, self.now)
        self._after(receiver)

    def look_up(self, front: Front, zone: str, name: str) -> None:
        """A front asks another zone for one of its members."""
        front.membership.lookup(zone, name, self.now)
        self._after(front)

    def _exchange(self, one: Front, other: Front | None) -> None:
        if other is None or not other.alive or self.cut(one, other) or self.cut(other, one):
            return
        mine = one.membership.full_state()
        self._count_table(one, other, mine)
        if not other.membership.accepts_exchange(self.now):
            return
        theirs = other.membership.full_state(mine)
        self._count_table(other, one, theirs)

        def swap() -> None:
            for receiver, table in ((other, mine), (one, theirs)):
                if receiver.alive:
                    receiver.membership.receive_full_state(table[0], table, self.now)
                    self._after(receiver)

        self.later(self.now + 4 * LOCAL_LATENCY[1], swap)

    def _count_table(self, sender: Front, receiver: Front, table: list[MemberUpdate]) -> None:
        octets = STREAM_SIZE + UPDATE_SIZE * len(table)
        sender.sent.count(self.now, octets)
        receiver.received.count(self.now, octets)

    # What the fronts say.

    def sees_failed(self, front: Front, name: str) -> bool:
        """Whether a front takes another to have failed."""
        zone = name[: name.index("f")]
        if front.zone == zone:
            return front.membership.state_of(name) is MemberState.FAILED
        return front.membership.remote_state(zone, name) is RemoteState.FAILED

    def known_failed(self, name: str) -> bool:
        """Whether all living fronts do."""
        return all(self.sees_failed(front, name) for front in self.living())

    def called_failed(self) -> list[tuple[int, str, str]]:
        """Each time that a front called another failed: when, who, whom."""
        called = []
        for front in self.fronts.values():
            for at, change in front.changes:
                if change.now in (MemberState.FAILED.label, RemoteState.FAILED.value):
                    called.append((at, front.name, change.name))
        return called

    def worst_rate(self) -> float:
        """Octets a second in the worst ten seconds of any front."""
        return max(front.worst_window for front in self.fronts.values()) * SECOND / WINDOW
