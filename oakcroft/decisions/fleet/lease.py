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

NUMBER_LIMIT = 1 << 62
"""All numbers in messages are below this."""

MAX_NOTE_OCTETS = 500
"""Octets of a note, so that a message with one fits into a datagram."""

CLOCK_DRIFT_DIVISOR = 50
"""The clocks of two machines drift apart by less than 1/50 of a term."""


class LeaseMessageKind(Enum):
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
class LeaseTerm:
    """One term of a lease."""

    fencing_token: int
    """Grows from term to term, and fences the work done in this one."""

    holder: str
    """Name of the front."""

    generation: int
    """Generation of the front's process."""


@dataclass(frozen=True)
class LeaseNote:
    """What the holder of a lease put on record for its successor. Of two notes the one with the higher version counts."""

    fencing_token: int = 0
    """Fencing token of the term in which it was written."""

    step: int = 0
    """Counts the notes of one term."""

    body: bytes = b""

    @property
    def version(self) -> tuple[int, int]:
        """Fencing token and step."""
        return self.fencing_token, self.step


@dataclass(frozen=True)
class LeaseRequest:
    """A candidate's message to an acceptor."""

    kind: LeaseMessageKind
    lease_name: str
    term: LeaseTerm
    seq: int = 0
    """Sequence number of a proposal, repeated in its answers."""

    term_length: int = 0
    """Length in ns of the term that a proposal requests."""

    note: LeaseNote = LeaseNote()


@dataclass(frozen=True)
class LeaseAnswer:
    """An acceptor's message to a candidate."""

    kind: LeaseMessageKind
    lease_name: str
    acceptor: str
    epoch: int
    """Epoch of the acceptor's record."""

    fencing_token: int
    """Fencing token of the request."""

    seq: int = 0
    """Sequence number of the request."""

    highest_promised: int = 0
    """Highest fencing token that the acceptor has promised."""

    running_term: LeaseTerm | None = None
    """The term that runs at the acceptor, None where none does."""

    time_left: int = 0
    """What is left of the running term, in ns."""

    note: LeaseNote = LeaseNote()
    peer_epochs: tuple[tuple[str, int], ...] = ()
    """Epochs of the other acceptors' records, as far as this one knows."""


@dataclass(frozen=True)
class LeaseRecord:
    """What an acceptor has on record of one lease."""

    promised_token: int = 0
    """Highest fencing token that was promised."""

    promised_to: str = ""
    """The process that it was promised to, as two may request the same token."""

    accepted_term: LeaseTerm | None = None
    """The term that was accepted last, whether or not it still runs."""

    note: LeaseNote = LeaseNote()


@dataclass(frozen=True)
class AcceptorRecord:
    """The record of an acceptor, for another that lost its own."""

    acceptor: str
    epoch: int
    """Epoch of the acceptor's record."""

    has_full_record: bool
    """Whether the acceptor knows everything that it ever promised."""

    records: tuple[tuple[str, LeaseRecord], ...]
    """Records by lease name."""


def majority(count: int) -> int:
    """Returns the size of a majority of `count` acceptors."""
    return count // 2 + 1


def safe_term_length(term_length: int) -> int:
    """Returns for how long a holder may act on a term, counted from its request; `term_length` and the result in ns.

    This is less than any acceptor counts for the term, whatever the drift of its clock.
    """
    return term_length - term_length // CLOCK_DRIFT_DIVISOR - MS


class Fence:
    """The highest fencing token that has taken effect for each lease, at the resource that the work is done on.

    This rejects the work of a holder that was suspended past the end of its term while a message was under way: its
    token is lower than that of the next holder. Steps grow within a term, so a message that was overtaken by a later one
    has no effect either. A resource that must survive restarts makes `highest_seen` durable before the work takes effect.
    """

    MAX_LEASES = 64
    """Leases that a fence keeps; the program names them, not the peers."""

    def __init__(self, highest_seen: dict[str, tuple[int, int]] | None = None) -> None:
        """`highest_seen` gives the (fencing token, step) by lease name that were durable before a restart."""
        self.highest_seen = dict(highest_seen or {})
        self.rejected_count = 0

    def admits(self, lease_name: str, fencing_token: int, step: int) -> bool:
        """Returns whether work under this token and step may take effect.

        A repeated step is admitted, as repeating it changes nothing. Work that is too old is counted as rejected.
        """
        if (fencing_token, step) < self.highest_seen.get(lease_name, (0, 0)):
            self.rejected_count += 1
            return False
        return lease_name in self.highest_seen or len(self.highest_seen) < self.MAX_LEASES

    def record(self, lease_name: str, fencing_token: int, step: int) -> None:
        """Records that work under this token and step takes effect."""
        self.highest_seen[lease_name] = max(self.highest_seen.get(lease_name, (0, 0)), (fencing_token, step))
