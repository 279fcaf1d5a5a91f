"""Two zones of three fronts over real datagrams and streams on loopback, through a relay that can cut links.

The fronts' clocks run `SPEED` times as fast as the machine's, so that timeouts of half a minute take ten seconds.
"""

from __future__ import annotations

import io
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import orjson
import structlog
import trio
from loopback_addresses import next_loopback_address
from rig import run_async_test, wait_until

from oakcroft.commands.fleet import describe_members
from oakcroft.config.settings import OtherZone, PeerSettings
from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.messages import Message, MessageKind
from oakcroft.decisions.membership.zone_directory import RemoteState
from oakcroft.decisions.membership.zone_messages import ZoneDigest
from oakcroft.decisions.membership.zone_summary import DigestEntry, ZoneContact
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.peerwire.zone_codec import ZONE_FORMAT, ZoneCodec
from oakcroft.running.clock import Clock
from oakcroft.standins.peer_network import PeerNetwork

SPEED = 3
KEY = b"k" * 32
OTHER_KEY = b"o" * 32
FLEET = "one"
REGIONS = {"north": "europe", "south": "africa"}
NAMES = [f"{zone}-{i}" for zone in REGIONS for i in range(3)]
NORTH = set(NAMES[:3])
SOUTH = set(NAMES[3:])
START_SECONDS = 30
"""By the machine's clock, until both zones are known everywhere."""

FAILED_IN_ZONE_SECONDS = 8 / SPEED
"""The required detection time (6 s) and 2 s for a busy machine."""

FAILED_EVERYWHERE_SECONDS = 22 / SPEED
"""The required detection time (20 s) and 2 s for a busy machine."""

UNREACHABLE_SECONDS = 45 / SPEED
HEAL_SECONDS = 20 / SPEED


class FastClock(Clock):
    """A front's clock that runs `SPEED` times as fast as the machine's."""

    def now(self) -> int:
        """Current time, in nanoseconds."""
        return self.offset_ns + round(trio.current_time() * SPEED * 1e9)

    def trio_time(self, at: int) -> float:
        """Converts a time of this clock to trio's clock."""
        return (at - self.offset_ns) / SPEED / 1e9


@dataclass
class Zones:
    """Six fronts in one event loop, and the relay between them."""

    folder: Path
    network: PeerNetwork
    nursery: trio.Nursery
    clock: Clock = field(default_factory=FastClock)
    endpoints: dict[str, PeerEndpoint] = field(default_factory=dict)
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    ended: dict[str, trio.Event] = field(default_factory=dict)
    logs: dict[str, io.BytesIO] = field(default_factory=dict)

    def settings(self, name: str) -> PeerSettings:
        """Settings of a front, with two seeds of its own zone and two of the other."""
        zone = name.split("-")[0]
        other = next(each for each in REGIONS if each != zone)
        relays = self.network.relay_addresses
        seeds = tuple(relays[f"{zone}-{i}"] for i in (0, 1))
        others = (OtherZone(other, REGIONS[other], tuple(relays[f"{other}-{i}"] for i in (0, 1))),)
        return PeerSettings(
            name,
            self.network.front_addresses[name],
            relays[name],
            seeds,
            str(self.folder / "key"),
            FLEET,
            "",
            region=REGIONS[zone],
            other_zones=others,
        )

    async def start(self, name: str, settings: PeerSettings | None = None) -> None:
        """Starts or restarts a front."""
        self.logs[name] = io.BytesIO()
        log = structlog.wrap_logger(
            structlog.BytesLogger(self.logs[name]),
            processors=[structlog.processors.JSONRenderer(serializer=orjson.dumps)],
        )
        zone, number = name.split("-")
        self.endpoints[name] = PeerEndpoint(
            settings or self.settings(name), zone, int(number), self.clock, log
        )
        await self.nursery.start(self._host, name)

    async def _host(self, name: str, task_status: trio.TaskStatus[None]) -> None:
        self.ended[name] = trio.Event()
        with trio.CancelScope() as self.scopes[name]:
            await self.endpoints[name].run(task_status)
        self.ended[name].set()

    async def kill(self, name: str) -> None:
        """Stops a front without a leave; its sockets are closed on return."""
        self.scopes[name].cancel()
        await self.ended[name].wait()
        del self.endpoints[name]

    def zoned(self, name: str) -> ZonedMembership:
        """The zoned membership of a front."""
        hosted = self.endpoints[name].hosted
        assert isinstance(hosted, ZonedMembership)
        return hosted

    def in_zone(self, zone: set[str]) -> list[str]:
        """The running fronts of a zone."""
        return [name for name in self.endpoints if name in zone]

    def remote_states(self, at: set[str], name: str) -> set[RemoteState]:
        """States of a front of one zone as seen by the fronts of the other."""
        zone = name.split("-")[0]
        return {self.zoned(front).remote_state(zone, name) for front in self.in_zone(at)}

    def know_each_other(self) -> bool:
        """Whether each front sees all fronts of its zone, and the other zone as reachable with all of its fronts."""
        for name in self.endpoints:
            zones = self.zoned(name).zones()
            own, other = (NORTH, SOUTH) if name in NORTH else (SOUTH, NORTH)
            if len(self.zoned(name).present()) != len(self.in_zone(own)) or len(zones) != 1:
                return False
            if not zones[0].is_reachable or zones[0].counts.present != len(self.in_zone(other)):
                return False
        return True

    def lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """Log entries of a front with an event name."""
        lines = [orjson.loads(line) for line in self.logs[name].getvalue().splitlines()]
        return [line for line in lines if line["event"] == event]

    def reported_failed(self) -> set[str]:
        """Fronts that any running front has logged as failed, in its own or in the other zone."""
        reported = set[str]()
        for name in self.endpoints:
            reported |= {line["name"] for line in self.lines(name, "member") if line["now"] == "gone"}
            reported |= {line["name"] for line in self.lines(name, "zone member") if line["now"] == "failed"}
        return reported


