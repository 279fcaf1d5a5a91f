"""Where a front stands in a fleet of zones, as configured, and how it sees the other zones."""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.membership.messages import Address
from oakcroft.decisions.membership.zone_summary import StateCounts


@dataclass(frozen=True)
class ZoneSeeds:
    """Another zone as configured: addresses of some of its members."""

    zone: str
    region: str
    addresses: tuple[Address, ...]


@dataclass(frozen=True)
class ZonePlacement:
    """A front's region, seeds of its own zone, and the other zones. The own zone is the member's own."""

    region: str
    seeds: tuple[Address, ...]
    others: tuple[ZoneSeeds, ...]


@dataclass(frozen=True)
class ZoneStatus:
    """A zone as a front knows it, for operators. `moved_at`: when its summary or heartbeat last grew
    there."""

    zone: str
    region: str
    counts: StateCounts
    is_reachable: bool
    moved_at: int
