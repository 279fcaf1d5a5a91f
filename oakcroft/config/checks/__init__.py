"""Checks across forms: names that must exist, terms that contradict each other, and what can never happen."""

from __future__ import annotations

from oakcroft.config.checks import fronts, levels, limits, peers, plans, pools, routes, zones
from oakcroft.config.problems import Problems
from oakcroft.config.records import Records

CHECKS = (
    plans.check_ladder, plans.check_plans, pools.check_pools, routes.check_routes, limits.check_limits,
    limits.check_tokens, fronts.check_front, fronts.check_nodes, levels.check_levels, levels.check_preference,
    peers.check_peers, peers.check_keepers, peers.check_adopting, peers.check_probing,
    zones.check_zones,
)  # fmt: skip
"""In the order in which their problems are noted, where the number of those is bounded."""


def cross_check(records: Records, problems: Problems) -> None:
    """Notes what is wrong between the forms of a configuration, all of it."""
    for check in CHECKS:
        check(records, problems)
