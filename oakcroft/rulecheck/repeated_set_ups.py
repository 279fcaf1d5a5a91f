"""Rule 2: no set-up of a playback beside or after another that may have run, where that would do harm."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import Effect
from oakcroft.rulecheck.facts import CREATED, MAX_TRANSIT_NS, UNAVAILABLE, Fact, Finding, SetUp

REJECTED = "urn:oakcroft:problem:rejected"

MAX_COPIES = 2
"""A playback and the copy that it moves to."""


def check_repeated_set_ups(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """2: no try beside another; none after one that may have run, nor a rejection, where the plan is paid."""
    found = Finding(2, "no set-up twice")
    by_key: dict[str, list[SetUp]] = defaultdict(list)
    for one in tries:
        by_key[one.key].append(one)
    for some in by_key.values():
        _judge_tries(some, site, found)
    _judge_answers(facts, by_key, site, found)
    _judge_paid_runs(facts, site, found)
    _judge_moves(tries, site, found)
    return found


def playback_key(key: str) -> str:
    """The playback that a key speaks of: a player's key for the n-th move of `k` is `k~n`."""
    return key.partition("~")[0]


def _is_paid(site: SharedSettings, plan: str) -> bool:
    return site.plans[plan].plan.effect is Effect.PAID


def _is_out_beside(earlier: SetUp, later: SetUp) -> bool:
    """Whether the later try was sent before the earlier one had ended."""
    return earlier.ended is None or earlier.ended > later.t + MAX_TRANSIT_NS


def _judge_tries(tries: list[SetUp], site: SharedSettings, found: Finding) -> None:
    """All tries under one key."""
    found.cases += 1
    paid = _is_paid(site, tries[0].plan)
    for earlier, later in pairwise(tries):
        if _is_out_beside(earlier, later):
            found.add_breach(f"{earlier.key}: tries on {earlier.node} and {later.node} out at once")
        if paid and not earlier.proven:
            found.add_breach(
                f"{earlier.key}: paid, sent to {later.node} though {earlier.node} may have run it"
            )


def _judge_answers(
    facts: list[Fact], by_key: dict[str, list[SetUp]], site: SharedSettings, found: Finding
) -> None:
    for fact in facts:
        kind = fact["kind"]
        if kind == "got" and fact["status"] == UNAVAILABLE and fact.get("type") == REJECTED:
            some = by_key.get(fact["key"], [])
            if some and _is_paid(site, some[0].plan) and not all(one.proven for one in some):
                found.add_breach(f"{fact['key']}: paid and rejected though a try may have run")
        elif kind == "both ways" and fact["status"] == CREATED and not fact["same"]:
            found.add_breach(f"{fact['key']}: asked over both ways, it became two playbacks")


def _judge_paid_runs(facts: list[Fact], site: SharedSettings, found: Finding) -> None:
    """What the nodes say that they ran."""
    runs: dict[str, int] = defaultdict(int)
    for fact in facts:
        if fact["kind"] == "ran" and _is_paid(site, fact["plan"]):
            runs[fact["key"]] += 1
    for key, times in runs.items():
        if times > 1:
            found.add_breach(f"{key}: paid and set up {times} times")


def _judge_moves(tries: list[SetUp], site: SharedSettings, found: Finding) -> None:
    """The same for a playback and its copies: a paid one has none, no try of one is out beside another's, and never
    more than two play."""
    some: dict[str, list[SetUp]] = defaultdict(list)
    for one in tries:
        some[playback_key(one.key)].append(one)
    for key, mine in some.items():
        if len({one.key for one in mine}) == 1:
            continue
        found.cases += 1
        if _is_paid(site, mine[0].plan):
            found.add_breach(f"{key}: paid and moved")
        for earlier, later in pairwise(mine):
            if earlier.key != later.key and _is_out_beside(earlier, later):
                found.add_breach(f"{key}: a copy's try on {later.node} beside one on {earlier.node}")
        copies = _most_copies(mine)
        if copies > MAX_COPIES:
            found.add_breach(f"{key}: {copies} copies play at once")


def _most_copies(tries: list[SetUp]) -> int:
    """How many copies of a playback played at once: the first count over the bound, else the highest."""
    taken = {
        one.key: one for one in tries if one.status == CREATED
    }  # of one key the last: earlier ones came too late
    steps = [(one.ended or one.t, 1) for one in taken.values()]
    steps += [(one.over + MAX_TRANSIT_NS, -1) for one in taken.values() if one.over is not None]
    play = most = 0
    for _, step in sorted(steps):
        play += step
        most = max(most, play)
        if most > MAX_COPIES:
            break
    return most
