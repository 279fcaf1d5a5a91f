"""Rows of the roles that rest on the list of playout nodes: the list itself with placement, and slow start."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import bisect_largest_size
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    TARGET_FRONTS,
    WORST_SESSIONS_PER_FRONT,
    MS_PER_S,
    TARGET_NODES,
    PERCENT,
    OVER_CPU_BUDGET,
    TODAY_NODES,
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
    """% of a core for the rounds over all nodes and for changes of the list in a release, with the orders of titles that
    each change makes stale: as many a second as there are set-ups, on the mean."""
    rounds, change, title = (
        slopes[name].value(nodes) for name in ("list.rounds", "list.change", "list.title")
    )
    if rounds is None or change is None or title is None:
        return None
    spent_ms = change * WORST_LIST_CHANGES_PER_S + title * demand.arrivals_per_front()
    return rounds + spent_ms / MS_PER_S * PERCENT


def share_cell(share: float | None) -> str:
    """The same for the page."""
    return NOT_MEASURED if share is None else f"{format_number(share)} % of a core, derived"


def lists(slopes: Readings) -> Row:
    """The list of nodes, and where titles are placed on it."""
    today, target = list_share(slopes, TODAY_NODES), list_share(slopes, TARGET_NODES)
    carried = None
    if target is not None:
        carried = bisect_largest_size(
            lambda size: list_share(slopes, size) or 0.0, CONTROL_CPU_PERCENT, SUFFICIENT_RATIO * TARGET_NODES
        )
    in_use = demand.titles_in_use(WORST_SESSIONS_PER_FRONT)
    whole = slopes["list.octets"].largest_size_within(bounds.MAX_LIST_OCTETS.value / KB)
    refused = "a whole list is refused, the one before stays"
    title_refused = "a session of a further title is refused while all others are in use"
    within_answer = f"`list.octets` within {bounds.MAX_LIST_OCTETS.source}"
    in_release = "`list.rounds`, `list.change`, `list.title` in a release"
    return Row(
        "lists of nodes, placement of titles",
        "3% of a core with all other control; a list is taken whole",
        "`platform/follower.py`, `platform/owner.py`, `choice.py` `_holders`, `decisions/routing/titles.py`",
        (
            Load(
                "state",
                f"{format_number(TODAY_NODES)} nodes, {format_number(TODAY_TITLES)} titles",
                f"{format_number(TARGET_NODES)} nodes, {format_number(in_use)} titles in use",
            ),
            Load(
                "messages",
                NOT_MEASURED,
                f"{format_number(WORST_LIST_CHANGES_PER_S)} changes a second in a release",
            ),
            Load("processor", share_cell(today), share_cell(target)),
            load_at_both_sizes(
                "processor, order of one title", slopes["list.title"], TODAY_NODES, TARGET_NODES
            ),
            load_at_both_sizes(
                "memory of titles, 300 nodes' order each", slopes["titles.memory"], TODAY_TITLES, in_use
            ),
            load_at_both_sizes(
                "memory of a front, nothing held", slopes["nodes.memory"], TODAY_NODES, TARGET_NODES
            ),
            load_at_both_sizes("network, a whole list", slopes["list.octets"], TODAY_NODES, TARGET_NODES),
            load_at_both_sizes("start to ready", slopes["nodes.ready"], TODAY_NODES, TARGET_NODES),
        ),
        (
            *assumed_limits(
                assumed.TITLE_SKEW,
                constant_limit(bounds.MAX_TITLES, "titles in use at one front", in_use, title_refused),
            ),
            *assumed_limits(
                assumed.PLAYOUT_NODES,
                derived_limit(whole, within_answer, "nodes on a whole list", TARGET_NODES, refused),
                constant_limit(bounds.MAX_LIST_NODES, "nodes on the list", TARGET_NODES, refused),
                derived_limit(carried, in_release, "nodes, by processor time", TARGET_NODES, OVER_CPU_BUDGET),
                measured_limit(
                    slopes,
                    "nodes.processor",
                    CONTROL_CPU_PERCENT,
                    "nodes, an idle process",
                    TARGET_NODES,
                    OVER_CPU_BUDGET,
                ),
            ),
        ),
    )


def slow_start(slopes: Readings) -> Row:
    """Set-ups on nodes that have just started."""
    reading = slopes["cold.sent"]
    unused = "cold nodes stand nearly unused until they are warm; no rule is broken"
    carried = reading.largest_size_reaching(assumed.COLD_BUDGET_USED.value, TARGET_FRONTS)
    return Row(
        "slow start of cold nodes",
        "half of the set-ups that one front end alone would send to a cold node (assumed)",
        "`choice.py` `_warm_enough`",
        (
            load_at_both_sizes("set-ups on cold nodes, over those of one front alone", reading),
            load_at_both_sizes("part of cold nodes' budget used", slopes["cold.used"]),
            Load("messages, processor, memory, network", "none of its own", "none of its own"),
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
