"""Drain notices: how long a draining node stays, as stated in the node list or estimated from earlier drains.

Some lists state until when a node stays; most say only that it drains. The estimate falls quickly and rises
slowly, so that it stays low: a move that comes too late stalls the playback.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

DECREASE_WEIGHT = 0.5  # weight of a drain that was shorter than the estimate
INCREASE_WEIGHT = 0.1  # weight of a drain that was longer than the estimate
MIN_NOTICE_NS = 200 * MS
MAX_NOTICE_NS = 600 * SECOND
SAFETY_FACTOR = 0.8  # part of the estimate that is relied on, since some nodes leave earlier


@dataclass
class Drain:
    """Drain of one node. Times in ns.

    `known_since`: when this front end learned of it. `ends_at`: until when the node stays, if stated.
    """

    known_since: int
    ends_at: int | None


@dataclass
class DrainNotices:
    """All drains in progress, and the estimate of their duration from earlier ones. Times in ns."""

    expected_duration: int
    drains: dict[str, Drain] = field(default_factory=dict)

    def start_drain(self, node: str, now: int, ends_at: int | None) -> bool:
        """Records that a node drains; False if that was known already, then only a stated end is updated."""
        drain = self.drains.get(node)
        if drain is not None:
            drain.ends_at = ends_at if ends_at is not None else drain.ends_at
            return False
        self.drains[node] = Drain(now, ends_at)
        return True

    def cancel_drain(self, node: str) -> bool:
        """Records that a node is ready again; returns whether it was draining."""
        return self.drains.pop(node, None) is not None

    def node_gone(self, node: str, now: int) -> None:
        """Records that a node has left or failed, and updates the estimate by the duration of its drain.

        A drain whose end was stated is no evidence for drains without a stated end.
        """
        drain = self.drains.pop(node, None)
        if drain is None or drain.ends_at is not None:
            return
        duration = min(max(now - drain.known_since, MIN_NOTICE_NS), MAX_NOTICE_NS)
        weight = DECREASE_WEIGHT if duration < self.expected_duration else INCREASE_WEIGHT
        change = weight * (duration - self.expected_duration)
        self.expected_duration = round(self.expected_duration + change)

    def time_left(self, node: str, now: int) -> int | None:
        """Returns the time that a draining node still stays, never negative; None if it does not drain."""
        drain = self.drains.get(node)
        if drain is None:
            return None
        ends_at = drain.ends_at
        if ends_at is None:
            ends_at = drain.known_since + round(self.expected_duration * SAFETY_FACTOR)
        return max(0, ends_at - now)
