"""Verifies the tests listed in KNOWN-RED.txt and prints the pytest arguments that deselect exactly these.

Each line of the file is `TEST: cause: issue`. Exits with an error when the file lists more than three tests, or when a
listed test does not exist or passes.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_LISTED_TESTS = 3
FIELDS_PER_LINE = 3


def main(test_command: list[str], list_file: Path) -> int:
    """Runs each listed test with the test command and writes the `--deselect` arguments to standard output."""
    lines = (
        [line for line in list_file.read_text().splitlines() if line.strip()] if list_file.exists() else []
    )
    if len(lines) > MAX_LISTED_TESTS:
        print(f"{list_file.name} lists {len(lines)} tests, {MAX_LISTED_TESTS} at most", file=sys.stderr)
        return 1
    for line in lines:
        fields = line.split(": ")
        if len(fields) != FIELDS_PER_LINE or not all(field.strip() for field in fields[1:]):
            print(f"{list_file.name}: not `TEST: cause: issue`: {line}", file=sys.stderr)
            return 1
        test = fields[0]
        completed = subprocess.run([*test_command, test], capture_output=True, text=True, check=False)
        # pytest's exit code 1: tests ran and some failed.
        if completed.returncode != 1 or " failed" not in completed.stdout.splitlines()[-1]:
            result = "passes" if completed.returncode == 0 else "does not exist or does not run"
            print(f"{list_file.name}: {test} {result}\n{completed.stdout[-400:]}", file=sys.stderr)
            return 1
        print(f"known red: {line}", file=sys.stderr)
        print("--deselect", test)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[2:], Path(sys.argv[1])))
