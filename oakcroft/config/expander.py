"""Expands includes and definitions into plain forms."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from oakcroft.config.diagnostics import SourceLocation, Diagnostics, closest_match
from oakcroft.config.syntax import Atom, Form, SyntaxNode, parse_text, without_comments

MAX_FILES, MAX_FORMS, MAX_USE_DEPTH = 256, 500_000, 16
TextReader = Callable[[str], str]
PARAMETER_IN_STRING = re.compile(r"\$\{([^{}]+)\}")


@dataclass(frozen=True)
class Definition:
    """A named group of forms with parameters, expanded by (use NAME VALUE …)."""

    name: str
    parameters: tuple[str, ...]
    body: tuple[Form, ...]
    place: SourceLocation


class RootFolder:
    """Reads files below one folder. An include cannot refer to a file outside of it."""

    def __init__(self, root: Path) -> None:
        """Resolves `root`, so that symbolic links in its path don't count as leaving it."""
        self.root = root.resolve()

    def read_text(self, file_name: str) -> str:
        """Returns the text of a file by its path relative to the folder.

        Raises PermissionError if the path leads out of the folder, and OSError if the file cannot be read or is not
        UTF-8.
        """
        path = (self.root / file_name).resolve()
        if not path.is_relative_to(self.root):
            raise PermissionError("it lies outside the folder of the first file")
        body = path.read_bytes()
        try:
            return body.decode("utf-8")
        except UnicodeDecodeError as fault:
            raise OSError(f"it is not UTF-8 (byte {fault.start})") from None


