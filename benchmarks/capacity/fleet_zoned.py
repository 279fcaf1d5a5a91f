"""Runs the zoned membership in the simulated fleet: flat inside a zone, by summaries between zones."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random

import msgspec

from benchmarks.capacity.fleet_flat import (
    FLEET,
    KEY,
    SECRET_OCTETS,
    OBSERVED_STATES,
    STREAM_TIMEOUT_NS,
    MAX_STREAMS,
    own_update,
    FlatDatagram,
)
from benchmarks.capacity.fleet_flat_sizes import FlatSizes, integer_octets, string_octets
from benchmarks.capacity.fleet_membership import Membership, ObservedState, Outgoing, StreamReply, Transition
from benchmarks.capacity.topology import Address, Site, Topology
from oakcroft.decisions.membership.hierarchy import ZonedMembership
from oakcroft.decisions.membership.member import MemberUpdate
from oakcroft.decisions.membership.member_table import PRESENT_STATES, StateChange
from oakcroft.decisions.membership.messages import Message, MessageKind
from oakcroft.decisions.membership.zone_directory import RemoteState, ZoneChange
from oakcroft.decisions.membership.zone_messages import ZoneMessage, OutgoingZoneMessage
from oakcroft.decisions.membership.zone_placement import ZonePlacement, ZoneSeeds
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.peerwire.membership_codec import MembershipCodec
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.peerwire.zone_codec import ZONE_FORMAT, ZoneCodec

SEEDS_PER_ZONE = 4
"""In a whole start, all front ends of a zone contact its seeds first. With two seeds for 135 front ends, the busiest seed
sent 10.3 and received 14.6 kB/s over ten seconds (2,700 front ends, seed 1, simulated), above the budget of 8 kB/s."""
MAX_CACHED_SIZES = 100_000

REMOTE_STATES = {
    RemoteState.ALIVE.value: ObservedState.ALIVE,
    RemoteState.UNLISTED.value: ObservedState.ALIVE,
    RemoteState.SUSPECTED.value: ObservedState.SUSPECTED,
    RemoteState.FAILED.value: ObservedState.FAILED,
    RemoteState.LEFT.value: ObservedState.LEFT,
}
"""A member of another zone without a record is assumed alive, as one of those that its zone counts."""

ABSENT_REMOTE_STATES = (RemoteState.FAILED, RemoteState.LEFT, RemoteState.UNKNOWN)


class ZoneDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram between zones, with its sender."""

    sender: ZoneContact
    message: ZoneMessage


class ZoneSizes:
    """Octets of messages between zones. Each message is encoded once, also if several front ends send it."""

    def __init__(self, codec: ZoneCodec) -> None:
        """Measures the encoding of this codec."""
        self._codec = codec
        # Holds a reference to each message, so that no other object can get its id.
        self._by_identity: dict[int, tuple[ZoneMessage, int]] = {}

    def datagram(self, sender: ZoneContact, message: ZoneMessage) -> int:
        """Octets of one datagram, including its seal."""
        cached = self._by_identity.get(id(message))
        if cached is None:
            if len(self._by_identity) >= MAX_CACHED_SIZES:
                self._by_identity.clear()
            cached = (message, len(self._codec.encode(sender, message)) - _sender_octets(sender))
            self._by_identity[id(message)] = cached
        return cached[1] + _sender_octets(sender)


def _sender_octets(sender: ZoneContact) -> int:
    strings = sum(string_octets(text) for text in (sender.name, sender.zone, sender.host))
    return strings + integer_octets(sender.generation) + integer_octets(sender.port)


def own_contact(update: MemberUpdate) -> ZoneContact:
    """Returns the contact of a member as other zones know it."""
    return ZoneContact(update.name, update.generation, update.zone, update.host, update.port)


