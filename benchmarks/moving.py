"""What moving does for viewers of long lessons when nodes drain: gaps by packets, in one run a mode.

    python -m benchmarks.moving [--mode move break stay] [--scene drains deploy deaths] [--seed N] [--keep FOLDER]

Real fronts and stand-in nodes on loopback; players receive RTP and measure. `drains`: nodes taken away one after the
other. `deploy`: the whole fleet replaced in waves. `deaths`: drains while nodes die, hang and lose answers.
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
ALL = " ".join(f"n{i + 1}" for i in range(NODES))
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
    "deploy": f"(fault deploy (at 6s) (for 24s) (on {ALL}) (size 0.25) (extra 4))",
    "deaths": "".join(
        f"(fault preempt (at {6 + 4 * i}s) (for 1s) (on n{i + 1}) (size 3) (extra 1))" for i in range(6)
    )
    + "(fault crash (at 7s) (for 3s) (on n5)) (fault crash (at 11500ms) (for 3s) (on n7))"
    + "(fault hang (at 14s) (for 3s) (on n8)) (fault answer-lost (at 18s) (for 6s) (on n7 n8) (size 0.4))"
    + "(fault crash (at 19s) (for 2s) (on n4)) (fault front-kill (at 23s) (for 1s) (on 1) (extra 0.5))",
}


def day(scene: str, rate: float) -> str:
    """A day of long lessons."""
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
    """One run."""
    body = day(scene, rate)
    kind = type("These", (Players,), {"mode": mode})
    outcome = runner.play(
        parse_day(body, scene).with_seed(seed), body, "oakcroft", lambda _: None, keep, kind
    )
    assert isinstance(outcome.audience, Players)
    seen = outcome.audience.results
    gaps = HdrHistogram(1, 60_000_000, 3)
    for one in seen.playbacks:
        gaps.record_value(max(1, one.longest_gap_ns // 1000))
    kept = "kept" if outcome.kept else "BROKEN"
    print(f"scene {scene}, players {mode}, seed {seed}: {len(seen.playbacks)} playbacks, rules {kept}")
    for plan in sorted({w.plan for w in seen.playbacks}):
        some = [w for w in seen.playbacks if w.plan == plan]
        moved = [w for w in some if w.moves]
        still = sum(not w.stalled for w in some)
        moves, refused = sum(w.moves for w in some), sum(w.refused for w in some)
        smooth = sum(not w.stalled for w in moved)
        print(
            f"  {plan:8} {len(some):4} playbacks, {still / len(some):6.1%} without a stall; "
            f"{moves} moves of {len(moved)}, "
            f"of these {smooth} without a stall; {refused} told to stay"
        )
    figures = "  ".join(f"p{p:g} {gaps.get_value_at_percentile(p) / 1000:.0f}" for p in (50, 90, 99, 100))
    print(f"  longest gap of each playback, ms: {figures}")
    if seen.move_gaps_ns:
        some_gaps = sorted(seen.move_gaps_ns)
        over = sum(g > 80_000_000 for g in some_gaps)
        print(f"  longest gap around each of {len(some_gaps)} moves, ms: p50 {some_gaps[len(some_gaps) // 2] / 1e6:.0f}"
              f"  max {some_gaps[-1] / 1e6:.0f}, over two intervals {over}")  # fmt: skip
    print(f"  both copies played for {overlap(outcome):.2%} of all playing time")
    for line in report.rule_lines(outcome):
        print(line)
    for failure in outcome.failures:
        print(f"  failed: {failure}")


def overlap(outcome: Outcome) -> float:
    """The share of playing time in which a playback and its copy both played, from the nodes' records."""
    spans: dict[str, list[tuple[int, int]]] = {}
    ran: dict[str, tuple[str, int]] = {}
    whole = 0
    for fact in outcome.facts:
        if fact["kind"] == "ran":
            ran[fact["session"]] = (playback_key(fact["key"]), fact["t"])
        elif fact["kind"] == "over" and fact["session"] in ran:
            key, since = ran.pop(fact["session"])
            spans.setdefault(key, []).append((since, fact["t"]))
            whole += fact["t"] - since
    both = 0
    for some in spans.values():
        some.sort()
        both += sum(max(0, a[1] - b[0]) for a, b in pairwise(some))
    return both / max(1, whole)


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--mode", nargs="+", default=list(MODES), choices=MODES)
    parser.add_argument("--scene", nargs="+", default=["drains"], choices=list(SCENES))
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--rate", type=float, default=5)
    parser.add_argument("--keep", type=Path)
    given = parser.parse_args()
    for scene in given.scene:
        for mode in given.mode:
            for seed in given.seed:
                play(scene, mode, seed, given.rate, given.keep)


if __name__ == "__main__":
    main()
