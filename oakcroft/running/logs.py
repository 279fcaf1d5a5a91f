"""Structured logs: one line per event, as JSON or for a console. Offers, answers, tokens and keys are never logged."""

from __future__ import annotations

import sys
import time
from typing import Any, BinaryIO, TextIO, cast

import orjson
import structlog

SECRETS = {"token", "tokens", "authorization", "offer", "answer", "sdp", "key", "secret", "pwd", "ufrag"}


def mask(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Masks fields whose names indicate a secret, as a safeguard against callers that log one by mistake."""
    for name in event:
        if SECRETS & set(name.lower().replace("-", "_").split("_")):
            event[name] = "***"
    return event


class Rate:
    """Log processor that drops lines over a number per second, and adds the count of dropped lines to the next one.

    Keeps an event that repeats quickly, whatever its cause, from spending more on its log lines than on its work.
    Drawback: unrelated lines of the same second are dropped, too.
    """

    def __init__(self, most: int) -> None:
        """Passes at most `max_lines_per_second`."""
        self.most, self.second, self.told, self.dropped = most, 0, 0, 0

    def __call__(self, _: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """Passes or drops a line.

        Raises structlog.DropEvent for a line over the limit.
        """
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
    """Output that drops what can't be written, and counts it for the next line that can.

    A full disk under the log, or a pipe without a reader, would otherwise fail the work that logs a line. Drawback: the
    dropped lines are lost.
    """

    def __init__(self, out: Any) -> None:
        """Writes to `out`."""
        self.out, self.lost = out, 0

    def write(self, text: Any) -> int:
        """Writes a text; returns 0 and counts it as lost if that fails."""
        try:
            written = int(self.out.write(text) or 0)
        except (OSError, ValueError):
            self.lost += 1
            return 0
        self.lost = 0
        return written

    def flush(self) -> None:
        """Flushes the output; buffered text that can't be written is lost and counted as one write."""
        try:
            self.out.flush()
        except (OSError, ValueError):
            self.lost += 1

    def told(self, _: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """Log processor that adds the number of lost writes to a line."""
        if self.lost:
            event["unwritten"] = self.lost
        return event


def unbuffered(out: TextIO) -> Any:
    """Returns the raw file under a text stream.

    A buffered stream would keep what could not be written, and fail again with each later line.
    """
    return getattr(out.buffer, "raw", out.buffer)


def set_up(
    form: str, front: int, out: TextIO = sys.stderr, most: int = 1_000_000
) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog and returns the program's logger.

    `log_format` is "console", or anything else for JSON. By default it writes to standard error, practically without a
    limit on the lines per second.
    """
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
