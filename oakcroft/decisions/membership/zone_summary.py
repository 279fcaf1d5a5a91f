"""Summary of a zone for other zones: its content, precedence and plausibility.

Members of a zone author summaries of it without coordination. All summaries of one zone are totally ordered by epoch,
version, fingerprint of the content and heartbeat, and the greatest holds. Since each key has one content, taking the
greatest is associative, commutative and idempotent: readers agree whatever the order, duplicates and losses of
messages. The changes of members in a summary have an order of their own, so a later author that does not list a change
does not revert it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from functools import cached_property

from oakcroft.decisions.membership.member import MAX_INCARNATION, MAX_NAME_LENGTH, MAX_PORT, MemberState
from oakcroft.decisions.membership.messages import Address

MAX_DELEGATES = 3
"""Delegates of one zone: two may fail within one detection time and the zone still has a delegate."""

MAX_CHANGES = 32
"""Changes in one summary, which then takes about 980 octets of a datagram's 1,400, with names of ten octets."""

MAX_ZONE_NAME_LENGTH = 32
MAX_ZONE_MEMBERS = 256
"""Present members of a zone, so that the flat protocol's traffic stays within the budget."""

MAX_ABSENT_MEMBERS = 1_024
"""Failed or left members that a summary may count: the maximum size of the flat protocol's table."""

MAX_COUNTER = 1 << 40
"""Bound of versions and heartbeats. Beyond it an author starts the next epoch, so that every plausible summary can be
superseded."""

FINGERPRINT_OCTETS = 8
MAX_FINGERPRINT = 1 << 8 * FINGERPRINT_OCTETS

REPORTED_STATES = (MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT)
"""Suspicions are not reported to other zones: most are refuted within half a second."""


@dataclass(frozen=True)
class ZoneContact:
    """A process that acts for itself or for its zone, and its address."""

    name: str
    generation: int
    zone: str
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Host and port."""
        return self.host, self.port

    def is_plausible(self, latest_generation: int) -> bool:
        """Whether a correct process could have these values."""
        return (
            0 < len(self.name) <= MAX_NAME_LENGTH
            and 0 < self.generation <= latest_generation
            and 0 < len(self.zone) <= MAX_ZONE_NAME_LENGTH
            and 0 < self.port <= MAX_PORT
        )


@dataclass(frozen=True)
class StateCounts:
    """Numbers of members of a zone by state."""

    present: int
    failed: int
    left: int

    def is_plausible(self) -> bool:
        """Whether a zone's member table could hold so many."""
        absent = (self.failed, self.left)
        return 0 <= self.present <= MAX_ABSENT_MEMBERS and all(0 <= n <= MAX_ABSENT_MEMBERS for n in absent)


@dataclass(frozen=True)
class MemberChange:
    """The state of one member as its zone reports it to other zones."""

    name: str
    generation: int
    incarnation: int
    state: MemberState

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key: of two changes of one member the greater holds.

        Unlike in the flat protocol, a later incarnation precedes a leave: a leave's proof cannot be checked outside the
        zone, so a false one must be refutable.
        """
        return self.generation, self.incarnation, self.state.value

    def is_plausible(self, latest_generation: int) -> bool:
        """Whether a correct zone could report this."""
        return (
            0 < len(self.name) <= MAX_NAME_LENGTH
            and 0 < self.generation <= latest_generation
            and 0 <= self.incarnation < MAX_INCARNATION
            and self.state in REPORTED_STATES
        )


@dataclass(frozen=True)
class DigestEntry:
    """Identifies the summary of a zone that a front holds."""

    zone: str
    epoch: int
    version: int
    fingerprint: int
    heartbeat: int

    @property
    def content_precedence(self) -> tuple[int, int, int]:
        """Sort key of contents."""
        return self.epoch, self.version, self.fingerprint

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Sort key of summaries: by content, then by heartbeat."""
        return self.epoch, self.version, self.fingerprint, self.heartbeat

    def is_plausible(self, latest_generation: int) -> bool:
        """Whether a correct author could have sent this.

        Rejects numbers that no later summary could exceed. Epochs are generations, so one far in the future is invalid.
        """
        return (
            0 < len(self.zone) <= MAX_ZONE_NAME_LENGTH
            and 0 < self.epoch <= latest_generation
            and 0 <= self.version < MAX_COUNTER
            and 0 <= self.fingerprint < MAX_FINGERPRINT
            and 0 <= self.heartbeat < MAX_COUNTER
        )


@dataclass(frozen=True)
class ZoneSummary:
    """A zone as its author sees it; `member_digest` covers the names and generations of the present members."""

    zone: str
    region: str
    author: str
    epoch: int
    version: int
    heartbeat: int
    counts: StateCounts
    delegates: tuple[ZoneContact, ...]
    member_digest: int
    changes: tuple[MemberChange, ...]

    @cached_property
    def fingerprint(self) -> int:
        """Digest of the content: all but epoch, version and heartbeat.

        It is compared between fronts and made of `repr`, so the names of the fields and types in a summary are part of
        the wire format.
        """
        content = replace(self, epoch=0, version=0, heartbeat=0)
        digest = hashlib.blake2b(
            repr(content).encode(), digest_size=FINGERPRINT_OCTETS, person=b"oakcroft-zone"
        )
        return int.from_bytes(digest.digest(), "big")

    @cached_property
    def entry(self) -> DigestEntry:
        """Its entry in a digest."""
        return DigestEntry(self.zone, self.epoch, self.version, self.fingerprint, self.heartbeat)

    def is_plausible(self, latest_generation: int) -> bool:
        """Whether a correct author could have sent this."""
        return (
            self.entry.is_plausible(latest_generation)
            and 0 < len(self.region) <= MAX_ZONE_NAME_LENGTH
            and 0 < len(self.author) <= MAX_NAME_LENGTH
            and self.counts.is_plausible()
            and 0 <= self.member_digest < MAX_FINGERPRINT
            and len(self.delegates) <= MAX_DELEGATES
            and len(self.changes) <= MAX_CHANGES
            and all(
                delegate.zone == self.zone and delegate.is_plausible(latest_generation)
                for delegate in self.delegates
            )
            and all(change.is_plausible(latest_generation) for change in self.changes)
        )

    def has_same_content(self, other: ZoneSummary) -> bool:
        """Whether two summaries differ only in author, epoch, version and heartbeat."""
        return (self.counts, self.delegates, self.member_digest, self.changes) == (
            other.counts,
            other.delegates,
            other.member_digest,
            other.changes,
        )

    def with_heartbeat(self, heartbeat: int) -> ZoneSummary:
        """The same content at another heartbeat."""
        summary = replace(self, heartbeat=heartbeat)
        summary.__dict__["fingerprint"] = self.fingerprint  # the content is the same: reuses the cached value
        return summary


def member_digest(members: list[tuple[str, int]]) -> int:
    """Digest of the names and generations of a zone's present members."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_OCTETS, person=b"oakcroft-member")
    for name, generation in sorted(members):
        digest.update(f"{len(name)}:{name}{generation};".encode())
    return int.from_bytes(digest.digest(), "big")


def next_key(known: DigestEntry | None, generation: int) -> tuple[int, int]:
    """Epoch and version of a new content that supersedes the known one.

    If nothing is known of the zone, the epoch is the author's own `generation`.
    """
    if known is None:
        return generation, 0
    if known.version + 1 < MAX_COUNTER:
        return known.epoch, known.version + 1
    return known.epoch + 1, 0
