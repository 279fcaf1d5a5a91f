"""Which members speak for their zone to other zones: rendezvous hashing with hysteresis, reckoned by each
front alone.

The members of the highest weight for the zone's name (Thaler and Ravishankar 1998) among those that have run
long enough. Nobody elects: where memberships differ for a while more than three act, and this costs messages
only. How long a member has run is read of its generation, the clock at its start, so that all fronts count
the same, also one that has just started."""

from __future__ import annotations

from collections.abc import Mapping

from oakcroft.decisions.membership.rendezvous import weight
from oakcroft.decisions.membership.zone_summary import MAX_DELEGATES

SETTLING_TIME_US = 30_000_000
"""Microseconds for which a member must have run: guards the zone's voice against members that come and go."""

START_SPREAD_US = 10_000_000
"""Microseconds after the zone's eldest within which a member counts as settled too: the members of a zone
that starts as a whole are delegates at once, and none is displaced when the first of them settle."""


class DelegateSelection:
    """The delegates of one zone as one front sees them. Times are in microseconds of the clock, as
    generations are."""

    def __init__(self, zone: str) -> None:
        """Nobody is observed yet."""
        self.zone = zone
        self._generations: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._ranked: tuple[str, ...] = ()
        self._valid_until = 0

    def observe(self, generations: Mapping[str, int]) -> None:
        """Who is present, whenever that has changed. Suspected members count: a suspicion moves no
        delegate."""
        self._generations = dict(generations)
        known = self._weights
        self._weights = {name: known.get(name) or weight(self.zone, name) for name in generations}
        self._valid_until = 0

    def delegates(self, clock: int) -> tuple[str, ...]:
        """The delegates in rank, the first first; fewer than three where fewer are present."""
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
