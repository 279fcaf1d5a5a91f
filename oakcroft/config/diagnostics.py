"""Diagnostics of a configuration: locations, messages and suggested fixes, and their text and JSON forms."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


class Grade(Enum):
    """Severity of a diagnostic. An error rejects the whole configuration, a warning doesn't."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, order=True)
class Place:
    """A location in a source file: line and column, both counted from 1, and a length in characters."""

    file: str
    line: int
    column: int
    length: int = 1

    def __str__(self) -> str:
        """Returns `file:line:column`, which editors and terminals recognize as a link."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Problem:
    """An error or warning: the message, the suggested fix ("" if none is known), and further notes."""

    grade: Grade
    place: Place
    what: str
    fix: str = ""
    also: tuple[str, ...] = ()


@dataclass
class Problems:
    """The diagnostics of one check, with the lines of the files they refer to.

    At most `max_items` are kept. `is_incomplete` is set once a file could not be read or parsed; missing forms are
    then not reported, since they may be in it.
    """

    texts: dict[str, list[str]] = field(default_factory=dict)
    found: list[Problem] = field(default_factory=list)
    most: int = 1000
    unread: bool = False

    def error(self, place: Place, what: str, fix: str = "", also: Iterable[str] = ()) -> None:
        """Records an error."""
        self._note(Problem(Grade.ERROR, place, what, fix, tuple(also)))

    def warn(self, place: Place, what: str, fix: str = "", also: Iterable[str] = ()) -> None:
        """Records a warning."""
        self._note(Problem(Grade.WARNING, place, what, fix, tuple(also)))

    def _note(self, problem: Problem) -> None:
        if len(self.found) < self.most and problem not in self.found[-64:]:
            self.found.append(problem)

    @property
    def errors(self) -> list[Problem]:
        """The errors, without the warnings."""
        return [p for p in self.found if p.grade is Grade.ERROR]

    def sorted(self) -> list[Problem]:
        """Returns all diagnostics in the order of their locations."""
        return sorted(self.found, key=lambda p: (p.place, p.grade.value, p.what))

    def show(self, problem: Problem) -> str:
        """Formats a diagnostic for people, with the source line and the location underlined."""
        place = problem.place
        out = [f"{place}: {problem.grade.value}: {problem.what}"]
        lines = self.texts.get(place.file, [])
        if 0 < place.line <= len(lines):
            line = lines[place.line - 1]
            mark = "^" * max(1, min(place.length, len(line) - place.column + 1))
            out += ["  " + line.replace("\t", " "), "  " + " " * (place.column - 1) + mark]
        out += [f"  {note}" for note in problem.also]
        if problem.fix:
            out.append(f"  fix: {problem.fix}")
        return "\n".join(out)

    def plain(self, problem: Problem) -> dict[str, object]:
        """Returns a diagnostic as a JSON object for tools."""
        p = problem.place
        return {
            "grade": problem.grade.value, "file": p.file, "line": p.line, "column": p.column, "length": p.length,
            "what": problem.what, "fix": problem.fix, "also": list(problem.also),
        }  # fmt: skip


class Unsound(Exception):
    """Raised for a configuration that has errors."""

    def __init__(self, problems: Problems) -> None:
        """The exception's text holds the errors only; `diagnostics` holds the warnings as well."""
        super().__init__("\n".join(problems.show(p) for p in problems.sorted() if p.grade is Grade.ERROR))
        self.problems = problems


def near(word: str, known: Iterable[str]) -> str:
    """Returns the known word that is most similar to `word`, "" if none is close enough to suggest."""
    found = difflib.get_close_matches(word, sorted(known), 1, 0.7)
    return found[0] if found else ""


def or_list(words: Iterable[str], most: int = 12) -> str:
    """Joins words to a phrase like "a, b or c". Of more than `max_words` only the first ones are listed."""
    some = sorted(words)
    if len(some) > most:
        return ", ".join(some[:most]) + f" and {len(some) - most} more"
    return " or ".join([", ".join(some[:-1]), some[-1]] if len(some) > 1 else some)
