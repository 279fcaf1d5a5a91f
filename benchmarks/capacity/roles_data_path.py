"""Rows of the roles that pass viewers' sessions and events: the data path, and fan-out of the largest topic."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    FRONT_CPU_PERCENT,
    LISTENERS_PER_FRONT,
    MS_PER_S,
    PERCENT,
    SESSIONS_PER_FRONT,
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
from benchmarks.capacity.rows import Limit, Load, Row
from benchmarks.capacity.targets import TARGET

DELIVERIES_PER_S = demand.deliveries_per_front()
WORST_DELIVERIES_PER_S = demand.worst_load("front end", "deliveries")
WORST_SETUPS_PER_S = demand.worst_load("front end", "set-ups")
DELIVERY_MS = TARGET.delivery_within_s * MS_PER_S
CORE_SATURATED = "a core is saturated: answers are late"
LATE_EVENTS = "events queue in the inbox and take more than 260 ms"
LATE_LISTENERS = "the last listeners receive the event after more than 260 ms"
SETUPS_REJECTED = "further set-ups are rejected"


def data_path(slopes: Readings) -> Row:
    """The data path: connections, sessions and deliveries."""
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    return Row(
        "front end's data path",
        "one core (assumed); 260 ms for 99 of 100 deliveries",
        "`platform/viewers.py`, `platform/session_coordinator.py`, `platform/node_pool.py`, `choice.py`",
        _data_path_loads(slopes, event_us),
        (*_held_session_limits(slopes), *_delivery_limits(event_us), *_setup_limits(slopes)),
    )


def _data_path_loads(slopes: Readings, event_us: float | None) -> tuple[Load, ...]:
    """`event_us` is the CPU time of one event."""
    mean_deliveries = format_number(DELIVERIES_PER_S)
    worst_deliveries = format_number(WORST_DELIVERIES_PER_S)
    deliveries_at_target = f"{mean_deliveries} deliveries a second, {worst_deliveries} at worst"
    return (
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
    )


def _held_session_limits(slopes: Readings) -> tuple[Limit, ...]:
    return (
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
    )


def _delivery_limits(event_us: float | None) -> tuple[Limit, ...]:
    """`event_us` is the CPU time of one event."""
    deliveries = None if event_us is None else FRONT_CPU_PERCENT / PERCENT * US_PER_S / event_us
    by_event = "`ends.processor`, a core over the CPU time of one event"
    return (
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
    )


def _setup_limits(slopes: Readings) -> tuple[Limit, ...]:
    return assumed_limits(
        assumed.SESSION_LENGTH_S,
        measured_limit(
            slopes,
            "arrivals.processor",
            FRONT_CPU_PERCENT,
            "set-ups a second",
            WORST_SETUPS_PER_S,
            CORE_SATURATED,
        ),
    )


def fan_out(slopes: Readings) -> Row:
    """Delivery of one event to all listeners of the largest topic."""
    return Row(
        "fan-out of the largest topic",
        "260 ms for 99 of 100",
        "`platform/session_coordinator.py` `_session_ended`: one message per session; there are no events of a title",
        _fan_out_loads(slopes),
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


def _fan_out_loads(slopes: Readings) -> tuple[Load, ...]:
    event_us = slopes["ends.processor"].value(WORST_LISTENERS_PER_FRONT)
    worst_listeners = format_number(WORST_LISTENERS_PER_FRONT)
    cpu_time = (
        NOT_MEASURED
        if event_us is None
        else f"{format_number(event_us * WORST_LISTENERS_PER_FRONT / MS_PER_S)} ms of a core, derived"
    )
    return (
        Load(
            "state",
            "not tested",
            f"{format_number(LISTENERS_PER_FRONT)} sessions per front, {worst_listeners} at worst",
        ),
        Load("messages, one event", "not tested", f"{worst_listeners} in and out at worst"),
        Load("CPU, one event", "not tested", cpu_time),
        Load("time, one event", "not tested", slopes["ends.time"].table_cell(WORST_LISTENERS_PER_FRONT)),
        Load("memory, network", NOT_MEASURED, NOT_MEASURED),
    )
