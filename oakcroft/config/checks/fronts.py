"""Checks of a front end's own settings and of its timeouts for nodes."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.diagnostics import Diagnostics, closest_match, join_alternatives
from oakcroft.config.records import Records
from oakcroft.config.schema import TIME_TYPE, format_value


def check_front(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the front end's number and zone are among those of the fleet."""
    front = records.find_single(forms.FRONT)
    if front is None:
        return
    front_count = records.fleet_value("fronts")
    zones = records.fleet_value("wings")
    if front.get("number") >= front_count:
        message = f"front number {front.get('number')} is out of range: there are {front_count} fronts, numbered from 0"
        diagnostics.error(
            front.location_of("number"), message, f"write (number {max(0, front_count - 1)}) or less"
        )
    zone = front.get("zone")
    if zones and zone and zone not in zones:
        guess = closest_match(zone, zones)
        fix = f"write {guess}" if guess else f"write {join_alternatives(zones)}"
        diagnostics.error(front.location_of("zone"), f"there is no wing {zone}", fix)


def check_nodes(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the timeouts for nodes are in order and that the answer's margin fits into each plan's abandon time."""
    nodes = records.find_single(forms.NODES)
    if nodes is not None and nodes.get("lost-after") < nodes.get("silent-after"):
        message = "playbacks would count as lost before their node counts as silent"
        fix = f"write (lost-after {format_value(TIME_TYPE, nodes.get('silent-after'))}) or more"
        diagnostics.error(nodes.location_of("lost-after"), message, fix)
    signalling = records.find_single(forms.SIGNALLING)
    if signalling is None:
        return
    answer_margin_ns = signalling.get("way-back")
    for plan in records.named_records(forms.PLAN).values():
        abandon_ns = plan.values.get("abandon")
        if abandon_ns and answer_margin_ns * 2 > abandon_ns:
            message = f"way-back is more than half of plan {plan.name}'s abandon time {format_value(TIME_TYPE, abandon_ns)}"
            diagnostics.error(signalling.location_of("way-back"), message, "write a shorter time")
