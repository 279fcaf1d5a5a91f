"""Levels of reduced service on many fronts, driven by the pure module: how often they change, and how many at once.

    python -m benchmarks.levels [--fronts 200] [--minutes 10] [--seeds 10]

Load swings round an edge, each front sees it with an error of its own; or every link weakens at once and comes back.
Beside it a bare threshold at the entry. The same seeds give the same result.
"""

from __future__ import annotations

import argparse
import bisect
import os
import platform
from collections.abc import Callable
from random import Random

from oakcroft.decisions.admission.service_levels import (
    LevelEffects,
    LevelBounds,
    ServiceLevel,
    LevelController,
    SignalThreshold,
    LoadSignal,
)
from oakcroft.interface import MS, SECOND

LEVELS = (
    ServiceLevel("careful", (SignalThreshold(LoadSignal.X, 1.05, 0.9),), LevelEffects(max_rung=2)),
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
STEP = 250 * MS


def swinging(seconds: float) -> float:
    """Round the first entry, a swing each 30 s."""
    return 1.05 + (0.2 if int(seconds // 15) % 2 else -0.2)


def weakening(seconds: float) -> float:
    """All links give half for two minutes, twice."""
    return 1.7 if 60 <= seconds < 180 or 300 <= seconds < 420 else 0.7


def at_once(times: list[int]) -> int:
    """The most of these within a second."""
    times.sort()
    return max((bisect.bisect_right(times, t + SECOND) - i for i, t in enumerate(times)), default=0)


def drive(
    load: Callable[[float], float], fronts: int, minutes: float, seed: int
) -> tuple[list[int], int, int, int, float]:
    """Changes of each front, the most in any window, the most fronts within a second, a threshold's changes a front, and
    the share of time spent reduced."""
    rng, bounds = Random(seed), LevelBounds()
    some = [LevelController(LEVELS, bounds, Random(seed * 1000 + n), 0) for n in range(fronts)]
    changes, times, over, plain, reduced = [list[int]() for _ in some], list[int](), [False] * fronts, 0, 0
    steps = round(minutes * 60 * SECOND / STEP)
    for n in range(steps):
        now, x = n * STEP, load(n * STEP / 1e9)
        for i, one in enumerate(some):
            seen = max(0.0, x + rng.gauss(0, 0.05))
            if one.update({LoadSignal.X: seen}, now) is not None:
                changes[i].append(now)
                times.append(now)
            if (seen >= 1.05) != over[i]:
                over[i] = not over[i]
                plain += 1
            reduced += one.current > 0
    worst = max((sum(t <= u < t + bounds.window for u in mine) for mine in changes for t in mine), default=0)
    return [len(mine) for mine in changes], worst, at_once(times), plain // fronts, reduced / steps / fronts


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--seeds", type=int, default=10)
    given = parser.parse_args()
    bound = f"at most {LevelBounds().most_changes} changes in {LevelBounds().window // SECOND} s"
    where = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    print(f"{where}; {given.fronts} fronts, {given.minutes:.0f} minutes, {bound}")
    for load in (swinging, weakening):
        for seed in range(1, given.seeds + 1):
            counts, worst, together, plain, reduced = drive(load, given.fronts, given.minutes, seed)
            mean = sum(counts) / len(counts)
            print(f"{load.__name__:9} seed {seed:2}: changes a front {mean:.2f}, most {max(counts)}, "
                  f"in any window {worst}; within a second {together}; a threshold {plain}; reduced {reduced:.0%}",
                  flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
