"""Expands includes and definitions into plain forms."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from oakcroft.config.diagnostics import SourceLocation, Diagnostics, closest_match
from oakcroft.config.syntax import Atom, Form, SyntaxNode, parse_text, without_comments

MAX_FILES = 256
MAX_FORMS = 500_000
MAX_USE_DEPTH = 16
TextReader = Callable[[str], str]
PARAMETER_IN_STRING = re.compile(r"\$\{([^{}]+)\}")


@dataclass(frozen=True)
class Definition:
    """A named group of forms with parameters, expanded by (use NAME VALUE …)."""

    name: str
    parameters: tuple[str, ...]
    body: tuple[Form, ...]
    location: SourceLocation


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
            raise PermissionError("it is outside the folder of the main file")
        body = path.read_bytes()
        try:
            return body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise OSError(f"it is not valid UTF-8 (byte {error.start})") from None


class Expander:
    """Expands the includes and definitions of one configuration."""

    def __init__(self, read_text: TextReader, diagnostics: Diagnostics) -> None:
        """`read_text` returns the text of a file by its path relative to the first file's folder."""
        self.read_text = read_text
        self.diagnostics = diagnostics
        self.definitions: dict[str, Definition] = {}
        self.loaded_files: set[str] = set()
        self.form_count = 0

    def expand_file(self, file_name: str) -> list[Form]:
        """Returns the plain forms of a file and of everything it includes. Errors go to the diagnostics."""
        gathered: list[Form] = []
        self._load_file(file_name, [], None, gathered)
        expanded: list[Form] = []
        for form in gathered:
            self._expand(form, (), expanded)
        return expanded

    def _load_file(
        self, file_name: str, include_chain: list[str], location: SourceLocation | None, gathered: list[Form]
    ) -> None:
        """Appends the forms of a file and of its includes to `gathered`. Each file is loaded once.

        `include_chain` holds the files whose includes lead to this one, and `location` is that of the include.
        """
        reported_at = location or SourceLocation(file_name, 1, 1)
        if file_name in include_chain:
            circle = " -> ".join([*include_chain[include_chain.index(file_name) :], file_name])
            self.diagnostics.error(reported_at, f"circular include: {circle}", "remove one of these includes")
            return
        if file_name in self.loaded_files:
            return
        self.loaded_files.add(file_name)
        if len(self.loaded_files) > MAX_FILES:
            message = f"more than {MAX_FILES} files are included"
            self.diagnostics.error(reported_at, message, "merge some of them")
            return
        try:
            text = self.read_text(file_name)
        except OSError as error:
            self.diagnostics.is_incomplete = True
            message = f"{file_name} cannot be read: {error.strerror or error}"
            fix = "correct the path; it is relative to the including file"
            self.diagnostics.error(reported_at, message, fix)
            return
        for part in without_comments(parse_text(text, file_name, self.diagnostics)):
            if isinstance(part, Atom):
                message = f"unexpected {part.source_text}; a file contains only forms (name …)"
                self.diagnostics.error(part.location, message, f"write ({part.source_text} …)")
            elif part.name == "include":
                self._load_include(part, file_name, [*include_chain, file_name], gathered)
            elif part.name == "define":
                self._add_definition(part)
            else:
                gathered.append(part)

    def _load_include(
        self, form: Form, file_name: str, include_chain: list[str], gathered: list[Form]
    ) -> None:
        """Loads the file of an (include …). Records an error if its path is not below the main file's folder."""
        arguments = form.items[1:]
        path = arguments[0] if len(arguments) == 1 else None
        if not isinstance(path, Atom):
            self.diagnostics.error(
                form.location, "include takes exactly one file", 'write (include "plans.oak")'
            )
            return
        if path.text.startswith(("/", "~")) or "\\" in path.text:
            self.diagnostics.error(
                path.location,
                "an include path must be relative to the including file and use / as separator",
                "write a relative path",
            )
            return
        segments: list[str] = file_name.split("/")[:-1]
        for segment in path.text.split("/"):
            if segment == ".." and not segments:
                self.diagnostics.error(
                    path.location,
                    f"{path.text} is outside the folder of the main file",
                    "move the file into that folder",
                )
                return
            if segment == "..":
                segments.pop()
            elif segment not in ("", "."):
                segments.append(segment)
        self._load_file("/".join(segments), include_chain, path.location, gathered)

    def _add_definition(self, form: Form) -> None:
        """Adds the definition of a (define …). Records an error if it is malformed or its name is taken."""
        arguments = form.items[1:]
        name = arguments[0] if arguments else None
        parameters = arguments[1] if len(arguments) > 1 else None
        if not isinstance(name, Atom) or not isinstance(parameters, Form):
            message = "define takes a name, a list of parameters, and the forms that it expands to"
            fix = "write (define half (plan) (limit $plan (at-once 20)))"
            self.diagnostics.error(form.location, message, fix)
            return
        parameter_names = [part.text for part in parameters.items if isinstance(part, Atom)]
        body = [part for part in arguments[2:] if isinstance(part, Form)]
        if len(parameter_names) != len(parameters.items) or len(set(parameter_names)) != len(parameter_names):
            message = "the name of a definition is followed by the list of its parameters, each once"
            self.diagnostics.error(parameters.location, message, "write (plan rate), or () for none")
            return
        if len(body) != len(arguments) - 2 or not body:
            message = f"definition {name.text} must contain only forms (name …), at least one"
            self.diagnostics.error(form.location, message, "")
            return
        if name.text in self.definitions:
            message = (
                f"definition {name.text} is defined twice; first at {self.definitions[name.text].location}"
            )
            self.diagnostics.error(form.location, message, "rename one of them")
            return
        definition = Definition(name.text, tuple(parameter_names), tuple(body), form.location)
        self._check_parameters(definition, parameters.location)
        self.definitions[name.text] = definition

    def _check_parameters(self, definition: Definition, parameters_location: SourceLocation) -> None:
        """Checks that the body of a definition uses all of its parameters and no others."""
        declared = set(definition.parameters)
        used = {
            parameter
            for form in definition.body
            for atom in _atoms_in(form)
            for parameter in _parameters_in(atom)
        }
        for name in sorted(used - declared):
            guess = closest_match(name, definition.parameters)
            message = f"definition {definition.name} uses ${name}, which is not one of its parameters"
            fix = f"write ${guess}" if guess else f"add {name} to its parameters"
            self.diagnostics.error(definition.location, message, fix)
        for name in sorted(declared - used):
            message = f"definition {definition.name} never uses its parameter {name}"
            self.diagnostics.warn(parameters_location, message, f"remove {name}")

    def _expand(self, form: Form, use_chain: tuple[str, ...], expanded: list[Form]) -> None:
        """Appends a form to `expanded`, or for a (use …) the forms that it stands for.

        `use_chain` holds the names of the definitions that are being expanded.
        """
        self.form_count += 1
        if self.form_count > MAX_FORMS:
            if self.form_count == MAX_FORMS + 1:
                message = f"the configuration expands to more than {MAX_FORMS} forms"
                self.diagnostics.error(form.location, message, "")
            return
        if form.name != "use":
            expanded.append(form)
            return
        definition = self._find_used_definition(form)
        if definition is None or not self._check_use(form, definition, use_chain):
            return
        values = dict(zip(definition.parameters, form.items[2:], strict=True))
        for body_form in definition.body:
            instance = _substitute(body_form, values, form.location)
            assert isinstance(instance, Form)
            self._expand(instance, (*use_chain, definition.name), expanded)

    def _find_used_definition(self, form: Form) -> Definition | None:
        """Returns the definition that a (use …) names. Records an error if there is none."""
        name = form.items[1] if len(form.items) > 1 else None
        if not isinstance(name, Atom):
            message = "use takes the name of a definition and a value for each of its parameters"
            self.diagnostics.error(form.location, message, "write (use half plan-a)")
            return None
        definition = self.definitions.get(name.text)
        if definition is None:
            guess = closest_match(name.text, self.definitions)
            message = f"there is no definition {name.text}" + (f"; did you mean {guess}?" if guess else "")
            fix = f"write {guess}" if guess else f"add (define {name.text} () …)"
            self.diagnostics.error(name.location, message, fix)
        return definition

    def _check_use(self, form: Form, definition: Definition, use_chain: tuple[str, ...]) -> bool:
        """Whether a (use …) is not circular and has a value for each parameter. Records an error otherwise."""
        name = definition.name
        if name in use_chain or len(use_chain) >= MAX_USE_DEPTH:
            circle = " -> ".join([*use_chain, name])
            fix = "remove the use from its own definition"
            self.diagnostics.error(form.location, f"circular use: {circle}", fix)
            return False
        parameters = definition.parameters
        argument_count = len(form.items) - 2
        if argument_count != len(parameters):
            wanted = " ".join(parameters) or "none"
            message = f"{name} takes {len(parameters)} values ({wanted}), not {argument_count}"
            example = " ".join([name, *(parameter.upper() for parameter in parameters)])
            self.diagnostics.error(form.location, message, f"write (use {example})")
            return False
        return True


