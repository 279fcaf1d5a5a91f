"""CI passes over exactly the tests and commands listed in KNOWN-RED.txt, and records what fails."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parents[1] / ".ci" / "known_red.py"
FAILING = "test_a.py::test_red: a cause: 15"
PASSING = "test_a.py::test_green: a cause: 15"
RECORDER = SCRIPT.with_name("failure_records.py")
PYTEST = f"{sys.executable} -m pytest -q"
SELDOM_RED = f"~ test_a.py::test_red: {PYTEST} test_a.py::test_red: no seed: a cause: 15"
SELDOM_GREEN = f"~ test_a.py::test_green: {PYTEST} test_a.py::test_green 7: seed 7: a cause: 15"
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
        ([SELDOM_RED], 0, "--deselect test_a.py::test_red\n"),
        ([SELDOM_RED], 0, "test_a.py::test_red failed this time"),
        ([SELDOM_GREEN.replace("seed 7", "seed 8")], 1, "not the seed"),
        ([f"~ test_a.py::test_red: {PYTEST} test_a.py: no seed: a cause: 15"], 1, "not the test"),
        (["~ test_a.py::test_red: no seed: a cause: 15"], 1, "not `~ TEST: COMMAND: SEED: cause: issue`"),
        ([SELDOM_RED.replace("test_red", "test_none")], 1, "does not exist or does not run"),
        ([SELDOM_RED, FAILING, FAILING, FAILING], 1, "4 tests, 3 at most"),
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


def test_a_test_that_fails_seldom_may_pass_and_is_run_with_its_seed(tmp_path: Path) -> None:
    """It is run by its own command and printed each time, and passed over whether it fails or not."""
    (tmp_path / "test_a.py").write_text("import os\ndef test_seeded(): assert os.environ['SEED'] != '7'\n")
    for seed, result in ((7, "failed this time"), (8, "passed this time")):
        command = f"SEED={seed} {PYTEST} test_a.py::test_seeded  # {seed}"
        (tmp_path / "KNOWN-RED.txt").write_text(
            f"~ test_a.py::test_seeded: {command}: seed {seed}: a cause: 15"
        )
        (tmp_path / "checks").touch()
        completed = subprocess.run(
            [sys.executable, str(SCRIPT), "KNOWN-RED.txt", "checks"],
            cwd=tmp_path, capture_output=True, text=True, check=False,
        )  # fmt: skip
        assert completed.returncode == 0
        assert completed.stdout == "--deselect test_a.py::test_seeded\n"
        assert f"test_a.py::test_seeded {result}" in completed.stderr
    (record,) = (tmp_path / "found" / "records").iterdir()
    assert "SEED=7" in record.read_text()
    assert "1 failed" in record.read_text()


@pytest.mark.parametrize(("command", "exit_code"), [("echo seen; exit 3", 3), ("echo seen", 0)])
def test_the_record_of_a_failing_command_is_kept(command: str, exit_code: int, tmp_path: Path) -> None:
    """Guards against a failure that cannot be traced, since what it printed went with the run."""
    folder = tmp_path / "kept"
    environment = {**os.environ, "OAKCROFT_RECORDS": str(folder)}
    completed = subprocess.run(
        [sys.executable, str(RECORDER), "run", command],
        cwd=tmp_path, env=environment, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert completed.returncode == exit_code
    assert completed.stdout == "seen\n"
    records = list(folder.glob("*.txt")) if folder.exists() else []
    assert [record.read_text() for record in records] == [f"$ {command}\nseen\n"] * bool(exit_code)
    listed = subprocess.run(
        [sys.executable, str(RECORDER), "list"], env=environment, capture_output=True, text=True, check=True
    )
    assert listed.stdout.count("not traced yet") == len(records)
