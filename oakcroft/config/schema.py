"""Schemas of forms, the common source of the checker, the reference page and completion.

A schema defines a form: its name, the type of the value that names an instance, and its fields. A field defines the
type of its values, their unit, and their bounds.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oakcroft.config.diagnostics import Place, near, or_list
from oakcroft.config.syntax import Atom
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
    """Raised for a value that is not of its type, with a message and a suggested fix."""

    def __init__(self, what: str, fix: str = "", bare: bool = False) -> None:
        """`lacks_unit`: the value is a number that needs a unit and has none."""
        super().__init__(what)
        self.what, self.fix, self.bare = what, fix, bare


@dataclass(frozen=True)
class Kind:
    """A type of values: its name, a description of how a value is written, and the function that parses an atom.

    `parse` raises InvalidValueError if the atom is not of the type.
    """

    name: str
    how: str
    read: Callable[[Atom], Any]


LARGEST_SHOWN_SHORT = 1e6
"""From here on `%g` formats a number with an exponent."""


def _show(value: float) -> str:
    return f"{value:g}" if abs(value) < LARGEST_SHOWN_SHORT else f"{value:.0f}"


def measured(name: str, units: Mapping[str, float], usual: tuple[str, str], whole: bool = False) -> Kind:
    """Returns the type of a number with one of some units.

    A parsed value is in the base unit, the one with factor 1 in `units`; `is_whole` rounds it to a whole number.
    `examples` are two values for descriptions and suggested fixes.
    """

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
    """Returns the type of a value that is one of `words`."""

    def read(atom: Atom) -> str:
        if atom.text not in words:
            guess = near(atom.text, words)
            raise Bad(f"{atom.raw} is no {name}; it is {or_list(words)}", f"write {guess}" if guess else "")
        return atom.text

    return Kind(name, or_list(words), read)


@dataclass(frozen=True)
class Field:
    """A field of a form, written (name value …).

    `min_values` and `max_values` bound the number of its values; `is_repeatable`: the field may stand several times.
    `minimum` and `maximum` bound a value, in the type's base unit. `usual_range` is a lower and an upper bound, outside
    of which a value gets a warning, and a hint for that warning. `subform` is the schema of a field that is a form.
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
    """A form of the language: its name, help text and fields; for a named form also the type and help text of the name.

    `example` is a sample of the form's text.
    """

    name: str
    doc: str
    fields: tuple[Field, ...]
    head: Kind | None = None
    head_doc: str = ""
    example: str = ""

    def field(self, name: str) -> Field | None:
        """Returns a field by name, None if there is none."""
        return next((f for f in self.fields if f.name == name), None)


@dataclass
class Record:
    """A form that was read by its schema: its values by field name, and the location of each field.

    `notes` are lines for diagnostics on the form: where the definition is used that it comes from.
    """

    schema: Schema
    place: Place
    head: str = ""
    also: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """Returns the value of a field, its default if the field is absent."""
        if name in self.values:
            return self.values[name]
        found = self.schema.field(name)
        assert found is not None, name
        return found.default

    def at(self, name: str) -> Place:
        """Returns the location of a field, that of the form if the field is absent."""
        return self.places.get(name, self.place)


UNITS: dict[str, Mapping[str, float]] = {"time": TIME, "size": SIZE, "rate": RATE, "pace": PACE}
"""The factor of each unit to the base unit, by the name of the value type."""

SHOWN_UNITS = {
    "time": ("d", "h", "min", "s", "ms", "us", "ns"), "size": ("GiB", "MiB", "KiB", "B"),
    "rate": ("GB/s", "MB/s", "kB/s", "B/s"), "pace": ("/s",),
}  # fmt: skip
"""The units that values are displayed in, the largest first, by the name of the value type."""

DECIMALS = 3
"""A value is displayed in the largest unit in which it has at most this many decimals."""


def say(kind: Kind, value: float) -> str:
    """Formats a value, given in the type's base unit, in the largest unit that suits it."""
    if kind.name not in UNITS:
        return _show(value)
    worth, shown = UNITS[kind.name], SHOWN_UNITS[kind.name]
    for unit in shown:
        in_unit = value / worth[unit]
        if value >= worth[unit] and in_unit == round(in_unit, DECIMALS):
            return f"{_show(in_unit)}{unit}"
    return f"{_show(value / worth[shown[-1]])}{shown[-1]}"
