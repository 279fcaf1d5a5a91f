"""The list of files that may break a readability rule only shrinks.

`pyproject.toml` enables the rules for all files and lists the present exceptions by file. An entry that is no longer
needed must be removed, and none may be added: otherwise the exceptions would grow until the rules have no effect.
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

MOST_LISTED = 52
"""Entries (a file and a rule) in the list today. Lower it with each entry that is removed; never raise it."""


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
def violations() -> frozenset[Entry]:
    """Each file and rule that the linter reports without the list, also where a comment suppresses it."""
    command = [sys.executable, "-m", "ruff", "check", "--quiet", "--exit-zero", "--no-cache", "--ignore-noqa",
               "--select", ",".join(RULES), "--config", "lint.per-file-ignores = {}",
               "--output-format", "json", "."]  # fmt: skip
    report = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return frozenset(
        Entry(Path(violation["filename"]).relative_to(ROOT).as_posix(), violation["code"])
        for violation in json.loads(report)
    )


def format_entries(entries: Set[Entry]) -> str:
    """Entries in the format of pyproject.toml."""
    files = sorted({entry.file for entry in entries})
    rules = {file: sorted(entry.rule for entry in entries if entry.file == file) for file in files}
    return "\n".join(f'"{file}" = {json.dumps(rules[file])}' for file in files)


def test_the_rules_are_on_for_all_files() -> None:
    """None of them is ignored for the whole project."""
    assert set(RULES) <= set(lint_settings()["select"])
    assert not [rule for rule in lint_settings()["ignore"] if is_readability_rule(rule)]


def test_the_list_names_single_files_and_single_rules() -> None:
    """A pattern or a group of rules would cover new files or rules as well."""
    assert not [entry for entry in listed() if not (ROOT / entry.file).is_file()]
    assert not [entry for entry in listed() if entry.rule in {"ALL", "C", "D", "D1", "N", "PL", "PLR"}]
    assert len(set(listed())) == len(listed())


def test_a_file_that_has_come_clean_has_left_the_list() -> None:
    """An entry whose file does not break its rule is an error."""
    stale = set(listed()) - violations()
    assert not stale, f"remove these entries from pyproject.toml:\n{format_entries(stale)}"


def test_no_offender_is_missing_from_the_list() -> None:
    """A comment that suppresses the linter is no exception: only the list is."""
    unlisted = violations() - set(listed())
    assert not unlisted, f"fix these instead of listing them:\n{format_entries(unlisted)}"


def test_the_list_has_not_grown() -> None:
    """Splitting a listed file into two that both break its rule counts as growth."""
    assert len(listed()) <= MOST_LISTED
