"""How many open set-ups one connection may have while places for them are scarce (max-min fairness)."""

from __future__ import annotations

SCARCE_SHARE = 0.5
"""Share of the places in use from which they are divided among the connections."""
MIN_PLACES = 1
"""Places that each connection may use."""


def may_open(open_on_connection: int, open_in_all: int, max_open: int, connection_count: int) -> bool:
    """Whether a connection may have one more open set-up.

    It keeps one client from using up the places of all. Drawback: a connection with many viewers is refused some of them
    while more than half of the places are in use.
    """
    if open_in_all >= max_open:
        return False
    if open_in_all < SCARCE_SHARE * max_open:
        return True
    return open_on_connection < max(MIN_PLACES, max_open // max(1, connection_count))
