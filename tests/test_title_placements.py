"""Where a title is looked for: each set-up goes by its own figures, whatever others have stated."""

from __future__ import annotations

from dataclasses import replace

from helpers import FREE, ControllerHarness
from platform_rig import A, B, C, PlatformRig, run_on_platform

from oakcroft.decisions.routing.holder_order import MAX_ORDERS_PER_TITLE
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.interface import (
    SECOND,
    Outcome,
    Placement,
    Playback,
    Title,
)
from oakcroft.platformwire import framing

CELLS = 40
FALSE_HOME = 20
"""A cell that does not hold the title."""


def request(harness: ControllerHarness, title: Title, placement: Placement | None) -> Playback:
    """A request for a title in a placement."""
    playback = Playback(title, FREE, 2, harness.now + 4 * SECOND, False, placement)
    harness.controller.on_request(playback, harness.now)
    return playback


def test_a_set_up_goes_where_it_says_that_its_title_is() -> None:
    """Guards against a title that stays where the first set-up, a bad client's too, has put it (review/9)."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for session, home, node in ((A, 1, 1), (B, 0, 0), (C, 1, 1)):
            await viewer.send_setup(session, p105=f"home:{home};copies:1;top:2;viewer:1".encode())
            reply = await viewer.receive()
            assert reply is not None
            assert reply[:2] == (framing.ANSWER, session)
            assert rig.nodes[node].received_messages("open", session)

    run_on_platform(test)


def test_figures_out_of_range_harm_their_own_set_up_only() -> None:
    """Guards against figures that are out of range and are kept for later set-ups."""

    async def test(rig: PlatformRig) -> None:
        viewer = await rig.viewer()
        for session, extras, kind in (
            (A, "home:7;copies:1", framing.RELEASE),
            (B, "home:0;copies:9", framing.RELEASE),
            (C, "home:0;copies:1", framing.ANSWER),
        ):
            await viewer.send_setup(session, p105=f"{extras};top:2;viewer:1".encode())
            reply = await viewer.receive()
            assert reply is not None
            assert reply[:2] == (kind, session)
        assert rig.nodes[0].received_messages("open", C)

    run_on_platform(test)


def test_ever_new_figures_fill_no_memory_and_push_out_no_true_ones() -> None:
    """Guards against a client whose figures for one title fill the memory, or cost others their order."""
    harness, title = ControllerHarness.with_cells(CELLS, CELLS), Title("t", 0, 0)
    true_placement = Placement(3, 4)
    playback = request(harness, title, true_placement)
    harness.controller.on_playing(playback, harness.now)
    true_order = title.holder_orders[true_placement]
    for home in range(CELLS):
        for copies in range(1, CELLS):
            request(harness, title, Placement(home, copies))
    assert len(title.holder_orders) <= MAX_ORDERS_PER_TITLE
    assert len(title.played_placements) <= MAX_ORDERS_PER_TITLE
    assert title.holder_orders[true_placement] is true_order


def test_a_title_that_is_not_where_a_request_says_speaks_against_no_node() -> None:
    """Guards against good nodes taken out of use for errors that false figures have caused."""
    harness, title = ControllerHarness.with_cells(CELLS, CELLS), Title("t", 0, 0)
    harness.controller.on_playing(request(harness, title, Placement(3, 4)), harness.now)
    for _ in range(5):
        playback = request(harness, title, Placement(FALSE_HOME, 1))
        harness.controller.on_try_ended(playback, Outcome.ERROR, False, None, None, None, harness.now)
    node = next(node for node in harness.controller.nodes if node.cell == FALSE_HOME)
    assert node.failure_score.value == 0
    harness.controller.on_playing(request(harness, title, Placement(FALSE_HOME, 1)), harness.now)
    playback = request(harness, title, Placement(FALSE_HOME, 1))
    harness.controller.on_try_ended(playback, Outcome.ERROR, False, None, None, None, harness.now)
    assert node.failure_score.value > 0


def test_seats_are_counted_by_title_whatever_the_figures() -> None:
    """Guards against more playbacks of a title than there are seats, one for each placement that is stated."""
    harness, title = ControllerHarness.with_cells(CELLS, CELLS), Title("t", 0, 0)
    plan = replace(FREE, seats=1)
    playbacks = [
        Playback(title, plan, 2, harness.now + 4 * SECOND, False, Placement(home, 2)) for home in (3, 9)
    ]
    for playback in playbacks:
        harness.controller.on_request(playback, harness.now)
    assert [len(playback.tries) for playback in playbacks] == [1, 0]


def test_a_configured_place_goes_before_the_figures_of_a_request() -> None:
    """A place in the configuration holds for all set-ups, and no longer once it is taken out."""
    cache = TitleCache(10, CELLS, 3, {"configured": (5, 2)})
    title = cache.get("configured", 9, 1)
    assert title is not None
    playback = Playback(title, FREE, 2, SECOND, False, Placement(30, 1))
    assert playback.placement == Placement(5, 2)
    cache.apply_configuration(3, {})
    assert playback.placement == Placement(30, 1)
