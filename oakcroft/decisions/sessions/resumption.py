"""A client's side of the session API that outlives its connections: what it has yet to hear, and who speaks for it.

Everything a client must hear is numbered. It acknowledges what it has, and after a break hears just the rest, in
order, none twice. The backlog is bounded: a client that takes nothing for too long loses its seat, and asks anew with
its keys.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from oakcroft.interface import SECOND

T = TypeVar("T")


class Standing(Enum):
    """How a client's seat stands."""

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
        """Its number; None when the outbox is full."""
        if len(self.kept) >= self.most:
            return None
        number = self.next_number
        self.next_number += 1
        self.kept.append((number, message))
        return number

    def acknowledged(self, number: int) -> bool:
        """The client has everything up to a number. False for one that was never sent: a client that claims it is
        broken, and believing it would lose messages."""
        if number >= self.next_number:
            return False
        while self.kept and self.kept[0][0] <= number:
            self.kept.popleft()
        return True

    def after(self, number: int) -> list[tuple[int, T]] | None:
        """What a client that has everything up to a number must hear; None when that cannot be told any more."""
        if number >= self.next_number or (self.kept and number + 1 < self.kept[0][0]):
            return None
        if not self.kept and number + 1 < self.next_number:
            return None
        return [(n, m) for n, m in self.kept if n > number]


@dataclass
class Seat(Generic[T]):
    """One client: its outbox, its standing, and the connection that speaks for it.

    Guards against a connection that looks alive and is not, which would hold its playbacks for ever, and against two
    that both claim a client: the later wins, since only the client itself can have opened it with its pass, and the
    earlier is told. A broken connection leaves the seat `keep` ns to come back. Harm: viewers behind a network that
    breaks for longer lose their playbacks though they would have come back.
    """

    keep: int
    outbox: Outbox[T]
    standing: Standing = Standing.ATTACHED
    connection: int = 0
    since: int = 0

    def _change(self, standing: Standing, now: int) -> None:
        """The one place where the standing changes. ValueError for a step that cannot be."""
        if standing not in FOLLOWS[self.standing]:
            raise ValueError(f"a seat cannot go from {self.standing.value!r} to {standing.value!r}")
        self.standing, self.since = standing, now

    @property
    def over(self) -> bool:
        """Whether it has ended for good."""
        return self.standing in ENDED

    def put(self, message: T, now: int) -> int | None:
        """A message for the client, its number; None when the seat is over, at the latest by this one."""
        if self.over:
            return None
        number = self.outbox.put(message)
        if number is None:
            self._change(Standing.OVERRUN, now)
        return number

    def attach(self, connection: int, seen: int, now: int) -> tuple[list[tuple[int, T]], int | None] | None:
        """A connection claims the seat and says what it has seen. What it must hear, and the connection that it takes
        the place of; None when the seat is over or what was missed cannot be told."""
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
        """A connection broke; whether it was the one that speaks for the seat."""
        if self.standing is not Standing.ATTACHED or connection != self.connection:
            return False
        self._change(Standing.DETACHED, now)
        return True

    def left(self, connection: int, now: int) -> bool:
        """A connection said goodbye for its client."""
        if self.standing is not Standing.ATTACHED or connection != self.connection:
            return False
        self._change(Standing.LEFT, now)
        return True

    def look(self, now: int) -> bool:
        """To be called now and then; True when its time to come back is up with this look."""
        if self.standing is Standing.DETACHED and now - self.since > self.keep:
            self._change(Standing.EXPIRED, now)
            return True
        return False


@dataclass
class Pulse:
    """Whether a connection that looks alive is: it is asked (ping) when nothing came for `every`, and counts as dead
    when two questions in a row stay without an answer."""

    every: int = 30 * SECOND
    asked: int = 0

    def heard(self) -> None:
        """Anything came."""
        self.asked = 0

    def quiet(self) -> None:
        """Nothing came for `every`: it is asked."""
        self.asked += 1

    @property
    def dead(self) -> bool:
        """Whether it counts as dead."""
        return self.asked > 2
