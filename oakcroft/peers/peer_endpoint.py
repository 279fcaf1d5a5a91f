"""A front among its peers: one UDP socket, one TCP listener, and the view that both feed.

Nothing here waits on a peer, and nothing is in an answer's way: datagrams are written without waiting (one that the
kernel does not take is lost, as any may be), reading gives way after each few, and what comes faster than a whole
fleet's talk is dropped and counted. All that is decided is decided by decisions/membership/membership.py.
"""

from __future__ import annotations

import os
import secrets
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from ipaddress import ip_address
from pathlib import Path
from random import Random

import structlog
import trio

from oakcroft import __version__
from oakcroft.config.told import PeersPlace
from oakcroft.decisions.fleet.figures import Row
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import Address, Message, MessageKind
from oakcroft.interface import MS, SECOND
from oakcroft.peers.leases import LeaseHost, Keeping
from oakcroft.peers.generations import begin_generation, store_generation
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM, MembershipCodec
from oakcroft.peerwire.push_pull_stream import MAX_PART, FullStateReader, write_full_state
from oakcroft.peerwire.lease_codec import FORM as DUTY_FORM
from oakcroft.peerwire.lease_codec import MOST_TEXT
from oakcroft.peerwire.load_codec import FORM as FIGURE_FORM
from oakcroft.peerwire.load_codec import LoadCodec
from oakcroft.peerwire.sealing import SEAL_LENGTH, KeyFileError, KeyRing, parse_keys
from oakcroft.running.clock import Clock

TURN = 8  # datagrams, some 2 ms, before the front's other tasks have their turn: one that wakes finds hundreds waiting
MOST_A_SECOND = 2_000  # sealed datagrams followed: twelve times what 200 fronts send one in a heal
MOST_STREAMS = 8  # exchanges at once, of others'
STREAM_WITHIN = 2.0  # seconds for one
TEXT_WITHIN = 10.0  # seconds for a text of 16 MiB at most
KEYS_EVERY = 5.0
DUTIES = bytes((DUTY_FORM,))
FIGURES = bytes((FIGURE_FORM,))
AGAIN = 1.0  # seconds, after a fault
LEAVES = 3  # times that the last word is said, so that a lost datagram does not lose it
LEAVES_APART = 0.05


def read_keys(file: str) -> tuple[bytes, ...]:
    """The keys of a file. KeyFileError where it can't be read or holds none."""
    try:
        return parse_keys(Path(file).read_text(encoding="ascii"))
    except (OSError, UnicodeDecodeError) as fault:
        raise KeyFileError(str(fault)) from fault


