"""Membership between several processes of the program, over a simulated network that loses and cuts messages.

The tests check only what the processes report over the operators' interface, and when they exit.
"""

from __future__ import annotations

import io
import os
import re
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Any, ClassVar

import orjson
import pytest
import structlog
import trio
from loopback_addresses import next_loopback_address
from rig import DAY_TEMPLATE, SITE_TEMPLATE, run_async_test, running_front_end, wait_until

from oakcroft import __version__
from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.config.settings import OtherZone, PeerSettings
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import (
    ANYONE,
    MemberId,
    Message,
    MessageKind,
    ProbeTarget,
    ReceivedMessage,
)
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.peers import peer_endpoint
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.push_pull_stream import FullStateReader, write_full_state
from oakcroft.peerwire.sealing import RETIRED_KEY_LIFETIME, KeyFileError, KeyRing, parse_keys
from oakcroft.running.clock import Clock
from oakcroft.standins.peer_network import PeerNetwork
from oakcroft.standins.day import parse_day
from oakcroft.standins.fleet import Fleet
from oakcroft.standins.record import Record
from oakcroft.standins.record import read_facts as read_record
from test_membership import ALIVE, SECRET, update as named


def update(name: str, *more: Any) -> MemberUpdate:
    return replace(named(name, *more), host="127.0.74.9")


def datagram(
    codec: MembershipCodec, sender: MemberUpdate, kind: MessageKind, sequence: int, receiver: MemberId,
    target: ProbeTarget | None, updates: Sequence[MemberUpdate],
) -> bytes:  # fmt: skip
    return codec.encode(sender, Message(kind, ("127.0.74.9", 1), sequence, receiver, target, updates))


KEY = "11" * 32
OTHER_KEY = "22" * 32
TOKEN = "operators-secret"


class Fronts:
    """Several processes of `oakcroft serve` with peers."""

    def __init__(self, folder: Path, count: int, nodes: Fleet, record: Record, nursery: trio.Nursery) -> None:
        self.folder = folder
        self.nodes = nodes
        self.record = record
        self.nursery = nursery
        self.names = [f"f{i}" for i in range(count)]
        listen = {name: next_loopback_address() for name in self.names}
        relays = {name: next_loopback_address() for name in self.names}
        self.network = PeerNetwork(listen, relays, Random(1))
        self.processes: dict[str, trio.Process] = {}
        self.ports: dict[str, int] = {}
        (folder / "key").write_text(KEY)

    def file(self, name: str) -> Path:
        number = self.names.index(name)
        path = self.folder / f"{name}.oak"
        host, port = self.network.front_addresses[name]
        relay, relay_port = self.network.relay_addresses[name]
        seeds = " ".join(
            f'"{seed}:{seed_port}"' for seed, seed_port in list(self.network.relay_addresses.values())[:2]
        )
        site = SITE_TEMPLATE.replace("(fronts 1)", f"(fronts {len(self.names)})")
        site = site.replace("EXTRA", f'(operators (secret "{TOKEN}")) (limit all (on all) (rate 50/s))')
        path.write_text(f"""(front (number {number}) (seed {number + 1}) (zone west) (listen "127.0.0.1:0")
            (list-service "127.0.0.1:{self.nodes.list_port}"))
            (peers (name {name}) (listen "{host}:{port}") (advertise "{relay}:{relay_port}") (seeds {seeds})
              (key-file "{self.folder}/key") (starts "{self.folder}/{name}.start"))
            {site}""")
        return path

    async def start(self, name: str, full_disk: bool = False) -> None:
        def forbid_file_writes() -> None:
            resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))

        command = [sys.executable, "-m", "oakcroft", "serve", str(self.file(name))]
        process = await trio.lowlevel.open_process(
            command,
            stdout=subprocess.PIPE,
            stderr=(self.folder / f"{name}.log").open("ab"),
            preexec_fn=forbid_file_writes if full_disk else None,
        )
        self.processes[name] = process
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            octets = await process.stdout.receive_some(256)
            assert octets, f"{name} exited before it printed its port"
            line += octets
        self.ports[name] = int(line.split(b":")[-1])

    async def view(self, name: str) -> dict[str, Any]:
        """A front's membership status; empty while it does not answer."""
        peer = HttpClient("127.0.0.1", self.ports[name], connect_timeout_s=0.5)
        try:
            with trio.move_on_after(1):
                headers = [("Authorization", f"Bearer {TOKEN}")]
                response = await peer.request("GET", "/operators/fleet", headers, b"")
                return dict(orjson.loads(response.body))
        except ExchangeError:
            pass
        finally:
            await peer.close()
        return {}

    async def member_states(self, name: str) -> dict[str, str]:
        return {m["name"]: m["standing"] for m in (await self.view(name)).get("members", [])}

    async def settle(self) -> None:
        await self.wait_for_states(self.names, dict.fromkeys(self.names, "alive"))

    async def wait_for_states(self, at: list[str], wanted: dict[str, str], within: float = 10) -> float:
        """Waits until all fronts in `at` report the wanted states; returns the seconds that it took."""
        started_at = trio.current_time()
        seen = dict[str, dict[str, str]]()
        with trio.move_on_after(within):
            while True:
                seen = {name: await self.member_states(name) for name in at}
                if all({name: states.get(name) for name in wanted} == wanted for states in seen.values()):
                    return trio.current_time() - started_at
                await trio.sleep(0.05)
        pytest.fail(f"not {wanted} within {within} s: {seen}")

    def facts(self, *kinds: str) -> list[dict[str, Any]]:
        """Recorded facts of some kinds."""
        self.record.file.flush()
        return [f for f in read_record(self.folder / "fleet.jsonl") if f["kind"] in kinds]

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)


