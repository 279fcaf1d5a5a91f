"""Schemas of forms: the one source for the checker, the reference page and completion.

A schema says what a form is called, which value names it, and which fields it has; a field says what values it holds, in
which unit, within which usual range. Reading a form notes every problem and goes on, so that one run shows all.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oakcroft.config.problems import Place, Problems, near, or_list
from oakcroft.config.syntax import Atom, Form
from oakcroft.interface import MS, SECOND

FIGURE = re.compile(r"^([+-]?(?:\d+\.?\d*|\.\d+))([^\d].*)?$")
TIME: dict[str, float] = {
    "ns": 1, "us": 1_000, "ms": MS, "s": SECOND, "min": 60 * SECOND, "h": 3600 * SECOND, "d": 86_400 * SECOND,
}  # fmt: skip
SIZE: dict[str, float] = {
    "B": 1, "kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1024, "MiB": 1 << 20, "GiB": 1 << 30, "bit": 0.125, "kbit": 125.0,
    "Mbit": 125e3, "Gbit": 125e6,
}  # fmt: skip
RATE: dict[str, float] = {
    "B/s": 0.001, "kB/s": 1.0, "MB/s": 1000.0, "GB/s": 1e6, "kbit/s": 0.125, "Mbit/s": 125.0, "Gbit/s": 125_000.0,
}  # fmt: skip
PACE: dict[str, float] = {"/s": 1.0, "/min": 1 / 60, "/h": 1 / 3600}


class Bad(Exception):
    """A value that is not of its kind: what is wrong and what to write."""

    def __init__(self, what: str, fix: str = "", bare: bool = False) -> None:
        super().__init__(what)
        self.what, self.fix, self.bare = what, fix, bare  # bare: a figure that lacks its unit


@dataclass(frozen=True)
class Kind:
    """A kind of value: its name, how it is written, and how it is read (Bad where it is not one)."""

    name: str
    how: str
    read: Callable[[Atom], Any]


def _show(value: float) -> str:
    return f"{value:g}" if abs(value) < 1e6 else f"{value:.0f}"


def measured(name: str, units: Mapping[str, float], usual: tuple[str, str], whole: bool = False) -> Kind:
    """A figure whose unit is part of it."""

    def read(atom: Atom) -> float | int:
        match = FIGURE.match(atom.text) if not atom.quoted else None
        if match is None:
            raise Bad(f"{atom.raw} is not a {name}", f"write a figure with a unit, as {usual[0]}")
        number, unit = float(match[1]), match[2] or ""
        if not unit:
            raise Bad(
                f"{atom.raw} has no unit; a {name} is written with one",
                f"write {match[1]}{_unit(usual[0])}, if so meant",
                True,
            )
        if unit not in units:
            guess = near(unit, units) or _unit(usual[0])
            raise Bad(
                f"{unit} is not a unit of {name}; known are {', '.join(units)}",
                f"write {match[1]}{guess}, if so meant",
            )
        if number < 0:
            raise Bad(f"a {name} is not under 0", f"write {atom.text[1:]}")
        value = number * units[unit]
        return round(value) if whole else value

    return Kind(name, f"a figure with one of {', '.join(units)}, as {usual[0]} or {usual[1]}", read)


def _unit(text: str) -> str:
    match = FIGURE.match(text)
    return (match[2] or "") if match else ""


def _number(atom: Atom) -> float:
    match = FIGURE.match(atom.text) if not atom.quoted else None
    if match is None or match[2] not in (None, "%"):
        raise Bad(f"{atom.raw} is not a plain figure", "write a figure without a unit, or a share in %")
    return float(match[1]) * (0.01 if match[2] else 1.0)


def _whole(atom: Atom) -> int:
    if atom.quoted or not re.fullmatch(r"\d{1,15}", atom.text):
        raise Bad(f"{atom.raw} is not a whole number", "write a whole number, 0 or more")
    return int(atom.text)


def _word(atom: Atom) -> str:
    if atom.text.startswith("$") and not atom.quoted:
        raise Bad(f"{atom.text} is a parameter, which has a value only within (define …)")
    if not atom.text:
        raise Bad("an empty name", "write a name")
    return atom.text


TIMES = measured("time", TIME, ("800ms", "5s"), whole=True)
SIZES = measured("size", SIZE, ("64KiB", "1MB"), whole=True)
RATES = measured("rate", RATE, ("400kB/s", "3.2Mbit/s"))
PACES = measured("pace", PACE, ("40/s", "600/min"))
NUMBER = Kind("figure", "a plain figure, or a share in %", _number)
WHOLE = Kind("whole number", "a whole number, 0 or more", _whole)
NAME = Kind("name", "a symbol or a string", _word)
TEXT = Kind("text", "a string or a symbol", _word)


def choice(name: str, words: Sequence[str]) -> Kind:
    """One of some words."""

    def read(atom: Atom) -> str:
        if atom.text not in words:
            guess = near(atom.text, words)
            raise Bad(f"{atom.raw} is no {name}; it is {or_list(words)}", f"write {guess}" if guess else "")
        return atom.text

    return Kind(name, or_list(words), read)


@dataclass(frozen=True)
class Field:
    """One field of a form, written (name value …).

    `least` and `most` bound how many values it holds; `repeats`: the field may stand several times. `usual`: bounds
    in the kind's base unit outside which a value is suspicious, with what to think of. `form`: the field is a form of its own.
    """

    name: str
    doc: str
    kind: Kind = TEXT
    default: object = None
    required: bool = False
    least: int = 1
    most: int = 1
    repeats: bool = False
    usual: tuple[float, float, str] | None = None
    at_least: float | None = None
    at_most: float | None = None
    form: Schema | None = None


@dataclass(frozen=True)
class Schema:
    """A form: its name, what it is for, the value that names it, and its fields."""

    name: str
    doc: str
    fields: tuple[Field, ...]
    head: Kind | None = None
    head_doc: str = ""
    example: str = ""

    def field(self, name: str) -> Field | None:
        """A field by name."""
        return next((f for f in self.fields if f.name == name), None)


@dataclass
class Record:
    """A form as read: values by field name, and where each stood."""

    schema: Schema
    place: Place
    head: str = ""
    also: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """A field's value, its default where it does not stand."""
        if name in self.values:
            return self.values[name]
        found = self.schema.field(name)
        assert found is not None, name
        return found.default

    def at(self, name: str) -> Place:
        """Where a field stands; the form's place where it does not."""
        return self.places.get(name, self.place)


