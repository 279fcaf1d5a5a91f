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

from oakcroft.config.schema import NUMBER_WITH_UNIT, RATE_UNITS
from oakcroft.decisions.routing.catalogue import CatalogueTitle

TOKEN_PATTERN = re.compile(
    r'\s+|;[^\n]*|(?P<open>\()|(?P<close>\))|"(?P<text>(?:[^"\\\n]|\\["\\])*)"|(?P<word>[^\s();"]+)'
)
MAX_TITLES = 200_000
MAX_FAULTS = 50
TITLE_FIELDS = ("holders", "home", "copies", "renditions")
FORMATTED_TITLE_LINE = re.compile(r'  \(title ([^\s();"]+)((?: \([a-z]+(?: [^\s();"]+)+\))*)\)')
PLAIN_WORD = re.compile(r'[^\s();"$]+')


@dataclass
class Fault:
    """An error in a catalogue text: its line, the message, and a suggested fix."""

    line: int
    message: str
    fix: str = ""

    def format(self, file_name: str = "catalogue") -> str:
        """Formats the error for people."""
        return f"{file_name}:{self.line}: {self.message}" + (f"\n    {self.fix}" if self.fix else "")


class CatalogueError(Exception):
    """Raised for a catalogue text with errors; `faults` holds them."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(faults[0].format() if faults else "unsound")
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
class CatalogueContent:
    """The content of a catalogue text. `others`: titles that it doesn't list are served as well."""

    titles: dict[str, CatalogueTitle]
    others: bool = False


def parse_forms(text: str) -> list[Form]:
    """Parses a text into forms. Raises CatalogueError at the first syntax error."""
    forms = list[Form]()
    stack = list[Form]()
    line = 1
    position = 0
    size = len(text)
    match = TOKEN_PATTERN.match
    while position < size:
        token = match(text, position)
        if token is None:
            raise CatalogueError(
                [
                    Fault(
                        line,
                        f"{text[position : position + 12]!r} cannot be read",
                        'a string ends with " on its line',
                    )
                ]
            )
        position = token.end()
        kind = token.lastgroup
        if kind == "word" or kind == "text":
            if not stack:
                raise CatalogueError(
                    [Fault(line, f"{token[0]} stands outside every form", "write (catalogue …)")]
                )
            stack[-1].items.append(token[kind] if kind == "word" else re.sub(r"\\(.)", r"\1", token[kind]))
        elif kind == "open":
            form = Form(line)
            (stack[-1].items if stack else forms).append(form)
            stack.append(form)
            if len(stack) > 6:
                raise CatalogueError([Fault(line, "forms stand more than six deep")])
        elif kind == "close":
            if not stack:
                raise CatalogueError([Fault(line, "a bracket closes what was never opened", "take it out")])
            stack.pop()
        else:
            line += token[0].count("\n")
    if stack:
        raise CatalogueError([Fault(stack[-1].line, f"({stack[-1].name} …) is never closed", "add )")])
    return forms


