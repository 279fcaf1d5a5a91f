"""Duplicate, late and misordered events: the decision module neither raises nor leaks nor changes its state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from helpers import FREE, KEYED, PAID, TERMS, ControllerHarness
from oakcroft.interface import (
    MS,
    SECOND,
    NodeEntry,
    NodeStatus,
    NodeListKind,
    PlaybackMetric,
    Outcome,
    Playback,
    Title,
)

BUDGETED = replace(TERMS, retry_budget_base=2.0, retry_budget_share=0.1, retry_budget_window_ns=3 * SECOND)
LATE: dict[str, Callable[[ControllerHarness, Playback], None]] = {
    "arrived": lambda f, pb: f.controller.on_request(pb, f.now),
    "resumed": lambda f, pb: f.controller.on_handed_over(pb, f.nodes[1], f.now),
    "playing": lambda f, pb: f.controller.on_playing(pb, f.now),
    "noted rung": lambda f, pb: f.controller.on_metric(pb, PlaybackMetric.RUNG, 2, f.now),
    "noted link": lambda f, pb: f.controller.on_metric(pb, PlaybackMetric.LINK_LOAD, 1.4, f.now),
    "noted share": lambda f, pb: f.controller.on_metric(pb, PlaybackMetric.DELIVERED_SHARE, 0.1, f.now),
    "done": lambda f, pb: f.controller.on_try_ended(pb, Outcome.DONE, True, 1.3, None, None, f.now),
    "reset": lambda f, pb: f.controller.on_try_ended(pb, Outcome.RESET, False, None, None, None, f.now),
    "never ran": lambda f, pb: f.controller.on_try_ended(pb, Outcome.NOT_SENT, False, None, 1.0, None, f.now),
    "left": lambda f, pb: f.controller.on_viewer_left(pb, f.now),
}


def standing_of(fleet: ControllerHarness) -> list[Any]:
    """All state that later decisions depend on."""
    c, nodes = fleet.controller, fleet.nodes
    held = [
        (
            len(n.playbacks),
            len(n.pending_setups),
            n.estimated_load,
            n.failure_score.value,
            n.failed_at,
            n.delivered_share,
            n.cold_slot_setups,
        )
        for n in nodes
    ]
    return [
        held,
        c.held_rate,
        c.x,
        list(c.request_times),
        list(c.retry_times),
        c.recent_requests.value,
        c.rng.getstate(),
        len(fleet.calls),
    ]


def ended(fleet: ControllerHarness, how: str) -> Playback:
    """Returns a playback that has ended in the given state."""
    pb = fleet.request(PAID)
    if how == "rejected":
        fleet.controller.on_try_ended(pb, Outcome.NOT_SENT, False, None, None, None, pb.abandon_at)
    elif how == "aborted":
        fleet.controller.on_try_ended(pb, Outcome.LATE, False, None, None, None, fleet.now)
    else:
        fleet.controller.on_playing(pb, fleet.now)
        fleet.controller.on_try_ended(pb, Outcome.DONE, True, None, None, None, fleet.now)
    assert fleet.controller.is_over(pb)
    assert pb.state.value == how
    return pb


@pytest.mark.parametrize("how", ["rejected", "aborted", "ended"])
@pytest.mark.parametrize("what", LATE)
def test_an_event_on_a_playback_that_has_ended_changes_nothing(what: str, how: str) -> None:
    """Late events must not change seats, loads or scores."""
    fleet = ControllerHarness(terms=BUDGETED)
    pb = ended(fleet, how)
    before = standing_of(fleet)
    LATE[what](fleet, pb)
    assert standing_of(fleet) == before
    assert pb.state.value == how


def test_an_event_that_comes_twice_counts_once() -> None:
    """Duplicates of an event are ignored."""
    fleet = ControllerHarness(terms=BUDGETED)
    pb = fleet.request()
    assert pb.node is not None
    pb.node.failure_score.add(2.0, fleet.now, SECOND)
    fleet.controller.on_playing(pb, fleet.now)
    assert pb.node.failure_score.value == 2.0
    before = standing_of(fleet)
    for what in ("playing", "arrived", "resumed", "playing"):
        LATE[what](fleet, pb)
    assert standing_of(fleet) == before


def test_an_alarm_that_comes_twice_runs_one_interval() -> None:
    """A duplicate timer must not start a second chain of intervals."""
    fleet = ControllerHarness()
    for _ in range(5):
        fleet.now += SECOND
        for _ in range(3):
            fleet.controller.on_timer(fleet.now)
    asked = [call[1] for call in fleet.calls if call[0] == "alarm"]
    assert len(asked) == 6
    assert asked == sorted(set(asked))


def test_a_list_that_is_behind_warms_no_node_up_and_one_ahead_keeps_none_cold() -> None:
    """A node's start time neither goes back nor lies in the future."""
    for told in (0, 50):
        fleet = ControllerHarness(nodes=1, terms=replace(TERMS, front_count=1))
        started = fleet.now
        fleet.apply_list(NodeListKind.CHANGES, started_at=started)
        # From a list service that does not know of the restart.
        fleet.apply_list(NodeListKind.CHANGES, started_at=told * SECOND)
        assert fleet.nodes[0].started_at == started
    fleet.apply_list(NodeListKind.CHANGES, started_at=fleet.now + 10**18)
    fleet.now += TERMS.cold_duration_ns
    assert fleet.controller._known_uptime_ns(fleet.nodes[0], fleet.now) >= TERMS.cold_duration_ns


