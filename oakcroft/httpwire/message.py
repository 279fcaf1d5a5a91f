"""Requests and responses as plain values."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

import trio

Headers = list[tuple[str, str]]


@dataclass
class Request:
    """One request, read whole. Times in ns; `idle_before` is when its connection was last known empty."""

    method: str
    target: str
    headers: Headers
    body: bytes
    source: str
    read_at: int = 0
    idle_before: int = 0

    @property
    def path(self) -> str:
        """The path as sent, without its query."""
        return self.target.partition("?")[0]

    def query_parameter(self, name: str) -> str | None:
        """The first value of a query parameter."""
        for part in self.target.partition("?")[2].split("&"):
            key, _, value = part.partition("=")
            if key == name:
                return unquote(value)
        return None

    def header(self, name: str) -> str | None:
        """The first value of a field, by its lower-case name."""
        return next((v for n, v in self.headers if n == name), None)

    def header_values(self, name: str) -> list[str]:
        """All values of a field."""
        return [v for n, v in self.headers if n == name]


@dataclass
class Response:
    """One response: a body at once, or a stream that ends when its iterator does."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    close: bool = False
    upgrade: Callable[[trio.SocketStream, bytes], Awaitable[None]] | None = None  # takes the connection over
    on_unsent: Callable[[], None] | None = None  # called when it could not be written whole

    def header(self, name: str) -> str | None:
        """The first value of a field, by its lower-case name."""
        return next((v for n, v in self.headers if n.lower() == name), None)

    def header_values(self, name: str) -> list[str]:
        """All values of a field."""
        return [v for n, v in self.headers if n.lower() == name]
