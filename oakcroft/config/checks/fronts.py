"""Checks of a front end's own settings and of its timeouts for nodes."""

from __future__ import annotations

from oakcroft.config import forms
from oakcroft.config.diagnostics import Problems, near, or_list
from oakcroft.config.records import Records
from oakcroft.config.schema import TIMES, say


def check_front(records: Records, problems: Problems) -> None:
    """Checks that the front end's number and wing are among those of the fleet."""
    front = records.one(forms.FRONT)
    if front is None:
        return
    fronts, wings = records.fleet("fronts"), records.fleet("wings")
    if front.get("number") >= fronts:
        what = f"front {front.get('number')} of {fronts}: fronts count from 0"
        problems.error(front.at("number"), what, f"write (number {max(0, fronts - 1)}) or less")
    zone = front.get("zone")
    if wings and zone and zone not in wings:
        guess = near(zone, wings)
        fix = f"write {guess}" if guess else f"write {or_list(wings)}"
        problems.error(front.at("zone"), f"there is no wing {zone}", fix)


def check_nodes(records: Records, problems: Problems) -> None:
    """Checks that the timeouts for nodes are in order and that the answer's margin fits into each plan's abandon time."""
    nodes = records.one(forms.NODES)
    if nodes is not None and nodes.get("lost-after") < nodes.get("silent-after"):
        what = "playbacks would count as lost before their node counts as silent"
        fix = f"write (lost-after {say(TIMES, nodes.get('silent-after'))}) or more"
        problems.error(nodes.at("lost-after"), what, fix)
    signalling = records.one(forms.SIGNALLING)
    if signalling is None:
        return
    way_back = signalling.get("way-back")
    for plan in records.all(forms.PLAN).values():
        abandon = plan.values.get("abandon")
        if abandon and way_back * 2 > abandon:
            what = f"the way back takes over half of plan {plan.head}'s abandon time {say(TIMES, abandon)}"
            problems.error(signalling.at("way-back"), what, "write a shorter one")
