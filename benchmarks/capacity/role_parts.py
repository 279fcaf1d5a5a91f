"""Shared by the modules of roles: budgets, sizes today and at the target, and constructors of loads and limits."""

from __future__ import annotations

from dataclasses import replace

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.bounds import Bound
from benchmarks.capacity.readings import NOT_MEASURED, Reading, Readings, format_number
from benchmarks.capacity.rows import SUFFICIENT_RATIO, Basis, Limit, Load
from benchmarks.capacity.targets import BUDGET, KB, MB, TARGET, TODAY_FRONTS

PERCENT = 100.0
MS_PER_S = 1e3
US_PER_S = 1e6

CONTROL_CPU_PERCENT = PERCENT * BUDGET.core_share
CONTROL_KB_PER_S = BUDGET.octets_per_s / KB
CONTROL_MEMORY_MB = BUDGET.memory_octets / MB
FRONT_CPU_PERCENT = PERCENT * assumed.FRONT_CORES.value
"""For a front end's own work, in % of a core."""

TARGET_FRONTS = float(TARGET.fronts)
TARGET_NODES = assumed.PLAYOUT_NODES.value
TODAY_NODES = 200.0
"""Playout nodes of the largest fleet that has been tested."""
TODAY_SESSIONS = bounds.MAX_SESSIONS.value
"""The most that a front end holds today."""

SESSIONS_PER_FRONT = demand.connections_per_front()
WORST_SESSIONS_PER_FRONT = demand.worst_load("front end", "sessions held")
LISTENERS_PER_FRONT = demand.listeners_per_front()
WORST_LISTENERS_PER_FRONT = demand.worst_load("fan-out", "listeners of the largest topic")

OVER_TRAFFIC_BUDGET = "the worst front exceeds 8 kB/s"
OVER_CPU_BUDGET = "a front exceeds 3% of a core"


def load_at_both_sizes(
    resource: str, reading: Reading, today: float = TODAY_FRONTS, target: float = TARGET_FRONTS
) -> Load:
    """Returns the load that a slope gives at today's size and at the target."""
    return Load(resource, reading.table_cell(today), reading.table_cell(target))


def core_share(microseconds: float | None, per_s: float) -> str:
    """Formats the share of a core that `per_s` operations per second take, for the page."""
    if microseconds is None:
        return NOT_MEASURED
    return f"{format_number(microseconds * per_s / US_PER_S * PERCENT)} % of a core, derived"


def measured_limit(
    slopes: Readings,
    name: str,
    budget: float,
    driver: str,
    needed: float,
    consequence: str,
) -> Limit:
    """Returns the limit at which a slope reaches a budget, searched up to `SUFFICIENT_RATIO` times what is needed."""
    reading = slopes[name]
    carried = reading.largest_size_within(budget, SUFFICIENT_RATIO * needed)
    return Limit(driver, carried, needed, reading.basis, reading.describe_source(carried), consequence)


def derived_limit(value: float | None, source: str, driver: str, needed: float, consequence: str) -> Limit:
    """Returns a limit that is calculated from measured figures."""
    basis = Basis.NOT_MEASURED if value is None else Basis.DERIVED
    return Limit(driver, value, needed, basis, source, consequence)


def assumed_limits(assumption: assumed.Assumption, *limits: Limit) -> tuple[Limit, ...]:
    """Returns the limits, marked as resting on an assumption."""
    return tuple(replace(limit, assumption=assumption.name) for limit in limits)


def constant_limit(bound: Bound, driver: str, needed: float, consequence: str) -> Limit:
    """Returns a limit that is a constant in the code."""
    return Limit(driver, bound.value, needed, Basis.CONSTANT, bound.source, consequence)
