"""The outcome of a rehearsed day."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.rehearsal.viewers import Audience, Tally
from oakcroft.rulecheck.facts import Fact, Finding
from oakcroft.standins.day import Day


@dataclass
class Outcome:
    """A day's findings and figures. `policy` names the decisions that the fronts ran: oakcroft or naive."""

    day: Day
    policy: str
    findings: list[Finding]
    tally: Tally
    earned: dict[str, float]
    """Revenue-seconds by plan."""
    faults: list[str] = field(default_factory=list)
    """Kinds of the faults of the day."""
    failures: list[str] = field(default_factory=list)
    """Errors of the rehearsal itself, so that the day proves nothing."""
    overloaded_cold_nodes: int = 0
    """How many times a cold node was overloaded."""
    audience: Audience | None = None
    facts: list[Fact] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether every rule was kept and the rehearsal itself had no error."""
        return not self.failures and not any(finding.breaches for finding in self.findings)
