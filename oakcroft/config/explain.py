"""Explains the routing of one request: the route that matches, why others don't, and the plan, pool and limits."""

from __future__ import annotations

from oakcroft.config.schema import PACE_TYPE, TIME_TYPE, format_value
from oakcroft.config.settings import SharedSettings
from oakcroft.decisions.admission.request_limits import LimitLedger, RequestLimit, RequestSubject, LimitScope
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import RouteRequest, find_mismatch


def explain_request(
    settings: SharedSettings, request: RouteRequest, token_name: str, front_index: int
) -> list[str]:
    """Describes in lines of text how a front end would handle a request.

    `token_name` is the name of the request's bearer token, "" for none; `front_index` selects whose share of the
    limits is shown.
    """
    claims = "".join(f", {claim} {value}" for claim, value in sorted(request.claims.items()))
    lines = [f"{request.role.value} {request.path} at a front of wing {request.zone or '(none)'}{claims}"]
    if settings.tokens and not token_name:
        lines.append("without a token: 401")
        return lines
    route = settings.route_table.find(request)
    if route is None:
        lines.append("no route takes it: 404")
        candidates = [
            candidate
            for candidate in settings.route_table.routes.values()
            if find_mismatch(candidate.match, request) is not None
        ]
        for other in sorted(
            candidates,
            key=lambda candidate: (candidate.match.prefix != request.split_path()[0], candidate.name),
        )[:8]:
            mismatch = find_mismatch(other.match, request)
            lines.append(f"  not route {other.name}: {mismatch.value if mismatch else ''}")
        return lines
    for other, mismatch in settings.route_table.more_specific_routes(route, request)[:12]:
        lines.append(f"  not route {other.name}: {mismatch.value}")
    plan_terms = settings.plans[route.plan]
    p = plan_terms.plan
    lines.append(f"route {route.name} takes it")
    top = p.top_rung if route.top is None else min(p.top_rung, route.top)
    lines.append(
        f"plan {plan_terms.name}: {p.effect.value}, playing within {format_value(TIME_TYPE, p.startup_target_ns)}, given up after "
        f"{format_value(TIME_TYPE, plan_terms.abandon_ns)}, rungs {p.floor} to {top}"
        + (f", {p.seats} seats a title" if p.seats else "")
    )
    lines.append(describe_pool(settings.pools[route.pool]) if route.pool else "any node that holds the title")
    ledger = LimitLedger(front_index, settings.terms.front_count)
    ledger.set_limits(settings.limits)
    subject = RequestSubject(token_name, route.name, route.plan, request.zone)
    matching = ledger.matching_limits(subject)
    lines += [
        describe_limit(
            limit,
            settings.terms.front_count,
            next(configured for configured in settings.limits if configured.name == limit.name),
        )
        for limit, _ in matching
    ]
    if not matching:
        lines.append("no limit applies")
    return lines


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
