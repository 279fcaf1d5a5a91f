"""Duplicate, late and reordered events: the controller ignores them, without exceptions, leaks or changed state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from helpers import FREE, KEYED, PAID, TERMS, ControllerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from oakcroft.interface import (
    MS,
    SECOND,
    NodeEntry,
    NodeListKind,
    NodeStatus,
    Outcome,
    Playback,
    PlaybackMetric,
    Title,
)

BUDGETED = replace(TERMS, retry_budget_base=2.0, retry_budget_share=0.1, retry_budget_window_ns=3 * SECOND)
EVENTS: dict[str, Callable[[ControllerHarness, Playback], None]] = {
    "request": lambda h, playback: h.controller.on_request(playback, h.now),
    "handed over": lambda h, playback: h.controller.on_handed_over(playback, h.nodes[1], h.now),
    "playing": lambda h, playback: h.controller.on_playing(playback, h.now),
    "rung metric": lambda h, playback: h.controller.on_metric(playback, PlaybackMetric.RUNG, 2, h.now),
    "link load": lambda h, playback: h.controller.on_metric(playback, PlaybackMetric.LINK_LOAD, 1.4, h.now),
    "delivered share": lambda h, playback: h.controller.on_metric(
        playback, PlaybackMetric.DELIVERED_SHARE, 0.1, h.now
    ),
    "done": lambda h, playback: h.controller.on_try_ended(
        playback, Outcome.DONE, True, 1.3, None, None, h.now
    ),
    "reset": lambda h, playback: h.controller.on_try_ended(
        playback, Outcome.RESET, False, None, None, None, h.now
    ),
    "never ran": lambda h, playback: h.controller.on_try_ended(
        playback, Outcome.NOT_SENT, False, None, 1.0, None, h.now
    ),
    "viewer left": lambda h, playback: h.controller.on_viewer_left(playback, h.now),
}


def decision_state(harness: ControllerHarness) -> list[Any]:
    """Returns all state that later decisions depend on."""
    controller = harness.controller
    node_states = [
        (
            len(node.playbacks),
            len(node.pending_setups),
            node.estimated_load,
            node.failure_score.value,
            node.failed_at,
            node.delivered_share,
            node.cold_slot_setups,
        )
        for node in harness.nodes
    ]
    return [
        node_states,
        controller.own_rate,
        controller.x,
        list(controller.request_times),
        list(controller.retry_times),
        controller.recent_requests.value,
        controller.rng.getstate(),
        len(harness.calls),
    ]


def ended_playback(harness: ControllerHarness, final_state: str) -> Playback:
    """Returns a playback that has ended in the given state."""
    playback = harness.request(PAID)
    if final_state == "rejected":
        harness.controller.on_try_ended(
            playback, Outcome.NOT_SENT, False, None, None, None, playback.abandon_at
        )
    elif final_state == "aborted":
        harness.controller.on_try_ended(playback, Outcome.LATE, False, None, None, None, harness.now)
    else:
        harness.controller.on_playing(playback, harness.now)
        harness.controller.on_try_ended(playback, Outcome.DONE, True, None, None, None, harness.now)
    assert harness.controller.is_over(playback)
    assert playback.state.value == final_state
    return playback


@pytest.mark.parametrize("final_state", ["rejected", "aborted", "ended"])
@pytest.mark.parametrize("event", EVENTS)
def test_an_event_on_a_playback_that_has_ended_changes_nothing(event: str, final_state: str) -> None:
    """Guards against late events that change seats, loads or failure scores."""
    harness = ControllerHarness(terms=BUDGETED)
    playback = ended_playback(harness, final_state)
    before = decision_state(harness)
    EVENTS[event](harness, playback)
    assert decision_state(harness) == before
    assert playback.state.value == final_state


def test_a_duplicate_event_counts_once() -> None:
    """Guards against duplicates of an event that change seats, loads or failure scores."""
    harness = ControllerHarness(terms=BUDGETED)
    playback = harness.request()
    assert playback.node is not None
    playback.node.failure_score.add(2.0, harness.now, SECOND)
    harness.controller.on_playing(playback, harness.now)
    assert playback.node.failure_score.value == 2.0
    before = decision_state(harness)
    for event in ("playing", "request", "handed over", "playing"):
        EVENTS[event](harness, playback)
    assert decision_state(harness) == before


def test_a_duplicate_timer_runs_one_interval() -> None:
    """Guards against a duplicate timer that starts a second chain of sample intervals."""
    harness = ControllerHarness()
    for _ in range(5):
        harness.now += SECOND
        for _ in range(3):
            harness.controller.on_timer(harness.now)
    timers = [call[1] for call in harness.calls if call[0] == "alarm"]
    assert len(timers) == 6
    assert timers == sorted(set(timers))


def test_a_late_list_makes_no_node_warm_and_a_fast_clock_keeps_none_cold() -> None:
    """A node's start time never goes back, and never lies in the future."""
    for listed_start_s in (0, 50):
        harness = ControllerHarness(nodes=1, terms=replace(TERMS, front_count=1))
        started = harness.now
        harness.apply_list(NodeListKind.CHANGES, started_at=started)
        # From a list service that does not know of the restart.
        harness.apply_list(NodeListKind.CHANGES, started_at=listed_start_s * SECOND)
        assert harness.nodes[0].started_at == started
    harness.apply_list(NodeListKind.CHANGES, started_at=harness.now + 10**18)
    harness.now += TERMS.cold_duration_ns
    assert harness.controller._known_uptime_ns(harness.nodes[0], harness.now) >= TERMS.cold_duration_ns


