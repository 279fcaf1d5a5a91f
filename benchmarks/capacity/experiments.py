"""Experiments: runs of one kind whose values are stored as slopes."""

from __future__ import annotations

import os
import subprocess
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from benchmarks.capacity.slopes import MIN_RUNS, Measurement, Slope, store_slope

ROOT = Path(__file__).parents[2]
MEASURED_CODE = "oakcroft"
CPU_MS_PER_S_PER_PERCENT = 10.0
"""CPU milliseconds per second that are 1% of a core."""
SEEDS = tuple(range(1, MIN_RUNS + 1))

ValuesBySize = dict[int, Sequence[float]]
"""The values of the quantities of an experiment, in their order, for each size."""


class UncommittedChangesError(Exception):
    """The measured program has uncommitted changes, so that its commit would not identify it."""


@dataclass(frozen=True)
class Quantity:
    """A quantity that an experiment measures. `name` is the name of its slope."""

    name: str
    quantity: str
    unit: str
    note: str = ""


@dataclass(frozen=True)
class Experiment:
    """Runs of one kind. `measure` takes a seed and returns the values of `quantities`, in order, for each size."""

    name: str
    against: str
    kind: Literal["measured", "simulated"]
    quantities: tuple[Quantity, ...]
    measure: Callable[[int], Mapping[int, Sequence[float]]]
    seeds: tuple[int, ...] = SEEDS
    program: Literal["today", "mechanism"] = "today"


def measured_commit() -> str:
    """Returns the last commit that changed the program.

    Raises UncommittedChangesError if the working tree differs from it.
    """
    changed = run_git("status", "--porcelain", "--", MEASURED_CODE)
    if changed:
        raise UncommittedChangesError(f"uncommitted: {changed.splitlines()[0].strip()}")
    return run_git("log", "-1", "--format=%h", "--abbrev=12", "--", MEASURED_CODE)


def run_git(*arguments: str) -> str:
    """Returns the output of a git command, without surrounding whitespace."""
    done = subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True)
    return done.stdout.strip()


def run_experiment(experiment: Experiment, report_line: Callable[[str], None]) -> list[Slope]:
    """Runs an experiment with each seed and returns its slopes, which are not yet stored."""
    measured_at = measured_commit()
    runs = []
    for seed in experiment.seeds:
        found = experiment.measure(seed)
        for size, values in found.items():
            shown = "  ".join(
                f"{quantity.name} {value:.4g} {quantity.unit}"
                for quantity, value in zip(experiment.quantities, values, strict=True)
            )
            report_line(f"{experiment.name}: seed {seed}, {size} {experiment.against}: {shown}")
        runs.append(found)
    return [build_slope(experiment, i, runs, measured_at) for i in range(len(experiment.quantities))]


def build_slope(
    experiment: Experiment, index: int, runs: Sequence[Mapping[int, Sequence[float]]], measured_at: str
) -> Slope:
    """Builds the slope of one quantity from all runs, at the sizes that all of them have."""
    quantity = experiment.quantities[index]
    sizes = sorted(set.intersection(*(set(found) for found in runs)))
    measurements = tuple(Measurement(size, tuple(found[size][index] for found in runs)) for size in sizes)
    command = f"python -m benchmarks.capacity slopes --only {experiment.name}"
    return Slope(
        quantity.name, quantity.quantity, quantity.unit, experiment.against, experiment.kind, experiment.program, command,
        experiment.seeds, measured_at, os.cpu_count() or 1, measurements, quantity.note,
    )  # fmt: skip


def run_and_record(experiment: Experiment, report_line: Callable[[str], None]) -> None:
    """Runs an experiment and stores its slopes."""
    for measured_slope in run_experiment(experiment, report_line):
        store_slope(measured_slope)
