"""Rule 6: tries beyond each playback's first stay within a budget."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.facts import Fact, Finding, SetUp

ROUNDING_TOLERANCE = 1e-9
"""Of the allowed share of the requests, which is a sum of floating-point figures."""


def check_retry_budget(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """6: tries beyond each playback's first, of one front, within the stated budget over any window."""
    found = Finding(6, "further tries within the budget")
    terms = site.terms
    if terms.retry_budget_base is None:
        return found
    taken: dict[str, list[int]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "ask":
            taken[str(fact["front"])].append(fact["t"])
    for front, times in _further_tries(tries).items():
        asked = taken.get(front.split("-")[1] if "-" in front else front, [])
        for index, t in enumerate(times):
            found.cases += 1
            since = t - terms.retry_budget_window_ns
            sent = sum(earlier > since for earlier in times[: index + 1])
            allowed = terms.retry_budget_base + terms.retry_budget_share * sum(
                since < at <= t for at in asked
            )
            if sent > allowed + ROUNDING_TOLERANCE:
                found.add_breach(f"{front}: {sent} further tries in a window that allows {allowed:.1f}")
    return found


def _further_tries(tries: list[SetUp]) -> dict[str, list[int]]:
    """By front: when it sent tries beyond a playback's first."""
    seen: set[str] = set()
    further: dict[str, list[int]] = defaultdict(list)
    for one in tries:
        if one.key in seen:
            further[one.front].append(one.t)
        seen.add(one.key)
    return further