@asynccontextmanager
async def fronts(folder: Path, many: int = 5, kind: type[Fronts] = Fronts) -> AsyncIterator[Fronts]:
    site = SITE_TEMPLATE.replace("EXTRA", "").replace("(fronts 1)", f"(fronts {many})")
    scenario = DAY_TEMPLATE.replace("(fronts west)", f"(fronts{' west' * many})").replace("SITE", site)
    day = parse_day(scenario, "day")
    record = Record(folder / "fleet.jsonl")
    async with trio.open_nursery() as nursery:
        nodes = Fleet(day, record, Clock())
        nodes_up = trio.Event()
        nursery.start_soon(nodes.run, nodes_up)
        await nodes_up.wait()
        rig = kind(folder, many, nodes, record, nursery)
        await nursery.start(rig.network.run)
        try:
            async with trio.open_nursery() as starting:
                for name in rig.names:
                    starting.start_soon(rig.start, name)
            await rig.settle()
            yield rig
        finally:
            with trio.CancelScope(shield=True):
                for process in rig.processes.values():
                    if process.returncode is None:
                        process.kill()
                    await process.wait()
        nursery.cancel_scope.cancel()
    record.close()


def on_fronts(folder: Path, test: Callable[[Fronts], Awaitable[None]]) -> None:
    async def run_test() -> None:
        async with fronts(folder) as rig:
            await test(rig)

    run_async_test(run_test, 90)


def test_a_killed_and_a_paused_process_are_failed_and_then_alive_again(tmp_path: Path) -> None:
    async def test(rig: Fronts) -> None:
        rig.signal("f4", signal.SIGKILL)
        remaining = rig.names[:4]
        assert await rig.wait_for_states(remaining, {"f4": "gone"}) < 8
        await rig.start("f4")
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"))
        assert {m["version"] for m in (await rig.view("f0"))["members"]} == {__version__}
        rig.signal("f3", signal.SIGSTOP)
        others = [name for name in rig.names if name != "f3"]
        await rig.wait_for_states(others, {"f3": "gone"})
        rig.signal("f3", signal.SIGCONT)
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"), within=6)
        view = await rig.view("f3")
        assert view["counts"]["stood_still"] >= 1
        # The paused process suspected no member, so none had to refute.
        assert all(m["incarnation"] == 0 for m in view["members"] if m["name"] != "f3")

    on_fronts(tmp_path, test)


def test_a_partition_heals_and_no_member_fails_by_lossy_links(tmp_path: Path) -> None:
    async def test(rig: Fronts) -> None:
        one = {"f0", "f1"}
        other = {"f2", "f3", "f4"}
        rig.network.cut(one, other)
        rig.network.cut(other, one)
        await rig.wait_for_states(sorted(one), dict.fromkeys(other, "gone"))
        await rig.wait_for_states(sorted(other), dict.fromkeys(one, "gone"))
        rig.network.heal()
        assert await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive")) < 10
        for sender in rig.names:
            for receiver in rig.names:
                link_faults = rig.network.faults_on(sender, receiver)
                link_faults.loss_rate = 0.33
                link_faults.duplicate_rate = 0.2
                link_faults.delay_seconds = (0.0, 0.1)
        rig.network.cut({"f0"}, {"f1"})  # one way only
        passed = rig.network.forwarded_count
        with trio.fail_after(30):
            while rig.network.forwarded_count < passed + 400:  # a number of messages, whatever time they take
                for name in rig.names:
                    assert "gone" not in (await rig.member_states(name)).values()
                await trio.sleep(0.1)
        rig.network.heal()
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"))

    on_fronts(tmp_path, test)


