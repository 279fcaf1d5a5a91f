"""A connection to a playout node: its socket, and the set-ups that await an answer on it."""

from __future__ import annotations

import socket

import trio

from oakcroft.platform.connection import BufferedConnection
from oakcroft.platform.playback_session import PlaybackSession


class NodeConnection(BufferedConnection):
    """A connection to a node, with the set-ups that await an answer on it."""

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, now: int) -> None:
        """Wraps a connected socket; `now` counts as its last use."""
        super().__init__(sock, nursery)
        # With the bytes of each, as counted by `queued_bytes`.
        self.pending_setups: dict[PlaybackSession, range] = {}
        self.opened_at = now
        self.last_used_at = now
        self.last_read_at = now  # until then, all that the node had sent was read
        self.last_written_at = now  # when the node wrote what was read last, at the earliest

    def retract_setup(self, session: PlaybackSession) -> bool:
        """Removes a set-up from the send buffer; returns whether the node cannot have received all of it.

        If the kernel has accepted a part of it, the connection is closed, unless other set-ups use it. So even
        if the node does not read, a set-up does not reach it after the viewer has left or the node has begun to
        drain. The drawback: messages of the node that are on their way on a closed connection arrive later.
        """
        queued_range = self.pending_setups[session]
        if self.retract(queued_range):
            for other, other_range in self.pending_setups.items():
                if other_range.start > queued_range.start:
                    self.pending_setups[other] = range(
                        other_range.start - len(queued_range), other_range.stop - len(queued_range)
                    )
            return True
        if self.sent_bytes < queued_range.stop and len(self.pending_setups) == 1:
            self.close()
            return True
        return False
