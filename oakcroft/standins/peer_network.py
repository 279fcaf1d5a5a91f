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
MOST = 65_536


@dataclass
class Ails:
    """What befalls the way from one front to another."""

    cut: bool = False
    lose: float = 0.0
    double: float = 0.0
    late: tuple[float, float] = (0.0, 0.0)  # seconds; where they differ, messages overtake each other


@dataclass
class Between:
    """All relays. `fronts`: by name, where each listens; `relays`: where the others reach it."""

    fronts: dict[str, Address]
    relays: dict[str, Address]
    rng: Random
    ails: dict[tuple[str, str], Ails] = field(default_factory=dict)
    passed: int = 0
    lost: int = 0
    waiting: int = 0  # under way just now

    def on(self, one: str, other: str) -> Ails:
        """What befalls the way from one to the other, to be changed."""
        return self.ails.setdefault((one, other), Ails())

    def cut(self, some: set[str], others: set[str], cut: bool = True) -> None:
        """Cuts what goes from `some` to `others`, that way only; or mends it."""
        for one in some:
            for other in others - {one}:
                self.on(one, other).cut = cut

    def heal(self) -> None:
        """All ways are as at the beginning."""
        self.ails.clear()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Passes on until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for name in self.fronts:
                host, port = self.relays[name]
                sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                await sock.bind((host, port))
                nursery.start_soon(self._datagrams, name, sock)
                listeners = await trio.open_tcp_listeners(port, host=host)
                nursery.start_soon(trio.serve_listeners, partial(self._stream, name), listeners)
            task_status.started()
            await trio.sleep_forever()

    async def _datagrams(self, to: str, sock: trio.socket.SocketType) -> None:
        by_address = {address: name for name, address in self.fronts.items()}
        while True:
            try:
                octets, sender = await sock.recvfrom(MOST)
            except OSError:
                continue
            one = by_address.get(sender[:2])
            ails = self.ails.get((one or "", to), Ails())
            times = 2 if self.rng.random() < ails.double else 1
            for _ in range(times):
                if ails.cut or self.rng.random() < ails.lose:
                    self.lost += 1
                else:
                    self.nursery.start_soon(self._pass, sock, octets, to, self.rng.uniform(*ails.late))

    async def _pass(self, sock: trio.socket.SocketType, octets: bytes, to: str, late: float) -> None:
        if late:
            self.waiting += 1
            try:
                await trio.sleep(late)
            finally:
                self.waiting -= 1
        self.passed += 1
        try:
            await sock.sendto(octets, self.fronts[to])
        except OSError:
            self.lost += 1

    async def _stream(self, to: str, stream: trio.SocketStream) -> None:
        by_host = {address[0]: name for name, address in self.fronts.items()}
        one = by_host.get(stream.socket.getpeername()[0], "")
        if self.ails.get((one, to), Ails()).cut or self.ails.get((to, one), Ails()).cut:
            await trio.aclose_forcefully(stream)
            return
        try:
            onward = await trio.open_tcp_stream(*self.fronts[to])
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
            while octets := await one.receive_some(MOST):
                await other.send_all(octets)
            await other.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