def _atoms_in(form: Form) -> list[Atom]:
    atoms: list[Atom] = []
    for part in form.items:
        atoms += [part] if isinstance(part, Atom) else _atoms_in(part)
    return atoms


def _parameters_in(atom: Atom) -> list[str]:
    """Returns the parameters that an atom refers to: `$name` as a symbol, or `${name}` within a string."""
    if atom.is_quoted:
        return PARAMETER_IN_STRING.findall(atom.text)
    return [atom.text[1:]] if atom.text.startswith("$") else []


def _atom_text(value: Form | Atom | None, default: str) -> str:
    return value.text if isinstance(value, Atom) else default


def _substitute(part: SyntaxNode, values: dict[str, Form | Atom], use_location: SourceLocation) -> SyntaxNode:
    """Replaces the parameters in a part of a definition by their values.

    A value keeps its own location, so that an error in it is reported where the value was given.
    """
    if isinstance(part, Atom):
        if part.is_quoted:
            return replace(
                part,
                text=PARAMETER_IN_STRING.sub(
                    lambda match: _atom_text(values.get(match[1]), match[0]), part.text
                ),
            )
        name = part.text[1:]
        return values[name] if part.text.startswith("$") and name in values else part
    if isinstance(part, Form):
        return replace(
            part,
            children=tuple(_substitute(child, values, use_location) for child in part.children),
            use_locations=(*part.use_locations, use_location),
        )
    return part
