"""Reads forms by their schemas. Reading goes on after an error, so that one run reports all of them."""

from __future__ import annotations

from typing import Any

from oakcroft.config.diagnostics import Diagnostics, closest_match, join_alternatives
from oakcroft.config.schema import (
    NUMBER_WITH_UNIT,
    UNIT_FACTORS,
    InvalidValueError,
    Field,
    ValueType,
    Record,
    Schema,
    format_value,
)
from oakcroft.config.syntax import Atom, Form

MAX_FIELDS_SHOWN = 20
"""Bound on the known field names that one message lists."""

UNBOUNDED_COUNT = 999
"""Messages describe a field that may hold this many values as unbounded."""

SAMPLE_VALUES = {
    "time": "1s",
    "size": "64KiB",
    "rate": "400kB/s",
    "pace": "40/s",
    "whole number": "3",
    "figure": "1",
    "share": "20%",
    "name": "NAME",
    "text": "TEXT",
    "path": '"/whep/open/"',
    "title": "intro",
    "address": '"127.0.0.1:8080"',
    "ICE server": '"stun:host:3478"',
    "secret": '"…"',
}
"""A sample value by the name of the value type, for suggested fixes."""

PREFERRED_UNITS = ("ms", "s", "kB/s", "MB/s", "Mbit/s", "KiB", "kB", "/s", "/min")
"""Units in order of preference, for suggesting one of several that bring a value into its usual range."""

UseNotes = tuple[str, ...]
"""Notes for diagnostics that say where the definition is used that a form comes from."""


def read_form(schema: Schema, form: Form, diagnostics: Diagnostics) -> Record:
    """Reads a form by its schema. Errors go to the diagnostics; the record holds the values that could be read."""
    use_notes = tuple(f"used at {place}" for place in form.use_locations)
    record = Record(schema, form.location, notes=use_notes)
    items = list(form.items[1:])
    if schema.name_type is not None:
        if items and isinstance(items[0], Atom):
            record.name = _parse_value(schema.name_type, items.pop(0), diagnostics, use_notes) or ""
        else:
            message = f"({schema.name} …) must begin with a name: {schema.name_doc}"
            fix = f"write {schema.example}" if schema.example else ""
            diagnostics.error(form.location, message, fix, use_notes)
    for item in items:
        _read_item(item, record, diagnostics)
    _report_missing(form, record, diagnostics)
    return record


def _read_item(item: Atom | Form, record: Record, diagnostics: Diagnostics) -> None:
    """Reads one field of a form into the record."""
    schema = record.schema
    use_notes = record.notes
    if not isinstance(item, Form) or not item.name:
        shown = item.source_text if isinstance(item, Atom) else "list without a name"
        message = f"unexpected {shown} in ({schema.name} …), which contains only fields (name value …)"
        diagnostics.error(item.location, message, "", use_notes)
        return
    field = schema.find_field(item.name)
    if field is None:
        _report_unknown(item, schema, use_notes, diagnostics)
        return
    if field.name in record.field_locations and not field.is_repeatable:
        first = record.field_locations[field.name]
        message = f"{field.name} is given twice; first at line {first.line}"
        diagnostics.error(item.location, message, "keep one of them", use_notes)
        return
    record.field_locations.setdefault(field.name, item.location)
    value = _read_field(field, item, diagnostics, use_notes)
    if value is None:
        return
    if field.is_repeatable:
        record.values.setdefault(field.name, []).append(value)
    else:
        record.values[field.name] = value


def _report_unknown(item: Form, schema: Schema, use_notes: UseNotes, diagnostics: Diagnostics) -> None:
    names = [field.name for field in schema.fields]
    guess = closest_match(item.name, names)
    known = (
        f"did you mean {guess}?"
        if guess
        else f"known fields are {join_alternatives(names, MAX_FIELDS_SHOWN)}"
    )
    message = f"({schema.name} …) has no field {item.name}; {known}"
    diagnostics.error(item.location, message, f"write {guess}" if guess else "", use_notes)


def _report_missing(form: Form, record: Record, diagnostics: Diagnostics) -> None:
    schema = record.schema
    for field in schema.fields:
        if field.required and field.name not in record.field_locations:
            named = f" {record.name}" if record.name else ""
            message = f"({schema.name}{named} …) lacks {field.name}: {field.doc}"
            diagnostics.error(form.location, message, f"add {sample_field(field)}", record.notes)


