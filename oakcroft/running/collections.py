"""Seldom collections of memory."""

from __future__ import annotations

import gc


def spare_collections() -> None:
    """Makes whole collections of the process's memory seldom.

    Guards against stalls: each looks at every object there is, half a second of them with 10,000 connections open, and
    they come with each quarter that is added. What dies young, as most here does, is collected as before. Harm: cycles
    that grow old are given back late.
    """
    gc.collect()
    gc.freeze()  # what is loaded now stays for good
    gc.set_threshold(10_000, 20, 200)
