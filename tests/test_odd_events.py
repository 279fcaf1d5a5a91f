"""Duplicate, late and misordered events: the decision module neither raises nor leaks nor changes its state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from helpers import FREE, KEYED, PAID, TERMS, Fleet
from oakcroft.interface import MS, SECOND, Entry, Listing, ListKind, Note, Outcome, Playback, Title

BUDGETED = replace(TERMS, tries_free=2.0, tries_share=0.1, tries_window=3 * SECOND)
LATE: dict[str, Callable[[Fleet, Playback], None]] = {
    "arrived": lambda f, pb: f.control.arrived(pb, f.now),
    "resumed": lambda f, pb: f.control.resumed(pb, f.nodes[1], f.now),
    "playing": lambda f, pb: f.control.playing(pb, f.now),
    "noted rung": lambda f, pb: f.control.noted(pb, Note.RUNG, 2, f.now),
    "noted link": lambda f, pb: f.control.noted(pb, Note.LINK_ASKED, 1.4, f.now),
    "noted share": lambda f, pb: f.control.noted(pb, Note.DELIVERED, 0.1, f.now),
    "done": lambda f, pb: f.control.tried(pb, Outcome.DONE, True, 1.3, None, None, f.now),
    "reset": lambda f, pb: f.control.tried(pb, Outcome.RESET, False, None, None, None, f.now),
    "never ran": lambda f, pb: f.control.tried(pb, Outcome.NOT_SENT, False, None, 1.0, None, f.now),
    "left": lambda f, pb: f.control.left(pb, f.now),
}


def standing_of(fleet: Fleet) -> list[Any]:
    """All state that later decisions depend on."""
    c, nodes = fleet.control, fleet.nodes
    held = [
        (len(n.playbacks), len(n.waiting), n.level, n.distrust.sum, n.failed_at, n.short, n.slot_used)
        for n in nodes
    ]
    return [
        held,
        c.held,
        c.x,
        list(c.taken),
        list(c.further),
        c.asked.sum,
        c.rng.getstate(),
        len(fleet.calls),
    ]


def ended(fleet: Fleet, how: str) -> Playback:
    """Returns a playback that has ended in the given state."""
    pb = fleet.ask(PAID)
    if how == "rejected":
        fleet.control.tried(pb, Outcome.NOT_SENT, False, None, None, None, pb.abandon)
    elif how == "aborted":
        fleet.control.tried(pb, Outcome.LATE, False, None, None, None, fleet.now)
    else:
        fleet.control.playing(pb, fleet.now)
        fleet.control.tried(pb, Outcome.DONE, True, None, None, None, fleet.now)
    assert fleet.control.over(pb)
    assert pb.state.value == how
    return pb


@pytest.mark.parametrize("how", ["rejected", "aborted", "ended"])
@pytest.mark.parametrize("what", LATE)
def test_an_event_on_a_playback_that_has_ended_changes_nothing(what: str, how: str) -> None:
    """Late events must not change seats, loads or scores."""
    fleet = Fleet(terms=BUDGETED)
    pb = ended(fleet, how)
    before = standing_of(fleet)
    LATE[what](fleet, pb)
    assert standing_of(fleet) == before
    assert pb.state.value == how


def test_an_event_that_comes_twice_counts_once() -> None:
    """Duplicates of an event are ignored."""
    fleet = Fleet(terms=BUDGETED)
    pb = fleet.ask()
    assert pb.node is not None
    pb.node.distrust.add(2.0, fleet.now, SECOND)
    fleet.control.playing(pb, fleet.now)
    assert pb.node.distrust.sum == 2.0
    before = standing_of(fleet)
    for what in ("playing", "arrived", "resumed", "playing"):
        LATE[what](fleet, pb)
    assert standing_of(fleet) == before


def test_an_alarm_that_comes_twice_runs_one_interval() -> None:
    """A duplicate timer must not start a second chain of intervals."""
    fleet = Fleet()
    for _ in range(5):
        fleet.now += SECOND
        for _ in range(3):
            fleet.control.alarm(fleet.now)
    asked = [call[1] for call in fleet.calls if call[0] == "alarm"]
    assert len(asked) == 6
    assert asked == sorted(set(asked))


def test_a_list_that_is_behind_warms_no_node_up_and_one_ahead_keeps_none_cold() -> None:
    """A node's start time neither goes back nor lies in the future."""
    for told in (0, 50):
        fleet = Fleet(nodes=1, terms=replace(TERMS, fronts=1))
        started = fleet.now
        fleet.relist(ListKind.CHANGES, started_at=started)
        # From a list service that does not know of the restart.
        fleet.relist(ListKind.CHANGES, started_at=told * SECOND)
        assert fleet.nodes[0].started_at == started
    fleet.relist(ListKind.CHANGES, started_at=fleet.now + 10**18)
    fleet.now += TERMS.cold_for
    assert fleet.control._age(fleet.nodes[0], fleet.now) >= TERMS.cold_for


