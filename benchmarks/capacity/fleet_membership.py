"""What the hollow fleet asks of a membership implementation.

An implementation is a state machine without sockets, clock or threads. The simulation passes it time, datagrams and
streams, and takes from it what it would send, each message with the octets of its real encoding, and what has changed
in its list of members.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random
from typing import Protocol

import msgspec

from benchmarks.capacity.topology import Address, Site


class ObservedState(Enum):
    """How one member stands in the list of another."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    UNREACHABLE = "unreachable"  # with its whole zone: nothing is said of it


class Outgoing(msgspec.Struct, frozen=True, gc=False):
    """A message to be sent. `octets`: as encoded, seal included, without headers of UDP, TCP and IP."""

    address: Address
    message: object
    octets: int
    stream: bool = False  # a request on a connection of its own, which the other end answers


class Transition(msgspec.Struct, frozen=True, gc=False):
    """A change in a list of members: this member stands so from now on."""

    member: str
    state: ObservedState


class StreamReply(msgspec.Struct, frozen=True, gc=False):
    """The answer on a stream."""

    message: object
    octets: int


class Membership(Protocol):
    """One front end's membership."""

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""

    def tick(self, now: int) -> None:
        """Does what is due."""

    def receive(self, message: object, now: int) -> None:
        """A datagram has come."""

    def answer_stream(self, message: object, now: int) -> StreamReply | None:
        """A stream has been opened with this request; None closes it."""

    def receive_reply(self, message: object, now: int) -> None:
        """The answer to this front end's own stream has come."""

    def leave(self, now: int) -> None:
        """The front end stops in order."""

    def take_outgoing(self) -> Sequence[Outgoing]:
        """What is to be sent since the last call."""

    def take_transitions(self) -> Sequence[Transition]:
        """What has changed since the last call."""

    def is_listed(self, member: str) -> bool:
        """Whether a member is taken to be there."""

    def entry_count(self) -> int:
        """Entries in its list of members."""

    def state(self) -> object:
        """All that it holds, without what the simulation shares among all; it can be pickled."""


class Implementation(Protocol):
    """Makes memberships and knows their encoding."""

    name: str
    max_streams: int
    """Streams of others that one front end serves at a time; further ones are closed."""

    stream_timeout_ns: int
    """Nanoseconds after which a stream is given up."""

    def create(self, site: Site, generation: int, random: Random, now: int) -> Membership:
        """The membership of one process that starts now."""

    def preload(self, memberships: Sequence[Membership], now: int) -> None:
        """Makes all of them list each other with nothing left to disseminate, as long after a quiet start."""

    def encode(self, message: object) -> bytes:
        """A datagram as it would go on the wire."""

    def decode(self, octets: bytes) -> object:
        """A datagram as it was sent."""
