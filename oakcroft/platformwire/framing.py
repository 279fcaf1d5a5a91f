"""The binary framing of viewer connections.

A message is `length:2 type:1 session:8 parameters`, a parameter is `code:1 length:2 value`, all big-endian.
A length counts the bytes after it. A decoded event consists of the type, the session id in hexadecimal, and
the parameters by code.
"""

from __future__ import annotations

from collections.abc import Iterator

from oakcroft.interface import MS

MAX_MESSAGE_BYTES = 16_384
LENGTH_BYTES = 2  # of the length field
MIN_MESSAGE_LENGTH = 9  # minimum of the length field: a type and a session id
PARAMETER_HEAD_BYTES = 3  # code and length of a parameter

# Message types.
SET_UP = 1
PROGRESS = 6
ANSWER = 9
RELEASE = 12
RELEASE_CONFIRMED = 16
NOTE = 44
MOVE = 51
TEST = 52
TESTED = 53
RUNG = 60
MESSAGE_TYPES = frozenset(
    (SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_CONFIRMED, NOTE, MOVE, TEST, TESTED, RUNG)
)

# Parameter codes.
PLAN = 100
WAIT = 101
TITLE = 104
EXTRAS = 105
RETRY_AFTER = 106
HINT = 110
CAUSE = 114
TEXT = 115

Event = tuple[int, str, dict[int, bytes]]


class ProtocolError(Exception):
    """The peer's bytes are not a valid message, so the rest of its stream cannot be decoded either.

    The message names a counter in the logs.
    """


class FrameDecoder:
    """Decodes the messages of one connection from bytes that arrive in any pieces.

    If the caller takes all events before it adds more bytes, the buffer holds less than one message and one
    receive.
    """

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self.buffer = bytearray()

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer += data

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds bytes; once all events are taken, they are part of an incomplete message."""
        return bool(self.buffer)

    def pending_messages(self) -> Iterator[tuple[int, str]]:
        """Yields the type and session id of each complete message in the buffer without removing it."""
        position = 0
        while position + LENGTH_BYTES + MIN_MESSAGE_LENGTH <= len(self.buffer):
            length = int.from_bytes(self.buffer[position : position + LENGTH_BYTES], "big")
            if length < MIN_MESSAGE_LENGTH or position + LENGTH_BYTES + length > len(self.buffer):
                return
            yield (
                self.buffer[position + LENGTH_BYTES],
                self.buffer[position + LENGTH_BYTES + 1 : position + LENGTH_BYTES + MIN_MESSAGE_LENGTH].hex(),
            )
            position += LENGTH_BYTES + length

    def next_event(self) -> Event | None:
        """Removes the next message from the buffer and returns it; returns None if it is incomplete.

        Raises ProtocolError as soon as the bytes cannot become a message.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if not MIN_MESSAGE_LENGTH <= length <= MAX_MESSAGE_BYTES - LENGTH_BYTES:
            raise ProtocolError(f"a message of {length} octets")
        if len(self.buffer) > LENGTH_BYTES and self.buffer[LENGTH_BYTES] not in MESSAGE_TYPES:
            raise ProtocolError(f"type {self.buffer[LENGTH_BYTES]}")
        if len(self.buffer) < LENGTH_BYTES + length:
            return None
        message = bytes(self.buffer[LENGTH_BYTES : LENGTH_BYTES + length])
        del self.buffer[: LENGTH_BYTES + length]
        return (
            message[0],
            message[1:MIN_MESSAGE_LENGTH].hex(),
            decode_parameters(message[MIN_MESSAGE_LENGTH:]),
        )


def decode_parameters(data: bytes) -> dict[int, bytes]:
    """Decodes the parameters of a message; raises ProtocolError if one overruns the message or is repeated."""
    parameters = dict[int, bytes]()
    position = 0
    while position < len(data):
        value_start = position + PARAMETER_HEAD_BYTES
        if value_start > len(data):
            raise ProtocolError("a parameter without its length")
        code = data[position]
        position = value_start + int.from_bytes(data[position + 1 : value_start], "big")
        if position > len(data):
            raise ProtocolError("a parameter that overruns its message")
        if code in parameters:
            raise ProtocolError("a parameter that stands twice")
        parameters[code] = data[value_start:position]
    return parameters


def encode(kind: int, session_id: str, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes one message; raises ValueError if it would be too long."""
    body = b"".join(
        bytes((code,)) + len(value).to_bytes(2, "big") + value
        for code, value in parameters
        if len(value) < MAX_MESSAGE_BYTES
    )
    length = MIN_MESSAGE_LENGTH + len(body)
    if length > MAX_MESSAGE_BYTES - LENGTH_BYTES or any(
        len(value) >= MAX_MESSAGE_BYTES for _, value in parameters
    ):
        raise ValueError("the message is too long")
    return length.to_bytes(LENGTH_BYTES, "big") + bytes((kind,)) + bytes.fromhex(session_id) + body


def encode_release(session_id: str, cause: int, retry_after_ns: int = 0) -> bytes:
    """Encodes a release; it asks the viewer to wait for `retry_after_ns` before a retry, unless that is 0."""
    retry_after = [(RETRY_AFTER, str(retry_after_ns // MS).encode())] if retry_after_ns else []
    return encode(RELEASE, session_id, (CAUSE, bytes((cause,))), *retry_after)
