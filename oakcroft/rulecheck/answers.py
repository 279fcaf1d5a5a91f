"""Rule 1: each request that a running front took has one final answer before its abandon time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS, SECOND
from oakcroft.rulecheck.facts import Fact, Finding

RESUME_GRACE_NS = 150 * MS
"""A front that stood still answers what fell due meanwhile within this."""

REQUEST_BEFORE_DEATH_NS = SECOND
"""A request that came so shortly after a front's death may have reached it as it died."""

Pauses = dict[int, list[tuple[int, int]]]
"""By front: from when to when it was made to stand still."""


@dataclass
class Record:
    """What the viewers put on record of their requests, by key, and of the fronts, by number."""

    answers: dict[str, list[Fact]] = field(default_factory=lambda: defaultdict(list))
    left_at: dict[str, int] = field(default_factory=dict)
    """When a viewer went of its own accord."""
    cut_at: dict[str, int] = field(default_factory=dict)
    deaths: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    unreached: set[str] = field(default_factory=set)
    pauses: Pauses = field(default_factory=dict)


def check_answers(facts: list[Fact], site: SharedSettings) -> Finding:
    """1: each request that a running front took has one final answer before its abandon time.

    A front that was made to stand still is not running: where the abandon time falls into such a pause, the answer
    is due `RESUME_GRACE_NS` after its end, and every such case is counted in `excused`; so is one whose client cut its
    connection after that time and within the pause, when nobody was there to answer or to cut.
    """
    found = Finding(1, "no playback lost")
    record = _read(facts)
    for fact in facts:
        if fact["kind"] == "ask" and fact["key"] not in record.unreached:
            found.cases += 1
            until = fact["t"] + min(fact["wait"], site.plans[fact["plan"]].abandon_ns)
            _judge_request(fact, until, record, found)
    return found


def _read(facts: list[Fact]) -> Record:
    record = Record(pauses=_pauses(facts))
    for fact in facts:
        match fact["kind"]:
            case "got":
                record.answers[fact["key"]].append(fact)
            case "left":
                record.left_at[fact["key"]] = fact["t"]
            case "cut" if "key" in fact:
                record.cut_at[fact["key"]] = fact["t"]
            case "front killed":
                record.deaths[fact["front"]].append(fact["t"])
            case "unreached":
                record.unreached.add(fact["key"])
    return record


def _pauses(facts: list[Fact]) -> Pauses:
    """When each front was made to stand still, from the signals sent to it."""
    pauses: Pauses = defaultdict(list)
    began: dict[int, int] = {}
    for fact in facts:
        if fact["kind"] == "front stands still":
            began[fact["front"]] = fact["t"]
        elif fact["kind"] == "front goes on" and fact["front"] in began:
            pauses[fact["front"]].append((began.pop(fact["front"]), fact["t"]))
    return pauses


def _judge_request(request: Fact, until: int, record: Record, found: Finding) -> None:
    """`until`: when the answer is due."""
    key, pauses = request["key"], record.pauses[request["front"]]
    given = record.answers[key]
    if given and given[0]["t"] > until:
        late = next((end for begin, end in pauses if begin <= until <= end + RESUME_GRACE_NS), None)
        if late is not None:
            until = late + RESUME_GRACE_NS
            found.excused += 1
    if len(given) > 1 or any(answer.get("extra") for answer in given):
        found.add_breach(f"{key}: {len(given)} answers, or bytes after one")
    elif given and given[0]["t"] > until:
        found.add_breach(f"{key}: answered {(given[0]['t'] - until) / MS:.0f} ms after its abandon time")
    elif not given:
        _judge_unanswered(request, until, record, found)


def _judge_unanswered(request: Fact, until: int, record: Record, found: Finding) -> None:
    key, front = request["key"], request["front"]
    cut = record.cut_at.get(key, 0)
    if cut > until and any(begin <= until and cut < end for begin, end in record.pauses[front]):
        found.excused += 1
        return
    killed = any(request["t"] - REQUEST_BEFORE_DEATH_NS <= death <= until for death in record.deaths[front])
    if not killed and record.left_at.get(key, until) >= until:
        found.add_breach(f"{key}: no answer from front {front}")
