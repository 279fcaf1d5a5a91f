"""Messages waiting to be sent by the host, each with piggybacked updates."""

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
"""Size of sequence numbers, which are random so that a probe can be answered only by a member that received it."""


class Outbox:
    """The messages that one front has to send, in order."""

    def __init__(self, table: MemberTable, rng: Random) -> None:
        """`table` provides addresses, `rng` sequence numbers."""
        self.table = table
        self.rng = rng
        self.messages: list[Message] = []

    def new_sequence(self) -> int:
        """A new random sequence number."""
        return self.rng.getrandbits(SEQUENCE_BITS) + 1

    def put(self, message: Message) -> None:
        """Adds a message unchanged."""
        self.messages.append(message)

    def send(
        self,
        kind: MessageKind,
        name: str,
        sequence: int = 0,
        target: ProbeTarget | None = None,
        first: MemberUpdate | None = None,
    ) -> None:
        """Sends a message to a known member, with `first` or else an accusation of it, and queued updates."""
        latest = self.table.members[name].latest
        receiver = MemberId(name, latest.generation)
        updates = self.updates(first or self.accusation(name))
        self.put(Message(kind, latest.address, sequence, receiver, target, updates))

    def reply(
        self, kind: MessageKind, sender: MemberUpdate, sequence: int = 0, first: MemberUpdate | None = None
    ) -> None:
        """Replies to the sender of a message, with `first` and queued updates."""
        receiver = MemberId(sender.name, sender.generation)
        self.put(Message(kind, sender.address, sequence, receiver, updates=self.updates(first)))

    def ping_address(self, address: Address) -> None:
        """Pings any member at an address."""
        sequence = self.new_sequence()
        self.put(Message(MessageKind.PING, address, sequence, ANYONE, updates=self.updates()))

    def updates(self, first: MemberUpdate | None = None) -> list[MemberUpdate]:
        """The updates for one message: `first`, which the receiver must get, then queued updates."""
        room = MAX_UPDATES - (first is not None)
        queued = self.table.queue.take(room, len(self.table.members))
        return [first, *queued] if first is not None else queued

    def accusation(self, name: str) -> MemberUpdate | None:
        """The update that says a member is not alive, for it to refute; None if it is alive or not known."""
        member = self.table.members.get(name)
        return member.latest if member is not None and member.latest.state is not MemberState.ALIVE else None
