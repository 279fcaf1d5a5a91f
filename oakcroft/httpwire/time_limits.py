"""Time limits that pauses of this process extend.

What falls due while the process is paused (a stopped machine, a starved core) says nothing about its peer: what the peer
has sent meanwhile has not been read. The pause is added to the limit, up to a last deadline that nothing extends.
"""

from __future__ import annotations

from collections.abc import Callable

import trio


class PauseTotal:
    """Total of the pauses of this process. `detect` adds one that ends now, if there is one."""

    def __init__(self) -> None:
        """Begins without pauses; `detect` is set by whoever measures them."""
        self.detect: Callable[[], None] = lambda: None
        self.total_ns = 0

    def add(self, pause_ns: int) -> None:
        """Adds a pause."""
        self.total_ns += pause_ns

    def read(self) -> float:
        """Returns the total in seconds, with a pause that ends now."""
        self.detect()
        return self.total_ns / 1e9


async def cancel_at_deadline(
    scope: trio.CancelScope, deadline: float, last_deadline: float, pauses: PauseTotal
) -> None:
    """Cancels a scope at `deadline`, later by the pauses meanwhile, but not past `last_deadline`.

    Times in seconds on trio's clock. A last deadline before `deadline` has no effect.
    """
    paused_before = pauses.read()
    extended = deadline
    while trio.current_time() < extended:
        await trio.sleep_until(extended)
        extended = max(deadline, min(deadline + pauses.read() - paused_before, last_deadline))
    scope.cancel()
