"""A model of playout nodes behind shared links: no I/O, no clock of its own, so that a laboratory can grow from it.

A node's link and its rack's uplink are shared by all that they carry; where more is asked than either gives, all
playbacks there get the same share of their rates. A node runs so many streams at most. One that has just started is
cold: it takes set-ups at a slowly rising pace and falls over when pushed well past it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Warmth:
    """How a node warms up and when it falls over: all fronts' set-ups over `window` ns against its pace."""

    start_share: float
    cold_for: int
    multiple: float
    window: int

    def share(self, age: int) -> float:
        """The share of its full pace that a node takes at this age."""
        return min(1.0, self.start_share + (1 - self.start_share) * age / max(1, self.cold_for))

    def budget(self, age: int, places: float) -> float:
        """Set-ups over a window ending at this age that a node stands."""
        return self.multiple * self.share(age) * places / max(1, self.cold_for) * self.window


@dataclass
class Rack:
    """An uplink, kB a second; 0 for one that never binds."""

    uplink: float
    nodes: list[Machine] = field(default_factory=list)

    def asked(self) -> float:
        """What its nodes would put on it: each no more than its own link gives."""
        return sum(min(n.asked_kb(), n.gives()) for n in self.nodes)

    def share(self) -> float:
        """The share of that which it carries."""
        asked = self.asked()
        return 1.0 if self.uplink <= 0 or asked <= self.uplink else self.uplink / asked


@dataclass
class Stream:
    """One playback on a node: its rate, rung and what a second of it is worth at each rung."""

    rate: float
    rung: int
    worth: tuple[float, ...]
    started: int
    earned: float = 0.0


@dataclass
class Machine:
    """One node's hardware: link in kB a second, streams at most, and what ails it now."""

    name: str
    rack: Rack
    link: float
    places: int
    warmth: Warmth
    guard: float = 0.0
    started: int = 0
    cold: bool = False
    fallen: bool = False
    taken: float = 0.0  # the share of its link that another program has
    slowness: float = 1.0
    streams: dict[str, Stream] = field(default_factory=dict)
    waiting: int = 0
    lately: deque[int] = field(default_factory=deque)
    smooth: float = 1.0

    def __post_init__(self) -> None:
        """Puts itself into its rack."""
        self.rack.nodes.append(self)

    def asked_kb(self) -> float:
        """What its streams ask for."""
        return sum(s.rate for s in self.streams.values())

    def gives(self) -> float:
        """What its link gives now."""
        return self.link * (1 - self.taken) / self.slowness

    def asked(self) -> float:
        """Asked of the link over what it gives."""
        return self.asked_kb() / max(1.0, self.gives())

    def uplink_asked(self) -> float:
        """The same for its rack's uplink, 0 where none binds."""
        return self.rack.asked() / self.rack.uplink if self.rack.uplink > 0 else 0.0

    def share(self) -> float:
        """The share of their rates that its streams get."""
        asked = self.asked()
        return (1.0 if asked <= 1 else 1 / asked) * self.rack.share()

    def knock(self, now: int) -> bool:
        """A set-up arrives. Counts it against a cold node's pace; False when the node falls over under it."""
        if not self.cold:
            return not self.fallen
        age = now - self.started
        if age >= self.warmth.cold_for:
            self.cold = False
            return True
        self.lately.append(now)
        while self.lately[0] <= now - self.warmth.window:
            self.lately.popleft()
        if len(self.lately) > self.warmth.budget(age, self.places) + 1:
            self.fallen = True
        return not self.fallen

    def has_room(self) -> bool:
        """Whether it takes one more stream."""
        if self.guard and self.asked() >= self.guard:
            return False
        return len(self.streams) + self.waiting < self.places

    def begin(self, session: str, stream: Stream) -> None:
        """A playback begins to play."""
        self.streams[session] = stream

    def end(self, session: str) -> Stream | None:
        """A playback ends."""
        return self.streams.pop(session, None)

    def restart(self, now: int) -> None:
        """A new process: empty and cold."""
        self.streams.clear()
        self.lately.clear()
        self.started, self.cold, self.fallen, self.waiting, self.smooth = now, True, False, 0, 1.0

    def pass_time(self, seconds: float, stall: float, dead: bool = False) -> None:
        """Its streams earn for so long. Under 98% of its rate, one loses `stall` points of worth for each point
        that is missing; a node that stands still (`dead`) earns nothing."""
        share = 0.0 if dead else self.share()
        self.smooth += (share - self.smooth) * min(1.0, seconds / 0.5)
        loss = max(0.0, 0.98 - share) * stall
        for stream in self.streams.values():
            stream.earned += seconds * stream.worth[stream.rung] * max(0.0, 1 - loss)
