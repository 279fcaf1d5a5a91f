"""Simulates whole fleets that share nodes' loads, with datagram loss, and measures the cost and the age of known loads.

python -m benchmarks.load_sharing
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random

from benchmarks.results import quantile
from oakcroft.decisions.fleet.load_sharing import LoadSharing
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.sealing import KeyRing

STEP_NS = 100 * MS
IP_UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers."""
ROWS = [
    (3, 20, 0.0),
    (7, 5, 0.0),
    (50, 40, 0.0),
    (50, 40, 0.05),
    (200, 200, 0.0),
    (200, 200, 0.05),
    (200, 200, 0.2),
]
"""Fronts, nodes and datagram loss of each row."""
HEAD = (
    "fronts",
    "nodes",
    "lost",
    "asks a node a second",
    "age of what fronts know, s (p50, p99, most)",
    "nodes unknown",
    "datagrams and kB a second a front",
    "ms of a core a front a second",
)


@dataclass(frozen=True)
class FleetResult:
    """The result of one fleet."""

    fronts: int
    nodes: int
    loss: float
    probes: float
    """Per node and second."""
    ages: tuple[float, float, float]
    """Median, 99th percentile and maximum age of known loads, in seconds."""
    unknown_nodes: float
    """Mean number of nodes whose load a front does not know."""
    datagrams: float
    """Per front and second."""
    kilobytes: float
    """Per front and second."""
    core_ms: float
    """Processor time per front and second."""

    def cells(self) -> list[str]:
        """Returns the row of the table."""
        ages = ", ".join(f"{age:.1f}" for age in self.ages)
        return [
            str(self.fronts),
            str(self.nodes),
            f"{self.loss:.0%}",
            f"{self.probes:.2f}",
            ages,
            f"{self.unknown_nodes:.1f}",
            f"{self.datagrams:.1f}, {self.kilobytes:.2f}",
            f"{self.core_ms:.2f}",
        ]


class LoadSharingSimulation:
    """Fronts that share the loads of nodes; there are no viewers. Counts only what happens in the counted part."""

    def __init__(self, fronts: int, nodes: int, loss: float, seed: int) -> None:
        """Creates the fleet, in which each front knows the nodes and the other fronts."""
        self.rng = Random(seed)
        self.loss = loss
        self.front_names = [f"f{i}" for i in range(fronts)]
        started_at = {f"n{i}": i + 1 for i in range(nodes)}
        self.sharing_by_front = {
            name: LoadSharing(name, 2500 * MS, Random(i)) for i, name in enumerate(self.front_names)
        }
        self.codec = LoadCodec("oakcroft", KeyRing((b"x" * 32,)))
        self.now = 0
        self.processor_seconds = 0.0
        self.datagram_count = 0
        self.octet_count = 0
        self.probe_count = 0
        self.ages = list[int]()
        self.unknown_count = 0
        self.sample_count = 0
        self.true_loads = {node: self.rng.random() for node in started_at}
        for sharing in self.sharing_by_front.values():
            sharing.update_nodes(started_at)
            sharing.update_present_fronts(self.front_names)

    def step(self, is_counted: bool) -> None:
        """Simulates one step: loads drift, and each front probes nodes and sends reports."""
        self.now += STEP_NS
        for node, load in self.true_loads.items():
            self.true_loads[node] = min(1.2, max(0.0, load + self.rng.gauss(0, 0.01)))
        for name, sharing in self.sharing_by_front.items():
            began = time.perf_counter()
            sharing.update_present_fronts(self.front_names)
            probes = sharing.due_probes(self.now)
            messages = sharing.due_messages(self.now)
            self.processor_seconds += (time.perf_counter() - began) * is_counted
            for node in probes:
                self.probe_count += is_counted
                sharing.probe_finished(node, self.true_loads[node], True, self.now)
            for receiver, reports in messages:
                if is_counted:
                    self.datagram_count += 1
                    self.octet_count += len(self.codec.encode(name, 1, reports)) + IP_UDP_HEADER_BYTES
                if self.rng.random() >= self.loss:
                    began = time.perf_counter()
                    self.sharing_by_front[receiver].receive_reports(reports, self.now)
                    self.processor_seconds += (time.perf_counter() - began) * is_counted

    def sample_ages(self) -> None:
        """Adds the ages of all loads that fronts know now."""
        for sharing in self.sharing_by_front.values():
            known_ages = sharing.known_ages(self.now)
            self.ages += known_ages
            self.unknown_count += len(self.true_loads) - len(known_ages)
            self.sample_count += 1


def simulate(fronts: int, nodes: int, loss: float, seconds: int = 60, seed: int = 1) -> FleetResult:
    """Simulates one fleet for this time; the first third is not counted."""
    fleet = LoadSharingSimulation(fronts, nodes, loss, seed)
    while fleet.now < seconds * SECOND:
        is_counted = fleet.now + STEP_NS > seconds * SECOND // 3
        fleet.step(is_counted)
        if is_counted and fleet.now % SECOND == 0:
            fleet.sample_ages()
    counted_seconds = seconds * 2 / 3
    p50, p99, longest = (quantile(fleet.ages, share) / SECOND for share in (0.5, 0.99, 1))
    front_seconds = fronts * counted_seconds
    return FleetResult(
        fronts=fronts,
        nodes=nodes,
        loss=loss,
        probes=fleet.probe_count / nodes / counted_seconds,
        ages=(p50, p99, longest),
        unknown_nodes=fleet.unknown_count / max(1, fleet.sample_count),
        datagrams=fleet.datagram_count / front_seconds,
        kilobytes=fleet.octet_count / front_seconds / 1000,
        core_ms=1000 * fleet.processor_seconds / front_seconds,
    )


if __name__ == "__main__":
    print(" | ".join(HEAD))
    for row in ROWS:
        print(" | ".join(simulate(*row).cells()), flush=True)
