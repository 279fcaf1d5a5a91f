"""Messages that wait to be sent by the host, each with the updates that go along on it."""

from __future__ import annotations

from random import Random

from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import MemberTable
from oakcroft.decisions.membership.messages import (
    ANYONE,
    MAX_UPDATES,
    Address,
    MemberId,
    Message,
    MessageKind,
    ProbeTarget,
)

SEQUENCE_BITS = 48
"""Of a sequence number: drawn at random, so that nobody can answer a probe that did not reach him."""


class Outbox:
    """The messages that one front has to send, in order."""

    def __init__(self, table: MemberTable, rng: Random) -> None:
        """Addresses come from `table`, sequence numbers from `rng`."""
        self.table = table
        self.rng = rng
        self.messages: list[Message] = []

    def new_sequence(self) -> int:
        """A fresh sequence number."""
        return self.rng.getrandbits(SEQUENCE_BITS) + 1

    def put(self, message: Message) -> None:
        """A message as it stands."""
        self.messages.append(message)

    def send(
        self,
        kind: MessageKind,
        name: str,
        sequence: int = 0,
        target: ProbeTarget | None = None,
        first: MemberUpdate | None = None,
    ) -> None:
        """A message to a known member, with `first` or else what is held against it, and what is under way."""
        latest = self.table.members[name].latest
        to = MemberId(name, latest.generation)
        updates = self.updates(first or self.accusation(name))
        self.put(Message(kind, latest.address, sequence, to, target, updates))

    def reply(
        self, kind: MessageKind, sender: MemberUpdate, sequence: int = 0, first: MemberUpdate | None = None
    ) -> None:
        """A message back to whoever sent one, with `first` and what is under way."""
        to = MemberId(sender.name, sender.generation)
        self.put(Message(kind, sender.address, sequence, to, updates=self.updates(first)))

    def ping_address(self, address: Address) -> None:
        """Asks whoever is at an address whether it is there."""
        sequence = self.new_sequence()
        self.put(Message(MessageKind.PING, address, sequence, ANYONE, updates=self.updates()))

    def updates(self, first: MemberUpdate | None = None) -> list[MemberUpdate]:
        """What goes along: what the addressee must receive, then what is under way."""
        room = MAX_UPDATES - (first is not None)
        queued = self.table.queue.take(room, len(self.table.members))
        return [first, *queued] if first is not None else queued

    def accusation(self, name: str) -> MemberUpdate | None:
        """What this front holds against a member, for it to refute."""
        member = self.table.members.get(name)
        return member.latest if member is not None and member.latest.state is not MemberState.ALIVE else None
