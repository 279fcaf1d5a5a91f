"""Selection of a zone's delegates, which communicate with other zones: rendezvous hashing with hysteresis.

The delegates are the members with the highest weights for the zone's name (Thaler and Ravishankar 1998) among those
that have run long enough. Each front computes them by itself, without an election: while memberships differ, more than
three members may act, which costs only messages. A member's uptime follows from its generation, the clock time of its
start, so that all fronts compute the same, including one that has just started.
"""

from __future__ import annotations

from collections.abc import Mapping

from oakcroft.decisions.membership.rendezvous import weight
from oakcroft.decisions.membership.zone_summary import MAX_DELEGATES

SETTLING_TIME_US = 30_000_000
"""Uptime before a member becomes a delegate, so that members that restart often do not change the delegates."""

START_SPREAD_US = 10_000_000
"""Members that started within this time of the zone's oldest count as settled too: a zone that starts as a whole has
delegates at once, and they do not change when the first members settle."""


class DelegateSelection:
    """Delegates of one zone as one front sees them. Times are clock times in microseconds, as generations are."""

    def __init__(self, zone: str) -> None:
        """Starts without members."""
        self.zone = zone
        self._generations: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._ranked: tuple[str, ...] = ()
        self._valid_until = 0

    def observe(self, generations: Mapping[str, int]) -> None:
        """Sets the present members and their generations. Includes suspected ones: a suspicion changes no delegate."""
        self._generations = dict(generations)
        known = self._weights
        self._weights = {name: known.get(name) or weight(self.zone, name) for name in generations}
        self._valid_until = 0

    def delegates(self, clock: int) -> tuple[str, ...]:
        """Delegates in order of rank; fewer than `MAX_DELEGATES` if fewer members are present."""
        if clock >= self._valid_until:
            self._select(clock)
        return self._ranked

    def _select(self, clock: int) -> None:
        latest = max(clock - SETTLING_TIME_US, min(self._generations.values(), default=0) + START_SPREAD_US)
        settled = [name for name, generation in self._generations.items() if generation <= latest]
        candidates = settled if len(settled) >= MAX_DELEGATES else list(self._generations)
        ranked = sorted(candidates, key=lambda name: (-self._weights[name], name))
        self._ranked = tuple(ranked[:MAX_DELEGATES])
        unsettled = [generation for generation in self._generations.values() if generation > latest]
        self._valid_until = min(unsettled, default=clock) + SETTLING_TIME_US
