"""Levels of reduced service: named, in order, with defined entries and exits and a bounded rate of changes.

Level 0 is full service. Each further level is entered once one of its load signals has been over its entry
threshold for a while, and left once all of them have been under their exit thresholds for longer. Nothing
changes in the gap between the two, so a load that hovers at a threshold stays on one side of it. The bound on
changes does not depend on the thresholds: a change is made only if fewer than `most_changes` were made in the
`window` before it, whatever the signals say. The last place in a window is kept for a change to more
reduction, since reducing late costs more than returning late.

This guards against flapping; against service that stays reduced for ever, since exits are checked all the
time and a window passes; and against hundreds of front ends that change in step: each draws once how long a
signal must hold, and lengthens its least time in a level and its window by a factor of its own. Drawback:
after many changes the level lags behind the load by up to one and a half windows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.interface import SECOND


class Sign(Enum):
    """A figure that levels are entered and left by; higher is worse. The values are configuration keys."""

    X = "x"  # load of all links, as admission control (SA2C) estimates it
    BLIND = "blind"  # share of the nodes that do not report, 0 to 1
    REFUSED = "refused"  # share of recent answers that were rejections
    LATE = "late"  # share of recent revenue that was not answered within its startup target
    LAG = "lag"  # lag of the front end's event loop, ns


@dataclass(frozen=True)
class Mark:
    """Entry and exit threshold of one load signal; the exit threshold is the lower one."""

    sign: Sign
    enter: float
    leave: float


@dataclass(frozen=True)
class Acts:
    """What a level restricts.

    - `max_rung`: highest rung of new playbacks, None for no restriction.
    - `admitted_shares`: share of requests let in, by plan, for plans of which some are rejected.
    - `moves_allowed`: whether moves begin.
    - `maintenance_allowed`: whether background work goes on.
    """

    top: int | None = None
    admits: Mapping[str, float] = field(default_factory=dict)
    moves: bool = True
    upkeep: bool = True


@dataclass(frozen=True)
class Level:
    """One level of reduced service."""

    name: str
    marks: tuple[Mark, ...]
    acts: Acts


@dataclass(frozen=True)
class Bounds:
    """Limits on changes of level. Times in ns.

    The field names are the keys of the `levels` form of the configuration.

    - `least`: least time in a level before the next change.
    - `most_changes`: largest number of changes in any `window`.
    - `hold`: how long a signal must hold to enter a level; leaving takes twice as long.
    - `strong`: a signal over its entry threshold by this factor counts at once.
    """

    least: int = 10 * SECOND
    most_changes: int = 6
    window: int = 600 * SECOND
    hold: int = 2 * SECOND
    strong: float = 1.5


SPREAD = 4  # front ends differ in their hold times by up to this many configured hold times
FULL = Level("full", (), Acts())


@dataclass(frozen=True)
class Change:
    """One change of level and its reason. `changed_at`: ns."""

    at: int
    before: str
    after: str
    why: str


@dataclass
class Pin:
    """A level set by an operator, in force until a time (ns) whatever the load signals say."""

    level: int
    until: int


class Levels:
    """Decides on the service level of one front end."""

    def __init__(self, levels: Sequence[Level], bounds: Bounds, rng: Random, now: int) -> None:
        """Starts at full service. `now`: ns.

        Draws four times from `rng`: the hold times for entering and leaving, the least time in a level, and
        the window.
        """
        self.levels, self.bounds = [FULL, *levels], bounds
        self.at, self.since, self.why = 0, now - 2 * bounds.least, "at the start"
        self.changes = deque[int]()
        self.history = deque[Change](maxlen=64)
        self.pin: Pin | None = None
        self.enter_after = round(bounds.hold * (1 + SPREAD * rng.random()))
        self.leave_after = round(bounds.hold * (2 + SPREAD * rng.random()))
        self.least = round(bounds.least * (1 + rng.random()))
        self.window = round(bounds.window * (1 + rng.random() / 2))
        self.over: dict[int, int] = {}  # by level, since when an entry threshold is exceeded
        self.under: dict[int, int] = {}  # by level, since when all exits hold
        self.held_back = 0  # changes that the limits forbade

    @property
    def level(self) -> Level:
        """The level in force."""
        return self.levels[self.at]

    # Load signals.

    def look(self, signs: Mapping[Sign, float], now: int) -> Change | None:
        """Takes new load signals and changes the level if a change is due.

        Called a few times a second. Returns the change that was made, or None. `now`: ns.
        """
        for n, level in enumerate(self.levels):
            entered = any(signs.get(m.sign, 0.0) >= m.enter for m in level.marks)
            left = all(signs.get(m.sign, 0.0) < m.leave for m in level.marks)
            self._held(self.over, n, n > 0 and entered, now)
            self._held(self.under, n, n > 0 and left, now)
        if self.pin is not None and now < self.pin.until:
            return self._change(self.pin.level, "pinned by an operator", now, pinned=True)
        if self.pin is not None:
            self.pin = None
        up = self._up(signs, now)
        if up is not None and up > self.at:
            return self._change(up, self._told(signs, up), now)
        return self._change(self._down(now), f"under the exits of {self.level.name}", now)

    @staticmethod
    def _held(since: dict[int, int], level: int, holds: bool, now: int) -> None:
        """Notes since when a condition of a level holds, or that it does not hold."""
        if not holds:
            since.pop(level, None)
        else:
            since.setdefault(level, now)

    def _up(self, signs: Mapping[Sign, float], now: int) -> int | None:
        """Returns the highest level that may be entered, or None.

        That is the highest level whose entry threshold has been exceeded for long enough. If any signal
        exceeds its threshold by the factor `strong`, the time is not waited for.
        """
        held = [n for n, since in self.over.items() if now - since >= self.enter_after]
        far = any(
            signs.get(m.sign, 0.0) >= m.enter * self.bounds.strong
            for n in self.over
            for m in self.levels[n].marks
        )
        return max(self.over if far else held, default=None)

    def _down(self, now: int) -> int:
        """Returns the level to go back to: the lowest one above which all exits have held for long enough."""
        n = self.at
        while n > 0 and n in self.under and now - self.under[n] >= self.leave_after:
            n -= 1
        return n

    def _told(self, signs: Mapping[Sign, float], level: int) -> str:
        """Describes the entry thresholds of a level that the signals exceed."""
        passed = [f"{m.sign.value} {signs.get(m.sign, 0.0):.3g} over {m.enter:.3g}" for m in self.levels[level].marks
                  if signs.get(m.sign, 0.0) >= m.enter]  # fmt: skip
        return ", ".join(passed)

    # Changes of level.

    def allowed(self, more: bool, now: int) -> bool:
        """Whether a change may be made now. `reduces`: it is a change to more reduction. `now`: ns."""
        while self.changes and self.changes[0] <= now - self.window:
            self.changes.popleft()
        most = self.bounds.most_changes if more else self.bounds.most_changes - 1
        return now - self.since >= self.least and len(self.changes) < most

    def _change(self, to: int, why: str, now: int, pinned: bool = False) -> Change | None:
        """Puts a level in force, unless it is in force already or the limits on changes forbid it.

        This is the only place where the level changes. A pinned level is not subject to the limits.
        """
        if to == self.at:
            return None
        if not pinned and not self.allowed(to > self.at, now):
            self.held_back += 1
            return None
        if not pinned:
            self.changes.append(now)
        change = Change(now, self.level.name, self.levels[to].name, why)
        self.at, self.since, self.why = to, now, why
        self.history.append(change)
        return change

    # Operators.

    def pin_to(self, name: str, until: int) -> bool:
        """Pins a level until a time (ns); False if there is no level of this name."""
        names = [x.name for x in self.levels]
        if name not in names:
            return False
        self.pin = Pin(names.index(name), until)
        return True

    def unpin(self) -> None:
        """Lets the load signals decide again."""
        self.pin = None

    def next(self, signs: Mapping[Sign, float], now: int) -> list[str]:
        """Describes for operators what would change the level. `now`: ns."""
        if self.pin is not None:
            return [
                f"pinned to {self.levels[self.pin.level].name} for {max(0, self.pin.until - now) // SECOND} s more"
            ]
        out = []
        for level in self.levels[self.at + 1 : self.at + 2]:
            out += [
                f"{level.name}: {m.sign.value} {signs.get(m.sign, 0.0):.3g} would have to reach {m.enter:.3g}"
                for m in level.marks
            ]
        if self.at:
            out += [f"back: {m.sign.value} {signs.get(m.sign, 0.0):.3g} would have to stay under {m.leave:.3g}"
                    for m in self.level.marks]  # fmt: skip
        if not self.allowed(True, now):
            out.append(f"no change before the least time is over, and at most {self.bounds.most_changes} in "
                       f"{self.bounds.window // SECOND} s")  # fmt: skip
        return out


class Gate:
    """Lets in a fixed share of a plan's requests, evenly spread; a plan is shut out only by a share of 0."""

    def __init__(self) -> None:
        """Starts without counts."""
        self.credit: dict[str, float] = {}
        self.turned: dict[str, int] = {}

    def admits(self, acts: Acts, plan: str) -> bool:
        """Whether to let this request of a plan in."""
        share = acts.admits.get(plan)
        if share is None:
            self.credit.pop(plan, None)
            return True
        credit = self.credit.get(plan, 1.0) + share
        if credit >= 1.0 and share > 0:
            self.credit[plan] = credit - 1.0
            return True
        self.credit[plan] = min(credit, 1.0)
        self.turned[plan] = self.turned.get(plan, 0) + 1
        return False


