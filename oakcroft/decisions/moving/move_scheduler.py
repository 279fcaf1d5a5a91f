"""Schedule of moves: when each playback on a node that is to be left starts to move.

Up to two hundred front ends learn of the same drain within a second or two and share no state. Each spreads its
own moves at random over the part of the notice in which a move can still be completed, those of highest value
first. It keeps few moves in progress at a time, few of them to one target, and stays within the retry budget.
Admission control decides what a target can take; a move that it rejects is retried after a delay rather than at
once on the next node.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.decisions.moving.move_rules import MoveMethod
from oakcroft.interface import MS, SECOND

OFFER_TIMEOUT_NS = 2 * SECOND
CONFIRM_TIMEOUT_NS = 1500 * MS
SEAT_RETRY_DELAY_NS = 250 * MS
"""Mean delay after which a move that waits for a seat is attempted again."""


@dataclass(frozen=True)
class MoveLimits:
    """Limits on the moves of one front end. Times in ns.

    - `max_concurrent`: moves in progress at one time, and `max_per_target` of them to one target.
    - `notice_fraction`: part of a notice in which moves begin.
    - `move_duration`: time that one move needs.
    - `max_attempts`: attempts for one playback, `retry_delay` apart on average.
    """

    max_concurrent: int = 8
    max_per_target: int = 2
    notice_fraction: float = 0.7
    move_duration: int = 1500 * MS
    max_attempts: int = 3
    retry_delay: int = 400 * MS


class MoveReason(Enum):
    """Why a playback is to leave its node."""

    DRAIN = "its node drains"
    DEGRADING = "its node weakens"


@dataclass
class PlannedMove:
    """A playback that is to move: `key` identifies it, `value` is its expected revenue, `due_at` is in ns."""

    key: str
    node: str
    value: float
    reason: MoveReason
    due_at: int
    attempts: int = 0
    in_progress: bool = False


@dataclass
class MoveScheduler:
    """All planned moves of one front end. Times in ns."""

    limits: MoveLimits
    rng: Random
    planned: dict[str, PlannedMove] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)  # target of each move in progress, by playback

    def plan_node(
        self, node: str, playbacks: list[tuple[str, float]], notice: int, reason: MoveReason, now: int
    ) -> int:
        """Plans the moves of a node's playbacks (key and value) over the notice; returns how many are new.

        They start at random times, drawn uniformly from the part of the notice in which a move can still be
        completed, those of highest value first. A front end with a single playback there may start at any of
        these times, so that all front ends together load the targets evenly. If the notice is shorter than
        one move needs, all start at once, since a late move stalls the playback.
        """
        span = max(0, round(notice * self.limits.notice_fraction) - self.limits.move_duration)
        new = [(key, value) for key, value in playbacks if key not in self.planned]
        delays = sorted(round(self.rng.random() * span) for _ in new)
        by_value = sorted(new, key=lambda playback: (-playback[1], playback[0]))
        for (key, value), delay in zip(by_value, delays, strict=True):
            self.planned[key] = PlannedMove(key, node, value, reason, now + delay)
        return len(new)

    def cancel_node(self, node: str) -> list[str]:
        """Drops the planned moves of a node that need not be left any more; returns those in progress."""
        moves = [move for move in self.planned.values() if move.node == node]
        for move in moves:
            if not move.in_progress:
                del self.planned[move.key]
        return [move.key for move in moves if move.in_progress]

    def next_due_at(self, now: int) -> int | None:
        """Returns when the next move is due; None if no move is waiting."""
        waiting = [move.due_at for move in self.planned.values() if not move.in_progress]
        return min(waiting, default=None)

    def start_due(self, now: int, tries_left: int) -> list[PlannedMove]:
        """Returns the moves to start now, those of highest value first.

        They are due and stay within `max_concurrent` moves in progress and the `tries_left` of the retry budget.
        Due moves beyond these limits are postponed by a random time.
        """
        running = sum(move.in_progress for move in self.planned.values())
        room = max(0, min(self.limits.max_concurrent - running, tries_left))
        due = sorted(
            (move for move in self.planned.values() if not move.in_progress and move.due_at <= now),
            key=lambda move: (-move.value, move.key),
        )
        chosen = due[:room]
        for move in chosen:
            move.in_progress = True
            move.attempts += 1
        for move in due[room:]:
            move.due_at = now + round(self.limits.retry_delay * (0.5 + self.rng.random()))
        return chosen

    def has_room_on(self, key: str, node: str) -> bool:
        """Whether the limit on this front end's moves to one target allows one more."""
        moves = sum(target == node for other, target in self.targets.items() if other != key)
        return moves < self.limits.max_per_target

    def set_target(self, key: str, node: str) -> None:
        """Records the target that admission control has chosen."""
        self.targets[key] = node

    def finish(self, key: str, has_moved: bool, now: int, notice_left: int | None) -> bool:
        """Ends a move; returns whether the playback is scheduled again.

        It is if it has not moved, attempts are left, and its node is still to be left and stays long enough for
        one more move.
        """
        self.targets.pop(key, None)
        move = self.planned.get(key)
        if move is None:
            return False
        may_retry = not has_moved and notice_left is not None and move.attempts < self.limits.max_attempts
        if not may_retry or (notice_left or 0) < self.limits.move_duration // 2:
            del self.planned[key]
            return False
        move.in_progress = False
        move.due_at = now + round(self.limits.retry_delay * (0.5 + self.rng.random()))
        return True

    def forget(self, key: str) -> None:
        """Forgets a playback that has ended."""
        self.planned.pop(key, None)
        self.targets.pop(key, None)


def next_attempt_at(method: MoveMethod, now: int, rng: Random) -> int:
    """Returns when to attempt a move, ns: now, or after a random delay if it waits for a seat."""
    return (
        now + round(SEAT_RETRY_DELAY_NS * (0.5 + rng.random())) if method is MoveMethod.WAIT_FOR_SEAT else now
    )
