"""Zone preference: evidence of a zone's health, the ramp of a returning zone, and the limit on overflow."""

from __future__ import annotations

from itertools import pairwise, product
from pathlib import Path
from random import Random
from typing import Any

import orjson
from hypothesis import given
from hypothesis import strategies as st
from rig import run_async_test, running_front_end, wait_until

from oakcroft.decisions.routing.zone_preference import (
    NO_READY_NODE,
    TRANSITIONS,
    NodeEvidence,
    OverflowWindow,
    ZoneHealth,
    ZonePreference,
    ZonePreferenceBounds,
    ZoneState,
    zone_load,
)
from oakcroft.interface import SECOND

ALL_ANSWER = {NodeEvidence.ANSWERS: 10}
MOSTLY_SILENT = {NodeEvidence.ANSWERS: 2, NodeEvidence.SILENT: 8}
MOSTLY_FAILED = {NodeEvidence.ANSWERS: 1, NodeEvidence.REFUSES: 5, NodeEvidence.GONE: 4}
SOME_REFUSE = {NodeEvidence.ANSWERS: 6, NodeEvidence.REFUSES: 4}


def states_over(
    health: ZoneHealth, seconds: int, nodes: dict[NodeEvidence, int], start_s: int = 0
) -> list[ZoneState]:
    """Updates a zone twice a second with the same evidence; returns the states that it enters."""
    states = []
    for half_second in range(seconds * 2):
        if (state := health.update(nodes, start_s * SECOND + half_second * SECOND // 2)) is not None:
            states.append(state)
    return states


def test_a_cut_differs_from_a_loss_and_both_from_a_few_failed_nodes() -> None:
    """A cut zone is silent, a lost zone has no processes; evidence that does not hold changes nothing."""
    health = ZoneHealth(ZonePreferenceBounds())
    assert states_over(health, 10, SOME_REFUSE) == []
    assert states_over(health, 1, MOSTLY_SILENT, 10) == []  # the evidence did not hold for long enough
    assert states_over(health, 10, ALL_ANSWER, 11) == []
    assert states_over(health, 5, MOSTLY_SILENT, 30) == [ZoneState.CUT]
    assert states_over(health, 5, MOSTLY_FAILED, 40) == [ZoneState.LOST]
    assert states_over(health, 5, MOSTLY_SILENT, 50) == []  # silence does not turn a lost zone into a cut one
    assert states_over(health, 60, ALL_ANSWER, 60) == [ZoneState.RETURNING, ZoneState.SOUND]
    assert states_over(health, 5, {}, 130) == []


def test_the_ramp_rises_and_takes_longer_with_each_relapse() -> None:
    """A zone that fails again while it returns gets a longer ramp, up to a limit, until it has been sound for long."""
    health = ZoneHealth(ZonePreferenceBounds())
    ramps: list[int] = []
    now = 0
    for _ in range(6):
        states_over(health, 5, MOSTLY_FAILED, now)
        states_over(health, 3, ALL_ANSWER, now + 5)
        assert health.state is ZoneState.RETURNING
        ramps.append(health.ramp_time // SECOND)
        shares = [health.traffic_share(health.state_since + t * SECOND) for t in range(400)]
        assert all(later >= earlier for earlier, later in pairwise(shares))
        assert shares[0] < 0.01
        assert shares[-1] == 1.0
        now += 8
    assert ramps == [30, 60, 120, 240, 300, 300]
    states_over(health, 2000, ALL_ANSWER, now)
    assert (health.state, health.relapses) == (ZoneState.SOUND, 0)
    cut = ZoneHealth(ZonePreferenceBounds())
    states_over(cut, 5, MOSTLY_SILENT)
    states_over(cut, 4, ALL_ANSWER, 5)
    assert cut.ramp_time == 30 * SECOND // 4  # the nodes of a cut zone are warm


def test_every_short_history_makes_allowed_transitions_and_recovers() -> None:
    """Every sequence of six pieces of evidence keeps to the state machine, and good evidence makes the zone sound."""
    for history in product((ALL_ANSWER, MOSTLY_SILENT, MOSTLY_FAILED, SOME_REFUSE), repeat=6):
        health = ZoneHealth(ZonePreferenceBounds(hold=1, ramp=4, longest=16))
        states = [health.state]
        for step, nodes in enumerate(history):
            health.update(nodes, step * 2)
            health.update(nodes, step * 2 + 1)
            states.append(health.state)
        for step in range(12, 200):
            health.update(ALL_ANSWER, step)
            states.append(health.state)
        assert states[-1] is ZoneState.SOUND
        assert all(
            after is before
            or after in TRANSITIONS[before]
            or any(after in TRANSITIONS[between] for between in TRANSITIONS[before])
            for before, after in pairwise(states)
        )


@given(st.integers(0, 1 << 30), st.floats(0, 1), st.lists(st.integers(0, 3_000), max_size=150))
def test_overflow_stays_within_its_limit(seed: int, spill_share: float, gaps: list[int]) -> None:
    """No sequence of requests sends more than the configured share of any window to the other zone."""
    bounds, rng = ZonePreferenceBounds(spill=spill_share), Random(seed)
    preference = ZonePreference(("west", "east"), bounds)
    choices: list[tuple[int, bool]] = []
    now = 0
    for gap in gaps:
        now += gap * 1_000_000
        west_evidence = MOSTLY_FAILED if rng.random() < 0.8 else ALL_ANSWER
        preference.update({"west": west_evidence, "east": ALL_ANSWER}, now)
        chosen = preference.choose_zones(
            {"west": rng.random(), "east": rng.random() * 1.2}, rng.random(), now
        )
        choices.append((now, chosen == {"east"}))
        window = [overflowed for t, overflowed in choices if t > now - bounds.window]
        assert sum(window) <= spill_share * len(window) + 1e-9 or not window[-1]


def test_own_zone_first_others_within_the_limit_and_the_rest_rejected() -> None:
    """Requests go to the own zone, then to others up to the overflow limit; the rest is rejected."""
    preference = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=0.5))
    assert preference.choose_zones({}, 0.99, 0) == {"west"}
    for n in range(8):
        preference.update({"west": MOSTLY_FAILED, "east": ALL_ANSWER}, n * SECOND)
    chosen = [preference.choose_zones({"east": 0.5}, 0.5, 8 * SECOND + n) for n in range(100)]
    assert sum(chosen_zones == {"east"} for chosen_zones in chosen) == 50
    assert sum(not chosen_zones for chosen_zones in chosen) == preference.rejected_count == 50
    assert preference.choose_zones({"east": 0.95}, 0.5, 60 * SECOND) == set()  # the other zone has no room
    full = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0))
    assert full.choose_zones({"west": 0.95, "east": 0.5}, 0.5, 0) == {"east"}  # the own zone is full
    # Both are full, so the decision module decides.
    assert full.choose_zones({"west": 0.95, "east": 0.95}, 0.5, 0) == {"west"}