class TitleReader:
    """Reads (title …) forms and collects the errors in them."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.rate_cache: dict[str, float] = {}  # by their text; a catalogue has few different rates

    def add_fault(self, line: int, message: str, fix: str = "") -> None:
        """Records an error, up to a bound."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(Fault(line, message, fix))

    def read_title(self, form: Form) -> tuple[str, CatalogueTitle] | None:
        """Reads one (title …). Returns its name and content, None after an error that leaves no usable title."""
        if len(form.items) < 2 or not isinstance(form.items[1], str):
            self.add_fault(form.line, "(title …) begins with its name", "(title intro (home 0) (copies 6))")
            return None
        name = form.items[1]
        if not name or len(name) > 200 or "/" in name or not name.isprintable():
            self.add_fault(
                form.line,
                f"{name!r} cannot be a title: it is one part of a path",
                "take out / and what is unprintable",
            )
            return None
        field_values: dict[str, list[str]] = {}
        for part in form.items[2:]:
            if isinstance(part, str) or not part.name:
                self.add_fault(
                    form.line,
                    f"title {name} holds {part if isinstance(part, str) else 'a list'} outside of a field",
                )
                return None
            if part.name not in TITLE_FIELDS:
                guess = get_close_matches(part.name, TITLE_FIELDS, 1)
                self.add_fault(
                    part.line,
                    f"title {name} has no field {part.name}",
                    f"write {guess[0] if guess else ' or '.join(TITLE_FIELDS)}",
                )
                continue
            if part.name in field_values:
                self.add_fault(part.line, f"title {name} has {part.name} twice", "join them")
            values = [value for value in part.items[1:] if isinstance(value, str)]
            if len(values) != len(part.items) - 1 or not values:
                self.add_fault(part.line, f"({part.name} …) of title {name} holds plain values, one at least")
            field_values[part.name] = values
        return self.build_title(form, name, field_values)

    def build_title(
        self, form: Form, title_name: str, field_values: Mapping[str, list[str]]
    ) -> tuple[str, CatalogueTitle]:
        """Builds a title from the values of its fields and records what is wrong with them."""
        holders = field_values.get("holders", [])
        rates = [self._parse_rate(form, title_name, text) for text in field_values.get("renditions", [])]
        home = self._parse_integer(form, title_name, "home", field_values.get("home", ["-1"]))
        copies = self._parse_integer(form, title_name, "copies", field_values.get("copies", ["0"]))
        if holders and ("home" in field_values or "copies" in field_values):
            self.add_fault(form.line, f"title {title_name} has holders and cells", "keep one of them")
        if ("home" in field_values) != ("copies" in field_values):
            self.add_fault(
                form.line, f"title {title_name} has home or copies alone", "write both, or (holders …)"
            )
        if len(set(holders)) != len(holders):
            self.add_fault(form.line, f"title {title_name} names a holder twice", "take one out")
        if any(lower >= higher for lower, higher in pairwise(rates)):
            self.add_fault(
                form.line,
                f"the renditions of title {title_name} do not rise",
                "lowest rate first, none twice",
            )
        return title_name, CatalogueTitle(tuple(holders), home, copies, tuple(rates))

    def _parse_integer(self, form: Form, title_name: str, field_name: str, values: list[str]) -> int:
        if len(values) == 1 and re.fullmatch(r"-1|\d{1,6}", values[0]):
            return int(values[0])
        self.add_fault(
            form.line, f"{field_name} of title {title_name} is one whole number, not {' '.join(values)}"
        )
        return 0

    def _parse_rate(self, form: Form, title_name: str, text: str) -> float:
        if text in self.rate_cache:
            return self.rate_cache[text]
        match = NUMBER_WITH_UNIT.match(text)
        unit = (match[2] or "") if match else ""
        if match is None or unit not in RATE_UNITS or float(match[1]) <= 0:
            fix = (
                f"write {match[1]}kB/s, if so meant"
                if match and not unit
                else f"write a rate, as 400kB/s; units: {', '.join(RATE_UNITS)}"
            )
            self.add_fault(form.line, f"{text} is no rate for a rendition of title {title_name}", fix)
            return 0.0
        self.rate_cache[text] = rate = float(match[1]) * RATE_UNITS[unit]
        return rate


def read_formatted(text: str) -> CatalogueContent | None:
    """Reads a catalogue in the layout of `format_catalogue`, much faster than the general parser.

    Returns None for any other text and for one with errors.
    """
    lines = text.split("\n")
    if len(lines) < 4 or lines[0] != "(catalogue" or lines[-2:] != [")", ""]:
        return None
    if lines[1] not in ("  (others yes)", "  (others no)"):
        return None
    reader = TitleReader()
    titles = dict[str, CatalogueTitle]()
    for line_number, line in enumerate(lines[2:-2], 3):
        match = FORMATTED_TITLE_LINE.fullmatch(line)
        if (
            match is None
            or match[1] in titles
            or len(match[1]) > 200
            or "/" in match[1]
            or not match[1].isprintable()
        ):
            return None
        field_values: dict[str, list[str]] = {}
        for part in match[2][2:-1].split(") (") if match[2] else ():
            field_name, *values = part.split(" ")
            if field_name not in TITLE_FIELDS or field_name in field_values:
                return None
            field_values[field_name] = values
        name, title = reader.build_title(Form(line_number), match[1], field_values)
        titles[name] = title
    if reader.faults or len(titles) > MAX_TITLES:
        return None
    return CatalogueContent(titles, lines[1] == "  (others yes)")


