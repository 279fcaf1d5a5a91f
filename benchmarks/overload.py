"""A front at two, five and ten times what it can do: revenue answered within the startup target, with the line before the
module and first come first served.

    python -m benchmarks.overload [--capacity 200] [--times 2 5 10]

The fleet is three processes of ten nodes each, behind one list that joins theirs, so that the front is what saturates;
the share of a core that the front and each of them took is printed. Four load processes send requests open-loop over
kept-alive connections; a third of them are for a plan of nine times the revenue. An answer counts when a 201 comes within
the startup target (1 s) of when its request was due.
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

from benchmarks.front_cost import SITE, WARM, Process, day
from oakcroft.decisions.admission.connection_limits import ConnectionLimits, ConnectionTable
from oakcroft.running.clock import Clock
from oakcroft.front.node_list_client import DISCOVERY_PATH
from oakcroft.httpwire.client import ExchangeError, HttpClient
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.rehearsal.viewers import offer
from oakcroft.signalling import sdp

PLANS = (
    SITE
    + """
  (plan dear (effect free) (startup-target 1s) (abandon 3s) (revenue 9)) (route dear (path "/whep/dear/") (plan dear))
  (plan cheap (effect free) (startup-target 1s) (abandon 3s) (revenue 1))
  (route cheap (path "/whep/cheap/") (plan cheap))"""
)


async def load(port: int, rate: float, seconds: float, seed: int) -> None:
    """One load process; prints what was asked and answered in time, by plan."""
    rng, asked, served = Random(seed), {"dear": 0, "cheap": 0}, {"dear": 0, "cheap": 0}
    peer, body = HttpClient("127.0.0.1", port, max_concurrent=4000, max_idle=4000), offer(20_000, 1).encode()

    async def one(at: float) -> None:
        plan = "dear" if rng.random() < 1 / 3 else "cheap"
        asked[plan] += 1
        try:
            with trio.move_on_at(at + 3):
                sat = await peer.request(
                    "POST", f"/whep/{plan}/t{rng.randrange(50)}", [("Content-Type", sdp.MEDIA_TYPE)], body
                )
                if sat.status == 201:
                    served[plan] += trio.current_time() - at <= 1.0
                    await peer.request("DELETE", sat.header("location") or "", [], b"")
        except ExchangeError:
            pass

    async with trio.open_nursery() as nursery:
        start, due = trio.current_time(), 0.0
        while due < seconds:
            await trio.sleep_until(start + due)
            nursery.start_soon(one, start + due)
            due += rng.expovariate(rate)
    print(orjson.dumps([asked, served]).decode())


async def fleets(
    folder: Path, site: str, each: int, many: int
) -> tuple[list[Process], int, trio.CancelScope]:
    """So many fleets of so many nodes, and the port of a list service that names all of their nodes."""
    some, lists = list[Process](), list[bytes]()
    for i in range(many):
        body = day(each).replace(SITE.format(nodes=each), site)
        for n in reversed(range(each)):
            body = body.replace(
                f"(node n{n} (wing a) (cell {n})", f"(node n{i * each + n} (wing a) (cell {i * each + n})"
            )
        (folder / f"day-{i}.oak").write_text(body)
        fleet = Process("stand-in", str(folder / f"day-{i}.oak"), "--seed", str(i), "--start", str(1 << 62),
                        "--record", str(folder / f"record-{i}"))  # fmt: skip
        port = orjson.loads(await fleet.start(folder / f"fleet-{i}.log"))["list"]
        asked = await HttpClient("127.0.0.1", port).request("POST", DISCOVERY_PATH, [], b"{}")
        some.append(fleet)
        lists.append(asked.body)
    whole, known = orjson.loads(lists[0]), orjson.loads(lists[0])["version_info"]
    for other in lists[1:]:
        whole["resources"][0]["endpoints"] += orjson.loads(other)["resources"][0]["endpoints"]
    joined = orjson.dumps(whole)

    async def handle(request: Request) -> Response:
        if orjson.loads(request.body).get("version_info") == known:
            await trio.sleep(20)
            return Response(304)
        return Response(200, [("Content-Type", "application/json")], joined)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server = Server(
        handle, ConnectionTable(ConnectionLimits(idle=3600 * 10**9)), Clock().now, lambda *_: None
    )
    scope = trio.CancelScope()

    async def serve() -> None:
        with scope:
            await server.run(listeners)

    trio.lowlevel.spawn_system_task(serve)
    return some, listeners[0].socket.getsockname()[1], scope


async def measure(
    module: list[str], rate: float, seconds: float
) -> tuple[dict[str, int], dict[str, int], list[float]]:
    """One front under one load; what was asked and served in time, and the cores that front and fleets took."""
    with tempfile.TemporaryDirectory() as name:
        folder, site = Path(name), PLANS.format(nodes=30)
        some, list_port, scope = await fleets(folder, site, 10, 3)
        own = f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{list_port}"))'
        (folder / "front.oak").write_text(f"{own}\n{site}")
        front = Process("serve", str(folder / "front.oak"))
        front.command = [sys.executable, "-m", *module, str(folder / "front.oak")]
        port = int((await front.start(folder / "front.log")).split(b":")[-1])
        asked, served = {"dear": 0, "cheap": 0}, {"dear": 0, "cheap": 0}
        try:
            await trio.sleep(WARM)

            async def part(seed: int) -> None:
                command = [
                    sys.executable,
                    "-m",
                    "benchmarks.overload",
                    "--load",
                    str(port),
                    str(rate / 4),
                    str(seconds),
                    str(seed),
                ]
                done = await trio.run_process(command, capture_stdout=True, stderr=subprocess.DEVNULL)
                for total, mine in zip((asked, served), orjson.loads(done.stdout), strict=True):
                    for plan, n in mine.items():
                        total[plan] += n

            before, began = [p.cpu() for p in (front, *some)], trio.current_time()
            async with trio.open_nursery() as nursery:
                for seed in range(4):
                    nursery.start_soon(part, seed)
            took = trio.current_time() - began
            cores = [(p.cpu() - b) / took for p, b in zip((front, *some), before, strict=True)]
            keep = os.environ.get("KEEP_LOG")
            if keep:
                Path(keep).write_bytes((folder / "front.log").read_bytes())
        finally:
            await front.stop()
            for fleet in some:
                await fleet.stop()
            scope.cancel()
        return asked, served, cores


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--capacity", type=float, default=250)
    parser.add_argument("--times", type=float, nargs="+", default=[2, 5, 10])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--load", nargs=4, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.load:
        port, rate, seconds, seed = given.load
        trio.run(load, int(port), float(rate), float(seconds), int(seed))
        return
    where = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    print(f"{where}; capacity taken as {given.capacity:.0f} a second")
    for times in given.times:
        for what, module in (
            ("line", ["oakcroft", "serve"]),
            ("first come", ["oakcroft.rehearsal.firstcome"]),
        ):
            asked, served, cores = trio.run(measure, module, given.capacity * times, given.seconds)
            revenue = 9 * served["dear"] + served["cheap"]
            print(f"{times:4.0f} times, {what:10}: revenue in time {revenue:6}, dear {served['dear']}/{asked['dear']}, "
                  f"cheap {served['cheap']}/{asked['cheap']}; cores {' '.join(f'{c:.2f}' for c in cores)}",
                  flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