def test_nothing_is_set_up_for_a_viewer_whose_time_is_up() -> None:
    """A request past its abandon time is rejected without a try."""
    fleet = ControllerHarness()
    pb = Playback(Title("t", 0, 0), PAID, 2, fleet.now, False)
    fleet.controller.on_request(pb, fleet.now)
    assert fleet.final_answers(pb) == ["reject"]
    assert not fleet.sent_nodes()


@pytest.mark.parametrize("terms", [TERMS, BUDGETED])
def test_a_front_keeps_no_more_times_of_requests_and_tries_than_its_window_holds(terms: Any) -> None:
    """The history of the retry budget must not grow without bound."""
    fleet = ControllerHarness(terms=replace(terms, uplink_capacity=0.0))
    for _ in range(2_000):  # each needs a retry, as while one node is full
        pb = fleet.request()
        fleet.controller.on_try_ended(pb, Outcome.NOT_SENT, False, None, None, None, fleet.now)
        fleet.controller.on_try_ended(pb, Outcome.WITHDRAWN, True, None, None, None, fleet.now)
        fleet.now += 100 * MS
    assert len(fleet.controller.request_times) <= 31
    assert len(fleet.controller.retry_times) <= 31


STEP = st.tuples(st.sampled_from(["ask", "wait", "list", *LATE, *LATE]), st.integers(0, 30))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, min_size=10, max_size=80), st.booleans())
def test_any_calls_in_any_order_raise_nothing_and_leave_nothing(
    steps: list[tuple[str, int]], budget: bool
) -> None:
    """After any sequence of events, no seat, playback or load is left over."""
    fleet, all_ = ControllerHarness(terms=BUDGETED if budget else TERMS), list[Playback]()
    title, plans = Title("t", 0, 0), [FREE, PAID, KEYED, replace(FREE, floor=1, seats=2)]
    for what, k in steps:
        if what == "ask":
            all_.append(fleet.request(plans[k % 4], title))
        elif what == "wait":
            fleet.now += k * 100 * MS
            fleet.controller.on_timer(fleet.now)
        elif what == "list":
            listing = [NodeStatus.READY, NodeStatus.DRAINING, NodeStatus.GONE][k % 3]
            entry = NodeEntry(fleet.nodes[k % 4], listing, (k % 5) * 50 * SECOND, 4000.0, 12.0)
            fleet.controller.on_node_list(NodeListKind.CHANGES, [entry], fleet.now)
        elif all_:
            LATE[what](fleet, all_[k % len(all_)])
        sends = [call[1] for call in fleet.calls if call[0] == "send"]
        for pb in all_:
            assert len(fleet.final_answers(pb)) <= 1
            assert pb.plan.effect is not PAID.effect or len(pb.may_have_run) <= 1
            assert sends.count(pb) <= TERMS.max_tries
        assert all(0 <= n <= (p.seats or 1 << 30) for p, n in title.seats_taken.items())
    for pb in all_:
        fleet.controller.on_viewer_left(pb, fleet.now)
        fleet.controller.on_try_ended(pb, Outcome.WITHDRAWN, True, None, None, None, fleet.now)
        assert fleet.controller.is_over(pb)
    assert not any(title.seats_taken.values())
    assert not any(n.playbacks or n.pending_setups for n in fleet.nodes)
    assert abs(fleet.controller.held_rate) < 1e6
