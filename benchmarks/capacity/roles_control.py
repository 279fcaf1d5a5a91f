"""Rows of the roles that front ends play among themselves, and of what is to be done by control machines and links."""

from __future__ import annotations

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity import bounds, demand
from benchmarks.capacity.readings import NOT_MEASURED, Readings, number
from benchmarks.capacity.roles_front import CONTROL_CORE, MS_PER_S, PER_CENT, reckoned, within
from benchmarks.capacity.rows import Basis, Limit, Load, Row
from benchmarks.capacity.targets import BUDGET, DAY_S, KB, MB, TARGET, TODAY_FRONTS

CONTROL_KB = BUDGET.octets_per_s / KB
CONTROL_MB = BUDGET.memory_octets / MB
TITLES = TARGET.topic_shards
TODAY_TITLES = 10_000
"""A catalogue as it is tried today."""
CHANGES, CHANGES_BURST = demand.changes_per_s(), demand.burst_changes_per_s()
REGION = demand.fronts_of_largest_region()


def membership(slopes: Readings) -> Row:
    """Who is there."""
    over = "8 kB/s of every front"
    return Row(
        "membership",
        "8 kB/s in any ten seconds, 3% of a core, 256 MB with all other control",
        "`decisions/fleet/view.py`, `peers/speaker.py`",
        (
            Load("state", f"{TODAY_FRONTS} members", f"{number(TARGET.fronts)} members"),
            Load("network, quiet", slopes["membership.quiet"].cell(TODAY_FRONTS), slopes["membership.quiet"].cell(TARGET.fronts)),
            Load("network, all start at once, worst front", slopes["membership.start-worst"].cell(TODAY_FRONTS),
                 slopes["membership.start-worst"].cell(TARGET.fronts)),
            Load("network, a region cut off, worst front", slopes["membership.cut-worst"].cell(TODAY_FRONTS),
                 slopes["membership.cut-worst"].cell(TARGET.fronts)),
            Load("processor, quiet", slopes["membership.processor"].cell(TODAY_FRONTS), slopes["membership.processor"].cell(TARGET.fronts)),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            within(slopes, "membership.start-worst", CONTROL_KB, "fronts, all start at once", TARGET.fronts, over),
            within(slopes, "membership.cut-worst", CONTROL_KB, "fronts, a region cut off for 30 s", TARGET.fronts, over),
            Limit("members", bounds.MEMBERS.value, TARGET.fronts, Basis.CONSTANT, bounds.MEMBERS.source,
                  "newcomers are not taken in"),
            within(slopes, "membership.processor", CONTROL_CORE, "fronts, by processor time", TARGET.fronts, "3% of a core"),
        ),
        with_zones(slopes),
    )  # fmt: skip


def with_zones(slopes: Readings) -> tuple[Limit, ...]:
    """The same limits of membership by zone and region, once it has been measured."""
    named = (
        ("zones.start-worst", CONTROL_KB, "fronts, all start at once", "8 kB/s of a front"),
        ("zones.cut-worst", CONTROL_KB, "fronts, a region cut off", "8 kB/s of a front"),
        ("zones.processor", CONTROL_CORE, "fronts, by processor time", "3% of a core"),
    )
    return tuple(
        within(slopes, name, budget, driver, TARGET.fronts, breaks)
        for name, budget, driver, breaks in named
        if slopes[name].slope is not None
    )


