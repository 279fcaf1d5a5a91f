"""The event stream that a node keeps open for each front: what it runs, what began and ended, and that it lives."""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from oakcroft.decisions.fleet.session_ownership import effective_lease
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.signalling import handing, words
from oakcroft.standins.node_state import KEY_RETENTION_SECONDS, DEFAULT_LEASE_SECONDS, Subscription, NodeState

MAX_QUEUED_EVENTS = 1024
"""A front that is so far behind has its stream closed."""

HEARTBEAT_SECONDS = 0.5
"""A stream that has nothing to say sends a beat so often."""

MS_PER_SECOND = 1000


def store_lease(node: NodeState, front: str, request: Request) -> None:
    """Keeps for how long a front asks the node to hold its sessions while it does not listen."""
    asked = handing.read_lease(request.header(handing.LEASE.lower()))
    node.subscription_of(front).lease_seconds = (
        effective_lease(asked, round(DEFAULT_LEASE_SECONDS * SECOND)) / SECOND
    )


def open_event_stream(node: NodeState, front: str) -> Response:
    """Opens a front's stream in the place of its earlier one, and begins it with all that the node holds of it."""
    send, receive = trio.open_memory_channel[bytes](MAX_QUEUED_EVENTS)
    ear = node.subscriptions.setdefault(front, Subscription())
    if ear.channel is not None:
        ear.channel.close()
    ear.channel = send
    node.record.note("listens", node=node.name, front=front, open=True)
    send.send_nowait(words.event("hello", _hello(node, front, ear)))
    headers = [("Content-Type", words.EVENTS), ("Cache-Control", "no-store")]
    return Response(200, headers, stream=_chunks(node, front, ear, send, receive))


def _hello(node: NodeState, front: str, ear: Subscription) -> dict[str, object]:
    mine = [session for session in node.sessions.values() if session.front == front]
    return {
        "process": node.process, "sessions": [f"/sessions/{session.id}" for session in mine],
        "keys": [session.key for session in mine],
        "rungs": [node.machine.streams[session.id].rung for session in mine],
        "ran": [key for _, key in node.recent_keys(front)],
        "up_ms": int((trio.current_time() - node.process_started_at) * MS_PER_SECOND),
        "remembers_ms": int(KEY_RETENTION_SECONDS * MS_PER_SECOND), "passed": [path for _, path in ear.taken_over],
    }  # fmt: skip


async def _chunks(
    node: NodeState,
    front: str,
    ear: Subscription,
    send: trio.MemorySendChannel[bytes],
    receive: trio.MemoryReceiveChannel[bytes],
) -> AsyncIterator[bytes]:
    try:
        while True:
            chunk = words.BEAT
            with trio.move_on_after(HEARTBEAT_SECONDS):
                try:
                    chunk = await receive.receive()
                except trio.EndOfChannel:
                    return
            while node.cannot_reach(front):
                await node.changed.wait()
            yield chunk
    finally:
        receive.close()
        if ear.channel is send:
            ear.channel, ear.disconnected_at = None, trio.current_time()
            node.record.note("listens", node=node.name, front=front, open=False)


def end_sessions_of_lost_fronts(node: NodeState) -> None:
    """Ends what fronts play on a node whose stream has been gone for the lease, and forgets such fronts."""
    now = trio.current_time()
    for front, ear in list(node.subscriptions.items()):
        if (
            ear.channel is not None
            or now - ear.disconnected_at <= ear.lease_seconds
            or node.cannot_reach(front)
        ):
            continue
        for session in [session for session in node.sessions.values() if session.front == front]:
            node.end_session(session.id, "front gone")
        still_passed = ear.taken_over and ear.taken_over[-1][0] > now - KEY_RETENTION_SECONDS
        if not still_passed:
            del node.subscriptions[front]
