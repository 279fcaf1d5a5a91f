"""One process of the fleet over real sockets: dozens of hollow front ends in one loop.

Each is the peers' part of a front end as it serves, with its own UDP socket and TCP listener on 127.0.0.0/8, and no
viewers. The driver (`fleet_sockets.py`) writes the task to standard input, then a line that starts it.
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
from benchmarks.capacity.fleet_socket_messages import HostResult, HostTask, Reading
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
    """Counts the octets of whole lists, which go by stream."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """Nothing is counted yet."""
        super().__init__(fleet, ring)
        self.stream_octets = 0

    def seal(self, body: WireBody) -> bytes:
        """A body as sealed octets."""
        octets = super().seal(body)
        if body.kind == MessageKind.PUSH_PULL.value:
            self.stream_octets += LENGTH_OCTETS + len(octets)
        return octets


class HostedFront:
    """One front end's peers."""

    def __init__(self, site: Site, topology: Topology, task: HostTask, clock: Clock) -> None:
        """Listens at the address of its site once it runs."""
        place = _place(site, topology, task)
        log = structlog.wrap_logger(None, processors=[_drop])
        seed = task.seed * task.front_ends + site.index
        self.peers = PeerEndpoint(place, site.zone_name, seed, clock, log)
        self.codec = CountingCodec(FLEET, self.peers.codec.ring)
        self.peers.codec = self.peers.push_pulls.codec = self.codec


def _place(site: Site, topology: Topology, task: HostTask) -> PeerSettings:
    """What a front end of this fleet is configured with."""
    if task.membership == "flat":
        return PeerSettings(site.name, site.address, site.address, topology.seeds(), task.key_file, FLEET, "")
    zones = [topology.zone_members(zone) for zone in range(len(topology.region_of_zone))]
    others = tuple(
        OtherZone(members[0].zone_name, members[0].region_name, seed_addresses(members))
        for members in zones
        if members[0].zone != site.zone
    )
    seeds = seed_addresses(zones[site.zone])
    return PeerSettings(
        site.name, site.address, site.address, seeds, task.key_file, FLEET, "",
        region=site.region_name, other_zones=others,
    )  # fmt: skip


def _drop(_logger: object, _method: str, _event: object) -> structlog.typing.ProcessorReturnValue:
    raise structlog.DropEvent


def reading(fronts: Sequence[HostedFront]) -> Reading:
    """The totals of these front ends now."""
    return Reading(
        sum(front.peers.datagrams.sent for front in fronts),
        sum(front.peers.datagrams.octets_sent for front in fronts),
        sum(front.codec.stream_octets for front in fronts),
        time.process_time(),
        resident_octets(),
    )


async def host(task: HostTask) -> HostResult:
    """Runs the front ends of a task for its time. OSError where an address is taken."""
    topology = Topology(task.front_ends, first_octet=LOOPBACK_FIRST_OCTET)
    sites = topology.sites[task.first : task.first + task.count]
    before = reading([])
    clock = Clock()
    fronts = [HostedFront(site, topology, task, clock) for site in sites]
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for front in fronts:
            await nursery.start(front.peers.run)
        await trio.sleep_until(began + task.start_seconds)
        started = reading(fronts)
        await trio.sleep_until(began + task.start_seconds + task.quiet_seconds)
        ended = reading(fronts)
        listed = [len(front.peers.membership.present()) for front in fronts]
        nursery.cancel_scope.cancel()
    dropped = sum((front.peers.dropped for front in fronts), Counter[str]())
    return HostResult(before, started, ended, (min(listed), max(listed)), dict(dropped))


def main() -> None:
    """Reads the task, says that it is ready, waits for the word to start, and prints the result."""
    task = msgspec.json.decode(sys.stdin.readline(), type=HostTask)
    print("ready", flush=True)
    if sys.stdin.readline():
        result = trio.run(partial(host, task))
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    main()
