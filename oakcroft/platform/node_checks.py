"""Connects that check whether a playout node is still there."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import trio

from oakcroft.decisions.sessions.node_liveness import CHECK_TIMEOUT_NS, CheckResult, NodeLiveness
from oakcroft.interface import SECOND
from oakcroft.platform.connection import connect
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event
from oakcroft.running.local_shortage import is_local_shortage


class CheckedPool(Protocol):
    """The connections to the node that is checked."""

    address: tuple[str, int]

    def make_room_for_check(self) -> bool:
        """Returns whether a descriptor is free for a check that has been started."""

    def add_connection(self, connection: NodeConnection) -> None:
        """Adds the connection of a check."""

    def check_ended(self, result: CheckResult) -> None:
        """Handles the end of a check, after the liveness has changed."""

    async def read_messages(self, connection: NodeConnection) -> None:
        """Reads the messages of a connection until it ends."""


class NodeChecks:
    """The checks of one node. Their ends are submitted to the coordinator as events.

    The first that comes up ends the others, so that a node which is slow gets one connection.
    """

    def __init__(
        self,
        liveness: NodeLiveness,
        clock: Clock,
        nursery: trio.Nursery,
        submit: Callable[[Event], Awaitable[None]],
        pool: CheckedPool,
    ) -> None:
        """Creates the checks; none is open."""
        self.liveness = liveness
        self.clock = clock
        self.nursery = nursery
        self.submit = submit
        self.pool = pool
        self.open_connects = dict[trio.CancelScope, None]()

    def start(self) -> None:
        """Starts a check; without a descriptor it ends at once, and proves nothing."""
        now = self.clock.now()
        self.liveness.check_started(now)
        if self.pool.make_room_for_check():
            self.nursery.start_soon(self._check, now)
        else:
            self._ended(now, CheckResult.NO_DESCRIPTOR)

    async def _check(self, started_at: int) -> None:
        """Connects, and reads the messages of the connection until it ends."""
        sock: socket.socket | None = None
        result = CheckResult.SUPERSEDED
        try:
            with trio.CancelScope() as scope:
                self.open_connects[scope] = None
                sock = await connect(self.pool.address, CHECK_TIMEOUT_NS / SECOND)
        except (OSError, trio.TooSlowError) as error:
            result = CheckResult.UNANSWERED
            if is_local_shortage(error):
                result = CheckResult.NO_DESCRIPTOR
            elif isinstance(error, ConnectionRefusedError):
                result = CheckResult.REFUSED
        finally:
            del self.open_connects[scope]
        if sock is None:
            await self.submit(partial(self._ended, started_at, result))
            return
        for open_connect in self.open_connects:
            open_connect.cancel()
        connection = NodeConnection(sock, self.nursery, self.clock.now())
        await self.submit(partial(self._connected, started_at, connection))
        await self.pool.read_messages(connection)

    def _connected(self, started_at: int, connection: NodeConnection) -> None:
        """Passes a new connection on to the pool."""
        self._ended(started_at, CheckResult.CONNECTED)
        self.pool.add_connection(connection)

    def _ended(self, started_at: int, result: CheckResult) -> None:
        """Handles the end of a check."""
        self.liveness.check_ended(started_at, result, self.clock.now())
        self.pool.check_ended(result)
