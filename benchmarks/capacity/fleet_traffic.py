"""Octets that each front end sends and receives, in buckets of time, and the busiest ten seconds of any of them."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND

BUCKET = 500 * MS
"""Windows begin and end with a bucket, so a window of any ten seconds holds at most half a second more or less."""

WINDOW = 10 * SECOND
BUCKETS_A_WINDOW = WINDOW // BUCKET


class Traffic:
    """What one front end sent and received, headers included, whatever process ran in its place."""

    __slots__ = (
        "datagram_octets",
        "datagrams_received",
        "datagrams_sent",
        "header_octets",
        "received",
        "sent",
        "stream_octets",
    )

    def __init__(self, duration: int) -> None:
        """Nothing so far, with room for so many nanoseconds."""
        empty = bytes(8 * (duration // BUCKET + 1))
        self.sent = array("q", empty)
        self.received = array("q", empty)
        self.header_octets = 0  # of what was sent
        self.datagram_octets = 0  # sent, without headers, as the next
        self.stream_octets = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0

    def datagram_sent(self, now: int, octets: int, headers: int) -> None:
        """A datagram leaves; `octets` without headers."""
        self.sent[now // BUCKET] += octets + headers
        self.header_octets += headers
        self.datagram_octets += octets
        self.datagrams_sent += 1

    def datagram_received(self, now: int, octets: int) -> None:
        """A datagram has come; `octets` with headers."""
        self.received[now // BUCKET] += octets
        self.datagrams_received += 1

    def stream_sent(self, now: int, octets: int, headers: int) -> None:
        """Segments of a stream leave; `octets` without headers."""
        self.sent[now // BUCKET] += octets + headers
        self.header_octets += headers
        self.stream_octets += octets

    def stream_received(self, now: int, octets: int) -> None:
        """Segments of a stream have come; `octets` with headers."""
        self.received[now // BUCKET] += octets


@dataclass(frozen=True)
class Busiest:
    """The busiest window of any front end: octets a second, whose, and when it began."""

    rate: float
    index: int
    began: int


def mean_rate(buckets: Sequence[int], begin: int, end: int) -> float:
    """Octets a second between two times."""
    part = buckets[begin // BUCKET : -(-end // BUCKET)]
    return sum(part) * SECOND / (end - begin) if end > begin else 0.0


def busiest_window(fronts: Sequence[Sequence[int]], begin: int, end: int) -> Busiest:
    """The busiest ten seconds that begin between two times, cut short at the end of what was counted."""
    worst = Busiest(0.0, 0, begin)
    for index, buckets in enumerate(fronts):
        octets, first = _most_in_a_window(buckets, begin // BUCKET, -(-end // BUCKET))
        rate = octets * SECOND / WINDOW
        if rate > worst.rate:
            worst = Busiest(rate, index, first * BUCKET)
    return worst


def _most_in_a_window(buckets: Sequence[int], first: int, last: int) -> tuple[int, int]:
    """The most octets in a window that begins in these buckets, and the bucket where it begins."""
    current = sum(buckets[first : first + BUCKETS_A_WINDOW])
    most, at = current, first
    for begin in range(first + 1, min(last, len(buckets))):
        entering = begin + BUCKETS_A_WINDOW - 1
        current -= buckets[begin - 1]
        if entering < len(buckets):
            current += buckets[entering]
        if current > most:
            most, at = current, begin
    return most, at
