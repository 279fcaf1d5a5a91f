"""How long a draining node stays, told or learnt.

Some lists say until when a node stays; most say only that it drains. What was seen of earlier drains is kept as a low
estimate that follows quickly downwards, since a move that comes too late is a stall, and slowly upwards.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oakcroft.interface import MS, SECOND

DOWN, UP = 0.5, 0.1
SHORTEST, LONGEST = 200 * MS, 600 * SECOND
SAFE = 0.8  # of an estimate, since nodes go early as well as late


@dataclass
class Drain:
    """One node's drain: when this front heard of it, and until when the node says that it stays."""

    heard_at: int
    until: int | None


@dataclass
class Notices:
    """All drains that run, and what earlier ones have taught."""

    usual: int
    drains: dict[str, Drain] = field(default_factory=dict)

    def begins(self, node: str, now: int, until: int | None) -> bool:
        """A node drains; False where that is known already (a later word on its end counts)."""
        known = self.drains.get(node)
        if known is not None:
            known.until = until if until is not None else known.until
            return False
        self.drains[node] = Drain(now, until)
        return True

    def taken_back(self, node: str) -> bool:
        """The node is ready again; whether it was draining."""
        return self.drains.pop(node, None) is not None

    def gone(self, node: str, now: int) -> None:
        """The node has gone or died; its drain teaches how long they last. One of which the end was told teaches
        nothing about those of which it is not."""
        drain = self.drains.pop(node, None)
        if drain is None or drain.until is not None:
            return
        lasted = min(max(now - drain.heard_at, SHORTEST), LONGEST)
        part = DOWN if lasted < self.usual else UP
        self.usual = round(self.usual + part * (lasted - self.usual))

    def left(self, node: str, now: int) -> int | None:
        """Time that a draining node is good for still, never under 0; None where it does not drain."""
        drain = self.drains.get(node)
        if drain is None:
            return None
        end = drain.until if drain.until is not None else drain.heard_at + round(self.usual * SAFE)
        return max(0, end - now)
