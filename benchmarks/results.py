"""Shared by the benchmarks that print results: a description of the machine, and quantiles."""

from __future__ import annotations

import os
import platform
from collections.abc import Sequence


def describe_machine() -> str:
    """Returns the architecture, the number of cores and the version of Python."""
    return f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"


def quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile of the values, which is one of them."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
