"""Rows of the roles that depend on a front end's sessions: data path, load reports, fan-out, takeover."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import bisect_largest_size
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    FRONT_CPU_PERCENT,
    LISTENERS_PER_FRONT,
    MS_PER_S,
    OVER_CPU_BUDGET,
    OVER_TRAFFIC_BUDGET,
    PERCENT,
    SESSIONS_PER_FRONT,
    TARGET_FRONTS,
    TARGET_NODES,
    TODAY_NODES,
    TODAY_SESSIONS,
    US_PER_S,
    WORST_LISTENERS_PER_FRONT,
    WORST_SESSIONS_PER_FRONT,
    assumed_limits,
    constant_limit,
    core_share,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.rows import Load, Row
from benchmarks.capacity.targets import TARGET

DELIVERIES_PER_S = demand.deliveries_per_front()
WORST_DELIVERIES_PER_S = demand.worst_load("front end", "deliveries")
WORST_SETUPS_PER_S = demand.worst_load("front end", "set-ups")
DELIVERY_MS = TARGET.delivery_within_s * MS_PER_S
REPORTS_EVERY_S = assumed.REPORTS_EVERY_S.value
CORE_SATURATED = "a core is saturated: answers are late"
LATE_EVENTS = "events queue in the inbox and take more than 260 ms"
LATE_LISTENERS = "the last listeners receive the event after more than 260 ms"
SETUPS_REJECTED = "further set-ups are rejected"
ADOPTERS_PER_NODE = 3
"""Front ends that ask a node for a failed front's sessions."""


