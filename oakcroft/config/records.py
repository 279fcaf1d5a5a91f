"""The records of a whole configuration, each read from a form by its schema."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from oakcroft.config import forms
from oakcroft.config.diagnostics import Place, Problems, near, or_list
from oakcroft.config.form_reader import read_form
from oakcroft.config.schema import Record, Schema
from oakcroft.config.syntax import Form

MOST_NAMES_SHOWN = 30
"""Bound on the known form names that one message lists."""


class Records:
    """The records of a whole configuration."""

    def __init__(self) -> None:
        """Starts empty; `read_records` fills it."""
        self.single: dict[str, Record] = {}
        self.named: dict[str, dict[str, Record]] = {schema.name: {} for schema in forms.NAMED}

    def one(self, schema: Schema) -> Record | None:
        """Returns the record of a form that may stand once, None if it is absent."""
        return self.single.get(schema.name)

    def all(self, schema: Schema) -> dict[str, Record]:
        """Returns the records of a named form by their names."""
        return self.named[schema.name]

    def fleet(self, field: str) -> Any:
        """Returns the value of a field of (fleet …), its default if the field or the form is absent."""
        fleet = self.one(forms.FLEET)
        if fleet is not None:
            return fleet.get(field)
        known = forms.FLEET.field(field)
        assert known is not None, field
        return known.default

    def ladder_length(self) -> int:
        """Returns the number of rungs of the bitrate ladder, 0 if it could not be read."""
        ladder = self.one(forms.LADDER)
        rates = ladder.values.get("rates") if ladder else None
        return len(rates) if rates else 0


def read_records(some: Iterable[Form], problems: Problems, front: bool) -> Records:
    """Reads every form by its schema and reports required forms that are missing.

    `is_front_file`: the configuration belongs to one front end and must hold (front …).
    """
    records = Records()
    for form in some:
        schema = forms.ALL.get(form.name)
        if schema is None:
            _report_unknown(form, problems)
            continue
        record = read_form(schema, form, problems)
        if schema.head is None:
            _keep_single(record, records, problems)
        elif record.head:
            _keep_named(record, records, problems)
    if not problems.unread:
        _report_missing(records, problems, front)
    return records


def _report_unknown(form: Form, problems: Problems) -> None:
    known = [*forms.ALL, *forms.WORDS]
    guess = near(form.name, known)
    shown = form.name or "without a name"
    hint = f"; did you mean {guess}?" if guess else f"; known are {or_list(known, MOST_NAMES_SHOWN)}"
    also = tuple(f"used at {place}" for place in form.used)
    problems.error(form.place, f"there is no form {shown}{hint}", f"write ({guess} …)" if guess else "", also)


def _keep_single(record: Record, records: Records, problems: Problems) -> None:
    name = record.schema.name
    first = records.single.setdefault(name, record)
    if first is not record:
        what = f"({name} …) stands twice; first at {first.place}"
        problems.error(record.place, what, "join them", record.also)


def _keep_named(record: Record, records: Records, problems: Problems) -> None:
    name = record.schema.name
    first = records.named[name].setdefault(record.head, record)
    if first is not record:
        what = f"{name} {record.head} is defined twice; first at {first.place}"
        problems.error(record.place, what, "rename one of them", record.also)


def _report_missing(records: Records, problems: Problems, front: bool) -> None:
    start = Place(min(problems.texts, default="configuration"), 1, 1)
    for wanted in [forms.FLEET, forms.LADDER, *([forms.FRONT] if front else [])]:
        if records.one(wanted) is None:
            problems.error(start, f"there is no ({wanted.name} …): {wanted.doc}", f"add ({wanted.name} …)")
    for plural in (forms.PLAN, forms.ROUTE):
        if not records.all(plural):
            problems.error(start, f"there is no ({plural.name} …): {plural.doc}", f"add {plural.example}")
