"""Recent answers of admission control, as load signals for the service level."""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.admission.service_levels import LoadSignal
from oakcroft.interface import SECOND

MIN_ANSWERS = 3  # recent answers below which the shares of answers count as 0


@dataclass
class RecentAnswers:
    """Recent answers, for the load signals based on them: sums that halve every `half_life` ns."""

    half_life: int = 5 * SECOND
    updated_at: int = 0
    answers: float = 0.0
    rejected: float = 0.0
    revenue: float = 0.0
    late_revenue: float = 0.0

    def _decay(self, now: int) -> None:
        """Decays the sums to a time, ns."""
        if now > self.updated_at:
            factor = 0.5 ** ((now - self.updated_at) / self.half_life)
            self.answers *= factor
            self.rejected *= factor
            self.revenue *= factor
            self.late_revenue *= factor
            self.updated_at = now

    def record_answer(self, rejected: bool, revenue: float, in_time: bool, now: int) -> None:
        """Adds one final answer of admission control. `now`: ns."""
        self._decay(now)
        self.answers += 1
        self.rejected += rejected
        self.revenue += revenue
        self.late_revenue += 0.0 if in_time else revenue

    def signals(self, now: int) -> dict[LoadSignal, float]:
        """Returns the shares as load signals, 0 while there are too few answers. `now`: ns."""
        self._decay(now)
        has_enough = self.answers >= MIN_ANSWERS
        return {
            LoadSignal.REJECTED: self.rejected / self.answers if has_enough else 0.0,
            LoadSignal.LATE: self.late_revenue / self.revenue if has_enough and self.revenue > 0 else 0.0,
        }
