"""RTP (RFC 3550) as the stand-ins send it: small packets, true in timing and sequence, on one media clock."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

from oakcroft.interface import MS
from oakcroft.signalling.sdp import Description

PACKET_INTERVAL_NS = 40 * MS
"""Between two packets: all nodes send the same media at the same tick, as copies of one lesson do."""

CLOCK_RATE_HZ = 90_000
HEADER = struct.Struct("!BBHII")
PAYLOAD = struct.Struct("!QB")
VIDEO_PAYLOAD_TYPE = 96


def media_tick(now: int) -> int:
    """The media tick at a time, ns."""
    return now // PACKET_INTERVAL_NS


def ssrc(session: str) -> int:
    """The source of a session's packets, by its name."""
    return int.from_bytes(hashlib.blake2b(session.encode(), digest_size=4).digest(), "big")


def encode_packet(sequence: int, tick_: int, source: int, sent: int, rung: int) -> bytes:
    """One packet; its payload is the sender's time and the rung."""
    timestamp = tick_ * CLOCK_RATE_HZ * PACKET_INTERVAL_NS // 1_000_000_000 & 0xFFFFFFFF
    return HEADER.pack(0x80, VIDEO_PAYLOAD_TYPE, sequence & 0xFFFF, timestamp, source) + PAYLOAD.pack(
        sent, rung
    )


@dataclass(frozen=True)
class Packet:
    """A packet as received."""

    sequence: int
    timestamp: int
    source: int
    sent_at: int
    rung: int


VERSION_2 = 0x80
"""The first octet of a packet without padding, extension or contributing sources (RFC 3550, section 5.1)."""

CANDIDATE_PARTS = 8
"""Of a candidate attribute up to its type (RFC 8839, section 5.1)."""


def parse_packet(data: bytes) -> Packet | None:
    """Reads a packet; None for what is none of ours."""
    if (
        len(data) != HEADER.size + PAYLOAD.size
        or data[0] != VERSION_2
        or data[1] & 0x7F != VIDEO_PAYLOAD_TYPE
    ):
        return None
    _, _, sequence, timestamp, source = HEADER.unpack_from(data)
    sent, rung = PAYLOAD.unpack_from(data, HEADER.size)
    return Packet(sequence, timestamp, source, sent, rung)


def media_address(offer: Description) -> tuple[str, int] | None:
    """Where an offer's host candidate (RFC 8839 5.1) says that media is received; None without one."""
    for media in offer.media:
        for name, value in media.attributes:
            parts = value.split(" ")
            if (
                name == "candidate"
                and len(parts) >= CANDIDATE_PARTS
                and parts[7] == "host"
                and parts[5].isdigit()
            ):
                return parts[4], int(parts[5])
    return None


class PlayoutTracker:
    """What a player has played, from packets alone: overlap of two copies played once, the longest gap kept.

    A packet plays when its timestamp is later than all that played. A gap is the time between the arrivals of two
    packets that play.
    """

    def __init__(self) -> None:
        """Nothing has played yet."""
        self.last_timestamp, self.last_played_at = -1, 0
        self.played_count = self.duplicate_count = 0
        self.longest_gap_ns = 0
        self.sources: set[int] = set()

    def receive(self, p: Packet, now: int) -> bool:
        """A packet arrived; whether it played."""
        self.sources.add(p.source)
        ahead = (p.timestamp - self.last_timestamp) & 0xFFFFFFFF
        if self.last_timestamp >= 0 and (ahead == 0 or ahead > 1 << 31):
            self.duplicate_count += 1
            return False
        if self.last_played_at:
            self.longest_gap_ns = max(self.longest_gap_ns, now - self.last_played_at)
        self.last_timestamp, self.last_played_at = p.timestamp, now
        self.played_count += 1
        return True
