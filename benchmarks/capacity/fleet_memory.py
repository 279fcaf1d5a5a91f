"""Memory of hollow front ends."""

from __future__ import annotations

import pickle
import tracemalloc
from pathlib import Path

PAGE_OCTETS = 4_096


def resident_octets() -> int:
    """Resident memory of this process."""
    return int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1]) * PAGE_OCTETS


def private_octets(state: object) -> int:
    """Memory of a copy of a state that shares nothing with others, as it is in a process of its own.

    Many front ends in one process share what they have heard, which front ends in processes of their own can't; so
    resident memory divided by the front ends is too low where they are simulated.
    """
    pickled = pickle.dumps(state)
    tracemalloc.start()
    try:
        copy = pickle.loads(pickled)
        octets, _ = tracemalloc.get_traced_memory()
        del copy
    finally:
        tracemalloc.stop()
    return octets
