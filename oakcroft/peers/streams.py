"""Streams between peers: connecting from the own address, and accepting a bounded number of them."""

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
"""Begun by others and served at once."""

FORMAT_AT = LENGTH_OCTETS + SEAL_LENGTH
"""Where a stream's first message shows its format."""

STREAM_ERRORS = (OSError, trio.BrokenResourceError)
"""What a peer or the network may do to a stream."""

Answer = Callable[[trio.SocketStream, bytes], Awaitable[None]]
"""Serves a stream whose first octets have been read."""


async def connect(address: Address, own_host: str) -> trio.SocketStream:
    """A stream to a peer, from this front's own address. OSError where it can't be had."""
    local_address = None if ip_address(own_host).is_unspecified else own_host
    return await trio.open_tcp_stream(*address, local_address=local_address)


class StreamServer:
    """Accepts streams and hands each to what its format is for."""

    def __init__(self, default: Answer, default_timeout: float, dropped: Counter[str]) -> None:
        """`default` serves streams whose format nobody registered, within `default_timeout` seconds."""
        self.default = default
        self.default_timeout = default_timeout
        self.dropped = dropped
        self.by_format: dict[int, tuple[Answer, float]] = {}
        self.limiter = trio.CapacityLimiter(MAX_STREAMS)

    def register(self, wire_format: int, answer: Answer, timeout: float) -> None:
        """Who serves streams of a format, and within how many seconds more."""
        self.by_format[wire_format] = (answer, timeout)

    async def serve(self, stream: trio.SocketStream) -> None:
        """A stream that another has begun; closed at once where too many are."""
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
        answer, more_time = self.by_format.get(first[FORMAT_AT], (self.default, 0.0))
        scope.deadline += more_time
        await answer(stream, first)


async def _first_octets(stream: trio.SocketStream) -> bytes | None:
    """A stream's octets up to where its first message shows its format; None where it ends before."""
    octets = bytearray()
    while len(octets) <= FORMAT_AT:
        more = await stream.receive_some(MAX_PART_BYTES)
        if not more:
            return None
        octets += more
    return bytes(octets)
