"""One row a role: what it takes at today's size and at the target, how much of the target it carries, what breaks first.

Here stand the types; the roles stand in `roles_sessions.py`, `roles_nodes.py` and `roles_control.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SUFFICIENT_RATIO = 2.0
"""Carried over needed past which it does not matter how much more would be; no size is looked for beyond it."""


class Basis(Enum):
    """How what is carried is known."""

    CONSTANT = "constant in the code"
    MEASURED = "measured"
    SIMULATED = "simulated"
    DERIVED = "derived from measured figures"
    NOT_MEASURED = "not measured"
    ABSENT = "does not exist"


@dataclass(frozen=True)
class Limit:
    """One bound that a role meets on its way to the target: the largest value of its driver at which it still does its
    work within the budget, and the value that is needed in the worst hour. `consequence`: what happens past it. `assumption`: the
    assumption of this page that it rests on, where the users' figures alone do not give it. A bound past which a cache
    only forgets is no limit and has no entry."""

    driver: str
    carried: float | None
    needed: float
    basis: Basis
    source: str
    consequence: str
    assumption: str = ""

    @property
    def ratio(self) -> float | None:
        """Carried over needed; None where nothing was measured."""
        return None if self.carried is None else self.carried / self.needed


@dataclass(frozen=True)
class Load:
    """What a role takes of one resource at today's size and at the target, as it is to be shown."""

    resource: str
    today: str
    target: str


@dataclass(frozen=True)
class Row:
    """One role. `limits`: of today's text; `with_mechanism`: the same limits once the new mechanism carries the role."""

    role: str
    budget: str
    mechanism: str
    loads: tuple[Load, ...]
    limits: tuple[Limit, ...]
    with_mechanism: tuple[Limit, ...] = ()

    @property
    def tightest(self) -> Limit | None:
        """The limit with the lowest ratio of those that the users' figures give; None where none was measured."""
        return tightest(tuple(limit for limit in self.limits if not limit.assumption))

    @property
    def tightest_assumed(self) -> Limit | None:
        """The same of those that rest on an assumption."""
        return tightest(tuple(limit for limit in self.limits if limit.assumption))

    @property
    def tightest_with_mechanism(self) -> Limit | None:
        """The same with the new mechanism."""
        return tightest(self.with_mechanism)


def tightest(limits: tuple[Limit, ...]) -> Limit | None:
    """The limit with the lowest carried / needed."""
    known = [(limit.ratio, i) for i, limit in enumerate(limits) if limit.ratio is not None]
    return limits[min(known)[1]] if known else None


def sorted_by_ratio(rows: list[Row]) -> list[Row]:
    """Rows by carried / needed as the users' figures give it, the lowest first; then those that rest on assumptions
    alone, by theirs; those without a figure last."""

    def key(row: Row) -> tuple[bool, float]:
        limit = row.tightest or row.tightest_assumed
        ratio = limit.ratio if limit is not None else None
        return row.tightest is None, float("inf") if ratio is None else ratio

    return sorted(rows, key=key)
