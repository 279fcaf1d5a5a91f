"""Suspicions of one front: started by its own failed probes, confirmed by other members, ended by its own clock."""

from __future__ import annotations

from collections.abc import Iterator

from oakcroft.decisions.membership.failure_detector import LocalHealth
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import Member, MemberTable
from oakcroft.decisions.membership.suspicion import Suspicion
from oakcroft.interface import MS

ACCUSATIONS = (MemberState.SUSPECTED, MemberState.FAILED)
NOT_CONFIRMING = 2
"""Number of present members that cannot confirm a suspicion: this front and the suspect."""


class SuspicionTracker:
    """Begins, confirms and ends suspicions in a table of members."""

    def __init__(self, table: MemberTable, health: LocalHealth) -> None:
        """`health` determines how far this front extends its timeouts."""
        self.table = table
        self.health = health

    def _deadline(self, suspicion: Suspicion) -> int:
        return suspicion.deadline(len(self.table.present()) - NOT_CONFIRMING)

    def deadlines(self) -> Iterator[int]:
        """End times of all suspicions."""
        suspicions = (member.suspicion for member in self.table.suspects.values())
        return (self._deadline(suspicion) for suspicion in suspicions if suspicion is not None)

    def probe_failed(self, member: Member, now: int) -> None:
        """Handles a failed probe by this front: suspects the member, or confirms an existing suspicion."""
        own_name = self.table.own_name
        if member.suspicion is not None:
            if member.suspicion.confirm(own_name):
                self.table.queue.add(member.latest.with_state(MemberState.SUSPECTED, own_name))
        elif member.latest.state is MemberState.ALIVE:
            suspected = member.latest.with_state(MemberState.SUSPECTED, own_name)
            self.table.set_suspicion(member, Suspicion(now, own_name, self.health.multiplier))
            self.table.transition(member, suspected, now, "no answer, directly or through other members")

    def confirm(self, member: Member, update: MemberUpdate, sender: str) -> None:
        """Counts another member's accusation, suspected or failed, as a confirmation of an existing suspicion."""
        latest = member.latest
        is_same = (update.generation, update.incarnation) == (latest.generation, latest.incarnation)
        if member.suspicion is None or not is_same or update.state not in ACCUSATIONS:
            return
        accuser = update.reported_by or sender
        if member.suspicion.confirm(accuser):
            self.table.queue.add(update.with_state(MemberState.SUSPECTED, accuser))

    def expire(self, now: int) -> None:
        """Declares members failed whose suspicion has ended."""
        for member in list(self.table.suspects.values()):
            suspicion = member.suspicion
            if suspicion is None or now < self._deadline(suspicion):
                continue
            self.table.set_suspicion(member, None)
            accusers = sorted({suspicion.first_accuser, *suspicion.confirmations})
            duration = (now - suspicion.started_at) // MS
            why = f"suspected for {duration} ms by {', '.join(accusers)}"
            failed = member.latest.with_state(MemberState.FAILED, self.table.own_name)
            self.table.transition(member, failed, now, why)

    def extend_all(self, duration: int) -> None:
        """Extends all suspicions by a time in which this front was paused."""
        for member in self.table.suspects.values():
            if member.suspicion is not None:
                member.suspicion.extend(duration)