@asynccontextmanager
async def zones(folder: Path) -> AsyncIterator[Zones]:
    """Starts two zones and waits until they know each other."""
    (folder / "key").write_text(KEY.hex())
    listen = {name: next_loopback_address() for name in NAMES}
    relays = {name: next_loopback_address() for name in NAMES}
    async with trio.open_nursery() as nursery:
        rig = Zones(folder, PeerNetwork(listen, relays, Random(1)), nursery)
        await nursery.start(rig.network.run)
        for name in NAMES:
            await rig.start(name)
        await wait_until(rig.know_each_other, START_SECONDS)
        yield rig
        nursery.cancel_scope.cancel()


def on_zones(folder: Path, test: Callable[[Zones], Awaitable[None]]) -> None:
    """Runs a test on two zones that know each other."""

    async def run_test() -> None:
        async with zones(folder) as rig:
            await test(rig)

    run_async_test(run_test, 120)


def test_both_zones_detect_a_crash_and_no_other_front_fails(tmp_path: Path) -> None:
    """After a restart the front is alive again in both zones."""

    async def test(rig: Zones) -> None:
        await rig.kill("south-1")
        await wait_until(
            lambda: all(rig.zoned(n).state_of("south-1") is MemberState.FAILED for n in rig.in_zone(SOUTH)),
            FAILED_IN_ZONE_SECONDS,
        )
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-1") == {RemoteState.FAILED}, FAILED_EVERYWHERE_SECONDS
        )
        assert rig.reported_failed() == {"south-1"}
        await rig.start("south-1")
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-1") == {RemoteState.ALIVE}, FAILED_EVERYWHERE_SECONDS
        )
        await wait_until(rig.know_each_other, START_SECONDS)

    on_zones(tmp_path, test)


def test_a_zone_whose_first_delegate_is_killed_has_another_author(tmp_path: Path) -> None:
    """The next delegate reports the failure and a later leave, and the zone stays reachable."""

    async def test(rig: Zones) -> None:
        now = rig.clock.now()
        first = next(name for name in rig.in_zone(SOUTH) if rig.zoned(name).rank(now) == 0)
        await rig.kill(first)
        await wait_until(
            lambda: rig.remote_states(NORTH, first) == {RemoteState.FAILED}, FAILED_EVERYWHERE_SECONDS
        )
        leaver = rig.in_zone(SOUTH)[0]
        await rig.endpoints[leaver].leave()
        await rig.kill(leaver)
        await wait_until(
            lambda: rig.remote_states(NORTH, leaver) == {RemoteState.LEFT}, FAILED_EVERYWHERE_SECONDS
        )
        assert rig.reported_failed() == {first}
        for name in rig.in_zone(NORTH):
            assert [line["now"] for line in rig.lines(name, "zone")] == ["reachable"]

    on_zones(tmp_path, test)


