"""A viewer connection: its socket, the messages received on it, and the set-ups open on it."""

from __future__ import annotations

import socket
from contextlib import suppress

import trio

from oakcroft.decisions.admission.deadlines import PauseDetector
from oakcroft.decisions.admission.eviction import IdleConnection
from oakcroft.platform.connection import RECEIVE_BYTES, BufferedConnection
from oakcroft.platform.playback_session import SetupRequest, PlaybackSession
from oakcroft.platformwire import framing
from oakcroft.platformwire.framing import FrameDecoder
from oakcroft.running.clock import Clock


class ViewerConnection(BufferedConnection):
    """A connection from viewers, with the set-ups open on it.

    Besides its own task, any code that needs its current state reads its socket: before a set-up is sent to a
    node, the socket is checked for signs that the viewer has left, even if its task has not run for a while.
    """

    def __init__(
        self, sock: socket.socket, nursery: trio.Nursery, clock: Clock, pause_detector: PauseDetector
    ) -> None:
        """Wraps an accepted socket."""
        super().__init__(sock, nursery)
        self.clock = clock
        self.pause_detector = pause_detector
        self.frames = FrameDecoder()
        self.open_setups: dict[str, PlaybackSession] = {}
        self.queued_requests: dict[str, SetupRequest] = {}  # waiting for their turn
        now = clock.now()
        self.idle_since = now  # time of the last complete message
        self.known_empty_at = now  # last time at which the socket was known to be empty
        # Earliest time at which the viewer may have sent the data that is not handled yet; None without such data.
        self.written_at: int | None = None
        self.has_sent_message = False
        self.session_count = 0  # playing sessions whose set-up came on it
        self.has_peer_left = False  # the peer has closed or reset it
        self.wait_scope = trio.CancelScope()
        # Ends of the answers that were not sent at once, by session id, as `queued_bytes` counts.
        self._answer_ends: dict[str, int] = {}

    def receive_available(self) -> bool:
        """Receives what the socket holds, without waiting; returns whether there was anything.

        Stops once a maximal message is buffered, so that the buffer holds at most one message and one
        receive.
        """
        has_received = False
        while self.is_open and not self.has_peer_left and len(self.frames.buffer) < framing.MAX_MESSAGE_BYTES:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            has_received, now = True, self.clock.now()
            self.has_peer_left = not data
            if self.written_at is None:
                self.written_at = self.pause_detector.earliest_written_at(now, self.known_empty_at)
            if self.has_sent_message and not self.frames.has_partial_message:
                self.idle_since = now
            self.frames.receive_data(data)
        if has_received:
            self.wait_scope.cancel()  # wakes the connection's own task, which no longer finds the socket readable
        return has_received

    async def wait_for_data(self) -> None:
        """Waits until data arrives, until another task has received it, or not at all once it is closed."""
        if not self.is_open:
            return
        with trio.CancelScope() as self.wait_scope, suppress(trio.ClosedResourceError, OSError):
            await trio.lowlevel.wait_readable(self.sock)

    def has_viewer_left(self, session_id: str) -> bool:
        """Whether the viewer of a set-up has left or released it, as far as the socket shows now.

        A half-closed peer counts as having left even if it still reads, because a full close looks the same
        from here (docs/platform.md).
        """
        self.receive_available()
        if not self.is_open or self.has_peer_left or self.has_peer_closed():
            return True
        return any(
            kind == framing.RELEASE and other_id == session_id
            for kind, other_id in self.frames.pending_messages()
        )

    def write_answer(self, session_id: str, answer: bytes) -> bool:
        """Sends or buffers the answer that makes a session play; returns whether the connection is usable."""
        is_usable = self.write(answer)
        self._answer_ends = {other: end for other, end in self._answer_ends.items() if end > self.sent_bytes}
        if self.send_buffer:
            self._answer_ends[session_id] = self.queued_bytes
        return is_usable

    @property
    def unsent_answers(self) -> list[str]:
        """The sessions whose answer the peer cannot have received in whole, as it is still buffered or was dropped."""
        return [session_id for session_id, end in self._answer_ends.items() if end > self.sent_bytes]

    @property
    def is_idle(self) -> bool:
        """Whether no set-up is open or queued on it."""
        return not (self.open_setups or self.queued_requests)

    @property
    def idle_state(self) -> IdleConnection:
        """The facts that the eviction order depends on; valid while it is idle."""
        return IdleConnection(
            self.idle_since,
            self.has_sent_message,
            self.session_count,
            self.frames.has_partial_message,
            bool(self.send_buffer),
        )

    @property
    def unread_count(self) -> int:
        """Number of complete messages that have not been handled, including those still in the socket."""
        self.receive_available()
        return sum(1 for _ in self.frames.pending_messages())
