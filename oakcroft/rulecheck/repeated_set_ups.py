"""Rule 2: no harmful repeat of a set-up, that is beside or after another one of the playback that may have run."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import Effect
from oakcroft.rulecheck.facts import CREATED, MAX_TRANSIT_NS, UNAVAILABLE, Fact, Finding, SetUp

REJECTED = "urn:oakcroft:problem:rejected"

MAX_COPIES = 2
"""A playback, and its copy on the target node while it moves."""


def check_repeated_set_ups(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """Checks that no try is open beside another, and, for paid plans, that neither a further try nor a rejection follows
    a try that may have run."""
    finding = Finding(2, "no harmful repeat of a set-up")
    tries_by_key: dict[str, list[SetUp]] = defaultdict(list)
    for set_up in tries:
        tries_by_key[set_up.key].append(set_up)
    for tries_of_key in tries_by_key.values():
        _check_tries(tries_of_key, site, finding)
    _check_answers(facts, tries_by_key, site, finding)
    _check_paid_runs(facts, site, finding)
    _check_moves(tries, site, finding)
    return finding


def playback_key(key: str) -> str:
    """Returns the key of the playback that a key belongs to: a player's key for the n-th move of `k` is `k~n`."""
    return key.partition("~")[0]


def _is_paid(site: SharedSettings, plan: str) -> bool:
    return site.plans[plan].plan.effect is Effect.PAID


def _overlaps(earlier: SetUp, later: SetUp) -> bool:
    """Whether the later try was sent before the earlier one had ended."""
    return earlier.ended_at is None or earlier.ended_at > later.received_at + MAX_TRANSIT_NS


def _check_tries(tries: list[SetUp], site: SharedSettings, finding: Finding) -> None:
    """Checks all tries under one key."""
    finding.cases += 1
    paid = _is_paid(site, tries[0].plan)
    for earlier, later in pairwise(tries):
        if _overlaps(earlier, later):
            finding.add_breach(f"{earlier.key}: tries on {earlier.node} and {later.node} open at once")
        if paid and not earlier.proved_not_run:
            finding.add_breach(
                f"{earlier.key}: paid, sent to {later.node} though {earlier.node} may have run it"
            )


def _check_answers(
    facts: list[Fact], tries_by_key: dict[str, list[SetUp]], site: SharedSettings, finding: Finding
) -> None:
    """Checks rejections of paid playbacks, and that one key asked over HTTP and WebSocket stands for one playback."""
    for fact in facts:
        kind = fact["kind"]
        if kind == "got" and fact["status"] == UNAVAILABLE and fact.get("type") == REJECTED:
            tries = tries_by_key.get(fact["key"], [])
            if tries and _is_paid(site, tries[0].plan) and not all(set_up.proved_not_run for set_up in tries):
                finding.add_breach(f"{fact['key']}: paid and rejected though a try may have run")
        elif kind == "both ways" and fact["status"] == CREATED and not fact["same"]:
            finding.add_breach(f"{fact['key']}: requested over HTTP and WebSocket, it became two playbacks")


def _check_paid_runs(facts: list[Fact], site: SharedSettings, finding: Finding) -> None:
    """Checks by the nodes' records that no paid key ran twice."""
    runs: dict[str, int] = defaultdict(int)
    for fact in facts:
        if fact["kind"] == "ran" and _is_paid(site, fact["plan"]):
            runs[fact["key"]] += 1
    for key, times in runs.items():
        if times > 1:
            finding.add_breach(f"{key}: paid and set up {times} times")


def _check_moves(tries: list[SetUp], site: SharedSettings, finding: Finding) -> None:
    """Checks a playback together with its copies: a paid one has no copies, no try of one copy is open beside a try of
    another, and never more than two copies play."""
    tries_by_playback: dict[str, list[SetUp]] = defaultdict(list)
    for set_up in tries:
        tries_by_playback[playback_key(set_up.key)].append(set_up)
    for key, tries_of_playback in tries_by_playback.items():
        if len({set_up.key for set_up in tries_of_playback}) == 1:
            continue
        finding.cases += 1
        if _is_paid(site, tries_of_playback[0].plan):
            finding.add_breach(f"{key}: paid and moved")
        for earlier, later in pairwise(tries_of_playback):
            if earlier.key != later.key and _overlaps(earlier, later):
                finding.add_breach(f"{key}: a copy's try on {later.node} beside one on {earlier.node}")
        copies = _max_playing_copies(tries_of_playback)
        if copies > MAX_COPIES:
            finding.add_breach(f"{key}: {copies} copies play at once")


def _max_playing_copies(tries: list[SetUp]) -> int:
    """Returns how many copies of a playback played at once: the first count over the bound, else the highest."""
    # Of each key only the last try counts, as the answers to earlier ones came too late.
    played = {set_up.key: set_up for set_up in tries if set_up.status == CREATED}.values()
    changes = [(set_up.ended_at or set_up.received_at, 1) for set_up in played]
    changes += [
        (set_up.session_ended_at + MAX_TRANSIT_NS, -1)
        for set_up in played
        if set_up.session_ended_at is not None
    ]
    playing = 0
    highest = 0
    for _, change in sorted(changes):
        playing += change
        highest = max(highest, playing)
        if highest > MAX_COPIES:
            break
    return highest