def test_a_partitioned_zone_is_unreachable_and_not_failed_until_the_partition_heals(tmp_path: Path) -> None:
    """A crash during the partition is known after it; rate shares do not change, since no front of the zone left."""

    async def test(rig: Zones) -> None:
        rig.network.cut(NORTH, SOUTH)
        rig.network.cut(SOUTH, NORTH)
        await wait_until(
            lambda: all(not zone.is_reachable for n in rig.endpoints for zone in rig.zoned(n).zones()),
            UNREACHABLE_SECONDS,
        )
        assert rig.remote_states(NORTH, "south-0") == {RemoteState.UNKNOWN}
        assert rig.reported_failed() == set()
        await rig.kill("south-2")
        await wait_until(
            lambda: all(rig.zoned(n).state_of("south-2") is MemberState.FAILED for n in rig.in_zone(SOUTH)),
            FAILED_IN_ZONE_SECONDS,
        )
        rig.network.heal()
        await wait_until(rig.know_each_other, HEAL_SECONDS)
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-2") == {RemoteState.FAILED}, FAILED_EVERYWHERE_SECONDS
        )
        assert rig.reported_failed() == {"south-2"}
        for name in rig.in_zone(NORTH):
            zone_states = [line["now"] for line in rig.lines(name, "zone")]
            assert zone_states == ["reachable", "unreachable", "reachable"]
            assert rig.zoned(name).left_count() == 0

    on_zones(tmp_path, test)


def test_invalid_datagrams_and_members_of_other_zones_are_dropped_and_counted(tmp_path: Path) -> None:
    """They do not change the membership."""

    async def test(rig: Zones) -> None:
        endpoint = rig.endpoints["north-0"]
        ring = KeyRing((KEY,))
        stranger = ZoneContact("south-9", 1, "south", "127.0.75.9", 1)
        digest = ZoneDigest((DigestEntry("south", 1, 1, 1, 1),), wants_answer=True)
        forged = ZoneCodec(FLEET, KeyRing((OTHER_KEY,))).encode(stranger, digest)
        of_another_fleet = ZoneCodec("two", ring).encode(stranger, digest)
        malformed = ring.seal(bytes((ZONE_FORMAT,)) + os.urandom(64))
        update = MemberUpdate(
            "south-9", 1, 0, MemberState.ALIVE, "127.0.75.9", 1, "south", "1", commitment(b"s")
        )
        message = Message(MessageKind.PING, ("127.0.75.9", 1), 1)
        of_another_zone = MembershipCodec(FLEET, ring).encode(update, message)
        datagrams = [forged, of_another_fleet, malformed, of_another_zone, os.urandom(1_400)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.75.9", 0))
            for datagram in datagrams:
                sock.sendto(datagram, endpoint.settings.listen)
        unsealed = {forged, datagrams[-1]}
        await wait_until(lambda: endpoint.dropped["not sealed"] >= len(unsealed))
        await wait_until(lambda: endpoint.dropped["other fleet"] >= 1 and endpoint.dropped["malformed"] >= 1)
        await wait_until(lambda: rig.zoned("north-0").paced_membership.counts.other_zone >= 1)
        assert rig.zoned("north-0").state_of("south-9") is None
        assert rig.know_each_other()

    on_zones(tmp_path, test)


def test_a_front_without_zones_works_in_its_zone_while_a_fleet_is_migrated(tmp_path: Path) -> None:
    """A front started with the old configuration drops messages between zones, and its zone lists it as a member."""

    async def test(rig: Zones) -> None:
        await rig.kill("north-2")
        flat = replace(rig.settings("north-2"), region="", other_zones=())
        await rig.start("north-2", flat)
        membership = rig.endpoints["north-2"].membership
        await wait_until(lambda: set(membership.present()) >= NORTH, START_SECONDS)
        await wait_until(
            lambda: all(set(rig.zoned(n).present()) == NORTH for n in ("north-0", "north-1")), START_SECONDS
        )
        await wait_until(lambda: rig.endpoints["north-2"].dropped["other form"] >= 1, START_SECONDS)
        assert all(zone.is_reachable for n in rig.in_zone(SOUTH) for zone in rig.zoned(n).zones())

    on_zones(tmp_path, test)


def test_operators_see_zones_with_counts(tmp_path: Path) -> None:
    """The status that `fleet view` prints has them beside the members of the own zone."""

    async def test(rig: Zones) -> None:
        status: dict[str, Any] = rig.endpoints["north-0"].status()
        assert (status["zone"], status["region"]) == ("north", "europe")
        assert {member["name"] for member in status["members"]} == NORTH
        (south,) = status["zones"]
        assert (south["zone"], south["region"], south["reachable"]) == ("south", "africa", True)
        assert (south["present"], south["failed"], south["left"]) == (len(SOUTH), 0, 0)
        assert orjson.loads(orjson.dumps(status)) == status
        (line,) = [line for line in describe_members(status) if line.startswith("  zone ")]
        assert line.startswith("  zone south of africa: reachable, 3 present, 0 gone, 0 left, heard ")

    on_zones(tmp_path, test)
