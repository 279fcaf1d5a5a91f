"""What one front adds to a set-up, against asking the stand-in directly, in one run.

    python -m benchmarks.front_cost [--open 100 1000 10000] [--nodes 10 100 200] [--rate 150]

For each number of open playbacks and of nodes: set-ups come open-loop at the given rate, each measured from the
time at which it was due, half of them directly to a node and half through the front. Then the rate is raised until the
front answers no more (its set-ups a second). Memory is the front's resident size.
"""

from __future__ import annotations

import argparse
import os
import platform
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

import orjson
import trio
from hdrh.histogram import HdrHistogram

from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp

SITE = """(fleet (fronts 1) (cells {nodes}) (racks 4) (copies 6)
    (cold-for 200ms) (fall-multiple 90) (fall-window 1s) (reports-every 2s) (seen-after 500ms))
  (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
  (plan open (effect free) (startup-target 1s) (abandon 5s) (revenue 1))
  (route open (path "/whep/open/") (plan open))"""
WARM = 7.0


def day(nodes: int) -> str:
    """A fleet with room for all."""
    lines = "".join(
        f"(node n{i} (wing a) (cell {i}) (link 100000000kB/s) (places 100000))\n" for i in range(nodes)
    )
    return (
        f"(day (length 1h) (fronts a) (setup 1ms 1ms) (late 0ms 0ms) (site {SITE.format(nodes=nodes)})\n{lines}"
        "(viewers (rate 1/s) (titles 1) (plan open (share 1) (life 1s))))"
    )


class Process:
    """A child process with one line of greeting."""

    def __init__(self, *arguments: str) -> None:
        self.command = [sys.executable, "-m", "oakcroft", *arguments]
        self.child: trio.Process | None = None

    async def start(self, log: Path) -> bytes:
        """Its first line."""
        self.child = await trio.lowlevel.open_process(
            self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=log.open("wb"),
        )  # fmt: skip
        assert self.child.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            chunk = await self.child.stdout.receive_some(1)
            if not chunk:
                raise RuntimeError(log.read_text()[-1000:])
            line += chunk
        return line

    async def stop(self) -> None:
        """Ends it."""
        if self.child is not None:
            self.child.kill()
            await self.child.wait()

    def memory(self) -> int:
        """Resident size in bytes."""
        assert self.child is not None
        pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def cpu(self) -> float:
        """Seconds of processor time so far."""
        assert self.child is not None
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Load:
    """Set-ups to a front and directly to nodes."""

    def __init__(self, front: int, nodes: list[int]) -> None:
        self.front = HttpClient("127.0.0.1", front, max_concurrent=400, max_idle=400)
        self.nodes = [HttpClient("127.0.0.1", port, max_concurrent=100, max_idle=8) for port in nodes]
        self.rng, self.number = Random(7), 0
        self.body = offer(20_000, 1).encode()
        self.failed = 0

    async def set_up(self, peer: HttpClient, direct: bool, end: bool) -> bool:
        """One playback, ended at once if so wished."""
        self.number += 1
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(f"b{self.number}")),
        ]
        if direct:
            headers.append(("Via", "1.1 direct"))
        try:
            path = f"/whep/open/t{self.rng.randrange(50)}"
            response = await peer.request("POST", path, headers, self.body)
            if response.status != 201:
                self.failed += 1
                return False
            if end:
                await peer.request("DELETE", response.header("location") or "", [], b"")
        except ExchangeError:
            self.failed += 1
            return False
        return True

    async def timed(self, rate: float, seconds: float, direct: bool, found: HdrHistogram) -> None:
        """Open-loop: each is measured from the time at which it was due."""
        start, due = trio.current_time(), 0.0

        async def one(at: float) -> None:
            peer = self.rng.choice(self.nodes) if direct else self.front
            self.number += 1
            key = [
                ("Content-Type", sdp.MEDIA_TYPE),
                ("Idempotency-Key", http_formats.quoted_string(f"b{self.number}")),
            ]
            try:
                path = f"/whep/open/t{self.rng.randrange(50)}"
                response = await peer.request(
                    "POST", path, key + ([("Via", "1.1 direct")] if direct else []), self.body
                )
                found.record_value(round((trio.current_time() - at) * 1e6))
                if response.status == 201:
                    await peer.request("DELETE", response.header("location") or "", [], b"")
                else:
                    self.failed += 1
            except ExchangeError:
                self.failed += 1

        async with trio.open_nursery() as nursery:
            while due < seconds:
                await trio.sleep_until(start + due)
                nursery.start_soon(one, start + due)
                due += self.rng.expovariate(rate)

    async def most(self, workers: int, seconds: float) -> float:
        """Set-ups a second, with so many at once."""
        done, until = 0, trio.current_time() + seconds

        async def work() -> None:
            nonlocal done
            while trio.current_time() < until:
                if await self.set_up(self.front, False, False):
                    done += 1

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(workers):
                nursery.start_soon(work)
        return done / (trio.current_time() - began)


async def fill(load: Load, count: int) -> None:
    """Opens so many playbacks through the front."""

    async def some(n: int) -> None:
        for _ in range(n):
            while not await load.set_up(load.front, False, False):
                await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for i in range(20):
            nursery.start_soon(some, count // 20 + (i < count % 20))


def line(found: HdrHistogram) -> str:
    """Percentiles in ms."""
    return "  ".join(f"p{p:g} {found.get_value_at_percentile(p) / 1000:7.2f}" for p in (50, 99, 99.9))


async def measure(nodes: int, opens: list[int], rate: float, seconds: float) -> None:
    """One fleet, one front, growing numbers of open playbacks."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "day.oak").write_text(day(nodes))
        fleet = Process("stand-in", str(folder / "day.oak"), "--seed", "1", "--start", str(1 << 62),
                        "--record", str(folder / "record"))  # fmt: skip
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        (folder / "front.oak").write_text(
            f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"))\n{SITE.format(nodes=nodes)}'
        )
        front = Process("serve", str(folder / "front.oak"))
        port = int((await front.start(folder / "front.log")).split(b":")[-1])
        try:
            load = Load(port, greeting["nodes"])
            await trio.sleep(WARM)
            opened, base = 0, front.memory()
            for count in opens:
                await fill(load, count - opened)
                opened = count
                await trio.sleep(1.0)
                load.failed = 0
                direct, through = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
                cpu, began = front.cpu(), trio.current_time()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(load.timed, rate / 2, seconds, True, direct)
                    nursery.start_soon(load.timed, rate / 2, seconds, False, through)
                used = (front.cpu() - cpu) / (trio.current_time() - began)
                added = (through.get_value_at_percentile(50) - direct.get_value_at_percentile(50)) / 1000
                memory = front.memory() - base
                print(f"{nodes:4} nodes {count:6} open  direct {line(direct)}  through {line(through)}")
                print(
                    f"    added p50 {added:.2f}, front {used * 100:.0f}% of a core, {memory / 1e6:.0f} MB over its start "
                    f"({memory / max(1, count) / 1000:.1f} kB each), failed {load.failed}",
                    flush=True,
                )
            print(f"{nodes:4} nodes  most {await load.most(32, 5):.0f} set-ups a second", flush=True)
        finally:
            await front.stop()
            await fleet.stop()


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--open", type=int, nargs="+", default=[100, 1000, 10_000])
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 100, 200])
    parser.add_argument("--rate", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=10)
    given = parser.parse_args()
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; times in ms")
    for i, nodes in enumerate(given.nodes):
        trio.run(measure, nodes, given.open if not i else given.open[:2], given.rate, given.seconds)


if __name__ == "__main__":
    main()
