"""The flat membership, in which each front end lists all others, as the hollow fleet runs it."""

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
MAX_STREAMS = 8  # peers/speaker.py, MOST_STREAMS
STREAM_TIMEOUT_NS = 2 * SECOND  # peers/speaker.py

OBSERVED_STATES = {
    "alive": ObservedState.ALIVE,
    "suspected": ObservedState.SUSPECTED,
    "gone": ObservedState.FAILED,
    "left": ObservedState.LEFT,
}


SECRET_OCTETS = 16


def own_update(site: Site, generation: int, secret: bytes) -> MemberUpdate:
    """What a process says of itself when it starts at a site."""
    host, port = site.address
    proof = commitment(secret)
    return MemberUpdate(
        site.name, generation, 0, MemberState.ALIVE, host, port, site.zone_name, VERSION, proof
    )


class FlatDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram with the sender's own word at the time of sending."""

    sender: MemberUpdate
    message: Message


class FlatMembershipAdapter:
    """One front end's flat membership."""

    def __init__(self, view: CoreMembership, sizes: FlatSizes) -> None:
        """A view, and the sizes that all front ends share."""
        self.view = view
        self._sizes = sizes

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""
        return self.view.due

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.view.tick(now)

    def receive(self, message: object, now: int) -> None:
        """A datagram has come."""
        assert isinstance(message, FlatDatagram)
        out = message.message
        self.view.receive_message(
            message.sender, out.kind, out.sequence, out.to, out.target, out.updates, now
        )

    def answer_stream(self, message: object, now: int) -> StreamReply | None:
        """Another's whole list has come: this one's goes back, as it is after taking that in."""
        self.receive_reply(message, now)
        mine = self.view.full_state()
        return StreamReply(mine, self._sizes.full_state(mine))

    def receive_reply(self, message: object, now: int) -> None:
        """A whole list has come."""
        assert isinstance(message, list)
        self.view.receive_full_state(message[0], message, now)

    def leave(self, now: int) -> None:
        """Says that this front end leaves."""
        self.view.leave()

    def take_outgoing(self) -> Sequence[Outgoing]:
        """What is to be sent since the last call."""
        if not self.view.out:
            return ()
        messages, self.view.out = self.view.out, []
        return [self._outgoing(message) for message in messages]

    def _outgoing(self, message: Message) -> Outgoing:
        if message.kind is MessageKind.PUSH_PULL:
            mine = self.view.full_state()
            return Outgoing(message.address, mine, self._sizes.full_state(mine), True)
        me = self.view.me
        message, octets = self._sizes.fitted(me, message)
        return Outgoing(message.address, FlatDatagram(me, message), octets)

    def take_transitions(self) -> Sequence[Transition]:
        """What has changed since the last call."""
        if not self.view.changes:
            return ()
        changes, self.view.changes = self.view.changes, []
        me = self.view.me.name
        return [Transition(c.name, OBSERVED_STATES[c.now]) for c in changes if c.name != me]

    def is_listed(self, member: str) -> bool:
        """Whether a member is taken to be there."""
        return self.view.state_of(member) in (MemberState.ALIVE, MemberState.SUSPECTED)

    def entry_count(self) -> int:
        """Entries in its list of members."""
        return len(self.view.members)

    def state(self) -> object:
        """All that it holds."""
        return self.view


class FlatImplementation:
    """Makes flat memberships and knows their encoding."""

    name = "flat"
    max_streams = MAX_STREAMS
    stream_timeout_ns = STREAM_TIMEOUT_NS

    def __init__(self, topology: Topology) -> None:
        """For the fleet of a topology, whose seeds are one front end of each region."""
        self._seeds = topology.seeds()
        self._sizes = FlatSizes(FLEET)
        self._codec = MembershipCodec(FLEET, KeyRing((KEY,)))

    def create(self, site: Site, generation: int, random: Random, now: int) -> FlatMembershipAdapter:
        """The membership of one process that starts now."""
        secret = random.randbytes(SECRET_OCTETS)
        me = own_update(site, generation, secret)
        return FlatMembershipAdapter(CoreMembership(me, secret, random, now, self._seeds), self._sizes)

    def preload(self, memberships: Sequence[Membership], now: int) -> None:
        """Each takes the word of all in, and forgets that it would pass it on."""
        flat = [membership for membership in memberships if isinstance(membership, FlatMembershipAdapter)]
        everybody = [membership.view.me for membership in flat]
        for position, membership in enumerate(flat):
            other = everybody[position - 1]
            membership.view.receive_full_state(other, everybody, now)
            membership.view.table.queue.pending.clear()
            membership.view.push_pull.wanted.clear()

    def encode(self, message: object) -> bytes:
        """A datagram as it would go on the wire."""
        assert isinstance(message, FlatDatagram)
        out = message.message
        return self._codec.encode(message.sender, out)

    def decode(self, octets: bytes) -> FlatDatagram:
        """A datagram as it was sent."""
        got = self._codec.decode(octets, 0)
        message = Message(got.kind, got.sender.address, got.sequence, got.to, got.target, got.updates)
        return FlatDatagram(got.sender, message)
