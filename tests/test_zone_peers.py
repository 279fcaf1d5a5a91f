"""Two zones of three fronts over real datagrams and streams on loopback, with a network between them that cuts.

The fronts' clocks run `SPEED` times as fast as the machine's, so that half a minute of silence is ten seconds of test.
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
from oakcroft.standins.between import Between

SPEED = 3
KEY, OTHER_KEY = b"k" * 32, b"o" * 32
FLEET = "one"
REGIONS = {"north": "europe", "south": "africa"}
NAMES = [f"{zone}-{i}" for zone in REGIONS for i in range(3)]
NORTH, SOUTH = set(NAMES[:3]), set(NAMES[3:])
START_SECONDS = 30
"""Of the machine's, for both zones to be known everywhere; by the fronts' clocks three times as many."""

FAILED_IN_ZONE_SECONDS = 8 / SPEED
"""As wanted of a crash (6 s), and two for a busy machine."""

FAILED_EVERYWHERE_SECONDS = 22 / SPEED
"""As wanted of a crash (20 s), and two for a busy machine."""

UNREACHABLE_SECONDS = 45 / SPEED
HEAL_SECONDS = 20 / SPEED


class FastClock(Clock):
    """A front's clock that runs `SPEED` times as fast as the machine's."""

    def now(self) -> int:
        """Now."""
        return self.offset_ns + round(trio.current_time() * SPEED * 1e9)

    def trio_time(self, at: int) -> float:
        """A time of this clock as trio's."""
        return (at - self.offset_ns) / SPEED / 1e9


@dataclass
class Zones:
    """Six fronts in one event loop, and the network between them."""

    folder: Path
    between: Between
    nursery: trio.Nursery
    clock: Clock = field(default_factory=FastClock)
    endpoints: dict[str, PeerEndpoint] = field(default_factory=dict)
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    ended: dict[str, trio.Event] = field(default_factory=dict)
    logs: dict[str, io.BytesIO] = field(default_factory=dict)

    def place(self, name: str) -> PeerSettings:
        """Where a front stands: two seeds of its zone, two addresses of the other."""
        zone = name.split("-")[0]
        other = next(z for z in REGIONS if z != zone)
        relays = self.between.relays
        seeds = tuple(relays[f"{zone}-{i}"] for i in (0, 1))
        others = (OtherZone(other, REGIONS[other], tuple(relays[f"{other}-{i}"] for i in (0, 1))),)
        return PeerSettings(
            name, self.between.fronts[name], relays[name], seeds, str(self.folder / "key"), FLEET, "",
            region=REGIONS[zone], other_zones=others,
        )  # fmt: skip

    async def start(self, name: str, place: PeerSettings | None = None) -> None:
        """Starts a front, again or for the first time."""
        self.logs[name] = io.BytesIO()
        log = structlog.wrap_logger(
            structlog.BytesLogger(self.logs[name]),
            processors=[structlog.processors.JSONRenderer(serializer=orjson.dumps)],
        )
        zone, number = name.split("-")
        self.endpoints[name] = PeerEndpoint(place or self.place(name), zone, int(number), self.clock, log)
        await self.nursery.start(self._host, name)

    async def _host(self, name: str, task_status: trio.TaskStatus[None]) -> None:
        self.ended[name] = trio.Event()
        with trio.CancelScope() as self.scopes[name]:
            await self.endpoints[name].run(task_status)
        self.ended[name].set()

    async def kill(self, name: str) -> None:
        """The front ends without a word; its sockets are closed then."""
        self.scopes[name].cancel()
        await self.ended[name].wait()
        del self.endpoints[name]

    def zoned(self, name: str) -> ZonedMembership:
        """What a front hosts."""
        hosted = self.endpoints[name].hosted
        assert isinstance(hosted, ZonedMembership)
        return hosted

    def in_zone(self, zone: set[str]) -> list[str]:
        """The fronts of a zone that run."""
        return [name for name in self.endpoints if name in zone]

    def remote_states(self, at: set[str], name: str) -> set[RemoteState]:
        """How the fronts of one zone see a front of the other."""
        zone = name.split("-")[0]
        return {self.zoned(n).remote_state(zone, name) for n in self.in_zone(at)}

    def know_each_other(self) -> bool:
        """Whether each front sees all of its zone, and the other zone reachable with all of its fronts."""
        for name in self.endpoints:
            zones = self.zoned(name).zones()
            own, other = (NORTH, SOUTH) if name in NORTH else (SOUTH, NORTH)
            if len(self.zoned(name).present()) != len(self.in_zone(own)) or len(zones) != 1:
                return False
            if not zones[0].is_reachable or zones[0].counts.present != len(self.in_zone(other)):
                return False
        return True

    def lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """What a front has logged under an event."""
        lines = [orjson.loads(line) for line in self.logs[name].getvalue().splitlines()]
        return [line for line in lines if line["event"] == event]

    def called_failed(self) -> set[str]:
        """Everybody whom a running front has logged as failed, in its own zone or in the other."""
        called = set[str]()
        for name in self.endpoints:
            called |= {line["name"] for line in self.lines(name, "member") if line["now"] == "gone"}
            called |= {line["name"] for line in self.lines(name, "zone member") if line["now"] == "failed"}
        return called


