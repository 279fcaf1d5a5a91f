"""Reads forms by their schemas. Reading goes on after an error, so that one run reports all of them."""

from __future__ import annotations

from typing import Any

from oakcroft.config.diagnostics import Problems, near, or_list
from oakcroft.config.schema import FIGURE, UNITS, Bad, Field, Kind, Record, Schema, say
from oakcroft.config.syntax import Atom, Form

MOST_FIELDS_SHOWN = 20
"""Bound on the known field names that one message lists."""

MANY = 999
"""Messages describe a field that may hold this many values as unbounded."""

SAMPLES = {
    "time": "1s", "size": "64KiB", "rate": "400kB/s", "pace": "40/s", "whole number": "3", "figure": "1", "share": "20%",
    "name": "NAME", "text": "TEXT", "path": '"/whep/open/"', "title": "intro", "address": '"127.0.0.1:8080"',
    "ICE server": '"stun:host:3478"', "secret": '"…"',
}  # fmt: skip
"""A sample value by the name of the value type, for suggested fixes."""

PREFERRED_UNITS = ("ms", "s", "kB/s", "MB/s", "Mbit/s", "KiB", "kB", "/s", "/min")
"""Units in order of preference, for suggesting one of several that bring a value into its usual range."""

Used = tuple[str, ...]
"""Notes for diagnostics that say where the definition is used that a form comes from."""


def read_form(schema: Schema, form: Form, problems: Problems) -> Record:
    """Reads a form by its schema. Errors go to the diagnostics; the record holds the values that could be read."""
    used = tuple(f"used at {place}" for place in form.used)
    record, items = Record(schema, form.place, also=used), list(form.items[1:])
    if schema.head is not None:
        if items and isinstance(items[0], Atom):
            record.head = _read_value(schema.head, items.pop(0), problems, used) or ""
        else:
            what = f"({schema.name} …) is named first: {schema.head_doc}"
            fix = f"write {schema.example}" if schema.example else ""
            problems.error(form.place, what, fix, used)
    for item in items:
        _read_item(item, record, problems)
    _report_missing(form, record, problems)
    return record


def _read_item(item: Atom | Form, record: Record, problems: Problems) -> None:
    """Reads one field of a form into the record."""
    schema, used = record.schema, record.also
    if not isinstance(item, Form) or not item.name:
        shown = item.raw if isinstance(item, Atom) else "a list without a name"
        what = f"{shown} stands alone in ({schema.name} …), which holds fields (name value …)"
        problems.error(item.place, what, "", used)
        return
    field = schema.field(item.name)
    if field is None:
        _report_unknown(item, schema, used, problems)
        return
    if field.name in record.places and not field.repeats:
        first = record.places[field.name]
        what = f"{field.name} stands twice; first at line {first.line}"
        problems.error(item.place, what, "keep one of them", used)
        return
    record.places.setdefault(field.name, item.place)
    value = _read_field(field, item, problems, used)
    if value is None:
        return
    if field.repeats:
        record.values.setdefault(field.name, []).append(value)
    else:
        record.values[field.name] = value


def _report_unknown(item: Form, schema: Schema, used: Used, problems: Problems) -> None:
    names = [field.name for field in schema.fields]
    guess = near(item.name, names)
    known = f"did you mean {guess}?" if guess else f"known are {or_list(names, MOST_FIELDS_SHOWN)}"
    what = f"({schema.name} …) has no field {item.name}; {known}"
    problems.error(item.place, what, f"write {guess}" if guess else "", used)


def _report_missing(form: Form, record: Record, problems: Problems) -> None:
    schema = record.schema
    for field in schema.fields:
        if field.required and field.name not in record.places:
            named = f" {record.head}" if record.head else ""
            what = f"({schema.name}{named} …) lacks {field.name}: {field.doc}"
            problems.error(form.place, what, f"add {sample(field)}", record.also)


def sample(field: Field) -> str:
    """Returns a sample of a field's text, for suggested fixes."""
    if field.form is not None:
        return f"({field.name} …)"
    value = SAMPLES.get(field.kind.name) or field.kind.how.split(",")[0].split(" or ")[0]
    return f"({field.name} {' '.join([value] * max(1, min(field.least, 2)))})"


def _read_value(
    kind: Kind, item: Atom | Form, problems: Problems, used: Used, field: Field | None = None
) -> Any:
    """Parses a value. Records an error and returns None if it is not of the type."""
    if isinstance(item, Form):
        problems.error(item.place, f"a list stands where a {kind.name} is wanted: {kind.how}", "", used)
        return None
    try:
        return kind.read(item)
    except Bad as bad:
        fix = bad.fix
        if bad.bare and field is not None and field.usual is not None:
            low, high, _ = field.usual
            meant = usual_spelling(field, item, low, high)
            fix = f"write {meant}, if so meant" if meant else fix
        problems.error(item.place, bad.what, fix, used)
        return None


def _read_field(field: Field, form: Form, problems: Problems, used: Used) -> Any:
    """Reads the content of a field.

    Returns a record for a subform, a list for a field that may hold several values, else the value; None if an error
    was recorded.
    """
    if field.form is not None:
        return read_form(field.form, form, problems)
    items = form.items[1:]
    if not field.least <= len(items) <= field.most:
        what = f"{field.name} holds {_how_many(field)}, not {len(items)}: {field.doc}"
        problems.error(form.place, what, f"write {sample(field)}", used)
        return None
    values = []
    for item in items:
        value = _read_value(field.kind, item, problems, used, field)
        if value is None:
            return None
        assert isinstance(item, Atom)
        _check_bounds(field, value, item, problems, used)
        values.append(value)
    return values[0] if field.most == 1 else values


def _how_many(field: Field) -> str:
    if field.most == 1:
        return "one value"
    if field.least == field.most:
        return f"{field.least} values"
    return f"{field.least} to {field.most} values" if field.most < MANY else "one value or more"


def _check_bounds(field: Field, value: Any, atom: Atom, problems: Problems, used: Used) -> None:
    """Records an error for a value out of bounds, and a warning for one outside of its usual range."""
    if isinstance(value, str):
        return
    if field.at_least is not None and value < field.at_least:
        what = f"{field.name} is {atom.raw}, but no less than {say(field.kind, field.at_least)} can be"
        problems.error(atom.place, what, "", used)
    elif field.at_most is not None and value > field.at_most:
        what = f"{field.name} is {atom.raw}, but no more than {say(field.kind, field.at_most)} can be"
        problems.error(atom.place, what, "", used)
    elif field.usual is not None and not field.usual[0] <= value <= field.usual[1]:
        low, high, think = field.usual
        between = f"{say(field.kind, low)} to {say(field.kind, high)}"
        guess = usual_spelling(field, atom, low, high)
        what = f"{field.name} {atom.raw} is suspicious: usual are {between}" + (f"; {think}" if think else "")
        problems.warn(atom.place, what, f"write {guess}, if that was meant" if guess else "", used)


def usual_spelling(field: Field, atom: Atom, low: float, high: float) -> str:
    """Returns the same number with a unit that brings it into the usual range, "" if there is none.

    This finds slips such as seconds written for milliseconds.
    """
    match = FIGURE.match(atom.text)
    units = UNITS.get(field.kind.name)
    if match is None or units is None:
        return ""
    fitting = [unit for unit, worth in units.items() if low <= float(match[1]) * worth <= high]
    preferred = [unit for unit in PREFERRED_UNITS if unit in fitting]
    return match[1] + (preferred or fitting)[0] if fitting else ""
