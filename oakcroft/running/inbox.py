"""Event queue of the one task that owns the decision module."""

from __future__ import annotations

from collections.abc import Callable

import trio

Event = Callable[[], None]
"""A queued call, run by the owning task."""
MAX_BATCH_SECONDS = 0.005
"""Longest time for which events are handled before other tasks may run."""


async def handle_events(inbox: trio.MemoryReceiveChannel[Event], handle: Callable[[Event], None]) -> None:
    """Passes each event to `handle` in order of arrival, until cancelled."""
    async for event in inbox:
        handle(event)
        batch_ends_at = trio.current_time() + MAX_BATCH_SECONDS
        while trio.current_time() < batch_ends_at:
            # An awaited receive lets all other tasks run first, so one event per receive would be too slow.
            try:
                event = inbox.receive_nowait()
            except trio.WouldBlock:
                break
            handle(event)
