"""Merges received updates into the member table: new members, state changes, confirmations and disputed failures.

An update that a present member has failed is never applied directly. If the member is suspected here too, the update
counts as a confirmation; otherwise the failure is disputed: this front probes the member itself, with the update in the
message, so that the member can refute it.
"""

from __future__ import annotations

from oakcroft.decisions.membership.counters import Counters
from oakcroft.decisions.membership.failure_detector import LocalHealth
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, supersedes
from oakcroft.decisions.membership.member_table import PRESENT_STATES, Member, MemberTable
from oakcroft.decisions.membership.messages import MessageKind
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.decisions.membership.own_identity import OwnIdentity
from oakcroft.decisions.membership.prober import Prober
from oakcroft.decisions.membership.suspicion import Suspicion
from oakcroft.decisions.membership.suspicion_tracker import SuspicionTracker
from oakcroft.interface import MS

MAX_DISPUTED = 256
"""Disputed failures that wait for a probe; further ones are dropped, and gossip brings them again."""

DISPUTE_INTERVAL = 50 * MS
DISPUTES_PER_INTERVAL = 4
"""Members probed per interval: after a partition hundreds of failures may be disputed at once."""


class UpdateMerger:
    """Merges updates into one front's table."""

    def __init__(
        self,
        table: MemberTable,
        outbox: Outbox,
        identity: OwnIdentity,
        prober: Prober,
        suspicions: SuspicionTracker,
        health: LocalHealth,
        counters: Counters,
        now: int,
    ) -> None:
        """Shares its components with the `Membership` that it belongs to."""
        self.table = table
        self.outbox = outbox
        self.identity = identity
        self.prober = prober
        self.suspicions = suspicions
        self.health = health
        self.counters = counters
        self.disputed: dict[str, MemberUpdate] = {}
        self.next_dispute_at = now

    def merge(self, update: MemberUpdate, sender: str, now: int) -> None:
        """Merges one update, received from the member `sender`."""
        if not update.is_plausible():
            self.counters.unsound += 1
            return
        if update.name == self.table.own_name:
            if self.identity.merge_own_update(update, sender, now):
                self.counters.refuted += 1
            return
        member = self.table.members.get(update.name)
        if member is None:
            self._admit(update, sender, now)
        elif supersedes(update, member.latest):
            self._apply(member, update, sender, now)
        else:
            self._handle_outdated(member, update, sender)

    def _admit(self, update: MemberUpdate, sender: str, now: int) -> None:
        if update.state is MemberState.FAILED:
            return  # otherwise fronts would pass failed members on to each other forever
        suspicion = None
        if update.state is MemberState.SUSPECTED:
            suspicion = Suspicion(now, update.reported_by or sender)
        if self.table.admit(update, suspicion, now, _source(update, sender)):
            self.prober.round.add(update.name)
        else:
            self.counters.full += 1

    def _handle_outdated(self, member: Member, update: MemberUpdate, sender: str) -> None:
        """Handles an update without precedence, which may confirm a suspicion or be a leave without proof."""
        latest = member.latest
        self.suspicions.confirm(member, update, sender)
        leaves = update.state is MemberState.LEFT and latest.state is not MemberState.LEFT
        if leaves and update.generation == latest.generation:
            self.counters.refused_leaves += 1

    def _apply(self, member: Member, update: MemberUpdate, sender: str, now: int) -> None:
        latest = member.latest
        if update.state is MemberState.FAILED and latest.state in PRESENT_STATES:
            self._dispute(member, update, sender)
            return
        if update.state is MemberState.SUSPECTED:
            accuser = update.reported_by or sender
            self.table.set_suspicion(member, Suspicion(now, accuser))
            self.table.transition(member, update, now, f"suspected by {accuser}")
            return
        suspicion = member.suspicion
        was_own_suspicion = suspicion is not None and suspicion.first_accuser == self.table.own_name
        if was_own_suspicion and update.state is MemberState.ALIVE:
            self.health.worsen()
        self.table.set_suspicion(member, None)
        why = _source(update, sender)
        if update.generation > latest.generation:
            member.count_restart(now)
            why += ", a new process"
        self.table.transition(member, update, now, why)

    def _dispute(self, member: Member, update: MemberUpdate, sender: str) -> None:
        self.suspicions.confirm(member, update, sender)
        if member.latest.state is MemberState.ALIVE and len(self.disputed) < MAX_DISPUTED:
            self.disputed[update.name] = update

    def probe_disputed(self, now: int) -> None:
        """Probes members that others report as failed and this front does not, and sends them that update."""
        if not self.disputed or now < self.next_dispute_at:
            return
        self.next_dispute_at = now + DISPUTE_INTERVAL
        for name in list(self.disputed)[:DISPUTES_PER_INTERVAL]:
            accusation = self.disputed.pop(name)
            member = self.table.members.get(name)
            if member is None or member.latest.state is not MemberState.ALIVE:
                continue
            if supersedes(accusation, member.latest):
                self.prober.probe(name, now)
                self.outbox.send(MessageKind.GOSSIP, name, first=accusation)


def _source(update: MemberUpdate, sender: str) -> str:
    """Source of an update, for the reason of a change."""
    return f"reported by {sender}" if sender != update.name else "by its own message"
