"""The octets of the flat membership's messages, counted without encoding them.

A word of news goes out many times; its size is counted once. `tests/test_capacity_fleet.py` compares the counts with
the real encoding, and each run of the simulation does so for a sample of its messages.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from oakcroft.decisions.fleet.member import News
from oakcroft.decisions.fleet.view import Out
from oakcroft.peerwire.messages import MOST_DATAGRAM, MOST_PARTS, WORDS_A_PART
from oakcroft.peerwire.sealing import MAC

FORM_OCTETS = 1
PART_LENGTH_OCTETS = 2
FIXED_ARRAY_MOST = 15
FIXED_STRING_MOST = 31
ONE_OCTET_MOST = 0xFF
TWO_OCTETS_MOST = 0xFFFF
FOUR_OCTETS_MOST = 0xFFFF_FFFF
POSITIVE_FIXED_INTEGER_MOST = 0x7F
MOST_CACHED = 200_000


def integer_octets(value: int) -> int:
    """The octets of an unsigned integer in MessagePack."""
    if value <= POSITIVE_FIXED_INTEGER_MOST:
        return 1
    if value <= ONE_OCTET_MOST:
        return 2
    if value <= TWO_OCTETS_MOST:
        return 3
    return 5 if value <= FOUR_OCTETS_MOST else 9


def string_octets(text: str) -> int:
    """The octets of a string in MessagePack."""
    length = len(text) if text.isascii() else len(text.encode())
    if length <= FIXED_STRING_MOST:
        return 1 + length
    return length + (2 if length <= ONE_OCTET_MOST else 3)


def binary_octets(octets: bytes) -> int:
    """The octets of a binary value in MessagePack."""
    return len(octets) + (2 if len(octets) <= ONE_OCTET_MOST else 3)


def array_octets(entries: int) -> int:
    """The octets of an array's header in MessagePack."""
    return 1 if entries <= FIXED_ARRAY_MOST else 3


class FlatSizes:
    """Sizes of one fleet's messages."""

    def __init__(self, fleet: str) -> None:
        """For the fleet of this name, which goes with each message."""
        self._base = MAC + FORM_OCTETS + array_octets(9) + string_octets(fleet)
        self._by_identity: dict[
            int, tuple[News, int]
        ] = {}  # keeps the update, so that no other gets its identity

    def update(self, news: News) -> int:
        """One word of news."""
        known = self._by_identity.get(id(news))
        if known is not None:
            return known[1]
        if len(self._by_identity) >= MOST_CACHED:
            self._by_identity.clear()
        octets = (
            array_octets(10)
            + string_octets(news.name)
            + integer_octets(news.start)
            + integer_octets(news.incarnation)
            + integer_octets(news.standing.value)
            + string_octets(news.host)
            + integer_octets(news.port)
            + string_octets(news.wing)
            + string_octets(news.version)
            + binary_octets(news.proof)
            + string_octets(news.by)
        )
        self._by_identity[id(news)] = (news, octets)
        return octets

    def datagram(self, sender: News, message: Out) -> tuple[int, int]:
        """The octets of one datagram, and how many of its words of news fit into it."""
        octets = (
            self._base
            + self.update(sender)
            + integer_octets(message.kind.value)
            + integer_octets(message.seq)
            + string_octets(message.to[0])
            + integer_octets(message.to[1])
            + _about_octets(message)
            + 1  # whether another part follows
        )
        fitting = len(message.news)
        updates = sum(map(self.update, message.news))
        while fitting and octets + array_octets(fitting) + updates > MOST_DATAGRAM:
            fitting -= 1
            updates -= self.update(message.news[fitting])
        return octets + array_octets(fitting) + updates, fitting

    def fitted(self, sender: News, message: Out) -> tuple[Out, int]:
        """A message without the words of news that do not fit into its datagram, and the datagram's octets."""
        octets, fitting = self.datagram(sender, message)
        if fitting < len(message.news):
            message = replace(message, news=message.news[:fitting])
        return message, octets

    def whole(self, news: Sequence[News]) -> int:
        """The octets of a whole list by stream, the sender's own word first."""
        sender, rest = news[0], news[1 : 1 + MOST_PARTS * WORDS_A_PART]
        each = self._base + self.update(sender) + 1 + 1 + 1 + 1 + 1  # kind, to, its start, about, more
        octets = 0
        for number in range(max(1, -(-len(rest) // WORDS_A_PART))):
            part = rest[number * WORDS_A_PART : (number + 1) * WORDS_A_PART]
            octets += PART_LENGTH_OCTETS + each + integer_octets(number) + array_octets(len(part))
            octets += sum(map(self.update, part))
        return octets


def _about_octets(message: Out) -> int:
    if message.about is None:
        return 1
    name, start, (host, port) = message.about
    return (
        array_octets(4)
        + string_octets(name)
        + integer_octets(start)
        + string_octets(host)
        + integer_octets(port)
    )
