"""Explains the routing of one request: the route that matches, why others don't, and the plan, pool and limits."""

from __future__ import annotations

from oakcroft.config.schema import PACE_TYPE, TIME_TYPE, format_value
from oakcroft.config.settings import PlanTerms, SharedSettings
from oakcroft.decisions.admission.request_limits import LimitLedger, RequestLimit, RequestSubject, LimitScope
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import Route, RouteRequest, find_mismatch


MAX_MISMATCHES_SHOWN = 8
"""Bound on the routes that an explanation lists if no route matches."""

MAX_MORE_SPECIFIC_SHOWN = 12
"""Bound on the more specific routes that an explanation lists beside the route that matches."""


def explain_request(
    settings: SharedSettings, request: RouteRequest, token_name: str, front_index: int
) -> list[str]:
    """Describes in lines of text how a front end would handle a request.

    `token_name` is the name of the request's bearer token, "" for none; `front_index` selects whose share of the
    limits is shown.
    """
    claims = "".join(f", {claim} {value}" for claim, value in sorted(request.claims.items()))
    lines = [f"{request.role.value} {request.path} at a front in wing {request.zone or '(none)'}{claims}"]
    if settings.tokens and not token_name:
        return [*lines, "no bearer token: 401"]
    route = settings.route_table.find(request)
    if route is None:
        return [*lines, "no route matches: 404", *_describe_mismatches(settings, request)]
    for other, mismatch in settings.route_table.more_specific_routes(route, request)[
        :MAX_MORE_SPECIFIC_SHOWN
    ]:
        lines.append(f"  not route {other.name}: {mismatch.value}")
    lines.append(f"route {route.name} matches")
    lines.append(describe_plan(settings.plans[route.plan], route))
    lines.append(describe_pool(settings.pools[route.pool]) if route.pool else "any node that holds the title")
    subject = RequestSubject(token_name, route.name, route.plan, request.zone)
    return lines + _describe_matching_limits(settings, subject, front_index)


def _describe_mismatches(settings: SharedSettings, request: RouteRequest) -> list[str]:
    """Describes why routes don't match a request, those with the request's path first."""
    candidates = [
        candidate
        for candidate in settings.route_table.routes.values()
        if find_mismatch(candidate.match, request) is not None
    ]
    prefix = request.split_path()[0]
    candidates.sort(key=lambda candidate: (candidate.match.prefix != prefix, candidate.name))
    lines = []
    for route in candidates[:MAX_MISMATCHES_SHOWN]:
        mismatch = find_mismatch(route.match, request)
        lines.append(f"  not route {route.name}: {mismatch.value if mismatch else ''}")
    return lines


def describe_plan(plan_terms: PlanTerms, route: Route) -> str:
    """Describes the plan of a route in one line. The top rung is also bounded by the route."""
    plan = plan_terms.plan
    top_rung = plan.top_rung if route.top is None else min(plan.top_rung, route.top)
    startup_target = format_value(TIME_TYPE, plan.startup_target_ns)
    abandon_time = format_value(TIME_TYPE, plan_terms.abandon_ns)
    seats = f", {plan.seats} seats a title" if plan.seats else ""
    return (
        f"plan {plan_terms.name}: {plan.effect.value}, startup target {startup_target}, abandon time {abandon_time}, "
        f"rungs {plan.floor} to {top_rung}{seats}"
    )


def _describe_matching_limits(
    settings: SharedSettings, subject: RequestSubject, front_index: int
) -> list[str]:
    """Describes the limits that apply to a request, in one line each."""
    ledger = LimitLedger(front_index, settings.terms.front_count)
    ledger.set_limits(settings.limits)
    configured_limits = {limit.name: limit for limit in settings.limits}
    lines = [
        describe_limit(limit, settings.terms.front_count, configured_limits[limit.name])
        for limit, _ in ledger.matching_limits(subject)
    ]
    return lines or ["no limit applies"]


def describe_pool(pool: Pool) -> str:
    """Describes a node pool in one line."""
    parts = [
        f"{name} {' or '.join(map(str, values))}"
        for name, values in (
            ("wing", pool.zones),
            ("rack", pool.racks),
            ("kind", pool.kinds),
            ("tag", pool.tags),
            ("node", pool.nodes),
        )
        if values
    ]
    excluded = f", but not {' or '.join(pool.excluded_nodes)}" if pool.excluded_nodes else ""
    return f"pool {pool.name}: {' and '.join(parts) or 'every node'}{excluded}"


def describe_limit(front_share: RequestLimit, front_count: int, configured: RequestLimit) -> str:
    """Describes a limit in one line: the configured values and, for a fleet-wide limit, this front end's share."""
    subject = configured.scope.value + (
        f" {configured.subject}" if configured.scope is not LimitScope.ALL else ""
    )
    parts = []
    if configured.rate is not None and front_share.rate is not None:
        parts.append(
            f"{format_value(PACE_TYPE, configured.rate)}"
            + (f", here {front_share.rate:g}/s" if configured.is_fleet_wide and front_count > 1 else "")
        )
    if configured.max_concurrent is not None:
        parts.append(
            f"{configured.max_concurrent} at once"
            + (f", here {front_share.max_concurrent}" if configured.is_fleet_wide and front_count > 1 else "")
        )
    return f"limit {configured.name} on {subject}: {'; '.join(parts)}"
