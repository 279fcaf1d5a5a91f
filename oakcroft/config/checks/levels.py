"""Checks of the levels of reduced service and of the preference between zones."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.checks.references import check_defined
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records
from oakcroft.config.schema import InvalidValueError, Record
from oakcroft.config.syntax import Atom
from oakcroft.config.value_types import SHARE_TYPE


def check_levels(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each level has a unique rank, a load signal with entry over exit, and only admits defined plans."""
    ranks: dict[int, str] = {}
    for name, level in records.named_records(forms.SERVICE_LEVEL).items():
        rank = level.get("rank")
        other = ranks.setdefault(rank, name)
        if other != name:
            message = f"levels {other} and {name} have the same rank"
            diagnostics.error(level.location_of("rank"), message, "number them from 1")
        if not any(signal in level.field_locations for signal in forms.SIGNAL_FIELDS):
            message = f"level {name} has no signal threshold and is never entered"
            diagnostics.error(level.location, message, "add (x 1.05 0.9)")
        _check_thresholds(level, diagnostics)
        _check_admitted(level, records, diagnostics)


def _check_thresholds(level: Record, diagnostics: Diagnostics) -> None:
    """Checks that the entry threshold of each signal exceeds its exit, so that the level doesn't flap."""
    for signal in forms.SIGNAL_FIELDS:
        bounds = level.get(signal)
        if not bounds:
            continue
        entry_threshold, exit_threshold = bounds
        if entry_threshold <= exit_threshold:
            message = f"level {level.name} has {signal} entry {entry_threshold:g}, which must be above its exit {exit_threshold:g}"
            diagnostics.error(level.location_of(signal), message, "write the entry first, and a lower exit")


def _check_admitted(level: Record, records: Records, diagnostics: Diagnostics) -> None:
    for plan, share in level.get("admits"):
        check_defined(level, "admits", records.named_records(forms.PLAN), "plan", diagnostics, plan)
        try:
            SHARE_TYPE.parse(Atom(share, level.location_of("admits"), False, share))
        except InvalidValueError as error:
            diagnostics.error(level.location_of("admits"), error.message, error.fix)


def check_preference(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the preference names zones of the fleet, each once, and that the fleet has at least two."""
    preference = records.find_single(forms.ZONE_PREFERENCE)
    if preference is None:
        return
    zones = records.fleet_value("wings")
    preferred_zones = preference.get("then")
    for zone in preferred_zones:
        check_defined(preference, "then", dict.fromkeys(zones), "wing", diagnostics, zone)
    if len(set(preferred_zones)) != len(preferred_zones):
        diagnostics.error(preference.location_of("then"), "a wing is listed twice", "remove one of them")
    if len(zones) <= 1:
        message = "a preference needs at least two wings"
        diagnostics.error(preference.location, message, "list them in (fleet (wings …))")
