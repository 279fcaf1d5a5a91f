"""What the modules of roles share: constants of today's size, and the usual kinds of loads and limits."""

from __future__ import annotations

from dataclasses import replace

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.bounds import Bound
from benchmarks.capacity.readings import NOT_MEASURED, Reading, Readings, number
from benchmarks.capacity.rows import ENOUGH, Basis, Limit, Load
from benchmarks.capacity.targets import BUDGET, KB, MB, TARGET, TODAY_FRONTS

PER_CENT = 100.0
MS_PER_S, US_PER_S = 1e3, 1e6

CONTROL_CORE = PER_CENT * BUDGET.core_share
CONTROL_KB = BUDGET.octets_per_s / KB
CONTROL_MB = BUDGET.memory_octets / MB
OWN_CORE = PER_CENT * assumed.FRONT_CORES.value
"""Of a front end's own work, in % of a core."""

FRONTS = float(TARGET.fronts)
NODES = assumed.PLAYOUT_NODES.value
TODAY_NODES = 200.0
"""Playout nodes of the largest fleet tried."""
TODAY_SESSIONS = bounds.MOST_SESSIONS.value
"""What a front holds at most today."""

HELD = demand.connections_per_front()
HELD_WORST = demand.worst("front end", "sessions held")
LISTENERS = demand.listeners_per_front()
LISTENERS_WORST = demand.worst("fan-out", "listeners of the largest topic")

EIGHT_KB = "8 kB/s of the worst front"
THREE_PER_CENT = "3% of a core of a front"


def load_at_both_sizes(
    resource: str, reading: Reading, today: float = TODAY_FRONTS, target: float = FRONTS
) -> Load:
    """What a slope says at today's size and at the target."""
    return Load(resource, reading.cell(today), reading.cell(target))


def core_share(microseconds: float | None, per_s: float) -> str:
    """Processor time of so many a second, for the page."""
    if microseconds is None:
        return NOT_MEASURED
    return f"{number(microseconds * per_s / US_PER_S * PER_CENT)} % of a core, derived"


def within(
    slopes: Readings,
    name: str,
    budget: float,
    driver: str,
    needed: float,
    breaks: str,
) -> Limit:
    """The limit at which a slope meets a budget, looked for up to what is enough."""
    reading = slopes[name]
    carried = reading.within(budget, ENOUGH * needed)
    return Limit(driver, carried, needed, reading.basis, reading.source(carried), breaks)


def derived(value: float | None, source: str, driver: str, needed: float, breaks: str) -> Limit:
    """A limit that follows from measured figures by a sum."""
    basis = Basis.NOT_MEASURED if value is None else Basis.DERIVED
    return Limit(driver, value, needed, basis, source, breaks)


def assuming(assumption: assumed.Assumption, *limits: Limit) -> tuple[Limit, ...]:
    """Limits that rest on an assumption."""
    return tuple(replace(limit, assumes=assumption.name) for limit in limits)


def constant(bound: Bound, driver: str, needed: float, breaks: str) -> Limit:
    """A limit that stands in the code."""
    return Limit(driver, bound.value, needed, Basis.CONSTANT, bound.source, breaks)