def read_form(schema: Schema, form: Form, problems: Problems) -> Record:
    """A form by its schema. What is wrong is noted; the record holds what could be read."""
    also = tuple(f"used at {place}" for place in form.used)
    record, items = Record(schema, form.place, also=also), list(form.items[1:])
    if schema.head is not None:
        if items and isinstance(items[0], Atom):
            record.head = _value(schema.head, items.pop(0), problems, also) or ""
        else:
            problems.error(
                form.place, f"({schema.name} …) is named first: {schema.head_doc}", _example(schema), also
            )
    for item in items:
        if not isinstance(item, Form) or not item.name:
            shown = item.raw if isinstance(item, Atom) else "a list without a name"
            problems.error(
                item.place,
                f"{shown} stands alone in ({schema.name} …), which holds fields (name value …)",
                "",
                also,
            )
            continue
        found = schema.field(item.name)
        if found is None:
            names = [f.name for f in schema.fields]
            guess = near(item.name, names)
            known = f"did you mean {guess}?" if guess else f"known are {or_list(names, 20)}"
            problems.error(
                item.place,
                f"({schema.name} …) has no field {item.name}; {known}",
                f"write {guess}" if guess else "",
                also,
            )
            continue
        if found.name in record.places and not found.repeats:
            first = record.places[found.name]
            problems.error(
                item.place, f"{found.name} stands twice; first at line {first.line}", "keep one of them", also
            )
            continue
        record.places.setdefault(found.name, item.place)
        value = _field(found, item, problems, also)
        if value is None:
            continue
        if found.repeats:
            record.values.setdefault(found.name, []).append(value)
        else:
            record.values[found.name] = value
    for wanted in schema.fields:
        if wanted.required and wanted.name not in record.places:
            named = f" {record.head}" if record.head else ""
            problems.error(
                form.place,
                f"({schema.name}{named} …) lacks {wanted.name}: {wanted.doc}",
                f"add {sample(wanted)}",
                also,
            )
    return record


def _example(schema: Schema) -> str:
    return f"write {schema.example}" if schema.example else ""


SAMPLES = {
    "time": "1s", "size": "64KiB", "rate": "400kB/s", "pace": "40/s", "whole number": "3", "figure": "1", "share": "20%",
    "name": "NAME", "text": "TEXT", "path": '"/whep/open/"', "title": "intro", "address": '"127.0.0.1:8080"',
    "ICE server": '"stun:host:3478"', "secret": '"…"',
}  # fmt: skip


