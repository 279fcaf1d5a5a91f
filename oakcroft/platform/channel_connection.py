"""One connection to the command channel: its socket, the open poll, and the answers read from it."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from oakcroft.interface import MS
from oakcroft.platform.connection import BufferedConnection
from oakcroft.platform.stepper import Stepper
from oakcroft.platformwire import command_channel
from oakcroft.platformwire.answer_decoder import Answer
from oakcroft.platformwire.long_poll import LongPollConnection
from oakcroft.running.clock import Clock

RECEIVE_BYTES = 65_536


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
        self.failure: command_channel.ChannelError | None = None  # what made the connection unusable

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
        """Reads everything that has arrived, without waiting for more. Other tasks run between its steps."""
        stepper = Stepper()
        while self.connection.is_open:
            try:
                self.long_poll.receive_data(self.connection.sock.recv(RECEIVE_BYTES))
                await self._decode(stepper)
            except BlockingIOError:
                return
            except command_channel.ChannelError as error:
                self._fail(error)
            except OSError as error:
                self._fail(command_channel.ChannelError(str(error) or repr(error)))

    async def _decode(self, stepper: Stepper) -> None:
        """Decodes what has been received, and passes answers on."""
        self.long_poll.has_more_to_decode = True
        while self.connection.is_open and self.long_poll.has_more_to_decode:
            answer = self.long_poll.next_answer()
            if answer is not None:
                await self.on_answer(self, answer)
            await stepper.pause_if_due()

    def _fail(self, error: command_channel.ChannelError) -> None:
        """Closes the connection after an error."""
        self.failure = error
        self.connection.close()

    def close(self) -> None:
        """Closes it at once."""
        self.connection.close()
