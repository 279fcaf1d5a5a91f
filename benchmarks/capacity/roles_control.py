"""Rows of the roles that front ends have among themselves, and of control machines and wide-area links."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    CONTROL_MEMORY_MB,
    MS_PER_S,
    OVER_CPU_BUDGET,
    OVER_TRAFFIC_BUDGET,
    PERCENT,
    TARGET_FRONTS,
    assumed_limits,
    constant_limit,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.rows import Limit, Load, Row
from benchmarks.capacity.targets import BUDGET, DAY_S, KB, MB, TARGET, TODAY_FRONTS

TARGET_TITLES = assumed.CATALOGUE_TITLES.value
TODAY_TITLES = 10_000.0
"""Titles of a catalogue as it is tested today."""
CHANGES_PER_S = demand.changes_per_s()
BURST_CHANGES_PER_S = demand.burst_changes_per_s()
LARGEST_REGION_FRONTS = demand.fronts_of_largest_region()
OTHER_REGIONS_SHARE = 1 - 1 / TARGET.regions
"""Share of the traffic to random front ends that goes to other regions."""
TARGET_LEASES = assumed.LEASES.value
FLAT_FILES = "`decisions/membership/membership.py`, `peers/peer_endpoint.py` (as of commit 414ace3)"
ZONED_FILES = "`decisions/membership/hierarchy.py`"
HOLDER_OVER_TRAFFIC_BUDGET = "the front that holds the lease exceeds 8 kB/s"


def by_budget(slopes: Readings, prefix: str) -> tuple[Limit, ...]:
    """Returns the limits of one kind of membership, one per budget."""
    named = (
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
        for name, budget, driver, consequence in named
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
            *by_budget(slopes, "membership"),
            constant_limit(bounds.MAX_MEMBERS, "members", TARGET_FRONTS, "new members are not added"),
        ),
        by_budget(slopes, "zoned") if is_zoned_measured else (),
    )


def leases(slopes: Readings) -> Row:
    """Leases and their quorum."""
    kb_per_lease = slopes["leases.octets"].value(TARGET_FRONTS)
    by_octets = None if kb_per_lease is None else CONTROL_KB_PER_S / kb_per_lease
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
                    by_octets,
                    source,
                    "leases, by octets of a quorum member",
                    TARGET_LEASES,
                    "a quorum member exceeds 8 kB/s",
                ),
            ),
        ),
    )


def rollout_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits of today's staged rollout that do not depend on the size of the catalogue."""
    took = slopes["rollout.time"].value(TARGET_FRONTS)
    ended = slopes["rollout.ended"].value(TARGET_FRONTS)
    a_day = None if ended is None else DAY_S / ended
    source = "`rollout.ended` at 2,700 fronts, one rollout at a time"
    rejected = "a change is rejected while another is rolled out"
    in_burst = TARGET.changes_per_day * assumed.BURST_OVER_MEAN.value
    return (
        derived_limit(a_day, source, "changes a day", TARGET.changes_per_day, rejected),
        derived_limit(
            a_day, source, "changes a day, at the rate of a burst of ten times the mean", in_burst, rejected
        ),
        derived_limit(
            None if took is None else TARGET.change_within_s / took,
            "20 s over `rollout.time` at 2,700 fronts",
            "allowed time of a change over the time it takes",
            1.0,
            "a change is active late: two shares are watched for 10 s each before the last",
        ),
    )


