"""The number of a start: kept on disk where that is asked for, and never in the way where the disk fails."""

from __future__ import annotations

import os
import time
from pathlib import Path

from oakcroft.decisions.membership.member import MOST_START, next_start


def begin(file: str) -> tuple[int, str]:
    """The number of this start, and what went wrong with the file ("": nothing).

    A file that is gone, torn or on a full disk costs nothing here: the clock tells, and peers that know a later
    number say so.
    """
    kept, trouble = 0, ""
    if file:
        try:
            word = Path(file).read_text(encoding="ascii").strip()
            kept = int(word) if word.isdecimal() and int(word) < MOST_START else 0
            trouble = "" if kept else "no number stands in it"
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as fault:
            trouble = str(fault)
    start = next_start(time.time_ns() // 1_000, kept)
    return start, keep(file, start) or trouble


def keep(file: str, start: int) -> str:
    """Writes the number; what went wrong. The old number stays whole until the new one is on disk."""
    if not file:
        return ""
    new = Path(f"{file}.new")
    try:
        with new.open("w", encoding="ascii") as out:
            out.write(f"{start}\n")
            out.flush()
            os.fsync(out.fileno())
        new.replace(file)
    except OSError as fault:
        return str(fault)
    return ""
