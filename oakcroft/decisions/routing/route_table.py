"""The route table: finds the route of a request, looking only at routes that can match.

Routes have no order, so configuration text can be moved and split into files without a change of meaning. Of the routes
that match a request, the most specific one is chosen: an exact title precedes a title prefix, a longer prefix a shorter
one, any title pattern none; then more claims precede fewer, then a zone precedes none. Two routes of the same
specificity that could both match one request are a fault of the configuration (`ambiguous_routes`), so the result is
unique.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class ClientRole(Enum):
    """Clients that a route is for; the values are configuration words."""

    WATCH = "watch"
    PUBLISH = "publish"


@dataclass(frozen=True)
class Match:
    """The conditions of a route."""

    role: ClientRole
    prefix: str
    """The path before the title, with its last slash."""

    title_patterns: tuple[str, ...] = ()
    """Exact titles, or title prefixes ending in *; empty for any title."""

    zone: str = ""
    """Zone that the front must be in; empty for any."""

    claims: tuple[tuple[str, str], ...] = ()
    """Names and values that the request's token must have."""


@dataclass(frozen=True)
class Route:
    """A route by name: its conditions and what applies to the requests that match them."""

    name: str
    match: Match
    plan: str
    pool: str = ""
    """Name of the pool of nodes; empty for all nodes."""

    top: int | None = None
    """Highest rung; None for that of the plan."""


@dataclass(frozen=True)
class RouteRequest:
    """The properties of a request that routes are matched against."""

    role: ClientRole
    path: str
    zone: str
    claims: Mapping[str, str]

    def split_path(self) -> tuple[str, str]:
        """Returns the path up to and including the last slash, and the title after it."""
        title_start = self.path.rfind("/") + 1
        return self.path[:title_start], self.path[title_start:]


class RouteMismatch(Enum):
    """Why a route does not match a request; the values are shown to operators."""

    ROLE = "it is for the other side"
    PATH = "its path is another"
    TITLE = "the title is none of its titles"
    ZONE = "this front stands in another wing"
    CLAIM = "the token lacks a claim"


def find_mismatch(match: Match, request: RouteRequest) -> RouteMismatch | None:
    """Returns the first condition that a request does not meet; None where it meets all."""
    prefix, title = request.split_path()
    if match.role is not request.role:
        return RouteMismatch.ROLE
    if match.prefix != prefix or not title:
        return RouteMismatch.PATH
    if match.title_patterns and not any(pattern_matches(pattern, title) for pattern in match.title_patterns):
        return RouteMismatch.TITLE
    if match.zone and match.zone != request.zone:
        return RouteMismatch.ZONE
    if any(request.claims.get(name) != value for name, value in match.claims):
        return RouteMismatch.CLAIM
    return None


def pattern_matches(pattern: str, title: str) -> bool:
    """Returns whether a title pattern (an exact title, or a prefix ending in *) matches a title."""
    return title.startswith(pattern[:-1]) if pattern.endswith("*") else title == pattern


Specificity = tuple[int, int, int]


def specificity(title_pattern: str | None, match: Match) -> Specificity:
    """Returns the specificity of a route by the title pattern that matched, None for any title; higher precedes."""
    depth = 0 if title_pattern is None else len(title_pattern) if title_pattern.endswith("*") else 1_000_000
    return depth, len(match.claims), 1 if match.zone else 0


@dataclass
class _TrieNode:
    """A node of the trie of title prefixes."""

    routes: list[Route]
    children: dict[str, _TrieNode]


class _PrefixRoutes:
    """All routes of one role and path prefix, indexed by title pattern."""

    def __init__(self) -> None:
        """Starts without routes."""
        self.exact: dict[str, list[Route]] = {}
        self.root = _TrieNode([], {})  # trie of title prefixes; the root holds the routes for any title

    def add(self, route: Route) -> None:
        """Adds a route under each of its title patterns."""
        if not route.match.title_patterns:
            self.root.routes.append(route)
        for pattern in route.match.title_patterns:
            if not pattern.endswith("*"):
                self.exact.setdefault(pattern, []).append(route)
                continue
            node = self.root
            for character in pattern[:-1]:
                node = node.children.setdefault(character, _TrieNode([], {}))
            node.routes.append(route)

    def sort(self) -> None:
        """Sorts the routes under each title pattern, most specific first."""
        nodes = [self.root]
        while nodes:
            node = nodes.pop()
            node.routes.sort(key=lambda route: (-len(route.match.claims), not route.match.zone, route.name))
            nodes += node.children.values()
        for routes in self.exact.values():
            routes.sort(key=lambda route: (-len(route.match.claims), not route.match.zone, route.name))

    def candidates(self, title: str) -> list[list[Route]]:
        """Returns the lists of routes whose title pattern matches a title, most specific first."""
        matches = [self.root.routes]
        node = self.root
        for character in title:
            child = node.children.get(character)
            if child is None:
                break
            node = child
            if node.routes:
                matches.append(node.routes)
        if title in self.exact:
            matches.append(self.exact[title])
        matches.reverse()
        return matches


