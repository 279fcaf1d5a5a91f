"""Measures how long a lease has no holder after its holder's crash, and how many messages keeping the lease takes.

    python -m benchmarks.lease_failover [--kills 200] [--term 6] [--loss 0 0.05 0.2] [--sizes 7 50 200]

The acceptors and candidates run on a simulated network (oakcroft/rehearsal/lease_simulation.py); the same seed gives the
same result. A killed front restarts after ten terms. The printed table calls an acceptor a keeper and a holder an owner.
"""

from __future__ import annotations

import argparse
from functools import partial

from benchmarks.results import quantile
from oakcroft.interface import SECOND
from oakcroft.rehearsal.lease_simulation import LeaseSimulation

ACCEPTOR_COUNTS = (3, 5)
HEADER = "| fronts | keepers | term, s | loss | no owner after a crash, s (p50, p99, most) | messages a second, all |"


def measure(fronts: int, acceptors: int, term_ns: int, loss: float, kills: int) -> str:
    """Measures crashes of the holder, and messages without crashes; returns one row."""
    fleet = LeaseSimulation(fronts, acceptors, term_ns, loss)
    assert fleet.run(20 * SECOND, lambda: bool(fleet.terms_begun))
    fleet.run(5 * term_ns)
    fleet.message_count = 0
    fleet.run(10 * term_ns)
    messages_per_second = fleet.message_count / (10 * term_ns / SECOND)
    gaps_s = list[float]()
    while len(gaps_s) < kills:
        fleet.run(fleet.rng.randrange(term_ns))
        holder = fleet.holder()
        terms_before = len(fleet.terms_begun)
        if holder is None:  # message loss has just ended a term
            continue
        killed_at = fleet.now
        fleet.kill(holder, 10 * term_ns)
        assert fleet.run(30 * term_ns, partial(has_new_term, fleet, terms_before))
        gaps_s.append((fleet.now - killed_at) / SECOND)
        fleet.run(11 * term_ns)
    gaps = f"{quantile(gaps_s, 0.5):.1f}, {quantile(gaps_s, 0.99):.1f}, {max(gaps_s):.1f}"
    return (
        f"| {fronts} | {acceptors} | {term_ns / SECOND:g} | {loss:.0%} | {gaps} | {messages_per_second:.1f} |"
    )


def has_new_term(fleet: LeaseSimulation, terms_before: int) -> bool:
    """Returns whether a term has begun since the count was taken."""
    return len(fleet.terms_begun) > terms_before


def main() -> None:
    """Parses the arguments and prints the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--term", type=float, default=6)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.05, 0.2])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 50, 200])
    arguments = parser.parse_args()
    print(HEADER)
    print("| --- | --- | --- | --- | --- | --- |")
    for fronts in arguments.sizes:
        for acceptors in ACCEPTOR_COUNTS:
            for loss in arguments.loss:
                print(
                    measure(fronts, acceptors, round(arguments.term * SECOND), loss, arguments.kills),
                    flush=True,
                )


if __name__ == "__main__":
    main()
