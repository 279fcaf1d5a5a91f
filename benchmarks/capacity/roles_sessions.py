"""Rows of the roles that depend on a front end's sessions, and the order of all roles of sessions.

The data path and fan-out are in `roles_data_path.py`.
"""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import bisect_largest_size
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    OVER_CPU_BUDGET,
    OVER_TRAFFIC_BUDGET,
    PERCENT,
    SESSIONS_PER_FRONT,
    TARGET_FRONTS,
    TARGET_NODES,
    TODAY_NODES,
    TODAY_SESSIONS,
    US_PER_S,
    assumed_limits,
    constant_limit,
    core_share,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.roles_data_path import data_path, fan_out
from benchmarks.capacity.rows import Limit, Load, Row

REPORTS_EVERY_S = assumed.REPORTS_EVERY_S.value
REQUESTING_FRONTS_PER_NODE = 3
"""Front ends that ask a node for a failed front's sessions."""


def report_share(slopes: Readings, held: float) -> float:
    """Returns the % of a core for the reports on `held` sessions; the cost of each grows with their number."""
    report_us = slopes["sessions.report"].value(held) or 0.0
    return report_us * held / REPORTS_EVERY_S / US_PER_S * PERCENT


def reports(slopes: Readings) -> Row:
    """Nodes' reports on sessions, and node loads shared among front ends."""
    return Row(
        "probing and load reports",
        "3% of a core and 8 kB/s, shared with all other control work; a load known within 20 s",
        "`platform/session_coordinator.py` `_apply_note`, `choice.py`, `decisions/fleet/load_sharing.py`",
        _report_loads(slopes),
        (*_session_report_limits(slopes), *_load_sharing_limits(slopes)),
    )


def _report_loads(slopes: Readings) -> tuple[Load, ...]:
    cost = slopes["sessions.report"]
    return (
        Load("state", f"{format_number(TODAY_NODES)} loads", f"{format_number(TARGET_NODES)} loads"),
        Load(
            "messages",
            f"{format_number(TODAY_SESSIONS / REPORTS_EVERY_S)} reports a second",
            f"{format_number(SESSIONS_PER_FRONT / REPORTS_EVERY_S)} reports a second",
        ),
        Load(
            "CPU, reports",
            core_share(cost.value(TODAY_SESSIONS), TODAY_SESSIONS / REPORTS_EVERY_S),
            core_share(cost.value(SESSIONS_PER_FRONT), SESSIONS_PER_FRONT / REPORTS_EVERY_S),
        ),
        load_at_both_sizes("CPU, sharing of loads", slopes["loads.processor"], TODAY_NODES, TARGET_NODES),
        Load("memory", NOT_MEASURED, NOT_MEASURED),
        load_at_both_sizes("network, sharing of loads", slopes["loads.octets"], TODAY_NODES, TARGET_NODES),
    )


def _session_report_limits(slopes: Readings) -> tuple[Limit, ...]:
    carried = None
    if slopes["sessions.report"].fitted is not None:
        carried = bisect_largest_size(
            lambda held: report_share(slopes, held), CONTROL_CPU_PERCENT, SESSIONS_PER_FRONT
        )
    return assumed_limits(
        assumed.REPORTS_EVERY_S,
        derived_limit(
            carried,
            "`sessions.report`",
            "sessions on which nodes report",
            SESSIONS_PER_FRONT,
            OVER_CPU_BUDGET,
        ),
    )


def _load_sharing_limits(slopes: Readings) -> tuple[Limit, ...]:
    too_old = "known loads are too old to use; each front relies on its own traffic"
    return assumed_limits(
        assumed.PLAYOUT_NODES,
        measured_limit(
            slopes,
            "loads.age",
            bounds.MAX_LOAD_AGE_S.value,
            "nodes whose loads are known within 20 s",
            TARGET_NODES,
            too_old,
        ),
        measured_limit(
            slopes,
            "loads.octets",
            CONTROL_KB_PER_S,
            "nodes, by octets of shared loads",
            TARGET_NODES,
            OVER_TRAFFIC_BUDGET,
        ),
        measured_limit(
            slopes,
            "loads.processor",
            CONTROL_CPU_PERCENT,
            "nodes, by CPU time of sharing loads",
            TARGET_NODES,
            OVER_CPU_BUDGET,
        ),
    )


def takeover(slopes: Readings) -> Row:
    """Takeover of the sessions of failed front ends by the others."""
    pairs = demand.fronts_of_largest_zone() * TARGET_NODES
    return Row(
        "takeover of sessions",
        "3% of a core, shared with all other control work; within a lease of 15 s",
        "`decisions/fleet/session_takeover.py`, `front/session_takeover.py`",
        (
            Load(
                "state",
                slopes["takeover.pairs"].table_cell(TODAY_NODES),
                f"{format_number(pairs)} pairs of failed front and node",
            ),
            Load(
                "messages",
                NOT_MEASURED,
                f"{format_number(pairs * REQUESTING_FRONTS_PER_NODE / TARGET_FRONTS)} requests per front",
            ),
            load_at_both_sizes("time until all nodes are asked", slopes["takeover.time"]),
            load_at_both_sizes("CPU until then", slopes["takeover.processor"]),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        _takeover_limits(slopes, pairs),
    )


def _takeover_limits(slopes: Readings, pairs: float) -> tuple[Limit, ...]:
    """`pairs` is the number of pairs of failed front and node."""
    takeover_start_s = bounds.CRASH_DETECTION_S.value + bounds.TAKEOVER_DELAY_S.value
    remaining_s = bounds.SESSION_LEASE_S.value - takeover_start_s
    sessions_lost = "sessions end when their lease expires"
    in_time = f"fronts and nodes, all asked in the {remaining_s:g} s that remain of the lease"
    return assumed_limits(
        assumed.PLAYOUT_NODES,
        constant_limit(bounds.MAX_TAKEOVER_PAIRS, "pairs of failed front and node", pairs, sessions_lost),
        measured_limit(slopes, "takeover.time", remaining_s, in_time, TARGET_FRONTS, sessions_lost),
        measured_limit(
            slopes,
            "takeover.processor",
            CONTROL_CPU_PERCENT,
            "fronts and nodes, by CPU time",
            TARGET_FRONTS,
            OVER_CPU_BUDGET,
        ),
    )


SESSION_ROLES = (data_path, reports, fan_out, takeover)
