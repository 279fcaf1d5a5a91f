"""The text format of a catalogue: S-expressions as in the configuration. The format has its own scanner, since a
catalogue has a hundred thousand titles where a configuration has a few hundred forms.

    (catalogue
      (others no)
      (title intro (home 0) (copies 6))
      (title linux-1 (holders n1 n2 n5) (renditions 200kB/s 400kB/s)))

A change is a text of `(put (title …) …)` and `(drop NAME …)` forms, applied in order.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from itertools import pairwise

from oakcroft.config.schema import FIGURE, RATE
from oakcroft.decisions.routing.catalogue import Item

TOKEN = re.compile(
    r'\s+|;[^\n]*|(?P<open>\()|(?P<close>\))|"(?P<text>(?:[^"\\\n]|\\["\\])*)"|(?P<word>[^\s();"]+)'
)
MOST_TITLES = 200_000
MOST_PROBLEMS = 50
FIELDS = ("holders", "home", "copies", "renditions")
LAID_OUT = re.compile(r'  \(title ([^\s();"]+)((?: \([a-z]+(?: [^\s();"]+)+\))*)\)')
PLAIN = re.compile(r'[^\s();"$]+')


@dataclass
class Fault:
    """An error in a catalogue text: its line, the message, and a suggested fix."""

    line: int
    what: str
    fix: str = ""

    def show(self, name: str = "catalogue") -> str:
        """Formats the error for people."""
        return f"{name}:{self.line}: {self.what}" + (f"\n    {self.fix}" if self.fix else "")


class Unsound(Exception):
    """Raised for a catalogue text with errors; `faults` holds them."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(faults[0].show() if faults else "unsound")
        self.faults = faults


@dataclass
class Form:
    """A list and the line that it begins on."""

    line: int
    items: list[str | Form] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The word that the list begins with, "" if there is none."""
        return self.items[0] if self.items and isinstance(self.items[0], str) else ""


@dataclass
class Said:
    """The content of a catalogue text. `others`: titles that it doesn't list are served as well."""

    titles: dict[str, Item]
    others: bool = False


def scan(text: str) -> list[Form]:
    """Parses a text into forms. Raises CatalogueError at the first syntax error."""
    out, stack, line, at, size = list[Form](), list[Form](), 1, 0, len(text)
    match = TOKEN.match
    while at < size:
        found = match(text, at)
        if found is None:
            raise Unsound(
                [Fault(line, f"{text[at : at + 12]!r} cannot be read", 'a string ends with " on its line')]
            )
        at = found.end()
        kind = found.lastgroup
        if kind == "word" or kind == "text":
            if not stack:
                raise Unsound([Fault(line, f"{found[0]} stands outside every form", "write (catalogue …)")])
            stack[-1].items.append(found[kind] if kind == "word" else re.sub(r"\\(.)", r"\1", found[kind]))
        elif kind == "open":
            form = Form(line)
            (stack[-1].items if stack else out).append(form)
            stack.append(form)
            if len(stack) > 6:
                raise Unsound([Fault(line, "forms stand more than six deep")])
        elif kind == "close":
            if not stack:
                raise Unsound([Fault(line, "a bracket closes what was never opened", "take it out")])
            stack.pop()
        else:
            line += found[0].count("\n")
    if stack:
        raise Unsound([Fault(stack[-1].line, f"({stack[-1].name} …) is never closed", "add )")])
    return out


