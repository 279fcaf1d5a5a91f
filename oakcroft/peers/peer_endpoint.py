"""Endpoint of one front for its peers: a UDP socket, a TCP listener, and the membership that uses them.

Nothing here blocks on a peer or delays the front's answers to viewers: datagrams are sent without waiting, reading
yields after every few, and traffic beyond what a whole fleet sends is dropped and counted. All decisions are made in
`oakcroft.decisions.membership`; this module does the I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import structlog
import trio

from oakcroft.config.settings import PeerSettings
from oakcroft.decisions.fleet.load_sharing import LoadReport
from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import Message, MessageKind
from oakcroft.decisions.membership.zone_messages import OutgoingZoneMessage
from oakcroft.interface import MS, SECOND
from oakcroft.peers.change_log import log_changes
from oakcroft.peers.datagrams import DatagramSocket, RateLimit
from oakcroft.peers.lease_acceptor import NamedValueStore
from oakcroft.peers.leases import LeaseHost
from oakcroft.peers.generations import store_generation
from oakcroft.peers.key_file import KeyFile
from oakcroft.peers.membership_start import begin_membership, leave_in_order, own_zone_membership
from oakcroft.peers.push_pull_service import PUSH_PULL_TIMEOUT_S, PushPullService
from oakcroft.peers.status import membership_status
from oakcroft.peers.streams import StreamServer
from oakcroft.peers.text_transfer import TEXT_TIMEOUT_S, TextTransfer
from oakcroft.peers.zone_service import ZoneService
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import LEASE_FORMAT
from oakcroft.peerwire.load_codec import LOAD_FORMAT, LoadCodec
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.zone_codec import ZONE_FORMAT, ZoneCodec
from oakcroft.running.clock import Clock

RESTART_DELAY_S = 1.0
"""Delay before this part of the program is restarted after an unexpected exception."""

LEAVE_REPEATS = 3
"""Times that the last update is sent, in case datagrams are lost."""

LEAVE_REPEAT_INTERVAL_S = 0.05
LISTEN_BACKLOG = 64

MAX_ERROR_LENGTH = 300
"""Characters of an exception's text that are logged."""


