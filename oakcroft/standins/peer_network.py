"""The network between fronts, as a stand-in: each front tells its peers the address of its relay, and the relay cuts,
loses, doubles, delays and reorders what passes, by pair and direction.

Whom a datagram comes from is known by the address that it was sent from: a front sends from the one socket on which
it listens. Streams are told apart by the machine's address alone, so each front needs one of its own (127.0.0.0/8 has
them).
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
    """What befalls the way from one front to another."""

    is_cut: bool = False
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_seconds: tuple[float, float] = (
        0.0,
        0.0,
    )  # seconds; where they differ, messages overtake each other


@dataclass
class PeerNetwork:
    """All relays. `fronts`: by name, where each listens; `relays`: where the others reach it."""

    front_addresses: dict[str, Address]
    relay_addresses: dict[str, Address]
    rng: Random
    link_faults: dict[tuple[str, str], LinkFaults] = field(default_factory=dict)
    forwarded_count: int = 0
    lost_count: int = 0
    delayed_count: int = 0  # under way just now

    def faults_on(self, one: str, other: str) -> LinkFaults:
        """What befalls the way from one to the other, to be changed."""
        return self.link_faults.setdefault((one, other), LinkFaults())

    def cut(self, some: set[str], others: set[str], cut: bool = True) -> None:
        """Cuts what goes from `some` to `others`, that way only; or mends it."""
        for one in some:
            for other in others - {one}:
                self.faults_on(one, other).is_cut = cut

    def heal(self) -> None:
        """All ways are as at the beginning."""
        self.link_faults.clear()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Passes on until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in self.front_addresses:
                host, port = self.relay_addresses[name]
                sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                await sock.bind((host, port))
                nursery.start_soon(self._datagrams, name, sock)
                listeners = await trio.open_tcp_listeners(port, host=host)
                nursery.start_soon(trio.serve_listeners, partial(self._stream, name), listeners)
            task_status.started()
            await trio.sleep_forever()

    async def _datagrams(self, to: str, sock: trio.socket.SocketType) -> None:
        by_address = {address: name for name, address in self.front_addresses.items()}
        while True:
            try:
                octets, sender = await sock.recvfrom(MAX_READ_BYTES)
            except OSError:
                continue
            one = by_address.get(sender[:2])
            ails = self.link_faults.get((one or "", to), LinkFaults())
            times = 2 if self.rng.random() < ails.duplicate_rate else 1
            for _ in range(times):
                if ails.is_cut or self.rng.random() < ails.loss_rate:
                    self.lost_count += 1
                else:
                    self.nursery.start_soon(
                        self._pass, sock, octets, to, self.rng.uniform(*ails.delay_seconds)
                    )

    async def _pass(self, sock: trio.socket.SocketType, octets: bytes, to: str, late: float) -> None:
        if late:
            self.delayed_count += 1
            try:
                await trio.sleep(late)
            finally:
                self.delayed_count -= 1
        self.forwarded_count += 1
        try:
            await sock.sendto(octets, self.front_addresses[to])
        except OSError:
            self.lost_count += 1

    async def _stream(self, to: str, stream: trio.SocketStream) -> None:
        by_host = {address[0]: name for name, address in self.front_addresses.items()}
        one = by_host.get(stream.socket.getpeername()[0], "")
        if (
            self.link_faults.get((one, to), LinkFaults()).is_cut
            or self.link_faults.get((to, one), LinkFaults()).is_cut
        ):
            await trio.aclose_forcefully(stream)
            return
        try:
            onward = await trio.open_tcp_stream(*self.front_addresses[to])
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, stream, onward)
            nursery.start_soon(self._pump, onward, stream)
        await trio.aclose_forcefully(stream)
        await trio.aclose_forcefully(onward)

    @staticmethod
    async def _pump(one: trio.SocketStream, other: trio.SocketStream) -> None:
        try:
            while octets := await one.receive_some(MAX_READ_BYTES):
                await other.send_all(octets)
            await other.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
