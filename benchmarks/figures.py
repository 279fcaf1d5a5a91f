"""What sharing nodes' loads costs and gives, simulated: whole fleets of the decisions, with datagrams that are lost.

python -m benchmarks.figures
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random

from oakcroft.decisions.fleet.load_sharing import LoadSharing
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.sealing import KeyRing

STEP = 100 * MS
ROWS = [
    (3, 20, 0.0),
    (7, 5, 0.0),
    (50, 40, 0.0),
    (50, 40, 0.05),
    (200, 200, 0.0),
    (200, 200, 0.05),
    (200, 200, 0.2),
]
HEAD = ("fronts", "nodes", "lost", "asks a node a second", "age of what fronts know, s (p50, p99, most)", "nodes unknown",
        "datagrams and kB a second a front", "ms of a core a front a second")  # fmt: skip


@dataclass(frozen=True)
class Played:
    """What one fleet did. Ages in s: median, 99th percentile and most; the rest for each front and second."""

    fronts: int
    nodes: int
    lose: float
    asks: float
    ages: tuple[float, float, float]
    unknown: float
    datagrams: float
    kilobytes: float
    core_ms: float

    def cells(self) -> list[str]:
        """Its line of the table."""
        ages = ", ".join(f"{age:.1f}" for age in self.ages)
        return [
            str(self.fronts), str(self.nodes), f"{self.lose:.0%}", f"{self.asks:.2f}", ages, f"{self.unknown:.1f}",
            f"{self.datagrams:.1f}, {self.kilobytes:.2f}", f"{self.core_ms:.2f}",
        ]  # fmt: skip


def play(fronts: int, nodes: int, lose: float, seconds: int = 60, seed: int = 1) -> Played:
    """One fleet for so long, without traffic of its own; the first third is not counted."""
    rng = Random(seed)
    names, list_ = [f"f{i}" for i in range(fronts)], {f"n{i}": i + 1 for i in range(nodes)}
    all_ = {n: LoadSharing(n, 2500 * MS, Random(i)) for i, n in enumerate(names)}
    codec = LoadCodec("oakcroft", KeyRing((b"x" * 32,)))
    now, cost, datagrams, octets, asks = 0, 0.0, 0, 0, 0
    ages, unknown, looks = list[int](), 0, 0
    truth = {n: rng.random() for n in list_}
    for figures in all_.values():
        figures.update_nodes(list_)
        figures.update_present_fronts(names)
    while now < seconds * SECOND:
        now += STEP
        counted = now > seconds * SECOND // 3
        for node in list_:
            truth[node] = min(1.2, max(0.0, truth[node] + rng.gauss(0, 0.01)))
        for name, figures in all_.items():
            began = time.perf_counter()
            figures.update_present_fronts(names)
            due, tells = figures.due_probes(now), figures.due_messages(now)
            cost += (time.perf_counter() - began) * counted
            for node in due:
                asks += counted
                figures.probe_finished(node, truth[node], True, now)
            for to, rows in tells:
                if counted:
                    datagrams, octets = datagrams + 1, octets + len(codec.encode(name, 1, rows)) + 28
                if rng.random() >= lose:
                    began = time.perf_counter()
                    all_[to].receive_reports(rows, now)
                    cost += (time.perf_counter() - began) * counted
        if counted and now % SECOND == 0:
            for figures in all_.values():
                some = figures.known_ages(now)
                ages += some
                unknown += nodes - len(some)
                looks += 1
    ages.sort()
    span = seconds * 2 / 3
    p50, p99, most = (ages[min(len(ages) - 1, int(q * len(ages)))] / 1e9 for q in (0.5, 0.99, 1))
    each = fronts * span
    return Played(
        fronts, nodes, lose, asks / nodes / span, (p50, p99, most), unknown / max(1, looks), datagrams / each,
        octets / each / 1000, 1000 * cost / each,
    )  # fmt: skip


if __name__ == "__main__":
    print(" | ".join(HEAD))
    for row in ROWS:
        print(" | ".join(play(*row).cells()), flush=True)