@asynccontextmanager
async def zones(folder: Path) -> AsyncIterator[Zones]:
    """Two zones that know each other."""
    (folder / "key").write_text(KEY.hex())
    with socket.socket() as probe:
        probe.bind(("127.0.75.1", 0))
        port = probe.getsockname()[1]
    listen = {name: (f"127.0.75.{i + 1}", port) for i, name in enumerate(NAMES)}
    relays = {name: (f"127.0.76.{i + 1}", port) for i, name in enumerate(NAMES)}
    async with trio.open_nursery() as nursery:
        rig = Zones(folder, Between(listen, relays, Random(1)), nursery)
        await nursery.start(rig.between.run)
        for name in NAMES:
            await rig.start(name)
        await wait_until(rig.know_each_other, START_SECONDS)
        yield rig
        nursery.cancel_scope.cancel()


def on_zones(folder: Path, test: Callable[[Zones], Awaitable[None]]) -> None:
    """Runs a test on two zones that know each other."""

    async def whole() -> None:
        async with zones(folder) as rig:
            await test(rig)

    run_async_test(whole, 120)


def test_a_crash_is_known_in_its_zone_and_in_the_other_and_nobody_else_failed(tmp_path: Path) -> None:
    """And the one that comes back is seen alive again in both."""

    async def test(rig: Zones) -> None:
        await rig.kill("south-1")
        await wait_until(
            lambda: all(rig.zoned(n).state_of("south-1") is MemberState.FAILED for n in rig.in_zone(SOUTH)),
            FAILED_IN_ZONE_SECONDS,
        )
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-1") == {RemoteState.FAILED}, FAILED_EVERYWHERE_SECONDS
        )
        assert rig.called_failed() == {"south-1"}
        await rig.start("south-1")
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-1") == {RemoteState.ALIVE}, FAILED_EVERYWHERE_SECONDS
        )
        await wait_until(rig.know_each_other, START_SECONDS)

    on_zones(tmp_path, test)


def test_a_zone_whose_first_delegate_is_killed_still_speaks(tmp_path: Path) -> None:
    """The author ends; the next in rank tells of it and of one more that leaves, and the zone is not lost."""

    async def test(rig: Zones) -> None:
        now = rig.clock.now()
        first = next(n for n in rig.in_zone(SOUTH) if rig.zoned(n).rank(now) == 0)
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
        assert rig.called_failed() == {first}
        for name in rig.in_zone(NORTH):
            assert [line["now"] for line in rig.lines(name, "zone")] == ["reachable"]

    on_zones(tmp_path, test)


