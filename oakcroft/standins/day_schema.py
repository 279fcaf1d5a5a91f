"""Schema of the file of a day, and the kinds of faults that it can name."""

from __future__ import annotations

from oakcroft.config.schema import (
    NAME_TYPE,
    NUMBER_TYPE,
    PACE_TYPE,
    RATE_TYPE,
    TIME_TYPE,
    INTEGER_TYPE,
    Field,
    Schema,
    choice_type,
)
from oakcroft.interface import MS, SECOND

NODE_FAULTS = (
    "crash",
    "vanish",
    "hang",
    "slow",
    "shared-slow",
    "neighbour",
    "report-late",
    "ageing",
    "answer-lost",
    "deploy",
    "preempt",
    "zone-loss",
    "zone-cut",
)
LIST_FAULTS = ("list-empty", "list-broken", "list-down")
PEER_FAULTS = ("cut", "lose", "stand", "fill", "wipe")
LEASE_HOLDER_FAULTS = ("roll-out", "owner-stand", "owner-kill")
"""Faults of the front end that holds the lease for the catalogue at that time."""

FRONT_FAULTS = ("front-kill", "front-stall", *LEASE_HOLDER_FAULTS, *PEER_FAULTS)
VIEWER_FAULTS = ("crowd",)
FAULTS = NODE_FAULTS + LIST_FAULTS + FRONT_FAULTS + VIEWER_FAULTS

NODE_SCHEMA = Schema(
    "node", "One node of the fleet.",
    (
        Field("wing", "its zone", NAME_TYPE, required=True),
        Field("cell", "its cell", INTEGER_TYPE, required=True),
        Field("link", "the capacity of its link", RATE_TYPE, required=True),
        Field("places", "maximum number of streams", INTEGER_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "its name", "(node n1 (wing west) (cell 0) (link 24MB/s) (places 60))",
)  # fmt: skip
PLAN_SHARE_SCHEMA = Schema(
    "plan", "How many viewers request a plan, and how long they watch.",
    (
        Field("share", "share of new playbacks", NUMBER_TYPE, required=True),
        Field("life", "mean time that they watch", TIME_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "the plan's name",
)  # fmt: skip
VIEWERS_SCHEMA = Schema(
    "viewers", "When viewers arrive, and what they do.",
    (
        Field("rate", "new viewers per second", PACE_TYPE, required=True),
        Field("titles", "number of titles", INTEGER_TYPE, required=True, minimum=1),
        Field("zipf", "Zipf exponent of the popularity of titles", NUMBER_TYPE, 0.8),
        Field("returns", "share that requests again after a loss or a rejection", NUMBER_TYPE, 0.9),
        Field("back-after", "shortest and longest time before they do", TIME_TYPE, (SECOND, 2 * SECOND), max_values=2),
        Field("small-screens", "share that cannot use the upper rungs", NUMBER_TYPE, 0.2),
        Field("uneven", "how unevenly they choose fronts", NUMBER_TYPE, 0.3),
        Field("plan", PLAN_SHARE_SCHEMA.doc, subform=PLAN_SHARE_SCHEMA, is_repeatable=True, required=True),
    ),
)  # fmt: skip
FAULT_SCHEMA = Schema(
    "fault", "One fault.",
    (
        Field("at", "when it starts, from the start of the day", TIME_TYPE, required=True),
        Field("for", "how long it lasts", TIME_TYPE, 0),
        Field("on", "names of nodes or zones, or numbers of fronts", NAME_TYPE, (), max_values=10_000),
        Field("size", "its size", NUMBER_TYPE, 0.0),
        Field("extra", "its second parameter", NUMBER_TYPE, 0.0),
    ),
    choice_type("trouble", FAULTS), "its kind",
)  # fmt: skip
DAY_SCHEMA = Schema(
    "day", "A day to rehearse.",
    (
        Field("length", "how long viewers arrive", TIME_TYPE, required=True, minimum=1),
        Field("seed", "of all random draws", INTEGER_TYPE, 1),
        Field("fronts", "the zone of each front", NAME_TYPE, required=True, max_values=10_000),
        Field("late", "shortest and longest delay of the list service", TIME_TYPE, (SECOND, 2 * SECOND), max_values=2),
        Field("setup", "shortest and longest duration of a set-up", TIME_TYPE, (5 * MS, 20 * MS), max_values=2),
        Field("uplinks", "the capacity of the uplink of each rack", RATE_TYPE, (), max_values=10_000),
        Field("guard", "link load from which on a node answers that it is full; 0 for never", NUMBER_TYPE, 0.0),
        Field("peers", "whether fronts communicate with each other", choice_type("answer", ("yes", "no")), "no"),
        Field("keepers", "numbers of the fronts that grant leases", INTEGER_TYPE, (), max_values=7),
        Field("term", "duration of a lease", TIME_TYPE, 2 * SECOND, minimum=SECOND),
        Field("adopting", "whether fronts take over each other's sessions", choice_type("answer", ("yes", "no")), "no"),
        Field("probing", "whether fronts share the loads that nodes report", choice_type("answer", ("yes", "no")), "no"),
        Field("stall", "points of revenue lost for each point of the rate that is missing", NUMBER_TYPE, 7.0),
        Field("node", NODE_SCHEMA.doc, subform=NODE_SCHEMA, is_repeatable=True, required=True),
        Field("viewers", VIEWERS_SCHEMA.doc, subform=VIEWERS_SCHEMA, required=True),
        Field("fault", FAULT_SCHEMA.doc, subform=FAULT_SCHEMA, is_repeatable=True),
    ),
)  # fmt: skip
