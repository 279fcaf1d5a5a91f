"""Schemas of forms, the common source of the checker, the reference page and completion.

A schema defines a form: its name, the type of the value that names an instance, and its fields. A field defines the
type of its values, their unit, and their bounds.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oakcroft.config.diagnostics import SourceLocation, closest_match, join_alternatives
from oakcroft.config.syntax import Atom
from oakcroft.interface import MS, SECOND

NUMBER_WITH_UNIT = re.compile(r"^([+-]?(?:\d+\.?\d*|\.\d+))([^\d].*)?$")
TIME_UNITS: dict[str, float] = {
    "ns": 1, "us": 1_000, "ms": MS, "s": SECOND, "min": 60 * SECOND, "h": 3600 * SECOND, "d": 86_400 * SECOND,
}  # fmt: skip
SIZE_UNITS: dict[str, float] = {
    "B": 1, "kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1024, "MiB": 1 << 20, "GiB": 1 << 30, "bit": 0.125, "kbit": 125.0,
    "Mbit": 125e3, "Gbit": 125e6,
}  # fmt: skip
RATE_UNITS: dict[str, float] = {
    "B/s": 0.001, "kB/s": 1.0, "MB/s": 1000.0, "GB/s": 1e6, "kbit/s": 0.125, "Mbit/s": 125.0, "Gbit/s": 125_000.0,
}  # fmt: skip
PACE_UNITS: dict[str, float] = {"/s": 1.0, "/min": 1 / 60, "/h": 1 / 3600}


class InvalidValueError(Exception):
    """Raised for a value that is not of its type, with a message and a suggested fix."""

    def __init__(self, message: str, fix: str = "", lacks_unit: bool = False) -> None:
        """`lacks_unit`: the value is a number that needs a unit and has none."""
        super().__init__(message)
        self.message = message
        self.fix = fix
        self.lacks_unit = lacks_unit


@dataclass(frozen=True)
class ValueType:
    """A type of values: its name, a description of how a value is written, and the function that parses an atom.

    `parse` raises InvalidValueError if the atom is not of the type.
    """

    name: str
    description: str
    parse: Callable[[Atom], Any]


FIRST_EXPONENT_VALUE = 1e6
"""From here on `%g` formats a number with an exponent."""


def _format_number(value: float) -> str:
    return f"{value:g}" if abs(value) < FIRST_EXPONENT_VALUE else f"{value:.0f}"


def quantity_type(
    name: str, units: Mapping[str, float], examples: tuple[str, str], is_whole: bool = False
) -> ValueType:
    """Returns the type of a number with one of some units.

    A parsed value is in the base unit, the one with factor 1 in `units`; `is_whole` rounds it to a whole number.
    `examples` are two values for descriptions and suggested fixes.
    """

    def parse(atom: Atom) -> float | int:
        """Parses a number with a unit."""
        match = NUMBER_WITH_UNIT.match(atom.text) if not atom.is_quoted else None
        if match is None:
            raise InvalidValueError(
                f"{atom.source_text} is not a {name}", f"write a number with a unit, such as {examples[0]}"
            )
        number = float(match[1])
        unit = match[2] or ""
        if not unit:
            raise InvalidValueError(
                f"{atom.source_text} has no unit; a {name} needs one",
                f"write {match[1]}{_unit_of(examples[0])}, if that was meant",
                True,
            )
        if unit not in units:
            guess = closest_match(unit, units) or _unit_of(examples[0])
            raise InvalidValueError(
                f"{unit} is not a unit of {name}; known units are {', '.join(units)}",
                f"write {match[1]}{guess}, if that was meant",
            )
        if number < 0:
            raise InvalidValueError(f"a {name} must not be negative", f"write {atom.text[1:]}")
        value = number * units[unit]
        return round(value) if is_whole else value

    return ValueType(
        name,
        f"a number with one of the units {', '.join(units)}, such as {examples[0]} or {examples[1]}",
        parse,
    )


def _unit_of(text: str) -> str:
    match = NUMBER_WITH_UNIT.match(text)
    return (match[2] or "") if match else ""


def _parse_number(atom: Atom) -> float:
    match = NUMBER_WITH_UNIT.match(atom.text) if not atom.is_quoted else None
    if match is None or match[2] not in (None, "%"):
        raise InvalidValueError(
            f"{atom.source_text} is not a plain number", "write a number without a unit, or a percentage"
        )
    return float(match[1]) * (0.01 if match[2] else 1.0)


def _parse_integer(atom: Atom) -> int:
    if atom.is_quoted or not re.fullmatch(r"\d{1,15}", atom.text):
        raise InvalidValueError(
            f"{atom.source_text} is not a whole number", "write a whole number, 0 or more"
        )
    return int(atom.text)


def _parse_name(atom: Atom) -> str:
    if atom.text.startswith("$") and not atom.is_quoted:
        raise InvalidValueError(f"{atom.text} is a parameter, which has a value only inside (define …)")
    if not atom.text:
        raise InvalidValueError("the name is empty", "write a name")
    return atom.text


TIME_TYPE = quantity_type("time", TIME_UNITS, ("800ms", "5s"), is_whole=True)
SIZE_TYPE = quantity_type("size", SIZE_UNITS, ("64KiB", "1MB"), is_whole=True)
RATE_TYPE = quantity_type("rate", RATE_UNITS, ("400kB/s", "3.2Mbit/s"))
PACE_TYPE = quantity_type("pace", PACE_UNITS, ("40/s", "600/min"))
NUMBER_TYPE = ValueType("figure", "a number without a unit, or a percentage", _parse_number)
INTEGER_TYPE = ValueType("whole number", "a non-negative whole number", _parse_integer)
NAME_TYPE = ValueType("name", "a symbol or a string", _parse_name)
TEXT_TYPE = ValueType("text", "a string or a symbol", _parse_name)


def choice_type(name: str, words: Sequence[str]) -> ValueType:
    """Returns the type of a value that is one of `words`."""

    def parse(atom: Atom) -> str:
        """Returns the atom's text if it is one of the words."""
        if atom.text not in words:
            guess = closest_match(atom.text, words)
            raise InvalidValueError(
                f"{atom.source_text} is not a valid {name}; use {join_alternatives(words)}",
                f"write {guess}" if guess else "",
            )
        return atom.text

    return ValueType(name, join_alternatives(words), parse)


