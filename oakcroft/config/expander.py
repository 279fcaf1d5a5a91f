"""Expands includes and definitions into plain forms."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from oakcroft.config.diagnostics import Place, Problems, near
from oakcroft.config.syntax import Atom, Form, Part, read, without_comments

MOST_FILES, MOST_FORMS, MOST_USES = 256, 500_000, 16
Open = Callable[[str], str]
WITHIN = re.compile(r"\$\{([^{}]+)\}")


@dataclass(frozen=True)
class Definition:
    """A named group of forms with parameters, expanded by (use NAME VALUE …)."""

    name: str
    parameters: tuple[str, ...]
    body: tuple[Form, ...]
    place: Place


class Folder:
    """Reads files below one folder. An include cannot refer to a file outside of it."""

    def __init__(self, root: Path) -> None:
        """Resolves `root`, so that symbolic links in its path don't count as leaving it."""
        self.root = root.resolve()

    def open(self, name: str) -> str:
        """Returns the text of a file by its path relative to the folder.

        Raises PermissionError if the path leads out of the folder, and OSError if the file cannot be read or is not
        UTF-8.
        """
        path = (self.root / name).resolve()
        if not path.is_relative_to(self.root):
            raise PermissionError("it lies outside the folder of the first file")
        body = path.read_bytes()
        try:
            return body.decode("utf-8")
        except UnicodeDecodeError as fault:
            raise OSError(f"it is not UTF-8 (byte {fault.start})") from None


