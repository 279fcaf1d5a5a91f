"""Simulates service levels on many fronts: how often each front changes its level, and how many change at once.

    python -m benchmarks.service_levels [--fronts 200] [--minutes 10] [--seeds 10]

Either the load swings around an entry threshold, and each front sees it with its own error; or all links lose capacity at
once and recover. Compared with a plain threshold without hysteresis. The same seeds give the same result.
"""

from __future__ import annotations

import argparse
import bisect
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks.results import describe_machine
from oakcroft.decisions.admission.service_levels import (
    LevelEffects,
    LevelBounds,
    ServiceLevel,
    LevelController,
    SignalThreshold,
    LoadSignal,
)
from oakcroft.interface import MS, SECOND

FIRST_ENTRY = 1.05
"""Load at which the first level is entered, and the compared plain threshold."""
LEVELS = (
    ServiceLevel("careful", (SignalThreshold(LoadSignal.X, FIRST_ENTRY, 0.9),), LevelEffects(max_rung=2)),
    ServiceLevel(
        "courses-first",
        (SignalThreshold(LoadSignal.X, 1.3, 1.0),),
        LevelEffects(max_rung=1, admitted_shares={"open": 0.5}),
    ),
    ServiceLevel(
        "courses-only",
        (SignalThreshold(LoadSignal.X, 1.6, 1.1),),
        LevelEffects(max_rung=0, admitted_shares={"open": 0.0}),
    ),
)
STEP_NS = 250 * MS
LOAD_ERROR_SIGMA = 0.05
"""Standard deviation of the error with which a front sees the load."""
WEAK_PERIODS_S = ((60, 180), (300, 420))
"""Begin and end of each time in which all links have half of their capacity."""


def swinging(seconds: float) -> float:
    """Returns a load that swings around the first entry threshold with a period of 30 s."""
    return FIRST_ENTRY + (0.2 if int(seconds // 15) % 2 else -0.2)


def weakening(seconds: float) -> float:
    """Returns a load that is over all entry thresholds while the links are weak."""
    is_weak = any(begin <= seconds < end for begin, end in WEAK_PERIODS_S)
    return 1.7 if is_weak else 0.7


def max_within_second(times: list[int]) -> int:
    """Returns the largest number of these times within one second."""
    times.sort()
    return max((bisect.bisect_right(times, time + SECOND) - i for i, time in enumerate(times)), default=0)


def max_within_window(times: list[int], window: int) -> int:
    """Returns the largest number of these times within a window."""
    return max((sum(start <= time < start + window for time in times) for start in times), default=0)


@dataclass
class SimulationResult:
    """The result of all fronts."""

    change_counts: list[int]
    """Level changes of each front."""
    max_in_window: int
    """Most level changes of one front in any window of its bounds."""
    max_in_second: int
    """Most level changes of all fronts within a second."""
    threshold_changes: int
    """Changes of the plain threshold, per front."""
    reduced_share: float
    """Share of the time in a reduced level."""


def simulate(load: Callable[[float], float], front_count: int, minutes: float, seed: int) -> SimulationResult:
    """Simulates the level controllers of all fronts under one load."""
    rng = Random(seed)
    bounds = LevelBounds()
    fronts = [LevelController(LEVELS, bounds, Random(seed * 1000 + n), 0) for n in range(front_count)]
    change_times = [list[int]() for _ in fronts]
    is_over_threshold = [False] * front_count
    threshold_changes = 0
    reduced_steps = 0
    step_count = round(minutes * 60 * SECOND / STEP_NS)
    for n in range(step_count):
        now = n * STEP_NS
        true_load = load(now / 1e9)
        for i, front in enumerate(fronts):
            seen_load = max(0.0, true_load + rng.gauss(0, LOAD_ERROR_SIGMA))
            if front.update({LoadSignal.X: seen_load}, now) is not None:
                change_times[i].append(now)
            if (seen_load >= FIRST_ENTRY) != is_over_threshold[i]:
                is_over_threshold[i] = not is_over_threshold[i]
                threshold_changes += 1
            reduced_steps += front.current > 0
    return SimulationResult(
        change_counts=[len(times) for times in change_times],
        max_in_window=max(max_within_window(times, bounds.window) for times in change_times),
        max_in_second=max_within_second([time for times in change_times for time in times]),
        threshold_changes=threshold_changes // front_count,
        reduced_share=reduced_steps / step_count / front_count,
    )


def main() -> None:
    """Parses the arguments and prints a line for each load and seed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--seeds", type=int, default=10)
    arguments = parser.parse_args()
    bound = f"at most {LevelBounds().most_changes} changes in {LevelBounds().window // SECOND} s"
    print(f"{describe_machine()}; {arguments.fronts} fronts, {arguments.minutes:.0f} minutes, {bound}")
    for load in (swinging, weakening):
        for seed in range(1, arguments.seeds + 1):
            result = simulate(load, arguments.fronts, arguments.minutes, seed)
            counts = result.change_counts
            print(
                f"{load.__name__:9} seed {seed:2}: changes a front {sum(counts) / len(counts):.2f}, "
                f"most {max(counts)}, in any window {result.max_in_window}; "
                f"within a second {result.max_in_second}; a threshold {result.threshold_changes}; "
                f"reduced {result.reduced_share:.0%}",
                flush=True,
            )


if __name__ == "__main__":
    main()
