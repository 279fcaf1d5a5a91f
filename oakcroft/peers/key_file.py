"""The key file: read at the start, and again whenever it has changed."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import structlog
import trio

from oakcroft.peerwire.sealing import KeyFileError, KeyRing, parse_keys

CHECK_INTERVAL_S = 5.0
"""Seconds between two looks at the file."""

FileVersion = tuple[int, int]
"""Time of the last change and size; both 0 where there is no file."""


def read_keys(file: str) -> tuple[bytes, ...]:
    """The keys of a file. KeyFileError where it can't be read or holds none."""
    try:
        return parse_keys(Path(file).read_text(encoding="ascii"))
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(str(error)) from error


class KeyFile:
    """One key file and the ring that its keys are on."""

    def __init__(self, file: str, now: Callable[[], int], log: structlog.typing.FilteringBoundLogger) -> None:
        """Reads the file. KeyFileError where it can't be used."""
        self.file = file
        self.now = now
        self.log = log
        self.version = _version(file)
        self.ring = KeyRing(read_keys(file))

    async def watch(self) -> None:
        """Takes changed keys until it is cancelled; a file that can't be used changes nothing."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            version = _version(self.file)
            if version != self.version:
                self.version = version
                self._reload()

    def _reload(self) -> None:
        try:
            self.ring.change(read_keys(self.file), self.now())
        except KeyFileError as error:
            self.log.warning("peer keys not taken", why=str(error))
        else:
            self.log.info("peer keys taken", keys=len(self.ring.keys), lingering=len(self.ring.former))


def _version(file: str) -> FileVersion:
    try:
        found = os.stat(file)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size
