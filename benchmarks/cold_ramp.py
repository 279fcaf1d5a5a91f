"""Simulates whole fleets of the real decision module and counts the set-ups that cold nodes get from all fronts together.

python -m benchmarks.cold_ramp [SEEDS [SETTINGS...]]

A window is the settings' overload window before each set-up on a cold node. Its bound is N + 2 * sqrt(N) + 2, where N is
what the settings allow at the node's age, by the warm-up that the module assumes, which is slower than the real one.
"""

from __future__ import annotations

import sys

from benchmarks.cold_ramp_simulation import ColdUse, Day, Load, Setting
from oakcroft.interface import MS, SECOND

FRONT_COUNTS = (1, 2, 3, 20, 30, 200)

LOADS = (
    Load("even"),
    Load("uneven", front_share_sigma=0.8),
    Load("70% restarted", front_share_sigma=0.8, restarted_share=0.7),
    Load("hot titles, 30% restarted", front_share_sigma=0.8, restarted_share=0.3, has_hot_titles=True),
    Load("crowd of five, 70% restarted", front_share_sigma=0.8, restarted_share=0.7, crowd_factor=5.0),
)

SETTINGS = (
    Setting("lessons", 4.0, 3 * SECOND, 8 * SECOND, 0.5, (7.5,), 1.2),
    Setting("replays", 2.5, 1500 * MS, 8 * SECOND, 0.5, (5.3, 10.6), 1.2),
    Setting("halls", 3.0, 2 * SECOND, 10 * SECOND, 0.4, (60.0, 400.0), 12.0),
    Setting("kiosks", 2.0, SECOND, 5 * SECOND, 0.2, (4.0,), 1.0),
)


def main() -> None:
    """Prints the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print("| settings | fronts | load | windows | past, a thousand | fullest | budget used | rejected |")
    print("| --- " * 8 + "|")
    for setting in [setting for setting in SETTINGS if not sys.argv[2:] or setting.name in sys.argv[2:]]:
        for fronts in FRONT_COUNTS:
            for load in LOADS:
                print("|", *(f"{cell} |" for cell in table_row(setting, fronts, load, seeds)), flush=True)


def table_row(setting: Setting, fronts: int, load: Load, seeds: int) -> list[object]:
    """Returns the cells of one row: the sums, means or maxima over all seeds."""
    results = list[ColdUse]()
    rejected = 0
    requests = 0
    for seed in range(seeds):
        day = Day(setting, fronts, load, seed)
        results.append(day.play())
        rejected += day.rejected_count
        requests += day.request_count
    windows = sum(result.window_count for result in results)
    over_bound = sum(result.over_bound_count for result in results)
    max_ratio = max(result.max_ratio for result in results)
    used = sum(result.used_share for result in results) / len(results)
    return [
        setting.name,
        fronts,
        load.name,
        windows,
        f"{1000 * over_bound / max(1, windows):.1f}",
        f"{max_ratio:.2f}",
        f"{used:.2f}",
        f"{rejected / max(1, requests):.1%}",
    ]


if __name__ == "__main__":
    main()
