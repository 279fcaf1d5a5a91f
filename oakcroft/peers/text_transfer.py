"""Transfers texts between fronts over a stream, by digest; used by staged rollouts of the catalogue."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import trio

from oakcroft.decisions.membership.messages import Address
from oakcroft.peers.leases import LeaseHost
from oakcroft.peers.streams import STREAM_ERRORS, connect
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import MAX_TEXT_BYTES
from oakcroft.peerwire.lease_wire import TextChunk
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES, MembershipCodec
from oakcroft.peerwire.push_pull_stream import LENGTH_OCTETS

TEXT_TIMEOUT_S = 10.0
"""Timeout of one transfer; a text has at most 16 MiB."""

READ_BYTES = 65_536


class TextTransfer:
    """Serves texts to other fronts and fetches texts from them."""

    def __init__(
        self,
        codec: MembershipCodec,
        leases: LeaseHost,
        own_host: str,
        now: Callable[[], int],
        dropped: Counter[str],
    ) -> None:
        """`leases` finds the texts that this front holds and encodes the messages."""
        self.codec = codec
        self.leases = leases
        self.own_host = own_host
        self.now = now
        self.dropped = dropped

    async def answer(self, stream: trio.SocketStream, first: bytes) -> None:
        """Sends a text that another front requests by digest; `first` is the start of its request."""
        try:
            digest = await self._read_request(stream, first)
        except MessageError as error:
            self.dropped[str(error)] += 1
            return
        text = self.leases.find_text(digest) or b""
        for part in self.leases.codec.encode_text(*self.leases.identity(), text):
            await stream.send_all(part)

    async def _read_request(self, stream: trio.SocketStream, first: bytes) -> str:
        end = LENGTH_OCTETS + int.from_bytes(first[:LENGTH_OCTETS], "big")
        while len(first) < end <= MAX_DATAGRAM_BYTES:
            received = await stream.receive_some(MAX_DATAGRAM_BYTES)
            if not received:
                raise MessageError("not sealed")
            first += received
        opened = self.codec.open(first[LENGTH_OCTETS:end], self.now())
        return self.leases.codec.decode_text_request(opened)

    async def fetch(self, address: Address, digest: str) -> bytes | None:
        """Fetches a text from another front; None if that fails or takes longer than `TEXT_TIMEOUT_S`."""
        text = bytearray()
        expected_part = 0
        with trio.move_on_after(TEXT_TIMEOUT_S), suppress(*STREAM_ERRORS, MessageError):
            async with await connect(address, self.own_host) as stream:
                await stream.send_all(self.leases.codec.encode_text_request(*self.leases.identity(), digest))
                async for chunk in self._chunks(stream):
                    text += chunk.octets
                    if chunk.part != expected_part or len(text) > MAX_TEXT_BYTES:
                        return None
                    expected_part += 1
                    if not chunk.more:
                        return bytes(text) or None
        return None

    async def _chunks(self, stream: trio.SocketStream) -> AsyncIterator[TextChunk]:
        buffer = bytearray()
        while octets := await stream.receive_some(READ_BYTES):
            buffer += octets
            while len(buffer) >= LENGTH_OCTETS:
                end = LENGTH_OCTETS + int.from_bytes(buffer[:LENGTH_OCTETS], "big")
                if len(buffer) < end:
                    break
                opened = self.codec.unseal(bytes(buffer[LENGTH_OCTETS:end]), self.now())
                del buffer[:end]
                yield self.leases.codec.decode_text_chunk(opened)
