"""What is wrong with a configuration: places, messages, fixes, and how they are shown."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


class Grade(Enum):
    """How bad a problem is: an error refuses the whole version, a warning does not."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, order=True)
class Place:
    """Where something stands: file, line and column, both from 1, and how many characters it takes there."""

    file: str
    line: int
    column: int
    length: int = 1

    def __str__(self) -> str:
        """As editors and terminals know to follow it."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Problem:
    """One problem: what was found, what was wanted, and what to write instead where that can be told."""

    grade: Grade
    place: Place
    what: str
    fix: str = ""
    also: tuple[str, ...] = ()


@dataclass
class Problems:
    """All problems of one check, with the texts that they stand in."""

    texts: dict[str, list[str]] = field(default_factory=dict)
    found: list[Problem] = field(default_factory=list)
    most: int = 1000
    unread: bool = False  # a part could not be read, so that nothing can be said of what is missing

    def error(self, place: Place, what: str, fix: str = "", also: Iterable[str] = ()) -> None:
        """Notes an error."""
        self._note(Problem(Grade.ERROR, place, what, fix, tuple(also)))

    def warn(self, place: Place, what: str, fix: str = "", also: Iterable[str] = ()) -> None:
        """Notes a warning."""
        self._note(Problem(Grade.WARNING, place, what, fix, tuple(also)))

    def _note(self, problem: Problem) -> None:
        if len(self.found) < self.most and problem not in self.found[-64:]:
            self.found.append(problem)

    @property
    def errors(self) -> list[Problem]:
        """The errors alone."""
        return [p for p in self.found if p.grade is Grade.ERROR]

    def sorted(self) -> list[Problem]:
        """All, by file, line and column."""
        return sorted(self.found, key=lambda p: (p.place, p.grade.value, p.what))

    def show(self, problem: Problem) -> str:
        """A problem with its line of text underlined."""
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
        """A problem for tools."""
        p = problem.place
        return {
            "grade": problem.grade.value, "file": p.file, "line": p.line, "column": p.column, "length": p.length,
            "what": problem.what, "fix": problem.fix, "also": list(problem.also),
        }  # fmt: skip


class Unsound(Exception):
    """A configuration that did not pass its check."""

    def __init__(self, problems: Problems) -> None:
        """Its text has the errors; `problems` the warnings as well."""
        super().__init__("\n".join(problems.show(p) for p in problems.sorted() if p.grade is Grade.ERROR))
        self.problems = problems


def near(word: str, known: Iterable[str]) -> str:
    """A known word that is meant perhaps, "" where none is close."""
    found = difflib.get_close_matches(word, sorted(known), 1, 0.7)
    return found[0] if found else ""


def or_list(words: Iterable[str], most: int = 12) -> str:
    """Words as one says a choice, cut short where they are many."""
    some = sorted(words)
    if len(some) > most:
        return ", ".join(some[:most]) + f" and {len(some) - most} more"
    return " or ".join([", ".join(some[:-1]), some[-1]] if len(some) > 1 else some)
