"""The rule check of lease holders finds injected faults in records that a model produces, one fault at a time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from oakcroft.decisions.fleet.lease import Fence
from oakcroft.interface import MS, SECOND
from oakcroft.rulecheck.lease_holders import check_lease_holders
from oakcroft.rulecheck.facts import Fact

TERM = 2 * SECOND
NAMES = {i: f"f{i}" for i in range(5)}
ACCEPTORS = frozenset({0, 1, 2})
LEASE_NAME = "catalogue"


class AdmitsAll(Fence):
    """A fence that admits everything."""

    def admits(self, lease_name: str, fencing_token: int, step: int) -> bool:
        return True


def model_records(
    fence: Callable[[], Fence] = Fence, early: int = 0, forgets: bool = False, away: int = 0
) -> list[Fact]:
    """Returns the records of four holders in turn, ten seconds each, whose orders reach five fronts, some of them late.

    `early` is how long before its predecessor's end each holder begins, as if a term were counted wrongly. With
    `forgets` the acceptors grant one fencing token twice. `away` is how long nobody holds the lease in between.
    """
    rng, facts, arriving = Random(3), list[Fact](), list[tuple[int, int, int, int]]()
    for turn in range(4):
        holder, token = turn % 5, 100 + (0 if forgets and turn == 2 else turn)
        begin = turn * (10 * SECOND + away) - (early if turn else 0)
        for t in range(begin, turn * (10 * SECOND + away) + 10 * SECOND, SECOND // 2):
            facts.append(
                {"t": t + MS, "kind": "owners", "front": holder, "asked": t, "duties": {LEASE_NAME: token}}
            )
        for step in range(3):
            for front in NAMES:
                late = 15 * SECOND if rng.random() < 0.2 else rng.randrange(SECOND)
                arriving.append((begin + step * 3 * SECOND + late, front, token, step + 1 + turn * 3))
    fences, place = {f: fence() for f in NAMES}, 0
    for t, front, token, step in sorted(arriving):
        if fences[front].admits(LEASE_NAME, token, step):
            fences[front].record(LEASE_NAME, token, step)
            facts.append(
                {"t": t, "kind": "effect", "front": front, "place": place, "number": token, "step": step}
            )
            place += 1
    last = max(fact["t"] for fact in facts)
    for front in NAMES:
        seen = list(fences[front].highest_seen[LEASE_NAME])
        facts.append(
            {"t": last, "kind": "stands", "front": front, "fence": seen, "in_force": "x", "stage": "done"}
        )
        facts.append({"t": last + MS, "kind": "owners", "front": front, "asked": last, "duties": {}})
    return facts


def breaches(facts: list[Fact]) -> dict[int, list[str]]:
    return {
        finding.rule: finding.breaches
        for finding in check_lease_holders(facts, NAMES, ACCEPTORS, TERM)
        if finding.breaches
    }


def test_a_correct_fleet_has_no_breaches() -> None:
    assert breaches(model_records()) == {}
    assert all(finding.cases for finding in check_lease_holders(model_records(), NAMES, ACCEPTORS, TERM))


@pytest.mark.parametrize(
    ("fault", "rule", "says"),
    [({"fence": AdmitsAll}, 22, "took effect after"), ({"early": 3 * SECOND}, 21, "while [0] still had 100"),
     ({"forgets": True}, 21, "is owned by fronts [0, 2]"), ({"away": 30 * SECOND}, 23, "nobody owned it for 30")],
)  # fmt: skip
def test_an_injected_fault_is_found(fault: dict[str, Any], rule: int, says: str) -> None:
    found = breaches(model_records(**fault))
    assert rule in found
    assert says in found[rule][0]


def test_a_time_without_a_majority_of_acceptors_is_no_gap() -> None:
    facts = model_records(away=30 * SECOND)
    for front in (0, 1):
        facts += [{"t": 9 * SECOND, "kind": "front killed", "front": front},
                  {"t": 150 * SECOND, "kind": "front started", "front": front}]  # fmt: skip
    assert 23 not in breaches(facts)
    one_only = [
        fact for fact in facts if fact["kind"] not in ("front killed", "front started") or fact["front"] == 0
    ]
    assert 23 in breaches(one_only)


def test_fences_that_went_back_and_differing_fronts_are_found() -> None:
    facts = model_records()
    last = facts[-1]["t"]
    back = {
        "t": last + SECOND,
        "kind": "stands",
        "front": 1,
        "fence": [100, 1],
        "in_force": "y",
        "stage": "done",
    }
    found = breaches([*facts, back])
    assert "its fence went back" in found[22][0]
    assert "in force" in found[24][0]
    open_ = dict(back, fence=[999, 1], in_force="x", stage="taken")
    assert "not over on fronts [1]" in breaches([*facts, open_])[24][0]
    assert "nobody ever owned" in breaches([fact for fact in facts if fact["kind"] == "stands"])[21][0]
