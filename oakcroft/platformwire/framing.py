"""The binary framing of viewers' connections.

A message is `length:2 type:1 session:8 parameters`, a parameter is `code:1 length:2 value`, all big-endian.
The length counts everything after it. An event has the type, the session id in hexadecimal, and the
parameters by code.
"""

from __future__ import annotations

from collections.abc import Iterator

MOST = 16_384
HEAD, LEAST = 2, 9  # bytes of the length field, and the least value that it may have

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD = 1, 6, 9, 12, 16
NOTE, MOVE, TEST, TESTED, RUNG = 44, 51, 52, 53, 60
TYPES = frozenset((SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED, RUNG))

PLAN, WAIT, TITLE, EXTRAS, AWAY, HINT, CAUSE, TEXT = 100, 101, 104, 105, 106, 110, 114, 115

Event = tuple[int, str, dict[int, bytes]]


class Unreadable(Exception):
    """The peer's bytes are not a valid message, so nothing after them can be trusted either."""


class Frames:
    """Decodes the messages of one connection from bytes that arrive in any pieces.

    The buffer holds less than one message and one receive, provided the caller takes all events before it
    adds more bytes.
    """

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self.buffer = bytearray()

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer += data

    @property
    def partial(self) -> bool:
        """Whether a message has begun that is not complete."""
        return bool(self.buffer)

    def waiting(self) -> Iterator[tuple[int, str]]:
        """Type and session id of each complete message in the buffer, without taking it."""
        at = 0
        while at + HEAD + LEAST <= len(self.buffer):
            length = int.from_bytes(self.buffer[at : at + HEAD], "big")
            if length < LEAST or at + HEAD + length > len(self.buffer):
                return
            yield self.buffer[at + HEAD], self.buffer[at + HEAD + 1 : at + HEAD + LEAST].hex()
            at += HEAD + length

    def next_event(self) -> Event | None:
        """Takes the next message; None if it is not complete.

        Raises ProtocolError as soon as the bytes cannot become a message.
        """
        if len(self.buffer) < HEAD:
            return None
        length = int.from_bytes(self.buffer[:HEAD], "big")
        if not LEAST <= length <= MOST - HEAD:
            raise Unreadable(f"a message of {length} octets")
        if len(self.buffer) > HEAD and self.buffer[HEAD] not in TYPES:
            raise Unreadable(f"type {self.buffer[HEAD]}")
        if len(self.buffer) < HEAD + length:
            return None
        message = bytes(self.buffer[HEAD : HEAD + length])
        del self.buffer[: HEAD + length]
        return message[0], message[1:LEAST].hex(), parameters(message[LEAST:])


def parameters(data: bytes) -> dict[int, bytes]:
    """The parameters of a message by code; raises ProtocolError if one overruns the message or is repeated."""
    found = dict[int, bytes]()
    at = 0
    while at < len(data):
        if at + 3 > len(data):
            raise Unreadable("a parameter without its length")
        code, length = data[at], int.from_bytes(data[at + 1 : at + 3], "big")
        at += 3
        if at + length > len(data):
            raise Unreadable("a parameter that overruns its message")
        if code in found:
            raise Unreadable("a parameter that stands twice")
        found[code] = data[at : at + length]
        at += length
    return found


def encode(kind: int, session: str, *values: tuple[int, bytes]) -> bytes:
    """Encodes one message; raises ValueError if it would be too long."""
    body = b"".join(
        bytes((code,)) + len(value).to_bytes(2, "big") + value for code, value in values if len(value) < MOST
    )
    length = LEAST + len(body)
    if length > MOST - HEAD or any(len(value) >= MOST for _, value in values):
        raise ValueError("the message is too long")
    return length.to_bytes(HEAD, "big") + bytes((kind,)) + bytes.fromhex(session) + body
