"""The protocol state of one HTTP connection of long polls to the command channel, without a socket.

h11 handles the HTTP; this module tracks the open poll and decodes its answer in parts. A poll is sent only when the
previous answer has been read completely, so an answer always belongs to the cursor that was last sent.
"""

from __future__ import annotations

from http import HTTPStatus

import h11

from oakcroft.platformwire import command_channel
from oakcroft.platformwire.answer_decoder import Answer, AnswerDecoder

POLL_PATH = "/cmd/next"
MAX_ANSWER_BYTES = 33_554_432
"""Twice what the largest number of entries takes with usual names. The text is decoded and dropped as it arrives."""
MEMBERS_PER_STEP = 64
"""Entries that are decoded between two looks at the clock."""
MAX_HEAD_BYTES = 32_768


class LongPollConnection:
    """Turns polls into bytes and bytes into answers.

    A ChannelError means that the connection can no longer be used: the answer is invalid or incomplete.
    """

    def __init__(self, host: str, port: int) -> None:
        """Prepares a connection to an address; nothing has been sent yet."""
        self.host = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.decoder = AnswerDecoder()
        self.body_bytes = 0
        self.status = 0
        self._is_decoding = False
        self.has_more_to_decode = False

    def poll(self, after_cursor: int, wait_ms: int) -> bytes:
        """Encodes a poll for the events after `after_cursor`, which the channel may hold for `wait_ms`.

        Raises ChannelError if the previous answer has not been read.
        """
        if self.http.our_state is not h11.IDLE:
            raise command_channel.ChannelError("the previous answer has not been read")
        request = h11.Request(
            method="GET",
            target=f"{POLL_PATH}?resume={after_cursor}&block={wait_ms}",
            headers=[("Host", self.host)],
        )
        return (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes; an empty value marks the end of the connection."""
        try:
            self.http.receive_data(data)
        except RuntimeError as error:  # bytes after the end of the connection
            raise command_channel.ChannelError(str(error)) from error

    def next_answer(self) -> Answer | None:
        """Returns the answer to the open poll, the cursor of the last event and the events; None without one.

        Without one, `has_more_to_decode` tells whether to call it again or to wait for data. Raises ChannelError if the
        answer is invalid.
        """
        if self._is_decoding:
            return self._advance()
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise command_channel.ChannelError(str(error)) from error
        self.has_more_to_decode = event is not h11.NEED_DATA and event is not h11.PAUSED
        if isinstance(event, h11.Response):
            self.status = event.status_code
            if self.status != HTTPStatus.OK:
                raise command_channel.ChannelError(f"status {self.status}")
        elif isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            if self.body_bytes > MAX_ANSWER_BYTES:
                raise command_channel.AnswerTooLargeError(f"the answer has over {MAX_ANSWER_BYTES} bytes")
            self.decoder.feed(event.data)
            self._is_decoding = True
        elif isinstance(event, h11.EndOfMessage):
            self.decoder.finish()
            self._is_decoding = True
        elif isinstance(event, h11.ConnectionClosed):
            raise command_channel.ChannelError("closed without an answer")
        return None

    def _advance(self) -> Answer | None:
        """Decodes some of what has arrived; returns the answer when all of it has been decoded.

        It then makes the connection ready for the next poll if it stays open.
        """
        self._is_decoding = self.decoder.advance(MEMBERS_PER_STEP)
        answer = self.decoder.answer
        if answer is None:
            return None
        self.decoder = AnswerDecoder()
        self.body_bytes = 0
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return answer

    @property
    def is_ready(self) -> bool:
        """Whether the connection can take another poll."""
        return bool(self.http.our_state is h11.IDLE)
