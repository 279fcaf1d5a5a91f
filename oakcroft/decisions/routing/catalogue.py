"""The catalogue in force, and how it changes while the front serves: which titles there are, on which nodes and rungs.

A change is taken whole at one instant, between two events of the task that owns the module, or refused whole with its
reasons. Every set-up is decided under, and carries the number of, the version in force when it leaves. What plays
already is not ended by a change: it finishes, or steps down to what is left, a few at a time and never under its floor.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import MS

MOST_REASONS = 20


@dataclass(frozen=True)
class Item:
    """One title: the nodes that hold it by name, or its cells; and the rate of each of its rungs in kB a second, lowest
    first (none: the ladder's)."""

    holders: tuple[str, ...] = ()
    home: int = -1
    copies: int = 0
    rates: tuple[float, ...] = ()

    def top(self, rungs: int) -> int:
        """Its highest rung, on a ladder of so many."""
        return (len(self.rates) or rungs) - 1


@dataclass(frozen=True)
class Catalogue:
    """A version. Number 0 is none at all: every title is served, by the rule for all."""

    number: int = 0
    digest: str = ""
    titles: Mapping[str, Item] = field(default_factory=dict)
    others: bool = True  # titles that it does not name are served too

    def serves(self, title: str) -> bool:
        """Whether there is such a title."""
        return self.others or title in self.titles


def bound(catalogue: Catalogue, title: str, asked_top: int, floor: int, rungs: int) -> int | None:
    """The highest rung for a request under a version; None where it has no such title, or nothing of it on or over the
    floor."""
    if not catalogue.serves(title):
        return None
    item = catalogue.titles.get(title)
    top = min(asked_top, item.top(rungs) if item is not None else rungs - 1)
    return top if top >= floor else None


def changed(old: Catalogue, new: Catalogue) -> list[str]:
    """The titles of which the two say different things, in order of names."""
    names = old.titles.keys() | new.titles.keys()
    return sorted(n for n in names if old.titles.get(n) != new.titles.get(n))


class Verdict(Enum):
    """What becomes of a change that is offered."""

    TAKEN = "taken"
    SAME = "it says what is in force"
    STALE = "it was made from another version than that in force"
    REFUSED = "it cannot be taken"
    LATER = "another front takes it first"


@dataclass(frozen=True)
class Fleet:
    """What a change is judged against: names of ready and of all listed nodes, rungs of the ladder, cells, and the
    floors of plans."""

    ready: frozenset[str]
    listed: frozenset[str]
    rungs: int
    cells: int
    floors: Mapping[str, int]


def base(node: str) -> str:
    """The place that a node, or its replacement NAME+1, stands on."""
    return node.partition("+")[0]


def reasons(names: Iterable[str], new: Catalogue, fleet: Fleet, force: bool = False) -> list[str]:
    """Why a change cannot be taken, at most `MOST_REASONS`; none where it can. Only what differs from what is in force
    is looked at: a title that has lost its nodes by itself does not hold up the change of another.

    Guards against a title that would have no ready holder, which looks like an outage to its viewers. Harm: a title put
    in before its nodes are up is refused, unless `force` says that this is meant.
    """
    out, ready, listed = list[str](), {base(n) for n in fleet.ready}, {base(n) for n in fleet.listed}
    highest_floor = max(fleet.floors.values(), default=0)
    for name in names:
        item = new.titles.get(name)
        if item is None:
            continue
        if len(item.rates) > fleet.rungs:
            out.append(f"title {name} has {len(item.rates)} renditions, the ladder has {fleet.rungs} rungs")
        if item.home >= fleet.cells:
            out.append(f"title {name} is at cell {item.home}, there are {fleet.cells}")
        if item.top(fleet.rungs) < highest_floor and not force:
            plan = next(p for p, floor in sorted(fleet.floors.items()) if floor > item.top(fleet.rungs))
            out.append(
                f"title {name} goes up to rung {item.top(fleet.rungs)}, under the floor of plan {plan}"
            )
        if item.holders and not force:
            unknown = [n for n in item.holders if base(n) not in listed]
            if not ready & {base(n) for n in item.holders}:
                out.append(
                    f"title {name} would have no ready holder"
                    + (f"; not listed: {unknown[0]}" if unknown else "")
                )
        if len(out) >= MOST_REASONS:
            return out
    return out


def consider(
    old: Catalogue,
    new: Catalogue,
    names: Iterable[str],
    made_from: str | None,
    fleet: Fleet,
    force: bool = False,
) -> tuple[Verdict, list[str]]:
    """What becomes of a change. `names`: the titles that are `changed`, found beside the loop; `made_from`: the digest of
    the version that it was made from, None for any. Of two that were made from one version the first is taken and the
    second is stale, whatever they change."""
    if made_from is not None and made_from != old.digest:
        return Verdict.STALE, [f"version {old.number} is in force"]
    if new.digest == old.digest and old.number:
        return Verdict.SAME, []
    why = reasons(names, new, fleet, force)
    return (Verdict.REFUSED, why) if why else (Verdict.TAKEN, [])


class Course(Enum):
    """What becomes of a playback whose title has changed."""

    STAYS = "goes on as it is"
    STEPS_DOWN = "goes down to the highest rung that is left"
    FINISHES = "plays to its end as it is, on what its node still holds"


def course(
    floor: int, rung: int, item: Item | None, others: bool, rungs: int, node: str
) -> tuple[Course, int]:
    """What becomes of a playback, and the highest rung for it from now on. A removed title, and a holder taken away, end
    nothing: their playbacks finish. Neither does a rung under its floor become its rung."""
    if item is None:
        return (Course.STAYS, rungs - 1) if others else (Course.FINISHES, rung)
    if item.holders and base(node) not in {base(n) for n in item.holders}:
        return Course.FINISHES, rung
    top = item.top(rungs)
    if rung <= top:
        return Course.STAYS, top
    return (Course.STEPS_DOWN, top) if top >= floor else (Course.FINISHES, rung)


@dataclass
class Steps:
    """Steps down that a change asks for, a few at a time: `at_once` of them in each `every` ns.

    Guards against a change that sends thousands of layer calls to nodes in one moment. A playback that ends, or is
    stepped down by the module meanwhile, is passed over by whoever carries out the step. Harm: the last of many
    playbacks goes on for seconds on a rendition that is gone.
    """

    at_once: int = 50
    every: int = 100 * MS
    waiting: deque[str] = field(default_factory=deque)
    last: int = -(1 << 62)

    def add(self, some: Iterable[str]) -> None:
        """More sessions to step down, each to what it is bounded by when its turn comes."""
        self.waiting.extend(some)

    def due(self, now: int) -> list[str]:
        """Those whose turn it is."""
        if not self.waiting or now - self.last < self.every:
            return []
        self.last = now
        return [self.waiting.popleft() for _ in range(min(self.at_once, len(self.waiting)))]


def takes_part(front: int, fronts: int, digest: int, share: float) -> bool:
    """Whether a front takes a version that is rolled out to a share of all fronts: the same ones for one version, and
    they stay in as the share grows. `digest`: of the version, as a number."""
    if share >= 1:
        return True
    place = (front + digest) % max(1, fronts)
    return place < share * fronts


@dataclass(frozen=True)
class Kept:
    """A version in the history."""

    number: int
    digest: str
    taken: int
    why: str


@dataclass
class History:
    """The versions that a front has taken, the last `most` of them; a roll-back is a new version with an old text."""

    most: int = 50
    versions: list[Kept] = field(default_factory=list)

    def take(self, kept: Kept) -> list[int]:
        """A version is in force now; returns the numbers of those that are forgotten for it."""
        self.versions.append(kept)
        gone = self.versions[: -self.most]
        self.versions = self.versions[-self.most :]
        return [k.number for k in gone]

    def find(self, number: int) -> Kept | None:
        """One that is still known."""
        return next((k for k in self.versions if k.number == number), None)

    @property
    def next_number(self) -> int:
        """The number of the next version."""
        return self.versions[-1].number + 1 if self.versions else 1
