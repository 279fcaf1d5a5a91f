"""What a front that starts again makes of what its earlier life has left: promises on record, the list, and nodes' words.

A promise that plays is taken on at once (its seat counts, its viewer's key finds it) and stands until its node's word
confirms it or lacks it. An intent of unknown outcome may have run: its key is answered with an abort, its seat stays
taken, and a session that it left is ended. A node's word proves that it never ran only if all of this holds:

- the word comes from a process that ran already when the set-up was sent;
- that process remembers keys from that far back, and not this one;
- the word was asked for after the set-up could still arrive (`IN_FLIGHT` past its abandon time).

Node time is never compared with front time: a node says how long ago things were, and the latest that this can mean by
the front's clock is taken. Whatever ran in a process that is gone has run, so its end frees the seat but proves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from oakcroft.decisions.state.remembered import Mark, Promise, expired, step
from oakcroft.interface import SECOND

IN_FLIGHT = 2 * SECOND  # after a try's abandon time, bytes of it may still be read by its node


class Fate(Enum):
    """What becomes of a promise at the start."""

    ADOPT = "plays on"
    HOLD = "may have run: its key aborts, its seat is taken, its node is asked"
    REMEMBER = "only its key is kept"
    END = "cannot play on: its session is ended, its key aborts where it binds"
    FORGET = "nothing of it binds any more"


class Verdict(Enum):
    """What a node's word says of a promise."""

    CONFIRMED = "plays"
    OVER = "does not play any more"
    RUNNING = "ran, and a session of it runs that nobody can use"
    RAN = "ran, and is over"
    NEVER_RAN = "never ran"
    UNPROVEN = "not to be told from this"


@dataclass(frozen=True)
class Word:
    """What a node says of this front's sessions when asked. `up`, `remembers`: for how long its process has run, and how
    far back it knows keys, both in ns by the node's clock; `asked`, `heard`: when, by the front's."""

    process: str
    running: Mapping[str, str]  # session -> key
    keys: frozenset[str]  # of all set-ups of this front that ran as far back as it remembers
    up: int
    remembers: int
    asked: int
    heard: int


def fate(promise: Promise, listed: bool, plan_known: bool, keep: int, now: int) -> Fate:
    """What to do with a promise at the start. `listed`: its node is on the list in force."""
    if promise.mark is Mark.GONE or expired(promise, keep, now):
        return Fate.FORGET
    if promise.mark is Mark.ABORTED:
        return Fate.REMEMBER
    if promise.mark is Mark.PLAYS:
        if not plan_known:
            return Fate.END
        # A node off the list has no process any more, as far as anybody knows.
        return Fate.ADOPT if listed and promise.resource else Fate.REMEMBER if promise.binds else Fate.FORGET
    if listed and plan_known:
        return Fate.HOLD
    return Fate.REMEMBER if promise.binds else Fate.FORGET


def judge(promise: Promise, word: Word) -> Verdict:
    """What a node's word says of a promise that it was sent, or that it plays."""
    if promise.mark is Mark.PLAYS:
        if promise.resource in word.running:
            return Verdict.CONFIRMED
        # It may have begun between the asking and the word; none that was on record at the start has.
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
    """The promise after a node's word. `told`: its viewer has heard an abort already, which then stands, whatever is
    proven later: no key is answered two ways."""
    never = verdict is Verdict.NEVER_RAN and promise.mark is Mark.INTENT
    if verdict is Verdict.OVER or (never and not told):
        return step(promise, replace(promise, mark=Mark.GONE, changed=now))
    if (never or verdict in (Verdict.RAN, Verdict.RUNNING)) and promise.mark is Mark.INTENT:
        mark = Mark.ABORTED if promise.binds else Mark.GONE
        return step(promise, replace(promise, mark=mark, changed=now))
    return promise


def asks_again_at(promise: Promise) -> int:
    """When a node's word can prove that an intent never ran, if it can at all."""
    return promise.abandon + IN_FLIGHT


class Phase(Enum):
    """How far a front's start has got."""

    READING = "reading its state"
    SERVING = "serving"
    FORGETFUL = "serving, but not what must be on record: the state was lost and nodes are asked"


@dataclass
class Recovery:
    """The start of one life.

    Without its state a front cannot know which keys it has promised. The nodes can: each that is asked tells keys that
    it ran for this front. Until all listed nodes have told, or the longest time for which a viewer may come again with
    its key has passed, requests that must be on record are rejected. Harm: losing the state of a front costs its paid
    plans until its nodes have answered, `keep` at the longest.
    """

    keep: int
    began: int
    phase: Phase = Phase.READING
    listed: bool = False  # a list of nodes is in force
    unheard: set[str] = field(default_factory=set)
    told: set[str] = field(default_factory=set)
    learnt: set[str] = field(default_factory=set)  # keys that nodes ran for a life that is forgotten

    def read(self, had: bool, nodes: Iterable[str], now: int) -> Phase:
        """The state has been read, or is not to be had (`had`). A front that has never run cannot be told from one whose
        file is lost, but by its nodes: for it this is over as soon as they have answered."""
        self.phase = Phase.SERVING if had else Phase.FORGETFUL
        self.list_came(nodes)
        return self.look(now)

    def list_came(self, nodes: Iterable[str]) -> None:
        """These nodes are listed now."""
        names = set(nodes)
        self.listed = self.listed or bool(names)
        self.unheard = names - self.told if self.phase is Phase.FORGETFUL else set()

    def heard(self, node: str, word: Word | None, now: int) -> Phase:
        """A node has told, or is known to be gone (None)."""
        if self.phase is Phase.FORGETFUL:
            if word is not None:
                self.learnt |= word.keys
            self.told.add(node)
            self.unheard.discard(node)
        return self.look(now)

    def look(self, now: int) -> Phase:
        """To be called now and then."""
        all_told = self.listed and not self.unheard
        if self.phase is Phase.FORGETFUL and (all_told or now - self.began > self.keep):
            self.phase = Phase.SERVING
        return self.phase

    def takes_promises(self, key: str) -> bool:
        """Whether a request that must be on record may be begun, as far as the start goes."""
        return self.phase is Phase.SERVING and key not in self.learnt


@dataclass(frozen=True)
class Spent:
    """What an earlier life left of one node's slot of time (rule 4)."""

    node: str
    started_at: int
    slot: int
    used: int
    at: int


@dataclass(frozen=True)
class Grudge:
    """What an earlier life held against a node: its distrust at a time, and when it last failed."""

    node: str
    score: float
    at: int
    failed_at: int


def further_tries(last_seen: int, free: float | None, window: int, now: int) -> list[int]:
    """Further tries to count at the start as if made at `last_seen` (rule 6): as many as the earlier life could have made
    beyond its share, since their records need not have reached the disk. Harm: after a restart the free part of the
    budget comes back only as the window passes."""
    if free is None or now - last_seen > window:
        return []
    return [last_seen] * int(free)
