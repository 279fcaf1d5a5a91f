"""TCP streams between peers: connects from the front's own address and accepts a bounded number of streams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from ipaddress import ip_address

import trio

from oakcroft.decisions.membership.messages import Address
from oakcroft.peerwire.push_pull_stream import LENGTH_OCTETS, MAX_PART_BYTES
from oakcroft.peerwire.sealing import SEAL_LENGTH

MAX_STREAMS = 8
"""Accepted streams that are served at once."""

FORMAT_OFFSET = LENGTH_OCTETS + SEAL_LENGTH
"""Offset of the format byte in a stream's first message."""

STREAM_ERRORS = (OSError, trio.BrokenResourceError)
"""Errors that a peer or the network may cause on a stream."""

Answer = Callable[[trio.SocketStream, bytes], Awaitable[None]]
"""Serves a stream whose first octets have already been read."""


async def connect(address: Address, own_host: str) -> trio.SocketStream:
    """Opens a stream to a peer from this front's own address. Raises OSError on failure."""
    local_address = None if ip_address(own_host).is_unspecified else own_host
    return await trio.open_tcp_stream(*address, local_address=local_address)


class StreamServer:
    """Accepts streams and passes each to the handler of its format."""

    def __init__(self, default: Answer, default_timeout: float, dropped: Counter[str]) -> None:
        """`default` serves streams of formats that are not registered, within `default_timeout` seconds."""
        self.default = default
        self.default_timeout = default_timeout
        self.dropped = dropped
        self.by_format: dict[int, tuple[Answer, float]] = {}
        self.limiter = trio.CapacityLimiter(MAX_STREAMS)

    def register(self, wire_format: int, answer: Answer, timeout: float) -> None:
        """Registers the handler of a format; it has `timeout` seconds in addition to the default timeout."""
        self.by_format[wire_format] = (answer, timeout)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves an accepted stream, or closes it at once if too many are open."""
        try:
            self.limiter.acquire_nowait()
        except trio.WouldBlock:
            self.dropped["too many exchanges"] += 1
            await trio.aclose_forcefully(stream)
            return
        try:
            with trio.move_on_after(self.default_timeout) as scope, suppress(*STREAM_ERRORS):
                await self._answer(stream, scope)
        finally:
            self.limiter.release()
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        first = await _first_octets(stream)
        if first is None:
            return
        answer, extra_timeout = self.by_format.get(first[FORMAT_OFFSET], (self.default, 0.0))
        scope.deadline += extra_timeout
        await answer(stream, first)


async def _first_octets(stream: trio.SocketStream) -> bytes | None:
    """Reads a stream until the format byte of its first message; None if the stream ends before it."""
    octets = bytearray()
    while len(octets) <= FORMAT_OFFSET:
        received = await stream.receive_some(MAX_PART_BYTES)
        if not received:
            return None
        octets += received
    return bytes(octets)
