"""JSON lines to and from playout nodes: one object per line, at most 16 KiB."""

from __future__ import annotations

import re

import orjson

from oakcroft.platformwire.framing import MOST, Unreadable
from oakcroft.platformwire.number_parsing import finite

LONGEST = 1_024  # characters of an attribute that is read
ROOM = 256  # of a set-up, besides its plan, title and description
ID = re.compile(r"[0-9a-f]{16}")
MESSAGES = frozenset(
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


class Lines:
    """Decodes the messages of one connection from bytes that arrive in any pieces."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self.buffer = bytearray()
        self.searched = 0

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes; the caller takes all events before it adds more."""
        self.buffer += data

    def next_event(self) -> Event | None:
        """Takes the next message; None if it is not complete.

        Raises ProtocolError as soon as the bytes cannot become a message.
        """
        end = self.buffer.find(b"\n", self.searched)
        if end < 0:
            self.searched = len(self.buffer)
            if self.searched >= MOST:
                raise Unreadable("a line without an end")
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.searched = 0
        if end >= MOST:
            raise Unreadable("a line that is too long")
        return message(line)


def message(line: bytes) -> Event:
    """Decodes one line; raises ProtocolError if it is not a message."""
    try:
        said = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise Unreadable("no JSON") from fault
    if not isinstance(said, dict):
        raise Unreadable("no object")
    kind, session, attrs = said.get("msg"), said.get("sid", ""), said.get("attrs", {})
    code, text = said.get("code"), said.get("text")
    if (
        not isinstance(kind, str)
        or kind not in MESSAGES
        or not isinstance(session, str)
        or not isinstance(attrs, dict)
    ):
        raise Unreadable("no message")
    if session and not ID.fullmatch(session):
        raise Unreadable("no id")
    if not (code is None or isinstance(code, int)) or not (text is None or isinstance(text, str)):
        raise Unreadable("a code or a description of another type")
    if not all(isinstance(v, str | int | float) for v in attrs.values()):
        raise Unreadable("a field of another type")
    return kind, session, attrs, code, text


def encode(
    kind: str, session: str, attrs: Attributes, code: int | None = None, text: str | None = None
) -> bytes:
    """Encodes one message with its line end."""
    said: dict[str, object] = {"msg": kind, "sid": session, "attrs": attrs}
    if code is not None:
        said["code"] = code
    if text is not None:
        said["text"] = text
    return orjson.dumps(said) + b"\n"


def carries(plan: str, title: str, description: str) -> bool:
    """Whether a set-up with these fits a line, including JSON escapes."""
    try:
        return len(orjson.dumps((plan, title, description))) + ROOM <= MOST
    except orjson.JSONEncodeError:
        return False


def bounded(attrs: Attributes) -> Attributes:
    """The attributes that are read of a message about a playing session, for a message that is stored
    meanwhile.
    """
    read = {name: attrs[name] for name in ("note", "value", "load") if name in attrs}
    return {name: v for name, v in read.items() if not isinstance(v, str) or len(v) <= LONGEST}


def report(attrs: Attributes) -> dict[str, float] | None:
    """The load report of a message, such as `x0:0.4;queue:3`, by name; None if there is none.

    Unreadable parts are left out, so that a bad report never costs the message that carries it.
    """
    said = attrs.get("load")
    if not isinstance(said, str) or len(said) > LONGEST:
        return None
    found = dict[str, float]()
    for part in said.split(";"):
        name, _, value = part.partition(":")
        figure = finite(value)
        if name and figure is not None and figure >= 0:
            found[name] = figure
    return found