class RouteTable:
    """All routes, indexed for look-up.

    The time of a look-up depends on the length of the title and on the routes with the same pattern, not on the number of
    all routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """`routes` must be free of `ambiguous_routes`."""
        self.routes = {route.name: route for route in routes}
        self.by_prefix: dict[tuple[ClientRole, str], _PrefixRoutes] = {}
        self.plans: dict[str, set[str]] = {}  # plans of all routes of a path prefix, for both roles
        for route in self.routes.values():
            key = (route.match.role, route.match.prefix)
            self.by_prefix.setdefault(key, _PrefixRoutes()).add(route)
            self.plans.setdefault(route.match.prefix, set()).add(route.plan)
        for bucket in self.by_prefix.values():
            bucket.sort()

    def find(self, request: RouteRequest) -> Route | None:
        """Returns the most specific route that matches a request; None where none does."""
        prefix, title = request.split_path()
        bucket = self.by_prefix.get((request.role, prefix))
        if bucket is None or not title:
            return None
        for routes in bucket.candidates(title):
            for route in routes:
                if find_mismatch(route.match, request) is None:
                    return route
        return None

    def roles_served(self, path: str) -> set[ClientRole]:
        """Returns the roles for which a path is served."""
        prefix, title = RouteRequest(ClientRole.WATCH, path, "", {}).split_path()
        return {role for role, path_prefix in self.by_prefix if path_prefix == prefix and title}

    def more_specific_routes(self, route: Route, request: RouteRequest) -> list[tuple[Route, RouteMismatch]]:
        """Returns the routes of the same path prefix that would precede `route` if they matched a request.

        They come most specific first, each with the reason why it does not match.
        """
        preceding = []
        own_specificity = max(matching_specificities(route, request), default=(0, 0, 0))
        for other in sorted(
            self.routes.values(),
            key=lambda candidate: (highest_specificity(candidate), candidate.name),
            reverse=True,
        ):
            mismatch = find_mismatch(other.match, request)
            if (
                other is not route
                and mismatch is not None
                and other.match.prefix == request.split_path()[0]
                and highest_specificity(other) >= own_specificity
            ):
                preceding.append((other, mismatch))
        return preceding


def matching_specificities(route: Route, request: RouteRequest) -> list[Specificity]:
    """Returns the specificities of the title patterns by which a route matches a request."""
    title = request.split_path()[1]
    if not route.match.title_patterns:
        return [specificity(None, route.match)]
    return [
        specificity(pattern, route.match)
        for pattern in route.match.title_patterns
        if pattern_matches(pattern, title)
    ]


def highest_specificity(route: Route) -> Specificity:
    """Returns the highest specificity that a route can have."""
    return max(
        (specificity(pattern, route.match) for pattern in route.match.title_patterns),
        default=specificity(None, route.match),
    )


def can_both_match(first: Match, second: Match) -> bool:
    """Returns whether one request can meet the zone and claims of both matches."""
    if first.zone and second.zone and first.zone != second.zone:
        return False
    claims = dict(first.claims)
    return all(claims.get(name, value) == value for name, value in second.claims)


def ambiguous_routes(routes: Sequence[Route]) -> list[tuple[Route, Route, str]]:
    """Returns the pairs of routes that are equally specific for some request, each with an example title."""
    by_pattern: dict[tuple[ClientRole, str, str | None], list[Route]] = {}
    for route in routes:
        patterns: Iterable[str | None] = route.match.title_patterns or (None,)
        for pattern in patterns:
            by_pattern.setdefault((route.match.role, route.match.prefix, pattern), []).append(route)
    pairs = []
    for (_, _, pattern), same_pattern in by_pattern.items():
        by_specificity: dict[Specificity, list[Route]] = {}
        for route in same_pattern:
            for other in by_specificity.get(specificity(pattern, route.match), ()):
                if other.name != route.name and can_both_match(other.match, route.match):
                    pairs.append((other, route, (pattern or "any").replace("*", "…")))
            by_specificity.setdefault(specificity(pattern, route.match), []).append(route)
    return pairs


def example_request(route: Route, zone: str) -> RouteRequest:
    """Returns a request that matches a route; a more specific route may precede it. `zone`: of the front end."""
    pattern = route.match.title_patterns[0] if route.match.title_patterns else "example"
    title = pattern[:-1] + "1" if pattern.endswith("*") else pattern
    return RouteRequest(
        route.match.role, route.match.prefix + title, route.match.zone or zone, dict(route.match.claims)
    )
