"""Rows of the roles that a front end plays towards viewers and playout nodes."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import largest_root
from benchmarks.capacity.readings import NOT_MEASURED, Readings, number
from benchmarks.capacity.rows import Basis, Limit, Load, Row
from benchmarks.capacity.targets import BUDGET, KB, TARGET

TODAY_NODES = 200
"""Playout nodes of the largest fleet tried."""
TODAY_SESSIONS = bounds.MOST_SESSIONS.value
"""What a front holds at most today."""
PER_CENT = 100.0
CORE = PER_CENT * assumed.FRONT_CORES.value
"""Of a front end's own work, in % of a core."""
CONTROL_CORE = PER_CENT * BUDGET.core_share
MS_PER_S, US_PER_S = 1e3, 1e6
DELIVERY_MS = TARGET.delivery_within_s * MS_PER_S

HELD = demand.connections_per_front()
HELD_WORST = demand.worst("front end", "sessions held")
DELIVERIES, DELIVERIES_WORST = demand.deliveries_per_front(), demand.worst("front end", "deliveries")
SET_UPS_WORST = demand.worst("front end", "set-ups")
LISTENERS, LISTENERS_WORST = (
    demand.listeners_per_front(),
    demand.worst("fan-out", "listeners of the largest topic"),
)
LIST_CHANGES_WORST = demand.worst("lists of nodes", "changes of the list")
NODES = assumed.PLAYOUT_NODES.value


def core_share(microseconds: float | None, per_s: float) -> str:
    """Processor time of so many a second, for the page."""
    if microseconds is None:
        return NOT_MEASURED
    return f"{number(microseconds * per_s / US_PER_S * PER_CENT)} % of a core"


def within(slopes: Readings, name: str, budget: float, driver: str, needed: float, breaks: str) -> Limit:
    """The limit at which a slope meets a budget."""
    reading = slopes[name]
    carried = reading.within(budget)
    return Limit(driver, carried, needed, reading.basis, reading.source(carried), breaks)


def reckoned(value: float | None, source: str, driver: str, needed: float, breaks: str) -> Limit:
    """A limit that follows from measured figures by a sum."""
    basis = Basis.NOT_MEASURED if value is None else Basis.RECKONED
    return Limit(driver, value, needed, basis, source, breaks)


