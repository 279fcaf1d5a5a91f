"""Directory of all zones that one front knows: the greatest summary of each, members' states, and reachability.

A failure that another zone reports counts only after `CONFIRMATION_TIME`, and only if that zone's summary still lists
it then; the member's own zone withdraws a false report in the meantime. A zone whose heartbeat does not advance is
unreachable, and its members' states are unknown, never failed.
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
"""Changes that are remembered of one other zone; beyond it the oldest is dropped, and its member is `UNLISTED`
again."""

CONFIRMATION_TIME = 6 * SECOND
"""Time for which a failure reported by another zone remains a suspicion. A refutation takes as long as any change to
reach the accused's zone, then the accused, and to come back."""

UNREACHABLE_TIME = 12 * SECOND
"""Time without a new heartbeat after which a zone counts as unreachable. In an hour of two zones of 85 at 2% loss,
heartbeats were at most 10.0 s apart at any front (simulated, docs/membership.md); after an error the next heartbeat
corrects it."""

FORGETTING_TIME = 86_400 * SECOND
"""Time after which an unreachable zone that is not configured is removed."""


class RemoteState(Enum):
    """State of a member of another zone, as far as it is known here; the values appear in logs and status."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    UNLISTED = "unlisted"
    """Its zone is reachable, and no change of the member is remembered."""
    UNKNOWN = "unknown"
    """Its zone is unreachable or not known."""


UNCONFIRMED_STATES = {
    MemberState.ALIVE: RemoteState.ALIVE,
    MemberState.LEFT: RemoteState.LEFT,
    MemberState.FAILED: RemoteState.SUSPECTED,
}
"""Remote state that a reported state results in before it is confirmed."""


@dataclass(frozen=True)
class ZoneChange:
    """A change of a zone or of a member of another zone, and its reason.

    If `name` is empty, the change is about the zone itself, which becomes `reachable` or `unreachable`; otherwise `was`
    and `now` are values of `RemoteState`.
    """

    zone: str
    name: str
    was: str
    now: str
    why: str


@dataclass
class RemoteMember:
    """A member of another zone that its zone has reported a change of."""

    change: MemberChange
    state: RemoteState
    confirm_at: int = 0


@dataclass
class ZoneRecord:
    """One zone as this front knows it.

    `moved_at` is when a greater summary or heartbeat last arrived here. `offered` is the greatest entry received in a
    digest; it may be false, so it is compared only with entries of contents that are not held.
    """

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
    """Counts of what was not accepted, by reason. The field names appear in the status and do not change."""

    zones_full: int = 0  # zones not added because the table was full
    taken_back: int = 0  # failures that their zone no longer listed when they were to be confirmed


class ZoneDirectory:
    """All zones as one front knows them, including its own."""

    def __init__(self, own_zone: str, configured: Iterable[str] = ()) -> None:
        """Starts empty; there is always room for `configured` zones."""
        self.own_zone = own_zone
        self.configured = frozenset(configured) | {own_zone}
        self.records: dict[str, ZoneRecord] = {}
        self.changes: list[ZoneChange] = []
        self.counts = DirectoryCounters()
        self._pending: dict[tuple[str, str], int] = {}  # deadlines of unconfirmed failures, by zone and name

    # Queries.

    def entry(self, zone: str) -> DigestEntry | None:
        """Entry of the held summary of a zone; None if there is none."""
        record = self.records.get(zone)
        return record.entry if record is not None else None

    def digest(self) -> list[DigestEntry]:
        """Entries of all held summaries, sorted by zone."""
        return [record.entry for _, record in sorted(self.records.items())]

    def state(self, zone: str, name: str) -> RemoteState:
        """State of a member of another zone."""
        record = self.records.get(zone)
        if record is None or not record.is_reachable:
            return RemoteState.UNKNOWN
        member = record.members.get(name)
        return member.state if member is not None else RemoteState.UNLISTED

    def is_newer_content(self, entry: DigestEntry) -> bool:
        """Whether the entry's content is later than the one held here."""
        known = self.entry(entry.zone)
        return known is None or entry.content_precedence > known.content_precedence

    def newer_than(self, entries: Iterable[DigestEntry]) -> list[DigestEntry]:
        """Entries of held summaries that are newer than those in a digest, or missing there."""
        known = {entry.zone: entry.precedence for entry in entries}
        return [
            entry
            for entry in self.digest()
            if entry.zone not in known or entry.precedence > known[entry.zone]
        ]

    # Received summaries.

    def advance(self, entry: DigestEntry, now: int) -> bool:
        """Applies a later heartbeat of the held content; returns whether it was later.

        An entry of a later content, which may not have arrived yet, also shows that the zone is alive.
        """
        record = self.records.get(entry.zone)
        if record is None:
            return False
        held = record.summary.entry.content_precedence
        if entry.content_precedence > held:
            if entry.precedence > record.offered.precedence:
                record.offered = entry
                self._mark_moved(record, now)
            return False
        if entry.content_precedence < held or entry.heartbeat <= record.heartbeat:
            return False
        record.heartbeat = entry.heartbeat
        self._mark_moved(record, now)
        return True

    def merge_summary(self, summary: ZoneSummary, now: int) -> bool:
        """Merges a plausible summary; returns whether its content is newer than the held one and now replaces it."""
        record = self.records.get(summary.zone)
        if record is None:
            if not self._has_room(summary.zone):
                self.counts.zones_full += 1
                return False
            record = self.records[summary.zone] = ZoneRecord(summary, summary.heartbeat, now, summary.entry)
            self._report(summary.zone, "", "", "reachable", f"reported by {summary.author}")
        elif summary.entry.content_precedence <= record.summary.entry.content_precedence:
            self.advance(summary.entry, now)
            return False
        else:
            record.summary = summary
            record.heartbeat = summary.heartbeat
            self._mark_moved(record, now)
        if summary.zone != self.own_zone:
            self._merge_changes(record, now)
        return True

    def _has_room(self, zone: str) -> bool:
        """Whether a zone may be added: unconfigured zones are bounded and cannot take the room of configured ones."""
        if zone in self.configured:
            return True
        others = sum(known not in self.configured for known in self.records)
        return len(self.configured) + others < MAX_ZONES

    def _mark_moved(self, record: ZoneRecord, now: int) -> None:
        record.moved_at = now
        if record.is_reachable:
            return
        record.is_reachable = True
        zone = record.summary.zone
        self._report(zone, "", "unreachable", "reachable", "its heartbeat advances again")
        # The zone could not withdraw failures while it was unreachable.
        for name, member in record.members.items():
            if (zone, name) in self._pending:
                member.confirm_at = self._pending[zone, name] = now + CONFIRMATION_TIME

    def _merge_changes(self, record: ZoneRecord, now: int) -> None:
        for change in record.summary.changes:
            known = record.members.get(change.name)
            if known is None or change.precedence > known.change.precedence:
                self._merge(record, change, known, now)

    def _merge(self, record: ZoneRecord, change: MemberChange, known: RemoteMember | None, now: int) -> None:
        zone = record.summary.zone
        author = record.summary.author
        member = RemoteMember(change, UNCONFIRMED_STATES[change.state])
        record.members.pop(change.name, None)
        record.members[change.name] = member
        self._pending.pop((zone, change.name), None)
        if change.state is MemberState.FAILED:
            member.confirm_at = self._pending[zone, change.name] = now + CONFIRMATION_TIME
        was = known.state.value if known is not None else ""
        if was != member.state.value:
            self._report(zone, change.name, was, member.state.value, f"reported by {author}")
        if len(record.members) > MAX_REMEMBERED_CHANGES:
            oldest = next(iter(record.members))
            del record.members[oldest]
            self._pending.pop((zone, oldest), None)

    def _report(self, zone: str, name: str, was: str, now: str, why: str) -> None:
        if zone != self.own_zone:
            self.changes.append(ZoneChange(zone, name, was, now, why))

    # Time.

    def due(self) -> int | None:
        """The latest time by which `tick` must be called; None if nothing is pending."""
        deadlines = list(self._pending.values())
        deadlines += [
            record.moved_at + UNREACHABLE_TIME for record in self.records.values() if record.is_reachable
        ]
        return min(deadlines, default=None)

    def tick(self, now: int) -> None:
        """Marks silent zones as unreachable, removes forgotten ones, and confirms failures that are due."""
        for zone, record in list(self.records.items()):
            silence = now - record.moved_at
            if record.is_reachable and silence >= UNREACHABLE_TIME:
                record.is_reachable = False
                why = f"no heartbeat for {silence // SECOND} s"
                self._report(zone, "", "reachable", "unreachable", why)
            elif silence >= FORGETTING_TIME and zone not in self.configured:
                del self.records[zone]
        for (zone, name), deadline in list(self._pending.items()):
            if now >= deadline:
                self._confirm(zone, name, now)

    def _confirm(self, zone: str, name: str, now: int) -> None:
        """Confirms a failure that is due, if its zone still reports it and was reachable to withdraw it."""
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
            why = f"reported by {record.summary.author} and not withdrawn"
            self._report(zone, name, RemoteState.SUSPECTED.value, RemoteState.FAILED.value, why)
        else:
            del record.members[name]
            self.counts.taken_back += 1
            why = f"{record.summary.author} no longer reports it"
            self._report(zone, name, RemoteState.SUSPECTED.value, RemoteState.UNLISTED.value, why)
