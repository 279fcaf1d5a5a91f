"""Service levels: the controller, its limit on changes under any load, and a front end that changes its level."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise, product
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig import run_async_test, running_front_end, wait_until

from oakcroft.config.pipeline import check_file
from oakcroft.decisions.admission.admission_gate import AdmissionGate
from oakcroft.decisions.admission.recent_answers import RecentAnswers
from oakcroft.decisions.admission.service_levels import (
    LevelBounds,
    LevelController,
    LevelEffects,
    LoadSignal,
    ServiceLevel,
    SignalThreshold,
)
from oakcroft.interface import MS, SECOND

LEVELS = (
    ServiceLevel("tight", (SignalThreshold(LoadSignal.X, 1.0, 0.9),), LevelEffects(max_rung=1)),
    ServiceLevel(
        "low",
        (SignalThreshold(LoadSignal.X, 1.2, 1.0), SignalThreshold(LoadSignal.LAG, 50.0, 10.0)),
        LevelEffects(max_rung=0, admitted_shares={"open": 0.5}, moves_allowed=False),
    ),
    ServiceLevel(
        "core",
        (SignalThreshold(LoadSignal.X, 1.5, 1.1),),
        LevelEffects(
            max_rung=0, admitted_shares={"open": 0.0}, moves_allowed=False, maintenance_allowed=False
        ),
    ),
)
BOUNDS = LevelBounds(least=10 * SECOND, most_changes=4, window=60 * SECOND, hold=SECOND)


def level_controller(seed: int = 1, bounds: LevelBounds = BOUNDS) -> LevelController:
    """Makes a level controller."""
    return LevelController(LEVELS, bounds, Random(seed), 0)


def feed(controller: LevelController, loads: list[float], step: int = 500 * MS) -> list[tuple[int, str]]:
    """Feeds a series of link loads, `step` ns apart; returns the times and names of the levels entered."""
    changes = []
    for step_number, load in enumerate(loads):
        if change := controller.update({LoadSignal.X: load}, step_number * step):
            changes.append((step_number * step, change.current))
    return changes


def test_levels_are_entered_and_left_by_signals_that_hold_or_far_exceed_a_threshold() -> None:
    """A level is entered once its signal holds, or at once far over the threshold, and left once the exit holds."""
    controller = level_controller()
    assert feed(controller, [1.1, 0.5] * 20) == []  # the signal never holds for long enough
    controller = level_controller()
    names = [name for _, name in feed(controller, [1.1] * 60 + [0.95] * 60 + [0.2] * 100)]
    assert names == ["tight", "full"]  # 0.95 is between the thresholds
    controller = level_controller()
    changes = feed(controller, [2.4] + [0.2] * 200)
    assert [name for _, name in changes] == ["core", "full"]
    assert changes[0][0] == 0
    assert all(later - earlier >= BOUNDS.least for (earlier, _), (later, _) in pairwise(changes))
    controller = level_controller()
    assert [name for _, name in feed(controller, [2.4] + [0.95] * 100 + [0.2] * 100)] == [
        "core",
        "tight",
        "full",
    ]
    controller = level_controller()
    controller.update({LoadSignal.X: 0.1, LoadSignal.LAG: 60.0}, 0)
    change = controller.update({LoadSignal.X: 0.1, LoadSignal.LAG: 60.0}, 6 * SECOND)
    assert change is not None
    assert (change.current, change.reason) == ("low", "lag 60 over 50")


@given(st.integers(0, 1 << 30), st.lists(st.floats(0, 3), max_size=200), st.integers(100, 8000))
def test_changes_stay_within_the_limit_and_low_load_restores_full_service(
    seed: int, loads: list[float], step_ms: int
) -> None:
    """Guards against flapping and against service that stays reduced for ever.

    No load causes more changes than the limit in any window, and low load always brings full service back.
    """
    controller = level_controller(seed)
    times = [changed_at for changed_at, _ in feed(controller, loads, step_ms * MS)]
    for i, first in enumerate(times):
        assert sum(first <= time < first + BOUNDS.window for time in times[i:]) <= BOUNDS.most_changes
    assert all(later - earlier >= BOUNDS.least for earlier, later in pairwise(times))
    now = len(loads) * step_ms * MS
    for step_number in range(900):
        controller.update({LoadSignal.X: 0.1}, now + step_number * 500 * MS)
    assert controller.level.name == "full"


def test_all_short_load_sequences_keep_the_limit_on_changes() -> None:
    """Every sequence of six loads keeps the limit on changes and returns to full service."""
    bounds = LevelBounds(least=2, most_changes=3, window=9, hold=1)
    seen: Counter[str] = Counter()
    for loads in product((0.2, 1.1, 1.3, 2.4), repeat=6):
        controller = LevelController(LEVELS, bounds, Random(1), 0)
        times = []
        for n, load in enumerate(loads):
            if controller.update({LoadSignal.X: load}, n * 2):
                times.append(n * 2)
            seen[controller.level.name] += 1
        for i, first in enumerate(times):
            assert sum(time < first + 9 for time in times[i:]) <= 3
        for n in range(6, 60):
            controller.update({LoadSignal.X: 0.2}, n * 2)
        assert controller.current == 0, loads
    assert set(seen) == {"full", "tight", "low", "core"}


def test_two_hundred_front_ends_do_not_change_level_in_step() -> None:
    """Guards against hundreds of front ends that change level in step when the load swings around a threshold."""
    controllers = [level_controller(seed) for seed in range(200)]
    rng = Random(9)
    change_times: list[int] = []
    for step_number in range(1200):  # ten minutes
        load = 1.02 + 0.15 * (1 if step_number // 30 % 2 else -1) + rng.uniform(-0.02, 0.02)
        for controller in controllers:
            if controller.update({LoadSignal.X: load + rng.gauss(0, 0.04)}, step_number * 500 * MS):
                change_times.append(step_number * 500 * MS)
    assert (
        max(sum(start <= time < start + SECOND for time in change_times) for start in set(change_times))
        <= 120
    )
    assert max(len(controller.history) for controller in controllers) <= BOUNDS.most_changes * 10
    swings = 0
    for step_number in range(1, 1200):
        swings += (1 if step_number // 30 % 2 else -1) != (1 if (step_number - 1) // 30 % 2 else -1)
    # A plain threshold would follow each swing.
    assert sum(len(controller.history) for controller in controllers) / 200 < swings


def test_a_pin_expires_and_the_gate_admits_the_configured_share() -> None:
    """A pinned level holds until its time; the admission gate admits the configured share of requests."""
    controller = level_controller()
    assert not controller.pin_to("nothing", 9)
    assert controller.pin_to("low", 20 * SECOND)
    assert controller.update({LoadSignal.X: 0.1}, 0) is not None
    assert controller.update({LoadSignal.X: 2.9}, SECOND) is None
    assert "pinned to low for 19 s" in controller.next_change_conditions({}, SECOND)[0]
    assert controller.update({LoadSignal.X: 0.1}, 21 * SECOND) is None
    assert controller.update({LoadSignal.X: 0.1}, 50 * SECOND) is not None
    gate = AdmissionGate()
    admitted = [gate.admit(LEVELS[1].effects, "open") for _ in range(100)]
    assert sum(admitted) in (50, 51)
    assert not any(gate.admit(LEVELS[2].effects, "open") for _ in range(50))
    assert all(gate.admit(LEVELS[2].effects, "course") for _ in range(50))


def test_recent_answers_yield_their_shares() -> None:
    """The load signals are shares of recent answers, and 0 when too few answers are left."""
    answers = RecentAnswers()
    assert answers.signals(0)[LoadSignal.REJECTED] == 0.0
    for n in range(10):
        answers.record_answer(n % 2 == 0, 2.0, n >= 5, 0)
    assert answers.signals(0) == {LoadSignal.REJECTED: 0.5, LoadSignal.LATE: 0.5}
    assert answers.signals(60 * SECOND)[LoadSignal.REJECTED] == 0.0  # too few recent answers


SITE = """(operators (secret "operators-secret"))
  (levels (least 300ms) (hold 50ms) (most-changes 50) (window 60s))
  (level careful (rank 1) (x 50 40) (top 1))
  (level courses-only (rank 2) (refused 90% 10%) (top 0) (admits open 0) (moves no))"""


@pytest.mark.parametrize(("form", "message"), [
    ("(level a (rank 1) (x 1 0.9)) (level b (rank 1) (x 2 1))", "have the same rank"),
    ("(level a (rank 1))", "is never entered"),
    ("(level a (rank 1) (x 0.9 1))", "has x entry 0.9, which must be above its exit 1"),
    ("(level a (rank 1) (x 1 0.9) (admits opne 0.5))", "opne"),
    ("(level a (rank 1) (x 1 0.9) (admits open 1.5))", "is not a share"),
    ("(level a (rank 1) (refused 200% 10%))", "is not a share"),
    ("(level a (rank 1) (lag 40 10ms))", "has no unit"),
    ("(levels (most-changes 1))", "most-changes"),
])  # fmt: skip
def test_an_invalid_level_is_reported(form: str, message: str) -> None:
    """An error in a level of the configuration is reported with its reason."""
    text = """(fleet (cells 2)) (ladder (rates 200kB/s 400kB/s) (worth 0.5 1))
      (plan open (effect free) (startup-target 1s) (abandon 5s) (revenue 1))
      (route open (path "/whep/open/") (plan open))"""
    found, problems = check_file("site", lambda _: text + form, False)
    assert found is None
    reported = [problems.format(error) for error in problems.errors]
    assert any(message in error for error in reported), reported


def test_a_front_end_reduces_service_by_its_level_and_reports_it(tmp_path: Path) -> None:
    """A front end rejects plans and lowers rungs as its level demands; its status reports the level and the reason."""
    auth: dict[str, Any] = {"Authorization": "Bearer operators-secret"}

    async def test() -> None:
        async with running_front_end(tmp_path, SITE) as rig:
            assert (await rig.request_playback("/whep/open/a")).status == 201
            pinned = await rig.request("POST", "/operators/level?name=courses-only&for=60", **auth)
            assert pinned.status == 200
            await wait_until(lambda: any(e["event"] == "level" for e in rig.log_entries()))
            refused = await rig.request_playback("/whep/open/a")
            assert refused.status == 503
            assert b"urn:oakcroft:problem:reduced" in refused.body
            # Only the open plan is reduced.
            assert (await rig.request_playback("/whep/course/a")).status == 201
            assert rig.recorded("setup")[-1]["rung"] == 0
            status = orjson.loads((await rig.request("GET", "/operators/status", **auth)).body)
            assert status["level"]["name"] == "courses-only"
            assert status["level"]["why"] == "pinned by an operator"
            assert (await rig.request("POST", "/operators/level?name=nothing&for=9", **auth)).status == 404
            assert (await rig.request("POST", "/operators/level?name=", **auth)).status == 200  # unpinned
            await wait_until(
                lambda: [e["after"] for e in rig.log_entries() if e["event"] == "level"][-1] == "full"
            )
            assert (await rig.request_playback("/whep/open/a")).status == 201

    run_async_test(test)
