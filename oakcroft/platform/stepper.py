"""Long work in short steps of the event loop."""

from __future__ import annotations

import trio

MAX_STEP_S = 0.01
"""Longest time for which a task works before other tasks may run."""


class Stepper:
    """Lets other tasks run when a step has lasted long enough."""

    def __init__(self) -> None:
        """Begins a step."""
        self.ends_at = trio.current_time() + MAX_STEP_S

    async def pause_if_due(self) -> None:
        """Ends the step if it has lasted long enough."""
        if trio.current_time() >= self.ends_at:
            await trio.lowlevel.checkpoint()
            self.ends_at = trio.current_time() + MAX_STEP_S
