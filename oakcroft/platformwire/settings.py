"""Checks each field of the platform's settings that is read, before anything is built from them."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import Any

from oakcroft import terms

NOT_A_NUMBER = -1.0  # used for a value of another type; below every range
MIN_POSITIVE = 1e-9  # for fields that must be more than 0
NUMBER_RANGES: dict[str, tuple[float, float]] = {
    "balancers": (0, inf),
    "me": (0, inf),
    "familyInfo.cells": (0, inf),
    "familyInfo.groups": (0, inf),
    "familyInfo.joinAdds": (0, inf),
    "familyInfo.reportsEveryMs": (0, inf),
    "familyInfo.seenAfterMs": (0, inf),
    "familyInfo.uplinkKb": (0, inf),
    "familyInfo.weightKb": (MIN_POSITIVE, inf),
    "rules.coldMs": (0, inf),
    "rules.coldShare": (0, 1),
    "rules.fallMultiple": (MIN_POSITIVE, inf),
    "rules.overloadForMs": (MIN_POSITIVE, inf),
    "permissions.maxAttempts": (1, inf),
    "permissions.connIdleMs": (MIN_POSITIVE, inf),
    "permissions.dialTimeoutMs": (MIN_POSITIVE, inf),
    "permissions.streamsPerConn": (1, inf),
    "permissions.maxOpen": (1, inf),
}
# Lists of numbers: the minimum of each element, and the list that must have the same length.
NUMBER_LISTS = {
    "familyInfo.classSeats": (0, "classes"),
    "familyInfo.classTop": (0, "classes"),
    "familyInfo.floorByClass": (0, "classes"),
    "familyInfo.rateFactor": (MIN_POSITIVE, "classes"),
    "familyInfo.live": (0, "classes"),
    "familyInfo.ratesKb": (MIN_POSITIVE, "familyInfo.rungWorth"),
    "familyInfo.rungWorth": (0, "familyInfo.ratesKb"),
    "familyInfo.kindSlots": (0, "models"),
}
OPTIONAL_MINIMUMS = {
    "rules.extraFree": 0.0,
    "rules.extraShare": 0.0,
    "rules.budgetSpanMs": 0.0,
    "rules.askWithinMs": 0.0,
    "permissions.maxRetryAfterMs": 0.0,
}
CLASS_MINIMUMS = {"objectiveMs": MIN_POSITIVE, "deadlineMs": MIN_POSITIVE, "worth": 0.0}


class SettingsError(Exception):
    """Settings are invalid; the message names the field and the reason."""


def field_at(settings: Any, path: str) -> Any:
    """Returns the field at a dotted path; raises SettingsError if it is missing."""
    for name in path.split("."):
        if not isinstance(settings, dict) or name not in settings:
            raise SettingsError(f"settings.{path} is missing")
        settings = settings[name]
    return settings


def check_number(raw: object, path: str, minimum: float, maximum: float = inf) -> None:
    """Raises SettingsError if a field is not a number within a range."""
    value = float(raw) if isinstance(raw, int | float) else NOT_A_NUMBER
    if not minimum <= value <= maximum:
        lower_bound = "greater than 0" if minimum == MIN_POSITIVE else f"at least {minimum:g}"
        upper_bound = f" and at most {maximum:g}" if maximum < inf else ""
        raise SettingsError(f"settings.{path}: {str(raw)[:40]!r} is not a number {lower_bound}{upper_bound}")


def non_empty_list(settings: Any, path: str) -> list[Any]:
    """Returns the list at a dotted path; raises SettingsError if it is missing or empty."""
    values = field_at(settings, path)
    if not isinstance(values, list) or not values:
        raise SettingsError(f"settings.{path}: a non-empty list is required")
    return values


def checked_classes(settings: Any) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yields each class with its path; raises SettingsError for a missing or repeated name."""
    names = set[str]()
    for i, raw_class in enumerate(non_empty_list(settings, "classes")):
        path = f"classes[{i}]"
        if (
            not isinstance(raw_class, dict)
            or not isinstance(raw_class.get("name"), str)
            or not raw_class["name"]
        ):
            raise SettingsError(f"settings.{path}.name is missing")
        if raw_class["name"] in names:
            raise SettingsError(f"settings.{path}.name: {raw_class['name']!r} is used twice")
        names.add(raw_class["name"])
        yield path, raw_class


def check(settings: Any) -> None:
    """Raises SettingsError for the first invalid field."""
    _check_numbers(settings)
    for path, raw_class in checked_classes(settings):
        _check_class(path, raw_class)
    _check_lists(settings)
    for path in ("permissions.retryAfter", "membershipMode"):
        field_at(settings, path)


def _check_numbers(settings: Any) -> None:
    """Checks the required and the optional numbers."""
    for path, (minimum, maximum) in NUMBER_RANGES.items():
        check_number(field_at(settings, path), path, minimum, maximum)
    for path, minimum in OPTIONAL_MINIMUMS.items():
        group, _, name = path.partition(".")
        if field_at(settings, group).get(name) is not None:
            check_number(field_at(settings, path), path, minimum)


def _check_class(path: str, raw_class: dict[str, Any]) -> None:
    """Checks the fields of one class."""
    for name, minimum in CLASS_MINIMUMS.items():
        if name not in raw_class:
            raise SettingsError(f"settings.{path}.{name} is missing")
        check_number(raw_class[name], f"{path}.{name}", minimum)
    for name, known_values in (("effect", terms.EFFECTS_BY_SETTING), ("group", terms.KEY_SCOPES_BY_SETTING)):
        value = raw_class.get(name)
        is_optional = name != "effect"
        if value is None and is_optional:
            continue
        if not isinstance(value, str) or value not in known_values:
            raise SettingsError(
                f"settings.{path}.{name}: {str(value)[:40]!r} is not one of {', '.join(known_values)}"
            )
    if raw_class.get("keyTtlMs") is not None:
        check_number(raw_class["keyTtlMs"], f"{path}.keyTtlMs", 0)


def _check_lists(settings: Any) -> None:
    """Checks the lists of numbers and that their lengths agree."""
    for path, (minimum, same_length_as) in NUMBER_LISTS.items():
        values = non_empty_list(settings, path)
        for i, raw in enumerate(values):
            check_number(raw, f"{path}[{i}]", minimum)
        if len(values) != len(non_empty_list(settings, same_length_as)):
            raise SettingsError(
                f"settings.{path}: length {len(values)}, but {same_length_as}"
                f" has length {len(field_at(settings, same_length_as))}"
            )
