"""This front's own name: refuting what others say of it, its generation, leaving, and another process under the name.

Two processes under one name: the later generation holds. The earlier one asks at the other's address, stands aside while
that answers (`displaced`), and comes back when nobody answers there.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from oakcroft.decisions.membership.member import MAX_INCARNATION, MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import MemberTable
from oakcroft.decisions.membership.messages import MemberId, Message, MessageKind
from oakcroft.decisions.membership.outbox import Outbox
from oakcroft.interface import SECOND

CONFLICT_RECHECK = 5 * SECOND
"""After which the other process under this name is asked again."""

CONFLICT_ANSWER_TIMEOUT = 3 * SECOND

CONFLICT_MAX_MISSED = 2
"""Questions that the other process may leave unanswered before a displaced front comes back."""

LEAVE_FANOUT = 12
"""Members that are told directly that this front leaves; gossip carries it on."""

ALIVE = MemberState.ALIVE.label
DISPLACED = "displaced"


@dataclass(frozen=True)
class NameConflict:
    """Another process under this front's name. `sequence`: of the question it was asked (0: none is open)."""

    other: MemberUpdate
    sequence: int
    until: int
    missed: int = 0


class OwnIdentity:
    """What this front says of itself, and defends."""

    def __init__(self, table: MemberTable, outbox: Outbox, secret: bytes) -> None:
        """`secret` is what `table.me` announces the digest of."""
        self.table = table
        self.outbox = outbox
        self.secret = secret
        self.conflict: NameConflict | None = None
        self.displaced = False
        self.left = False

    @property
    def me(self) -> MemberUpdate:
        """What this front says of itself."""
        return self.table.me

    def _is_earlier(self, other: MemberUpdate) -> bool:
        return (other.generation, other.address) < (self.me.generation, self.me.address)

    def merge_own_update(self, update: MemberUpdate, by: str, now: int) -> bool:
        """What others say of this front; whether it had to refute it."""
        if update.generation == self.me.generation:
            return self._refute(update, by)
        if update.generation > self.me.generation:
            if update.address == self.me.address or update.state is MemberState.LEFT:
                self._supersede(update, f"{by} knows a later start")
            elif self.conflict is None or self.conflict.other.generation < update.generation:
                self._ask_other(update, now)
        return False

    def _refute(self, update: MemberUpdate, by: str) -> bool:
        if update.state is MemberState.LEFT or update.precedence <= self.me.precedence:
            return False
        me = replace(self.me, incarnation=update.incarnation + 1)
        if me.incarnation >= MAX_INCARNATION:
            # Guards against a liar that claims the highest incarnation there is: one more would be dropped by all.
            me = replace(self.me, generation=self.me.generation + 1, incarnation=0)
        self.table.announce(me)
        if update.state is not MemberState.ALIVE:
            why = f"refuted what {update.reported_by or by} said"
            self.table.record_own_change(update.state.label, ALIVE, why)
        return True

    def _supersede(self, former: MemberUpdate, why: str) -> None:
        """An earlier life had a higher generation: the clock went back, or the file is lost."""
        self.conflict = None
        self.displaced = False
        self.table.announce(replace(self.me, generation=former.generation + 1, incarnation=0))
        self.table.record_own_change(ALIVE, ALIVE, f"start {self.me.generation}: {why}")

    def _ask_other(self, other: MemberUpdate, now: int, missed: int = 0) -> None:
        """Asks at the address where this front's name is said to have a later generation."""
        sequence = self.outbox.new_sequence()
        self.conflict = NameConflict(other, sequence, now + CONFLICT_ANSWER_TIMEOUT, missed)
        to = MemberId(other.name, other.generation)
        self.outbox.put(Message(MessageKind.PING, other.address, sequence, to, updates=[self.me]))

    def received_from_namesake(
        self, sender: MemberUpdate, kind: MessageKind, sequence: int, now: int
    ) -> bool:
        """A message under this front's own name; whether this front now gives way to its sender."""
        if sender.generation == self.me.generation and sender.address == self.me.address:
            return False  # its own, come round
        if self._is_earlier(sender):
            self._answer_earlier(sender, kind, sequence, now)
            return False
        if sender.address == self.me.address:
            self._supersede(sender, "an earlier life here had a later number")
            return False
        gives_way = not self.displaced
        if gives_way:
            self.displaced = True
            why = f"another process under this name at {sender.host}:{sender.port}, started later"
            self.table.record_own_change(ALIVE, DISPLACED, why)
        self.conflict = NameConflict(sender, 0, now + CONFLICT_RECHECK)
        return gives_way

    def _answer_earlier(self, sender: MemberUpdate, kind: MessageKind, sequence: int, now: int) -> None:
        """The sender started earlier under this name: it is told that this process lives."""
        if kind is MessageKind.PING:
            to = MemberId(sender.name, sender.generation)
            self.outbox.put(Message(MessageKind.ACK, sender.address, sequence, to, updates=[self.me]))
        if sender.address == self.me.address:
            return
        if self.conflict is None or self.conflict.other != sender:
            why = f"another process under this name at {sender.host}:{sender.port}, started earlier"
            self.table.record_own_change(ALIVE, ALIVE, why)
        self.conflict = NameConflict(sender, 0, now + CONFLICT_RECHECK)

    def tick(self, now: int) -> None:
        """The other process under this name did not answer, or is to be asked again."""
        conflict = self.conflict
        if conflict is None or now < conflict.until:
            return
        if self._is_earlier(conflict.other):
            self.conflict = None  # nothing was received of the earlier one for long
            return
        was_asked = conflict.sequence != 0
        if was_asked and (conflict.missed >= CONFLICT_MAX_MISSED or not self.displaced):
            address = f"{conflict.other.host}:{conflict.other.port}"
            self._supersede(conflict.other, f"nobody answers at {address}")
            return
        self._ask_other(conflict.other, now, conflict.missed + 1 if was_asked else 0)

    def leave(self) -> None:
        """This front leaves in order: its last update, with the secret that proves it, to some of the others."""
        if self.left or self.displaced:
            return
        last = replace(self.me, state=MemberState.LEFT, proof=self.secret)
        self.table.set_left(last)
        for name in self.table.sample(LEAVE_FANOUT):
            address = self.table.members[name].latest.address
            self.outbox.put(Message(MessageKind.GOSSIP, address, updates=[last]))
        self.left = True
