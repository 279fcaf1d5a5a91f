"""Rule 3: nothing new goes to a node that drains or is gone."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS
from oakcroft.rulecheck.facts import MAX_TRANSIT_NS, Fact, Finding, SetUp

LIST_APPLIED_WITHIN_NS = 2500 * MS
"""A list written to a front counts as heard so much later at the latest."""


@dataclass(frozen=True)
class ListTold:
    """A list of nodes as one front was told it."""

    written: int
    heard: int
    ready: frozenset[str]


def check_drains(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """3: nothing new to a draining or gone node later than the grace after the front was told.

    A front has been told when it asks for what comes after that list, which it does once it has taken it in.
    """
    found = Finding(3, "drains kept")
    lists_by_front = _lists_told(facts)
    for one in tries:
        lists = lists_by_front.get(one.front, [])
        if not lists:
            continue
        found.cases += 1
        before = one.t - site.drain_grace_ns - MAX_TRANSIT_NS
        last_heard = max((index for index, told in enumerate(lists) if told.heard <= before), default=None)
        if last_heard is None:
            continue
        since = lists[last_heard:]
        if all(one.node not in told.ready for told in since if told.written <= one.t):
            late = (one.t - since[0].heard) / MS
            found.add_breach(f"{one.key}: sent to {one.node} {late:.0f} ms after it was not ready")
    return found


def _lists_told(facts: list[Fact]) -> dict[str, list[ListTold]]:
    """By front, in order."""
    polls: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "poll":
            polls[fact["front"]].append((fact["t"], fact["version"]))
    told: dict[str, list[ListTold]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "told":
            written, latest = fact["t"], fact["t"] + LIST_APPLIED_WITHIN_NS
            heard = (t for t, version in polls[fact["front"]] if t >= written and version >= fact["version"])
            told[fact["front"]].append(
                ListTold(written, min(next(heard, latest), latest), frozenset(fact["ready"]))
            )
    return told
