"""Rule 6: retries, that is tries beyond a playback's first, stay within the retry budget."""

from __future__ import annotations

from collections import defaultdict

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.facts import Fact, Finding, SetUp

ROUNDING_TOLERANCE = 1e-9
"""Tolerance for the allowed number of retries, which is a floating-point sum."""


def check_retry_budget(facts: list[Fact], tries: list[SetUp], site: SharedSettings) -> Finding:
    """Checks that the retries of each front are within the configured budget over any window."""
    finding = Finding(6, "retries within the budget")
    terms = site.terms
    if terms.retry_budget_base is None:
        return finding
    request_times: dict[str, list[int]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "ask":
            request_times[str(fact["front"])].append(fact["t"])
    for front, retry_times in _retry_times(tries).items():
        requested_at = request_times.get(front.split("-")[1] if "-" in front else front, [])
        for index, window_end in enumerate(retry_times):
            finding.cases += 1
            window_start = window_end - terms.retry_budget_window_ns
            retries = sum(earlier > window_start for earlier in retry_times[: index + 1])
            requests = sum(window_start < time <= window_end for time in requested_at)
            allowed = terms.retry_budget_base + terms.retry_budget_share * requests
            if retries > allowed + ROUNDING_TOLERANCE:
                finding.add_breach(f"{front}: {retries} retries in a window that allows {allowed:.1f}")
    return finding


def _retry_times(tries: list[SetUp]) -> dict[str, list[int]]:
    """By front: when it sent tries beyond a playback's first."""
    seen_keys: set[str] = set()
    times: dict[str, list[int]] = defaultdict(list)
    for set_up in tries:
        if set_up.key in seen_keys:
            times[set_up.front].append(set_up.received_at)
        seen_keys.add(set_up.key)
    return times
