"""Measures the cost of the configuration: checking it, finding a route, and changing it while a front serves.

    python -m benchmarks.config_cost [--routes 10 1000 10000]

Check and lookup are timed in this process. For changes, a front and a node run in one event loop, as in the tests, with
requests sent open-loop at a fixed rate, first without changes and then with a change every 100 ms, in one run.
"""

from __future__ import annotations

import argparse
import tempfile
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import trio
from hdrh.histogram import HdrHistogram

from benchmarks.load_generator import PERCENTILES, new_latencies, record_latency
from benchmarks.results import describe_machine
from oakcroft.config.pipeline import check_file, build_deployment
from oakcroft.decisions.routing.route_table import RouteRequest, ClientRole
from oakcroft.front.front_end import FrontEnd

BASE_TEXT = """(front (number 0) (zone west) (listen "127.0.0.1:0") (list-service "127.0.0.1:1"))
(fleet (fronts 4) (wings west east) (cells 12) (racks 3))
(ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
(plan course (effect paid) (startup-target 1s) (abandon 5s) (revenue 2))
"""
PATH_COUNT = 50
MAX_DIFFERENT_REQUESTS = 1000
LOOKUP_COUNT = 20_000
REQUESTS_PER_SECOND = 60
MEASURED_S = 8
CHANGE_INTERVAL_S = 0.1


def configuration_text(route_count: int) -> str:
    """Returns a configuration with this number of routes, spread over the paths."""
    lines = [
        f'(route r{i} (path "/p{i % PATH_COUNT}/") (titles "lesson-{i}" "live-{i}-*") (plan course))'
        for i in range(route_count)
    ]
    return BASE_TEXT + "\n".join(lines)


def measure_size(route_count: int) -> None:
    """Measures check, compilation and lookup with this number of routes."""
    text = configuration_text(route_count)
    began = time.perf_counter()
    configuration, problems = check_file("f", lambda _: text)
    check_s = time.perf_counter() - began
    assert configuration is not None, [problems.format(problem) for problem in problems.errors[:3]]
    began = time.perf_counter()
    site = build_deployment(configuration).shared
    compile_s = time.perf_counter() - began
    requests = [
        RouteRequest(ClientRole.WATCH, f"/p{i % PATH_COUNT}/live-{i}-x", "west", {})
        for i in range(min(route_count, MAX_DIFFERENT_REQUESTS))
    ]
    rounds = max(1, LOOKUP_COUNT // len(requests))
    began = time.perf_counter()
    for _ in range(rounds):
        for request in requests:
            site.route_table.find(request)
    lookup_s = (time.perf_counter() - began) / rounds / len(requests)
    print(
        f"{route_count:6} routes: check {check_s * 1000:8.1f} ms, compile {compile_s * 1000:7.1f} ms, "
        f"look-up {lookup_s * 1e6:5.2f} us"
    )


async def send_requests(rig: Any, latencies: HdrHistogram) -> None:
    """Sends requests open-loop to the front of a test rig and ends each playback that was set up."""
    start = trio.current_time()

    async def play_once(due_at: float, number: int) -> None:
        """Requests a playback and ends it once it was set up."""
        response = await rig.request_playback(f"/whep/open/t{number % 5}")
        record_latency(latencies, due_at)
        if response.status == HTTPStatus.CREATED:
            await rig.request("DELETE", response.header("location") or "")

    async with trio.open_nursery() as nursery:
        for i in range(MEASURED_S * REQUESTS_PER_SECOND):
            due_at = start + i / REQUESTS_PER_SECOND
            await trio.sleep_until(due_at)
            nursery.start_soon(play_once, due_at, i)


async def change_configuration(front: FrontEnd, versions: list[Any]) -> None:
    """Applies the versions of a configuration in turn, until it is cancelled."""
    for number in range(1, 10_000):
        await front.apply_configuration(number, versions[number % len(versions)])
        await trio.sleep(CHANGE_INTERVAL_S)


async def measure_changes() -> None:
    """Measures answers with and without configuration changes at the same time."""
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    from rig import running_front_end  # type: ignore[import-not-found,unused-ignore]
    from test_configuration_reload import build_version, front_form  # type: ignore[import-not-found,unused-ignore]

    with tempfile.TemporaryDirectory() as name:
        async with running_front_end(Path(name)) as rig:
            front = rig.front_end
            assert isinstance(front, FrontEnd)
            versions = [build_version(i, front_form(rig)) for i in range(6)]

            without_changes = new_latencies()
            with_changes = new_latencies()
            await send_requests(rig, without_changes)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change_configuration, front, versions)
                await send_requests(rig, with_changes)
                nursery.cancel_scope.cancel()
            for case, latencies in (("no change", without_changes), ("a change every 100 ms", with_changes)):
                percentiles = "  ".join(
                    f"p{percentile:g} {latencies.get_value_at_percentile(percentile) / 1000:.2f}"
                    for percentile in PERCENTILES
                )
                print(f"answers with {case}: {percentiles} ms")


def main() -> None:
    """Parses the arguments and runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routes", type=int, nargs="+", default=[10, 1000, 10_000])
    arguments = parser.parse_args()
    print(describe_machine())
    measure_size(10)  # the parser's tables are built once per process
    for route_count in arguments.routes:
        measure_size(route_count)
    trio.run(measure_changes)


if __name__ == "__main__":
    main()
