"""The active catalogue (which titles exist, on which nodes and rungs) and its changes while the front end serves.

A change is applied as a whole, between two events of the task that owns the decision module, or rejected as a whole
with its reasons. Each set-up is decided under the version that is active when it is sent, and carries its number. A
change ends no playback: playbacks finish, or step down to a rung that is left, a few at a time and never below their
floor.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import MS

MAX_REASONS = 20
"""Reasons after which the search for further ones ends."""


@dataclass(frozen=True)
class CatalogueTitle:
    """One title of the catalogue."""

    holders: tuple[str, ...] = ()
    """Names of the nodes that hold it; empty where `home` and `copies` define them."""

    home: int = -1
    """First cell that holds it; -1 where the catalogue names none."""

    copies: int = 0
    """Number of cells that hold it, from `home` on; 0 for all."""

    rates: tuple[float, ...] = ()
    """Rate of each of its rungs in kB a second, lowest first; empty for those of the ladder."""

    def top_rung(self, rung_count: int) -> int:
        """Returns its highest rung, on a ladder of `rung_count` rungs."""
        return (len(self.rates) or rung_count) - 1


@dataclass(frozen=True)
class Catalogue:
    """A version of the catalogue."""

    number: int = 0
    """0: there is no catalogue, and every title is served, with the default placement."""

    digest: str = ""
    titles: Mapping[str, CatalogueTitle] = field(default_factory=dict)
    serves_unlisted: bool = True
    """Whether titles that are not in the catalogue are served too."""

    def serves(self, title: str) -> bool:
        """Returns whether the title is served."""
        return self.serves_unlisted or title in self.titles


def highest_rung(
    catalogue: Catalogue, title: str, requested_top: int, floor: int, rung_count: int
) -> int | None:
    """Returns the highest rung for a request; None where the title is not served, or on no rung from the floor up."""
    if not catalogue.serves(title):
        return None
    catalogue_title = catalogue.titles.get(title)
    rung = min(
        requested_top, catalogue_title.top_rung(rung_count) if catalogue_title is not None else rung_count - 1
    )
    return rung if rung >= floor else None


def changed_titles(old: Catalogue, new: Catalogue) -> list[str]:
    """Returns the names of the titles in which two versions differ, sorted."""
    names = old.titles.keys() | new.titles.keys()
    return sorted(name for name in names if old.titles.get(name) != new.titles.get(name))


class CatalogueVerdict(Enum):
    """Result of a submitted change; logs and the operators' API show the member names in lower case."""

    TAKEN = "taken"
    SAME = "it says what is in force"
    STALE = "it was made from another version than that in force"
    REFUSED = "it cannot be taken"
    LATER = "another front takes it first"


@dataclass(frozen=True)
class FleetSnapshot:
    """State of the fleet that a change is checked against."""

    ready_nodes: frozenset[str]
    """Names of the ready nodes."""

    listed_nodes: frozenset[str]
    """Names of all listed nodes."""

    rung_count: int
    cell_count: int
    plan_floors: Mapping[str, int]
    """Floor of each plan, by plan name."""


def base_name(node: str) -> str:
    """Returns the name of a node without the suffix of a replacement, as in NAME+1."""
    return node.partition("+")[0]


def rejection_reasons(
    changed_names: Iterable[str], new: Catalogue, fleet: FleetSnapshot, force: bool = False
) -> list[str]:
    """Returns why a change cannot be applied, `MAX_REASONS` or a few more; an empty list where it can.

    Only titles that differ from the active version are checked, so a title that has lost its nodes does not block a
    change of another. A title without a ready holder is rejected, as its viewers would see an outage. Drawback: a title
    that is added before its nodes are up is rejected too, unless `force` is set.
    """
    reasons = list[str]()
    ready_names = {base_name(node) for node in fleet.ready_nodes}
    listed_names = {base_name(node) for node in fleet.listed_nodes}
    highest_floor = max(fleet.plan_floors.values(), default=0)
    for name in changed_names:
        title = new.titles.get(name)
        if title is None:
            continue
        if len(title.rates) > fleet.rung_count:
            reasons.append(
                f"title {name} has {len(title.rates)} renditions, the ladder has {fleet.rung_count} rungs"
            )
        if title.home >= fleet.cell_count:
            reasons.append(f"title {name} is at cell {title.home}, there are {fleet.cell_count}")
        if title.top_rung(fleet.rung_count) < highest_floor and not force:
            plan = next(
                plan_name
                for plan_name, floor in sorted(fleet.plan_floors.items())
                if floor > title.top_rung(fleet.rung_count)
            )
            reasons.append(
                f"title {name} goes up to rung {title.top_rung(fleet.rung_count)}, under the floor of plan {plan}"
            )
        if title.holders and not force:
            unknown = [node for node in title.holders if base_name(node) not in listed_names]
            if not ready_names & {base_name(node) for node in title.holders}:
                reasons.append(
                    f"title {name} would have no ready holder"
                    + (f"; not listed: {unknown[0]}" if unknown else "")
                )
        if len(reasons) >= MAX_REASONS:
            return reasons
    return reasons


