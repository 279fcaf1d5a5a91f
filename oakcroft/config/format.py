"""The formatter: one canonical layout. It keeps comments and semantics, and formatting twice changes nothing."""

from __future__ import annotations

from oakcroft.config.diagnostics import Diagnostics, InvalidConfigurationError
from oakcroft.config.syntax import Atom, Comment, Form, SyntaxNode, parse_text

MAX_LINE_WIDTH = 100
INDENT = "  "


def format_text(text: str, file_name: str) -> str:
    """Formats a configuration text. Raises InvalidConfigurationError if it has syntax errors."""
    diagnostics = Diagnostics()
    parts = parse_text(text, file_name, diagnostics)
    if diagnostics.items:
        raise InvalidConfigurationError(diagnostics)
    lines: list[str] = []
    previous_line = 0
    for part in parts:
        line = part.location.line
        if isinstance(part, Comment) and lines and line == previous_line:
            lines[-1] += "  " + part.source_text
            continue
        if lines and line > previous_line + 1:
            lines.append("")
        lines += _format_lines(part, 0)
        previous_line = part.end_line if isinstance(part, Form) else line
    return "\n".join(lines) + "\n" if lines else ""


def format_on_one_line(part: SyntaxNode) -> str | None:
    """Formats a part on one line. Returns None if it contains a comment, which would end the line."""
    if isinstance(part, Comment):
        return None
    if isinstance(part, Atom):
        return part.source_text
    formatted = [format_on_one_line(child) for child in part.children]
    if any(text is None for text in formatted):
        return None
    return "(" + " ".join(text for text in formatted if text is not None) + ")"


def _format_lines(part: SyntaxNode, depth: int) -> list[str]:
    margin = INDENT * depth
    if not isinstance(part, Form):
        return [margin + part.source_text]
    one_line = format_on_one_line(part)
    if (
        one_line is not None
        and len(margin) + len(one_line) <= MAX_LINE_WIDTH
        and not _has_blank_line_before_part(part)
    ):
        return [margin + one_line]
    return _format_on_several_lines(part, depth)


def _leading_atom_count(form: Form) -> int:
    """Returns the number of atoms that a list begins with."""
    return next(
        (index for index, child in enumerate(form.children) if not isinstance(child, Atom)),
        len(form.children),
    )


def _has_blank_line_before_part(form: Form) -> bool:
    """Whether a list stays on several lines although it would fit on one, because its author has put an empty line
    before one of its parts."""
    first = _leading_atom_count(form)
    previous_line = form.children[first].location.line if first < len(form.children) else 0
    for index, part in enumerate(form.children[first:]):
        if index and not isinstance(part, Atom) and part.location.line > previous_line + 1:
            return True
        previous_line = part.end_line if isinstance(part, Form) else part.location.line
    return False


def _format_on_several_lines(form: Form, depth: int) -> list[str]:
    """Formats a list on several lines.

    The atoms that it begins with fill the first lines up to the maximum width; every other part starts a new line.
    """
    margin = INDENT * depth
    first = _leading_atom_count(form)
    lines = [margin + "("]
    is_filling = True
    previous_line = form.location.line
    for index, part in enumerate(form.children):
        part_line = part.location.line
        if isinstance(part, Atom):
            line = lines[-1] + ("" if lines[-1].endswith("(") and index == 0 else " ") + part.source_text
            if is_filling and (index == 0 or len(line) <= MAX_LINE_WIDTH):
                lines[-1] = line
            else:
                lines.append(margin + INDENT + part.source_text)
            is_filling = True
            previous_line = part_line
            continue
        if isinstance(part, Comment) and part_line == previous_line and index:
            lines[-1] += "  " + part.source_text
        else:
            if part_line > previous_line + 1 and index > first:
                lines.append("")
            lines += _format_lines(part, depth + 1)
        previous_line = part.end_line if isinstance(part, Form) else part_line
        is_filling = False
    if form.children and isinstance(form.children[-1], Comment):
        lines.append(margin + ")")
    else:
        lines[-1] += ")"
    return lines
