"""Node loads, each probed by one front and gossiped to the others with their age.

A front learns the load of a node from its own traffic there, and of 200 nodes most fronts have traffic with only a few.
Rendezvous hashing therefore orders the present fronts for each node. The first front reports what it knows of the node
to the others, and probes the node when it has no recent load. The second front takes over when no report has come for
several intervals. Reports spread by rumour mongering (Demers et al. 1987): each front passes a report that is new to it
on to a few others, a few times, and its age grows on the way.

A report belongs to one process of a node: the wire names it by a digest of the node's name and start time, so that no
load of an earlier process is used. A front prefers what its own traffic tells over any report. Time and random numbers
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

TELL_EVERY = 500 * MS
"""Time between the gossip messages of one front."""

FANOUT = 2
"""Fronts that receive each gossip message."""

MOST_ROWS = 60
"""Reports in one message, as many as fit into 1,400 octets."""

MOST_TIMES = 3
"""Rounds in which a report is passed on: six copies from each front reach all but one front in four hundred."""

MOST_AGE = 20 * SECOND
"""Older reports are ignored."""

MOST_ASKED = 64.0
"""The highest load (demand on a link over its capacity) that is taken for valid."""

FRESHER = 200 * MS
"""A report replaces the known load only if it is newer by this much."""

A_SECOND = 36
"""Reports that the whole fleet originates each second: at three rounds each, what MAX_REPORTS_PER_MESSAGE can carry."""

AT_ONCE = 8
"""Nodes that one front probes at the same time."""

SECOND_AFTER = 3
"""Intervals without a report after which the second front probes a node."""

RANKS = 40
"""Rendezvous ranks computed in one turn; they take 5 ms at 200 fronts."""

TRANSIT = 5 * MS
"""Assumed transit time of a report: messages carry no time that two clocks could compare."""

REFUSED_FOR = 60 * SECOND
"""How long a node that does not know the probe request is not probed."""


def mark(node: str, started_at: int) -> bytes:
    """Returns the 8-octet name of a node's process on the wire. `started_at` in ns."""
    word = f"{len(node)}:{node}{started_at}".encode()
    return hashlib.blake2b(word, digest_size=8, person=b"oakcroft-load").digest()


@dataclass(frozen=True)
class Row:
    """The load of one node in a message."""

    mark: bytes
    """Digest of the node's process, see `process_id`."""

    asked: float
    """Demand on the node's link over its capacity."""

    age: int
    """In ns."""


@dataclass
class Figure:
    """The last known load of one node."""

    asked: float
    """Demand on the node's link over its capacity."""

    at: int
    """When the node had this load, in ns by this front's clock."""

    rounds: int = 0
    """Gossip rounds in which it is still to be sent."""


@dataclass
class Place:
    """One listed node. Times in ns."""

    name: str
    started_at: int
    mark: bytes
    """Digest of the node's process, see `process_id`."""

    figure: Figure | None = None
    """The last known load; None where none is known."""

    rank: int | None = None
    """This front's place in the node's rendezvous order, 2 for all later places; None until it is computed."""

    ask_at: int = 0
    """No probe is due before this time."""

    out: bool = False
    """Whether a probe of this front is in flight."""


