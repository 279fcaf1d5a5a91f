"""Rows of the roles that front ends have among themselves and of wide-area links, and the order of all control roles.

Configuration distribution and control machines are in `roles_configuration.py`.
"""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    CONTROL_MEMORY_MB,
    OVER_CPU_BUDGET,
    OVER_TRAFFIC_BUDGET,
    TARGET_FRONTS,
    assumed_limits,
    constant_limit,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.roles_configuration import (
    CHANGES_PER_S,
    TARGET_TITLES,
    TODAY_TITLES,
    configuration,
    control_machine,
)
from benchmarks.capacity.rows import Limit, Load, Row
from benchmarks.capacity.targets import DAY_S, KB, TARGET, TODAY_FRONTS

LARGEST_REGION_FRONTS = demand.fronts_of_largest_region()
OTHER_REGIONS_SHARE = 1 - 1 / TARGET.regions
"""Share of the traffic to random front ends that goes to other regions."""
TARGET_LEASES = assumed.LEASES.value
FLAT_FILES = "`decisions/membership/membership.py`, `peers/peer_endpoint.py` (as of commit 414ace3)"
ZONED_FILES = "`decisions/membership/hierarchy.py`"


def membership_limits(slopes: Readings, prefix: str) -> tuple[Limit, ...]:
    """Returns the limits of one kind of membership, one per budget."""
    budgets = (
        (
            "start",
            CONTROL_KB_PER_S,
            "fronts, by octets sent at the start of the whole fleet",
            OVER_TRAFFIC_BUDGET,
        ),
        (
            "sent",
            CONTROL_KB_PER_S,
            "fronts, by octets sent at the start and when a region is partitioned",
            OVER_TRAFFIC_BUDGET,
        ),
        (
            "received",
            CONTROL_KB_PER_S,
            "fronts, by octets received at the start and when a region is partitioned",
            OVER_TRAFFIC_BUDGET,
        ),
        ("processor", CONTROL_CPU_PERCENT, "fronts, by CPU time", OVER_CPU_BUDGET),
        ("memory", CONTROL_MEMORY_MB, "fronts, by memory", "a front exceeds 256 MB"),
    )
    return tuple(
        measured_limit(slopes, f"{prefix}.{name}", budget, driver, TARGET_FRONTS, consequence)
        for name, budget, driver, consequence in budgets
    )


def membership(slopes: Readings) -> Row:
    """Membership of the fleet."""
    is_zoned_measured = slopes["zoned.sent"].slope is not None
    return Row(
        "membership",
        "8 kB/s in any ten seconds, 3% of a core and 256 MB, shared with all other control work",
        FLAT_FILES + (f"; new: {ZONED_FILES}" if is_zoned_measured else ""),
        (
            Load("state", f"{TODAY_FRONTS} members", f"{format_number(TARGET_FRONTS)} members"),
            Load("messages", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("CPU, worst front", slopes["membership.processor"]),
            load_at_both_sizes("memory", slopes["membership.memory"]),
            load_at_both_sizes("network, no changes", slopes["membership.quiet"]),
            load_at_both_sizes("network, start of the whole fleet, worst front", slopes["membership.start"]),
            load_at_both_sizes("network, a region partitioned, worst front", slopes["membership.sent"]),
        ),
        (
            *membership_limits(slopes, "membership"),
            constant_limit(bounds.MAX_MEMBERS, "members", TARGET_FRONTS, "new members are not added"),
        ),
        membership_limits(slopes, "zoned") if is_zoned_measured else (),
    )


def leases(slopes: Readings) -> Row:
    """Leases and their quorum."""
    kb_per_lease = slopes["leases.octets"].value(TARGET_FRONTS)
    leases_by_octets = None if kb_per_lease is None else CONTROL_KB_PER_S / kb_per_lease
    source = "`leases.octets`, 8 kB/s over the rate of one lease"
    return Row(
        "leases and their quorum",
        "8 kB/s and 3% of a core of a quorum member, which is a front",
        "`decisions/fleet/acceptor.py`, `decisions/fleet/candidate.py`, `peers/leases.py`",
        (
            Load("state", "1 lease", f"{format_number(TARGET_LEASES)} leases (assumed)"),
            load_at_both_sizes("messages of all members, one lease", slopes["leases.messages"]),
            Load("CPU, memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network of a quorum member, one lease", slopes["leases.octets"]),
        ),
        (
            *assumed_limits(
                assumed.LEASES,
                constant_limit(bounds.MAX_LEASES, "leases", TARGET_LEASES, "further leases are not granted"),
                derived_limit(
                    leases_by_octets,
                    source,
                    "leases, by octets of a quorum member",
                    TARGET_LEASES,
                    "a quorum member exceeds 8 kB/s",
                ),
            ),
        ),
    )


def wide_area(slopes: Readings) -> Row:
    """Links between regions."""
    octets = slopes["catalogue.octets"]
    quiet = slopes["membership.quiet"]
    today_region = TODAY_FRONTS / TARGET.regions
    return Row(
        "wide-area links",
        "100 Mbit/s of one region's link for control (assumed)",
        "none: no region exists; any front may be a peer or the source of a catalogue",
        (
            Load("state", "none", f"{TARGET.regions} regions"),
            Load("messages, CPU, memory", "none of their own", "none of their own"),
            Load(
                "network, membership without changes",
                quiet.table_cell(TODAY_FRONTS, today_region * OTHER_REGIONS_SHARE),
                quiet.table_cell(TARGET_FRONTS, LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE),
            ),
            Load(
                "network, 14,000 whole catalogues a day",
                octets.table_cell(TODAY_TITLES, CHANGES_PER_S * today_region * OTHER_REGIONS_SHARE, "kB/s"),
                octets.table_cell(
                    TARGET_TITLES, CHANGES_PER_S * LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE, "kB/s"
                ),
            ),
        ),
        _wide_area_limits(slopes),
    )


def _wide_area_limits(slopes: Readings) -> tuple[Limit, ...]:
    catalogue_kb = slopes["catalogue.octets"].value(TARGET_TITLES)
    sent_kb = slopes["membership.quiet"].value(TARGET_FRONTS)
    link_kb = assumed.WIDE_AREA_OCTETS_PER_S.value / KB
    changes_per_day = (
        None
        if catalogue_kb is None
        else link_kb / (catalogue_kb * LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE) * DAY_S
    )
    fronts_per_region = None if sent_kb is None else link_kb / (sent_kb * OTHER_REGIONS_SHARE)
    saturated = "the link is saturated: messages arrive late"
    catalogue_source = "`catalogue.octets`, a link over one catalogue for each front of the largest region"
    fronts_source = "`membership.quiet`, a link over what one front sends to other regions"
    return assumed_limits(
        assumed.WIDE_AREA_OCTETS_PER_S,
        derived_limit(
            changes_per_day,
            catalogue_source,
            "changes a day, whole catalogues of all titles",
            TARGET.changes_per_day,
            saturated,
        ),
        derived_limit(
            fronts_per_region, fronts_source, "fronts in a region", LARGEST_REGION_FRONTS, saturated
        ),
    )


CONTROL_ROLES = (membership, leases, configuration, control_machine, wide_area)
