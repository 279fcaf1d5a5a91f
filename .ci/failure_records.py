"""Runs a command and keeps what it printed if it fails, until the failure is traced and its record deleted by hand.

`python failure_records.py run COMMAND` runs a shell command and exits with its exit code; `... list` prints the records
that are kept. They lie in the folder named by OAKCROFT_RECORDS, by default `found/records`, which git ignores.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

DEFAULT_FOLDER = "found/records"
FOLDER_VARIABLE = "OAKCROFT_RECORDS"
MAX_RECORD_LINES = 20_000
"""Kept of one run; the last ones, past this number."""

MAX_NAME_LENGTH = 60


class FailureRecords:
    """The records of failing runs, one file each. Nothing here deletes one."""

    def __init__(self) -> None:
        """Uses the folder that the environment names."""
        self.folder = Path(os.environ.get(FOLDER_VARIABLE, DEFAULT_FOLDER))

    def keep(self, command: str, output: str) -> Path:
        """Writes the record of a failing run; returns its file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        name = re.sub(r"[^A-Za-z0-9]+", "-", command)[-MAX_NAME_LENGTH:].strip("-")
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        record = self.folder / f"{stamp}-{os.getpid()}-{name}.txt"
        record.write_text(f"$ {command}\n{output}")
        return record

    def kept(self) -> list[Path]:
        """Returns the records that nobody has deleted, the oldest first."""
        return sorted(self.folder.glob("*.txt"))


def run_recorded(command: str, records: FailureRecords) -> int:
    """Runs a shell command, passing its output on; keeps its record if it fails. Returns its exit code."""
    process = subprocess.Popen(
        ["bash", "-c", command],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    assert process.stdout is not None
    lines = deque[str](maxlen=MAX_RECORD_LINES)
    for line in process.stdout:
        sys.stdout.write(line)
        sys.stdout.flush()
        lines.append(line)
    exit_code = process.wait()
    if exit_code:
        record = records.keep(command, "".join(lines))
        print(f"failed with {exit_code}, record: {record}", file=sys.stderr)
    return exit_code if exit_code >= 0 else 1


def main(arguments: list[str]) -> int:
    """Runs a command, or lists the records."""
    records = FailureRecords()
    if arguments[:1] == ["run"]:
        return run_recorded(arguments[1], records)
    for record in records.kept():
        print(f"not traced yet: {record}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
