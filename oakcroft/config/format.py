"""The formatter: one canonical layout. It keeps comments and semantics, and formatting twice changes nothing."""

from __future__ import annotations

from oakcroft.config.diagnostics import Problems, Unsound
from oakcroft.config.syntax import Atom, Comment, Form, Part, read

WIDTH, INDENT = 100, "  "


def fmt(text: str, file: str) -> str:
    """Formats a configuration text. Raises InvalidConfigurationError if it has syntax errors."""
    problems = Problems()
    parts = read(text, file, problems)
    if problems.found:
        raise Unsound(problems)
    out: list[str] = []
    last = 0
    for part in parts:
        begin = part.place.line
        if isinstance(part, Comment) and out and begin == last:
            out[-1] += "  " + part.raw
            continue
        if out and begin > last + 1:
            out.append("")
        out += _lines(part, 0)
        last = part.end if isinstance(part, Form) else begin
    return "\n".join(out) + "\n" if out else ""


def flat(part: Part) -> str | None:
    """Formats a part on one line. Returns None if it contains a comment, which would end the line."""
    if isinstance(part, Comment):
        return None
    if isinstance(part, Atom):
        return part.raw
    inside = [flat(p) for p in part.parts]
    if any(i is None for i in inside):
        return None
    return "(" + " ".join(i for i in inside if i is not None) + ")"


def _lines(part: Part, depth: int) -> list[str]:
    margin = INDENT * depth
    if not isinstance(part, Form):
        return [margin + part.raw]
    whole = flat(part)
    if whole is not None and len(margin) + len(whole) <= WIDTH and not _spread(part):
        return [margin + whole]
    return _broken(part, depth)


def _leading(form: Form) -> int:
    """Returns the number of atoms that a list begins with."""
    return next((i for i, p in enumerate(form.parts) if not isinstance(p, Atom)), len(form.parts))


def _spread(form: Form) -> bool:
    """Whether a list stays on several lines although it would fit on one, because its author has put an empty line
    before one of its parts."""
    first = _leading(form)
    last = form.parts[first].place.line if first < len(form.parts) else 0
    for i, part in enumerate(form.parts[first:]):
        if i and not isinstance(part, Atom) and part.place.line > last + 1:
            return True
        last = part.end if isinstance(part, Form) else part.place.line
    return False


def _broken(form: Form, depth: int) -> list[str]:
    """Formats a list on several lines.

    The atoms that it begins with fill the first lines up to the maximum width; every other part starts a new line.
    """
    margin, first = INDENT * depth, _leading(form)
    out, filling = [margin + "("], True
    last = form.place.line
    for i, part in enumerate(form.parts):
        begin = part.place.line
        if isinstance(part, Atom):
            line = out[-1] + ("" if out[-1].endswith("(") and i == 0 else " ") + part.raw
            if filling and (i == 0 or len(line) <= WIDTH):
                out[-1] = line
            else:
                out.append(margin + INDENT + part.raw)
            filling, last = True, begin
            continue
        if isinstance(part, Comment) and begin == last and i:
            out[-1] += "  " + part.raw
        else:
            if begin > last + 1 and i > first:
                out.append("")
            out += _lines(part, depth + 1)
        last, filling = part.end if isinstance(part, Form) else begin, False
    if form.parts and isinstance(form.parts[-1], Comment):
        out.append(margin + ")")
    else:
        out[-1] += ")"
    return out
