"""Rows of the roles that rest on a front end's sessions: data path, reports, fan-out, takeover."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import largest_root
from benchmarks.capacity.readings import NOT_MEASURED, Readings, number
from benchmarks.capacity.role_parts import (
    CONTROL_CORE,
    CONTROL_KB,
    EIGHT_KB,
    FRONTS,
    HELD,
    HELD_WORST,
    LISTENERS,
    LISTENERS_WORST,
    MS_PER_S,
    NODES,
    OWN_CORE,
    PER_CENT,
    THREE_PER_CENT,
    TODAY_NODES,
    TODAY_SESSIONS,
    US_PER_S,
    assuming,
    constant,
    core_share,
    derived,
    load_at_both_sizes,
    within,
)
from benchmarks.capacity.rows import Load, Row
from benchmarks.capacity.targets import TARGET

DELIVERIES = demand.deliveries_per_front()
DELIVERIES_WORST = demand.worst("front end", "deliveries")
SET_UPS_WORST = demand.worst("front end", "set-ups")
DELIVERY_MS = TARGET.delivery_within_s * MS_PER_S
REPORTS_EVERY_S = assumed.REPORTS_EVERY_S.value
LATE = "a core is full: answers come late"
LATE_EVENTS = "events wait in the inbox, 260 ms are missed"
LATE_LISTENERS = "the last listeners hear after 260 ms"
REFUSED = "further set-ups are refused"
IN_LINE = 3
"""Front ends that ask a node for a lost front's sessions."""


