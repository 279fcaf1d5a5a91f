"""Rule 1: each request that a running front accepted has exactly one final answer before its abandon time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS, SECOND
from oakcroft.rulecheck.facts import Fact, Finding

RESUME_GRACE_NS = 150 * MS
"""Within this time after a pause, a front must answer the requests whose abandon time fell into the pause."""

REQUEST_BEFORE_DEATH_NS = SECOND
"""A request sent this shortly after a front's death may have reached the dying process."""

Pauses = dict[int, list[tuple[int, int]]]
"""Begin and end of the pauses (SIGSTOP to SIGCONT) of each front, by its number."""


@dataclass
class RequestRecord:
    """What is on record about requests, by their key, and about fronts, by their number. Times are in ns."""

    answers: dict[str, list[Fact]] = field(default_factory=lambda: defaultdict(list))
    left_at: dict[str, int] = field(default_factory=dict)
    """When the viewer gave up."""
    cut_at: dict[str, int] = field(default_factory=dict)
    deaths: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    unreached: set[str] = field(default_factory=set)
    pauses: Pauses = field(default_factory=dict)


def check_answers(facts: list[Fact], site: SharedSettings) -> Finding:
    """Checks that each request that a running front accepted has one final answer before its abandon time.

    A paused front is not running. If the abandon time falls into a pause, the answer is due `RESUME_GRACE_NS` after the
    pause, and the case is counted as excused. A case is also excused if the client closed its connection after the
    abandon time but within the pause, as the front could neither answer nor close it.
    """
    finding = Finding(1, "no playback lost")
    record = _read_requests(facts)
    for fact in facts:
        if fact["kind"] == "ask" and fact["key"] not in record.unreached:
            finding.cases += 1
            deadline = fact["t"] + min(fact["wait"], site.plans[fact["plan"]].abandon_ns)
            _check_request(fact, deadline, record, finding)
    return finding


def _read_requests(facts: list[Fact]) -> RequestRecord:
    record = RequestRecord(pauses=_find_pauses(facts))
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


def _find_pauses(facts: list[Fact]) -> Pauses:
    """Returns the pauses of each front, by the signals that were sent to it."""
    pauses: Pauses = defaultdict(list)
    paused_at: dict[int, int] = {}
    for fact in facts:
        if fact["kind"] == "front stands still":
            paused_at[fact["front"]] = fact["t"]
        elif fact["kind"] == "front goes on" and fact["front"] in paused_at:
            pauses[fact["front"]].append((paused_at.pop(fact["front"]), fact["t"]))
    return pauses


def _check_request(request: Fact, deadline: int, record: RequestRecord, finding: Finding) -> None:
    """Checks the answers to a request whose answer is due at `deadline`."""
    key = request["key"]
    pauses = record.pauses[request["front"]]
    answers = record.answers[key]
    if answers and answers[0]["t"] > deadline:
        pause_end = next((end for begin, end in pauses if begin <= deadline <= end + RESUME_GRACE_NS), None)
        if pause_end is not None:
            deadline = pause_end + RESUME_GRACE_NS
            finding.excused += 1
    if len(answers) > 1 or any(answer.get("extra") for answer in answers):
        finding.add_breach(f"{key}: {len(answers)} answers, or bytes after one")
    elif answers and answers[0]["t"] > deadline:
        finding.add_breach(
            f"{key}: answered {(answers[0]['t'] - deadline) / MS:.0f} ms after its abandon time"
        )
    elif not answers:
        _check_unanswered(request, deadline, record, finding)


def _check_unanswered(request: Fact, deadline: int, record: RequestRecord, finding: Finding) -> None:
    """A request may stay unanswered if its front was killed, or if the viewer gave up before the deadline."""
    key = request["key"]
    front = request["front"]
    cut_at = record.cut_at.get(key, 0)
    if cut_at > deadline and any(begin <= deadline and cut_at < end for begin, end in record.pauses[front]):
        finding.excused += 1
        return
    was_killed = any(
        request["t"] - REQUEST_BEFORE_DEATH_NS <= death <= deadline for death in record.deaths[front]
    )
    if not was_killed and record.left_at.get(key, deadline) >= deadline:
        finding.add_breach(f"{key}: no answer from front {front}")
