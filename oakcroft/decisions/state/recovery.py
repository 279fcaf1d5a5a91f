"""Recovery of a front end that starts again: promises of its earlier process, the node list, node reports.

A promise that plays is adopted at once: its seat counts, and its viewer's key finds it, until a report of its
node confirms it or lacks it. An intent of unknown outcome may have run: its key is answered with an abort,
its seat stays taken, and a session that it left behind is ended. A node's report proves that an intent never
ran only if all of this holds:

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

from oakcroft.decisions.state.promise import Mark, Promise, expired, step
from oakcroft.interface import SECOND

IN_FLIGHT = 2 * SECOND  # after a try's abandon time its node may still read bytes of it


class Fate(Enum):
    """What becomes of a promise at the start. The names of the members are keys of a log line."""

    ADOPT = "plays on"
    HOLD = "may have run: its key aborts, its seat is taken, its node is asked"
    REMEMBER = "only its key is kept"
    END = "cannot play on: its session is ended, its key aborts where it binds"
    FORGET = "nothing of it binds any more"


class Verdict(Enum):
    """What a node's report says of a promise. The names of the members are written to the log."""

    CONFIRMED = "plays"
    OVER = "does not play any more"
    RUNNING = "ran, and a session of it runs that nobody can use"
    RAN = "ran, and is over"
    NEVER_RAN = "never ran"
    UNPROVEN = "not to be told from this"


@dataclass(frozen=True)
class Word:
    """What a node reports of this front end's sessions when asked.

    `uptime` and `key_memory`: how long its process has run, and how far back it remembers keys, in ns by the
    node's clock. `requested_at` and `received_at`: ns by the front end's clock.
    """

    process: str
    running: Mapping[str, str]  # key by session
    keys: frozenset[str]  # of all set-ups of this front end, as far back as it remembers
    up: int
    remembers: int
    asked: int
    heard: int


def fate(promise: Promise, listed: bool, plan_known: bool, keep: int, now: int) -> Fate:
    """Returns what to do with a promise at the start. `node_listed`: its node is on the list in force."""
    if promise.mark is Mark.GONE or expired(promise, keep, now):
        return Fate.FORGET
    if promise.mark is Mark.ABORTED:
        return Fate.REMEMBER
    if promise.mark is Mark.PLAYS:
        if not plan_known:
            return Fate.END
        # A node that is not listed is taken to have no process any more.
        return Fate.ADOPT if listed and promise.resource else Fate.REMEMBER if promise.binds else Fate.FORGET
    if listed and plan_known:
        return Fate.HOLD
    return Fate.REMEMBER if promise.binds else Fate.FORGET


def judge(promise: Promise, word: Word) -> Verdict:
    """Returns what a node's report says of a promise that was sent to it, or that plays on it."""
    if promise.mark is Mark.PLAYS:
        if promise.resource in word.running:
            return Verdict.CONFIRMED
        # It may have begun between the request and the report; none that was recorded before the start has.
        return Verdict.OVER if promise.changed < word.asked else Verdict.UNPROVEN
    if promise.key in word.running.values():
        return Verdict.RUNNING
    if promise.key in word.keys:
        return Verdict.RAN
    surely_up = word.heard - word.up <= promise.sent_at
    surely_remembered = word.heard - word.remembers <= promise.sent_at
    arrived = word.asked >= promise.abandon + IN_FLIGHT
    return Verdict.NEVER_RAN if surely_up and surely_remembered and arrived else Verdict.UNPROVEN


def resolved(promise: Promise, verdict: Verdict, now: int, told: bool = False) -> Promise:
    """Returns the promise after a verdict on it. `now`: ns.

    `abort_replayed`: its viewer has been told of an abort already, which then stays whatever is proven later,
    since no key is answered in two ways.
    """
    never = verdict is Verdict.NEVER_RAN and promise.mark is Mark.INTENT
    if verdict is Verdict.OVER or (never and not told):
        return step(promise, replace(promise, mark=Mark.GONE, changed=now))
    if (never or verdict in (Verdict.RAN, Verdict.RUNNING)) and promise.mark is Mark.INTENT:
        mark = Mark.ABORTED if promise.binds else Mark.GONE
        return step(promise, replace(promise, mark=mark, changed=now))
    return promise


def asks_again_at(promise: Promise) -> int:
    """Returns the earliest time (ns) at which a node's report can prove that an intent never ran."""
    return promise.abandon + IN_FLIGHT


class Phase(Enum):
    """Phase of the start of a front end."""

    READING = "reading its state"
    SERVING = "serving"
    FORGETFUL = "serving, but not what must be on record: the state was lost and nodes are asked"


@dataclass
class Recovery:
    """The start of one process of a front end. Times in ns.

    Without its state a front end cannot know which keys it has promised, but the nodes can: each one that is
    asked reports the keys that it ran for this front end. Requests that must be recorded are rejected until
    all listed nodes have reported, or until the longest time has passed in which a viewer may repeat its key.
    Drawback: a front end that loses its state serves no paid plans until its nodes have answered, for
    `retention` at most.
    """

    keep: int
    began: int
    phase: Phase = Phase.READING
    listed: bool = False  # a node list is in force
    unheard: set[str] = field(default_factory=set)
    told: set[str] = field(default_factory=set)
    learnt: set[str] = field(
        default_factory=set
    )  # keys that nodes ran for an earlier process whose state is lost

    def read(self, had: bool, nodes: Iterable[str], now: int) -> Phase:
        """The state has been read, or is lost (`was_found` is false).

        A front end that has never run cannot be told from one whose file is lost; its recovery is complete as
        soon as its nodes have answered.
        """
        self.phase = Phase.SERVING if had else Phase.FORGETFUL
        self.list_came(nodes)
        return self.look(now)

    def list_came(self, nodes: Iterable[str]) -> None:
        """A node list is in force."""
        names = set(nodes)
        self.listed = self.listed or bool(names)
        self.unheard = names - self.told if self.phase is Phase.FORGETFUL else set()

    def heard(self, node: str, word: Word | None, now: int) -> Phase:
        """A node has reported, or is known to be gone (None)."""
        if self.phase is Phase.FORGETFUL:
            if word is not None:
                self.learnt |= word.keys
            self.told.add(node)
            self.unheard.discard(node)
        return self.look(now)

    def look(self, now: int) -> Phase:
        """Checks whether the recovery is complete; called regularly. Returns the phase."""
        all_told = self.listed and not self.unheard
        if self.phase is Phase.FORGETFUL and (all_told or now - self.began > self.keep):
            self.phase = Phase.SERVING
        return self.phase

    def takes_promises(self, key: str) -> bool:
        """Whether a request that must be recorded may be begun, as far as the recovery goes."""
        return self.phase is Phase.SERVING and key not in self.learnt


@dataclass(frozen=True)
class Spent:
    """What an earlier process used of one node's time slot (rule 4). Times in ns."""

    node: str
    started_at: int
    slot: int
    used: int
    at: int


@dataclass(frozen=True)
class Grudge:
    """Distrust score of a node at a time, and its last failure, as an earlier process saw them. Times in ns."""

    node: str
    score: float
    at: int
    failed_at: int


def further_tries(last_seen: int, free: float | None, window: int, now: int) -> list[int]:
    """Returns times of further tries (rule 6) to count at the start, all at `last_seen`. Times in ns.

    They are as many as the earlier process could have made beyond its share, since their records need not
    have reached the disk. Drawback: after a restart the free part of the budget returns only as the window
    passes.
    """
    if free is None or now - last_seen > window:
        return []
    return [last_seen] * int(free)
