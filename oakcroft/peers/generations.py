"""The generation of a start: stored on disk where that is asked for, and never in the way where the disk fails."""

from __future__ import annotations

import os
import time
from pathlib import Path

from oakcroft.decisions.membership.member import MAX_GENERATION, next_generation

NS_PER_US = 1_000


def begin_generation(file: str) -> tuple[int, str]:
    """The generation of this start, and what went wrong with the file ("": nothing; no file is given as "").

    A file that is gone, torn or on a full disk costs nothing here: the clock decides, and peers that know a later
    generation say so.
    """
    stored, trouble = _read(file) if file else (0, "")
    generation = next_generation(time.time_ns() // NS_PER_US, stored)
    return generation, store_generation(file, generation) or trouble


def _read(file: str) -> tuple[int, str]:
    """The stored generation (0: none), and what went wrong."""
    try:
        text = Path(file).read_text(encoding="ascii").strip()
        stored = int(text) if text.isdecimal() else 0
    except FileNotFoundError:
        return 0, ""
    except (OSError, ValueError) as error:
        return 0, str(error)
    if not 0 < stored < MAX_GENERATION:
        return 0, "no number stands in it"
    return stored, ""


def store_generation(file: str, generation: int) -> str:
    """Writes the generation; what went wrong. The old one stays whole until the new one is on disk."""
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
