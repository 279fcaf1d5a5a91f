"""Event streams from a node to its front ends: their sessions, starts and ends of these, and heartbeats."""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from oakcroft.decisions.fleet.session_ownership import effective_lease
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.signalling import http_formats, takeover_messages
from oakcroft.standins.node_state import KEY_RETENTION_SECONDS, DEFAULT_LEASE_SECONDS, Subscription, NodeState

MAX_QUEUED_EVENTS = 1024
"""Most events that are queued for a front end; its stream is closed if it falls further behind."""

HEARTBEAT_SECONDS = 0.5
"""Interval of heartbeats on a stream without other events."""

MS_PER_SECOND = 1000


def store_lease(node: NodeState, front: str, request: Request) -> None:
    """Stores the lease that a front end requests, for which the node keeps its sessions while it has no stream."""
    requested = takeover_messages.parse_lease(request.header(takeover_messages.LEASE_HEADER.lower()))
    node.subscription_of(front).lease_seconds = (
        effective_lease(requested, round(DEFAULT_LEASE_SECONDS * SECOND)) / SECOND
    )


def open_event_stream(node: NodeState, front: str) -> Response:
    """Opens a front end's stream in place of an earlier one; its first event has the full state for that front end."""
    send, receive = trio.open_memory_channel[bytes](MAX_QUEUED_EVENTS)
    subscription = node.subscriptions.setdefault(front, Subscription())
    if subscription.channel is not None:
        subscription.channel.close()
    subscription.channel = send
    node.record.note("listens", node=node.name, front=front, open=True)
    send.send_nowait(http_formats.format_event("hello", _hello(node, front, subscription)))
    headers = [("Content-Type", http_formats.EVENT_STREAM_MEDIA_TYPE), ("Cache-Control", "no-store")]
    return Response(200, headers, stream=_chunks(node, front, subscription, send, receive))


def _hello(node: NodeState, front: str, subscription: Subscription) -> dict[str, object]:
    """Returns the first event: the sessions and recent set-ups of a front end, and those taken over from it."""
    sessions = [session for session in node.sessions.values() if session.front == front]
    return {
        "process": node.process,
        "sessions": [f"/sessions/{session.id}" for session in sessions],
        "keys": [session.key for session in sessions],
        "rungs": [node.machine.streams[session.id].rung for session in sessions],
        "ran": [key for _, key in node.recent_keys(front)],
        "up_ms": int((trio.current_time() - node.process_started_at) * MS_PER_SECOND),
        "remembers_ms": int(KEY_RETENTION_SECONDS * MS_PER_SECOND),
        "passed": [path for _, path in subscription.taken_over],
    }


async def _chunks(
    node: NodeState,
    front: str,
    subscription: Subscription,
    send: trio.MemorySendChannel[bytes],
    receive: trio.MemoryReceiveChannel[bytes],
) -> AsyncIterator[bytes]:
    """Yields queued events and heartbeats until the stream is replaced, closed, or the front end disconnects."""
    try:
        while True:
            chunk = http_formats.KEEP_ALIVE_COMMENT
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
        if subscription.channel is send:
            subscription.channel = None
            subscription.disconnected_at = trio.current_time()
            node.record.note("listens", node=node.name, front=front, open=False)


def end_sessions_of_lost_fronts(node: NodeState) -> None:
    """Ends the sessions of front ends that have had no stream for their lease, and forgets these front ends."""
    now = trio.current_time()
    for front, subscription in list(node.subscriptions.items()):
        if subscription.channel is not None or node.cannot_reach(front):
            continue
        if now - subscription.disconnected_at <= subscription.lease_seconds:
            continue
        for session in [session for session in node.sessions.values() if session.front == front]:
            node.end_session(session.id, "front gone")
        taken_over = subscription.taken_over
        is_still_reported = taken_over and taken_over[-1][0] > now - KEY_RETENTION_SECONDS
        if not is_still_reported:
            del node.subscriptions[front]
