"""Zone preference: evidence, the ramp of a returning zone, and the bound on overflow."""

from __future__ import annotations

from itertools import pairwise, product
from pathlib import Path
from random import Random
from typing import Any

import orjson
from hypothesis import given, strategies as st
from rig import run_async_test, running_front_end, wait_until

from oakcroft.decisions.routing.zone_preference import (
    TRANSITIONS,
    NO_READY_NODE,
    ZonePreferenceBounds,
    ZoneHealth,
    NodeEvidence,
    OverflowWindow,
    ZoneState,
    ZonePreference,
    zone_load,
)
from oakcroft.interface import SECOND

ALL = {NodeEvidence.ANSWERS: 10}
SILENT = {NodeEvidence.ANSWERS: 2, NodeEvidence.SILENT: 8}
DEAD = {NodeEvidence.ANSWERS: 1, NodeEvidence.REFUSES: 5, NodeEvidence.GONE: 4}
SOME = {NodeEvidence.ANSWERS: 6, NodeEvidence.REFUSES: 4}


def states_over(
    health: ZoneHealth, seconds: int, nodes: dict[NodeEvidence, int], now: int = 0
) -> list[ZoneState]:
    out = []
    for n in range(seconds * 2):
        if (state := health.update(nodes, now * SECOND + n * SECOND // 2)) is not None:
            out.append(state)
    return out


def test_a_cut_differs_from_a_loss_and_both_from_a_few_failed_nodes() -> None:
    health = ZoneHealth(ZonePreferenceBounds())
    assert states_over(health, 10, SOME) == []
    assert states_over(health, 1, SILENT, 10) == []  # the evidence did not hold for long enough
    assert states_over(health, 10, ALL, 11) == []
    assert states_over(health, 5, SILENT, 30) == [ZoneState.CUT]
    assert states_over(health, 5, DEAD, 40) == [ZoneState.LOST]
    assert states_over(health, 5, SILENT, 50) == []  # silence does not turn a lost zone into a cut one
    assert states_over(health, 60, ALL, 60) == [ZoneState.RETURNING, ZoneState.SOUND]
    assert states_over(health, 5, {}, 130) == []


def test_the_ramp_rises_and_takes_longer_with_each_relapse() -> None:
    health, ramps, now = ZoneHealth(ZonePreferenceBounds()), list[int](), 0
    for _ in range(6):
        states_over(health, 5, DEAD, now)
        states_over(health, 3, ALL, now + 5)
        assert health.state is ZoneState.RETURNING
        ramps.append(health.ramp_time // SECOND)
        shares = [health.traffic_share(health.state_since + t * SECOND) for t in range(400)]
        assert all(b >= a for a, b in pairwise(shares))
        assert shares[0] < 0.01
        assert shares[-1] == 1.0
        now += 8
    assert ramps == [30, 60, 120, 240, 300, 300]
    states_over(health, 2000, ALL, now)
    assert (health.state, health.relapses) == (ZoneState.SOUND, 0)
    cut = ZoneHealth(ZonePreferenceBounds())
    states_over(cut, 5, SILENT)
    states_over(cut, 4, ALL, 5)
    assert cut.ramp_time == 30 * SECOND // 4  # the nodes of a cut zone are warm


def test_every_short_history_makes_allowed_transitions_and_recovers() -> None:
    for what in product((ALL, SILENT, DEAD, SOME), repeat=6):
        health = ZoneHealth(ZonePreferenceBounds(hold=1, ramp=4, longest=16))
        states = [health.state]
        for n, nodes in enumerate(what):
            health.update(nodes, n * 2)
            health.update(nodes, n * 2 + 1)
            states.append(health.state)
        for n in range(12, 200):
            health.update(ALL, n)
            states.append(health.state)
        assert states[-1] is ZoneState.SOUND
        assert all(
            a is b or b in TRANSITIONS[a] or any(b in TRANSITIONS[m] for m in TRANSITIONS[a])
            for a, b in pairwise(states)
        )


@given(st.integers(0, 1 << 30), st.floats(0, 1), st.lists(st.integers(0, 3_000), max_size=150))
def test_overflow_stays_within_its_bound(seed: int, part: float, gaps: list[int]) -> None:
    bounds, rng = ZonePreferenceBounds(spill=part), Random(seed)
    wings, now, let = ZonePreference(("west", "east"), bounds), 0, list[tuple[int, bool]]()
    for gap in gaps:
        now += gap * 1_000_000
        out = DEAD if rng.random() < 0.8 else ALL
        wings.update({"west": out, "east": ALL}, now)
        chosen = wings.choose_zones({"west": rng.random(), "east": rng.random() * 1.2}, rng.random(), now)
        let.append((now, chosen == {"east"}))
        window = [overflowed for t, overflowed in let if t > now - bounds.window]
        assert sum(window) <= part * len(window) + 1e-9 or not window[-1]


def test_own_zone_first_others_within_the_bound_and_the_rest_rejected() -> None:
    wings = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=0.5))
    assert wings.choose_zones({}, 0.99, 0) == {"west"}
    for n in range(8):
        wings.update({"west": DEAD, "east": ALL}, n * SECOND)
    chosen = [wings.choose_zones({"east": 0.5}, 0.5, 8 * SECOND + n) for n in range(100)]
    assert sum(c == {"east"} for c in chosen) == 50
    assert sum(not c for c in chosen) == wings.rejected_count == 50
    assert wings.choose_zones({"east": 0.95}, 0.5, 60 * SECOND) == set()  # the other zone has no room
    full = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0))
    assert full.choose_zones({"west": 0.95, "east": 0.5}, 0.5, 0) == {"east"}  # the own zone is full
    assert full.choose_zones({"west": 0.95, "east": 0.95}, 0.5, 0) == {
        "west"
    }  # both are full, so the module decides


