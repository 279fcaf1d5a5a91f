"""What the users' figures leave open and the arithmetic needs, each with what changes if it is twice as large."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Assumption:
    """One assumed figure. `doubled` says which results change, and how, if it is twice as large."""

    name: str
    value: float
    unit: str
    why: str
    doubled: str


PLAYOUT_NODES = Assumption(
    "playout nodes",
    2_700,
    "nodes",
    "one for each front end, as in the largest fleet tried (200 and 200)",
    "lists, holder order and takeover cost twice as much a front; 5,400 nodes pass the list's bound of 4,096",
)
PEAK_OVER_MEAN = Assumption(
    "peak over mean",
    2.0,
    "times",
    "traffic of a day; the trial's bursts are half as much again",
    "arrivals and deliveries a front in the worst hour double; held sessions do not, they are stated",
)
SESSION_LENGTH_S = Assumption(
    "length of a session",
    1_800.0,
    "s",
    "half an hour, a lesson or an episode; the trial's sessions of 30 to 59 s are shortened for the bench",
    "arrivals a front halve",
)
CHANGE_OCTETS = Assumption(
    "octets of a change",
    1_000.0,
    "octets",
    "a title with four holders and three renditions is 114 octets in a catalogue; a route or a plan some hundreds",
    "what a distribution by differences would send doubles; today's does not change, whole texts travel",
)
CATALOGUE_TITLES = Assumption(
    "titles of the catalogue that a change is one of",
    170_000.0,
    "titles",
    "one for each shard of a topic; a rollout sends the whole text to each front, whatever has changed in it",
    "octets, processor time and memory of a change double",
)
BURST_OVER_MEAN = Assumption(
    "burst of changes over the mean",
    10.0,
    "times",
    "named by the users",
    "carried / needed of configuration distribution in a burst halves",
)
LARGEST_ZONE_OVER_MEAN = Assumption(
    "largest zone over the mean zone",
    2.0,
    "times",
    "zones are not equal; no figure is given",
    "the loss of the largest zone takes twice as many fronts and sessions with it",
)
LARGEST_REGION_OVER_MEAN = Assumption(
    "largest region over the mean region",
    1.5,
    "times",
    "regions are not equal; no figure is given",
    "the loss of a region takes twice as many fronts with it",
)
LARGEST_TOPIC_SKEW = Assumption(
    "largest topic's share of one front over the mean front",
    3.0,
    "times",
    "listeners gather in a few regions",
    "listeners of one event at the worst front double, and so does the time until the last has it",
)
FRONT_CORES = Assumption(
    "cores of a front end's process",
    1.0,
    "cores",
    "a front end is one process with one busy thread",
    "nothing today: a second core is not used by the process",
)
CONTROL_MACHINE_OCTETS_PER_S = Assumption(
    "network of a control machine",
    125_000_000.0,
    "octets/s",
    "1 Gbit/s",
    "what one control machine may send doubles",
)
WIDE_AREA_OCTETS_PER_S = Assumption(
    "control's part of one region's wide-area link",
    12_500_000.0,
    "octets/s",
    "100 Mbit/s; no figure is given",
    "the size at which wide-area links fill doubles",
)
COLD_BUDGET_USED = Assumption(
    "set-ups on a cold node, over those that one front end alone would send",
    0.5,
    "of it",
    "with less a replaced node is idle for most of its warm-up; no figure is given",
    "all of it is wanted, and two fronts that share a node already send less",
)
LEASES = Assumption(
    "leases held at once",
    42.0,
    "leases",
    "one for the fleet, one a region, one a zone; today there is one",
    "messages at each quorum member double",
)
REPORTS_EVERY_S = Assumption(
    "a node's reports on one session",
    3.0,
    "s apart",
    "stated by a deployment (reportsEveryMs); what the decisions are tried with",
    "reports a front halve",
)
TITLE_SKEW = Assumption(
    "exponent of the titles' popularity",
    0.73,
    "",
    "Zipf; with it the largest of 170,000 has the part of all listeners that the users name; the trial draws 0.7 to 0.91",
    "a few titles have nearly all listeners, and far fewer are in use at one front",
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