def test_a_front_leaves_and_comes_back_with_a_full_disk(tmp_path: Path) -> None:
    async def test(rig: Fronts) -> None:
        rig.signal("f4", signal.SIGTERM)
        with trio.fail_after(10):
            assert await rig.processes["f4"].wait() == 0
        remaining = rig.names[:4]
        await rig.wait_for_states(remaining, {"f4": "left"})
        start = next(m["start"] for m in (await rig.view("f0"))["members"] if m["name"] == "f4")
        (tmp_path / "f4.start").write_text("torn")
        await rig.start("f4", full_disk=True)
        await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"))
        again = next(m["start"] for m in (await rig.view("f0"))["members"] if m["name"] == "f4")
        assert again > start
        # The file could not be written, and the front works all the same.
        assert (tmp_path / "f4.start").read_text() == "torn"

    on_fronts(tmp_path, test)


def test_unsealed_messages_are_dropped_and_a_key_changes_while_serving(tmp_path: Path) -> None:
    async def test(rig: Fronts) -> None:
        rng = Random(1)
        address = rig.network.front_addresses["f0"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for i in range(4_000):  # 4 MB
                sock.sendto(rng.randbytes(1_024), address)
                if i % 50 == 0:
                    assert await rig.member_states("f1")
                    await trio.sleep(0)
        view = await rig.view("f0")
        assert view["dropped"]["not sealed"] > 1_000
        assert await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive")) < 8
        for key_text in (f"{KEY}\n{OTHER_KEY}", f"{OTHER_KEY}\n{KEY}", OTHER_KEY):
            (tmp_path / "key").write_text(key_text)
            fingerprints = KeyRing(parse_keys(key_text)).fingerprints()
            with trio.fail_after(15):
                for name in rig.names:
                    while (await rig.view(name)).get("keys") != fingerprints:
                        await trio.sleep(0.05)
            await rig.wait_for_states(rig.names, dict.fromkeys(rig.names, "alive"))

    on_fronts(tmp_path, test)


def test_the_configuration_check_finds_peers_that_cannot_be_reached() -> None:
    def errors(peers: str) -> list[str]:
        text = (
            SITE_TEMPLATE.replace("EXTRA", "")
            + f'(front (zone west) (listen "127.0.0.1:80") (list-service "127.0.0.1:1")) (peers {peers})'
        )
        _, problems = check_file("front", lambda _: text)
        return [problem.message for problem in problems.errors]

    good = '(name a) (listen "127.0.0.1:7946") (seeds "127.0.0.1:7947") (key-file "k")'
    assert errors(good) == []
    assert any(
        "names are not looked up" in e for e in errors(good.replace('listen "127.0.0.1', 'listen "host'))
    )
    assert any("cannot reach" in e for e in errors(good.replace('listen "127.0.0.1', 'listen "0.0.0.0')))
    assert any("port 0" in e for e in errors(good.replace("7946", "0")))
    assert any("at the same address" in e for e in errors(good.replace("7946", "80")))
    assert any("lacks key-file" in e for e in errors(good.replace('(key-file "k")', "")))


ZONES = (
    '(zone north (region europe) (seeds "127.0.0.1:7946" "127.0.0.1:7947"))'
    '(zone south (region africa) (seeds "127.0.0.2:7946"))'
)


def zoned(zones: str = ZONES, more: str = "", own: str = "north", peers: bool = True) -> str:
    """Configuration of a front in a fleet of zones."""
    text = (
        SITE_TEMPLATE.replace("EXTRA", "").replace("(wings west)", "(wings north south west)") + zones + more
    )
    text += f'(front (zone {own}) (listen "127.0.0.1:80") (list-service "127.0.0.1:1"))'
    return text + ('(peers (name a) (listen "127.0.0.1:7946") (key-file "k"))' if peers else "")


def test_a_front_in_a_zone_knows_its_seeds_and_the_other_zones() -> None:
    found, problems = check_file("front", lambda _: zoned())
    assert problems.items == []
    assert found is not None
    settings = build_deployment(found).front.peers
    assert settings is not None
    assert settings.region == "europe"
    assert settings.seeds == (("127.0.0.1", 7946), ("127.0.0.1", 7947))
    assert settings.other_zones == (OtherZone("south", "africa", (("127.0.0.2", 7946),)),)


def test_without_zones_the_membership_stays_flat() -> None:
    found, _ = check_file("front", lambda _: zoned(zones=""))
    assert found is not None
    settings = build_deployment(found).front.peers
    assert settings is not None
    assert (settings.region, settings.other_zones) == ("", ())


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (zoned(own="west"), "is not in a listed zone, but in west"),
        (zoned(peers=False), "zones consist of peers, but there is no (peers …)"),
        (zoned(more="(keepers (names a b c))"), "knows only the fronts of its own zone by name"),
        (zoned(zones=ZONES.replace("127.0.0.2", "host")), "names are not looked up"),
        (zoned(zones=ZONES.replace("127.0.0.2:7946", "127.0.0.2:0")), "port 0"),
        (zoned(zones=ZONES.replace("africa", "a" * 40)), "longer than 32 characters"),
        (zoned(zones=ZONES.replace("(region africa)", "")), "lacks region"),
        (
            zoned(more="".join(f'(zone z{i} (region r) (seeds "127.0.0.3:1"))' for i in range(64))),
            "at most 64 are allowed",
        ),
    ],
)
def test_the_configuration_check_rejects_zones_that_cannot_work(text: str, error: str) -> None:
    _, problems = check_file("front", lambda _: text)
    assert any(error in problem.message for problem in problems.errors), [p.message for p in problems.errors]


