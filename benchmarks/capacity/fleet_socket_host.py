"""One process of the fleet over real sockets, which hosts dozens of front ends without viewers in one event loop.

Each front end runs the peer endpoint that it has in service, with its own UDP socket and TCP listener on 127.0.0.0/8.
The driver (`fleet_sockets.py`) writes the task to standard input, then a line that starts it.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec
import structlog
import trio

from benchmarks.capacity.fleet_memory import resident_octets
from benchmarks.capacity.fleet_socket_messages import HostResult, HostTask, ProcessTotals
from benchmarks.capacity.fleet_zoned import seed_addresses
from benchmarks.capacity.topology import LOOPBACK_FIRST_OCTET, Site, Topology
from oakcroft.config.settings import OtherZone, PeerSettings
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.decisions.membership.messages import MessageKind
from oakcroft.peerwire.membership_codec import MembershipCodec, WireBody
from oakcroft.peerwire.push_pull_stream import LENGTH_OCTETS
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.running.clock import Clock

FLEET = "fleet"


class CountingCodec(MembershipCodec):
    """Counts the octets of full states, which are sent on streams."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """Starts to count at 0."""
        super().__init__(fleet, ring)
        self.stream_octets = 0

    def seal(self, body: WireBody) -> bytes:
        """Encodes and seals a body, and counts its octets if it goes on a stream."""
        octets = super().seal(body)
        if body.kind == MessageKind.PUSH_PULL.value:
            self.stream_octets += LENGTH_OCTETS + len(octets)
        return octets


class HostedFront:
    """The peer endpoint of one front end."""

    def __init__(self, site: Site, topology: Topology, task: HostTask, clock: Clock) -> None:
        """Creates an endpoint that listens at the address of its site once it runs."""
        settings = _peer_settings(site, topology, task)
        log = structlog.wrap_logger(None, processors=[_drop_event])
        seed = task.seed * task.front_ends + site.index
        self.peers = PeerEndpoint(settings, site.zone_name, seed, clock, log)
        self.codec = CountingCodec(FLEET, self.peers.codec.ring)
        self.peers.codec = self.codec
        self.peers.push_pulls.codec = self.codec


def _peer_settings(site: Site, topology: Topology, task: HostTask) -> PeerSettings:
    """The peer settings of one front end of the fleet."""
    if task.membership == "flat":
        return PeerSettings(site.name, site.address, site.address, topology.seeds(), task.key_file, FLEET, "")
    zones = [topology.zone_members(zone) for zone in range(len(topology.region_of_zone))]
    other_zones = tuple(
        OtherZone(members[0].zone_name, members[0].region_name, seed_addresses(members))
        for members in zones
        if members[0].zone != site.zone
    )
    seeds = seed_addresses(zones[site.zone])
    return PeerSettings(
        site.name,
        site.address,
        site.address,
        seeds,
        task.key_file,
        FLEET,
        "",
        region=site.region_name,
        other_zones=other_zones,
    )


def _drop_event(_logger: object, _method: str, _event: object) -> structlog.typing.ProcessorReturnValue:
    raise structlog.DropEvent


def read_totals(fronts: Sequence[HostedFront]) -> ProcessTotals:
    """The current totals over these front ends."""
    return ProcessTotals(
        sum(front.peers.datagrams.sent for front in fronts),
        sum(front.peers.datagrams.octets_sent for front in fronts),
        sum(front.codec.stream_octets for front in fronts),
        time.process_time(),
        resident_octets(),
    )


async def host(task: HostTask) -> HostResult:
    """Runs the front ends of a task for its time. Raises OSError if an address is in use."""
    topology = Topology(task.front_ends, first_octet=LOOPBACK_FIRST_OCTET)
    sites = topology.sites[task.first : task.first + task.count]
    before = read_totals([])
    clock = Clock()
    fronts = [HostedFront(site, topology, task, clock) for site in sites]
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for front in fronts:
            await nursery.start(front.peers.run)
        await trio.sleep_until(began + task.start_seconds)
        started = read_totals(fronts)
        await trio.sleep_until(began + task.start_seconds + task.quiet_seconds)
        ended = read_totals(fronts)
        listed = [len(front.peers.membership.present()) for front in fronts]
        nursery.cancel_scope.cancel()
    dropped = sum((front.peers.dropped for front in fronts), Counter[str]())
    return HostResult(before, started, ended, (min(listed), max(listed)), dict(dropped))


def main() -> None:
    """Reads the task, reports that it is ready, waits for the start line, and prints the result."""
    task = msgspec.json.decode(sys.stdin.readline(), type=HostTask)
    print("ready", flush=True)
    if sys.stdin.readline():
        result = trio.run(partial(host, task))
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    main()
