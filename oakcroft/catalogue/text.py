"""The text format of a catalogue: S-expressions as in the configuration.

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
from dataclasses import dataclass
from difflib import get_close_matches
from itertools import pairwise

from oakcroft.catalogue.syntax import CatalogueError, Fault, Form, parse_forms
from oakcroft.config.schema import NUMBER_WITH_UNIT, RATE_UNITS
from oakcroft.decisions.routing.catalogue import CatalogueTitle

MAX_TITLES = 200_000
MAX_TITLE_LENGTH = 200
MAX_FAULTS = 50
TITLE_FIELDS = ("holders", "home", "copies", "renditions")
FORMATTED_TITLE_LINE = re.compile(r'  \(title ([^\s();"]+)((?: \([a-z]+(?: [^\s();"]+)+\))*)\)')
FORMATTED_FRAME_LINES = 4
"""Lines around the titles of a formatted catalogue: two before them, the closing one, and an empty rest."""

SYMBOL = re.compile(r'[^\s();"$]+')
"""A name that may be written without quotes."""


@dataclass
class CatalogueContent:
    """The content of a catalogue text. `others`: titles that it doesn't list are served as well."""

    titles: dict[str, CatalogueTitle]
    others: bool = False


class TitleReader:
    """Reads (title …) forms and collects the errors in them."""

    def __init__(self) -> None:
        """Starts without errors."""
        self.faults: list[Fault] = []
        self.rate_cache: dict[str, float] = {}  # rates by their text; a catalogue has few different ones

    def add_fault(self, line: int, message: str, fix: str = "") -> None:
        """Records an error. Errors beyond MAX_FAULTS are dropped."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(Fault(line, message, fix))

    def read_title(self, form: Form) -> tuple[str, CatalogueTitle] | None:
        """Reads one (title …). Returns its name and content, None after an error that leaves no usable title."""
        name = form.items[1] if len(form.items) > 1 else None
        if not isinstance(name, str):
            self.add_fault(form.line, "(title …) begins with its name", "(title intro (home 0) (copies 6))")
            return None
        if not _is_valid_name(name):
            self.add_fault(
                form.line,
                f"{name!r} cannot be a title: a title is one segment of a path",
                "remove / and unprintable characters",
            )
            return None
        field_values: dict[str, list[str]] = {}
        for part in form.items[2:]:
            if isinstance(part, str) or not part.name:
                shown = part if isinstance(part, str) else "a list"
                self.add_fault(form.line, f"title {name} has {shown} outside of a field")
                return None
            self._read_field(part, name, field_values)
        return self.build_title(form, name, field_values)

    def _read_field(self, form: Form, title_name: str, field_values: dict[str, list[str]]) -> None:
        """Reads one field of a title into `field_values`."""
        if form.name not in TITLE_FIELDS:
            guess = get_close_matches(form.name, TITLE_FIELDS, 1)
            self.add_fault(
                form.line,
                f"title {title_name} has no field {form.name}",
                f"write {guess[0] if guess else ' or '.join(TITLE_FIELDS)}",
            )
            return
        if form.name in field_values:
            self.add_fault(form.line, f"title {title_name} has {form.name} twice", "merge them")
        values = [value for value in form.items[1:] if isinstance(value, str)]
        if len(values) != len(form.items) - 1 or not values:
            self.add_fault(
                form.line, f"({form.name} …) of title {title_name} takes plain values, at least one"
            )
        field_values[form.name] = values

    def build_title(
        self, form: Form, title_name: str, field_values: Mapping[str, list[str]]
    ) -> tuple[str, CatalogueTitle]:
        """Builds a title from the values of its fields and records what is wrong with them."""
        holders = field_values.get("holders", [])
        rates = [self._parse_rate(form, title_name, text) for text in field_values.get("renditions", [])]
        home = self._parse_integer(form, title_name, "home", field_values.get("home", ["-1"]))
        copies = self._parse_integer(form, title_name, "copies", field_values.get("copies", ["0"]))
        if holders and ("home" in field_values or "copies" in field_values):
            self.add_fault(form.line, f"title {title_name} has both holders and cells", "keep one of them")
        if ("home" in field_values) != ("copies" in field_values):
            self.add_fault(
                form.line, f"title {title_name} has home or copies alone", "write both, or (holders …)"
            )
        if len(set(holders)) != len(holders):
            self.add_fault(form.line, f"title {title_name} lists a holder twice", "remove one")
        if any(lower >= higher for lower, higher in pairwise(rates)):
            self.add_fault(
                form.line,
                f"the renditions of title {title_name} are not in ascending order",
                "write the lowest rate first, each rate once",
            )
        return title_name, CatalogueTitle(tuple(holders), home, copies, tuple(rates))

    def _parse_integer(self, form: Form, title_name: str, field_name: str, values: list[str]) -> int:
        if len(values) == 1 and re.fullmatch(r"-1|\d{1,6}", values[0]):
            return int(values[0])
        self.add_fault(
            form.line, f"{field_name} of title {title_name} must be one whole number, not {' '.join(values)}"
        )
        return 0

    def _parse_rate(self, form: Form, title_name: str, text: str) -> float:
        if text in self.rate_cache:
            return self.rate_cache[text]
        match = NUMBER_WITH_UNIT.match(text)
        unit = (match[2] or "") if match else ""
        if match is None or unit not in RATE_UNITS or float(match[1]) <= 0:
            fix = (
                f"write {match[1]}kB/s, if that was meant"
                if match and not unit
                else f"write a rate such as 400kB/s; units: {', '.join(RATE_UNITS)}"
            )
            self.add_fault(
                form.line, f"{text} is not a valid rate for a rendition of title {title_name}", fix
            )
            return 0.0
        self.rate_cache[text] = rate = float(match[1]) * RATE_UNITS[unit]
        return rate


def read_formatted(text: str) -> CatalogueContent | None:
    """Reads a catalogue in the layout of `format_catalogue`, much faster than the general parser.

    Returns None for any other text and for one with errors.
    """
    lines = text.split("\n")
    if len(lines) < FORMATTED_FRAME_LINES or lines[0] != "(catalogue" or lines[-2:] != [")", ""]:
        return None
    if lines[1] not in ("  (others yes)", "  (others no)"):
        return None
    reader = TitleReader()
    titles = dict[str, CatalogueTitle]()
    for line_number, line in enumerate(lines[2:-2], 3):
        match = FORMATTED_TITLE_LINE.fullmatch(line)
        if match is None or match[1] in titles or not _is_valid_name(match[1]):
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
    catalogue_form = _parse_catalogue_form(text)
    for form in catalogue_form.items[1:]:
        if isinstance(form, str):
            message = f"unexpected {form} in (catalogue …)"
            reader.add_fault(catalogue_form.line, message, "write (title …) or (others yes)")
        elif form.name == "others":
            if form.items[1:] not in (["yes"], ["no"]):
                reader.add_fault(form.line, "(others …) must be yes or no")
            content.others = form.items[1:] == ["yes"]
        elif form.name == "title":
            if (title_entry := reader.read_title(form)) is not None:
                name, title = title_entry
                if name in content.titles:
                    message = f"title {name} is listed twice; first at line {first_lines[name]}"
                    reader.add_fault(form.line, message, "remove one")
                content.titles[name] = title
                first_lines[name] = form.line
        else:
            message = f"there is no form {form.name or 'without a name'} here"
            reader.add_fault(form.line, message, "write (title …) or (others yes)")
    _raise_faults(reader, content)
    return content


def _parse_catalogue_form(text: str) -> Form:
    """Parses a text that holds one (catalogue …) form. Raises CatalogueError for any other text."""
    forms = parse_forms(text)
    if len(forms) != 1 or forms[0].name != "catalogue":
        line = forms[1].line if len(forms) > 1 else forms[0].line if forms else 1
        message = "a catalogue is one form, (catalogue …)"
        raise CatalogueError([Fault(line, message, "put all titles into one (catalogue …)")])
    return forms[0]


def _raise_faults(reader: TitleReader, content: CatalogueContent) -> None:
    """Raises CatalogueError if errors were recorded or the catalogue has too many titles."""
    if len(content.titles) > MAX_TITLES:
        reader.add_fault(
            1, f"the catalogue has {len(content.titles)} titles, more than the limit of {MAX_TITLES}"
        )
    if reader.faults:
        raise CatalogueError(reader.faults)


def apply_change(text: str, catalogue: CatalogueContent) -> CatalogueContent:
    """Returns a copy of a catalogue with a change applied. Raises CatalogueError with all errors found."""
    reader = TitleReader()
    changed = CatalogueContent(dict(catalogue.titles), catalogue.others)
    for form in parse_forms(text):
        if form.name == "put":
            for part in form.items[1:]:
                if isinstance(part, str) or part.name != "title":
                    reader.add_fault(form.line, "(put …) takes only (title …) forms")
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
                f"there is no change form {form.name or 'without a name'}",
                "write (put (title …)) or (drop NAME)",
            )
    _raise_faults(reader, changed)
    return changed


def _is_valid_name(name: str) -> bool:
    """Whether a name can be a title, which is one segment of a path."""
    return bool(name) and len(name) <= MAX_TITLE_LENGTH and "/" not in name and name.isprintable()


def _format_name(text: str) -> str:
    """Formats a name, in quotes if it needs them."""
    return text if SYMBOL.fullmatch(text) else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def _format_title_parts(name: str, title: CatalogueTitle) -> Iterator[str]:
    yield f"(title {_format_name(name)}"
    if title.holders:
        yield f"(holders {' '.join(_format_name(holder) for holder in title.holders)})"
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
