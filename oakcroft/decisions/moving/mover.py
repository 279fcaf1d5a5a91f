"""When each playback on a node that is to be left begins to move: order, pace and spread.

Two hundred fronts hear of the same drain within a second or two and share nothing. Each spreads its own moves over
the notice, by lot within the part of it that is safe to use, the dearest first; and it keeps few moves under way at a
time, few to any one target, and within the budget of further tries. What a target can take is the module's view; a
refusal of the module puts the playback back for a while rather than at once onto the next node.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.decisions.moving.may_move import Way
from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Pace:
    """The mover's figures: moves under way at once in one front, to one target; the part of a notice in which
    moves begin; the time that one move needs; how often one playback is tried."""

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
    """One playback that is to move: `key` names it, `worth` is revenue still to come."""

    key: str
    node: str
    worth: float
    why: Why
    due: int
    tries: int = 0
    under_way: bool = False


@dataclass
class Mover:
    """All wishes of one front."""

    pace: Pace
    rng: Random
    wishes: dict[str, Wish] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)  # of moves under way, by their playback

    def leave(self, node: str, some: list[tuple[str, float]], notice: int, why: Why, now: int) -> int:
        """A node is to be left: plans its playbacks (key, worth) over the notice. Returns how many are new.

        They begin at times drawn evenly over the safe part of the notice, the dearest at the earliest: a front
        with one playback there begins anywhere in it, so that all fronts together load targets evenly. With a notice
        shorter than one move needs, all begin at once, since a late move is a stall.
        """
        room = max(0, round(notice * self.pace.part) - self.pace.needs)
        fresh = [(key, worth) for key, worth in some if key not in self.wishes]
        times = sorted(round(self.rng.random() * room) for _ in fresh)
        for (key, worth), after in zip(sorted(fresh, key=lambda x: (-x[1], x[0])), times, strict=True):
            self.wishes[key] = Wish(key, node, worth, why, now + after)
        return len(fresh)

    def taken_back(self, node: str) -> list[str]:
        """The node need not be left any more: its wishes are dropped; returns those under way."""
        mine = [w for w in self.wishes.values() if w.node == node]
        for wish in mine:
            if not wish.under_way:
                del self.wishes[wish.key]
        return [w.key for w in mine if w.under_way]

    def next_due(self, now: int) -> int | None:
        """When the next wish falls due; None when none waits."""
        waiting = [w.due for w in self.wishes.values() if not w.under_way]
        return min(waiting, default=None)

    def begin(self, now: int, budget: int) -> list[Wish]:
        """The moves to begin now: those due, dearest first, while fewer than `at_once` are under way and `budget`
        further tries are left."""
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
        """Whether a target has room among this front's own moves."""
        return sum(t == node for k, t in self.targets.items() if k != key) < self.pace.to_one

    def goes_to(self, key: str, node: str) -> None:
        """The module has chosen a target."""
        self.targets[key] = node

    def over(self, key: str, moved: bool, now: int, notice_left: int | None) -> bool:
        """A move has come to its end. True when the playback is planned again: it stayed, tries are left, and its node
        is still to be left and good for one more move."""
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
        """The playback has ended."""
        self.wishes.pop(key, None)
        self.targets.pop(key, None)


def waits(way: Way, now: int, rng: Random) -> int:
    """When a playback that waits for a seat is looked at again."""
    return now + round(250 * MS * (0.5 + rng.random())) if way is Way.WAIT else now


LONGEST_OFFER = 2 * SECOND
LONGEST_CONFIRM = 1500 * MS