def evaluate_change(
    old: Catalogue,
    new: Catalogue,
    changed_names: Iterable[str],
    base_digest: str | None,
    fleet: FleetSnapshot,
    force: bool = False,
) -> tuple[CatalogueVerdict, list[str]]:
    """Decides on a submitted change.

    `changed_names` are the `changed_titles`, which the caller computes outside the event loop. `base_digest` is the
    digest of the version that the change is based on, None for any. Of two changes based on the same version the first
    is accepted and the second is stale, whatever they change.
    """
    if base_digest is not None and base_digest != old.digest:
        return CatalogueVerdict.STALE, [f"version {old.number} is in force"]
    if new.digest == old.digest and old.number:
        return CatalogueVerdict.SAME, []
    reasons = rejection_reasons(changed_names, new, fleet, force)
    return (CatalogueVerdict.REFUSED, reasons) if reasons else (CatalogueVerdict.TAKEN, [])


class PlaybackEffect(Enum):
    """What a change does to a playback of a changed title; logs show the member names in lower case."""

    STAYS = "goes on as it is"
    STEPS_DOWN = "goes down to the highest rung that is left"
    FINISHES = "plays to its end as it is, on what its node still holds"


def effect_on_playback(
    floor: int, rung: int, title: CatalogueTitle | None, serves_unlisted: bool, rung_count: int, node: str
) -> tuple[PlaybackEffect, int]:
    """Returns what a change does to a playback, and the highest rung for it from now on.

    Playbacks of a removed title, or on a node that no longer holds the title, finish. So do those whose title has no
    rung left at or above their floor.
    """
    if title is None:
        return (PlaybackEffect.STAYS, rung_count - 1) if serves_unlisted else (PlaybackEffect.FINISHES, rung)
    if title.holders and base_name(node) not in {base_name(holder) for holder in title.holders}:
        return PlaybackEffect.FINISHES, rung
    top = title.top_rung(rung_count)
    if rung <= top:
        return PlaybackEffect.STAYS, top
    return (PlaybackEffect.STEPS_DOWN, top) if top >= floor else (PlaybackEffect.FINISHES, rung)


@dataclass
class StepDownQueue:
    """Playbacks that a change steps down, in batches.

    Without batches a change could send thousands of layer selections to nodes at the same moment. The host skips
    playbacks that have ended or were stepped down meanwhile. Drawback: the last of many playbacks stays for seconds on a
    rendition that was removed.
    """

    batch_size: int = 50
    interval: int = 100 * MS
    """Time between two batches, in ns."""

    waiting: deque[str] = field(default_factory=deque)
    """Ids of the sessions to step down."""

    last_batch_at: int = -(1 << 62)
    """When the last batch was due, in ns."""

    def add(self, session_ids: Iterable[str]) -> None:
        """Adds sessions; each steps down to the highest rung that applies when its turn comes."""
        self.waiting.extend(session_ids)

    def next_batch(self, now: int) -> list[str]:
        """Returns the sessions to step down now; an empty list before the next batch is due. `now`: ns."""
        if not self.waiting or now - self.last_batch_at < self.interval:
            return []
        self.last_batch_at = now
        return [self.waiting.popleft() for _ in range(min(self.batch_size, len(self.waiting)))]


def is_in_share(front_number: int, front_count: int, digest: int, share: float) -> bool:
    """Returns whether a front end activates a version that is rolled out to a share (0 to 1) of all front ends.

    The choice depends only on the version, whose digest is given as a number, and front ends stay included as the share
    grows.
    """
    if share >= 1:
        return True
    position = (front_number + digest) % max(1, front_count)
    return position < share * front_count


@dataclass(frozen=True)
class VersionEntry:
    """A version in the history."""

    number: int
    digest: str
    activated_at: int
    """In ns."""

    reason: str
    """Why the version was made, as given by the operator."""


@dataclass
class VersionHistory:
    """The last `max_versions` versions that a front end activated; a rollback is a new version with an old text."""

    max_versions: int = 50
    versions: list[VersionEntry] = field(default_factory=list)

    def add(self, entry: VersionEntry) -> list[int]:
        """Adds the active version and returns the numbers of the versions that are dropped for it."""
        self.versions.append(entry)
        dropped = self.versions[: -self.max_versions]
        self.versions = self.versions[-self.max_versions :]
        return [entry.number for entry in dropped]

    def find(self, number: int) -> VersionEntry | None:
        """Returns a version by its number, None where it is not in the history."""
        return next((entry for entry in self.versions if entry.number == number), None)

    @property
    def next_number(self) -> int:
        """The number of the next version."""
        return self.versions[-1].number + 1 if self.versions else 1
