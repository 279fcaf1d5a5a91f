"""Clients connect by hundreds and say nothing: what ends meanwhile has to be released towards its own viewers."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from pathlib import Path

from standins import RELEASE, Fleet, Record, Viewers, play, settings

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}  # the pages name 256 to 1,024 descriptors
SILENT_CLIENTS = 300  # the pages say `by hundreds`
SESSIONS = 4
NEXT_REQUEST_AFTER_S = 1.5  # from the ends to the next request of the same viewers
RELEASE_LIMIT_S = 8.05  # 8 s of its end, and 50 ms as for every time limit
WATCHED_S = 10.0
READ_BYTES = 4096


def connect_silently(address: tuple[str, int]) -> socket.socket:
    """Connects a client that says nothing, and reads what it is sent."""
    sock = socket.create_connection(address)
    sock.setblocking(False)
    return sock


def releases_read(sock: socket.socket, session_ids: list[str]) -> int:
    """Number of releases of the viewers' sessions that a silent client was sent."""
    data = b""
    with suppress(OSError):
        data = sock.recv(READ_BYTES)
    return sum(data.count(bytes((RELEASE,)) + bytes.fromhex(session_id)) for session_id in session_ids)


async def case(record: Record, folder: Path, has_trouble: bool) -> str:
    """Plays the case; returns what broke the rule."""
    fleet = Fleet(record, folder, settings(), nodes=12, per_cell=3)
    later = Viewers(record, "viewers, new connection")
    silent: list[socket.socket] = []
    try:
        await fleet.start(LIMITS)
        ids = [await fleet.play(0xA0 + number) for number in range(SESSIONS)]
        await asyncio.sleep(1.0)
        if has_trouble:
            for _ in range(SILENT_CLIENTS):
                silent.append(connect_silently(fleet.front.address))
            record.write(f"{SILENT_CLIENTS} clients have connected and say nothing")
        await asyncio.sleep(0.2)
        for session_id in ids:
            fleet.node_of(session_id).end(session_id)
        ended_at = record.now()
        await asyncio.sleep(NEXT_REQUEST_AFTER_S)
        await later.connect(fleet.front.address)
        later.ask(f"{0xB00:016x}")
        await asyncio.sleep(WATCHED_S)
        astray = sum(releases_read(sock, ids) for sock in silent)
        record.write(f"releases of the viewers' sessions that silent clients were sent: {astray}")
        lost = 0
        for session_id in ids:
            times = [viewers.first(session_id, RELEASE) for viewers in (fleet.viewers, later)]
            at = min((at for at in times if at is not None), default=None)
            word = "never" if at is None else f"{at - ended_at:.2f} s after its end"
            record.write(f"{session_id}: released towards its viewer {word}")
            lost += at is None or at - ended_at > RELEASE_LIMIT_S
        open_word = "closed" if later.is_closed else "open"
        record.write(f"the viewers' new connection is {open_word}")
        return f"{lost} of {len(ids)} sessions not released towards their viewers" if lost else ""
    finally:
        for sock in silent:
            sock.close()
        later.close()
        fleet.end()


play(__file__, case)