def sample_field(field: Field) -> str:
    """Returns a sample of a field's text, for suggested fixes."""
    if field.subform is not None:
        return f"({field.name} …)"
    value = (
        SAMPLE_VALUES.get(field.value_type.name)
        or field.value_type.description.split(",")[0].split(" or ")[0]
    )
    return f"({field.name} {' '.join([value] * max(1, min(field.min_values, 2)))})"


def _parse_value(
    value_type: ValueType,
    item: Atom | Form,
    diagnostics: Diagnostics,
    use_notes: UseNotes,
    field: Field | None = None,
) -> Any:
    """Parses a value. Records an error and returns None if it is not of the type."""
    if isinstance(item, Form):
        diagnostics.error(
            item.location,
            f"expected a value of type {value_type.name}, found a list: {value_type.description}",
            "",
            use_notes,
        )
        return None
    try:
        return value_type.parse(item)
    except InvalidValueError as error:
        fix = error.fix
        if error.lacks_unit and field is not None and field.usual_range is not None:
            low, high, _ = field.usual_range
            suggestion = suggest_usual_unit(field, item, low, high)
            fix = f"write {suggestion}, if that was meant" if suggestion else fix
        diagnostics.error(item.location, error.message, fix, use_notes)
        return None


def _read_field(field: Field, form: Form, diagnostics: Diagnostics, use_notes: UseNotes) -> Any:
    """Reads the content of a field.

    Returns a record for a subform, a list for a field that may hold several values, else the value; None if an error
    was recorded.
    """
    if field.subform is not None:
        return read_form(field.subform, form, diagnostics)
    items = form.items[1:]
    if not field.min_values <= len(items) <= field.max_values:
        message = f"{field.name} takes {_describe_value_count(field)}, not {len(items)}: {field.doc}"
        diagnostics.error(form.location, message, f"write {sample_field(field)}", use_notes)
        return None
    values = []
    for item in items:
        value = _parse_value(field.value_type, item, diagnostics, use_notes, field)
        if value is None:
            return None
        assert isinstance(item, Atom)
        _check_bounds(field, value, item, diagnostics, use_notes)
        values.append(value)
    return values[0] if field.max_values == 1 else values


def _describe_value_count(field: Field) -> str:
    if field.max_values == 1:
        return "one value"
    if field.min_values == field.max_values:
        return f"{field.min_values} values"
    return (
        f"{field.min_values} to {field.max_values} values"
        if field.max_values < UNBOUNDED_COUNT
        else "one or more values"
    )


def _check_bounds(
    field: Field, value: Any, atom: Atom, diagnostics: Diagnostics, use_notes: UseNotes
) -> None:
    """Records an error for a value out of bounds, and a warning for one outside of its usual range."""
    if isinstance(value, str):
        return
    if field.minimum is not None and value < field.minimum:
        message = f"{field.name} is {atom.source_text}, but must be at least {format_value(field.value_type, field.minimum)}"
        diagnostics.error(atom.location, message, "", use_notes)
    elif field.maximum is not None and value > field.maximum:
        message = f"{field.name} is {atom.source_text}, but must be at most {format_value(field.value_type, field.maximum)}"
        diagnostics.error(atom.location, message, "", use_notes)
    elif field.usual_range is not None and not field.usual_range[0] <= value <= field.usual_range[1]:
        low, high, hint = field.usual_range
        usual_range = f"{format_value(field.value_type, low)} to {format_value(field.value_type, high)}"
        suggestion = suggest_usual_unit(field, atom, low, high)
        message = f"{field.name} {atom.source_text} is outside the usual range of {usual_range}" + (
            f"; {hint}" if hint else ""
        )
        diagnostics.warn(
            atom.location, message, f"write {suggestion}, if that was meant" if suggestion else "", use_notes
        )


def suggest_usual_unit(field: Field, atom: Atom, low: float, high: float) -> str:
    """Returns the same number with a unit that brings it into the usual range, "" if there is none.

    This catches mistakes such as seconds in place of milliseconds.
    """
    match = NUMBER_WITH_UNIT.match(atom.text)
    units = UNIT_FACTORS.get(field.value_type.name)
    if match is None or units is None:
        return ""
    fitting = [unit for unit, factor in units.items() if low <= float(match[1]) * factor <= high]
    preferred = [unit for unit in PREFERRED_UNITS if unit in fitting]
    return match[1] + (preferred or fitting)[0] if fitting else ""
