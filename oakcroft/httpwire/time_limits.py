"""Time limits that pauses of this process extend.

What falls due while the process is paused (a stopped machine, a starved core) says nothing about its peer: what the peer
has sent meanwhile has not been read. The pause is added to the limit, up to a last deadline that nothing extends.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

PausedSince = Callable[[float], float]
"""Returns for how many seconds the process has been paused since a time on trio's clock."""


def never_paused(start: float) -> float:
    """Pauses where nobody measures them."""
    return 0.0


@asynccontextmanager
async def move_on_at(deadline: float, last_deadline: float, paused_since: PausedSince) -> AsyncIterator[None]:
    """Leaves its block at `deadline`, later by the pauses from now on, but not past `last_deadline`.

    An error that leaves the block comes in an ExceptionGroup. Times in seconds on trio's clock.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_at_deadline, nursery.cancel_scope, deadline, last_deadline, paused_since)
        yield
        nursery.cancel_scope.cancel()


async def cancel_at_deadline(
    scope: trio.CancelScope, deadline: float, last_deadline: float, paused_since: PausedSince
) -> None:
    """Cancels a scope at `deadline`, later by the pauses from now on, but not past `last_deadline`.

    Times in seconds on trio's clock. A last deadline before `deadline` has no effect.
    """
    start = trio.current_time()
    extended = deadline
    while trio.current_time() < extended:
        await trio.sleep_until(extended)
        extended = max(deadline, min(deadline + paused_since(start), last_deadline))
    scope.cancel()
