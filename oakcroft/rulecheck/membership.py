"""Checks the properties of the fleet's membership view from outside.

The input is what fronts answered when they were asked for their view, and what was done to the fronts and to the network
between them. What a front believes is not taken as true.

Facts, beside those that the six rules read: `seen` (front, start, members: name to standing and start), `front started`,
`front killed`, and `cut`, `lose`, `stand` with `phase` begins or ends, `fronts`, `one_way`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakcroft.interface import SECOND
from oakcroft.rulecheck.facts import Fact, Finding

DEATH_KNOWN_WITHIN_NS = 8 * SECOND
"""All fronts must know of a death within this: six seconds as stated for the fleet, half a second between two polls, and
some slack for a busy machine."""

SETTLED_WITHIN_NS = 12 * SECOND
"""The views must agree within this after a partition heals or a front returns: ten seconds as stated for the fleet, and
the same slack."""

IN_FLIGHT_SLACK_NS = 2 * SECOND
"""For so long, messages still in flight may call a front gone that was cut off or paused."""


@dataclass(frozen=True)
class Outage:
    """A time (ns) in which the others could not reach some fronts. Kinds are killed, cut and stand (paused)."""

    kind: str
    fronts: frozenset[int]
    begin: int
    end: int


def find_outages(facts: list[Fact], last: int) -> list[Outage]:
    """Returns all times in which fronts were killed, cut off or paused; one that is still open ends after `last`."""
    outages = list[Outage]()
    open_outages = dict[tuple[str, frozenset[int]], int]()
    for fact in sorted(facts, key=lambda fact: fact["t"]):
        kind = fact["kind"]
        if kind in ("front killed", "front started"):
            key = ("killed", frozenset((fact["front"],)))
            if kind == "front killed":
                open_outages[key] = fact["t"]
            elif key in open_outages:
                outages.append(Outage(*key, open_outages.pop(key), fact["t"]))
        elif kind in ("cut", "stand", "front stands still", "front goes on"):
            begins = fact.get("phase", "begins" if kind == "front stands still" else "ends") == "begins"
            fronts = frozenset(fact["fronts"] if "fronts" in fact else (fact["front"],))
            key = ("cut" if kind == "cut" else "stand", fronts)
            if begins:
                open_outages[key] = fact["t"]
            elif key in open_outages:
                outages.append(Outage(*key, open_outages.pop(key), fact["t"]))
    return outages + [Outage(*key, begin, last + 1) for key, begin in open_outages.items()]


def were_separated(one: int, other: int, outages: list[Outage], since: int, until: int) -> bool:
    """Whether, at any time from `since` to `until`, two fronts could not reach each other or either did not run."""
    for outage in outages:
        if outage.begin >= until or outage.end <= since:
            continue
        if outage.kind == "cut":
            if (one in outage.fronts) != (other in outage.fronts):
                return True
        elif one in outage.fronts or other in outage.fronts:
            return True
    return False


def check_membership(facts: list[Fact], names: Mapping[int, str]) -> list[Finding]:
    """Checks four properties: 11 no living front is called gone, 12 deaths are known in time, 13 a dead front is not
    called alive again, 14 all views agree in the end. `names` gives the member name of each front by its number."""
    facts = sorted(facts, key=lambda fact: fact["t"])
    views = [fact for fact in facts if fact["kind"] == "seen"]
    if not views:
        return [Finding(11, "views are on record", 1, ["no front answered with its view"])]
    last = views[-1]["t"]
    outages = find_outages(facts, last)
    numbers = {name: number for number, name in names.items()}
    return [
        _check_living(views, outages, numbers),
        _check_deaths_known(views, outages, names),
        _check_dead_stay_dead(views, outages, numbers),
        _check_agreement(views, outages, names, last),
    ]


def _check_living(views: list[Fact], outages: list[Outage], numbers: Mapping[str, int]) -> Finding:
    finding = Finding(11, "no living front is called gone")
    for view in views:
        for name, (state, _generation) in view["members"].items():
            member = numbers.get(name)
            if member is None or member == view["front"]:
                continue
            finding.cases += 1
            since = view["t"] - SETTLED_WITHIN_NS
            if state == "gone" and not were_separated(view["front"], member, outages, since, view["t"]):
                finding.add_breach(
                    f"front {view['front']} calls {name} gone, although the two could reach each other"
                )
    return finding


def _check_deaths_known(views: list[Fact], outages: list[Outage], names: Mapping[int, str]) -> Finding:
    finding = Finding(12, "deaths are known in time")
    for outage in outages:
        if outage.kind != "killed" or outage.end - outage.begin <= DEATH_KNOWN_WITHIN_NS + SECOND:
            continue
        (dead,) = outage.fronts
        for view in views:
            if not outage.begin + DEATH_KNOWN_WITHIN_NS < view["t"] < outage.end:
                continue
            if _was_down(view["front"], outages, outage.begin, view["t"]):
                continue
            finding.cases += 1
            state = view["members"].get(names[dead], ["unknown"])[0]
            if state in ("alive", "suspected"):
                late = (view["t"] - outage.begin) / SECOND
                finding.add_breach(
                    f"front {view['front']} calls {names[dead]} {state} {late:.1f} s after its death"
                )
    return finding


def _was_down(front: int, outages: list[Outage], since: int, until: int) -> bool:
    """Whether a front was killed or paused in a time, or so shortly before that its view may not have settled."""
    return any(
        front in outage.fronts
        and outage.kind != "cut"
        and outage.begin < until
        and outage.end > since - SETTLED_WITHIN_NS
        for outage in outages
    )


def _check_dead_stay_dead(views: list[Fact], outages: list[Outage], numbers: Mapping[str, int]) -> Finding:
    finding = Finding(13, "no dead front called alive")
    gone_since = dict[tuple[int, str, int], int]()
    """When a front first called a start of a member gone, by front, member name and start."""
    for view in views:
        for name, (state, generation) in view["members"].items():
            member = numbers.get(name)
            if member is None or member == view["front"]:
                continue
            key = (view["front"], name, generation)
            if state == "gone":
                gone_since.setdefault(key, view["t"])
            elif state == "alive" and key in gone_since:
                finding.cases += 1
                deaths = [
                    outage
                    for outage in outages
                    if outage.kind == "killed"
                    and member in outage.fronts
                    and outage.begin < view["t"] - IN_FLIGHT_SLACK_NS < outage.end
                ]
                if deaths and gone_since[key] > deaths[-1].begin:
                    finding.add_breach(
                        f"front {view['front']} calls {name} alive again, which is dead since its start {generation}"
                    )
                else:
                    del gone_since[key]
    return finding


def _check_agreement(
    views: list[Fact], outages: list[Outage], names: Mapping[int, str], last: int
) -> Finding:
    finding = Finding(14, "all views agree in the end")
    last_end = max((outage.end for outage in outages if outage.end <= last), default=0)
    settled_at = last_end + SETTLED_WITHIN_NS
    down = {
        front
        for outage in outages
        if outage.kind == "killed" and outage.end > last
        for front in outage.fronts
    }
    for view in views:
        if view["t"] <= settled_at or view["front"] in down:
            continue
        finding.cases += 1
        for number, name in names.items():
            state = view["members"].get(name, ["unknown"])[0]
            if (state == "alive") == (number in down):
                finding.add_breach(f"front {view['front']} calls {name} {state}")
    if not finding.cases:
        finding.add_breach("no front was asked after the last outage had settled: the run is too short")
    return finding
