"""The parser: from text to forms with source locations, comments included. It bounds the text's size and nesting."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedInput

from oakcroft.config.diagnostics import Place, Problems

MOST_BYTES, MOST_DEPTH = 8_000_000, 64
ESCAPES = {"n": "\n", "\\": "\\", '"': '"'}


@dataclass(frozen=True)
class Atom:
    """A symbol, a number, a $parameter or a string (`is_quoted`). `source_text` is the atom as it was written."""

    text: str
    place: Place
    quoted: bool
    raw: str


@dataclass(frozen=True)
class Comment:
    """A comment, from ; to the end of the line."""

    raw: str
    place: Place


@dataclass(frozen=True)
class Form:
    """A list. `children` includes comments, `items` doesn't.

    `end_line` is the line of the closing parenthesis. `use_locations` holds the location of each (use …) that the form
    was expanded from, if any.
    """

    parts: tuple[Form | Atom | Comment, ...]
    place: Place
    end: int
    used: tuple[Place, ...] = ()

    @property
    def items(self) -> tuple[Form | Atom, ...]:
        """The children without comments."""
        return tuple(p for p in self.parts if not isinstance(p, Comment))

    @property
    def name(self) -> str:
        """The symbol that the list begins with, "" if it begins with something else."""
        head = next((p for p in self.parts if not isinstance(p, Comment)), None)
        return head.text if isinstance(head, Atom) and not head.quoted else ""


Part = Form | Atom | Comment


class _Build(Transformer[Token, list[Part]]):
    """Builds forms while lark parses. Its methods are named after the rules of grammar.lark."""

    file = ""

    def _place(self, token: Token, length: int) -> Place:
        return Place(self.file, token.line or 1, token.column or 1, length)

    def start(self, parts: list[Part]) -> list[Part]:
        return parts

    def form(self, parts: Sequence[Token | Part]) -> Form:
        opening, *inside, closing = parts
        assert isinstance(opening, Token)
        assert isinstance(closing, Token)
        head = inside[0] if inside else None
        length = 1 + len(head.raw) if isinstance(head, Atom) else 1
        held = tuple(p for p in inside if not isinstance(p, Token))
        return Form(held, self._place(opening, length), closing.line or 1)

    def text(self, parts: list[Token]) -> Atom:
        raw = str(parts[0])
        inner, out, at = raw[1:-1], [], 0
        while at < len(inner):
            if inner[at] == "\\":
                at += 1
                out.append(ESCAPES[inner[at]])
            else:
                out.append(inner[at])
            at += 1
        return Atom("".join(out), self._place(parts[0], len(raw)), True, raw)

    def atom(self, parts: list[Token]) -> Atom:
        raw = str(parts[0])
        return Atom(raw, self._place(parts[0], len(raw)), False, raw)

    def comment(self, parts: list[Token]) -> Comment:
        raw = str(parts[0]).rstrip()
        return Comment(raw, self._place(parts[0], len(raw)))


@cache
def _lexing() -> Lark:
    return Lark((Path(__file__).parent / "grammar.lark").read_text(), parser="lalr")


LOCAL = threading.local()


def _building() -> tuple[Lark, _Build]:
    """Returns this thread's parser and its builder. The builder holds the file name, so threads cannot share it."""
    if not hasattr(LOCAL, "pair"):
        build = _Build()
        LOCAL.pair = (
            Lark((Path(__file__).parent / "grammar.lark").read_text(), parser="lalr", transformer=build),
            build,
        )
    pair: tuple[Lark, _Build] = LOCAL.pair
    return pair


def read(text: str, file: str, problems: Problems) -> list[Part]:
    """Parses a text. Records an error and returns no parts if it is too large, nested too deeply or malformed."""
    problems.texts[file] = text.split("\n")
    if len(text) > MOST_BYTES:
        problems.unread = True
        problems.error(
            Place(file, 1, 1), f"the file is over {MOST_BYTES // 1_000_000} MB", "split it with (include …)"
        )
        return []
    if (deep := _too_deep(text)) is not None:
        problems.unread = True
        problems.error(
            Place(file, deep[0], deep[1]), f"lists are nested over {MOST_DEPTH} deep here", "flatten them"
        )
        return []
    parser, build = _building()
    build.file = file
    try:
        parts = parser.parse(text)
    except UnexpectedInput as fault:
        problems.unread = True
        _explain(text, file, fault, problems)
        return []
    assert isinstance(parts, list)
    return parts


def _too_deep(text: str) -> tuple[int, int] | None:
    """Returns line and column of the list that exceeds the nesting bound, None if there is none.

    It scans without recursion, so that no text can exhaust the stack.
    """
    depth, quoted, comment, line, start = 0, False, False, 1, 0
    skip = False
    for at, letter in enumerate(text):
        if letter == "\n":
            line, start, comment, quoted = line + 1, at + 1, False, False
        elif comment:
            continue
        elif quoted:
            if skip:
                skip = False
            elif letter == "\\":
                skip = True
            elif letter == '"':
                quoted = False
        elif letter == '"':
            quoted, skip = True, False
        elif letter == ";":
            comment = True
        elif letter == "(":
            depth += 1
            if depth > MOST_DEPTH:
                return line, at - start + 1
        elif letter == ")":
            depth -= 1
    return None


def _explain(text: str, file: str, fault: UnexpectedInput, problems: Problems) -> None:
    """Records an error for a text that cannot be parsed, as specific as the parser's error allows."""
    kind = getattr(getattr(fault, "token", None), "type", "")
    lines = text.split("\n")
    if kind == "$END":
        opened = _open(text)
        if opened is not None:
            place = Place(file, *opened)
            problems.error(place, "this list is never closed", "add ) where it ends")
            return
    line, column = max(1, fault.line), max(1, fault.column)
    rest = lines[line - 1][column - 1 :] if line <= len(lines) else ""
    if kind == "RPAR":
        problems.error(
            Place(file, line, column), "this ) closes nothing", "take it out, or add the ( that it closes"
        )
    elif rest.startswith('"'):
        problems.error(
            Place(file, line, column, max(1, len(rest.rstrip()))), "this string does not end on its line",
            'end it with "; within it write \\" for ", \\\\ for \\ and \\n for a new line',
        )  # fmt: skip
    else:
        problems.error(Place(file, line, column), "this is out of place here")


def _open(text: str) -> tuple[int, int] | None:
    """Returns line and column of a list that is never closed, None if there is none.

    This is the innermost open list at the end of the text, or at the first line that begins with a list in column 1
    while lists are open, since the missing parenthesis is then most likely before that line.
    """
    stack: list[tuple[int, int]] = []
    for token in _lexing().lex(text):
        if token.type == "LPAR":
            if token.column == 1 and stack:
                return stack[-1]
            stack.append((token.line or 1, token.column or 1))
        elif token.type == "RPAR" and stack:
            stack.pop()
    return stack[-1] if stack else None


def without_comments(parts: list[Part]) -> list[Form | Atom]:
    """Returns the parts without comments."""
    return [p for p in parts if not isinstance(p, Comment)]
