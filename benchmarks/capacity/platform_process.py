"""A real front end process on the platform's protocol, with short emulators of its channel and nodes round it.

Everything is on 127.0.0.1. The emulators live in the measuring process, whose own cost is not counted: processor time,
resident memory and descriptors are read of the front end's process alone.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import orjson
import trio

from oakcroft.platformwire import framing

HOST = "127.0.0.1"
MAX_SOCKETS = 18_000
"""Descriptors granted to the front end: half are for viewers. Under this machine's hard limit (20,000)."""
MAX_MEMORY_MB = 4_096
READY_TIMEOUT_S = 30.0
LONG_POLL_S = 0.9
"""A poll of the channel is answered by then when there is nothing new."""
REPORTS_EVERY_MS = 3_000.0
NS_PER_S = 1e9
WARMUP_S = 6.5
"""After its start a front end takes all nodes for cold for 6 s."""
EMULATED_NODES = 40

SETTINGS: dict[str, Any] = {
    "balancers": 1, "me": 0, "membershipMode": "automatic", "models": ["k"],
    "classes": [{"name": "free", "effect": "free", "objectiveMs": 2000.0, "deadlineMs": 8000.0, "worth": 1.0}],
    "familyInfo": {
        "cells": 4, "classSeats": [0], "classTop": [2], "floorByClass": [0], "groups": 4, "joinAdds": 1.0,
        "kindSlots": [4000], "live": [False], "rateFactor": [1.0], "ratesKb": [100.0, 200.0, 400.0],
        "reportsEveryMs": REPORTS_EVERY_MS, "rungWorth": [0.3, 0.6, 1.0], "seenAfterMs": 50.0, "uplinkKb": 0.0,
        "weightKb": 400_000_000.0,
    },
    "permissions": {"maxAttempts": 3, "maxRetryAfterMs": 1000.0, "retryAfter": True, "connIdleMs": 60_000.0,
                    "dialTimeoutMs": 1000.0, "streamsPerConn": 4096, "maxOpen": 100_000},
    "rules": {"coldMs": 200.0, "coldShare": 0.5, "drainGraceMs": 250.0, "fallMultiple": 50.0,
              "overloadForMs": 1000.0},
}  # fmt: skip


