"""The check that a referenced name is defined, shared by the other checks."""

from __future__ import annotations

from collections.abc import Iterable

from oakcroft.config.diagnostics import Problems, near, or_list
from oakcroft.config.schema import Record


def is_defined(
    record: Record, field: str, known: Iterable[str], what: str, problems: Problems, given: str | None = None
) -> bool:
    """Whether the name in a field, or `name_override` in its place, is known. Records an error if it isn't.

    An absent or empty name passes; whether the field is required is checked elsewhere.
    """
    names = list(known)
    name = record.values.get(field) if given is None else given
    if not name or name in names:
        return True
    guess = near(name, names)
    there = f"; did you mean {guess}?" if guess else f"; there is {or_list(names)}" if names else ""
    fix = f"write {guess}" if guess else f"add ({what} {name} …)"
    problems.error(record.at(field), f"there is no {what} {name}{there}", fix, record.also)
    return False
