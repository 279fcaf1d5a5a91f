"""Staged rollout of a catalogue version: activated by a share of the fronts, watched, then extended or rolled back.

The holder of the rollout's lease puts each plan on record at the acceptors before it acts on it, so that the next holder
continues where the last one failed. Each change of the plan is a step. Orders carry the fencing token of the holder's
term and the step, and every front rejects older ones, so that a late holder can neither push an older version nor move
the rollout back.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from oakcroft.interface import SECOND

ROLLOUT_SHARES = (0.1, 0.5, 1.0)
"""Canary shares of all fronts, one after the other: a fault that shows at a tenth of the fronts affects a tenth."""

DISTRIBUTION_TIMEOUT = 20 * SECOND
"""Time for a version's text to reach all present fronts."""

ACTIVATION_TIMEOUT = 20 * SECOND
"""Time for all fronts of the share to activate the version."""

MAX_REPORT_AGE = 10 * SECOND
"""An older report is requested again, as the front may have restarted since."""

MIN_ANSWERS = 50
"""Answers of the fronts with the new version below which their failures are not judged."""

MIN_FAILURE_INCREASE = 0.05
"""Increase of the failure share, over that of the fronts without the new version, that rolls it back."""

MIN_STANDARD_ERRORS = 3.0
"""Standard errors that the increase must exceed as well: chance alone exceeds them once in 700 times."""

MAX_REASON_LENGTH = 120
"""Characters of a reason in a plan."""


class RolloutStage(Enum):
    """Stage of a rollout. The values are stored in plans; operators and logs show the names in lower case."""

    HANDED = 1  # the text is distributed; no front activates it
    TAKEN = 2  # a share of the fronts activates it
    DONE = 3  # all fronts have it
    BACK = 4  # the fronts that activated it roll back to the version before
    STOPPED = 5  # no front has it in force


FINAL_STAGES = (RolloutStage.DONE, RolloutStage.STOPPED)


@dataclass(frozen=True)
class RolloutPlan:
    """A rollout as it is on record."""

    number: int
    """Counts the rollouts of the fleet."""

    digest: str
    """Digest of the new version."""

    base_digest: str
    """Digest of the version before."""

    stage: RolloutStage
    step: int
    """Grows with each change of the plan, also from rollout to rollout."""

    share_index: int = 0
    """Index into `ROLLOUT_SHARES`."""

    watch_time: int = 10 * SECOND
    """How long a share is watched before the next one, in ns."""

    force: bool = False
    """Whether fronts activate the version although it fails their checks."""

    change_reason: str = ""
    """Why the version was made, as the operator says."""

    end_reason: str = ""
    """Why the rollout was not completed."""

    @property
    def target_share(self) -> float:
        """Share of the fronts that are to have the version in force, 0 to 1."""
        if self.stage is RolloutStage.DONE:
            return 1.0
        return ROLLOUT_SHARES[self.share_index] if self.stage is RolloutStage.TAKEN else 0.0


@dataclass(frozen=True)
class FrontReport:
    """A front's report on an order."""

    step: int
    """Step of the plan that it reports on."""

    has_text: bool
    """Whether the front has the text of the version."""

    active_digest: str
    """Digest of the version in force there."""

    is_in_share: bool = False
    """Whether the front is one of the share."""

    refused: str = ""
    """Why the front does not activate the version; empty where it does."""

    answers: int = 0
    """Answers to set-ups since the step began there."""

    failures: int = 0
    """Those of the answers that failed."""

    has_no_catalogue: bool = False
    """Whether the front has no catalogue although there is a version before this one."""


