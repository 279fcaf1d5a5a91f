"""Which members speak for their zone to other zones: rendezvous hashing with hysteresis, reckoned by each
front alone.

The members of the highest weight for the zone's name (Thaler and Ravishankar 1998) among those that have
been present long enough. Nobody elects: where memberships differ for a while more than three act, and this
costs messages only."""

from __future__ import annotations

from collections.abc import Sequence

from oakcroft.decisions.membership.rendezvous import weight
from oakcroft.decisions.membership.zone_summary import MAX_DELEGATES
from oakcroft.interface import SECOND

SETTLING_TIME = 30 * SECOND
"""For which a member must have been present: guards the zone's voice against members that come and go. Who
is found in a front's own first so many seconds counts as settled, since it may have been there for long."""


class DelegateSelection:
    """The delegates of one zone as one front sees them."""

    def __init__(self, zone: str, now: int) -> None:
        """Nobody is observed yet."""
        self.zone = zone
        self.started_at = now
        self._settled_at: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._ranked: tuple[str, ...] = ()
        self._valid_until = now

    def observe(self, present: Sequence[str], now: int) -> None:
        """Who is present, whenever that has changed. Suspected members count: a suspicion moves no
        delegate."""
        names = set(present)
        for name in [n for n in self._settled_at if n not in names]:
            del self._settled_at[name]
            del self._weights[name]
        is_own_start = now - self.started_at < SETTLING_TIME
        for name in present:
            if name not in self._settled_at:
                self._settled_at[name] = now if is_own_start else now + SETTLING_TIME
                self._weights[name] = weight(self.zone, name)
        self._valid_until = now

    def delegates(self, now: int) -> tuple[str, ...]:
        """The delegates in rank, the first first; fewer than three where fewer are present."""
        if now >= self._valid_until:
            self._select(now)
        return self._ranked

    def _select(self, now: int) -> None:
        settled = [name for name, at in self._settled_at.items() if at <= now]
        candidates = settled if len(settled) >= MAX_DELEGATES else list(self._settled_at)
        ranked = sorted(candidates, key=lambda name: (-self._weights[name], name))
        self._ranked = tuple(ranked[:MAX_DELEGATES])
        unsettled = [at for at in self._settled_at.values() if at > now]
        self._valid_until = min(unsettled, default=now + SETTLING_TIME)
