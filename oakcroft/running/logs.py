"""Structured logs: one line an event, as JSON or for a console. No offer, answer, token or key is ever a field."""

from __future__ import annotations

import sys
import time
from typing import Any, BinaryIO, TextIO, cast

import orjson
import structlog

SECRETS = {"token", "tokens", "authorization", "offer", "answer", "sdp", "key", "secret", "pwd", "ufrag"}


def mask(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Guards against a secret that slips into a field by its name; covers what callers add later."""
    for name in event:
        if SECRETS & set(name.lower().replace("-", "_").split("_")):
            event[name] = "***"
    return event


class Rate:
    """Drops lines past so many in a second, and says in the next that passes how many it dropped.

    Guards against a log that costs more than the work it tells of; covers any cause that repeats. Harm: what came in
    the same second is not told.
    """

    def __init__(self, most: int) -> None:
        self.most, self.second, self.told, self.dropped = most, 0, 0, 0

    def __call__(self, _: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """One line."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.told = second, 0
        if self.told >= self.most:
            self.dropped += 1
            raise structlog.DropEvent
        self.told += 1
        if self.dropped:
            event["dropped"], self.dropped = self.dropped, 0
        return event


class Spared:
    """An output that is lost where it can't be written, and says with the next line that can how much was.

    Guards against a full disk under the log, which would otherwise fail whatever was being done when a line was due;
    covers a pipe that nobody reads any more. Harm: what was not written is not told.
    """

    def __init__(self, out: Any) -> None:
        self.out, self.lost = out, 0

    def write(self, text: Any) -> int:
        """Writes, or counts."""
        try:
            written = int(self.out.write(text) or 0)
        except (OSError, ValueError):
            self.lost += 1
            return 0
        self.lost = 0
        return written

    def flush(self) -> None:
        """What is buffered goes out, or is lost with what it holds."""
        try:
            self.out.flush()
        except (OSError, ValueError):
            self.lost += 1

    def told(self, _: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """Puts into the next line how many were lost."""
        if self.lost:
            event["unwritten"] = self.lost
        return event


def unbuffered(out: TextIO) -> Any:
    """The raw file under a text stream: a buffer keeps what could not be written and fails again with each later
    line."""
    return getattr(out.buffer, "raw", out.buffer)


def set_up(
    form: str, front: int, out: TextIO = sys.stderr, most: int = 1_000_000
) -> structlog.typing.FilteringBoundLogger:
    """The program's logger, on standard error and with any number of lines a second where nothing else is said."""
    spared = Spared(out if form == "console" else unbuffered(out))
    shared: list[Any] = [
        Rate(most),
        spared.told,
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        mask,
        structlog.processors.format_exc_info,
    ]
    if form == "console":
        structlog.configure(
            processors=[*shared, structlog.dev.ConsoleRenderer(colors=out.isatty())],
            wrapper_class=structlog.make_filtering_bound_logger(20),
            logger_factory=structlog.PrintLoggerFactory(cast(TextIO, spared)),
            cache_logger_on_first_use=True,
        )
    else:
        structlog.configure(
            processors=[*shared, structlog.processors.JSONRenderer(serializer=orjson.dumps)],
            wrapper_class=structlog.make_filtering_bound_logger(20),
            logger_factory=structlog.BytesLoggerFactory(cast(BinaryIO, spared)),
            cache_logger_on_first_use=True,
        )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(front=front)
    return logger
