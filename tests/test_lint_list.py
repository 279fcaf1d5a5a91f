"""The list of files that still offend against the readability rules only shrinks.

`pyproject.toml` switches the rules on for every file and names, by file, the present offenders. A file that has come
clean must leave the list, and nothing may join it: otherwise a list of exceptions grows back to where the rules are off.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections.abc import Set
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parents[1]
RULES = ("C901", "D1", "N", "PLR2004")
"""Complexity, missing docstrings, names, and values without a name."""

MOST_LISTED = 64
"""Entries (a file and a rule) in the list today. Lower it with each entry that goes; it never rises."""


class Entry(NamedTuple):
    """One exception: a file that may break a rule."""

    file: str
    rule: str


@cache
def lint_settings() -> dict[str, Any]:
    """The linter's table in pyproject.toml."""
    settings: dict[str, Any] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    return settings


def is_readability_rule(code: str) -> bool:
    """Whether a rule, or a group of rules, is one that the list is about."""
    return code == "ALL" or code.startswith(RULES) or any(rule.startswith(code) for rule in RULES)


def listed() -> list[Entry]:
    """All entries of the list, in its order."""
    ignores: dict[str, list[str]] = lint_settings()["per-file-ignores"]
    return [
        Entry(file, rule) for file, rules in ignores.items() for rule in rules if is_readability_rule(rule)
    ]


@cache
def offending() -> frozenset[Entry]:
    """Every file and rule that offends with the list, and all comments that silence the linter, left out."""
    command = [sys.executable, "-m", "ruff", "check", "--quiet", "--exit-zero", "--no-cache", "--ignore-noqa",
               "--select", ",".join(RULES), "--config", "lint.per-file-ignores = {}",
               "--output-format", "json", "."]  # fmt: skip
    report = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return frozenset(
        Entry(Path(offence["filename"]).relative_to(ROOT).as_posix(), offence["code"])
        for offence in json.loads(report)
    )


def lines_of(entries: Set[Entry]) -> str:
    """Entries as they would stand in pyproject.toml."""
    files = sorted({entry.file for entry in entries})
    rules = {file: sorted(entry.rule for entry in entries if entry.file == file) for file in files}
    return "\n".join(f'"{file}" = {json.dumps(rules[file])}' for file in files)


def test_the_rules_are_on_for_all_files() -> None:
    """No group of them is taken back for the whole project."""
    assert set(RULES) <= set(lint_settings()["select"])
    assert not [rule for rule in lint_settings()["ignore"] if is_readability_rule(rule)]


def test_the_list_names_single_files_and_single_rules() -> None:
    """A pattern or a group of rules would let new offenders in unseen."""
    assert not [entry for entry in listed() if not (ROOT / entry.file).is_file()]
    assert not [entry for entry in listed() if entry.rule in {"ALL", "C", "D", "D1", "N", "PL", "PLR"}]
    assert len(set(listed())) == len(listed())


def test_a_file_that_has_come_clean_has_left_the_list() -> None:
    """The list says what is left to do, and nothing else."""
    stale = set(listed()) - offending()
    assert not stale, f"take these out of pyproject.toml:\n{lines_of(stale)}"


def test_no_offender_is_missing_from_the_list() -> None:
    """Comments that silence the linter do not count: the list is the one place of exceptions."""
    unlisted = offending() - set(listed())
    assert not unlisted, f"mend these; they do not belong into the list:\n{lines_of(unlisted)}"


def test_the_list_has_not_grown() -> None:
    """Splitting a listed file into two that offend is growth, too."""
    assert len(listed()) <= MOST_LISTED
