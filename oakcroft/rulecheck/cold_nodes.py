"""Rule 4: no node that has just started is overloaded with set-ups."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS, DeploymentSettings
from oakcroft.rulecheck.facts import Fact, Finding, SetUp


def check_cold_nodes(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """Checks that no cold node gets more than the configured multiple of its pace over the configured window.

    Only set-ups of fronts that could know of the node's start count: a front whose node list had the start, that was
    connected to the node when its process died, or that started later. An overload that a node recorded is a breach too
    if a front that was connected to it at a death sent it a set-up within the window before.
    """
    finding = Finding(4, "no cold node overloaded")
    tries_by_node: dict[str, list[SetUp]] = defaultdict(list)
    for set_up in tries:
        tries_by_node[set_up.node].append(set_up)
    deaths_known = _deaths_known(facts)
    lists_sent = [fact for fact in facts if fact["kind"] == "told"]
    for start in facts:
        if start["kind"] == "start" and start["cold"]:
            finding.cases += 1
            known_at = _start_known_at(start, deaths_known[start["node"]], lists_sent)
            places = start.get("places", 0) or _places(facts, start["node"])
            _check_start(start, tries_by_node[start["node"]], known_at, places, site.terms, finding)
    for overload in facts:
        if overload["kind"] == "fell" and not any(overload["node"] in breach for breach in finding.breaches):
            window_start = overload["t"] - site.terms.overload_window_ns
            fronts = {
                set_up.front
                for set_up in tries_by_node[overload["node"]]
                if window_start < set_up.received_at <= overload["t"]
            }
            if fronts & set(deaths_known[overload["node"]]):
                finding.add_breach(f"{overload['node']}: overloaded")
    return finding


def _deaths_known(facts: list[Fact]) -> dict[str, dict[str, int]]:
    """By node and front: when the front could know of the node's last death."""
    known_at: dict[str, dict[str, int]] = defaultdict(dict)
    for fact in facts:
        if fact["kind"] == "death":
            for front in fact["seen_by"]:
                known_at[fact["node"]][front] = fact["t"]
    return known_at


def _start_known_at(start: Fact, death_known_at: dict[str, int], lists_sent: list[Fact]) -> dict[str, int]:
    """By front: since when it could know of a node's start."""
    known_at = {front: t for front, t in death_known_at.items() if t <= start["t"]}
    for fact in lists_sent:
        if fact["t"] >= start["t"] and start["node"] in fact["started"]:
            known_at.setdefault(fact["front"], fact["t"])
    return known_at


def _check_start(
    start: Fact,
    tries: list[SetUp],
    known_at: dict[str, int],
    places: float,
    terms: DeploymentSettings,
    finding: Finding,
) -> None:
    """Adds a breach for the first window in which a cold node got too many set-ups."""
    node = start["node"]
    started_at = start["t"]
    cold_until = started_at + terms.cold_duration_ns
    while_cold = [set_up for set_up in tries if started_at <= set_up.received_at < cold_until]
    for index, last in enumerate(while_cold):
        window_start = last.received_at - terms.overload_window_ns
        window = [set_up for set_up in while_cold[: index + 1] if set_up.received_at > window_start]
        of_informed_fronts = [
            set_up
            for set_up in window
            if set_up.front not in known_at or known_at[set_up.front] <= set_up.received_at
        ]
        age_ns = last.received_at - started_at
        allowed = _allowed_set_ups(age_ns, places, terms)
        if places and len(window) > allowed and len(of_informed_fronts) * 2 > len(window):
            finding.add_breach(
                f"{node}: {len(window)} set-ups in a window that allows {allowed:.1f}, {age_ns / MS:.0f} ms old"
            )
            return


def _allowed_set_ups(age_ns: int, places: float, terms: DeploymentSettings) -> float:
    """How many set-ups a node of an age can take in a window that ends at that age."""
    cold_duration_ns = max(1, terms.cold_duration_ns)
    pace_share = min(1.0, terms.cold_pace_share + (1 - terms.cold_pace_share) * age_ns / cold_duration_ns)
    return terms.overload_multiple * pace_share * places / cold_duration_ns * terms.overload_window_ns + 1


def _places(facts: list[Fact], node: str) -> float:
    original_name = node.split("+")[0]
    return next(
        (
            float(fact["places"])
            for fact in facts
            if fact["kind"] == "place" and fact["node"] == original_name
        ),
        0.0,
    )
