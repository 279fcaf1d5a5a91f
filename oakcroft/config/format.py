"""The formatter: one canonical layout. It keeps comments and semantics, and formatting twice changes nothing."""

from __future__ import annotations

from oakcroft.config.diagnostics import Diagnostics, InvalidConfigurationError
from oakcroft.config.syntax import Atom, Comment, Form, SyntaxNode, parse_text

MAX_LINE_WIDTH, INDENT = 100, "  "


def format_text(text: str, file_name: str) -> str:
    """Formats a configuration text. Raises InvalidConfigurationError if it has syntax errors."""
    problems = Diagnostics()
    parts = parse_text(text, file_name, problems)
    if problems.items:
        raise InvalidConfigurationError(problems)
    out: list[str] = []
    last = 0
    for part in parts:
        begin = part.location.line
        if isinstance(part, Comment) and out and begin == last:
            out[-1] += "  " + part.source_text
            continue
        if out and begin > last + 1:
            out.append("")
        out += _format_lines(part, 0)
        last = part.end_line if isinstance(part, Form) else begin
    return "\n".join(out) + "\n" if out else ""


def format_on_one_line(part: SyntaxNode) -> str | None:
    """Formats a part on one line. Returns None if it contains a comment, which would end the line."""
    if isinstance(part, Comment):
        return None
    if isinstance(part, Atom):
        return part.source_text
    inside = [format_on_one_line(p) for p in part.children]
    if any(i is None for i in inside):
        return None
    return "(" + " ".join(i for i in inside if i is not None) + ")"


def _format_lines(part: SyntaxNode, depth: int) -> list[str]:
    margin = INDENT * depth
    if not isinstance(part, Form):
        return [margin + part.source_text]
    whole = format_on_one_line(part)
    if (
        whole is not None
        and len(margin) + len(whole) <= MAX_LINE_WIDTH
        and not _has_blank_line_before_part(part)
    ):
        return [margin + whole]
    return _format_on_several_lines(part, depth)


def _leading_atom_count(form: Form) -> int:
    """Returns the number of atoms that a list begins with."""
    return next((i for i, p in enumerate(form.children) if not isinstance(p, Atom)), len(form.children))


def _has_blank_line_before_part(form: Form) -> bool:
    """Whether a list stays on several lines although it would fit on one, because its author has put an empty line
    before one of its parts."""
    first = _leading_atom_count(form)
    last = form.children[first].location.line if first < len(form.children) else 0
    for i, part in enumerate(form.children[first:]):
        if i and not isinstance(part, Atom) and part.location.line > last + 1:
            return True
        last = part.end_line if isinstance(part, Form) else part.location.line
    return False


def _format_on_several_lines(form: Form, depth: int) -> list[str]:
    """Formats a list on several lines.

    The atoms that it begins with fill the first lines up to the maximum width; every other part starts a new line.
    """
    margin, first = INDENT * depth, _leading_atom_count(form)
    out, filling = [margin + "("], True
    last = form.location.line
    for i, part in enumerate(form.children):
        begin = part.location.line
        if isinstance(part, Atom):
            line = out[-1] + ("" if out[-1].endswith("(") and i == 0 else " ") + part.source_text
            if filling and (i == 0 or len(line) <= MAX_LINE_WIDTH):
                out[-1] = line
            else:
                out.append(margin + INDENT + part.source_text)
            filling, last = True, begin
            continue
        if isinstance(part, Comment) and begin == last and i:
            out[-1] += "  " + part.source_text
        else:
            if begin > last + 1 and i > first:
                out.append("")
            out += _format_lines(part, depth + 1)
        last, filling = part.end_line if isinstance(part, Form) else begin, False
    if form.children and isinstance(form.children[-1], Comment):
        out.append(margin + ")")
    else:
        out[-1] += ")"
    return out
