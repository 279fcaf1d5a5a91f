"""Checks the six rules against the records of emulated nodes and viewers alone, and trusts no record of a front.

Each rule is one function over all facts, in a module of its own, which returns a finding.
"""

from __future__ import annotations

from oakcroft.config.settings import SharedSettings
from oakcroft.rulecheck.answers import check_answers
from oakcroft.rulecheck.cold_nodes import check_cold_nodes
from oakcroft.rulecheck.drains import check_drains
from oakcroft.rulecheck.facts import Fact, Finding, collect_set_ups
from oakcroft.rulecheck.plan_terms import check_plan_terms
from oakcroft.rulecheck.repeated_set_ups import check_repeated_set_ups
from oakcroft.rulecheck.retry_budget import check_retry_budget


def check_rules(facts: list[Fact], site: SharedSettings) -> list[Finding]:
    """Checks all six rules and returns their findings in order."""
    facts = sorted(facts, key=lambda fact: fact["t"])
    tries = collect_set_ups(facts)
    return [
        check_answers(facts, site),
        check_repeated_set_ups(facts, tries, site),
        check_drains(facts, tries, site),
        check_cold_nodes(facts, tries, site),
        check_plan_terms(facts, tries, site),
        check_retry_budget(facts, tries, site),
    ]
