"""Measures a front at 2, 5 and 10 times its capacity: the revenue that is answered within the startup target.

Compares the fair queue before the decision module with first come, first served.

    python -m benchmarks.overload [--capacity 200] [--times 2 5 10]

The fleet is three processes of ten nodes each behind one joined node list, so that the front is the bottleneck; the share
of a core that the front and each of these processes used is printed. Four load processes send requests open-loop over
persistent connections; a third of the requests are for a plan with nine times the revenue. An answer counts if a 201
comes within the startup target (1 s) after its request was due.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from random import Random

import orjson
import trio

from benchmarks.child_processes import SITE, WARM_UP_S, Process, day_text, start_front
from benchmarks.results import describe_machine
from oakcroft.decisions.admission.connection_limits import ConnectionLimits, ConnectionTable
from oakcroft.running.clock import Clock
from oakcroft.front.node_list_client import DISCOVERY_PATH
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.interface import SECOND
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp

SITE_WITH_PLANS = (
    SITE
    + """
  (plan dear (effect free) (startup-target 1s) (abandon 3s) (revenue 9)) (route dear (path "/whep/dear/") (plan dear))
  (plan cheap (effect free) (startup-target 1s) (abandon 3s) (revenue 1))
  (route cheap (path "/whep/cheap/") (plan cheap))"""
)
HIGH_REVENUE_PLAN = "dear"
LOW_REVENUE_PLAN = "cheap"
PLANS = (HIGH_REVENUE_PLAN, LOW_REVENUE_PLAN)
HIGH_REVENUE = 9
"""Revenue of the one plan, as a multiple of the other's."""
HIGH_REVENUE_SHARE = 1 / 3
"""Share of the requests."""
STARTUP_TARGET_S = 1.0
ABANDON_S = 3
LOAD_PROCESSES = 4
FLEETS = 3
NODES_PER_FLEET = 10
LONG_POLL_S = 20
CONNECTION_IDLE_NS = 3600 * SECOND
TITLE_COUNT = 50


async def send_requests(port: int, rate: float, seconds: float, seed: int) -> None:
    """Runs one load process; prints the numbers of requests and of answers in time, by plan."""
    rng = Random(seed)
    requested = dict.fromkeys(PLANS, 0)
    in_time = dict.fromkeys(PLANS, 0)
    client = HttpClient("127.0.0.1", port, max_concurrent=4000, max_idle=4000)
    body = offer(20_000, 1).encode()

    async def play_once(due_at: float) -> None:
        """Requests a playback, counts the answer if it came in time, and ends the playback."""
        plan = HIGH_REVENUE_PLAN if rng.random() < HIGH_REVENUE_SHARE else LOW_REVENUE_PLAN
        requested[plan] += 1
        try:
            with trio.move_on_at(due_at + ABANDON_S):
                response = await client.request(
                    "POST",
                    f"/whep/{plan}/t{rng.randrange(TITLE_COUNT)}",
                    [("Content-Type", sdp.MEDIA_TYPE)],
                    body,
                )
                if response.status == HTTPStatus.CREATED:
                    in_time[plan] += trio.current_time() - due_at <= STARTUP_TARGET_S
                    await client.request("DELETE", response.header("location") or "", [], b"")
        except ExchangeError:
            pass

    async with trio.open_nursery() as nursery:
        start = trio.current_time()
        due = 0.0
        while due < seconds:
            await trio.sleep_until(start + due)
            nursery.start_soon(play_once, start + due)
            due += rng.expovariate(rate)
    print(orjson.dumps([requested, in_time]).decode())


def fleet_day(site: str, fleet: int) -> str:
    """Returns the day of one fleet, with node names and cells that are unique over all fleets."""
    day = day_text(NODES_PER_FLEET).replace(SITE.format(nodes=NODES_PER_FLEET), site)
    for node in range(NODES_PER_FLEET):
        number = fleet * NODES_PER_FLEET + node
        day = day.replace(
            f"(node n{node} (wing a) (cell {node})", f"(node n{number} (wing a) (cell {number})"
        )
    return day


async def start_fleet(folder: Path, site: str, number: int) -> tuple[Process, bytes]:
    """Starts one fleet; returns its process and its node list."""
    day_file = folder / f"day-{number}.oak"
    day_file.write_text(fleet_day(site, number))
    fleet = Process(
        "stand-in",
        str(day_file),
        "--seed",
        str(number),
        "--start",
        str(1 << 62),
        "--record",
        str(folder / f"record-{number}"),
    )
    port = orjson.loads(await fleet.start(folder / f"fleet-{number}.log"))["list"]
    response = await HttpClient("127.0.0.1", port).request("POST", DISCOVERY_PATH, [], b"{}")
    return fleet, response.body


async def start_fleets(folder: Path, site: str) -> tuple[list[Process], int, trio.CancelScope]:
    """Starts the fleets and a discovery service that lists all of their nodes.

    Returns the processes, the service's port and the scope that stops it.
    """
    fleets = list[Process]()
    node_lists = list[bytes]()
    for number in range(FLEETS):
        fleet, node_list = await start_fleet(folder, site, number)
        fleets.append(fleet)
        node_lists.append(node_list)
    joined_list = orjson.loads(node_lists[0])
    for other in node_lists[1:]:
        joined_list["resources"][0]["endpoints"] += orjson.loads(other)["resources"][0]["endpoints"]
    port, scope = await start_discovery_service(joined_list["version_info"], orjson.dumps(joined_list))
    return fleets, port, scope