def leases(slopes: Readings) -> Row:
    """Leases and their quorum."""
    each = slopes["leases.octets"].value(TARGET.fronts)
    return Row(
        "leases and their quorum",
        "8 kB/s and 3% of a core of a quorum member, which is a front",
        "`decisions/fleet/keeping.py`, `decisions/fleet/owning.py`, `peers/duties.py`",
        (
            Load("state", "1 lease", f"{number(assumed.LEASES.value)} leases (assumed)"),
            Load("messages of all, one lease", slopes["leases.messages"].cell(TODAY_FRONTS), slopes["leases.messages"].cell(TARGET.fronts)),
            Load("network of a quorum member, one lease", slopes["leases.octets"].cell(TODAY_FRONTS), slopes["leases.octets"].cell(TARGET.fronts)),
            Load("processor, memory", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            Limit("leases", bounds.LEASES.value, assumed.LEASES.value, Basis.CONSTANT, bounds.LEASES.source, "not granted"),
            reckoned(None if each is None else CONTROL_KB / each, "`leases.octets`, 8 kB/s over that of one",
                     "leases, by a quorum member's octets", assumed.LEASES.value, "8 kB/s of a quorum member"),
        ),
    )  # fmt: skip


def configuration(slopes: Readings) -> Row:
    """Changes of configuration, today as whole catalogues."""
    octets, processor = slopes["catalogue.octets"], slopes["catalogue.processor"]
    text_kb, change_ms = octets.value(TITLES), processor.value(TITLES)
    by_octets = None if text_kb is None else CONTROL_KB / text_kb * DAY_S
    by_processor = None if change_ms is None else BUDGET.core_share * MS_PER_S / change_ms * DAY_S
    memory = None if text_kb is None else CONTROL_MB / (text_kb * KB / MB)
    in_burst, refused = DAY_S / bounds.ROLLOUT_S.value, "a change is refused while another is under way"
    return Row(
        "configuration distribution",
        "in force everywhere in 20 s; 8 kB/s, 3% of a core, 256 MB with all other control",
        "`front/rolling.py`, `decisions/fleet/rollout.py`, `front/catalogues.py`",
        (
            Load("state, the whole text", octets.cell(TODAY_TITLES), octets.cell(TITLES)),
            Load("messages", "one rollout at a time", f"{number(CHANGES)} changes a second, {number(CHANGES_BURST)} in a burst"),
            Load("time of a change", slopes["rollout.time"].cell(TODAY_FRONTS), slopes["rollout.time"].cell(TARGET.fronts)),
            Load("processor of a change at a front", processor.cell(TODAY_TITLES), processor.cell(TITLES)),
            Load("memory of a version at a front", slopes["catalogue.memory"].cell(TODAY_TITLES), slopes["catalogue.memory"].cell(TITLES)),
            Load("network of a front, 14,000 changes a day", octets.cell(TODAY_TITLES, CHANGES, "kB/s"), octets.cell(TITLES, CHANGES, "kB/s")),
        ),
        (
            reckoned(by_octets, "`catalogue.octets`, 8 kB/s over one text", "changes a day of a whole catalogue, by octets",
                     TARGET.changes_per_day, "8 kB/s of every front"),
            reckoned(by_processor, "`catalogue.processor`, 3% of a core over one change", "the same by processor time",
                     TARGET.changes_per_day, "3% of a core of every front"),
            Limit("changes a day", in_burst, TARGET.changes_per_day, Basis.CONSTANT, bounds.ROLLOUT_S.source, refused),
            Limit("changes a day in a burst", in_burst, TARGET.changes_per_day * assumed.BURST_OVER_MEAN.value, Basis.CONSTANT,
                  bounds.ROLLOUT_S.source, refused),
            reckoned(memory, "`catalogue.octets`, 256 MB over one text", "versions kept", bounds.TEXTS_KEPT.value,
                     "256 MB of every front"),
        ),
    )  # fmt: skip


def control_machine(slopes: Readings) -> Row:
    """Machines set aside for control; today a front that holds the lease does their work."""
    processor = BUDGET.control_machine_share * PER_CENT
    return Row(
        "regional control machine",
        "half of a control machine; as it is a front today, a front's 8 kB/s and 3% of a core",
        "does not exist; `front/rolling.py` at the front that holds the lease",
        (
            Load("state", "none", f"{TARGET.control_machines} machines"),
            Load("network sent, a rollout under way", slopes["rollout.sent"].cell(TODAY_FRONTS), slopes["rollout.sent"].cell(TARGET.fronts)),
            Load("network received, a rollout under way", slopes["rollout.received"].cell(TODAY_FRONTS),
                 slopes["rollout.received"].cell(TARGET.fronts)),
            Load("processor, a rollout under way", slopes["rollout.processor"].cell(TODAY_FRONTS),
                 slopes["rollout.processor"].cell(TARGET.fronts)),
            Load("memory", NOT_MEASURED, NOT_MEASURED),
        ),
        (
            within(slopes, "rollout.sent", CONTROL_KB, "fronts that one front holding the lease orders, by octets", TARGET.fronts,
                   "8 kB/s of the front that holds the lease"),
            within(slopes, "rollout.processor", CONTROL_CORE, "the same by processor time", TARGET.fronts,
                   "3% of a core of the front that holds the lease"),
            within(slopes, "rollout.processor", processor, "the same on a machine of its own, half of a core", TARGET.fronts,
                   "half of a control machine's core"),
        ),
    )  # fmt: skip


def wide_area(slopes: Readings) -> Row:
    """Links between regions."""
    text_kb = slopes["catalogue.octets"].value(TITLES)
    link_kb = assumed.WIDE_AREA_OCTETS_PER_S.value / KB
    by_text = None if text_kb is None else link_kb / (text_kb * REGION) * DAY_S
    away = 1 - 1 / TARGET.regions
    quiet = slopes["membership.quiet"]
    sent = quiet.value(TARGET.fronts)
    fronts = None if sent is None else link_kb / (sent * away)
    return Row(
        "wide-area links",
        "100 Mbit/s of one region's link for control (assumed)",
        "none: no region exists, a peer or a text's source is any front",
        (
            Load("state", "none", f"{TARGET.regions} regions"),
            Load("network, membership in a quiet time", quiet.cell(TODAY_FRONTS, TODAY_FRONTS / TARGET.regions * away),
                 quiet.cell(TARGET.fronts, REGION * away)),
            Load("network, whole texts", slopes["catalogue.octets"].cell(TODAY_TITLES, CHANGES * TODAY_FRONTS / TARGET.regions, "kB/s"),
                 slopes["catalogue.octets"].cell(TITLES, CHANGES * REGION, "kB/s")),
        ),
        (
            reckoned(by_text, "`catalogue.octets`, a link over one text for each front of the largest region",
                     "changes a day of a whole catalogue", TARGET.changes_per_day, "the link is full: texts come late"),
            reckoned(fronts, "`membership.quiet`, a link over what a front sends to other regions", "fronts of a region",
                     REGION, "the link is full"),
        ),
    )  # fmt: skip


CONTROL_ROLES = (membership, leases, configuration, control_machine, wide_area)
