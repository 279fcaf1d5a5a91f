"""The octets of the flat membership's messages, counted without encoding them.

A word of news goes out many times; its size is counted once. `tests/test_capacity_fleet.py` compares the counts with
the real encoding, and each run of the simulation does so for a sample of its messages.
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
MAX_CACHED = 200_000


def integer_octets(value: int) -> int:
    """The octets of an unsigned integer in MessagePack."""
    if value <= MAX_POSITIVE_FIXINT:
        return 1
    if value <= MAX_UINT8:
        return 2
    if value <= MAX_UINT16:
        return 3
    return 5 if value <= MAX_UINT32 else 9


def string_octets(text: str) -> int:
    """The octets of a string in MessagePack."""
    length = len(text) if text.isascii() else len(text.encode())
    if length <= MAX_FIXSTR_LENGTH:
        return 1 + length
    return length + (2 if length <= MAX_UINT8 else 3)


def binary_octets(octets: bytes) -> int:
    """The octets of a binary value in MessagePack."""
    return len(octets) + (2 if len(octets) <= MAX_UINT8 else 3)


def array_octets(entries: int) -> int:
    """The octets of an array's header in MessagePack."""
    return 1 if entries <= MAX_FIXARRAY_LENGTH else 3


class FlatSizes:
    """Sizes of one fleet's messages."""

    def __init__(self, fleet: str) -> None:
        """For the fleet of this name, which goes with each message."""
        self._base = SEAL_LENGTH + FORMAT_OCTETS + array_octets(9) + string_octets(fleet)
        self._by_identity: dict[
            int, tuple[MemberUpdate, int]
        ] = {}  # keeps the update, so that no other gets its identity

    def update(self, news: MemberUpdate) -> int:
        """One word of news."""
        known = self._by_identity.get(id(news))
        if known is not None:
            return known[1]
        if len(self._by_identity) >= MAX_CACHED:
            self._by_identity.clear()
        octets = (
            array_octets(10)
            + string_octets(news.name)
            + integer_octets(news.generation)
            + integer_octets(news.incarnation)
            + integer_octets(news.state.value)
            + string_octets(news.host)
            + integer_octets(news.port)
            + string_octets(news.zone)
            + string_octets(news.version)
            + binary_octets(news.proof)
            + string_octets(news.reported_by)
        )
        self._by_identity[id(news)] = (news, octets)
        return octets

    def datagram(self, sender: MemberUpdate, message: Message) -> tuple[int, int]:
        """The octets of one datagram, and how many of its words of news fit into it."""
        octets = (
            self._base
            + self.update(sender)
            + integer_octets(message.kind.value)
            + integer_octets(message.sequence)
            + string_octets(message.to[0])
            + integer_octets(message.to[1])
            + _target_octets(message)
            + 1  # whether another part follows
        )
        fitting = len(message.updates)
        updates = sum(map(self.update, message.updates))
        while fitting and octets + array_octets(fitting) + updates > MAX_DATAGRAM_BYTES:
            fitting -= 1
            updates -= self.update(message.updates[fitting])
        return octets + array_octets(fitting) + updates, fitting

    def fitted(self, sender: MemberUpdate, message: Message) -> tuple[Message, int]:
        """A message without the words of news that do not fit into its datagram, and the datagram's octets."""
        octets, fitting = self.datagram(sender, message)
        if fitting < len(message.updates):
            message = replace(message, updates=message.updates[:fitting])
        return message, octets

    def full_state(self, news: Sequence[MemberUpdate]) -> int:
        """The octets of a whole list by stream, the sender's own word first."""
        sender, rest = news[0], news[1 : 1 + MAX_PARTS * UPDATES_PER_PART]
        each = self._base + self.update(sender) + 1 + 1 + 1 + 1 + 1  # kind, to, its start, about, more
        octets = 0
        for number in range(max(1, -(-len(rest) // UPDATES_PER_PART))):
            part = rest[number * UPDATES_PER_PART : (number + 1) * UPDATES_PER_PART]
            octets += LENGTH_OCTETS + each + integer_octets(number) + array_octets(len(part))
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
