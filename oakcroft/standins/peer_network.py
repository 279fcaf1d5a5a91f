"""Emulated network between front ends: relays that cut, lose, duplicate, delay and reorder their messages.

Each front end advertises the address of its relay to its peers. Faults are set for a pair of front ends and a direction.

The sender of a datagram is identified by its source address, as a front end sends from the socket it listens on. The
peer of a stream is identified by its host address alone, so each front end needs one of its own (127.0.0.0/8 has
enough).
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

Address = tuple[str, int]

MAX_READ_BYTES = 65_536


@dataclass
class LinkFaults:
    """Faults of the link from one front end to another, in this direction only."""

    is_cut: bool = False
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_seconds: tuple[float, float] = (0.0, 0.0)  # a range of more than one value reorders messages


@dataclass
class PeerNetwork:
    """The relays of all front ends, by the names of the front ends."""

    front_addresses: dict[str, Address]  # where each front end listens
    relay_addresses: dict[str, Address]  # where its peers reach it
    rng: Random
    link_faults: dict[tuple[str, str], LinkFaults] = field(default_factory=dict)
    forwarded_count: int = 0
    lost_count: int = 0
    delayed_count: int = 0  # messages that are in flight with a delay

    def faults_on(self, sender: str, receiver: str) -> LinkFaults:
        """Returns the faults of the link from a sender to a receiver, for the caller to change."""
        return self.link_faults.setdefault((sender, receiver), LinkFaults())

    def cut(self, senders: set[str], receivers: set[str], cut: bool = True) -> None:
        """Cuts the links from `senders` to `receivers`, in this direction only; `cut=False` restores them."""
        for sender in senders:
            for receiver in receivers - {sender}:
                self.faults_on(sender, receiver).is_cut = cut

    def heal(self) -> None:
        """Clears the faults of all links."""
        self.link_faults.clear()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Forwards datagrams and streams until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in self.front_addresses:
                host, port = self.relay_addresses[name]
                sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                await sock.bind((host, port))
                nursery.start_soon(self._forward_datagrams, name, sock)
                listeners = await trio.open_tcp_listeners(port, host=host)
                nursery.start_soon(trio.serve_listeners, partial(self._forward_stream, name), listeners)
            task_status.started()
            await trio.sleep_forever()

    async def _forward_datagrams(self, receiver: str, sock: trio.socket.SocketType) -> None:
        """Forwards datagrams to a front end, under the faults of the link from each sender."""
        names_by_address = {address: name for name, address in self.front_addresses.items()}
        while True:
            try:
                data, source = await sock.recvfrom(MAX_READ_BYTES)
            except OSError:
                continue
            sender = names_by_address.get(source[:2])
            faults = self.link_faults.get((sender or "", receiver), LinkFaults())
            copies = 2 if self.rng.random() < faults.duplicate_rate else 1
            for _ in range(copies):
                if faults.is_cut or self.rng.random() < faults.loss_rate:
                    self.lost_count += 1
                else:
                    delay_seconds = self.rng.uniform(*faults.delay_seconds)
                    self.nursery.start_soon(self._deliver, sock, data, receiver, delay_seconds)

    async def _deliver(
        self, sock: trio.socket.SocketType, data: bytes, receiver: str, delay_seconds: float
    ) -> None:
        """Delivers a datagram after a delay."""
        if delay_seconds:
            self.delayed_count += 1
            try:
                await trio.sleep(delay_seconds)
            finally:
                self.delayed_count -= 1
        self.forwarded_count += 1
        try:
            await sock.sendto(data, self.front_addresses[receiver])
        except OSError:
            self.lost_count += 1

    async def _forward_stream(self, receiver: str, client: trio.SocketStream) -> None:
        """Forwards a TCP connection to a front end; closes it at once if a direction of the link is cut."""
        names_by_host = {address[0]: name for name, address in self.front_addresses.items()}
        sender = names_by_host.get(client.socket.getpeername()[0], "")
        if self._is_cut(sender, receiver) or self._is_cut(receiver, sender):
            await trio.aclose_forcefully(client)
            return
        try:
            server = await trio.open_tcp_stream(*self.front_addresses[receiver])
        except OSError:
            await trio.aclose_forcefully(client)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_stream, client, server)
            nursery.start_soon(self._copy_stream, server, client)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return self.link_faults.get((sender, receiver), LinkFaults()).is_cut

    @staticmethod
    async def _copy_stream(source: trio.SocketStream, destination: trio.SocketStream) -> None:
        """Copies one direction of a connection until it ends or breaks."""
        try:
            while data := await source.receive_some(MAX_READ_BYTES):
                await destination.send_all(data)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
