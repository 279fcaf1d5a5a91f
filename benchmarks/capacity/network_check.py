"""Checks by sampling that the links of a simulated network have the latency and loss of its parameters."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.capacity.network import LinkParameters, Network, NetworkParameters
from benchmarks.capacity.topology import Site, Topology
from oakcroft.interface import MS

SAMPLES = 4_000
LOSS_TOLERANCE = 0.01
"""Above four standard deviations of the observed loss, which are 0.9% at a loss of 2% and `SAMPLES` datagrams."""


@dataclass(frozen=True)
class LinkSample:
    """Observed latency and loss of one kind of path. `shortest` and `longest` are one-way latencies in ns."""

    kind: str
    stated: LinkParameters
    longest_stated: int
    shortest: int
    longest: int
    loss: float

    def matches_parameters(self) -> bool:
        """Returns whether latency and loss agree with the parameters."""
        in_time = self.stated.latency <= self.shortest and self.longest <= self.longest_stated
        return in_time and abs(self.loss - self.stated.loss) <= LOSS_TOLERANCE

    def describe(self) -> str:
        """Formats the sample as a part of a report line."""
        return f"{self.kind} {self.shortest / MS:.2f} to {self.longest / MS:.2f} ms, loss {self.loss:.2%}"


def sample_links(network: Network, topology: Topology, parameters: NetworkParameters) -> list[LinkSample]:
    """Sends `SAMPLES` datagrams over each kind of path, spread over all pairs of zones of that kind."""
    firsts = [topology.zone_members(zone)[0] for zone in range(len(topology.region_of_zone))]
    regions = max(topology.region_of_zone) + 1
    widest = parameters.between_regions.latency + parameters.between_regions.jitter
    widest += max(0, regions // 2 - 1) * parameters.ring_step
    samples = []
    for kind, stated, longest, pairs in (
        ("inside a zone", parameters.inside_zone, None, [(one, one) for one in firsts]),
        ("between zones", parameters.between_zones, None, _pairs(firsts, same_region=True)),
        ("between regions", parameters.between_regions, widest, _pairs(firsts, same_region=False)),
    ):
        if pairs:
            longest_stated = stated.latency + stated.jitter if longest is None else longest
            samples.append(_sample(network, kind, stated, longest_stated, pairs))
    return samples


def _pairs(sites: Sequence[Site], same_region: bool) -> list[tuple[Site, Site]]:
    return [
        (one, other)
        for one in sites
        for other in sites
        if one is not other and (one.region == other.region) is same_region
    ]


def _sample(
    network: Network,
    kind: str,
    stated: LinkParameters,
    longest_stated: int,
    pairs: Sequence[tuple[Site, Site]],
) -> LinkSample:
    delays = [network.datagram_delay(*pairs[number % len(pairs)]) for number in range(SAMPLES)]
    arrived = [delay for delay in delays if delay is not None]
    loss = 1 - len(arrived) / SAMPLES
    return LinkSample(kind, stated, longest_stated, min(arrived, default=0), max(arrived, default=0), loss)
