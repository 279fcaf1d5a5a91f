"""The route table: finds the route of a request, looking only at routes that can match.

Routes have no order, so configuration text can be moved and split into files without a change of meaning. The most
specific route that matches takes the request: an exact title before a title prefix, a longer prefix before a shorter
one, any title pattern before none; then more claims before fewer, then a zone before none. Two routes of the same
specificity that could both match one request are a fault of the configuration (`ambiguous_routes`), so the result is
unique.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class Side(Enum):
    """Who a route is for; the values are those of the configuration."""

    WATCH = "watch"
    PUBLISH = "publish"


@dataclass(frozen=True)
class Match:
    """The conditions of a route."""

    side: Side
    prefix: str
    """The path before the title, with its last slash."""

    titles: tuple[str, ...] = ()
    """Exact titles, or title prefixes ending in *; empty for any title."""

    wing: str = ""
    """Zone that the front must be in; empty for any."""

    claims: tuple[tuple[str, str], ...] = ()
    """Names and values that the request's token must have."""


@dataclass(frozen=True)
class Route:
    """A route by name: its conditions and what applies to the requests that it takes."""

    name: str
    match: Match
    plan: str
    pool: str = ""
    """Name of the pool of nodes; empty for all nodes."""

    top: int | None = None
    """Highest rung; None for that of the plan."""


@dataclass(frozen=True)
class Asked:
    """The properties of a request that routes are matched against."""

    side: Side
    path: str
    wing: str
    claims: Mapping[str, str]

    def split(self) -> tuple[str, str]:
        """Returns the path up to and with the last slash, and the title after it."""
        at = self.path.rfind("/") + 1
        return self.path[:at], self.path[at:]


class Why(Enum):
    """Why a route does not match a request; operators read the values."""

    SIDE = "it is for the other side"
    PATH = "its path is another"
    TITLE = "the title is none of its titles"
    WING = "this front stands in another wing"
    CLAIM = "the token lacks a claim"


def refuses(match: Match, asked: Asked) -> Why | None:
    """Returns the first condition that a request does not meet, None where it meets all."""
    prefix, title = asked.split()
    if match.side is not asked.side:
        return Why.SIDE
    if match.prefix != prefix or not title:
        return Why.PATH
    if match.titles and not any(covers(pattern, title) for pattern in match.titles):
        return Why.TITLE
    if match.wing and match.wing != asked.wing:
        return Why.WING
    if any(asked.claims.get(name) != value for name, value in match.claims):
        return Why.CLAIM
    return None


def covers(pattern: str, title: str) -> bool:
    """Returns whether a title pattern (an exact title, or a prefix ending in *) matches a title."""
    return title.startswith(pattern[:-1]) if pattern.endswith("*") else title == pattern


Rank = tuple[int, int, int]


def rank(pattern: str | None, match: Match) -> Rank:
    """Returns how specific a route is where one of its title patterns matched, None for any title; larger goes first."""
    depth = 0 if pattern is None else len(pattern) if pattern.endswith("*") else 1_000_000
    return depth, len(match.claims), 1 if match.wing else 0


@dataclass
class _Step:
    """A node of the trie of title prefixes."""

    routes: list[Route]
    after: dict[str, _Step]


class _Bucket:
    """All routes of one role and path prefix, indexed by title pattern."""

    def __init__(self) -> None:
        """Begins without routes."""
        self.exact: dict[str, list[Route]] = {}
        self.root = _Step([], {})  # trie of title prefixes; the root holds the routes for any title

    def add(self, route: Route) -> None:
        if not route.match.titles:
            self.root.routes.append(route)
        for pattern in route.match.titles:
            if not pattern.endswith("*"):
                self.exact.setdefault(pattern, []).append(route)
                continue
            step = self.root
            for letter in pattern[:-1]:
                step = step.after.setdefault(letter, _Step([], {}))
            step.routes.append(route)

    def sort(self) -> None:
        """Sorts the routes under each title pattern, most specific first."""
        steps = [self.root]
        while steps:
            step = steps.pop()
            step.routes.sort(key=lambda r: (-len(r.match.claims), not r.match.wing, r.name))
            steps += step.after.values()
        for routes in self.exact.values():
            routes.sort(key=lambda r: (-len(r.match.claims), not r.match.wing, r.name))

    def candidates(self, title: str) -> list[list[Route]]:
        """Returns the lists of routes whose title pattern matches a title, most specific first."""
        found, step = [self.root.routes], self.root
        for letter in title:
            following = step.after.get(letter)
            if following is None:
                break
            step = following
            if step.routes:
                found.append(step.routes)
        if title in self.exact:
            found.append(self.exact[title])
        found.reverse()
        return found


