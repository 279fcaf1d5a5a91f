"""A model of playout nodes behind shared links: no I/O, no clock of its own, so that a laboratory can grow from it.

A node's link and its rack's uplink are shared by all that they carry; where more is asked than either gives, all
playbacks there get the same share of their rates. A node runs so many streams at most. One that has just started is
cold: it takes set-ups at a slowly rising pace and falls over when pushed well past it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True)
class WarmUp:
    """How a node warms up and when it falls over: all fronts' set-ups over `window` ns against its pace."""

    initial_share: float
    cold_ns: int
    overload_multiple: float
    window_ns: int

    def pace_share(self, age: int) -> float:
        """The share of its full pace that a node takes at this age."""
        return min(1.0, self.initial_share + (1 - self.initial_share) * age / max(1, self.cold_ns))

    def setup_budget(self, age: int, places: float) -> float:
        """Set-ups over a window ending at this age that a node stands."""
        return self.overload_multiple * self.pace_share(age) * places / max(1, self.cold_ns) * self.window_ns


@dataclass
class Rack:
    """An uplink, kB a second; 0 for one that never binds."""

    uplink_capacity: float
    nodes: list[Machine] = field(default_factory=list)

    def requested_rate(self) -> float:
        """What its nodes would put on it: each no more than its own link gives."""
        return sum(min(n.requested_rate(), n.available_rate()) for n in self.nodes)

    def delivered_share(self) -> float:
        """The share of that which it carries."""
        asked = self.requested_rate()
        return (
            1.0
            if self.uplink_capacity <= 0 or asked <= self.uplink_capacity
            else self.uplink_capacity / asked
        )


@dataclass
class Stream:
    """One playback on a node: its rate, rung and what a second of it is worth at each rung."""

    rate: float
    rung: int
    revenue_rates: tuple[float, ...]
    started_at: int
    revenue: float = 0.0


@dataclass
class Machine:
    """One node's hardware: link in kB a second, streams at most, and what ails it now."""

    name: str
    rack: Rack
    link_capacity: float
    playback_capacity: int
    warm_up: WarmUp
    full_link_load: float = 0.0
    started_at: int = 0
    is_cold: bool = False
    is_overloaded: bool = False
    taken_share: float = 0.0  # the share of its link that another program has
    slowdown: float = 1.0
    streams: dict[str, Stream] = field(default_factory=dict)
    pending_setups: int = 0
    recent_setups: deque[int] = field(default_factory=deque)
    smoothed_share: float = 1.0

    def __post_init__(self) -> None:
        """Puts itself into its rack."""
        self.rack.nodes.append(self)

    def requested_rate(self) -> float:
        """What its streams ask for."""
        return sum(s.rate for s in self.streams.values())

    def available_rate(self) -> float:
        """What its link gives now."""
        return self.link_capacity * (1 - self.taken_share) / self.slowdown

    def link_load(self) -> float:
        """Asked of the link over what it gives."""
        return self.requested_rate() / max(1.0, self.available_rate())

    def uplink_load(self) -> float:
        """The same for its rack's uplink, 0 where none binds."""
        return (
            self.rack.requested_rate() / self.rack.uplink_capacity if self.rack.uplink_capacity > 0 else 0.0
        )

    def delivered_share(self) -> float:
        """The share of their rates that its streams get."""
        asked = self.link_load()
        return (1.0 if asked <= 1 else 1 / asked) * self.rack.delivered_share()

    def admit_setup(self, now: int) -> bool:
        """A set-up arrives. Counts it against a cold node's pace; False when the node falls over under it."""
        if not self.is_cold:
            return not self.is_overloaded
        age = now - self.started_at
        if age >= self.warm_up.cold_ns:
            self.is_cold = False
            return True
        self.recent_setups.append(now)
        while self.recent_setups[0] <= now - self.warm_up.window_ns:
            self.recent_setups.popleft()
        if len(self.recent_setups) > self.warm_up.setup_budget(age, self.playback_capacity) + 1:
            self.is_overloaded = True
        return not self.is_overloaded

    def has_room(self) -> bool:
        """Whether it takes one more stream."""
        if self.full_link_load and self.link_load() >= self.full_link_load:
            return False
        return len(self.streams) + self.pending_setups < self.playback_capacity

    def add_stream(self, session: str, stream: Stream) -> None:
        """A playback begins to play."""
        self.streams[session] = stream

    def remove_stream(self, session: str) -> Stream | None:
        """A playback ends."""
        return self.streams.pop(session, None)

    def restart(self, now: int) -> None:
        """A new process: empty and cold."""
        self.streams.clear()
        self.recent_setups.clear()
        self.started_at, self.is_cold, self.is_overloaded, self.pending_setups, self.smoothed_share = (
            now,
            True,
            False,
            0,
            1.0,
        )

    def advance(self, seconds: float, stall: float, dead: bool = False) -> None:
        """Its streams earn for so long. Under 98% of its rate, one loses `stall` points of worth for each point
        that is missing; a node that stands still (`dead`) earns nothing."""
        share = 0.0 if dead else self.delivered_share()
        self.smoothed_share += (share - self.smoothed_share) * min(1.0, seconds / 0.5)
        loss = max(0.0, 0.98 - share) * stall
        for stream in self.streams.values():
            stream.revenue += seconds * stream.revenue_rates[stream.rung] * max(0.0, 1 - loss)
