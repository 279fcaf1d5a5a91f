"""The event stream that a node keeps open for each front: what it runs, what began and ended, and that it lives."""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from oakcroft.decisions.fleet.session_ownership import effective_lease
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.signalling import http_formats, takeover_messages
from oakcroft.standins.node_state import KEYS_KEPT_SECONDS, LEASE_SECONDS, Ear, NodeState

MOST_WAITING_EVENTS = 1024
"""A front that is so far behind has its stream closed."""

BEAT_SECONDS = 0.5
"""A stream that has nothing to say sends a beat so often."""

MS_PER_SECOND = 1000


def extend_lease(node: NodeState, front: str, request: Request) -> None:
    """Keeps for how long a front asks the node to hold its sessions while it does not listen."""
    asked = takeover_messages.parse_lease(request.header(takeover_messages.LEASE_HEADER.lower()))
    node.ear_of(front).lease = effective_lease(asked, round(LEASE_SECONDS * SECOND)) / SECOND


def open_stream(node: NodeState, front: str) -> Response:
    """Opens a front's stream in the place of its earlier one, and begins it with all that the node holds of it."""
    send, receive = trio.open_memory_channel[bytes](MOST_WAITING_EVENTS)
    ear = node.ears.setdefault(front, Ear())
    if ear.send is not None:
        ear.send.close()
    ear.send = send
    node.record.note("listens", node=node.name, front=front, open=True)
    send.send_nowait(http_formats.format_event("hello", _hello(node, front, ear)))
    headers = [("Content-Type", http_formats.EVENT_STREAM_MEDIA_TYPE), ("Cache-Control", "no-store")]
    return Response(200, headers, stream=_chunks(node, front, ear, send, receive))


def _hello(node: NodeState, front: str, ear: Ear) -> dict[str, object]:
    mine = [session for session in node.sessions.values() if session.front == front]
    return {
        "process": node.process, "sessions": [f"/sessions/{session.id}" for session in mine],
        "keys": [session.key for session in mine],
        "rungs": [node.machine.streams[session.id].rung for session in mine],
        "ran": [key for _, key in node.keys_ran(front)],
        "up_ms": int((trio.current_time() - node.up_since) * MS_PER_SECOND),
        "remembers_ms": int(KEYS_KEPT_SECONDS * MS_PER_SECOND), "passed": [path for _, path in ear.passed],
    }  # fmt: skip


async def _chunks(
    node: NodeState,
    front: str,
    ear: Ear,
    send: trio.MemorySendChannel[bytes],
    receive: trio.MemoryReceiveChannel[bytes],
) -> AsyncIterator[bytes]:
    try:
        while True:
            chunk = http_formats.KEEP_ALIVE_COMMENT
            with trio.move_on_after(BEAT_SECONDS):
                try:
                    chunk = await receive.receive()
                except trio.EndOfChannel:
                    return
            while node.is_mute(front):
                await node.changed.wait()
            yield chunk
    finally:
        receive.close()
        if ear.send is send:
            ear.send, ear.away_since = None, trio.current_time()
            node.record.note("listens", node=node.name, front=front, open=False)


def end_sessions_of_lost_fronts(node: NodeState) -> None:
    """Ends what fronts play on a node whose stream has been gone for the lease, and forgets such fronts."""
    now = trio.current_time()
    for front, ear in list(node.ears.items()):
        if ear.send is not None or now - ear.away_since <= ear.lease or node.is_mute(front):
            continue
        for session in [session for session in node.sessions.values() if session.front == front]:
            node.end_session(session.id, "front gone")
        still_passed = ear.passed and ear.passed[-1][0] > now - KEYS_KEPT_SECONDS
        if not still_passed:
            del node.ears[front]
