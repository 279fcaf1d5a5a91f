"""Takeover of the sessions of failed fronts: which nodes this front asks for them, when, and for which sessions.

The media of a playback flows between node and viewer without a front, but the node ends it when the front's lease runs
out. So when the membership shows a front as failed, the others ask the nodes for its sessions. For each pair of failed
front and node, rendezvous hashing orders the present fronts: the first three ask and take a third each, and a little
later they ask for what is left. A node gives each session to one front only (session_ownership.py), so requests of
several fronts do no harm. All work is bounded: tasks looked at in a turn, requests in flight, hashes in a turn, and
sessions taken over. An earlier process of this front counts as a failed front for which this front is always first.

Time is passed in with each call, and nothing here sends messages.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.fleet.session_ownership import Word
from oakcroft.decisions.membership.rendezvous import line, weight
from oakcroft.interface import MS, SECOND

IN_LINE = 3
"""Fronts that ask one node for the sessions of one failed front."""

STEP = SECOND
"""Time between the two rounds of requests; a successful request takes some tens of ms."""

AGAIN = 400 * MS
"""Delay before a node that could not be reached, or refused for now, is asked again."""

AT_ONCE = 24
"""Requests in flight: with 140 of 200 fronts failed, a node then gets about a hundred requests a second."""

MOST_NAMES = 16
"""Failed fronts in one request."""

MOST_PAIRS = 65_536
"""Pairs of failed front and node that are queued; the sessions of further pairs end with their lease."""

SCAN = 400
"""Tasks looked at in one turn."""

KEYS = 12
"""Rendezvous orders computed in one turn; they take 2 ms at 200 fronts."""

SLOTS = 4
"""Rendezvous orders of each node, so that the sessions of many failed fronts on one node go to more than three fronts."""


@dataclass(frozen=True)
class Bounds:
    """Configured bounds of takeovers. Times in ns."""

    after: int
    """Delay after a front is seen as failed."""

    lease: int
    """Lease that fronts ask nodes for."""

    most: int
    """Playbacks taken over that one front may hold at a time."""


class Why(Enum):
    """Whether an offered session is taken over, or why not; operators read the values."""

    TAKES = "takes it"
    UNKNOWN_PLAN = "no such plan here"
    NO_TITLE = "its title has no place here"
    NO_SEAT = "its seats are taken"
    FULL = "this front holds as many as it may"
    HELD = "it is held here already"
    UNREADABLE = "its memo can't be read"


@dataclass
class Dead:
    """A front whose sessions may be taken over. Times in ns."""

    name: str
    since: int
    """When this front saw it as failed."""

    until: int
    """When nodes have ended its sessions; 0 once the takeover has been reported as finished."""

    slot: int
    """Which of a node's rendezvous orders applies to it."""

    asking: set[str] = field(default_factory=set)
    """Nodes that are still to be asked, or are being asked."""

    taken: int = 0
    """Sessions taken over."""

    left: Counter[str] = field(default_factory=Counter)
    """Sessions not taken over, by the value of the `TakeoverDecision`."""


@dataclass
class Pair:
    """Asks one node for the sessions of one failed front.

    In the first round this front takes its own share of the sessions, in the second round all that are left.
    """

    dead: Dead
    node: str
    at: int
    """Earliest time of the request, in ns."""

    second: bool = False
    rank: int = 0
    """This front's place among those that ask."""

    width: int = 1
    """Number of fronts that ask, and share the sessions."""

    def shares(self, session: str) -> bool:
        """Returns whether this front takes a session in this round."""
        return self.second or weight("session", session) % self.width == self.rank


@dataclass(frozen=True)
class Errand:
    """A request to one node for the sessions of several failed fronts."""

    node: str
    pairs: tuple[Pair, ...]

    @property
    def names(self) -> list[str]:
        """Names of the failed fronts."""
        return [p.dead.name for p in self.pairs]

    def shares(self, name: str, session: str) -> bool:
        """Returns whether this front takes a session of a failed front now."""
        return any(p.dead.name == name and p.shares(session) for p in self.pairs)


class Adopting:
    """The takeovers of one front: which requests are due, and what became of them."""

    def __init__(self, me: str, bounds: Bounds) -> None:
        """`me` is this front's name in the membership."""
        self.me, self.bounds = me, bounds
        self.dead: dict[str, Dead] = {}
        self.nodes: set[str] = set()
        self.present: frozenset[str] = frozenset()
        self.known: set[str] = set()
        self.before: dict[tuple[str, int], tuple[str, ...]] = {}  # by node and slot
        self.ranks: dict[tuple[str, int], int] = {}  # by node and slot, among the present fronts
        self.pairs: deque[Pair] = deque()
        self.busy: dict[str, Errand] = {}  # by node
        self.passed_over = 0

    # Updates.

    def sees(self, gone: Collection[str], present: Iterable[str], now: int) -> list[Dead]:
        """Takes a change of the membership: names of the failed and of the present fronts.

        Returns the takeovers that end with it, as the front is back or forgotten.
        """
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
            self.known = set(self.present) | set(gone)  # bounds the table where names come and go
            self.before.clear()
        return over

    def earlier_life(self, now: int) -> None:
        """Begins the takeover of this front's own earlier sessions, for a front without a record of them."""
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
        """Takes a change of the node list."""
        some = set(nodes)
        for node in sorted(some - self.nodes):
            for dead in self.dead.values():
                # The node may have been off the list for a moment only, with its task still queued.
                if now < dead.until and node not in dead.asking:
                    self._pair(dead, node, now)
        self.nodes = some

    # Due actions.

    def _rank(self, node: str, slot: int, may: list[int]) -> int | None:
        """Returns how many present fronts precede this one; None where the budget of this turn is used up."""
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
        """Returns the requests to begin now. The cost of a turn does not grow with the number of failed fronts."""
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
        """Takes the result of a request: the node's answer for each front, None where the node could not be asked."""
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
        """Returns the takeovers that have finished, each once; they stay known, so that they do not begin again."""
        known = bool(self.nodes)  # before the first node list no node can have been asked
        out = [d for d in self.dead.values() if d.until and ((known and not d.asking) or now >= d.until)]
        for d in out:
            d.until = 0
        return out
