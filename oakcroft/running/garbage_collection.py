"""Settings of the garbage collector."""

from __future__ import annotations

import gc


def reduce_gc_frequency() -> None:
    """Makes full garbage collections rare.

    A full collection visits every object and stalls the process, for half a second with 10,000 open connections, and
    runs each time the number of objects has grown by a quarter. Young objects, which are most of the garbage here, are
    collected as before. Drawback: the memory of old reference cycles is freed late.
    """
    gc.collect()
    gc.freeze()  # excludes the loaded modules from collections
    gc.set_threshold(10_000, 20, 200)