@dataclass
class Tally:
    """Recent answers, for the load signals based on them: sums that halve every `half_life` ns."""

    half: int = 5 * SECOND
    at: int = 0
    answers: float = 0.0
    rejected: float = 0.0
    revenue: float = 0.0
    late: float = 0.0

    def _fade(self, now: int) -> None:
        """Decays the sums to a time, ns."""
        if now > self.at:
            kept = 0.5 ** ((now - self.at) / self.half)
            self.answers, self.rejected = self.answers * kept, self.rejected * kept
            self.revenue, self.late = self.revenue * kept, self.late * kept
            self.at = now

    def answered(self, rejected: bool, revenue: float, in_time: bool, now: int) -> None:
        """Adds one final answer of admission control. `now`: ns."""
        self._fade(now)
        self.answers += 1
        self.rejected += rejected
        self.revenue += revenue
        self.late += 0.0 if in_time else revenue

    def signs(self, now: int) -> dict[Sign, float]:
        """Returns the shares as load signals; 0 while there are too few answers to tell. `now`: ns."""
        self._fade(now)
        enough = self.answers >= 3
        return {
            Sign.REFUSED: self.rejected / self.answers if enough else 0.0,
            Sign.LATE: self.late / self.revenue if enough and self.revenue > 0 else 0.0,
        }
