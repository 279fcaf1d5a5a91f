"""Measures what moves do for viewers of long lessons when nodes drain: gaps between packets, in one run per mode.

    python -m benchmarks.moving [--mode move break stay] [--scene drains deploy deaths] [--seed N] [--keep FOLDER]

Runs real fronts and stand-in nodes on loopback; players receive RTP and measure. `drains`: nodes drain one after the
other. `deploy`: the whole fleet is replaced in waves. `deaths`: drains while nodes crash, hang and lose answers.
"""

from __future__ import annotations

import argparse
from itertools import pairwise
from pathlib import Path

from hdrh.histogram import HdrHistogram

from oakcroft.rehearsal import report, runner
from oakcroft.rehearsal.outcome import Outcome
from oakcroft.rehearsal.players import MODES, Players
from oakcroft.rulecheck.repeated_set_ups import playback_key
from oakcroft.standins.day import parse_day

NODES = 8
NODE_NAMES = " ".join(f"n{i + 1}" for i in range(NODES))
TWO_PACKET_INTERVALS_NS = 80_000_000
PERCENTILES = (50, 90, 99, 100)
SITE = """(site
    (fleet (fronts 2) (wings west east) (cells 8) (racks 2) (copies 8) (seen-after 300ms) (reports-every 1s)
      (cold-share 0.4) (cold-for 4s) (fall-multiple 4) (fall-window 1s) (stay-away-most 1s) (drain-grace 250ms)
      (usual-notice 4s))
    (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
    (plan course (effect paid) (startup-target 1s) (abandon 4s) (revenue 2))
    (plan open (effect free) (startup-target 1s) (abandon 4s) (revenue 1))
    (plan seated (effect free) (startup-target 1s) (abandon 4s) (revenue 1) (seats 3))
    (route course (path "/whep/course/") (plan course)) (route open (path "/whep/open/") (plan open))
    (route seated (path "/whep/seated/") (plan seated))
    (nodes (silent-after 1s) (lost-after 3s)))"""
SCENES = {
    "drains": "".join(
        f"(fault preempt (at {6 + 4 * i}s) (for 1s) (on n{i + 1}) (size 4) (extra 1))" for i in range(6)
    ),
    "deploy": f"(fault deploy (at 6s) (for 24s) (on {NODE_NAMES}) (size 0.25) (extra 4))",
    "deaths": "".join(
        f"(fault preempt (at {6 + 4 * i}s) (for 1s) (on n{i + 1}) (size 3) (extra 1))" for i in range(6)
    )
    + "(fault crash (at 7s) (for 3s) (on n5)) (fault crash (at 11500ms) (for 3s) (on n7))"
    + "(fault hang (at 14s) (for 3s) (on n8)) (fault answer-lost (at 18s) (for 6s) (on n7 n8) (size 0.4))"
    + "(fault crash (at 19s) (for 2s) (on n4)) (fault front-kill (at 23s) (for 1s) (on 1) (extra 0.5))",
}


def day_text(scene: str, rate: float) -> str:
    """Returns a day of long lessons with the faults of a scene."""
    nodes = "".join(
        f"(node n{i + 1} (wing {'west' if i % 2 else 'east'}) (cell {i}) (link 24MB/s) (places 60))"
        for i in range(NODES)
    )
    return (
        f"(day (length 34s) (seed 1) (fronts west east) (late 200ms 700ms) (setup 5ms 20ms) {SITE} {nodes}"
        f"(viewers (rate {rate}/s) (titles 12) (back-after 500ms 1500ms) (returns 1)"
        f"(plan open (share 0.6) (life 16s)) (plan course (share 0.2) (life 16s)) (plan seated (share 0.2) (life 16s)))"
        f"{SCENES[scene]})"
    )


