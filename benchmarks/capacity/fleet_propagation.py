"""Measures how long the other front ends take to learn of a crash, an orderly stop or a start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

from benchmarks.capacity.fleet_membership import ObservedState
from oakcroft.interface import MS, SECOND

RESOLUTION_NS = 10 * MS


class EventKind(Enum):
    """An event of a member that the others have to learn."""

    CRASH = "crash"
    STOP = "orderly stop"
    START = "start"


STATES_BY_EVENT = {
    EventKind.CRASH: (ObservedState.FAILED, ObservedState.UNREACHABLE),
    EventKind.STOP: (ObservedState.LEFT, ObservedState.FAILED, ObservedState.UNREACHABLE),
    EventKind.START: (ObservedState.ALIVE,),
}
"""The states in an observer's list that show that it has learnt of the event."""


class Durations:
    """A histogram of durations with a step of `RESOLUTION_NS`. `missing`: cases that did not end in time."""

    def __init__(self) -> None:
        """Starts empty."""
        self.missing = 0
        self._counts: Counter[int] = Counter()

    def add(self, duration: int) -> None:
        """Adds one duration."""
        self._counts[duration // RESOLUTION_NS] += 1

    @property
    def count(self) -> int:
        """The number of cases, including those missing."""
        return self._counts.total() + self.missing

    def quantile(self, share: float) -> float:
        """The quantile in seconds, infinite if it falls among the missing cases."""
        wanted = min(self.count - 1, int(share * self.count))
        passed = 0
        for step in sorted(self._counts):
            passed += self._counts[step]
            if passed > wanted:
                return (step + 1) * RESOLUTION_NS / SECOND
        return float("inf")

    @property
    def longest(self) -> float:
        """The longest duration in seconds, infinite if any case is missing."""
        if self.missing:
            return float("inf")
        return (max(self._counts) + 1) * RESOLUTION_NS / SECOND if self._counts else 0.0


class _Event:
    """An event and the observers that have not learnt of it."""

    __slots__ = ("at", "kind", "waiting", "zone")

    def __init__(self, kind: EventKind, at: int, zone: int, waiting: Iterable[int]) -> None:
        self.kind = kind
        self.at = at
        self.zone = zone
        self.waiting = set(waiting)  # used for lookups and counts only, so its order has no effect on results


class PropagationTracker:
    """The latest event of each member that is not known everywhere, and the durations measured so far."""

    def __init__(self, zone_of: Callable[[int], int], overdue_after: int) -> None:
        """Starts without events.

        `zone_of`: the zone of a front end. `overdue_after`: nanoseconds after which an event that an observer has not
        learnt counts as missing.
        """
        self._zone_of = zone_of
        self._overdue_after = overdue_after
        self._open: dict[int, _Event] = {}
        self.everywhere = {kind: Durations() for kind in EventKind}
        self.crash_in_own_zone = Durations()

    def record_event(self, member: int, kind: EventKind, now: int, observers: Iterable[int]) -> None:
        """Records an event that these observers have to learn. Closes the member's previous event."""
        self._close(member, now)
        self._open[member] = _Event(kind, now, self._zone_of(member), observers)

    def record_observation(self, observer: int, member: int, state: ObservedState, now: int) -> None:
        """Records that a member has a new state in an observer's list."""
        event = self._open.get(member)
        if event is None or state not in STATES_BY_EVENT[event.kind] or observer not in event.waiting:
            return
        event.waiting.discard(observer)
        self.everywhere[event.kind].add(now - event.at)
        if event.kind is EventKind.CRASH and self._zone_of(observer) == event.zone:
            self.crash_in_own_zone.add(now - event.at)
        if not event.waiting:
            del self._open[member]

    def observer_ended(self, observer: int) -> None:
        """Stops to expect observations of a front end whose process ended."""
        for event in self._open.values():
            event.waiting.discard(observer)

    def finish(self, now: int) -> None:
        """Counts the overdue observations of all open events as missing."""
        for member in list(self._open):
            self._close(member, now)

    def _close(self, member: int, now: int) -> None:
        """Closes the open event of a member. Pending observations count as missing if overdue, and are ignored if not."""
        event = self._open.pop(member, None)
        if event is None or now - event.at < self._overdue_after:
            return
        self.everywhere[event.kind].missing += len(event.waiting)
        if event.kind is EventKind.CRASH:
            own = sum(self._zone_of(observer) == event.zone for observer in event.waiting)
            self.crash_in_own_zone.missing += own
