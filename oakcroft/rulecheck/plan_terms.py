"""Rule 5: what a plan was promised: its floor, and its seats."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.facts import CREATED, Fact, Finding, SetUp

Changes = dict[tuple[str, str, str], list[tuple[int, int]]]
"""By front, plan and title: when it held one more, and one less."""


def check_plan_terms(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """5: no rung under a floor; no more than the seats of a title and plan held by one front."""
    found = Finding(5, "terms kept")
    changes: Changes = defaultdict(list)
    for one in tries:
        if one.plan not in site.plans:
            continue
        plan = site.plans[one.plan].plan
        found.cases += 1
        if one.rung < plan.floor:
            found.add_breach(f"{one.key}: set up on rung {one.rung} under the floor {plan.floor}")
        if plan.seats:
            _note_changes(one, changes)
    for fact in facts:
        if fact["kind"] == "rung" and fact["rung"] < site.plans[fact["plan"]].plan.floor:
            found.add_breach(f"{fact['session']}: set to rung {fact['rung']} under its floor")
    for (front, plan_name, title), steps in changes.items():
        seats = site.plans[plan_name].plan.seats
        held = _first_held_over(seats, steps)
        if held is not None:
            found.add_breach(f"{front} held {held} of {title} in {plan_name}: {seats} seats")
    return found


def _note_changes(one: SetUp, changes: Changes) -> None:
    """A set-up holds a seat from its try on, at the front that made it and at those that its session passed on to."""
    done = one.over if one.status == CREATED else one.ended
    begin, front = one.t, one.front
    for end, to in [*one.passed, (done, "")]:
        held = changes[front, one.plan, one.title]
        held.append((begin, 1))
        if end is not None:
            held.append((end, -1))
            begin, front = end, to


def _first_held_over(seats: int, steps: list[tuple[int, int]]) -> int | None:
    held = 0
    for _, step in sorted(steps):
        held += step
        if held > seats:
            return held
    return None
