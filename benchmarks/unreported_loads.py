"""Simulates fleets whose nodes report no loads and prints the share of the wanted revenue that they earn.

python -m benchmarks.unreported_loads [SEEDS]
"""

from __future__ import annotations

import sys

from benchmarks.unreported_loads_simulation import Day

CASES = ((40, 40, 0.47), (40, 40, 0.9), (40, 40, 1.4), (200, 60, 0.47), (3, 16, 0.47), (3, 16, 1.2))
"""Fronts, nodes and load of each row."""


def main() -> None:
    """Prints the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print("| fronts | nodes | load | earned of wanted | lowest, highest | refused | x at the end |")
    print("| --- " * 7 + "|")
    for fronts, nodes, load in CASES:
        days = [Day(fronts, nodes, load, seed).play() for seed in range(seeds)]
        earned = [day.earned_share for day in days]
        rejected = sum(day.rejected_share for day in days) / seeds
        x = sum(day.mean_x for day in days) / seeds
        earned_cells = f"{sum(earned) / seeds:.3f} | {min(earned):.3f}, {max(earned):.3f}"
        print(
            f"| {fronts} | {nodes} | {load} | {earned_cells} | {rejected:.0%} | {x:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
