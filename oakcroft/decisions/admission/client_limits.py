"""Limits on one client of the session API: connections, pending requests, playbacks and messages."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.admission.request_limits import LimitScope, RequestLimit, TokenBucket


@dataclass(frozen=True)
class ClientLimits:
    """Limits on one client.

    `connections` counts all connections under one token or address. The other limits hold for each client
    session: requests without an answer, playbacks, messages a second with their burst, bytes of one message,
    and messages that the client has not acknowledged.
    """

    connections: int = 20_000
    pending_requests: int = 64
    playbacks: int = 512
    messages_per_second: float = 50.0
    message_burst: float = 200.0
    max_message_bytes: int = 131_072
    max_unacknowledged: int = 1024


class ClientVerdict(Enum):
    """Result of checking a client against its limits."""

    ALLOWED = "pass"
    TOO_MANY_REQUESTS = "too many requests wait for their answer"
    TOO_MANY_PLAYBACKS = "too many playbacks"
    MESSAGE_RATE_EXCEEDED = "messages come too fast"
    TOO_MANY_CONNECTIONS = "too many connections"


CLOSE_CODES = {ClientVerdict.MESSAGE_RATE_EXCEEDED: 1008, ClientVerdict.TOO_MANY_CONNECTIONS: 1013}
"""WebSocket close codes (RFC 6455 7.4.1 and its registry) by verdict.

Any other verdict is sent as an answer, and the connection stays open.
"""


@dataclass
class ClientUsage:
    """What one client uses of its limits.

    Connections are counted by token or address. Requests, playbacks and messages are counted by client
    session, since all viewers of a portal share its token and all viewers behind one network share its
    address.
    """

    limits: ClientLimits
    connections: int = 0
    pending_requests: int = 0
    playbacks: int = 0
    message_bucket: TokenBucket = field(default_factory=lambda: TokenBucket(0.0, 0))

    def __post_init__(self) -> None:
        """Starts with a full message bucket."""
        self.message_limit = RequestLimit(
            "messages", LimitScope.TOKEN, "", self.limits.messages_per_second, self.limits.message_burst
        )
        self.message_bucket = TokenBucket(self.limits.message_burst, 0)

    def open_connection(self) -> ClientVerdict:
        """Counts a new connection, unless the client has too many."""
        if self.connections >= self.limits.connections:
            return ClientVerdict.TOO_MANY_CONNECTIONS
        self.connections += 1
        return ClientVerdict.ALLOWED

    def receive_message(self, now: int) -> ClientVerdict:
        """Takes one token for a message from the message bucket. `now`: ns.

        The bucket holds a burst, so that a client that resumes its session may send many messages at once.
        """
        if self.message_bucket.refill(self.message_limit, now) < 1.0:
            return ClientVerdict.MESSAGE_RATE_EXCEEDED
        self.message_bucket.tokens -= 1.0
        return ClientVerdict.ALLOWED

    def request_playback(self, is_repeat: bool = False) -> ClientVerdict:
        """Counts a request for a playback as pending, unless a limit is reached.

        A repeated request whose answer is already known (`is_repeat`) is never rejected here.
        """
        if not is_repeat and self.pending_requests >= self.limits.pending_requests:
            return ClientVerdict.TOO_MANY_REQUESTS
        if not is_repeat and self.pending_requests + self.playbacks >= self.limits.playbacks:
            return ClientVerdict.TOO_MANY_PLAYBACKS
        self.pending_requests += 1
        return ClientVerdict.ALLOWED

    def finish_request(self, is_playing: bool) -> None:
        """Ends a pending request. `is_playing`: whether it was answered with a playback."""
        self.pending_requests -= 1
        self.playbacks += is_playing

    @property
    def is_unused(self) -> bool:
        """Whether the client uses nothing, so that its entry may be dropped."""
        return not (self.connections or self.pending_requests or self.playbacks)
