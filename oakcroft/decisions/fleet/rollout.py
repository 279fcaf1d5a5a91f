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

SHARES = (0.1, 0.5, 1.0)
"""Canary shares of all fronts, one after the other: a fault that shows at a tenth of the fronts affects a tenth."""

HAND_WITHIN = 20 * SECOND
"""Time for a version's text to reach all present fronts."""

TAKE_WITHIN = 20 * SECOND
"""Time for all fronts of the share to activate the version."""

STALE = 10 * SECOND
"""An older report is requested again, as the front may have restarted since."""

ENOUGH = 50
"""Answers of the fronts with the new version below which their failures are not judged."""

WORSE = 0.05
"""Increase of the failure share, over that of the fronts without the new version, that rolls it back."""

ERRORS = 3.0
"""Standard errors that the increase must exceed as well: chance alone exceeds them once in 700 times."""

MOST_REASON = 120
"""Characters of a reason in a plan."""


class Stage(Enum):
    """Stage of a rollout. The values are stored in plans; operators and logs show the names in lower case."""

    HANDED = 1  # the text is distributed; no front activates it
    TAKEN = 2  # a share of the fronts activates it
    DONE = 3  # all fronts have it
    BACK = 4  # the fronts that activated it roll back to the version before
    STOPPED = 5  # no front has it in force


ENDED = (Stage.DONE, Stage.STOPPED)


@dataclass(frozen=True)
class Plan:
    """A rollout as it is on record."""

    number: int
    """Counts the rollouts of the fleet."""

    digest: str
    """Digest of the new version."""

    base: str
    """Digest of the version before."""

    stage: Stage
    step: int
    """Grows with each change of the plan, also from rollout to rollout."""

    share: int = 0
    """Index into `ROLLOUT_SHARES`."""

    watch: int = 10 * SECOND
    """How long a share is watched before the next one, in ns."""

    force: bool = False
    """Whether fronts activate the version although it fails their checks."""

    why: str = ""
    """Why the version was made, as the operator says."""

    reason: str = ""
    """Why the rollout was not completed."""

    @property
    def part(self) -> float:
        """Share of the fronts that are to have the version in force, 0 to 1."""
        if self.stage is Stage.DONE:
            return 1.0
        return SHARES[self.share] if self.stage is Stage.TAKEN else 0.0


@dataclass(frozen=True)
class Report:
    """A front's report on an order."""

    step: int
    """Step of the plan that it reports on."""

    holds: bool
    """Whether the front has the text of the version."""

    in_force: str
    """Digest of the version in force there."""

    takes_part: bool = False
    """Whether the front is one of the share."""

    refused: str = ""
    """Why the front does not activate the version; empty where it does."""

    answers: int = 0
    """Answers to set-ups since the step began there."""

    failures: int = 0
    """Those of the answers that failed."""

    bare: bool = False
    """Whether the front has no catalogue although there is a version before this one."""


