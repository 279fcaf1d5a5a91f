"""Measures how peer traffic delays the answers of one front: set-ups with peers off, on, and while peers come and go.

    python -m benchmarks.peers_lag [--peers 199] [--rate 100] [--seconds 20] [--rounds 2]

The peers are tasks of one process beside the front, each with its own sockets, on addresses of 127.75.0.0/16. In the
last case, 70% of them stop at once every 8 s and start again 2 s later. Set-ups are sent open-loop, each measured from
the time at which it was due; the cases run in turn, `rounds` times.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

import structlog
import trio
from hdrh.histogram import HdrHistogram

from benchmarks.child_processes import SITE, WARM_UP_S, Process, day_text, start_front_and_nodes
from benchmarks.load_generator import LoadGenerator, format_percentiles, new_latencies
from benchmarks.results import describe_machine
from oakcroft.config.settings import PeerSettings
from oakcroft.peers.peer_endpoint import PeerEndpoint
from oakcroft.running.clock import Clock

PORT = 7946
KEY = "5a" * 32
CHURN_CASE = "coming and going"
CASES = ("off", "on", CHURN_CASE)
CHURN_INTERVAL_S = 8.0
CHURN_DOWN_S = 2.0
CHURN_SHARE = 0.7
DISCOVERY_S = 8
"""After this time all peers know each other."""
NODES = 20


def address(number: int) -> tuple[str, int]:
    """Returns the listen address of the peer of this number; 0 is the front."""
    return f"127.75.{number // 250}.{number % 250 + 1}", PORT


async def run_peers(count: int, key_file: str, churn: bool) -> None:
    """Runs this number of peers until the process is killed."""
    log = structlog.wrap_logger(
        structlog.ReturnLogger(), processors=[], wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    settings = PeerSettings("", address(0), address(0), (address(0), address(1)), key_file, "oakcroft", "")
    rng = Random(1)

    async def run_peer(number: int, scope: trio.CancelScope) -> None:
        """Runs the peer of this number until its scope is cancelled."""
        with scope:
            own_settings = replace(
                settings, name=f"peer{number:03}", listen=address(number), advertise=address(number)
            )
            await PeerEndpoint(own_settings, "west", number, Clock(), log).run()

    async with trio.open_nursery() as nursery:
        scopes = {number: trio.CancelScope() for number in range(1, count + 1)}
        for number, scope in scopes.items():
            nursery.start_soon(run_peer, number, scope)
        print("talking", flush=True)
        while True:
            await trio.sleep(CHURN_INTERVAL_S)
            if churn:
                stopped = rng.sample(sorted(scopes), round(CHURN_SHARE * count))
                for number in stopped:
                    scopes[number].cancel()
                await trio.sleep(CHURN_DOWN_S)
                for number in stopped:
                    scopes[number] = trio.CancelScope()
                    nursery.start_soon(run_peer, number, scopes[number])


def peers_command(key_file: Path, count: int, churn: bool) -> list[str]:
    """Returns the command that runs the peers."""
    return [
        sys.executable,
        "-m",
        "benchmarks.peers_lag",
        "--talk",
        str(key_file),
        "--peers",
        str(count),
        *(["--churn"] if churn else []),
    ]


async def measure_case(
    case: str, peer_count: int, rate: float, seconds: float, latencies: HdrHistogram
) -> str:
    """Measures one case, adds its latencies, and returns what was used and failed."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        key_file = folder / "key"
        key_file.write_text(KEY)
        host, port = address(0)
        seeds = f"{address(1)[0]}:{PORT}"
        peers_form = (
            f'(peers (name front) (listen "{host}:{port}") (seeds "{seeds}") (key-file "{key_file}"))'
        )
        further_forms = "" if case == "off" else peers_form
        rig = await start_front_and_nodes(
            folder, day_text(NODES), SITE.format(nodes=NODES), further_forms=further_forms
        )
        peers = Process()
        try:
            if case != "off":
                peers.command = peers_command(key_file, peer_count, case == CHURN_CASE)
                await peers.start(folder / "talk.log")
            load = LoadGenerator(rig.port, rig.node_ports)
            await trio.sleep(WARM_UP_S + DISCOVERY_S)
            load.failed_count = 0
            processor_before = rig.front.processor_seconds()
            began = trio.current_time()
            await load.run_open_loop(rate, seconds, False, latencies)
            core_share = (rig.front.processor_seconds() - processor_before) / (trio.current_time() - began)
            return f"front {core_share:.0%} of a core, failed {load.failed_count}"
        finally:
            await rig.front.stop()
            await peers.stop()
            await rig.nodes.stop()


async def measure(peers: int, rate: float, seconds: float, rounds: int) -> None:
    """Measures all cases in turn."""
    latencies_by_case = {case: new_latencies() for case in CASES}
    for _ in range(rounds):
        for case in CASES:
            result = await measure_case(case, peers, rate, seconds, latencies_by_case[case])
            print(f"  {case}: {result}", flush=True)
    for case, latencies in latencies_by_case.items():
        max_ms = latencies.get_max_value() / 1000
        print(
            f"peers {case:16}  answers in ms  {format_percentiles(latencies)}  most {max_ms:7.2f}  "
            f"of {latencies.get_total_count()}"
        )


def main() -> None:
    """Parses the arguments and runs the benchmark, or the peers in the process that it starts."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--peers", type=int, default=199)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--talk", default="", help=argparse.SUPPRESS)
    parser.add_argument("--churn", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.talk:
        trio.run(run_peers, arguments.peers, arguments.talk, arguments.churn)
        return
    print(f"{describe_machine()}; {arguments.peers} peers")
    trio.run(measure, arguments.peers, arguments.rate, arguments.seconds, arguments.rounds)


if __name__ == "__main__":
    main()
