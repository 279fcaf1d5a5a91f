"""How long a duty is without an owner after its owner's crash, and what keeping it costs.

    python -m benchmarks.owners [--kills 200] [--term 6] [--loss 0 0.05 0.2] [--sizes 7 50 200]

Pure keepers and candidates on a simulated network (oakcroft/rehearsal/lease_simulation.py), seeded, the same every
time. The killed come back after ten terms.
"""

from __future__ import annotations

import argparse

from oakcroft.interface import SECOND
from oakcroft.rehearsal.lease_simulation import LeaseSimulation

HEADER = "| fronts | keepers | term, s | loss | no owner after a crash, s (p50, p99, most) | messages a second, all |"


def measure(fronts: int, keepers: int, term: int, loss: float, kills: int) -> str:
    """One row: crashes of the owner, and the messages of a quiet time."""
    fleet = LeaseSimulation(fronts, keepers, term, loss)
    assert fleet.run(20 * SECOND, lambda: bool(fleet.terms_begun))
    fleet.run(5 * term)
    fleet.message_count = 0
    fleet.run(10 * term)
    quiet = fleet.message_count / (10 * term / SECOND)
    gaps = list[float]()
    while len(gaps) < kills:
        fleet.run(fleet.rng.randrange(term))
        owner, count = fleet.owner(), len(fleet.terms_begun)
        if owner is None:  # a term ended by loss just now
            continue
        began = fleet.now
        fleet.kill(owner, 10 * term)
        assert fleet.run(30 * term, lambda n=count: len(fleet.terms_begun) > n)  # type: ignore[misc]
        gaps.append((fleet.now - began) / SECOND)
        fleet.run(11 * term)
    gaps.sort()
    p = [gaps[min(len(gaps) - 1, int(q * len(gaps)))] for q in (0.5, 0.99)]
    times = f"{p[0]:.1f}, {p[1]:.1f}, {gaps[-1]:.1f}"
    return f"| {fronts} | {keepers} | {term / SECOND:g} | {loss:.0%} | {times} | {quiet:.1f} |"


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--term", type=float, default=6)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.05, 0.2])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 50, 200])
    given = parser.parse_args()
    print(HEADER)
    print("| --- | --- | --- | --- | --- | --- |")
    for fronts in given.sizes:
        for keepers in (3, 5):
            for loss in given.loss:
                print(measure(fronts, keepers, round(given.term * SECOND), loss, given.kills), flush=True)


if __name__ == "__main__":
    main()
