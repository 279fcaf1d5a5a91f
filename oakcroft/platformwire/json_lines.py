"""The JSON lines exchanged with playout nodes: one object per line, at most 16 KiB."""

from __future__ import annotations

import re

import orjson

from oakcroft.platformwire.framing import MAX_MESSAGE_BYTES, ProtocolError
from oakcroft.platformwire.number_parsing import parse_finite

MAX_FIELD_LENGTH = 1_024  # characters; longer attributes are ignored
SETUP_OVERHEAD_BYTES = 256  # upper bound of a set-up's line without its plan, title and description
SESSION_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MESSAGE_KINDS = frozenset(
    (
        "open",
        "trying",
        "ready",
        "close",
        "closed",
        "probe",
        "probed",
        "event",
        "relocate",
        "level",
        "status",
        "load",
    )
)

Attributes = dict[str, str | int | float]
Event = tuple[str, str, Attributes, int | None, str | None]


class LineDecoder:
    """Decodes the messages of one connection from bytes that arrive in any pieces."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self.buffer = bytearray()
        self.searched_bytes = 0  # bytes of the buffer that contain no line end

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes; the caller takes all events before it adds more."""
        self.buffer += data

    def next_event(self) -> Event | None:
        """Removes the next message from the buffer and returns it; returns None if it is incomplete.

        Raises ProtocolError as soon as the bytes cannot become a message.
        """
        end = self.buffer.find(b"\n", self.searched_bytes)
        if end < 0:
            self.searched_bytes = len(self.buffer)
            if self.searched_bytes >= MAX_MESSAGE_BYTES:
                raise ProtocolError("a line without an end")
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.searched_bytes = 0
        if end >= MAX_MESSAGE_BYTES:
            raise ProtocolError("a line that is too long")
        return decode_message(line)


def decode_message(line: bytes) -> Event:
    """Decodes one line; raises ProtocolError if it is not a message."""
    try:
        raw = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("no JSON") from error
    if not isinstance(raw, dict):
        raise ProtocolError("no object")
    kind, session_id, attributes = raw.get("msg"), raw.get("sid", ""), raw.get("attrs", {})
    code, text = raw.get("code"), raw.get("text")
    if (
        not isinstance(kind, str)
        or kind not in MESSAGE_KINDS
        or not isinstance(session_id, str)
        or not isinstance(attributes, dict)
    ):
        raise ProtocolError("no message")
    if session_id and not SESSION_ID_PATTERN.fullmatch(session_id):
        raise ProtocolError("no id")
    if not (code is None or isinstance(code, int)) or not (text is None or isinstance(text, str)):
        raise ProtocolError("a code or a description of another type")
    if not all(isinstance(value, str | int | float) for value in attributes.values()):
        raise ProtocolError("a field of another type")
    return kind, session_id, attributes, code, text


def encode(
    kind: str, session_id: str, attributes: Attributes, code: int | None = None, text: str | None = None
) -> bytes:
    """Encodes one message with its line end."""
    raw: dict[str, object] = {"msg": kind, "sid": session_id, "attrs": attributes}
    if code is not None:
        raw["code"] = code
    if text is not None:
        raw["text"] = text
    return orjson.dumps(raw) + b"\n"


def fits_line(plan: str, title: str, description: str) -> bool:
    """Whether a set-up with these fits a line, including JSON escapes."""
    try:
        return len(orjson.dumps((plan, title, description))) + SETUP_OVERHEAD_BYTES <= MAX_MESSAGE_BYTES
    except orjson.JSONEncodeError:
        return False


def kept_attributes(attributes: Attributes) -> Attributes:
    """Returns the attributes that are used of messages on a playing session, for a message that is stored."""
    kept = {name: attributes[name] for name in ("note", "value", "load") if name in attributes}
    return {
        name: value
        for name, value in kept.items()
        if not isinstance(value, str) or len(value) <= MAX_FIELD_LENGTH
    }


def load_report(attributes: Attributes) -> dict[str, float] | None:
    """Parses the load report of a message, such as `x0:0.4;queue:3`, by name; returns None if it has none.

    Invalid parts are left out, so that an invalid report does not invalidate the message that carries it.
    """
    raw = attributes.get("load")
    if not isinstance(raw, str) or len(raw) > MAX_FIELD_LENGTH:
        return None
    loads = dict[str, float]()
    for part in raw.split(";"):
        name, _, value = part.partition(":")
        load = parse_finite(value)
        if name and load is not None and load >= 0:
            loads[name] = load
    return loads
