"""Reads a JSON document value by value while it arrives, so that neither its text nor its decoding is held at once.

The methods are generators that yield whenever they need more text; their result is returned (PEP 380). They raise
`JsonError` for text that is not valid JSON (RFC 8259).
"""

from __future__ import annotations

import json
from codecs import getincrementaldecoder
from collections.abc import Generator
from typing import TypeVar

MAX_VALUE_CHARS = 65_536
"""Of one value that is decoded as a whole."""
WHITESPACE = " \t\n\r"

Result = TypeVar("Result")
Reading = Generator[None, None, Result]
"""Yields when more text is needed; returns its result."""


class JsonError(ValueError):
    """The text is not valid JSON, or a value is too long."""


def refuse_constant(name: str) -> None:
    """Refuses NaN and the infinities, which RFC 8259 does not know."""
    raise JsonError(f"{name} is no number")


class JsonReader:
    """The text that has arrived and has not been read yet."""

    def __init__(self) -> None:
        """Starts without text."""
        self._decode_utf8 = getincrementaldecoder("utf-8")().decode
        self._scan = json.JSONDecoder(parse_constant=refuse_constant).raw_decode
        self._text = ""
        self._position = 0
        self._is_complete = False

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        try:
            self._text = self._text[self._position :] + self._decode_utf8(data)
        except UnicodeDecodeError as error:
            raise JsonError("not UTF-8") from error
        self._position = 0

    def finish(self) -> None:
        """Marks the end of the text."""
        self._is_complete = True

    def peek(self) -> Reading[str]:
        """Returns the next character that is no white space, without reading it; "" at the end of the text."""
        while True:
            while self._position < len(self._text):
                if self._text[self._position] not in WHITESPACE:
                    return self._text[self._position]
                self._position += 1
            if self._is_complete:
                return ""
            yield

    def expect(self, character: str) -> Reading[None]:
        """Reads one character, which has to be the given one."""
        found = yield from self.peek()
        if found != character:
            raise JsonError(f"{found!r} instead of {character!r}")
        self._position += 1

    def value(self) -> Reading[object]:
        """Reads a whole value."""
        yield from self.peek()
        while True:
            try:
                value, end = self._scan(self._text, self._position)
            except (ValueError, RecursionError) as error:
                if self._is_complete or isinstance(error, JsonError | RecursionError):
                    raise JsonError(f"not valid JSON: {error}") from error
            else:
                # A number goes on if its next digits are still to come.
                if end < len(self._text) or self._is_complete:
                    self._position = end
                    return value
            if len(self._text) - self._position > MAX_VALUE_CHARS:
                raise JsonError("not valid JSON, or a value is too long")
            yield

    def next_key(self, *, is_first: bool) -> Reading[str | None]:
        """Reads up to the next value of an object whose brace has been read; returns its key, None at the end."""
        if not (yield from self._continues("}", is_first=is_first)):
            return None
        key = yield from self.value()
        if not isinstance(key, str):
            raise JsonError("a key is no string")
        yield from self.expect(":")
        return key

    def next_element(self, *, is_first: bool) -> Reading[bool]:
        """Reads up to the next element of an array whose bracket has been read; returns whether there is one."""
        return (yield from self._continues("]", is_first=is_first))

    def _continues(self, closing: str, *, is_first: bool) -> Reading[bool]:
        """Reads a closing character, or the comma before what follows; returns whether something follows."""
        found = yield from self.peek()
        if found == closing:
            self._position += 1
            return False
        if not is_first:
            yield from self.expect(",")
        return True