class RouteTable:
    """All routes, indexed for look-up.

    The time of a look-up grows with the length of the title and with the routes of the same pattern, not with the number
    of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """`routes` must be free of `ambiguous_routes`."""
        self.routes = {r.name: r for r in routes}
        self.buckets: dict[tuple[Side, str], _Bucket] = {}
        self.plans: dict[str, set[str]] = {}  # plans of all routes of a path prefix, for both roles
        for route in self.routes.values():
            key = (route.match.side, route.match.prefix)
            self.buckets.setdefault(key, _Bucket()).add(route)
            self.plans.setdefault(route.match.prefix, set()).add(route.plan)
        for bucket in self.buckets.values():
            bucket.sort()

    def find(self, asked: Asked) -> Route | None:
        """Returns the route that takes a request, None where no route matches."""
        prefix, title = asked.split()
        bucket = self.buckets.get((asked.side, prefix))
        if bucket is None or not title:
            return None
        for routes in bucket.candidates(title):
            for route in routes:
                if refuses(route.match, asked) is None:
                    return route
        return None

    def sides(self, path: str) -> set[Side]:
        """Returns the roles for which a path is served."""
        prefix, title = Asked(Side.WATCH, path, "", {}).split()
        return {side for side, p in self.buckets if p == prefix and title}

    def ahead_of(self, route: Route, asked: Asked) -> list[tuple[Route, Why]]:
        """Returns the routes of the same path prefix that would precede `route` if they matched a request.

        They come most specific first, each with the reason why it does not match.
        """
        out = []
        mine = max(ranks(route, asked), default=(0, 0, 0))
        for other in sorted(self.routes.values(), key=lambda r: (best_rank(r), r.name), reverse=True):
            why = refuses(other.match, asked)
            if (
                other is not route
                and why is not None
                and other.match.prefix == asked.split()[0]
                and best_rank(other) >= mine
            ):
                out.append((other, why))
        return out


def ranks(route: Route, asked: Asked) -> list[Rank]:
    """Returns the specificities of the title patterns by which a route matches a request."""
    title = asked.split()[1]
    if not route.match.titles:
        return [rank(None, route.match)]
    return [rank(p, route.match) for p in route.match.titles if covers(p, title)]


def best_rank(route: Route) -> Rank:
    """Returns the highest specificity that a route can have."""
    return max((rank(p, route.match) for p in route.match.titles), default=rank(None, route.match))


def compatible(a: Match, b: Match) -> bool:
    """Returns whether one request can meet the zone and claims of both."""
    if a.wing and b.wing and a.wing != b.wing:
        return False
    claims = dict(a.claims)
    return all(claims.get(name, value) == value for name, value in b.claims)


def clashes(routes: Sequence[Route]) -> list[tuple[Route, Route, str]]:
    """Returns the pairs of routes that are equally specific for some request, each with an example of a title."""
    places: dict[tuple[Side, str, str | None], list[Route]] = {}
    for route in routes:
        patterns: Iterable[str | None] = route.match.titles or (None,)
        for pattern in patterns:
            places.setdefault((route.match.side, route.match.prefix, pattern), []).append(route)
    out = []
    for (_, _, pattern), some in places.items():
        by_rank: dict[Rank, list[Route]] = {}
        for route in some:
            for other in by_rank.get(rank(pattern, route.match), ()):
                if other.name != route.name and compatible(other.match, route.match):
                    out.append((other, route, (pattern or "any").replace("*", "…")))
            by_rank.setdefault(rank(pattern, route.match), []).append(route)
    return out


def example(route: Route, wing: str) -> Asked:
    """Returns a request that a route takes, unless a more specific route does. `zone` is that of the front."""
    pattern = route.match.titles[0] if route.match.titles else "example"
    title = pattern[:-1] + "1" if pattern.endswith("*") else pattern
    return Asked(
        route.match.side, route.match.prefix + title, route.match.wing or wing, dict(route.match.claims)
    )
