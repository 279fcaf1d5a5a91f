"""Finds the connection that makes room for a new one, among all that are open."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from heapq import nsmallest
from typing import Generic, Protocol, TypeVar

from oakcroft.decisions.admission.eviction import Evictable, IdleConnection, eviction_order
from oakcroft.interface import MS
from oakcroft.running.clock import Clock

CANDIDATES = 16
"""Found by one look over all connections. In a crowd each newcomer asks for one, and a look at 256 takes 0.3 ms."""

CANDIDATES_KEPT = 50 * MS


class Connection(Protocol):
    """What is asked of a connection."""

    open: bool  # this side has not closed it

    @property
    def idle(self) -> bool:
        """Whether nothing is owed on it."""

    @property
    def as_idle(self) -> IdleConnection:
        """What its eviction is decided by, where it is idle."""

    @property
    def unread(self) -> int:
        """Whole messages that have not been taken, those in its socket among them."""


LinkT = TypeVar("LinkT", bound=Connection)


class IdleConnections(Generic[LinkT]):
    """The idle ones among the open connections, in the order in which they make room."""

    def __init__(self, connections: Iterable[LinkT], clock: Clock) -> None:
        """`connections`: those that are open, a live view."""
        self._connections, self._clock = connections, clock
        self._candidates = deque[tuple[LinkT, tuple[Evictable, int]]]()
        self._found_at = 0

    def first(self) -> LinkT | None:
        """The one that makes room next; None where something is owed on each, or has come on it meanwhile."""
        now = self._clock.now()
        if now - self._found_at > CANDIDATES_KEPT:
            self._candidates.clear()
        found = self._next_candidate(now)
        if found is None:
            self._find_candidates(now)
            found = self._next_candidate(now)
        return found

    def _find_candidates(self, now: int) -> None:
        idle = [(link, eviction_order(link.as_idle, now)) for link in self._connections if link.idle]
        self._candidates.extend(nsmallest(CANDIDATES, idle, key=lambda found: found[1]))
        self._found_at = now

    def _next_candidate(self, now: int) -> LinkT | None:
        while self._candidates:
            link, order = self._candidates.popleft()
            if not self._stands_as_found(link, order, now) or link.unread:
                continue
            # Asking for what is unread has read its socket: a part of its request may have come.
            if self._stands_as_found(link, order, now):
                return link
        return None

    @staticmethod
    def _stands_as_found(link: LinkT, order: tuple[Evictable, int], now: int) -> bool:
        """Guards against closing a connection for what it was when candidates were looked for."""
        return link.open and link.idle and eviction_order(link.as_idle, now) == order
