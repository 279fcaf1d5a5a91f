"""Outcome of a rehearsed day."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.rehearsal.tally import Tally
from oakcroft.rehearsal.viewers import Audience
from oakcroft.rulecheck.facts import Fact, Finding
from oakcroft.standins.day import Day


@dataclass
class Outcome:
    """Findings and figures of a day. `policy` is the decision module that the fronts ran: oakcroft or naive."""

    day: Day
    policy: str
    findings: list[Finding]
    tally: Tally
    earned_revenue: dict[str, float]
    """Revenue-seconds by plan."""
    faults: list[str] = field(default_factory=list)
    """Kinds of the faults of the day."""
    failures: list[str] = field(default_factory=list)
    """Errors of the rehearsal itself, which make its findings meaningless."""
    overloaded_cold_nodes: int = 0
    """How many times a cold node was overloaded."""
    audience: Audience | None = None
    facts: list[Fact] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether every rule was kept and the rehearsal itself had no error."""
        return not self.failures and not any(finding.breaches for finding in self.findings)
