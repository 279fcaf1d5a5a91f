"""Push-pull over streams: full states sent and received, begun here or by another."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress

import trio

from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.messages import Address
from oakcroft.peers.membership_start import HostedMembership
from oakcroft.peers.streams import STREAM_ERRORS, connect
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.push_pull_stream import MAX_PART_BYTES, FullStateReader, write_full_state

PUSH_PULL_TIMEOUT_S = 2.0
"""Seconds for one, from the first octet to the last."""


class PushPullService:
    """Exchanges this front's full state with others'. `merged` is called after each that has been taken."""

    def __init__(
        self, codec: MembershipCodec, membership: HostedMembership, own_host: str, now: Callable[[], int],
        dropped: Counter[str], merged: Callable[[], None],
    ) -> None:  # fmt: skip
        """`own_host` is the address that streams are begun from."""
        self.codec = codec
        self.membership = membership
        self.own_host = own_host
        self.now = now
        self.dropped = dropped
        self.merged = merged

    def _own_state(self, asked_with: Sequence[MemberUpdate] | None = None) -> bytes:
        """What is sent; to whoever has begun, what it lacks by what it `asked_with`."""
        hosted = self.membership
        state = hosted.full_state(asked_with) if isinstance(hosted, ZonedMembership) else hosted.full_state()
        return write_full_state(self.codec, state)

    async def begin(self, address: Address) -> None:
        """A push-pull with whoever is at an address; one that fails is as good as lost."""
        with trio.move_on_after(PUSH_PULL_TIMEOUT_S), suppress(*STREAM_ERRORS, MessageError):
            async with await connect(address, self.own_host) as stream:
                await stream.send_all(self._own_state())
                await self._receive(stream)

    async def answer(self, stream: trio.SocketStream, first: bytes) -> None:
        """A push-pull that another has begun, with its first octets.

        Nobody is told anything who has not shown that he holds the key.
        """
        received = await self._receive(stream, first)
        if received is not None and self._may_answer():
            await stream.send_all(self._own_state(received))

    def _may_answer(self) -> bool:
        """Whether the traffic budget of a zoned membership allows for a full state now; the other asks again."""
        hosted = self.membership
        if not isinstance(hosted, ZonedMembership) or hosted.accepts_exchange(self.now()):
            return True
        self.dropped["exchange over budget"] += 1
        return False

    async def _receive(self, stream: trio.SocketStream, first: bytes = b"") -> list[MemberUpdate] | None:
        """Takes the other's full state, and returns it; None where it was not whole."""
        reader = FullStateReader(self.codec)
        try:
            reader.receive_data(first, self.now())
            while not reader.done:
                octets = await stream.receive_some(MAX_PART_BYTES)
                if not octets:
                    return None
                reader.receive_data(octets, self.now())
        except MessageError as error:
            self.dropped[str(error)] += 1
            return None
        assert reader.sender is not None
        self.membership.receive_full_state(reader.sender, reader.updates, self.now())
        self.merged()
        return reader.updates
