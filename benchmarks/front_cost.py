"""Measures what one front adds to a set-up, compared with requests sent to a stand-in node directly, in one run.

    python -m benchmarks.front_cost [--open 100 1000 10000] [--nodes 10 100 200] [--rate 150]

For each number of open playbacks and of nodes, set-ups are sent open-loop at the given rate, each measured from the
time at which it was due; half go directly to a node and half through the front. Then the front's maximum rate is
measured with concurrent requests. Memory is the front's resident size.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import trio

from benchmarks.child_processes import SITE, WARM_UP_S, Process, day_text, start_front_and_nodes
from benchmarks.load_generator import LoadGenerator, format_percentiles, new_latencies, open_playbacks
from benchmarks.results import describe_machine

MAX_RATE_WORKERS = 32
MAX_RATE_SECONDS = 5


async def measure(nodes: int, open_counts: list[int], rate: float, seconds: float) -> None:
    """Measures one front of a fleet with growing numbers of open playbacks."""
    with tempfile.TemporaryDirectory() as folder:
        rig = await start_front_and_nodes(Path(folder), day_text(nodes), SITE.format(nodes=nodes))
        try:
            load = LoadGenerator(rig.port, rig.node_ports)
            await trio.sleep(WARM_UP_S)
            opened = 0
            initial_bytes = rig.front.resident_bytes()
            for count in open_counts:
                await open_playbacks(load, count - opened)
                opened = count
                await trio.sleep(1.0)
                load.failed_count = 0
                latency_text, cost_text = await measure_latencies(rig.front, load, rate, seconds)
                memory = rig.front.resident_bytes() - initial_bytes
                print(f"{nodes:4} nodes {count:6} open  {latency_text}")
                print(
                    f"    {cost_text}, {memory / 1e6:.0f} MB over its start "
                    f"({memory / max(1, count) / 1000:.1f} kB each), failed {load.failed_count}",
                    flush=True,
                )
            max_rate = await load.measure_max_rate(MAX_RATE_WORKERS, MAX_RATE_SECONDS)
            print(f"{nodes:4} nodes  most {max_rate:.0f} set-ups a second", flush=True)
        finally:
            await rig.stop()


async def measure_latencies(
    front: Process, load: LoadGenerator, rate: float, seconds: float
) -> tuple[str, str]:
    """Sends half of the set-ups to nodes and half through the front.

    Returns the percentiles of both, and the added time with the share of a core that the front used.
    """
    direct = new_latencies()
    through = new_latencies()
    processor_before = front.processor_seconds()
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_open_loop, rate / 2, seconds, True, direct)
        nursery.start_soon(load.run_open_loop, rate / 2, seconds, False, through)
    core_share = (front.processor_seconds() - processor_before) / (trio.current_time() - began)
    added_ms = (through.get_value_at_percentile(50) - direct.get_value_at_percentile(50)) / 1000
    return (
        f"direct {format_percentiles(direct)}  through {format_percentiles(through)}",
        f"added p50 {added_ms:.2f}, front {core_share * 100:.0f}% of a core",
    )


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
    print(f"{describe_machine()}; times in ms")
    for i, nodes in enumerate(arguments.nodes):
        open_counts = arguments.open if i == 0 else arguments.open[:2]
        trio.run(measure, nodes, open_counts, arguments.rate, arguments.seconds)


if __name__ == "__main__":
    main()
