"""What a front's flat membership tells its zone's author, and what others say of its zone.

Changes that other zones are to be told of are noted from the flat membership. A summary of the own zone that
somebody else wrote is examined: what it holds against a member that is present here is put to that member,
as any claim of a failure in the flat protocol, so that it can refute; and once it has, other zones are told.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import PRESENT_STATES, StateChange
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.zone_author import LocalState, ZoneAuthor
from oakcroft.decisions.membership.zone_summary import (
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
    member_digest,
)
from oakcroft.interface import SECOND

NEWCOMER_REPORT_DELAY = 60 * SECOND
"""Of a front's own start: whom it finds earlier did not join, it was there."""

ABSENT_LABELS = ("", MemberState.FAILED.label, MemberState.LEFT.label)
"""What a member was, in a change, that was not there before."""


def contact_of(member: MemberUpdate) -> ZoneContact:
    """Where a member of a zone can be reached."""
    return ZoneContact(member.name, member.generation, member.zone, member.host, member.port)


class ZoneReporter:
    """Stands between one front's flat membership and the author of its zone's summary."""

    def __init__(self, membership: Membership, author: ZoneAuthor, now: int) -> None:
        """Both as they are at the front's start."""
        self.membership = membership
        self.author = author
        self.started_at = now
        self._digest_of: list[str] | None = None
        self._digest = 0
        self._differs_since: int | None = None

    def note(self, change: StateChange, now: int) -> None:
        """A change of the own zone, as the flat membership tells it."""
        member = self.membership.members.get(change.name)
        if member is None or member.latest.state is MemberState.SUSPECTED:
            return
        latest = member.latest
        if latest.state is MemberState.ALIVE and not self._is_return(change, now):
            return
        told = MemberChange(change.name, latest.generation, latest.incarnation, latest.state)
        self.author.note(told, now)

    def _is_return(self, change: StateChange, now: int) -> bool:
        """Whether a member that is alive is news to other zones."""
        if change.was == "":
            return now - self.started_at >= NEWCOMER_REPORT_DELAY
        return change.was in ABSENT_LABELS or change.name in self.author.recent

    def local_state(self, delegates: Iterable[str]) -> LocalState:
        """The own zone as a summary tells it."""
        members = self.membership.members
        table = self.membership.table
        present = self.membership.present()
        counts = StateCounts(len(present), table.count(MemberState.FAILED), table.count(MemberState.LEFT))
        contacts = tuple(contact_of(members[name].latest) for name in delegates if name in members)
        return LocalState(counts, contacts, self.digest())

    def digest(self) -> int:
        """Digest of the members that are present here; reckoned anew when they have changed."""
        present = self.membership.present()
        if present is not self._digest_of:
            members = self.membership.members
            self._digest_of = present
            self._digest = member_digest([(name, members[name].latest.generation) for name in present])
        return self._digest

    def differs_for(self, summary: ZoneSummary, now: int) -> int:
        """For how long the members here have not been those of the zone's summary."""
        if self.digest() == summary.member_digest:
            self._differs_since = None
            return 0
        if self._differs_since is None:
            self._differs_since = now
        return now - self._differs_since

    def examine(self, summary: ZoneSummary, now: int) -> None:
        """A summary of the own zone that came from elsewhere, whatever author it names: what this front
        wrote it holds already."""
        for change in summary.changes:
            self._adopt(change, now)
            if change.state is not MemberState.ALIVE:
                self._examine(change, summary.author, now)

    def _adopt(self, change: MemberChange, now: int) -> None:
        """What another author lists and this front agrees with it will list as well, should it become the
        author: or what waits for confirmation elsewhere would be dropped."""
        member = self.membership.members.get(change.name)
        recent = self.author.recent.get(change.name)
        if member is None or (recent is not None and recent.change.precedence >= change.precedence):
            return
        latest = member.latest
        if (latest.generation, latest.state) == (change.generation, change.state):
            self.author.note(change, now)

    def _examine(self, change: MemberChange, author: str, now: int) -> None:
        member = self.membership.members.get(change.name)
        if member is None or member.latest.state not in PRESENT_STATES:
            return
        latest = member.latest
        if change.precedence <= (latest.generation, latest.incarnation, MemberState.ALIVE.value):
            return
        self.author.contest(change)
        claim = replace(
            latest,
            generation=change.generation,
            incarnation=change.incarnation,
            state=MemberState.FAILED,
            reported_by=author,
        )
        self.membership.merger.merge(claim, author, now)

    def report_refuted(self, now: int) -> None:
        """Contested members that have raised their incarnation are told of as alive."""
        present = []
        for name in self.author.contested:
            member = self.membership.members.get(name)
            if member is not None and member.latest.state in PRESENT_STATES:
                latest = member.latest
                present.append(MemberChange(name, latest.generation, latest.incarnation, MemberState.ALIVE))
        self.author.record_refutations(present, now)
