"""A client's session of the session API, which outlives its connections.

Every message to the client is numbered. The client acknowledges what it has received, and after a broken
connection it receives the rest, in order and without duplicates. The outbox is bounded: a client that
acknowledges nothing for too long loses its session, and has to send its requests again with their
Idempotency-Keys.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from oakcroft.interface import SECOND

T = TypeVar("T")

MAX_UNANSWERED_PINGS = 2
"""Pings in a row that may be unanswered; with one more the connection counts as dead."""


class ClientSessionState(Enum):
    """State of a client session."""

    ATTACHED = "a connection speaks for it"
    DETACHED = "its connection broke; it may come back"
    LEFT = "its client said goodbye"
    EXPIRED = "it did not come back in time"
    OVERRUN = "it was too far behind"


NEXT_STATES = {
    ClientSessionState.ATTACHED: {
        ClientSessionState.DETACHED,
        ClientSessionState.LEFT,
        ClientSessionState.OVERRUN,
    },
    ClientSessionState.DETACHED: {
        ClientSessionState.ATTACHED,
        ClientSessionState.EXPIRED,
        ClientSessionState.OVERRUN,
    },
    ClientSessionState.LEFT: set[ClientSessionState](),
    ClientSessionState.EXPIRED: set[ClientSessionState](),
    ClientSessionState.OVERRUN: set[ClientSessionState](),
}
END_STATES = (ClientSessionState.LEFT, ClientSessionState.EXPIRED, ClientSessionState.OVERRUN)


@dataclass
class Outbox(Generic[T]):
    """Numbered messages that are not acknowledged, oldest first."""

    capacity: int
    next_number: int = 1
    unacknowledged: deque[tuple[int, T]] = field(default_factory=deque)

    def append(self, message: T) -> int | None:
        """Adds a message and returns its number; None if the outbox is full."""
        if len(self.unacknowledged) >= self.capacity:
            return None
        number = self.next_number
        self.next_number += 1
        self.unacknowledged.append((number, message))
        return number

    def acknowledge(self, number: int) -> bool:
        """Drops the messages up to a number, which the client has received.

        False for a number that was never sent: a client that acknowledges it is faulty, and messages would be
        lost if it were believed.
        """
        if number >= self.next_number:
            return False
        while self.unacknowledged and self.unacknowledged[0][0] <= number:
            self.unacknowledged.popleft()
        return True

    def messages_after(self, number: int) -> list[tuple[int, T]] | None:
        """Returns the messages after a number; None if some of them are no longer kept."""
        if number >= self.next_number or (self.unacknowledged and number + 1 < self.unacknowledged[0][0]):
            return None
        if not self.unacknowledged and number + 1 < self.next_number:
            return None
        return [
            (kept_number, message) for kept_number, message in self.unacknowledged if kept_number > number
        ]


@dataclass
class ClientSession(Generic[T]):
    """One client's session: its outbox, its state and its connection. Times in ns.

    This guards against a dead connection that looks alive, which would hold its playbacks for ever, and
    against two connections for one client: the later one replaces the earlier one, which is notified, since
    only the client itself can have opened it with its resume token. After its connection broke, the client has
    `resume_timeout` to resume the session. Drawback: viewers behind a network that is down for longer lose
    their playbacks although they would have resumed.
    """

    resume_timeout: int
    outbox: Outbox[T]
    state: ClientSessionState = ClientSessionState.ATTACHED
    connection: int = 0
    changed_at: int = 0

    def _set_state(self, state: ClientSessionState, now: int) -> None:
        """Changes the state; the only place that does. Raises ValueError for an invalid transition."""
        if state not in NEXT_STATES[self.state]:
            raise ValueError(f"a client session cannot go from {self.state.value!r} to {state.value!r}")
        self.state = state
        self.changed_at = now

    @property
    def has_ended(self) -> bool:
        """Whether the session has ended and cannot be resumed."""
        return self.state in END_STATES

    def enqueue(self, message: T, now: int) -> int | None:
        """Queues a message for the client and returns its number. `now`: ns.

        None if the session has ended, or ends because its outbox is full.
        """
        if self.has_ended:
            return None
        number = self.outbox.append(message)
        if number is None:
            self._set_state(ClientSessionState.OVERRUN, now)
        return number

    def attach(
        self, connection: int, last_seen: int, now: int
    ) -> tuple[list[tuple[int, T]], int | None] | None:
        """Resumes the session on a connection; `last_seen` is the last message that the client has. `now`: ns.

        Returns the messages that it lacks, and the connection that it replaces, if any; None if the session
        has ended or some of the messages are no longer kept.
        """
        if self.has_ended:
            return None
        missed = self.outbox.messages_after(last_seen)
        if missed is None:
            return None
        self.outbox.acknowledge(last_seen)
        earlier = self.connection if self.state is ClientSessionState.ATTACHED else None
        if self.state is ClientSessionState.DETACHED:
            self._set_state(ClientSessionState.ATTACHED, now)
        self.connection = connection
        return missed, earlier

    def detach(self, connection: int, now: int) -> bool:
        """Handles a broken connection; returns whether it was the session's connection. `now`: ns."""
        if self.state is not ClientSessionState.ATTACHED or connection != self.connection:
            return False
        self._set_state(ClientSessionState.DETACHED, now)
        return True

    def leave(self, connection: int, now: int) -> bool:
        """Handles a client that ends the session; returns whether it did so on its connection. `now`: ns."""
        if self.state is not ClientSessionState.ATTACHED or connection != self.connection:
            return False
        self._set_state(ClientSessionState.LEFT, now)
        return True

    def check_expiry(self, now: int) -> bool:
        """Ends the session if its resume timeout is over; True if this call ended it. `now`: ns."""
        if self.state is ClientSessionState.DETACHED and now - self.changed_at > self.resume_timeout:
            self._set_state(ClientSessionState.EXPIRED, now)
            return True
        return False


@dataclass
class KeepaliveProbe:
    """Keepalive of one connection, by pings.

    A ping is sent when nothing has arrived for `interval` ns. The connection counts as dead when more than
    `MAX_UNANSWERED_PINGS` pings in a row are unanswered.
    """

    interval: int = 30 * SECOND
    unanswered_pings: int = 0

    def message_received(self) -> None:
        """Resets the count of unanswered pings; called for each message that arrives."""
        self.unanswered_pings = 0

    def ping_sent(self) -> None:
        """Counts a ping, which is sent when nothing has arrived for `interval`."""
        self.unanswered_pings += 1

    @property
    def is_dead(self) -> bool:
        """Whether the connection counts as dead."""
        return self.unanswered_pings > MAX_UNANSWERED_PINGS
