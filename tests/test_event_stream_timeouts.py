"""When `serve` takes a node's playbacks for lost by its event stream: a client of a node, real connections."""

from __future__ import annotations

import math
import resource
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from random import Random

import pytest
import trio

from oakcroft.decisions.sessions.event_stream_health import LossCertainty, StreamState, StreamTimeouts
from oakcroft.front.node_client import NodeClient, NodeEvent
from oakcroft.interface import MS, SECOND
from oakcroft.running.clock import Clock

HELLO = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    b'event: hello\ndata: {"process":"p","sessions":[],"keys":[],"rungs":[],"ran":[],"passed":[]}\n\n'
)
SILENT_AFTER_NS = 500 * MS
LOST_AFTER_NS = 1500 * MS
TOLERANCE_SECONDS = 0.3
CONNECT_TIMEOUT_NS = 250 * MS
SLOW_CONNECT_SECONDS = 1.0
LATE_REQUEST_SECONDS = 0.1


@dataclass
class WatchedNode:
    """A node with one event stream at a time, and what its client reports."""

    client: NodeClient
    streams: list[trio.SocketStream] = field(default_factory=list)
    """Those on which the node has said hello, the newest last."""

    connect_seconds: float = 0.0
    request_seconds: float = 0.0
    """From a connection that has come up to the request on it."""

    has_descriptors: bool = True
    is_hung: bool = False
    """Connections come up, and nothing is answered."""

    process: bytes = b"p"
    hellos: list[NodeEvent] = field(default_factory=list)
    """Those reported, by which the sessions that a node no longer names are ended."""

    losses: list[tuple[float, LossCertainty]] = field(default_factory=list)
    """When each loss was reported, on trio's clock, and how certain it was."""


@contextmanager
def limited_descriptors(has_descriptors: bool) -> Iterator[None]:
    """Lets this process open no descriptor while the block runs, unless it has some."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not has_descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (0, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@asynccontextmanager
async def watched_node(
    monkeypatch: pytest.MonkeyPatch, timeouts: StreamTimeouts
) -> AsyncIterator[WatchedNode]:
    """Runs a node that says hello on each event stream and nothing else, and a client that watches it."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = int(listeners[0].socket.getsockname()[1])
        client = NodeClient(
            "n0", "127.0.0.1", port, "test", Clock(), Random(1), CONNECT_TIMEOUT_NS, timeouts, SECOND, lambda _: 0.0
        )  # fmt: skip
        node = WatchedNode(client)
        open_stream = trio.open_tcp_stream

        async def open_late(host: str, port: int) -> trio.SocketStream:
            await trio.sleep(node.connect_seconds)
            with limited_descriptors(node.has_descriptors):
                stream = await open_stream(host, port)
            await trio.sleep(node.request_seconds)
            return stream

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            if node.is_hung:
                await trio.sleep_forever()
            await stream.send_all(HELLO.replace(b'"p"', b'"%b"' % node.process))
            node.streams.append(stream)
            await trio.sleep_forever()

        async def on_event(name: str, event: NodeEvent) -> None:
            node.hellos.append(event)

        async def on_lost(loss: LossCertainty, reason: str) -> None:
            node.losses.append((trio.current_time(), loss))

        monkeypatch.setattr(trio, "open_tcp_stream", open_late)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        client.events_path = "/events"
        client.stream_health.start(client.clock.now())
        client.stream_wanted.set()
        nursery.start_soon(client.watch, on_event, on_lost)
        with trio.fail_after(5):
            while client.stream_health.state is not StreamState.ALIVE:
                await trio.sleep(0.01)
        yield node
        nursery.cancel_scope.cancel()


def test_a_vanished_node_is_lost_when_it_was_silent_for_the_configured_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against playbacks that count as lost later than `lost-after`, since reopening the stream began it anew."""

    async def test() -> None:
        async with watched_node(monkeypatch, StreamTimeouts(SILENT_AFTER_NS, LOST_AFTER_NS)) as node:
            last_message_at = trio.current_time()
            node.connect_seconds = math.inf
            await trio.sleep(2 * LOST_AFTER_NS / SECOND)
            (lost_at, certainty), *others = node.losses
            assert not others
            assert certainty is LossCertainty.PRESUMED
            assert abs(lost_at - last_message_at - LOST_AFTER_NS / SECOND) < TOLERANCE_SECONDS

    trio.run(test)


@pytest.mark.parametrize("breaks_stream", [False, True])
def test_a_hung_node_that_takes_connects_is_lost_after_the_configured_time(
    breaks_stream: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against playbacks that count as playing for ever at a node whose kernel takes connects (issue 51)."""

    async def test() -> None:
        async with watched_node(monkeypatch, StreamTimeouts(SILENT_AFTER_NS, LOST_AFTER_NS)) as node:
            last_message_at = trio.current_time()
            node.is_hung = True
            if breaks_stream:
                await trio.aclose_forcefully(node.streams[-1])
            await trio.sleep(2 * LOST_AFTER_NS / SECOND)
            (lost_at, certainty), *others = node.losses
            assert not others
            assert certainty is LossCertainty.PRESUMED
            assert abs(lost_at - last_message_at - LOST_AFTER_NS / SECOND) < TOLERANCE_SECONDS

    trio.run(test)


def test_another_process_at_the_address_proves_the_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against playbacks of a process that was replaced unannounced: the stream names the process."""

    async def test() -> None:
        async with watched_node(monkeypatch, StreamTimeouts(SILENT_AFTER_NS, LOST_AFTER_NS)) as node:
            node.process = b"q"
            await trio.aclose_forcefully(node.streams[-1])
            await trio.sleep(LOST_AFTER_NS / SECOND)
            assert [hello.why for hello in node.hellos[:2]] == ["", LossCertainty.PROVEN.value]
            assert not node.hellos[1].sessions

    trio.run(test)


def test_a_node_whose_stream_breaks_and_comes_up_late_is_not_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against playbacks that are given up at a node that lives, since its new stream takes a second to open."""

    async def test() -> None:
        async with watched_node(monkeypatch, StreamTimeouts(2 * SECOND, 4 * SECOND)) as node:
            node.connect_seconds = SLOW_CONNECT_SECONDS
            node.request_seconds = LATE_REQUEST_SECONDS
            for count in (1, 2, 3):
                await trio.aclose_forcefully(node.streams[-1])
                with trio.fail_after(4 * SLOW_CONNECT_SECONDS):
                    while (
                        len(node.streams) == count or node.client.stream_health.state is not StreamState.ALIVE
                    ):
                        await trio.sleep(0.01)
            await trio.sleep(TOLERANCE_SECONDS)
            assert node.client.stream_health.state is StreamState.ALIVE
            assert not node.losses

    trio.run(test)


def test_a_node_is_not_lost_while_this_process_has_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against playbacks given up at a node that lives, since no new stream to it could be opened from here."""

    async def test() -> None:
        async with watched_node(monkeypatch, StreamTimeouts(SILENT_AFTER_NS, 2 * SECOND)) as node:
            node.has_descriptors = False
            await trio.aclose_forcefully(node.streams[0])
            await trio.sleep(4)
            assert not node.losses
            node.has_descriptors = True
            with trio.fail_after(2):
                while len(node.streams) < len(("broken", "new")):
                    await trio.sleep(0.01)
            assert not node.losses

    trio.run(test)
