"""Shares of a fleet-wide rate limit, as they follow from the membership.

A front's share is fixed by the configuration. Others take it over only if the front has left with proof; each then uses
a part of it. A suspected or failed front keeps its share, since it may be serving on the other side of a partition. So
both sides of any partition together stay within the limit, except for fronts that have left and come back: such a front
uses its own share while members that do not know of its return still use their parts of it. That exceeds the limit by
less than one share per such front, until the update has reached all (within two seconds, or at the end of the
partition).
"""

from __future__ import annotations


def rate_divisor(fronts: int, left: int) -> int:
    """Number of parts that a rate for all `fronts` is divided into if `left` of them have left."""
    return max(1, fronts - max(0, min(left, fronts - 1)))


def max_overshoot(fronts: int, unknown_returns: int) -> float:
    """Maximum fraction by which a rate is exceeded while not all fronts know of `unknown_returns` fronts' return."""
    return unknown_returns / fronts
