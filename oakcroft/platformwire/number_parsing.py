"""Parsing of numbers as peers write them."""

from __future__ import annotations

import math


def parse_finite(raw: object) -> float | None:
    """A finite number, given as a number or as text; None for anything else."""
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        return None
    try:
        value = float(raw)
    except (ValueError, OverflowError):
        return None
    return value if math.isfinite(value) else None
