"""Whether each session had one front at a time while fronts died and others took over from them, judged by the nodes'
records alone.

Facts, beside those that the six rules read: `ran` and `over` (session, front, and who ended it), `passed` (session,
before, front), `rung` (session, front: who set it) and `listens` (node, front, open).
"""

from __future__ import annotations

from collections import Counter, defaultdict

from oakcroft.rulecheck.facts import Fact, Finding


def check_session_ownership(facts: list[Fact]) -> list[Finding]:
    """What was found of each property: 31 only who holds a session changes or ends it, 32 nothing is taken from a front
    that listens to the node, 33 nothing is taken twice from the same one."""
    facts = sorted(facts, key=lambda f: f["t"])
    return [_held(facts), _listening(facts), _once(facts)]


def _held(facts: list[Fact]) -> Finding:
    found = Finding(31, "one front holds a session")
    holder: dict[str, str] = {}
    for f in facts:
        session = str(f.get("session"))
        if f["kind"] == "ran":
            holder[session] = f["front"]
        elif f["kind"] == "passed":
            found.cases += 1
            if holder.get(session) != f["before"]:
                found.add_breach(f"{session}: taken from {f['before']}, but {holder.get(session)} had it")
            holder[session] = f["front"]
        elif f["kind"] == "rung" or (f["kind"] == "over" and f["why"] == "deleted"):
            found.cases += 1
            who, what = (f["front"], "set") if f["kind"] == "rung" else (f["by"], "ended")
            if session in holder and holder[session] != who:
                found.add_breach(f"{session}: {what} by {who}, but {holder[session]} has it")
    return found


def _listening(facts: list[Fact]) -> Finding:
    found = Finding(32, "none robbed that listens")
    open_ = set[tuple[str, str]]()
    for f in facts:
        if f["kind"] == "listens":
            key = f["node"], f["front"]
            open_.add(key) if f["open"] else open_.discard(key)
        elif f["kind"] == "death":
            open_ = {(node, front) for node, front in open_ if node != f["node"]}
        elif f["kind"] == "passed":
            found.cases += 1
            if (f["node"], f["before"]) in open_:
                found.add_breach(f"{f['session']}: taken from {f['before']}, which listened to {f['node']}")
    return found


def _once(facts: list[Fact]) -> Finding:
    found = Finding(33, "taken once from each")
    some = Counter((f["session"], f["before"]) for f in facts if f["kind"] == "passed")
    for (session, before), times in some.items():
        found.cases += 1
        if times > 1:
            found.add_breach(f"{session}: taken from {before} {times} times")
    return found


def count_taken_over_and_ended(facts: list[Fact]) -> tuple[int, int]:
    """How many playbacks passed on from a front to another, and how many nodes ended since their front was gone."""
    passed = {f["session"] for f in facts if f["kind"] == "passed"}
    ended = {f["session"] for f in facts if f["kind"] == "over" and f["why"] == "front gone"}
    return len(passed), len(ended)


def takeover_delays(facts: list[Fact]) -> list[float]:
    """For each playback taken over, how long its node had not heard of its front, in seconds, in order."""
    away = defaultdict[tuple[str, str], int](int)
    out = []
    for f in sorted(facts, key=lambda f: f["t"]):
        if f["kind"] == "listens" and not f["open"]:
            away[f["node"], f["front"]] = f["t"]
        elif f["kind"] == "passed" and (f["node"], f["before"]) in away:
            out.append((f["t"] - away[f["node"], f["before"]]) / 1e9)
    return sorted(out)
