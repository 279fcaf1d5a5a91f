"""The version of the configuration in force, and which versions can be applied while the front serves.

A version is checked as a whole before it gets here. It comes into force between two events of the task that owns the
module. A request is decided under the version in force when it arrived, and a playback keeps the terms that it was
admitted under.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")


class ConfigurationVerdict(Enum):
    """Result of an offered version; logs and operators show the values."""

    TAKEN = "taken"
    SAME = "it means what is in force"
    OLDER = "a later one is in force"
    INVALID = "it is not sound"
    NEEDS_RESTART = "it changes what only a restart can take"


RESTART_ONLY_PARTS = ("ladder", "fleet", "front")
"""Parts of a configuration that only a restart changes, as the module and the sockets are built on them: playbacks refer
to rungs of the ladder by number, titles are placed by cells and racks, and fronts divide turns and limits among them."""


@dataclass(frozen=True)
class ConfigurationVersion(Generic[T]):
    """A version of the configuration that has passed its check."""

    number: int
    """Grows with each text that is read."""

    resolved: Mapping[str, Mapping[str, object]]
    """Its values by form, by which versions are compared."""

    compiled: T


class ActiveConfiguration(Generic[T]):
    """The version in force."""

    def __init__(self, first: ConfigurationVersion[T]) -> None:
        """`first` is the version that the front starts with."""
        self.version = first

    def apply(self, version: ConfigurationVersion[T] | None) -> tuple[ConfigurationVerdict, list[str]]:
        """Applies a version, or says why not; None stands for one that did not pass its check.

        For `NEEDS_RESTART` the parts that differ are returned too. Of two versions that come close together the one
        that was read later stays, whichever check ended first.
        """
        if version is None:
            return ConfigurationVerdict.INVALID, []
        if version.number <= self.version.number:
            return ConfigurationVerdict.OLDER, []
        restart_parts = [
            p for p in RESTART_ONLY_PARTS if version.resolved.get(p) != self.version.resolved.get(p)
        ]
        if restart_parts:
            return ConfigurationVerdict.NEEDS_RESTART, restart_parts
        if version.resolved == self.version.resolved:
            self.version = ConfigurationVersion(version.number, self.version.resolved, self.version.compiled)
            return ConfigurationVerdict.SAME, []
        self.version = version
        return ConfigurationVerdict.TAKEN, []


def plan_families(known_families: Mapping[str, int], plan_names: list[str]) -> dict[str, int]:
    """Returns a family number for each plan name.

    A number stays the same over all versions that one process applies, so that seats are counted across them.
    `known_families` are the numbers given so far.
    """
    families = dict(known_families)
    for name in plan_names:
        families.setdefault(name, len(families))
    return families
