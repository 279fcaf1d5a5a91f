"""The parser: from text to forms with source locations, comments included. It bounds the text's size and nesting."""

from __future__ import annotations

import re
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lark import Lark, Token, Transformer, UnexpectedInput

from oakcroft.config.diagnostics import SourceLocation, Diagnostics

MAX_TEXT_LENGTH = 8_000_000
MAX_NESTING_DEPTH = 64
ESCAPES = {"n": "\n", "\\": "\\", '"': '"'}
NESTING_TOKEN = re.compile(r'"(?:\\.|[^"\\\n])*"?|;[^\n]*|[()]')
"""A string, which ends on its line at the latest, a comment, or a parenthesis."""


@dataclass(frozen=True)
class Atom:
    """A symbol, a number, a $parameter or a string (`is_quoted`). `source_text` is the atom as it was written."""

    text: str
    location: SourceLocation
    is_quoted: bool
    source_text: str


@dataclass(frozen=True)
class Comment:
    """A comment, from ; to the end of the line."""

    source_text: str
    location: SourceLocation


@dataclass(frozen=True)
class Form:
    """A list. `children` includes comments, `items` doesn't.

    `end_line` is the line of the closing parenthesis. `use_locations` holds the location of each (use …) that the form
    was expanded from, if any.
    """

    children: tuple[Form | Atom | Comment, ...]
    location: SourceLocation
    end_line: int
    use_locations: tuple[SourceLocation, ...] = ()

    @property
    def items(self) -> tuple[Form | Atom, ...]:
        """The children without comments."""
        return tuple(child for child in self.children if not isinstance(child, Comment))

    @property
    def name(self) -> str:
        """The symbol that the list begins with, "" if it begins with something else."""
        head = next((child for child in self.children if not isinstance(child, Comment)), None)
        return head.text if isinstance(head, Atom) and not head.is_quoted else ""


SyntaxNode = Form | Atom | Comment


class _FormBuilder(Transformer[Token, list[SyntaxNode]]):
    """Builds forms while lark parses. Its methods are named after the rules of grammar.lark."""

    file_name = ""

    def _location(self, token: Token, length: int) -> SourceLocation:
        return SourceLocation(self.file_name, token.line or 1, token.column or 1, length)

    def start(self, parts: list[SyntaxNode]) -> list[SyntaxNode]:
        """Returns the parts of the whole text."""
        return parts

    def form(self, parts: Sequence[Token | SyntaxNode]) -> Form:
        """Builds a list. Its location spans the opening parenthesis and the first atom."""
        opening, *content, closing = parts
        assert isinstance(opening, Token)
        assert isinstance(closing, Token)
        head = content[0] if content else None
        length = 1 + len(head.source_text) if isinstance(head, Atom) else 1
        children = tuple(part for part in content if not isinstance(part, Token))
        return Form(children, self._location(opening, length), closing.line or 1)

    def text(self, parts: list[Token]) -> Atom:
        """Builds a string and replaces its escape sequences."""
        source_text = str(parts[0])
        content = source_text[1:-1]
        characters = []
        position = 0
        while position < len(content):
            if content[position] == "\\":
                position += 1
                characters.append(ESCAPES[content[position]])
            else:
                characters.append(content[position])
            position += 1
        return Atom("".join(characters), self._location(parts[0], len(source_text)), True, source_text)

    def atom(self, parts: list[Token]) -> Atom:
        """Builds a symbol, number or parameter."""
        source_text = str(parts[0])
        return Atom(source_text, self._location(parts[0], len(source_text)), False, source_text)

    def comment(self, parts: list[Token]) -> Comment:
        """Builds a comment without trailing white space."""
        source_text = str(parts[0]).rstrip()
        return Comment(source_text, self._location(parts[0], len(source_text)))


@cache
def _lexer() -> Lark:
    return Lark((Path(__file__).parent / "grammar.lark").read_text(), parser="lalr")


THREAD_LOCAL = threading.local()


def _thread_parser() -> tuple[Lark, _FormBuilder]:
    """Returns this thread's parser and its builder. The builder holds the file name, so threads cannot share it."""
    if not hasattr(THREAD_LOCAL, "parser_and_builder"):
        builder = _FormBuilder()
        THREAD_LOCAL.parser_and_builder = (
            Lark((Path(__file__).parent / "grammar.lark").read_text(), parser="lalr", transformer=builder),
            builder,
        )
    parser_and_builder: tuple[Lark, _FormBuilder] = THREAD_LOCAL.parser_and_builder
    return parser_and_builder


