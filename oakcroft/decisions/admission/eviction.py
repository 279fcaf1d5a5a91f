"""Which connection is closed for a new one when the limit on connections is reached.

A front end may close a connection on which no request is open. That costs least for a client that has its
answer and plays nothing, and most for one that is about to send a request: a request sent while the connection
is being closed has to be sent again on a new one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from oakcroft.interface import MS

FIRST_REQUEST_EXPECTED_NS = 500 * MS
"""Time within which a client that connects sends its first request: several round trips between distant regions."""

NEWCOMERS_SHARE_DIVISOR = 3
"""A third of the places for connections is for newcomers, and the rest for connections with sessions.

Viewers hold a third of the descriptors at most, and half of the descriptors are places, so all of their connections
fit into that rest.
"""


class EvictionClass(IntEnum):
    """Why a connection may be closed; the lowest class is closed first."""

    NO_REQUEST = 0  # no request since it connected, for longer than a first request takes
    ANSWERED = 1  # all its requests are answered, and none of them plays
    EXCESS_SESSIONS = 2  # has sessions, and such connections hold more than their share of the places
    NEW = 3  # its first request may be on its way
    PARTIAL_REQUEST = 4  # part of a request has arrived
    UNSENT_ANSWER = 5  # part of an answer waits for the peer to read
    HAS_SESSIONS = 6  # sessions set up on it are live, and their ends are sent on it; never closed


@dataclass(frozen=True)
class IdleConnection:
    """A connection on which no request is open. Times in ns.

    - `idle_since`: when it was accepted, or when its last whole message arrived.
    - `session_count`: live sessions whose set-up arrived on it.
    - `has_partial_message`: part of a message has arrived.
    - `has_unsent_answer`: bytes of an answer wait in this process for the peer to read.
    """

    idle_since: int
    has_sent_request: bool
    session_count: int
    has_partial_message: bool
    has_unsent_answer: bool


def excess_session_connections(connection_count: int, max_connections: int) -> int:
    """Returns by how many the connections with sessions exceed their share of `max_connections` places."""
    share = max_connections - max_connections // NEWCOMERS_SHARE_DIVISOR
    return max(0, connection_count - share)


def eviction_order(
    connection: IdleConnection, now: int, *, is_excess: bool = False
) -> tuple[EvictionClass, int]:
    """Returns the sort key of a connection: the lowest is closed first. `now`: ns.

    `is_excess`: it has sessions, and is one of the connections by which these exceed their share of the places.

    The order is by class and, within a class, by idle time, longest first.

    This guards against clients that open hundreds of connections and send nothing, and against crowds that
    send one request and stay connected. If connections without a request were always closed first, however new
    they are, such a crowd would fill every place but one for good: each new connection would close the one
    before it, and among the others the oldest, those with sessions, would be closed first. If those with sessions
    were always closed before new ones, hundreds of clients that connect at the same moment would close them all,
    and the viewers whose sessions end could not be told. Drawbacks: a client that is equally idle has to open another
    connection for its next request; one that connects amid such a crowd has less time for its first request, and
    is turned away while all other places have open set-ups.
    """
    return _eviction_class(connection, now, is_excess), connection.idle_since


def _eviction_class(connection: IdleConnection, now: int, is_excess: bool) -> EvictionClass:
    """Returns the class of a connection."""
    if connection.session_count and not is_excess:
        return EvictionClass.HAS_SESSIONS
    if connection.has_unsent_answer:
        return EvictionClass.UNSENT_ANSWER
    if connection.has_partial_message:
        return EvictionClass.PARTIAL_REQUEST
    if connection.session_count:
        return EvictionClass.EXCESS_SESSIONS
    if connection.has_sent_request:
        return EvictionClass.ANSWERED
    if now - connection.idle_since > FIRST_REQUEST_EXPECTED_NS:
        return EvictionClass.NO_REQUEST
    return EvictionClass.NEW
