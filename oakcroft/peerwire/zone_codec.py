"""Codec of messages between zones: sealed MessagePack, one datagram each.

message = seal:16 format:1 body       body: an array [fleet, sender, kind, payload]
sender = [name, generation, zone, host, port]

The payload is an array whose fields depend on the kind. The format byte differs from that of flat membership messages,
so a program without zones drops these messages as `other form`. This module checks that messages are well formed and
that hosts are IP addresses, which need no name resolution; `oakcroft.decisions.membership` checks whether they are
plausible.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    ZoneRecords,
    ZoneRequest,
)
from oakcroft.decisions.membership.zone_summary import (
    DigestEntry,
    MemberChange,
    StateCounts,
    ZoneContact,
    ZoneSummary,
)
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES, is_numeric_host
from oakcroft.peerwire.sealing import KeyRing
from oakcroft.peerwire.zone_wire import (
    KINDS,
    WireBody,
    WireChange,
    WireDelegate,
    WireDigest,
    WireEntry,
    WireLookupAnswer,
    WireLookupRequest,
    WireMember,
    WireRecords,
    WireRequest,
    WireSender,
    WireSummary,
    ZoneMessageKind,
)

ZONE_FORMAT = 69

ENCODER = msgspec.msgpack.Encoder()
BODY_DECODER = msgspec.msgpack.Decoder(WireBody)
T = TypeVar("T")


@dataclass(frozen=True)
class ReceivedZoneMessage:
    """A decoded datagram between zones."""

    sender: ZoneContact
    message: ZoneMessage


class ZoneCodec:
    """Encodes and decodes the messages between zones of one fleet."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """`fleet` is the fleet's name; `ring` has the keys to seal and open messages."""
        self.fleet = fleet
        self.ring = ring

    def encode(self, sender: ZoneContact, message: ZoneMessage) -> bytes:
        """Encodes one datagram. Raises MessageError if the message does not fit."""
        kind, payload = _to_wire(message)
        wire_sender = WireSender(sender.name, sender.generation, sender.zone, sender.host, sender.port)
        body = WireBody(self.fleet, wire_sender, kind.value, msgspec.Raw(ENCODER.encode(payload)))
        octets = self.ring.seal(bytes((ZONE_FORMAT,)) + ENCODER.encode(body))
        if len(octets) > MAX_DATAGRAM_BYTES:
            raise MessageError("too long")
        return octets

    def read(self, opened: bytes) -> ReceivedZoneMessage:
        """Decodes an opened datagram, which begins with its format byte. Raises MessageError if it is invalid."""
        if opened[:1] != bytes((ZONE_FORMAT,)):
            raise MessageError("other form")
        try:
            body = BODY_DECODER.decode(opened[1:])
            if body.fleet != self.fleet:
                raise MessageError("other fleet")
            kind = KINDS.get(body.kind)
            if kind is None:
                raise MessageError("unknown kind")
            message = READERS[kind](bytes(body.payload))
        except msgspec.MsgspecError as error:
            raise MessageError("malformed") from error
        sender = body.sender
        contact = ZoneContact(sender.name, sender.generation, sender.zone, _host(sender.host), sender.port)
        return ReceivedZoneMessage(contact, message)


def _host(host: str) -> str:
    if not is_numeric_host(host):
        raise MessageError("malformed")
    return host


# Encoding.


def _to_wire(message: ZoneMessage) -> tuple[ZoneMessageKind, msgspec.Struct]:
    if isinstance(message, ZoneDigest):
        entries = [WireEntry(e.zone, e.epoch, e.version, e.fingerprint, e.heartbeat) for e in message.entries]
        return ZoneMessageKind.DIGEST, WireDigest(entries, message.wants_answer)
    if isinstance(message, ZoneRequest):
        return ZoneMessageKind.REQUEST, WireRequest(list(message.zones))
    if isinstance(message, ZoneRecords):
        summaries = [_wire_summary(summary) for summary in message.summaries]
        return ZoneMessageKind.RECORDS, WireRecords(summaries)
    if isinstance(message, LookupRequest):
        request = WireLookupRequest(message.number, message.zone, message.name)
        return ZoneMessageKind.LOOKUP_REQUEST, request
    member = _wire_member(message.member) if message.member is not None else None
    answer = WireLookupAnswer(message.number, message.zone, message.name, member)
    return ZoneMessageKind.LOOKUP_ANSWER, answer


