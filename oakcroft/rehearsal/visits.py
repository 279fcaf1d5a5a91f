"""The viewers of a day, drawn from its seed: when each arrives, from which zone, for what and for how long."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass
from random import Random

from oakcroft.config.settings import PlanTerms
from oakcroft.interface import SECOND
from oakcroft.standins.day import Day, Fault

VISITS_SEED_FACTOR, VISITS_SEED_OFFSET = 104729, 3
"""Keep the random numbers of the visits apart from others seeded with the day's seed."""

VISIT_SEEDS = 1 << 30

MIN_WATCH_SHARE, MAX_WATCH_SHARE = 0.1, 4.0
"""The wanted playing time is distributed exponentially around its plan's mean, and limited by these shares of it."""


@dataclass(frozen=True)
class Visit:
    """One viewer of the day."""

    arrival_ns: int
    """When it arrives, from the start of the day."""
    number: int
    zone: str
    plan: PlanTerms
    title: str
    watch_ns: int
    """How long it wants to watch."""
    top_rung: int
    """The highest rung that its screen shows."""
    seed: int


def plan_visits(day: Day) -> list[Visit]:
    """Returns every viewer of the day, drawn from its seed alone, in order of their arrival."""
    rng = Random(day.seed * VISITS_SEED_FACTOR + VISITS_SEED_OFFSET)
    viewer_model = day.viewer_model
    title_weights = list(
        itertools.accumulate(
            1 / (rank + 1) ** viewer_model.zipf_exponent for rank in range(viewer_model.title_count)
        )
    )
    visits = list[Visit]()
    arrival = 0.0
    while True:
        arrival += rng.expovariate(viewer_model.arrival_rate)
        if arrival * SECOND >= day.duration_ns:
            break
        visits.append(_draw_visit(day, rng, title_weights, round(arrival * SECOND), len(visits), None))
    for fault in day.faults:
        if fault.kind == "crowd":
            _add_crowd(day, rng, title_weights, fault, visits)
    return sorted(visits, key=lambda visit: (visit.arrival_ns, visit.number))


def _add_crowd(day: Day, rng: Random, title_weights: list[float], crowd: Fault, visits: list[Visit]) -> None:
    """Adds the viewers of a crowd, who all request the same title; its size is relative to the arrival rate."""
    arrival = crowd.start_ns / SECOND
    rate = day.viewer_model.arrival_rate * crowd.size
    title = rng.randrange(day.viewer_model.title_count)
    while rate > 0:
        arrival += rng.expovariate(rate)
        if arrival * SECOND >= crowd.start_ns + crowd.duration_ns:
            break
        visits.append(_draw_visit(day, rng, title_weights, round(arrival * SECOND), len(visits), title))


def _draw_visit(
    day: Day, rng: Random, title_weights: list[float], arrival_ns: int, number: int, title: int | None
) -> Visit:
    """Draws a visit at a time, to a given title or to one by the cumulative weights of the titles."""
    viewer_model = day.viewer_model
    plan_names, plan_shares = list(viewer_model.plan_shares), list(viewer_model.plan_shares.values())
    plan = day.site.plans[rng.choices(plan_names, plan_shares)[0]]
    if title is None:
        title = bisect.bisect(title_weights, rng.random() * title_weights[-1])
    rung_count = len(day.site.terms.rung_rates)
    has_small_screen = rng.random() < viewer_model.small_screen_share
    top_rung = rng.randrange(1, max(2, rung_count - 1)) if has_small_screen else rung_count - 1
    watch_share = min(MAX_WATCH_SHARE, rng.expovariate(1.0) + MIN_WATCH_SHARE)
    return Visit(
        arrival_ns=arrival_ns,
        number=number,
        zone=rng.choice(sorted(set(day.front_zones))),
        plan=plan,
        title=f"lesson-{title}",
        watch_ns=round(viewer_model.mean_watch_ns[plan.name] * watch_share),
        top_rung=min(top_rung, plan.plan.top_rung),
        seed=rng.randrange(VISIT_SEEDS),
    )
