"""Messages between the driver of a fleet over real sockets and its processes, each encoded as one line of JSON."""

from __future__ import annotations

import msgspec


class HostTask(msgspec.Struct, frozen=True):
    """The front ends that a process hosts, and for how long.

    It hosts `count` front ends from index `first` of a fleet of `front_ends`. `membership`: flat or zoned.
    """

    membership: str
    front_ends: int
    first: int
    count: int
    seed: int
    key_file: str
    start_seconds: float
    quiet_seconds: float


class ProcessTotals(msgspec.Struct, frozen=True):
    """Totals over the front ends of one process since their start; octets without UDP, TCP and IP headers."""

    datagrams: int
    datagram_octets: int
    stream_octets: int
    processor_seconds: float
    resident_octets: int


class HostResult(msgspec.Struct, frozen=True):
    """Totals of a process before its front ends were created, after the whole start, and at the end.

    `members`: the fewest and the most members that any front end listed at the end. `dropped`: messages dropped, by
    reason.
    """

    before: ProcessTotals
    started: ProcessTotals
    ended: ProcessTotals
    members: tuple[int, int]
    dropped: dict[str, int]
