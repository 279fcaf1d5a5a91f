"""The interface between the simulated fleet and a membership implementation.

A membership is a state machine without sockets, clock or threads. The simulation passes it the time, datagrams and
streams. It takes from it the outgoing messages, each with the octets of its real encoding, and the changes in its list
of members.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random
from typing import Protocol

import msgspec

from benchmarks.capacity.topology import Address, Site


class ObservedState(Enum):
    """The state of one member in the list of another."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    UNREACHABLE = "unreachable"  # its whole zone is; whether the member runs is unknown


class Outgoing(msgspec.Struct, frozen=True, gc=False):
    """A message to send. `octets`: its encoded size with the seal, without UDP, TCP and IP headers."""

    address: Address
    message: object
    octets: int
    stream: bool = False  # a request on a TCP connection of its own, which the receiver answers


class Transition(msgspec.Struct, frozen=True, gc=False):
    """A change in a list of members: the new state of one member."""

    member: str
    state: ObservedState


class StreamReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to a request on a stream."""

    message: object
    octets: int


class Membership(Protocol):
    """The membership of one process of a front end."""

    @property
    def due(self) -> int:
        """The time at which `tick` must be called next."""

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""

    def receive(self, message: object, now: int) -> None:
        """Handles a received datagram."""

    def answer_stream(self, message: object, now: int) -> StreamReply | None:
        """Answers the request on a stream that another front end opened; None closes the stream."""

    def receive_reply(self, message: object, now: int) -> None:
        """Handles the reply on a stream that this front end opened."""

    def leave(self, now: int) -> None:
        """Starts an orderly stop."""

    def take_outgoing(self) -> Sequence[Outgoing]:
        """Returns and removes the messages to send since the last call."""

    def take_transitions(self) -> Sequence[Transition]:
        """Returns and removes the changes of the list since the last call."""

    def is_listed(self, member: str) -> bool:
        """Whether the list holds the member as present."""

    def entry_count(self) -> int:
        """The number of entries in the list of members."""

    def state(self) -> object:
        """The whole state without the objects that the simulation shares among all; it can be pickled."""


class Implementation(Protocol):
    """Creates memberships and encodes their datagrams."""

    name: str
    max_streams: int
    """Streams of other front ends that one front end serves at a time; further ones are closed."""

    stream_timeout_ns: int
    """Nanoseconds after which a stream times out."""

    def create(self, site: Site, generation: int, random: Random, now: int) -> Membership:
        """Creates the membership of a process that starts now."""

    def preload(self, memberships: Sequence[Membership], now: int) -> None:
        """Makes all of them list each other, with no updates left to disseminate, as in a fleet that runs for long."""

    def encode(self, message: object) -> bytes:
        """Encodes and seals a datagram."""

    def decode(self, octets: bytes) -> object:
        """Opens and decodes a datagram."""
