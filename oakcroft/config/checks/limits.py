"""Checks of limits and of bearer tokens."""

from __future__ import annotations

from collections.abc import Iterable

from oakcroft.config import forms
from oakcroft.config.checks.references import is_defined
from oakcroft.config.deployment_builder import limit_of_record
from oakcroft.config.diagnostics import Problems, near, or_list
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.admission.request_limits import Limit, Scope, never_binds

EVERY = "*"
"""Stands for every name of the scope, each counted by itself."""


def check_limits(records: Records, problems: Problems) -> None:
    """Checks that each limit applies to something defined, states a rate or a concurrency, and can be reached."""
    made = dict[str, Limit]()
    for name, record in records.all(forms.LIMIT).items():
        if not _check_scope(record, records, problems):
            continue
        if "rate" not in record.places and "at-once" not in record.places:
            what = f"limit {name} says neither rate nor at-once"
            problems.error(record.place, what, "add (rate 40/s) or (at-once 200)")
            continue
        _check_figures(record, records.fleet("fronts"), problems)
        made[name] = limit_of_record(name, record)
    for name, limit in made.items():
        if other := never_binds(limit, made):
            place = records.all(forms.LIMIT)[name].place
            what = f"limit {name} can never bind: {other}, on all, is always reached first"
            problems.warn(place, what, "lower it, or take it out")


def _check_scope(record: Record, records: Records, problems: Problems) -> bool:
    """Whether the scope of a limit is valid. Records an error if it isn't, and for an undefined name in it."""
    on = record.values.get("on")
    if on is None:
        return False
    scope, names = on[0], on[1:]
    kinds = [kind.value for kind in Scope]
    if scope not in kinds:
        what = f"a limit stands on {or_list(kinds)}, not on {scope}"
        problems.error(record.at("on"), what, f"write (on {near(scope, kinds) or 'all'})")
        return False
    is_for_all = scope == Scope.ALL.value
    if bool(names) == is_for_all:
        what = "a limit on all has no name, one on anything else has one"
        problems.error(record.at("on"), what, "write (on all)" if is_for_all else f"write (on {scope} *)")
        return False
    if names and names[0] != EVERY:
        known = _names_of(scope, records)
        if scope != Scope.WING.value or known:
            is_defined(record, "on", known, scope, problems, names[0])
    return True


def _names_of(scope: str, records: Records) -> list[str]:
    """Returns the names that a limit of a scope may refer to. There are no wings if the fleet names none."""
    by_scope: dict[str, Iterable[str]] = {
        "plan": records.all(forms.PLAN), "route": records.all(forms.ROUTE), "token": records.all(forms.TOKEN),
        "wing": records.fleet("wings"),
    }  # fmt: skip
    return list(by_scope[scope])


def _check_figures(record: Record, fronts: int, problems: Problems) -> None:
    name, rate, at_once = record.head, record.get("rate"), record.get("at-once")
    if "burst" in record.values and rate is None:
        what = f"limit {name} has a burst without a rate"
        problems.error(record.at("burst"), what, "add (rate …) or take the burst out")
    if at_once == 0 or rate == 0:
        what = f"limit {name} admits nothing at all"
        problems.warn(record.place, what, "take the route out instead, if that is meant")
    if record.get("of") == "whole" and at_once and at_once < fronts:
        what = f"limit {name} has {at_once} places for {fronts} fronts: {fronts - at_once} of them admit none"
        problems.warn(record.at("at-once"), what, f"write (at-once {fronts}) or more, or (of front)")


def check_tokens(records: Records, problems: Problems) -> None:
    """Checks that the secrets of tokens are unique, and that there is a token if a route requires a claim."""
    seen: dict[str, str] = {}
    for name, token in records.all(forms.TOKEN).items():
        secret = token.values.get("secret")
        if secret is None:
            continue
        first = seen.setdefault(secret, name)
        if first != name:
            what = f"tokens {first} and {name} have the same secret"
            problems.error(token.at("secret"), what, "make another one")
    asking = [route for route in records.all(forms.ROUTE).values() if route.get("claim")]
    if asking and not seen:
        what = "a route asks for a claim, but there is no (token …)"
        problems.error(asking[0].at("claim"), what, 'add (token NAME (secret "…") (claim …))')
