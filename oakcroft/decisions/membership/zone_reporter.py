"""Passes changes from a front's flat membership to its zone's author, and checks summaries of the zone by other
authors.

Changes of the flat membership that other zones need to know are recorded for the summary. Summaries of the own zone by
other authors are examined: if one reports a member as failed or left that is present here, the accusation is merged
into the flat membership, so that the member can refute it, and the refutation is then reported to other zones.
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
"""Time from the front's start before a member found counts as one that joined the zone: those found earlier were
present before this front."""

ABSENT_LABELS = ("", MemberState.FAILED.label, MemberState.LEFT.label)
"""Previous states, in a change, of a member that was not present before."""


def contact_of(member: MemberUpdate) -> ZoneContact:
    """The contact of a member."""
    return ZoneContact(member.name, member.generation, member.zone, member.host, member.port)


class ZoneReporter:
    """Connects a front's flat membership with the author of its zone's summary."""

    def __init__(self, membership: Membership, author: ZoneAuthor, now: int) -> None:
        """`now` is the time of the front's start."""
        self.membership = membership
        self.author = author
        self.started_at = now
        self._digested_members: list[str] | None = None
        self._digest = 0
        self._differs_since: int | None = None

    def record_change(self, change: StateChange, now: int) -> None:
        """Records a change of the own zone for the summary, if other zones need to know it."""
        member = self.membership.members.get(change.name)
        if member is None or member.latest.state is MemberState.SUSPECTED:
            return
        latest = member.latest
        if latest.state is MemberState.ALIVE and not self._is_return(change, now):
            return
        member_change = MemberChange(change.name, latest.generation, latest.incarnation, latest.state)
        self.author.record_change(member_change, now)

    def _is_return(self, change: StateChange, now: int) -> bool:
        """Whether other zones do not know yet that a member is alive."""
        if change.was == "":
            return now - self.started_at >= NEWCOMER_REPORT_DELAY
        return change.was in ABSENT_LABELS or change.name in self.author.recent

    def local_state(self, delegates: Iterable[str]) -> LocalState:
        """The own zone as a summary contains it."""
        members = self.membership.members
        table = self.membership.table
        present = self.membership.present()
        counts = StateCounts(len(present), table.count(MemberState.FAILED), table.count(MemberState.LEFT))
        contacts = tuple(contact_of(members[name].latest) for name in delegates if name in members)
        return LocalState(counts, contacts, self.digest())

    def digest(self) -> int:
        """Digest of the present members; computed again when they have changed."""
        present = self.membership.present()
        if present is not self._digested_members:
            members = self.membership.members
            self._digested_members = present
            self._digest = member_digest([(name, members[name].latest.generation) for name in present])
        return self._digest

    def differs_for(self, summary: ZoneSummary, now: int) -> int:
        """How long the members here have differed from those in the zone's summary; 0 if they match."""
        if self.digest() == summary.member_digest:
            self._differs_since = None
            return 0
        if self._differs_since is None:
            self._differs_since = now
        return now - self._differs_since

    def examine(self, summary: ZoneSummary, now: int) -> None:
        """Examines a summary of the own zone that was received from another front, whatever author it names."""
        for change in summary.changes:
            self._adopt(change, now)
            if change.state is not MemberState.ALIVE:
                self._examine_accusation(change, summary.author, now)

    def _adopt(self, change: MemberChange, now: int) -> None:
        """Records a change that another author lists, if this front agrees with it.

        Should this front become the author, it lists the change too; otherwise other zones would drop failures that
        they have not confirmed yet.
        """
        member = self.membership.members.get(change.name)
        recent = self.author.recent.get(change.name)
        if member is None or (recent is not None and recent.change.precedence >= change.precedence):
            return
        latest = member.latest
        if (latest.generation, latest.state) == (change.generation, change.state):
            self.author.record_change(change, now)

    def _examine_accusation(self, change: MemberChange, author: str, now: int) -> None:
        member = self.membership.members.get(change.name)
        if member is None or member.latest.state not in PRESENT_STATES:
            return
        latest = member.latest
        if change.precedence <= (latest.generation, latest.incarnation, MemberState.ALIVE.value):
            return
        self.author.contest(change)
        accusation = replace(
            latest,
            generation=change.generation,
            incarnation=change.incarnation,
            state=MemberState.FAILED,
            reported_by=author,
        )
        self.membership.merger.merge(accusation, author, now)

    def report_refuted(self, now: int) -> None:
        """Reports contested members as alive that have raised their incarnation."""
        present = []
        for name in self.author.contested:
            member = self.membership.members.get(name)
            if member is not None and member.latest.state in PRESENT_STATES:
                latest = member.latest
                present.append(MemberChange(name, latest.generation, latest.incarnation, MemberState.ALIVE))
        self.author.record_refutations(present, now)