class PeerEndpoint:
    """One front's part in the fleet's view."""

    def __init__(
        self, place: PeersPlace, wing: str, seed: int, clock: Clock, log: structlog.typing.FilteringBoundLogger,
        changed: Callable[[Membership], None] = lambda _: None, record: Keeping | None = None,
    ) -> None:  # fmt: skip
        self.place, self.clock, self.log, self.changed = place, clock, log, changed
        self.ring = KeyRing(read_keys(place.key_file))
        self.codec = MembershipCodec(place.fleet, self.ring)
        start, trouble = begin_generation(place.starts)
        if trouble:
            log.warning("start not kept", file=place.starts, why=trouble)
        secret = secrets.token_bytes(16)
        me = MemberUpdate(
            place.name, start, 0, MemberState.ALIVE, *place.advertise, wing, __version__, commitment(secret)
        )
        self.view = Membership(me, secret, Random(seed), self.now(), place.seeds)
        self.kept = start
        self.dropped: Counter[str] = Counter()
        self.sent = self.taken = self.octets_out = 0
        self.second = self.in_second = 0
        self.sock: socket.socket | None = None
        self.began = False
        self.sooner = trio.Event()
        self.streams = trio.CapacityLimiter(MOST_STREAMS)
        self.duties: LeaseHost | None = None
        if place.keepers:
            self.duties = LeaseHost(place, self.ring, self.view, record, seed + 1, self._say, log)
        self.figures: Callable[[list[Row]], None] | None = None  # who wants other fronts' figures of nodes
        self.figure_codec = LoadCodec(place.fleet, self.ring)
        self.key_age = _age(place.key_file)

    def now(self) -> int:
        """Now, by the front's clock, which no step of the wall clock moves."""
        return self.clock.now()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Speaks until it is cancelled. OSError where the address can't be had at the start.

        Guards the front against a fault in all of this: viewers are served on, and after `AGAIN` it speaks anew.
        """
        while True:
            try:
                await self._speak(task_status)
            except Exception as fault:
                if not self.began:
                    raise
                self.log.error("peers failed", error=repr(fault)[:300], exc_info=fault)
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(AGAIN)

    async def _speak(self, task_status: trio.TaskStatus[None]) -> None:
        host, port = self.place.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as self.sock:
            self.sock.setblocking(False)
            self.sock.bind((host, port))
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=64)
            me = self.view.me
            self.log.info(
                "peers",
                name=me.name,
                start=me.generation,
                address=f"{me.host}:{me.port}",
                seeds=len(self.view.seeds),
            )
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._read)
                nursery.start_soon(self._time)
                nursery.start_soon(self._keys)
                nursery.start_soon(trio.serve_listeners, self._serve, listeners)
                if self.duties is not None:
                    nursery.start_soon(self.duties.run)
                self.began = True
                task_status.started()

    async def leave(self) -> None:
        """Says that this front leaves in order. Call it when no more is let in: its shares pass on with it."""
        if self.duties is not None:
            self.duties.leave()
        self.view.leave()
        last, self.view.out = list(self.view.out), []
        for _ in range(LEAVES):
            for message in last:
                self._write(message)
            await trio.sleep(LEAVES_APART)

    # Out.

    def _carry_out(self) -> None:
        """What the view has asked for, and what has changed in it. Called after each call of it."""
        view = self.view
        while view.out:
            out, view.out = view.out, []
            for message in out:
                if message.kind is MessageKind.PUSH_PULL:
                    self.nursery.start_soon(self._exchange, message.address)
                else:
                    self._write(message)
        if view.changes:
            changes, view.changes = view.changes, []
            for c in changes:
                self.log.info(
                    "member", name=c.name, was=c.was, now=c.now, why=c.why, present=len(view.present())
                )
            if view.me.generation != self.kept:
                self.kept = view.me.generation
                if trouble := store_generation(self.place.starts, self.kept):
                    self.log.warning("start not kept", file=self.place.starts, why=trouble)
            self.changed(view)
        self.sooner.set()

    def _say(self, to: str, octets: bytes) -> None:
        """A word of the duties, to a member by name; lost where nobody knows the name."""
        if (member := self.view.members.get(to)) is not None and self.sock is not None:
            self._put(octets, member.latest.address)

    def _write(self, message: Message) -> None:
        octets = self.codec.encode(self.view.me, message)
        self._put(octets, message.address)

    def _put(self, octets: bytes, address: Address) -> None:
        assert self.sock is not None
        try:
            self.sock.sendto(octets, address)
            self.sent += 1
            self.octets_out += len(octets)
        except (
            OSError,
            OverflowError,
        ) as fault:  # full, unreachable, or no address: lost, as any datagram may be
            self.dropped[f"not sent: {type(fault).__name__}"] += 1

    async def _exchange(self, address: Address) -> None:
        """Whole views, with whoever is at an address."""
        with trio.move_on_after(STREAM_WITHIN), suppress(OSError, trio.BrokenResourceError, MessageError):
            own = self.place.listen[0]
            bound = None if ip_address(own).is_unspecified else own
            stream = await trio.open_tcp_stream(*address, local_address=bound)
            async with stream:
                await stream.send_all(write_full_state(self.codec, self.view.whole()))
                await self._hear_whole(stream)

    # In.

    async def _read(self) -> None:
        assert self.sock is not None
        turn = 0
        while True:
            try:
                octets, _ = self.sock.recvfrom(MAX_DATAGRAM + 1)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.sock)
                continue
            except OSError:  # what a peer's machine answered to one of ours
                await trio.lowlevel.checkpoint()
                continue
            self._take(octets)
            turn += 1
            if turn % TURN == 0:
                await trio.lowlevel.checkpoint()

    def _take(self, octets: bytes) -> None:
        now = self.now()
        try:
            opened = self.codec.open(octets, now)
            if not self._within_pace(now):
                raise MessageError("too many")
            if self.duties is not None and opened[:1] == DUTIES:
                self.duties.taken(opened)
                self.taken += 1
                return
            if self.figures is not None and opened[:1] == FIGURES:
                self._figures(opened)
                return
            received = self.codec.read(opened)
        except MessageError as reason:
            self.dropped[str(reason)] += 1
            return
        self.taken += 1
        self.view.heard(
            received.sender,
            received.kind,
            received.sequence,
            received.to,
            received.target,
            received.updates,
            now,
        )
        self._carry_out()

    def _figures(self, opened: bytes) -> None:
        """Figures of nodes: taken of members that this front sees, whatever their start."""
        sender, rows = self.figure_codec.taken(opened)
        if sender not in self.view.members or self.view.displaced:
            raise MessageError("no member")
        self.taken += 1
        if self.figures is not None:
            self.figures(rows)

    def present(self) -> list[str]:
        """Who is there, this front among them; itself alone where another process has its name."""
        return [self.view.me.name] if self.view.displaced else self.view.present()

    def tell_figures(self, to: str, rows: list[Row]) -> None:
        """Figures of nodes, to a member by name."""
        if not self.view.displaced and not self.view.left:
            self._say(to, self.figure_codec.rows(self.view.me.name, self.view.me.generation, rows))

    def _within_pace(self, now: int) -> bool:
        """Guards the front's turns against a peer that floods: covers one that holds the key and is broken."""
        if now // SECOND != self.second:
            self.second, self.in_second = now // SECOND, 0
        self.in_second += 1
        return self.in_second <= MOST_A_SECOND

    async def _serve(self, stream: trio.SocketStream) -> None:
        """An exchange that another has begun."""
        try:
            self.streams.acquire_nowait()
        except trio.WouldBlock:
            self.dropped["too many exchanges"] += 1
            await trio.aclose_forcefully(stream)
            return
        try:
            with trio.move_on_after(STREAM_WITHIN) as scope, suppress(OSError, trio.BrokenResourceError):
                first = await self._first(stream)
                # Nobody is told anything who has not shown that he holds the key.
                if (
                    first is not None
                    and self.duties is not None
                    and first[2 + SEAL_LENGTH : 3 + SEAL_LENGTH] == DUTIES
                ):
                    scope.deadline += TEXT_WITHIN
                    await self._hand_out(stream, first)
                elif first is not None and await self._hear_whole(stream, first):
                    await stream.send_all(write_full_state(self.codec, self.view.whole()))
        finally:
            self.streams.release()
            await trio.aclose_forcefully(stream)

    @staticmethod
    async def _first(stream: trio.SocketStream) -> bytes | None:
        """A stream's octets up to where its first message shows its form."""
        octets = bytearray()
        while len(octets) < 3 + SEAL_LENGTH:
            more = await stream.receive_some(MAX_PART)
            if not more:
                return None
            octets += more
        return bytes(octets)

    async def _hand_out(self, stream: trio.SocketStream, first: bytes) -> None:
        """A text that another front asks for by its digest."""
        assert self.duties is not None
        codec, text = self.duties.codec, None
        try:
            length = 2 + int.from_bytes(first[:2], "big")
            while len(first) < length <= MAX_DATAGRAM:
                first += await stream.receive_some(MAX_DATAGRAM) or bytes(length)
            text = self.duties.texts(codec.asked_for(self.codec.open(first[2:length], self.now())))
        except MessageError as reason:
            self.dropped[str(reason)] += 1
            return
        for part in codec.chunks(*self.duties.me, text or b""):
            await stream.send_all(part)

    async def fetch(self, name: str, digest: str) -> bytes | None:
        """A text that another front holds; None where it can't be had within `TEXT_WITHIN`."""
        member, duties, own = self.view.members.get(name), self.duties, self.place.listen[0]
        if member is None or duties is None:
            return None
        text, buffer, part = bytearray(), bytearray(), 0
        with trio.move_on_after(TEXT_WITHIN), suppress(OSError, trio.BrokenResourceError, MessageError):
            bound = None if ip_address(own).is_unspecified else own
            async with await trio.open_tcp_stream(*member.latest.address, local_address=bound) as stream:
                await stream.send_all(duties.codec.fetch(*duties.me, digest))
                while octets := await stream.receive_some(65_536):
                    buffer += octets
                    while len(buffer) >= 2 and len(buffer) >= (end := 2 + int.from_bytes(buffer[:2], "big")):
                        opened = self.ring.open(bytes(buffer[2:end]), self.now())
                        del buffer[:end]
                        word = duties.codec.chunk(opened or b"")
                        text += word.octets
                        if word.part != part or len(text) > MOST_TEXT:
                            return None
                        part += 1
                        if not word.more:
                            return bytes(text) or None
        return None

    async def _hear_whole(self, stream: trio.SocketStream, first: bytes = b"") -> bool:
        heard = FullStateReader(self.codec)
        try:
            if first:
                heard.receive_data(first, self.now())
            while not heard.done:
                octets = await stream.receive_some(16_384)
                if not octets:
                    return False
                heard.receive_data(octets, self.now())
        except MessageError as reason:
            self.dropped[str(reason)] += 1
            return False
        assert heard.sender is not None
        self.view.exchanged(heard.sender, heard.updates, self.now())
        self._carry_out()
        return True

    # Time.

    async def _time(self) -> None:
        while True:
            self.view.tick(self.now())
            self._carry_out()
            self.sooner = trio.Event()
            until = max(self.view.due, self.now() + MS)
            with trio.move_on_at(self.clock.deadline(until)):
                await self.sooner.wait()
                await trio.sleep(MS / SECOND)  # what comes together is looked at together

    async def _keys(self) -> None:
        """Reads the key file again when it has changed; one that can't be used changes nothing."""
        while True:
            await trio.sleep(KEYS_EVERY)
            age = _age(self.place.key_file)
            if age == self.key_age:
                continue
            self.key_age = age
            try:
                self.ring.change(read_keys(self.place.key_file), self.now())
                self.log.info("peer keys taken", keys=len(self.ring.keys), lingering=len(self.ring.former))
            except KeyFileError as fault:
                self.log.warning("peer keys not taken", why=str(fault))

    # What operators see.

    def status(self) -> dict[str, object]:
        """The view and its counts, as plain values."""
        view, now = self.view, self.now()
        members = [
            {
                "name": n, "standing": m.latest.state.label, "start": m.latest.generation,
                "incarnation": m.latest.incarnation, "address": f"{m.latest.host}:{m.latest.port}", "wing": m.latest.zone,
                "version": m.latest.version, "since_ms": (now - m.since) // MS,
                "heard_ms": (now - m.heard_at) // MS if m.heard_at else None,
                "by": m.latest.reported_by,
            }
            for n, m in sorted(view.members.items())
        ]  # fmt: skip
        return {
            "name": view.me.name, "start": view.me.generation, "incarnation": view.me.incarnation,
            "displaced": view.displaced, "joined": view.joined, "slow": view.health.multiplier, "members": members,
            "sent": self.sent, "taken": self.taken, "octets_out": self.octets_out,
            "keys": self.ring.fingerprints(), "dropped": dict(self.dropped), "counts": vars(view.counts),
        }  # fmt: skip


def _age(file: str) -> tuple[int, int]:
    """By what one sees that a file was written anew."""
    try:
        told = os.stat(file)
        return told.st_mtime_ns, told.st_size
    except OSError:
        return 0, 0
