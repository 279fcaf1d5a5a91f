"""Checks of the levels of reduced service and of the preference between wings."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.checks.references import check_defined
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records
from oakcroft.config.schema import InvalidValueError, Record
from oakcroft.config.syntax import Atom


def check_levels(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each level has a unique rank, a load signal with entry over exit, and only admits defined plans."""
    ranks: dict[int, str] = {}
    for name, level in records.named_records(forms.SERVICE_LEVEL).items():
        rank = level.get("rank")
        other = ranks.setdefault(rank, name)
        if other != name:
            message = f"levels {other} and {name} have the same rank"
            diagnostics.error(level.location_of("rank"), message, "number them from 1")
        if not any(sign in level.field_locations for sign in forms.SIGNAL_FIELDS):
            message = f"level {name} has no signal threshold and is never entered"
            diagnostics.error(level.location, message, "add (x 1.05 0.9)")
        _check_signs(level, diagnostics)
        _check_admitted(level, records, diagnostics)


def _check_signs(level: Record, diagnostics: Diagnostics) -> None:
    """Checks that the entry threshold of each signal exceeds its exit, so that the level doesn't flap."""
    for sign in forms.SIGNAL_FIELDS:
        bounds = level.get(sign)
        if not bounds:
            continue
        entry, leave = bounds
        if entry <= leave:
            message = f"level {level.name} is left at {sign} {leave:g} and entered at {entry:g}"
            diagnostics.error(level.location_of(sign), message, "write the entry first, and a lower exit")


def _check_admitted(level: Record, records: Records, diagnostics: Diagnostics) -> None:
    for plan, share in level.get("admits"):
        check_defined(level, "admits", records.named_records(forms.PLAN), "plan", diagnostics, plan)
        try:
            forms.SHARE_TYPE.parse(Atom(share, level.location_of("admits"), False, share))
        except InvalidValueError as bad:
            diagnostics.error(level.location_of("admits"), bad.message, bad.fix)


def check_preference(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the preference names wings of the fleet, each once, and that the fleet has at least two."""
    preference = records.find_single(forms.ZONE_PREFERENCE)
    if preference is None:
        return
    wings = records.fleet_value("wings")
    order = preference.get("then")
    for wing in order:
        check_defined(preference, "then", dict.fromkeys(wings), "wing", diagnostics, wing)
    if len(set(order)) != len(order):
        diagnostics.error(preference.location_of("then"), "a wing is listed twice", "remove one of them")
    if len(wings) <= 1:
        message = "a preference needs at least two wings"
        diagnostics.error(preference.location, message, "list them in (fleet (wings …))")
