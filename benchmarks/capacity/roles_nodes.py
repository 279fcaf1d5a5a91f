"""Rows of the roles that rest on the list of playout nodes: the list itself with placement, and slow start."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.fit import largest_root
from benchmarks.capacity.readings import NOT_MEASURED, Readings, number
from benchmarks.capacity.role_parts import (
    CONTROL_CORE,
    FRONTS,
    HELD_WORST,
    MS_PER_S,
    NODES,
    PER_CENT,
    THREE_PER_CENT,
    TODAY_NODES,
    assuming,
    constant,
    derived,
    load_at_both_sizes,
    within,
)
from benchmarks.capacity.rows import ENOUGH, Limit, Load, Row
from benchmarks.capacity.targets import KB

LIST_CHANGES_WORST = demand.worst("lists of nodes", "changes of the list")
TODAY_TITLES = bounds.MOST_TITLES.value


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


def share_cell(share: float | None) -> str:
    """The same for the page."""
    return NOT_MEASURED if share is None else f"{number(share)} % of a core, derived"


def lists(slopes: Readings) -> Row:
    """The list of nodes, and where titles are placed on it."""
    today, target = list_share(slopes, TODAY_NODES), list_share(slopes, NODES)
    carried = None
    if target is not None:
        carried = largest_root(lambda size: list_share(slopes, size) or 0.0, CONTROL_CORE, ENOUGH * NODES)
    in_use = demand.titles_in_use(HELD_WORST)
    whole = slopes["list.octets"].within(bounds.LIST_OCTETS.value / KB)
    refused = "a whole list is refused, the one before stays"
    title_refused = "a session of a further title is refused while all others are in use"
    within_answer = f"`list.octets` within {bounds.LIST_OCTETS.source}"
    in_release = "`list.rounds`, `list.change`, `list.title` in a release"
    return Row(
        "lists of nodes, placement of titles",
        "3% of a core with all other control; a list is taken whole",
        "`platform/follower.py`, `platform/owner.py`, `choice.py` `_holders`, `decisions/routing/titles.py`",
        (
            Load(
                "state",
                f"{number(TODAY_NODES)} nodes, {number(TODAY_TITLES)} titles",
                f"{number(NODES)} nodes, {number(in_use)} titles in use",
            ),
            Load("messages", NOT_MEASURED, f"{number(LIST_CHANGES_WORST)} changes a second in a release"),
            Load("processor", share_cell(today), share_cell(target)),
            load_at_both_sizes("processor, order of one title", slopes["list.title"], TODAY_NODES, NODES),
            load_at_both_sizes(
                "memory of titles, 300 nodes' order each", slopes["titles.memory"], TODAY_TITLES, in_use
            ),
            load_at_both_sizes("memory of a front, nothing held", slopes["nodes.memory"], TODAY_NODES, NODES),
            load_at_both_sizes("network, a whole list", slopes["list.octets"], TODAY_NODES, NODES),
            load_at_both_sizes("start to ready", slopes["nodes.ready"], TODAY_NODES, NODES),
        ),
        (
            *assuming(
                assumed.TITLE_SKEW,
                constant(bounds.MOST_TITLES, "titles in use at one front", in_use, title_refused),
            ),
            *assuming(
                assumed.PLAYOUT_NODES,
                derived(whole, within_answer, "nodes on a whole list", NODES, refused),
                constant(bounds.LIST_NODES, "nodes on the list", NODES, refused),
                derived(carried, in_release, "nodes, by processor time", NODES, THREE_PER_CENT),
                within(
                    slopes, "nodes.processor", CONTROL_CORE, "nodes, an idle process", NODES, THREE_PER_CENT
                ),
            ),
        ),
    )


def slow_start(slopes: Readings) -> Row:
    """Set-ups on nodes that have just started."""
    reading = slopes["cold.sent"]
    unused = "cold nodes stand nearly unused until they are warm; no rule is broken"
    carried = reading.over(assumed.COLD_BUDGET_USED.value, FRONTS)
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
            *assuming(
                assumed.COLD_BUDGET_USED,
                Limit(
                    "fronts that share a cold node",
                    carried,
                    FRONTS,
                    reading.basis,
                    reading.source(carried),
                    unused,
                ),
            ),
        ),
    )


NODE_ROLES = (lists, slow_start)
