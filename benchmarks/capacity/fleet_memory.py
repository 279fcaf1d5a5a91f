"""Memory of simulated front ends."""

from __future__ import annotations

import pickle
import tracemalloc
from pathlib import Path

PAGE_OCTETS = 4_096


def resident_octets() -> int:
    """The resident memory of this process."""
    return int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1]) * PAGE_OCTETS


def private_octets(state: object) -> int:
    """The memory of a copy of a state that shares no objects with other states.

    Simulated front ends in one process share the objects that they received from each other. Front ends in processes of
    their own cannot, so that resident memory divided by the number of simulated front ends is too low.
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
