"""Which wing a new playback may go to: the front's own first, others within a bound, and a returning wing by and by.

A wing's life, as one front sees it, is a state machine. Evidence is what this front meets by itself: connections refused
and processes gone, silence, and the list. A wing whose nodes are silent while the list has them ready is *cut* off from
this front as far as it can tell, and its nodes may be warm and busy; one whose processes are gone is *lost*, and comes
back cold. Either way this front sends nothing there until it answers again, and then a share that rises with the square
of time. One that falters while it returns waits twice as long the next time, up to a bound; a stretch in service takes
that back.

Where the own wing takes nothing, others do, for no more than a stated part of this front's requests in any window and
only while their links have room. What is over that the module turns away at once, before the surviving wing is overrun.

A draining node takes nothing new and is meant to leave. It is no evidence for or against its zone, and a zone without a
ready node has no room, whatever its nodes' links carry.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND

NO_READY_NODE = math.inf
"""The load of a zone in which no node is ready: over any `room`."""


def zone_load(ready_nodes: Sequence[float]) -> float:
    """The load of a zone from the link loads (asked over given) of its ready nodes: their mean."""
    return sum(ready_nodes) / len(ready_nodes) if ready_nodes else NO_READY_NODE


class Seen(Enum):
    """How one node looks from here."""

    ANSWERS = "answers"
    SILENT = "silent, though the list has it"
    REFUSES = "nothing listens there"
    GONE = "the list has it no more"
    DRAINS = "the list has it draining"


class State(Enum):
    """How a wing stands, as one front sees it."""

    SOUND = "sound"
    CUT = "cut off from this front"
    LOST = "lost"
    RETURNING = "returning"


FOLLOWS = {
    State.SOUND: {State.CUT, State.LOST},
    State.CUT: {State.LOST, State.RETURNING},
    State.LOST: {State.RETURNING},
    State.RETURNING: {State.SOUND, State.CUT, State.LOST},
}


@dataclass(frozen=True)
class Bounds:
    """`most`: share of a wing's nodes that must be out for it to be out; `hold`: for so long; `spill`: part of requests
    of any `window` that may go to other wings; `room`: mean load under which another wing takes them, and over which the
    own wing is full; `ramp`: time of the way back, up to `longest`. Times in ns."""

    most: float = 0.6
    hold: int = 2 * SECOND
    spill: float = 0.5
    window: int = 10 * SECOND
    room: float = 0.9
    ramp: int = 30 * SECOND
    longest: int = 300 * SECOND


@dataclass
class Life:
    """One wing's life."""

    bounds: Bounds
    state: State = State.SOUND
    since: int = 0
    falters: int = 0
    cold: bool = False  # it comes back from being lost, not from a cut
    wants: tuple[State, int] | None = None  # what the evidence says, and since when

    def _change(self, state: State, now: int) -> State:
        """The one place where the state changes."""
        if state not in FOLLOWS[self.state]:
            raise ValueError(f"a wing cannot go from {self.state.value!r} to {state.value!r}")
        if self.state is State.RETURNING and state in (State.CUT, State.LOST):
            self.falters += 1
        if state is State.LOST:
            self.cold = True
        elif state is State.SOUND:
            self.cold = False
        self.state, self.since, self.wants = state, now, None
        return state

    def evidence(self, nodes: Mapping[Seen, int]) -> State:
        """What the nodes of a zone say of it now: sound, cut or lost.

        Draining nodes are left out. Guards against a zone that looks sound as most of its nodes drain and answer, while
        the ready ones are out. Harm: a zone whose few ready nodes are out while the rest drain comes back by its ramp.
        """
        whole = sum(nodes.values()) - nodes.get(Seen.DRAINS, 0)
        dead = nodes.get(Seen.REFUSES, 0) + nodes.get(Seen.GONE, 0)
        out = dead + nodes.get(Seen.SILENT, 0)
        if whole == 0 or out < self.bounds.most * whole:
            return State.SOUND
        return State.LOST if dead >= self.bounds.most * whole else State.CUT

    def look(self, nodes: Mapping[Seen, int], now: int) -> State | None:
        """To be called a few times a second; the new state where it changes. Evidence must hold, the list's too, since
        lists may be wrong."""
        found = self.evidence(nodes)
        if self.state is State.RETURNING and now - self.since >= self.ramp and found is State.SOUND:
            return self._change(State.SOUND, now)
        if self.state is State.SOUND and self.falters and now - self.since >= 2 * self.ramp:
            self.falters -= 1
            self.since = now
        target = found
        if found is State.SOUND:
            target = State.RETURNING if self.state in (State.CUT, State.LOST) else self.state
        elif self.state is State.LOST:
            target = self.state
        if target is self.state:
            self.wants = None
            return None
        if self.wants is None or self.wants[0] is not target:
            self.wants = (target, now)
        return self._change(target, now) if now - self.wants[1] >= self.bounds.hold else None

    @property
    def ramp(self) -> int:
        """How long the way back takes: a cut wing's nodes are warm, a lost one's are not; twice for each falter."""
        whole = self.bounds.ramp if self.cold else self.bounds.ramp // 4
        return min(self.bounds.longest, whole << min(self.falters, 10))

    def share(self, now: int) -> float:
        """The share of requests that may go there, 0 to 1."""
        if self.state is State.SOUND:
            return 1.0
        if self.state is not State.RETURNING:
            return 0.0
        return min(1.0, max(0.02, (now - self.since) / max(1, self.ramp)) ** 2)


