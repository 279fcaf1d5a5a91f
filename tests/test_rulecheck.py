"""The checker finds every planted breach, and nothing in a clean record."""

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
T0 = 1000 * SECOND


def at(ms: float, kind: str, **fields: Any) -> dict[str, Any]:
    return {"t": T0 + round(ms * MS), "kind": kind, **fields}


def asked(ms: float, key: str, plan: str = "free", front: int = 0, **more: Any) -> dict[str, Any]:
    return at(ms, "ask", key=key, front=front, plan=plan, title="t", wait=9 * SECOND, **more)


def got(ms: float, key: str, status: int, kind: str = "", extra: bool = False) -> dict[str, Any]:
    return at(ms, "got", key=key, status=status, type=kind, extra=extra)


def a_try(ms: float, key: str, node: str, plan: str, status: int | None, took: float = 10, rung: int = 1,
          problem: str = "", front: str = "front-0-a") -> list[dict[str, Any]]:  # fmt: skip
    number = f"{node}-{ms}"
    facts = [at(ms, "setup", id=number, node=node, front=front, key=key, plan=plan, title="t", rung=rung)]
    if status is None:
        return [*facts, at(ms + took, "broken", node=node, id=number, key=key)]
    if status == 201:
        facts.append(
            at(ms + 1, "ran", node=node, key=key, plan=plan, front=front, session=number.replace(".", "-"))
        )
    return [*facts, at(ms + took, "answer", node=node, id=number, key=key, status=status, problem=problem)]


def told(ms: float, version: int, ready: list[str], front: str = "front-0-a") -> list[dict[str, Any]]:
    return [at(ms, "told", front=front, version=version, ready=ready, started=dict.fromkeys(ready, 0)),
            at(ms + 1, "poll", front=front, version=version)]  # fmt: skip


CLEAN = [
    at(0, "place", node="n", places=20), at(0, "place", node="m", places=20), *told(0, 0, ["n", "m"]),
    asked(10, "a", "paid"), *a_try(12, "a", "n", "paid", 503, problem=PROBLEM_FULL), *a_try(30, "a", "m", "paid", 201),
    got(45, "a", 201),
    asked(100, "b", "paid"), *a_try(101, "b", "n", "paid", None, 4800),
    got(4950, "b", 504, "urn:oakcroft:problem:aborted"),
    asked(200, "c"), got(210, "c", 503, "urn:oakcroft:problem:rejected"),
    asked(6000, "e", front=1), at(6100, "front killed", front=1), at(6101, "cut", key="e", front=1, why="reset"),
]  # fmt: skip


def broken(*more: Any) -> dict[int, int]:
    flat = [f for m in more for f in (m if isinstance(m, list) else [m])]
    return {f.rule: len(f.breaches) for f in check_rules([*CLEAN, *flat], SITE) if f.breaches}


def test_a_clean_record_has_no_breach_and_counts_its_cases() -> None:
    assert broken() == {}
    assert [f.cases for f in check_rules(CLEAN, SITE)] == [4, 2, 3, 0, 3, 1]


def test_rule_1_no_answer_late_answer_two_answers() -> None:
    assert broken(asked(20, "x")) == {1: 1}
    assert broken(asked(20, "x"), got(4025, "x", 503)) == {1: 1}
    assert broken(asked(20, "x"), got(30, "x", 503), got(31, "x", 503)) == {1: 1}
    assert broken(asked(20, "x"), got(30, "x", 201, extra=True)) == {1: 1}
    assert broken(asked(20, "x"), at(4500, "cut", key="x", front=0, why="late")) == {1: 1}
    assert broken(asked(20, "x"), at(900, "left", key="x", front=0)) == {}
    assert broken(asked(20, "x"), at(4500, "left", key="x", front=0)) == {1: 1}
    assert broken(asked(20, "x"), at(25, "unreached", key="x", front=0, why="refused")) == {}


def test_rule_1_a_front_that_stood_still_owes_its_answer_when_it_goes_on() -> None:
    pause = [at(3000, "front stands still", front=0), at(5000, "front goes on", front=0)]
    assert broken(pause, asked(20, "x"), got(5100, "x", 503)) == {}
    assert broken(pause, asked(20, "x"), got(5300, "x", 503)) == {1: 1}
    assert broken(pause, asked(2000, "x"), got(6100, "x", 503)) == {1: 1}
    assert broken(pause, asked(20, "x"), at(4500, "cut", key="x", front=0, why="")) == {}
    assert broken(pause, asked(20, "x"), at(5100, "cut", key="x", front=0, why="")) == {1: 1}
    assert broken(pause, asked(20, "x"), at(3500, "cut", key="x", front=0, why="")) == {1: 1}


