"""Checks of limits and of bearer tokens."""

from __future__ import annotations

from collections.abc import Iterable

from oakcroft.config import forms
from oakcroft.config.checks.references import check_defined
from oakcroft.config.deployment_builder import build_limit_from_record
from oakcroft.config.diagnostics import Diagnostics, closest_match, join_alternatives
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.admission.request_limits import RequestLimit, LimitScope, limit_reached_first

ANY_NAME = "*"
"""Stands for every name of the scope, each counted by itself."""


def check_limits(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each limit applies to something defined, states a rate or a concurrency, and can be reached."""
    limits = dict[str, RequestLimit]()
    for name, record in records.named_records(forms.LIMIT).items():
        if not _check_scope(record, records, diagnostics):
            continue
        if "rate" not in record.field_locations and "at-once" not in record.field_locations:
            message = f"limit {name} has neither rate nor at-once"
            diagnostics.error(record.location, message, "add (rate 40/s) or (at-once 200)")
            continue
        _check_values(record, records.fleet_value("fronts"), diagnostics)
        limits[name] = build_limit_from_record(name, record)
    for name, limit in limits.items():
        if other := limit_reached_first(limit, limits):
            location = records.named_records(forms.LIMIT)[name].location
            message = f"limit {name} never takes effect: limit {other}, on all, is always reached first"
            diagnostics.warn(location, message, "lower it, or remove it")


def _check_scope(record: Record, records: Records, diagnostics: Diagnostics) -> bool:
    """Whether the scope of a limit is valid. Records an error if it isn't, and for an undefined name in it."""
    scope_and_name = record.values.get("on")
    if scope_and_name is None:
        return False
    scope = scope_and_name[0]
    names = scope_and_name[1:]
    known_scopes = [known.value for known in LimitScope]
    if scope not in known_scopes:
        message = f"a limit applies to {join_alternatives(known_scopes)}, not to {scope}"
        diagnostics.error(
            record.location_of("on"), message, f"write (on {closest_match(scope, known_scopes) or 'all'})"
        )
        return False
    is_for_all = scope == LimitScope.ALL.value
    if bool(names) == is_for_all:
        message = "a limit on all takes no name, any other limit needs one"
        diagnostics.error(
            record.location_of("on"), message, "write (on all)" if is_for_all else f"write (on {scope} *)"
        )
        return False
    if names and names[0] != ANY_NAME:
        known_names = _names_in_scope(scope, records)
        if scope != LimitScope.ZONE.value or known_names:
            check_defined(record, "on", known_names, scope, diagnostics, names[0])
    return True


def _names_in_scope(scope: str, records: Records) -> list[str]:
    """Returns the names that a limit of a scope may refer to. There are no zones if the fleet lists none."""
    by_scope: dict[str, Iterable[str]] = {
        "plan": records.named_records(forms.PLAN),
        "route": records.named_records(forms.ROUTE),
        "token": records.named_records(forms.TOKEN),
        "wing": records.fleet_value("wings"),
    }
    return list(by_scope[scope])


def _check_values(record: Record, front_count: int, diagnostics: Diagnostics) -> None:
    name = record.name
    rate = record.get("rate")
    at_once = record.get("at-once")
    if "burst" in record.values and rate is None:
        message = f"limit {name} has a burst without a rate"
        diagnostics.error(record.location_of("burst"), message, "add (rate …) or remove the burst")
    if at_once == 0 or rate == 0:
        message = f"limit {name} admits nothing"
        diagnostics.warn(record.location, message, "remove the route instead, if that was meant")
    if record.get("of") == "whole" and at_once and at_once < front_count:
        message = f"limit {name} allows {at_once} playbacks for {front_count} fronts: {front_count - at_once} of the fronts cannot admit any"
        diagnostics.warn(
            record.location_of("at-once"), message, f"write (at-once {front_count}) or more, or (of front)"
        )


def check_tokens(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the secrets of tokens are unique, and that there is a token if a route requires a claim."""
    names_by_secret: dict[str, str] = {}
    for name, token in records.named_records(forms.TOKEN).items():
        secret = token.values.get("secret")
        if secret is None:
            continue
        first = names_by_secret.setdefault(secret, name)
        if first != name:
            message = f"tokens {first} and {name} have the same secret"
            diagnostics.error(token.location_of("secret"), message, "generate another one")
    routes_with_claims = [
        route for route in records.named_records(forms.ROUTE).values() if route.get("claim")
    ]
    if routes_with_claims and not names_by_secret:
        message = "a route requires a claim, but there is no (token …)"
        diagnostics.error(
            routes_with_claims[0].location_of("claim"), message, 'add (token NAME (secret "…") (claim …))'
        )