class Expander:
    """Expands the includes and definitions of one configuration."""

    def __init__(self, read_text: TextReader, diagnostics: Diagnostics) -> None:
        """`read_text` returns the text of a file by its path relative to the first file's folder."""
        self.read_text, self.problems = read_text, diagnostics
        self.definitions: dict[str, Definition] = {}
        self.loaded_files: set[str] = set()
        self.form_count = 0

    def expand_file(self, file_name: str) -> list[Form]:
        """Returns the plain forms of a file and of everything it includes. Errors go to the diagnostics."""
        gathered: list[Form] = []
        self._load_file(file_name, [], None, gathered)
        out: list[Form] = []
        for form in gathered:
            self._expand(form, (), out)
        return out

    def _load_file(
        self, file_name: str, include_chain: list[str], location: SourceLocation | None, gathered: list[Form]
    ) -> None:
        at = location or SourceLocation(file_name, 1, 1)
        if file_name in include_chain:
            path = " -> ".join([*include_chain[include_chain.index(file_name) :], file_name])
            self.problems.error(
                at, f"this include goes in a circle: {path}", "take out one include of the circle"
            )
            return
        if file_name in self.loaded_files:
            return  # each file is included once, however many includes name it
        self.loaded_files.add(file_name)
        if len(self.loaded_files) > MAX_FILES:
            self.problems.error(at, f"over {MAX_FILES} files are included", "join some of them")
            return
        try:
            text = self.read_text(file_name)
        except OSError as fault:
            why = fault.strerror or str(fault)
            self.problems.is_incomplete = True
            self.problems.error(
                at,
                f"{file_name} cannot be read: {why}",
                "correct the path; it counts from the including file",
            )
            return
        for part in without_comments(parse_text(text, file_name, self.problems)):
            if isinstance(part, Atom):
                self.problems.error(
                    part.location,
                    f"{part.source_text} stands alone; a file holds forms (name …)",
                    f"write ({part.source_text} …)",
                )
            elif part.name == "include":
                self._load_include(part, file_name, [*include_chain, file_name], gathered)
            elif part.name == "define":
                self._add_definition(part)
            else:
                gathered.append(part)

    def _load_include(
        self, form: Form, file_name: str, include_chain: list[str], gathered: list[Form]
    ) -> None:
        path = form.items[1] if len(form.items) == 2 else None
        if not isinstance(path, Atom):
            self.problems.error(form.location, "include names one file", 'write (include "plans.oak")')
            return
        if path.text.startswith(("/", "~")) or "\\" in path.text:
            self.problems.error(
                path.location,
                "an include is a path from the file it stands in, with /",
                "write a relative path",
            )
            return
        parts: list[str] = file_name.split("/")[:-1]
        for piece in path.text.split("/"):
            if piece == ".." and not parts:
                self.problems.error(
                    path.location,
                    f"{path.text} leads out of the folder of the first file",
                    "keep files in that folder",
                )
                return
            if piece == "..":
                parts.pop()
            elif piece not in ("", "."):
                parts.append(piece)
        self._load_file("/".join(parts), include_chain, path.location, gathered)

    def _add_definition(self, form: Form) -> None:
        items = form.items
        head = items[1] if len(items) > 1 else None
        parameters = items[2] if len(items) > 2 else None
        if not isinstance(head, Atom) or not isinstance(parameters, Form):
            self.problems.error(form.location, "define names itself, its parameters, and what it stands for",
                                "write (define half (plan) (limit $plan (at-once 20)))")  # fmt: skip
            return
        names = [p.text for p in parameters.items if isinstance(p, Atom)]
        body = [p for p in items[3:] if isinstance(p, Form)]
        if len(names) != len(parameters.items) or len(set(names)) != len(names):
            self.problems.error(
                parameters.location,
                "after its name a definition lists its parameters, each once",
                "write (plan rate), or () for none",
            )
            return
        if len(body) != len(items) - 3 or not body:
            self.problems.error(
                form.location, f"definition {head.text} holds forms (name …), one at least", ""
            )
            return
        if head.text in self.definitions:
            first = self.definitions[head.text].place
            self.problems.error(
                form.location, f"definition {head.text} stands twice; first at {first}", "rename one of them"
            )
            return
        used = {name for f in body for a in _atoms_in(f) for name in _parameters_in(a)}
        for name in sorted(used - set(names)):
            guess = closest_match(name, names)
            self.problems.error(form.location, f"definition {head.text} uses ${name}, which is none of its parameters",
                                f"write ${guess}" if guess else f"add {name} to its parameters")  # fmt: skip
        for name in sorted(set(names) - used):
            self.problems.warn(
                parameters.location,
                f"definition {head.text} never uses its parameter {name}",
                f"take out {name}",
            )
        self.definitions[head.text] = Definition(head.text, tuple(names), tuple(body), form.location)

    def _expand(self, form: Form, use_chain: tuple[str, ...], expanded: list[Form]) -> None:
        self.form_count += 1
        if self.form_count > MAX_FORMS:
            if self.form_count == MAX_FORMS + 1:
                self.problems.error(form.location, f"over {MAX_FORMS} forms come of this configuration", "")
            return
        if form.name != "use":
            expanded.append(form)
            return
        head = form.items[1] if len(form.items) > 1 else None
        if not isinstance(head, Atom):
            self.problems.error(
                form.location,
                "use names a definition and gives its parameters' values",
                "write (use half plan-a)",
            )
            return
        definition = self.definitions.get(head.text)
        if definition is None:
            guess = closest_match(head.text, self.definitions)
            self.problems.error(head.location, f"there is no definition {head.text}" + (f"; did you mean {guess}?" if guess else ""),
                                f"write {guess}" if guess else f"add (define {head.text} () …)")  # fmt: skip
            return
        if head.text in use_chain or len(use_chain) >= MAX_USE_DEPTH:
            way = " -> ".join([*use_chain, head.text])
            self.problems.error(
                form.location, f"this use goes in a circle: {way}", "take the use out of its own definition"
            )
            return
        given = form.items[2:]
        if len(given) != len(definition.parameters):
            wanted = " ".join(definition.parameters) or "none"
            self.problems.error(form.location, f"{head.text} takes {len(definition.parameters)} values ({wanted}), not {len(given)}",
                                f"write (use {' '.join([head.text, *(p.upper() for p in definition.parameters)])})")  # fmt: skip
            return
        values = dict(zip(definition.parameters, given, strict=True))
        for piece in definition.body:
            filled = _substitute(piece, values, form.location)
            assert isinstance(filled, Form)
            self._expand(filled, (*use_chain, head.text), expanded)


def _atoms_in(form: Form) -> list[Atom]:
    out: list[Atom] = []
    for part in form.items:
        out += [part] if isinstance(part, Atom) else _atoms_in(part)
    return out


def _parameters_in(atom: Atom) -> list[str]:
    """Returns the parameters that an atom refers to: `$name` as a symbol, or `${name}` within a string."""
    return (
        PARAMETER_IN_STRING.findall(atom.text)
        if atom.is_quoted
        else [atom.text[1:]]
        if atom.text.startswith("$")
        else []
    )


def _atom_text(value: Form | Atom | None, default: str) -> str:
    return value.text if isinstance(value, Atom) else default


def _substitute(part: SyntaxNode, values: dict[str, Form | Atom], use_location: SourceLocation) -> SyntaxNode:
    """Replaces the parameters in a part of a definition by their values.

    A value keeps its own location, so that an error in it is reported where the value was given.
    """
    if isinstance(part, Atom):
        if part.is_quoted:
            return replace(
                part, text=PARAMETER_IN_STRING.sub(lambda m: _atom_text(values.get(m[1]), m[0]), part.text)
            )
        name = part.text[1:]
        return values[name] if part.text.startswith("$") and name in values else part
    if isinstance(part, Form):
        return replace(
            part,
            children=tuple(_substitute(p, values, use_location) for p in part.children),
            use_locations=(*part.use_locations, use_location),
        )
    return part
