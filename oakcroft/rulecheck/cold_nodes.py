"""Rule 4: no node that has just started is pushed over."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.interface import MS, DeploymentSettings
from oakcroft.rulecheck.facts import Fact, Finding, SetUp


def check_cold_nodes(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """4: no node that has just started gets more than the stated multiple of its pace over the stated time.

    Only set-ups of fronts that could know count: told of the start, or connected to the node when it died, or started
    later. A node that fell over is a breach when most set-ups of that window came from such.
    """
    found = Finding(4, "no cold node pushed over")
    by_node: dict[str, list[SetUp]] = defaultdict(list)
    for one in tries:
        by_node[one.node].append(one)
    knew_of = _deaths_known(facts)
    told = [fact for fact in facts if fact["kind"] == "told"]
    for start in facts:
        if start["kind"] == "start" and start["cold"]:
            found.cases += 1
            knowing = _fronts_knowing(start, knew_of[start["node"]], told)
            places = start.get("places", 0) or _places(facts, start["node"])
            _judge_start(start, by_node[start["node"]], knowing, places, site.terms, found)
    for fall in facts:
        if fall["kind"] == "fell" and not any(fall["node"] in breach for breach in found.breaches):
            began = fall["t"] - site.terms.overload_window_ns
            fronts = {one.front for one in by_node[fall["node"]] if began < one.t <= fall["t"]}
            if fronts & set(knew_of[fall["node"]]):
                found.add_breach(f"{fall['node']}: fell over")
    return found


def _deaths_known(facts: list[Fact]) -> dict[str, dict[str, int]]:
    """By node and front: when the front could know of the node's last death."""
    knew_of: dict[str, dict[str, int]] = defaultdict(dict)
    for fact in facts:
        if fact["kind"] == "death":
            for front in fact["seen_by"]:
                knew_of[fact["node"]][front] = fact["t"]
    return knew_of


def _fronts_knowing(start: Fact, knew_of_death: dict[str, int], told: list[Fact]) -> dict[str, int]:
    """By front: since when it could know of a node's start."""
    knowing = {front: t for front, t in knew_of_death.items() if t <= start["t"]}
    for fact in told:
        if fact["t"] >= start["t"] and start["node"] in fact["started"]:
            knowing.setdefault(fact["front"], fact["t"])
    return knowing


def _judge_start(
    start: Fact,
    tries: list[SetUp],
    knowing: dict[str, int],
    places: float,
    terms: DeploymentSettings,
    found: Finding,
) -> None:
    """The first window in which a cold node got too much is a breach."""
    node, began = start["node"], start["t"]
    while_cold = [one for one in tries if began <= one.t < began + terms.cold_duration_ns]
    for index, last in enumerate(while_cold):
        window = [one for one in while_cold[: index + 1] if one.t > last.t - terms.overload_window_ns]
        fair = [one for one in window if one.front not in knowing or knowing[one.front] <= one.t]
        age = last.t - began
        allowed = _allowed(age, places, terms)
        if places and len(window) > allowed and len(fair) * 2 > len(window):
            found.add_breach(
                f"{node}: {len(window)} set-ups in a window that stands {allowed:.1f}, {age / MS:.0f} ms old"
            )
            return


def _allowed(age: int, places: float, terms: DeploymentSettings) -> float:
    """Set-ups that a node of an age stands in a window that ends then."""
    cold_for = max(1, terms.cold_duration_ns)
    share = min(1.0, terms.cold_pace_share + (1 - terms.cold_pace_share) * age / cold_for)
    return terms.overload_multiple * share * places / cold_for * terms.overload_window_ns + 1


def _places(facts: list[Fact], node: str) -> float:
    base = node.split("+")[0]
    return next(
        (float(fact["places"]) for fact in facts if fact["kind"] == "place" and fact["node"] == base), 0.0
    )
