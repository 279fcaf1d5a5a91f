"""Tests a short day with faults on real processes, the start of the emulated fleet, and the translation of bench days."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from oakcroft.interface import SECOND
from oakcroft.rehearsal import front_processes
from oakcroft.rehearsal.bench_day import FAULT_KINDS, translate
from oakcroft.rehearsal.outcome import Outcome
from oakcroft.rehearsal.visits import plan_visits
from oakcroft.rehearsal import report, runner
from oakcroft.standins.day import Day, parse_day
from oakcroft.standins.day_schema import FAULTS

SHORT = """(day (length 7s) (seed 3) (fronts west east) (late 200ms 600ms) (guard 1.2) (setup 3ms 10ms)
  (site
    (fleet (fronts 2) (wings west east) (cells 4) (racks 2) (copies 4)
      (seen-after 200ms) (reports-every 1s) (cold-share 0.4) (cold-for 4s) (fall-multiple 4) (fall-window 1s)
      (stay-away-most 1s) (drain-grace 250ms) (tries-budget (free 4) (share 20%) (window 3s)))
    (ladder (rates 200kB/s 400kB/s 800kB/s) (worth 0.3 0.6 1))
    (plan course (effect paid) (startup-target 1s) (abandon 3s) (revenue 2))
    (plan open (effect free) (startup-target 1s) (abandon 3s) (revenue 1) (floor 1) (seats 20))
    (route course (path "/whep/course/") (plan course)) (route open (path "/whep/open/") (plan open))
    (nodes (silent-after 1s) (lost-after 3s) (list-within 300ms)))
  (node n1 (wing west) (cell 0) (link 20000kB/s) (places 40)) (node n2 (wing east) (cell 1) (link 20000kB/s) (places 40))
  (node n3 (wing west) (cell 2) (link 20000kB/s) (places 40)) (node n4 (wing east) (cell 3) (link 20000kB/s) (places 40))
  (viewers (rate 16/s) (titles 6) (back-after 300ms 900ms)
    (plan course (share 0.5) (life 2s)) (plan open (share 0.5) (life 3s)))
  (fault crash (at 1s) (for 2s) (on n2)) (fault hang (at 1500ms) (for 2s) (on n1))
  (fault answer-lost (at 2500ms) (for 2s) (on n3) (size 0.5))
  (fault preempt (at 3s) (for 1s) (on n4) (size 0.4) (extra 1))
  (fault front-stall (at 3500ms) (for 1500ms) (on 1) (size 1) (extra 1))
  (fault front-kill (at 4500ms) (for 500ms) (on 0) (extra 0.3)))"""


EARLY_FAULTS = """(fault crash (at 0ms) (for 1s) (on n2))
  (fault front-stall (at 0ms) (for 100ms) (on 0) (size 0.1) (extra 1)))"""
DAY_WITH_EARLY_FAULTS = SHORT[: SHORT.index("(fault")].replace("(length 7s)", "(length 2s)") + EARLY_FAULTS
"""A node and a front fail as soon as the day starts."""

CLOCK_SLACK_SECONDS = 0.05
"""Allowed difference between the clock of the event loop, which starts the day, and the wall clock of the record."""


def parse_scenario(body: str) -> Day:
    return parse_day(body, "day")


def test_a_short_day_with_faults_keeps_every_rule() -> None:
    progress: list[str] = []
    outcome = runner.play(parse_scenario(SHORT), SHORT, "oakcroft", progress.append)
    text = report.render_report(outcome, None)
    assert outcome.kept, text
    assert outcome.tally.answers["201"] > 30, text
    assert {"crash", "hang", "answer-lost", "preempt", "front-stall", "front-kill"} <= set(outcome.faults)
    assert [finding.rule for finding in outcome.findings] == [1, 2, 3, 4, 5, 6]
    assert progress


def delay_process_starts(monkeypatch: pytest.MonkeyPatch, folder: Path, cases: str) -> None:
    """Runs the cases of a shell `case` on the arguments of each Python process before the rehearsal starts it."""
    script = folder / "python"
    script.write_text(f'#!/bin/sh\ncase "$*" in\n{cases}\nesac\nexec "{sys.executable}" "$@"\n')
    script.chmod(0o755)
    monkeypatch.setattr(sys, "executable", str(script))


def play_day_with_early_faults(folder: Path) -> Outcome:
    """Plays the day with early faults, and keeps its records below the folder."""
    day = parse_scenario(DAY_WITH_EARLY_FAULTS)
    return runner.play(day, DAY_WITH_EARLY_FAULTS, "oakcroft", lambda _: None, folder / "kept")


def test_a_day_starts_after_a_settle_time_even_if_processes_start_slowly(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guards against a start that is set before all processes are up, which made the day fail on a slow machine."""
    delay_process_starts(monkeypatch, tmp_path, "*front-1.oak*) sleep 4 ;;\n*stand-in*) sleep 3 ;;")
    outcome = play_day_with_early_faults(tmp_path)
    assert outcome.failures == []
    assert outcome.kept, report.render_report(outcome, None)

    def times(kind: str) -> list[int]:
        return [fact["t"] for fact in outcome.facts if fact["kind"] == kind]

    assert len(times("front started")) == 2
    earliest = max(times("front started")) + round((runner.SETTLE_SECONDS - CLOCK_SLACK_SECONDS) * SECOND)
    assert min(times("ask")) >= earliest
    assert len(times("fault")) == 4  # start and end of each
    assert min(times("fault")) >= earliest
    assert len(times("front stands still")) == 1
    assert min(times("front stands still")) >= earliest


