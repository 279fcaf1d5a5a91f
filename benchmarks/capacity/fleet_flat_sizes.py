"""Counts the octets of the flat membership's messages without encoding them.

An update is sent many times, and its size is counted once. `tests/test_capacity_counts.py` compares the counts with the
real encoding, and each run of the simulation does so for a sample of its messages.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.messages import Message
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.push_pull_stream import LENGTH_OCTETS, MAX_PARTS, UPDATES_PER_PART
from oakcroft.peerwire.sealing import SEAL_LENGTH

FORMAT_OCTETS = 1
MAX_FIXARRAY_LENGTH = 15
MAX_FIXSTR_LENGTH = 31
MAX_UINT8 = 0xFF
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFF_FFFF
MAX_POSITIVE_FIXINT = 0x7F
MAX_CACHED_UPDATES = 200_000


def integer_octets(value: int) -> int:
    """Octets of an unsigned integer in MessagePack."""
    if value <= MAX_POSITIVE_FIXINT:
        return 1
    if value <= MAX_UINT8:
        return 2
    if value <= MAX_UINT16:
        return 3
    return 5 if value <= MAX_UINT32 else 9


def string_octets(text: str) -> int:
    """Octets of a string in MessagePack."""
    length = len(text) if text.isascii() else len(text.encode())
    if length <= MAX_FIXSTR_LENGTH:
        return 1 + length
    return length + (2 if length <= MAX_UINT8 else 3)


def binary_octets(octets: bytes) -> int:
    """Octets of a binary value in MessagePack."""
    return len(octets) + (2 if len(octets) <= MAX_UINT8 else 3)


def array_octets(entries: int) -> int:
    """Octets of an array header in MessagePack."""
    return 1 if entries <= MAX_FIXARRAY_LENGTH else 3


class FlatSizes:
    """Sizes of the messages of one fleet."""

    def __init__(self, fleet: str) -> None:
        """`fleet`: the name of the fleet, which each message carries."""
        self._base = SEAL_LENGTH + FORMAT_OCTETS + array_octets(9) + string_octets(fleet)
        # Holds a reference to each update, so that no other object can get its id.
        self._by_identity: dict[int, tuple[MemberUpdate, int]] = {}

    def update(self, update: MemberUpdate) -> int:
        """Octets of one update."""
        cached = self._by_identity.get(id(update))
        if cached is not None:
            return cached[1]
        if len(self._by_identity) >= MAX_CACHED_UPDATES:
            self._by_identity.clear()
        octets = (
            array_octets(10)
            + string_octets(update.name)
            + integer_octets(update.generation)
            + integer_octets(update.incarnation)
            + integer_octets(update.state.value)
            + string_octets(update.host)
            + integer_octets(update.port)
            + string_octets(update.zone)
            + string_octets(update.version)
            + binary_octets(update.proof)
            + string_octets(update.reported_by)
        )
        self._by_identity[id(update)] = (update, octets)
        return octets

    def datagram(self, sender: MemberUpdate, message: Message) -> tuple[int, int]:
        """Octets of one datagram, and how many of its updates fit into it."""
        octets = (
            self._base
            + self.update(sender)
            + integer_octets(message.kind.value)
            + integer_octets(message.sequence)
            + string_octets(message.receiver[0])
            + integer_octets(message.receiver[1])
            + _target_octets(message)
            + 1  # the flag that another part follows
        )
        fitting = len(message.updates)
        update_octets = sum(map(self.update, message.updates))
        while fitting and octets + array_octets(fitting) + update_octets > MAX_DATAGRAM_BYTES:
            fitting -= 1
            update_octets -= self.update(message.updates[fitting])
        return octets + array_octets(fitting) + update_octets, fitting

    def fitted(self, sender: MemberUpdate, message: Message) -> tuple[Message, int]:
        """The message without the updates that do not fit into its datagram, and the octets of the datagram."""
        octets, fitting = self.datagram(sender, message)
        if fitting < len(message.updates):
            message = replace(message, updates=message.updates[:fitting])
        return message, octets

    def full_state(self, updates: Sequence[MemberUpdate]) -> int:
        """Octets of a full state on a stream; the first update is the sender's."""
        sender = updates[0]
        rest = updates[1 : 1 + MAX_PARTS * UPDATES_PER_PART]
        # One octet each: kind, receiver's name, receiver's generation, target, flag that another part follows.
        fixed = self._base + self.update(sender) + 1 + 1 + 1 + 1 + 1
        octets = 0
        for number in range(max(1, -(-len(rest) // UPDATES_PER_PART))):
            part = rest[number * UPDATES_PER_PART : (number + 1) * UPDATES_PER_PART]
            octets += LENGTH_OCTETS + fixed + integer_octets(number) + array_octets(len(part))
            octets += sum(map(self.update, part))
        return octets


def _target_octets(message: Message) -> int:
    if message.target is None:
        return 1
    name, generation, (host, port) = message.target
    return (
        array_octets(4)
        + string_octets(name)
        + integer_octets(generation)
        + string_octets(host)
        + integer_octets(port)
    )
