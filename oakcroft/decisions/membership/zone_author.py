"""Authoring of the summary of a front's own zone: its content, its heartbeat, and when they are published.

Every front keeps the recent changes, since any may become the author. The delegate of rank 0 is the author; each
further rank takes over after one more heartbeat interval without a new summary or heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.zone_directory import ZoneRecord
from oakcroft.decisions.membership.zone_messages import MAX_PAYLOAD_BYTES, change_size, summary_size
from oakcroft.decisions.membership.zone_summary import (
    MAX_CHANGES,
    MAX_COUNTER,
    DigestEntry,
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
    next_key,
)
from oakcroft.interface import SECOND

HEARTBEAT_INTERVAL = 3 * SECOND
"""Interval between two heartbeats of a zone's summary. The author sends them to each zone directly, 1.4 kB a second at
32 zones."""

PUBLICATION_SPACING = 2 * SECOND
"""Minimum time between two contents by one author; changes in between are published together."""

RECENT_CHANGE_TIME = 60 * SECOND
"""Time for which every change is listed, up to `MAX_CHANGES`: ten times what it takes to reach all readers."""

MIN_LISTED_CHANGES = 8
"""Changes that are listed even if they are older, for a region that returns after a long partition."""

MAX_RECENT = 64
MAX_CONTESTED = 256


@dataclass(frozen=True)
class RecentChange:
    """A change of a member of the own zone, and when this front saw it."""

    change: MemberChange
    at: int


@dataclass(frozen=True)
class LocalState:
    """The own zone according to this front's flat membership, as far as a summary contains it."""

    counts: StateCounts
    delegates: tuple[ZoneContact, ...]
    member_digest: int


class ZoneAuthor:
    """Authors the summary of a front's own zone while this front is the author."""

    def __init__(self, own_contact: ZoneContact, region: str, now: int) -> None:
        """Starts without changes."""
        self.own_contact = own_contact
        self.region = region
        self.recent: dict[str, RecentChange] = {}
        self.contested: dict[str, MemberChange] = {}
        self.published_at = now - PUBLICATION_SPACING
        self.next_heartbeat_at = now
        self.published: int | None = None  # fingerprint of this front's own last content

    # Changes.

    def record_change(self, change: MemberChange, now: int) -> None:
        """Records a change of a member, to be listed in the summary."""
        self.recent.pop(change.name, None)
        self.recent[change.name] = RecentChange(change, now)
        while len(self.recent) > MAX_RECENT:
            del self.recent[next(iter(self.recent))]

    def contest(self, accusation: MemberChange) -> None:
        """Records that another author reported a present member of this zone as failed or left."""
        if accusation.name in self.contested or len(self.contested) < MAX_CONTESTED:
            self.contested[accusation.name] = accusation

    def record_refutations(self, members: Iterable[MemberChange], now: int) -> None:
        """Records as alive the contested members whose incarnation is now above that of the accusation."""
        for change in members:
            if change.precedence > self.contested[change.name].precedence:
                del self.contested[change.name]
                self.record_change(change, now)

    def changes(self, room: int, now: int) -> tuple[MemberChange, ...]:
        """The changes to list in a summary, in at most `room` octets; sorted by name, so that all authors agree."""
        fresh = [recent for recent in self.recent.values() if now - recent.at < RECENT_CHANGE_TIME]
        older = [recent for recent in self.recent.values() if now - recent.at >= RECENT_CHANGE_TIME]
        padding = older[max(0, len(older) - max(0, MIN_LISTED_CHANGES - len(fresh))) :]
        listed = _fitting([recent.change for recent in [*_by_urgency(fresh), *padding]], room)
        return tuple(sorted(listed, key=lambda change: change.name))

    # Publication.

    def is_due(self, rank: int | None, record: ZoneRecord | None, now: int) -> bool:
        """Whether this front is the author now; `rank` is its rank among the delegates."""
        if rank is None:
            return False
        if rank == 0 or record is None:
            return True
        return now - record.moved_at > (1 + rank) * HEARTBEAT_INTERVAL

    def next_summary(self, local: LocalState, record: ZoneRecord | None, now: int) -> ZoneSummary | None:
        """The summary to publish now, if any: with new content, or the known content with the next heartbeat."""
        desired = self._content(local, record, now)
        is_new = record is None or not self._is_still_valid(desired, record.summary)
        if is_new and now - self.published_at >= PUBLICATION_SPACING:
            self.published_at = now
            self.published = desired.fingerprint
            return desired
        if record is None or now < self.next_heartbeat_at:
            return None
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL
        if record.heartbeat + 1 >= MAX_COUNTER:
            return desired
        return record.summary.with_heartbeat(record.heartbeat + 1)

    def _is_still_valid(self, desired: ZoneSummary, held: ZoneSummary) -> bool:
        """Whether the held summary need not be replaced.

        This front's own content is not replaced only because listed changes have aged; another author's content is
        replaced if anything differs.
        """
        if desired.has_same_content(held):
            return True
        is_own = held.fingerprint == self.published
        has_only_aged = set(desired.changes) <= set(held.changes)
        return is_own and has_only_aged and desired.has_same_content(replace(held, changes=desired.changes))

    def _content(self, local: LocalState, record: ZoneRecord | None, now: int) -> ZoneSummary:
        epoch, version = next_key(_greatest_known(record), self.own_contact.generation)
        without_changes = ZoneSummary(
            self.own_contact.zone,
            self.region,
            self.own_contact.name,
            epoch,
            version,
            0,
            local.counts,
            local.delegates,
            local.member_digest,
            (),
        )
        room = MAX_PAYLOAD_BYTES - summary_size(without_changes)
        return replace(without_changes, changes=self.changes(room, now))


def _greatest_known(record: ZoneRecord | None) -> DigestEntry | None:
    """The entry that a new content must exceed: of the held content, or of a greater one known only from a digest.

    An author that lacks the last contents would otherwise publish versions that nobody accepts, until it has caught up
    with its predecessor.
    """
    if record is None:
        return None
    return max(record.entry, record.offered, key=lambda entry: entry.content_precedence)


def _by_urgency(recent: Sequence[RecentChange]) -> list[RecentChange]:
    """Order in which changes are listed if not all fit; `recent` has the earliest first.

    Failures come first, the earliest first, since in a mass failure readers must find them again to confirm them. Other
    changes need no confirmation and come latest first: when a release restarts more members than a summary lists, the
    last ones would otherwise stay listed as left, while returns that all readers already know take up the space.
    """
    failures = [entry for entry in recent if entry.change.state is MemberState.FAILED]
    others = [entry for entry in recent if entry.change.state is not MemberState.FAILED]
    return [*failures, *reversed(others)]


def _fitting(changes: Iterable[MemberChange], room: int) -> list[MemberChange]:
    """The first changes that fit in `room` octets, at most as many as a summary may list."""
    listed: list[MemberChange] = []
    for change in changes:
        room -= change_size(change)
        if room < 0 or len(listed) == MAX_CHANGES:
            break
        listed.append(change)
    return listed
