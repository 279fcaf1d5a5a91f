"""The rule check finds every breach injected into a record, and none in a correct record."""

from __future__ import annotations

from typing import Any

from oakcroft.config import pipeline as compiling
from oakcroft.decisions.sessions.setup_outcome import PROBLEM_FULL
from oakcroft.interface import MS, SECOND
from oakcroft.rulecheck.rules import check_rules

FOUND, PROBLEMS = compiling.check_file(
    "s",
    lambda _: (
        """(fleet (fronts 2) (cells 2) (drain-grace 250ms) (cold-share 0.5) (cold-for 10s)
    (fall-multiple 2) (fall-window 1s) (tries-budget (free 3) (share 0) (window 5s)))
  (ladder (rates 200kB/s 400kB/s) (worth 0.5 1))
  (plan paid (effect paid) (startup-target 1s) (abandon 5s) (revenue 2))
  (plan free (effect free) (startup-target 1s) (abandon 4s) (revenue 1) (floor 1) (seats 2))
  (route p (path "/p/") (plan paid)) (route f (path "/f/") (plan free))"""
    ),
    is_front_file=False,
)
assert FOUND is not None
SITE = compiling.build_deployment(FOUND).shared
START_NS = 1000 * SECOND


def fact(ms: float, kind: str, **fields: Any) -> dict[str, Any]:
    return {"t": START_NS + round(ms * MS), "kind": kind, **fields}


def request(ms: float, key: str, plan: str = "free", front: int = 0, **more: Any) -> dict[str, Any]:
    return fact(ms, "ask", key=key, front=front, plan=plan, title="t", wait=9 * SECOND, **more)


def answer(ms: float, key: str, status: int, kind: str = "", extra: bool = False) -> dict[str, Any]:
    return fact(ms, "got", key=key, status=status, type=kind, extra=extra)


def set_up(ms: float, key: str, node: str, plan: str, status: int | None, took: float = 10, rung: int = 1,
          problem: str = "", front: str = "front-0-a") -> list[dict[str, Any]]:  # fmt: skip
    number = f"{node}-{ms}"
    facts = [fact(ms, "setup", id=number, node=node, front=front, key=key, plan=plan, title="t", rung=rung)]
    if status is None:
        return [*facts, fact(ms + took, "broken", node=node, id=number, key=key)]
    if status == 201:
        facts.append(
            fact(ms + 1, "ran", node=node, key=key, plan=plan, front=front, session=number.replace(".", "-"))
        )
    return [*facts, fact(ms + took, "answer", node=node, id=number, key=key, status=status, problem=problem)]


def list_sent(ms: float, version: int, ready: list[str], front: str = "front-0-a") -> list[dict[str, Any]]:
    return [fact(ms, "told", front=front, version=version, ready=ready, started=dict.fromkeys(ready, 0)),
            fact(ms + 1, "poll", front=front, version=version)]  # fmt: skip


CORRECT_RECORD = [
    fact(0, "place", node="n", places=20), fact(0, "place", node="m", places=20), *list_sent(0, 0, ["n", "m"]),
    request(10, "a", "paid"), *set_up(12, "a", "n", "paid", 503, problem=PROBLEM_FULL),
    *set_up(30, "a", "m", "paid", 201), answer(45, "a", 201),
    request(100, "b", "paid"), *set_up(101, "b", "n", "paid", None, 4800),
    answer(4950, "b", 504, "urn:oakcroft:problem:aborted"),
    request(200, "c"), answer(210, "c", 503, "urn:oakcroft:problem:rejected"),
    request(6000, "e", front=1), fact(6100, "front killed", front=1), fact(6101, "cut", key="e", front=1, why="reset"),
]  # fmt: skip


def breaches(*more: Any) -> dict[int, int]:
    """Returns the number of breaches by rule in the correct record and more facts, each a fact or a list of facts."""
    added = [item for part in more for item in (part if isinstance(part, list) else [part])]
    findings = check_rules([*CORRECT_RECORD, *added], SITE)
    return {finding.rule: len(finding.breaches) for finding in findings if finding.breaches}


def test_a_correct_record_has_no_breach_and_counts_its_cases() -> None:
    assert breaches() == {}
    assert [finding.cases for finding in check_rules(CORRECT_RECORD, SITE)] == [4, 2, 3, 0, 3, 1]


def test_rule_1_finds_missing_late_and_second_answers() -> None:
    assert breaches(request(20, "x")) == {1: 1}
    assert breaches(request(20, "x"), answer(4025, "x", 503)) == {1: 1}
    assert breaches(request(20, "x"), answer(30, "x", 503), answer(31, "x", 503)) == {1: 1}
    assert breaches(request(20, "x"), answer(30, "x", 201, extra=True)) == {1: 1}
    assert breaches(request(20, "x"), fact(4500, "cut", key="x", front=0, why="late")) == {1: 1}
    assert breaches(request(20, "x"), fact(900, "left", key="x", front=0)) == {}
    assert breaches(request(20, "x"), fact(4500, "left", key="x", front=0)) == {1: 1}
    assert breaches(request(20, "x"), fact(25, "unreached", key="x", front=0, why="refused")) == {}


