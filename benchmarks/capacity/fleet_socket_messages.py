"""What the driver of a fleet over real sockets and its processes tell each other, one JSON line each."""

from __future__ import annotations

import msgspec


class HostTask(msgspec.Struct, frozen=True):
    """Which front ends a process hosts: `count` from `first` of a fleet of `front_ends`, with a flat membership or one of
    zones; and for how long."""

    membership: str
    front_ends: int
    first: int
    count: int
    seed: int
    key_file: str
    start_seconds: float
    quiet_seconds: float


class Reading(msgspec.Struct, frozen=True):
    """Totals of one process's front ends since their start; octets without headers of UDP, TCP and IP."""

    datagrams: int
    datagram_octets: int
    stream_octets: int
    processor_seconds: float
    resident_octets: int


class HostResult(msgspec.Struct, frozen=True):
    """What a process measured: before its front ends were there, after the whole start, and at the end. `members`: the
    fewest and the most that any of them listed at the end; `dropped`: messages that were not taken, by reason."""

    before: Reading
    started: Reading
    ended: Reading
    members: tuple[int, int]
    dropped: dict[str, int]
