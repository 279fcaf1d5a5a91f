"""Simulated links between sites, and the event queue that advances simulated time.

A datagram is delayed by the latency of its path or lost. A stream loses nothing but is delayed by retransmissions. A
region can be partitioned from all others until the partition is healed.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks.capacity.topology import Site, Topology
from oakcroft.interface import MS, SECOND

EVENTS_PER_WALL_CHECK = 4_096
"""Events between two checks of the wall clock."""

SEGMENT_OCTETS = 1_448
"""TCP payload of one segment with timestamps at an MTU of 1,500 octets."""

TCP_HEADER_OCTETS = 52
"""IPv4 and TCP headers with timestamps; as for datagrams, without Ethernet."""

DATAGRAM_HEADER_OCTETS = 28
"""IPv4 and UDP headers."""

CONNECTION_SEGMENTS = 4
"""Empty segments in each direction that open and close a connection: SYN or SYN-ACK, ACK, FIN, ACK."""

RETRANSMISSION_TIMEOUT_NS = 200 * MS
"""Linux's minimum retransmission timeout; a flight that loses any segments is delayed by it once."""


@dataclass(frozen=True)
class LinkParameters:
    """Parameters of one kind of path.

    The one-way latency is uniform between `latency` and `latency + jitter`, in ns. `loss` is the probability that a
    datagram is lost.
    """

    latency: int
    jitter: int
    loss: float


@dataclass(frozen=True)
class NetworkParameters:
    """Parameters of the three kinds of path.

    Between regions, `ring_step` ns are added to the latency for each region between the two.
    """

    inside_zone: LinkParameters
    between_zones: LinkParameters
    between_regions: LinkParameters
    ring_step: int

    @classmethod
    def with_loss(cls, inside_zone: float, between_zones: float, between_regions: float) -> NetworkParameters:
        """Returns the default latencies with the given loss rates."""
        return cls(
            LinkParameters(LATENCY_INSIDE_ZONE_NS, JITTER_INSIDE_ZONE_NS, inside_zone),
            LinkParameters(LATENCY_BETWEEN_ZONES_NS, JITTER_BETWEEN_ZONES_NS, between_zones),
            LinkParameters(LATENCY_BETWEEN_REGIONS_NS, JITTER_BETWEEN_REGIONS_NS, between_regions),
            LATENCY_RING_STEP_NS,
        )


LATENCY_INSIDE_ZONE_NS = MS // 4
JITTER_INSIDE_ZONE_NS = MS // 2
"""One data hall: under a millisecond, mostly queueing in hosts."""

LATENCY_BETWEEN_ZONES_NS = MS
JITTER_BETWEEN_ZONES_NS = MS
"""Data halls of one metropolitan area, with at most about 100 km of fibre between them."""

LATENCY_BETWEEN_REGIONS_NS = 20 * MS
JITTER_BETWEEN_REGIONS_NS = 5 * MS
LATENCY_RING_STEP_NS = 20 * MS
"""Nine regions modelled as a ring around the earth: one-way latency is 20 ms between neighbours and 80 ms between
opposite ones (signals travel 200 km per millisecond in fibre, and cables take detours)."""

DEFAULT_LOSS = 0.02
"""Probability of losing a datagram on any path: the loss rate at which the targets of membership are set."""


class EventQueue:
    """Events in order of time, then of scheduling. `now` is simulated time in ns, starting at 0."""

    def __init__(self) -> None:
        """Creates an empty queue at time 0."""
        self.now = 0
        self.handled = 0
        self._number = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []

    def schedule(self, at: int, action: Callable[..., None], *arguments: object) -> None:
        """Schedules `action(*arguments)` at a time, or now if that has passed."""
        self._number += 1
        heapq.heappush(self._heap, (max(at, self.now), self._number, action, arguments))

    def run(self, until: int, wall_deadline: float = float("inf")) -> bool:
        """Handles all events up to a time. Returns False if the wall clock (`time.monotonic`) passed its deadline."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(heap)
            action(*arguments)
            self.handled += 1
            if self.handled % EVENTS_PER_WALL_CHECK == 0 and time.monotonic() > wall_deadline:
                return False
        self.now = until
        return True


@dataclass(frozen=True)
class Transfer:
    """One flight of a stream: its delay in ns and the octets that it sends in each direction, with headers."""

    delay: int
    forward_octets: int
    backward_octets: int


class Network:
    """Latency, loss and partitions between the sites of a topology."""

    def __init__(self, topology: Topology, parameters: NetworkParameters, seed: int) -> None:
        """Creates a network without partitions. Latencies and losses are drawn from a generator with the seed."""
        self._random = Random(f"network {seed}")
        self._cut_regions: set[int] = set()
        regions = topology.region_of_zone
        count = max(regions) + 1
        self._paths = [
            [_path_parameters(one, other, regions, count, parameters) for other in range(len(regions))]
            for one in range(len(regions))
        ]

    def cut(self, region: int) -> None:
        """Partitions a region from all others."""
        self._cut_regions.add(region)

    def heal(self, region: int) -> None:
        """Ends the partition of a region."""
        self._cut_regions.discard(region)

    def separated(self, one: Site, other: Site) -> bool:
        """Returns whether two sites are partitioned from each other."""
        cut = self._cut_regions
        return bool(cut) and one.region != other.region and (one.region in cut or other.region in cut)

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """Returns the delay of a datagram in ns, None if it is lost."""
        if self._cut_regions and self.separated(sender, receiver):
            return None
        path = self._paths[sender.zone][receiver.zone]
        draw = self._random.random
        if draw() < path.loss:
            return None
        return path.latency + int(draw() * path.jitter)

    def stream_transfer(self, sender: Site, receiver: Site, octets: int) -> Transfer | None:
        """Returns one flight of `octets` on an open connection, None if the sites are partitioned."""
        if self.separated(sender, receiver):
            return None
        path = self._paths[sender.zone][receiver.zone]
        segments = max(1, -(-octets // SEGMENT_OCTETS))
        lost_segments = sum(self._random.random() < path.loss for _ in range(segments))
        delay = path.latency + int(self._random.random() * path.jitter)
        if lost_segments:
            delay += RETRANSMISSION_TIMEOUT_NS
        acknowledgements = -(-segments // 2)
        retransmitted = lost_segments * (SEGMENT_OCTETS + TCP_HEADER_OCTETS)
        return Transfer(
            delay, octets + segments * TCP_HEADER_OCTETS + retransmitted, acknowledgements * TCP_HEADER_OCTETS
        )


def _path_parameters(
    one: int, other: int, regions: list[int], count: int, parameters: NetworkParameters
) -> LinkParameters:
    """Returns the parameters of the path between two zones."""
    if one == other:
        return parameters.inside_zone
    apart = abs(regions[one] - regions[other])
    if apart == 0:
        return parameters.between_zones
    steps = min(apart, count - apart) - 1
    wide = parameters.between_regions
    return LinkParameters(wide.latency + steps * parameters.ring_step, wide.jitter, wide.loss)


def seconds(duration: int) -> float:
    """Converts nanoseconds to seconds."""
    return duration / SECOND
