"""The catalogue in force and its changes while the front serves: which titles there are, on which nodes and rungs.

A change is applied as a whole between two events of the task that owns the module, or rejected as a whole with its
reasons. Each set-up is decided under the version in force when it is sent, and carries its number. A change ends no
playback: playbacks finish, or step down to a rung that is left, a few at a time and never below their floor.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import MS

MOST_REASONS = 20
"""Reasons listed for one rejection."""


@dataclass(frozen=True)
class Item:
    """One title of the catalogue."""

    holders: tuple[str, ...] = ()
    """Names of the nodes that hold it; empty where its cells say which do."""

    home: int = -1
    """The first cell that holds it; -1 where the catalogue names none."""

    copies: int = 0
    """Cells that hold it; 0 for all."""

    rates: tuple[float, ...] = ()
    """Rate of each of its rungs in kB a second, lowest first; empty for those of the ladder."""

    def top(self, rungs: int) -> int:
        """Returns its highest rung, on a ladder of `rung_count` rungs."""
        return (len(self.rates) or rungs) - 1


@dataclass(frozen=True)
class Catalogue:
    """A version of the catalogue."""

    number: int = 0
    """0 stands for no catalogue: every title is served, by the default placement."""

    digest: str = ""
    titles: Mapping[str, Item] = field(default_factory=dict)
    others: bool = True
    """Whether titles that it does not name are served too."""

    def serves(self, title: str) -> bool:
        """Returns whether the title is served."""
        return self.others or title in self.titles


def bound(catalogue: Catalogue, title: str, asked_top: int, floor: int, rungs: int) -> int | None:
    """Returns the highest rung for a request; None where the title is not served, or on no rung from the floor up."""
    if not catalogue.serves(title):
        return None
    item = catalogue.titles.get(title)
    top = min(asked_top, item.top(rungs) if item is not None else rungs - 1)
    return top if top >= floor else None


def changed(old: Catalogue, new: Catalogue) -> list[str]:
    """Returns the names of the titles in which two versions differ, sorted."""
    names = old.titles.keys() | new.titles.keys()
    return sorted(n for n in names if old.titles.get(n) != new.titles.get(n))


class Verdict(Enum):
    """Result of an offered change; logs and operators show the names in lower case."""

    TAKEN = "taken"
    SAME = "it says what is in force"
    STALE = "it was made from another version than that in force"
    REFUSED = "it cannot be taken"
    LATER = "another front takes it first"


@dataclass(frozen=True)
class Fleet:
    """What a change is checked against."""

    ready: frozenset[str]
    """Names of the ready nodes."""

    listed: frozenset[str]
    """Names of all listed nodes."""

    rungs: int
    cells: int
    floors: Mapping[str, int]
    """Floor of each plan, by plan name."""


def base(node: str) -> str:
    """Returns the name of a node without the suffix that a replacement carries, as in NAME+1."""
    return node.partition("+")[0]


def reasons(names: Iterable[str], new: Catalogue, fleet: Fleet, force: bool = False) -> list[str]:
    """Returns why a change cannot be applied, `MAX_REASONS` or a few more; none where it can.

    Only titles that differ from the version in force are checked, so a title that has lost its nodes does not block a
    change of another. A title without a ready holder is rejected, as it looks like an outage to its viewers. The cost: a
    title added before its nodes are up is rejected too, unless `force` is set.
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
    """Decides on an offered change.

    `changed_names` are the `changed_titles`, which the caller computes off the event loop. `base_digest` is the digest
    of the version that the change was made from, None for any. Of two changes made from one version the first is
    accepted and the second is stale, whatever they change.
    """
    if made_from is not None and made_from != old.digest:
        return Verdict.STALE, [f"version {old.number} is in force"]
    if new.digest == old.digest and old.number:
        return Verdict.SAME, []
    why = reasons(names, new, fleet, force)
    return (Verdict.REFUSED, why) if why else (Verdict.TAKEN, [])


class Course(Enum):
    """What a change does to a playback of a changed title; logs show the names in lower case."""

    STAYS = "goes on as it is"
    STEPS_DOWN = "goes down to the highest rung that is left"
    FINISHES = "plays to its end as it is, on what its node still holds"


def course(
    floor: int, rung: int, item: Item | None, others: bool, rungs: int, node: str
) -> tuple[Course, int]:
    """Returns what a change does to a playback, and the highest rung for it from now on.

    Playbacks of a removed title, or on a node that does not hold the title any more, finish. So do those whose title has
    no rung left from their floor up.
    """
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
    """Playbacks that a change steps down, in batches.

    Otherwise a change could send thousands of layer calls to nodes at one moment. The host skips playbacks that have
    ended or were stepped down meanwhile. The cost: the last of many playbacks stays for seconds on a rendition that is
    gone.
    """

    at_once: int = 50
    every: int = 100 * MS
    """Time between two batches, in ns."""

    waiting: deque[str] = field(default_factory=deque)
    """Ids of sessions."""

    last: int = -(1 << 62)
    """When the last batch was due, in ns."""

    def add(self, some: Iterable[str]) -> None:
        """Adds sessions; each steps down to the highest rung that applies when its turn comes."""
        self.waiting.extend(some)

    def due(self, now: int) -> list[str]:
        """Returns the sessions to step down now, none before the next batch is due. `now` in ns."""
        if not self.waiting or now - self.last < self.every:
            return []
        self.last = now
        return [self.waiting.popleft() for _ in range(min(self.at_once, len(self.waiting)))]


def takes_part(front: int, fronts: int, digest: int, share: float) -> bool:
    """Returns whether a front activates a version that is rolled out to a share (0 to 1) of all fronts.

    The choice is the same each time for one version, and fronts stay in as the share grows. `digest` is that of the
    version, as a number.
    """
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
    """In ns."""

    why: str
    """Why the version was made, as the operator says."""


@dataclass
class History:
    """The last `max_versions` versions that a front activated; a rollback is a new version with an old text."""

    most: int = 50
    versions: list[Kept] = field(default_factory=list)

    def take(self, kept: Kept) -> list[int]:
        """Adds the version in force and returns the numbers of those that are dropped for it."""
        self.versions.append(kept)
        gone = self.versions[: -self.most]
        self.versions = self.versions[-self.most :]
        return [k.number for k in gone]

    def find(self, number: int) -> Kept | None:
        """Returns a version by its number, None where it is not in the history."""
        return next((k for k in self.versions if k.number == number), None)

    @property
    def next_number(self) -> int:
        """The number of the next version."""
        return self.versions[-1].number + 1 if self.versions else 1
