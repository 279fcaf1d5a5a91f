"""A playout node as a process of its own, which a test can stop, continue, kill and replace.

`python node_process.py SETTINGS` takes its settings as JSON, and prints a line of JSON for its port and for each message
that it gets. SIGUSR1 makes it close its listener, so that another process can take its address; SIGUSR2 makes it reset
its connections.
"""

from __future__ import annotations

import json
import signal
import socket
import struct
import subprocess
import sys
from contextlib import asynccontextmanager, suppress
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import trio

ENDED, CANCELLED = 16, 31
"""Causes of a node's releases."""


@dataclass(frozen=True)
class NodeSettings:
    """What a node does; a port of 0 is a free one."""

    name: str = "n0"
    port: int = 0
    note_interval_seconds: float = 0.0
    """0 for a node that sends no notes."""

    answers_tests: bool = True


class Node:
    """The sessions of a node, each with the connection of its set-up."""

    def __init__(self, settings: NodeSettings) -> None:
        """Creates a node without sessions."""
        self.settings = settings
        self.streams = list[trio.SocketStream]()
        self.sessions = dict[str, trio.SocketStream]()
        self.sending = trio.Lock()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Handles the messages of one connection until it ends."""
        self.streams.append(stream)
        remainder = b""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in stream:
                *lines, remainder = (remainder + data).split(b"\n")
                for line in lines:
                    await self.handle(stream, json.loads(line))
        self.streams.remove(stream)
        await trio.aclose_forcefully(stream)

    async def handle(self, stream: trio.SocketStream, message: dict[str, Any]) -> None:
        """Answers one message."""
        report(message)
        kind, session_id = message["msg"], message["sid"]
        if kind == "open":
            self.sessions[session_id] = stream
            await self.send(
                stream, msg="ready", sid=session_id, attrs={}, text=f"{self.settings.name} {session_id}"
            )
        elif kind == "close" and self.sessions.pop(session_id, None) is not None:
            await self.send(stream, msg="close", sid=session_id, attrs={}, code=CANCELLED)
        elif kind == "probe" and self.settings.answers_tests:
            await self.send(stream, msg="probed", sid=session_id, attrs={}, code=1)

    async def send(self, stream: trio.SocketStream, **message: Any) -> None:
        """Sends a message; a connection that has ended loses it."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self.sending:
                await stream.send_all(json.dumps(message).encode() + b"\n")

    def reset_connections(self) -> None:
        """Resets all connections; the sessions stand on."""
        for stream in self.streams:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.socket.close()

    async def send_notes(self) -> None:
        """Tells how full the link is at a fixed interval, on each session."""
        while True:
            await trio.sleep(self.settings.note_interval_seconds)
            for session_id, stream in list(self.sessions.items()):
                if stream not in self.streams and self.streams:
                    stream = self.streams[-1]
                await self.send(stream, msg="event", sid=session_id, attrs={"note": "local", "value": "0.3"})


def report(message: dict[str, Any]) -> None:
    """Prints a line for the test."""
    print(json.dumps(message), flush=True)


async def run_node(settings: NodeSettings) -> None:
    """Serves until the process is killed."""
    node = Node(settings)
    [listener] = await trio.open_tcp_listeners(settings.port, host="127.0.0.1")
    report({"port": listener.socket.getsockname()[1]})
    async with trio.open_nursery() as nursery:
        if settings.note_interval_seconds:
            nursery.start_soon(node.send_notes)
        with trio.open_signal_receiver(signal.SIGUSR1, signal.SIGUSR2) as signals:
            accepting = trio.CancelScope()

            async def accept() -> None:
                with accepting:
                    await trio.serve_listeners(node.serve, [listener], handler_nursery=nursery)

            nursery.start_soon(accept)
            async for number in signals:
                if number == signal.SIGUSR2:
                    node.reset_connections()
                    continue
                accepting.cancel()
                await listener.aclose()
                report({"closed": True})


class NodeProcess:
    """A running node, as its test sees it."""

    def __init__(self, process: trio.Process) -> None:
        """Wraps a process that has just been started."""
        self.process = process
        self.port = 0
        self.has_closed_listener = trio.Event()
        self.received = list[dict[str, Any]]()

    async def read_reports(self, port_known: trio.Event) -> None:
        """Reads what the process prints until it ends."""
        assert self.process.stdout is not None
        remainder = b""
        async for data in self.process.stdout:
            *lines, remainder = (remainder + data).split(b"\n")
            for line in lines:
                message = json.loads(line)
                if "port" in message:
                    self.port = message["port"]
                    port_known.set()
                elif "closed" in message:
                    self.has_closed_listener.set()
                else:
                    self.received.append(message)

    def messages(self, kind: str) -> list[dict[str, Any]]:
        """Returns the received messages of a kind."""
        return [message for message in self.received if message["msg"] == kind]

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self.process.send_signal(number)


@asynccontextmanager
async def running_node(settings: NodeSettings) -> AsyncIterator[NodeProcess]:
    """Runs a node while the block runs, and kills it at the end."""
    command = [sys.executable, str(Path(__file__).resolve()), json.dumps(asdict(settings))]
    process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
    node = NodeProcess(process)
    async with trio.open_nursery() as nursery:
        try:
            port_known = trio.Event()
            nursery.start_soon(node.read_reports, port_known)
            await port_known.wait()
            yield node
        finally:
            if process.poll() is None:
                process.kill()  # also ends one that is stopped
            with trio.CancelScope(shield=True):
                await process.wait()
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(run_node, NodeSettings(**json.loads(sys.argv[1])))