def test_rule_1_expects_the_answer_of_a_paused_front_once_it_resumes() -> None:
    pause = [fact(3000, "front stands still", front=0), fact(5000, "front goes on", front=0)]
    assert breaches(pause, request(20, "x"), answer(5100, "x", 503)) == {}
    assert breaches(pause, request(20, "x"), answer(5300, "x", 503)) == {1: 1}
    assert breaches(pause, request(2000, "x"), answer(6100, "x", 503)) == {1: 1}
    assert breaches(pause, request(20, "x"), fact(4500, "cut", key="x", front=0, why="")) == {}
    assert breaches(pause, request(20, "x"), fact(5100, "cut", key="x", front=0, why="")) == {1: 1}
    assert breaches(pause, request(20, "x"), fact(3500, "cut", key="x", front=0, why="")) == {1: 1}


def test_rule_2_finds_concurrent_tries_and_repeats_or_rejections_after_an_uncertain_try() -> None:
    uncertain = set_up(1000, "x", "n", "paid", None)
    assert breaches(uncertain, *set_up(1100, "x", "m", "paid", 201)) == {2: 1}
    assert breaches(*set_up(1000, "x", "n", "free", None, 500), *set_up(1100, "x", "m", "free", 201)) == {
        2: 1
    }
    rejection = [request(990, "x", "paid"), answer(1200, "x", 503, "urn:oakcroft:problem:rejected")]
    assert breaches(uncertain, rejection) == {2: 1}
    assert breaches(fact(1200, "both ways", key="x", same=False, status=201)) == {2: 1}
    twice = [*set_up(1000, "x", "n", "paid", 201), *set_up(1100, "x", "m", "paid", 201)]
    assert breaches(twice) == {2: 2}


def test_rule_3_finds_set_ups_on_a_draining_node_after_the_grace() -> None:
    drained = list_sent(7000, 1, ["m"])
    assert breaches(drained, set_up(7200, "x", "n", "free", 201)) == {}
    assert breaches(drained, set_up(7400, "x", "n", "free", 201)) == {3: 1}
    assert breaches(drained, list_sent(7350, 2, ["n", "m"]), set_up(7400, "x", "n", "free", 201)) == {}


def test_rule_4_finds_a_cold_node_overloaded_by_fronts_that_know_its_start() -> None:
    cold = [fact(8000, "death", node="n", process="n-1", seen_by=["front-0-a"]),
            fact(9000, "start", node="n", process="n-2", cold=True)]  # fmt: skip
    few = [item for i in range(3) for item in set_up(9100 + i * 30, f"x{i}", "n", "paid", 201)]
    many = [item for i in range(9) for item in set_up(9100 + i * 30, f"x{i}", "n", "paid", 201)]
    many_of_other_front = [{**item, "front": "front-1-b"} for item in many]
    assert breaches(cold, few) == {}
    assert breaches(cold, many) == {4: 1}
    assert breaches([{**cold[0], "seen_by": []}, cold[1]], fact(0, "x"), many).get(4, 0) <= 1
    assert 4 not in breaches(cold, list_sent(9000.5, 5, ["m"], "front-1-b"), few, many_of_other_front[:2])


def test_rule_5_finds_rungs_under_the_floor_and_too_many_seats() -> None:
    assert breaches(set_up(1000, "x", "n", "free", 201, rung=0)) == {5: 1}
    rung_under_floor = fact(900, "rung", node="n", front="f", plan="free", session="s", rung=0)
    assert breaches(rung_under_floor) == {5: 1}
    seats = [item for i in range(3) for item in set_up(1000 + 20 * i, f"x{i}", "n", "free", 201)]
    assert breaches(seats) == {5: 1}
    session_end = fact(1015, "over", node="n", session="n-1000", key="x0", front="front-0-a", why="deleted")
    assert breaches(seats, session_end) == {}


def test_rule_6_finds_retries_over_the_budget() -> None:
    times = [(f"x{i}", n, 1000 + 100 * i + 40 * (n == "m")) for i in range(5) for n in ("n", "m")]
    tries = [item for key, n, t in times for item in set_up(t, key, n, "free", 500)]
    assert breaches(tries) == {6: 3}


def moved_set_up(ms: float, key: str, node: str, plan: str, over_at: float | None) -> list[dict[str, Any]]:
    facts = set_up(ms, key, node, plan, 201)
    if over_at is not None:
        facts.append(
            fact(
                over_at, "over", node=node, session=f"{node}-{ms}", key=key, front="front-0-a", why="deleted"
            )
        )
    return facts


def test_a_copy_beside_its_playback_is_a_breach_for_paid_plans_only() -> None:
    free = [*moved_set_up(1000, "x", "n", "free", 2100), *moved_set_up(2000, "x~1", "m", "free", 9000)]
    assert breaches(free) == {}
    paid = [*moved_set_up(1000, "x", "n", "paid", 2100), *moved_set_up(2000, "x~1", "m", "paid", 9000)]
    assert breaches(paid) == {2: 1}


def test_concurrent_tries_of_a_playback_and_its_copy_and_a_third_copy_are_found() -> None:
    at_once = [*moved_set_up(1000, "x", "n", "free", 3000), *set_up(2000, "x~1", "m", "free", None, 500),
               *moved_set_up(2100, "x~2", "n", "free", 3000)]  # fmt: skip
    assert breaches(at_once)[2] == 1
    three = [
        *moved_set_up(1000, "x", "n", "free", None),
        *moved_set_up(2000, "x~1", "m", "free", None),
        *moved_set_up(2100, "x~2", "n", "free", None),
    ]
    assert 2 in breaches(three)
