"""Which connection is closed for a new one when the limit on connections is reached.

A front end may close a connection on which no request is open. A client that has its answer and plays nothing
loses least by that. A client that is about to send a request loses most, since a request that crosses the
close has to be sent again on a new connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from oakcroft.interface import MS

FIRST_REQUEST_EXPECTED = 500 * MS
"""Time within which a client that connects sends its first request: several round trips between distant regions."""


class Evictable(IntEnum):
    """Why a connection may be closed; the lowest class is closed first."""

    SILENT = 0  # no request since it connected, for longer than a first request takes
    ANSWERED = 1  # all its requests are answered, and none of them plays
    CARRIES_SESSIONS = 2  # sessions set up on it are live, and their ends are sent on it
    NEW = 3  # its first request may be on its way
    IN_PART = 4  # part of a request has arrived
    ANSWER_UNSENT = 5  # part of an answer waits for the peer to read


@dataclass(frozen=True)
class IdleConnection:
    """A connection on which no request is open. Times in ns.

    - `idle_since`: when it was accepted, or when its last whole message arrived.
    - `session_count`: live sessions whose set-up arrived on it.
    - `has_partial_message`: part of a message has arrived.
    - `has_unsent_answer`: bytes of an answer wait in this process for the peer to read.
    """

    since: int
    has_asked: bool
    sessions: int
    partial: bool
    unsent: bool


def eviction_order(connection: IdleConnection, now: int) -> tuple[Evictable, int]:
    """Returns the sort key of a connection: the least is closed first. `now`: ns.

    The order is by class and, within a class, by idle time, longest first.

    This guards against clients that open hundreds of connections and send nothing, and against crowds that
    send one request and stay connected. When connections without a request always went first, however new
    they were, such a crowd filled every place but one for good: each new connection closed the one before it,
    and among the others the oldest went first, which were those with sessions. Drawback: a client that is
    equally idle has to open another connection for its next request.
    """
    return _eviction_class(connection, now), connection.since


def _eviction_class(connection: IdleConnection, now: int) -> Evictable:
    """Returns the class of a connection."""
    if connection.unsent:
        return Evictable.ANSWER_UNSENT
    if connection.partial:
        return Evictable.IN_PART
    if connection.sessions:
        return Evictable.CARRIES_SESSIONS
    if connection.has_asked:
        return Evictable.ANSWERED
    if now - connection.since > FIRST_REQUEST_EXPECTED:
        return Evictable.SILENT
    return Evictable.NEW
