"""UDP socket of one front for messages between peers, with a rate limit on received datagrams.

Sending never blocks: a datagram that the kernel does not accept is lost, as any datagram may be. Reading yields to the
front's other tasks after every few datagrams.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from oakcroft.decisions.membership.messages import Address
from oakcroft.interface import SECOND
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES

DATAGRAMS_PER_TURN = 8
"""About 2 ms of work. Hundreds of datagrams may be waiting, and other tasks must run in between."""

MAX_DATAGRAMS_PER_SECOND = 2_000
"""Authenticated datagrams processed: 12 times what 200 fronts send to one while a partition heals."""


class DatagramSocket:
    """Sends and reads datagrams at one address; counts those sent and dropped."""

    def __init__(self, listen: Address, dropped: Counter[str]) -> None:
        """Opens nothing yet; `dropped` counts datagrams that could not be sent, by reason."""
        self.listen = listen
        self.dropped = dropped
        self.sent = 0
        self.octets_sent = 0
        self.socket: socket.socket | None = None

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Keeps the socket open. Raises OSError if the address cannot be bound."""
        family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as self.socket:
            self.socket.setblocking(False)
            self.socket.bind(self.listen)
            yield

    def send(self, octets: bytes, address: Address) -> None:
        """Sends one datagram, or drops it if the socket is not open or the kernel does not accept it."""
        if self.socket is None:
            return
        try:
            self.socket.sendto(octets, address)
        except (OSError, OverflowError) as error:  # buffer full, host unreachable, or invalid address
            self.dropped[f"not sent: {type(error).__name__}"] += 1
            return
        self.sent += 1
        self.octets_sent += len(octets)

    async def read(self, receive: Callable[[bytes], None]) -> None:
        """Passes each datagram to `receive` until cancelled."""
        assert self.socket is not None
        read_in_turn = 0
        while True:
            try:
                octets, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.socket)
                continue
            except OSError:  # an ICMP error in answer to a datagram sent from here
                await trio.lowlevel.checkpoint()
                continue
            receive(octets)
            read_in_turn += 1
            if read_in_turn % DATAGRAMS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()


class RateLimit:
    """Limits datagrams per second, so that a faulty peer that holds the key cannot starve the front's other tasks."""

    def __init__(self) -> None:
        """Starts with a count of zero."""
        self.second = 0
        self.in_second = 0

    def allows(self, now: int) -> bool:
        """Counts one datagram; returns whether it is within `MAX_DATAGRAMS_PER_SECOND`."""
        if now // SECOND != self.second:
            self.second = now // SECOND
            self.in_second = 0
        self.in_second += 1
        return self.in_second <= MAX_DATAGRAMS_PER_SECOND
