"""What is said of one member of the fleet, and which of two updates about it holds.

All updates about one member stand in one order: a later generation over an earlier one; within a generation, leaving
over all else; then the higher incarnation; then failed over suspected over alive. So neither the order in which updates
arrive nor how often matters: what holds is the greatest that was received. Only the member itself raises its incarnation
(SWIM, Das, Gupta and Motivala 2002, section 4.2), and only it can say that it leaves: each generation is announced with
the digest of a secret, and leaving shows the secret.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum


class MemberState(Enum):
    """State of a member; the value is its rank among updates of one incarnation, and its number on the wire."""

    ALIVE = 0
    SUSPECTED = 1
    FAILED = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The word that operators read for it, in logs and in `fleet view`."""
        return _LABELS[self]


_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECTED: "suspected",
    MemberState.FAILED: "gone",  # operators' scripts read this word
    MemberState.LEFT: "left",
}

MAX_INCARNATION = 1 << 40
"""An update that claims as much is dropped: nobody could refute it any more."""

MAX_GENERATION = 1 << 56
"""Generations count microseconds since the epoch; this lasts for two thousand years."""

MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
PROOF_LENGTH = 16


@dataclass(frozen=True)
class MemberUpdate:
    """One statement about one member.

    `generation` numbers the starts of its process. `proof` is the digest of its secret in `PROOF_LENGTH` octets; where it
    has left, the secret itself. `reported_by` is who reports it as suspected or failed.
    """

    name: str
    generation: int
    incarnation: int
    state: MemberState
    host: str
    port: int
    zone: str
    version: str
    proof: bytes
    reported_by: str = ""

    @property
    def precedence(self) -> tuple[int, bool, int, int]:
        """The key by which the greater of two updates about one member holds."""
        return self.generation, self.state is MemberState.LEFT, self.incarnation, self.state.value

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the member can be reached."""
        return self.host, self.port

    def is_plausible(self) -> bool:
        """Whether any sound member could have said this. Guards against numbers that nobody could ever outbid."""
        return (
            0 < self.generation < MAX_GENERATION
            and 0 <= self.incarnation < MAX_INCARNATION
            and 0 < self.port <= MAX_PORT
            and 0 < len(self.name) <= MAX_NAME_LENGTH
            and len(self.proof) == PROOF_LENGTH
        )

    def with_state(self, state: MemberState, reported_by: str) -> MemberUpdate:
        """The same member in another state, as somebody reports it."""
        return replace(self, state=state, reported_by=reported_by)


def commitment(secret: bytes) -> bytes:
    """The digest under which a member announces the secret that proves its leaving."""
    return hashlib.blake2b(secret, digest_size=PROOF_LENGTH, person=b"oakcroft-leave").digest()


def supersedes(update: MemberUpdate, known: MemberUpdate | None) -> bool:
    """Whether an update is to be taken over what is known."""
    if known is None:
        return True
    leaves = update.state is MemberState.LEFT and known.state is not MemberState.LEFT
    if leaves and update.generation == known.generation:
        # Guards against a member that says others have left, whose shares of limits would pass on.
        return commitment(update.proof) == known.proof
    return update.precedence > known.precedence


def next_generation(clock_us: int, stored: int, known_to_peers: int = 0) -> int:
    """The generation of a new start: over the clock (µs), over the one stored on disk, and over what peers know.

    Any one of the three may be lost: a clock that went back, a file that is gone, peers that cannot be reached yet. What
    peers know comes later and is then taken over at once.
    """
    return min(MAX_GENERATION - 1, max(clock_us, stored + 1, known_to_peers + 1, 1))
