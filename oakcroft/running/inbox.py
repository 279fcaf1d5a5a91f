"""Handles what comes through a channel, in order of arrival, for the one task that owns a module."""

from __future__ import annotations

from collections.abc import Callable

import trio

Event = Callable[[], None]
AT_ONCE = 0.005  # seconds of events between two turns of the other tasks


async def handle_all(inbox: trio.MemoryReceiveChannel[Event], handle: Callable[[Event], None]) -> None:
    """Hands each event to `handle`, until it is cancelled."""
    async for event in inbox:
        handle(event)
        until = trio.current_time() + AT_ONCE
        while trio.current_time() < until:
            # A receive gives way to all other tasks each time: one event a round is too slow.
            try:
                event = inbox.receive_nowait()
            except trio.WouldBlock:
                break
            handle(event)