def test_nothing_is_set_up_for_a_viewer_whose_time_is_up() -> None:
    """A request past its abandon time is rejected without a try."""
    fleet = Fleet()
    pb = Playback(Title("t", 0, 0), PAID, 2, fleet.now, False)
    fleet.control.arrived(pb, fleet.now)
    assert fleet.answers(pb) == ["reject"]
    assert not fleet.sends()


@pytest.mark.parametrize("terms", [TERMS, BUDGETED])
def test_a_front_keeps_no_more_times_of_requests_and_tries_than_its_window_holds(terms: Any) -> None:
    """The history of the retry budget must not grow without bound."""
    fleet = Fleet(terms=replace(terms, uplink=0.0))
    for _ in range(2_000):  # each needs a retry, as while one node is full
        pb = fleet.ask()
        fleet.control.tried(pb, Outcome.NOT_SENT, False, None, None, None, fleet.now)
        fleet.control.tried(pb, Outcome.WITHDRAWN, True, None, None, None, fleet.now)
        fleet.now += 100 * MS
    assert len(fleet.control.taken) <= 31
    assert len(fleet.control.further) <= 31


STEP = st.tuples(st.sampled_from(["ask", "wait", "list", *LATE, *LATE]), st.integers(0, 30))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, min_size=10, max_size=80), st.booleans())
def test_any_calls_in_any_order_raise_nothing_and_leave_nothing(
    steps: list[tuple[str, int]], budget: bool
) -> None:
    """After any sequence of events, no seat, playback or load is left over."""
    fleet, all_ = Fleet(terms=BUDGETED if budget else TERMS), list[Playback]()
    title, plans = Title("t", 0, 0), [FREE, PAID, KEYED, replace(FREE, floor=1, seats=2)]
    for what, k in steps:
        if what == "ask":
            all_.append(fleet.ask(plans[k % 4], title))
        elif what == "wait":
            fleet.now += k * 100 * MS
            fleet.control.alarm(fleet.now)
        elif what == "list":
            listing = [Listing.READY, Listing.DRAINING, Listing.GONE][k % 3]
            entry = Entry(fleet.nodes[k % 4], listing, (k % 5) * 50 * SECOND, 4000.0, 12.0)
            fleet.control.listed(ListKind.CHANGES, [entry], fleet.now)
        elif all_:
            LATE[what](fleet, all_[k % len(all_)])
        sends = [call[1] for call in fleet.calls if call[0] == "send"]
        for pb in all_:
            assert len(fleet.answers(pb)) <= 1
            assert pb.plan.effect is not PAID.effect or len(pb.may_have_run) <= 1
            assert sends.count(pb) <= TERMS.most_tries
        assert all(0 <= n <= (p.seats or 1 << 30) for p, n in title.seats.items())
    for pb in all_:
        fleet.control.left(pb, fleet.now)
        fleet.control.tried(pb, Outcome.WITHDRAWN, True, None, None, None, fleet.now)
        assert fleet.control.over(pb)
    assert not any(title.seats.values())
    assert not any(n.playbacks or n.waiting for n in fleet.nodes)
    assert abs(fleet.control.held) < 1e6