def sample(wanted: Field) -> str:
    """A field as it might be written."""
    if wanted.form is not None:
        return f"({wanted.name} …)"
    value = SAMPLES.get(wanted.kind.name) or wanted.kind.how.split(",")[0].split(" or ")[0]
    return f"({wanted.name} {' '.join([value] * max(1, min(wanted.least, 2)))})"


def _value(
    kind: Kind, item: Atom | Form, problems: Problems, also: tuple[str, ...], wanted: Field | None = None
) -> Any:
    if isinstance(item, Form):
        problems.error(item.place, f"a list stands where a {kind.name} is wanted: {kind.how}", "", also)
        return None
    try:
        return kind.read(item)
    except Bad as bad:
        fix = bad.fix
        if bad.bare and wanted is not None and wanted.usual is not None:
            meant = slip(wanted, item, wanted.usual[0], wanted.usual[1])
            fix = f"write {meant}, if so meant" if meant else fix
        problems.error(item.place, bad.what, fix, also)
        return None


def _field(wanted: Field, form: Form, problems: Problems, also: tuple[str, ...]) -> Any:
    if wanted.form is not None:
        return read_form(wanted.form, form, problems)
    items = form.items[1:]
    if not wanted.least <= len(items) <= wanted.most:
        many = (
            "one value"
            if wanted.most == 1
            else f"{wanted.least} to {wanted.most} values"
            if wanted.most < 999
            else "one value or more"
        )
        if wanted.least == wanted.most != 1:
            many = f"{wanted.least} values"
        problems.error(
            form.place,
            f"{wanted.name} holds {many}, not {len(items)}: {wanted.doc}",
            f"write {sample(wanted)}",
            also,
        )
        return None
    values = []
    for item in items:
        value = _value(wanted.kind, item, problems, also, wanted)
        if value is None:
            return None
        assert isinstance(item, Atom)
        _bounds(wanted, value, item, problems, also)
        values.append(value)
    return values[0] if wanted.most == 1 else values


def _bounds(wanted: Field, value: Any, atom: Atom, problems: Problems, also: tuple[str, ...]) -> None:
    if isinstance(value, str):
        return
    if wanted.at_least is not None and value < wanted.at_least:
        problems.error(
            atom.place,
            f"{wanted.name} is {atom.raw}, but no less than {say(wanted.kind, wanted.at_least)} can be",
            "",
            also,
        )
    elif wanted.at_most is not None and value > wanted.at_most:
        problems.error(
            atom.place,
            f"{wanted.name} is {atom.raw}, but no more than {say(wanted.kind, wanted.at_most)} can be",
            "",
            also,
        )
    elif wanted.usual is not None and not wanted.usual[0] <= value <= wanted.usual[1]:
        low, high, think = wanted.usual
        between = f"{say(wanted.kind, low)} to {say(wanted.kind, high)}"
        guess = slip(wanted, atom, low, high)
        problems.warn(atom.place, f"{wanted.name} {atom.raw} is suspicious: usual are {between}" + (f"; {think}" if think else ""),
                      f"write {guess}, if that was meant" if guess else "", also)  # fmt: skip


def slip(wanted: Field, atom: Atom, low: float, high: float) -> str:
    """The same figure in another unit, where that would be usual: seconds written for milliseconds and the like."""
    match = FIGURE.match(atom.text)
    units = {"time": TIME, "size": SIZE, "rate": RATE, "pace": PACE}.get(wanted.kind.name)
    if match is None or units is None:
        return ""
    fits = [unit for unit, worth in units.items() if low <= float(match[1]) * worth <= high]
    prefer = [u for u in ("ms", "s", "kB/s", "MB/s", "Mbit/s", "KiB", "kB", "/s", "/min") if u in fits]
    return match[1] + (prefer or fits)[0] if fits else ""


def say(kind: Kind, value: float) -> str:
    """A value of a kind in the unit that reads best."""
    units: Sequence[str]
    table: Mapping[str, float]
    match kind.name:
        case "time":
            table, units = TIME, ("d", "h", "min", "s", "ms", "us", "ns")
        case "size":
            table, units = SIZE, ("GiB", "MiB", "KiB", "B")
        case "rate":
            table, units = RATE, ("GB/s", "MB/s", "kB/s", "B/s")
        case "pace":
            table, units = PACE, ("/s",)
        case _:
            return _show(value)
    for unit in units:
        if value >= table[unit] and (value / table[unit]) == round(value / table[unit], 3):
            return f"{_show(value / table[unit])}{unit}"
    return f"{_show(value / table[units[-1]])}{units[-1]}"
