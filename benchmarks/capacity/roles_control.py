"""Rows of the roles that front ends play among themselves, and of what is to be done by control machines and links."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.readings import NOT_MEASURED, Readings, format_number
from benchmarks.capacity.role_parts import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    CONTROL_MEMORY_MB,
    OVER_TRAFFIC_BUDGET,
    TARGET_FRONTS,
    MS_PER_S,
    PERCENT,
    OVER_CPU_BUDGET,
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
"""A catalogue as it is tried today."""
CHANGES_PER_S = demand.changes_per_s()
BURST_CHANGES_PER_S = demand.burst_changes_per_s()
LARGEST_REGION_FRONTS = demand.fronts_of_largest_region()
OTHER_REGIONS_SHARE = 1 - 1 / TARGET.regions
"""Part of what goes to any front that goes to another region."""
TARGET_LEASES = assumed.LEASES.value
FLAT_FILES = "`decisions/fleet/view.py`, `peers/speaker.py` (commit 414ace3)"
ZONED_FILES = "`decisions/membership/hierarchy.py`"
HOLDER_OVER_TRAFFIC_BUDGET = "8 kB/s of the front that holds the lease"


def by_budget(slopes: Readings, prefix: str) -> tuple[Limit, ...]:
    """The limits of one kind of membership by each budget."""
    named = (
        ("start", CONTROL_KB_PER_S, "fronts, whole start, octets sent", OVER_TRAFFIC_BUDGET),
        (
            "sent",
            CONTROL_KB_PER_S,
            "fronts, whole start and a region's cut, octets sent",
            OVER_TRAFFIC_BUDGET,
        ),
        ("received", CONTROL_KB_PER_S, "the same, octets received", OVER_TRAFFIC_BUDGET),
        ("processor", CONTROL_CPU_PERCENT, "fronts, by processor time", OVER_CPU_BUDGET),
        ("memory", CONTROL_MEMORY_MB, "fronts, by memory", "256 MB"),
    )
    return tuple(
        measured_limit(slopes, f"{prefix}.{name}", budget, driver, TARGET_FRONTS, consequence)
        for name, budget, driver, consequence in named
    )


def membership(slopes: Readings) -> Row:
    """Who is there."""
    built = slopes["zoned.sent"].slope is not None
    return Row(
        "membership",
        "8 kB/s in any ten seconds, 3% of a core, 256 MB with all other control",
        FLAT_FILES + (f"; new: {ZONED_FILES}" if built else ""),
        (
            Load("state", f"{TODAY_FRONTS} members", f"{format_number(TARGET_FRONTS)} members"),
            Load("messages", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("processor, worst front", slopes["membership.processor"]),
            load_at_both_sizes("memory", slopes["membership.memory"]),
            load_at_both_sizes("network, quiet", slopes["membership.quiet"]),
            load_at_both_sizes("network, whole start, worst front", slopes["membership.start"]),
            load_at_both_sizes("network, a region's cut, worst front", slopes["membership.sent"]),
        ),
        (
            *by_budget(slopes, "membership"),
            constant_limit(bounds.MAX_MEMBERS, "members", TARGET_FRONTS, "newcomers are not taken in"),
        ),
        by_budget(slopes, "zoned") if built else (),
    )


def leases(slopes: Readings) -> Row:
    """Leases and their quorum."""
    each = slopes["leases.octets"].value(TARGET_FRONTS)
    by_octets = None if each is None else CONTROL_KB_PER_S / each
    source = "`leases.octets`, 8 kB/s over that of one"
    return Row(
        "leases and their quorum",
        "8 kB/s and 3% of a core of a quorum member, which is a front",
        "`decisions/fleet/keeping.py`, `decisions/fleet/owning.py`, `peers/duties.py`",
        (
            Load("state", "1 lease", f"{format_number(TARGET_LEASES)} leases (assumed)"),
            load_at_both_sizes("messages of all, one lease", slopes["leases.messages"]),
            Load("processor, memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network of a quorum member, one lease", slopes["leases.octets"]),
        ),
        (
            *assumed_limits(
                assumed.LEASES,
                constant_limit(bounds.MAX_LEASES, "leases", TARGET_LEASES, "not granted"),
                derived_limit(
                    by_octets,
                    source,
                    "leases, by a member's octets",
                    TARGET_LEASES,
                    "8 kB/s of a quorum member",
                ),
            ),
        ),
    )


def rollout_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Limits of today's staged rollout, whatever the size of its text."""
    took = slopes["rollout.time"].value(TARGET_FRONTS)
    ended = slopes["rollout.ended"].value(TARGET_FRONTS)
    a_day = None if ended is None else DAY_S / ended
    source = "`rollout.ended` at 2,700 fronts, one at a time"
    refused = "a change is refused while another is under way"
    in_burst = TARGET.changes_per_day * assumed.BURST_OVER_MEAN.value
    return (
        derived_limit(a_day, source, "changes a day", TARGET.changes_per_day, refused),
        derived_limit(a_day, source, "changes a day's rate in a burst of ten times", in_burst, refused),
        derived_limit(
            None if took is None else TARGET.change_within_s / took,
            "20 s over `rollout.time` at 2,700 fronts",
            "of the time that a change takes, what it may take",
            1.0,
            "a change is in force late: two shares are watched for 10 s each before the last",
        ),
    )


