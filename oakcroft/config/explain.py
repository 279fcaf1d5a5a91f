"""Explains the routing of one request: the route that matches, why others don't, and the plan, pool and limits."""

from __future__ import annotations

from oakcroft.config.schema import PACES, TIMES, say
from oakcroft.config.settings import Site
from oakcroft.decisions.admission.request_limits import Ledger, Limit, Party, Scope
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import Asked, refuses


def explain(site: Site, asked: Asked, token: str, front: int) -> list[str]:
    """Describes in lines of text how a front end would handle a request.

    `token_name` is the name of the request's bearer token, "" for none; `front_index` selects whose share of the
    limits is shown.
    """
    claims = "".join(f", {k} {v}" for k, v in sorted(asked.claims.items()))
    out = [f"{asked.side.value} {asked.path} at a front of wing {asked.wing or '(none)'}{claims}"]
    if site.tokens and not token:
        out.append("without a token: 401")
        return out
    route = site.table.find(asked)
    if route is None:
        out.append("no route takes it: 404")
        near = [r for r in site.table.routes.values() if refuses(r.match, asked) is not None]
        for other in sorted(near, key=lambda r: (r.match.prefix != asked.split()[0], r.name))[:8]:
            why = refuses(other.match, asked)
            out.append(f"  not route {other.name}: {why.value if why else ''}")
        return out
    for other, why in site.table.ahead_of(route, asked)[:12]:
        out.append(f"  not route {other.name}: {why.value}")
    plan = site.plans[route.plan]
    p = plan.plan
    out.append(f"route {route.name} takes it")
    top = p.top if route.top is None else min(p.top, route.top)
    out.append(
        f"plan {plan.name}: {p.effect.value}, playing within {say(TIMES, p.startup_target)}, given up after "
        f"{say(TIMES, plan.abandon)}, rungs {p.floor} to {top}"
        + (f", {p.seats} seats a title" if p.seats else "")
    )
    out.append(pool_line(site.pools[route.pool]) if route.pool else "any node that holds the title")
    ledger = Ledger(front, site.terms.fronts)
    ledger.take_version(site.limits)
    party = Party(token, route.name, route.plan, asked.wing)
    applying = ledger.applying(party)
    out += [
        limit_line(limit, site.terms.fronts, next(x for x in site.limits if x.name == limit.name))
        for limit, _ in applying
    ]
    if not applying:
        out.append("no limit applies")
    return out


def pool_line(pool: Pool) -> str:
    """Describes a node pool in one line."""
    parts = [
        f"{name} {' or '.join(map(str, some))}"
        for name, some in (
            ("wing", pool.wings),
            ("rack", pool.racks),
            ("kind", pool.kinds),
            ("tag", pool.tags),
            ("node", pool.nodes),
        )
        if some
    ]
    but = f", but not {' or '.join(pool.but)}" if pool.but else ""
    return f"pool {pool.name}: {' and '.join(parts) or 'every node'}{but}"


def limit_line(share: Limit, fronts: int, stated: Limit) -> str:
    """Describes a limit in one line: the configured values and, for a fleet-wide limit, this front end's share."""
    on = stated.scope.value + (f" {stated.on}" if stated.scope is not Scope.ALL else "")
    parts = []
    if stated.rate is not None and share.rate is not None:
        parts.append(
            f"{say(PACES, stated.rate)}" + (f", here {share.rate:g}/s" if stated.whole and fronts > 1 else "")
        )
    if stated.at_once is not None:
        parts.append(
            f"{stated.at_once} at once" + (f", here {share.at_once}" if stated.whole and fronts > 1 else "")
        )
    return f"limit {stated.name} on {on}: {'; '.join(parts)}"