def test_load_sharing_and_session_takeover_may_be_configured_with_zones() -> None:
    _, problems = check_file("front", lambda _: zoned(more="(probing) (adopting)"))
    assert problems.errors == []


class ZonedFronts(Fronts):
    """Fronts in two zones alternately."""

    ZONES: ClassVar[dict[str, str]] = {"west": "europe", "south": "africa"}

    def zone(self, name: str) -> str:
        return list(self.ZONES)[self.names.index(name) % len(self.ZONES)]

    def file(self, name: str) -> Path:
        path = super().file(name)
        text = path.read_text().replace("(wings west)", "(wings west south)")
        text = text.replace("(zone west)", f"(zone {self.zone(name)})")
        text = re.sub(r'\(seeds "[^)]*\)', "", text)
        for zone, region in self.ZONES.items():
            relays = [self.network.relay_addresses[n] for n in self.names if self.zone(n) == zone]
            seeds = " ".join(f'"{host}:{port}"' for host, port in relays)
            text += f"(zone {zone} (region {region}) (seeds {seeds}))"
        path.write_text(text)
        return path

    async def settle(self) -> None:
        await self.wait_for_zones({"f0": (2, 0), "f1": (2, 0), "f2": (2, 0), "f3": (2, 0)})

    async def wait_for_zones(self, wanted: dict[str, tuple[int, int]], within: float = 40) -> None:
        """Waits until each front sees the other zone as reachable, with these numbers of present and failed members."""
        with trio.move_on_after(within):
            while True:
                views = {name: await self.view(name) for name in wanted}
                seen = {
                    name: [(z["present"], z["failed"]) for z in view.get("zones", ()) if z["reachable"]]
                    for name, view in views.items()
                }
                if seen == {name: [counts] for name, counts in wanted.items()}:
                    return
                await trio.sleep(0.05)
        pytest.fail(f"not {wanted} within {within} s: {seen}")


def test_processes_in_two_zones_see_their_own_members_and_the_counts_of_the_other(tmp_path: Path) -> None:
    async def test() -> None:
        async with fronts(tmp_path, 4, ZonedFronts) as rig:
            assert await rig.member_states("f0") == {"f0": "alive", "f2": "alive"}
            rig.signal("f3", signal.SIGKILL)
            await rig.wait_for_states(["f1"], {"f3": "gone"})
            assert isinstance(rig, ZonedFronts)
            await rig.wait_for_zones({"f0": (1, 1), "f2": (1, 1)})
            assert await rig.member_states("f0") == {"f0": "alive", "f2": "alive"}

    run_async_test(test, 120)


