"""JSON lines to and from playout nodes: one object a line, 16 KiB at most."""

from __future__ import annotations

import re

import orjson

from oakcroft.platformwire.framing import MOST, Unreadable
from oakcroft.platformwire.numbers import finite

LONGEST = 1_024  # octets of a field that is read
ROOM = 256  # octets that a set-up needs beside its plan, title and description
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
    """Takes the bytes of one connection at any split, and gives its messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched = 0

    def receive_data(self, data: bytes) -> None:
        """More bytes; the caller takes all events before it hands in more."""
        self.buffer += data

    def next_event(self) -> Event | None:
        """The next message; None while it is not whole. Unreadable as soon as it can't become one."""
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
    """One line; Unreadable where it is no message."""
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
    """One line."""
    said: dict[str, object] = {"msg": kind, "sid": session, "attrs": attrs}
    if code is not None:
        said["code"] = code
    if text is not None:
        said["text"] = text
    return orjson.dumps(said) + b"\n"


def carries(plan: str, title: str, description: str) -> bool:
    """Whether a set-up with these fits a line, its escapes included."""
    try:
        return len(orjson.dumps((plan, title, description))) + ROOM <= MOST
    except orjson.JSONEncodeError:
        return False


def bounded(attrs: Attributes) -> Attributes:
    """The fields that a message on a standing playback is read for, when it is to be kept for a while."""
    read = {name: attrs[name] for name in ("note", "value", "load") if name in attrs}
    return {name: v for name, v in read.items() if not isinstance(v, str) or len(v) <= LONGEST}


def report(attrs: Attributes) -> dict[str, float] | None:
    """The load report of a message: `x0:0.4;queue:3` by name. What can't be read is left out, so that a report never
    costs the message that it came with."""
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