def data_path(slopes: Readings) -> Row:
    """The data path: connections, sessions and deliveries."""
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    deliveries = None if event_us is None else FRONT_CPU_PERCENT / PERCENT * US_PER_S / event_us
    by_event = "`ends.processor`, a core over the CPU time of one event"
    mean_deliveries = format_number(DELIVERIES_PER_S)
    worst_deliveries = format_number(WORST_DELIVERIES_PER_S)
    deliveries_at_target = f"{mean_deliveries} deliveries a second, {worst_deliveries} at worst"
    return Row(
        "front end's data path",
        "one core (assumed); 260 ms for 99 of 100 deliveries",
        "`platform/viewers.py`, `platform/session_coordinator.py`, `platform/node_pool.py`, `choice.py`",
        (
            Load(
                "state",
                f"{format_number(TODAY_SESSIONS)} sessions (the limit)",
                f"{format_number(SESSIONS_PER_FRONT)} sessions",
            ),
            Load("messages", NOT_MEASURED, deliveries_at_target),
            load_at_both_sizes("CPU, idle", slopes["sessions.processor"], TODAY_SESSIONS, SESSIONS_PER_FRONT),
            load_at_both_sizes(
                "CPU, the decision module's interval",
                slopes["held.interval"],
                TODAY_SESSIONS,
                SESSIONS_PER_FRONT,
            ),
            Load("CPU, deliveries", NOT_MEASURED, core_share(event_us, DELIVERIES_PER_S)),
            load_at_both_sizes("memory", slopes["sessions.memory"], TODAY_SESSIONS, SESSIONS_PER_FRONT),
            load_at_both_sizes(
                "descriptors", slopes["connections.descriptors"], TODAY_SESSIONS, SESSIONS_PER_FRONT
            ),
            Load("network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            constant_limit(bounds.MAX_SESSIONS, "sessions held", SESSIONS_PER_FRONT, SETUPS_REJECTED),
            *assumed_limits(
                assumed.LARGEST_REGION_OVER_MEAN,
                constant_limit(
                    bounds.MAX_SESSIONS,
                    "sessions held after the loss of a region",
                    WORST_SESSIONS_PER_FRONT,
                    SETUPS_REJECTED,
                ),
            ),
            measured_limit(
                slopes,
                "sessions.processor",
                FRONT_CPU_PERCENT,
                "sessions held, by CPU time while idle",
                SESSIONS_PER_FRONT,
                CORE_SATURATED,
            ),
            measured_limit(
                slopes,
                "held.interval",
                FRONT_CPU_PERCENT,
                "sessions held, by CPU time of the decision module's interval",
                SESSIONS_PER_FRONT,
                CORE_SATURATED,
            ),
            derived_limit(deliveries, by_event, "deliveries a second", DELIVERIES_PER_S, LATE_EVENTS),
            *assumed_limits(
                assumed.PEAK_OVER_MEAN,
                derived_limit(
                    deliveries,
                    by_event,
                    "deliveries a second at the peak",
                    WORST_DELIVERIES_PER_S,
                    LATE_EVENTS,
                ),
            ),
            *assumed_limits(
                assumed.SESSION_LENGTH_S,
                measured_limit(
                    slopes,
                    "arrivals.processor",
                    FRONT_CPU_PERCENT,
                    "set-ups a second",
                    WORST_SETUPS_PER_S,
                    CORE_SATURATED,
                ),
            ),
        ),
    )


def report_share(slopes: Readings, held: float) -> float:
    """Returns the % of a core for the reports on `held` sessions; the cost of each grows with their number."""
    report_us = slopes["sessions.report"].value(held) or 0.0
    return report_us * held / REPORTS_EVERY_S / US_PER_S * PERCENT


def reports(slopes: Readings) -> Row:
    """Nodes' reports on sessions, and node loads shared among front ends."""
    cost = slopes["sessions.report"]
    carried = None
    if cost.fitted is not None:
        carried = bisect_largest_size(
            lambda held: report_share(slopes, held), CONTROL_CPU_PERCENT, SESSIONS_PER_FRONT
        )
    too_old = "known loads are too old to use; each front relies on its own traffic"
    return Row(
        "probing and load reports",
        "3% of a core and 8 kB/s, shared with all other control work; a load known within 20 s",
        "`platform/session_coordinator.py` `_apply_note`, `choice.py`, `decisions/fleet/load_sharing.py`",
        (
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
            load_at_both_sizes(
                "network, sharing of loads", slopes["loads.octets"], TODAY_NODES, TARGET_NODES
            ),
        ),
        (
            *assumed_limits(
                assumed.REPORTS_EVERY_S,
                derived_limit(
                    carried,
                    "`sessions.report`",
                    "sessions on which nodes report",
                    SESSIONS_PER_FRONT,
                    OVER_CPU_BUDGET,
                ),
            ),
            *assumed_limits(
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
            ),
        ),
    )


def fan_out(slopes: Readings) -> Row:
    """Delivery of one event to all listeners of the largest topic."""
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    worst_listeners = format_number(WORST_LISTENERS_PER_FRONT)
    cpu_time = (
        NOT_MEASURED
        if event_us is None
        else f"{format_number(event_us * WORST_LISTENERS_PER_FRONT / MS_PER_S)} ms of a core, derived"
    )
    return Row(
        "fan-out of the largest topic",
        "260 ms for 99 of 100",
        "`platform/session_coordinator.py` `_session_ended`: one message per session; there are no events of a title",
        (
            Load(
                "state",
                "not tested",
                f"{format_number(LISTENERS_PER_FRONT)} sessions per front, {worst_listeners} at worst",
            ),
            Load("messages, one event", "not tested", f"{worst_listeners} in and out at worst"),
            Load("CPU, one event", "not tested", cpu_time),
            Load("time, one event", "not tested", slopes["ends.time"].table_cell(WORST_LISTENERS_PER_FRONT)),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            measured_limit(
                slopes,
                "ends.time",
                DELIVERY_MS,
                "listeners at a front, all reached within 260 ms",
                LISTENERS_PER_FRONT,
                LATE_LISTENERS,
            ),
            *assumed_limits(
                assumed.LARGEST_TOPIC_SKEW,
                measured_limit(
                    slopes,
                    "ends.time",
                    DELIVERY_MS,
                    "listeners at the worst front, all reached within 260 ms",
                    WORST_LISTENERS_PER_FRONT,
                    LATE_LISTENERS,
                ),
            ),
        ),
    )


def takeover(slopes: Readings) -> Row:
    """Takeover of the sessions of failed front ends by the others."""
    pairs = demand.fronts_of_largest_zone() * TARGET_NODES
    takeover_start_s = bounds.CRASH_DETECTION_S.value + bounds.TAKEOVER_DELAY_S.value
    remaining_s = bounds.SESSION_LEASE_S.value - takeover_start_s
    sessions_lost = "sessions end when their lease expires"
    in_time = f"fronts and nodes, all asked in the {remaining_s:g} s that remain of the lease"
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
                f"{format_number(pairs * ADOPTERS_PER_NODE / TARGET_FRONTS)} requests per front",
            ),
            load_at_both_sizes("time until all nodes are asked", slopes["takeover.time"]),
            load_at_both_sizes("CPU until then", slopes["takeover.processor"]),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            *assumed_limits(
                assumed.PLAYOUT_NODES,
                constant_limit(
                    bounds.MAX_TAKEOVER_PAIRS, "pairs of failed front and node", pairs, sessions_lost
                ),
                measured_limit(slopes, "takeover.time", remaining_s, in_time, TARGET_FRONTS, sessions_lost),
                measured_limit(
                    slopes,
                    "takeover.processor",
                    CONTROL_CPU_PERCENT,
                    "fronts and nodes, by CPU time",
                    TARGET_FRONTS,
                    OVER_CPU_BUDGET,
                ),
            ),
        ),
    )


SESSION_ROLES = (data_path, reports, fan_out, takeover)
