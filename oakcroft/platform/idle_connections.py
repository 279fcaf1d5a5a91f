"""Finds the connection that makes room for a new one, among all that are open."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from heapq import nsmallest
from typing import Generic, Protocol, TypeVar

from oakcroft.decisions.admission.eviction import EvictionClass, IdleConnection, eviction_order
from oakcroft.interface import MS
from oakcroft.running.clock import Clock

MAX_CANDIDATES = 16
"""Found by one look over all connections. In a crowd each newcomer asks for one, and a look at 256 takes 0.3 ms."""

CANDIDATES_VALID_NS = 50 * MS


class EvictableConnection(Protocol):
    """What is asked of a connection."""

    is_open: bool  # this side has not closed it

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed on it."""

    @property
    def idle_state(self) -> IdleConnection:
        """What its eviction is decided by, where it is idle."""

    @property
    def unread_count(self) -> int:
        """Whole messages that have not been taken, those in its socket among them."""


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class IdleConnections(Generic[ConnectionT]):
    """The idle ones among the open connections, in the order in which they make room."""

    def __init__(self, connections: Iterable[ConnectionT], clock: Clock) -> None:
        """`connections`: those that are open, a live view."""
        self._connections, self._clock = connections, clock
        self._candidates = deque[tuple[ConnectionT, tuple[EvictionClass, int]]]()
        self._candidates_found_at = 0

    def next_to_evict(self) -> ConnectionT | None:
        """The one that makes room next; None where something is owed on each, or has come on it meanwhile."""
        now = self._clock.now()
        if now - self._candidates_found_at > CANDIDATES_VALID_NS:
            self._candidates.clear()
        found = self._next_candidate(now)
        if found is None:
            self._find_candidates(now)
            found = self._next_candidate(now)
        return found

    def _find_candidates(self, now: int) -> None:
        idle = [
            (connection, eviction_order(connection.idle_state, now))
            for connection in self._connections
            if connection.is_idle
        ]
        self._candidates.extend(nsmallest(MAX_CANDIDATES, idle, key=lambda found: found[1]))
        self._candidates_found_at = now

    def _next_candidate(self, now: int) -> ConnectionT | None:
        while self._candidates:
            connection, order = self._candidates.popleft()
            if not self._is_unchanged(connection, order, now) or connection.unread_count:
                continue
            # Asking for what is unread has read its socket: a part of its request may have come.
            if self._is_unchanged(connection, order, now):
                return connection
        return None

    @staticmethod
    def _is_unchanged(connection: ConnectionT, order: tuple[EvictionClass, int], now: int) -> bool:
        """Guards against closing a connection for what it was when candidates were looked for."""
        return (
            connection.is_open and connection.is_idle and eviction_order(connection.idle_state, now) == order
        )