class ZonedMembershipAdapter:
    """Adapts the zoned membership of one front end to the simulation."""

    def __init__(self, membership: ZonedMembership, fleet: ZonedImplementation) -> None:
        """Wraps a membership; `fleet` is shared by all front ends."""
        self.membership = membership
        self._fleet = fleet
        update = membership.local.own_update
        self._zone = update.zone
        self._contact = own_contact(update)

    @property
    def due(self) -> int:
        """The time at which `tick` must be called next."""
        return self.membership.due

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""
        self.membership.tick(now)

    def receive(self, message: object, now: int) -> None:
        """Handles a datagram from its own zone or from another zone."""
        if isinstance(message, ZoneDatagram):
            self.membership.receive_zone_message(message.sender, message.message, now)
            return
        assert isinstance(message, FlatDatagram)
        self.membership.receive_message(message.message.as_received(message.sender), now)

    def answer_stream(self, message: object, now: int) -> StreamReply | None:
        """Merges the full state of another front end and replies with its own, if the budget for exchanges allows it."""
        if not self.membership.accepts_exchange(now):
            return None
        assert isinstance(message, list)
        self.receive_reply(message, now)
        own_state = self.membership.full_state(message)
        return StreamReply(own_state, self._fleet.flat_sizes.full_state(own_state))

    def receive_reply(self, message: object, now: int) -> None:
        """Merges a received full state."""
        assert isinstance(message, list)
        self.membership.receive_full_state(message[0], message, now)

    def leave(self, now: int) -> None:
        """Starts an orderly stop."""
        self.membership.leave(now)

    def take_outgoing(self) -> Sequence[Outgoing]:
        """Returns and removes the messages to send since the last call."""
        if not self.membership.outgoing:
            return ()
        messages = self.membership.outgoing
        self.membership.outgoing = []
        return [
            self._flat_outgoing(message) if isinstance(message, Message) else self._zone_outgoing(message)
            for message in messages
        ]

    def _zone_outgoing(self, outgoing: OutgoingZoneMessage) -> Outgoing:
        update = self.membership.local.own_update
        if update.generation != self._contact.generation:
            self._contact = own_contact(update)
        octets = self._fleet.zone_sizes.datagram(self._contact, outgoing.message)
        return Outgoing(outgoing.address, ZoneDatagram(self._contact, outgoing.message), octets)

    def _flat_outgoing(self, message: Message) -> Outgoing:
        if message.kind is MessageKind.PUSH_PULL:
            own_state = self.membership.full_state()
            return Outgoing(
                message.address, own_state, self._fleet.flat_sizes.full_state(own_state), stream=True
            )
        sender = self.membership.local.own_update
        message, octets = self._fleet.flat_sizes.fitted(sender, message)
        return Outgoing(message.address, FlatDatagram(sender, message), octets)

    def take_transitions(self) -> Sequence[Transition]:
        """Returns and removes the changes since the last call, of members of its own zone and of others."""
        if not self.membership.changes:
            return ()
        changes = self.membership.changes
        self.membership.changes = []
        transitions = list[Transition]()
        for change in changes:
            if isinstance(change, ZoneChange):
                transitions += self._remote_transitions(change)
            elif change.name != self._contact.name:
                transitions.append(self._local_transition(change))
        return transitions

    @staticmethod
    def _local_transition(change: StateChange) -> Transition:
        return Transition(change.name, OBSERVED_STATES[change.now])

    def _remote_transitions(self, change: ZoneChange) -> Iterator[Transition]:
        if change.name:
            yield Transition(change.name, REMOTE_STATES[change.now])
            return
        names = self._fleet.names_of_zone[change.zone]
        if change.now == "unreachable":
            yield from (Transition(name, ObservedState.UNREACHABLE) for name in names)
            return
        for name in names:
            if self.membership.remote_state(change.zone, name) not in ABSENT_REMOTE_STATES:
                yield Transition(name, ObservedState.ALIVE)

    def is_listed(self, member: str) -> bool:
        """Whether the member is taken to be present."""
        zone = self._fleet.zone_of_name[member]
        if zone == self._zone:
            return self.membership.state_of(member) in PRESENT_STATES
        return self.membership.remote_state(zone, member) not in ABSENT_REMOTE_STATES

    def entry_count(self) -> int:
        """The number of members of its own zone and of remembered member changes of other zones."""
        remote_entries = sum(len(record.members) for record in self.membership.directory.records.values())
        return len(self.membership.local.members) + remote_entries

    def state(self) -> object:
        """The whole state."""
        return self.membership


def seed_addresses(members: Sequence[Site]) -> tuple[Address, ...]:
    """The seed addresses of a zone with these sites."""
    return tuple(site.address for site in members[:SEEDS_PER_ZONE])


class ZonedImplementation:
    """Creates zoned memberships and encodes their datagrams."""

    name = "zoned"
    max_streams = MAX_STREAMS
    stream_timeout_ns = STREAM_TIMEOUT_NS

    def __init__(self, topology: Topology) -> None:
        """Prepares the fleet of a topology. The first front ends of each zone are its seeds."""
        ring = KeyRing((KEY,))
        self._flat_codec = MembershipCodec(FLEET, ring)
        self._zone_codec = ZoneCodec(FLEET, ring)
        self.flat_sizes = FlatSizes(FLEET)
        self.zone_sizes = ZoneSizes(self._zone_codec)
        self.zone_of_name = {site.name: site.zone_name for site in topology.sites}
        self.names_of_zone: dict[str, list[str]] = {}
        self._seeds: dict[str, ZoneSeeds] = {}
        for zone in range(len(topology.region_of_zone)):
            members = topology.zone_members(zone)
            addresses = seed_addresses(members)
            first = members[0]
            self.names_of_zone[first.zone_name] = [site.name for site in members]
            self._seeds[first.zone_name] = ZoneSeeds(first.zone_name, first.region_name, addresses)

    def create(self, site: Site, generation: int, random: Random, now: int) -> ZonedMembershipAdapter:
        """Creates the membership of a process that starts now."""
        secret = random.randbytes(SECRET_OCTETS)
        update = own_update(site, generation, secret)
        others = tuple(seeds for zone, seeds in self._seeds.items() if zone != site.zone_name)
        placement = ZonePlacement(site.region_name, self._seeds[site.zone_name].addresses, others)
        return ZonedMembershipAdapter(ZonedMembership(update, secret, random, now, placement), self)

    def preload(self, memberships: Sequence[Membership], now: int) -> None:
        """Not supported: the simulation of a whole start takes little time with this membership."""
        raise NotImplementedError("--preloaded is for the flat membership")

    def encode(self, message: object) -> bytes:
        """Encodes and seals a datagram."""
        if isinstance(message, ZoneDatagram):
            return self._zone_codec.encode(message.sender, message.message)
        assert isinstance(message, FlatDatagram)
        return self._flat_codec.encode(message.sender, message.message)

    def decode(self, octets: bytes) -> object:
        """Opens and decodes a datagram."""
        opened = self._flat_codec.open(octets, 0)
        if opened[0] == ZONE_FORMAT:
            received = self._zone_codec.read(opened)
            return ZoneDatagram(received.sender, received.message)
        return self._flat_codec.read(opened)