@dataclass
class Spill:
    """Set-ups of this front in a window, and those of them that went to other wings."""

    bounds: Bounds
    sent: deque[tuple[int, bool]] = field(default_factory=deque)
    spilled: int = 0

    def _pass(self, now: int) -> None:
        while self.sent and self.sent[0][0] <= now - self.bounds.window:
            self.spilled -= self.sent.popleft()[1]

    def may(self, now: int) -> bool:
        """Whether one more may go to another wing: it and those in the window within the part of all requests."""
        self._pass(now)
        return self.spilled + 1 <= self.bounds.spill * (len(self.sent) + 1)

    def asked(self, other: bool, now: int) -> None:
        """A request came and was let to another wing, or was not."""
        self._pass(now)
        self.sent.append((now, other))
        self.spilled += other


class Wings:
    """All wings of one front. `tiers`: its own first, then the others in order of preference."""

    def __init__(self, tiers: Sequence[str], bounds: Bounds) -> None:
        self.tiers, self.bounds = tuple(tiers), bounds
        self.lives = {wing: Life(bounds) for wing in tiers}
        self.spill = Spill(bounds)
        self.turned = 0

    def look(self, nodes: Mapping[str, Mapping[Seen, int]], now: int) -> list[tuple[str, State, State]]:
        """Fresh evidence of all wings; what has changed: wing, before, after."""
        out = []
        for wing, life in self.lives.items():
            before = life.state
            if (after := life.look(nodes.get(wing, {}), now)) is not None:
                out.append((wing, before, after))
        return out

    def choose(self, loads: Mapping[str, float], draw: float, now: int) -> frozenset[str]:
        """The wings that a request may go to; none where it is to be turned away. `loads`: of each zone, by `zone_load`;
        `draw`: from 0 to 1, by lot."""
        own, *others = self.tiers
        if draw < self.lives[own].share(now) and loads.get(own, 0.0) <= self.bounds.room:
            self.spill.asked(False, now)
            return frozenset({own})
        if self.spill.may(now):
            for wing in others:
                if self.lives[wing].state is State.SOUND and loads.get(wing, 0.0) <= self.bounds.room:
                    self.spill.asked(True, now)
                    return frozenset({wing})
        self.spill.asked(False, now)
        if self.lives[own].state is State.SOUND:
            return frozenset({own})  # full, but in service: the module decides
        self.turned += 1
        return frozenset()
