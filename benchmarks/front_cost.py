"""Measures what one front adds to a set-up, compared with requests sent to a stand-in node directly, in one run.

    python -m benchmarks.front_cost [--open 100 1000 10000] [--nodes 10 100 200] [--rate 150]

For each number of open playbacks and of nodes, set-ups are sent open-loop at the given rate, each measured from the
time at which it was due; half go directly to a node and half through the front. Then the front's maximum rate is
measured with concurrent requests. Memory is the front's resident size.
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
from oakcroft.httpwire.message import Response
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import http_formats, sdp

SITE = """(fleet (fronts 1) (cells {nodes}) (racks 4) (copies 6)
    (cold-for 200ms) (fall-multiple 90) (fall-window 1s) (reports-every 2s) (seen-after 500ms))
  (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
  (plan open (effect free) (startup-target 1s) (abandon 5s) (revenue 1))
  (route open (path "/whep/open/") (plan open))"""
WARM_UP_S = 7.0
"""A front takes all nodes for cold in the first 6 s after its start."""
MAX_LATENCY_US = 60_000_000
TITLE_COUNT = 50


def day_text(nodes: int) -> str:
    """Returns a stand-in day whose nodes have room for all playbacks."""
    lines = "".join(
        f"(node n{i} (wing a) (cell {i}) (link 100000000kB/s) (places 100000))\n" for i in range(nodes)
    )
    return (
        f"(day (length 1h) (fronts a) (setup 1ms 1ms) (late 0ms 0ms) (site {SITE.format(nodes=nodes)})\n{lines}"
        "(viewers (rate 1/s) (titles 1) (plan open (share 1) (life 1s))))"
    )


class Process:
    """A child process that prints one line when it is ready."""

    def __init__(self, *arguments: str) -> None:
        """Sets the arguments of `python -m oakcroft`; the process is not started yet."""
        self.command = [sys.executable, "-m", "oakcroft", *arguments]
        self.child: trio.Process | None = None

    async def start(self, log: Path) -> bytes:
        """Starts the process and returns its first line of output."""
        self.child = await trio.lowlevel.open_process(
            self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log.open("wb")
        )
        assert self.child.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            chunk = await self.child.stdout.receive_some(1)
            if not chunk:
                raise RuntimeError(log.read_text()[-1000:])
            line += chunk
        return line

    async def stop(self) -> None:
        """Kills the process, if it was started."""
        if self.child is not None:
            self.child.kill()
            await self.child.wait()

    def resident_bytes(self) -> int:
        """Returns the resident size."""
        assert self.child is not None
        pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def processor_seconds(self) -> float:
        """Returns the processor time used so far."""
        assert self.child is not None
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def new_latencies() -> HdrHistogram:
    """Returns a histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def record_latency(latencies: HdrHistogram, due_at: float) -> None:
    """Adds the time since a request was due."""
    latencies.record_value(round((trio.current_time() - due_at) * 1e6))


class LoadGenerator:
    """Sends set-ups to a front and directly to nodes."""

    def __init__(self, front_port: int, node_ports: list[int]) -> None:
        """Creates clients, which connect when they are used."""
        self.front = HttpClient("127.0.0.1", front_port, max_concurrent=400, max_idle=400)
        self.nodes = [HttpClient("127.0.0.1", port, max_concurrent=100, max_idle=8) for port in node_ports]
        self.rng = Random(7)
        self.request_count = 0
        self.failed_count = 0
        self.offer = offer(20_000, 1).encode()

    async def request_playback(self, client: HttpClient, direct: bool) -> Response:
        """Requests a playback of a random title under a key of its own."""
        self.request_count += 1
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Idempotency-Key", http_formats.quoted_string(f"b{self.request_count}")),
        ]
        if direct:
            headers.append(("Via", "1.1 direct"))
        path = f"/whep/open/t{self.rng.randrange(TITLE_COUNT)}"
        return await client.request("POST", path, headers, self.offer)

    async def open_playback(self) -> bool:
        """Sets up one playback through the front, which stays open; returns whether it was set up."""
        try:
            response = await self.request_playback(self.front, direct=False)
        except ExchangeError:
            self.failed_count += 1
            return False
        if response.status != 201:
            self.failed_count += 1
            return False
        return True

    async def run_open_loop(self, rate: float, seconds: float, direct: bool, latencies: HdrHistogram) -> None:
        """Sends set-ups open-loop, each measured from the time at which it was due, and ends the playbacks at once."""

        async def play_once(due_at: float) -> None:
            client = self.rng.choice(self.nodes) if direct else self.front
            try:
                response = await self.request_playback(client, direct)
                record_latency(latencies, due_at)
                if response.status == 201:
                    await client.request("DELETE", response.header("location") or "", [], b"")
                else:
                    self.failed_count += 1
            except ExchangeError:
                self.failed_count += 1

        start = trio.current_time()
        due = 0.0
        async with trio.open_nursery() as nursery:
            while due < seconds:
                await trio.sleep_until(start + due)
                nursery.start_soon(play_once, start + due)
                due += self.rng.expovariate(rate)

    async def measure_max_rate(self, workers: int, seconds: float) -> float:
        """Returns the set-ups per second when each worker sends its next request after the answer to the last."""
        setup_count = 0
        ends_at = trio.current_time() + seconds

        async def work() -> None:
            nonlocal setup_count
            while trio.current_time() < ends_at:
                if await self.open_playback():
                    setup_count += 1

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(workers):
                nursery.start_soon(work)
        return setup_count / (trio.current_time() - began)