class PeerEndpoint:
    """One front's part in the fleet's membership. `on_change` is called after each membership change."""

    def __init__(
        self,
        settings: PeerSettings,
        zone: str,
        seed: int,
        clock: Clock,
        log: structlog.typing.FilteringBoundLogger,
        on_change: Callable[[Membership], None] = lambda _: None,
        store: NamedValueStore | None = None,
    ) -> None:
        """Opens no sockets yet. Raises KeyFileError if the key file cannot be used; `store` is the state file."""
        self.settings = settings
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.dropped: Counter[str] = Counter()
        self.received = 0
        self.rate_limit = RateLimit()
        self.key_file = KeyFile(settings.key_file, self.now, log)
        self.codec = MembershipCodec(settings.fleet_name, self.key_file.ring)
        self.load_codec = LoadCodec(settings.fleet_name, self.key_file.ring)
        # Receives other fronts' reports of node loads; None drops them.
        self.on_loads: Callable[[list[LoadReport]], None] | None = None
        self.hosted = begin_membership(settings, zone, seed, self.now(), log)
        self.membership = own_zone_membership(self.hosted)
        self.zones = self._make_zone_service()
        self.stored_generation = self.membership.own_update.generation
        self.datagrams = DatagramSocket(settings.listen, self.dropped)
        self.push_pulls = PushPullService(
            self.codec, self.hosted, settings.listen[0], self.now, self.dropped, self._process_output
        )
        self.streams = StreamServer(self.push_pulls.answer, PUSH_PULL_TIMEOUT_S, self.dropped)
        self.leases: LeaseHost | None = None
        self.text_transfer: TextTransfer | None = None
        if settings.lease_acceptors:
            self._add_leases(store, seed + 1)
        self.has_started = False
        self.timers_changed = trio.Event()

    def _make_zone_service(self) -> ZoneService | None:
        if not isinstance(self.hosted, ZonedMembership):
            return None
        zone_codec = ZoneCodec(self.settings.fleet_name, self.key_file.ring)
        return ZoneService(self.hosted, self.settings.region, zone_codec)

    def _add_leases(self, store: NamedValueStore | None, seed: int) -> None:
        """Adds the fleet's leases, and the transfer of the texts that a lease holder's orders name."""
        ring = self.key_file.ring
        self.leases = LeaseHost(
            self.settings, ring, self.membership, store, seed, self._send_to_member, self.log
        )
        own_host = self.settings.listen[0]
        self.text_transfer = TextTransfer(self.codec, self.leases, own_host, self.now, self.dropped)
        self.streams.register(LEASE_FORMAT, self.text_transfer.answer, TEXT_TIMEOUT_S)

    def now(self) -> int:
        """Returns the time of the front's clock in ns, which steps of the wall clock do not change."""
        return self.clock.now()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled. Raises OSError if the address cannot be bound at the start.

        A later exception does not stop the front: it keeps serving viewers, and this part is restarted after
        `RESTART_DELAY_S`.
        """
        while True:
            try:
                await self._run_once(task_status)
            except Exception as error:
                if not self.has_started:
                    raise
                self.log.error("peers failed", error=repr(error)[:MAX_ERROR_LENGTH], exc_info=error)
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(RESTART_DELAY_S)

    async def _run_once(self, task_status: trio.TaskStatus[None]) -> None:
        host, port = self.settings.listen
        with self.datagrams.opened():
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
            self._log_start()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.datagrams.read, self._receive)
                nursery.start_soon(self._run_timers)
                nursery.start_soon(self.key_file.watch)
                nursery.start_soon(trio.serve_listeners, self.streams.serve, listeners)
                if self.leases is not None:
                    nursery.start_soon(self.leases.run)
                self.has_started = True
                task_status.started()

    def _log_start(self) -> None:
        own_update = self.membership.own_update
        seeds = len(self.membership.seeds)
        self.log.info(
            "peers",
            name=own_update.name,
            start=own_update.generation,
            address=f"{own_update.host}:{own_update.port}",
            seeds=seeds,
        )

    async def leave(self) -> None:
        """Announces that this front leaves. Call it once no requests are admitted: others take over its rate shares."""
        if self.leases is not None:
            self.leases.leave()
        leave_in_order(self.hosted, self.now())
        last_messages = self._take_messages()
        for _ in range(LEAVE_REPEATS):
            for message in last_messages:
                self._send(message)
            await trio.sleep(LEAVE_REPEAT_INTERVAL_S)

    # Sending.

    def _take_messages(self) -> list[Message | OutgoingZoneMessage]:
        messages: list[Message | OutgoingZoneMessage] = [*self.hosted.outgoing]
        self.hosted.outgoing = []
        return messages

    def _process_output(self) -> None:
        """Sends the membership's messages and reports its changes. Called after each call to the membership."""
        while self.hosted.outgoing:
            for message in self._take_messages():
                self._send(message)
        if self.hosted.changes:
            self._report_changes()
        self.timers_changed.set()

    def _report_changes(self) -> None:
        membership = self.membership
        log_changes(self.hosted.changes, len(membership.present()), self.log)
        self.hosted.changes = []
        if membership.own_update.generation != self.stored_generation:
            self.stored_generation = membership.own_update.generation
            if error := store_generation(self.settings.start_count_file, self.stored_generation):
                self.log.warning("start not kept", file=self.settings.start_count_file, why=error)
        self.on_change(membership)

    def _send(self, message: Message | OutgoingZoneMessage) -> None:
        if isinstance(message, OutgoingZoneMessage):
            self._send_between_zones(message)
        elif message.kind is MessageKind.PUSH_PULL:
            self.nursery.start_soon(self.push_pulls.begin, message.address)
        else:
            self.datagrams.send(self.codec.encode(self.membership.own_update, message), message.address)

    def _send_between_zones(self, message: OutgoingZoneMessage) -> None:
        assert self.zones is not None
        try:
            octets = self.zones.encode(message)
        except MessageError as error:
            self.dropped[f"not sent: {error}"] += 1
            return
        self.datagrams.send(octets, message.address)

    def _send_to_member(self, name: str, octets: bytes) -> None:
        """Sends octets to a member by name; drops them if there is no such member."""
        member = self.membership.members.get(name)
        if member is not None:
            self.datagrams.send(octets, member.latest.address)

    def send_loads(self, peer: str, reports: list[LoadReport]) -> None:
        """Sends node loads to a member by name."""
        membership = self.membership
        if not membership.displaced and not membership.left:
            own_update = membership.own_update
            self._send_to_member(
                peer, self.load_codec.encode(own_update.name, own_update.generation, reports)
            )

    # Receiving.

    def _receive(self, octets: bytes) -> None:
        now = self.now()
        try:
            opened = self.codec.open(octets, now)
            if not self.rate_limit.allows(now):
                raise MessageError("too many")
            self._dispatch(opened, now)
        except MessageError as error:
            self.dropped[str(error)] += 1
            return

    def _dispatch(self, opened: bytes, now: int) -> None:
        """Passes an authenticated datagram to the handler of its format. Raises MessageError if it is invalid."""
        wire_format = opened[0] if opened else None
        if self.leases is not None and wire_format == LEASE_FORMAT:
            self.leases.receive(opened)
            self.received += 1
        elif self.zones is not None and wire_format == ZONE_FORMAT:
            self.zones.receive(opened, now)
            self.received += 1
            self._process_output()
        elif self.on_loads is not None and wire_format == LOAD_FORMAT:
            self.on_loads(self._read_loads(opened))
        else:
            self._receive_membership(opened, now)

    def _receive_membership(self, opened: bytes, now: int) -> None:
        message = self.codec.read(opened)
        self.received += 1
        self.hosted.receive_message(message, now)
        self._process_output()

    def _read_loads(self, opened: bytes) -> list[LoadReport]:
        """Decodes node loads; they are accepted from any known member, whatever its generation."""
        sender, rows = self.load_codec.decode(opened)
        if sender not in self.membership.members or self.membership.displaced:
            raise MessageError("no member")
        self.received += 1
        return rows

    def present(self) -> list[str]:
        """Returns the present members including this front; only this front if another process displaced it."""
        membership = self.membership
        return [membership.own_update.name] if membership.displaced else membership.present()

    async def fetch(self, name: str, digest: str) -> bytes | None:
        """Fetches a text from another front by digest; None if that fails."""
        member = self.membership.members.get(name)
        if member is None or self.text_transfer is None:
            return None
        return await self.text_transfer.fetch(member.latest.address, digest)

    # Time.

    async def _run_timers(self) -> None:
        while True:
            self.hosted.tick(self.now())
            self._process_output()
            self.timers_changed = trio.Event()
            deadline = max(self.hosted.due, self.now() + MS)
            with trio.move_on_at(self.clock.trio_time(deadline)):
                await self.timers_changed.wait()
                await trio.sleep(MS / SECOND)  # handles messages that arrive together in one pass

    # Status.

    def status(self) -> dict[str, object]:
        """Returns the membership and its counters as plain values, for operators; the keys do not change."""
        now = self.now()
        return {
            **membership_status(self.membership, now),
            **(self.zones.status(now) if self.zones is not None else {}),
            "sent": self.datagrams.sent,
            "taken": self.received,
            "octets_out": self.datagrams.octets_sent,
            "keys": self.key_file.ring.fingerprints(),
            "dropped": dict(self.dropped),
            "counts": vars(self.membership.counts),
        }