def read_catalogue(text: str) -> CatalogueContent:
    """Reads a whole catalogue. Raises CatalogueError with all errors found."""
    if (formatted := read_formatted(text)) is not None:
        return formatted
    reader = TitleReader()
    content = CatalogueContent({})
    first_lines = dict[str, int]()
    forms = parse_forms(text)
    if len(forms) != 1 or forms[0].name != "catalogue":
        line = forms[1].line if len(forms) > 1 else forms[0].line if forms else 1
        raise CatalogueError(
            [Fault(line, "a catalogue is one form, (catalogue …)", "put all titles into one (catalogue …)")]
        )
    for form in forms[0].items[1:]:
        if isinstance(form, str):
            reader.add_fault(
                forms[0].line, f"{form} stands alone in (catalogue …)", "write (title …) or (others yes)"
            )
        elif form.name == "others":
            if form.items[1:] not in (["yes"], ["no"]):
                reader.add_fault(form.line, "(others …) is yes or no")
            content.others = form.items[1:] == ["yes"]
        elif form.name == "title":
            if (title_entry := reader.read_title(form)) is not None:
                name, title = title_entry
                if name in content.titles:
                    reader.add_fault(
                        form.line,
                        f"title {name} stands twice; first at line {first_lines[name]}",
                        "take one out",
                    )
                content.titles[name] = title
                first_lines[name] = form.line
        else:
            reader.add_fault(
                form.line,
                f"there is no form {form.name or 'without a name'} here",
                "write (title …) or (others yes)",
            )
    if len(content.titles) > MAX_TITLES:
        reader.add_fault(1, f"{len(content.titles)} titles are more than {MAX_TITLES}")
    if reader.faults:
        raise CatalogueError(reader.faults)
    return content


def apply_change(text: str, catalogue: CatalogueContent) -> CatalogueContent:
    """Returns a copy of a catalogue with a change applied. Raises CatalogueError with all errors found."""
    reader = TitleReader()
    changed = CatalogueContent(dict(catalogue.titles), catalogue.others)
    for form in parse_forms(text):
        if form.name == "put":
            for part in form.items[1:]:
                if isinstance(part, str) or part.name != "title":
                    reader.add_fault(form.line, "(put …) holds (title …) forms")
                elif (title_entry := reader.read_title(part)) is not None:
                    changed.titles[title_entry[0]] = title_entry[1]
        elif form.name == "drop":
            for name in form.items[1:]:
                if not isinstance(name, str) or name not in changed.titles:
                    reader.add_fault(
                        form.line, f"there is no title {name if isinstance(name, str) else '(…)'} to drop"
                    )
                else:
                    del changed.titles[name]
        else:
            reader.add_fault(
                form.line,
                f"there is no change {form.name or 'without a name'}",
                "write (put (title …)) or (drop NAME)",
            )
    if len(changed.titles) > MAX_TITLES:
        reader.add_fault(1, f"{len(changed.titles)} titles are more than {MAX_TITLES}")
    if reader.faults:
        raise CatalogueError(reader.faults)
    return changed


def _format_word(text: str) -> str:
    return text if PLAIN_WORD.fullmatch(text) else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def _format_title_parts(name: str, title: CatalogueTitle) -> Iterator[str]:
    yield f"(title {_format_word(name)}"
    if title.holders:
        yield f"(holders {' '.join(_format_word(holder) for holder in title.holders)})"
    if title.home >= 0:
        yield f"(home {title.home}) (copies {title.copies})"
    if title.rates:
        yield f"(renditions {' '.join(f'{rate:.10g}kB/s' for rate in title.rates)})"


def format_catalogue(titles: Iterable[tuple[str, CatalogueTitle]], others: bool) -> str:
    """Formats a catalogue in its canonical layout: titles by name, one a line."""
    lines = [f"  {' '.join(_format_title_parts(name, title))})\n" for name, title in sorted(titles)]
    return f"(catalogue\n  (others {'yes' if others else 'no'})\n{''.join(lines)})\n"


def text_digest(text: str) -> str:
    """Returns the digest of a text in the layout of `format_catalogue`."""
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()
