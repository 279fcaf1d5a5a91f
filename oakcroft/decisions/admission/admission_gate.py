"""Admission of a share of the requests of a plan while service is reduced."""

from __future__ import annotations

from oakcroft.decisions.admission.service_levels import LevelEffects


class AdmissionGate:
    """Admits a fixed share of a plan's requests, evenly spread; only a share of 0 admits none."""

    def __init__(self) -> None:
        """Starts without counts."""
        self.credit: dict[str, float] = {}
        self.rejected_counts: dict[str, int] = {}

    def admit(self, effects: LevelEffects, plan: str) -> bool:
        """Whether to admit this request of a plan."""
        share = effects.admitted_shares.get(plan)
        if share is None:
            self.credit.pop(plan, None)
            return True
        credit = self.credit.get(plan, 1.0) + share
        if credit >= 1.0 and share > 0:
            self.credit[plan] = credit - 1.0
            return True
        self.credit[plan] = min(credit, 1.0)
        self.rejected_counts[plan] = self.rejected_counts.get(plan, 0) + 1
        return False
