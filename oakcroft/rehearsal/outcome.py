"""What came of a day that was played."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.rehearsal.viewers import Audience, Tally
from oakcroft.rulecheck.facts import Fact, Finding
from oakcroft.standins.day import Day


@dataclass
class Outcome:
    """A day's findings and figures. `policy`: the one that the fronts decided by."""

    day: Day
    policy: str
    findings: list[Finding]
    tally: Tally
    earned: dict[str, float]
    """Revenue-seconds by plan."""
    faults: list[str] = field(default_factory=list)
    """Kinds that befell the day."""
    failures: list[str] = field(default_factory=list)
    """Parts that did not work, so that the day shows nothing."""
    overloaded_cold_nodes: int = 0
    """Cold nodes that were pushed over."""
    audience: Audience | None = None
    facts: list[Fact] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether every rule was kept and no part failed."""
        return not self.failures and not any(finding.breaches for finding in self.findings)
