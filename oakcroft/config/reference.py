"""The reference page of the language and editor completion, both derived from the schemas."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.schema import Field, Schema, format_value

INTRODUCTION = """# Reference of the configuration language

Made from the schemas by `oakcroft config reference`; do not edit.

A file holds forms: lists that begin with a name. Comments go from ; to the end of the line. A string stands in double
quotes, with \\" \\\\ and \\n within; where it holds no space, bracket, quote or semicolon it may be written without
them. A figure carries its unit. Order means nothing: forms may be moved and split over files freely.

- `(include "plans.oak")` takes in a file by its path from this one; a file is taken in once, and none outside the folder
  of the first.
- `(define half (plan) (limit $plan-limit (on plan $plan) (rate 20/s)))` names forms with parameters, `$name` by
  itself or `${name}` within a string; `(use half open-lesson)` stands for them.

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
    lines += ["| field | holds | default | what for |", "| --- | --- | --- | --- |"]
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
    repetition = ", may stand again" if field.is_repeatable else ""
    bounds = ""
    if field.minimum is not None:
        bounds += f", {format_value(field.value_type, field.minimum)} or more"
    if field.usual_range is not None:
        bounds += f", usual {format_value(field.value_type, field.usual_range[0])} to {format_value(field.value_type, field.usual_range[1])}"
    return f"{count}{field.value_type.name}: {field.value_type.description}{bounds}{repetition}".replace(
        "|", "/"
    )


def _default_cell(field: Field) -> str:
    if field.required:
        return "must stand"
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
