"""Verifies what KNOWN-RED.txt lists, and prints what CI is to pass over: exactly these tests and commands.

Each line of the file is `TEST: cause: issue`, `$ COMMAND: cause: issue`, or, for a test that fails seldom,
`~ TEST: COMMAND: SEED: cause: issue`. A test is one of pytest's, and a command after `$` one of the lines of the file
of checks. A test that fails seldom is run each time with its command, which names it and, if SEED is not `no seed`, its
seed; the result is printed, and the record of a failing run is kept. Exits with an error when more than three are
listed, when a listed one does not exist or does not run, or when one passes that is not said to fail seldom. Standard
output has a line `--deselect TEST` for each test and `skip COMMAND` for each command.
"""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from failure_records import FailureRecords

MAX_LISTED = 3
REASON_FIELDS = 2
"""Fields after the name: cause and issue."""

COMMAND_PREFIX = "$ "
SELDOM_PREFIX = "~ "
NO_SEED = "no seed"
SEED_PREFIX = "seed "
MAX_COMMAND_SECONDS = 300
FAILED = 1
"""Exit code of pytest and of a check that ran and failed; other codes than 0 say that it could not run."""


class ListError(Exception):
    """The list breaks a rule; the text says which."""


class Kind(Enum):
    """What is listed."""

    TEST = "a test that fails"
    COMMAND = "a command that fails"
    SELDOM = "a test that fails seldom"


@dataclass(frozen=True)
class Entry:
    """One listed test or command, and the whole line; a test that fails seldom has a command of its own."""

    kind: Kind
    name: str
    line: str
    command: str = ""


def parse_list(text: str) -> list[Entry]:
    """Returns the entries of the list. Raises ListError for a malformed line, or for too many."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LISTED:
        raise ListError(f"lists {len(lines)} tests, {MAX_LISTED} at most")
    return [parse_line(line) for line in lines]


def parse_line(line: str) -> Entry:
    """Returns the entry of a line. Raises ListError for a malformed one."""
    name, *reasons = line.rsplit(": ", REASON_FIELDS)
    if len(reasons) != REASON_FIELDS or not all(field.strip() for field in (name, *reasons)):
        raise ListError(f"not `TEST: cause: issue`: {line}")
    if name.startswith(SELDOM_PREFIX):
        return parse_seldom(name.removeprefix(SELDOM_PREFIX), line)
    kind = Kind.COMMAND if name.startswith(COMMAND_PREFIX) else Kind.TEST
    return Entry(kind, name.removeprefix(COMMAND_PREFIX), line)


def parse_seldom(fields: str, line: str) -> Entry:
    """Returns the entry of a test that fails seldom. Raises ListError unless its command has the test and the seed."""
    test, _, rest = fields.partition(": ")
    command, _, seed = rest.rpartition(": ")
    if not command.strip():
        raise ListError(f"not `~ TEST: COMMAND: SEED: cause: issue`: {line}")
    words = command.split()
    number = seed.removeprefix(SEED_PREFIX)
    has_seed = seed == NO_SEED or (seed != number and number.isdecimal() and number in words)
    if test not in words or not has_seed:
        raise ListError(f"the command has not the test or not the seed: {line}")
    return Entry(Kind.SELDOM, test, line, command)


def verify_test(test: str, test_command: list[str]) -> None:
    """Raises ListError unless a test exists and fails."""
    completed = subprocess.run([*test_command, test], capture_output=True, text=True, check=False)
    has_failed = completed.returncode == FAILED and " failed" in completed.stdout.splitlines()[-1]
    if not has_failed:
        raise ListError(f"{test} {describe_result(completed)}")


def verify_command(command: str, checks: list[str]) -> None:
    """Raises ListError unless a command is one of CI's checks and fails."""
    if command not in checks:
        raise ListError(f"{command} is no check of CI")
    try:
        completed = subprocess.run(
            command, shell=True, capture_output=True, text=True, check=False, timeout=MAX_COMMAND_SECONDS
        )
    except subprocess.TimeoutExpired:
        raise ListError(f"{command} does not end within {MAX_COMMAND_SECONDS} s") from None
    if completed.returncode != FAILED:
        raise ListError(f"{command} {describe_result(completed)}")


def run_seldom(entry: Entry, records: FailureRecords) -> str:
    """Runs a test that fails seldom and returns its result; keeps the record of a failing run.

    Raises ListError if it does not exist or does not run.
    """
    try:
        completed = subprocess.run(
            entry.command,
            shell=True,
            capture_output=True,
            text=True,
            check=False,
            timeout=MAX_COMMAND_SECONDS,
        )
    except subprocess.TimeoutExpired:
        raise ListError(f"{entry.command} does not end within {MAX_COMMAND_SECONDS} s") from None
    if completed.returncode == 0:
        return "passed this time"
    if completed.returncode != FAILED:
        raise ListError(f"{entry.command} {describe_result(completed)}")
    record = records.keep(entry.command, completed.stdout + completed.stderr)
    return f"failed this time, record {record}\n{completed.stdout}"


def describe_result(completed: subprocess.CompletedProcess[str]) -> str:
    """Says why a listed test or command must not be listed, with the end of its output."""
    result = "passes" if completed.returncode == 0 else "does not exist or does not run"
    return f"{result}\n{completed.stdout[-400:]}"


def main(list_file: Path, checks_file: Path, test_command: list[str]) -> int:
    """Verifies each entry and writes what CI is to pass over to standard output."""
    records = FailureRecords()
    try:
        checks = checks_file.read_text().splitlines()
        for entry in parse_list(list_file.read_text() if list_file.exists() else ""):
            print(f"known red: {entry.line}", file=sys.stderr)
            if entry.kind is Kind.COMMAND:
                verify_command(entry.name, checks)
            elif entry.kind is Kind.TEST:
                verify_test(entry.name, test_command)
            else:
                print(f"{entry.name} {run_seldom(entry, records)}", file=sys.stderr)
            print("skip" if entry.kind is Kind.COMMAND else "--deselect", entry.name)
    except ListError as error:
        print(f"{list_file.name}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3:]))
