"""Rows of the page, one per role: its resource use today and at the target, and its limits.

The roles are in the modules `roles_*.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SUFFICIENT_RATIO = 2.0
"""Carried over needed beyond which a larger value makes no difference; no size beyond it is searched."""


class Basis(Enum):
    """How the carried value is known."""

    CONSTANT = "constant in the code"
    MEASURED = "measured"
    SIMULATED = "simulated"
    DERIVED = "derived from measured figures"
    NOT_MEASURED = "not measured"
    ABSENT = "does not exist"


@dataclass(frozen=True)
class Limit:
    """A limit that a role meets before or beyond the target.

    `carried` is the largest value of the driver at which the role works within its budget, `needed` the value in the
    worst hour. `consequence` says what happens beyond the limit. `assumption` names the assumption that the limit
    rests on; it is empty if the users' figures alone give it. A bound beyond which only a cache forgets entries is no
    limit.
    """

    driver: str
    carried: float | None
    needed: float
    basis: Basis
    source: str
    consequence: str
    assumption: str = ""

    @property
    def ratio(self) -> float | None:
        """Carried over needed, None if it was not measured."""
        return None if self.carried is None else self.carried / self.needed


@dataclass(frozen=True)
class Load:
    """The use of one resource by a role, today and at the target, as shown on the page."""

    resource: str
    today: str
    target: str


@dataclass(frozen=True)
class Row:
    """One role. `limits` are those of today's program, `with_mechanism` the same limits with the new mechanism."""

    role: str
    budget: str
    mechanism: str
    loads: tuple[Load, ...]
    limits: tuple[Limit, ...]
    with_mechanism: tuple[Limit, ...] = ()

    @property
    def tightest(self) -> Limit | None:
        """The limit with the lowest ratio of those that rest on no assumption, None if none of them was measured."""
        return tightest(tuple(limit for limit in self.limits if not limit.assumption))

    @property
    def tightest_assumed(self) -> Limit | None:
        """The limit with the lowest ratio of those that rest on an assumption."""
        return tightest(tuple(limit for limit in self.limits if limit.assumption))

    @property
    def tightest_with_mechanism(self) -> Limit | None:
        """The limit with the lowest ratio with the new mechanism."""
        return tightest(self.with_mechanism)


def tightest(limits: tuple[Limit, ...]) -> Limit | None:
    """Returns the limit with the lowest ratio, None if none was measured."""
    known = [(limit.ratio, i) for i, limit in enumerate(limits) if limit.ratio is not None]
    return limits[min(known)[1]] if known else None


def sorted_by_ratio(rows: list[Row]) -> list[Row]:
    """Returns rows with the lowest ratio first.

    Rows with a limit that rests on no assumption come before all others, and rows without a measured limit last.
    """

    def sort_key(row: Row) -> tuple[bool, float]:
        """Returns whether the row has no measured limit without an assumption, and its lowest ratio."""
        limit = row.tightest or row.tightest_assumed
        ratio = limit.ratio if limit is not None else None
        return row.tightest is None, float("inf") if ratio is None else ratio

    return sorted(rows, key=sort_key)
