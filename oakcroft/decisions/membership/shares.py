"""What part of a limit for the whole fleet one front may use, by the view.

A front's share is fixed by the configuration, and passes on only where its owner has left by its own proven word:
then each of the others may use a part of it. One that is suspected or gone keeps its share, for it may be on the
other side of a partition and serving. So both sides of any partition together stay within the limit, but for fronts
that left and have come back unheard: each of these takes its own share while those who have not heard of it still use
theirs of it, which passes the limit by less than one share a front, until the news has come round (under two seconds,
or the partition's end).
"""

from __future__ import annotations


def parts(fronts: int, left: int) -> int:
    """Into how many parts a rate for all `fronts` is divided where `left` of them have left in order."""
    return max(1, fronts - max(0, min(left, fronts - 1)))


def overshoot(fronts: int, unheard: int) -> float:
    """By what share of a rate the fleet may pass it, at most, while so many fronts that had left serve again and have
    not been heard of by all others."""
    return unheard / fronts