def test_keys_and_seals() -> None:
    assert parse_keys(f"# ours\n{KEY} # old\n\n{OTHER_KEY}") == (bytes.fromhex(KEY), bytes.fromhex(OTHER_KEY))
    for bad in ("", "zz", KEY[:-2], "\n".join([KEY] * 5)):
        with pytest.raises(KeyFileError):
            parse_keys(bad)
    ring = KeyRing(parse_keys(KEY))
    other = KeyRing(parse_keys(OTHER_KEY))
    sealed = ring.seal(b"body")
    assert other.open(sealed, 0) is None
    other.change(parse_keys(f"{OTHER_KEY}\n{KEY}"), 0)
    assert other.open(sealed, 0) == b"body"
    other.change(parse_keys(OTHER_KEY), 1)
    assert other.open(sealed, RETIRED_KEY_LIFETIME) == b"body"
    assert other.open(sealed, RETIRED_KEY_LIFETIME + 2) is None
    assert other.open(b"", 0) is None


def test_malformed_messages_and_other_fleets_and_formats_have_different_drop_reasons() -> None:
    codec = MembershipCodec("one", KeyRing(parse_keys(KEY)))
    codec_of_other_fleet = MembershipCodec("two", KeyRing(parse_keys(KEY)))
    valid = datagram(
        codec, update("a"), MessageKind.PING, 7, MemberId("b", 1), None, [update(f"m{i}") for i in range(40)]
    )
    assert len(valid) <= 1_400
    received = codec.decode(valid, 0)
    assert replace(received, updates=[]) == ReceivedMessage(
        update("a"), MessageKind.PING, 7, MemberId("b", 1), None, []
    )
    assert received.updates
    body = codec.ring.open(valid, 0)
    assert body is not None
    from_other_fleet = datagram(
        codec_of_other_fleet, update("a"), MessageKind.PING, 7, MemberId("b", 1), None, []
    )
    reasons = {
        "not sealed": valid[:-1] + bytes((valid[-1] ^ 1,)),
        "malformed": codec.ring.seal(body[:20]),
        "other form": codec.ring.seal(b"\x09" + body[1:]),
        "other fleet": from_other_fleet,
        "too long": valid + b"x" * 1_400,
    }
    # A host name would have to be resolved.
    with_host_name = datagram(codec, named("a"), MessageKind.PING, 7, MemberId("b", 1), None, [])
    for reason, octets in [*reasons.items(), ("malformed", with_host_name)]:
        with pytest.raises(MessageError, match=reason):
            codec.decode(octets, 0)
    # The next format, with one more field at the end.
    later = codec.ring.seal(b"\x02" + b"\x9a" + body[2:] + b"\x00")
    assert codec.decode(later, 0).sender == update("a")


def test_octets_are_those_of_earlier_releases() -> None:
    """Fronts of this and of earlier releases can form one fleet."""
    codec = MembershipCodec("one", KeyRing((b"k" * 32,)))
    sender = MemberUpdate("a", 7, 2, MemberState.ALIVE, "127.0.0.1", 9000, "west", "1.0", b"p" * 16)
    failed = MemberUpdate("b", 8, 0, MemberState.FAILED, "127.0.0.2", 9001, "east", "1.0", b"q" * 16, "a")
    target = ProbeTarget("b", 8, ("127.0.0.2", 9001))
    octets = datagram(codec, sender, MessageKind.PING_REQUEST, 77, MemberId("c", 9), target, [failed])
    assert octets == bytes.fromhex(
        "a8388490e7a2c5c1c9c7600657ae31eb0199a36f6e659aa161070200a93132372e302e302e31cd2328a477657374a3312e30"
        "c41070707070707070707070707070707070a0034da1630994a16208a93132372e302e302e32cd2329919aa162080002a931"
        "32372e302e302e32cd2329a465617374a3312e30c41071717171717171717171717171717171a161c2"
    )
    full_state = write_full_state(codec, [sender, *[failed] * 100])
    assert (
        sha256(full_state).hexdigest() == "56d0289a936365b88b83abec225d8560bd6ead04d9e771bede7036cb02945f5a"
    )


