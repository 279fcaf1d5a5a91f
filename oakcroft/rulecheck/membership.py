"""The properties of the fleet's view, judged from outside: by what fronts said when they were asked, and by what was
done to them and to the network between them. Nothing that a front believes is taken for granted.

Facts, beside those that the six rules read: `seen` (front, start, members: name to standing and start), `front started`,
`front killed`, and `cut`, `lose`, `stand` with `phase` begins or ends, `fronts`, `one_way`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakcroft.interface import SECOND
from oakcroft.rulecheck.facts import Fact, Finding

DEATH_KNOWN_WITHIN_NS = 8 * SECOND
"""A death: six seconds as stated for the fleet, half a second between two questions, and what a busy machine takes."""

SETTLED_WITHIN_NS = 12 * SECOND
"""A heal, a return: ten seconds as stated, and the same."""

IN_FLIGHT_SLACK_NS = (
    2 * SECOND
)  # a front that was cut off or stood still may be called gone by words that were on their way


@dataclass(frozen=True)
class Outage:
    """A time in which some fronts were not to be had for the others."""

    kind: str
    fronts: frozenset[int]
    begin: int
    end: int


def find_outages(facts: list[Fact], last: int) -> list[Outage]:
    """All times of being killed, cut off or standing still."""
    found, open_ = list[Outage](), dict[tuple[str, frozenset[int]], int]()
    for f in sorted(facts, key=lambda f: f["t"]):
        kind = f["kind"]
        if kind in ("front killed", "front started"):
            key = ("killed", frozenset((f["front"],)))
            if kind == "front killed":
                open_[key] = f["t"]
            elif key in open_:
                found.append(Outage(*key, open_.pop(key), f["t"]))
        elif kind in ("cut", "stand", "front stands still", "front goes on"):
            begins = f.get("phase", "begins" if kind == "front stands still" else "ends") == "begins"
            some = frozenset(f["fronts"] if "fronts" in f else (f["front"],))
            key = ("cut" if kind == "cut" else "stand", some)
            if begins:
                open_[key] = f["t"]
            elif key in open_:
                found.append(Outage(*key, open_.pop(key), f["t"]))
    return found + [Outage(*key, begin, last + 1) for key, begin in open_.items()]


def were_separated(one: int, other: int, all_: list[Outage], since: int, until: int) -> bool:
    """Whether in that time anything kept the one from the other, or either from running."""
    for span in all_:
        if span.begin >= until or span.end <= since:
            continue
        if span.kind == "cut":
            if (one in span.fronts) != (other in span.fronts):
                return True
        elif one in span.fronts or other in span.fronts:
            return True
    return False


def check_membership(facts: list[Fact], names: Mapping[int, str]) -> list[Finding]:
    """What was found of each property: 11 the living are not called gone, 12 deaths are known, 13 the dead stay dead,
    14 all agree in the end."""
    facts = sorted(facts, key=lambda f: f["t"])
    seen = [f for f in facts if f["kind"] == "seen"]
    if not seen:
        return [Finding(11, "the view was asked for", 1, ["no front said how it sees the others"])]
    last = seen[-1]["t"]
    all_, number = find_outages(facts, last), {name: i for i, name in names.items()}
    return [
        _living(seen, all_, number), _deaths(seen, all_, names), _dead(seen, all_, number),
        _agreed(seen, all_, names, last),
    ]  # fmt: skip


def _living(seen: list[Fact], all_: list[Outage], number: Mapping[str, int]) -> Finding:
    found = Finding(11, "the living are not called gone")
    for f in seen:
        for name, (standing, _start) in f["members"].items():
            other = number.get(name)
            if other is None or other == f["front"]:
                continue
            found.cases += 1
            if standing == "gone" and not were_separated(
                f["front"], other, all_, f["t"] - SETTLED_WITHIN_NS, f["t"]
            ):
                found.add_breach(f"front {f['front']} calls {name} gone, and nothing kept them apart")
    return found


def _deaths(seen: list[Fact], all_: list[Outage], names: Mapping[int, str]) -> Finding:
    found = Finding(12, "deaths are known in time")
    for span in all_:
        if span.kind != "killed" or span.end - span.begin <= DEATH_KNOWN_WITHIN_NS + SECOND:
            continue
        (dead,) = span.fronts
        for f in seen:
            if span.begin + DEATH_KNOWN_WITHIN_NS < f["t"] < span.end and not _hindered(
                f["front"], all_, span.begin, f["t"]
            ):
                found.cases += 1
                standing = f["members"].get(names[dead], ["unknown"])[0]
                if standing in ("alive", "suspected"):
                    late = (f["t"] - span.begin) / SECOND
                    found.add_breach(
                        f"front {f['front']} calls {names[dead]} {standing} {late:.1f} s after its death"
                    )
    return found


def _hindered(front: int, all_: list[Outage], since: int, until: int) -> bool:
    return any(
        front in s.fronts and s.kind != "cut" and s.begin < until and s.end > since - SETTLED_WITHIN_NS
        for s in all_
    )


def _dead(seen: list[Fact], all_: list[Outage], number: Mapping[str, int]) -> Finding:
    found = Finding(13, "the dead stay dead")
    gone = dict[tuple[int, str, int], int]()  # who said so, of whom, of which start: when first
    for f in seen:
        for name, (standing, start) in f["members"].items():
            other = number.get(name)
            if other is None or other == f["front"]:
                continue
            key = (f["front"], name, start)
            if standing == "gone":
                gone.setdefault(key, f["t"])
            elif standing == "alive" and key in gone:
                found.cases += 1
                dead = [
                    s
                    for s in all_
                    if s.kind == "killed"
                    and other in s.fronts
                    and s.begin < f["t"] - IN_FLIGHT_SLACK_NS < s.end
                ]
                if dead and gone[key] > dead[-1].begin:
                    found.add_breach(
                        f"front {f['front']} calls {name} alive again, which is dead since its start {start}"
                    )
                else:
                    del gone[key]
    return found


def _agreed(seen: list[Fact], all_: list[Outage], names: Mapping[int, str], last: int) -> Finding:
    found = Finding(14, "all agree in the end")
    quiet = max((s.end for s in all_ if s.end <= last), default=0) + SETTLED_WITHIN_NS
    down = {n for s in all_ if s.kind == "killed" and s.end > last for n in s.fronts}
    for f in seen:
        if f["t"] <= quiet or f["front"] in down:
            continue
        found.cases += 1
        for i, name in names.items():
            standing = f["members"].get(name, ["unknown"])[0]
            if (standing == "alive") == (i in down):
                found.add_breach(f"front {f['front']} calls {name} {standing}")
    if not found.cases:
        found.add_breach("nobody was asked after the last trouble had settled: the day is too short")
    return found
