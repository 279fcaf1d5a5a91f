"""Structured logs: one line per event, as JSON or for a console.

SDP offers and answers, tokens and keys are never logged.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, BinaryIO, TextIO, cast

import orjson
import structlog

SECRET_FIELD_WORDS = {
    "token",
    "tokens",
    "authorization",
    "offer",
    "answer",
    "sdp",
    "key",
    "secret",
    "pwd",
    "ufrag",
}


def mask_secrets(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Masks fields whose names indicate a secret, as a safeguard against callers that log one by mistake."""
    for name in event:
        if SECRET_FIELD_WORDS & set(name.lower().replace("-", "_").split("_")):
            event[name] = "***"
    return event


class LineRateLimiter:
    """Log processor that limits the lines per second and adds the number of dropped lines to the next line.

    Without it, an event that repeats quickly would spend more time on its log lines than on its work. Drawback:
    unrelated lines of the same second are dropped, too.
    """

    def __init__(self, max_lines_per_second: int) -> None:
        """Passes at most `max_lines_per_second`."""
        self.max_lines_per_second = max_lines_per_second
        self.current_second = 0
        self.passed_lines = 0  # in the current second
        self.dropped_lines = 0  # since the last line that passed

    def __call__(self, _: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        """Passes or drops a line.

        Raises structlog.DropEvent for a line over the limit.
        """
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.passed_lines = 0
        if self.passed_lines >= self.max_lines_per_second:
            self.dropped_lines += 1
            raise structlog.DropEvent
        self.passed_lines += 1
        if self.dropped_lines:
            event["dropped"] = self.dropped_lines
            self.dropped_lines = 0
        return event


class LossyOutput:
    """Output that drops lines that can't be written, and counts them for the next line that can.

    Otherwise a full disk, or a pipe without a reader, would raise in the code that logs a line. Drawback: the dropped
    lines are lost.
    """

    def __init__(self, out: Any) -> None:
        """Writes to `out`."""
        self.out = out
        self.lost_writes = 0

    def write(self, text: Any) -> int:
        """Writes a text; if that fails, counts it as lost and returns 0."""
        try:
            written = int(self.out.write(text) or 0)
        except (OSError, ValueError):
            self.lost_writes += 1
            return 0
        self.lost_writes = 0
        return written

    def flush(self) -> None:
        """Flushes the output; buffered text that can't be written is lost and counted as one write."""
        try:
            self.out.flush()
        except (OSError, ValueError):
            self.lost_writes += 1

    def add_lost_count(
        self, _: Any, __: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Log processor that adds the number of lost writes to a line."""
        if self.lost_writes:
            event["unwritten"] = self.lost_writes
        return event


def unbuffered_output(out: TextIO) -> Any:
    """Returns the raw file under a text stream.

    A buffered stream would keep the text that could not be written, and fail again with each later line.
    """
    return getattr(out.buffer, "raw", out.buffer)


def configure_logging(
    log_format: str, front: int, out: TextIO = sys.stderr, max_lines_per_second: int = 1_000_000
) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog and returns the program's logger.

    `log_format` is "console", or anything else for JSON. `front` is the number of the front end, which is added to each
    line. By default it writes to standard error, practically without a limit on the lines per second.
    """
    output = LossyOutput(out if log_format == "console" else unbuffered_output(out))
    processors: list[Any] = [
        LineRateLimiter(max_lines_per_second),
        output.add_lost_count,
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        mask_secrets,
        structlog.processors.format_exc_info,
    ]
    if log_format == "console":
        structlog.configure(
            processors=[*processors, structlog.dev.ConsoleRenderer(colors=out.isatty())],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
            logger_factory=structlog.PrintLoggerFactory(cast(TextIO, output)),
            cache_logger_on_first_use=True,
        )
    else:
        structlog.configure(
            processors=[*processors, structlog.processors.JSONRenderer(serializer=orjson.dumps)],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
            logger_factory=structlog.BytesLoggerFactory(cast(BinaryIO, output)),
            cache_logger_on_first_use=True,
        )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(front=front)
    return logger
