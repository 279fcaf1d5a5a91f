"""The protocol state of one HTTP connection of long polls to the command channel, without a socket.

h11 handles the HTTP; this module tracks the open poll and decodes its answer. A poll is sent only when the
previous answer has been read completely, so an answer always belongs to the cursor that was last sent.
"""

from __future__ import annotations

from http import HTTPStatus

import h11

from oakcroft.platformwire import command_channel

POLL_PATH = "/cmd/next"
MAX_ANSWER_BYTES = 262_144
MAX_HEAD_BYTES = 32_768


class LongPollConnection:
    """Turns polls into bytes and bytes into answers.

    A ChannelError means that the connection can no longer be used: the answer is invalid or incomplete.
    """

    def __init__(self, host: str, port: int) -> None:
        """Prepares a connection to an address; nothing has been sent yet."""
        self.host = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.body = bytearray()
        self.status = 0

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

    def next_answer(self) -> tuple[int, list[command_channel.ListChange]] | None:
        """Returns the answer to the open poll, the cursor of the last event and the events; None if the answer
        is incomplete.

        Raises ChannelError if the answer is invalid.
        """
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_ANSWER_BYTES:
                        raise command_channel.ChannelError("the answer is too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self._complete_answer()
                elif isinstance(event, h11.ConnectionClosed):
                    raise command_channel.ChannelError("closed without an answer")
        except h11.RemoteProtocolError as error:
            raise command_channel.ChannelError(str(error)) from error

    def _complete_answer(self) -> tuple[int, list[command_channel.ListChange]]:
        """Decodes the complete answer and makes the connection ready for the next poll if it stays open."""
        body, self.body = bytes(self.body), bytearray()
        if self.status != HTTPStatus.OK:
            raise command_channel.ChannelError(f"status {self.status}")
        answer = command_channel.decode_events(body)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return answer

    @property
    def is_ready(self) -> bool:
        """Whether the connection can take another poll."""
        return bool(self.http.our_state is h11.IDLE)