def text_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Limits that come of whole texts, if a change is one of a catalogue of all titles."""
    text_kb, change_ms = (
        slopes["catalogue.octets"].value(TARGET_TITLES),
        slopes["catalogue.processor"].value(TARGET_TITLES),
    )
    by_octets = None if text_kb is None else CONTROL_KB_PER_S / text_kb * DAY_S
    by_processor = None if change_ms is None else BUDGET.core_share * MS_PER_S / change_ms * DAY_S
    kept = None if text_kb is None else CONTROL_MEMORY_MB / (text_kb * KB / MB)
    a_day = TARGET.changes_per_day
    return assumed_limits(
        assumed.CATALOGUE_TITLES,
        derived_limit(
            by_octets,
            "`catalogue.octets`, 8 kB/s over one text",
            "changes a day, whole texts",
            a_day,
            "8 kB/s of every front",
        ),
        derived_limit(
            by_processor,
            "`catalogue.processor`, 3% of a core",
            "changes a day, by processor time",
            a_day,
            OVER_CPU_BUDGET,
        ),
        derived_limit(
            kept,
            "`catalogue.octets`, 256 MB over one text",
            "versions in memory",
            bounds.KEPT_VERSIONS.value,
            "256 MB",
        ),
    )


def configuration(slopes: Readings) -> Row:
    """Changes of configuration, today as whole catalogues."""
    octets = slopes["catalogue.octets"]
    return Row(
        "configuration distribution",
        "in force everywhere in 20 s; 8 kB/s, 3% of a core, 256 MB with all other control",
        "`front/rolling.py`, `decisions/fleet/rollout.py`, `front/catalogues.py`",
        (
            load_at_both_sizes("state, the whole text", octets, TODAY_TITLES, TARGET_TITLES),
            Load(
                "messages",
                "one rollout at a time",
                f"{format_number(CHANGES_PER_S)} changes a second, {format_number(BURST_CHANGES_PER_S)} in a burst",
            ),
            load_at_both_sizes("time of a change, text apart", slopes["rollout.time"]),
            load_at_both_sizes(
                "processor of a change at a front", slopes["catalogue.processor"], TODAY_TITLES, TARGET_TITLES
            ),
            load_at_both_sizes(
                "memory of a version at a front", slopes["catalogue.memory"], TODAY_TITLES, TARGET_TITLES
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
    """Machines set aside for control; today a front that holds the lease does their work."""
    half_core = BUDGET.control_machine_share * PERCENT
    half_link_kb = BUDGET.control_machine_share * assumed.CONTROL_MACHINE_OCTETS_PER_S.value / KB
    holder_core = "3% of a core of the front that holds the lease"
    half = "half of a control machine"
    return Row(
        "regional control machine",
        "half of a control machine; as it is a front today, a front's 8 kB/s and 3% of a core",
        "does not exist; `front/rolling.py` at the front that holds the lease",
        (
            Load("state", "none", f"{TARGET.control_machines} machines"),
            Load("messages", "2 orders a second to each front, as many reports", "the same"),
            load_at_both_sizes("processor, a rollout under way", slopes["rollout.processor"]),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
            load_at_both_sizes("network sent, a rollout under way", slopes["rollout.sent"]),
            load_at_both_sizes("network received, a rollout under way", slopes["rollout.received"]),
            load_at_both_sizes("network sent, none under way", slopes["rollout.quiet"]),
        ),
        (
            measured_limit(
                slopes,
                "rollout.sent",
                CONTROL_KB_PER_S,
                "fronts that one holder orders, by octets",
                TARGET_FRONTS,
                HOLDER_OVER_TRAFFIC_BUDGET,
            ),
            measured_limit(
                slopes,
                "rollout.quiet",
                CONTROL_KB_PER_S,
                "the same with no rollout under way",
                TARGET_FRONTS,
                HOLDER_OVER_TRAFFIC_BUDGET,
            ),
            measured_limit(
                slopes,
                "rollout.processor",
                CONTROL_CPU_PERCENT,
                "the same by processor time",
                TARGET_FRONTS,
                holder_core,
            ),
            *assumed_limits(
                assumed.CONTROL_MACHINE_OCTETS_PER_S,
                measured_limit(
                    slopes,
                    "rollout.processor",
                    half_core,
                    "on a machine of its own, by processor time",
                    TARGET_FRONTS,
                    half,
                ),
                measured_limit(
                    slopes,
                    "rollout.sent",
                    half_link_kb,
                    "on a machine of its own, by octets",
                    TARGET_FRONTS,
                    half,
                ),
            ),
        ),
    )


def wide_area(slopes: Readings) -> Row:
    """Links between regions."""
    octets, quiet = slopes["catalogue.octets"], slopes["membership.quiet"]
    text_kb, sent_kb = octets.value(TARGET_TITLES), quiet.value(TARGET_FRONTS)
    link_kb = assumed.WIDE_AREA_OCTETS_PER_S.value / KB
    by_text = (
        None if text_kb is None else link_kb / (text_kb * LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE) * DAY_S
    )
    fronts = None if sent_kb is None else link_kb / (sent_kb * OTHER_REGIONS_SHARE)
    today_region = TODAY_FRONTS / TARGET.regions
    full = "the link is full: what is sent comes late"
    texts_source = "`catalogue.octets`, a link over one text for each front of the largest region"
    fronts_source = "`membership.quiet`, a link over what a front sends to other regions"
    return Row(
        "wide-area links",
        "100 Mbit/s of one region's link for control (assumed)",
        "none: no region exists, a peer or a text's source is any front",
        (
            Load("state", "none", f"{TARGET.regions} regions"),
            Load("messages, processor, memory", "none of their own", "none of their own"),
            Load(
                "network, membership in a quiet time",
                quiet.table_cell(TODAY_FRONTS, today_region * OTHER_REGIONS_SHARE),
                quiet.table_cell(TARGET_FRONTS, LARGEST_REGION_FRONTS * OTHER_REGIONS_SHARE),
            ),
            Load(
                "network, 14,000 whole texts a day",
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
                    "changes a day, whole texts of all titles",
                    TARGET.changes_per_day,
                    full,
                ),
                derived_limit(fronts, fronts_source, "fronts of a region", LARGEST_REGION_FRONTS, full),
            ),
        ),
    )


CONTROL_ROLES = (membership, leases, configuration, control_machine, wide_area)
