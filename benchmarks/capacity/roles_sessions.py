"""Rows of the roles that rest on a front end's sessions: data path, reports, fan-out, takeover."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import bisect_largest_size
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    OVER_TRAFFIC_BUDGET,
    TARGET_FRONTS,
    SESSIONS_PER_FRONT,
    WORST_SESSIONS_PER_FRONT,
    LISTENERS_PER_FRONT,
    WORST_LISTENERS_PER_FRONT,
    MS_PER_S,
    TARGET_NODES,
    FRONT_CPU_PERCENT,
    PERCENT,
    OVER_CPU_BUDGET,
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
from benchmarks.capacity.rows import Load, Row
from benchmarks.capacity.targets import TARGET

DELIVERIES_PER_S = demand.deliveries_per_front()
WORST_DELIVERIES_PER_S = demand.worst_load("front end", "deliveries")
WORST_SETUPS_PER_S = demand.worst_load("front end", "set-ups")
DELIVERY_MS = TARGET.delivery_within_s * MS_PER_S
REPORTS_EVERY_S = assumed.REPORTS_EVERY_S.value
LATE = "a core is full: answers come late"
LATE_EVENTS = "events wait in the inbox, 260 ms are missed"
LATE_LISTENERS = "the last listeners hear after 260 ms"
REFUSED = "further set-ups are refused"
ADOPTERS_PER_NODE = 3
"""Front ends that ask a node for a lost front's sessions."""


def data_path(slopes: Readings) -> Row:
    """Connections, sessions and deliveries."""
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    deliveries = None if event_us is None else FRONT_CPU_PERCENT / PERCENT * US_PER_S / event_us
    by_event = "`ends.processor`, a core over the time of one"
    at_target = f"{format_number(DELIVERIES_PER_S)} deliveries a second, {format_number(WORST_DELIVERIES_PER_S)} at worst"
    return Row(
        "front end's data path",
        "one core (assumed); 260 ms for 99 of 100 deliveries",
        "`platform/viewers.py`, `platform/owner.py`, `platform/pool.py`, `choice.py`",
        (
            Load(
                "state",
                f"{format_number(TODAY_SESSIONS)} sessions (the bound)",
                f"{format_number(SESSIONS_PER_FRONT)} sessions",
            ),
            Load("messages", NOT_MEASURED, at_target),
            load_at_both_sizes(
                "processor, idle", slopes["sessions.processor"], TODAY_SESSIONS, SESSIONS_PER_FRONT
            ),
            load_at_both_sizes(
                "processor, the module's interval",
                slopes["held.interval"],
                TODAY_SESSIONS,
                SESSIONS_PER_FRONT,
            ),
            Load("processor, deliveries", NOT_MEASURED, core_share(event_us, DELIVERIES_PER_S)),
            load_at_both_sizes("memory", slopes["sessions.memory"], TODAY_SESSIONS, SESSIONS_PER_FRONT),
            load_at_both_sizes(
                "descriptors", slopes["connections.descriptors"], TODAY_SESSIONS, SESSIONS_PER_FRONT
            ),
            Load("network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            constant_limit(bounds.MAX_SESSIONS, "sessions held", SESSIONS_PER_FRONT, REFUSED),
            *assumed_limits(
                assumed.LARGEST_REGION_OVER_MEAN,
                constant_limit(
                    bounds.MAX_SESSIONS, "sessions held, a region lost", WORST_SESSIONS_PER_FRONT, REFUSED
                ),
            ),
            measured_limit(
                slopes,
                "sessions.processor",
                FRONT_CPU_PERCENT,
                "sessions held, idle processor time",
                SESSIONS_PER_FRONT,
                LATE,
            ),
            measured_limit(
                slopes,
                "held.interval",
                FRONT_CPU_PERCENT,
                "sessions held, the module's interval",
                SESSIONS_PER_FRONT,
                LATE,
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
                    LATE,
                ),
            ),
        ),
    )


def report_share(slopes: Readings, held: float) -> float:
    """% of a core for the reports on so many sessions; what one costs grows with them."""
    each_us = slopes["sessions.report"].value(held) or 0.0
    return each_us * held / REPORTS_EVERY_S / US_PER_S * PERCENT


