"""The input and output of the rule checks: recorded facts, set-ups as they reached the nodes, and findings.

A record is a list of facts, each with its time `t` (ns, all by the wall clock of one machine), its `kind`, and the
fields of that kind.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from oakcroft.decisions.sessions.setup_outcome import PROBLEM_DRAINING, PROBLEM_FULL
from oakcroft.interface import MS

Fact = dict[str, Any]

NOT_RUN_PROBLEMS = (PROBLEM_FULL, PROBLEM_DRAINING)
"""Problem types of an answer that prove that the node did not run the set-up."""

CREATED, UNAVAILABLE = 201, 503
"""Status codes of a set-up that succeeded, and of one that was refused temporarily."""

MAX_TRANSIT_NS = 60 * MS
"""Longest time between a front's send and the emulated node's record of it, on a busy machine."""


@dataclass
class Finding:
    """One rule's result: how many cases were checked, the breaches, and how many cases were excused."""

    rule: int
    name: str
    cases: int = 0
    breaches: list[str] = field(default_factory=list)
    excused: int = 0

    def add_breach(self, what: str) -> None:
        """Adds a breach, described by a text."""
        self.breaches.append(what)


@dataclass
class SetUp:
    """One set-up try as it reached a node. Times are in ns."""

    received_at: int
    node: str
    front: str
    plan: str
    title: str
    key: str
    rung: int
    ended_at: int | None = None
    """When the node answered or its connection broke; None if neither is on record."""
    status: int = 0
    """Status code of the node's answer; 0 if there was none."""
    proved_not_run: bool = False
    """Whether the node's answer proves that it did not run the set-up."""
    session_ended_at: int | None = None
    takeovers: list[tuple[int, str]] = field(default_factory=list)
    """When and by which front its session was taken over, in order."""


def collect_set_ups(facts: list[Fact]) -> list[SetUp]:
    """Collects all set-ups of a record, with their answers, ends and takeovers, in order of their receipt.

    The facts must be sorted by time.
    """
    by_id: dict[str, SetUp] = {}
    by_session: dict[str, SetUp] = {}
    for fact in facts:
        kind = fact["kind"]
        if kind == "setup":
            by_id[fact["id"]] = SetUp(
                fact["t"], fact["node"], fact["front"], fact["plan"], fact["title"], fact["key"], fact["rung"]
            )
        elif kind in ("answer", "broken") and fact["id"] in by_id:
            set_up = by_id[fact["id"]]
            set_up.ended_at = fact["t"]
            if kind == "answer":
                set_up.status = fact["status"]
                set_up.proved_not_run = fact["status"] == UNAVAILABLE and fact["problem"] in NOT_RUN_PROBLEMS
            by_session[fact["id"].replace(".", "-")] = set_up
        elif kind == "over" and fact["session"] in by_session:
            by_session[fact["session"]].session_ended_at = fact["t"]
        elif kind == "passed" and fact["session"] in by_session:
            by_session[fact["session"]].takeovers.append((fact["t"], fact["front"]))
    return list(by_id.values())
