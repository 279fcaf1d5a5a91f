"""What one client of the session API may hold and ask for, and what it hears at each limit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.admission.limits import Bucket, Limit, Scope


@dataclass(frozen=True)
class Allowance:
    """The figures: connections of one caller; requests without an answer, playbacks, messages a second with bursts,
    bytes of one message, and messages that it may be behind, of one seat."""

    connections: int = 20_000
    asks: int = 64
    playbacks: int = 512
    messages: float = 50.0
    burst: float = 200.0
    message_bytes: int = 131_072
    behind: int = 1024


class Word(Enum):
    """What a client hears."""

    PASS = "pass"
    TOO_MANY_ASKS = "too many requests wait for their answer"
    TOO_MANY_PLAYBACKS = "too many playbacks"
    TOO_FAST = "messages come too fast"
    TOO_MANY_CONNECTIONS = "too many connections"


CLOSE = {Word.TOO_FAST: 1008, Word.TOO_MANY_CONNECTIONS: 1013}
"""Close codes (RFC 6455 7.4.1 and its registry); what does not stand here is answered, and the connection stays."""


@dataclass
class Client:
    """What one client holds now. Requests, playbacks and messages are counted by seat, since a portal's viewers share
    its token, and those behind one network its address; connections by token or address."""

    allowance: Allowance
    connections: int = 0
    asks: int = 0
    playbacks: int = 0
    pace: Bucket = field(default_factory=lambda: Bucket(0.0, 0))

    def __post_init__(self) -> None:
        self.limit = Limit("messages", Scope.TOKEN, "", self.allowance.messages, self.allowance.burst)
        self.pace = Bucket(self.allowance.burst, 0)

    def connects(self) -> Word:
        """A connection comes."""
        if self.connections >= self.allowance.connections:
            return Word.TOO_MANY_CONNECTIONS
        self.connections += 1
        return Word.PASS

    def says(self, now: int) -> Word:
        """A message comes. The bucket holds a burst, so that a client that resumes may say much at once."""
        if self.pace.read(self.limit, now) < 1.0:
            return Word.TOO_FAST
        self.pace.level -= 1.0
        return Word.PASS

    def asks_for(self, repeat: bool = False) -> Word:
        """It asks for a playback. A `repeat` of what is answered already is never turned away."""
        if not repeat and self.asks >= self.allowance.asks:
            return Word.TOO_MANY_ASKS
        if not repeat and self.asks + self.playbacks >= self.allowance.playbacks:
            return Word.TOO_MANY_PLAYBACKS
        self.asks += 1
        return Word.PASS

    def answered(self, plays: bool) -> None:
        """A request has its answer."""
        self.asks -= 1
        self.playbacks += plays

    @property
    def idle(self) -> bool:
        """Whether nothing of it is left, so that it may be forgotten."""
        return not (self.connections or self.asks or self.playbacks)
