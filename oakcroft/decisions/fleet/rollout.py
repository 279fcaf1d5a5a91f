"""A roll-out over the fleet: one version taken by a share of the fronts, watched, taken by more, or taken back.

The plan stands on record at the keepers before anything is done under it, so whoever owns the duty next goes on where the
last owner died. Each change of the plan is a step; what the owner orders goes under its term's number and that step, and
every front turns older ones away, so that a late owner can push neither an older version nor the same one backwards.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from oakcroft.interface import SECOND

SHARES = (0.1, 0.5, 1.0)
"""Of all fronts, one after the other: a fault that shows at a tenth costs a tenth."""

HAND_WITHIN = 20 * SECOND  # for a version to reach all that are there
TAKE_WITHIN = 20 * SECOND
STALE = 10 * SECOND  # a report older than this is asked for again: the front may have started anew since
ENOUGH = 50  # answers of those that took it, under which their failures say nothing
WORSE = 0.05  # of the share of failures, over that of those that did not
ERRORS = 3.0  # standard errors of that difference that it must be over as well: chance gives one of 700
MOST_REASON = 120


class Stage(Enum):
    """How a roll-out stands; the number is the record's."""

    HANDED = 1  # the text goes round; nobody takes it
    TAKEN = 2  # by a share
    DONE = 3
    BACK = 4  # whoever took it goes back to the version before
    STOPPED = 5  # nobody has it in force


ENDED = (Stage.DONE, Stage.STOPPED)


@dataclass(frozen=True)
class Plan:
    """One roll-out as it stands on record. `base`: digest of the version before; `watch`: ns before the next share."""

    number: int
    digest: str
    base: str
    stage: Stage
    step: int
    share: int = 0  # index into SHARES
    watch: int = 10 * SECOND
    force: bool = False
    why: str = ""
    reason: str = ""  # of its end, where it was not carried through

    @property
    def part(self) -> float:
        """Of the fronts that are to have it in force."""
        if self.stage is Stage.DONE:
            return 1.0
        return SHARES[self.share] if self.stage is Stage.TAKEN else 0.0


@dataclass(frozen=True)
class Report:
    """What a front says: whether it holds the text, what is in force there, whether it is one of the share, why it will
    not, and its answers under this step: all of them, and those that failed."""

    step: int
    holds: bool
    in_force: str
    takes_part: bool = False
    refused: str = ""
    answers: int = 0
    failures: int = 0
    bare: bool = False  # it has no catalogue at all, though there is a version before this one


class Rollout:
    """The owner's side of one roll-out. What goes on record next comes from `next`; the host records it, then acts."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.reports: dict[str, tuple[Report, int]] = {}
        self.all_since: int | None = None  # when all of the share had it in force
        self.missing_since: int | None = None

    def heard(self, front: str, report: Report, now: int) -> None:
        """A front's report; one to an earlier step tells nothing of this one."""
        if report.step == self.plan.step:
            self.reports[front] = (report, now)

    def recorded(self, plan: Plan) -> None:
        """A plan is on record and in force."""
        self.plan, self.all_since, self.missing_since = plan, None, None
        self.reports.clear()

    def unconfirmed(self, present: Iterable[str], now: int) -> list[str]:
        """Fronts that have not said of late that they stand as the plan wants."""
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
        """The plan to be put on record next; None where the present one is to go on. `present`: fronts that are there by
        the view; one that is not is not waited for, and comes to the version when it is back.

        Guards against a version that does harm where it is in force: those that took it are held against those that did
        not, as both answer at the same time under the same load.
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
        """It goes no further: back where anybody may have it in force, else it is over."""
        return self._step(
            Stage.STOPPED if self.plan.stage is Stage.HANDED else Stage.BACK, self.plan.share, reason
        )

    def take_back(self, reason: str) -> Plan | None:
        """An operator takes it back; None where it is being taken back already."""
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
    """The plan of a new roll-out, or why there can be none now."""
    if last is not None and last.stage not in ENDED:
        return f"roll-out {last.number} is under way"
    number, step = (last.number + 1, last.step + 1) if last is not None else (1, 1)
    return Plan(number, digest, base, Stage.HANDED, step, 0, watch, force, why[:MOST_REASON])
