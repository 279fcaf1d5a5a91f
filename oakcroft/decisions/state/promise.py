"""Promises: durable records of the playback requests that may bind a node, kept across crashes.

The state of a promise changes in one function, along defined transitions. A set-up of a plan that is paid,
protected by a key, or limited by seats must have its intent recorded before it is sent; otherwise the next
process could set it up again or give its seat away. Any other one is recorded once it plays, so that the next
process can adopt it.

A request has one promise, which names its last try. A try of a plan with seats that may still run when it has
ended here gets a promise of its own, which keeps its seat until its end on the node is proven.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.sessions.setup_outcome import proves_not_run
from oakcroft.interface import Effect, Outcome, Plan


class PromiseState(Enum):
    """State of a promise. The stored column has the member's name, and the stored body its value."""

    INTENT = "may have been sent"
    PLAYS = "plays"
    ABORTED = "answered that it may have run"
    GONE = "over, and nothing of it binds"


ALLOWED_TRANSITIONS = {
    None: {PromiseState.INTENT, PromiseState.PLAYS},
    PromiseState.INTENT: {PromiseState.INTENT, PromiseState.PLAYS, PromiseState.ABORTED, PromiseState.GONE},
    PromiseState.PLAYS: {PromiseState.PLAYS, PromiseState.ABORTED, PromiseState.GONE},
    PromiseState.ABORTED: {PromiseState.GONE},
    PromiseState.GONE: set[PromiseState](),
}
"""The states that may follow each state; None: there is no promise yet."""


@dataclass(frozen=True)
class Promise:
    """One recorded request. Times in ns since the epoch, by the clock of the front end that wrote it.

    The names of the fields are those of the stored body.
    """

    # The request.
    id: str  # of the viewer's session
    key: str  # idempotency key
    about: str  # fingerprint of the request, by which a repeat is recognised
    path: str
    title: str
    plan: str
    effect: str  # value of the plan's `Effect`
    seats: bool  # whether the plan has seats
    publishes: bool
    ufrag: str  # ICE username fragment of the offer
    top: int  # highest rung
    token: str  # name of the access token, empty without one
    written: int  # when the viewer wrote the request
    abandon: int  # when the viewer gives up
    mark: PromiseState = PromiseState.INTENT
    # The set-up on the node.
    node: str = ""
    process: str = ""  # the node's process, if its event stream had named it
    sent_at: int = 0
    resource: str = ""  # path of the session's resource on the node
    events: str = ""  # path of the node's event stream
    layer: str = ""  # path at which the session's rung is set
    tag: str = ""  # entity tag of the resource
    answer: str = ""  # SDP answer
    rung: int = 0
    changed: int = 0  # when the promise was last changed
    seated: bool = False  # it belongs to a client session of the session API, and ends with it
    setup_key: str = ""  # key under which the set-up was sent, if `key` is another

    @property
    def node_key(self) -> str:
        """The key under which the node knows its set-up."""
        return self.setup_key or self.key

    @property
    def is_unproven_try(self) -> bool:
        """Whether it stands for one try of a request that has a promise, or an answer, of its own."""
        return bool(self.setup_key)

    @property
    def must_not_repeat(self) -> bool:
        """Whether a second set-up would have an effect of its own, so that none may be made."""
        return self.effect != Effect.FREE.value


def transition(promise: Promise | None, changed: Promise) -> Promise:
    """Returns a promise after a change of its state; the only place where the state changes.

    Raises ValueError for a transition that is not allowed.
    """
    mark = promise.mark if promise is not None else None
    if changed.mark not in ALLOWED_TRANSITIONS[mark]:
        raise ValueError(
            f"a promise cannot go from {mark.value if mark else 'nothing'!r} to {changed.mark.value!r}"
        )
    return changed


def needs_durable_intent(plan: Plan) -> bool:
    """Whether a set-up of this plan may be sent only after its intent is durable."""
    return plan.effect is not Effect.FREE or plan.seats > 0


def may_still_run(outcome: Outcome) -> bool:
    """Whether a try may have left a session on its node: neither an answer nor proof that it never ran came."""
    return outcome in (Outcome.RESET, Outcome.LATE, Outcome.WITHDRAWN)


def unproven_try(intent: Promise, label: int | str) -> Promise:
    """Returns the promise of a try that may still run, to be kept beside that of its request.

    `intent` is the promise of the request as it was at this try. The new one keeps a seat and binds no key: the request
    answers for its key, so an id of its own stands in its place; `label` tells the promises of a request apart.
    """
    own_id = f"{intent.id}.{label}"
    return replace(intent, id=own_id, key=own_id, setup_key=intent.key, effect=Effect.FREE.value)


def after_try(promise: Promise, outcome: Outcome, now: int) -> Promise:
    """Returns the promise after a try has ended. `now`: ns.

    Proof that the try never ran withdraws the intent; any other outcome leaves it in force.
    """
    if promise.mark is PromiseState.INTENT and proves_not_run(outcome):
        return replace(promise, mark=PromiseState.GONE, changed=now)
    return promise


def after_answer(promise: Promise, final: FinalAnswer, now: int) -> Promise:
    """Returns the promise after its final answer; an abort of a free plan binds nothing. `now`: ns."""
    if final is FinalAnswer.PLAYS:
        return replace(promise, mark=PromiseState.PLAYS, changed=now)
    is_binding = final is FinalAnswer.ABORTED and promise.must_not_repeat
    mark = PromiseState.ABORTED if is_binding else PromiseState.GONE
    return replace(promise, mark=mark, changed=now)


def after_failed_takeover(promise: Promise, was_refused: bool, now: int) -> Promise:
    """Returns the promise after a takeover that has left this front end no session to serve. `now`: ns.

    `was_refused`: the node did not hand the session over, so that nothing of it binds this front end. Otherwise the
    session was, or may have been, handed over and has ended since: a key that must not repeat aborts.
    """
    is_binding = promise.must_not_repeat and not was_refused
    mark = PromiseState.ABORTED if is_binding else PromiseState.GONE
    return replace(promise, mark=mark, answer="", changed=now)


def has_expired(promise: Promise, retention: int, now: int) -> bool:
    """Whether a promise need not be kept any longer. Times in ns.

    An abort, or an intent whose outcome is unknown, is kept for as long as a viewer may repeat its key.
    """
    return promise.mark in (PromiseState.ABORTED, PromiseState.INTENT) and now - promise.changed > retention
