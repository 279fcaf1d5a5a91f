"""Retries with exponential backoff for list requests, event streams, rung changes and session ends.

All of these are safe to repeat. Retries of set-ups are decided by the module instead. Delays grow by a constant factor
and carry jitter, so that many fronts that lost the same peer at one moment do not all reconnect at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class RetryPolicy:
    """How an operation is retried. Times in ns."""

    initial_delay: int
    """Upper bound of the first delay."""

    max_delay: int
    """Upper bound of any delay."""

    multiplier: float
    """Factor by which the upper bound grows with each failure."""

    give_up_after: int
    """No attempt is made this long after the first failure; 0 retries without end."""


LIST_RETRY = RetryPolicy(100 * MS, 2 * SECOND, 2.0, 0)
EVENT_STREAM_RETRY = RetryPolicy(50 * MS, SECOND, 2.0, 0)
RUNG_CHANGE_RETRY = RetryPolicy(50 * MS, 400 * MS, 2.0, 1500 * MS)
RENDITION_BOUND_RETRY = RetryPolicy(250 * MS, 5 * SECOND, 2.0, 30 * SECOND)
"""Retries at a node that refused to step a playback down."""
SESSION_END_RETRY = RetryPolicy(200 * MS, 5 * SECOND, 2.0, 30 * SECOND)
"""Retries to tell a node that a session has ended."""


class RetryBackoff:
    """Retry state of one operation."""

    def __init__(self, policy: RetryPolicy, rng: Random, now: int) -> None:
        """`rng` draws the jitter; `now` in ns."""
        self.policy = policy
        self.rng = rng
        self.failing_since = now
        self.failures = 0
        self.max_next_delay = float(policy.initial_delay)

    def record_success(self, now: int) -> None:
        """Resets the delay after an attempt that succeeded. `now` in ns."""
        self.failures = 0
        self.max_next_delay = float(self.policy.initial_delay)
        self.failing_since = now

    def record_failure(self, now: int) -> int | None:
        """Returns the delay in ns before the next attempt, or None to give up. `now` in ns."""
        if not self.failures:
            self.failing_since = now
        # Multiplied step by step: multiplier ** failures overflows a float after 1,024 failures.
        max_delay = self.max_next_delay
        self.max_next_delay = min(self.policy.max_delay, max_delay * self.policy.multiplier)
        self.failures += 1
        delay = int(max_delay * (0.5 + 0.5 * self.rng.random()))
        if self.policy.give_up_after and now + delay - self.failing_since > self.policy.give_up_after:
            return None
        return delay
