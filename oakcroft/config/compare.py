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
from oakcroft.config.value_types import ADDRESS_TYPE
from oakcroft.decisions.routing.route_table import RouteRequest, RouteTable, example_request

ABSENT = object()
"""Stands for a missing form or field in a change."""

PAIR_SIZE = 2
"""A field of up to this many values is a pair, such as an entry and an exit, and is compared as a whole."""


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
    changes: list[Change] = []
    for form in sorted({*old, *new}, key=_form_position):
        schema = forms.SCHEMAS_BY_NAME[form]
        old_form = old.get(form)
        new_form = new.get(form)
        if schema.name_type is None:
            changes += _field_changes(form, "", old_form, new_form)
            continue
        for name in sorted({*(old_form or {}), *(new_form or {})}):
            changes += _field_changes(form, name, (old_form or {}).get(name), (new_form or {}).get(name))
    return changes


def _form_position(form_name: str) -> int:
    return list(forms.SCHEMAS_BY_NAME).index(form_name)


def _field_changes(
    form_name: str, name: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> list[Change]:
    if old is None or new is None:
        if old is new:
            return []
        return [Change(form_name, name, None, ABSENT if old is None else old, ABSENT if new is None else new)]
    return [
        Change(form_name, name, field_name, old.get(field_name, ABSENT), new.get(field_name, ABSENT))
        for field_name in [*old, *(field_name for field_name in new if field_name not in old)]
        if old.get(field_name, ABSENT) != new.get(field_name, ABSENT)
    ]


def apply_changes(changes: list[Change], old: ResolvedConfig) -> ResolvedConfig:
    """Returns a copy of `old` with the changes applied.

    Raises ValueError if a changed form or field doesn't have the change's `before` value in `old`.
    """
    patched = copy.deepcopy(old)
    for change in changes:
        is_single = forms.SCHEMAS_BY_NAME[change.form].name_type is None
        container: dict[str, Any] = patched if is_single else patched.setdefault(change.form, {})
        key = change.form if is_single else change.name
        if change.field is not None:
            container, key = container[key], change.field
        if container.get(key, ABSENT) != change.before:
            raise ValueError(
                f"{change.form} {change.name} doesn't have the value that the change starts from"
            )
        if change.after is ABSENT:
            del container[key]
        else:
            container[key] = copy.deepcopy(change.after)
    for schema in forms.NAMED_FORMS:
        patched[schema.name] = dict(sorted(patched.get(schema.name, {}).items()))
    return patched


def describe_changes(changes: list[Change]) -> list[str]:
    """Describes each change in one line of text. Secrets are not shown."""
    lines = []
    for change in changes:
        subject = f"{change.form} {change.name}".strip()
        schema = forms.SCHEMAS_BY_NAME[change.form]
        if change.field is None:
            if change.before is ABSENT:
                lines.append(f"+ {subject} added: {_summarize_fields(schema, change.after)}")
            else:
                lines.append(f"- {subject} removed")
            continue
        field = schema.find_field(change.field)
        assert field is not None
        lines.append(f"~ {subject}: {_describe_field_change(field, change.before, change.after)}")
    return lines


def _describe_field_change(field: Field, old: Any, new: Any) -> str:
    if field.name == "secret":
        return "its secret changed"
    if (
        isinstance(old, tuple) and isinstance(new, tuple) and field.max_values > PAIR_SIZE
    ) or field.is_repeatable:
        added = [_format_field_value(field, value) for value in new if value not in old]
        removed = [_format_field_value(field, value) for value in old if value not in new]
        parts = [f"{field.name} now with {', '.join(added)}"] if added else []
        parts += (
            [f"{'' if added else field.name + ' '}no longer with {', '.join(removed)}"] if removed else []
        )
        if parts:
            return ", ".join(parts)
    return f"{field.name} from {_format_field_value(field, old)} to {_format_field_value(field, new)}"


def _summarize_fields(schema: Schema, values: Mapping[str, Any]) -> str:
    parts = []
    for field in schema.fields:
        value = values.get(field.name)
        if value not in (None, "", ()) and value != field.default and field.name != "secret":
            parts.append(f"{field.name} {_format_field_value(field, value)}")
    return ", ".join(parts) or "all defaults"


def _format_field_value(field: Field, value: Any) -> str:
    if value is ABSENT or value is None or value == "" or value == ():
        return "none"
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {item}" for key, item in value.items())
    if isinstance(value, tuple):
        if field.value_type is ADDRESS_TYPE:
            return f"{value[0]}:{value[1]}"
        return " ".join(_format_field_value(field, item) for item in value)
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
    route_maps = [
        {name: build_route(name, route) for name, route in resolved["route"].items()}
        for resolved in (old, new)
    ]
    tables = [RouteTable(routes_by_name.values()) for routes_by_name in route_maps]
    zones = sorted({*old["fleet"]["wings"], *new["fleet"]["wings"]}) or [""]
    seen: set[tuple[str, str, str]] = set()
    rerouted: list[ReroutedRequest] = []
    examples: list[RouteRequest] = []
    for routes_by_name in route_maps:
        for route in routes_by_name.values():
            examples += [example_request(route, zone) for zone in zones]
    for request in sorted(
        examples,
        key=lambda example: (example.path, example.role.value, example.zone, sorted(example.claims.items())),
    ):
        before, after = (
            _describe_destination(resolved, route_table, request)
            for resolved, route_table in zip((old, new), tables, strict=True)
        )
        key = (request.path, before, after)
        if before != after and key not in seen:
            seen.add(key)
            rerouted.append(ReroutedRequest(request, before, after))
            if len(rerouted) >= max_requests:
                break
    return rerouted


def _describe_destination(resolved: ResolvedConfig, route_table: RouteTable, request: RouteRequest) -> str:
    route = route_table.find(request)
    if route is None:
        return "no route"
    pool = f" in pool {route.pool}" if route.pool else ""
    return f"route {route.name}, plan {route.plan}{pool}"


def describe_rerouted_request(rerouted: ReroutedRequest) -> str:
    """Describes a rerouted request in one line."""
    request = rerouted.request
    claims = "".join(f" with {claim} {value}" for claim, value in sorted(request.claims.items()))
    zone = f" in {request.zone}" if request.zone else ""
    return f"{request.role.value} {request.path}{zone}{claims}: from {rerouted.before} to {rerouted.after}"
