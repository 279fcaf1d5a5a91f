"""Octets that each front end sends and receives, in buckets of time, and the busiest ten seconds of any of them."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND

BUCKET_NS = 500 * MS
"""Windows begin and end with a bucket, so a window of any ten seconds holds at most half a second more or less."""

WINDOW_NS = 10 * SECOND
BUCKETS_PER_WINDOW = WINDOW_NS // BUCKET_NS


class Traffic:
    """What one front end sent and received, headers included, whatever process ran in its place."""

    __slots__ = (
        "datagram_octets",
        "datagrams_received",
        "datagrams_sent",
        "header_octets",
        "received_buckets",
        "sent_buckets",
        "stream_octets",
    )

    def __init__(self, duration: int) -> None:
        """Nothing so far, with room for so many nanoseconds."""
        empty = bytes(8 * (duration // BUCKET_NS + 1))
        self.sent_buckets = array("q", empty)
        self.received_buckets = array("q", empty)
        self.header_octets = 0  # of what was sent
        self.datagram_octets = 0  # sent, without headers, as the next
        self.stream_octets = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0

    def datagram_sent(self, now: int, octets: int, headers: int) -> None:
        """A datagram leaves; `octets` without headers."""
        self.sent_buckets[now // BUCKET_NS] += octets + headers
        self.header_octets += headers
        self.datagram_octets += octets
        self.datagrams_sent += 1

    def datagram_received(self, now: int, octets: int) -> None:
        """A datagram has come; `octets` with headers."""
        self.received_buckets[now // BUCKET_NS] += octets
        self.datagrams_received += 1

    def stream_sent(self, now: int, octets: int, headers: int) -> None:
        """Segments of a stream leave; `octets` without headers."""
        self.sent_buckets[now // BUCKET_NS] += octets + headers
        self.header_octets += headers
        self.stream_octets += octets

    def stream_received(self, now: int, octets: int) -> None:
        """Segments of a stream have come; `octets` with headers."""
        self.received_buckets[now // BUCKET_NS] += octets


@dataclass(frozen=True)
class BusiestWindow:
    """The busiest window of any front end: octets a second, whose, and when it began."""

    octets_per_second: float
    front_index: int
    began_at: int


def mean_rate(buckets: Sequence[int], begin: int, end: int) -> float:
    """Octets a second between two times."""
    part = buckets[begin // BUCKET_NS : -(-end // BUCKET_NS)]
    return sum(part) * SECOND / (end - begin) if end > begin else 0.0


def busiest_window(fronts: Sequence[Sequence[int]], begin: int, end: int) -> BusiestWindow:
    """The busiest ten seconds that begin between two times, cut short at the end of what was counted."""
    worst = BusiestWindow(0.0, 0, begin)
    for index, buckets in enumerate(fronts):
        octets, first = _most_in_a_window(buckets, begin // BUCKET_NS, -(-end // BUCKET_NS))
        rate = octets * SECOND / WINDOW_NS
        if rate > worst.octets_per_second:
            worst = BusiestWindow(rate, index, first * BUCKET_NS)
    return worst


def _most_in_a_window(buckets: Sequence[int], first: int, last: int) -> tuple[int, int]:
    """The most octets in a window that begins in these buckets, and the bucket where it begins."""
    current = sum(buckets[first : first + BUCKETS_PER_WINDOW])
    most, at = current, first
    for begin in range(first + 1, min(last, len(buckets))):
        entering = begin + BUCKETS_PER_WINDOW - 1
        current -= buckets[begin - 1]
        if entering < len(buckets):
            current += buckets[entering]
        if current > most:
            most, at = current, begin
    return most, at
