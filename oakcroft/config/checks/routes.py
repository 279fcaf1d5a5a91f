"""Checks of routes: the names they refer to, their bounds, and whether a request can reach them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from oakcroft.config import forms
from oakcroft.config.checks.references import check_defined
from oakcroft.config.deployment_builder import build_route_from_record
from oakcroft.config.diagnostics import Diagnostics, join_alternatives
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.routing.route_table import Route, ClientRole, ambiguous_routes, specificity

Claims = dict[str, str]


def check_routes(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each route refers to a defined plan and pool, and that some request can reach it."""
    plans = records.named_records(forms.PLAN)
    valid_routes = list[Route]()
    for name, record in records.named_records(forms.ROUTE).items():
        has_known_plan = check_defined(record, "plan", plans, "plan", diagnostics)
        check_defined(record, "pool", records.named_records(forms.POOL), "pool", diagnostics)
        zones = records.fleet_value("wings")
        if zones and record.get("wing"):
            check_defined(record, "wing", zones, "wing", diagnostics)
        _check_claims(record, records, diagnostics)
        if has_known_plan and record.values.get("plan") in plans:
            _check_top(record, plans[record.values["plan"]], records.ladder_length(), diagnostics)
        _check_redundant_titles(record, diagnostics)
        if "path" in record.values and has_known_plan:
            valid_routes.append(build_route_from_record(name, record))
    _check_ambiguous_routes(valid_routes, records, diagnostics)
    _check_unreachable_routes(valid_routes, records, diagnostics)
    for route in valid_routes:
        _check_redundant_patterns(route, records.named_records(forms.ROUTE)[route.name], diagnostics)


def _claims(record: Record) -> Claims:
    return dict(map(tuple, record.get("claim")))


def _token_claims(records: Records) -> list[Claims]:
    return [_claims(token) for token in records.named_records(forms.TOKEN).values()]


def _check_claims(record: Record, records: Records, diagnostics: Diagnostics) -> None:
    claims = _claims(record)
    if claims and not any(_has_claims(token, claims.items()) for token in _token_claims(records)):
        shown = " and ".join(f"{claim} {value}" for claim, value in sorted(claims.items()))
        message = f"route {record.name} is never reached: no token has the claim {shown}"
        diagnostics.warn(record.location_of("claim"), message, f"add (claim {shown}) to a token")


def _has_claims(token_claims: Mapping[str, str], required: Iterable[tuple[str, str]]) -> bool:
    return all(token_claims.get(claim) == value for claim, value in required)


def _check_top(record: Record, plan: Record, rung_count: int, diagnostics: Diagnostics) -> None:
    top = record.get("top")
    floor = plan.get("floor")
    if top is None:
        return
    if top < floor:
        message = f"route {record.name} has top {top} below the floor {floor} of plan {plan.name}"
        diagnostics.error(record.location_of("top"), message, f"write (top {floor}) or more")
    elif rung_count and top >= rung_count:
        message = f"route {record.name} has top {top}, but the ladder ends at rung {rung_count - 1}"
        diagnostics.warn(record.location_of("top"), message, "remove it")


def _check_redundant_titles(record: Record, diagnostics: Diagnostics) -> None:
    if "*" in record.get("titles") and len(record.get("titles")) > 1:
        message = f"route {record.name} matches all titles by *, so its other titles have no effect"
        diagnostics.warn(record.location_of("titles"), message, "remove the others")


def _check_ambiguous_routes(routes: list[Route], records: Records, diagnostics: Diagnostics) -> None:
    """Checks that no two routes of equal specificity match the same request, since either could be chosen."""
    locations = {name: record.location for name, record in records.named_records(forms.ROUTE).items()}
    for first, second, title in ambiguous_routes(routes):
        message = (
            f"routes {first.name} and {second.name} both match requests under {first.match.prefix} "
            f"(titles: {title}), and neither is more specific"
        )
        fix = "give one of them titles, a wing or a claim that the other does not have"
        diagnostics.error(
            locations[second.name], message, fix, [f"{first.name} is defined at {locations[first.name]}"]
        )


def _check_unreachable_routes(routes: list[Route], records: Records, diagnostics: Diagnostics) -> None:
    """Warns of routes that take no request: for every zone and every token, another route of the same titles has a
    higher specificity and matches."""
    zones = list(records.fleet_value("wings")) or [""]
    request_origins = [(zone, claims) for zone in zones for claims in _token_claims(records) or [{}]]
    for pattern, rivals in _competing_routes(routes):
        for route in rivals:
            more_specific = [
                rival
                for rival in rivals
                if specificity(pattern, rival.match) > specificity(pattern, route.match)
            ]
            if not _is_always_outranked(route, more_specific, request_origins):
                continue
            location = records.named_records(forms.ROUTE)[route.name].location
            names = join_alternatives(rival.name for rival in more_specific)
            message = f"route {route.name} is never reached for {pattern or 'any title'}: precedence always goes to {names}"
            diagnostics.warn(location, message, "remove it, or give it a condition of its own")


def _competing_routes(routes: list[Route]) -> list[tuple[str | None, list[Route]]]:
    """Returns each title pattern with its routes, where two or more share client role, path and pattern."""
    groups: dict[tuple[ClientRole, str, str | None], list[Route]] = {}
    for route in routes:
        for pattern in route.match.title_patterns or (None,):
            groups.setdefault((route.match.role, route.match.prefix, pattern), []).append(route)
    return [(pattern, rivals) for (_, _, pattern), rivals in groups.items() if len(rivals) > 1]


def _is_always_outranked(
    route: Route, higher_ranked: list[Route], request_origins: list[tuple[str, Claims]]
) -> bool:
    """Whether each origin whose requests a route accepts is also accepted by a route of higher rank.

    False if the route accepts none of the origins.
    """
    accepted = [(zone, claims) for zone, claims in request_origins if _accepts(route, zone, claims)]
    return bool(accepted) and all(
        any(_accepts(other, zone, claims) for other in higher_ranked) for zone, claims in accepted
    )


def _accepts(route: Route, zone: str, claims: Mapping[str, str]) -> bool:
    """Whether a route's conditions hold for a request with a token's claims at a front end of a zone."""
    return route.match.zone in ("", zone) and _has_claims(claims, route.match.claims)


def _check_redundant_patterns(route: Route, record: Record, diagnostics: Diagnostics) -> None:
    patterns = [pattern for pattern in route.match.title_patterns if pattern.endswith("*")]
    for pattern in patterns:
        if any(other != pattern and pattern.startswith(other[:-1]) for other in patterns):
            message = f"route {route.name} lists {pattern}, which another of its titles already covers"
            diagnostics.warn(record.location_of("titles"), message, f"remove {pattern}")
