"""Playbacks of fronts that will not come back: which nodes this front asks for them, when, and what it takes.

A playback's media runs between node and viewer and needs no front; without one the node ends it with its lease. So where
the view says that a front is gone, the living ask the nodes for what it held. Each pair of dead front and node has a line
of the living, by hash (rendezvous): the first three ask, take a third each, and a little later what is left; nodes hand
each session to one (holding.py), so that two who ask do no harm. All of it is bounded: pairs looked at a turn, errands at
once, hashes a turn, playbacks taken. A front's own earlier life is one of the dead, of which it is always first in line.

Time comes in with each call; nothing here sends.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.fleet.holding import Word
from oakcroft.decisions.membership.rendezvous import line, weight
from oakcroft.interface import MS, SECOND

IN_LINE = 3
STEP = SECOND  # between the rounds: an errand that works takes some tens of ms
AGAIN = 400 * MS  # after a node that could not say, or is to be asked once more
AT_ONCE = 24  # errands: with 140 of 200 fronts dead a node then has some hundred of them a second
MOST_NAMES = 16  # dead fronts named in one errand
MOST_PAIRS = 65_536  # of dead fronts and nodes; what is over is left to its lease
SCAN = 400  # pairs looked at a turn
KEYS = 12  # lines reckoned a turn: 2 ms at 200 fronts
SLOTS = 4  # lines a node, so that the playbacks of many dead fronts on one node go to more than three


@dataclass(frozen=True)
class Bounds:
    """What a site allows. Times in ns."""

    after: int  # from when a front is seen as gone
    lease: int  # asked of nodes
    most: int  # playbacks adopted and still held


class Why(Enum):
    """Why an offered playback is left."""

    TAKES = "takes it"
    UNKNOWN_PLAN = "no such plan here"
    NO_TITLE = "its title has no place here"
    NO_SEAT = "its seats are taken"
    FULL = "this front holds as many as it may"
    HELD = "it is held here already"
    UNREADABLE = "its memo can't be read"


@dataclass
class Dead:
    """A front whose playbacks may be taken over."""

    name: str
    since: int
    until: int
    slot: int
    asking: set[str] = field(default_factory=set)  # nodes that are still to be asked, or are being asked
    taken: int = 0
    left: Counter[str] = field(default_factory=Counter)


@dataclass
class Pair:
    """What one dead front held on one node. `rank`: this front's place among `width` that ask; in its first round it
    takes its own share of the sessions, in the second all that are left."""

    dead: Dead
    node: str
    at: int
    second: bool = False
    rank: int = 0
    width: int = 1

    def shares(self, session: str) -> bool:
        """Whether a session is this front's to take in this round."""
        return self.second or weight("session", session) % self.width == self.rank


@dataclass(frozen=True)
class Errand:
    """A node to be asked for what these hold there."""

    node: str
    pairs: tuple[Pair, ...]

    @property
    def names(self) -> list[str]:
        """The dead fronts to ask for."""
        return [p.dead.name for p in self.pairs]

    def shares(self, name: str, session: str) -> bool:
        """Whether a session of a dead front is this front's to take now."""
        return any(p.dead.name == name and p.shares(session) for p in self.pairs)


