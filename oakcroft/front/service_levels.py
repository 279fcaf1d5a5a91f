"""Levels of reduced service on one front end.

Collects load signals, changes the service level, and applies its effects to new requests. The decisions are in
`oakcroft/decisions/admission/service_levels.py`.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.config.settings import PlanTerms
from oakcroft.decisions.admission.service_levels import Change, Gate, Levels, Sign, Tally
from oakcroft.front.session_coordinator import Helm
from oakcroft.interface import MS

EVERY = 0.25  # seconds between checks


class Reducing:
    """The service level of one front end."""

    def __init__(self, helm: Helm, rng: Random, log: structlog.typing.FilteringBoundLogger) -> None:
        """Starts at full service; `rng` spreads the times of changes among front ends."""
        self.helm, self.rng, self.log = helm, rng, log
        self.levels = self._made()
        self.gate, self.tally, self.lag = Gate(), Tally(), 0
        helm.told_answer = self.answered

    def _made(self) -> Levels:
        site = self.helm.site
        return Levels(site.levels, site.level_bounds, self.rng, self.helm.clock.now())

    # Load signals.

    def answered(self, rejected: bool, plan: PlanTerms, took: int) -> None:
        """Records a final answer of the decision module, given `duration_ns` after the request."""
        in_time = not rejected and took <= plan.plan.startup_target
        self.tally.answered(rejected, plan.plan.revenue, in_time, self.helm.clock.now())

    def lagged(self, lag: int) -> None:
        """Records how late the event loop ran a periodic task, in ns."""
        self.lag = max(lag, round(self.lag * 0.9))

    def signs(self, now: int) -> dict[Sign, float]:
        """The current load signals."""
        decider = self.helm.controller
        own = {
            Sign.X: getattr(decider, "x", 0.0),
            Sign.BLIND: getattr(decider, "blind", 0.0),
            Sign.LAG: float(self.lag),
        }
        return own | self.tally.signs(now)

    async def run(self) -> None:
        """Updates the level until cancelled."""
        site = self.helm.site
        while True:
            await trio.sleep(EVERY)
            if self.helm.site.levels != site.levels or self.helm.site.level_bounds != site.level_bounds:
                site = self.helm.site  # a changed configuration starts at full service
                self.levels = self._made()
            self.look()

    def look(self) -> None:
        """Changes the level if that is due, and applies its effects on moves and on upkeep of the state file."""
        now = self.helm.clock.now()
        signs = self.signs(now)
        if (change := self.levels.look(signs, now)) is not None:
            self._tell(change, signs)
        acts = self.levels.level.acts
        self.helm.moves.paused = not acts.moves
        if self.helm.memory is not None:
            self.helm.memory.store.upkeep.paused = not acts.upkeep

    def _tell(self, change: Change, signs: dict[Sign, float]) -> None:
        figures = {s.value: round(v / MS) if s is Sign.LAG else round(v, 3) for s, v in signs.items()}
        turned, changes = dict(self.gate.turned), len(self.levels.changes)
        self.log.warning("level", before=change.before, after=change.after, why=change.why, turned_away=turned,
                         changes=changes, **figures)  # fmt: skip
        self.gate.turned.clear()

    # Effects.

    def admits(self, plan: str) -> bool:
        """Whether a request of this plan is admitted at the current level."""
        return self.gate.admits(self.levels.level.acts, plan)

    def top(self, asked: int, floor: int) -> int:
        """The highest rung of a new playback at the current level, never below its floor."""
        top = self.levels.level.acts.top
        return asked if top is None else max(floor, min(asked, top))

    def status(self) -> dict[str, object]:
        """For operators: the level, since when and why, and what would change it next."""
        now, levels = self.helm.clock.now(), self.levels
        signs = self.signs(now)
        return {
            "name": levels.level.name, "since_s": round((now - levels.since) / 1e9, 1), "why": levels.why,
            "signs": {s.value: round(v, 3) for s, v in signs.items()}, "next": levels.next(signs, now),
            "changes": [[c.at // MS, c.before, c.after, c.why] for c in list(levels.history)[-10:]],
            "held_back": levels.held_back, "turned_away": dict(self.gate.turned),
        }  # fmt: skip
