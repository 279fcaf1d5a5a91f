"""Rule 5: the terms of a plan are kept, which are its floor and its seats."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.facts import CREATED, Fact, Finding, SetUp

SeatChanges = dict[tuple[str, str, str], list[tuple[int, int]]]
"""By front, plan and title: when (ns) the front held one seat more (1) or less (-1)."""


def check_plan_terms(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """Checks that no rung is under its plan's floor and that no front holds more seats of a title than the plan has."""
    finding = Finding(5, "plan terms kept")
    seat_changes: SeatChanges = defaultdict(list)
    for set_up in tries:
        if set_up.plan not in site.plans:
            continue
        plan = site.plans[set_up.plan].plan
        finding.cases += 1
        if set_up.rung < plan.floor:
            finding.add_breach(f"{set_up.key}: set up on rung {set_up.rung} under the floor {plan.floor}")
        if plan.seats:
            _add_seat_changes(set_up, seat_changes)
    for fact in facts:
        if fact["kind"] == "rung" and fact["rung"] < site.plans[fact["plan"]].plan.floor:
            finding.add_breach(f"{fact['session']}: set to rung {fact['rung']} under its floor")
    for (front, plan_name, title), changes in seat_changes.items():
        seats = site.plans[plan_name].plan.seats
        held = _first_count_over(seats, changes)
        if held is not None:
            finding.add_breach(f"{front} held {held} of {title} in {plan_name}: {seats} seats")
    return finding


def _add_seat_changes(set_up: SetUp, seat_changes: SeatChanges) -> None:
    """A set-up holds a seat from its try on, at the front that made it and then at each that took over its session."""
    released_at = set_up.session_ended_at if set_up.status == CREATED else set_up.ended_at
    held_since = set_up.received_at
    front = set_up.front
    for held_until, next_front in [*set_up.takeovers, (released_at, "")]:
        changes = seat_changes[front, set_up.plan, set_up.title]
        changes.append((held_since, 1))
        if held_until is not None:
            changes.append((held_until, -1))
            held_since = held_until
            front = next_front


def _first_count_over(seats: int, changes: list[tuple[int, int]]) -> int | None:
    held = 0
    for _, change in sorted(changes):
        held += change
        if held > seats:
            return held
    return None
