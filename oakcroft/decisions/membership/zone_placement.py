"""A front's configured place in a fleet of zones, and the status of other zones as it sees them."""

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
    """A front's region, the seeds of its own zone, and the other zones. The own zone is in the front's
    `MemberUpdate`."""

    region: str
    seeds: tuple[Address, ...]
    others: tuple[ZoneSeeds, ...]


@dataclass(frozen=True)
class ZoneStatus:
    """Status of a zone; `moved_at` is when a greater summary or heartbeat last arrived at this front."""

    zone: str
    region: str
    counts: StateCounts
    is_reachable: bool
    moved_at: int
