"""How long the other front ends take to learn of a crash, an orderly stop or a start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

from benchmarks.capacity.fleet_membership import ObservedState
from oakcroft.interface import MS, SECOND

RESOLUTION_NS = 10 * MS


class EventKind(Enum):
    """What there is to learn of a member."""

    CRASH = "crash"
    STOP = "orderly stop"
    START = "start"


STATES_BY_EVENT = {
    EventKind.CRASH: (ObservedState.FAILED, ObservedState.UNREACHABLE),
    EventKind.STOP: (ObservedState.LEFT, ObservedState.FAILED, ObservedState.UNREACHABLE),
    EventKind.START: (ObservedState.ALIVE,),
}


class Durations:
    """A distribution of durations in steps of `RESOLUTION_NS`. `missing`: those that did not end in time."""

    def __init__(self) -> None:
        """None so far."""
        self.missing = 0
        self._counts: Counter[int] = Counter()

    def add(self, duration: int) -> None:
        """One duration."""
        self._counts[duration // RESOLUTION_NS] += 1

    @property
    def count(self) -> int:
        """All, the missing included."""
        return self._counts.total() + self.missing

    def quantile(self, share: float) -> float:
        """Seconds that this share of all stays within; infinite where that many are missing."""
        wanted = min(self.count - 1, int(share * self.count))
        passed = 0
        for step in sorted(self._counts):
            passed += self._counts[step]
            if passed > wanted:
                return (step + 1) * RESOLUTION_NS / SECOND
        return float("inf")

    @property
    def longest(self) -> float:
        """The longest, in seconds."""
        if self.missing:
            return float("inf")
        return (max(self._counts) + 1) * RESOLUTION_NS / SECOND if self._counts else 0.0


class _Event:
    """Something to be learnt, and who has to learn it still."""

    __slots__ = ("at", "kind", "waiting", "zone")

    def __init__(self, kind: EventKind, at: int, zone: int, waiting: Iterable[int]) -> None:
        self.kind, self.at, self.zone = kind, at, zone
        self.waiting = set(waiting)  # only asked for membership and counted: its order tells nothing


class PropagationTracker:
    """All events that are not known everywhere yet, the last of each member."""

    def __init__(self, zone_of: Callable[[int], int], overdue_after: int) -> None:
        """`zone_of`: the zone of a front end; `overdue_after`: nanoseconds until what is not learnt counts as missing."""
        self._zone_of, self._overdue_after = zone_of, overdue_after
        self._open: dict[int, _Event] = {}
        self.everywhere = {kind: Durations() for kind in EventKind}
        self.crash_in_own_zone = Durations()

    def record_event(self, member: int, kind: EventKind, now: int, observers: Iterable[int]) -> None:
        """From now on these observers are to learn it."""
        self._close(member, now)
        self._open[member] = _Event(kind, now, self._zone_of(member), observers)

    def record_observation(self, observer: int, member: int, state: ObservedState, now: int) -> None:
        """An observer's list says so of a member."""
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
        """One that runs no more is not expected to learn anything."""
        for event in self._open.values():
            event.waiting.discard(observer)

    def finish(self, now: int) -> None:
        """Counts as missing what was not learnt in time."""
        for member in list(self._open):
            self._close(member, now)

    def _close(self, member: int, now: int) -> None:
        """The next event of a member, or the end. What is not overdue by then is left out of account."""
        event = self._open.pop(member, None)
        if event is None or now - event.at < self._overdue_after:
            return
        self.everywhere[event.kind].missing += len(event.waiting)
        if event.kind is EventKind.CRASH:
            own = sum(self._zone_of(observer) == event.zone for observer in event.waiting)
            self.crash_in_own_zone.missing += own