class Emulators:
    """The channel, which tells nothing new, and nodes that set up whatever they are asked for."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Not listening yet; their tasks run in this nursery."""
        self.nursery = nursery
        self.channel_port = 0
        self.ports: list[int] = []
        self.sessions: dict[str, trio.SocketStream] = {}
        """Each session that stands, with a connection of its node."""

    async def start(self) -> None:
        """Listens for the channel and for the nodes."""
        self.channel_port = await self._listen(self._channel)
        self.ports = [await self._listen(self._node) for _ in range(EMULATED_NODES)]

    async def _listen(self, serve: Any) -> int:
        listeners = await trio.open_tcp_listeners(0, host=HOST, backlog=1024)
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _channel(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while head := await stream.receive_some(4096):
                after, block = (
                    head.split(word)[1].split(end)[0] for word, end in ((b"resume=", b"&"), (b"block=", b" "))
                )
                await trio.sleep(LONG_POLL_S if int(block) else 0.0)
                body = orjson.dumps({"cursor": int(after), "cmds": []})
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def _node(self, stream: trio.SocketStream) -> None:
        rest = b""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in stream:
                *whole, rest = (rest + data).split(b"\n")
                answers = b"".join(self._answer(stream, orjson.loads(line)) for line in whole)
                if answers:
                    await stream.send_all(answers)
        await trio.aclose_forcefully(stream)

    def _answer(self, stream: trio.SocketStream, message: dict[str, Any]) -> bytes:
        if message["msg"] != "open":
            return b""
        self.sessions[message["sid"]] = stream
        return encode_line(msg="ready", sid=message["sid"], attrs={}, text="answer\r\n")


def encode_line(**message: Any) -> bytes:
    """A node's message."""
    return orjson.dumps(message) + b"\n"


class FrontProcess:
    """The process under measurement."""

    def __init__(self, child: subprocess.Popen[bytes], port: int, ready_s: float) -> None:
        """A process that listens at a port, and how long it took to be ready."""
        self.child, self.port, self.ready_s = child, port, ready_s

    @property
    def resident_octets(self) -> int:
        """Resident octets."""
        pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    @property
    def cpu_seconds(self) -> float:
        """Processor time so far, of all threads that are there: to the nanosecond, where /proc/PID/stat tells 10 ms."""
        tasks = Path(f"/proc/{self.child.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / NS_PER_S

    @property
    def descriptor_count(self) -> int:
        """Open ones."""
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    async def cpu_share_over(self, seconds: float) -> float:
        """Share of a core over so long."""
        before, began = self.cpu_seconds, time.perf_counter()
        await trio.sleep(seconds)
        return (self.cpu_seconds - before) / (time.perf_counter() - began)


def node_members(ports: list[int], nodes: int) -> list[dict[str, Any]]:
    """So many nodes on the list; those past the emulated ones share their ports and are never asked."""
    return [
        {"id": f"node-{i:05}", "host_port": f"{HOST}:{ports[i % len(ports)]}", "locality": f"zone-{i % 2}",
         "flavor": "k", "cell": i % 4, "phase": "up", "size": 1, "up_since_ms": 0}
        for i in range(nodes)
    ]  # fmt: skip


def free_port() -> int:
    """A port that was free just now."""
    import socket

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@asynccontextmanager
async def running_front(emulators: Emulators, nodes: int) -> AsyncIterator[FrontProcess]:
    """A front end that has this many nodes on its list, from when it answers a test until it is ended."""
    port = free_port()
    known = {
        "cursor": 1,
        "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": node_members(emulators.ports, nodes)}}],
    }
    told = {
        "name": "front", "listen": f"{HOST}:{port}", "seed": "1", "limits": {"sockets": MAX_SOCKETS, "memory_mb": MAX_MEMORY_MB},
        "channel": f"{HOST}:{emulators.channel_port}", "known": known, "settings": SETTINGS,
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_bytes(orjson.dumps(told))
        began = time.perf_counter()
        with (Path(folder) / "log").open("wb") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "oakcroft", "platform"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(file)},
            )  # fmt: skip
        try:
            with trio.fail_after(READY_TIMEOUT_S):
                await wait_until_ready(port, child)
            yield FrontProcess(child, port, time.perf_counter() - began)
        finally:
            child.kill()
            child.wait()


async def wait_until_ready(port: int, child: subprocess.Popen[bytes]) -> None:
    """Until the front end says that it is ready. RuntimeError where it has ended instead."""
    while child.poll() is None:
        with suppress(OSError):
            viewer = await Viewer.connect(port)
            passed = await viewer.test()
            viewer.close()
            if passed:
                return
        await trio.sleep(0.005)
    raise RuntimeError(f"the front end ended with {child.returncode}")


class Viewer:
    """One connection of a viewer, without a task of its own."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """A socket that is connected."""
        self.sock, self.frames = sock, framing.FrameDecoder()

    @classmethod
    async def connect(cls, port: int) -> Viewer:
        """A connection. OSError where there is none to be had."""
        sock = trio.socket.socket()
        try:
            await sock.connect((HOST, port))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def close(self) -> None:
        """Ends it."""
        self.sock.close()

    async def test(self) -> bool:
        """Asks for a test; whether it passed."""
        await self.sock.send(framing.encode(framing.TEST, "00000000000000ff", (framing.CAUSE, b"\0")))
        _, _, found = await self.receive()
        return found[framing.CAUSE] == b"\1"

    async def set_up(self, session: str, title: str, wait_ms: int = 8_000) -> bool:
        """Asks for a session; whether it plays."""
        extras = b"home:0;copies:0;top:2;viewer:1"
        fields = (
            (framing.PLAN, b"free"),
            (framing.WAIT, str(wait_ms).encode()),
            (framing.TITLE, title.encode()),
        )
        await self.sock.send(
            framing.encode(
                framing.SET_UP, session, *fields, (framing.EXTRAS, extras), (framing.TEXT, b"offer\r\n")
            )
        )
        kind, _, _ = await self.receive()
        return kind == framing.ANSWER

    async def receive(self) -> tuple[int, str, dict[int, bytes]]:
        """The next message. OSError where the connection has ended."""
        while (event := self.frames.next_event()) is None:
            data = await self.sock.recv(4096)
            if not data:
                raise OSError("closed")
            self.frames.receive_data(data)
        return event
