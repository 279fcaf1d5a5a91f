"""Loads of nodes, asked by one front each and told to the others with their age.

A front hears of a node's load by its own traffic there, and of 200 nodes most fronts have traffic with few. So each node
has a line of the fronts that are there, by hash (rendezvous): the first tells the others what it knows of the node, and
asks the node where it knows nothing fresh; the second does so where nobody has for long. News goes from front to front as
a rumour (Demers and others 1987): each tells a few others what is new to it, a few times, with its age, which grows on
the way.

A figure belongs to one process of a node: its name on the wire is a digest of the node's name and start, so that none of
an earlier process comes to life. What is told is never more than another front's word; whoever uses it puts its own
first. Time and chance come in; nothing here sends.
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
FANOUT = 2
MOST_ROWS = 60  # on one message: what fits 1,400 octets
MOST_TIMES = 3  # rounds in which one figure is told on: six copies a front reach all but one in four hundred
MOST_AGE = 20 * SECOND  # older ones say nothing
MOST_ASKED = 64.0  # load of a link over what it gives; more is no load
FRESHER = 200 * MS  # by so much a figure must be newer to be news
A_SECOND = (
    36  # figures that the whole fleet brings up: with three rounds of each, what MOST_ROWS hold in a turn
)
AT_ONCE = 8  # nodes asked
SECOND_AFTER = 3  # times the interval after which the second in line asks
RANKS = 40  # lines reckoned a turn: 5 ms at 200 fronts
TRANSIT = 5 * MS  # on the way from front to front, as the wire tells no time that two clocks could compare
REFUSED_FOR = 60 * SECOND  # a node that does not know the question is left alone


def mark(node: str, started_at: int) -> bytes:
    """A node's process, as it goes over the wire: 8 octets."""
    word = f"{len(node)}:{node}{started_at}".encode()
    return hashlib.blake2b(word, digest_size=8, person=b"oakcroft-load").digest()


@dataclass(frozen=True)
class Row:
    """One figure on the wire. `asked`: of the link over what it gives; `age`: ns."""

    mark: bytes
    asked: float
    age: int


@dataclass
class Figure:
    """What is known of one node's load. `at`: when it was so, by this front's clock."""

    asked: float
    at: int
    rounds: int = 0  # it is still to be told on


@dataclass
class Place:
    """One node of the list."""

    name: str
    started_at: int
    mark: bytes
    figure: Figure | None = None
    rank: int | None = None
    ask_at: int = 0
    out: bool = False  # it is being asked


class Figures:
    """One front's part in it."""

    def __init__(self, me: str, every: int, rng: Random) -> None:
        self.me, self.every, self.rng = me, every, rng
        self.places: dict[str, Place] = {}
        self.marks: dict[bytes, Place] = {}
        self.present: list[str] = [me]
        self.unranked: list[Place] = []
        self.tell_at = 0
        self.asking = 0
        self.asks = self.refused = self.failed = self.taken = self.strange = 0

    # What is known.

    def listed(self, nodes: Mapping[str, int]) -> None:
        """The list: nodes and when their processes started. What was known of an earlier process goes."""
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
        """The fronts that are there, this one among them."""
        some = sorted({*present, self.me})
        if some != self.present:
            self.present = some
            self.unranked = list(self.places.values())

    def interval(self) -> int:
        """Between two figures of a node: as stated, or so that the fleet brings up no more than so many a second."""
        return max(self.every, len(self.places) * SECOND // A_SECOND)

    def own(self, node: str, asked: float, age: int, now: int, for_all: bool = False) -> None:
        """This front's own traffic, or its asking (`for_all`), has told of a node's load as it was `age` ago."""
        place = self.places.get(node)
        if place is None or not sound(asked) or not 0 <= age <= MOST_AGE:
            return
        before, at = place.figure, now - age
        if before is not None and before.at >= at:
            return
        # The first in line tells of it, at the fleet's interval; whoever else hears the same keeps it to itself.
        tells = for_all or (place.rank == 0 and now >= place.ask_at)
        place.figure = Figure(asked, at, self._rounds() if tells else before.rounds if before else 0)
        if tells:
            place.ask_at = now + self.interval()

    def heard(self, rows: Iterable[Row], now: int) -> list[tuple[str, float, int]]:
        """Another's word; what of it is news here: node, load, age. It is told on."""
        out = []
        for row in rows:
            place = self.marks.get(row.mark)
            if place is None:  # a node that this front's list does not have, or an earlier or later process
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

    # What is due.

    def _rank_some(self) -> None:
        """Who is in line for each node. Only the first two matter, so that reckoning stops at them."""
        for _ in range(min(RANKS, len(self.unranked))):
            place = self.unranked.pop()
            place.rank = rank(place.name, self.me, self.present, 2)

    def due(self, now: int) -> list[str]:
        """The nodes to be asked now."""
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
        """A node has told its load, or has not (None). `knows`: it understood the question, or did not answer."""
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
        """Whom to tell what now. What was told least comes first, then the freshest; the rest waits for the next turn."""
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
        """How old what is known of each node is, ns, in order; nodes of which nothing is known any more are left out."""
        some = (now - p.figure.at for p in self.places.values() if p.figure is not None)
        return sorted(age for age in some if age <= MOST_AGE)


def sound(asked: float) -> bool:
    """Whether a figure can be a load."""
    return math.isfinite(asked) and 0 <= asked <= MOST_ASKED
