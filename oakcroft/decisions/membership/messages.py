"""The messages that members exchange, as typed values; their octets are peerwire's."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from oakcroft.decisions.membership.member import MemberUpdate

Address = tuple[str, int]
"""Host and port."""

MAX_UPDATES = 12
"""Updates on one message: what fits a datagram of 1,400 octets."""


class MessageKind(Enum):
    """What a message is for; the value is its number on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # probe `target` in the sender's place
    GOSSIP = 4  # updates alone
    PUSH_PULL = 5  # not a datagram: an exchange of full states by stream


class MemberId(NamedTuple):
    """One process: the name of a member and the generation of its start."""

    name: str
    generation: int


ANYONE = MemberId("", 0)
"""The addressee where a message is meant for whoever is at the address."""


class ProbeTarget(NamedTuple):
    """The member that a `PING_REQUEST` is about."""

    name: str
    generation: int
    address: Address


@dataclass(frozen=True)
class Message:
    """A message to be sent to an address, meant for the process `to`."""

    kind: MessageKind
    address: Address
    sequence: int = 0
    to: MemberId = ANYONE
    target: ProbeTarget | None = None
    updates: Sequence[MemberUpdate] = ()


@dataclass(frozen=True)
class ReceivedMessage:
    """A datagram as it was read: `sender` is what the sender says of itself."""

    sender: MemberUpdate
    kind: MessageKind
    sequence: int
    to: MemberId
    target: ProbeTarget | None
    updates: Sequence[MemberUpdate]
