"""Semantic diff of two configurations: field changes, requests that are routed differently, and patching."""

from __future__ import annotations

import copy
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oakcroft.config import forms
from oakcroft.config.deployment_builder import route_of
from oakcroft.config.resolved import Meaning
from oakcroft.config.schema import Field, Schema, say
from oakcroft.decisions.routing.route_table import Asked, RouteTable, example

ABSENT = object()


@dataclass(frozen=True)
class Change:
    """A difference between two resolved configurations.

    `name` is the name of a named form, "" for a single form. `field` is None where a whole form was added or removed;
    `before` and `after` are then its field values. ABSENT marks a missing form or field.
    """

    form: str
    name: str
    field: str | None
    before: Any
    after: Any


def compare(a: Meaning, b: Meaning) -> list[Change]:
    """Returns all changes from `old` to `new`, in the order of the forms in the language. The list is empty exactly
    when both are equal."""
    out: list[Change] = []
    for form in sorted({*a, *b}, key=_order):
        schema = forms.ALL[form]
        old, new = a.get(form), b.get(form)
        if schema.head is None:
            out += _fields(form, "", old, new)
            continue
        for name in sorted({*(old or {}), *(new or {})}):
            out += _fields(form, name, (old or {}).get(name), (new or {}).get(name))
    return out


def _order(form: str) -> int:
    return list(forms.ALL).index(form)


def _fields(
    form: str, name: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> list[Change]:
    if old is None or new is None:
        if old is new:
            return []
        return [Change(form, name, None, ABSENT if old is None else old, ABSENT if new is None else new)]
    return [Change(form, name, f, old.get(f, ABSENT), new.get(f, ABSENT))
            for f in [*old, *(f for f in new if f not in old)] if old.get(f, ABSENT) != new.get(f, ABSENT)]  # fmt: skip


def apply(changes: list[Change], a: Meaning) -> Meaning:
    """Returns a copy of `old` with the changes applied.

    Raises ValueError if a changed form or field doesn't have the change's `before` value in `old`.
    """
    out = copy.deepcopy(a)
    for c in changes:
        single = forms.ALL[c.form].head is None
        home: dict[str, Any] = out if single else out.setdefault(c.form, {})
        key = c.form if single else c.name
        if c.field is not None:
            home, key = home[key], c.field
        if home.get(key, ABSENT) != c.before:
            raise ValueError(f"{c.form} {c.name} is not what the change starts from")
        if c.after is ABSENT:
            del home[key]
        else:
            home[key] = copy.deepcopy(c.after)
    for schema in forms.NAMED:
        out[schema.name] = dict(sorted(out.get(schema.name, {}).items()))
    return out


def tell(changes: list[Change]) -> list[str]:
    """Describes each change in one line of text. Secrets are not shown."""
    out = []
    for c in changes:
        what = f"{c.form} {c.name}".strip()
        schema = forms.ALL[c.form]
        if c.field is None:
            if c.before is ABSENT:
                out.append(f"+ {what} added: {_summary(schema, c.after)}")
            else:
                out.append(f"- {what} taken out")
            continue
        field = schema.field(c.field)
        assert field is not None
        out.append(f"~ {what}: {_told(field, c.before, c.after)}")
    return out


def _told(field: Field, old: Any, new: Any) -> str:
    if field.name == "secret":
        return "its secret is another"
    if (isinstance(old, tuple) and isinstance(new, tuple) and field.most > 2) or field.repeats:
        more = [_value(field, v) for v in new if v not in old]
        less = [_value(field, v) for v in old if v not in new]
        parts = [f"{field.name} now with {', '.join(more)}"] if more else []
        parts += [f"{'' if more else field.name + ' '}no longer with {', '.join(less)}"] if less else []
        if parts:
            return ", ".join(parts)
    return f"{field.name} from {_value(field, old)} to {_value(field, new)}"


def _summary(schema: Schema, values: Mapping[str, Any]) -> str:
    parts = []
    for f in schema.fields:
        value = values.get(f.name)
        if value not in (None, "", ()) and value != f.default and f.name != "secret":
            parts.append(f"{f.name} {_value(f, value)}")
    return ", ".join(parts) or "as by default"


def _value(field: Field, value: Any) -> str:
    if value is ABSENT or value is None or value == "" or value == ():
        return "none"
    if isinstance(value, Mapping):
        return ", ".join(f"{k} {v}" for k, v in value.items())
    if isinstance(value, tuple):
        if field.kind is forms.ADDRESS:
            return f"{value[0]}:{value[1]}"
        return " ".join(_value(field, v) for v in value)
    if isinstance(value, int | float) and not isinstance(value, bool):
        return say(field.kind, value)
    return str(value)


@dataclass(frozen=True)
class Moved:
    """An example request that two configurations route differently, with its destination under each."""

    asked: Asked
    before: str
    after: str


def elsewhere(a: Meaning, b: Meaning, most: int = 20) -> list[Moved]:
    """Returns example requests that get another route, plan or pool, or none, under the new configuration.

    The examples are derived from every route of both configurations, in each zone. At most `max_requests` are returned.
    """
    routes = [{n: route_of(n, r) for n, r in m["route"].items()} for m in (a, b)]
    tables = [RouteTable(r.values()) for r in routes]
    wings = sorted({*a["fleet"]["wings"], *b["fleet"]["wings"]}) or [""]
    seen: set[tuple[str, str, str]] = set()
    out: list[Moved] = []
    asks: list[Asked] = []
    for some in routes:
        for route in some.values():
            asks += [example(route, wing) for wing in wings]
    for asked in sorted(asks, key=lambda x: (x.path, x.side.value, x.wing, sorted(x.claims.items()))):
        before, after = (_lead(m, t, asked) for m, t in zip((a, b), tables, strict=True))
        key = (asked.path, before, after)
        if before != after and key not in seen:
            seen.add(key)
            out.append(Moved(asked, before, after))
            if len(out) >= most:
                break
    return out


def _lead(m: Meaning, table: RouteTable, asked: Asked) -> str:
    route = table.find(asked)
    if route is None:
        return "nothing"
    pool = f" in pool {route.pool}" if route.pool else ""
    return f"route {route.name}, plan {route.plan}{pool}"


def told_move(moved: Moved) -> str:
    """Describes a rerouted request in one line."""
    a = moved.asked
    claims = "".join(f" with {k} {v}" for k, v in sorted(a.claims.items()))
    wing = f" in {a.wing}" if a.wing else ""
    return f"{a.side.value} {a.path}{wing}{claims}: from {moved.before} to {moved.after}"
