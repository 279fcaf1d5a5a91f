"""The S-expression syntax of a catalogue text.

Catalogues have their own scanner, not that of the configuration language, since a catalogue has a hundred thousand
titles where a configuration has a few hundred forms.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

TOKEN_PATTERN = re.compile(
    r'\s+|;[^\n]*|(?P<open>\()|(?P<close>\))|"(?P<string>(?:[^"\\\n]|\\["\\])*)"|(?P<symbol>[^\s();"]+)'
)
ESCAPE_SEQUENCE = re.compile(r"\\(.)")
MAX_NESTING_DEPTH = 6
MAX_EXCERPT_LENGTH = 12
"""Characters that a message quotes from text that cannot be read."""


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
        """The exception's text is that of the first error."""
        super().__init__(faults[0].format() if faults else "invalid catalogue")
        self.faults = faults


@dataclass
class Form:
    """A list and the line that it begins on."""

    line: int
    items: list[str | Form] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The symbol or string that the list begins with, "" if there is none."""
        return self.items[0] if self.items and isinstance(self.items[0], str) else ""


def parse_forms(text: str) -> list[Form]:
    """Parses a text into forms. Raises CatalogueError at the first syntax error."""
    forms = list[Form]()
    open_forms = list[Form]()
    line = 1
    position = 0
    size = len(text)
    match = TOKEN_PATTERN.match
    while position < size:
        token = match(text, position)
        if token is None:
            excerpt = text[position : position + MAX_EXCERPT_LENGTH]
            raise _syntax_error(line, f"{excerpt!r} cannot be read", 'close a string with " on the same line')
        position = token.end()
        kind = token.lastgroup
        if kind == "symbol" or kind == "string":
            if not open_forms:
                raise _syntax_error(line, f"{token[0]} is outside every form", "write (catalogue …)")
            value = token[kind] if kind == "symbol" else ESCAPE_SEQUENCE.sub(r"\1", token[kind])
            open_forms[-1].items.append(value)
        elif kind == "open":
            form = Form(line)
            (open_forms[-1].items if open_forms else forms).append(form)
            open_forms.append(form)
            if len(open_forms) > MAX_NESTING_DEPTH:
                raise _syntax_error(line, "forms are nested more than six deep")
        elif kind == "close":
            if not open_forms:
                raise _syntax_error(line, "this ) closes a form that was never opened", "remove it")
            open_forms.pop()
        else:
            line += token[0].count("\n")
    if open_forms:
        raise _syntax_error(open_forms[-1].line, f"({open_forms[-1].name} …) is never closed", "add )")
    return forms


def _syntax_error(line: int, message: str, fix: str = "") -> CatalogueError:
    return CatalogueError([Fault(line, message, fix)])
