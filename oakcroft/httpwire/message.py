"""HTTP requests and responses, independent of any connection."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

import trio

Headers = list[tuple[str, str]]

CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)", re.IGNORECASE)
UNSUPPORTED_HEADER_PATTERN = re.compile(rb"\r\n(transfer-encoding|expect|connection)[ \t]*:", re.IGNORECASE)


@dataclass
class Request:
    """One complete request.

    `read_at` is when its head was read, `idle_before` when its connection was last known to hold no data. Both in ns.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    source: str
    read_at: int = 0
    idle_before: int = 0

    @property
    def path(self) -> str:
        """Path as sent, without the query."""
        return self.target.partition("?")[0]

    def query_parameter(self, name: str) -> str | None:
        """Returns the first value of a query parameter, or None."""
        for part in self.target.partition("?")[2].split("&"):
            key, _, value = part.partition("=")
            if key == name:
                return unquote(value)
        return None

    def header(self, name: str) -> str | None:
        """Returns the first value of a header field, by its lower-case name, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def header_values(self, name: str) -> list[str]:
        """Returns all values of a header field, by its lower-case name."""
        return [value for key, value in self.headers if key == name]


@dataclass
class Response:
    """One response, with a complete body or a stream that ends when its iterator does.

    - `upgrade`: takes over the connection, with the bytes that followed the request.
    - `on_unsent`: called if the response could not be written completely.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    close: bool = False
    upgrade: Callable[[trio.SocketStream, bytes], Awaitable[None]] | None = None
    on_unsent: Callable[[], None] | None = None

    def header(self, name: str) -> str | None:
        """Returns the first value of a header field, by its lower-case name, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def header_values(self, name: str) -> list[str]:
        """Returns all values of a header field, by its lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]


def is_whole_post(data: bytes) -> bool:
    """Returns whether the bytes are exactly one complete POST; False for any request that needs a full parse."""
    if not data.startswith(b"POST /"):
        return False
    head_end = data.find(b"\r\n\r\n")
    if head_end <= 0:
        return False
    head = data[: head_end + 2]
    lengths = CONTENT_LENGTH_PATTERN.findall(head)
    if len(lengths) != 1 or UNSUPPORTED_HEADER_PATTERN.search(head):
        return False
    return len(data) == head_end + 4 + int(lengths[0])
