"""Model of playout nodes behind shared links, without I/O and without a clock of its own.

A node's link and its rack's uplink are shared by all streams on them; where more is requested than either has, every
stream gets the same share of its rate. A node runs a limited number of streams. One that has just started is cold: it
accepts set-ups at a pace that rises slowly, and crashes when set-ups come far above that pace.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SMOOTHING_SECONDS = 0.5
"""Time constant of the smoothed share of their rates that a node's streams get."""

FULL_QUALITY_SHARE = 0.98
"""Streams that get at least this share of their rate lose no revenue."""


@dataclass(frozen=True)
class WarmUp:
    """How a node warms up, and how many set-ups of all front ends crash it while it does."""

    initial_share: float  # share of the full pace right after the start
    cold_ns: int
    overload_multiple: float
    window_ns: int

    def pace_share(self, age: int) -> float:
        """Returns the share of its full pace that a node accepts at an age in ns."""
        return min(1.0, self.initial_share + (1 - self.initial_share) * age / max(1, self.cold_ns))

    def setup_budget(self, age: int, playback_capacity: float) -> float:
        """Returns how many set-ups a node survives in a window that ends at this age."""
        paced_share = self.overload_multiple * self.pace_share(age)
        return paced_share * playback_capacity / max(1, self.cold_ns) * self.window_ns


@dataclass
class Rack:
    """An uplink shared by the nodes of a rack, in kB/s; a capacity of 0 is never the bottleneck."""

    uplink_capacity: float
    nodes: list[Machine] = field(default_factory=list)

    def requested_rate(self) -> float:
        """Returns the rate that its nodes would send, each no more than its own link carries, in kB/s."""
        return sum(min(node.requested_rate(), node.available_rate()) for node in self.nodes)

    def delivered_share(self) -> float:
        """Returns the share of the requested rate that the uplink carries."""
        requested = self.requested_rate()
        if self.uplink_capacity <= 0 or requested <= self.uplink_capacity:
            return 1.0
        return self.uplink_capacity / requested


@dataclass
class Stream:
    """One playback on a node: its rate in kB/s, its rung, and the revenue per second at each rung."""

    rate: float
    rung: int
    revenue_rates: tuple[float, ...]
    started_at: int
    revenue: float = 0.0


@dataclass
class Machine:
    """Hardware of one node: its link in kB/s, its maximum number of streams, and its present faults."""

    name: str
    rack: Rack
    link_capacity: float
    playback_capacity: int
    warm_up: WarmUp
    full_link_load: float = 0.0  # link load from which on it accepts no more streams; 0 for no such bound
    started_at: int = 0
    is_cold: bool = False
    is_overloaded: bool = False
    other_traffic_share: float = 0.0  # share of its link that other programs use
    slowdown: float = 1.0
    streams: dict[str, Stream] = field(default_factory=dict)
    pending_setups: int = 0
    recent_setups: deque[int] = field(default_factory=deque)
    smoothed_share: float = 1.0

    def __post_init__(self) -> None:
        """Adds the node to its rack."""
        self.rack.nodes.append(self)

    def requested_rate(self) -> float:
        """Returns the rate that its streams request, in kB/s."""
        return sum(stream.rate for stream in self.streams.values())

    def available_rate(self) -> float:
        """Returns the rate that its link carries now, in kB/s."""
        return self.link_capacity * (1 - self.other_traffic_share) / self.slowdown

    def link_load(self) -> float:
        """Returns the requested rate over the available rate of its link."""
        return self.requested_rate() / max(1.0, self.available_rate())

    def uplink_load(self) -> float:
        """Returns the load of the uplink of its rack, or 0 if that is never the bottleneck."""
        if self.rack.uplink_capacity <= 0:
            return 0.0
        return self.rack.requested_rate() / self.rack.uplink_capacity

    def delivered_share(self) -> float:
        """Returns the share of their rates that its streams get."""
        load = self.link_load()
        return (1.0 if load <= 1 else 1 / load) * self.rack.delivered_share()

    def admit_setup(self, now: int) -> bool:
        """Counts a set-up against a cold node's pace; returns False if the node crashes under it."""
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
        """Returns whether it accepts one more stream."""
        if self.full_link_load and self.link_load() >= self.full_link_load:
            return False
        return len(self.streams) + self.pending_setups < self.playback_capacity

    def add_stream(self, session: str, stream: Stream) -> None:
        """Adds the stream of a session that starts to play."""
        self.streams[session] = stream

    def remove_stream(self, session: str) -> Stream | None:
        """Removes and returns the stream of a session that ends."""
        return self.streams.pop(session, None)

    def restart(self, now: int) -> None:
        """Starts a new process, which has no streams and is cold."""
        self.streams.clear()
        self.recent_setups.clear()
        self.started_at = now
        self.is_cold = True
        self.is_overloaded = False
        self.pending_setups = 0
        self.smoothed_share = 1.0

    def advance(self, seconds: float, shortfall_penalty: float, delivers_nothing: bool = False) -> None:
        """Adds the revenue that its streams earn in so many seconds.

        Under `FULL_QUALITY_SHARE` of its rate a stream loses `shortfall_penalty` points of revenue for each point of
        the rate that is missing; a node that delivers nothing earns nothing.
        """
        share = 0.0 if delivers_nothing else self.delivered_share()
        self.smoothed_share += (share - self.smoothed_share) * min(1.0, seconds / SMOOTHING_SECONDS)
        loss = max(0.0, FULL_QUALITY_SHARE - share) * shortfall_penalty
        for stream in self.streams.values():
            stream.revenue += seconds * stream.revenue_rates[stream.rung] * max(0.0, 1 - loss)
