"""Semantic diff of two configurations: field changes, requests that are routed differently, and patching."""

from __future__ import annotations

import copy
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oakcroft.config import forms
from oakcroft.config.deployment_builder import build_route
from oakcroft.config.resolved import ResolvedConfig
from oakcroft.config.schema import Field, Schema, format_value
from oakcroft.decisions.routing.route_table import RouteRequest, RouteTable, example_request

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


def find_changes(old: ResolvedConfig, new: ResolvedConfig) -> list[Change]:
    """Returns all changes from `old` to `new`, in the order of the forms in the language. The list is empty exactly
    when both are equal."""
    out: list[Change] = []
    for form in sorted({*old, *new}, key=_form_position):
        schema = forms.SCHEMAS_BY_NAME[form]
        old_form, new_form = old.get(form), new.get(form)
        if schema.name_type is None:
            out += _field_changes(form, "", old_form, new_form)
            continue
        for name in sorted({*(old_form or {}), *(new_form or {})}):
            out += _field_changes(form, name, (old_form or {}).get(name), (new_form or {}).get(name))
    return out


def _form_position(form_name: str) -> int:
    return list(forms.SCHEMAS_BY_NAME).index(form_name)


def _field_changes(
    form_name: str, name: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> list[Change]:
    if old is None or new is None:
        if old is new:
            return []
        return [Change(form_name, name, None, ABSENT if old is None else old, ABSENT if new is None else new)]
    return [Change(form_name, name, f, old.get(f, ABSENT), new.get(f, ABSENT))
            for f in [*old, *(f for f in new if f not in old)] if old.get(f, ABSENT) != new.get(f, ABSENT)]  # fmt: skip


def apply_changes(changes: list[Change], old: ResolvedConfig) -> ResolvedConfig:
    """Returns a copy of `old` with the changes applied.

    Raises ValueError if a changed form or field doesn't have the change's `before` value in `old`.
    """
    out = copy.deepcopy(old)
    for c in changes:
        single = forms.SCHEMAS_BY_NAME[c.form].name_type is None
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
    for schema in forms.NAMED_FORMS:
        out[schema.name] = dict(sorted(out.get(schema.name, {}).items()))
    return out


def describe_changes(changes: list[Change]) -> list[str]:
    """Describes each change in one line of text. Secrets are not shown."""
    out = []
    for c in changes:
        what = f"{c.form} {c.name}".strip()
        schema = forms.SCHEMAS_BY_NAME[c.form]
        if c.field is None:
            if c.before is ABSENT:
                out.append(f"+ {what} added: {_summarize_fields(schema, c.after)}")
            else:
                out.append(f"- {what} taken out")
            continue
        field = schema.find_field(c.field)
        assert field is not None
        out.append(f"~ {what}: {_describe_field_change(field, c.before, c.after)}")
    return out


def _describe_field_change(field: Field, old: Any, new: Any) -> str:
    if field.name == "secret":
        return "its secret is another"
    if (isinstance(old, tuple) and isinstance(new, tuple) and field.max_values > 2) or field.is_repeatable:
        more = [_format_field_value(field, v) for v in new if v not in old]
        less = [_format_field_value(field, v) for v in old if v not in new]
        parts = [f"{field.name} now with {', '.join(more)}"] if more else []
        parts += [f"{'' if more else field.name + ' '}no longer with {', '.join(less)}"] if less else []
        if parts:
            return ", ".join(parts)
    return f"{field.name} from {_format_field_value(field, old)} to {_format_field_value(field, new)}"


def _summarize_fields(schema: Schema, values: Mapping[str, Any]) -> str:
    parts = []
    for f in schema.fields:
        value = values.get(f.name)
        if value not in (None, "", ()) and value != f.default and f.name != "secret":
            parts.append(f"{f.name} {_format_field_value(f, value)}")
    return ", ".join(parts) or "as by default"


def _format_field_value(field: Field, value: Any) -> str:
    if value is ABSENT or value is None or value == "" or value == ():
        return "none"
    if isinstance(value, Mapping):
        return ", ".join(f"{k} {v}" for k, v in value.items())
    if isinstance(value, tuple):
        if field.value_type is forms.ADDRESS_TYPE:
            return f"{value[0]}:{value[1]}"
        return " ".join(_format_field_value(field, v) for v in value)
    if isinstance(value, int | float) and not isinstance(value, bool):
        return format_value(field.value_type, value)
    return str(value)


@dataclass(frozen=True)
class ReroutedRequest:
    """An example request that two configurations route differently, with its destination under each."""

    request: RouteRequest
    before: str
    after: str


def find_rerouted_requests(
    old: ResolvedConfig, new: ResolvedConfig, max_requests: int = 20
) -> list[ReroutedRequest]:
    """Returns example requests that get another route, plan or pool, or none, under the new configuration.

    The examples are derived from every route of both configurations, in each zone. At most `max_requests` are returned.
    """
    routes = [{n: build_route(n, r) for n, r in m["route"].items()} for m in (old, new)]
    tables = [RouteTable(r.values()) for r in routes]
    wings = sorted({*old["fleet"]["wings"], *new["fleet"]["wings"]}) or [""]
    seen: set[tuple[str, str, str]] = set()
    out: list[ReroutedRequest] = []
    asks: list[RouteRequest] = []
    for some in routes:
        for route in some.values():
            asks += [example_request(route, wing) for wing in wings]
    for asked in sorted(asks, key=lambda x: (x.path, x.role.value, x.zone, sorted(x.claims.items()))):
        before, after = (_describe_destination(m, t, asked) for m, t in zip((old, new), tables, strict=True))
        key = (asked.path, before, after)
        if before != after and key not in seen:
            seen.add(key)
            out.append(ReroutedRequest(asked, before, after))
            if len(out) >= max_requests:
                break
    return out


def _describe_destination(resolved: ResolvedConfig, route_table: RouteTable, request: RouteRequest) -> str:
    route = route_table.find(request)
    if route is None:
        return "nothing"
    pool = f" in pool {route.pool}" if route.pool else ""
    return f"route {route.name}, plan {route.plan}{pool}"


def describe_rerouted_request(rerouted: ReroutedRequest) -> str:
    """Describes a rerouted request in one line."""
    a = rerouted.request
    claims = "".join(f" with {k} {v}" for k, v in sorted(a.claims.items()))
    wing = f" in {a.zone}" if a.zone else ""
    return f"{a.role.value} {a.path}{wing}{claims}: from {rerouted.before} to {rerouted.after}"