def reports(slopes: Readings) -> Row:
    """Nodes' reports on sessions, and loads told among front ends."""
    cost = slopes["sessions.report"]
    carried = None
    if cost.fitted is not None:
        carried = bisect_largest_size(
            lambda held: report_share(slopes, held), CONTROL_CPU_PERCENT, SESSIONS_PER_FRONT
        )
    too_old = "what is known of a node is too old to use; each front goes by its own traffic"
    return Row(
        "probing and load reports",
        "3% of a core and 8 kB/s with all other control; a load known within 20 s",
        "`platform/owner.py` `_noted`, `choice.py`, `decisions/fleet/figures.py`",
        (
            Load("state", f"{format_number(TODAY_NODES)} loads", f"{format_number(TARGET_NODES)} loads"),
            Load(
                "messages",
                f"{format_number(TODAY_SESSIONS / REPORTS_EVERY_S)} reports a second",
                f"{format_number(SESSIONS_PER_FRONT / REPORTS_EVERY_S)} reports a second",
            ),
            Load(
                "processor, reports",
                core_share(cost.value(TODAY_SESSIONS), TODAY_SESSIONS / REPORTS_EVERY_S),
                core_share(cost.value(SESSIONS_PER_FRONT), SESSIONS_PER_FRONT / REPORTS_EVERY_S),
            ),
            load_at_both_sizes("processor, loads told", slopes["loads.processor"], TODAY_NODES, TARGET_NODES),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network, loads told", slopes["loads.octets"], TODAY_NODES, TARGET_NODES),
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
                    "nodes, loads told in 20 s",
                    TARGET_NODES,
                    too_old,
                ),
                measured_limit(
                    slopes,
                    "loads.octets",
                    CONTROL_KB_PER_S,
                    "nodes, octets of loads told",
                    TARGET_NODES,
                    OVER_TRAFFIC_BUDGET,
                ),
                measured_limit(
                    slopes,
                    "loads.processor",
                    CONTROL_CPU_PERCENT,
                    "nodes, by processor time",
                    TARGET_NODES,
                    OVER_CPU_BUDGET,
                ),
            ),
        ),
    )


def fan_out(slopes: Readings) -> Row:
    """One event for all listeners of the largest topic."""
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    busy = (
        "not measured"
        if event_us is None
        else f"{format_number(event_us * WORST_LISTENERS_PER_FRONT / MS_PER_S)} ms of a core, derived"
    )
    return Row(
        "fan-out of the largest topic",
        "260 ms for 99 of 100",
        "`platform/owner.py` `_over`: one message a session; an event of a title does not exist",
        (
            Load(
                "state",
                "not tried",
                f"{format_number(LISTENERS_PER_FRONT)} sessions a front, {format_number(WORST_LISTENERS_PER_FRONT)} at worst",
            ),
            Load(
                "messages, one event",
                "not tried",
                f"{format_number(WORST_LISTENERS_PER_FRONT)} in and out at worst",
            ),
            Load("processor, one event", "not tried", busy),
            Load("time, one event", "not tried", slopes["ends.time"].table_cell(WORST_LISTENERS_PER_FRONT)),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            measured_limit(
                slopes,
                "ends.time",
                DELIVERY_MS,
                "listeners at a front, all within 260 ms",
                LISTENERS_PER_FRONT,
                LATE_LISTENERS,
            ),
            *assumed_limits(
                assumed.LARGEST_TOPIC_SKEW,
                measured_limit(
                    slopes,
                    "ends.time",
                    DELIVERY_MS,
                    "the same at the worst front",
                    WORST_LISTENERS_PER_FRONT,
                    LATE_LISTENERS,
                ),
            ),
        ),
    )


def takeover(slopes: Readings) -> Row:
    """Sessions of lost front ends, taken over by the rest."""
    pairs = demand.fronts_of_largest_zone() * TARGET_NODES
    noticed = bounds.CRASH_DETECTION_S.value + bounds.TAKEOVER_DELAY_S.value
    left_s = bounds.SESSION_LEASE_S.value - noticed
    lost = "sessions are left to their lease, and end"
    in_time = f"fronts and nodes, all asked in the {left_s:g} s that the lease leaves"
    time, processor = slopes["takeover.time"], slopes["takeover.processor"]
    return Row(
        "takeover of sessions",
        "3% of a core with all other control; within a lease of 15 s",
        "`decisions/fleet/adopting.py`, `front/adopting.py`",
        (
            Load(
                "state",
                slopes["takeover.pairs"].table_cell(TODAY_NODES),
                f"{format_number(pairs)} pairs of lost front and node",
            ),
            Load(
                "messages",
                NOT_MEASURED,
                f"{format_number(pairs * ADOPTERS_PER_NODE / TARGET_FRONTS)} questions a front",
            ),
            load_at_both_sizes("time until all is asked", time),
            load_at_both_sizes("processor meanwhile", processor),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            *assumed_limits(
                assumed.PLAYOUT_NODES,
                constant_limit(bounds.MAX_TAKEOVER_PAIRS, "pairs of lost front and node", pairs, lost),
                measured_limit(slopes, "takeover.time", left_s, in_time, TARGET_FRONTS, lost),
                measured_limit(
                    slopes,
                    "takeover.processor",
                    CONTROL_CPU_PERCENT,
                    "by processor time",
                    TARGET_FRONTS,
                    OVER_CPU_BUDGET,
                ),
            ),
        ),
    )


SESSION_ROLES = (data_path, reports, fan_out, takeover)
