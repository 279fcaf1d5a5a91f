"""What part of a rate limit for the whole fleet one front may use, by its membership.

A front's share is fixed by the configuration, and passes on only where its owner has left by its own proven update: then
each of the others may use a part of it. One that is suspected or failed keeps its share, for it may be on the other side
of a partition and serving. So both sides of any partition together stay within the limit, but for fronts that left and
have come back unheard: each of these takes its own share while those who have not heard of it still use theirs of it,
which passes the limit by less than one share a front, until the update has come round (under two seconds, or the
partition's end).
"""

from __future__ import annotations


def rate_divisor(fronts: int, left: int) -> int:
    """Into how many parts a rate for all `fronts` is divided where `left` of them have left in order."""
    return max(1, fronts - max(0, min(left, fronts - 1)))


def max_overshoot(fronts: int, unheard: int) -> float:
    """By what share of a rate the fleet may pass it, at most, while so many fronts that had left serve again and have
    not been heard of by all others."""
    return unheard / fronts
