"""Detection of nodes whose delivery degrades before they fail: the evidence that suffices to leave one early.

A degrading node delivers less and less while its list entry stays ready. Each report of short delivery is one
piece of evidence. Another program that uses the node's link for a while looks the same for seconds, and so does
congestion that many nodes share.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import pairwise

from oakcroft.interface import SECOND

REPORT_COUNT = 4
REPORT_SPAN_NS = 12 * SECOND
MIN_FALL_PER_REPORT = 0.06  # fall of the delivered share from one report to the next, on average
RECOVERED_SHARE = 0.98  # delivered share from which a node no longer counts as degrading
MAX_SHARE_OF_FLEET = 0.75  # a degrading node delivers less than this part of what the other nodes deliver
WEAK_SHARE = 0.75  # a degrading node delivers less than this; viewers begin to leave at this share


@dataclass
class DeliveryTrend:
    """The last delivery reports of one node: time (ns) and delivered share of each."""

    reports: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=REPORT_COUNT))


@dataclass
class DegradingNodes:
    """Which nodes degrade.

    A node degrades if the delivered share falls with each of its last four reports within twelve seconds, by
    at least 0.06 a report on average, to under three quarters, and is less than three quarters of what the
    other nodes deliver. Congestion of all nodes is no reason to move, as no other node is better.

    This guards against viewers that stall for the ten seconds between the start of a node's degradation and its
    failure. A false alarm costs one further try and a second copy for some hundred milliseconds for each free
    playback there, so a front end leaves at most `max_concurrent` nodes early at one time. Drawback: another
    program whose use of the node's link grows slowly causes a node to be left that would have recovered.
    """

    max_concurrent: int = 1
    trends: dict[str, DeliveryTrend] = field(default_factory=dict)
    leaving_since: dict[str, int] = field(default_factory=dict)  # nodes being left and since when, ns

    def report(self, node: str, share: float, fleet_share: float, now: int) -> bool:
        """Records a report of the share that a node delivers; True if the node is to be left from now on.

        `fleet_share` is the share that the other nodes deliver on average. `now`: ns.
        """
        trend = self.trends.setdefault(node, DeliveryTrend())
        trend.reports.append((now, share))
        if share >= RECOVERED_SHARE:
            self.forget(node)
            return False
        if (
            node in self.leaving_since
            or len(self.leaving_since) >= self.max_concurrent
            or not self._is_degrading(trend, fleet_share, now)
        ):
            return False
        self.leaving_since[node] = now
        return True

    def _is_degrading(self, trend: DeliveryTrend, fleet_share: float, now: int) -> bool:
        """Whether the reports of a node show that it degrades."""
        reports = list(trend.reports)
        if len(reports) < REPORT_COUNT or now - reports[0][0] > REPORT_SPAN_NS:
            return False
        shares = [share for _, share in reports]
        is_falling = all(later < earlier for earlier, later in pairwise(shares))
        is_steep = shares[0] - shares[-1] >= MIN_FALL_PER_REPORT * (REPORT_COUNT - 1)
        is_weak = shares[-1] < WEAK_SHARE and shares[-1] < fleet_share * MAX_SHARE_OF_FLEET
        return is_falling and is_steep and is_weak

    def forget(self, node: str) -> None:
        """Forgets a node that delivers again, has failed, or is listed as draining."""
        self.trends.pop(node, None)
        self.leaving_since.pop(node, None)