def data_path(slopes: Readings) -> Row:
    """Connections, sessions and deliveries."""
    event_us = slopes["ends.processor"].value(LISTENERS_WORST)
    deliveries = None if event_us is None else OWN_CORE / PER_CENT * US_PER_S / event_us
    by_event = "`ends.processor`, a core over the time of one"
    at_target = f"{number(DELIVERIES)} deliveries a second, {number(DELIVERIES_WORST)} at worst"
    return Row(
        "front end's data path",
        "one core (assumed); 260 ms for 99 of 100 deliveries",
        "`platform/viewers.py`, `platform/owner.py`, `platform/pool.py`, `choice.py`",
        (
            Load("state", f"{number(TODAY_SESSIONS)} sessions (the bound)", f"{number(HELD)} sessions"),
            Load("messages", NOT_MEASURED, at_target),
            load_at_both_sizes("processor, idle", slopes["sessions.processor"], TODAY_SESSIONS, HELD),
            load_at_both_sizes(
                "processor, the module's interval", slopes["held.interval"], TODAY_SESSIONS, HELD
            ),
            Load("processor, deliveries", NOT_MEASURED, core_share(event_us, DELIVERIES)),
            load_at_both_sizes("memory", slopes["sessions.memory"], TODAY_SESSIONS, HELD),
            load_at_both_sizes("descriptors", slopes["connections.descriptors"], TODAY_SESSIONS, HELD),
            Load("network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            constant(bounds.MOST_SESSIONS, "sessions held", HELD, REFUSED),
            *assuming(
                assumed.LARGEST_REGION_OVER_MEAN,
                constant(bounds.MOST_SESSIONS, "sessions held, a region lost", HELD_WORST, REFUSED),
            ),
            within(slopes, "sessions.processor", OWN_CORE, "sessions held, idle processor time", HELD, LATE),
            within(slopes, "held.interval", OWN_CORE, "sessions held, the module's interval", HELD, LATE),
            derived(deliveries, by_event, "deliveries a second", DELIVERIES, LATE_EVENTS),
            *assuming(
                assumed.PEAK_OVER_MEAN,
                derived(
                    deliveries, by_event, "deliveries a second at the peak", DELIVERIES_WORST, LATE_EVENTS
                ),
            ),
            *assuming(
                assumed.SESSION_LENGTH_S,
                within(slopes, "arrivals.processor", OWN_CORE, "set-ups a second", SET_UPS_WORST, LATE),
            ),
        ),
    )


def report_share(slopes: Readings, held: float) -> float:
    """% of a core for the reports on so many sessions; what one costs grows with them."""
    each_us = slopes["sessions.report"].value(held) or 0.0
    return each_us * held / REPORTS_EVERY_S / US_PER_S * PER_CENT


def reports(slopes: Readings) -> Row:
    """Nodes' reports on sessions, and loads told among front ends."""
    cost = slopes["sessions.report"]
    carried = None
    if cost.fitted is not None:
        carried = largest_root(lambda held: report_share(slopes, held), CONTROL_CORE, HELD)
    too_old = "what is known of a node is too old to use; each front goes by its own traffic"
    return Row(
        "probing and load reports",
        "3% of a core and 8 kB/s with all other control; a load known within 20 s",
        "`platform/owner.py` `_noted`, `choice.py`, `decisions/fleet/figures.py`",
        (
            Load("state", f"{number(TODAY_NODES)} loads", f"{number(NODES)} loads"),
            Load(
                "messages",
                f"{number(TODAY_SESSIONS / REPORTS_EVERY_S)} reports a second",
                f"{number(HELD / REPORTS_EVERY_S)} reports a second",
            ),
            Load(
                "processor, reports",
                core_share(cost.value(TODAY_SESSIONS), TODAY_SESSIONS / REPORTS_EVERY_S),
                core_share(cost.value(HELD), HELD / REPORTS_EVERY_S),
            ),
            load_at_both_sizes("processor, loads told", slopes["loads.processor"], TODAY_NODES, NODES),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network, loads told", slopes["loads.octets"], TODAY_NODES, NODES),
        ),
        (
            *assuming(
                assumed.REPORTS_EVERY_S,
                derived(carried, "`sessions.report`", "sessions on which nodes report", HELD, THREE_PER_CENT),
            ),
            *assuming(
                assumed.PLAYOUT_NODES,
                within(
                    slopes, "loads.age", bounds.LOADS_AGE_S.value, "nodes, loads told in 20 s", NODES, too_old
                ),
                within(slopes, "loads.octets", CONTROL_KB, "nodes, octets of loads told", NODES, EIGHT_KB),
                within(
                    slopes, "loads.processor", CONTROL_CORE, "nodes, by processor time", NODES, THREE_PER_CENT
                ),
            ),
        ),
    )


def fan_out(slopes: Readings) -> Row:
    """One event for all listeners of the largest topic."""
    event_us = slopes["ends.processor"].value(LISTENERS_WORST)
    busy = (
        "not measured"
        if event_us is None
        else f"{number(event_us * LISTENERS_WORST / MS_PER_S)} ms of a core, derived"
    )
    return Row(
        "fan-out of the largest topic",
        "260 ms for 99 of 100",
        "`platform/owner.py` `_over`: one message a session; an event of a title does not exist",
        (
            Load(
                "state",
                "not tried",
                f"{number(LISTENERS)} sessions a front, {number(LISTENERS_WORST)} at worst",
            ),
            Load("messages, one event", "not tried", f"{number(LISTENERS_WORST)} in and out at worst"),
            Load("processor, one event", "not tried", busy),
            Load("time, one event", "not tried", slopes["ends.time"].cell(LISTENERS_WORST)),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            within(
                slopes,
                "ends.time",
                DELIVERY_MS,
                "listeners at a front, all within 260 ms",
                LISTENERS,
                LATE_LISTENERS,
            ),
            *assuming(
                assumed.LARGEST_TOPIC_SKEW,
                within(
                    slopes,
                    "ends.time",
                    DELIVERY_MS,
                    "the same at the worst front",
                    LISTENERS_WORST,
                    LATE_LISTENERS,
                ),
            ),
        ),
    )


def takeover(slopes: Readings) -> Row:
    """Sessions of lost front ends, taken over by the rest."""
    pairs = demand.fronts_of_largest_zone() * NODES
    noticed = bounds.NOTICED_WITHIN_S.value + bounds.ADOPTED_AFTER_S.value
    left_s = bounds.SESSIONS_LEASE_S.value - noticed
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
                slopes["takeover.pairs"].cell(TODAY_NODES),
                f"{number(pairs)} pairs of lost front and node",
            ),
            Load("messages", NOT_MEASURED, f"{number(pairs * IN_LINE / FRONTS)} questions a front"),
            load_at_both_sizes("time until all is asked", time),
            load_at_both_sizes("processor meanwhile", processor),
            Load("memory, network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            *assuming(
                assumed.PLAYOUT_NODES,
                constant(bounds.TAKEOVER_PAIRS, "pairs of lost front and node", pairs, lost),
                within(slopes, "takeover.time", left_s, in_time, FRONTS, lost),
                within(
                    slopes, "takeover.processor", CONTROL_CORE, "by processor time", FRONTS, THREE_PER_CENT
                ),
            ),
        ),
    )


SESSION_ROLES = (data_path, reports, fan_out, takeover)
