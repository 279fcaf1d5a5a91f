"""Token bucket for all membership traffic that one front sends.

Urgent traffic (probes, their answers, heartbeats) is charged and may overdraw the bucket; deferrable traffic
(piggybacked updates, gossip, full states, summaries, reconciliation) is sent only while tokens are available. So a
burst of changes delays repair, but no heartbeat is dropped.
"""

from __future__ import annotations

from oakcroft.interface import SECOND

RATE_BYTES_PER_S = 4_200
"""Together with probes that overdraw it, keeps a front under the 8,000 bytes a second that it may send or receive for
control in any ten seconds, even when a zone of 135 starts as a whole and all send at this rate."""

BURST_BYTES = 7_000
"""A dozen summaries, so that a new front learns of all zones without delay when there is little traffic."""

MAX_DEBT_BYTES = 12_000
"""Overdrafts beyond this are not charged; else a minute of many failing probes would stop gossip for another minute."""


class TrafficBudget:
    """Octets that may still be sent. `advance` sets the time."""

    def __init__(self, now: int, rate: int = RATE_BYTES_PER_S, burst: int = BURST_BYTES) -> None:
        """Starts with a full bucket; `rate` is in octets per second, `burst` in octets."""
        self.rate = rate
        self.burst = burst
        self._now = now
        self._balance = burst * SECOND  # in octets times 1e9, so that integer arithmetic is exact

    def advance(self, now: int) -> None:
        """Adds tokens for the time since the last call; none if the clock stands still or steps back."""
        if now > self._now:
            self._balance = min(self.burst * SECOND, self._balance + self.rate * (now - self._now))
            self._now = now

    @property
    def available(self) -> int:
        """Octets that may be sent now; 0 while the bucket is overdrawn."""
        return max(0, self._balance // SECOND)

    def charge(self, octets: int) -> None:
        """Charges octets that are sent in any case; may overdraw the bucket."""
        self._balance = max(-MAX_DEBT_BYTES * SECOND, self._balance - octets * SECOND)

    def spend(self, octets: int) -> bool:
        """Charges a deferrable message if it may be sent now, and returns whether it may.

        A message larger than half the burst may overdraw the bucket, since it could otherwise never be sent.
        """
        if self.available < min(octets, self.burst // 2):
            return False
        self.charge(octets)
        return True
