"""What the configuration costs: checking it, finding a route, and changing it while a front serves.

    python -m benchmarks.config_cost [--routes 10 1000 10000]

Check and look-up are timed in this process. The reload runs a front and a node in one event loop, as the tests do, with
requests open-loop at a fixed rate, first alone and then with a change every 100 ms, in one run.
"""

from __future__ import annotations

import argparse
import os
import platform
import tempfile
import time
from pathlib import Path

import trio
from hdrh.histogram import HdrHistogram

from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.decisions.routing.route_table import RouteRequest, ClientRole
from oakcroft.front.front_end import FrontEnd

BASE = """(front (number 0) (zone west) (listen "127.0.0.1:0") (list-service "127.0.0.1:1"))
(fleet (fronts 4) (wings west east) (cells 12) (racks 3))
(ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
(plan course (effect paid) (startup-target 1s) (abandon 5s) (revenue 2))
"""


def text(routes: int) -> str:
    """A configuration with so many routes, under fifty paths."""
    lines = [
        f'(route r{i} (path "/p{i % 50}/") (titles "lesson-{i}" "live-{i}-*") (plan course))'
        for i in range(routes)
    ]
    return BASE + "\n".join(lines)


def timed(some: int) -> None:
    """Check and look-up at one size."""
    body = text(some)
    began = time.perf_counter()
    found, problems = check_file("f", lambda _: body)
    took = time.perf_counter() - began
    assert found is not None, [problems.format(p) for p in problems.errors[:3]]
    began = time.perf_counter()
    site = build_deployment(found).shared
    compiled = time.perf_counter() - began
    asks = [RouteRequest(ClientRole.WATCH, f"/p{i % 50}/live-{i}-x", "west", {}) for i in range(some)][:1000]
    began, rounds = time.perf_counter(), max(1, 20_000 // len(asks))
    for _ in range(rounds):
        for asked in asks:
            site.route_table.find(asked)
    each = (time.perf_counter() - began) / rounds / len(asks)
    figures = f"check {took * 1000:8.1f} ms, compile {compiled * 1000:7.1f} ms, look-up {each * 1e6:5.2f} us"
    print(f"{some:6} routes: {figures}")


async def reloads() -> None:
    """Answers with and without changes beside them."""
    import sys

    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    from rig import running_front_end  # type: ignore[import-not-found,unused-ignore]
    from test_versions import version, own  # type: ignore[import-not-found,unused-ignore]

    with tempfile.TemporaryDirectory() as name:
        async with running_front_end(Path(name)) as rig:
            front = rig.front_end
            assert isinstance(front, FrontEnd)
            versions = [version(i, own(rig)) for i in range(6)]

            async def load(found: HdrHistogram, seconds: float) -> None:
                start = trio.current_time()

                async def one(at: float, number: int) -> None:
                    sat = await rig.request_playback(f"/whep/open/t{number % 5}")
                    found.record_value(round((trio.current_time() - at) * 1e6))
                    if sat.status == 201:
                        await rig.request("DELETE", sat.header("location") or "")

                async with trio.open_nursery() as nursery:
                    for i in range(int(seconds * 60)):
                        await trio.sleep_until(start + i / 60)
                        nursery.start_soon(one, start + i / 60, i)

            quiet, busy = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
            await load(quiet, 8)
            async with trio.open_nursery() as nursery:

                async def change() -> None:
                    for i in range(1, 10_000):
                        await front.apply_configuration(i, versions[i % 6])
                        await trio.sleep(0.1)

                nursery.start_soon(change)
                await load(busy, 8)
                nursery.cancel_scope.cancel()
            for what, found in (("no change", quiet), ("a change every 100 ms", busy)):
                figures = "  ".join(
                    f"p{p:g} {found.get_value_at_percentile(p) / 1000:.2f}" for p in (50, 99, 99.9)
                )
                print(f"answers with {what}: {figures} ms")


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routes", type=int, nargs="+", default=[10, 1000, 10_000])
    given = parser.parse_args()
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}")
    timed(10)  # the parser's tables are made once a process
    for some in given.routes:
        timed(some)
    trio.run(reloads)


if __name__ == "__main__":
    main()
