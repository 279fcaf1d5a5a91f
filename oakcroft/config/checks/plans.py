"""Checks of the bitrate ladder and of plans."""

from __future__ import annotations

from itertools import pairwise

from oakcroft.config import forms
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records
from oakcroft.config.schema import TIME_TYPE, Record, format_value


def check_ladder(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each rate has a worth, that rates rise from rung to rung and that worths don't fall."""
    ladder = records.find_single(forms.LADDER)
    if ladder is None or "rates" not in ladder.values or "worth" not in ladder.values:
        return
    rates = ladder.get("rates")
    worths = ladder.get("worth")
    if len(rates) != len(worths):
        message = f"the number of worths ({len(worths)}) differs from the number of rates ({len(rates)})"
        diagnostics.error(ladder.location_of("worth"), message, "write one worth for each rate")
    if any(higher <= lower for lower, higher in pairwise(rates)):
        message = "rates are not in ascending order"
        diagnostics.error(ladder.location_of("rates"), message, "write the lowest rung first, each rate once")
    if any(higher < lower for lower, higher in pairwise(worths)):
        message = "a higher rung is worth less than a lower one"
        diagnostics.warn(ladder.location_of("worth"), message, "write worths in ascending order")


def check_plans(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each plan's rungs are on the ladder, its times are in order, and a route uses it."""
    used = {route.values.get("plan") for route in records.named_records(forms.ROUTE).values()}
    for name, plan in records.named_records(forms.PLAN).items():
        _check_rungs(plan, records.ladder_length(), diagnostics)
        _check_times(plan, diagnostics)
        _check_effect(plan, diagnostics)
        if used - {None} and name not in used:
            diagnostics.warn(plan.location, f"no route uses plan {name}", f"add a route with (plan {name})")


def _check_rungs(plan: Record, rung_count: int, diagnostics: Diagnostics) -> None:
    top = plan.get("top")
    floor = plan.get("floor")
    if rung_count and top is not None and top >= rung_count:
        message = f"plan {plan.name} has top {top}, but the ladder ends at rung {rung_count - 1}"
        diagnostics.warn(plan.location_of("top"), message, f"write (top {rung_count - 1})")
    if rung_count and floor >= rung_count:
        message = f"plan {plan.name} has floor {floor}, but the ladder ends at rung {rung_count - 1}"
        diagnostics.error(plan.location_of("floor"), message, f"write (floor {rung_count - 1}) or less")
    elif top is not None and floor > top:
        message = f"plan {plan.name} has floor {floor} above its top {top}"
        diagnostics.error(plan.location_of("floor"), message, f"write (floor {top}) or less")


def _check_times(plan: Record, diagnostics: Diagnostics) -> None:
    target_ns = plan.values.get("startup-target")
    abandon_ns = plan.values.get("abandon")
    if target_ns and abandon_ns and abandon_ns < target_ns:
        shown_target = format_value(TIME_TYPE, target_ns)
        message = f"the abandon time of plan {plan.name} ({format_value(TIME_TYPE, abandon_ns)}) is shorter than its startup target ({shown_target})"
        diagnostics.error(plan.location_of("abandon"), message, f"write (abandon {shown_target}) or more")


def _check_effect(plan: Record, diagnostics: Diagnostics) -> None:
    if plan.values.get("effect") in (None, "keyed"):
        return
    for field_name in ("key-lasts", "group"):
        if field_name in plan.field_locations:
            message = f"{field_name} does not apply to plan {plan.name}, whose effect is {plan.get('effect')}"
            diagnostics.warn(plan.location_of(field_name), message, f"remove ({field_name} …)")
