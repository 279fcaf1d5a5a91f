"""One connection to the command channel: its socket, the open poll, and the answers read from it."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from oakcroft.interface import MS
from oakcroft.platform.connection import BufferedConnection
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.long_poll import LongPollConnection
from oakcroft.running.clock import Clock

RECEIVE_BYTES = 65_536

Answer = tuple[int, list[command_channel.ListChange]]


class ChannelConnection:
    """Sends one poll at a time and passes on each answer. Times in ns."""

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        clock: Clock,
        nursery: trio.Nursery,
        on_answer: Callable[[ChannelConnection, Answer], Awaitable[None]],
    ) -> None:
        """Wraps a connected socket; `on_answer` is called in the step that has read an answer.

        The connection is not read again before it has returned.
        """
        self.sock = sock
        self.connection = BufferedConnection(sock, nursery)
        self.long_poll = LongPollConnection(*address)
        self.clock = clock
        self.on_answer = on_answer
        self.polled_at = 0
        self.wait_ns = 0
        self.failure = ""  # error that made the connection unusable; empty while it is usable

    @property
    def is_open(self) -> bool:
        """Whether another answer may come."""
        return self.connection.is_open

    def send_poll(self, last_cursor: int, wait_ms: int) -> None:
        """Asks for the events after a cursor, for which the channel may wait for `wait_ms`."""
        self.polled_at = self.clock.now()
        self.wait_ns = wait_ms * MS
        self.connection.write(self.long_poll.poll(last_cursor, wait_ms))

    @property
    def can_poll(self) -> bool:
        """Whether the connection stays open for another poll after the last answer."""
        return self.long_poll.is_ready

    async def wait_until(self, deadline: float) -> None:
        """Waits for data until a trio time, and reads it."""
        with trio.move_on_at(deadline):
            await trio.lowlevel.wait_readable(self.sock)
        await self.read_answers()

    async def read_answers(self) -> None:
        """Reads everything that has arrived, without waiting for more."""
        while self.connection.is_open:
            try:
                self.long_poll.receive_data(self.connection.sock.recv(RECEIVE_BYTES))
                while self.connection.is_open and (answer := self.long_poll.next_answer()) is not None:
                    await self.on_answer(self, answer)
            except BlockingIOError:
                return
            except (OSError, command_channel.ChannelError) as error:
                self.failure = str(error) or repr(error)
                self.connection.close()

    def close(self) -> None:
        """Closes it at once."""
        self.connection.close()
