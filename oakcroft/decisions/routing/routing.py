"""Which route takes a request: a compiled table whose look-up visits only what can match.

Routes have no order of their own, so that text may be moved and split into files without changing what it
means. The most particular route that matches takes the request: an exact title before a title prefix, a longer prefix
before a shorter one, any before none; then more claims, then a wing before none. Two routes that could both take one
request and are equally particular are a fault of the configuration (`clashes`), so the answer is always one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class Side(Enum):
    """Who a route is for."""

    WATCH = "watch"
    PUBLISH = "publish"


@dataclass(frozen=True)
class Match:
    """What a route asks of a request. `titles`: exact names, or prefixes ending in *; none: any title."""

    side: Side
    prefix: str
    titles: tuple[str, ...] = ()
    wing: str = ""
    claims: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Route:
    """A route by name: what it asks of a request and what it leads to."""

    name: str
    match: Match
    plan: str
    pool: str = ""
    top: int | None = None


@dataclass(frozen=True)
class Asked:
    """What of a request the routes look at."""

    side: Side
    path: str
    wing: str
    claims: Mapping[str, str]

    def split(self) -> tuple[str, str]:
        """The prefix, up to and with the last slash, and the title after it."""
        at = self.path.rfind("/") + 1
        return self.path[:at], self.path[at:]


class Why(Enum):
    """Why a route does not take a request."""

    SIDE = "it is for the other side"
    PATH = "its path is another"
    TITLE = "the title is none of its titles"
    WING = "this front stands in another wing"
    CLAIM = "the token lacks a claim"


def refuses(match: Match, asked: Asked) -> Why | None:
    """The first thing about a request that a route does not take; None when it takes it."""
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
    """Whether a title pattern takes a title."""
    return title.startswith(pattern[:-1]) if pattern.endswith("*") else title == pattern


Rank = tuple[int, int, int]


def rank(pattern: str | None, match: Match) -> Rank:
    """How particular a route is where one of its patterns (None: any title) matched; larger goes first."""
    depth = 0 if pattern is None else len(pattern) if pattern.endswith("*") else 1_000_000
    return depth, len(match.claims), 1 if match.wing else 0


@dataclass
class _Step:
    """A node of the trie of title prefixes."""

    routes: list[Route]
    after: dict[str, _Step]


class _Bucket:
    """All routes of one side and prefix, by what they ask of the title."""

    def __init__(self) -> None:
        self.exact: dict[str, list[Route]] = {}
        self.root = _Step([], {})  # of title prefixes; the root itself holds routes for any title

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
        """Puts the routes of each place in order, most particular first."""
        steps = [self.root]
        while steps:
            step = steps.pop()
            step.routes.sort(key=lambda r: (-len(r.match.claims), not r.match.wing, r.name))
            steps += step.after.values()
        for routes in self.exact.values():
            routes.sort(key=lambda r: (-len(r.match.claims), not r.match.wing, r.name))

    def candidates(self, title: str) -> list[list[Route]]:
        """Lists of routes whose title pattern takes the title, most particular first."""
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
    """All routes, ready for look-ups. The time of one grows with the title's length and with the routes that share its
    very pattern, not with how many there are."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = {r.name: r for r in routes}
        self.buckets: dict[tuple[Side, str], _Bucket] = {}
        self.plans: dict[str, set[str]] = {}  # by prefix: of all its routes, on either side
        for route in self.routes.values():
            key = (route.match.side, route.match.prefix)
            self.buckets.setdefault(key, _Bucket()).add(route)
            self.plans.setdefault(route.match.prefix, set()).add(route.plan)
        for bucket in self.buckets.values():
            bucket.sort()

    def find(self, asked: Asked) -> Route | None:
        """The route that takes a request."""
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
        """For which sides anything is served under a path."""
        prefix, title = Asked(Side.WATCH, path, "", {}).split()
        return {side for side, p in self.buckets if p == prefix and title}

    def ahead_of(self, route: Route, asked: Asked) -> list[tuple[Route, Why]]:
        """The routes that would go before this one for a request if they took it, and why each does not: those
        with the same prefix, most particular first, then the nearest others."""
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
    """The ranks at which a route takes a request."""
    title = asked.split()[1]
    if not route.match.titles:
        return [rank(None, route.match)]
    return [rank(p, route.match) for p in route.match.titles if covers(p, title)]


def best_rank(route: Route) -> Rank:
    """The highest rank that a route can have."""
    return max((rank(p, route.match) for p in route.match.titles), default=rank(None, route.match))


def compatible(a: Match, b: Match) -> bool:
    """Whether some request passes the wing and claims of both."""
    if a.wing and b.wing and a.wing != b.wing:
        return False
    claims = dict(a.claims)
    return all(claims.get(name, value) == value for name, value in b.claims)


def clashes(routes: Sequence[Route]) -> list[tuple[Route, Route, str]]:
    """Pairs of routes that are equally particular for some request, and a title by which it shows."""
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
    """A request that a route takes, unless a more particular one does."""
    pattern = route.match.titles[0] if route.match.titles else "example"
    title = pattern[:-1] + "1" if pattern.endswith("*") else pattern
    return Asked(
        route.match.side, route.match.prefix + title, route.match.wing or wing, dict(route.match.claims)
    )
