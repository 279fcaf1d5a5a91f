"""Nodes that weaken before they die: what evidence suffices to leave one early.

A node that ages delivers less and less while its list entry stays ready. Each short-delivery note is one piece of
evidence; a link that another program has for a while looks alike for seconds, and so does a shared squeeze.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import pairwise

from oakcroft.interface import SECOND

NOTES, SPAN = 4, 12 * SECOND
FALL = 0.06  # of the delivered share, from note to note on average
WEAK = 0.75  # and under this at last: viewers begin to leave there


@dataclass
class Trend:
    """The last notes of one node."""

    notes: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=NOTES))


@dataclass
class Fadings:
    """Which nodes are fading.

    A node fades when its last four notes within twelve seconds fall each time, by six hundredths a note at least, to
    under three quarters, while the fleet's other nodes deliver better than it by a quarter: a squeeze of all is no
    reason to move, there is nowhere better to go. Guards against viewers that stall for the ten seconds between a node's
    first weakness and its death. Cost of a false alarm: one further try and a second copy for some hundred
    milliseconds for each free playback there; so at most `at_once` nodes of a front are left early at one time.
    Harm: a neighbour program that swells slowly empties a node that would have recovered.
    """

    at_once: int = 1
    trends: dict[str, Trend] = field(default_factory=dict)
    leaving: dict[str, int] = field(default_factory=dict)  # and since when

    def note(self, node: str, share: float, usual: float, now: int) -> bool:
        """A note of the share delivered at a node, and what the others deliver on average; True when the node is
        to be left from now on."""
        trend = self.trends.setdefault(node, Trend())
        trend.notes.append((now, share))
        if share >= 0.98:
            self.forget(node)
            return False
        if node in self.leaving or len(self.leaving) >= self.at_once or not self._falls(trend, usual, now):
            return False
        self.leaving[node] = now
        return True

    def _falls(self, trend: Trend, usual: float, now: int) -> bool:
        notes = list(trend.notes)
        if len(notes) < NOTES or now - notes[0][0] > SPAN:
            return False
        shares = [share for _, share in notes]
        falling = all(b < a for a, b in pairwise(shares))
        steep = shares[0] - shares[-1] >= FALL * (NOTES - 1)
        return falling and steep and shares[-1] < WEAK and shares[-1] < usual * 0.75

    def forget(self, node: str) -> None:
        """The node delivers again, has died, or is drained by the list."""
        self.trends.pop(node, None)
        self.leaving.pop(node, None)
