"""RTP (RFC 3550) of the emulated nodes: small packets with real timing and sequence numbers, on one media clock."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND
from oakcroft.signalling.sdp import Description

PACKET_INTERVAL_NS = 40 * MS
"""Time between two packets; all nodes send the same media at the same tick, as they have copies of the same title."""

CLOCK_RATE_HZ = 90_000
VIDEO_PAYLOAD_TYPE = 96

HEADER = struct.Struct("!BBHII")
PAYLOAD = struct.Struct("!QB")
"""Send time in ns, and rung."""

VERSION_2 = 0x80
"""First byte of a packet without padding, extension or contributing sources (RFC 3550, section 5.1)."""

PAYLOAD_TYPE_MASK = 0x7F
SEQUENCE_MASK = 0xFFFF
TIMESTAMP_MASK = 0xFFFFFFFF

HALF_TIMESTAMP_RANGE = 1 << 31
"""A timestamp that is ahead by more than this is an earlier one, as timestamps wrap around."""

CANDIDATE_PARTS = 8
"""Parts of a candidate attribute up to its type (RFC 8839, section 5.1)."""


def media_tick(now: int) -> int:
    """Returns the media tick at a time in ns."""
    return now // PACKET_INTERVAL_NS


def ssrc(session: str) -> int:
    """Returns the synchronization source of a session, derived from its name."""
    return int.from_bytes(hashlib.blake2b(session.encode(), digest_size=4).digest(), "big")


def encode_packet(sequence: int, tick: int, source: int, sent_at: int, rung: int) -> bytes:
    """Returns one packet, whose payload is its send time and the rung."""
    timestamp = tick * CLOCK_RATE_HZ * PACKET_INTERVAL_NS // SECOND & TIMESTAMP_MASK
    header = HEADER.pack(VERSION_2, VIDEO_PAYLOAD_TYPE, sequence & SEQUENCE_MASK, timestamp, source)
    return header + PAYLOAD.pack(sent_at, rung)


@dataclass(frozen=True)
class Packet:
    """A received packet."""

    sequence: int
    timestamp: int
    source: int
    sent_at: int
    rung: int


def parse_packet(data: bytes) -> Packet | None:
    """Returns the packet in a datagram, or None if it is not one of an emulated node."""
    if len(data) != HEADER.size + PAYLOAD.size:
        return None
    if data[0] != VERSION_2 or data[1] & PAYLOAD_TYPE_MASK != VIDEO_PAYLOAD_TYPE:
        return None
    _, _, sequence, timestamp, source = HEADER.unpack_from(data)
    sent_at, rung = PAYLOAD.unpack_from(data, HEADER.size)
    return Packet(sequence, timestamp, source, sent_at, rung)


def media_address(offer: Description) -> tuple[str, int] | None:
    """Returns the address of an offer's host candidate (RFC 8839, section 5.1), to which media is sent, if any."""
    for media in offer.media:
        for name, value in media.attributes:
            parts = value.split(" ")
            if name != "candidate" or len(parts) < CANDIDATE_PARTS:
                continue
            host, port, _, kind = parts[4:CANDIDATE_PARTS]
            if kind == "host" and port.isdigit():
                return host, int(port)
    return None


class PlayoutTracker:
    """Tracks what a player has played, by the packets alone: media that two nodes send plays once.

    A packet plays if its timestamp is later than all that have played. A gap is the time between the arrivals of two
    consecutive packets that play.
    """

    def __init__(self) -> None:
        """Starts with nothing played."""
        self.last_timestamp = -1
        self.last_played_at = 0
        self.played_count = 0
        self.duplicate_count = 0
        self.longest_gap_ns = 0
        self.sources: set[int] = set()

    def receive(self, packet: Packet, now: int) -> bool:
        """Processes a packet that arrives now, and returns whether it plays."""
        self.sources.add(packet.source)
        ahead = (packet.timestamp - self.last_timestamp) & TIMESTAMP_MASK
        if self.last_timestamp >= 0 and (ahead == 0 or ahead > HALF_TIMESTAMP_RANGE):
            self.duplicate_count += 1
            return False
        if self.last_played_at:
            self.longest_gap_ns = max(self.longest_gap_ns, now - self.last_played_at)
        self.last_timestamp = packet.timestamp
        self.last_played_at = now
        self.played_count += 1
        return True
