"""Checks across forms: undefined names, contradictory values, and forms that can never take effect."""

from __future__ import annotations

from oakcroft.config.checks import fronts, levels, limits, peers, plans, pools, routes, zones
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records

CHECKS = (
    plans.check_ladder,
    plans.check_plans,
    pools.check_pools,
    routes.check_routes,
    limits.check_limits,
    limits.check_tokens,
    fronts.check_front,
    fronts.check_nodes,
    levels.check_levels,
    levels.check_preference,
    peers.check_peers,
    peers.check_lease_acceptors,
    peers.check_session_takeover,
    peers.check_load_probing,
    zones.check_zones,
)
"""All checks in the order in which they run, which matters where the bound on diagnostics is reached."""


def cross_check(records: Records, diagnostics: Diagnostics) -> None:
    """Runs all checks across the forms of a configuration and records what they find."""
    for check in CHECKS:
        check(records, diagnostics)
