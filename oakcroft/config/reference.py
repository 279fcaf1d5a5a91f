"""The reference page of the language and editor completion, both derived from the schemas."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.schema import Field, Schema, say

HEAD = """# Reference of the configuration language

Made from the schemas by `oakcroft config reference`; do not edit.

A file holds forms: lists that begin with a name. Comments go from ; to the end of the line. A string stands in double
quotes, with \\" \\\\ and \\n within; where it holds no space, bracket, quote or semicolon it may be written without
them. A figure carries its unit. Order means nothing: forms may be moved and split over files freely.

- `(include "plans.oak")` takes in a file by its path from this one; a file is taken in once, and none outside the folder
  of the first.
- `(define half (plan) (limit $plan-limit (on plan $plan) (rate 20/s)))` names forms with parameters, `$name` by
  itself or `${name}` within a string; `(use half open-lesson)` stands for them.

"""


def page() -> str:
    """Returns the whole reference page as Markdown."""
    out = [HEAD]
    for schema in forms.ALL.values():
        out += _form(schema, 2)
    return "\n".join(out).rstrip() + "\n"


def _form(schema: Schema, depth: int) -> list[str]:
    head = f" {schema.head_doc.replace('the ', '').upper().replace(' ', '-')[:24]}" if schema.head else ""
    out = [f"{'#' * depth} ({schema.name}{head} …)", "", schema.doc, ""]
    if schema.example:
        out += [f"    {schema.example}", ""]
    out += ["| field | holds | default | what for |", "| --- | --- | --- | --- |"]
    for f in schema.fields:
        out.append(f"| `{f.name}` | {_holds(f)} | {_default(f)} | {f.doc.replace('|', '/')} |")
    out.append("")
    for f in schema.fields:
        if f.form is not None:
            out += _form(f.form, depth + 1)
    return out


def _holds(f: Field) -> str:
    if f.form is not None:
        return "fields, see below"
    many = "" if f.most == 1 else f"{f.most} of " if f.least == f.most else "one or more of "
    again = ", may stand again" if f.repeats else ""
    bounds = ""
    if f.at_least is not None:
        bounds += f", {say(f.kind, f.at_least)} or more"
    if f.usual is not None:
        bounds += f", usual {say(f.kind, f.usual[0])} to {say(f.kind, f.usual[1])}"
    return f"{many}{f.kind.name}: {f.kind.how}{bounds}{again}".replace("|", "/")


def _default(f: Field) -> str:
    if f.required:
        return "must stand"
    if f.default is None or f.default == () or f.default == "":
        return "none"
    return say(f.kind, f.default) if isinstance(f.default, int | float) else str(f.default)


def complete(within: str, word: str) -> list[str]:
    """Returns the names that begin with `prefix`: fields of the form `form_name`, or forms if that is ""."""
    if not within:
        names = [*forms.ALL, *forms.WORDS]
    else:
        schema = forms.ALL.get(within) or next(
            (f.form for s in forms.ALL.values() for f in s.fields if f.form and f.name == within), None
        )
        names = [f.name for f in schema.fields] if schema else []
    return sorted(n for n in names if n.startswith(word))
