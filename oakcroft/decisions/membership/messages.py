"""Messages between members as typed values; `oakcroft.peerwire` encodes them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from oakcroft.decisions.membership.member import MemberUpdate

Address = tuple[str, int]
"""Host and port."""

MAX_UPDATES = 12
"""Updates in one message, so that it fits a datagram of 1,400 octets."""


class MessageKind(Enum):
    """Kind of a message; the value is its number on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to probe `target` for the sender
    GOSSIP = 4  # updates only
    PUSH_PULL = 5  # exchange of full states over a stream, not a datagram


class MemberId(NamedTuple):
    """Identifies one process: the name of a member and its generation."""

    name: str
    generation: int


ANYONE = MemberId("", 0)
"""Receiver of a message that is meant for any member at the address."""


class ProbeTarget(NamedTuple):
    """The member that a `PING_REQUEST` is about."""

    name: str
    generation: int
    address: Address


@dataclass(frozen=True)
class Message:
    """A message to send to an address, meant for the process `receiver`."""

    kind: MessageKind
    address: Address
    sequence: int = 0
    receiver: MemberId = ANYONE
    target: ProbeTarget | None = None
    updates: Sequence[MemberUpdate] = ()

    def as_received(self, sender: MemberUpdate) -> ReceivedMessage:
        """The message as its receiver decodes it, for simulations that send it without encoding it."""
        return ReceivedMessage(sender, self.kind, self.sequence, self.receiver, self.target, self.updates)


@dataclass(frozen=True)
class ReceivedMessage:
    """A decoded datagram; `sender` is the sender's own update."""

    sender: MemberUpdate
    kind: MessageKind
    sequence: int
    receiver: MemberId
    target: ProbeTarget | None
    updates: Sequence[MemberUpdate]