def test_a_full_state_is_decoded_from_pieces_of_any_size() -> None:
    codec = MembershipCodec("one", KeyRing(parse_keys(KEY)))
    updates = [update(f"m{i}") for i in range(250)]
    octets = write_full_state(codec, updates)
    for piece_size in (1, 7, 1_000, len(octets)):
        reader = FullStateReader(codec)
        for i in range(0, len(octets), piece_size):
            reader.receive_data(octets[i : i + piece_size], 0)
        assert reader.done
        assert [reader.sender, *reader.updates] == updates
    with pytest.raises(MessageError, match="too long"):
        FullStateReader(codec).receive_data(b"\xff\xff", 0)
    with pytest.raises(MessageError, match="not sealed"):
        FullStateReader(codec).receive_data(b"\x00\x40" + os.urandom(64), 0)
    assert update("a", ALIVE).proof != SECRET


def test_an_exception_in_the_peer_endpoint_stops_neither_the_front_nor_its_membership(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_endpoint, "RESTART_DELAY_S", 0.01)
    (tmp_path / "key").write_text(KEY)
    address = next_loopback_address()
    settings = PeerSettings("a", address, address, (), str(tmp_path / "key"), "one", "")
    log = io.BytesIO()
    codec = MembershipCodec("one", KeyRing(parse_keys(KEY)))

    async def test() -> None:
        logger = structlog.wrap_logger(
            structlog.BytesLogger(log),
            processors=[structlog.processors.JSONRenderer(serializer=orjson.dumps)],
        )
        endpoint = peer_endpoint.PeerEndpoint(settings, "w", 1, Clock(), logger)
        membership = endpoint.membership
        has_failed = False

        def fail_once(_: Membership) -> None:
            nonlocal has_failed
            if not has_failed:
                has_failed = True
                raise RuntimeError("planted")

        endpoint.on_change = fail_once
        async with trio.open_nursery() as nursery:
            await nursery.start(endpoint.run)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for i in range(400):
                    ping = datagram(codec, update("b"), MessageKind.PING, i, ANYONE, None, [])
                    sock.sendto(ping, settings.listen)
                    if membership.state_of("b") is ALIVE:
                        break
                    await trio.sleep(0.01)
            assert membership.state_of("b") is ALIVE
            nursery.cancel_scope.cancel()

    run_async_test(test, 20)
    assert b"planted" in log.getvalue()


def test_false_updates_by_a_member_that_holds_the_key_break_no_rule(tmp_path: Path) -> None:
    """The member floods a front with updates that others failed, left or restarted, and that the front is another."""
    (tmp_path / "key").write_text(KEY)
    address = next_loopback_address()
    peers = f'(peers (name a) (listen "{address[0]}:{address[1]}") (key-file "{tmp_path}/key"))'
    extra = f"{peers} (limit all (on all) (rate 500/s))"
    codec = MembershipCodec("oakcroft", KeyRing(parse_keys(KEY)))
    rng = Random(1)
    names = ["a", *(f"x{i}" for i in range(50))]
    kinds = [MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQUEST, MessageKind.GOSSIP]
    paths = ("/whep/course/t", "/whep/open/t", "/whep/seats/t")

    def random_update() -> MemberUpdate:
        name = rng.choice(names)
        state = rng.choice(list(MemberState))
        return update(name, state, rng.randrange(1 << 39), rng.randrange(1, 1 << 55), "liar")

    def false_datagram() -> bytes:
        updates = [random_update() for _ in range(12)]
        kind = rng.choice(kinds)
        target = ProbeTarget("x1", 1, ("127.0.74.2", 9)) if kind is MessageKind.PING_REQUEST else None
        return datagram(
            codec, update("liar"), kind, rng.randrange(1 << 40), MemberId("a", 0), target, updates
        )

    async def test() -> None:
        async with running_front_end(tmp_path, extra=extra) as rig, trio.open_nursery() as nursery:
            sent_count = 0

            async def send_false_updates() -> None:
                nonlocal sent_count
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                    while True:
                        sock.sendto(false_datagram(), address)
                        sent_count += 1
                        await trio.sleep(0.001)

            nursery.start_soon(send_false_updates)
            for i in range(60):
                answer = await nursery.start(rig.recorded_viewer, f"k{i}", paths[i % 3])
                assert answer is None
                await trio.sleep(0.01)
            requested = {f["key"] for f in rig.recorded("ask")}
            await wait_until(lambda: {f["key"] for f in rig.recorded("got")} == requested)
            assert sent_count > 100
            assert [f for f in rig.recorded("got") if f["status"] == 201]
            assert rig.rule_breaches() == {}, rig.rule_breaches()
            nursery.cancel_scope.cancel()

    run_async_test(test, 40)
