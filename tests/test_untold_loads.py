"""Fleets whose nodes report no loads: the load assumed for links, and what a full link says about the others."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import FREE, TERMS, ControllerHarness

from oakcroft.choice import T1, DEFAULT_ASSUMED_LOAD
from oakcroft.interface import SECOND, NodeListKind, Node, PlaybackMetric, Outcome, Playback, Title

NODES, LINK = 8, 4000.0  # the nodes of `ControllerHarness`, and the capacity of their links in kB/s
UNTOLD = replace(
    TERMS, front_count=40, report_interval_ns=0, uplink_capacity=0.65 * NODES / TERMS.rack_count * LINK
)
"""Nodes send no reports, and a rack's uplink has two thirds of the capacity of its links."""
# One such playback on each of 40 front ends takes a twentieth of the links' capacity.
LIGHT = replace(FREE, rate_factor=0.1)


def pass_seconds(fleet: ControllerHarness, seconds: int) -> None:
    """Lets sample intervals end."""
    for _ in range(seconds):
        fleet.now += SECOND
        fleet.controller.on_timer(fleet.now)


def plays_on(fleet: ControllerHarness, node: Node) -> Playback:
    """Hands a playback on a node over to the front end."""
    pb = Playback(Title(f"on {node.name}", 0, 0), FREE, 2, fleet.now + SECOND, False)
    fleet.controller.on_handed_over(pb, node, fleet.now)
    return pb


def test_racks_do_not_look_full_on_a_guess_alone() -> None:
    """The load assumed for each link must not add up to a full uplink: requests are placed, above the lowest rung."""
    fleet = ControllerHarness(NODES, UNTOLD)
    pass_seconds(fleet, 3)
    playing = []
    for second in range(3):
        pb = fleet.request(LIGHT, Title(f"t{second}", 0, 0))
        assert not fleet.final_answers(pb)
        fleet.controller.on_playing(pb, fleet.now)
        playing.append(pb)
        pass_seconds(fleet, 10)
        assert fleet.controller.x < (T1 + DEFAULT_ASSUMED_LOAD) / 2
    assert sum(pb.rung for pb in playing) / len(playing) >= 1  # above the lowest rung


def test_links_are_taken_at_the_usual_of_what_their_uplink_lets_through() -> None:
    """The assumption is made for the narrower of link and uplink, before the first request."""
    wide = ControllerHarness(NODES, replace(UNTOLD, uplink_capacity=NODES * LINK))
    without = ControllerHarness(NODES, replace(UNTOLD, uplink_capacity=0.0))
    assert wide.controller.assumed_load == without.controller.assumed_load == DEFAULT_ASSUMED_LOAD
    narrow = ControllerHarness(NODES, UNTOLD)
    assert narrow.controller.assumed_load == pytest.approx(0.65 * DEFAULT_ASSUMED_LOAD)
    assert all(
        node.estimated_load < DEFAULT_ASSUMED_LOAD for node in narrow.nodes
    )  # from the first request on


@pytest.mark.parametrize("sign", ["short delivery", "full answer"])
def test_one_link_that_is_found_full_says_nothing_of_the_others(sign: str) -> None:
    """Where nothing reports, only full links are noticed; they must not stand for the other links."""
    fleet = ControllerHarness(NODES, UNTOLD)
    pass_seconds(fleet, 3)
    usual = fleet.controller.assumed_load
    if sign == "short delivery":
        plays_on(fleet, fleet.nodes[2])  # in the same rack, with full delivery
        node = fleet.nodes[0]
        fleet.controller.on_metric(plays_on(fleet, node), PlaybackMetric.DELIVERED_SHARE, 0.7, fleet.now)
    else:
        pb = fleet.request()
        node = fleet.sent_nodes()[-1]
        fleet.controller.on_try_ended(pb, Outcome.FULL, False, None, None, None, fleet.now)
    assert node.estimated_load > usual + 0.2
    pass_seconds(fleet, 10)
    assert fleet.controller.assumed_load == usual
    assert fleet.controller.x < T1
    assert not fleet.final_answers(fleet.request(title=Title("another", 0, 0)))


def test_what_is_found_full_counts_beside_what_is_told() -> None:
    """Where nodes report, the load inferred from short delivery is one sample among others."""
    fleet = ControllerHarness(NODES, replace(UNTOLD, report_interval_ns=3 * SECOND))
    told, short = plays_on(fleet, fleet.nodes[0]), plays_on(fleet, fleet.nodes[2])
    fleet.controller.on_metric(told, PlaybackMetric.LINK_LOAD, 0.5, fleet.now)
    fleet.controller.on_metric(short, PlaybackMetric.DELIVERED_SHARE, 0.7, fleet.now)
    pass_seconds(fleet, 1)
    assert fleet.controller.assumed_load == pytest.approx((0.5 + 1 / 0.7) / 2, abs=0.1)


def test_a_mean_that_was_told_stands_when_the_list_changes() -> None:
    """Once a link has reported, a new node list must not bring back the default."""
    fleet = ControllerHarness(NODES, UNTOLD)
    fleet.controller.on_metric(plays_on(fleet, fleet.nodes[0]), PlaybackMetric.LINK_LOAD, 0.2, fleet.now)
    pass_seconds(fleet, 1)
    usual = fleet.controller.assumed_load
    fleet.apply_list(NodeListKind.WHOLE)
    assert fleet.controller.assumed_load == usual < 0.65 * DEFAULT_ASSUMED_LOAD
