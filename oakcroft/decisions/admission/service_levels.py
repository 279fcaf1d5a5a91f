"""Levels of reduced service: named and ordered, with entry and exit thresholds and a bounded rate of changes.

Level 0 is full service. Each further level is entered once one of its load signals has been over its entry
threshold for a while, and left once all of them have been under their exit thresholds for longer. Nothing
changes in the gap between the two thresholds (hysteresis), so a load that hovers at one of them causes no
further changes. The bound on changes does not depend on the thresholds: a change is made only if fewer than
`most_changes` were made in the `window` before it, whatever the signals say. The last change allowed in a
window is reserved for more reduction, since reducing late costs more than returning late.

This guards against flapping; against service that stays reduced for ever, since exits are checked all the
time and a window passes; and against hundreds of front ends that change at the same moment: each draws once
at random how long a signal must hold, and the factors that lengthen its least time in a level and its window.
Drawback: after many changes the level lags behind the load by up to one and a half windows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakcroft.interface import SECOND


class LoadSignal(Enum):
    """A figure by which levels are entered and left; higher is worse. The values are configuration keys."""

    X = "x"  # load of all links, as admission control (SA2C) estimates it
    UNREPORTED = "blind"  # share of the nodes that do not report, 0 to 1
    REJECTED = "refused"  # share of recent answers that were rejections, 0 to 1
    LATE = "late"  # share of recent revenue whose requests were not answered within their startup target
    LAG = "lag"  # lag of the front end's event loop, ns


@dataclass(frozen=True)
class SignalThreshold:
    """Entry and exit threshold of one load signal; the exit threshold is the lower one."""

    signal: LoadSignal
    enter_at: float
    leave_below: float


@dataclass(frozen=True)
class LevelEffects:
    """What a level restricts.

    - `max_rung`: highest rung of new playbacks, None for no restriction.
    - `admitted_shares`: share of requests admitted, by plan, for plans of which some are rejected.
    - `moves_allowed`: whether moves may start.
    - `maintenance_allowed`: whether background work may run.
    """

    max_rung: int | None = None
    admitted_shares: Mapping[str, float] = field(default_factory=dict)
    moves_allowed: bool = True
    maintenance_allowed: bool = True


@dataclass(frozen=True)
class ServiceLevel:
    """One level of reduced service."""

    name: str
    thresholds: tuple[SignalThreshold, ...]
    effects: LevelEffects


@dataclass(frozen=True)
class LevelBounds:
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


HOLD_SPREAD = 4  # width of the range of random hold times, in configured hold times
FULL_SERVICE = ServiceLevel("full", (), LevelEffects())


@dataclass(frozen=True)
class LevelChange:
    """One change of level and its reason. `changed_at`: ns."""

    changed_at: int
    previous: str
    current: str
    reason: str


@dataclass
class LevelPin:
    """A level set by an operator, active until a time (ns) whatever the load signals say."""

    level: int
    until: int


class LevelController:
    """Decides on the service level of one front end."""

    def __init__(self, levels: Sequence[ServiceLevel], bounds: LevelBounds, rng: Random, now: int) -> None:
        """Starts at full service. `now`: ns.

        Draws four times from `rng`: the hold times for entering and leaving, the least time in a level, and
        the window.
        """
        self.levels = [FULL_SERVICE, *levels]
        self.bounds = bounds
        self.current = 0
        self.changed_at = now - 2 * bounds.least
        self.reason = "at the start"
        self.change_times = deque[int]()
        self.history = deque[LevelChange](maxlen=64)
        self.pin: LevelPin | None = None
        self.enter_hold = round(bounds.hold * (1 + HOLD_SPREAD * rng.random()))
        self.leave_hold = round(bounds.hold * (2 + HOLD_SPREAD * rng.random()))
        self.min_dwell = round(bounds.least * (1 + rng.random()))
        self.window = round(bounds.window * (1 + rng.random() / 2))
        self.entry_met_since: dict[int, int] = {}  # by level, since when an entry threshold is exceeded
        self.exits_met_since: dict[int, int] = {}  # by level, since when all exits hold
        self.suppressed_changes = 0  # changes that the limits on changes have prevented

    @property
    def level(self) -> ServiceLevel:
        """The active level."""
        return self.levels[self.current]

    # Load signals.

    def update(self, signals: Mapping[LoadSignal, float], now: int) -> LevelChange | None:
        """Takes new load signals and changes the level if a change is due.

        Called a few times a second. Returns the change that was made, or None. `now`: ns.
        """
        for number, level in enumerate(self.levels):
            entry_met = any(
                signals.get(threshold.signal, 0.0) >= threshold.enter_at for threshold in level.thresholds
            )
            exits_met = all(
                signals.get(threshold.signal, 0.0) < threshold.leave_below for threshold in level.thresholds
            )
            self._track_condition(self.entry_met_since, number, number > 0 and entry_met, now)
            self._track_condition(self.exits_met_since, number, number > 0 and exits_met, now)
        if self.pin is not None and now < self.pin.until:
            return self._change_level(self.pin.level, "pinned by an operator", now, pinned=True)
        if self.pin is not None:
            self.pin = None
        higher = self._level_to_enter(signals, now)
        if higher is not None and higher > self.current:
            return self._change_level(higher, self._entry_reason(signals, higher), now)
        return self._change_level(self._level_to_return_to(now), f"under the exits of {self.level.name}", now)

    @staticmethod
    def _track_condition(since: dict[int, int], level: int, holds: bool, now: int) -> None:
        """Records since when a condition of a level holds, or that it does not hold."""
        if not holds:
            since.pop(level, None)
        else:
            since.setdefault(level, now)

    def _level_to_enter(self, signals: Mapping[LoadSignal, float], now: int) -> int | None:
        """Returns the highest level that may be entered, or None.

        That is the highest level whose entry threshold has been exceeded for long enough. If any signal
        exceeds its threshold by the factor `strong`, there is no waiting time.
        """
        held = [level for level, since in self.entry_met_since.items() if now - since >= self.enter_hold]
        is_far_over = any(
            signals.get(threshold.signal, 0.0) >= threshold.enter_at * self.bounds.strong
            for level in self.entry_met_since
            for threshold in self.levels[level].thresholds
        )
        return max(self.entry_met_since if is_far_over else held, default=None)

    def _level_to_return_to(self, now: int) -> int:
        """Returns the level to go back to: the lowest one above which all exits have held for long enough."""
        level = self.current
        while (
            level > 0
            and level in self.exits_met_since
            and now - self.exits_met_since[level] >= self.leave_hold
        ):
            level -= 1
        return level

    def _entry_reason(self, signals: Mapping[LoadSignal, float], level: int) -> str:
        """Describes the entry thresholds of a level that the signals exceed."""
        exceeded = [
            f"{threshold.signal.value} {signals.get(threshold.signal, 0.0):.3g} over {threshold.enter_at:.3g}"
            for threshold in self.levels[level].thresholds
            if signals.get(threshold.signal, 0.0) >= threshold.enter_at
        ]
        return ", ".join(exceeded)

    # Changes of level.

    def change_allowed(self, reduces: bool, now: int) -> bool:
        """Whether a change may be made now. `reduces`: whether it reduces service further. `now`: ns."""
        while self.change_times and self.change_times[0] <= now - self.window:
            self.change_times.popleft()
        max_changes = self.bounds.most_changes if reduces else self.bounds.most_changes - 1
        return now - self.changed_at >= self.min_dwell and len(self.change_times) < max_changes

    def _change_level(self, target: int, reason: str, now: int, pinned: bool = False) -> LevelChange | None:
        """Activates a level, unless it is active already or the limits on changes forbid it.

        This is the only place where the level changes. A pinned level is not subject to the limits.
        """
        if target == self.current:
            return None
        if not pinned and not self.change_allowed(target > self.current, now):
            self.suppressed_changes += 1
            return None
        if not pinned:
            self.change_times.append(now)
        change = LevelChange(now, self.level.name, self.levels[target].name, reason)
        self.current = target
        self.changed_at = now
        self.reason = reason
        self.history.append(change)
        return change

    # Operators.

    def pin_to(self, name: str, until: int) -> bool:
        """Pins a level until a time (ns); False if there is no level of this name."""
        names = [level.name for level in self.levels]
        if name not in names:
            return False
        self.pin = LevelPin(names.index(name), until)
        return True

    def unpin(self) -> None:
        """Lets the load signals decide again."""
        self.pin = None

    def next_change_conditions(self, signals: Mapping[LoadSignal, float], now: int) -> list[str]:
        """Describes for operators what would change the level. `now`: ns."""
        if self.pin is not None:
            return [
                f"pinned to {self.levels[self.pin.level].name} for {max(0, self.pin.until - now) // SECOND} s more"
            ]
        conditions = []
        for level in self.levels[self.current + 1 : self.current + 2]:
            conditions += [
                f"{level.name}: {threshold.signal.value} {signals.get(threshold.signal, 0.0):.3g} "
                f"would have to reach {threshold.enter_at:.3g}"
                for threshold in level.thresholds
            ]
        if self.current:
            conditions += [
                f"back: {threshold.signal.value} {signals.get(threshold.signal, 0.0):.3g} "
                f"would have to stay under {threshold.leave_below:.3g}"
                for threshold in self.level.thresholds
            ]
        if not self.change_allowed(True, now):
            conditions.append(
                f"no change before the least time is over, and at most {self.bounds.most_changes} in "
                f"{self.bounds.window // SECOND} s"
            )
        return conditions
