"""When each playback on a node that is to be left begins to move: order, pace and spread.

Two hundred front ends learn of the same drain within a second or two and share no state. Each spreads its own
moves at random over the part of the notice in which a move can still be completed, those of most value first.
It keeps few moves in progress at a time, few of them to one target, and stays within the budget of further
tries. What a target can take is known to admission control; if it rejects a move, the playback is retried
after a delay rather than at once on the next node.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.decisions.moving.move_rules import Way
from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Pace:
    """Limits on the moves of one front end. Times in ns.

    - `max_concurrent`: moves in progress at one time, and `max_per_target` of them to one target.
    - `notice_fraction`: part of a notice in which moves begin.
    - `move_duration`: time that one move needs.
    - `max_attempts`: attempts for one playback, `retry_delay` apart on average.
    """

    at_once: int = 8
    to_one: int = 2
    part: float = 0.7
    needs: int = 1500 * MS
    tries: int = 3
    again_after: int = 400 * MS


class Why(Enum):
    """Why a playback is to leave its node."""

    DRAIN = "its node drains"
    FADING = "its node weakens"


@dataclass
class Wish:
    """One playback that is to move: `key` names it, `value` is revenue still to come, `due_at` is in ns."""

    key: str
    node: str
    worth: float
    why: Why
    due: int
    tries: int = 0
    under_way: bool = False


@dataclass
class Mover:
    """All planned moves of one front end. Times in ns."""

    pace: Pace
    rng: Random
    wishes: dict[str, Wish] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)  # target of each move in progress, by playback

    def leave(self, node: str, some: list[tuple[str, float]], notice: int, why: Why, now: int) -> int:
        """Plans the moves of a node's playbacks (key and value) over the notice; returns how many are new.

        They begin at times drawn evenly over the part of the notice in which a move can still be completed,
        those of most value at the earliest. A front end with one playback there begins anywhere in it, so
        that all front ends together load the targets evenly. If the notice is shorter than one move needs,
        all begin at once, since a late move is a stall.
        """
        room = max(0, round(notice * self.pace.part) - self.pace.needs)
        fresh = [(key, worth) for key, worth in some if key not in self.wishes]
        times = sorted(round(self.rng.random() * room) for _ in fresh)
        for (key, worth), after in zip(sorted(fresh, key=lambda x: (-x[1], x[0])), times, strict=True):
            self.wishes[key] = Wish(key, node, worth, why, now + after)
        return len(fresh)

    def taken_back(self, node: str) -> list[str]:
        """The node need not be left any more: drops its planned moves, returns those in progress."""
        mine = [w for w in self.wishes.values() if w.node == node]
        for wish in mine:
            if not wish.under_way:
                del self.wishes[wish.key]
        return [w.key for w in mine if w.under_way]

    def next_due(self, now: int) -> int | None:
        """Returns when the next move is due; None if none waits."""
        waiting = [w.due for w in self.wishes.values() if not w.under_way]
        return min(waiting, default=None)

    def begin(self, now: int, budget: int) -> list[Wish]:
        """Returns the moves to begin now, those of most value first.

        They are due, fewer than `max_concurrent` are in progress, and `tries_left` further tries are left in
        the budget. Moves that are due but find no room are put off for a random time.
        """
        running = sum(w.under_way for w in self.wishes.values())
        free = min(self.pace.at_once - running, budget)
        due = sorted((w for w in self.wishes.values() if not w.under_way and w.due <= now),
                     key=lambda w: (-w.worth, w.key))  # fmt: skip
        chosen = due[: max(0, free)]
        for wish in chosen:
            wish.under_way = True
            wish.tries += 1
        for wish in due[max(0, free) :]:
            wish.due = now + round(self.pace.again_after * (0.5 + self.rng.random()))
        return chosen

    def may_go_to(self, key: str, node: str) -> bool:
        """Whether a target takes one more move, among this front end's own."""
        return sum(t == node for k, t in self.targets.items() if k != key) < self.pace.to_one

    def goes_to(self, key: str, node: str) -> None:
        """Notes the target that admission control has chosen."""
        self.targets[key] = node

    def over(self, key: str, moved: bool, now: int, notice_left: int | None) -> bool:
        """Ends a move; True if the playback is planned again.

        It is if it stayed, attempts are left, and its node is still to be left and stays long enough for one
        more move.
        """
        self.targets.pop(key, None)
        wish = self.wishes.get(key)
        if wish is None:
            return False
        again = not moved and notice_left is not None and wish.tries < self.pace.tries
        if not again or (notice_left or 0) < self.pace.needs // 2:
            del self.wishes[key]
            return False
        wish.under_way = False
        wish.due = now + round(self.pace.again_after * (0.5 + self.rng.random()))
        return True

    def forget(self, key: str) -> None:
        """Drops a playback that has ended."""
        self.wishes.pop(key, None)
        self.targets.pop(key, None)


def waits(way: Way, now: int, rng: Random) -> int:
    """Returns when a playback that may have to wait for a seat is looked at again, ns."""
    return now + round(250 * MS * (0.5 + rng.random())) if way is Way.WAIT else now


LONGEST_OFFER = 2 * SECOND
LONGEST_CONFIRM = 1500 * MS
