"""What the judges work on: facts of the record, set-ups as they reached the nodes, and findings.

A record is a list of facts, each with its time `t` in ns (one machine, one wall clock), its `kind`, and what
belongs to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from oakcroft.decisions.sessions.setup_outcome import PROBLEM_DRAINING, PROBLEM_FULL
from oakcroft.interface import MS

Fact = dict[str, Any]

PROOFS = (PROBLEM_FULL, PROBLEM_DRAINING)
"""Types of problems by which a node proves that it has not run a set-up."""

CREATED, UNAVAILABLE = 201, 503
"""Status codes by which a set-up succeeded, and by which it was refused for now."""

MAX_TRANSIT_NS = 60 * MS
"""Between a front's send and the stand-in's record of it, on a busy machine."""


@dataclass
class Finding:
    """One rule's result: how many cases it looked at, and the breaches."""

    rule: int
    name: str
    cases: int = 0
    breaches: list[str] = field(default_factory=list)
    excused: int = 0

    def add_breach(self, what: str) -> None:
        """Notes a breach."""
        self.breaches.append(what)


@dataclass
class SetUp:
    """One set-up as it reached a node."""

    t: int
    node: str
    front: str
    plan: str
    title: str
    key: str
    rung: int
    ended: int | None = None
    status: int = 0
    proven: bool = False
    """Whether the node proved that it has not run it."""
    over: int | None = None
    passed: list[tuple[int, str]] = field(default_factory=list)
    """When, and to which front, its session passed on."""


def collect_set_ups(facts: list[Fact]) -> list[SetUp]:
    """All set-ups of a record in order of time, with what became of them."""
    by_id: dict[str, SetUp] = {}
    by_session: dict[str, SetUp] = {}
    for fact in facts:
        kind = fact["kind"]
        if kind == "setup":
            by_id[fact["id"]] = SetUp(
                fact["t"], fact["node"], fact["front"], fact["plan"], fact["title"], fact["key"], fact["rung"]
            )
        elif kind in ("answer", "broken") and fact["id"] in by_id:
            one = by_id[fact["id"]]
            one.ended = fact["t"]
            if kind == "answer":
                one.status = fact["status"]
                one.proven = fact["status"] == UNAVAILABLE and fact["problem"] in PROOFS
            by_session[fact["id"].replace(".", "-")] = one
        elif kind == "over" and fact["session"] in by_session:
            by_session[fact["session"]].over = fact["t"]
        elif kind == "passed" and fact["session"] in by_session:
            by_session[fact["session"]].passed.append((fact["t"], fact["front"]))
    return list(by_id.values())