def parse_text(text: str, file_name: str, diagnostics: Diagnostics) -> list[SyntaxNode]:
    """Parses a text. Records an error and returns no parts if it is too large, nested too deeply or malformed."""
    diagnostics.source_lines[file_name] = text.split("\n")
    if len(text) > MAX_TEXT_LENGTH:
        diagnostics.is_incomplete = True
        diagnostics.error(
            SourceLocation(file_name, 1, 1),
            f"the file is larger than {MAX_TEXT_LENGTH // 1_000_000} MB",
            "split it with (include …)",
        )
        return []
    if (excess := _find_excess_nesting(text)) is not None:
        diagnostics.is_incomplete = True
        diagnostics.error(
            SourceLocation(file_name, excess[0], excess[1]),
            f"lists are nested more than {MAX_NESTING_DEPTH} levels deep",
            "reduce the nesting",
        )
        return []
    parser, builder = _thread_parser()
    builder.file_name = file_name
    try:
        parts = parser.parse(text)
    except UnexpectedInput as error:
        diagnostics.is_incomplete = True
        _report_syntax_error(text, file_name, error, diagnostics)
        return []
    assert isinstance(parts, list)
    return parts


def _find_excess_nesting(text: str) -> tuple[int, int] | None:
    """Returns line and column of the list that exceeds the nesting bound, None if there is none.

    It scans without recursion, so that no text can exhaust the stack.
    """
    depth = 0
    for token in NESTING_TOKEN.finditer(text):
        if token[0] == "(":
            depth += 1
            if depth > MAX_NESTING_DEPTH:
                return _line_and_column(text, token.start())
        elif token[0] == ")":
            depth -= 1
    return None


def _line_and_column(text: str, position: int) -> tuple[int, int]:
    """Returns line and column of a position in a text, both counted from 1."""
    return text.count("\n", 0, position) + 1, position - text.rfind("\n", 0, position)


def _report_syntax_error(text: str, file_name: str, error: UnexpectedInput, diagnostics: Diagnostics) -> None:
    """Records an error for a text that cannot be parsed, as specific as the parser's error allows."""
    token_type = getattr(getattr(error, "token", None), "type", "")
    lines = text.split("\n")
    if token_type == "$END":
        unclosed = _find_unclosed_list(text)
        if unclosed is not None:
            location = SourceLocation(file_name, *unclosed)
            diagnostics.error(location, "this list is not closed", "add the missing )")
            return
    line = max(1, error.line)
    column = max(1, error.column)
    rest = lines[line - 1][column - 1 :] if line <= len(lines) else ""
    if token_type == "RPAR":
        diagnostics.error(
            SourceLocation(file_name, line, column),
            "unmatched )",
            "remove it, or add the missing (",
        )
    elif rest.startswith('"'):
        diagnostics.error(
            SourceLocation(file_name, line, column, max(1, len(rest.rstrip()))),
            "unterminated string or invalid escape sequence",
            'close it with "; inside it, write \\" for ", \\\\ for \\ and \\n for a newline',
        )
    else:
        diagnostics.error(SourceLocation(file_name, line, column), "unexpected input")


def _find_unclosed_list(text: str) -> tuple[int, int] | None:
    """Returns line and column of a list that is never closed, None if there is none.

    This is the innermost open list at the end of the text, or at the first line that begins with a list in column 1
    while lists are open, since the missing parenthesis is then most likely before that line.
    """
    open_lists: list[tuple[int, int]] = []
    for token in _lexer().lex(text):
        if token.type == "LPAR":
            if token.column == 1 and open_lists:
                return open_lists[-1]
            open_lists.append((token.line or 1, token.column or 1))
        elif token.type == "RPAR" and open_lists:
            open_lists.pop()
    return open_lists[-1] if open_lists else None


def without_comments(parts: list[SyntaxNode]) -> list[Form | Atom]:
    """Returns the parts without comments."""
    return [part for part in parts if not isinstance(part, Comment)]
