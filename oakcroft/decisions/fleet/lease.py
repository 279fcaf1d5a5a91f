"""Fleet leases: terms with fencing tokens, and the messages between acceptors and candidates.

A lease gives one front the right to a piece of work on behalf of the whole fleet. Its holder has it for a term, granted
by a majority of the acceptors that the configuration names. Each term has a fencing token that only grows and that goes
with everything the holder does: whoever receives the work keeps the highest token seen and rejects lower ones (`Fence`).
The holder also watches its own clock, but this only spares work and proves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS

MOST_NUMBER = 1 << 62
"""All numbers in messages are below this."""

MOST_NOTE = 500
"""Octets of a note, so that a message with one fits into a datagram."""

DRIFT = 50
"""The clocks of two machines drift apart by less than 1/50 of a term."""


class Step(Enum):
    """Kind of a message between candidate and acceptor; the values are those on the wire."""

    PREPARE = 1  # requests a promise for the next term, under a fencing token
    PROPOSE = 2  # requests acceptance of the term; sent again to renew it, or to put a note on record
    RELEASE = 3  # the holder gives the lease back
    LEARN = 4  # an acceptor that lost its record requests that of another
    PROMISED = 5
    REFUSED = 6
    ACCEPTED = 7
    LEARNT = 8  # the record of an acceptor, for one that lost its own


@dataclass(frozen=True)
class Term:
    """One term of a lease."""

    number: int
    """Grows from term to term, and fences the work done in this one."""

    owner: str
    """Name of the front."""

    start: int
    """Generation of the front's process."""


@dataclass(frozen=True)
class Note:
    """What the holder of a lease put on record for its successor. Of two notes the one with the higher version counts."""

    number: int = 0
    """Fencing token of the term in which it was written."""

    step: int = 0
    """Counts the notes of one term."""

    body: bytes = b""

    @property
    def key(self) -> tuple[int, int]:
        """Fencing token and step."""
        return self.number, self.step


@dataclass(frozen=True)
class Ask:
    """A candidate's message to an acceptor."""

    step: Step
    duty: str
    term: Term
    seq: int = 0
    """Sequence number of a proposal, repeated in its answers."""

    length: int = 0
    """Length in ns of the term that a proposal requests."""

    note: Note = Note()


@dataclass(frozen=True)
class Answer:
    """An acceptor's message to a candidate."""

    step: Step
    duty: str
    keeper: str
    epoch: int
    """Epoch of the acceptor's record."""

    number: int
    """Fencing token of the request."""

    seq: int = 0
    """Sequence number of the request."""

    highest: int = 0
    """Highest fencing token that the acceptor has promised."""

    running: Term | None = None
    """The term that runs at the acceptor, None where none does."""

    left: int = 0
    """What is left of the running term, in ns."""

    note: Note = Note()
    epochs: tuple[tuple[str, int], ...] = ()
    """Epochs of the other acceptors' records, as far as this one knows."""


@dataclass(frozen=True)
class Row:
    """What an acceptor has on record of one lease."""

    promised: int = 0
    """Highest fencing token that was promised."""

    to: str = ""
    """The process that it was promised to, as two may request the same token."""

    term: Term | None = None
    """The term that was accepted last, whether or not it still runs."""

    note: Note = Note()


@dataclass(frozen=True)
class Learnt:
    """The record of an acceptor, for another that lost its own."""

    keeper: str
    epoch: int
    """Epoch of the acceptor's record."""

    sound: bool
    """Whether the acceptor knows everything that it ever promised."""

    rows: tuple[tuple[str, Row], ...]
    """Records by lease name."""


def majority(of: int) -> int:
    """Returns the size of a majority of `count` acceptors."""
    return of // 2 + 1


def belief(length: int) -> int:
    """Returns for how long a holder may act on a term, counted from its request; `term_length` and the result in ns.

    This is less than any acceptor counts for the term, whatever the drift of its clock.
    """
    return length - length // DRIFT - MS


class Fence:
    """The highest fencing token that has taken effect for each lease, at the resource that the work is done on.

    This rejects the work of a holder that was suspended past the end of its term while a message was under way: its
    token is lower than that of the next holder. Steps grow within a term, so a message that was overtaken by a later one
    has no effect either. A resource that must survive restarts makes `highest_seen` durable before the work takes effect.
    """

    MOST = 64
    """Leases that a fence keeps; the program names them, not the peers."""

    def __init__(self, seen: dict[str, tuple[int, int]] | None = None) -> None:
        """`highest_seen` gives the (fencing token, step) by lease name that were durable before a restart."""
        self.seen = dict(seen or {})
        self.turned_away = 0

    def admits(self, duty: str, number: int, step: int) -> bool:
        """Returns whether work under this token and step may take effect.

        A repeated step is admitted, as repeating it changes nothing. Work that is too old is counted as rejected.
        """
        if (number, step) < self.seen.get(duty, (0, 0)):
            self.turned_away += 1
            return False
        return duty in self.seen or len(self.seen) < self.MOST

    def takes(self, duty: str, number: int, step: int) -> None:
        """Records that work under this token and step takes effect."""
        self.seen[duty] = max(self.seen.get(duty, (0, 0)), (number, step))
