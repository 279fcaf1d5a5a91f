"""What one front knows of all zones: the greatest summary of each, who failed there, and which zones are
silent.

Nobody fails by hearsay alone: a failure that another zone tells of counts after `CONFIRMATION_TIME`, and
only if that zone's summary still lists it then. A false one is taken back by the accused's own zone in the
meantime. A zone whose heartbeat stands still is unreachable; its members are unknown, never failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.zone_summary import DigestEntry, MemberChange, ZoneSummary
from oakcroft.interface import SECOND

MAX_ZONES = 64
MAX_REMEMBERED_CHANGES = 128
"""Of members of one other zone; past it the oldest goes, and its member is `UNLISTED` again."""

CONFIRMATION_TIME = 6 * SECOND
"""For which a failure told by another zone stays a suspicion. A refutation takes the way of any change: to
the accused's zone, to the accused and back."""

UNREACHABLE_TIME = 12 * SECOND
"""Without a move of its heartbeat a zone counts as unreachable. In an hour of two zones of 85 at 2% loss two moves were
at most 10.0 s apart at any front (simulated, docs/membership.md); a front that errs sees the zone again at the next."""

FORGETTING_TIME = 86_400 * SECOND
"""After which an unreachable zone that is not configured makes room."""


class RemoteState(Enum):
    """State of a member of another zone, as far as it is known here; the value is the operators' word."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    UNLISTED = "unlisted"
    """Its zone is reachable and has told nothing of it that is remembered."""
    UNKNOWN = "unknown"
    """Its zone is unreachable, or was never heard of."""


UNCONFIRMED_STATES = {
    MemberState.ALIVE: RemoteState.ALIVE,
    MemberState.LEFT: RemoteState.LEFT,
    MemberState.FAILED: RemoteState.SUSPECTED,
}
"""What a change means before it is confirmed."""


@dataclass(frozen=True)
class ZoneChange:
    """A change of what is known of other zones, with its evidence. `name` is empty where it is about the
    zone itself, which then is `reachable` or `unreachable`; else `was` and `now` are values of
    `RemoteState`."""

    zone: str
    name: str
    was: str
    now: str
    why: str


@dataclass
class RemoteMember:
    """A member of another zone of whom its zone has told."""

    change: MemberChange
    state: RemoteState
    confirm_at: int = 0


@dataclass
class ZoneRecord:
    """One zone as this front knows it. `moved_at`: when its summary or heartbeat last grew here. `offered`:
    the greatest entry that was heard of; it may be a lie, so only entries of contents that are not held are
    compared with it."""

    summary: ZoneSummary
    heartbeat: int
    moved_at: int
    offered: DigestEntry
    is_reachable: bool = True
    members: dict[str, RemoteMember] = field(default_factory=dict)

    @property
    def entry(self) -> DigestEntry:
        """Its entry in a digest."""
        entry = self.summary.entry
        return DigestEntry(entry.zone, entry.epoch, entry.version, entry.fingerprint, self.heartbeat)

    @property
    def current(self) -> ZoneSummary:
        """The summary with its latest heartbeat."""
        return self.summary.with_heartbeat(self.heartbeat)


@dataclass
class DirectoryCounters:
    """What was not taken, and why."""

    zones_full: int = 0  # zones for which there was no room
    taken_back: int = 0  # failures that their zone no longer listed when they were to be confirmed


class ZoneDirectory:
    """All zones as one front knows them, its own among them."""

    def __init__(self, own_zone: str, configured: Iterable[str] = ()) -> None:
        """Nothing is known yet; `configured` zones always have room."""
        self.own_zone = own_zone
        self.configured = frozenset(configured) | {own_zone}
        self.records: dict[str, ZoneRecord] = {}
        self.changes: list[ZoneChange] = []
        self.counts = DirectoryCounters()
        self._pending: dict[
            tuple[str, str], int
        ] = {}  # zone and name of unconfirmed failures, to their deadline

    # What is known.

    def entry(self, zone: str) -> DigestEntry | None:
        """Which summary of a zone is held."""
        record = self.records.get(zone)
        return record.entry if record is not None else None

    def digest(self) -> list[DigestEntry]:
        """Which summaries are held, by zone."""
        return [record.entry for _, record in sorted(self.records.items())]

    def state(self, zone: str, name: str) -> RemoteState:
        """The state of a member of another zone."""
        record = self.records.get(zone)
        if record is None or not record.is_reachable:
            return RemoteState.UNKNOWN
        member = record.members.get(name)
        return member.state if member is not None else RemoteState.UNLISTED

    def is_newer_content(self, entry: DigestEntry) -> bool:
        """Whether somebody holds a later content than this front."""
        known = self.entry(entry.zone)
        return known is None or entry.content_precedence > known.content_precedence

    def newer_than(self, entries: Iterable[DigestEntry]) -> list[DigestEntry]:
        """Entries for what is held here and is newer than, or missing in, a digest."""
        told = {entry.zone: entry.precedence for entry in entries}
        return [
            entry for entry in self.digest() if entry.zone not in told or entry.precedence > told[entry.zone]
        ]

    # Taking in.

    def advance(self, entry: DigestEntry, now: int) -> bool:
        """A later heartbeat of the content that is held; whether it was one. Of a later content, which may
        yet have to come, it is a sign of life as well."""
        record = self.records.get(entry.zone)
        if record is None:
            return False
        held = record.summary.entry.content_precedence
        if entry.content_precedence > held:
            if entry.precedence > record.offered.precedence:
                record.offered = entry
                self._moved(record, now)
            return False
        if entry.content_precedence < held or entry.heartbeat <= record.heartbeat:
            return False
        record.heartbeat = entry.heartbeat
        self._moved(record, now)
        return True

    def merge_summary(self, summary: ZoneSummary, now: int) -> bool:
        """A plausible summary; whether its content is newer than what was held, and is held now."""
        record = self.records.get(summary.zone)
        if record is None:
            if not self._has_room(summary.zone):
                self.counts.zones_full += 1
                return False
            record = self.records[summary.zone] = ZoneRecord(summary, summary.heartbeat, now, summary.entry)
            self._tell(summary.zone, "", "", "reachable", f"told by {summary.author}")
        elif summary.entry.content_precedence <= record.summary.entry.content_precedence:
            self.advance(summary.entry, now)
            return False
        else:
            record.summary = summary
            record.heartbeat = summary.heartbeat
            self._moved(record, now)
        if summary.zone != self.own_zone:
            self._merge_changes(record, now)
        return True

    def _has_room(self, zone: str) -> bool:
        """Guards the table against zones that nobody configured, and the configured ones against being kept
        out."""
        if zone in self.configured:
            return True
        others = sum(known not in self.configured for known in self.records)
        return len(self.configured) + others < MAX_ZONES

    def _moved(self, record: ZoneRecord, now: int) -> None:
        record.moved_at = now
        if record.is_reachable:
            return
        record.is_reachable = True
        zone = record.summary.zone
        self._tell(zone, "", "unreachable", "reachable", "its heartbeat moves again")
        for name, member in record.members.items():
            if (zone, name) in self._pending:  # its zone could not take it back meanwhile
                member.confirm_at = self._pending[zone, name] = now + CONFIRMATION_TIME

    def _merge_changes(self, record: ZoneRecord, now: int) -> None:
        for change in record.summary.changes:
            known = record.members.get(change.name)
            if known is None or change.precedence > known.change.precedence:
                self._merge(record, change, known, now)

    def _merge(self, record: ZoneRecord, change: MemberChange, known: RemoteMember | None, now: int) -> None:
        zone, author = record.summary.zone, record.summary.author
        member = RemoteMember(change, UNCONFIRMED_STATES[change.state])
        record.members.pop(change.name, None)
        record.members[change.name] = member
        self._pending.pop((zone, change.name), None)
        if change.state is MemberState.FAILED:
            member.confirm_at = self._pending[zone, change.name] = now + CONFIRMATION_TIME
        was = known.state.value if known is not None else ""
        if was != member.state.value:
            self._tell(zone, change.name, was, member.state.value, f"told by {author}")
        if len(record.members) > MAX_REMEMBERED_CHANGES:
            oldest = next(iter(record.members))
            del record.members[oldest]
            self._pending.pop((zone, oldest), None)

    def _tell(self, zone: str, name: str, was: str, now: str, why: str) -> None:
        if zone != self.own_zone:
            self.changes.append(ZoneChange(zone, name, was, now, why))

    # Time.

    def due(self) -> int | None:
        """When `tick` has something to do at the latest; None where nothing is open."""
        deadlines = list(self._pending.values())
        deadlines += [r.moved_at + UNREACHABLE_TIME for r in self.records.values() if r.is_reachable]
        return min(deadlines, default=None)

    def tick(self, now: int) -> None:
        """Zones that have been silent for too long, and failures that are to be confirmed."""
        for zone, record in list(self.records.items()):
            silent = now - record.moved_at
            if record.is_reachable and silent >= UNREACHABLE_TIME:
                record.is_reachable = False
                why = f"no heartbeat for {silent // SECOND} s"
                self._tell(zone, "", "reachable", "unreachable", why)
            elif silent >= FORGETTING_TIME and zone not in self.configured:
                del self.records[zone]
        for (zone, name), deadline in list(self._pending.items()):
            if now >= deadline:
                self._confirm(zone, name, now)

    def _confirm(self, zone: str, name: str, now: int) -> None:
        """A failure has stood for long enough: it counts, if its zone still says so and could have taken it
        back."""
        record = self.records.get(zone)
        if record is None:
            del self._pending[zone, name]
            return
        member = record.members[name]
        if not record.is_reachable:
            self._pending[zone, name] = now + CONFIRMATION_TIME
            return
        del self._pending[zone, name]
        if member.change in record.summary.changes:
            member.state = RemoteState.FAILED
            why = f"told by {record.summary.author} and not taken back"
            self._tell(zone, name, RemoteState.SUSPECTED.value, RemoteState.FAILED.value, why)
        else:
            del record.members[name]
            self.counts.taken_back += 1
            why = f"{record.summary.author} no longer says so"
            self._tell(zone, name, RemoteState.SUSPECTED.value, RemoteState.UNLISTED.value, why)
