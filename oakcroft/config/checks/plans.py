"""Checks of the bitrate ladder and of plans."""

from __future__ import annotations

from itertools import pairwise

from oakcroft.config import forms
from oakcroft.config.diagnostics import Problems
from oakcroft.config.records import Records
from oakcroft.config.schema import TIMES, Record, say


def check_ladder(records: Records, problems: Problems) -> None:
    """Checks that each rate has a worth, that rates rise from rung to rung and that worths don't fall."""
    ladder = records.one(forms.LADDER)
    if ladder is None or "rates" not in ladder.values or "worth" not in ladder.values:
        return
    rates, worth = ladder.get("rates"), ladder.get("worth")
    if len(rates) != len(worth):
        what = f"{len(worth)} worths stand for {len(rates)} rates"
        problems.error(ladder.at("worth"), what, "name one worth for each rate")
    if any(higher <= lower for lower, higher in pairwise(rates)):
        what = "rates do not rise from rung to rung"
        problems.error(ladder.at("rates"), what, "name the lowest rung first, each rate once")
    if any(higher < lower for lower, higher in pairwise(worth)):
        what = "a higher rung is worth less than a lower one"
        problems.warn(ladder.at("worth"), what, "let worths rise")


def check_plans(records: Records, problems: Problems) -> None:
    """Checks that each plan's rungs are on the ladder, its times are in order, and a route leads to it."""
    used = {route.values.get("plan") for route in records.all(forms.ROUTE).values()}
    for name, plan in records.all(forms.PLAN).items():
        _check_rungs(plan, records.ladder_length(), problems)
        _check_times(plan, problems)
        _check_effect(plan, problems)
        if used - {None} and name not in used:
            problems.warn(plan.place, f"no route leads to plan {name}", f"add a route with (plan {name})")


def _check_rungs(plan: Record, rungs: int, problems: Problems) -> None:
    top, floor = plan.get("top"), plan.get("floor")
    if rungs and top is not None and top >= rungs:
        what = f"plan {plan.head} has top {top}, but the ladder ends at rung {rungs - 1}"
        problems.warn(plan.at("top"), what, f"write (top {rungs - 1})")
    if rungs and floor >= rungs:
        what = f"plan {plan.head} has floor {floor}, but the ladder ends at rung {rungs - 1}"
        problems.error(plan.at("floor"), what, f"write (floor {rungs - 1}) or less")
    elif top is not None and floor > top:
        what = f"plan {plan.head} has its floor {floor} over its top {top}"
        problems.error(plan.at("floor"), what, f"write (floor {top}) or less")


def _check_times(plan: Record, problems: Problems) -> None:
    target, abandon = plan.values.get("startup-target"), plan.values.get("abandon")
    if target and abandon and abandon < target:
        shown = say(TIMES, target)
        what = f"plan {plan.head} is given up ({say(TIMES, abandon)}) before its startup target ({shown})"
        problems.error(plan.at("abandon"), what, f"write (abandon {shown}) or more")


def _check_effect(plan: Record, problems: Problems) -> None:
    if plan.values.get("effect") in (None, "keyed"):
        return
    for only in ("key-lasts", "group"):
        if only in plan.places:
            what = f"{only} means nothing for plan {plan.head}, whose effect is {plan.get('effect')}"
            problems.warn(plan.at(only), what, f"take ({only} …) out")
