"""The active version of the configuration, and which versions can be applied while the front end serves.

A version has passed all its checks before it gets here. It becomes active between two events of the task that owns the
decision module. A request is decided under the version that was active when it arrived, and a playback keeps the terms
that it was admitted under.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")


class ConfigurationVerdict(Enum):
    """Result of a submitted version; logs and the operators' API show the values."""

    TAKEN = "taken"
    SAME = "it means what is in force"
    OLDER = "a later one is in force"
    INVALID = "it is not sound"
    NEEDS_RESTART = "it changes what only a restart can take"


RESTART_ONLY_PARTS = ("ladder", "fleet", "front")
"""Parts of a configuration that only a restart changes, as the decision module and the sockets are built on them.

Playbacks refer to rungs of the ladder by number, titles are placed by cells and racks, and front ends divide time slots
and limits by their number.
"""


@dataclass(frozen=True)
class ConfigurationVersion(Generic[T]):
    """A version of the configuration that has passed its checks."""

    number: int
    """Incremented with each text that is read."""

    resolved: Mapping[str, Mapping[str, object]]
    """The resolved configuration: its values by form, by which versions are compared."""

    compiled: T


class ActiveConfiguration(Generic[T]):
    """Holds the active version."""

    def __init__(self, first: ConfigurationVersion[T]) -> None:
        """`first` is the version that the front end starts with."""
        self.version = first

    def apply(self, version: ConfigurationVersion[T] | None) -> tuple[ConfigurationVerdict, list[str]]:
        """Applies a version, or returns why not; None stands for a version that did not pass its checks.

        For `NEEDS_RESTART` the parts that differ are returned too. Of two versions that are submitted at nearly the same
        time, the one that was read later stays active, whichever check ended first.
        """
        if version is None:
            return ConfigurationVerdict.INVALID, []
        if version.number <= self.version.number:
            return ConfigurationVerdict.OLDER, []
        restart_parts = [
            part
            for part in RESTART_ONLY_PARTS
            if version.resolved.get(part) != self.version.resolved.get(part)
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

    A number stays the same in all versions that one process applies, so that seats are counted across them.
    `known_families` are the numbers assigned so far.
    """
    families = dict(known_families)
    for name in plan_names:
        families.setdefault(name, len(families))
    return families
