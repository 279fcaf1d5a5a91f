"""Whether the fleet's duties had one owner at a time, judged from outside: by what fronts said when they were asked, by
the orders that took effect on each, in the order of its own log over all its lives, and by what was done to them.

Facts, beside those of membership.py: `owners` (front, asked: when it was asked, duties: name to number of those that it
takes for its own), `stands` (front, fence: number and step, in_force, stage of the last roll-out) and `effect` (front,
place: its line in the front's log, number, step).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from itertools import pairwise

from oakcroft.interface import SECOND
from oakcroft.rulecheck.membership import DEATH_KNOWN_WITHIN_NS, Outage, find_outages
from oakcroft.rulecheck.facts import Fact, Finding

POLL_INTERVAL_NS = SECOND  # between two looks at the same front, on a busy machine
MAX_OWNERLESS_TERMS = 2  # terms; beside what the view needs to know that the first in line are dead


def check_owners(
    facts: list[Fact], names: Mapping[int, str], keepers: frozenset[int], term: int
) -> list[Finding]:
    """What was found of each property: 21 one owner at a time, 22 no effect of an older number behind a newer, 23 not
    without an owner for long, 24 all fronts stand alike in the end. `term`: its length in ns."""
    facts = sorted(facts, key=lambda f: f["t"])
    last = max((f["t"] for f in facts if f["kind"] == "owners"), default=0)
    all_ = find_outages(facts, last)
    return [
        _one(facts),
        _effects(facts),
        _gaps(facts, all_, keepers, term, last),
        _alike(facts, all_, names),
    ]


def _one(facts: list[Fact]) -> Finding:
    """A number is one front's, and what two numbers' owners said of themselves does not overlap in time. A claim holds at
    some moment between question and answer."""
    found = Finding(21, "one owner at a time")
    said = defaultdict[tuple[str, int], list[Fact]](list)
    for f in facts:
        if f["kind"] == "owners":
            for duty, number in f["duties"].items():
                said[duty, number].append(f)
    by_duty = defaultdict[str, list[tuple[int, int, int, set[int]]]](list)
    for (duty, number), some in said.items():
        found.cases += len(some)
        fronts = {f["front"] for f in some}
        if len(fronts) > 1:
            found.add_breach(f"number {number} of {duty} is owned by fronts {sorted(fronts)}")
        # Surely owned from the first answer to the last question.
        by_duty[duty].append((number, min(f["t"] for f in some), max(f["asked"] for f in some), fronts))
    for duty, terms in by_duty.items():
        terms.sort()
        for (one, _, end, who), (other, begin, until, others) in pairwise(terms):
            if min(until, begin) < end and who != others:
                found.add_breach(
                    f"{duty}: fronts {sorted(others)} had {other} while {sorted(who)} still had {one}"
                )
    if not found.cases:
        found.add_breach("nobody ever owned anything")
    return found


def _effects(facts: list[Fact]) -> Finding:
    found = Finding(22, "no older number after a newer")
    highest = defaultdict[int, tuple[int, int]](lambda: (0, 0))
    for f in sorted((f for f in facts if f["kind"] == "effect"), key=lambda f: (f["front"], f["place"])):
        found.cases += 1
        now = (f["number"], f["step"])
        if now < highest[f["front"]]:
            found.add_breach(f"front {f['front']}: {now} took effect after {highest[f['front']]}")
        highest[f["front"]] = max(now, highest[f["front"]])
    fences = defaultdict[int, tuple[int, int]](lambda: (0, 0))
    for f in facts:
        if f["kind"] == "stands":
            found.cases += 1
            now = tuple(f["fence"])
            if now != (0, 0) and now < fences[f["front"]]:
                found.add_breach(
                    f"front {f['front']}: its fence went back from {fences[f['front']]} to {now}"
                )
            fences[f["front"]] = max(now, fences[f["front"]])
    return found


def _gaps(facts: list[Fact], all_: list[Outage], keepers: frozenset[int], term: int, last: int) -> Finding:
    """Without an owner for two terms at most, beside what the view needs to know of deaths; not counted are times in
    which fewer than a majority of keepers could be had, or the network was cut."""
    found = Finding(23, "not without an owner for long")
    claims = sorted((f["t"], f["asked"]) for f in facts if f["kind"] == "owners" and f["duties"])
    if not claims:
        return found
    allowed = MAX_OWNERLESS_TERMS * term + DEATH_KNOWN_WITHIN_NS + POLL_INTERVAL_NS
    for (one, _), (other, _) in zip(claims, [*claims[1:], (last, last)], strict=True):
        found.cases += 1
        if other - one > allowed and not _hindered(all_, keepers, one, other, term):
            found.add_breach(f"nobody owned it for {(other - one) / SECOND:.1f} s")
    return found


def _hindered(all_: list[Outage], keepers: frozenset[int], since: int, until: int, term: int) -> bool:
    away = set[int]()
    for span in all_:
        if span.begin >= until or span.end + 2 * term <= since:  # a keeper that was away sits out a term
            continue
        if span.kind == "cut":
            return True
        away |= span.fronts
    return 2 * len(keepers & away) >= len(keepers)


def _alike(facts: list[Fact], all_: list[Outage], names: Mapping[int, str]) -> Finding:
    found = Finding(24, "all stand alike in the end")
    last = dict[int, Fact]()
    for f in facts:
        if f["kind"] == "stands":
            last[f["front"]] = f
    end = max((f["t"] for f in last.values()), default=0)
    down = {n for s in all_ if s.end > end for n in s.fronts}
    stand = {i: f["in_force"] for i, f in last.items() if i not in down}
    found.cases = len(stand)
    if len(set(stand.values())) > 1:
        found.add_breach(f"in force: {stand}")
    if set(stand) != set(names) - down:
        found.add_breach(f"nothing was heard of fronts {sorted(set(names) - down - set(stand))}")
    open_ = sorted(i for i, f in last.items() if f["stage"] not in ("done", "stopped") and i not in down)
    if open_:
        found.add_breach(f"the last roll-out is not over on fronts {open_}")
    return found
