"""Diagnostics of a configuration: locations, messages and suggested fixes, and their text and JSON forms."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

DUPLICATE_WINDOW = 64
"""A diagnostic that is equal to one of this many last ones is dropped."""

MIN_SIMILARITY = 0.7
"""From this similarity on, 1 for equal words, a known word is suggested."""


class Severity(Enum):
    """Severity of a diagnostic. An error rejects the whole configuration, a warning doesn't."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, order=True)
class SourceLocation:
    """A location in a source file: line and column, both counted from 1, and a length in characters."""

    file: str
    line: int
    column: int
    length: int = 1

    def __str__(self) -> str:
        """Returns `file:line:column`, which editors and terminals recognize as a link."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Diagnostic:
    """An error or warning: the message, the suggested fix ("" if none is known), and further notes."""

    severity: Severity
    location: SourceLocation
    message: str
    fix: str = ""
    notes: tuple[str, ...] = ()


@dataclass
class Diagnostics:
    """The diagnostics of one check, with the lines of the files they refer to.

    At most `max_items` are kept. `is_incomplete` is set once a file could not be read or parsed; missing forms are
    then not reported, since they may be in it.
    """

    source_lines: dict[str, list[str]] = field(default_factory=dict)
    items: list[Diagnostic] = field(default_factory=list)
    max_items: int = 1000
    is_incomplete: bool = False

    def error(self, location: SourceLocation, message: str, fix: str = "", notes: Iterable[str] = ()) -> None:
        """Records an error."""
        self._add(Diagnostic(Severity.ERROR, location, message, fix, tuple(notes)))

    def warn(self, location: SourceLocation, message: str, fix: str = "", notes: Iterable[str] = ()) -> None:
        """Records a warning."""
        self._add(Diagnostic(Severity.WARNING, location, message, fix, tuple(notes)))

    def _add(self, diagnostic: Diagnostic) -> None:
        if len(self.items) < self.max_items and diagnostic not in self.items[-DUPLICATE_WINDOW:]:
            self.items.append(diagnostic)

    @property
    def errors(self) -> list[Diagnostic]:
        """The errors, without the warnings."""
        return [item for item in self.items if item.severity is Severity.ERROR]

    def sorted(self) -> list[Diagnostic]:
        """Returns all diagnostics in the order of their locations."""
        return sorted(self.items, key=lambda item: (item.location, item.severity.value, item.message))

    def format(self, diagnostic: Diagnostic) -> str:
        """Formats a diagnostic for people, with the source line and the location underlined."""
        location = diagnostic.location
        output = [f"{location}: {diagnostic.severity.value}: {diagnostic.message}"]
        lines = self.source_lines.get(location.file, [])
        if 0 < location.line <= len(lines):
            line = lines[location.line - 1]
            underline = "^" * max(1, min(location.length, len(line) - location.column + 1))
            output += ["  " + line.replace("\t", " "), "  " + " " * (location.column - 1) + underline]
        output += [f"  {note}" for note in diagnostic.notes]
        if diagnostic.fix:
            output.append(f"  fix: {diagnostic.fix}")
        return "\n".join(output)

    def to_dict(self, diagnostic: Diagnostic) -> dict[str, object]:
        """Returns a diagnostic as a JSON object for tools."""
        location = diagnostic.location
        return {
            "grade": diagnostic.severity.value,
            "file": location.file,
            "line": location.line,
            "column": location.column,
            "length": location.length,
            "what": diagnostic.message,
            "fix": diagnostic.fix,
            "also": list(diagnostic.notes),
        }


class InvalidConfigurationError(Exception):
    """Raised for a configuration that has errors."""

    def __init__(self, diagnostics: Diagnostics) -> None:
        """The exception's text holds the errors only; `diagnostics` holds the warnings as well."""
        super().__init__(
            "\n".join(
                diagnostics.format(item) for item in diagnostics.sorted() if item.severity is Severity.ERROR
            )
        )
        self.diagnostics = diagnostics


def closest_match(word: str, known: Iterable[str]) -> str:
    """Returns the known word that is most similar to `word`, "" if none is close enough to suggest."""
    matches = difflib.get_close_matches(word, sorted(known), 1, MIN_SIMILARITY)
    return matches[0] if matches else ""


def join_alternatives(words: Iterable[str], max_words: int = 12) -> str:
    """Joins words to a phrase like "a, b or c". Of more than `max_words` only the first ones are listed."""
    ordered = sorted(words)
    if len(ordered) > max_words:
        return ", ".join(ordered[:max_words]) + f" and {len(ordered) - max_words} more"
    return " or ".join([", ".join(ordered[:-1]), ordered[-1]] if len(ordered) > 1 else ordered)
