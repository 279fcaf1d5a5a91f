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
    out = [INTRODUCTION]
    for schema in forms.SCHEMAS_BY_NAME.values():
        out += _form_section(schema, 2)
    return "\n".join(out).rstrip() + "\n"


def _form_section(schema: Schema, heading_level: int) -> list[str]:
    head = (
        f" {schema.name_doc.replace('the ', '').upper().replace(' ', '-')[:24]}" if schema.name_type else ""
    )
    out = [f"{'#' * heading_level} ({schema.name}{head} …)", "", schema.doc, ""]
    if schema.example:
        out += [f"    {schema.example}", ""]
    out += ["| field | holds | default | what for |", "| --- | --- | --- | --- |"]
    for f in schema.fields:
        out.append(f"| `{f.name}` | {_values_cell(f)} | {_default_cell(f)} | {f.doc.replace('|', '/')} |")
    out.append("")
    for f in schema.fields:
        if f.subform is not None:
            out += _form_section(f.subform, heading_level + 1)
    return out


def _values_cell(field: Field) -> str:
    if field.subform is not None:
        return "fields, see below"
    many = (
        ""
        if field.max_values == 1
        else f"{field.max_values} of "
        if field.min_values == field.max_values
        else "one or more of "
    )
    again = ", may stand again" if field.is_repeatable else ""
    bounds = ""
    if field.minimum is not None:
        bounds += f", {format_value(field.value_type, field.minimum)} or more"
    if field.usual_range is not None:
        bounds += f", usual {format_value(field.value_type, field.usual_range[0])} to {format_value(field.value_type, field.usual_range[1])}"
    return f"{many}{field.value_type.name}: {field.value_type.description}{bounds}{again}".replace("|", "/")


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
                f.subform
                for s in forms.SCHEMAS_BY_NAME.values()
                for f in s.fields
                if f.subform and f.name == form_name
            ),
            None,
        )
        names = [f.name for f in schema.fields] if schema else []
    return sorted(n for n in names if n.startswith(prefix))
