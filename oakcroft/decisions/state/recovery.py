"""Recovery of a front end after a restart: promises of its earlier process, the node list, node reports.

A promise that plays is adopted at once: its seat counts and its key is answered, and the first report of its
node confirms it or shows that it has ended. An intent of unknown outcome may have run: its key is answered with an abort,
its seat stays taken, and a session that it left behind is ended. A request that was tried on several nodes has
a promise for each try that may still run, so that each of their seats stays taken. A node's report proves that
an intent never ran only if all of this holds:

- the report comes from a process that already ran when the set-up was sent;
- that process remembers keys from that far back, and not this one;
- the report was requested after the set-up could still arrive (`MAX_IN_FLIGHT_NS` after its abandon time).

Times of the node's clock are never compared with times of the front end's. A node says how long ago something
was, and the latest time by the front end's clock that this allows is used. Whatever was sent to a process
that is gone counts as run: the end of the process frees the seat but proves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from oakcroft.decisions.state.promise import PromiseState, Promise, has_expired, transition
from oakcroft.interface import SECOND

MAX_IN_FLIGHT_NS = 2 * SECOND  # after a try's abandon time its node may still read bytes of it


class RecoveryAction(Enum):
    """What to do with a promise at the start. The names of the members are keys of a log line.

    HOLD: its key aborts and its seat stays taken until its node has reported. REMEMBER: only its key is kept, which
    aborts. END: its plan is gone, so its session is ended, and its key aborts if it must not repeat.
    """

    ADOPT = "plays on"
    HOLD = "may have run: its key aborts, its seat is taken, its node is asked"
    REMEMBER = "only its key is kept"
    END = "cannot play on: its session is ended, its key aborts where it binds"
    FORGET = "nothing of it binds any more"


class PromiseVerdict(Enum):
    """What a node's report proves about a promise. The names of the members are written to the log."""

    CONFIRMED = "plays"
    OVER = "does not play any more"
    RUNNING = "ran, and a session of it runs that nobody can use"
    RAN = "ran, and is over"
    NEVER_RAN = "never ran"
    UNPROVEN = "not to be told from this"


@dataclass(frozen=True)
class NodeReport:
    """What a node reports of this front end's sessions when asked.

    `uptime` and `key_memory`: how long its process has run, and how far back it remembers keys, in ns by the
    node's clock. `requested_at` and `received_at`: ns by the front end's clock.
    """

    process: str
    running_sessions: Mapping[str, str]  # key by session
    known_keys: frozenset[str]  # of all set-ups of this front end, as far back as it remembers
    uptime: int
    key_memory: int
    requested_at: int
    received_at: int


def recovery_action(
    promise: Promise, node_listed: bool, plan_known: bool, retention: int, now: int
) -> RecoveryAction:
    """Returns what to do with a promise at the start.

    `node_listed`: its node is on the list in force. `plan_known`: the configuration has its plan. `retention`: how
    long a promise that plays no more is kept. Times in ns.
    """
    if promise.mark is PromiseState.GONE or has_expired(promise, retention, now):
        return RecoveryAction.FORGET
    if promise.mark is PromiseState.ABORTED:
        return RecoveryAction.REMEMBER
    if promise.mark is PromiseState.PLAYS:
        if not plan_known:
            return RecoveryAction.END
        # A node that is not listed is taken to have no process any more.
        if node_listed and promise.resource:
            return RecoveryAction.ADOPT
    elif node_listed and plan_known:
        return RecoveryAction.HOLD
    return RecoveryAction.REMEMBER if promise.must_not_repeat else RecoveryAction.FORGET


def judge_promise(promise: Promise, report: NodeReport) -> PromiseVerdict:
    """Returns what a node's report proves about a promise that was sent to the node, or that plays on it."""
    if promise.mark is PromiseState.PLAYS:
        if promise.resource in report.running_sessions:
            return PromiseVerdict.CONFIRMED
        # It may have begun between the request and the report; none that was recorded before the start has.
        return PromiseVerdict.OVER if promise.changed < report.requested_at else PromiseVerdict.UNPROVEN
    if promise.node_key in report.running_sessions.values():
        return PromiseVerdict.RUNNING
    has_arrived = report.requested_at >= promise.abandon + MAX_IN_FLIGHT_NS
    if promise.node_key in report.known_keys:
        # A key that may be set up again may be known from an earlier set-up, while this one is still to arrive.
        is_certain = promise.must_not_repeat or has_arrived
        return PromiseVerdict.RAN if is_certain else PromiseVerdict.UNPROVEN
    ran_already = report.received_at - report.uptime <= promise.sent_at
    remembers_that_far = report.received_at - report.key_memory <= promise.sent_at
    if ran_already and remembers_that_far and has_arrived:
        return PromiseVerdict.NEVER_RAN
    return PromiseVerdict.UNPROVEN


