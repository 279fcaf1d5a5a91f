"""Checks of pools of nodes."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.deployment_builder import pool_of_record
from oakcroft.config.diagnostics import Problems, near
from oakcroft.config.records import Records
from oakcroft.config.schema import Record


def check_pools(records: Records, problems: Problems) -> None:
    """Checks that each pool refers to what the fleet defines, can match a node, and is used by a route."""
    used = {route.values.get("pool") for route in records.all(forms.ROUTE).values()}
    for name, pool in records.all(forms.POOL).items():
        for field, what in (("wings", "wing"), ("kinds", "kind")):
            _check_names(pool, field, records.fleet(field), what, problems)
        _check_racks(pool, records.fleet("racks"), problems)
        if why := pool_of_record(name, pool).empty_by_itself():
            problems.error(pool.place, f"pool {name} matches nothing: {why}", "correct nodes or but")
        if not any(pool.get(field.name) for field in forms.POOL.fields):
            what = f"pool {name} says nothing, so it holds every node"
            problems.warn(pool.place, what, "take it out, and (pool …) from its routes")
        if name not in used:
            problems.warn(pool.place, f"no route uses pool {name}", "")


def _check_names(pool: Record, field: str, known: tuple[str, ...], what: str, problems: Problems) -> None:
    """Checks names against those of the fleet. A fleet that lists none allows any name."""
    for word in pool.get(field) if known else ():
        if word in known:
            continue
        guess = near(word, known)
        fix = f"write {guess}" if guess else f"add {word} to ({field} …) of the fleet"
        problems.error(pool.at(field), f"pool {pool.head} names {what} {word}, which (fleet …) does not", fix)


def _check_racks(pool: Record, racks: int, problems: Problems) -> None:
    for rack in pool.get("racks"):
        if rack >= racks:
            what = f"pool {pool.head} names rack {rack}, but racks end at {racks - 1}"
            problems.error(pool.at("racks"), what, "racks count from 0")
