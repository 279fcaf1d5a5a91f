"""The reference page of the language and editor completion, both derived from the schemas."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.schema import Field, Schema, format_value

INTRODUCTION = """# Reference of the configuration language

Generated from the schemas by `oakcroft config reference`; do not edit.

A file contains forms, which are lists that begin with a name. Comments extend from ; to the end of the line. Strings are
enclosed in double quotes, with the escape sequences \\" \\\\ and \\n; the quotes may be omitted if the string contains no
space, bracket, quote or semicolon. Quantities are written with their unit. The order of forms has no meaning, and they
may be distributed over several files.

- `(include "plans.oak")` includes a file; its path is relative to the including file. Each file is included only once,
  and it must be in the folder of the main file or below.
- `(define half (plan) (limit $plan-limit (on plan $plan) (rate 20/s)))` defines a template of forms with parameters,
  referenced as `$name`, or as `${name}` within a string; `(use half open-lesson)` expands it.

"""


def reference_page() -> str:
    """Returns the whole reference page as Markdown."""
    lines = [INTRODUCTION]
    for schema in forms.SCHEMAS_BY_NAME.values():
        lines += _form_section(schema, 2)
    return "\n".join(lines).rstrip() + "\n"


def _form_section(schema: Schema, heading_level: int) -> list[str]:
    placeholder = (
        f" {schema.name_doc.replace('the ', '').upper().replace(' ', '-')[:24]}" if schema.name_type else ""
    )
    lines = [f"{'#' * heading_level} ({schema.name}{placeholder} …)", "", schema.doc, ""]
    if schema.example:
        lines += [f"    {schema.example}", ""]
    lines += ["| field | value | default | description |", "| --- | --- | --- | --- |"]
    for field in schema.fields:
        lines.append(
            f"| `{field.name}` | {_values_cell(field)} | {_default_cell(field)} | {field.doc.replace('|', '/')} |"
        )
    lines.append("")
    for field in schema.fields:
        if field.subform is not None:
            lines += _form_section(field.subform, heading_level + 1)
    return lines


def _values_cell(field: Field) -> str:
    if field.subform is not None:
        return "fields, see below"
    count = (
        ""
        if field.max_values == 1
        else f"{field.max_values} of "
        if field.min_values == field.max_values
        else "one or more of "
    )
    repetition = ", may be repeated" if field.is_repeatable else ""
    bounds = ""
    if field.minimum is not None:
        bounds += f", at least {format_value(field.value_type, field.minimum)}"
    if field.usual_range is not None:
        bounds += f", usual range {format_value(field.value_type, field.usual_range[0])} to {format_value(field.value_type, field.usual_range[1])}"
    return f"{count}{field.value_type.name}: {field.value_type.description}{bounds}{repetition}".replace(
        "|", "/"
    )


def _default_cell(field: Field) -> str:
    if field.required:
        return "required"
    if field.default is None or field.default == () or field.default == "":
        return "none"
    return (
        format_value(field.value_type, field.default)
        if isinstance(field.default, int | float)
        else str(field.default)
    )


def completions(form_name: str, prefix: str) -> list[str]:
    """Returns the names that begin with `prefix`: fields of the form `form_name`, or forms if that is ""."""
    if not form_name:
        names = [*forms.SCHEMAS_BY_NAME, *forms.KEYWORDS]
    else:
        schema = forms.SCHEMAS_BY_NAME.get(form_name) or next(
            (
                field.subform
                for form_schema in forms.SCHEMAS_BY_NAME.values()
                for field in form_schema.fields
                if field.subform and field.name == form_name
            ),
            None,
        )
        names = [field.name for field in schema.fields] if schema else []
    return sorted(name for name in names if name.startswith(prefix))
