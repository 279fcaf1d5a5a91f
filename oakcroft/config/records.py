"""The records of a whole configuration, each read from a form by its schema."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from oakcroft.config import forms
from oakcroft.config.diagnostics import SourceLocation, Diagnostics, closest_match, join_alternatives
from oakcroft.config.form_reader import read_form
from oakcroft.config.schema import Record, Schema
from oakcroft.config.syntax import Form

MAX_NAMES_SHOWN = 30
"""Bound on the known form names that one message lists."""


class Records:
    """The records of a whole configuration."""

    def __init__(self) -> None:
        """Starts empty; `read_records` fills it."""
        self.single_by_form: dict[str, Record] = {}
        self.named_by_form: dict[str, dict[str, Record]] = {schema.name: {} for schema in forms.NAMED_FORMS}

    def find_single(self, schema: Schema) -> Record | None:
        """Returns the record of a form that may stand once, None if it is absent."""
        return self.single_by_form.get(schema.name)

    def named_records(self, schema: Schema) -> dict[str, Record]:
        """Returns the records of a named form by their names."""
        return self.named_by_form[schema.name]

    def fleet_value(self, field_name: str) -> Any:
        """Returns the value of a field of (fleet …), its default if the field or the form is absent."""
        fleet = self.find_single(forms.FLEET)
        if fleet is not None:
            return fleet.get(field_name)
        known = forms.FLEET.find_field(field_name)
        assert known is not None, field_name
        return known.default

    def ladder_length(self) -> int:
        """Returns the number of rungs of the bitrate ladder, 0 if it could not be read."""
        ladder = self.find_single(forms.LADDER)
        rates = ladder.values.get("rates") if ladder else None
        return len(rates) if rates else 0


def read_records(plain_forms: Iterable[Form], diagnostics: Diagnostics, is_front_file: bool) -> Records:
    """Reads every form by its schema and reports required forms that are missing.

    `is_front_file`: the configuration belongs to one front end and must hold (front …).
    """
    records = Records()
    for form in plain_forms:
        schema = forms.SCHEMAS_BY_NAME.get(form.name)
        if schema is None:
            _report_unknown(form, diagnostics)
            continue
        record = read_form(schema, form, diagnostics)
        if schema.name_type is None:
            _add_single(record, records, diagnostics)
        elif record.name:
            _add_named(record, records, diagnostics)
    if not diagnostics.is_incomplete:
        _report_missing(records, diagnostics, is_front_file)
    return records


def _report_unknown(form: Form, diagnostics: Diagnostics) -> None:
    known = [*forms.SCHEMAS_BY_NAME, *forms.KEYWORDS]
    guess = closest_match(form.name, known)
    hint = (
        f"did you mean {guess}?" if guess else f"known forms are {join_alternatives(known, MAX_NAMES_SHOWN)}"
    )
    message = (
        f"there is no form {form.name}; {hint}" if form.name else f"a form must begin with a name; {hint}"
    )
    use_notes = tuple(f"used at {place}" for place in form.use_locations)
    diagnostics.error(form.location, message, f"write ({guess} …)" if guess else "", use_notes)


def _add_single(record: Record, records: Records, diagnostics: Diagnostics) -> None:
    name = record.schema.name
    first = records.single_by_form.setdefault(name, record)
    if first is not record:
        message = f"({name} …) is given twice; first at {first.location}"
        diagnostics.error(record.location, message, "merge them", record.notes)


def _add_named(record: Record, records: Records, diagnostics: Diagnostics) -> None:
    name = record.schema.name
    first = records.named_by_form[name].setdefault(record.name, record)
    if first is not record:
        message = f"{name} {record.name} is defined twice; first at {first.location}"
        diagnostics.error(record.location, message, "rename one of them", record.notes)


def _report_missing(records: Records, diagnostics: Diagnostics, is_front_file: bool) -> None:
    start = SourceLocation(min(diagnostics.source_lines, default="configuration"), 1, 1)
    for schema in [forms.FLEET, forms.LADDER, *([forms.FRONT] if is_front_file else [])]:
        if records.find_single(schema) is None:
            diagnostics.error(start, f"({schema.name} …) is missing: {schema.doc}", f"add ({schema.name} …)")
    for schema in (forms.PLAN, forms.ROUTE):
        if not records.named_records(schema):
            diagnostics.error(start, f"({schema.name} …) is missing: {schema.doc}", f"add {schema.example}")
