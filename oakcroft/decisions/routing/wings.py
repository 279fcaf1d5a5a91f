"""Which zone a new session may go to: the front's own first, others within a bound, and a returning zone by and by.

A zone's health, as one front sees it, is a state machine. Evidence is what this front meets by itself: connections
refused and processes gone, silence, and the list. A zone whose nodes are silent while the list has them ready is
*cut* off from this front as far as it can tell, and its nodes may be warm and busy; one whose processes are gone is
*lost*, and comes back cold. Either way this front sends nothing there until it answers again, and then a share that
rises with the square of time. One that relapses while it returns waits twice as long the next time, up to a bound; a
stretch in service takes that back.

Where the own zone takes nothing, others do, for no more than a stated part of this front's requests in any window and
only while their links have room. What is over that the module turns away at once, before the surviving zone is overrun.

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


class NodeEvidence(Enum):
    """How one node looks from here."""

    ANSWERS = "answers"
    SILENT = "silent, though the list has it"
    REFUSES = "nothing listens there"
    GONE = "the list has it no more"
    DRAINS = "the list has it draining"


class ZoneState(Enum):
    """How a zone stands, as one front sees it."""

    SOUND = "sound"
    CUT = "cut off from this front"
    LOST = "lost"
    RETURNING = "returning"


TRANSITIONS = {
    ZoneState.SOUND: {ZoneState.CUT, ZoneState.LOST},
    ZoneState.CUT: {ZoneState.LOST, ZoneState.RETURNING},
    ZoneState.LOST: {ZoneState.RETURNING},
    ZoneState.RETURNING: {ZoneState.SOUND, ZoneState.CUT, ZoneState.LOST},
}


@dataclass(frozen=True)
class Bounds:
    """`most`: share of a zone's nodes that must be out for it to be out; `hold`: for so long; `spill`: part of requests
    of any `window` that may go to other zones; `room`: mean load under which another zone takes them, and over which the
    own zone is full; `ramp`: time of the way back, up to `longest`. Times in ns."""

    most: float = 0.6
    hold: int = 2 * SECOND
    spill: float = 0.5
    window: int = 10 * SECOND
    room: float = 0.9
    ramp: int = 30 * SECOND
    longest: int = 300 * SECOND


@dataclass
class ZoneHealth:
    """One zone's health, as this front sees it. `relapses`: how often it went out again while it came back."""

    bounds: Bounds
    state: ZoneState = ZoneState.SOUND
    since: int = 0
    relapses: int = 0
    cold: bool = False  # it comes back from being lost, not from a cut
    pending: tuple[ZoneState, int] | None = None  # what the evidence says, and since when

    def _change(self, state: ZoneState, now: int) -> ZoneState:
        """The one place where the state changes."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"a zone cannot go from {self.state.value!r} to {state.value!r}")
        if self.state is ZoneState.RETURNING and state in (ZoneState.CUT, ZoneState.LOST):
            self.relapses += 1
        if state is ZoneState.LOST:
            self.cold = True
        elif state is ZoneState.SOUND:
            self.cold = False
        self.state, self.since, self.pending = state, now, None
        return state

    def evidence(self, nodes: Mapping[NodeEvidence, int]) -> ZoneState:
        """What the nodes of a zone say of it now: sound, cut or lost.

        Draining nodes are left out. Guards against a zone that looks sound as most of its nodes drain and answer, while
        the ready ones are out. Harm: a zone whose few ready nodes are out while the rest drain comes back by its ramp.
        """
        whole = sum(nodes.values()) - nodes.get(NodeEvidence.DRAINS, 0)
        dead = nodes.get(NodeEvidence.REFUSES, 0) + nodes.get(NodeEvidence.GONE, 0)
        out = dead + nodes.get(NodeEvidence.SILENT, 0)
        if whole == 0 or out < self.bounds.most * whole:
            return ZoneState.SOUND
        return ZoneState.LOST if dead >= self.bounds.most * whole else ZoneState.CUT

    def look(self, nodes: Mapping[NodeEvidence, int], now: int) -> ZoneState | None:
        """To be called a few times a second; the new state where it changes. Evidence must hold, the list's too, since
        lists may be wrong."""
        found = self.evidence(nodes)
        if self.state is ZoneState.RETURNING and now - self.since >= self.ramp and found is ZoneState.SOUND:
            return self._change(ZoneState.SOUND, now)
        if self.state is ZoneState.SOUND and self.relapses and now - self.since >= 2 * self.ramp:
            self.relapses -= 1
            self.since = now
        target = found
        if found is ZoneState.SOUND:
            target = ZoneState.RETURNING if self.state in (ZoneState.CUT, ZoneState.LOST) else self.state
        elif self.state is ZoneState.LOST:
            target = self.state
        if target is self.state:
            self.pending = None
            return None
        if self.pending is None or self.pending[0] is not target:
            self.pending = (target, now)
        return self._change(target, now) if now - self.pending[1] >= self.bounds.hold else None

    @property
    def ramp(self) -> int:
        """How long the way back takes: a cut zone's nodes are warm, a lost one's are not; twice for each relapse."""
        whole = self.bounds.ramp if self.cold else self.bounds.ramp // 4
        return min(self.bounds.longest, whole << min(self.relapses, 10))

    def share(self, now: int) -> float:
        """The share of requests that may go there, 0 to 1."""
        if self.state is ZoneState.SOUND:
            return 1.0
        if self.state is not ZoneState.RETURNING:
            return 0.0
        return min(1.0, max(0.02, (now - self.since) / max(1, self.ramp)) ** 2)


@dataclass
class SpillWindow:
    """Set-ups of this front in a window, and those of them that went to other zones."""

    bounds: Bounds
    sent: deque[tuple[int, bool]] = field(default_factory=deque)
    spilled: int = 0

    def _pass(self, now: int) -> None:
        while self.sent and self.sent[0][0] <= now - self.bounds.window:
            self.spilled -= self.sent.popleft()[1]

    def may(self, now: int) -> bool:
        """Whether one more may go to another zone: it and those in the window within the part of all requests."""
        self._pass(now)
        return self.spilled + 1 <= self.bounds.spill * (len(self.sent) + 1)

    def asked(self, other: bool, now: int) -> None:
        """A request came and was let to another zone, or was not."""
        self._pass(now)
        self.sent.append((now, other))
        self.spilled += other


class ZonePreference:
    """All zones of one front. `tiers`: its own first, then the others in order of preference."""

    def __init__(self, tiers: Sequence[str], bounds: Bounds) -> None:
        self.tiers, self.bounds = tuple(tiers), bounds
        self.health = {zone: ZoneHealth(bounds) for zone in tiers}
        self.spill = SpillWindow(bounds)
        self.turned = 0

    def look(
        self, nodes: Mapping[str, Mapping[NodeEvidence, int]], now: int
    ) -> list[tuple[str, ZoneState, ZoneState]]:
        """Fresh evidence of all zones; what has changed: zone, before, after."""
        out = []
        for zone, health in self.health.items():
            before = health.state
            if (after := health.look(nodes.get(zone, {}), now)) is not None:
                out.append((zone, before, after))
        return out

    def choose(self, loads: Mapping[str, float], draw: float, now: int) -> frozenset[str]:
        """The zones that a request may go to; none where it is to be turned away. `loads`: of each zone, by `zone_load`;
        `draw`: from 0 to 1, by lot."""
        own, *others = self.tiers
        if draw < self.health[own].share(now) and loads.get(own, 0.0) <= self.bounds.room:
            self.spill.asked(False, now)
            return frozenset({own})
        if self.spill.may(now):
            for zone in others:
                if self.health[zone].state is ZoneState.SOUND and loads.get(zone, 0.0) <= self.bounds.room:
                    self.spill.asked(True, now)
                    return frozenset({zone})
        self.spill.asked(False, now)
        if self.health[own].state is ZoneState.SOUND:
            return frozenset({own})  # full, but in service: the module decides
        self.turned += 1
        return frozenset()