class Adopting:
    """The course of one front's taking over."""

    def __init__(self, me: str, bounds: Bounds) -> None:
        self.me, self.bounds = me, bounds
        self.dead: dict[str, Dead] = {}
        self.nodes: set[str] = set()
        self.present: frozenset[str] = frozenset()
        self.known: set[str] = set()
        self.before: dict[tuple[str, int], tuple[str, ...]] = {}  # those before this front in a line
        self.ranks: dict[tuple[str, int], int] = {}  # this front's, among those present
        self.pairs: deque[Pair] = deque()
        self.busy: dict[str, Errand] = {}  # by node
        self.passed_over = 0  # pairs that had no place

    # What is known.

    def sees(self, gone: Collection[str], present: Iterable[str], now: int) -> list[Dead]:
        """The view has changed; those that are over with it: back, or forgotten."""
        self.present = frozenset(present)
        self.ranks.clear()
        if not self.present <= self.known:
            self.known |= self.present
            self.before.clear()
        over = [d for name, d in self.dead.items() if name not in gone and name != self.me]
        for d in over:
            del self.dead[d.name]
        for name in sorted(set(gone) - set(self.dead) - {self.me}):
            self._die(name, now, self.bounds.after)
        if len(self.known) > 4 * max(64, len(self.present) + len(gone)):
            self.known = set(self.present) | set(gone)  # names that come and go leave nothing behind
            self.before.clear()
        return over

    def earlier_life(self, now: int) -> None:
        """This front has no record of its earlier lives: what they held is its to ask for."""
        self._die(self.me, now, 0)

    def _die(self, name: str, now: int, after: int) -> None:
        slot = weight("slot", name) % SLOTS
        self.dead[name] = dead = Dead(name, now, now + after + self.bounds.lease + 2 * STEP, slot)
        for node in sorted(self.nodes):
            self._pair(dead, node, now + after)

    def _pair(self, dead: Dead, node: str, at: int, second: bool = False) -> None:
        if len(self.pairs) >= MOST_PAIRS:
            self.passed_over += 1
            dead.asking.discard(node)
            return
        dead.asking.add(node)
        self.pairs.append(Pair(dead, node, at, second))

    def listed(self, nodes: Iterable[str], now: int) -> None:
        """The list of nodes has changed."""
        some = set(nodes)
        for node in sorted(some - self.nodes):
            for dead in self.dead.values():
                if (
                    now < dead.until and node not in dead.asking
                ):  # it may have left the list for a moment only
                    self._pair(dead, node, now)
        self.nodes = some

    # What is due.

    def _rank(self, node: str, slot: int, may: list[int]) -> int | None:
        """How many of the living are before this front; None where that is for a later turn to reckon."""
        rank = self.ranks.get((node, slot))
        if rank is not None:
            return rank
        before = self.before.get((node, slot))
        if before is None:
            if not may[0]:
                return None
            may[0] -= 1
            all_ = line(f"{node}/{slot}", self.known | {self.me})
            before = self.before[node, slot] = tuple(all_[: all_.index(self.me)])
        rank = 0
        for f in before:
            if f in self.present:
                rank += 1
                if rank >= IN_LINE:
                    break
        self.ranks[node, slot] = rank
        return rank

    def due(self, now: int) -> list[Errand]:
        """The errands to begin now. A turn costs the same however many fronts have died."""
        errands: dict[str, list[Pair]] = {}
        may, later = [KEYS], list[Pair]()
        for _ in range(min(SCAN, len(self.pairs))):
            pair = self.pairs.popleft()
            dead, node = pair.dead, pair.node
            if self.dead.get(dead.name) is not dead or node not in self.nodes or now >= dead.until:
                dead.asking.discard(node)
                continue
            if now >= pair.at and node not in self.busy and self._turn(pair, now, may):
                some = errands.get(node)
                if some is None and len(self.busy) + len(errands) < AT_ONCE:
                    errands[node] = [pair]
                    continue
                if some is not None and len(some) < MOST_NAMES:
                    some.append(pair)
                    continue
            later.append(pair)
        self.pairs.extend(later)
        out = []
        for node, some in errands.items():
            self.busy[node] = errand = Errand(node, tuple(some))
            out.append(errand)
        return out

    def _turn(self, pair: Pair, now: int, may: list[int]) -> bool:
        if pair.dead.name == self.me:
            return True
        rank = self._rank(pair.node, pair.dead.slot, may)
        if rank is None or rank >= IN_LINE:
            return False
        pair.rank, pair.width = rank, max(1, min(IN_LINE, len(self.present)))
        return True

    def asked(self, errand: Errand, told: Mapping[str, Word] | None, now: int) -> None:
        """An errand is over. `told`: what the node said of each; None: it could not be asked."""
        self.busy.pop(errand.node, None)
        for pair in errand.pairs:
            dead = pair.dead
            dead.asking.discard(errand.node)
            if self.dead.get(dead.name) is not dead or now >= dead.until:
                continue
            word = told.get(dead.name, Word.OLDER) if told is not None else Word.SOON
            if word is Word.AWAY:
                if not pair.second and dead.name != self.me:
                    self._pair(dead, errand.node, now + STEP, second=True)
            elif word is not Word.OLDER:
                self._pair(dead, errand.node, now + AGAIN, pair.second)

    def finished(self, now: int) -> list[Dead]:
        """Those of whom nothing is left to ask, each told once; they stay known, so that they are not begun anew."""
        known = bool(self.nodes)  # before the first list nothing can have been asked
        out = [d for d in self.dead.values() if d.until and ((known and not d.asking) or now >= d.until)]
        for d in out:
            d.until = 0
        return out