def _wire_summary(summary: ZoneSummary) -> WireSummary:
    counts = (summary.counts.present, summary.counts.failed, summary.counts.left)
    delegates = [WireDelegate(d.name, d.generation, d.host, d.port) for d in summary.delegates]
    changes = [WireChange(c.name, c.generation, c.incarnation, c.state) for c in summary.changes]
    return WireSummary(
        summary.zone,
        summary.region,
        summary.author,
        summary.epoch,
        summary.version,
        summary.heartbeat,
        counts,
        delegates,
        summary.member_digest,
        changes,
    )


def _wire_member(member: MemberRecord) -> WireMember:
    return WireMember(
        member.name, member.generation, member.incarnation, member.state, member.host, member.port
    )


# Decoding.


def _decoder(wire_type: type[T]) -> Callable[[bytes], T]:
    return msgspec.msgpack.Decoder(wire_type).decode


DECODE_DIGEST = _decoder(WireDigest)
DECODE_REQUEST = _decoder(WireRequest)
DECODE_RECORDS = _decoder(WireRecords)
DECODE_LOOKUP_REQUEST = _decoder(WireLookupRequest)
DECODE_LOOKUP_ANSWER = _decoder(WireLookupAnswer)


def _read_digest(payload: bytes) -> ZoneDigest:
    wire = DECODE_DIGEST(payload)
    entries = tuple(DigestEntry(e.zone, e.epoch, e.version, e.fingerprint, e.heartbeat) for e in wire.entries)
    return ZoneDigest(entries, wire.wants_answer)


def _read_request(payload: bytes) -> ZoneRequest:
    return ZoneRequest(tuple(DECODE_REQUEST(payload).zones))


def _read_records(payload: bytes) -> ZoneRecords:
    return ZoneRecords(tuple(_summary(wire) for wire in DECODE_RECORDS(payload).summaries))


def _read_lookup_request(payload: bytes) -> LookupRequest:
    wire = DECODE_LOOKUP_REQUEST(payload)
    return LookupRequest(wire.number, wire.zone, wire.name)


def _read_lookup_answer(payload: bytes) -> LookupAnswer:
    wire = DECODE_LOOKUP_ANSWER(payload)
    member = _member(wire.member) if wire.member is not None else None
    return LookupAnswer(wire.number, wire.zone, wire.name, member)


READERS: dict[ZoneMessageKind, Callable[[bytes], ZoneMessage]] = {
    ZoneMessageKind.DIGEST: _read_digest,
    ZoneMessageKind.REQUEST: _read_request,
    ZoneMessageKind.RECORDS: _read_records,
    ZoneMessageKind.LOOKUP_REQUEST: _read_lookup_request,
    ZoneMessageKind.LOOKUP_ANSWER: _read_lookup_answer,
}


def _summary(wire: WireSummary) -> ZoneSummary:
    delegates = tuple(
        ZoneContact(d.name, d.generation, wire.zone, _host(d.host), d.port) for d in wire.delegates
    )
    changes = tuple(MemberChange(c.name, c.generation, c.incarnation, c.state) for c in wire.changes)
    return ZoneSummary(
        wire.zone,
        wire.region,
        wire.author,
        wire.epoch,
        wire.version,
        wire.heartbeat,
        StateCounts(*wire.counts),
        delegates,
        wire.member_digest,
        changes,
    )


def _member(wire: WireMember) -> MemberRecord:
    return MemberRecord(wire.name, wire.generation, wire.incarnation, wire.state, _host(wire.host), wire.port)