def test_a_zone_that_is_cut_off_is_unreachable_and_never_failed_and_is_found_again(tmp_path: Path) -> None:
    """What crashed meanwhile is known after the heal; shares of rates rest on the own zone's proofs alone."""

    async def test(rig: Zones) -> None:
        rig.between.cut(NORTH, SOUTH)
        rig.between.cut(SOUTH, NORTH)
        await wait_until(
            lambda: all(not zone.is_reachable for n in rig.endpoints for zone in rig.zoned(n).zones()),
            UNREACHABLE_SECONDS,
        )
        assert rig.remote_states(NORTH, "south-0") == {RemoteState.UNKNOWN}
        assert rig.called_failed() == set()
        await rig.kill("south-2")
        await wait_until(
            lambda: all(rig.zoned(n).state_of("south-2") is MemberState.FAILED for n in rig.in_zone(SOUTH)),
            FAILED_IN_ZONE_SECONDS,
        )
        rig.between.heal()
        await wait_until(rig.know_each_other, HEAL_SECONDS)
        await wait_until(
            lambda: rig.remote_states(NORTH, "south-2") == {RemoteState.FAILED}, FAILED_EVERYWHERE_SECONDS
        )
        assert rig.called_failed() == {"south-2"}
        for name in rig.in_zone(NORTH):
            told = [line["now"] for line in rig.lines(name, "zone")]
            assert told == ["reachable", "unreachable", "reachable"]
            assert rig.zoned(name).left_count() == 0

    on_zones(tmp_path, test)


def test_garbage_a_wrong_key_and_strangers_of_another_zone_are_dropped_and_counted(tmp_path: Path) -> None:
    """Nothing of it changes what is known."""

    async def test(rig: Zones) -> None:
        endpoint = rig.endpoints["north-0"]
        ring = KeyRing((KEY,))
        stranger = ZoneContact("south-9", 1, "south", "127.0.75.9", 1)
        digest = ZoneDigest((DigestEntry("south", 1, 1, 1, 1),), wants_answer=True)
        forged = ZoneCodec(FLEET, KeyRing((OTHER_KEY,))).encode(stranger, digest)
        of_another_fleet = ZoneCodec("two", ring).encode(stranger, digest)
        spoilt = ring.seal(bytes((ZONE_FORMAT,)) + os.urandom(64))
        update = MemberUpdate(
            "south-9", 1, 0, MemberState.ALIVE, "127.0.75.9", 1, "south", "1", commitment(b"s")
        )
        message = Message(MessageKind.PING, ("127.0.75.9", 1), 1)
        of_another_zone = MembershipCodec(FLEET, ring).encode(update, message)
        octets = [forged, of_another_fleet, spoilt, of_another_zone, os.urandom(1_400)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.75.9", 0))
            for one in octets:
                sock.sendto(one, endpoint.settings.listen)
        unsealed = {forged, octets[-1]}
        await wait_until(lambda: endpoint.dropped["not sealed"] >= len(unsealed))
        await wait_until(lambda: endpoint.dropped["other fleet"] >= 1 and endpoint.dropped["malformed"] >= 1)
        await wait_until(lambda: rig.zoned("north-0").pool.counts.other_zone >= 1)
        assert rig.zoned("north-0").state_of("south-9") is None
        assert rig.know_each_other()

    on_zones(tmp_path, test)


def test_a_front_without_zones_and_its_zone_see_each_other_while_a_fleet_goes_over(tmp_path: Path) -> None:
    """It was started with the file of before; it drops what is between zones, and its zone lists it."""

    async def test(rig: Zones) -> None:
        await rig.kill("north-2")
        flat = replace(rig.place("north-2"), region="", other_zones=())
        await rig.start("north-2", flat)
        seen = rig.endpoints["north-2"].membership
        await wait_until(lambda: set(seen.present()) >= NORTH, START_SECONDS)
        await wait_until(
            lambda: all(set(rig.zoned(n).present()) == NORTH for n in ("north-0", "north-1")), START_SECONDS
        )
        await wait_until(lambda: rig.endpoints["north-2"].dropped["other form"] >= 1, START_SECONDS)
        assert all(zone.is_reachable for n in rig.in_zone(SOUTH) for zone in rig.zoned(n).zones())

    on_zones(tmp_path, test)


def test_operators_see_zones_with_counts(tmp_path: Path) -> None:
    """In the status that `fleet view` shows, beside the members of the own zone."""

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
