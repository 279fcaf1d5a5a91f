"""Rows of the roles that depend on the node list: the list itself with placement of titles, and slow start."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import bisect_largest_size
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    MS_PER_S,
    OVER_CPU_BUDGET,
    PERCENT,
    TARGET_FRONTS,
    TARGET_NODES,
    TODAY_NODES,
    WORST_SESSIONS_PER_FRONT,
    assumed_limits,
    constant_limit,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.rows import SUFFICIENT_RATIO, Limit, Load, Row
from benchmarks.capacity.targets import KB

WORST_LIST_CHANGES_PER_S = demand.worst_load("lists of nodes", "changes of the list")
TODAY_TITLES = bounds.MAX_TITLES.value


def list_share(slopes: Readings, nodes: float) -> float | None:
    """Returns the % of a core for the periodic passes over all nodes and for changes of the list during a release.

    A change of the list invalidates the order of holders of each title, so that every set-up (counted at the mean rate)
    computes it again.
    """
    rounds, change, title = (
        slopes[name].value(nodes) for name in ("list.rounds", "list.change", "list.title")
    )
    if rounds is None or change is None or title is None:
        return None
    cpu_ms_per_s = change * WORST_LIST_CHANGES_PER_S + title * demand.arrivals_per_front()
    return rounds + cpu_ms_per_s / MS_PER_S * PERCENT


def share_cell(share: float | None) -> str:
    """Formats a share of a core for the page."""
    return NOT_MEASURED if share is None else f"{format_number(share)} % of a core, derived"


def lists(slopes: Readings) -> Row:
    """The node list, and the placement of titles on its nodes."""
    in_use = demand.titles_in_use(WORST_SESSIONS_PER_FRONT)
    return Row(
        "lists of nodes, placement of titles",
        "3% of a core, shared with all other control work; a list is applied as a whole",
        "`platform/channel_follower.py`, `platform/session_coordinator.py`, `choice.py` `_holders`, "
        "`decisions/routing/title_cache.py`",
        _list_loads(slopes, in_use),
        (*_title_limits(in_use), *_list_limits(slopes)),
    )


def _list_loads(slopes: Readings, in_use: float) -> tuple[Load, ...]:
    """`in_use` is the number of different titles among the sessions of one front end."""
    today = list_share(slopes, TODAY_NODES)
    target = list_share(slopes, TARGET_NODES)
    return (
        Load(
            "state",
            f"{format_number(TODAY_NODES)} nodes, {format_number(TODAY_TITLES)} titles",
            f"{format_number(TARGET_NODES)} nodes, {format_number(in_use)} titles in use",
        ),
        Load(
            "messages",
            NOT_MEASURED,
            f"{format_number(WORST_LIST_CHANGES_PER_S)} changes a second during a release",
        ),
        Load("CPU", share_cell(today), share_cell(target)),
        load_at_both_sizes(
            "CPU, ordering the holders of one title", slopes["list.title"], TODAY_NODES, TARGET_NODES
        ),
        load_at_both_sizes(
            "memory of titles, each with an order of 300 nodes",
            slopes["titles.memory"],
            TODAY_TITLES,
            in_use,
        ),
        load_at_both_sizes(
            "memory of a front without sessions", slopes["nodes.memory"], TODAY_NODES, TARGET_NODES
        ),
        load_at_both_sizes("network, a whole list", slopes["list.octets"], TODAY_NODES, TARGET_NODES),
        load_at_both_sizes("time from start to ready", slopes["nodes.ready"], TODAY_NODES, TARGET_NODES),
    )


def _title_limits(in_use: float) -> tuple[Limit, ...]:
    title_rejected = "a session of a further title is rejected while all cached titles are in use"
    return assumed_limits(
        assumed.TITLE_SKEW,
        constant_limit(bounds.MAX_TITLES, "titles in use at one front", in_use, title_rejected),
    )


def _list_limits(slopes: Readings) -> tuple[Limit, ...]:
    carried = None
    if list_share(slopes, TARGET_NODES) is not None:
        carried = bisect_largest_size(
            lambda size: list_share(slopes, size) or 0.0, CONTROL_CPU_PERCENT, SUFFICIENT_RATIO * TARGET_NODES
        )
    nodes_per_answer = slopes["list.octets"].largest_size_within(bounds.MAX_LIST_OCTETS.value / KB)
    list_rejected = "a whole list is rejected and the previous one stays in use"
    within_answer = f"`list.octets` within {bounds.MAX_LIST_OCTETS.source}"
    in_release = "`list.rounds`, `list.change`, `list.title` during a release"
    return assumed_limits(
        assumed.PLAYOUT_NODES,
        derived_limit(nodes_per_answer, within_answer, "nodes on a whole list", TARGET_NODES, list_rejected),
        constant_limit(bounds.MAX_LIST_NODES, "nodes on the list", TARGET_NODES, list_rejected),
        derived_limit(carried, in_release, "nodes, by CPU time", TARGET_NODES, OVER_CPU_BUDGET),
        measured_limit(
            slopes,
            "nodes.processor",
            CONTROL_CPU_PERCENT,
            "nodes, by CPU time of an idle process",
            TARGET_NODES,
            OVER_CPU_BUDGET,
        ),
    )


def slow_start(slopes: Readings) -> Row:
    """Pacing of set-ups on nodes that have just started."""
    reading = slopes["cold.sent"]
    unused = "cold nodes are hardly used until they are warm; no rule is violated"
    carried = reading.largest_size_reaching(assumed.COLD_BUDGET_USED.value, TARGET_FRONTS)
    return Row(
        "slow start of cold nodes",
        "half of the set-ups that a single front end would send to a cold node (assumed)",
        "`choice.py` `_warm_enough`",
        (
            load_at_both_sizes("set-ups on cold nodes over those of a single front", reading),
            load_at_both_sizes("used share of cold nodes' budget", slopes["cold.used"]),
            Load("messages, CPU, memory, network", "none of its own", "none of its own"),
        ),
        (
            *assumed_limits(
                assumed.COLD_BUDGET_USED,
                Limit(
                    "fronts that share a cold node",
                    carried,
                    TARGET_FRONTS,
                    reading.basis,
                    reading.describe_source(carried),
                    unused,
                ),
            ),
        ),
    )


NODE_ROLES = (lists, slow_start)
