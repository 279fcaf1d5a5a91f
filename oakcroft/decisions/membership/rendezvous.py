"""Rendezvous hashing: all fronts that see the same members compute the same order of them for a piece of work.

Each pair of work and front has a weight, and the front with the highest weight is first (Thaler and Ravishankar 1998).
If a front leaves, only its work moves, to the next in order; a new front takes an equal part from all others. The order
only saves coordination: both sides of a partition have a first front, so work that must not be done twice needs
fencing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from itertools import islice


def weight(work: str, front: str) -> int:
    """The 64-bit weight of a pair."""
    pair = f"{len(work)}:{work}{front}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=8, person=b"oakcroft-first").digest(), "big")


def rank_order(work: str, fronts: Iterable[str]) -> list[str]:
    """The fronts in order of rank for a piece of work."""
    return sorted(fronts, key=lambda front: (-weight(work, front), front))


def rank(work: str, front: str, fronts: Iterable[str], limit: int | None = None) -> int:
    """Number of fronts that rank before `front`, counted up to `limit`."""
    own_key = (-weight(work, front), front)
    before = (other for other in fronts if (-weight(work, other), other) < own_key)
    return sum(1 for _ in islice(before, limit))
