"""Parses numbers that peers send."""

from __future__ import annotations

import math


def parse_finite(raw: object) -> float | None:
    """Parses a finite number, given as a number or as text; returns None for anything else."""
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        return None
    try:
        value = float(raw)
    except (ValueError, OverflowError):
        return None
    return value if math.isfinite(value) else None
