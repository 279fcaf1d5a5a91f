"""Simulates many fronts when a fifth of the nodes drains at once, and counts the set-ups that each target node gets.

    python -m benchmarks.mass_drain [--fronts 200] [--nodes 60] [--playbacks 1800] [--notice 15]

Each front is a Controller of `choice.py` and a MoveScheduler with its own seed, nodes are the link model, and the
simulated clock runs in steps of 20 ms. Drained nodes are replaced by cold ones 2 s after the drain begins. Prints, for
warm and cold target nodes, the set-ups in the busiest second beside what a node can take, and the outcome of the
playbacks. The same seed gives the same result.
"""

from __future__ import annotations

import argparse
import time

from benchmarks.mass_drain_simulation import (
    COLD_DURATION_NS,
    COLD_PACE_SHARE,
    NODE_CAPACITY,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_NS,
    DrainSimulation,
)
from oakcroft.interface import SECOND


def print_result(simulation: DrainSimulation, drained: list[str], began: float) -> None:
    """Prints the outcome of the playbacks, the load of warm and of cold target nodes, and the time since `began`."""
    warm = [name for name in simulation.machines if name not in drained and "+" not in name]
    cold = [name for name in simulation.machines if "+" in name]
    left = sum(len(simulation.machines[name].streams) for name in drained)
    print(f"  {dict(simulation.outcome_counts)}; left on draining nodes {left}")
    for kind, names in (("warm", warm), ("cold", cold)):
        counts = [simulation.setups_by_second[name] for name in names]
        peaks = sorted(max(count.values(), default=0) for count in counts)
        total = sum(count.total() for count in counts)
        print(
            f"  {kind} targets: {total} set-ups; busiest second: median {peaks[len(peaks) // 2]}, most {peaks[-1]}"
        )
    pace = COLD_PACE_SHARE * NODE_CAPACITY / (COLD_DURATION_NS / SECOND) * OVERLOAD_MULTIPLE
    window_s = OVERLOAD_WINDOW_NS // SECOND
    print(f"  a node that has just started stands {pace:.0f} set-ups a second for {window_s} s")
    targets = [simulation.machines[name] for name in warm + cold]
    max_streams = max(len(machine.streams) for machine in targets)
    max_load = max(machine.link_load() for machine in targets)
    elapsed_s = time.perf_counter() - began
    print(
        f"  fullest target: {max_streams} of {NODE_CAPACITY} places, {max_load:.2f} of its link; "
        f"{elapsed_s:.1f} s of computing"
    )


def main() -> None:
    """Parses the arguments, runs the simulation and prints the result."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, value in (("fronts", 200), ("nodes", 60), ("playbacks", 1800), ("notice", 15), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=value)
    arguments = parser.parse_args()
    began = time.perf_counter()
    simulation = DrainSimulation(
        arguments.fronts, arguments.nodes, arguments.playbacks, arguments.notice * SECOND, arguments.seed
    )
    drained = [f"n{i}" for i in range(0, arguments.nodes, 5)]
    simulation.run(drained)
    where = (
        f"{arguments.fronts} fronts, {arguments.nodes} nodes, {len(drained)} drain in {arguments.notice} s"
    )
    print(f"{where}, seed {arguments.seed}")
    print_result(simulation, drained, began)


if __name__ == "__main__":
    main()
