"""Rule 3: no new set-up goes to a node that drains or is gone."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS
from oakcroft.rulecheck.facts import MAX_TRANSIT_NS, Fact, Finding, SetUp

LIST_APPLIED_WITHIN_NS = 2500 * MS
"""A front counts as having applied a list at the latest this long after the list was written to it."""


@dataclass(frozen=True)
class NodeListSent:
    """A node list as it was sent to one front. Times are in ns."""

    written_at: int
    applied_at: int
    ready_nodes: frozenset[str]


def check_drains(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """Checks that no set-up goes to a draining or gone node later than the grace after the front knew of it.

    A front knows a list when it polls for the next version, which it does once it has applied the list.
    """
    finding = Finding(3, "no set-up to a draining node")
    lists_by_front = _node_lists_sent(facts)
    for set_up in tries:
        lists = lists_by_front.get(set_up.front, [])
        if not lists:
            continue
        finding.cases += 1
        applied_before = set_up.received_at - site.drain_grace_ns - MAX_TRANSIT_NS
        last_applied = max(
            (index for index, sent in enumerate(lists) if sent.applied_at <= applied_before), default=None
        )
        if last_applied is None:
            continue
        since = lists[last_applied:]
        if all(
            set_up.node not in sent.ready_nodes for sent in since if sent.written_at <= set_up.received_at
        ):
            late_ms = (set_up.received_at - since[0].applied_at) / MS
            finding.add_breach(f"{set_up.key}: sent to {set_up.node} {late_ms:.0f} ms after it was not ready")
    return finding


def _node_lists_sent(facts: list[Fact]) -> dict[str, list[NodeListSent]]:
    """The node lists that each front was sent, in order."""
    polls: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "poll":
            polls[fact["front"]].append((fact["t"], fact["version"]))
    lists: dict[str, list[NodeListSent]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "told":
            written_at = fact["t"]
            latest = written_at + LIST_APPLIED_WITHIN_NS
            next_polls = (
                t for t, version in polls[fact["front"]] if t >= written_at and version >= fact["version"]
            )
            applied_at = min(next(next_polls, latest), latest)
            lists[fact["front"]].append(NodeListSent(written_at, applied_at, frozenset(fact["ready"])))
    return lists
