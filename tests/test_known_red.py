"""CI passes over exactly the tests and commands listed in KNOWN-RED.txt, and only while they fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parents[1] / ".ci" / "known_red.py"
FAILING = "test_a.py::test_red: a cause: 15"
PASSING = "test_a.py::test_green: a cause: 15"
CHECKS = ["exit 1", "exit 0", "exit 2", "echo a: b; exit 1"]
"""The commands that CI runs here."""


@pytest.mark.parametrize(
    ("listed", "exit_code", "message"),
    [
        ([], 0, ""),
        ([FAILING], 0, "--deselect test_a.py::test_red\n"),
        ([FAILING] * 4, 1, "4 tests, 3 at most"),
        ([FAILING, PASSING], 1, "test_green passes"),
        (["test_a.py::test_none: a cause: 15"], 1, "does not exist"),
        (["test_a.py::test_red"], 1, "not `TEST: cause: issue`"),
        (["$ exit 1: a cause: 15"], 0, "skip exit 1\n"),
        (["$ echo a: b; exit 1: a cause: 15"], 0, "skip echo a: b; exit 1\n"),
        ([FAILING, "$ exit 1: a cause: 15"], 0, "--deselect test_a.py::test_red\nskip exit 1\n"),
        ([FAILING, FAILING, FAILING, "$ exit 1: a cause: 15"], 1, "4 tests, 3 at most"),
        (["$ exit 0: a cause: 15"], 1, "exit 0 passes"),
        (["$ exit 2: a cause: 15"], 1, "exit 2 does not exist or does not run"),
        (["$ false: a cause: 15"], 1, "false is no check of CI"),
        (["$ exit 1: 15"], 1, "not `TEST: cause: issue`"),
    ],
)
def test_a_listed_test_or_command_has_to_fail(
    listed: list[str], exit_code: int, message: str, tmp_path: Path
) -> None:
    """It is passed over then. A passing or missing one, a malformed line and a list that is too long are errors."""
    (tmp_path / "test_a.py").write_text("def test_red(): assert 0\ndef test_green(): pass\n")
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(listed))
    (tmp_path / "checks").write_text("\n".join(CHECKS))
    command = [sys.executable, str(SCRIPT), "KNOWN-RED.txt", "checks", sys.executable, "-m", "pytest", "-q"]
    completed = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert completed.returncode == exit_code
    assert message in completed.stdout + completed.stderr
