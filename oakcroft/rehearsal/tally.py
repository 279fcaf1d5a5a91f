"""Counts of what the viewers of a day experienced."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Tally:
    """What the viewers experienced."""

    viewers: Counter[str] = field(default_factory=Counter)
    """Viewers that arrived, by plan name."""
    in_target: Counter[str] = field(default_factory=Counter)
    """Viewers that were first served within the startup target, by plan name."""
    served: Counter[str] = field(default_factory=Counter)
    """Viewers that were served at all, by plan name."""
    offered_revenue: dict[str, float] = field(default_factory=dict)
    """Revenue-seconds by plan name that all viewers together would have brought."""
    answers: Counter[str] = field(default_factory=Counter)
    """Answers by their status and problem type."""
    requests: int = 0
    lost_playbacks: int = 0
    """Playbacks that broke before their viewer's end."""
    playing: int = 0
    waiting: int = 0
    created_times_ns: list[int] = field(default_factory=list)
    """How long every 201 took."""
