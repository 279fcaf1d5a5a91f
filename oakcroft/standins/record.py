"""Facts observed on the sockets, written as one JSON line each with the wall-clock time in ns."""

from __future__ import annotations

import time
from pathlib import Path
from typing import IO, Any

import orjson

BUFFER_BYTES = 1 << 16


class Record:
    """File to which facts are appended."""

    def __init__(self, path: Path) -> None:
        """Creates the file; an existing one is overwritten."""
        self.file: IO[bytes] = path.open("wb", buffering=BUFFER_BYTES)

    def note(self, kind: str, **fields: Any) -> None:
        """Appends one fact with the current time."""
        self.file.write(orjson.dumps({"t": time.time_ns(), "kind": kind, **fields}) + b"\n")

    def close(self) -> None:
        """Flushes and closes the file."""
        self.file.close()


def read_facts(path: Path) -> list[dict[str, Any]]:
    """Returns all complete facts of a file; a last line that a killed writer has truncated is skipped."""
    facts = []
    for line in path.read_bytes().split(b"\n"):
        try:
            facts.append(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue
    return facts
