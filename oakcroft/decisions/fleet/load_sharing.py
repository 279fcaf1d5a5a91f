"""Node loads, each probed by one front and gossiped to the others with their age.

A front learns the load of a node from its own traffic there, and of 200 nodes most fronts have traffic with only a few.
Rendezvous hashing therefore orders the present fronts for each node. The first front reports what it knows of the node
to the others, and probes the node when it has no recent load. The second front takes over when no report has come for
several intervals. Reports spread by rumour mongering (Demers et al. 1987): each front passes a report that is new to it
on to a few others, a few times, and its age grows on the way.

A report belongs to one process of a node: the wire names it by a digest of the node's name and start time, so that no
load of an earlier process is used. A front prefers what its own traffic shows over any report. Time and random numbers
are passed in, and nothing here sends messages.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from oakcroft.decisions.membership.rendezvous import rank
from oakcroft.interface import MS, SECOND

GOSSIP_INTERVAL = 500 * MS
"""Time between the gossip messages of one front."""

GOSSIP_FANOUT = 2
"""Fronts that receive each gossip message."""

MAX_REPORTS_PER_MESSAGE = 60
"""Reports in one message, as many as fit into 1,400 octets."""

MAX_GOSSIP_ROUNDS = 3
"""Rounds in which a report is passed on: six copies from each front reach all but one front in four hundred."""

MAX_REPORT_AGE = 20 * SECOND
"""Older reports are ignored."""

MAX_LOAD = 64.0
"""The highest load (demand on a link over its capacity) that is taken for valid."""

MIN_FRESHNESS_GAIN = 200 * MS
"""A report replaces the known load only if it is newer by this much."""

MAX_FLEET_REPORTS_PER_SECOND = 36
"""Reports that the whole fleet originates each second: at three rounds each, what MAX_REPORTS_PER_MESSAGE can carry."""

MAX_CONCURRENT_PROBES = 8
"""Nodes that one front probes at the same time."""

BACKUP_PROBE_INTERVALS = 3
"""Intervals without a report after which the second front probes a node."""

MAX_PROBE_RANK = 2
"""Stands for all later places in a node's rendezvous order: only the first two fronts probe a node."""

MAX_RANKS_PER_TURN = 40
"""Rendezvous ranks computed in one turn; they take 5 ms at 200 fronts."""

TRANSIT_TIME = 5 * MS
"""Assumed transit time of a report: messages carry no time that two clocks could compare."""

UNSUPPORTED_PROBE_PAUSE = 60 * SECOND
"""How long a node that does not know the probe request is not probed."""


def process_id(node: str, started_at: int) -> bytes:
    """Returns the 8-octet name of a node's process on the wire. `started_at` in ns."""
    text = f"{len(node)}:{node}{started_at}".encode()
    return hashlib.blake2b(text, digest_size=8, person=b"oakcroft-load").digest()


@dataclass(frozen=True)
class LoadReport:
    """The load of one node in a message."""

    process_id: bytes
    """Digest of the node's process, see `process_id`."""

    load: float
    """Demand on the node's link over its capacity."""

    age: int
    """In ns."""


@dataclass
class KnownLoad:
    """The last known load of one node."""

    load: float
    """Demand on the node's link over its capacity."""

    measured_at: int
    """When the node had this load, in ns by this front's clock."""

    rounds_left: int = 0
    """Gossip rounds in which it is still to be sent."""


@dataclass
class NodeLoad:
    """One listed node. Times in ns."""

    name: str
    started_at: int
    process_id: bytes
    """Digest of the node's process, see `process_id`."""

    latest: KnownLoad | None = None
    """The last known load; None where none is known."""

    probe_rank: int | None = None
    """This front's place in the node's rendezvous order, at most MAX_PROBE_RANK; None until it is computed."""

    next_probe_at: int = 0
    """No probe is due before this time."""

    is_being_probed: bool = False
    """Whether a probe of this front is in flight."""


