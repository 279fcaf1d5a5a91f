"""What a front has promised and must not forget when it is killed: one record for each request that may bind a node.

A promise goes through named marks, in one function. A plan that is paid for, that a key protects or that has seats must
have its intent on record before its set-up leaves, or a successor could set it up again or give its seat away; a free
one is recorded once it plays, so that a successor can go on with it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from oakcroft.decisions.sessions.answers import Final
from oakcroft.decisions.sessions.evidence import never_ran
from oakcroft.interface import Effect, Outcome, Plan


class Mark(Enum):
    """How far a promise has got."""

    INTENT = "may have been sent"
    PLAYS = "plays"
    ABORTED = "answered that it may have run"
    GONE = "over, and nothing of it binds"


FOLLOWS = {
    None: {Mark.INTENT, Mark.PLAYS},
    Mark.INTENT: {Mark.INTENT, Mark.PLAYS, Mark.ABORTED, Mark.GONE},
    Mark.PLAYS: {Mark.PLAYS, Mark.ABORTED, Mark.GONE},
    Mark.ABORTED: {Mark.GONE},
    Mark.GONE: set[Mark](),
}


@dataclass(frozen=True)
class Promise:
    """One request on record. Times in ns since the epoch, by the clock of the front that wrote it."""

    id: str
    key: str
    about: str
    path: str
    title: str
    plan: str
    effect: str
    seats: bool
    publishes: bool
    ufrag: str
    top: int
    token: str
    written: int
    abandon: int
    mark: Mark = Mark.INTENT
    node: str = ""
    process: str = ""  # the node's process, where its stream had named it
    sent_at: int = 0
    resource: str = ""
    events: str = ""
    layer: str = ""
    tag: str = ""
    answer: str = ""
    rung: int = 0
    changed: int = 0
    seated: bool = False  # it belongs to a seat of the session API, and ends with that

    @property
    def binds(self) -> bool:
        """Whether a second set-up of it would cost somebody."""
        return self.effect != Effect.FREE.value


def step(promise: Promise | None, to: Promise) -> Promise:
    """The one place where a promise's mark changes. ValueError for a step that cannot be."""
    mark = promise.mark if promise is not None else None
    if to.mark not in FOLLOWS[mark]:
        raise ValueError(
            f"a promise cannot go from {mark.value if mark else 'nothing'!r} to {to.mark.value!r}"
        )
    return to


def waits_for_record(plan: Plan) -> bool:
    """Whether a set-up of this plan may leave only after its intent is durable."""
    return plan.effect is not Effect.FREE or plan.seats > 0


def after_try(promise: Promise, outcome: Outcome, now: int) -> Promise:
    """What a try's end makes of its intent: proof that it never ran takes it back, all else leaves it standing."""
    if promise.mark is Mark.INTENT and never_ran(outcome):
        return replace(promise, mark=Mark.GONE, changed=now)
    return promise


def after_answer(promise: Promise, final: Final, now: int) -> Promise:
    """What the one final answer makes of it. An abort of a free plan binds nobody."""
    if final is Final.PLAYS:
        return replace(promise, mark=Mark.PLAYS, changed=now)
    binds = final is Final.ABORTED and promise.binds
    return replace(promise, mark=Mark.ABORTED if binds else Mark.GONE, changed=now)


def expired(promise: Promise, keep: int, now: int) -> bool:
    """Whether a promise need not be kept any longer: an abort, or an intent that nobody resolved, binds for as long as a
    viewer may come again with its key."""
    return promise.mark in (Mark.ABORTED, Mark.INTENT) and now - promise.changed > keep