def test_a_zone_without_a_ready_node_has_no_room() -> None:
    """Guards against requests to a zone without ready nodes, whatever the configured `room`."""
    assert zone_load([0.5, 0.7]) == 0.6
    assert zone_load([]) == NO_READY_NODE
    zones = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0, room=1_000.0))
    assert zones.choose_zones({"west": NO_READY_NODE, "east": 0.5}, 0.5, 0) == {"east"}
    assert zones.choose_zones({"west": 0.5, "east": NO_READY_NODE}, 0.5, 0) == {"west"}
    nowhere = {"west": NO_READY_NODE, "east": NO_READY_NODE}
    assert zones.choose_zones(nowhere, 0.5, 0) == {"west"}  # the decision module decides


def test_requests_of_a_draining_zone_overflow_within_the_limit_and_return_at_once() -> None:
    """A drained zone counts as sound: its requests overflow, and return without a ramp."""
    zones = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=0.5))
    drained = {NodeEvidence.DRAINS: 10}
    zones.update({"west": drained, "east": ALL_ANSWER}, 0)
    chosen = [zones.choose_zones({"west": NO_READY_NODE, "east": 0.5}, 0.5, n) for n in range(100)]
    assert sum(chosen_zones == {"east"} for chosen_zones in chosen) == 50
    zones.update({"west": drained, "east": ALL_ANSWER}, 9 * SECOND)
    # A drain is no failure, so there is no ramp after it.
    assert zones.health["west"].state is ZoneState.SOUND
    assert zones.choose_zones({"west": 0.5, "east": 0.5}, 0.99, 10 * SECOND) == {"west"}


