"""Octets that each front end sends and receives, in buckets of time, and the busiest window of ten seconds."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND

BUCKET_NS = 500 * MS
"""Windows are aligned to buckets, so a window differs from exactly ten seconds by at most half a second."""

WINDOW_NS = 10 * SECOND
BUCKETS_PER_WINDOW = WINDOW_NS // BUCKET_NS


class Traffic:
    """Traffic of one front end, headers included, over all processes that ran at its site."""

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
        """Allocates the buckets for `duration` nanoseconds."""
        empty = bytes(8 * (duration // BUCKET_NS + 1))
        self.sent_buckets = array("q", empty)
        self.received_buckets = array("q", empty)
        self.header_octets = 0  # sent
        self.datagram_octets = 0  # sent, without headers
        self.stream_octets = 0  # sent, without headers
        self.datagrams_sent = 0
        self.datagrams_received = 0

    def datagram_sent(self, now: int, octets: int, headers: int) -> None:
        """Counts a sent datagram; `octets` excludes headers."""
        self.sent_buckets[now // BUCKET_NS] += octets + headers
        self.header_octets += headers
        self.datagram_octets += octets
        self.datagrams_sent += 1

    def datagram_received(self, now: int, octets: int) -> None:
        """Counts a received datagram; `octets` includes headers."""
        self.received_buckets[now // BUCKET_NS] += octets
        self.datagrams_received += 1

    def stream_sent(self, now: int, octets: int, headers: int) -> None:
        """Counts sent segments of a stream; `octets` excludes headers."""
        self.sent_buckets[now // BUCKET_NS] += octets + headers
        self.header_octets += headers
        self.stream_octets += octets

    def stream_received(self, now: int, octets: int) -> None:
        """Counts received segments of a stream; `octets` includes headers."""
        self.received_buckets[now // BUCKET_NS] += octets


@dataclass(frozen=True)
class BusiestWindow:
    """The busiest window of any front end: its rate, the front end and its begin."""

    octets_per_second: float
    front_index: int
    began_at: int


def mean_rate(buckets: Sequence[int], begin: int, end: int) -> float:
    """Mean octets per second from `begin` to `end`."""
    part = buckets[begin // BUCKET_NS : -(-end // BUCKET_NS)]
    return sum(part) * SECOND / (end - begin) if end > begin else 0.0


def busiest_window(fronts: Sequence[Sequence[int]], begin: int, end: int) -> BusiestWindow:
    """The busiest window that begins from `begin` to `end`. Windows are truncated at the last bucket."""
    worst = BusiestWindow(0.0, 0, begin)
    for index, buckets in enumerate(fronts):
        octets, first_bucket = _largest_window(buckets, begin // BUCKET_NS, -(-end // BUCKET_NS))
        rate = octets * SECOND / WINDOW_NS
        if rate > worst.octets_per_second:
            worst = BusiestWindow(rate, index, first_bucket * BUCKET_NS)
    return worst


def _largest_window(buckets: Sequence[int], first: int, last: int) -> tuple[int, int]:
    """The most octets in any window that begins at bucket `first` to before `last`, and the bucket of its begin."""
    current = sum(buckets[first : first + BUCKETS_PER_WINDOW])
    largest = current
    largest_begin = first
    for begin in range(first + 1, min(last, len(buckets))):
        entering = begin + BUCKETS_PER_WINDOW - 1
        current -= buckets[begin - 1]
        if entering < len(buckets):
            current += buckets[entering]
        if current > largest:
            largest = current
            largest_begin = begin
    return largest, largest_begin
