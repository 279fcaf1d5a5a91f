"""Updates about a member of the fleet, and which of two updates takes precedence.

All updates about one member are totally ordered: a later generation precedes an earlier one; within a generation, a
leave precedes all else; then the higher incarnation; then failed over suspected over alive. The greatest received
update holds, so neither the order of arrival nor duplicates matter. Only the member itself raises its incarnation
(SWIM, Das, Gupta and Motivala 2002, section 4.2), and only it can announce that it leaves: each generation is announced
with the digest of a secret, and a leave reveals the secret.
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
        """Name of the state in logs and in `fleet view`."""
        return _LABELS[self]


_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECTED: "suspected",
    MemberState.FAILED: "gone",  # operators' scripts match this label
    MemberState.LEFT: "left",
}

MAX_INCARNATION = 1 << 40
"""Updates with an incarnation this high are dropped, since they could not be refuted by a higher one."""

MAX_GENERATION = 1 << 56
"""Generations are microseconds since the Unix epoch; the bound is reached after two thousand years."""

MAX_NAME_LENGTH = 64
MAX_PORT = 65_535
PROOF_LENGTH = 16


@dataclass(frozen=True)
class MemberUpdate:
    """An update about one member.

    `generation` identifies the start of its process. `proof` is the digest of its secret in `PROOF_LENGTH` octets or,
    in a leave, the secret itself. `reported_by` is the member that reports it as suspected or failed.
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
        """Sort key: of two updates about one member the greater holds."""
        return self.generation, self.state is MemberState.LEFT, self.incarnation, self.state.value

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the member can be reached."""
        return self.host, self.port

    def is_plausible(self) -> bool:
        """Whether a correct member could have sent this; rejects numbers that no later update could exceed."""
        return (
            0 < self.generation < MAX_GENERATION
            and 0 <= self.incarnation < MAX_INCARNATION
            and 0 < self.port <= MAX_PORT
            and 0 < len(self.name) <= MAX_NAME_LENGTH
            and len(self.proof) == PROOF_LENGTH
        )

    def with_state(self, state: MemberState, reported_by: str) -> MemberUpdate:
        """A copy with another state and reporter."""
        return replace(self, state=state, reported_by=reported_by)


def commitment(secret: bytes) -> bytes:
    """Digest of the secret that a member reveals when it leaves."""
    return hashlib.blake2b(secret, digest_size=PROOF_LENGTH, person=b"oakcroft-leave").digest()


def supersedes(update: MemberUpdate, known: MemberUpdate | None) -> bool:
    """Whether an update replaces the known one."""
    if known is None:
        return True
    leaves = update.state is MemberState.LEFT and known.state is not MemberState.LEFT
    if leaves and update.generation == known.generation:
        # Without proof, a faulty member could announce that others left, to have their rate shares taken over.
        return commitment(update.proof) == known.proof
    return update.precedence > known.precedence


def next_generation(clock_us: int, stored: int, known_to_peers: int = 0) -> int:
    """Generation of a new start: the clock (µs), or more if the stored generation or the peers' is not below it.

    Any of the three may be unavailable: the clock may have gone back, the file may be missing, and peers may not be
    reachable yet. The peers' generation becomes known later and is then exceeded at once.
    """
    return min(MAX_GENERATION - 1, max(clock_us, stored + 1, known_to_peers + 1, 1))
