"""Which connections to a playout node's address lead to the process at which the sessions stand.

An address is no identity: when a process dies or hangs, another one may listen there before the node list says so.
What that one sends must not count as a sign of life of the former one, whose sessions are over.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import Enum
from typing import Generic, TypeVar

from oakcroft.interface import SECOND

DEATH_NS = SECOND
"""Time within which all connections to a process that has died end."""

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class ConnectionEnd(Enum):
    """Why a connection to a node is over."""

    IN_ORDER = "closed by this front end, or by the node after this front end had closed its side"
    BROKEN = "reset or closed by the other end"


class NodeIdentity(Generic[ConnectionT]):
    """Tells the connections that lead to the known process from those of which that is not known.

    - The first connection is known; so is a new one after the last known one has ended in order.
    - If nodes report in time on each session, any other connection is known once it brings a message on a session from
      before it. Else one that was opened beside known ones is known once one of these brings data, since the process
      lives; and so is one that follows on a break, since nothing can prove it.

    Drawback: without reports, a process that is replaced at once by another one at its address is not noticed.
    """

    def __init__(self, *, can_be_proven: bool) -> None:
        """Starts without a connection; `can_be_proven` says whether nodes report on sessions often enough."""
        self.can_be_proven = can_be_proven
        self.is_unbroken = True
        self.last_break_at = -DEATH_NS  # of a known connection, ns
        self.known = dict[ConnectionT, None]()
        self.unknown = dict[ConnectionT, int]()  # and when it was opened, ns

    def opened(self, connection: ConnectionT, now: int) -> None:
        """Adds a connection that has come up at `now`, ns."""
        if self.is_unbroken and not self.known:
            self.known[connection] = None
        else:
            self.unknown[connection] = now

    def data_received(self, connection: ConnectionT) -> bool:
        """Handles data on a connection; returns whether the known process has sent it."""
        if connection not in self.known:
            return False
        if not self.can_be_proven:
            self._accept_all()
        return True

    def session_named(self, connection: ConnectionT, began_at: int) -> bool:
        """Handles a message on a session; returns whether it proves that the connection leads to the known process.

        `began_at` is when the session began, in ns: only one from before the connection proves anything.
        """
        opened_at = self.unknown.get(connection)
        if opened_at is None or began_at >= opened_at:
            return False
        self._accept_all()
        return True

    def ended(self, connection: ConnectionT, end: ConnectionEnd, now: int) -> None:
        """Removes a connection that is over since `now`, ns."""
        self.unknown.pop(connection, None)
        if connection not in self.known:
            return
        del self.known[connection]
        if end is ConnectionEnd.BROKEN:
            self.last_break_at = now
        if not self.known and self.may_have_died(now) and self.can_be_proven:
            self.is_unbroken = False

    def may_have_died(self, now: int) -> bool:
        """Whether a connection has just broken, so that the end of another one is none in order. `now`: ns."""
        return now - self.last_break_at < DEATH_NS

    @property
    def unknown_since(self) -> int | None:
        """When the first of the connections came up that may lead to another process, ns; None if there is none."""
        return min(self.unknown.values(), default=None)

    def start_anew(self) -> None:
        """Takes whichever process listens at the address for the known one; no session stands at a former one."""
        self._accept_all()

    def _accept_all(self) -> None:
        """Takes all connections for known."""
        self.is_unbroken = True
        self.known.update(dict.fromkeys(self.unknown))
        self.unknown.clear()
