"""Generation number of a process start, stored on disk if configured. Disk errors never prevent a start."""

from __future__ import annotations

import os
import time
from pathlib import Path

from oakcroft.decisions.membership.member import MAX_GENERATION, next_generation

NS_PER_US = 1_000


def begin_generation(file: str) -> tuple[int, str]:
    """Returns the generation of this start and a file error ("" for none). `file` is empty if none is configured.

    A file that is missing, corrupt or on a full disk does no harm: the clock determines the generation, and peers that
    know a later one report it.
    """
    stored, read_error = _read(file) if file else (0, "")
    generation = next_generation(time.time_ns() // NS_PER_US, stored)
    return generation, store_generation(file, generation) or read_error


def _read(file: str) -> tuple[int, str]:
    """Returns the stored generation (0 for none) and an error ("" for none)."""
    try:
        text = Path(file).read_text(encoding="ascii").strip()
        stored = int(text) if text.isdecimal() else 0
    except FileNotFoundError:
        return 0, ""
    except (OSError, ValueError) as error:
        return 0, str(error)
    if not 0 < stored < MAX_GENERATION:
        return 0, "it does not contain a valid number"
    return stored, ""


def store_generation(file: str, generation: int) -> str:
    """Writes the generation; returns an error ("" for none). The old file stays intact until the new one is on disk."""
    if not file:
        return ""
    replacement = Path(f"{file}.new")
    try:
        with replacement.open("w", encoding="ascii") as out:
            out.write(f"{generation}\n")
            out.flush()
            os.fsync(out.fileno())
        replacement.replace(file)
    except OSError as error:
        return str(error)
    return ""
