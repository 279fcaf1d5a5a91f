"""Gates that hold back tasks of a platform front end, and checks that a set-up has left nothing behind."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest
import trio
from platform_rig import A, C, PlatformRig
from rig import wait_until

from oakcroft.platform import (
    connection as connection_module,
    node_checks,
    node_pool,
    session_coordinator,
    viewer_connection,
)
from oakcroft.platform.connection import BufferedConnection
from oakcroft.platformwire import framing

FULL_ROUNDS = 5  # rounds in which the kernel accepts no more, until a connection counts as full


class Gate:
    """Holds back a task of the front end while it is closed."""

    def __init__(self) -> None:
        """Creates an open gate."""
        self.released = trio.Event()
        self.released.set()

    def close(self) -> None:
        """Holds the task back at its next step."""
        self.released = trio.Event()

    def open(self) -> None:
        """Lets the task continue."""
        self.released.set()


def gate_coordinator(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before the coordinator's inbox; while it is closed, events wait as in an overloaded front end."""
    gate = Gate()

    async def handle_all(inbox: Any, handle: Callable[[Any], None]) -> None:
        async for event in inbox:
            await gate.released.wait()
            handle(event)

    monkeypatch.setattr(session_coordinator, "handle_events", handle_all)
    return gate


def gate_connects(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before connects to nodes."""
    gate = Gate()
    connect = connection_module.connect

    async def late(address: tuple[str, int], within: float) -> socket.socket:
        await gate.released.wait()
        return await connect(address, within)

    for module in (node_pool, node_checks):
        monkeypatch.setattr(module, "connect", late)
    return gate


def delay_connects(
    monkeypatch: pytest.MonkeyPatch, on_delayed: Callable[[], None] = lambda: None
) -> dict[int, float]:
    """Returns by how many seconds connects to a node come up late, by its port; a test adds to it.

    `on_delayed` is called in the step in which a late connect has begun.
    """
    delays = dict[int, float]()
    connect = connection_module.connect

    async def late(address: tuple[str, int], within: float) -> socket.socket:
        began = trio.current_time()
        delay_seconds = delays.get(address[1], 0)
        with trio.fail_after(within):
            if delay_seconds:
                on_delayed()
            await trio.sleep(delay_seconds)
        return await connect(address, within + began - trio.current_time())

    for module in (node_pool, node_checks):
        monkeypatch.setattr(module, "connect", late)
    return delays


def gate_viewer_readers(monkeypatch: pytest.MonkeyPatch) -> Gate:
    """Returns a gate before the tasks that read viewers' connections."""
    gate = Gate()
    wait = viewer_connection.ViewerConnection.wait_for_data

    async def late(connection: viewer_connection.ViewerConnection) -> None:
        await wait(connection)
        await gate.released.wait()

    monkeypatch.setattr(viewer_connection.ViewerConnection, "wait_for_data", late)
    return gate


def setup_count(rig: PlatformRig, sid: str = A) -> int:
    """Returns how many set-ups of a session have reached nodes."""
    return sum(len(node.received_messages("open", sid)) for node in rig.nodes)


def has_no_open_setups(rig: PlatformRig) -> bool:
    """Returns whether no table holds anything of an open set-up."""
    coordinator = rig.coordinator
    connections = [connection for pool in coordinator.pools.values() for connection in pool.connections]
    held: list[Any] = [
        coordinator.request_queue.requests,
        *(p.waiting_setups for p in coordinator.pools.values()),
    ]
    held += [
        [session for session in coordinator.sessions.values() if not session.began_at],
        [session for session in coordinator.sessions_by_playback.values() if not session.began_at],
    ]
    held += [connection.pending_setups for connection in connections] + [
        connection.queued_requests or connection.open_setups for connection in coordinator.viewer_connections
    ]
    return not any(held) and coordinator.setup_count == coordinator.description_chars == 0


async def check_cleaned_up(rig: PlatformRig) -> None:
    """Checks that a set-up whose viewer left is cleaned up, and that another viewer is served."""
    await wait_until(lambda: has_no_open_setups(rig))
    other = await rig.viewer()
    await other.send_setup(C)
    assert (await other.receive() or (0,))[0] == framing.ANSWER


async def fill_send_buffer(connection: BufferedConnection, message: bytes) -> None:
    """Sends a message until the kernel accepts no more, so that whatever follows stays in the send buffer."""
    full_rounds = 0
    while full_rounds < FULL_ROUNDS:
        connection._flush()  # the kernel may accept some before it reports the socket as writable
        full_rounds = full_rounds + 1 if connection.send_buffer else 0
        while not connection.send_buffer:
            connection.write(message)
        await trio.sleep(0.02)