def test_rule_2_twice_at_once_after_doubt_or_refused_after_doubt() -> None:
    first = a_try(1000, "x", "n", "paid", None)
    assert broken(first, *a_try(1100, "x", "m", "paid", 201)) == {2: 1}
    assert broken(*a_try(1000, "x", "n", "free", None, 500), *a_try(1100, "x", "m", "free", 201)) == {2: 1}
    late_refusal = [asked(990, "x", "paid"), got(1200, "x", 503, "urn:oakcroft:problem:rejected")]
    assert broken(first, late_refusal) == {2: 1}
    assert broken(at(1200, "both ways", key="x", same=False, status=201)) == {2: 1}
    twice = [*a_try(1000, "x", "n", "paid", 201), *a_try(1100, "x", "m", "paid", 201)]
    assert broken(twice) == {2: 2}


def test_rule_3_sent_to_a_node_after_the_grace() -> None:
    drained = told(7000, 1, ["m"])
    assert broken(drained, a_try(7200, "x", "n", "free", 201)) == {}
    assert broken(drained, a_try(7400, "x", "n", "free", 201)) == {3: 1}
    assert broken(drained, told(7350, 2, ["n", "m"]), a_try(7400, "x", "n", "free", 201)) == {}


def test_rule_4_a_cold_node_pushed_past_its_pace() -> None:
    cold = [at(8000, "death", node="n", process="n-1", seen_by=["front-0-a"]),
            at(9000, "start", node="n", process="n-2", cold=True)]  # fmt: skip
    few = [f for i in range(3) for f in a_try(9100 + i * 30, f"x{i}", "n", "paid", 201)]
    many = [f for i in range(9) for f in a_try(9100 + i * 30, f"x{i}", "n", "paid", 201)]
    stranger = [{**f, "front": "front-1-b"} for f in many]
    assert broken(cold, few) == {}
    assert broken(cold, many) == {4: 1}
    assert broken([{**cold[0], "seen_by": []}, cold[1]], at(0, "x"), many).get(4, 0) <= 1
    assert 4 not in broken(cold, told(9000.5, 5, ["m"], "front-1-b"), few, stranger[:2])


def test_rule_5_under_a_floor_or_over_the_seats() -> None:
    assert broken(a_try(1000, "x", "n", "free", 201, rung=0)) == {5: 1}
    low = at(900, "rung", node="n", front="f", plan="free", session="s", rung=0)
    assert broken(low) == {5: 1}
    seats = [f for i in range(3) for f in a_try(1000 + 20 * i, f"x{i}", "n", "free", 201)]
    assert broken(seats) == {5: 1}
    freed = at(1015, "over", node="n", session="n-1000", key="x0", front="front-0-a", why="deleted")
    assert broken(seats, freed) == {}


def test_rule_6_further_tries_past_the_budget() -> None:
    times = [(f"x{i}", n, 1000 + 100 * i + 40 * (n == "m")) for i in range(5) for n in ("n", "m")]
    tries = [f for key, n, t in times for f in a_try(t, key, n, "free", 500)]
    assert broken(tries) == {6: 3}


def moved(ms: float, key: str, node: str, plan: str, over_at: float | None) -> list[dict[str, Any]]:
    facts = a_try(ms, key, node, plan, 201)
    if over_at is not None:
        facts.append(
            at(over_at, "over", node=node, session=f"{node}-{ms}", key=key, front="front-0-a", why="deleted")
        )
    return facts


def test_moves_a_copy_beside_its_playback_is_no_breach_but_a_paid_one_is() -> None:
    overlap = [*moved(1000, "x", "n", "free", 2100), *moved(2000, "x~1", "m", "free", 9000)]
    assert broken(overlap) == {}
    paid = [*moved(1000, "x", "n", "paid", 2100), *moved(2000, "x~1", "m", "paid", 9000)]
    assert broken(paid) == {2: 1}


def test_moves_two_tries_of_one_playback_at_once_or_three_copies_are_found() -> None:
    at_once = [*moved(1000, "x", "n", "free", 3000), *a_try(2000, "x~1", "m", "free", None, 500),
               *moved(2100, "x~2", "n", "free", 3000)]  # fmt: skip
    assert broken(at_once)[2] == 1
    three = [
        *moved(1000, "x", "n", "free", None),
        *moved(2000, "x~1", "m", "free", None),
        *moved(2100, "x~2", "n", "free", None),
    ]
    assert 2 in broken(three)
