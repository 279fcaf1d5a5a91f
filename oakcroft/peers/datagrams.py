"""The UDP socket of one front among its peers, with what it may read and how much of it.

Writing never waits: a datagram that the kernel does not take is lost, as any may be. Reading gives way to the front's
other tasks after every few datagrams.
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
"""Some 2 ms of work, before the front's other tasks have their turn: one that wakes finds hundreds waiting."""

MAX_DATAGRAMS_PER_SECOND = 2_000
"""Sealed datagrams followed: twelve times what 200 fronts send one in a heal."""


class DatagramSocket:
    """Sends and reads datagrams at one address; counts what was sent and dropped."""

    def __init__(self, listen: Address, dropped: Counter[str]) -> None:
        """Opens nothing yet; `dropped` counts what is not sent, by reason."""
        self.listen = listen
        self.dropped = dropped
        self.sent = 0
        self.octets_sent = 0
        self.socket: socket.socket | None = None

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Holds the socket. OSError where the address can't be had."""
        family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as self.socket:
            self.socket.setblocking(False)
            self.socket.bind(self.listen)
            yield

    def send(self, octets: bytes, address: Address) -> None:
        """Sends one datagram, or drops it: before the socket is open, and where the kernel does not take it."""
        if self.socket is None:
            return
        try:
            self.socket.sendto(octets, address)
        except (OSError, OverflowError) as error:  # full, unreachable, or no address
            self.dropped[f"not sent: {type(error).__name__}"] += 1
            return
        self.sent += 1
        self.octets_sent += len(octets)

    async def read(self, receive: Callable[[bytes], None]) -> None:
        """Hands on each datagram until it is cancelled."""
        assert self.socket is not None
        read_in_turn = 0
        while True:
            try:
                octets, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.socket)
                continue
            except OSError:  # what a peer's machine answered to one of ours
                await trio.lowlevel.checkpoint()
                continue
            receive(octets)
            read_in_turn += 1
            if read_in_turn % DATAGRAMS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()


class RateLimit:
    """Guards the front's turns against a peer that floods: covers one that holds the key and is broken."""

    def __init__(self) -> None:
        """Starts a count at zero."""
        self.second = 0
        self.in_second = 0

    def allows(self, now: int) -> bool:
        """Counts one datagram; whether it is within `MAX_DATAGRAMS_PER_SECOND`."""
        if now // SECOND != self.second:
            self.second = now // SECOND
            self.in_second = 0
        self.in_second += 1
        return self.in_second <= MAX_DATAGRAMS_PER_SECOND