@dataclass(frozen=True)
class Field:
    """A field of a form, written (name value …).

    `min_values` and `max_values` bound the number of its values; `is_repeatable`: the field may occur several times.
    `minimum` and `maximum` bound a value, in the type's base unit. `usual_range` is a lower and an upper bound, outside
    of which a value gets a warning, and a hint for that warning. `subform` is the schema of a field that is a form.
    """

    name: str
    doc: str
    value_type: ValueType = TEXT_TYPE
    default: object = None
    required: bool = False
    min_values: int = 1
    max_values: int = 1
    is_repeatable: bool = False
    usual_range: tuple[float, float, str] | None = None
    minimum: float | None = None
    maximum: float | None = None
    subform: Schema | None = None


@dataclass(frozen=True)
class Schema:
    """A form of the language: its name, help text and fields; for a named form also the type and help text of the name.

    `example` is a sample of the form's text.
    """

    name: str
    doc: str
    fields: tuple[Field, ...]
    name_type: ValueType | None = None
    name_doc: str = ""
    example: str = ""

    def find_field(self, name: str) -> Field | None:
        """Returns a field by name, None if there is none."""
        return next((field for field in self.fields if field.name == name), None)


@dataclass
class Record:
    """A form that was read by its schema: its values by field name, and the location of each field.

    `notes` are lines for diagnostics on the form: where the definition is used that it comes from.
    """

    schema: Schema
    location: SourceLocation
    name: str = ""
    notes: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)
    field_locations: dict[str, SourceLocation] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """Returns the value of a field, its default if the field is absent."""
        if name in self.values:
            return self.values[name]
        found = self.schema.find_field(name)
        assert found is not None, name
        return found.default

    def location_of(self, name: str) -> SourceLocation:
        """Returns the location of a field, that of the form if the field is absent."""
        return self.field_locations.get(name, self.location)


UNIT_FACTORS: dict[str, Mapping[str, float]] = {
    "time": TIME_UNITS,
    "size": SIZE_UNITS,
    "rate": RATE_UNITS,
    "pace": PACE_UNITS,
}
"""The factor of each unit to the base unit, by the name of the value type."""

DISPLAY_UNITS = {
    "time": ("d", "h", "min", "s", "ms", "us", "ns"), "size": ("GiB", "MiB", "KiB", "B"),
    "rate": ("GB/s", "MB/s", "kB/s", "B/s"), "pace": ("/s",),
}  # fmt: skip
"""The units that values are displayed in, the largest first, by the name of the value type."""

MAX_DECIMALS = 3
"""A value is displayed in the largest unit in which it has at most this many decimals."""


def format_value(value_type: ValueType, value: float) -> str:
    """Formats a value, given in the type's base unit, in the largest unit that suits it."""
    if value_type.name not in UNIT_FACTORS:
        return _format_number(value)
    factors = UNIT_FACTORS[value_type.name]
    display_units = DISPLAY_UNITS[value_type.name]
    for unit in display_units:
        converted = value / factors[unit]
        if value >= factors[unit] and converted == round(converted, MAX_DECIMALS):
            return f"{_format_number(converted)}{unit}"
    return f"{_format_number(value / factors[display_units[-1]])}{display_units[-1]}"
