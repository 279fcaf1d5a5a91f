"""Zone preference: new sessions go to the front end's own zone, with failover and bounded overflow to others.

Each front end keeps a state machine of each zone's health, from what it observes itself (refused connections, ended
processes, silence) and from the node list. A zone whose nodes are silent while they are listed as ready counts as *cut*
off from this front end; its nodes may be warm and busy. A zone whose processes are gone counts as *lost*; its nodes will
be cold when they return. In both cases the front end sends nothing there until the zone answers again, and then a share
of its requests that grows with the square of time. A zone that fails again during this ramp (a relapse) gets a ramp of
twice the length, up to a bound; time in service reduces it again.

Where the own zone accepts nothing, requests overflow to other zones, a bounded part of the front end's requests in any
window and only while the links there have room. Requests past that bound are rejected at once, before they overload the
remaining zone.

A draining node accepts nothing new and is expected to leave. It does not count as evidence for or against its zone. A
zone without a ready node has no room, whatever the load of its links.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND

NO_READY_NODE = math.inf
"""Load of a zone in which no node is ready; it is above any `room`."""


def zone_load(ready_nodes: Sequence[float]) -> float:
    """Returns the load of a zone: the mean link load (demand over capacity) of its ready nodes."""
    return sum(ready_nodes) / len(ready_nodes) if ready_nodes else NO_READY_NODE


class NodeEvidence(Enum):
    """How one node appears to this front end; logs show the member names in lower case."""

    ANSWERS = "answers"
    SILENT = "silent, though the list has it"
    REFUSES = "nothing listens there"
    GONE = "the list has it no more"
    DRAINS = "the list has it draining"


class ZoneState(Enum):
    """Health of a zone as one front end sees it; logs and the operators' API show the values."""

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
class ZonePreferenceBounds:
    """Configured bounds; the field names are those of the configuration. Times in ns."""

    most: float = 0.6
    """Share of a zone's nodes that must be out for the zone to be out."""

    hold: int = 2 * SECOND
    """How long the evidence must hold."""

    spill: float = 0.5
    """Share of the requests in any window that may go to other zones."""

    window: int = 10 * SECOND
    room: float = 0.9
    """Mean load up to which another zone gets requests, and over which the own zone is full."""

    ramp: int = 30 * SECOND
    """Time in which the share of a returning zone grows from 0 to 1, if the zone was lost."""

    longest: int = 300 * SECOND
    """Upper bound of the ramp after repeated failures."""


@dataclass
class ZoneHealth:
    """Health of one zone as this front end sees it. Times in ns."""

    bounds: ZonePreferenceBounds
    state: ZoneState = ZoneState.SOUND
    state_since: int = 0
    """When the present state began; in SOUND also when a relapse was last removed from the count."""

    relapses: int = 0
    """How often the zone failed again while it returned; decremented with time in service."""

    was_lost: bool = False
    """Whether the zone was lost, and not only cut off, so that its nodes are cold when it returns."""

    pending: tuple[ZoneState, int] | None = None
    """The state that the evidence indicates, and since when; None where it is the present state."""

    def _set_state(self, new_state: ZoneState, now: int) -> ZoneState:
        """Sets the state. ValueError for a transition that is not in `TRANSITIONS`."""
        if new_state not in TRANSITIONS[self.state]:
            raise ValueError(f"a zone cannot go from {self.state.value!r} to {new_state.value!r}")
        if self.state is ZoneState.RETURNING and new_state in (ZoneState.CUT, ZoneState.LOST):
            self.relapses += 1
        if new_state is ZoneState.LOST:
            self.was_lost = True
        elif new_state is ZoneState.SOUND:
            self.was_lost = False
        self.state = new_state
        self.state_since = now
        self.pending = None
        return new_state

    def assess(self, nodes: Mapping[NodeEvidence, int]) -> ZoneState:
        """Returns the state that the numbers of nodes by evidence indicate: sound, cut or lost.

        Draining nodes do not count: otherwise a zone would look sound while most of its nodes drain and answer, although
        its ready nodes are out. Drawback: a zone whose few ready nodes fail while the rest drain has to return by its
        ramp.
        """
        node_count = sum(nodes.values()) - nodes.get(NodeEvidence.DRAINS, 0)
        ended = nodes.get(NodeEvidence.REFUSES, 0) + nodes.get(NodeEvidence.GONE, 0)
        unavailable = ended + nodes.get(NodeEvidence.SILENT, 0)
        if node_count == 0 or unavailable < self.bounds.most * node_count:
            return ZoneState.SOUND
        return ZoneState.LOST if ended >= self.bounds.most * node_count else ZoneState.CUT

    def update(self, nodes: Mapping[NodeEvidence, int], now: int) -> ZoneState | None:
        """Takes fresh evidence and returns the new state if it changes; called a few times a second.

        Evidence must hold for `hold` ns, also that of the node list, as lists can be wrong.
        """
        assessed = self.assess(nodes)
        if (
            self.state is ZoneState.RETURNING
            and now - self.state_since >= self.ramp_time
            and assessed is ZoneState.SOUND
        ):
            return self._set_state(ZoneState.SOUND, now)
        if self.state is ZoneState.SOUND and self.relapses and now - self.state_since >= 2 * self.ramp_time:
            self.relapses -= 1
            self.state_since = now
        target = assessed
        if assessed is ZoneState.SOUND:
            target = ZoneState.RETURNING if self.state in (ZoneState.CUT, ZoneState.LOST) else self.state
        elif self.state is ZoneState.LOST:
            target = self.state
        if target is self.state:
            self.pending = None
            return None
        if self.pending is None or self.pending[0] is not target:
            self.pending = (target, now)
        return self._set_state(target, now) if now - self.pending[1] >= self.bounds.hold else None

    @property
    def ramp_time(self) -> int:
        """Time in which the zone's share of requests grows from 0 to 1, in ns.

        It is a quarter of `ramp` for a zone that was only cut off, as its nodes are warm, and doubles with each relapse.
        """
        full_time = self.bounds.ramp if self.was_lost else self.bounds.ramp // 4
        return min(self.bounds.longest, full_time << min(self.relapses, 10))

    def traffic_share(self, now: int) -> float:
        """Returns the share of requests that may go to the zone, 0 to 1."""
        if self.state is ZoneState.SOUND:
            return 1.0
        if self.state is not ZoneState.RETURNING:
            return 0.0
        return min(1.0, max(0.02, (now - self.state_since) / max(1, self.ramp_time)) ** 2)


