"""Structured logs: one line an event, as JSON or for a console. No offer, answer, token or key is ever a field."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import orjson
import structlog

SECRETS = {"token", "tokens", "authorization", "offer", "answer", "sdp", "key", "secret", "pwd", "ufrag"}


def mask(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Guards against a secret that slips into a field by its name; covers what callers add later."""
    for name in event:
        if SECRETS & set(name.lower().replace("-", "_").split("_")):
            event[name] = "***"
    return event


def set_up(form: str, front: int, out: TextIO = sys.stderr) -> structlog.typing.FilteringBoundLogger:
    """The program's logger, on standard error where nothing else is said."""
    shared: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        mask,
    ]
    if form == "console":
        structlog.configure(
            processors=[*shared, structlog.dev.ConsoleRenderer(colors=out.isatty())],
            wrapper_class=structlog.make_filtering_bound_logger(20),
            logger_factory=structlog.PrintLoggerFactory(out),
            cache_logger_on_first_use=True,
        )
    else:
        structlog.configure(
            processors=[*shared, structlog.processors.JSONRenderer(serializer=orjson.dumps)],
            wrapper_class=structlog.make_filtering_bound_logger(20),
            logger_factory=structlog.BytesLoggerFactory(out.buffer),
            cache_logger_on_first_use=True,
        )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(front=front)
    return logger
