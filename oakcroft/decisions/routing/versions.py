"""Which version of the configuration is in force, and what may be taken while the front serves.

A version is checked whole before it gets here. It comes into force at one instant, between two events of the task
that owns the module; a request is decided under the version in force when it arrived, and what plays keeps the terms
it was taken under.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")


class Verdict(Enum):
    """What became of a version that was offered."""

    TAKEN = "taken"
    SAME = "it means what is in force"
    OLDER = "a later one is in force"
    BROKEN = "it is not sound"
    RESTART = "it changes what only a restart can take"


RESTART_ONLY = ("ladder", "fleet", "front")
"""Parts of a configuration that the module and the sockets are built on: the ladder's rungs have numbers that
playing sessions hold, cells and racks place titles, fronts share out turns and limits among them."""


@dataclass(frozen=True)
class Offer(Generic[T]):
    """A version: when its text was read (a number that only grows), what it means, its compiled form."""

    number: int
    meaning: Mapping[str, Mapping[str, object]]
    compiled: T


class InForce(Generic[T]):
    """The version in force and the history of what was offered."""

    def __init__(self, first: Offer[T]) -> None:
        self.offer = first

    def consider(self, offer: Offer[T] | None) -> tuple[Verdict, list[str]]:
        """Takes a version or says why not; None stands for one that did not pass its check.

        Two that come close together are taken in the order in which they were read, so the later one stays,
        whichever check was done first.
        """
        if offer is None:
            return Verdict.BROKEN, []
        if offer.number <= self.offer.number:
            return Verdict.OLDER, []
        fixed = [p for p in RESTART_ONLY if offer.meaning.get(p) != self.offer.meaning.get(p)]
        if fixed:
            return Verdict.RESTART, fixed
        if offer.meaning == self.offer.meaning:
            self.offer = Offer(offer.number, self.offer.meaning, self.offer.compiled)
            return Verdict.SAME, []
        self.offer = offer
        return Verdict.TAKEN, []


def families(plans: Mapping[str, int], names: list[str]) -> dict[str, int]:
    """A number for each plan name that stays the same over all versions of one front's life, so that seats are
    counted across them. `plans`: those given so far."""
    out = dict(plans)
    for name in names:
        out.setdefault(name, len(out))
    return out
