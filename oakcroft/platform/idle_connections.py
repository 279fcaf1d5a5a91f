"""Chooses which viewer connection to close when the limit on connections is reached."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from heapq import nsmallest
from typing import Generic, Protocol, TypeVar

from oakcroft.decisions.admission.eviction import (
    EvictionClass,
    IdleConnection,
    eviction_order,
    excess_session_connections,
)
from oakcroft.interface import MS
from oakcroft.running.clock import Clock

MAX_CANDIDATES = 16
"""Kept from one scan of all connections.

With many clients each new connection needs a candidate, and a scan of 256 connections takes 0.3 ms.
"""

CANDIDATES_VALID_NS = 50 * MS
"""Age at which the remaining candidates are dropped and the connections are scanned again."""


class EvictableConnection(Protocol):
    """A connection that may be evicted while it is idle."""

    is_open: bool  # False once this side has closed it
    session_count: int  # live sessions whose set-up arrived on it

    @property
    def is_idle(self) -> bool:
        """Whether no set-up is open or queued on it."""

    @property
    def idle_state(self) -> IdleConnection:
        """The facts that the eviction order depends on; valid while it is idle."""

    @property
    def unread_count(self) -> int:
        """Number of complete messages that have not been handled, including those still in the socket."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


@dataclass(frozen=True)
class _Candidate(Generic[ConnectionT]):
    """A connection as it was when the candidates were searched."""

    connection: ConnectionT
    is_excess: bool  # see `eviction_order`
    order: tuple[EvictionClass, int]

    def is_unchanged(self, now: int) -> bool:
        """Whether the connection is as it was, so that its place in the order is still valid."""
        connection = self.connection
        return (
            connection.is_open
            and connection.is_idle
            and eviction_order(connection.idle_state, now, is_excess=self.is_excess) == self.order
        )


def _candidate(connection: ConnectionT, is_excess: bool, now: int) -> _Candidate[ConnectionT]:
    """Returns an idle connection with its place in the order of eviction."""
    order = eviction_order(connection.idle_state, now, is_excess=is_excess)
    return _Candidate(connection, is_excess, order)


class IdleConnections(Generic[ConnectionT]):
    """The idle ones among the open connections, in the order in which they are evicted."""

    def __init__(self, connections: Collection[ConnectionT], max_connections: int, clock: Clock) -> None:
        """Creates the queue; `connections` is a live view of the open connections."""
        self._connections = connections
        self._max_connections = max_connections
        self._clock = clock
        self._candidates = deque[_Candidate[ConnectionT]]()
        self._candidates_found_at = 0

    def next_to_evict(self) -> tuple[ConnectionT, EvictionClass] | None:
        """Returns the connection to evict next, and why it may be closed.

        Returns None if each connection has an open set-up, an unhandled message or protected sessions.
        """
        now = self._clock.now()
        if now - self._candidates_found_at > CANDIDATES_VALID_NS:
            self._candidates.clear()
        found = self._next_candidate(now)
        if found is None:
            self._find_candidates(now)
            found = self._next_candidate(now)
        return found

    def _find_candidates(self, now: int) -> None:
        """Scans all connections and keeps the first `MAX_CANDIDATES` in eviction order."""
        with_sessions = [connection for connection in self._connections if connection.session_count]
        excess = nsmallest(
            min(excess_session_connections(len(with_sessions), self._max_connections), MAX_CANDIDATES),
            [connection for connection in with_sessions if connection.is_idle],
            key=lambda connection: connection.idle_state.idle_since,
        )
        idle = [
            _candidate(connection, connection in excess, now)
            for connection in self._connections
            if connection.is_idle
        ]
        evictable = [candidate for candidate in idle if candidate.order[0] is not EvictionClass.HAS_SESSIONS]
        self._candidates.extend(nsmallest(MAX_CANDIDATES, evictable, key=lambda candidate: candidate.order))
        self._candidates_found_at = now

    def _next_candidate(self, now: int) -> tuple[ConnectionT, EvictionClass] | None:
        """Takes candidates until one is still as it was when it was found; None if there is none."""
        while self._candidates:
            candidate = self._candidates.popleft()
            if not candidate.is_unchanged(now) or candidate.connection.unread_count:
                continue
            # Counting unread messages reads the socket, so part of a request may have arrived since the first check.
            if candidate.is_unchanged(now):
                return candidate.connection, candidate.order[0]
        return None
