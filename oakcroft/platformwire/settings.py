"""Checks each field of the platform's settings that is read, before anything is built from them."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import Any

from oakcroft import terms

NONE = -1.0  # below every range
TINY = 1e-9  # for fields that must be more than 0
FIGURES: dict[str, tuple[float, float]] = {
    "balancers": (0, inf), "me": (0, inf), "familyInfo.cells": (0, inf), "familyInfo.groups": (0, inf),
    "familyInfo.joinAdds": (0, inf), "familyInfo.reportsEveryMs": (0, inf), "familyInfo.seenAfterMs": (0, inf),
    "familyInfo.uplinkKb": (0, inf), "familyInfo.weightKb": (TINY, inf), "rules.coldMs": (0, inf),
    "rules.coldShare": (0, 1), "rules.fallMultiple": (TINY, inf), "rules.overloadForMs": (TINY, inf),
    "permissions.maxAttempts": (1, inf), "permissions.connIdleMs": (TINY, inf),
    "permissions.dialTimeoutMs": (TINY, inf), "permissions.streamsPerConn": (1, inf), "permissions.maxOpen": (1, inf),
}  # fmt: skip
EACH = {  # lists of numbers: the least value of each, and the list that must have the same length
    "familyInfo.classSeats": (0, "classes"), "familyInfo.classTop": (0, "classes"),
    "familyInfo.floorByClass": (0, "classes"), "familyInfo.rateFactor": (TINY, "classes"),
    "familyInfo.live": (0, "classes"), "familyInfo.ratesKb": (TINY, "familyInfo.rungWorth"),
    "familyInfo.rungWorth": (0, "familyInfo.ratesKb"), "familyInfo.kindSlots": (0, "models"),
}  # fmt: skip
MAY_LACK = {"rules.extraFree": 0.0, "rules.extraShare": 0.0, "rules.budgetSpanMs": 0.0, "rules.askWithinMs": 0.0,
            "permissions.maxRetryAfterMs": 0.0}  # fmt: skip
OF_CLASSES = {"objectiveMs": TINY, "deadlineMs": TINY, "worth": 0.0}


class Unserved(Exception):
    """Settings that cannot be served; the message names the field and the reason."""


def at(settings: Any, path: str) -> Any:
    """A field by its path; raises SettingsError if it is missing."""
    for name in path.split("."):
        if not isinstance(settings, dict) or name not in settings:
            raise Unserved(f"settings.{path} is missing")
        settings = settings[name]
    return settings


def figure(said: object, path: str, least: float, most: float = inf) -> None:
    """Raises SettingsError if a field is not a number in a range."""
    value = float(said) if isinstance(said, int | float) else NONE
    if not least <= value <= most:
        shown = "more than 0" if least == TINY else f"{least:g} at least"
        raise Unserved(f"settings.{path}: {str(said)[:40]!r} where a figure is wanted, {shown}"
                       + (f" and {most:g} at most" if most < inf else ""))  # fmt: skip


def listed(settings: Any, path: str) -> list[Any]:
    """A list that is not empty; raises SettingsError otherwise."""
    found = at(settings, path)
    if not isinstance(found, list) or not found:
        raise Unserved(f"settings.{path}: a list with something in it is wanted")
    return found


def classes(settings: Any) -> Iterator[tuple[str, dict[str, Any]]]:
    """Each class with its path; raises SettingsError if one has no name or the name of another."""
    names = set[str]()
    for i, one in enumerate(listed(settings, "classes")):
        path = f"classes[{i}]"
        if not isinstance(one, dict) or not isinstance(one.get("name"), str) or not one["name"]:
            raise Unserved(f"settings.{path}.name is missing")
        if one["name"] in names:
            raise Unserved(f"settings.{path}.name: {one['name']!r} stands twice")
        names.add(one["name"])
        yield path, one


def check(settings: Any) -> None:
    """Raises SettingsError for the first field that cannot be served."""
    for path, (least, most) in FIGURES.items():
        figure(at(settings, path), path, least, most)
    for path, least in MAY_LACK.items():
        group, _, name = path.partition(".")
        if at(settings, group).get(name) is not None:
            figure(at(settings, path), path, least)
    for path, one in classes(settings):
        for name, least in OF_CLASSES.items():
            if name not in one:
                raise Unserved(f"settings.{path}.{name} is missing")
            figure(one[name], f"{path}.{name}", least)
        for name, known in (("effect", terms.EFFECTS), ("group", terms.GROUPS)):
            word = one.get(name)
            if (word is not None or name == "effect") and (not isinstance(word, str) or word not in known):
                raise Unserved(f"settings.{path}.{name}: {str(word)[:40]!r} is none of {', '.join(known)}")
        if one.get("keyTtlMs") is not None:
            figure(one["keyTtlMs"], f"{path}.keyTtlMs", 0)
    for path, (least, like) in EACH.items():
        found = listed(settings, path)
        for i, said in enumerate(found):
            figure(said, f"{path}[{i}]", least)
        if len(found) != len(listed(settings, like)):
            raise Unserved(
                f"settings.{path}: {len(found)} figures where {like} has {len(at(settings, like))}"
            )
    for path in ("permissions.retryAfter", "membershipMode"):
        at(settings, path)
