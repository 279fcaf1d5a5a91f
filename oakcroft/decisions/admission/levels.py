"""Levels of reduced service: named, in order, with clear entries and exits, and no more changes than stated.

Level 0 is full service. Each further level is entered when one of its signs is over its entry for a while, and left when
all of them are under their exits for longer. Between the two lies a gap in which nothing changes, so a load that hovers
at an edge stays on one side of it. That alone is tuning; the bound is by construction: a change is made only if fewer
than `most_changes` lie in the `window` before it, whatever the signs say. The last place in a window is kept for a change
to more reduction, since being late to reduce costs more than being late to return.

Guards against flapping, against service that stays reduced for ever (exits are looked at all the time, and a window
passes), and against hundreds of fronts that swing in step: each draws once for how long a sign must hold, and makes its
least time and its window longer by a part of its own. Harm: after many changes the level lags behind the load by up to
one and a half windows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.interface import SECOND


class Sign(Enum):
    """What a level looks at. Each is a figure that is higher when things are worse."""

    X = "x"  # the design's load of all links
    BLIND = "blind"  # how few nodes tell, 0 to 1
    REFUSED = "refused"  # share of answers of late that were rejections
    LATE = "late"  # share of revenue of late that was not answered within its startup target
    LAG = "lag"  # how late the front's own loop is, in ns


@dataclass(frozen=True)
class Mark:
    """One sign's entry and exit; the exit lies under the entry."""

    sign: Sign
    enter: float
    leave: float


@dataclass(frozen=True)
class Acts:
    """What a level does. `top`: highest rung of new playbacks. `admits`: the share of a plan's requests that is let in,
    for plans of which some is turned away. `moves`, `upkeep`: whether moves begin and background work goes on."""

    top: int | None = None
    admits: Mapping[str, float] = field(default_factory=dict)
    moves: bool = True
    upkeep: bool = True


@dataclass(frozen=True)
class Level:
    """One level."""

    name: str
    marks: tuple[Mark, ...]
    acts: Acts


@dataclass(frozen=True)
class Bounds:
    """`least`: time in a level before the next change; `most_changes` in any `window`; `hold`: how long a sign must hold
    to enter, twice as long to leave; `strong`: a sign past its entry by this factor counts at once. Times in ns."""

    least: int = 10 * SECOND
    most_changes: int = 6
    window: int = 600 * SECOND
    hold: int = 2 * SECOND
    strong: float = 1.5


SPREAD = 4  # how many times the stated hold fronts may differ in
FULL = Level("full", (), Acts())


@dataclass(frozen=True)
class Change:
    """One change of level, with what brought it."""

    at: int
    before: str
    after: str
    why: str


@dataclass
class Pin:
    """An operator's word: this level until then, whatever the signs say."""

    level: int
    until: int


class Levels:
    """The level of one front."""

    def __init__(self, levels: Sequence[Level], bounds: Bounds, rng: Random, now: int) -> None:
        self.levels, self.bounds = [FULL, *levels], bounds
        self.at, self.since, self.why = 0, now - 2 * bounds.least, "at the start"
        self.changes = deque[int]()
        self.history = deque[Change](maxlen=64)
        self.pin: Pin | None = None
        self.enter_after = round(bounds.hold * (1 + SPREAD * rng.random()))
        self.leave_after = round(bounds.hold * (2 + SPREAD * rng.random()))
        self.least = round(bounds.least * (1 + rng.random()))
        self.window = round(bounds.window * (1 + rng.random() / 2))
        self.over: dict[int, int] = {}  # of each level: since when an entry holds
        self.under: dict[int, int] = {}  # since when all exits hold
        self.held_back = 0  # changes that the bound forbade

    @property
    def level(self) -> Level:
        """The level in force."""
        return self.levels[self.at]

    # Looking.

    def look(self, signs: Mapping[Sign, float], now: int) -> Change | None:
        """To be called with fresh signs, a few times a second; a change, if one is due."""
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
        if not holds:
            since.pop(level, None)
        else:
            since.setdefault(level, now)

    def _up(self, signs: Mapping[Sign, float], now: int) -> int | None:
        """The highest level whose entry has held for long enough; where the entry of any is passed so far that it need
        not be waited for, the highest of which the entry holds at all."""
        held = [n for n, since in self.over.items() if now - since >= self.enter_after]
        far = any(
            signs.get(m.sign, 0.0) >= m.enter * self.bounds.strong
            for n in self.over
            for m in self.levels[n].marks
        )
        return max(self.over if far else held, default=None)

    def _down(self, now: int) -> int:
        """The level to go back to: as far as exits have held for long enough."""
        n = self.at
        while n > 0 and n in self.under and now - self.under[n] >= self.leave_after:
            n -= 1
        return n

    def _told(self, signs: Mapping[Sign, float], level: int) -> str:
        passed = [f"{m.sign.value} {signs.get(m.sign, 0.0):.3g} over {m.enter:.3g}" for m in self.levels[level].marks
                  if signs.get(m.sign, 0.0) >= m.enter]  # fmt: skip
        return ", ".join(passed)

    # Changing.

    def allowed(self, more: bool, now: int) -> bool:
        """Whether a change may be made now. `more`: to more reduction."""
        while self.changes and self.changes[0] <= now - self.window:
            self.changes.popleft()
        most = self.bounds.most_changes if more else self.bounds.most_changes - 1
        return now - self.since >= self.least and len(self.changes) < most

    def _change(self, to: int, why: str, now: int, pinned: bool = False) -> Change | None:
        """The one place where the level changes."""
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
        """Holds a level until then; False where there is none of this name."""
        names = [x.name for x in self.levels]
        if name not in names:
            return False
        self.pin = Pin(names.index(name), until)
        return True

    def unpin(self) -> None:
        """Lets the signs decide again."""
        self.pin = None

    def next(self, signs: Mapping[Sign, float], now: int) -> list[str]:
        """What would change the level, for people."""
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
    """Lets a stated share of a plan's requests in, evenly: no plan is starved but by a level that says so."""

    def __init__(self) -> None:
        self.credit: dict[str, float] = {}
        self.turned: dict[str, int] = {}

    def admits(self, acts: Acts, plan: str) -> bool:
        """Whether this request of a plan is let in."""
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
    """Answers of late, for the signs that come of them: sums that halve every `half`."""

    half: int = 5 * SECOND
    at: int = 0
    answers: float = 0.0
    rejected: float = 0.0
    revenue: float = 0.0
    late: float = 0.0

    def _fade(self, now: int) -> None:
        if now > self.at:
            kept = 0.5 ** ((now - self.at) / self.half)
            self.answers, self.rejected = self.answers * kept, self.rejected * kept
            self.revenue, self.late = self.revenue * kept, self.late * kept
            self.at = now

    def answered(self, rejected: bool, revenue: float, in_time: bool, now: int) -> None:
        """One final answer of the module."""
        self._fade(now)
        self.answers += 1
        self.rejected += rejected
        self.revenue += revenue
        self.late += 0.0 if in_time else revenue

    def signs(self, now: int) -> dict[Sign, float]:
        """Shares, 0 while there is too little to tell by."""
        self._fade(now)
        enough = self.answers >= 3
        return {
            Sign.REFUSED: self.rejected / self.answers if enough else 0.0,
            Sign.LATE: self.late / self.revenue if enough and self.revenue > 0 else 0.0,
        }