async def open_playbacks(load: LoadGenerator, count: int, workers: int = 20) -> None:
    """Opens this number of playbacks through the front."""

    async def work(share: int) -> None:
        for _ in range(share):
            while not await load.open_playback():
                await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for i in range(workers):
            nursery.start_soon(work, count // workers + (i < count % workers))


def format_percentiles(latencies: HdrHistogram) -> str:
    """Returns percentiles in milliseconds."""
    return "  ".join(f"p{p:g} {latencies.get_value_at_percentile(p) / 1000:7.2f}" for p in (50, 99, 99.9))


def stand_in_process(folder: Path, day: str) -> Process:
    """Writes the day to a file and returns the process that plays its nodes, not started yet."""
    (folder / "day.oak").write_text(day)
    return Process(
        "stand-in",
        str(folder / "day.oak"),
        "--seed",
        "1",
        "--start",
        str(1 << 62),
        "--record",
        str(folder / "record"),
    )


async def start_front(front: Process, log: Path) -> int:
    """Starts a front and returns the port on which it listens."""
    return int((await front.start(log)).split(b":")[-1])


async def measure(nodes: int, open_counts: list[int], rate: float, seconds: float) -> None:
    """Measures one front of a fleet with growing numbers of open playbacks."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        fleet = stand_in_process(folder, day_text(nodes))
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        (folder / "front.oak").write_text(
            f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"))\n{SITE.format(nodes=nodes)}'
        )
        front = Process("serve", str(folder / "front.oak"))
        port = await start_front(front, folder / "front.log")
        try:
            load = LoadGenerator(port, greeting["nodes"])
            await trio.sleep(WARM_UP_S)
            opened = 0
            initial_bytes = front.resident_bytes()
            for count in open_counts:
                await open_playbacks(load, count - opened)
                opened = count
                await trio.sleep(1.0)
                load.failed_count = 0
                direct = new_latencies()
                through = new_latencies()
                processor_before = front.processor_seconds()
                began = trio.current_time()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(load.run_open_loop, rate / 2, seconds, True, direct)
                    nursery.start_soon(load.run_open_loop, rate / 2, seconds, False, through)
                core_share = (front.processor_seconds() - processor_before) / (trio.current_time() - began)
                added_ms = (through.get_value_at_percentile(50) - direct.get_value_at_percentile(50)) / 1000
                memory = front.resident_bytes() - initial_bytes
                print(
                    f"{nodes:4} nodes {count:6} open  direct {format_percentiles(direct)}  "
                    f"through {format_percentiles(through)}"
                )
                print(
                    f"    added p50 {added_ms:.2f}, front {core_share * 100:.0f}% of a core, "
                    f"{memory / 1e6:.0f} MB over its start "
                    f"({memory / max(1, count) / 1000:.1f} kB each), failed {load.failed_count}",
                    flush=True,
                )
            max_rate = await load.measure_max_rate(32, 5)
            print(f"{nodes:4} nodes  most {max_rate:.0f} set-ups a second", flush=True)
        finally:
            await front.stop()
            await fleet.stop()


def main() -> None:
    """Parses the arguments and runs the benchmark for each number of nodes."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--open", type=int, nargs="+", default=[100, 1000, 10_000])
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 100, 200])
    parser.add_argument("--rate", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; times in ms")
    for i, nodes in enumerate(arguments.nodes):
        open_counts = arguments.open if i == 0 else arguments.open[:2]
        trio.run(measure, nodes, open_counts, arguments.rate, arguments.seconds)


if __name__ == "__main__":
    main()
