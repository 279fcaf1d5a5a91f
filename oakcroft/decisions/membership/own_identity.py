"""This front's own identity: refutes accusations, chooses its generation, leaves, and resolves name conflicts.

If two processes use one name, the one with the later generation keeps it. The earlier one pings the other's address, is
inactive (`displaced`) while that answers, and takes the name back when nothing answers there.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from oakcroft.decisions.membership.member import MAX_INCARNATION, MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import MemberTable
from oakcroft.decisions.membership.messages import MemberId, Message, MessageKind
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.interface import SECOND

CONFLICT_RECHECK = 5 * SECOND
"""Time after which the other process under this name is pinged again."""

CONFLICT_ANSWER_TIMEOUT = 3 * SECOND

CONFLICT_MAX_MISSED = 2
"""Pings that the other process may leave unanswered before a displaced front takes the name back."""

LEAVE_FANOUT = 12
"""Members that receive a leave directly; gossip reaches the others."""

ALIVE = MemberState.ALIVE.label
DISPLACED = "displaced"


@dataclass(frozen=True)
class NameConflict:
    """Another process under this front's name. `sequence` is that of an open ping to it (0 for none)."""

    other: MemberUpdate
    sequence: int
    until: int
    missed: int = 0


class OwnIdentity:
    """Maintains this front's own update and resolves conflicts over its name."""

    def __init__(self, table: MemberTable, outbox: Outbox, secret: bytes) -> None:
        """`secret` proves a leave; `table.own_update` contains its digest."""
        self.table = table
        self.outbox = outbox
        self.secret = secret
        self.conflict: NameConflict | None = None
        self.displaced = False
        self.left = False

    @property
    def own_update(self) -> MemberUpdate:
        """This front's own update."""
        return self.table.own_update

    def _is_earlier(self, other: MemberUpdate) -> bool:
        return (other.generation, other.address) < (self.own_update.generation, self.own_update.address)

    def merge_own_update(self, update: MemberUpdate, sender: str, now: int) -> bool:
        """Processes an update about this front that another sent; returns whether it had to be refuted."""
        if update.generation == self.own_update.generation:
            return self._refute(update, sender)
        if update.generation > self.own_update.generation:
            if update.address == self.own_update.address or update.state is MemberState.LEFT:
                self._supersede(update, f"{sender} knows a later generation")
            elif self.conflict is None or self.conflict.other.generation < update.generation:
                self._ping_other(update, now)
        return False

    def _refute(self, update: MemberUpdate, sender: str) -> bool:
        if update.state is MemberState.LEFT or update.precedence <= self.own_update.precedence:
            return False
        own_update = replace(self.own_update, incarnation=update.incarnation + 1)
        if own_update.incarnation >= MAX_INCARNATION:
            # A faulty member claimed the highest incarnation; a higher one would be dropped by all others.
            own_update = replace(self.own_update, generation=self.own_update.generation + 1, incarnation=0)
        self.table.announce(own_update)
        if update.state is not MemberState.ALIVE:
            why = f"refuted the report of {update.reported_by or sender}"
            self.table.record_own_change(update.state.label, ALIVE, why)
        return True

    def _supersede(self, former: MemberUpdate, why: str) -> None:
        """Raises the generation above an earlier process's: the clock went back, or the generation file was lost."""
        self.conflict = None
        self.displaced = False
        self.table.announce(replace(self.own_update, generation=former.generation + 1, incarnation=0))
        self.table.record_own_change(ALIVE, ALIVE, f"start {self.own_update.generation}: {why}")

    def _ping_other(self, other: MemberUpdate, now: int, missed: int = 0) -> None:
        """Pings the address of a process that is reported to use this front's name with a later generation."""
        sequence = self.outbox.new_sequence()
        self.conflict = NameConflict(other, sequence, now + CONFLICT_ANSWER_TIMEOUT, missed)
        receiver = MemberId(other.name, other.generation)
        self.outbox.put(
            Message(MessageKind.PING, other.address, sequence, receiver, updates=[self.own_update])
        )

    def received_from_namesake(
        self, sender: MemberUpdate, kind: MessageKind, sequence: int, now: int
    ) -> bool:
        """Processes a message under this front's own name; returns whether this front has just been displaced."""
        if sender.generation == self.own_update.generation and sender.address == self.own_update.address:
            return False  # its own message
        if self._is_earlier(sender):
            self._answer_earlier(sender, kind, sequence, now)
            return False
        if sender.address == self.own_update.address:
            self._supersede(sender, "an earlier process here had a later generation")
            return False
        is_newly_displaced = not self.displaced
        if is_newly_displaced:
            self.displaced = True
            why = f"another process under this name at {sender.host}:{sender.port}, started later"
            self.table.record_own_change(ALIVE, DISPLACED, why)
        self.conflict = NameConflict(sender, 0, now + CONFLICT_RECHECK)
        return is_newly_displaced

    def _answer_earlier(self, sender: MemberUpdate, kind: MessageKind, sequence: int, now: int) -> None:
        """Lets a process that started earlier under this name know that this one is alive."""
        if kind is MessageKind.PING:
            receiver = MemberId(sender.name, sender.generation)
            self.outbox.put(
                Message(MessageKind.ACK, sender.address, sequence, receiver, updates=[self.own_update])
            )
        if sender.address == self.own_update.address:
            return
        if self.conflict is None or self.conflict.other != sender:
            why = f"another process under this name at {sender.host}:{sender.port}, started earlier"
            self.table.record_own_change(ALIVE, ALIVE, why)
        self.conflict = NameConflict(sender, 0, now + CONFLICT_RECHECK)

    def tick(self, now: int) -> None:
        """Handles an unanswered ping to the other process under this name, or pings it again."""
        conflict = self.conflict
        if conflict is None or now < conflict.until:
            return
        if self._is_earlier(conflict.other):
            self.conflict = None  # the earlier process has been silent since
            return
        was_pinged = conflict.sequence != 0
        if was_pinged and (conflict.missed >= CONFLICT_MAX_MISSED or not self.displaced):
            address = f"{conflict.other.host}:{conflict.other.port}"
            self._supersede(conflict.other, f"no answer from {address}")
            return
        self._ping_other(conflict.other, now, conflict.missed + 1 if was_pinged else 0)

    def leave(self) -> None:
        """Leaves the fleet: sends a last update, with the secret that proves it, to some of the others."""
        if self.left or self.displaced:
            return
        last = replace(self.own_update, state=MemberState.LEFT, proof=self.secret)
        self.table.set_left(last)
        for name in self.table.sample(LEAVE_FANOUT):
            address = self.table.members[name].latest.address
            self.outbox.put(Message(MessageKind.GOSSIP, address, updates=[last]))
        self.left = True