class Expander:
    """Expands the includes and definitions of one configuration."""

    def __init__(self, open_: Open, problems: Problems) -> None:
        """`read_text` returns the text of a file by its path relative to the first file's folder."""
        self.open, self.problems = open_, problems
        self.definitions: dict[str, Definition] = {}
        self.files: set[str] = set()
        self.forms = 0

    def file(self, name: str) -> list[Form]:
        """Returns the plain forms of a file and of everything it includes. Errors go to the diagnostics."""
        gathered: list[Form] = []
        self._gather(name, [], None, gathered)
        out: list[Form] = []
        for form in gathered:
            self._expand(form, (), out)
        return out

    def _gather(self, name: str, way: list[str], place: Place | None, out: list[Form]) -> None:
        at = place or Place(name, 1, 1)
        if name in way:
            path = " -> ".join([*way[way.index(name) :], name])
            self.problems.error(
                at, f"this include goes in a circle: {path}", "take out one include of the circle"
            )
            return
        if name in self.files:
            return  # each file is included once, however many includes name it
        self.files.add(name)
        if len(self.files) > MOST_FILES:
            self.problems.error(at, f"over {MOST_FILES} files are included", "join some of them")
            return
        try:
            text = self.open(name)
        except OSError as fault:
            why = fault.strerror or str(fault)
            self.problems.unread = True
            self.problems.error(
                at, f"{name} cannot be read: {why}", "correct the path; it counts from the including file"
            )
            return
        for part in without_comments(read(text, name, self.problems)):
            if isinstance(part, Atom):
                self.problems.error(
                    part.place,
                    f"{part.raw} stands alone; a file holds forms (name …)",
                    f"write ({part.raw} …)",
                )
            elif part.name == "include":
                self._include(part, name, [*way, name], out)
            elif part.name == "define":
                self._define(part)
            else:
                out.append(part)

    def _include(self, form: Form, name: str, way: list[str], out: list[Form]) -> None:
        path = form.items[1] if len(form.items) == 2 else None
        if not isinstance(path, Atom):
            self.problems.error(form.place, "include names one file", 'write (include "plans.oak")')
            return
        if path.text.startswith(("/", "~")) or "\\" in path.text:
            self.problems.error(
                path.place, "an include is a path from the file it stands in, with /", "write a relative path"
            )
            return
        parts: list[str] = name.split("/")[:-1]
        for piece in path.text.split("/"):
            if piece == ".." and not parts:
                self.problems.error(
                    path.place,
                    f"{path.text} leads out of the folder of the first file",
                    "keep files in that folder",
                )
                return
            if piece == "..":
                parts.pop()
            elif piece not in ("", "."):
                parts.append(piece)
        self._gather("/".join(parts), way, path.place, out)

    def _define(self, form: Form) -> None:
        items = form.items
        head = items[1] if len(items) > 1 else None
        parameters = items[2] if len(items) > 2 else None
        if not isinstance(head, Atom) or not isinstance(parameters, Form):
            self.problems.error(form.place, "define names itself, its parameters, and what it stands for",
                                "write (define half (plan) (limit $plan (at-once 20)))")  # fmt: skip
            return
        names = [p.text for p in parameters.items if isinstance(p, Atom)]
        body = [p for p in items[3:] if isinstance(p, Form)]
        if len(names) != len(parameters.items) or len(set(names)) != len(names):
            self.problems.error(
                parameters.place,
                "after its name a definition lists its parameters, each once",
                "write (plan rate), or () for none",
            )
            return
        if len(body) != len(items) - 3 or not body:
            self.problems.error(form.place, f"definition {head.text} holds forms (name …), one at least", "")
            return
        if head.text in self.definitions:
            first = self.definitions[head.text].place
            self.problems.error(
                form.place, f"definition {head.text} stands twice; first at {first}", "rename one of them"
            )
            return
        used = {name for f in body for a in _atoms(f) for name in _parameters(a)}
        for name in sorted(used - set(names)):
            guess = near(name, names)
            self.problems.error(form.place, f"definition {head.text} uses ${name}, which is none of its parameters",
                                f"write ${guess}" if guess else f"add {name} to its parameters")  # fmt: skip
        for name in sorted(set(names) - used):
            self.problems.warn(
                parameters.place,
                f"definition {head.text} never uses its parameter {name}",
                f"take out {name}",
            )
        self.definitions[head.text] = Definition(head.text, tuple(names), tuple(body), form.place)

    def _expand(self, form: Form, through: tuple[str, ...], out: list[Form]) -> None:
        self.forms += 1
        if self.forms > MOST_FORMS:
            if self.forms == MOST_FORMS + 1:
                self.problems.error(form.place, f"over {MOST_FORMS} forms come of this configuration", "")
            return
        if form.name != "use":
            out.append(form)
            return
        head = form.items[1] if len(form.items) > 1 else None
        if not isinstance(head, Atom):
            self.problems.error(
                form.place,
                "use names a definition and gives its parameters' values",
                "write (use half plan-a)",
            )
            return
        definition = self.definitions.get(head.text)
        if definition is None:
            guess = near(head.text, self.definitions)
            self.problems.error(head.place, f"there is no definition {head.text}" + (f"; did you mean {guess}?" if guess else ""),
                                f"write {guess}" if guess else f"add (define {head.text} () …)")  # fmt: skip
            return
        if head.text in through or len(through) >= MOST_USES:
            way = " -> ".join([*through, head.text])
            self.problems.error(
                form.place, f"this use goes in a circle: {way}", "take the use out of its own definition"
            )
            return
        given = form.items[2:]
        if len(given) != len(definition.parameters):
            wanted = " ".join(definition.parameters) or "none"
            self.problems.error(form.place, f"{head.text} takes {len(definition.parameters)} values ({wanted}), not {len(given)}",
                                f"write (use {' '.join([head.text, *(p.upper() for p in definition.parameters)])})")  # fmt: skip
            return
        values = dict(zip(definition.parameters, given, strict=True))
        for piece in definition.body:
            filled = _fill(piece, values, form.place)
            assert isinstance(filled, Form)
            self._expand(filled, (*through, head.text), out)


def _atoms(form: Form) -> list[Atom]:
    out: list[Atom] = []
    for part in form.items:
        out += [part] if isinstance(part, Atom) else _atoms(part)
    return out


def _parameters(atom: Atom) -> list[str]:
    """Returns the parameters that an atom refers to: `$name` as a symbol, or `${name}` within a string."""
    return WITHIN.findall(atom.text) if atom.quoted else [atom.text[1:]] if atom.text.startswith("$") else []


def _plain(value: Form | Atom | None, otherwise: str) -> str:
    return value.text if isinstance(value, Atom) else otherwise


def _fill(part: Part, values: dict[str, Form | Atom], use: Place) -> Part:
    """Replaces the parameters in a part of a definition by their values.

    A value keeps its own location, so that an error in it is reported where the value was given.
    """
    if isinstance(part, Atom):
        if part.quoted:
            return replace(part, text=WITHIN.sub(lambda m: _plain(values.get(m[1]), m[0]), part.text))
        name = part.text[1:]
        return values[name] if part.text.startswith("$") and name in values else part
    if isinstance(part, Form):
        return replace(part, parts=tuple(_fill(p, values, use) for p in part.parts), used=(*part.used, use))
    return part
