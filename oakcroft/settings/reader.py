"""S-expressions to forms that know where they stand, and fields out of forms."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import TypeVar

from lark import Lark, Token, Tree, UnexpectedInput

from oakcroft.interface import MS, SECOND

T = TypeVar("T")
FIGURE = re.compile(r"^(-?\d+(?:\.\d+)?)([A-Za-z%/]*)$")
TIME = {"ns": 1, "us": 1_000, "ms": MS, "s": SECOND, "min": 60 * SECOND, "h": 3600 * SECOND}
RATE = {"kB/s": 1.0, "MB/s": 1000.0, "B/s": 0.001, "kbit/s": 0.125, "Mbit/s": 125.0}
SIZE = {"B": 1, "kB": 1000, "MB": 1_000_000, "KiB": 1024, "MiB": 1 << 20}


@dataclass(frozen=True)
class Place:
    """Where something stands: file, line and column, both from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class SettingsFault(Exception):
    """What is wrong with a settings file and where."""

    def __init__(self, place: Place, why: str) -> None:
        super().__init__(f"{place}: {why}")
        self.place, self.why = place, why


@dataclass(frozen=True)
class Atom:
    """A symbol, a figure or a string (`quoted`)."""

    text: str
    place: Place
    quoted: bool = False


@dataclass(frozen=True)
class Form:
    """A list."""

    items: tuple[Form | Atom, ...]
    place: Place

    @property
    def name(self) -> str:
        """Its head symbol; "" where it has none."""
        head = self.items[0] if self.items else None
        return head.text if isinstance(head, Atom) and not head.quoted else ""


@cache
def _parser() -> Lark:
    return Lark((Path(__file__).parent / "grammar.lark").read_text(), parser="lalr", propagate_positions=True)


def read(text: str, file: str) -> list[Form | Atom]:
    """All items of a text. SettingsFault says where it is no S-expression."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as fault:
        column = max(1, fault.column)
        at_end = getattr(getattr(fault, "token", None), "type", "") == "$END"
        line = text.count("\n") + 1 if at_end else max(1, fault.line)
        found = "the text ends inside a list" if at_end else "this is out of place here"
        raise SettingsFault(Place(file, line, column if not at_end else 1), found) from None
    return [_item(child, file) for child in tree.children]


def _item(tree: Tree[Token] | Token, file: str) -> Form | Atom:
    assert isinstance(tree, Tree)
    place = Place(file, tree.meta.line, tree.meta.column)
    if tree.data == "list":
        return Form(tuple(_item(child, file) for child in tree.children), place)
    token = str(tree.children[0])
    if tree.data == "text":
        return Atom(re.sub(r"\\(.)", r"\1", token[1:-1], flags=re.S), place, True)
    return Atom(token, place)


def figure(atom: Atom, units: dict[str, int] | dict[str, float], what: str) -> float:
    """A figure with one of the units."""
    match = FIGURE.match(atom.text)
    if atom.quoted or not match:
        raise SettingsFault(
            atom.place, f"{what} is a figure with a unit ({', '.join(units)}), not {atom.text!r}"
        )
    if match[2] not in units:
        had = f"the unit {match[2]!r}" if match[2] else "no unit"
        raise SettingsFault(atom.place, f"{what} has {had}; wanted one of {', '.join(units)}")
    return float(match[1]) * units[match[2]]


@dataclass
class Fields:
    """The fields of one form, each `(name value …)`, taken by name; what is left over at the end is a fault."""

    form: Form
    skip: int = 1
    found: dict[str, list[Form]] = field(default_factory=dict)
    known: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        for item in self.form.items[self.skip :]:
            if not isinstance(item, Form) or not item.name:
                raise SettingsFault(item.place, f"({self.form.name} …) holds fields of the form (name value)")
            self.found.setdefault(item.name, []).append(item)

    def all(self, name: str) -> list[Form]:
        """Every field of that name."""
        self.known.add(name)
        return self.found.get(name, [])

    def one(self, name: str) -> Form | None:
        """The one field of that name, if it stands."""
        forms = self.all(name)
        if len(forms) > 1:
            raise SettingsFault(
                forms[1].place, f"({name} …) stands twice; first at line {forms[0].place.line}"
            )
        return forms[0] if forms else None

    def value(self, name: str, convert: Callable[[Atom, str], T], default: T | None = None) -> T:
        """The single value of a field."""
        form = self.one(name)
        if form is None:
            if default is None:
                raise SettingsFault(self.form.place, f"({self.form.name} …) lacks ({name} …)")
            return default
        if len(form.items) != 2 or not isinstance(form.items[1], Atom):
            raise SettingsFault(form.place, f"({name} …) holds one value")
        return convert(form.items[1], name)

    def values(self, name: str, convert: Callable[[Atom, str], T]) -> list[T]:
        """The values of a field, none where it does not stand."""
        form = self.one(name)
        out = []
        for item in form.items[1:] if form else ():
            if not isinstance(item, Atom):
                raise SettingsFault(item.place, f"({name} …) holds plain values")
            out.append(convert(item, name))
        return out

    def done(self) -> None:
        """Faults the first field that nobody asked for."""
        for name, forms in self.found.items():
            if name not in self.known:
                near = difflib.get_close_matches(name, sorted(self.known), 1)
                hint = f"; did you mean {near[0]}?" if near else f"; known: {', '.join(sorted(self.known))}"
                raise SettingsFault(forms[0].place, f"({self.form.name} …) has no field {name}{hint}")


def text(atom: Atom, what: str) -> str:
    """Any symbol or string."""
    return atom.text


def time(atom: Atom, what: str) -> int:
    """A time, in ns."""
    return round(figure(atom, TIME, what))


def kilobytes_a_second(atom: Atom, what: str) -> float:
    """A rate, in kB a second."""
    return figure(atom, RATE, what)


def size(atom: Atom, what: str) -> int:
    """A size, in bytes."""
    return round(figure(atom, SIZE, what))


def number(atom: Atom, what: str) -> float:
    """A plain figure; a share may be written in %."""
    return figure(atom, {"": 1.0, "%": 0.01}, what)


def whole(atom: Atom, what: str) -> int:
    """A whole number."""
    value = number(atom, what)
    if value != int(value):
        raise SettingsFault(atom.place, f"{what} is a whole number, not {atom.text}")
    return int(value)


def one_of(choices: dict[str, T]) -> Callable[[Atom, str], T]:
    """One of some names."""

    def convert(atom: Atom, what: str) -> T:
        if atom.text not in choices:
            near = difflib.get_close_matches(atom.text, choices, 1)
            hint = f"; did you mean {near[0]}?" if near else ""
            raise SettingsFault(atom.place, f"{what} is one of {', '.join(choices)}, not {atom.text}{hint}")
        return choices[atom.text]

    return convert


def only(items: list[Form | Atom], name: str, file: str) -> Form:
    """The one top form, by name."""
    if len(items) != 1 or not isinstance(items[0], Form) or items[0].name != name:
        place = items[0].place if items else Place(file, 1, 1)
        raise SettingsFault(place, f"the file holds one ({name} …)")
    return items[0]