def data_path(slopes: Readings) -> Row:
    """Connections, sessions and deliveries."""
    event_us = slopes["ends.processor"].value(LISTENERS_WORST)
    deliveries = None if event_us is None else CORE / PER_CENT * US_PER_S / event_us
    late = "a core is full: answers come late"
    return Row(
        "front end's data path",
        "one core (assumed); 260 ms for 99 of 100 deliveries",
        "`platform/viewers.py`, `platform/owner.py`, `platform/pool.py`, `choice.py`",
        (
            Load("state", f"{number(TODAY_SESSIONS)} sessions (the bound)", f"{number(HELD)} sessions"),
            Load("messages", NOT_MEASURED, f"{number(DELIVERIES)} deliveries a second, {number(DELIVERIES_WORST)} at worst"),
            Load("processor, idle", slopes["sessions.processor"].cell(TODAY_SESSIONS), slopes["sessions.processor"].cell(HELD)),
            Load("processor, deliveries", NOT_MEASURED, core_share(event_us, DELIVERIES)),
            Load("memory", slopes["sessions.memory"].cell(TODAY_SESSIONS), slopes["sessions.memory"].cell(HELD)),
            Load("network", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            Limit("sessions held", bounds.MOST_SESSIONS.value, HELD_WORST, Basis.CONSTANT, bounds.MOST_SESSIONS.source,
                  "further set-ups are refused"),
            within(slopes, "sessions.processor", CORE, "sessions held, idle, by processor time", HELD_WORST, late),
            within(slopes, "held.interval", CORE, "sessions held, the module's interval alone", HELD_WORST, late),
            reckoned(deliveries, "`ends.processor`, a core over the time of one", "deliveries a second", DELIVERIES_WORST,
                     "events wait in the inbox, 260 ms are missed"),
            within(slopes, "arrivals.processor", CORE, "set-ups a second", SET_UPS_WORST, late),
        ),
    )  # fmt: skip


def list_share(slopes: Readings, nodes: float) -> float | None:
    """% of a core for the rounds over all nodes and for changes of the list in a release, with the orders of titles that
    each change makes stale: as many a second as there are set-ups, on the mean."""
    rounds, change, title = (
        slopes[name].value(nodes) for name in ("list.rounds", "list.change", "list.title")
    )
    if rounds is None or change is None or title is None:
        return None
    spent_ms = change * LIST_CHANGES_WORST + title * demand.arrivals_per_front()
    return rounds + spent_ms / MS_PER_S * PER_CENT


def lists(slopes: Readings) -> Row:
    """The list of nodes, and where titles are placed on it."""
    today, target = list_share(slopes, TODAY_NODES), list_share(slopes, NODES)
    carried = (
        None
        if target is None
        else largest_root(lambda size: list_share(slopes, size) or 0.0, CONTROL_CORE, NODES)
    )
    in_use = demand.titles_in_use(HELD_WORST)
    bytes_limit = slopes["list.octets"].within(bounds.LIST_OCTETS.value / KB)
    return Row(
        "lists of nodes, placement of titles",
        "3% of a core with all other control; a list is taken whole",
        "`platform/follower.py`, `platform/owner.py`, `choice.py` `_holders`, `decisions/routing/titles.py`",
        (
            Load("state", f"{TODAY_NODES} nodes, 1,024 titles", f"{number(NODES)} nodes, {number(in_use)} titles in use"),
            Load("messages", NOT_MEASURED, f"{number(LIST_CHANGES_WORST)} changes a second in a release"),
            Load("processor", *(NOT_MEASURED if one is None else f"{number(one)} % of a core" for one in (today, target))),
            Load("processor, order of one title", slopes["list.title"].cell(TODAY_NODES), slopes["list.title"].cell(NODES)),
            Load("memory, titles with 300 nodes' order", slopes["titles.memory"].cell(1_024), slopes["titles.memory"].cell(in_use)),
            Load("network, a whole list", slopes["list.octets"].cell(TODAY_NODES), slopes["list.octets"].cell(NODES)),
        ),
        (
            Limit("titles in use at one front", bounds.MOST_TITLES.value, in_use, Basis.CONSTANT, bounds.MOST_TITLES.source,
                  "a session of a further title is refused while all others are in use"),
            reckoned(bytes_limit, "`list.octets` within `platformwire/polling.py` MOST_ANSWER", "nodes on a whole list", NODES,
                     "a whole list is refused, the one before stays"),
            Limit("nodes on the list", bounds.LIST_NODES.value, NODES, Basis.CONSTANT, bounds.LIST_NODES.source,
                  "a whole list is refused, the one before stays"),
            reckoned(carried, "`list.rounds`, `list.change`, `list.title` in a release", "nodes, by processor time", NODES,
                     "3% of a core"),
            within(slopes, "nodes.processor", CONTROL_CORE, "nodes, a whole idle process by processor time", NODES, "3% of a core"),
        ),
    )  # fmt: skip


def reports(slopes: Readings) -> Row:
    """Nodes' reports on sessions, and loads told among front ends."""
    report_us = slopes["sessions.report"].value(HELD)
    a_second = HELD_WORST / assumed.REPORTS_EVERY_S.value
    carried = None
    if report_us is not None:
        carried = BUDGET.core_share * US_PER_S / report_us * assumed.REPORTS_EVERY_S.value
    age = within(slopes, "loads.age", bounds.LOADS_AGE_S.value, "fronts and nodes, loads told in 20 s", NODES,
                 "what is known of a node is too old to use; each front goes by its own traffic")  # fmt: skip
    return Row(
        "probing and load reports",
        "3% of a core and 8 kB/s with all other control; a load known within 20 s",
        "`platform/owner.py` `_noted`, `choice.py`, `decisions/fleet/figures.py`",
        (
            Load("state", f"{TODAY_NODES} loads", f"{number(NODES)} loads"),
            Load("messages", f"{number(TODAY_SESSIONS / assumed.REPORTS_EVERY_S.value)} reports a second", f"{number(a_second)} reports a second"),
            Load("processor, reports", core_share(report_us, TODAY_SESSIONS / assumed.REPORTS_EVERY_S.value), core_share(report_us, a_second)),
            Load("processor, loads told", slopes["loads.processor"].cell(TODAY_NODES), slopes["loads.processor"].cell(NODES)),
            Load("network, loads told", slopes["loads.octets"].cell(TODAY_NODES), slopes["loads.octets"].cell(NODES)),
        ),
        (
            reckoned(carried, "`sessions.report`, 3% of a core over the time of one", "sessions on which nodes report",
                     HELD_WORST, "3% of a core"),
            age,
            within(slopes, "loads.octets", BUDGET.octets_per_s / KB, "fronts and nodes, octets of loads told", NODES, "8 kB/s"),
        ),
    )  # fmt: skip


def slow_start(slopes: Readings) -> Row:
    """Set-ups on nodes that have just started."""
    reading = slopes["cold.used"]
    carried = reading.over(assumed.COLD_BUDGET_USED.value, TARGET.fronts)
    return Row(
        "slow start of cold nodes",
        "half of a cold node's budget used (assumed)",
        "`choice.py` `_warm_enough`",
        (
            Load("budget used", reading.cell(200), reading.cell(TARGET.fronts)),
            Load("messages, processor, network", "none of its own", "none of its own"),
        ),
        (
            Limit("fronts that share a cold node", carried, TARGET.fronts, reading.basis, reading.source(carried),
                  "cold nodes stand nearly unused until they are warm; no rule is broken"),
        ),
    )  # fmt: skip


def fan_out(slopes: Readings) -> Row:
    """One event for all listeners of the largest topic."""
    time, event_us = slopes["ends.time"], slopes["ends.processor"].value(LISTENERS_WORST)
    return Row(
        "fan-out of the largest topic",
        "260 ms for 99 of 100",
        "`platform/owner.py` `_over` (one message a session; no event of a topic exists)",
        (
            Load("state", "not tried", f"{number(LISTENERS)} sessions a front, {number(LISTENERS_WORST)} at worst"),
            Load("messages, one event", "not tried", f"{number(LISTENERS_WORST)} in and out at worst"),
            Load("processor, one event", NOT_MEASURED, core_share(event_us, LISTENERS_WORST).replace("% of a core", "% of a core's second")),
            Load("time, one event", time.cell(200), time.cell(LISTENERS_WORST)),
        ),
        (
            within(slopes, "ends.time", DELIVERY_MS, "listeners at one front, the last within 260 ms", LISTENERS_WORST,
                   "the last listeners hear after 260 ms"),
        ),
    )  # fmt: skip


def takeover(slopes: Readings) -> Row:
    """Sessions of lost front ends, taken over by the rest."""
    fronts = demand.fronts_of_largest_zone()
    pairs = fronts * NODES
    left_s = bounds.SESSIONS_LEASE_S.value - bounds.NOTICED_WITHIN_S.value - bounds.ADOPTED_AFTER_S.value
    lost = "sessions are left to their lease, and end"
    return Row(
        "takeover of sessions",
        "3% of a core with all other control; within a lease of 15 s",
        "`decisions/fleet/adopting.py`, `front/adopting.py`",
        (
            Load("state, pairs of lost front and node", slopes["takeover.pairs"].cell(TODAY_NODES), f"{number(pairs)} pairs"),
            Load("messages", NOT_MEASURED, f"{number(pairs * 3 / TARGET.fronts)} questions a front"),
            Load("time until all is asked", slopes["takeover.time"].cell(TODAY_NODES), slopes["takeover.time"].cell(TARGET.fronts)),
            Load("processor", slopes["takeover.processor"].cell(TODAY_NODES), slopes["takeover.processor"].cell(TARGET.fronts)),
        ),
        (
            Limit("pairs of lost front and node", bounds.TAKEOVER_PAIRS.value, pairs, Basis.CONSTANT,
                  bounds.TAKEOVER_PAIRS.source, lost),
            within(slopes, "takeover.time", left_s, f"fronts and nodes, all asked in the {left_s:g} s that the lease leaves",
                   TARGET.fronts, lost),
            within(slopes, "takeover.processor", CONTROL_CORE, "fronts and nodes, by processor time", TARGET.fronts, "3% of a core"),
        ),
    )  # fmt: skip


FRONT_ROLES = (data_path, lists, reports, slow_start, fan_out, takeover)
