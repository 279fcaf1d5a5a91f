"""The users' figures for the target size, as given, with their units in the names."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400
HOUR_S = 3_600
KB = 1_000
MB = 1_000_000


@dataclass(frozen=True)
class Target:
    """What the fleet has to carry within two years, in the users' terms."""

    fronts: int = 2_700
    connections: int = 150_000_000
    topic_shards: int = 170_000
    largest_topic_listeners: int = 1_600_000
    deliveries_per_s: float = 15_000_000.0
    delivery_within_s: float = 0.260
    delivery_quantile: float = 0.99
    regions: int = 9
    zones: int = 32
    changes_per_day: int = 14_000
    change_within_s: float = 20.0
    control_machines: int = 44
    failures_per_day: int = 25
    restarts_per_day: int = 600
    release_restarts_per_hour: int = 600
    region_apart_s: float = HOUR_S


@dataclass(frozen=True)
class ControlBudget:
    """What a front end may spend on all control work together, and the share of a control machine that may be used."""

    core_share: float = 0.03
    memory_octets: int = 256 * MB
    octets_per_s: float = 8.0 * KB
    control_machine_share: float = 0.5


TARGET = Target()
BUDGET = ControlBudget()
TODAY_FRONTS = 200
"""Front ends of the largest fleet that has been tested (docs/platform.md)."""
