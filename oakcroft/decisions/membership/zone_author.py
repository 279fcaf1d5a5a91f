"""What a front says of its own zone to others, and when: the content of the zone's summary, and its
heartbeat.

Every front keeps the recent changes, since any may become the author. The delegate of first rank authors;
one of a later rank steps in where the summary has not moved for so many heartbeats more.
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
"""Between two moves of a zone's summary: at 32 zones 1.4 kB a second of the author, who tells each zone
directly."""

PUBLICATION_SPACING = 2 * SECOND
"""At least, between two contents of one author: what changes meanwhile goes together."""

RECENT_CHANGE_TIME = 60 * SECOND
"""For which every recent change is listed, up to `MAX_CHANGES`: ten times what a reader needs to take it
in."""

MIN_LISTED_CHANGES = 8
"""Changes that are listed even when they are older: for a region that returns after long."""

MAX_RECENT = 64
MAX_CONTESTED = 256


@dataclass(frozen=True)
class RecentChange:
    """A change of a member of the own zone, and when it was seen here."""

    change: MemberChange
    at: int


@dataclass(frozen=True)
class LocalState:
    """The own zone by the flat membership of this front, as the summary tells it."""

    counts: StateCounts
    delegates: tuple[ZoneContact, ...]
    member_digest: int


class ZoneAuthor:
    """Authors the summary of one front's own zone, when it is this front's turn."""

    def __init__(self, me: ZoneContact, region: str, now: int) -> None:
        """Nothing has changed yet."""
        self.me = me
        self.region = region
        self.recent: dict[str, RecentChange] = {}
        self.contested: dict[str, MemberChange] = {}
        self.published_at = now - PUBLICATION_SPACING
        self.next_heartbeat_at = now
        self.published: int | None = None  # fingerprint of this front's own last content

    # What has changed.

    def note(self, change: MemberChange, now: int) -> None:
        """A change of a member that others are to be told of."""
        self.recent.pop(change.name, None)
        self.recent[change.name] = RecentChange(change, now)
        while len(self.recent) > MAX_RECENT:
            del self.recent[next(iter(self.recent))]

    def contest(self, accusation: MemberChange) -> None:
        """Somebody told of this zone that a member failed or left which is present here."""
        if accusation.name in self.contested or len(self.contested) < MAX_CONTESTED:
            self.contested[accusation.name] = accusation

    def record_refutations(self, members: Iterable[MemberChange], now: int) -> None:
        """Contested members as they stand: one that has raised its incarnation over the accusation is told
        of as alive."""
        for change in members:
            if change.precedence > self.contested[change.name].precedence:
                del self.contested[change.name]
                self.note(change, now)

    def changes(self, room: int, now: int) -> tuple[MemberChange, ...]:
        """The changes that a summary lists now, in so many octets; by name, so that two authors write the
        same."""
        fresh = [recent for recent in self.recent.values() if now - recent.at < RECENT_CHANGE_TIME]
        older = [recent for recent in self.recent.values() if now - recent.at >= RECENT_CHANGE_TIME]
        padding = older[max(0, len(older) - max(0, MIN_LISTED_CHANGES - len(fresh))) :]
        listed = _fitting([recent.change for recent in [*_by_urgency(fresh), *padding]], room)
        return tuple(sorted(listed, key=lambda change: change.name))

    # When it is told.

    def is_due(self, rank: int | None, record: ZoneRecord | None, now: int) -> bool:
        """Whether this front is to author now; `rank` is its own among the delegates."""
        if rank is None:
            return False
        if rank == 0 or record is None:
            return True
        return now - record.moved_at > (1 + rank) * HEARTBEAT_INTERVAL

    def next_summary(self, local: LocalState, record: ZoneRecord | None, now: int) -> ZoneSummary | None:
        """The summary to be published now, if any: a new content, or the content that is known with the next
        heartbeat."""
        desired = self._content(local, record, now)
        is_new = record is None or not self._still_holds(desired, record.summary)
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

    def _still_holds(self, desired: ZoneSummary, held: ZoneSummary) -> bool:
        """Whether what is held need not be replaced. That changes of this front's own content have aged is
        no reason to publish another; of another's content everything has to be right."""
        if desired.has_same_content(held):
            return True
        is_own = held.fingerprint == self.published
        has_only_aged = set(desired.changes) <= set(held.changes)
        return is_own and has_only_aged and desired.has_same_content(replace(held, changes=desired.changes))

    def _content(self, local: LocalState, record: ZoneRecord | None, now: int) -> ZoneSummary:
        epoch, version = next_key(_greatest_known(record), self.me.generation)
        bare = ZoneSummary(
            self.me.zone,
            self.region,
            self.me.name,
            epoch,
            version,
            0,
            local.counts,
            local.delegates,
            local.member_digest,
            (),
        )
        return replace(bare, changes=self.changes(MAX_PAYLOAD_BYTES - summary_size(bare), now))


def _greatest_known(record: ZoneRecord | None) -> DigestEntry | None:
    """The entry to be outbid: of the content that is held, or of one that was only heard of.

    Guards against an author that gossip has missed: at the next version of an old content it would write what nobody
    takes, until it has come up with its predecessor.
    """
    if record is None:
        return None
    return max(record.entry, record.offered, key=lambda entry: entry.content_precedence)


def _by_urgency(recent: Sequence[RecentChange]) -> list[RecentChange]:
    """Which changes are listed where not all can be; `recent` has the earliest first.

    Failures, the earliest first: in a mass failure a reader must find again what it is to confirm. All else needs no
    confirmation, so the latest first: guards a release of more members than a summary lists, whose last ones would
    stay listed as left while returns that everybody has taken in hold the places.
    """
    failures = [each for each in recent if each.change.state is MemberState.FAILED]
    others = [each for each in recent if each.change.state is not MemberState.FAILED]
    return [*failures, *reversed(others)]


def _fitting(changes: Iterable[MemberChange], room: int) -> list[MemberChange]:
    """As many changes as a summary may list and so many octets hold."""
    listed: list[MemberChange] = []
    for change in changes:
        room -= change_size(change)
        if room < 0 or len(listed) == MAX_CHANGES:
            break
        listed.append(change)
    return listed
