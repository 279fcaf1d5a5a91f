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


def through(life: ZoneHealth, seconds: int, nodes: dict[NodeEvidence, int], now: int = 0) -> list[ZoneState]:
    out = []
    for n in range(seconds * 2):
        if (state := life.update(nodes, now * SECOND + n * SECOND // 2)) is not None:
            out.append(state)
    return out


def test_a_cut_is_told_from_a_loss_and_both_from_a_few_dead_nodes() -> None:
    life = ZoneHealth(ZonePreferenceBounds())
    assert through(life, 10, SOME) == []
    assert through(life, 1, SILENT, 10) == []  # the evidence did not hold for long enough
    assert through(life, 10, ALL, 11) == []
    assert through(life, 5, SILENT, 30) == [ZoneState.CUT]
    assert through(life, 5, DEAD, 40) == [ZoneState.LOST]
    assert through(life, 5, SILENT, 50) == []  # silence does not turn a lost zone into a cut one
    assert through(life, 60, ALL, 60) == [ZoneState.RETURNING, ZoneState.SOUND]
    assert through(life, 5, {}, 130) == []


def test_the_way_back_rises_and_takes_longer_with_each_falter() -> None:
    life, ramps, now = ZoneHealth(ZonePreferenceBounds()), list[int](), 0
    for _ in range(6):
        through(life, 5, DEAD, now)
        through(life, 3, ALL, now + 5)
        assert life.state is ZoneState.RETURNING
        ramps.append(life.ramp_time // SECOND)
        shares = [life.traffic_share(life.state_since + t * SECOND) for t in range(400)]
        assert all(b >= a for a, b in pairwise(shares))
        assert shares[0] < 0.01
        assert shares[-1] == 1.0
        now += 8
    assert ramps == [30, 60, 120, 240, 300, 300]
    through(life, 2000, ALL, now)
    assert (life.state, life.relapses) == (ZoneState.SOUND, 0)
    cut = ZoneHealth(ZonePreferenceBounds())
    through(cut, 5, SILENT)
    through(cut, 4, ALL, 5)
    assert cut.ramp_time == 30 * SECOND // 4  # the nodes of a cut zone are warm


def test_every_small_history_goes_only_where_it_can_and_comes_back() -> None:
    for what in product((ALL, SILENT, DEAD, SOME), repeat=6):
        life = ZoneHealth(ZonePreferenceBounds(hold=1, ramp=4, longest=16))
        states = [life.state]
        for n, nodes in enumerate(what):
            life.update(nodes, n * 2)
            life.update(nodes, n * 2 + 1)
            states.append(life.state)
        for n in range(12, 200):
            life.update(ALL, n)
            states.append(life.state)
        assert states[-1] is ZoneState.SOUND
        assert all(
            a is b or b in TRANSITIONS[a] or any(b in TRANSITIONS[m] for m in TRANSITIONS[a])
            for a, b in pairwise(states)
        )


@given(st.integers(0, 1 << 30), st.floats(0, 1), st.lists(st.integers(0, 3_000), max_size=150))
def test_never_more_spills_than_stated(seed: int, part: float, gaps: list[int]) -> None:
    bounds, rng = ZonePreferenceBounds(spill=part), Random(seed)
    wings, now, let = ZonePreference(("west", "east"), bounds), 0, list[tuple[int, bool]]()
    for gap in gaps:
        now += gap * 1_000_000
        out = DEAD if rng.random() < 0.8 else ALL
        wings.update({"west": out, "east": ALL}, now)
        chosen = wings.choose_zones({"west": rng.random(), "east": rng.random() * 1.2}, rng.random(), now)
        let.append((now, chosen == {"east"}))
        window = [spilt for t, spilt in let if t > now - bounds.window]
        assert sum(window) <= part * len(window) + 1e-9 or not window[-1]


def test_own_wing_first_others_within_the_bound_and_the_rest_turned_away() -> None:
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


def test_while_a_zone_drains_its_requests_spill_within_the_bound_and_all_come_back_at_once_after() -> None:
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


def test_draining_nodes_are_no_evidence_for_or_against_their_zone() -> None:
    assert through(ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 10}) == []
    assert (
        through(ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 8, NodeEvidence.ANSWERS: 2})
        == []
    )
    assert (
        through(
            ZoneHealth(ZonePreferenceBounds()),
            10,
            {NodeEvidence.DRAINS: 8, NodeEvidence.ANSWERS: 1, NodeEvidence.SILENT: 1},
        )
        == []
    )
    assert through(
        ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 8, NodeEvidence.SILENT: 2}
    ) == [ZoneState.CUT]
    assert through(
        ZoneHealth(ZonePreferenceBounds()), 10, {NodeEvidence.DRAINS: 5, NodeEvidence.REFUSES: 5}
    ) == [ZoneState.LOST]


def test_a_returning_wing_gets_its_share_over_two_hundred_fronts_by_and_by() -> None:
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


def test_a_spill_window_passes() -> None:
    spill = OverflowWindow(ZonePreferenceBounds(spill=0.5, window=10))
    assert not spill.allows_overflow(0)
    spill.record_request(False, 0)
    assert spill.allows_overflow(0)
    spill.record_request(True, 0)
    assert not spill.allows_overflow(5)
    assert not spill.allows_overflow(11)  # the window is empty, so one request alone would be all of it


def test_a_front_keeps_to_its_wing_spills_within_its_bound_and_goes_back_by_and_by(tmp_path: Path) -> None:
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
            spilt = [f for f in rig.recorded("setup") if f["node"] == "n2"]
            asked = len(rig.recorded("setup")) + answers.count(503)
            assert 5 <= len(spilt) <= asked / 2 + 1  # within the bound; the rest is rejected at once
            assert answers.count(503) >= 5
            rig.node("n1").machine.restart(rig.fleet.clock.now())
            await rig.fleet.boot(rig.node("n1"))
            await wait_until(lambda: not rig.node("n1").ails.dead)
            rig.fleet.publish()
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
