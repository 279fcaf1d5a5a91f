"""A real front end process on the platform's protocol, with minimal emulators of its command channel and nodes.

Everything is on 127.0.0.1. The emulators run in the measuring process, whose own cost is not counted: CPU time,
resident memory and descriptors are read for the front end's process only.
"""

from __future__ import annotations

import os
import socket
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
"""Descriptor limit of the front end, half of which is for viewers; below the machine's hard limit of 20,000."""
MAX_MEMORY_MB = 4_096
READY_TIMEOUT_S = 30.0
LONG_POLL_S = 0.9
"""Time after which a long poll of the command channel is answered without events."""
REPORTS_EVERY_MS = 3_000.0
NS_PER_S = 1e9
WARMUP_S = 6.5
"""Longer than the 6 s for which a front end treats all nodes as cold after its start."""
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
    """A command channel without events, and nodes that accept every set-up."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Creates emulators that do not listen yet and whose tasks run in `nursery`."""
        self.nursery = nursery
        self.channel_port = 0
        self.ports: list[int] = []
        self.sessions: dict[str, trio.SocketStream] = {}
        """The playing sessions, each with the connection of its node."""

    async def start(self) -> None:
        """Starts listening for the command channel and for the nodes."""
        self.channel_port = await self._listen(self._channel)
        self.ports = [await self._listen(self._node) for _ in range(EMULATED_NODES)]

    async def _listen(self, serve: Any) -> int:
        listeners = await trio.open_tcp_listeners(0, host=HOST, backlog=1024)
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _channel(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while head := await stream.receive_some(4096):
                cursor = int(head.split(b"resume=")[1].split(b"&")[0])
                block = int(head.split(b"block=")[1].split(b" ")[0])
                await trio.sleep(LONG_POLL_S if block else 0.0)
                body = orjson.dumps({"cursor": cursor, "cmds": []})
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def _node(self, stream: trio.SocketStream) -> None:
        rest = b""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in stream:
                *lines, rest = (rest + data).split(b"\n")
                answers = b"".join(self._answer(stream, orjson.loads(line)) for line in lines)
                if answers:
                    await stream.send_all(answers)
        await trio.aclose_forcefully(stream)

    def _answer(self, stream: trio.SocketStream, message: dict[str, Any]) -> bytes:
        if message["msg"] != "open":
            return b""
        self.sessions[message["sid"]] = stream
        return encode_line(msg="ready", sid=message["sid"], attrs={}, text="answer\r\n")


def encode_line(**message: Any) -> bytes:
    """Encodes a message of a node."""
    return orjson.dumps(message) + b"\n"


class FrontProcess:
    """The measured front end process."""

    def __init__(self, child: subprocess.Popen[bytes], port: int, ready_s: float) -> None:
        """Wraps a process that listens at `port` and was ready `ready_s` after its start."""
        self.child = child
        self.port = port
        self.ready_s = ready_s

    @property
    def resident_octets(self) -> int:
        """Resident memory in octets."""
        pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    @property
    def cpu_seconds(self) -> float:
        """CPU time so far of all present threads, in ns resolution; that of /proc/PID/stat is 10 ms."""
        tasks = Path(f"/proc/{self.child.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / NS_PER_S

    @property
    def descriptor_count(self) -> int:
        """Number of open descriptors."""
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    async def cpu_share_over(self, seconds: float) -> float:
        """Returns the share of a core that the process uses over a time."""
        cpu_before = self.cpu_seconds
        started_at = time.perf_counter()
        await trio.sleep(seconds)
        return (self.cpu_seconds - cpu_before) / (time.perf_counter() - started_at)


def node_members(ports: list[int], nodes: int) -> list[dict[str, Any]]:
    """Returns the members of a node list; nodes beyond the emulated ones share their ports and get no set-ups."""
    return [
        {"id": f"node-{i:05}", "host_port": f"{HOST}:{ports[i % len(ports)]}", "locality": f"zone-{i % 2}",
         "flavor": "k", "cell": i % 4, "phase": "up", "size": 1, "up_since_ms": 0}
        for i in range(nodes)
    ]  # fmt: skip


def free_port() -> int:
    """Returns a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@asynccontextmanager
async def running_front(emulators: Emulators, nodes: int) -> AsyncIterator[FrontProcess]:
    """Runs a front end with `nodes` listed nodes and yields it once it passes a test."""
    port = free_port()
    known = {
        "cursor": 1,
        "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": node_members(emulators.ports, nodes)}}],
    }
    configuration = {
        "name": "front",
        "listen": f"{HOST}:{port}",
        "seed": "1",
        "limits": {"sockets": MAX_SOCKETS, "memory_mb": MAX_MEMORY_MB},
        "channel": f"{HOST}:{emulators.channel_port}",
        "known": known,
        "settings": SETTINGS,
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_bytes(orjson.dumps(configuration))
        started_at = time.perf_counter()
        with (Path(folder) / "log").open("wb") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "oakcroft", "platform"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(file)},
            )  # fmt: skip
        try:
            with trio.fail_after(READY_TIMEOUT_S):
                await wait_until_ready(port, child)
            yield FrontProcess(child, port, time.perf_counter() - started_at)
        finally:
            child.kill()
            child.wait()


async def wait_until_ready(port: int, child: subprocess.Popen[bytes]) -> None:
    """Waits until the front end passes a test. Raises RuntimeError if it exits instead."""
    while child.poll() is None:
        with suppress(OSError):
            viewer = await Viewer.connect(port)
            passed = await viewer.test()
            viewer.close()
            if passed:
                return
        await trio.sleep(0.005)
    raise RuntimeError(f"the front end exited with {child.returncode}")


class Viewer:
    """A viewer's connection, used without a task of its own."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """Wraps a connected socket."""
        self.sock = sock
        self.frames = framing.FrameDecoder()

    @classmethod
    async def connect(cls, port: int) -> Viewer:
        """Connects to the front end. Raises OSError if that fails."""
        sock = trio.socket.socket()
        try:
            await sock.connect((HOST, port))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    async def test(self) -> bool:
        """Requests a test and returns whether it passed."""
        await self.sock.send(framing.encode(framing.TEST, "00000000000000ff", (framing.CAUSE, b"\0")))
        _, _, found = await self.receive()
        return found[framing.CAUSE] == b"\1"

    async def set_up(self, session: str, title: str, wait_ms: int = 8_000) -> bool:
        """Requests a set-up and returns whether it was answered with a playback."""
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
        """Returns the next message. Raises OSError if the connection was closed."""
        while (event := self.frames.next_event()) is None:
            data = await self.sock.recv(4096)
            if not data:
                raise OSError("closed")
            self.frames.receive_data(data)
        return event
