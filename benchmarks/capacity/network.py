"""Simulated links between sites, and the queue of events that moves simulated time on.

A datagram takes the latency of its path, or is lost. A stream loses nothing and waits for a retransmission instead. A
region can be cut off: nothing crosses its border until it is healed.
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
"""Events between two looks at the wall clock."""

SEGMENT_OCTETS = 1_448
"""TCP payload of one segment on an Ethernet of 1,500 octets with timestamps."""

TCP_HEADER_OCTETS = 52
"""IPv4 and TCP with timestamps, without Ethernet, as for datagrams."""

DATAGRAM_HEADER_OCTETS = 28
"""IPv4 and UDP."""

CONNECTION_SEGMENTS = 4
"""Empty segments each way that open and close a connection: SYN or SYN-ACK, ACK, FIN, ACK."""

RETRANSMISSION_TIMEOUT_NS = 200 * MS
"""Linux's least retransmission timeout; a stream that loses anything waits so long once in each flight."""


@dataclass(frozen=True)
class LinkParameters:
    """One kind of path. One-way latency: from `latency` to `latency + jitter`, evenly; `loss`: of one datagram."""

    latency: int
    jitter: int
    loss: float


@dataclass(frozen=True)
class NetworkParameters:
    """The three kinds of path. Between regions, `ring_step` is added for each region that lies between the two."""

    inside_zone: LinkParameters
    between_zones: LinkParameters
    between_regions: LinkParameters
    ring_step: int

    @classmethod
    def with_loss(cls, inside_zone: float, between_zones: float, between_regions: float) -> NetworkParameters:
        """The usual latencies with these losses."""
        return cls(
            LinkParameters(LATENCY_INSIDE_ZONE_NS, JITTER_INSIDE_ZONE_NS, inside_zone),
            LinkParameters(LATENCY_BETWEEN_ZONES_NS, JITTER_BETWEEN_ZONES_NS, between_zones),
            LinkParameters(LATENCY_BETWEEN_REGIONS_NS, JITTER_BETWEEN_REGIONS_NS, between_regions),
            LATENCY_RING_STEP_NS,
        )


LATENCY_INSIDE_ZONE_NS = MS // 4
JITTER_INSIDE_ZONE_NS = MS // 2
"""One data hall: under a millisecond, most of it queueing in hosts."""

LATENCY_BETWEEN_ZONES_NS = MS
JITTER_BETWEEN_ZONES_NS = MS
"""Halls of one metropolitan area, some 100 km of fibre at most."""

LATENCY_BETWEEN_REGIONS_NS = 20 * MS
JITTER_BETWEEN_REGIONS_NS = 5 * MS
LATENCY_RING_STEP_NS = 20 * MS
"""Nine regions taken as a ring round the earth: neighbours 20 ms apart one way, opposite ones 80 ms (fibre carries
200 km in a millisecond, and cables make detours)."""

DEFAULT_LOSS = 0.02
"""Of each datagram on each path: the rate at which the goals for membership are set."""


class EventQueue:
    """Events in order of time, then of being scheduled. `now`: simulated nanoseconds from 0."""

    def __init__(self) -> None:
        """Empty, at time 0."""
        self.now = 0
        self.handled = 0
        self._number = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []

    def schedule(self, at: int, action: Callable[..., None], *arguments: object) -> None:
        """Calls `action(*arguments)` at a time, at once where that has passed."""
        self._number += 1
        heapq.heappush(self._heap, (max(at, self.now), self._number, action, arguments))

    def run(self, until: int, wall_deadline: float = float("inf")) -> bool:
        """Handles all events up to a time. False where the wall clock (`time.monotonic`) ran past its deadline."""
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
    """One flight of a stream: how long it takes and what it puts on the wire, each way, headers included."""

    delay: int
    forward_octets: int
    backward_octets: int


class Network:
    """Latency, loss and partitions between the sites of a topology."""

    def __init__(self, topology: Topology, parameters: NetworkParameters, seed: int) -> None:
        """All links stand; latencies and losses are drawn by the seed."""
        self._random = Random(f"network {seed}")
        self._cut_regions: set[int] = set()
        regions = topology.region_of_zone
        count = max(regions) + 1
        self._paths = [
            [_path_parameters(one, other, regions, count, parameters) for other in range(len(regions))]
            for one in range(len(regions))
        ]

    def cut(self, region: int) -> None:
        """From now on nothing crosses the border of a region."""
        self._cut_regions.add(region)

    def heal(self, region: int) -> None:
        """Ends the cut of a region."""
        self._cut_regions.discard(region)

    def separated(self, one: Site, other: Site) -> bool:
        """Whether a cut lies between two sites now."""
        cut = self._cut_regions
        return bool(cut) and one.region != other.region and (one.region in cut or other.region in cut)

    def datagram_delay(self, sender: Site, receiver: Site) -> int | None:
        """How long a datagram takes; None where it is lost."""
        if self._cut_regions and self.separated(sender, receiver):
            return None
        path = self._paths[sender.zone][receiver.zone]
        draw = self._random.random
        if draw() < path.loss:
            return None
        return path.latency + int(draw() * path.jitter)

    def stream_transfer(self, sender: Site, receiver: Site, octets: int) -> Transfer | None:
        """One flight of so many octets on an open connection; None across a cut."""
        if self.separated(sender, receiver):
            return None
        path = self._paths[sender.zone][receiver.zone]
        segments = max(1, -(-octets // SEGMENT_OCTETS))
        lost = sum(self._random.random() < path.loss for _ in range(segments))
        delay = path.latency + int(self._random.random() * path.jitter)
        if lost:
            delay += RETRANSMISSION_TIMEOUT_NS
        acknowledgements = -(-segments // 2)
        again = lost * (SEGMENT_OCTETS + TCP_HEADER_OCTETS)
        return Transfer(
            delay, octets + segments * TCP_HEADER_OCTETS + again, acknowledgements * TCP_HEADER_OCTETS
        )


def _path_parameters(
    one: int, other: int, regions: list[int], count: int, parameters: NetworkParameters
) -> LinkParameters:
    """The path between two zones."""
    if one == other:
        return parameters.inside_zone
    apart = abs(regions[one] - regions[other])
    if apart == 0:
        return parameters.between_zones
    steps = min(apart, count - apart) - 1
    wide = parameters.between_regions
    return LinkParameters(wide.latency + steps * parameters.ring_step, wide.jitter, wide.loss)


def seconds(duration: int) -> float:
    """Nanoseconds as seconds."""
    return duration / SECOND
