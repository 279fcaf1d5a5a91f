"""Checks of pools of nodes."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.deployment_builder import build_pool_from_record
from oakcroft.config.diagnostics import Diagnostics, closest_match
from oakcroft.config.records import Records
from oakcroft.config.schema import Record


def check_pools(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that each pool refers to what the fleet defines, can match a node, and is used by a route."""
    used = {route.values.get("pool") for route in records.named_records(forms.ROUTE).values()}
    for name, pool in records.named_records(forms.POOL).items():
        for field, label in (("wings", "wing"), ("kinds", "kind")):
            _check_names(pool, field, records.fleet_value(field), label, diagnostics)
        _check_racks(pool, records.fleet_value("racks"), diagnostics)
        if reason := build_pool_from_record(name, pool).empty_reason():
            diagnostics.error(pool.location, f"pool {name} matches no node: {reason}", "correct nodes or but")
        if not any(pool.get(field.name) for field in forms.POOL.fields):
            message = f"pool {name} has no conditions, so it contains every node"
            diagnostics.warn(pool.location, message, "remove it, and (pool …) from its routes")
        if name not in used:
            diagnostics.warn(pool.location, f"no route uses pool {name}", "")


def _check_names(
    pool: Record, field_name: str, known_names: tuple[str, ...], label: str, diagnostics: Diagnostics
) -> None:
    """Checks names against those of the fleet. A fleet that lists none allows any name."""
    for name in pool.get(field_name) if known_names else ():
        if name in known_names:
            continue
        guess = closest_match(name, known_names)
        fix = f"write {guess}" if guess else f"add {name} to ({field_name} …) of the fleet"
        diagnostics.error(
            pool.location_of(field_name),
            f"pool {pool.name} refers to {label} {name}, which (fleet …) does not list",
            fix,
        )


def _check_racks(pool: Record, rack_count: int, diagnostics: Diagnostics) -> None:
    for rack in pool.get("racks"):
        if rack >= rack_count:
            message = f"pool {pool.name} refers to rack {rack}, but the last rack is {rack_count - 1}"
            diagnostics.error(pool.location_of("racks"), message, "racks are numbered from 0")