class Rollout:
    """The holder's side of a rollout: `next_plan` returns the plan that the host is to put on record, then act on."""

    def __init__(self, plan: Plan) -> None:
        """`plan` is the one on record."""
        self.plan = plan
        self.reports: dict[str, tuple[Report, int]] = {}  # by front, with the time of the report
        self.all_since: int | None = None  # when all of the share had it in force
        self.missing_since: int | None = None  # since when not all present fronts are as planned

    def heard(self, front: str, report: Report, now: int) -> None:
        """Takes a front's report; reports on earlier steps are ignored."""
        if report.step == self.plan.step:
            self.reports[front] = (report, now)

    def recorded(self, plan: Plan) -> None:
        """Sets the plan that is on record now."""
        self.plan, self.all_since, self.missing_since = plan, None, None
        self.reports.clear()

    def unconfirmed(self, present: Iterable[str], now: int) -> list[str]:
        """Returns the present fronts without a recent report that they are as the plan wants."""
        return [f for f in present if (told := self.reports.get(f)) is None or now - told[1] > STALE
                or not self._stands(told[0])]  # fmt: skip

    def _stands(self, report: Report) -> bool:
        plan = self.plan
        if plan.stage is Stage.HANDED:
            return report.holds and not report.bare
        if plan.stage in (Stage.BACK, Stage.STOPPED):
            return report.in_force != plan.digest and not report.bare
        return report.in_force == plan.digest or (not report.takes_part and plan.stage is Stage.TAKEN)

    def next(self, present: Iterable[str], now: int) -> Plan | None:
        """Returns the plan to put on record next, None where the present one continues.

        `present_fronts` are those that the membership shows as present. Others are not waited for; they get the version
        when they are back.

        The fronts with the new version are compared with those without it, as both answer at the same time under the
        same load. A version that does harm is rolled back.
        """
        plan, there = self.plan, list(present)
        if plan.stage in ENDED:
            return None
        refused = sorted((f, told.refused) for f, (told, _) in self.reports.items() if told.refused)
        if refused and plan.stage is not Stage.BACK:
            return self._turned(f"{refused[0][0]} refused it: {refused[0][1]}")
        missing = self.unconfirmed(there, now)
        if not missing:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now
        waited = now - self.missing_since if self.missing_since is not None else 0
        if plan.stage is Stage.HANDED:
            if not missing:
                return self._step(Stage.TAKEN, 0)
            return self._turned(f"{missing[0]} did not take it in") if waited > HAND_WITHIN else None
        if plan.stage is Stage.BACK:
            return self._step(Stage.STOPPED, plan.share) if not missing else None
        if worse := self._worse():
            return self._turned(worse)
        if missing:
            self.all_since = None
            return self._turned(f"{missing[0]} did not take it") if waited > TAKE_WITHIN else None
        if self.all_since is None:
            self.all_since = now
        if now - self.all_since < plan.watch:
            return None
        if plan.share + 1 >= len(SHARES):
            return self._step(Stage.DONE, plan.share)
        return self._step(Stage.TAKEN, plan.share + 1)

    def _step(self, stage: Stage, share: int, reason: str = "") -> Plan:
        return replace(
            self.plan,
            stage=stage,
            share=share,
            step=self.plan.step + 1,
            reason=(reason or self.plan.reason)[:MOST_REASON],
        )

    def _turned(self, reason: str) -> Plan:
        """Returns the plan that rolls back where a front may have the version in force, and otherwise stops."""
        return self._step(
            Stage.STOPPED if self.plan.stage is Stage.HANDED else Stage.BACK, self.plan.share, reason
        )

    def take_back(self, reason: str) -> Plan | None:
        """Returns the plan for an operator's rollback, None where the rollout is being rolled back already."""
        if self.plan.stage in (Stage.BACK, Stage.STOPPED):
            return None
        return self._turned(reason)

    def _worse(self) -> str:
        with_it, without = [0, 0], [0, 0]
        for report, _ in self.reports.values():
            some = with_it if report.in_force == self.plan.digest else without
            some[0] += report.answers
            some[1] += report.failures
        if with_it[0] < ENOUGH:
            return ""
        failing = with_it[1] / with_it[0]
        usual = without[1] / without[0] if without[0] >= ENOUGH else 0.0
        both = (with_it[1] + without[1]) / (with_it[0] + without[0])
        error = math.sqrt(both * (1 - both) * (1 / with_it[0] + 1 / max(1, without[0])))
        if failing - usual <= max(WORSE, ERRORS * error):
            return ""
        return f"{failing:.0%} of {with_it[0]} answers failed with it, {usual:.0%} without"


def begins(last: Plan | None, digest: str, base: str, watch: int, force: bool, why: str) -> Plan | str:
    """Returns the plan of a new rollout, or why there can be none now. `watch_time` in ns."""
    if last is not None and last.stage not in ENDED:
        return f"roll-out {last.number} is under way"
    number, step = (last.number + 1, last.step + 1) if last is not None else (1, 1)
    return Plan(number, digest, base, Stage.HANDED, step, 0, watch, force, why[:MOST_REASON])
