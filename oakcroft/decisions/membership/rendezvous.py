"""Who is first in line for a piece of work, by hash: every front that sees the same others comes to the same order.

Rendezvous hashing (Thaler and Ravishankar 1998): each pair of work and front has a weight of its own, and the heaviest
front is first. Where one goes only its work passes on, to whoever is next; where one comes it takes its part from all.
It is a courtesy and spares asking: two sides of a partition both have a first, and what must not be done twice is fenced.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from itertools import islice


def weight(work: str, front: str) -> int:
    """The weight of a pair, 64 bits."""
    word = f"{len(work)}:{work}{front}".encode()
    return int.from_bytes(hashlib.blake2b(word, digest_size=8, person=b"oakcroft-first").digest(), "big")


def rank_order(work: str, fronts: Iterable[str]) -> list[str]:
    """The fronts in order for a piece of work, the first in line first."""
    return sorted(fronts, key=lambda f: (-weight(work, f), f))


def rank(work: str, me: str, fronts: Iterable[str], most: int | None = None) -> int:
    """How many are before one in line. `most`: reckoning stops there, where more do not matter."""
    mine = (-weight(work, me), me)
    before = (f for f in fronts if (-weight(work, f), f) < mine)
    return sum(1 for _ in islice(before, most))
