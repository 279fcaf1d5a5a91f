"""Checks of routes: the names they refer to, their bounds, and whether a request can reach them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from oakcroft.config import forms
from oakcroft.config.checks.references import is_defined
from oakcroft.config.deployment_builder import route_of_record
from oakcroft.config.diagnostics import Problems, or_list
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.routing.route_table import Route, Side, clashes, rank

Claims = dict[str, str]


def check_routes(records: Records, problems: Problems) -> None:
    """Checks that each route refers to a defined plan and pool, and that some request can reach it."""
    plans = records.all(forms.PLAN)
    sound = list[Route]()
    for name, record in records.all(forms.ROUTE).items():
        is_sound = is_defined(record, "plan", plans, "plan", problems)
        is_defined(record, "pool", records.all(forms.POOL), "pool", problems)
        wings = records.fleet("wings")
        if wings and record.get("wing"):
            is_defined(record, "wing", wings, "wing", problems)
        _check_claims(record, records, problems)
        if is_sound and record.values.get("plan") in plans:
            _check_top(record, plans[record.values["plan"]], records.ladder_length(), problems)
        _check_titles(record, problems)
        if "path" in record.values and is_sound:
            sound.append(route_of_record(name, record))
    _check_clashes(sound, records, problems)
    _check_shadowed(sound, records, problems)
    for route in sound:
        _check_patterns(route, records.all(forms.ROUTE)[route.name], problems)


def _claims(record: Record) -> Claims:
    return dict(map(tuple, record.get("claim")))


def _token_claims(records: Records) -> list[Claims]:
    return [_claims(token) for token in records.all(forms.TOKEN).values()]


def _check_claims(record: Record, records: Records, problems: Problems) -> None:
    claims = _claims(record)
    if claims and not any(_has_claims(token, claims.items()) for token in _token_claims(records)):
        shown = " and ".join(f"{claim} {value}" for claim, value in sorted(claims.items()))
        what = f"route {record.head} is never reached: no token has the claim {shown}"
        problems.warn(record.at("claim"), what, f"add (claim {shown}) to a token")


def _has_claims(token: Mapping[str, str], wanted: Iterable[tuple[str, str]]) -> bool:
    return all(token.get(claim) == value for claim, value in wanted)


def _check_top(record: Record, plan: Record, rungs: int, problems: Problems) -> None:
    top, floor = record.get("top"), plan.get("floor")
    if top is None:
        return
    if top < floor:
        what = f"route {record.head} has top {top} under the floor {floor} of plan {plan.head}"
        problems.error(record.at("top"), what, f"write (top {floor}) or more")
    elif rungs and top >= rungs:
        what = f"route {record.head} has top {top}, but the ladder ends at rung {rungs - 1}"
        problems.warn(record.at("top"), what, "take it out")


def _check_titles(record: Record, problems: Problems) -> None:
    if "*" in record.get("titles") and len(record.get("titles")) > 1:
        what = f"route {record.head} takes all titles by *; the others beside it say nothing"
        problems.warn(record.at("titles"), what, "take the others out")


def _check_clashes(routes: list[Route], records: Records, problems: Problems) -> None:
    """Checks that no two routes of equal specificity match the same request, since either could be chosen."""
    places = {name: record.place for name, record in records.all(forms.ROUTE).items()}
    for one, other, title in clashes(routes):
        what = (
            f"routes {one.name} and {other.name} both take {title} under {one.match.prefix}, "
            "and neither is more particular"
        )
        fix = "give one of them titles, a wing or a claim that the other has not"
        problems.error(places[other.name], what, fix, [f"{one.name} stands at {places[one.name]}"])


def _check_shadowed(routes: list[Route], records: Records, problems: Problems) -> None:
    """Warns of routes that take no request: for every wing and every token, another route of the same titles has a
    higher specificity and matches."""
    wings = list(records.fleet("wings")) or [""]
    askers = [(wing, claims) for wing in wings for claims in _token_claims(records) or [{}]]
    for pattern, rivals in _rivals(routes):
        for route in rivals:
            ahead = [rival for rival in rivals if rank(pattern, rival.match) > rank(pattern, route.match)]
            if not _always_behind(route, ahead, askers):
                continue
            place = records.all(forms.ROUTE)[route.name].place
            names = or_list(rival.name for rival in ahead)
            what = f"route {route.name} is never reached for {pattern or 'any title'}: {names} always go before it"
            problems.warn(place, what, "take it out, or give it a condition of its own")


def _rivals(routes: list[Route]) -> list[tuple[str | None, list[Route]]]:
    """Returns each title pattern with its routes, where two or more share client role, path and pattern."""
    groups: dict[tuple[Side, str, str | None], list[Route]] = {}
    for route in routes:
        for pattern in route.match.titles or (None,):
            groups.setdefault((route.match.side, route.match.prefix, pattern), []).append(route)
    return [(pattern, rivals) for (_, _, pattern), rivals in groups.items() if len(rivals) > 1]


def _always_behind(route: Route, ahead: list[Route], askers: list[tuple[str, Claims]]) -> bool:
    """Whether each origin whose requests a route accepts is also accepted by a route of higher rank.

    False if the route accepts none of the origins.
    """
    taken = [(wing, claims) for wing, claims in askers if _takes(route, wing, claims)]
    return bool(taken) and all(any(_takes(other, wing, claims) for other in ahead) for wing, claims in taken)


def _takes(route: Route, wing: str, claims: Mapping[str, str]) -> bool:
    """Whether a route's conditions hold for a request with a token's claims at a front end of a zone."""
    return route.match.wing in ("", wing) and _has_claims(claims, route.match.claims)


def _check_patterns(route: Route, record: Record, problems: Problems) -> None:
    patterns = [pattern for pattern in route.match.titles if pattern.endswith("*")]
    for pattern in patterns:
        if any(other != pattern and pattern.startswith(other[:-1]) for other in patterns):
            what = f"route {route.name} names {pattern}, which another of its titles takes in"
            problems.warn(record.at("titles"), what, f"take {pattern} out")
