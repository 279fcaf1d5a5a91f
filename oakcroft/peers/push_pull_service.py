"""Push-pull over streams: exchanges full states with other fronts, initiated by either side."""

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
"""Timeout of one exchange, from the first octet to the last."""


class PushPullService:
    """Exchanges full states with other fronts. `on_merged` is called after each full state that was merged."""

    def __init__(
        self,
        codec: MembershipCodec,
        membership: HostedMembership,
        own_host: str,
        now: Callable[[], int],
        dropped: Counter[str],
        on_merged: Callable[[], None],
    ) -> None:
        """`own_host` is the local address of streams that this front opens."""
        self.codec = codec
        self.membership = membership
        self.own_host = own_host
        self.now = now
        self.dropped = dropped
        self.on_merged = on_merged

    def _own_state(self, known_to_peer: Sequence[MemberUpdate] | None = None) -> bytes:
        """The encoded state to send; a zoned membership leaves out of an answer what is already `known_to_peer`."""
        hosted = self.membership
        state = (
            hosted.full_state(known_to_peer) if isinstance(hosted, ZonedMembership) else hosted.full_state()
        )
        return write_full_state(self.codec, state)

    async def begin(self, address: Address) -> None:
        """Exchanges full states with the front at an address; errors are ignored, as for a lost datagram."""
        with trio.move_on_after(PUSH_PULL_TIMEOUT_S), suppress(*STREAM_ERRORS, MessageError):
            async with await connect(address, self.own_host) as stream:
                await stream.send_all(self._own_state())
                await self._receive(stream)

    async def answer(self, stream: trio.SocketStream, first: bytes) -> None:
        """Answers an exchange that another front has begun; `first` is the start of its state.

        The own state is sent only to a peer whose state was authenticated.
        """
        received = await self._receive(stream, first)
        if received is not None and self._may_answer():
            await stream.send_all(self._own_state(received))

    def _may_answer(self) -> bool:
        """Whether the traffic budget of a zoned membership allows a full state now; if not, the peer tries again."""
        hosted = self.membership
        if not isinstance(hosted, ZonedMembership) or hosted.accepts_exchange(self.now()):
            return True
        self.dropped["exchange over budget"] += 1
        return False

    async def _receive(self, stream: trio.SocketStream, first: bytes = b"") -> list[MemberUpdate] | None:
        """Merges the other front's full state and returns it; None if it was incomplete or invalid."""
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
        self.on_merged()
        return reader.updates