def test_a_zone_without_a_ready_node_has_no_room_at_any_bound() -> None:
    assert zone_load([0.5, 0.7]) == 0.6
    assert zone_load([]) == NO_READY_NODE
    zones = ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0, room=1_000.0))
    assert zones.choose_zones({"west": NO_READY_NODE, "east": 0.5}, 0.5, 0) == {"east"}
    assert zones.choose_zones({"west": 0.5, "east": NO_READY_NODE}, 0.5, 0) == {"west"}
    nowhere = {"west": NO_READY_NODE, "east": NO_READY_NODE}
    assert zones.choose_zones(nowhere, 0.5, 0) == {"west"}  # the module decides


def test_requests_of_a_draining_zone_overflow_within_the_bound_and_return_at_once() -> None:
    zones, drained = (
        ZonePreference(("west", "east"), ZonePreferenceBounds(spill=0.5)),
        {NodeEvidence.DRAINS: 10},
    )
    zones.update({"west": drained, "east": ALL}, 0)
    chosen = [zones.choose_zones({"west": NO_READY_NODE, "east": 0.5}, 0.5, n) for n in range(100)]
    assert sum(c == {"east"} for c in chosen) == 50
    zones.update({"west": drained, "east": ALL}, 9 * SECOND)
    assert (
        zones.health["west"].state is ZoneState.SOUND
    )  # a drain is no failure, so there is no ramp after it
    assert zones.choose_zones({"west": 0.5, "east": 0.5}, 0.99, 10 * SECOND) == {"west"}


def test_draining_nodes_do_not_count_as_evidence() -> None:
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


def test_a_returning_zone_gets_its_share_of_two_hundred_fronts_gradually() -> None:
    fronts = [ZonePreference(("west", "east"), ZonePreferenceBounds(spill=1.0)) for _ in range(200)]
    rng, got = Random(5), list[int]()
    for second in range(60):
        now, sent = second * SECOND, 0
        for wings in fronts:
            wings.update({"west": DEAD if second < 10 else ALL, "east": ALL}, now)
            sent += sum(wings.choose_zones({}, rng.random(), now) == {"west"} for _ in range(2))
        got.append(sent)
    assert sum(got[3:12]) <= 4
    assert (
        max(b - a for a, b in pairwise(got[12:42])) <= 60
    )  # of 400 a second: the fronts do not return at once
    assert got[-1] == 400


def test_the_overflow_window_expires() -> None:
    spill = OverflowWindow(ZonePreferenceBounds(spill=0.5, window=10))
    assert not spill.allows_overflow(0)
    spill.record_request(False, 0)
    assert spill.allows_overflow(0)
    spill.record_request(True, 0)
    assert not spill.allows_overflow(5)
    assert not spill.allows_overflow(11)  # the window is empty, so one request alone would be all of it


def test_a_front_prefers_its_zone_overflows_within_the_bound_and_returns(tmp_path: Path) -> None:
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
            asked = len(rig.recorded("setup")) + answers.count(503)
            assert 5 <= len(overflowed) <= asked / 2 + 1  # within the bound; the rest is rejected at once
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
