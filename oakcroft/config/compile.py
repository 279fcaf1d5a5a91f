"""From a configuration's text to its meaning, and on to what a front is told: the steps in their order."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from oakcroft.config.checks import cross_check
from oakcroft.config.deployment import route_of, told
from oakcroft.config.expand import Expander, Folder
from oakcroft.config.meaning import Meaning, meaning
from oakcroft.config.problems import Problems, Unsound
from oakcroft.config.records import read_records
from oakcroft.config.syntax import Form
from oakcroft.config.told import Deployment

__all__ = ["Meaning", "check", "check_forms", "load", "load_meaning", "route_of", "told"]


def check(name: str, open_: Callable[[str], str], front: bool = True) -> tuple[Meaning | None, Problems]:
    """Checks a file and all it includes; its meaning where it has no error. `open_` gives the text of a file by its path from
    the first one's folder (OSError where it cannot)."""
    problems = Problems()
    some = Expander(open_, problems).file(name)
    return check_forms(some, problems, front)


def check_forms(some: Iterable[Form], problems: Problems, front: bool) -> tuple[Meaning | None, Problems]:
    """Checks plain forms. `front`: they are a front's own file, which holds (front …)."""
    records = read_records(some, problems, front)
    if not problems.unread:
        cross_check(records, problems)
    return (None if problems.errors else meaning(records)), problems


def load_meaning(path: Path, front: bool = True) -> Meaning:
    """The meaning of a file. Unsound where it has errors, OSError where it cannot be read."""
    found, problems = check(path.name, Folder(path.parent).open, front)
    if found is None:
        raise Unsound(problems)
    return found


def load(path: Path) -> Deployment:
    """What a front is told by its file. Unsound where that has errors."""
    return told(load_meaning(path))
