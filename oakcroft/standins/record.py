"""What passed on the sockets, one JSON line a fact, with the wall clock's time in ns."""

from __future__ import annotations

import time
from pathlib import Path
from typing import IO, Any

import orjson


class Record:
    """Appends facts to a file."""

    def __init__(self, path: Path) -> None:
        """Begins the file anew."""
        self.file: IO[bytes] = path.open("wb", buffering=1 << 16)

    def note(self, kind: str, **fields: Any) -> None:
        """One fact, now."""
        self.file.write(orjson.dumps({"t": time.time_ns(), "kind": kind, **fields}) + b"\n")

    def close(self) -> None:
        """Writes out what is left."""
        self.file.close()


def read_facts(path: Path) -> list[dict[str, Any]]:
    """All whole facts of a file; a last line cut short by a killed writer is left out."""
    facts = []
    for line in path.read_bytes().split(b"\n"):
        try:
            facts.append(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue
    return facts
