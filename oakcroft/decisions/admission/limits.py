"""Rate and concurrency limits on requests, held by one front as its share of what is stated for all.

A limit stands on a token, a route, a plan, a wing or on all. A request passes when every limit that applies passes;
they are looked at in that order, all are charged or none, and the first that refuses names itself and, where it
can, when to come back. Limits feed the front before the module is asked: what they refuse the module never sees.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND


class Scope(Enum):
    """What a limit stands on, in the order in which limits are looked at."""

    TOKEN = "token"
    ROUTE = "route"
    PLAN = "plan"
    WING = "wing"
    ALL = "all"


ORDER = list(Scope)


@dataclass(frozen=True)
class Limit:
    """`rate` new playbacks a second with bursts of `burst`; `at_once` playbacks held, set-ups included. None: no such.

    `on`: the name of what it stands on; "*" counts each of that scope by itself. `whole`: the figures are for all
    fronts together, so that this one holds its share; else for this front alone.
    """

    name: str
    scope: Scope
    on: str
    rate: float | None = None
    burst: float | None = None
    at_once: int | None = None
    whole: bool = True


def share_of(limit: Limit, front: int, fronts: int, parts: int = 0) -> Limit:
    """What one front may use. Rates may be divided into fewer `parts` than there are fronts, where others have left
    for good (decisions/fleet/shares.py); places never are, for what was let in on them stays for as long as it plays.
    Whole places are dealt out so that all fronts' shares sum to the figure exactly; a front whose share of places is
    none admits none, which keeps the sum kept without any talk between fronts."""
    if not limit.whole or fronts <= 1:
        return limit
    at_once = None if limit.at_once is None else limit.at_once // fronts + (front < limit.at_once % fronts)
    rate = None if limit.rate is None else limit.rate / (parts or fronts)
    burst = None if limit.burst is None else limit.burst / (parts or fronts)
    return Limit(limit.name, limit.scope, limit.on, rate, burst, at_once, False)


@dataclass
class Bucket:
    """A token bucket: `level` tokens at time `at`."""

    level: float
    at: int

    def read(self, limit: Limit, now: int) -> float:
        """Tokens now. A clock that goes back adds nothing and takes nothing; one that jumps ahead, or a front that
        stood still, fills the bucket at most to its burst."""
        if now > self.at and limit.rate is not None:
            self.level = min(burst_of(limit), self.level + (now - self.at) / SECOND * limit.rate)
        self.at = max(self.at, now)
        return self.level


def burst_of(limit: Limit) -> float:
    """The largest level: as stated, else one second's worth, and never under 1 or nothing could ever pass."""
    stated = limit.burst if limit.burst is not None else (limit.rate or 0.0)
    return max(1.0, stated)


@dataclass(frozen=True)
class Party:
    """Whom and what a request is charged to."""

    token: str
    route: str
    plan: str
    wing: str

    def of(self, scope: Scope) -> str:
        """Its name in a scope."""
        return {
            Scope.TOKEN: self.token,
            Scope.ROUTE: self.route,
            Scope.PLAN: self.plan,
            Scope.WING: self.wing,
        }.get(scope, "")


@dataclass(frozen=True)
class Over:
    """A limit refuses: which one, what of it is used up, and when to come back (ns; None where nothing tells)."""

    limit: str
    what: str
    back_after: int | None


@dataclass(eq=False)
class Ticket:
    """What a request holds until its playback is over."""

    places: tuple[tuple[str, str], ...]
    returned: bool = False


@dataclass
class Ledger:
    """What is used of every limit, by the limit's name and whom it counts. It outlives versions of the configuration.

    Guards against a change of version that forgets what is held: counts stay by name, so a limit that is lowered under
    what is held admits none until enough have ended, and one that is raised admits more at once. Memory: buckets that
    are full again and count nobody are dropped as new ones come (`most`). Harm: a limit renamed in a change begins at
    nothing.
    """

    front: int = 0
    fronts: int = 1
    most: int = 100_000
    limits: dict[str, Limit] = field(default_factory=dict)
    by_scope: dict[Scope, dict[str, list[Limit]]] = field(default_factory=dict)
    buckets: dict[tuple[str, str], Bucket] = field(default_factory=dict)
    held: dict[tuple[str, str], int] = field(default_factory=dict)
    parts: int = 0  # into which rates are divided; 0: as many as there are fronts
    stated: list[Limit] = field(default_factory=list)

    def take_parts(self, parts: int) -> bool:
        """Rates are divided into so many parts from this instant on; whether that is news."""
        if parts == (self.parts or self.fronts):
            return False
        self.parts = parts
        self.take_version(self.stated)
        return True

    def take_version(self, limits: Iterable[Limit]) -> None:
        """New figures from this instant on."""
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
        """The limits that apply, in their order, and whom each counts."""
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
        """Charges a request to every limit that applies, or to none."""
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
        if limit.at_once is not None and self.held.get((limit.name, who), 0) >= limit.at_once:
            return Over(limit.name, f"{limit.at_once} at once", None)
        if limit.rate is not None:
            level = self._bucket(limit, who, now).read(limit, now)
            if level < 1.0 - 1e-9:
                wait = None if limit.rate <= 0 else round((1.0 - level) / limit.rate * SECOND)
                return Over(limit.name, f"{limit.rate:g} a second", wait)
        return None

    def _bucket(self, limit: Limit, who: str, now: int) -> Bucket:
        key = (limit.name, who)
        bucket = self.buckets.get(key)
        if bucket is None:
            if len(self.buckets) >= self.most:
                self._tidy(now)
            bucket = self.buckets[key] = Bucket(burst_of(limit), now)
        return bucket

    def _tidy(self, now: int) -> None:
        for key, bucket in list(self.buckets.items()):
            limit = self.limits.get(key[0])
            if limit is None or bucket.read(limit, now) >= burst_of(limit):
                del self.buckets[key]

    def back(self, ticket: Ticket) -> None:
        """The playback is over, or never began; a ticket counts once however often it comes back."""
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
    """Which other limit is always reached before this one, if any: one on all with lower figures."""
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
