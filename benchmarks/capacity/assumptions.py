"""Assumed figures that the capacity model needs and the users did not state, each with the effect of doubling it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Assumption:
    """An assumed figure. `effect_if_doubled` says which results change, and how, if it is twice as large."""

    name: str
    value: float
    unit: str
    reason: str
    effect_if_doubled: str


PLAYOUT_NODES = Assumption(
    "playout nodes",
    2_700,
    "nodes",
    "one for each front end, as in the largest fleet tested (200 and 200)",
    "node lists, holder order and takeover cost each front twice as much; 5,400 exceed the list's limit of 4,096",
)
PEAK_OVER_MEAN = Assumption(
    "peak over mean load",
    2.0,
    "times",
    "daily variation of traffic; the bursts in the whole fleet's test are 1.5 times the mean",
    "set-ups and deliveries per front in the worst hour double; held sessions do not, as they are given",
)
SESSION_LENGTH_S = Assumption(
    "session length",
    1_800.0,
    "s",
    "half an hour, a lesson or an episode; the test's sessions of 30 to 59 s are shortened for the bench",
    "set-ups per front halve",
)
CHANGE_OCTETS = Assumption(
    "size of a change",
    1_000.0,
    "octets",
    "a title with four holders and three renditions takes 114 octets in a catalogue, a route or a plan a few hundred",
    "a distribution of differences would send twice as much; today's sends whole catalogues and does not change",
)
CATALOGUE_TITLES = Assumption(
    "titles in the catalogue",
    170_000.0,
    "titles",
    "one for each topic shard; a rollout sends the whole catalogue to each front, whatever has changed in it",
    "octets, CPU time and memory of a change double",
)
BURST_OVER_MEAN = Assumption(
    "burst of changes over mean rate",
    10.0,
    "times",
    "given by the users",
    "carried / needed of configuration distribution in a burst halves",
)
LARGEST_ZONE_OVER_MEAN = Assumption(
    "largest zone over mean zone",
    2.0,
    "times",
    "zones differ in size; no figure is given",
    "the loss of the largest zone affects twice as many fronts and sessions",
)
LARGEST_REGION_OVER_MEAN = Assumption(
    "largest region over mean region",
    1.5,
    "times",
    "regions differ in size; no figure is given",
    "the loss of a region affects twice as many fronts",
)
LARGEST_TOPIC_SKEW = Assumption(
    "largest topic's listeners at the worst front over the mean front",
    3.0,
    "times",
    "listeners are concentrated in a few regions",
    "listeners of one event at the worst front double, and so does the time until the last of them receives it",
)
FRONT_CORES = Assumption(
    "cores used by a front end process",
    1.0,
    "cores",
    "a front end is one process with one busy thread",
    "nothing today: the process does not use a second core",
)
CONTROL_MACHINE_OCTETS_PER_S = Assumption(
    "network of a control machine",
    125_000_000.0,
    "octets/s",
    "1 Gbit/s",
    "one control machine may send twice as much",
)
WIDE_AREA_OCTETS_PER_S = Assumption(
    "share of one region's wide-area link for control traffic",
    12_500_000.0,
    "octets/s",
    "100 Mbit/s; no figure is given",
    "the fleet size at which wide-area links are saturated doubles",
)
COLD_BUDGET_USED = Assumption(
    "set-ups on a cold node over those that a single front end would send",
    0.5,
    "",
    "with less, a replaced node is idle for most of its warm-up; no figure is given",
    "the whole budget is required, and two fronts that share a node already send less",
)
LEASES = Assumption(
    "leases held at once",
    42.0,
    "leases",
    "one for the fleet, one per region, one per zone; today there is one",
    "messages at each quorum member double",
)
REPORTS_EVERY_S = Assumption(
    "interval of a node's reports on one session",
    3.0,
    "s",
    "set by a deployment (reportsEveryMs); the value that the decisions are tested with",
    "reports per front halve",
)
TITLE_SKEW = Assumption(
    "Zipf exponent of the titles' popularity",
    0.73,
    "",
    "the largest of 170,000 titles then has the share of all listeners that the users give; the test draws 0.7 to 0.91",
    "a few titles have nearly all listeners, and far fewer titles are in use at one front",
)

ASSUMPTIONS = (
    PLAYOUT_NODES,
    PEAK_OVER_MEAN,
    SESSION_LENGTH_S,
    CHANGE_OCTETS,
    CATALOGUE_TITLES,
    BURST_OVER_MEAN,
    LARGEST_ZONE_OVER_MEAN,
    LARGEST_REGION_OVER_MEAN,
    LARGEST_TOPIC_SKEW,
    FRONT_CORES,
    CONTROL_MACHINE_OCTETS_PER_S,
    WIDE_AREA_OCTETS_PER_S,
    COLD_BUDGET_USED,
    LEASES,
    REPORTS_EVERY_S,
    TITLE_SKEW,
)
