"""Rate and concurrency limits on requests; a front end enforces its share of the limits of the fleet.

A limit applies to a token, a route, a plan, a zone or to all requests, and limits are checked in that order. A
request passes if every limit that applies to it has room; either all of them are charged or none. The refusal
names the first limit without room and, where known, the time after which to retry. Limits are checked before
admission control, which never sees the requests that they refuse.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import SECOND


class LimitScope(Enum):
    """What a limit applies to, in the order in which limits are checked; the values are configuration words."""

    TOKEN = "token"
    ROUTE = "route"
    PLAN = "plan"
    ZONE = "wing"
    ALL = "all"


SCOPE_ORDER = list(LimitScope)
ROUNDING_TOLERANCE = 1e-9  # part of a token that may be missing because of floating-point rounding


@dataclass(frozen=True)
class RequestLimit:
    """One limit on new playbacks and on playbacks held at one time.

    - `rate`: new playbacks a second, with bursts of `burst`; None for no rate limit.
    - `max_concurrent`: playbacks held at one time, set-ups included; None for no limit.
    - `subject`: name of what the limit applies to; "*" counts each name of the scope by itself.
    - `is_fleet_wide`: the figures hold for all front ends together, and this one enforces its share;
      otherwise they hold for this front end alone.
    """

    name: str
    scope: LimitScope
    subject: str
    rate: float | None = None
    burst: float | None = None
    max_concurrent: int | None = None
    is_fleet_wide: bool = True


def share_of_limit(
    limit: RequestLimit, front_index: int, front_count: int, rate_shares: int = 0
) -> RequestLimit:
    """Returns what one front end may use of a limit.

    Rates may be divided into fewer shares (`rate_shares`) than there are front ends if some have left for
    good (decisions/membership/shares.py). Concurrency limits are always divided by the number of front ends,
    because playbacks that were let in by a front end that has left still play. Places are distributed so that
    the shares of all front ends sum to the limit exactly, without any communication between them; a front end
    whose share is 0 admits none.
    """
    if not limit.is_fleet_wide or front_count <= 1:
        return limit
    divisor = rate_shares or front_count
    rate = None if limit.rate is None else limit.rate / divisor
    burst = None if limit.burst is None else limit.burst / divisor
    max_concurrent = None
    if limit.max_concurrent is not None:
        places, remainder = divmod(limit.max_concurrent, front_count)
        max_concurrent = places + (front_index < remainder)
    return RequestLimit(limit.name, limit.scope, limit.subject, rate, burst, max_concurrent, False)


@dataclass
class TokenBucket:
    """A token bucket: `tokens` at the time `updated_at`, ns."""

    tokens: float
    updated_at: int

    def refill(self, limit: RequestLimit, now: int) -> float:
        """Returns the tokens at a time, ns.

        A clock that goes back neither adds nor removes tokens. A clock that jumps ahead, or a pause of the
        process, fills the bucket up to its burst at most.
        """
        if now > self.updated_at and limit.rate is not None:
            self.tokens = min(burst_size(limit), self.tokens + (now - self.updated_at) / SECOND * limit.rate)
        self.updated_at = max(self.updated_at, now)
        return self.tokens


def burst_size(limit: RequestLimit) -> float:
    """Returns the capacity of a bucket: the burst, else one second of the rate, and never less than 1."""
    configured = limit.burst if limit.burst is not None else (limit.rate or 0.0)
    return max(1.0, configured)


@dataclass(frozen=True)
class RequestSubject:
    """The token, route, plan and zone that a request is charged to."""

    token: str
    route: str
    plan: str
    zone: str

    def name_in(self, scope: LimitScope) -> str:
        """Returns the name that the request has in a scope."""
        return {
            LimitScope.TOKEN: self.token,
            LimitScope.ROUTE: self.route,
            LimitScope.PLAN: self.plan,
            LimitScope.ZONE: self.zone,
        }.get(scope, "")


@dataclass(frozen=True)
class LimitExceeded:
    """A limit that refuses a request: its name, the figure that is used up, and when to retry.

    `retry_after_ns`: time until it has room; None if it is not known.
    """

    limit: str
    detail: str
    retry_after_ns: int | None


@dataclass(eq=False)
class LimitReservation:
    """The places that a request holds until its playback is over."""

    keys: tuple[tuple[str, str], ...]
    is_released: bool = False


@dataclass
class LimitLedger:
    """Usage of every limit, by the limit's name and the subject it counts.

    Usage outlives changes of the configuration. It is kept by name, so that a limit that is lowered below
    what is held admits nothing until enough playbacks have ended, and one that is raised admits more at once.
    Past `max_buckets`, buckets that are full again are dropped as new ones are needed, since they carry no
    information. Drawback: a limit that is renamed starts from zero.
    """

    front_index: int = 0
    front_count: int = 1
    max_buckets: int = 100_000
    limits: dict[str, RequestLimit] = field(default_factory=dict)
    by_scope: dict[LimitScope, dict[str, list[RequestLimit]]] = field(default_factory=dict)
    buckets: dict[tuple[str, str], TokenBucket] = field(default_factory=dict)
    concurrent: dict[tuple[str, str], int] = field(default_factory=dict)
    rate_shares: int = 0  # shares that rates are divided into; 0 for one share per front end
    configured: list[RequestLimit] = field(default_factory=list)

    def set_rate_shares(self, rate_shares: int) -> bool:
        """Divides rates into this many shares from now on; returns whether that is a change."""
        if rate_shares == (self.rate_shares or self.front_count):
            return False
        self.rate_shares = rate_shares
        self.set_limits(self.configured)
        return True

    def set_limits(self, limits: Iterable[RequestLimit]) -> None:
        """Puts new limits in force."""
        self.configured = list(limits)
        self.limits = {
            limit.name: share_of_limit(limit, self.front_index, self.front_count, self.rate_shares)
            for limit in self.configured
        }
        self.by_scope = {}
        for limit in self.limits.values():
            self.by_scope.setdefault(limit.scope, {}).setdefault(limit.subject, []).append(limit)
        for key, bucket in list(self.buckets.items()):
            if key[0] not in self.limits:
                del self.buckets[key]
            else:
                bucket.tokens = min(bucket.tokens, burst_size(self.limits[key[0]]))

    def matching_limits(self, subject: RequestSubject) -> list[tuple[RequestLimit, str]]:
        """Returns the limits that apply to a request, in order, each with the name that it counts."""
        matching = []
        for scope in SCOPE_ORDER:
            limits = self.by_scope.get(scope)
            name = subject.name_in(scope)
            if limits is None:
                continue
            for limit in limits.get(name if scope is not LimitScope.ALL else "", ()):
                matching.append((limit, name))
            if name:
                for limit in limits.get("*", ()):
                    matching.append((limit, name))
        return matching

    def acquire(self, subject: RequestSubject, now: int) -> LimitReservation | LimitExceeded:
        """Charges a request to every limit that applies to it, or to none. `now`: ns."""
        matching = self.matching_limits(subject)
        for limit, name in matching:
            if exceeded := self._exceeded(limit, name, now):
                return exceeded
        keys = []
        for limit, name in matching:
            if limit.rate is not None:
                self._bucket(limit, name, now).tokens -= 1.0
            key = (limit.name, name)
            self.concurrent[key] = self.concurrent.get(key, 0) + 1
            keys.append(key)
        return LimitReservation(tuple(keys))

    def _exceeded(self, limit: RequestLimit, subject: str, now: int) -> LimitExceeded | None:
        """Returns the refusal of a limit that has no room, else None."""
        if (
            limit.max_concurrent is not None
            and self.concurrent.get((limit.name, subject), 0) >= limit.max_concurrent
        ):
            return LimitExceeded(limit.name, f"{limit.max_concurrent} at once", None)
        if limit.rate is not None:
            tokens = self._bucket(limit, subject, now).refill(limit, now)
            if tokens < 1.0 - ROUNDING_TOLERANCE:
                wait = None if limit.rate <= 0 else round((1.0 - tokens) / limit.rate * SECOND)
                return LimitExceeded(limit.name, f"{limit.rate:g} a second", wait)
        return None

    def _bucket(self, limit: RequestLimit, subject: str, now: int) -> TokenBucket:
        """Returns the bucket of a limit and subject; a new one is full."""
        key = (limit.name, subject)
        bucket = self.buckets.get(key)
        if bucket is None:
            if len(self.buckets) >= self.max_buckets:
                self._drop_full_buckets(now)
            bucket = self.buckets[key] = TokenBucket(burst_size(limit), now)
        return bucket

    def _drop_full_buckets(self, now: int) -> None:
        """Drops buckets that are full or whose limit is gone."""
        for key, bucket in list(self.buckets.items()):
            limit = self.limits.get(key[0])
            if limit is None or bucket.refill(limit, now) >= burst_size(limit):
                del self.buckets[key]

    def release(self, reservation: LimitReservation) -> None:
        """Releases the places of a request whose playback is over or never began; idempotent."""
        if reservation.is_released:
            return
        reservation.is_released = True
        for key in reservation.keys:
            remaining = self.concurrent[key] - 1
            if remaining:
                self.concurrent[key] = remaining
            else:
                del self.concurrent[key]


def limit_reached_first(limit: RequestLimit, limits: Mapping[str, RequestLimit]) -> str | None:
    """Returns the name of another limit that is always reached before this one, if any.

    That is a limit on all requests with equal or lower figures.
    """
    for other in limits.values():
        if (
            other.name == limit.name
            or other.scope is not LimitScope.ALL
            or limit.is_fleet_wide != other.is_fleet_wide
        ):
            continue
        if limit.scope is LimitScope.ALL and other.name > limit.name:
            continue
        rate_reached = limit.rate is None or (
            other.rate is not None and other.rate <= limit.rate and burst_size(other) <= burst_size(limit)
        )
        concurrency_reached = limit.max_concurrent is None or (
            other.max_concurrent is not None and other.max_concurrent <= limit.max_concurrent
        )
        if rate_reached and concurrency_reached:
            return other.name
    return None