class LoadSharing:
    """Load sharing of one front: which nodes to probe, and which reports to send to which fronts."""

    def __init__(self, own_name: str, probe_interval: int, rng: Random) -> None:
        """`own_name` is this front's name, `probe_interval` the configured time between two reports of a node in ns."""
        self.own_name = own_name
        self.probe_interval = probe_interval
        self.rng = rng
        self.nodes: dict[str, NodeLoad] = {}
        self.by_process_id: dict[bytes, NodeLoad] = {}
        self.present_fronts: list[str] = [own_name]
        self.unranked_nodes: list[NodeLoad] = []
        self.next_gossip_at = 0
        self.probes_in_flight = 0
        self.probes_sent = 0
        self.probes_unsupported = 0
        self.probes_failed = 0
        self.reports_accepted = 0
        self.reports_discarded = 0

    # Updates.

    def update_nodes(self, nodes: Mapping[str, int]) -> None:
        """Sets the listed nodes and their start times in ns. The loads of earlier processes are dropped."""
        for node in [node for node in self.nodes.values() if nodes.get(node.name) != node.started_at]:
            del self.nodes[node.name]
            del self.by_process_id[node.process_id]
            self.probes_in_flight -= node.is_being_probed
        for name, started_at in nodes.items():
            if name not in self.nodes:
                self.nodes[name] = node = NodeLoad(name, started_at, process_id(name, started_at))
                self.by_process_id[node.process_id] = node
                self.unranked_nodes.append(node)

    def update_present_fronts(self, present_fronts: Iterable[str]) -> None:
        """Sets the fronts that are alive; this one always counts among them."""
        present = sorted({*present_fronts, self.own_name})
        if present != self.present_fronts:
            self.present_fronts = present
            self.unranked_nodes = list(self.nodes.values())

    def effective_interval(self) -> int:
        """Returns the time between two reports of a node in ns.

        It is the configured one, or longer where the fleet would originate more than MAX_FLEET_REPORTS_PER_SECOND.
        """
        return max(self.probe_interval, len(self.nodes) * SECOND // MAX_FLEET_REPORTS_PER_SECOND)

    def record_own_load(self, node: str, load: float, age: int, now: int, from_probe: bool = False) -> None:
        """Records a load, `age` ns old, that this front's own traffic or (`from_probe`) its probe has shown."""
        known_node = self.nodes.get(node)
        if known_node is None or not is_valid_load(load) or not 0 <= age <= MAX_REPORT_AGE:
            return
        previous = known_node.latest
        measured_at = now - age
        if previous is not None and previous.measured_at >= measured_at:
            return
        # Only the first front of the node's order reports what its traffic shows, once in an interval.
        is_reported = from_probe or (known_node.probe_rank == 0 and now >= known_node.next_probe_at)
        kept_rounds = previous.rounds_left if previous is not None else 0
        rounds_left = self._gossip_rounds() if is_reported else kept_rounds
        known_node.latest = KnownLoad(load, measured_at, rounds_left)
        if is_reported:
            known_node.next_probe_at = now + self.effective_interval()

    def receive_reports(self, reports: Iterable[LoadReport], now: int) -> list[tuple[str, float, int]]:
        """Takes the reports of another front. Returns those that are new here as (node, load, age in ns).

        New reports are passed on to other fronts in the next rounds.
        """
        new_loads = []
        for report in reports:
            node = self.by_process_id.get(report.process_id)
            if node is None:  # a node or a process that this front's list does not have
                self.reports_discarded += 1
                continue
            age = report.age + TRANSIT_TIME
            if not is_valid_load(report.load) or not 0 <= report.age <= MAX_REPORT_AGE:
                self.reports_discarded += 1
                continue
            measured_at = now - age
            previous = node.latest
            if previous is not None and measured_at < previous.measured_at + MIN_FRESHNESS_GAIN:
                continue
            node.latest = KnownLoad(report.load, measured_at, self._gossip_rounds())
            node.next_probe_at = max(node.next_probe_at, measured_at + self.effective_interval())
            self.reports_accepted += 1
            new_loads.append((node.name, report.load, age))
        return new_loads

    def _gossip_rounds(self) -> int:
        if not self._has_others():
            return 0
        return min(MAX_GOSSIP_ROUNDS, 1 + math.ceil(math.log(len(self.present_fronts), 1 + GOSSIP_FANOUT)))

    def _has_others(self) -> bool:
        """Returns whether another front is present."""
        return len(self.present_fronts) > 1

    # Due actions.

    def _compute_ranks(self) -> None:
        """Computes some of the missing ranks. Only the first two places matter, so counting stops after them."""
        for _ in range(min(MAX_RANKS_PER_TURN, len(self.unranked_nodes))):
            node = self.unranked_nodes.pop()
            node.probe_rank = rank(node.name, self.own_name, self.present_fronts, MAX_PROBE_RANK)

    def due_probes(self, now: int) -> list[str]:
        """Returns the nodes to probe now; `probe_finished` must be called for each."""
        self._compute_ranks()
        due = []
        for node in self.nodes.values():
            if self.probes_in_flight >= MAX_CONCURRENT_PROBES:
                break
            if node.probe_rank not in (0, 1) or node.is_being_probed:
                continue
            backup_delay = node.probe_rank * (BACKUP_PROBE_INTERVALS - 1) * self.effective_interval()
            is_fresh = (
                node.latest is not None
                and now - node.latest.measured_at < self.effective_interval() + backup_delay
            )
            if not is_fresh and now >= node.next_probe_at + backup_delay:
                node.is_being_probed = True
                self.probes_in_flight += 1
                self.probes_sent += 1
                due.append(node.name)
        return due

    def probe_finished(self, node: str, load: float | None, is_supported: bool, now: int) -> None:
        """Takes the result of a probe: the load, or None where the node did not give it.

        `is_supported` is False where the node did not know the request, True also where it did not answer.
        """
        known_node = self.nodes.get(node)
        if known_node is None or not known_node.is_being_probed:
            return
        known_node.is_being_probed = False
        self.probes_in_flight -= 1
        if load is not None:
            self.record_own_load(node, load, 0, now, from_probe=True)
        elif is_supported:
            self.probes_failed += 1
        else:
            self.probes_unsupported += 1
        known_node.next_probe_at = now + (
            self.effective_interval() if is_supported else UNSUPPORTED_PROBE_PAUSE
        )

    def due_messages(self, now: int) -> list[tuple[str, list[LoadReport]]]:
        """Returns the gossip messages to send now as (front, reports).

        Reports with the most rounds left come first, then the newest; what does not fit waits for the next turn.
        """
        if now < self.next_gossip_at or not self._has_others():
            return []
        self.next_gossip_at = now + GOSSIP_INTERVAL
        pending = [
            (node.process_id, node.latest)
            for node in self.nodes.values()
            if node.latest is not None
            and node.latest.rounds_left > 0
            and now - node.latest.measured_at <= MAX_REPORT_AGE
        ]
        pending.sort(key=lambda entry: (-entry[1].rounds_left, -entry[1].measured_at))
        reports = []
        for reported_process, known in pending[:MAX_REPORTS_PER_MESSAGE]:
            known.rounds_left -= 1
            reports.append(LoadReport(reported_process, known.load, now - known.measured_at))
        if not reports:
            return []
        others = [front for front in self.present_fronts if front != self.own_name]
        receivers = self.rng.sample(others, min(GOSSIP_FANOUT, len(others)))
        return [(receiver, reports) for receiver in receivers]

    def known_ages(self, now: int) -> list[int]:
        """Returns the ages of the known loads in ns, ascending; loads older than MAX_REPORT_AGE are left out."""
        ages = (now - node.latest.measured_at for node in self.nodes.values() if node.latest is not None)
        return sorted(age for age in ages if age <= MAX_REPORT_AGE)


def is_valid_load(load: float) -> bool:
    """Returns whether a number can be a load."""
    return math.isfinite(load) and 0 <= load <= MAX_LOAD
