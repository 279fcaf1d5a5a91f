"""Limits on one client of the session API: connections, pending requests, playbacks and messages."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.admission.request_limits import Bucket, Limit, Scope


@dataclass(frozen=True)
class Allowance:
    """Limits on one client.

    `connections` counts all connections under one token or address. The other limits hold for each client
    session: requests without an answer, playbacks, messages a second with their burst, bytes of one message,
    and messages that the client has not acknowledged.
    """

    connections: int = 20_000
    asks: int = 64
    playbacks: int = 512
    messages: float = 50.0
    burst: float = 200.0
    message_bytes: int = 131_072
    behind: int = 1024


class Word(Enum):
    """Result of checking a client against its limits."""

    PASS = "pass"
    TOO_MANY_ASKS = "too many requests wait for their answer"
    TOO_MANY_PLAYBACKS = "too many playbacks"
    TOO_FAST = "messages come too fast"
    TOO_MANY_CONNECTIONS = "too many connections"


CLOSE = {Word.TOO_FAST: 1008, Word.TOO_MANY_CONNECTIONS: 1013}
"""WebSocket close code (RFC 6455 7.4.1 and its registry) by verdict.

Any other verdict is sent as an answer, and the connection stays open.
"""


@dataclass
class Client:
    """What one client uses of its limits.

    Connections are counted by token or address. Requests, playbacks and messages are counted by client
    session, since all viewers of a portal share its token and all viewers behind one network share its
    address.
    """

    allowance: Allowance
    connections: int = 0
    asks: int = 0
    playbacks: int = 0
    pace: Bucket = field(default_factory=lambda: Bucket(0.0, 0))

    def __post_init__(self) -> None:
        """Starts with a full message bucket."""
        self.limit = Limit("messages", Scope.TOKEN, "", self.allowance.messages, self.allowance.burst)
        self.pace = Bucket(self.allowance.burst, 0)

    def connects(self) -> Word:
        """Counts a new connection, unless the client has too many."""
        if self.connections >= self.allowance.connections:
            return Word.TOO_MANY_CONNECTIONS
        self.connections += 1
        return Word.PASS

    def says(self, now: int) -> Word:
        """Charges one message to the message bucket. `now`: ns.

        The bucket holds a burst, so that a client that resumes its session may send many messages at once.
        """
        if self.pace.read(self.limit, now) < 1.0:
            return Word.TOO_FAST
        self.pace.level -= 1.0
        return Word.PASS

    def asks_for(self, repeat: bool = False) -> Word:
        """Counts a request for a playback as pending, unless a limit is reached.

        A request whose answer is known already (`is_repeat`) is never rejected here.
        """
        if not repeat and self.asks >= self.allowance.asks:
            return Word.TOO_MANY_ASKS
        if not repeat and self.asks + self.playbacks >= self.allowance.playbacks:
            return Word.TOO_MANY_PLAYBACKS
        self.asks += 1
        return Word.PASS

    def answered(self, plays: bool) -> None:
        """Ends a pending request. `is_playing`: whether the answer is a playback."""
        self.asks -= 1
        self.playbacks += plays

    @property
    def idle(self) -> bool:
        """Whether the client uses nothing, so that its entry may be dropped."""
        return not (self.connections or self.asks or self.playbacks)
