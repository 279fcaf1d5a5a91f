"""A token bucket over all that one front sends for membership.

What must not wait (probes, their answers, heartbeats) is charged and may overdraw the bucket; what can wait
(updates that ride along, gossip, whole tables, contents, reconciliation) goes only while tokens are there.
So a storm of changes slows repair and drops no heartbeat.
"""

from __future__ import annotations

from oakcroft.interface import SECOND

RATE_BYTES_PER_S = 4_200
"""Octets a second: with the probes that may overdraw it, and with what others send here at the same pace,
under the 8,000 that a front may send or receive for control in any ten seconds, also in a whole start of a
zone of 135."""

BURST_BYTES = 7_000
"""Octets at once: a dozen summaries, so that a newcomer is not slow in quiet times."""

MAX_DEBT_BYTES = 12_000
"""Octets: what was overdrawn beyond is forgiven, or a minute of many failing probes would silence gossip for
another."""


class TrafficBudget:
    """Octets that may still be sent. Time is told by `advance`."""

    def __init__(self, now: int, rate: int = RATE_BYTES_PER_S, burst: int = BURST_BYTES) -> None:
        """A full bucket; `rate` in octets a second, `burst` in octets."""
        self.rate = rate
        self.burst = burst
        self._now = now
        self._balance = burst * SECOND  # in octets times nanoseconds a second: whole numbers, no drift

    def advance(self, now: int) -> None:
        """Time has passed. A clock that stands or steps back adds nothing."""
        if now > self._now:
            self._balance = min(self.burst * SECOND, self._balance + self.rate * (now - self._now))
            self._now = now

    @property
    def available(self) -> int:
        """Octets that may be sent now; 0 while it is overdrawn."""
        return max(0, self._balance // SECOND)

    def charge(self, octets: int) -> None:
        """What was sent all the same."""
        self._balance = max(-MAX_DEBT_BYTES * SECOND, self._balance - octets * SECOND)

    def spend(self, octets: int) -> bool:
        """Whether something that can wait may be sent now; charged if so. What is larger than half the burst
        may overdraw it, or it could never be sent."""
        if self.available < min(octets, self.burst // 2):
            return False
        self.charge(octets)
        return True