async def start_discovery_service(version: str, node_list: bytes) -> tuple[int, trio.CancelScope]:
    """Starts a discovery service whose node list never changes; returns its port and the scope that stops it."""

    async def handle(request: Request) -> Response:
        """Answers with the list, or after the long poll's time to a client that has it."""
        if orjson.loads(request.body).get("version_info") == version:
            await trio.sleep(LONG_POLL_S)
            return Response(HTTPStatus.NOT_MODIFIED.value)
        return Response(HTTPStatus.OK.value, [("Content-Type", "application/json")], node_list)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    limits = ConnectionLimits(idle=CONNECTION_IDLE_NS)
    server = Server(handle, ConnectionTable(limits), Clock().now, lambda *_: None)
    scope = trio.CancelScope()

    async def serve() -> None:
        """Runs the server until its scope is cancelled."""
        with scope:
            await server.run(listeners)

    trio.lowlevel.spawn_system_task(serve)
    return listeners[0].socket.getsockname()[1], scope


@dataclass
class PlanCounts:
    """Numbers of requests and of answers in time, by plan."""

    requested: dict[str, int]
    in_time: dict[str, int]


async def run_load(port: int, rate: float, seconds: float) -> PlanCounts:
    """Runs the load processes and returns the sums of their counts."""
    counts = PlanCounts(dict.fromkeys(PLANS, 0), dict.fromkeys(PLANS, 0))
    totals = (counts.requested, counts.in_time)

    async def run_load_process(seed: int) -> None:
        """Runs one load process and adds its counts."""
        command = [
            sys.executable,
            "-m",
            "benchmarks.overload",
            "--load",
            str(port),
            str(rate / LOAD_PROCESSES),
            str(seconds),
            str(seed),
        ]
        completed = await trio.run_process(command, capture_stdout=True, stderr=subprocess.DEVNULL)
        for total, process_counts in zip(totals, orjson.loads(completed.stdout), strict=True):
            for plan, count in process_counts.items():
                total[plan] += count

    async with trio.open_nursery() as nursery:
        for seed in range(LOAD_PROCESSES):
            nursery.start_soon(run_load_process, seed)
    return counts


async def measure(module: list[str], rate: float, seconds: float) -> tuple[PlanCounts, list[float]]:
    """Measures one front under one load; returns the counts, and the cores that the front and each fleet used."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = SITE_WITH_PLANS.format(nodes=FLEETS * NODES_PER_FLEET)
        fleets, list_port, scope = await start_fleets(folder, site)
        front_form = f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{list_port}"))'
        (folder / "front.oak").write_text(f"{front_form}\n{site}")
        front = Process()
        front.command = [sys.executable, "-m", *module, str(folder / "front.oak")]
        port = await start_front(front, folder / "front.log")
        try:
            await trio.sleep(WARM_UP_S)
            processes = (front, *fleets)
            processor_before = [process.processor_seconds() for process in processes]
            began = trio.current_time()
            counts = await run_load(port, rate, seconds)
            elapsed = trio.current_time() - began
            cores = [
                (process.processor_seconds() - before) / elapsed
                for process, before in zip(processes, processor_before, strict=True)
            ]
            log_copy = os.environ.get("KEEP_LOG")
            if log_copy:
                Path(log_copy).write_bytes((folder / "front.log").read_bytes())
        finally:
            await front.stop()
            for fleet in fleets:
                await fleet.stop()
            scope.cancel()
        return counts, cores


def main() -> None:
    """Parses the arguments and runs the benchmark, or a load process that it starts."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--capacity", type=float, default=250)
    parser.add_argument("--times", type=float, nargs="+", default=[2, 5, 10])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--load", nargs=4, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.load:
        port, rate, seconds, seed = arguments.load
        trio.run(send_requests, int(port), float(rate), float(seconds), int(seed))
        return
    print(f"{describe_machine()}; capacity taken as {arguments.capacity:.0f} a second")
    for times in arguments.times:
        for variant, module in (
            ("line", ["oakcroft", "serve"]),
            ("first come", ["oakcroft.rehearsal.firstcome"]),
        ):
            counts, cores = trio.run(measure, module, arguments.capacity * times, arguments.seconds)
            revenue = HIGH_REVENUE * counts.in_time[HIGH_REVENUE_PLAN] + counts.in_time[LOW_REVENUE_PLAN]
            answered = ", ".join(f"{plan} {counts.in_time[plan]}/{counts.requested[plan]}" for plan in PLANS)
            core_shares = " ".join(f"{share:.2f}" for share in cores)
            print(
                f"{times:4.0f} times, {variant:10}: revenue in time {revenue:6}, {answered}; cores {core_shares}",
                flush=True,
            )


if __name__ == "__main__":
    main()