def play(scene: str, mode: str, seed: int, rate: float, keep: Path | None) -> None:
    """Plays a scene and prints the results."""
    text = day_text(scene, rate)
    players_type = type("PlayersOfMode", (Players,), {"mode": mode})
    outcome = runner.play(
        parse_day(text, scene).with_seed(seed), text, "oakcroft", lambda _: None, keep, players_type
    )
    assert isinstance(outcome.audience, Players)
    results = outcome.audience.results
    rules = "kept" if outcome.kept else "BROKEN"
    print(f"scene {scene}, players {mode}, seed {seed}: {len(results.playbacks)} playbacks, rules {rules}")
    for plan in sorted({playback.plan for playback in results.playbacks}):
        playbacks = [playback for playback in results.playbacks if playback.plan == plan]
        moved = [playback for playback in playbacks if playback.moves]
        smooth_count = sum(not playback.stalled for playback in playbacks)
        smooth_moved_count = sum(not playback.stalled for playback in moved)
        move_count = sum(playback.moves for playback in playbacks)
        refused_count = sum(playback.refused for playback in playbacks)
        print(
            f"  {plan:8} {len(playbacks):4} playbacks, {smooth_count / len(playbacks):6.1%} without a stall; "
            f"{move_count} moves of {len(moved)}, "
            f"of these {smooth_moved_count} without a stall; {refused_count} told to stay"
        )
    print_gaps([playback.longest_gap_ns for playback in results.playbacks], results.move_gaps_ns)
    print(f"  both copies played for {overlap_share(outcome):.2%} of all playing time")
    for line in report.rule_lines(outcome):
        print(line)
    for failure in outcome.failures:
        print(f"  failed: {failure}")


def print_gaps(playback_gaps_ns: list[int], move_gaps_ns: list[int]) -> None:
    """Prints the longest gaps of playbacks and those around moves."""
    gaps_us = HdrHistogram(1, 60_000_000, 3)
    for gap_ns in playback_gaps_ns:
        gaps_us.record_value(max(1, gap_ns // 1000))
    percentiles = "  ".join(
        f"p{percentile:g} {gaps_us.get_value_at_percentile(percentile) / 1000:.0f}"
        for percentile in PERCENTILES
    )
    print(f"  longest gap of each playback, ms: {percentiles}")
    if move_gaps_ns:
        gaps_ns = sorted(move_gaps_ns)
        long_count = sum(gap_ns > TWO_PACKET_INTERVALS_NS for gap_ns in gaps_ns)
        print(
            f"  longest gap around each of {len(gaps_ns)} moves, ms: p50 {gaps_ns[len(gaps_ns) // 2] / 1e6:.0f}"
            f"  max {gaps_ns[-1] / 1e6:.0f}, over two intervals {long_count}"
        )


def overlap_share(outcome: Outcome) -> float:
    """Returns the share of playing time in which a playback and its copy both played, by the nodes' records."""
    spans_by_key: dict[str, list[tuple[int, int]]] = {}
    running: dict[str, tuple[str, int]] = {}
    total_ns = 0
    for fact in outcome.facts:
        if fact["kind"] == "ran":
            running[fact["session"]] = (playback_key(fact["key"]), fact["t"])
        elif fact["kind"] == "over" and fact["session"] in running:
            key, started_at = running.pop(fact["session"])
            spans_by_key.setdefault(key, []).append((started_at, fact["t"]))
            total_ns += fact["t"] - started_at
    overlap_ns = 0
    for spans in spans_by_key.values():
        spans.sort()
        overlap_ns += sum(max(0, first[1] - second[0]) for first, second in pairwise(spans))
    return overlap_ns / max(1, total_ns)


def main() -> None:
    """Parses the arguments and plays each scene in each mode with each seed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--mode", nargs="+", default=list(MODES), choices=MODES)
    parser.add_argument("--scene", nargs="+", default=["drains"], choices=list(SCENES))
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--rate", type=float, default=5)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    for scene in arguments.scene:
        for mode in arguments.mode:
            for seed in arguments.seed:
                play(scene, mode, seed, arguments.rate, arguments.keep)


if __name__ == "__main__":
    main()
