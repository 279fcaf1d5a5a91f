"""Placement of the simulated front ends in regions and zones."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

Address = tuple[str, int]

ZONES_BY_REGION = (5, 5, 4, 4, 4, 3, 3, 2, 2)
"""Zones of each region: 32 in 9, as in the target; the split among regions is an assumption."""

ZONE_WEIGHTS = (4, 1, 3, 2)
"""Relative sizes of successive zones. Real zones differ in size, and the largest one determines the cost of losing a
zone: here it has four times the front ends of the smallest, 135 of 2,700."""

PEER_PORT = 7_946
PRIVATE_FIRST_OCTET = 10
LOOPBACK_FIRST_OCTET = 127
"""First octet of the loopback addresses of fleets over real sockets; simulated ones use that of private addresses."""
HOSTS_PER_SUBNET = 200


class TopologyError(ValueError):
    """There are fewer front ends than zones."""


@dataclass(frozen=True)
class Site:
    """One front end with its region and zone. Zones are numbered across all regions."""

    index: int
    name: str
    region: int
    zone: int
    address: Address

    @property
    def region_name(self) -> str:
        """Name of the region."""
        return f"region-{self.region + 1}"

    @property
    def zone_name(self) -> str:
        """Name of the zone."""
        return f"zone-{self.zone + 1:02}"


class Topology:
    """The sites of a fleet."""

    def __init__(
        self,
        front_ends: int,
        zones_by_region: Sequence[int] = ZONES_BY_REGION,
        weights: Sequence[int] = ZONE_WEIGHTS,
        first_octet: int = PRIVATE_FIRST_OCTET,
    ) -> None:
        """Places the front ends in zones. Raises TopologyError if there are fewer front ends than zones."""
        self.region_of_zone = [region for region, zones in enumerate(zones_by_region) for _ in range(zones)]
        sizes = zone_sizes(front_ends, len(self.region_of_zone), weights)
        self.sites: list[Site] = []
        self._first_octet = first_octet
        for zone, size in enumerate(sizes):
            for position in range(size):
                self.sites.append(self._site(zone, position))
        self.by_address = {site.address: site for site in self.sites}

    def _site(self, zone: int, position: int) -> Site:
        index = len(self.sites)
        host = (
            f"{self._first_octet}.{zone + 1}.{position // HOSTS_PER_SUBNET}.{position % HOSTS_PER_SUBNET + 1}"
        )
        return Site(index, f"front-{index:04}", self.region_of_zone[zone], zone, (host, PEER_PORT))

    def zone_members(self, zone: int) -> list[Site]:
        """Returns the sites of one zone."""
        return [site for site in self.sites if site.zone == zone]

    def region_members(self, region: int) -> list[Site]:
        """Returns the sites of one region."""
        return [site for site in self.sites if site.region == region]

    def zone_counts(self) -> list[int]:
        """Returns the number of front ends of each zone."""
        return [len(self.zone_members(zone)) for zone in range(len(self.region_of_zone))]

    def largest_zone(self) -> int:
        """Returns the zone with the most front ends, the first of several."""
        counts = self.zone_counts()
        return counts.index(max(counts))

    def largest_region(self) -> int:
        """Returns the region with the most front ends, the first of several."""
        regions = sorted(set(self.region_of_zone))
        return max(regions, key=lambda region: (len(self.region_members(region)), -region))

    def seeds(self) -> tuple[Address, ...]:
        """Returns the seed addresses of every front end's configuration: the first front end of each region."""
        firsts: dict[int, Address] = {}
        for site in self.sites:
            firsts.setdefault(site.region, site.address)
        return tuple(firsts.values())


def zone_sizes(front_ends: int, zones: int, weights: Sequence[int]) -> list[int]:
    """Divides front ends among zones by weight with the largest-remainder method; each zone has at least one."""
    if front_ends < zones:
        raise TopologyError(f"{front_ends} front ends are too few for {zones} zones")
    zone_weights = [weights[zone % len(weights)] for zone in range(zones)]
    remaining = front_ends - zones
    exact = [remaining * weight / sum(zone_weights) for weight in zone_weights]
    sizes = [1 + int(part) for part in exact]
    by_remainder = sorted(range(zones), key=lambda zone: (int(exact[zone]) - exact[zone], zone))
    for zone in by_remainder[: front_ends - sum(sizes)]:
        sizes[zone] += 1
    return sizes
