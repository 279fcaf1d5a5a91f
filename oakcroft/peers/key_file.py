"""Key file of the fleet: read at startup and again whenever it changes."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import structlog
import trio

from oakcroft.peerwire.sealing import KeyFileError, KeyRing, parse_keys

CHECK_INTERVAL_S = 5.0
"""Time between checks of the file for changes."""

FileVersion = tuple[int, int]
"""Modification time and size; both 0 if there is no file."""


def read_keys(file: str) -> tuple[bytes, ...]:
    """Reads the keys of a file. Raises KeyFileError if it cannot be read or contains no valid keys."""
    try:
        return parse_keys(Path(file).read_text(encoding="ascii"))
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(str(error)) from error


class KeyFile:
    """One key file and the key ring that holds its keys."""

    def __init__(self, file: str, now: Callable[[], int], log: structlog.typing.FilteringBoundLogger) -> None:
        """Reads the file. Raises KeyFileError if it cannot be used."""
        self.file = file
        self.now = now
        self.log = log
        self.version = _version(file)
        self.ring = KeyRing(read_keys(file))

    async def watch(self) -> None:
        """Loads changed keys until cancelled. A file that cannot be used leaves the current keys in force."""
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
            self.log.info("peer keys taken", keys=len(self.ring.keys), lingering=len(self.ring.retired))


def _version(file: str) -> FileVersion:
    try:
        status = os.stat(file)
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
