"""Checks by the nodes' records alone that each session had one front at a time while fronts died and others took over.

Facts, beside those that the six rules read: `ran` and `over` (session, front, and who ended it), `passed` (session,
before, front), `rung` (session, front: who set it) and `listens` (node, front, open).
"""

from __future__ import annotations

from collections import Counter, defaultdict

from oakcroft.interface import SECOND
from oakcroft.rulecheck.facts import Fact, Finding


def check_session_ownership(facts: list[Fact]) -> list[Finding]:
    """Checks three properties: 31 only the holder of a session changes or ends it, 32 no session is taken over from a
    front that is connected to the node, 33 no session is taken over twice from the same front."""
    facts = sorted(facts, key=lambda fact: fact["t"])
    return [_check_one_holder(facts), _check_connected_holders(facts), _check_single_takeover(facts)]


def _check_one_holder(facts: list[Fact]) -> Finding:
    finding = Finding(31, "one front per session")
    holders: dict[str, str] = {}
    for fact in facts:
        session = str(fact.get("session"))
        if fact["kind"] == "ran":
            holders[session] = fact["front"]
        elif fact["kind"] == "passed":
            finding.cases += 1
            if holders.get(session) != fact["before"]:
                finding.add_breach(
                    f"{session}: taken from {fact['before']}, but {holders.get(session)} had it"
                )
            holders[session] = fact["front"]
        elif fact["kind"] == "rung" or (fact["kind"] == "over" and fact["why"] == "deleted"):
            finding.cases += 1
            is_rung = fact["kind"] == "rung"
            front = fact["front"] if is_rung else fact["by"]
            action = "set" if is_rung else "ended"
            if session in holders and holders[session] != front:
                finding.add_breach(f"{session}: {action} by {front}, but {holders[session]} has it")
    return finding


def _check_connected_holders(facts: list[Fact]) -> Finding:
    finding = Finding(32, "no takeover while connected")
    open_streams = set[tuple[str, str]]()
    """Node and front of each open event stream."""
    for fact in facts:
        if fact["kind"] == "listens":
            stream = fact["node"], fact["front"]
            if fact["open"]:
                open_streams.add(stream)
            else:
                open_streams.discard(stream)
        elif fact["kind"] == "death":
            open_streams = {(node, front) for node, front in open_streams if node != fact["node"]}
        elif fact["kind"] == "passed":
            finding.cases += 1
            if (fact["node"], fact["before"]) in open_streams:
                finding.add_breach(
                    f"{fact['session']}: taken from {fact['before']}, which listened to {fact['node']}"
                )
    return finding


def _check_single_takeover(facts: list[Fact]) -> Finding:
    finding = Finding(33, "no repeated takeover")
    takeovers = Counter((fact["session"], fact["before"]) for fact in facts if fact["kind"] == "passed")
    for (session, before), times in takeovers.items():
        finding.cases += 1
        if times > 1:
            finding.add_breach(f"{session}: taken from {before} {times} times")
    return finding


def count_taken_over_and_ended(facts: list[Fact]) -> tuple[int, int]:
    """Returns how many sessions another front took over, and how many a node ended because their front was gone."""
    taken_over = {fact["session"] for fact in facts if fact["kind"] == "passed"}
    ended = {fact["session"] for fact in facts if fact["kind"] == "over" and fact["why"] == "front gone"}
    return len(taken_over), len(ended)


def takeover_delays(facts: list[Fact]) -> list[float]:
    """Returns for each takeover how long the node had lost the stream of the front before, in seconds, sorted."""
    closed_at = defaultdict[tuple[str, str], int](int)
    delays = []
    for fact in sorted(facts, key=lambda fact: fact["t"]):
        if fact["kind"] == "listens" and not fact["open"]:
            closed_at[fact["node"], fact["front"]] = fact["t"]
        elif fact["kind"] == "passed" and (fact["node"], fact["before"]) in closed_at:
            delays.append((fact["t"] - closed_at[fact["node"], fact["before"]]) / SECOND)
    return sorted(delays)