def text_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits of sending the whole catalogue, with all titles in it, for each change."""
    text_kb = slopes["catalogue.octets"].value(TARGET_TITLES)
    change_ms = slopes["catalogue.processor"].value(TARGET_TITLES)
    by_octets = None if text_kb is None else CONTROL_KB_PER_S / text_kb * DAY_S
    by_processor = None if change_ms is None else BUDGET.core_share * MS_PER_S / change_ms * DAY_S
    kept = None if text_kb is None else CONTROL_MEMORY_MB / (text_kb * KB / MB)
    a_day = TARGET.changes_per_day
    return assumed_limits(
        assumed.CATALOGUE_TITLES,
        derived_limit(
            by_octets,
            "`catalogue.octets`, 8 kB/s over one catalogue",
            "changes a day, by octets of whole catalogues",
            a_day,
            "every front exceeds 8 kB/s",
        ),
        derived_limit(
            by_processor,
            "`catalogue.processor`, 3% of a core over one change",
            "changes a day, by CPU time",
            a_day,
            OVER_CPU_BUDGET,
        ),
        derived_limit(
            kept,
            "`catalogue.octets`, 256 MB over one catalogue",
            "versions in memory",
            bounds.KEPT_VERSIONS.value,
            "a front exceeds 256 MB",
        ),
    )


def configuration(slopes: Readings) -> Row:
    """Distribution of configuration changes, today as whole catalogues."""
    octets = slopes["catalogue.octets"]
    return Row(
        "configuration distribution",
        "active everywhere in 20 s; 8 kB/s, 3% of a core and 256 MB, shared with all other control work",
        "`front/catalogue_rollout.py`, `decisions/fleet/rollout.py`, `front/catalogue_versions.py`",
        (
            load_at_both_sizes("state, the whole catalogue", octets, TODAY_TITLES, TARGET_TITLES),
            Load(
                "messages",
                "one rollout at a time",
                f"{format_number(CHANGES_PER_S)} changes a second, {format_number(BURST_CHANGES_PER_S)} in a burst",
            ),
            load_at_both_sizes("time of a change, without transfer of the catalogue", slopes["rollout.time"]),
            load_at_both_sizes(
                "CPU, one change at a front", slopes["catalogue.processor"], TODAY_TITLES, TARGET_TITLES
            ),
            load_at_both_sizes(
                "memory, one version at a front", slopes["catalogue.memory"], TODAY_TITLES, TARGET_TITLES
            ),
            Load(
                "network of a front, 14,000 changes a day",
                octets.table_cell(TODAY_TITLES, CHANGES_PER_S, "kB/s"),
                octets.table_cell(TARGET_TITLES, CHANGES_PER_S, "kB/s"),
            ),
        ),
        (*rollout_limits(slopes), *text_limits(slopes)),
    )


def control_machine(slopes: Readings) -> Row:
    """Machines dedicated to control; today the front that holds the lease does their work."""
    half_core = BUDGET.control_machine_share * PERCENT
    half_link_kb = BUDGET.control_machine_share * assumed.CONTROL_MACHINE_OCTETS_PER_S.value / KB
    holder_over_cpu_budget = "the front that holds the lease exceeds 3% of a core"
    over_half_machine = "the work exceeds half of a control machine"
    return Row(
        "regional control machine",
        "half of a control machine; today, as a front does the work, a front's 8 kB/s and 3% of a core",
        "does not exist; `front/catalogue_rollout.py` at the front that holds the lease",
        (
            Load("state", "none", f"{TARGET.control_machines} machines"),
            Load("messages", "2 orders a second to each front, and as many reports", "the same"),
            load_at_both_sizes("CPU, during a rollout", slopes["rollout.processor"]),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network sent, during a rollout", slopes["rollout.sent"]),
            load_at_both_sizes("network received, during a rollout", slopes["rollout.received"]),
            load_at_both_sizes("network sent, no rollout", slopes["rollout.quiet"]),
        ),
        (
            measured_limit(
                slopes,
                "rollout.sent",
                CONTROL_KB_PER_S,
                "fronts to which one lease holder sends orders, by octets",
                TARGET_FRONTS,
                HOLDER_OVER_TRAFFIC_BUDGET,
            ),
            measured_limit(
                slopes,
                "rollout.quiet",
                CONTROL_KB_PER_S,
                "fronts to which one lease holder sends orders, by octets without a rollout",
                TARGET_FRONTS,
                HOLDER_OVER_TRAFFIC_BUDGET,
            ),
            measured_limit(
                slopes,
                "rollout.processor",
                CONTROL_CPU_PERCENT,
                "fronts to which one lease holder sends orders, by CPU time",
                TARGET_FRONTS,
                holder_over_cpu_budget,
            ),
            *assumed_limits(
                assumed.CONTROL_MACHINE_OCTETS_PER_S,
                measured_limit(
                    slopes,
                    "rollout.processor",
                    half_core,
                    "fronts per dedicated machine, by CPU time",
                    TARGET_FRONTS,
                    over_half_machine,
                ),
                measured_limit(
                    slopes,
                    "rollout.sent",
                    half_link_kb,
                    "fronts per dedicated machine, by octets",
                    TARGET_FRONTS,
                    over_half_machine,
                ),
            ),
        ),
    )


def wide_area(slopes: Readings) -> Row:
    """Links between regions."""
    octets = slopes["catalogue.octets"]
    quiet = slopes["membership.quiet"]
    text_kb = octets.value(TARGET_TITLES)
    sent_kb = quiet.value(TARGET_FRONTS)
    link_kb = assumed.WIDE_AREA_OCTETS_PER_S.value / KB
    by_text = (
        None if text_kb is None else link_kb / (text_kb * LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE) * DAY_S
    )
    fronts = None if sent_kb is None else link_kb / (sent_kb * OTHER_REGIONS_SHARE)
    today_region = TODAY_FRONTS / TARGET.regions
    saturated = "the link is saturated: messages arrive late"
    texts_source = "`catalogue.octets`, a link over one catalogue for each front of the largest region"
    fronts_source = "`membership.quiet`, a link over what one front sends to other regions"
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
        (
            *assumed_limits(
                assumed.WIDE_AREA_OCTETS_PER_S,
                derived_limit(
                    by_text,
                    texts_source,
                    "changes a day, whole catalogues of all titles",
                    TARGET.changes_per_day,
                    saturated,
                ),
                derived_limit(fronts, fronts_source, "fronts in a region", LARGEST_REGION_FRONTS, saturated),
            ),
        ),
    )


CONTROL_ROLES = (membership, leases, configuration, control_machine, wide_area)
