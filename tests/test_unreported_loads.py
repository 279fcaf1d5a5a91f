"""Fleets whose nodes report no loads: the load assumed for links, and that one full link does not change it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import FREE, TERMS, ControllerHarness

from oakcroft.choice import DEFAULT_ASSUMED_LOAD, T1
from oakcroft.interface import SECOND, Node, NodeListKind, Outcome, Playback, PlaybackMetric, Title

NODES = 8
LINK_CAPACITY = 4000.0  # kB/s of each node's link, as listed by `ControllerHarness`
NO_REPORTS = replace(
    TERMS,
    front_count=40,
    report_interval_ns=0,
    uplink_capacity=0.65 * NODES / TERMS.rack_count * LINK_CAPACITY,
)
"""Nodes send no reports, and a rack's uplink has 65% of the capacity of its links."""
LIGHT_PLAN = replace(FREE, rate_factor=0.1)
"""One playback of this plan on each of 40 front ends takes 5% of the links' capacity."""


def end_intervals(harness: ControllerHarness, seconds: int) -> None:
    """Advances the time in steps of one sample interval."""
    for _ in range(seconds):
        harness.now += SECOND
        harness.controller.on_timer(harness.now)


def hand_over(harness: ControllerHarness, node: Node) -> Playback:
    """Adds a running playback on a node, as after a takeover."""
    playback = Playback(Title(f"on {node.name}", 0, 0), FREE, 2, harness.now + SECOND, False)
    harness.controller.on_handed_over(playback, node, harness.now)
    return playback


def test_racks_do_not_look_full_by_assumption_alone() -> None:
    """Guards against assumed link loads that add up to a full uplink: requests are placed, above the lowest rung."""
    harness = ControllerHarness(NODES, NO_REPORTS)
    end_intervals(harness, 3)
    playing = []
    for number in range(3):
        playback = harness.request(LIGHT_PLAN, Title(f"t{number}", 0, 0))
        assert not harness.final_answers(playback)
        harness.controller.on_playing(playback, harness.now)
        playing.append(playback)
        end_intervals(harness, 10)
        assert harness.controller.x < (T1 + DEFAULT_ASSUMED_LOAD) / 2
    assert sum(playback.rung for playback in playing) / len(playing) >= 1  # above the lowest rung


def test_assumed_load_is_limited_by_the_uplink() -> None:
    """The assumed load follows the smaller capacity of link and uplink, already before the first request."""
    wide_uplink = ControllerHarness(NODES, replace(NO_REPORTS, uplink_capacity=NODES * LINK_CAPACITY))
    unlimited_uplink = ControllerHarness(NODES, replace(NO_REPORTS, uplink_capacity=0.0))
    assert wide_uplink.controller.assumed_load == DEFAULT_ASSUMED_LOAD
    assert unlimited_uplink.controller.assumed_load == DEFAULT_ASSUMED_LOAD
    narrow_uplink = ControllerHarness(NODES, NO_REPORTS)
    assert narrow_uplink.controller.assumed_load == pytest.approx(0.65 * DEFAULT_ASSUMED_LOAD)
    assert all(node.estimated_load < DEFAULT_ASSUMED_LOAD for node in narrow_uplink.nodes)


@pytest.mark.parametrize("evidence", ["short delivery", "full answer"])
def test_one_full_link_does_not_raise_the_load_assumed_for_others(evidence: str) -> None:
    """Guards against a biased sample: without reports only full links are noticed, which must not stand for all links."""
    harness = ControllerHarness(NODES, NO_REPORTS)
    end_intervals(harness, 3)
    assumed_load = harness.controller.assumed_load
    if evidence == "short delivery":
        hand_over(harness, harness.nodes[2])  # in the same rack, with full delivery
        node = harness.nodes[0]
        playback = hand_over(harness, node)
        harness.controller.on_metric(playback, PlaybackMetric.DELIVERED_SHARE, 0.7, harness.now)
    else:
        playback = harness.request()
        node = harness.sent_nodes()[-1]
        harness.controller.on_try_ended(playback, Outcome.FULL, False, None, None, None, harness.now)
    assert node.estimated_load > assumed_load + 0.2
    end_intervals(harness, 10)
    assert harness.controller.assumed_load == assumed_load
    assert harness.controller.x < T1
    assert not harness.final_answers(harness.request(title=Title("another", 0, 0)))


def test_inferred_loads_count_beside_reported_ones() -> None:
    """Where nodes report, a load inferred from short delivery counts as one sample among others."""
    harness = ControllerHarness(NODES, replace(NO_REPORTS, report_interval_ns=3 * SECOND))
    with_report = hand_over(harness, harness.nodes[0])
    with_short_delivery = hand_over(harness, harness.nodes[2])
    harness.controller.on_metric(with_report, PlaybackMetric.LINK_LOAD, 0.5, harness.now)
    harness.controller.on_metric(with_short_delivery, PlaybackMetric.DELIVERED_SHARE, 0.7, harness.now)
    end_intervals(harness, 1)
    assert harness.controller.assumed_load == pytest.approx((0.5 + 1 / 0.7) / 2, abs=0.1)


def test_the_mean_of_reported_loads_survives_a_change_of_the_node_list() -> None:
    """Guards against a new node list that resets the assumed load to its default after a link has reported."""
    harness = ControllerHarness(NODES, NO_REPORTS)
    playback = hand_over(harness, harness.nodes[0])
    harness.controller.on_metric(playback, PlaybackMetric.LINK_LOAD, 0.2, harness.now)
    end_intervals(harness, 1)
    assumed_load = harness.controller.assumed_load
    harness.apply_list(NodeListKind.WHOLE)
    assert harness.controller.assumed_load == assumed_load < 0.65 * DEFAULT_ASSUMED_LOAD