class Figures:
    """Load sharing of one front: which nodes to probe, and what to send to whom."""

    def __init__(self, me: str, every: int, rng: Random) -> None:
        """`me` is this front's name, `every` the configured time between two reports of a node in ns."""
        self.me, self.every, self.rng = me, every, rng
        self.places: dict[str, Place] = {}
        self.marks: dict[bytes, Place] = {}
        self.present: list[str] = [me]
        self.unranked: list[Place] = []
        self.tell_at = 0
        self.asking = 0
        self.asks = self.refused = self.failed = self.taken = self.strange = 0

    # Updates.

    def listed(self, nodes: Mapping[str, int]) -> None:
        """Sets the listed nodes and their start times in ns. The loads of earlier processes are dropped."""
        for name in [n for n, p in self.places.items() if nodes.get(n) != p.started_at]:
            place = self.places.pop(name)
            del self.marks[place.mark]
            self.asking -= place.out
        for name, started_at in nodes.items():
            if name not in self.places:
                self.places[name] = place = Place(name, started_at, mark(name, started_at))
                self.marks[place.mark] = place
                self.unranked.append(place)

    def sees(self, present: Iterable[str]) -> None:
        """Sets the fronts that are alive; this one always counts among them."""
        some = sorted({*present, self.me})
        if some != self.present:
            self.present = some
            self.unranked = list(self.places.values())

    def interval(self) -> int:
        """Returns the time between two reports of a node in ns.

        It is the configured one, or longer where the fleet would originate more than MAX_FLEET_REPORTS_PER_SECOND.
        """
        return max(self.every, len(self.places) * SECOND // A_SECOND)

    def own(self, node: str, asked: float, age: int, now: int, for_all: bool = False) -> None:
        """Records a load, `age` ns old, that this front's own traffic or (`from_probe`) its probe has shown."""
        place = self.places.get(node)
        if place is None or not sound(asked) or not 0 <= age <= MOST_AGE:
            return
        before, at = place.figure, now - age
        if before is not None and before.at >= at:
            return
        # Only the first front of the node's order reports what its traffic shows, once in an interval.
        tells = for_all or (place.rank == 0 and now >= place.ask_at)
        place.figure = Figure(asked, at, self._rounds() if tells else before.rounds if before else 0)
        if tells:
            place.ask_at = now + self.interval()

    def heard(self, rows: Iterable[Row], now: int) -> list[tuple[str, float, int]]:
        """Takes the reports of another front. Returns those that are new here as (node, load, age in ns).

        New reports are passed on to other fronts in the next rounds.
        """
        out = []
        for row in rows:
            place = self.marks.get(row.mark)
            if place is None:  # a node or a process that this front's list does not have
                self.strange += 1
                continue
            age = row.age + TRANSIT
            if not sound(row.asked) or not 0 <= row.age <= MOST_AGE:
                self.strange += 1
                continue
            at, before = now - age, place.figure
            if before is not None and at < before.at + FRESHER:
                continue
            place.figure = Figure(row.asked, at, self._rounds())
            place.ask_at = max(place.ask_at, at + self.interval())
            self.taken += 1
            out.append((place.name, row.asked, age))
        return out

    def _rounds(self) -> int:
        return (
            min(MOST_TIMES, 1 + math.ceil(math.log(len(self.present), 1 + FANOUT)))
            if len(self.present) > 1
            else 0
        )

    # Due actions.

    def _rank_some(self) -> None:
        """Computes some of the missing ranks. Only the first two places matter, so counting stops at 2."""
        for _ in range(min(RANKS, len(self.unranked))):
            place = self.unranked.pop()
            place.rank = rank(place.name, self.me, self.present, 2)

    def due(self, now: int) -> list[str]:
        """Returns the nodes to probe now; `probe_finished` must be called for each."""
        self._rank_some()
        out = []
        for place in self.places.values():
            if self.asking >= AT_ONCE:
                break
            if place.rank not in (0, 1) or place.out:
                continue
            late = place.rank * (SECOND_AFTER - 1) * self.interval()
            fresh = place.figure is not None and now - place.figure.at < self.interval() + late
            if not fresh and now >= place.ask_at + late:
                place.out = True
                self.asking += 1
                self.asks += 1
                out.append(place.name)
        return out

    def asked(self, node: str, asked: float | None, knows: bool, now: int) -> None:
        """Takes the result of a probe: the load, or None where the node did not tell it.

        `is_supported` is False where the node did not know the request, True also where it did not answer.
        """
        place = self.places.get(node)
        if place is None or not place.out:
            return
        place.out = False
        self.asking -= 1
        if asked is not None:
            self.own(node, asked, 0, now, for_all=True)
        elif knows:
            self.failed += 1
        else:
            self.refused += 1
        place.ask_at = now + (self.interval() if knows else REFUSED_FOR)

    def tells(self, now: int) -> list[tuple[str, list[Row]]]:
        """Returns the gossip messages to send now as (front, reports).

        Reports with the most rounds left come first, then the newest; what does not fit waits for the next turn.
        """
        if now < self.tell_at or len(self.present) < 2:
            return []
        self.tell_at = now + TELL_EVERY
        news = [p for p in self.places.values() if p.figure is not None and p.figure.rounds > 0]
        news = [p for p in news if p.figure is not None and now - p.figure.at <= MOST_AGE]
        news.sort(key=lambda p: (-p.figure.rounds, -p.figure.at) if p.figure is not None else (0, 0))
        rows = []
        for place in news[:MOST_ROWS]:
            assert place.figure is not None
            place.figure.rounds -= 1
            rows.append(Row(place.mark, place.figure.asked, now - place.figure.at))
        if not rows:
            return []
        others = [f for f in self.present if f != self.me]
        return [(to, rows) for to in self.rng.sample(others, min(FANOUT, len(others)))]

    def ages(self, now: int) -> list[int]:
        """Returns the ages of the known loads in ns, ascending; loads older than MAX_REPORT_AGE are left out."""
        some = (now - p.figure.at for p in self.places.values() if p.figure is not None)
        return sorted(age for age in some if age <= MOST_AGE)


def sound(asked: float) -> bool:
    """Returns whether a number can be a load."""
    return math.isfinite(asked) and 0 <= asked <= MOST_ASKED
