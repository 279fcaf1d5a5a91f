"""Runs the flat membership, in which each front end lists all others, in the simulated fleet."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import msgspec

from benchmarks.capacity.fleet_flat_sizes import FlatSizes
from benchmarks.capacity.fleet_membership import ObservedState, Membership, Outgoing, StreamReply, Transition
from benchmarks.capacity.topology import Site, Topology
from oakcroft.decisions.membership.member import MemberState, MemberUpdate, commitment
from oakcroft.decisions.membership.membership import Membership as CoreMembership
from oakcroft.decisions.membership.messages import Message, MessageKind
from oakcroft.interface import SECOND
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.sealing import KeyRing

FLEET = "fleet"
KEY = bytes(32)
VERSION = "0.34.0"
MAX_STREAMS = 8  # as oakcroft.peers.streams.MAX_STREAMS
STREAM_TIMEOUT_NS = 2 * SECOND  # as oakcroft.peers.push_pull_service.PUSH_PULL_TIMEOUT_S

OBSERVED_STATES = {
    "alive": ObservedState.ALIVE,
    "suspected": ObservedState.SUSPECTED,
    "gone": ObservedState.FAILED,
    "left": ObservedState.LEFT,
}

SECRET_OCTETS = 16


def own_update(site: Site, generation: int, secret: bytes) -> MemberUpdate:
    """The first update of a process about itself."""
    host, port = site.address
    proof = commitment(secret)
    return MemberUpdate(
        site.name, generation, 0, MemberState.ALIVE, host, port, site.zone_name, VERSION, proof
    )


class FlatDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram with the sender's update about itself at the time of sending."""

    sender: MemberUpdate
    message: Message


class FlatMembershipAdapter:
    """Adapts the flat membership of one front end to the simulation."""

    def __init__(self, membership: CoreMembership, sizes: FlatSizes) -> None:
        """Wraps a membership; `sizes` is shared by all front ends."""
        self.membership = membership
        self._sizes = sizes

    @property
    def due(self) -> int:
        """The time at which `tick` must be called next."""
        return self.membership.due

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""
        self.membership.tick(now)

    def receive(self, message: object, now: int) -> None:
        """Handles a received datagram."""
        assert isinstance(message, FlatDatagram)
        self.membership.receive_message(message.message.as_received(message.sender), now)

    def answer_stream(self, message: object, now: int) -> StreamReply | None:
        """Merges the full state of another front end and replies with the full state after the merge."""
        self.receive_reply(message, now)
        own_state = self.membership.full_state()
        return StreamReply(own_state, self._sizes.full_state(own_state))

    def receive_reply(self, message: object, now: int) -> None:
        """Merges a received full state."""
        assert isinstance(message, list)
        self.membership.receive_full_state(message[0], message, now)

    def leave(self, now: int) -> None:
        """Starts an orderly stop."""
        self.membership.leave()

    def take_outgoing(self) -> Sequence[Outgoing]:
        """Returns and removes the messages to send since the last call."""
        if not self.membership.outgoing:
            return ()
        messages = self.membership.outgoing
        self.membership.outgoing = []
        return [self._outgoing(message) for message in messages]

    def _outgoing(self, message: Message) -> Outgoing:
        if message.kind is MessageKind.PUSH_PULL:
            own_state = self.membership.full_state()
            return Outgoing(message.address, own_state, self._sizes.full_state(own_state), stream=True)
        sender = self.membership.own_update
        message, octets = self._sizes.fitted(sender, message)
        return Outgoing(message.address, FlatDatagram(sender, message), octets)

    def take_transitions(self) -> Sequence[Transition]:
        """Returns and removes the changes of the list since the last call."""
        if not self.membership.changes:
            return ()
        changes = self.membership.changes
        self.membership.changes = []
        own_name = self.membership.own_update.name
        return [
            Transition(change.name, OBSERVED_STATES[change.now])
            for change in changes
            if change.name != own_name
        ]

    def is_listed(self, member: str) -> bool:
        """Whether the list holds the member as present."""
        return self.membership.state_of(member) in (MemberState.ALIVE, MemberState.SUSPECTED)

    def entry_count(self) -> int:
        """The number of entries in the list of members."""
        return len(self.membership.members)

    def state(self) -> object:
        """The whole state."""
        return self.membership


class FlatImplementation:
    """Creates flat memberships and encodes their datagrams."""

    name = "flat"
    max_streams = MAX_STREAMS
    stream_timeout_ns = STREAM_TIMEOUT_NS

    def __init__(self, topology: Topology) -> None:
        """Prepares the fleet of a topology. Its seeds are one front end of each region."""
        self._seeds = topology.seeds()
        self._sizes = FlatSizes(FLEET)
        self._codec = MembershipCodec(FLEET, KeyRing((KEY,)))

    def create(self, site: Site, generation: int, random: Random, now: int) -> FlatMembershipAdapter:
        """Creates the membership of a process that starts now."""
        secret = random.randbytes(SECRET_OCTETS)
        update = own_update(site, generation, secret)
        return FlatMembershipAdapter(CoreMembership(update, secret, random, now, self._seeds), self._sizes)

    def preload(self, memberships: Sequence[Membership], now: int) -> None:
        """Merges the updates of all into each, and drops the pending dissemination and full-state exchanges."""
        adapters = [adapter for adapter in memberships if isinstance(adapter, FlatMembershipAdapter)]
        all_updates = [adapter.membership.own_update for adapter in adapters]
        for position, adapter in enumerate(adapters):
            sender = all_updates[position - 1]
            adapter.membership.receive_full_state(sender, all_updates, now)
            adapter.membership.table.queue.pending.clear()
            adapter.membership.push_pull.queued_addresses.clear()

    def encode(self, message: object) -> bytes:
        """Encodes and seals a datagram."""
        assert isinstance(message, FlatDatagram)
        return self._codec.encode(message.sender, message.message)

    def decode(self, octets: bytes) -> FlatDatagram:
        """Opens and decodes a datagram."""
        received = self._codec.decode(octets, 0)
        message = Message(
            received.kind,
            received.sender.address,
            received.sequence,
            received.receiver,
            received.target,
            received.updates,
        )
        return FlatDatagram(received.sender, message)
