"""Rate and concurrency limits on requests; a front end enforces its share of the limits of the fleet.

A limit applies to a token, a route, a plan, a wing (zone) or to all requests. A request passes if every limit
that applies to it has room. Limits are checked in that order; all of them are charged or none, and the first
that refuses names itself and, where it can, the time after which to try again. Limits are checked before
admission control, which never sees what they refuse.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND


class Scope(Enum):
    """What a limit applies to, in the order in which limits are checked."""

    TOKEN = "token"
    ROUTE = "route"
    PLAN = "plan"
    WING = "wing"
    ALL = "all"


ORDER = list(Scope)


@dataclass(frozen=True)
class Limit:
    """One limit on new playbacks and on playbacks held at one time.

    - `rate`: new playbacks a second, with bursts of `burst`; None for no rate limit.
    - `max_concurrent`: playbacks held at one time, set-ups included; None for no limit.
    - `subject`: name of what the limit applies to; "*" counts each name of the scope by itself.
    - `is_fleet_wide`: the figures hold for all front ends together, and this one enforces its share;
      otherwise they hold for this front end alone.
    """

    name: str
    scope: Scope
    on: str
    rate: float | None = None
    burst: float | None = None
    at_once: int | None = None
    whole: bool = True


def share_of(limit: Limit, front: int, fronts: int, parts: int = 0) -> Limit:
    """Returns what one front end may use of a limit.

    Rates may be divided into fewer shares (`rate_shares`) than there are front ends if some have left for
    good (decisions/membership/shares.py). Concurrency limits are always divided by the number of front ends,
    because playbacks that were let in by a front end that has left still play. Whole places are dealt out so
    that the shares of all front ends sum to the limit exactly; a front end whose share is 0 admits none. So
    the sum holds without any communication between front ends.
    """
    if not limit.whole or fronts <= 1:
        return limit
    at_once = None if limit.at_once is None else limit.at_once // fronts + (front < limit.at_once % fronts)
    rate = None if limit.rate is None else limit.rate / (parts or fronts)
    burst = None if limit.burst is None else limit.burst / (parts or fronts)
    return Limit(limit.name, limit.scope, limit.on, rate, burst, at_once, False)


@dataclass
class Bucket:
    """A token bucket: `tokens` at the time `updated_at`, ns."""

    level: float
    at: int

    def read(self, limit: Limit, now: int) -> float:
        """Returns the tokens at a time, ns.

        A clock that goes back neither adds nor removes tokens. A clock that jumps ahead, or a pause of the
        process, fills the bucket to its burst at most.
        """
        if now > self.at and limit.rate is not None:
            self.level = min(burst_of(limit), self.level + (now - self.at) / SECOND * limit.rate)
        self.at = max(self.at, now)
        return self.level


def burst_of(limit: Limit) -> float:
    """Returns the capacity of a bucket: the burst, else one second of the rate, and never less than 1."""
    stated = limit.burst if limit.burst is not None else (limit.rate or 0.0)
    return max(1.0, stated)


@dataclass(frozen=True)
class Party:
    """The token, route, plan and wing (zone) that a request is charged to."""

    token: str
    route: str
    plan: str
    wing: str

    def of(self, scope: Scope) -> str:
        """Returns the name that the request has in a scope."""
        return {
            Scope.TOKEN: self.token,
            Scope.ROUTE: self.route,
            Scope.PLAN: self.plan,
            Scope.WING: self.wing,
        }.get(scope, "")


@dataclass(frozen=True)
class Over:
    """A limit that refuses a request: its name, what of it is used up, and when to try again.

    `retry_after_ns`: time until it has room; None if it is not known.
    """

    limit: str
    what: str
    back_after: int | None


@dataclass(eq=False)
class Ticket:
    """The places that a request holds until its playback is over."""

    places: tuple[tuple[str, str], ...]
    returned: bool = False


@dataclass
class Ledger:
    """Usage of every limit, by the limit's name and the subject it counts.

    Usage outlives changes of the configuration. It is kept by name, so that a limit that is lowered below
    what is held admits nothing until enough playbacks have ended, and one that is raised admits more at once.
    Past `max_buckets`, buckets that are full again are dropped as new ones are needed, since they carry no
    information. Drawback: a limit that is renamed starts from zero.
    """

    front: int = 0
    fronts: int = 1
    most: int = 100_000
    limits: dict[str, Limit] = field(default_factory=dict)
    by_scope: dict[Scope, dict[str, list[Limit]]] = field(default_factory=dict)
    buckets: dict[tuple[str, str], Bucket] = field(default_factory=dict)
    held: dict[tuple[str, str], int] = field(default_factory=dict)
    parts: int = 0  # shares that rates are divided into; 0 for one share per front end
    stated: list[Limit] = field(default_factory=list)

    def take_parts(self, parts: int) -> bool:
        """Divides rates into this many shares from now on; returns whether that is a change."""
        if parts == (self.parts or self.fronts):
            return False
        self.parts = parts
        self.take_version(self.stated)
        return True

    def take_version(self, limits: Iterable[Limit]) -> None:
        """Puts new limits in force."""
        self.stated = list(limits)
        self.limits = {x.name: share_of(x, self.front, self.fronts, self.parts) for x in self.stated}
        self.by_scope = {}
        for limit in self.limits.values():
            self.by_scope.setdefault(limit.scope, {}).setdefault(limit.on, []).append(limit)
        for key, bucket in list(self.buckets.items()):
            if key[0] not in self.limits:
                del self.buckets[key]
            else:
                bucket.level = min(bucket.level, burst_of(self.limits[key[0]]))

    def applying(self, party: Party) -> list[tuple[Limit, str]]:
        """Returns the limits that apply to a request, in order, each with the name that it counts."""
        found = []
        for scope in ORDER:
            here, who = self.by_scope.get(scope), party.of(scope)
            if here is None:
                continue
            for limit in here.get(who if scope is not Scope.ALL else "", ()):
                found.append((limit, who))
            if who:
                for limit in here.get("*", ()):
                    found.append((limit, who))
        return found

    def ask(self, party: Party, now: int) -> Ticket | Over:
        """Charges a request to every limit that applies to it, or to none. `now`: ns."""
        applying = self.applying(party)
        for limit, who in applying:
            if over := self._over(limit, who, now):
                return over
        places = []
        for limit, who in applying:
            if limit.rate is not None:
                self._bucket(limit, who, now).level -= 1.0
            key = (limit.name, who)
            self.held[key] = self.held.get(key, 0) + 1
            places.append(key)
        return Ticket(tuple(places))

    def _over(self, limit: Limit, who: str, now: int) -> Over | None:
        """Returns the refusal of a limit that has no room, else None."""
        if limit.at_once is not None and self.held.get((limit.name, who), 0) >= limit.at_once:
            return Over(limit.name, f"{limit.at_once} at once", None)
        if limit.rate is not None:
            level = self._bucket(limit, who, now).read(limit, now)
            if level < 1.0 - 1e-9:
                wait = None if limit.rate <= 0 else round((1.0 - level) / limit.rate * SECOND)
                return Over(limit.name, f"{limit.rate:g} a second", wait)
        return None

    def _bucket(self, limit: Limit, who: str, now: int) -> Bucket:
        """Returns the bucket of a limit and subject; a new one is full."""
        key = (limit.name, who)
        bucket = self.buckets.get(key)
        if bucket is None:
            if len(self.buckets) >= self.most:
                self._tidy(now)
            bucket = self.buckets[key] = Bucket(burst_of(limit), now)
        return bucket

    def _tidy(self, now: int) -> None:
        """Drops buckets that are full or whose limit is gone."""
        for key, bucket in list(self.buckets.items()):
            limit = self.limits.get(key[0])
            if limit is None or bucket.read(limit, now) >= burst_of(limit):
                del self.buckets[key]

    def back(self, ticket: Ticket) -> None:
        """Releases the places of a request whose playback is over or never began; idempotent."""
        if ticket.returned:
            return
        ticket.returned = True
        for key in ticket.places:
            left = self.held[key] - 1
            if left:
                self.held[key] = left
            else:
                del self.held[key]


def never_binds(limit: Limit, limits: Mapping[str, Limit]) -> str | None:
    """Returns the name of another limit that is always reached before this one, if any.

    That is a limit on all requests with equal or lower figures.
    """
    for other in limits.values():
        if other.name == limit.name or other.scope is not Scope.ALL or limit.whole != other.whole:
            continue
        if limit.scope is Scope.ALL and other.name > limit.name:
            continue
        rate = limit.rate is None or (
            other.rate is not None and other.rate <= limit.rate and burst_of(other) <= burst_of(limit)
        )
        places = limit.at_once is None or (other.at_once is not None and other.at_once <= limit.at_once)
        if rate and places:
            return other.name
    return None