def test_no_setup_is_sent_after_the_abandon_time() -> None:
    """A request past its abandon time is rejected without a try."""
    harness = ControllerHarness()
    playback = Playback(Title("t", 0, 0), PAID, 2, harness.now, False)
    harness.controller.on_request(playback, harness.now)
    assert harness.final_answers(playback) == ["reject"]
    assert not harness.sent_nodes()


@pytest.mark.parametrize("terms", [TERMS, BUDGETED])
def test_request_and_retry_times_are_bounded_by_the_budget_window(terms: Any) -> None:
    """Guards against a history of the retry budget that grows without bound."""
    harness = ControllerHarness(terms=replace(terms, uplink_capacity=0.0))
    for _ in range(2_000):  # each request needs a retry, as if one node was full
        playback = harness.request()
        harness.controller.on_try_ended(playback, Outcome.NOT_SENT, False, None, None, None, harness.now)
        harness.controller.on_try_ended(playback, Outcome.WITHDRAWN, True, None, None, None, harness.now)
        harness.now += 100 * MS
    assert len(harness.controller.request_times) <= 31
    assert len(harness.controller.retry_times) <= 31


STEP = st.tuples(st.sampled_from(["ask", "wait", "list", *EVENTS, *EVENTS]), st.integers(0, 30))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, min_size=10, max_size=80), st.booleans())
def test_events_in_any_order_neither_raise_nor_leak(steps: list[tuple[str, int]], budget: bool) -> None:
    """After any sequence of events, no seat, playback or load is left over."""
    harness = ControllerHarness(terms=BUDGETED if budget else TERMS)
    playbacks: list[Playback] = []
    title = Title("t", 0, 0)
    plans = [FREE, PAID, KEYED, replace(FREE, floor=1, seats=2)]
    for event, number in steps:
        if event == "ask":
            playbacks.append(harness.request(plans[number % 4], title))
        elif event == "wait":
            harness.now += number * 100 * MS
            harness.controller.on_timer(harness.now)
        elif event == "list":
            status = [NodeStatus.READY, NodeStatus.DRAINING, NodeStatus.GONE][number % 3]
            entry = NodeEntry(harness.nodes[number % 4], status, (number % 5) * 50 * SECOND, 4000.0, 12.0)
            harness.controller.on_node_list(NodeListKind.CHANGES, [entry], harness.now)
        elif playbacks:
            EVENTS[event](harness, playbacks[number % len(playbacks)])
        sent = [call[1] for call in harness.calls if call[0] == "send"]
        for playback in playbacks:
            assert len(harness.final_answers(playback)) <= 1
            assert playback.plan.effect is not PAID.effect or len(playback.may_have_run) <= 1
            assert sent.count(playback) <= TERMS.max_tries
        assert all(0 <= taken <= (plan.seats or 1 << 30) for plan, taken in title.seats_taken.items())
    for playback in playbacks:
        harness.controller.on_viewer_left(playback, harness.now)
        harness.controller.on_try_ended(playback, Outcome.WITHDRAWN, True, None, None, None, harness.now)
        assert harness.controller.is_over(playback)
    assert not any(title.seats_taken.values())
    assert not any(node.playbacks or node.pending_setups for node in harness.nodes)
    assert abs(harness.controller.own_rate) < 1e6
