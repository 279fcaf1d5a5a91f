"""Levels of reduced service on one front end.

Collects load signals, changes the service level, and applies its effects to new requests. The decisions are in
`oakcroft/decisions/admission/service_levels.py`.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.config.settings import PlanTerms
from oakcroft.decisions.admission.admission_gate import AdmissionGate
from oakcroft.decisions.admission.recent_answers import RecentAnswers
from oakcroft.decisions.admission.service_levels import LevelChange, LevelController, LoadSignal
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.interface import MS

CHECK_INTERVAL_S = 0.25
LAG_DECAY = 0.9  # of the recorded lag from one measurement to the next
MAX_STATUS_CHANGES = 10


class ServiceLevelControl:
    """The service level of one front end."""

    def __init__(
        self, coordinator: SessionCoordinator, rng: Random, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """Starts at full service; `rng` spreads the times of changes among front ends."""
        self.coordinator = coordinator
        self.rng = rng
        self.log = log
        self.controller = self._new_controller()
        self.gate = AdmissionGate()
        self.recent_answers = RecentAnswers()
        self.loop_lag_ns = 0
        coordinator.on_answer = self.record_answer

    def _new_controller(self) -> LevelController:
        """A controller of the configured levels, at full service."""
        site = self.coordinator.site
        return LevelController(site.levels, site.level_bounds, self.rng, self.coordinator.clock.now())

    # Load signals.

    def record_answer(self, is_rejected: bool, plan: PlanTerms, duration_ns: int) -> None:
        """Records a final answer of the decision module, given `duration_ns` after the request."""
        in_time = not is_rejected and duration_ns <= plan.plan.startup_target_ns
        self.recent_answers.record_answer(
            is_rejected, plan.plan.revenue, in_time, self.coordinator.clock.now()
        )

    def record_loop_lag(self, lag_ns: int) -> None:
        """Records how late the event loop ran a periodic task, in ns."""
        self.loop_lag_ns = max(lag_ns, round(self.loop_lag_ns * LAG_DECAY))

    def signals(self, now: int) -> dict[LoadSignal, float]:
        """The current load signals."""
        policy = self.coordinator.policy
        own_signals = {
            LoadSignal.X: getattr(policy, "x", 0.0),
            LoadSignal.UNREPORTED: getattr(policy, "unreported_weight", 0.0),
            LoadSignal.LAG: float(self.loop_lag_ns),
        }
        return own_signals | self.recent_answers.signals(now)

    async def run(self) -> None:
        """Updates the level until cancelled."""
        site = self.coordinator.site
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if (
                self.coordinator.site.levels != site.levels
                or self.coordinator.site.level_bounds != site.level_bounds
            ):
                site = self.coordinator.site  # a changed configuration starts at full service
                self.controller = self._new_controller()
            self.update()

    def update(self) -> None:
        """Changes the level if that is due, and applies its effects on moves and on upkeep of the state file."""
        now = self.coordinator.clock.now()
        signals = self.signals(now)
        if (change := self.controller.update(signals, now)) is not None:
            self._log_change(change, signals)
        effects = self.controller.level.effects
        self.coordinator.move_executor.is_paused = not effects.moves_allowed
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.store.maintenance.is_paused = not effects.maintenance_allowed

    def _log_change(self, change: LevelChange, signals: dict[LoadSignal, float]) -> None:
        """Logs a change of level with the load signals, and restarts the counts of rejected requests."""
        signal_values = {
            signal.value: round(value / MS) if signal is LoadSignal.LAG else round(value, 3)
            for signal, value in signals.items()
        }
        rejected_counts = dict(self.gate.rejected_counts)
        change_count = len(self.controller.change_times)
        self.log.warning(
            "level",
            before=change.previous,
            after=change.current,
            why=change.reason,
            turned_away=rejected_counts,
            changes=change_count,
            **signal_values,
        )
        self.gate.rejected_counts.clear()

    # Effects.

    def admit(self, plan_name: str) -> bool:
        """Whether a request of this plan is admitted at the current level."""
        return self.gate.admit(self.controller.level.effects, plan_name)

    def limit_top_rung(self, requested_top: int, floor: int) -> int:
        """The highest rung of a new playback at the current level, never below its floor."""
        max_rung = self.controller.level.effects.max_rung
        return requested_top if max_rung is None else max(floor, min(requested_top, max_rung))

    def status(self) -> dict[str, object]:
        """For operators: the level, since when and why, and what would change it next."""
        now = self.coordinator.clock.now()
        controller = self.controller
        signals = self.signals(now)
        return {
            "name": controller.level.name,
            "since_s": round((now - controller.changed_at) / 1e9, 1),
            "why": controller.reason,
            "signs": {signal.value: round(value, 3) for signal, value in signals.items()},
            "next": controller.next_change_conditions(signals, now),
            "changes": [
                [change.changed_at // MS, change.previous, change.current, change.reason]
                for change in list(controller.history)[-MAX_STATUS_CHANGES:]
            ],
            "held_back": controller.suppressed_changes,
            "turned_away": dict(self.gate.rejected_counts),
        }