def test_a_front_that_does_not_start_in_time_fails_the_day(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(front_processes, "START_TIMEOUT_SECONDS", 5)
    delay_process_starts(monkeypatch, tmp_path, "*front-1.oak*) exec sleep 600 ;;")
    outcome = play_day_with_early_faults(tmp_path)
    assert any("front 1 did not start" in failure for failure in outcome.failures)
    assert not outcome.kept


def run_fleet(folder: Path, standard_input: bytes, *options: str) -> subprocess.CompletedProcess[bytes]:
    """Runs the fleet of a day until its standard input ends."""
    (folder / "day.oak").write_text(DAY_WITH_EARLY_FAULTS)
    command = [sys.executable, "-m", "oakcroft", "stand-in", str(folder / "day.oak"), "--seed", "3",
               "--record", str(folder / "fleet.jsonl"), *options]  # fmt: skip
    return subprocess.run(command, input=standard_input, capture_output=True, timeout=60, check=False)


@pytest.mark.parametrize("line", [b"", b"\n", b"soon\n", b"17", b"-5\n", b"1.5\n", b"7" * 100 + b"\n"])
def test_a_fleet_without_a_valid_start_exits_with_an_error_message(tmp_path: Path, line: bytes) -> None:
    ended = run_fleet(tmp_path, line)
    assert ended.returncode == 2
    assert b"is no start in ns since the epoch" in ended.stderr
    assert b"Traceback" not in ended.stderr


def test_a_fleet_reads_its_start_from_its_option_or_from_standard_input(tmp_path: Path) -> None:
    for standard_input, options in ((b"1\n", ()), (b"", ("--start", "1"))):
        ended = run_fleet(tmp_path, standard_input, *options)
        assert (ended.returncode, ended.stderr) == (0, b"")
        assert orjson.loads(ended.stdout)["list"] > 0


def test_the_visits_of_a_day_depend_on_its_seed_alone() -> None:
    day = parse_scenario(SHORT)
    assert plan_visits(day) == plan_visits(day)
    assert plan_visits(day) != plan_visits(day.with_seed(4))


def bench_day(kind: str) -> bytes:
    plan = {"name": "p", "share": 1.0, "work": 1e5, "aim": 8e5, "deadline": 5e6, "worth": 2.0, "effect": "unsafe",
            "group": "all", "window": 5e6}  # fmt: skip
    return orjson.dumps({
        "length": 5e7, "noise": 5, "zones": ["a", "b"], "traffic": {"load": 0.8},
        "clients": {"max_retry_after": 2e6}, "discovery": {"notice": 3e6, "add": 1e6},
        "allow": {"max_attempts": 3, "retry_after": True}, "drain_grace": 2.5e5, "fall_multiple": 4.0, "fall_for": 3e6,
        "classes": [plan],
        "tiers": [{"kinds": [{"cores": 3, "cold_from": 0.5, "cold": 6e6}]}],
        "servers": [{"zone": i % 2, "kind": 0} for i in range(60)], "balancers": [{"zone": i % 2} for i in range(20)],
        "troubles": [{"kind": kind, "at": 1e7, "len": 2e7, "size": 0.5, "extra": 2.0, "on": [20, 15, 4], "which": 0}],
        "fam": {"uplink_kb": [50000.0] * 6, "core_kb": 2677.0, "core_slots": 8.2, "rates": [200.0, 400.0, 800.0],
                "worth": [0.3, 0.6, 1.0], "life_s": 40.0,
                "uses": [{"scale": 1.2, "life": 0.7, "floor": 0, "top": 5, "seats": 0}],
                "copies": 1.5, "guard": 1.2, "stall": 9.0, "see": 770108, "tell": 4250000, "titles": 186,
                "title_zipf": 0.7, "returns": 0.8, "rejoin_us": 2.5e6, "small_screens": 0.2},
    })  # fmt: skip


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_every_fault_kind_of_the_bench_is_translated(kind: str) -> None:
    body, notes = translate(bench_day(kind), "d")
    translated = parse_scenario(body)
    assert [fault.kind for fault in translated.faults] == [FAULT_KINDS[kind]]
    assert FAULT_KINDS[kind] in FAULTS
    assert len(translated.nodes) == 24
    assert any(kind in note for note in notes)


def test_unknown_fault_kinds_are_noted_and_other_files_rejected() -> None:
    _, notes = translate(bench_day("meteor"), "d")
    assert "not mapped: meteor" in notes
    with pytest.raises(ValueError, match="not a day"):
        translate(b'{"fam": 1}', "d")
