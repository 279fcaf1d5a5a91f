"""What is told of a member of the fleet, and which word of two holds.

All that is told of one member stands in one order: a later start over an earlier one; in a start, its leaving over
all else; then the higher incarnation; then gone over suspected over alive. So the order in which news comes, and how
often, does not matter: what holds is the greatest that was told. Only the member itself raises its incarnation (SWIM,
Das, Gupta and Motivala 2002, section 4.2), and only it can say that it leaves: each start is announced with the
digest of a secret, and leaving shows the secret.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum


class Standing(Enum):
    """How a member stands; the number is its rank among words of one incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3


MOST_INCARNATION = 1 << 40  # past it nobody could refute any more: a word that claims so much is none
MOST_START = 1 << 56  # microseconds since the epoch, for two thousand years


@dataclass(frozen=True)
class News:
    """One word of one member. `proof`: 16 octets, the digest of its secret; where it has left, the secret itself.

    `by`: who says so, where it is suspected or gone.
    """

    name: str
    start: int
    incarnation: int
    standing: Standing
    host: str
    port: int
    wing: str
    version: str
    proof: bytes
    by: str = ""

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """By which of two words of one member holds."""
        return self.start, self.standing is Standing.LEFT, self.incarnation, self.standing.value

    @property
    def address(self) -> tuple[str, int]:
        """Where it can be reached."""
        return self.host, self.port

    def sound(self) -> bool:
        """Whether it can be a word of anybody. Guards against figures that nobody could ever outbid."""
        return (
            0 < self.start < MOST_START
            and 0 <= self.incarnation < MOST_INCARNATION
            and 0 < self.port < 65_536
            and 0 < len(self.name) <= 64
            and len(self.proof) == 16
        )

    def of(self, standing: Standing, by: str) -> News:
        """The same member, judged by somebody."""
        return replace(self, standing=standing, by=by)


def commitment(secret: bytes) -> bytes:
    """What is announced of a secret: 16 octets."""
    return hashlib.blake2b(secret, digest_size=16, person=b"oakcroft-leave").digest()


def holds(told: News, known: News | None) -> bool:
    """Whether a word is to be taken over what is known."""
    if known is None:
        return True
    if told.standing is Standing.LEFT and told.start == known.start and known.standing is not Standing.LEFT:
        # Guards against a member that says others have left, whose shares of limits would pass on.
        return commitment(told.proof) == known.proof
    return told.key > known.key


def next_start(clock_us: int, kept: int, peers: int = 0) -> int:
    """The number of a new start: over the clock, over that of the life before as kept on disk, and over what peers know.

    Any one of the three may be lost: a clock that went back, a file that is gone, peers that cannot be reached yet. What
    peers know comes later and is then taken over at once.
    """
    return min(MOST_START - 1, max(clock_us, kept + 1, peers + 1, 1))