def test_draining_nodes_do_not_count_as_evidence() -> None:
    """Only the nodes that do not drain decide on the health of their zone."""
    assert states_over(ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 10}) == []
    assert (
        states_over(ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 8, NodeEvidence.ANSWERS: 2})
        == []
    )
    assert (
        states_over(
            ZoneHealth(ZonePreferenceBounds()),
            10,
            {NodeEvidence.DRAINS: 8, NodeEvidence.ANSWERS: 1, NodeEvidence.SILENT: 1},
        )
        == []
    )
    assert states_over(
        ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 8, NodeEvidence.SILENT: 2}
    ) == [ZoneState.CUT]
    assert states_over(
        ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 5, NodeEvidence.REFUSES: 5}
    ) == [ZoneState.LOST]


def test_two_hundred_front_ends_return_to_a_zone_gradually() -> None:
    """Guards against front ends that all return to a zone at the same moment and overload it."""
    fronts = [ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0)) for _ in range(200)]
    rng = Random(5)
    requests_by_second: list[int] = []
    for second in range(60):
        now = second * SECOND
        requests = 0
        for preference in fronts:
            preference.update({"west": MOSTLY_FAILED if second < 10 else ALL_ANSWER, "east": ALL_ANSWER}, now)
            requests += sum(preference.choose_zones({}, rng.random(), now) == {"west"} for _ in range(2))
        requests_by_second.append(requests)
    assert sum(requests_by_second[3:12]) <= 4
    # There are 400 requests a second, so the front ends return gradually.
    assert max(later - earlier for earlier, later in pairwise(requests_by_second[12:42])) <= 60
    assert requests_by_second[-1] == 400


def test_the_overflow_window_expires() -> None:
    """Requests that have left the window count no more, neither as requests nor as overflow."""
    window = OverflowWindow(ZonePreferenceBounds(spill=0.5, window=10))
    assert not window.allows_overflow(0)
    window.record_request(False, 0)
    assert window.allows_overflow(0)
    window.record_request(True, 0)
    assert not window.allows_overflow(5)
    assert not window.allows_overflow(
        11
    )  # the window is empty: one request to another zone would be all of it


def test_a_front_end_prefers_its_zone_overflows_within_the_limit_and_returns(tmp_path: Path) -> None:
    """A front end leaves its zone when the only node there dies, and returns by the ramp once the node is back."""
    form = """(operators (secret "operators-secret"))
      (preference (spill 50%) (window 60s) (hold 300ms) (ramp 2s) (room 2))"""

    async def test() -> None:
        async with running_front_end(tmp_path, form, two_zones=True) as rig:
            for n in range(6):
                assert (await rig.request_playback(f"/whep/open/t{n}")).status == 201
            assert {f["node"] for f in rig.recorded("setup")} == {"n1"}
            rig.node("n1").kill()
            await wait_until(
                lambda: any(e["event"] == "wing" and e["after"] == "lost" for e in rig.log_entries())
            )
            answers = [(await rig.request_playback(f"/whep/open/u{n}")).status for n in range(20)]
            overflowed = [f for f in rig.recorded("setup") if f["node"] == "n2"]
            request_count = len(rig.recorded("setup")) + answers.count(503)
            # Overflow stays within the limit; the rest is rejected at once.
            assert 5 <= len(overflowed) <= request_count / 2 + 1
            assert answers.count(503) >= 5
            rig.node("n1").machine.restart(rig.fleet.clock.now())
            await rig.fleet.start_node(rig.node("n1"))
            await wait_until(lambda: not rig.node("n1").faults.is_dead)
            rig.fleet.publish_list()
            await wait_until(
                lambda: any(e["event"] == "wing" and e["after"] == "sound" for e in rig.log_entries()), 12
            )
            states = [e["after"] for e in rig.log_entries() if e["event"] == "wing"]
            assert states == ["lost", "returning", "sound"]
            before = len(rig.recorded("setup"))
            assert (await rig.request_playback("/whep/open/back")).status == 201
            assert rig.recorded("setup")[before]["node"] == "n1"
            auth: dict[str, Any] = {"Authorization": "Bearer operators-secret"}
            status = orjson.loads((await rig.request("GET", "/operators/status", **auth)).body)
            assert status["wings"]["west"]["state"] == "sound"

    run_async_test(test)
