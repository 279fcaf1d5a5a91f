"""A client's session of the session API, which outlives its connections.

Every message to the client is numbered. The client acknowledges what it has, and after a break it receives
the rest, in order and without duplicates. The outbox is bounded: a client that acknowledges nothing for too
long loses its session, and sends its requests again with their Idempotency-Keys.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from oakcroft.interface import SECOND

T = TypeVar("T")


class Standing(Enum):
    """State of a client session."""

    ATTACHED = "a connection speaks for it"
    DETACHED = "its connection broke; it may come back"
    LEFT = "its client said goodbye"
    EXPIRED = "it did not come back in time"
    OVERRUN = "it was too far behind"


FOLLOWS = {
    Standing.ATTACHED: {Standing.DETACHED, Standing.LEFT, Standing.OVERRUN},
    Standing.DETACHED: {Standing.ATTACHED, Standing.EXPIRED, Standing.OVERRUN},
    Standing.LEFT: set[Standing](),
    Standing.EXPIRED: set[Standing](),
    Standing.OVERRUN: set[Standing](),
}
ENDED = (Standing.LEFT, Standing.EXPIRED, Standing.OVERRUN)


@dataclass
class Outbox(Generic[T]):
    """Numbered messages that are not acknowledged, oldest first."""

    most: int
    next_number: int = 1
    kept: deque[tuple[int, T]] = field(default_factory=deque)

    def put(self, message: T) -> int | None:
        """Keeps a message and returns its number; None if the outbox is full."""
        if len(self.kept) >= self.most:
            return None
        number = self.next_number
        self.next_number += 1
        self.kept.append((number, message))
        return number

    def acknowledged(self, number: int) -> bool:
        """Drops the messages up to a number, which the client has.

        False for a number that was never sent: a client that acknowledges it is faulty, and believing it
        would lose messages.
        """
        if number >= self.next_number:
            return False
        while self.kept and self.kept[0][0] <= number:
            self.kept.popleft()
        return True

    def after(self, number: int) -> list[tuple[int, T]] | None:
        """Returns the messages after a number; None if some of them are no longer kept."""
        if number >= self.next_number or (self.kept and number + 1 < self.kept[0][0]):
            return None
        if not self.kept and number + 1 < self.next_number:
            return None
        return [(n, m) for n, m in self.kept if n > number]


@dataclass
class Seat(Generic[T]):
    """One client's session: its outbox, its state and its connection. Times in ns.

    This guards against a dead connection that looks alive, which would hold its playbacks for ever, and
    against two connections for one client: the later one wins, since only the client itself can have opened
    it with its resume token, and the earlier one is told. After its connection broke, the client has
    `resume_timeout` to come back. Drawback: viewers behind a network that is down for longer lose their
    playbacks though they would have come back.
    """

    keep: int
    outbox: Outbox[T]
    standing: Standing = Standing.ATTACHED
    connection: int = 0
    since: int = 0

    def _change(self, standing: Standing, now: int) -> None:
        """Changes the state; the only place where it changes. Raises ValueError for an invalid step."""
        if standing not in FOLLOWS[self.standing]:
            raise ValueError(f"a seat cannot go from {self.standing.value!r} to {standing.value!r}")
        self.standing, self.since = standing, now

    @property
    def over(self) -> bool:
        """Whether it has ended for good."""
        return self.standing in ENDED

    def put(self, message: T, now: int) -> int | None:
        """Queues a message for the client and returns its number. `now`: ns.

        None if the session has ended, or ends because its outbox is full.
        """
        if self.over:
            return None
        number = self.outbox.put(message)
        if number is None:
            self._change(Standing.OVERRUN, now)
        return number

    def attach(self, connection: int, seen: int, now: int) -> tuple[list[tuple[int, T]], int | None] | None:
        """A connection resumes the session and names the last message that the client has. `now`: ns.

        Returns the messages that it lacks, and the connection that it replaces, if any; None if the session
        has ended or some of the messages are no longer kept.
        """
        if self.over:
            return None
        missed = self.outbox.after(seen)
        if missed is None:
            return None
        self.outbox.acknowledged(seen)
        earlier = self.connection if self.standing is Standing.ATTACHED else None
        if self.standing is Standing.DETACHED:
            self._change(Standing.ATTACHED, now)
        self.connection = connection
        return missed, earlier

    def detached(self, connection: int, now: int) -> bool:
        """A connection broke; returns whether it was the session's connection. `now`: ns."""
        if self.standing is not Standing.ATTACHED or connection != self.connection:
            return False
        self._change(Standing.DETACHED, now)
        return True

    def left(self, connection: int, now: int) -> bool:
        """A client said goodbye on a connection; returns whether it was the session's connection. `now`: ns."""
        if self.standing is not Standing.ATTACHED or connection != self.connection:
            return False
        self._change(Standing.LEFT, now)
        return True

    def look(self, now: int) -> bool:
        """Ends the session if its time to come back is over; True if this call ended it. `now`: ns."""
        if self.standing is Standing.DETACHED and now - self.since > self.keep:
            self._change(Standing.EXPIRED, now)
            return True
        return False


@dataclass
class Pulse:
    """Keepalive of one connection, by pings.

    A ping is sent when nothing arrived for `interval` ns. The connection counts as dead when two pings in a
    row stay without an answer.
    """

    every: int = 30 * SECOND
    asked: int = 0

    def heard(self) -> None:
        """A message arrived."""
        self.asked = 0

    def quiet(self) -> None:
        """Nothing arrived for `interval`: a ping is sent."""
        self.asked += 1

    @property
    def dead(self) -> bool:
        """Whether the connection counts as dead."""
        return self.asked > 2
