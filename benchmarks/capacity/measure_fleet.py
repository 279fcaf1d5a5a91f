"""Slopes of membership, taken from the report of the simulated fleet of front ends that run only their membership.

Each run starts the whole fleet and then partitions a region.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.experiments import ROOT, Experiment, Quantity, ValuesBySize

FLAT_SIZES = (32, 50, 100, 200)
ZONED_SIZES = (75, 150, 300, 600)
MINUTES = 1.5
LOSS = 0.01
FLEET_TIMEOUT_S = 170
NUMBER_PATTERN = r"([\d.]+)"
REPORT_PATTERNS = (
    rf"kB/s sent, whole start .* worst ten seconds {NUMBER_PATTERN}",
    rf"kB/s sent, quiet +.*?: mean {NUMBER_PATTERN}",
    rf"kB/s sent +median .*worst ten seconds of any {NUMBER_PATTERN}",
    rf"kB/s received +median .*worst ten seconds of any {NUMBER_PATTERN}",
    rf"share of a core +median .*?, worst front {NUMBER_PATTERN}%",
    rf"MB a front +state of its own: .*largest {NUMBER_PATTERN}",
)
"""Patterns of the report of `python -m benchmarks.capacity fleet`, in the order of the quantities."""


class FleetReportError(Exception):
    """The report of a fleet lacks a line."""


def parse_report(report: str) -> Sequence[float]:
    """Returns the figures of a report. Raises FleetReportError if one is missing."""
    found = []
    for pattern in REPORT_PATTERNS:
        match = re.search(pattern, report)
        if match is None:
            raise FleetReportError(f"the report does not match {pattern}: {report[-500:]}")
        found.append(float(match[1]))
    return found


def run_fleet(fronts: int, seed: int, membership: str, tree: Path) -> str:
    """Runs a fleet and returns its report. The exit status is ignored: an exceeded budget is not an error here."""
    arguments = {"fronts": fronts, "seed": seed, "minutes": MINUTES, "loss": LOSS, "fault": "region"}
    options = [argument for name, value in arguments.items() for argument in (f"--{name}", str(value))]
    command = [sys.executable, "-m", "benchmarks.capacity", "fleet", *options, "--membership", membership]
    done = subprocess.run(
        command, cwd=tree, capture_output=True, text=True, timeout=FLEET_TIMEOUT_S, check=False
    )
    return done.stdout + done.stderr


def membership_quantities(prefix: str) -> tuple[Quantity, ...]:
    """Returns the quantities of one kind of membership."""
    return (
        Quantity(f"{prefix}.start", "sent by the worst front in its worst 10 s of a whole start", "kB/s"),
        Quantity(f"{prefix}.quiet", "sent by a front in a quiet time, the mean", "kB/s"),
        Quantity(
            f"{prefix}.sent",
            "sent by the worst front in its worst 10 s, whole start and a region's cut",
            "kB/s",
        ),
        Quantity(f"{prefix}.received", "received by the worst front in its worst 10 s, the same", "kB/s"),
        Quantity(
            f"{prefix}.processor",
            "processor time of the worst front, the host's work included",
            "% of a core",
        ),
        Quantity(f"{prefix}.memory", "state of the largest member", "MB"),
    )


def measure_flat(seed: int, tree: Path = ROOT) -> ValuesBySize:
    """Measures today's membership, with all front ends in one table."""
    return {size: parse_report(run_fleet(size, seed, "flat", tree)) for size in FLAT_SIZES}


def measure_zoned(seed: int, tree: Path = ROOT) -> ValuesBySize:
    """Measures membership by zones and regions."""
    return {size: parse_report(run_fleet(size, seed, "zoned", tree)) for size in ZONED_SIZES}


FLEET_EXPERIMENTS = (
    Experiment("membership-flat", "fronts", "simulated", membership_quantities("membership"), measure_flat),
    Experiment(
        "membership-zoned",
        "fronts",
        "simulated",
        membership_quantities("zoned"),
        measure_zoned,
        program="mechanism",
    ),
)
