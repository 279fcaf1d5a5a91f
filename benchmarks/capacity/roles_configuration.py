"""Rows of the roles that distribute the configuration: today's rollout of catalogues, and control machines."""

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
    PERCENT,
    TARGET_FRONTS,
    assumed_limits,
    derived_limit,
    load_at_both_sizes,
    measured_limit,
)
from benchmarks.capacity.rows import Limit, Load, Row
from benchmarks.capacity.targets import BUDGET, DAY_S, KB, MB, TARGET

TARGET_TITLES = assumed.CATALOGUE_TITLES.value
TODAY_TITLES = 10_000.0
"""Titles of a catalogue as it is tested today."""
CHANGES_PER_S = demand.changes_per_s()
BURST_CHANGES_PER_S = demand.burst_changes_per_s()
HOLDER_OVER_TRAFFIC_BUDGET = "the front that holds the lease exceeds 8 kB/s"


def rollout_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits of today's staged rollout that do not depend on the size of the catalogue."""
    until_active_s = slopes["rollout.time"].value(TARGET_FRONTS)
    until_next_s = slopes["rollout.ended"].value(TARGET_FRONTS)
    changes_per_day = None if until_next_s is None else DAY_S / until_next_s
    source = "`rollout.ended` at 2,700 fronts, one rollout at a time"
    rejected = "a change is rejected while another is rolled out"
    in_burst = TARGET.changes_per_day * assumed.BURST_OVER_MEAN.value
    return (
        derived_limit(changes_per_day, source, "changes a day", TARGET.changes_per_day, rejected),
        derived_limit(
            changes_per_day,
            source,
            "changes a day, at the rate of a burst of ten times the mean",
            in_burst,
            rejected,
        ),
        derived_limit(
            None if until_active_s is None else TARGET.change_within_s / until_active_s,
            "20 s over `rollout.time` at 2,700 fronts",
            "allowed time of a change over the time it takes",
            1.0,
            "a change is active late: two shares are watched for 10 s each before the last",
        ),
    )


def whole_catalogue_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits of sending the whole catalogue, with all titles in it, for each change."""
    catalogue_kb = slopes["catalogue.octets"].value(TARGET_TITLES)
    change_ms = slopes["catalogue.processor"].value(TARGET_TITLES)
    changes_by_octets = None if catalogue_kb is None else CONTROL_KB_PER_S / catalogue_kb * DAY_S
    changes_by_cpu = None if change_ms is None else BUDGET.core_share * MS_PER_S / change_ms * DAY_S
    kept_versions = None if catalogue_kb is None else CONTROL_MEMORY_MB / (catalogue_kb * KB / MB)
    needed_per_day = TARGET.changes_per_day
    return assumed_limits(
        assumed.CATALOGUE_TITLES,
        derived_limit(
            changes_by_octets,
            "`catalogue.octets`, 8 kB/s over one catalogue",
            "changes a day, by octets of whole catalogues",
            needed_per_day,
            "every front exceeds 8 kB/s",
        ),
        derived_limit(
            changes_by_cpu,
            "`catalogue.processor`, 3% of a core over one change",
            "changes a day, by CPU time",
            needed_per_day,
            OVER_CPU_BUDGET,
        ),
        derived_limit(
            kept_versions,
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
        (*rollout_limits(slopes), *whole_catalogue_limits(slopes)),
    )


def control_machine(slopes: Readings) -> Row:
    """Machines dedicated to control; today the front that holds the lease does their work."""
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
        (*_lease_holder_limits(slopes), *_dedicated_machine_limits(slopes)),
    )


def _lease_holder_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits while a front does the work, within a front's budgets."""
    holder_over_cpu_budget = "the front that holds the lease exceeds 3% of a core"
    return (
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
    )


def _dedicated_machine_limits(slopes: Readings) -> tuple[Limit, ...]:
    """Returns the limits of half of a control machine."""
    half_core = BUDGET.control_machine_share * PERCENT
    half_link_kb = BUDGET.control_machine_share * assumed.CONTROL_MACHINE_OCTETS_PER_S.value / KB
    over_half_machine = "the work exceeds half of a control machine"
    return assumed_limits(
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
    )
