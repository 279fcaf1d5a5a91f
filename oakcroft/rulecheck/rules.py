"""The six rules, judged on records of stand-ins and viewers alone; the front's own word is never asked.

Each rule is one function over all facts, in a module of its own; each returns how many cases it looked at and the
breaches.
"""

from __future__ import annotations

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.answers import one_answer
from oakcroft.rulecheck.cold_nodes import cold_kept
from oakcroft.rulecheck.drains import drains_kept
from oakcroft.rulecheck.facts import Fact, Finding, set_ups
from oakcroft.rulecheck.plan_terms import terms_kept
from oakcroft.rulecheck.repeated_set_ups import no_set_up_twice
from oakcroft.rulecheck.retry_budget import tries_rationed


def judge(facts: list[Fact], site: SharedSettings) -> list[Finding]:
    """All six rules."""
    facts = sorted(facts, key=lambda fact: fact["t"])
    tries = set_ups(facts)
    return [
        one_answer(facts, site), no_set_up_twice(facts, tries, site), drains_kept(facts, tries, site),
        cold_kept(facts, tries, site), terms_kept(facts, tries, site), tries_rationed(facts, tries, site),
    ]  # fmt: skip
