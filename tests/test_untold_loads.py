"""Fleets whose nodes report no loads: the load assumed for links, and what a full link says about the others."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import FREE, TERMS, Fleet

from oakcroft.choice import T1, USUAL
from oakcroft.interface import SECOND, ListKind, Node, Note, Outcome, Playback, Title

NODES, LINK = 8, 4000.0  # the nodes of `Fleet`, and the capacity of their links in kB/s
UNTOLD = replace(TERMS, fronts=40, reports_every=0, uplink=0.65 * NODES / TERMS.racks * LINK)
"""Nodes send no reports, and a rack's uplink has two thirds of the capacity of its links."""
# One such playback on each of 40 front ends takes a twentieth of the links' capacity.
LIGHT = replace(FREE, rate_factor=0.1)


def pass_seconds(fleet: Fleet, seconds: int) -> None:
    """Lets sample intervals end."""
    for _ in range(seconds):
        fleet.now += SECOND
        fleet.control.alarm(fleet.now)


def plays_on(fleet: Fleet, node: Node) -> Playback:
    """Hands a playback on a node over to the front end."""
    pb = Playback(Title(f"on {node.name}", 0, 0), FREE, 2, fleet.now + SECOND, False)
    fleet.control.resumed(pb, node, fleet.now)
    return pb


def test_racks_do_not_look_full_on_a_guess_alone() -> None:
    """The load assumed for each link must not add up to a full uplink: requests are placed, above the lowest rung."""
    fleet = Fleet(NODES, UNTOLD)
    pass_seconds(fleet, 3)
    playing = []
    for second in range(3):
        pb = fleet.ask(LIGHT, Title(f"t{second}", 0, 0))
        assert not fleet.answers(pb)
        fleet.control.playing(pb, fleet.now)
        playing.append(pb)
        pass_seconds(fleet, 10)
        assert fleet.control.x < (T1 + USUAL) / 2
    assert sum(pb.rung for pb in playing) / len(playing) >= 1  # above the lowest rung


def test_links_are_taken_at_the_usual_of_what_their_uplink_lets_through() -> None:
    """The assumption is made for the narrower of link and uplink, before the first request."""
    wide = Fleet(NODES, replace(UNTOLD, uplink=NODES * LINK))
    without = Fleet(NODES, replace(UNTOLD, uplink=0.0))
    assert wide.control.usual == without.control.usual == USUAL
    narrow = Fleet(NODES, UNTOLD)
    assert narrow.control.usual == pytest.approx(0.65 * USUAL)
    assert all(node.level < USUAL for node in narrow.nodes)  # from the first request on


@pytest.mark.parametrize("sign", ["short delivery", "full answer"])
def test_one_link_that_is_found_full_says_nothing_of_the_others(sign: str) -> None:
    """Where nothing reports, only full links are noticed; they must not stand for the other links."""
    fleet = Fleet(NODES, UNTOLD)
    pass_seconds(fleet, 3)
    usual = fleet.control.usual
    if sign == "short delivery":
        plays_on(fleet, fleet.nodes[2])  # in the same rack, with full delivery
        node = fleet.nodes[0]
        fleet.control.noted(plays_on(fleet, node), Note.DELIVERED, 0.7, fleet.now)
    else:
        pb = fleet.ask()
        node = fleet.sends()[-1]
        fleet.control.tried(pb, Outcome.FULL, False, None, None, None, fleet.now)
    assert node.level > usual + 0.2
    pass_seconds(fleet, 10)
    assert fleet.control.usual == usual
    assert fleet.control.x < T1
    assert not fleet.answers(fleet.ask(title=Title("another", 0, 0)))


def test_what_is_found_full_counts_beside_what_is_told() -> None:
    """Where nodes report, the load inferred from short delivery is one sample among others."""
    fleet = Fleet(NODES, replace(UNTOLD, reports_every=3 * SECOND))
    told, short = plays_on(fleet, fleet.nodes[0]), plays_on(fleet, fleet.nodes[2])
    fleet.control.noted(told, Note.LINK_ASKED, 0.5, fleet.now)
    fleet.control.noted(short, Note.DELIVERED, 0.7, fleet.now)
    pass_seconds(fleet, 1)
    assert fleet.control.usual == pytest.approx((0.5 + 1 / 0.7) / 2, abs=0.1)


def test_a_mean_that_was_told_stands_when_the_list_changes() -> None:
    """Once a link has reported, a new node list must not bring back the default."""
    fleet = Fleet(NODES, UNTOLD)
    fleet.control.noted(plays_on(fleet, fleet.nodes[0]), Note.LINK_ASKED, 0.2, fleet.now)
    pass_seconds(fleet, 1)
    usual = fleet.control.usual
    fleet.relist(ListKind.WHOLE)
    assert fleet.control.usual == usual < 0.65 * USUAL