def apply_verdict(
    promise: Promise, verdict: PromiseVerdict, now: int, abort_replayed: bool = False
) -> Promise:
    """Returns the promise after a verdict on it. `now`: ns.

    `abort_replayed`: its viewer has been told of an abort already, which then stays whatever is proven later,
    since no key is answered in two ways.
    """
    is_intent = promise.mark is PromiseState.INTENT
    never_ran = verdict is PromiseVerdict.NEVER_RAN and is_intent
    if verdict is PromiseVerdict.OVER or (never_ran and not abort_replayed):
        return transition(promise, replace(promise, mark=PromiseState.GONE, changed=now))
    has_run = verdict in (PromiseVerdict.RAN, PromiseVerdict.RUNNING)
    if is_intent and (never_ran or has_run):
        mark = PromiseState.ABORTED if promise.must_not_repeat else PromiseState.GONE
        return transition(promise, replace(promise, mark=mark, changed=now))
    return promise


def proof_possible_at(promise: Promise) -> int:
    """Returns the earliest time (ns) at which a node's report can prove that an intent never ran."""
    return promise.abandon + MAX_IN_FLIGHT_NS


class RecoveryPhase(Enum):
    """Phase of the start of a front end. The values are part of the status that operators read."""

    READING = "reading its state"
    SERVING = "serving"
    STATE_LOST = "serving, but not what must be on record: the state was lost and nodes are asked"


@dataclass
class Recovery:
    """How far the start of one process of a front end has come. Times in ns.

    Without its state a front end cannot know which keys it has promised, but the nodes can: each one that is
    asked reports the keys that it ran for this front end. Requests that must be recorded are rejected until
    all listed nodes have reported, or until the longest time has passed in which a viewer may repeat its key.
    Drawback: a front end that loses its state serves no paid plans until its nodes have answered, for
    `retention` at most.
    """

    retention: int
    started_at: int
    phase: RecoveryPhase = RecoveryPhase.READING
    has_node_list: bool = False  # a node list is in force
    unanswered_nodes: set[str] = field(default_factory=set)
    answered_nodes: set[str] = field(default_factory=set)
    learned_keys: set[str] = field(default_factory=set)  # keys that ran for a process whose state is lost

    def state_read(self, was_found: bool, nodes: Iterable[str], now: int) -> RecoveryPhase:
        """The state has been read, or is lost (`was_found` is false).

        A front end that has never run cannot be told from one whose file is lost; its recovery is complete as
        soon as its nodes have answered.
        """
        self.phase = RecoveryPhase.SERVING if was_found else RecoveryPhase.STATE_LOST
        self.nodes_listed(nodes)
        return self.check(now)

    def nodes_listed(self, nodes: Iterable[str]) -> None:
        """A node list is in force."""
        names = set(nodes)
        self.has_node_list = self.has_node_list or bool(names)
        self.unanswered_nodes = (
            names - self.answered_nodes if self.phase is RecoveryPhase.STATE_LOST else set()
        )

    def report_received(self, node: str, report: NodeReport | None, now: int) -> RecoveryPhase:
        """A node has reported, or is known to be gone (None)."""
        if self.phase is RecoveryPhase.STATE_LOST:
            if report is not None:
                self.learned_keys |= report.known_keys
            self.answered_nodes.add(node)
            self.unanswered_nodes.discard(node)
        return self.check(now)

    def check(self, now: int) -> RecoveryPhase:
        """Checks whether the recovery is complete; called regularly. Returns the phase."""
        all_answered = self.has_node_list and not self.unanswered_nodes
        is_over = all_answered or now - self.started_at > self.retention
        if self.phase is RecoveryPhase.STATE_LOST and is_over:
            self.phase = RecoveryPhase.SERVING
        return self.phase

    def can_record(self, key: str) -> bool:
        """Whether a request that must be recorded may be begun, as far as the recovery goes."""
        return self.phase is RecoveryPhase.SERVING and key not in self.learned_keys


@dataclass(frozen=True)
class SlotUsage:
    """Set-ups that an earlier process sent in one cold node's time slot (rule 4). Times in ns."""

    node: str
    started_at: int
    slot: int
    used: int
    recorded_at: int


@dataclass(frozen=True)
class NodePenalty:
    """Failure score of a node at a time, and its last failure, as an earlier process recorded them. Times in ns."""

    node: str
    score: float
    recorded_at: int
    failed_at: int


def restored_retry_times(last_alive_at: int, retry_budget: float | None, window: int, now: int) -> list[int]:
    """Returns times of retries (rule 6) to count at the start, all at `last_alive_at`. Times in ns.

    They are as many as the earlier process was allowed in a window regardless of its requests (`retry_budget`; None:
    any number), since retries are not recorded. Drawback: after a restart this part of the budget is available only
    after the window has passed.
    """
    if retry_budget is None or now - last_alive_at > window:
        return []
    return [last_alive_at] * int(retry_budget)
