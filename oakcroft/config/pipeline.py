"""The steps from a configuration's text to its resolved form and on to a front end's deployment settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from oakcroft.config.checks import cross_check
from oakcroft.config.deployment_builder import route_of, told
from oakcroft.config.expander import Expander, Folder
from oakcroft.config.resolved import Meaning, meaning
from oakcroft.config.diagnostics import Problems, Unsound
from oakcroft.config.records import read_records
from oakcroft.config.syntax import Form
from oakcroft.config.settings import Deployment

__all__ = ["Meaning", "check", "check_forms", "load", "load_meaning", "route_of", "told"]


def check(name: str, open_: Callable[[str], str], front: bool = True) -> tuple[Meaning | None, Problems]:
    """Checks a file and everything it includes.

    `read_text` returns the text of a file by its path relative to the first file's folder, or raises OSError.
    `is_front_file`: the file belongs to one front end and must hold (front …). Returns the resolved configuration, None
    if there are errors, and all diagnostics.
    """
    problems = Problems()
    some = Expander(open_, problems).file(name)
    return check_forms(some, problems, front)


def check_forms(some: Iterable[Form], problems: Problems, front: bool) -> tuple[Meaning | None, Problems]:
    """Checks forms whose includes and definitions are expanded; see `check_file` for the arguments and the result."""
    records = read_records(some, problems, front)
    if not problems.unread:
        cross_check(records, problems)
    return (None if problems.errors else meaning(records)), problems


def load_meaning(path: Path, front: bool = True) -> Meaning:
    """Returns the resolved configuration of a file.

    Raises InvalidConfigurationError if it has errors, a file that cannot be read among them.
    """
    found, problems = check(path.name, Folder(path.parent).open, front)
    if found is None:
        raise Unsound(problems)
    return found


def load(path: Path) -> Deployment:
    """Returns the deployment settings of a front end's file. Raises InvalidConfigurationError if it has errors."""
    return told(load_meaning(path))