class Reader:
    """Reads (title …) forms and collects the errors in them."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.rates: dict[str, float] = {}  # parsed rates by their text; a catalogue has few different ones

    def fault(self, line: int, what: str, fix: str = "") -> None:
        """Records an error, up to a bound."""
        if len(self.faults) < MOST_PROBLEMS:
            self.faults.append(Fault(line, what, fix))

    def title(self, form: Form) -> tuple[str, Item] | None:
        """Reads one (title …). Returns its name and content, None after an error that leaves no usable title."""
        if len(form.items) < 2 or not isinstance(form.items[1], str):
            self.fault(form.line, "(title …) begins with its name", "(title intro (home 0) (copies 6))")
            return None
        name = form.items[1]
        if not name or len(name) > 200 or "/" in name or not name.isprintable():
            self.fault(
                form.line,
                f"{name!r} cannot be a title: it is one part of a path",
                "take out / and what is unprintable",
            )
            return None
        seen: dict[str, list[str]] = {}
        for part in form.items[2:]:
            if isinstance(part, str) or not part.name:
                self.fault(
                    form.line,
                    f"title {name} holds {part if isinstance(part, str) else 'a list'} outside of a field",
                )
                return None
            if part.name not in FIELDS:
                guess = get_close_matches(part.name, FIELDS, 1)
                self.fault(
                    part.line,
                    f"title {name} has no field {part.name}",
                    f"write {guess[0] if guess else ' or '.join(FIELDS)}",
                )
                continue
            if part.name in seen:
                self.fault(part.line, f"title {name} has {part.name} twice", "join them")
            values = [v for v in part.items[1:] if isinstance(v, str)]
            if len(values) != len(part.items) - 1 or not values:
                self.fault(part.line, f"({part.name} …) of title {name} holds plain values, one at least")
            seen[part.name] = values
        return self.item(form, name, seen)

    def item(self, form: Form, name: str, seen: Mapping[str, list[str]]) -> tuple[str, Item]:
        """Builds a title from the values of its fields and records what is wrong with them."""
        holders, rates = (
            seen.get("holders", []),
            [self._rate(form, name, r) for r in seen.get("renditions", [])],
        )
        home = self._whole(form, name, "home", seen.get("home", ["-1"]))
        copies = self._whole(form, name, "copies", seen.get("copies", ["0"]))
        if holders and ("home" in seen or "copies" in seen):
            self.fault(form.line, f"title {name} has holders and cells", "keep one of them")
        if ("home" in seen) != ("copies" in seen):
            self.fault(form.line, f"title {name} has home or copies alone", "write both, or (holders …)")
        if len(set(holders)) != len(holders):
            self.fault(form.line, f"title {name} names a holder twice", "take one out")
        if any(a >= b for a, b in pairwise(rates)):
            self.fault(
                form.line, f"the renditions of title {name} do not rise", "lowest rate first, none twice"
            )
        return name, Item(tuple(holders), home, copies, tuple(rates))

    def _whole(self, form: Form, name: str, what: str, values: list[str]) -> int:
        if len(values) == 1 and re.fullmatch(r"-1|\d{1,6}", values[0]):
            return int(values[0])
        self.fault(form.line, f"{what} of title {name} is one whole number, not {' '.join(values)}")
        return 0

    def _rate(self, form: Form, name: str, text: str) -> float:
        if text in self.rates:
            return self.rates[text]
        found = FIGURE.match(text)
        unit = (found[2] or "") if found else ""
        if found is None or unit not in RATE or float(found[1]) <= 0:
            fix = (
                f"write {found[1]}kB/s, if so meant"
                if found and not unit
                else f"write a rate, as 400kB/s; units: {', '.join(RATE)}"
            )
            self.fault(form.line, f"{text} is no rate for a rendition of title {name}", fix)
            return 0.0
        self.rates[text] = rate = float(found[1]) * RATE[unit]
        return rate


def read_laid_out(text: str) -> Said | None:
    """Reads a catalogue in the layout of `format_catalogue`, much faster than the general parser.

    Returns None for any other text and for one with errors.
    """
    lines = text.split("\n")
    if len(lines) < 4 or lines[0] != "(catalogue" or lines[-2:] != [")", ""]:
        return None
    if lines[1] not in ("  (others yes)", "  (others no)"):
        return None
    reader, titles = Reader(), dict[str, Item]()
    for number, line in enumerate(lines[2:-2], 3):
        found = LAID_OUT.fullmatch(line)
        if (
            found is None
            or found[1] in titles
            or len(found[1]) > 200
            or "/" in found[1]
            or not found[1].isprintable()
        ):
            return None
        seen: dict[str, list[str]] = {}
        for part in found[2][2:-1].split(") (") if found[2] else ():
            field_name, *values = part.split(" ")
            if field_name not in FIELDS or field_name in seen:
                return None
            seen[field_name] = values
        name, item = reader.item(Form(number), found[1], seen)
        titles[name] = item
    if reader.faults or len(titles) > MOST_TITLES:
        return None
    return Said(titles, lines[1] == "  (others yes)")


def read(text: str) -> Said:
    """Reads a whole catalogue. Raises CatalogueError with all errors found."""
    if (quickly := read_laid_out(text)) is not None:
        return quickly
    reader, said, where = Reader(), Said({}), dict[str, int]()
    forms = scan(text)
    if len(forms) != 1 or forms[0].name != "catalogue":
        line = forms[1].line if len(forms) > 1 else forms[0].line if forms else 1
        raise Unsound(
            [Fault(line, "a catalogue is one form, (catalogue …)", "put all titles into one (catalogue …)")]
        )
    for form in forms[0].items[1:]:
        if isinstance(form, str):
            reader.fault(
                forms[0].line, f"{form} stands alone in (catalogue …)", "write (title …) or (others yes)"
            )
        elif form.name == "others":
            if form.items[1:] not in (["yes"], ["no"]):
                reader.fault(form.line, "(others …) is yes or no")
            said.others = form.items[1:] == ["yes"]
        elif form.name == "title":
            if (found := reader.title(form)) is not None:
                name, item = found
                if name in said.titles:
                    reader.fault(
                        form.line, f"title {name} stands twice; first at line {where[name]}", "take one out"
                    )
                said.titles[name], where[name] = item, form.line
        else:
            reader.fault(
                form.line,
                f"there is no form {form.name or 'without a name'} here",
                "write (title …) or (others yes)",
            )
    if len(said.titles) > MOST_TITLES:
        reader.fault(1, f"{len(said.titles)} titles are more than {MOST_TITLES}")
    if reader.faults:
        raise Unsound(reader.faults)
    return said


def apply(text: str, to: Said) -> Said:
    """Returns a copy of a catalogue with a change applied. Raises CatalogueError with all errors found."""
    reader, out = Reader(), Said(dict(to.titles), to.others)
    for form in scan(text):
        if form.name == "put":
            for part in form.items[1:]:
                if isinstance(part, str) or part.name != "title":
                    reader.fault(form.line, "(put …) holds (title …) forms")
                elif (found := reader.title(part)) is not None:
                    out.titles[found[0]] = found[1]
        elif form.name == "drop":
            for name in form.items[1:]:
                if not isinstance(name, str) or name not in out.titles:
                    reader.fault(
                        form.line, f"there is no title {name if isinstance(name, str) else '(…)'} to drop"
                    )
                else:
                    del out.titles[name]
        else:
            reader.fault(
                form.line,
                f"there is no change {form.name or 'without a name'}",
                "write (put (title …)) or (drop NAME)",
            )
    if len(out.titles) > MOST_TITLES:
        reader.fault(1, f"{len(out.titles)} titles are more than {MOST_TITLES}")
    if reader.faults:
        raise Unsound(reader.faults)
    return out


def _word(text: str) -> str:
    return text if PLAIN.fullmatch(text) else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def _parts(name: str, item: Item) -> Iterator[str]:
    yield f"(title {_word(name)}"
    if item.holders:
        yield f"(holders {' '.join(_word(h) for h in item.holders)})"
    if item.home >= 0:
        yield f"(home {item.home}) (copies {item.copies})"
    if item.rates:
        yield f"(renditions {' '.join(f'{r:.10g}kB/s' for r in item.rates)})"


def write(titles: Iterable[tuple[str, Item]], others: bool) -> str:
    """Formats a catalogue in its canonical layout: titles by name, one a line."""
    lines = [f"  {' '.join(_parts(name, item))})\n" for name, item in sorted(titles)]
    return f"(catalogue\n  (others {'yes' if others else 'no'})\n{''.join(lines)})\n"


def digest(text: str) -> str:
    """Returns the digest of a text in the layout of `format_catalogue`."""
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()