@dataclass
class OverflowWindow:
    """Requests of this front end in the present window, and how many of them overflowed to other zones."""

    bounds: ZonePreferenceBounds
    requests: deque[tuple[int, bool]] = field(default_factory=deque)
    """Time in ns, and whether the request went to another zone."""

    overflowed: int = 0
    """Requests in the window that went to another zone."""

    def _expire(self, now: int) -> None:
        """Drops requests that have left the window."""
        while self.requests and self.requests[0][0] <= now - self.bounds.window:
            self.overflowed -= self.requests.popleft()[1]

    def allows_overflow(self, now: int) -> bool:
        """Returns whether one more request may go to another zone, counting itself in the window."""
        self._expire(now)
        return self.overflowed + 1 <= self.bounds.spill * (len(self.requests) + 1)

    def record_request(self, is_overflow: bool, now: int) -> None:
        """Records a request and whether it went to another zone."""
        self._expire(now)
        self.requests.append((now, is_overflow))
        self.overflowed += is_overflow


class ZonePreference:
    """The zones as seen by one front end: their health, and which of them a request may go to."""

    def __init__(self, zones: Sequence[str], bounds: ZonePreferenceBounds) -> None:
        """`zones` starts with the front end's own; the others follow in order of preference."""
        self.zones = tuple(zones)
        self.bounds = bounds
        self.health = {zone: ZoneHealth(bounds) for zone in zones}
        self.overflow = OverflowWindow(bounds)
        self.rejected_count = 0

    def update(
        self, nodes: Mapping[str, Mapping[NodeEvidence, int]], now: int
    ) -> list[tuple[str, ZoneState, ZoneState]]:
        """Takes fresh evidence of all zones and returns the changes as (zone, state before, state after)."""
        changes = []
        for zone, health in self.health.items():
            before = health.state
            if (after := health.update(nodes.get(zone, {}), now)) is not None:
                changes.append((zone, before, after))
        return changes

    def choose_zones(self, zone_loads: Mapping[str, float], draw: float, now: int) -> frozenset[str]:
        """Returns the zones that a request may go to; an empty set where it is to be rejected.

        `zone_loads` gives the `zone_load` of each zone; `draw` is a random number from 0 to 1.
        """
        own, *others = self.zones
        if draw < self.health[own].traffic_share(now) and zone_loads.get(own, 0.0) <= self.bounds.room:
            self.overflow.record_request(False, now)
            return frozenset({own})
        if self.overflow.allows_overflow(now):
            for zone in others:
                if (
                    self.health[zone].state is ZoneState.SOUND
                    and zone_loads.get(zone, 0.0) <= self.bounds.room
                ):
                    self.overflow.record_request(True, now)
                    return frozenset({zone})
        self.overflow.record_request(False, now)
        if self.health[own].state is ZoneState.SOUND:
            return frozenset({own})  # the own zone is full but in service, so admission control decides
        self.rejected_count += 1
        return frozenset()
