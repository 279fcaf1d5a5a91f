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
    """Numbers the processes that may have been at a node's address, and tells which connection leads to which.

    Each connection, and each session set up on it, has the number of a process: `known_process` or an earlier number
    is the one whose signs of life count; later numbers may be the same process or others.

    - The first connection leads to the known process; so does a new one after the last one to it has ended in order.
    - If nodes report in time on each session, any other connection leads there once it brings a message on a session of
      the known process. Else one that was opened beside others does once one of these brings data, since the process
      lives; and so does one that follows on a break, since nothing can prove it.

    Drawback: without reports, a process that is replaced at once by another one at its address is not noticed.
    """

    def __init__(self, *, can_be_proven: bool) -> None:
        """Starts without a connection; `can_be_proven` says whether nodes report on sessions often enough."""
        self.can_be_proven = can_be_proven
        self.known_process = 0
        self.latest_process = 0
        self.is_unbroken = True
        self.has_process_died = False  # or it may have, since the latest one was numbered
        self.last_break_at = dict[int, int]()  # of a connection to a process that has connections, ns
        self.processes = dict[ConnectionT, int]()

    def opened(self, connection: ConnectionT) -> None:
        """Adds a connection that has come up."""
        if not self.is_unbroken or self._has_connection_to(self.known_process):
            self.latest_process = max(self.latest_process + self.has_process_died, self.known_process + 1)
            self.has_process_died = False
            self.processes[connection] = self.latest_process
        else:
            self.processes[connection] = self.known_process

    def process_of(self, connection: ConnectionT | None) -> int:
        """Returns the number of the process of a connection, and so of a session that is set up on it."""
        return self.processes.get(connection, self.known_process) if connection else self.known_process

    def is_known(self, connection: ConnectionT) -> bool:
        """Whether a connection leads to the known process."""
        return self.processes.get(connection) == self.known_process

    def data_received(self, connection: ConnectionT) -> bool:
        """Handles data on a connection; returns whether the known process has sent it."""
        if not self.is_known(connection):
            return False
        if not self.can_be_proven:
            self._accept(self.latest_process)
        return True

    def session_named(self, connection: ConnectionT, session_process: int) -> bool:
        """Handles a message on a session; returns whether it proves that the connection leads to the known process."""
        process = self.processes.get(connection, self.known_process)
        if session_process > self.known_process or process <= self.known_process:
            return False
        self._accept(process)
        return True

    def ended(self, connection: ConnectionT, end: ConnectionEnd, now: int) -> None:
        """Removes a connection that is over since `now`, ns."""
        process = self.processes.pop(connection, None)
        if process is None:
            return
        if end is ConnectionEnd.BROKEN:
            self.last_break_at[process] = now
        if self._has_connection_to(process):
            return
        has_died = self.may_have_died(process, now)
        self.last_break_at.pop(process, None)
        if not has_died or not self.can_be_proven:
            return
        self.has_process_died = True  # what is opened next may lead to yet another one
        if process == self.known_process:
            self.is_unbroken = False

    def may_have_died(self, process: int, now: int) -> bool:
        """Whether a connection to a process has just broken, so that the end of another is none in order. `now`: ns."""
        broke_at = self.last_break_at.get(process)
        return broke_at is not None and now - broke_at < DEATH_NS

    def known_process_lost(self) -> None:
        """Handles the loss of the known process; the next one is the known one now, whether or not it lives."""
        self.last_break_at.pop(self.known_process, None)
        if self.latest_process > self.known_process:
            self.known_process += 1
        self.is_unbroken = self.latest_process == self.known_process or self._has_connection_to(
            self.known_process
        )

    def start_anew(self) -> None:
        """Takes whichever process listens at the address for the known one; no session stands at a former one."""
        self._accept(self.latest_process)

    def insert_former_process(self) -> bool:
        """Handles a session that was set up before all connections: its process is the known one from now on.

        Returns whether that makes the former known one the next, so that its sessions have the next number.
        """
        if not self.can_be_proven:
            return False
        self.processes = {connection: process + 1 for connection, process in self.processes.items()}
        self.latest_process += 1
        self.last_break_at.clear()
        self.is_unbroken = False
        return True

    def _has_connection_to(self, process: int) -> bool:
        """Whether a connection to a process is open."""
        return process in self.processes.values()

    def _accept(self, process: int) -> None:
        """Takes a process and all earlier ones for the known one."""
        self.is_unbroken = True
        self.last_break_at.clear()
        self.known_process = max(self.known_process, process)
        for connection, earlier in self.processes.items():
            self.processes[connection] = max(earlier, self.known_process)
