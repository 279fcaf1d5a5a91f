"""Checks of the levels of reduced service and of the preference between wings."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.checks.references import is_defined
from oakcroft.config.diagnostics import Problems
from oakcroft.config.records import Records
from oakcroft.config.schema import Bad, Record
from oakcroft.config.syntax import Atom


def check_levels(records: Records, problems: Problems) -> None:
    """Checks that each level has a unique rank, a load signal with entry over exit, and only admits defined plans."""
    ranks: dict[int, str] = {}
    for name, level in records.all(forms.LEVEL).items():
        rank = level.get("rank")
        other = ranks.setdefault(rank, name)
        if other != name:
            what = f"levels {other} and {name} have the same rank"
            problems.error(level.at("rank"), what, "number them from 1")
        if not any(sign in level.places for sign in forms.SIGNS):
            what = f"level {name} names no sign and is never entered"
            problems.error(level.place, what, "add (x 1.05 0.9)")
        _check_signs(level, problems)
        _check_admitted(level, records, problems)


def _check_signs(level: Record, problems: Problems) -> None:
    """Checks that the entry threshold of each signal exceeds its exit, so that the level doesn't flap."""
    for sign in forms.SIGNS:
        bounds = level.get(sign)
        if not bounds:
            continue
        entry, leave = bounds
        if entry <= leave:
            what = f"level {level.head} is left at {sign} {leave:g} and entered at {entry:g}"
            problems.error(level.at(sign), what, "write the entry first, and the exit under it")


def _check_admitted(level: Record, records: Records, problems: Problems) -> None:
    for plan, share in level.get("admits"):
        is_defined(level, "admits", records.all(forms.PLAN), "plan", problems, plan)
        try:
            forms.SHARE.read(Atom(share, level.at("admits"), False, share))
        except Bad as bad:
            problems.error(level.at("admits"), bad.what, bad.fix)


def check_preference(records: Records, problems: Problems) -> None:
    """Checks that the preference names wings of the fleet, each once, and that the fleet has at least two."""
    preference = records.one(forms.PREFERENCE)
    if preference is None:
        return
    wings, order = records.fleet("wings"), preference.get("then")
    for wing in order:
        is_defined(preference, "then", dict.fromkeys(wings), "wing", problems, wing)
    if len(set(order)) != len(order):
        problems.error(preference.at("then"), "a wing stands twice in the order", "take one out")
    if len(wings) <= 1:
        what = "a preference needs two wings or more"
        problems.error(preference.place, what, "name them in (fleet (wings …))")
