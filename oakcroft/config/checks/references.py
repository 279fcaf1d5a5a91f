"""The check that a referenced name is defined, shared by the other checks."""

from __future__ import annotations

from collections.abc import Iterable

from oakcroft.config.diagnostics import Diagnostics, closest_match, join_alternatives
from oakcroft.config.schema import Record


def check_defined(
    record: Record,
    field_name: str,
    known_names: Iterable[str],
    form_name: str,
    diagnostics: Diagnostics,
    name_override: str | None = None,
) -> bool:
    """Whether the name in a field, or `name_override` in its place, is known. Records an error if it isn't.

    An absent or empty name passes; whether the field is required is checked elsewhere.
    """
    names = list(known_names)
    name = record.values.get(field_name) if name_override is None else name_override
    if not name or name in names:
        return True
    guess = closest_match(name, names)
    hint = (
        f"; did you mean {guess}?" if guess else f"; defined are {join_alternatives(names)}" if names else ""
    )
    fix = f"write {guess}" if guess else f"add ({form_name} {name} …)"
    diagnostics.error(
        record.location_of(field_name), f"there is no {form_name} {name}{hint}", fix, record.notes
    )
    return False
