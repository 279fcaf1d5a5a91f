"""Parsing of numbers as peers write them."""

from __future__ import annotations

import math


def finite(said: object) -> float | None:
    """A finite number, given as a number or as text; None for anything else."""
    if isinstance(said, bool) or not isinstance(said, str | int | float):
        return None
    try:
        value = float(said)
    except (ValueError, OverflowError):
        return None
    return value if math.isfinite(value) else None