class Rollout:
    """The holder's side of a rollout: `next_plan` returns the plan that the host is to put on record, then act on."""

    def __init__(self, plan: RolloutPlan) -> None:
        """`plan` is the one on record."""
        self.plan = plan
        self.reports: dict[str, tuple[FrontReport, int]] = {}  # by front, with the time of the report
        self.complete_since: int | None = None  # when all of the share had it in force
        self.incomplete_since: int | None = None  # since when not all present fronts are as planned

    def receive_report(self, front: str, report: FrontReport, now: int) -> None:
        """Takes a front's report; reports on earlier steps are ignored."""
        if report.step == self.plan.step:
            self.reports[front] = (report, now)

    def set_recorded_plan(self, plan: RolloutPlan) -> None:
        """Sets the plan that is on record now."""
        self.plan = plan
        self.complete_since = None
        self.incomplete_since = None
        self.reports.clear()

    def unconfirmed_fronts(self, present_fronts: Iterable[str], now: int) -> list[str]:
        """Returns the present fronts without a recent report that they are as the plan wants."""
        return [front for front in present_fronts if not self._is_confirmed(front, now)]

    def _is_confirmed(self, front: str, now: int) -> bool:
        """Returns whether a recent report of a front says that it is as the plan wants."""
        if front not in self.reports:
            return False
        report, reported_at = self.reports[front]
        return now - reported_at <= MAX_REPORT_AGE and self._matches_plan(report)

    def _matches_plan(self, report: FrontReport) -> bool:
        plan = self.plan
        if plan.stage is RolloutStage.HANDED:
            return report.has_text and not report.has_no_catalogue
        if plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            return report.active_digest != plan.digest and not report.has_no_catalogue
        return report.active_digest == plan.digest or (
            not report.is_in_share and plan.stage is RolloutStage.TAKEN
        )

    def next_plan(self, present_fronts: Iterable[str], now: int) -> RolloutPlan | None:
        """Returns the plan to put on record next, None where the present one continues.

        `present_fronts` are those that the membership shows as present. Others are not waited for; they get the version
        when they are back.

        The fronts with the new version are compared with those without it, as both answer at the same time under the
        same load. A version that does harm is rolled back.
        """
        plan = self.plan
        present = list(present_fronts)
        if plan.stage in FINAL_STAGES:
            return None
        refusals = sorted(
            (front, report.refused) for front, (report, _) in self.reports.items() if report.refused
        )
        if refusals and plan.stage is not RolloutStage.BACK:
            return self._reversed_plan(f"{refusals[0][0]} refused it: {refusals[0][1]}")
        missing = self.unconfirmed_fronts(present, now)
        incomplete_for = self._time_incomplete(bool(missing), now)
        if plan.stage is RolloutStage.HANDED:
            return self._plan_after_distribution(missing, incomplete_for)
        if plan.stage is RolloutStage.BACK:
            return self._advanced_plan(RolloutStage.STOPPED, plan.share_index) if not missing else None
        return self._plan_after_activation(missing, incomplete_for, now)

    def _plan_after_distribution(self, missing: list[str], incomplete_for: int) -> RolloutPlan | None:
        """Returns the plan that follows the distribution of the text; `missing` are the fronts without it."""
        if not missing:
            return self._advanced_plan(RolloutStage.TAKEN, 0)
        if incomplete_for <= DISTRIBUTION_TIMEOUT:
            return None
        return self._reversed_plan(f"{missing[0]} did not take it in")

    def _plan_after_activation(self, missing: list[str], incomplete_for: int, now: int) -> RolloutPlan | None:
        """Returns the plan that follows the activation by a share; `missing` are its fronts that have not activated."""
        plan = self.plan
        if increase := self._failure_increase():
            return self._reversed_plan(increase)
        if missing:
            self.complete_since = None
            if incomplete_for <= ACTIVATION_TIMEOUT:
                return None
            return self._reversed_plan(f"{missing[0]} did not take it")
        if self.complete_since is None:
            self.complete_since = now
        if now - self.complete_since < plan.watch_time:
            return None
        if plan.share_index + 1 >= len(ROLLOUT_SHARES):
            return self._advanced_plan(RolloutStage.DONE, plan.share_index)
        return self._advanced_plan(RolloutStage.TAKEN, plan.share_index + 1)

    def _time_incomplete(self, is_incomplete: bool, now: int) -> int:
        """Returns for how long reports that match the plan have been missing, in ns."""
        if not is_incomplete:
            self.incomplete_since = None
            return 0
        if self.incomplete_since is None:
            self.incomplete_since = now
        return now - self.incomplete_since

    def _advanced_plan(self, stage: RolloutStage, share_index: int, reason: str = "") -> RolloutPlan:
        return replace(
            self.plan,
            stage=stage,
            share_index=share_index,
            step=self.plan.step + 1,
            end_reason=(reason or self.plan.end_reason)[:MAX_REASON_LENGTH],
        )

    def _reversed_plan(self, reason: str) -> RolloutPlan:
        """Returns the plan that rolls back where a front may have the version in force, and otherwise stops."""
        return self._advanced_plan(
            RolloutStage.STOPPED if self.plan.stage is RolloutStage.HANDED else RolloutStage.BACK,
            self.plan.share_index,
            reason,
        )

    def roll_back(self, reason: str) -> RolloutPlan | None:
        """Returns the plan for an operator's rollback, None where the rollout is being rolled back already."""
        if self.plan.stage in (RolloutStage.BACK, RolloutStage.STOPPED):
            return None
        return self._reversed_plan(reason)

    def _failure_increase(self) -> str:
        new_version = [0, 0]
        old_version = [0, 0]
        for report, _ in self.reports.values():
            counts = new_version if report.active_digest == self.plan.digest else old_version
            counts[0] += report.answers
            counts[1] += report.failures
        if new_version[0] < MIN_ANSWERS:
            return ""
        failure_share = new_version[1] / new_version[0]
        baseline_share = old_version[1] / old_version[0] if old_version[0] >= MIN_ANSWERS else 0.0
        pooled_share = (new_version[1] + old_version[1]) / (new_version[0] + old_version[0])
        standard_error = math.sqrt(
            pooled_share * (1 - pooled_share) * (1 / new_version[0] + 1 / max(1, old_version[0]))
        )
        if failure_share - baseline_share <= max(MIN_FAILURE_INCREASE, MIN_STANDARD_ERRORS * standard_error):
            return ""
        return f"{failure_share:.0%} of {new_version[0]} answers failed with it, {baseline_share:.0%} without"


def new_plan(
    last: RolloutPlan | None, digest: str, base_digest: str, watch_time: int, force: bool, change_reason: str
) -> RolloutPlan | str:
    """Returns the plan of a new rollout, or why there can be none now. `watch_time` in ns."""
    if last is not None and last.stage not in FINAL_STAGES:
        return f"roll-out {last.number} is under way"
    number = last.number + 1 if last is not None else 1
    step = last.step + 1 if last is not None else 1
    return RolloutPlan(
        number,
        digest,
        base_digest,
        RolloutStage.HANDED,
        step,
        0,
        watch_time,
        force,
        change_reason[:MAX_REASON_LENGTH],
    )
