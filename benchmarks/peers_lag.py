"""What a fleet's talk costs the answers of one front: set-ups through it with peers off, on, and while they come and go.

    python -m benchmarks.peers_lag [--peers 199] [--rate 100] [--seconds 20] [--rounds 2]

The peers are this program's own tasks, each with its sockets, in one process beside the front, on addresses of
127.75.0.0/16. In the last case seven in ten of them end at once every eight seconds, and start again two seconds later.
Set-ups come open-loop, each measured from the time at which it was due; the cases take turns, `rounds` times.
"""

from __future__ import annotations

import argparse
import os
import platform
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

import orjson
import structlog
import trio
from hdrh.histogram import HdrHistogram

from benchmarks.front_cost import SITE, WARM, Load, Process, day, line
from oakcroft.config.settings import PeerSettings
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.running.clock import Clock

PORT, KEY = 7946, "5a" * 32
CASES = ("off", "on", "coming and going")
EVERY, AWAY, PART = 8.0, 2.0, 0.7


def address(number: int) -> tuple[str, int]:
    """Where the so-many-th peer listens; 0 is the front."""
    return f"127.75.{number // 250}.{number % 250 + 1}", PORT


async def talk(many: int, key_file: str, churn: bool) -> None:
    """So many peers, until the process is ended."""
    log = structlog.wrap_logger(
        structlog.ReturnLogger(), processors=[], wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    place = PeerSettings("", address(0), address(0), (address(0), address(1)), key_file, "oakcroft", "")
    rng = Random(1)

    async def one(number: int, scope: trio.CancelScope) -> None:
        with scope:
            at = address(number)
            peers = PeerEndpoint(
                replace(place, name=f"peer{number:03}", listen=at, advertise=at), "west", number, Clock(), log
            )
            await peers.run()

    async with trio.open_nursery() as nursery:
        scopes = {n: trio.CancelScope() for n in range(1, many + 1)}
        for number, scope in scopes.items():
            nursery.start_soon(one, number, scope)
        print("talking", flush=True)
        while True:
            await trio.sleep(EVERY)
            if churn:
                some = rng.sample(sorted(scopes), round(PART * many))
                for number in some:
                    scopes[number].cancel()
                await trio.sleep(AWAY)
                for number in some:
                    scopes[number] = trio.CancelScope()
                    nursery.start_soon(one, number, scopes[number])


async def case(what: str, peers: int, rate: float, seconds: float, found: HdrHistogram) -> str:
    """One case; its answers' times go into `found`."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "day.oak").write_text(day(20))
        (folder / "key").write_text(KEY)
        fleet = Process("stand-in", str(folder / "day.oak"), "--seed", "1", "--start", str(1 << 62),
                        "--record", str(folder / "record"))  # fmt: skip
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        host, port = address(0)
        form = f'(peers (name front) (listen "{host}:{port}") (seeds "{address(1)[0]}:{PORT}") (key-file "{folder}/key"))'
        (folder / "front.oak").write_text(
            f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"))\n{SITE.format(nodes=20)}'
            + ("" if what == "off" else form)
        )
        front, talker = Process("serve", str(folder / "front.oak")), Process()
        own = int((await front.start(folder / "front.log")).split(b":")[-1])
        try:
            if what != "off":
                talker.command = [sys.executable, "-m", "benchmarks.peers_lag", "--talk", str(folder / "key"),
                                  "--peers", str(peers), *(["--churn"] if what == CASES[2] else [])]  # fmt: skip
                await talker.start(folder / "talk.log")
            load = Load(own, greeting["nodes"])
            await trio.sleep(WARM + 8)  # all have met
            load.failed, cpu, began = 0, front.cpu(), trio.current_time()
            await load.timed(rate, seconds, False, found)
            used = (front.cpu() - cpu) / (trio.current_time() - began)
            return f"front {used:.0%} of a core, failed {load.failed}"
        finally:
            await front.stop()
            await talker.stop()
            await fleet.stop()


async def measure(peers: int, rate: float, seconds: float, rounds: int) -> None:
    """All cases in turn."""
    found = {what: HdrHistogram(1, 60_000_000, 3) for what in CASES}
    for _ in range(rounds):
        for what in CASES:
            said = await case(what, peers, rate, seconds, found[what])
            print(f"  {what}: {said}", flush=True)
    for what, times in found.items():
        most = times.get_max_value() / 1000
        print(
            f"peers {what:16}  answers in ms  {line(times)}  most {most:7.2f}  of {times.get_total_count()}"
        )


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--peers", type=int, default=199)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--talk", default="", help=argparse.SUPPRESS)
    parser.add_argument("--churn", action="store_true", help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.talk:
        trio.run(talk, given.peers, given.talk, given.churn)
        return
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; {given.peers} peers"
    )
    trio.run(measure, given.peers, given.rate, given.seconds, given.rounds)


if __name__ == "__main__":
    main()
