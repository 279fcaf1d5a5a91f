"""Which connection is closed for a new one once every place for connections is taken.

A front end may close a connection on which no request is open. Whoever asked and plays nothing loses least by that;
whoever is about to ask loses most, as a request that crosses the close has to be sent again on a new connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from oakcroft.interface import MS

FIRST_REQUEST_EXPECTED = 500 * MS
"""A client that connects to ask sends its request by then: several round trips between distant regions."""


class Evictable(IntEnum):
    """Why a connection may be closed; the lowest goes first."""

    SILENT = 0  # has sent nothing since it came, for longer than a request takes
    ANSWERED = 1  # all that it asked has been answered, and nothing of it plays
    CARRIES_SESSIONS = 2  # sessions stand that came on it: their ends are to be sent on it
    NEW = 3  # its first request may be on its way
    IN_PART = 4  # a request has begun to arrive
    ANSWER_UNSENT = 5  # its answer waits until it reads


@dataclass(frozen=True)
class IdleConnection:
    """What is known of a connection on which no request is open. Times in ns.

    `since`: when it came, or gave its last whole message. `sessions`: that stand and came on it. `partial`: a message
    has begun that is not whole. `unsent`: octets of an answer wait in this process for the peer to read.
    """

    since: int
    has_asked: bool
    sessions: int
    partial: bool
    unsent: bool


def eviction_order(connection: IdleConnection, now: int) -> tuple[Evictable, int]:
    """The least of these goes first: by class, and in it the one that has been idle for longest.

    Guards against clients that connect by hundreds and ask nothing, and against crowds that ask once and stay. With
    the silent before all others, however new, such a crowd filled every place but one for good: each newcomer
    closed the one before it, and among the rest the oldest went first, which were those with sessions. Harm: a
    client that is as idle opens another connection for its next request.
    """
    return _eviction_class(connection, now), connection.since


def _eviction_class(connection: IdleConnection, now: int) -> Evictable:
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
