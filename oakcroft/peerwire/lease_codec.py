"""Codec of lease messages between candidates, acceptors, holders and other fronts: sealed MessagePack.

message = seal:16 format:1 body       body: an array [fleet, sender, generation, kind, payload]

The payload is an array whose fields depend on the kind. The format byte differs from that of membership messages, so a
program without leases drops these messages as `other form`. Invalid messages raise MessageError with a reason that is
counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from oakcroft.decisions.fleet.lease import LeaseAnswer, LeaseRequest, AcceptorRecord, LeaseMessageKind
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_wire import (
    Order,
    OrderReport,
    RecordPart,
    RecordRequest,
    TextChunk,
    TextRequest,
    WireLeaseAnswer,
    WireLeaseRequest,
    WireBody,
    checked_name,
    checked_number,
    note_from_wire,
    note_to_wire,
    record_to_wire,
    term_from_wire,
    term_to_wire,
)
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.push_pull_stream import frame
from oakcroft.peerwire.sealing import KeyRing

LEASE_FORMAT = 65
MAX_ACCEPTORS = 7
MESSAGE_KINDS = {kind.value: kind for kind in LeaseMessageKind}

ORDER = 32
REPORT = 33
TEXT_REQUEST = 34
TEXT_CHUNK = 35
"""Kinds above those of `LeaseMessageKind`: a holder's order to a front, the front's report; the last two over
streams."""

CHUNK_OCTETS = 12_288
MAX_TEXT_BYTES = 16_777_216

ENCODER = msgspec.msgpack.Encoder()
BODY_DECODER = msgspec.msgpack.Decoder(WireBody)
LEASE_REQUEST_DECODER = msgspec.msgpack.Decoder(WireLeaseRequest)
LEASE_ANSWER_DECODER = msgspec.msgpack.Decoder(WireLeaseAnswer)
RECORD_REQUEST_DECODER = msgspec.msgpack.Decoder(RecordRequest)
PART_DECODER = msgspec.msgpack.Decoder(RecordPart)
ORDER_DECODER = msgspec.msgpack.Decoder(Order)
REPORT_DECODER = msgspec.msgpack.Decoder(OrderReport)
TEXT_REQUEST_DECODER = msgspec.msgpack.Decoder(TextRequest)
TEXT_CHUNK_DECODER = msgspec.msgpack.Decoder(TextChunk)

T = TypeVar("T")
LeaseMessage = LeaseRequest | LeaseAnswer | RecordRequest | RecordPart | Order | OrderReport


@dataclass(frozen=True)
class ReceivedLeaseMessage:
    """A decoded message with its sender and the sender's generation."""

    sender: str
    generation: int
    message: LeaseMessage


class LeaseCodec:
    """Encodes and decodes the lease messages of one fleet. Raises MessageError for invalid messages."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """`fleet` is the fleet's name; `ring` has the keys to seal and open messages."""
        self.fleet = fleet
        self.ring = ring

    def _seal(self, sender: str, generation: int, kind: int, payload: msgspec.Struct) -> bytes:
        body = WireBody(self.fleet, sender, generation, kind, msgspec.Raw(ENCODER.encode(payload)))
        return self.ring.seal(bytes((LEASE_FORMAT,)) + ENCODER.encode(body))

    def _datagram(self, sender: str, generation: int, kind: int, payload: msgspec.Struct) -> bytes:
        octets = self._seal(sender, generation, kind, payload)
        if len(octets) > MAX_DATAGRAM_BYTES:
            raise MessageError("too long")
        return octets

    def encode_request(self, sender: str, generation: int, request: LeaseRequest) -> bytes:
        """A candidate's request to an acceptor."""
        wire = WireLeaseRequest(
            request.lease_name,
            term_to_wire(request.term),
            request.seq,
            request.term_length,
            note_to_wire(request.note),
        )
        return self._datagram(sender, generation, request.kind.value, wire)

    def encode_answer(self, sender: str, generation: int, answer: LeaseAnswer) -> bytes:
        """An acceptor's answer to a candidate."""
        running = None if answer.running_term is None else term_to_wire(answer.running_term)
        wire = WireLeaseAnswer(
            answer.lease_name,
            answer.epoch,
            answer.fencing_token,
            answer.seq,
            answer.highest_promised,
            running,
            answer.time_left,
            note_to_wire(answer.note),
            list(answer.peer_epochs[:MAX_ACCEPTORS]),
        )
        return self._datagram(sender, generation, answer.kind.value, wire)

    def encode_record_request(self, sender: str, generation: int, epoch: int) -> bytes:
        """The request of an acceptor that has lost its record for other acceptors' records."""
        return self._datagram(sender, generation, LeaseMessageKind.LEARN.value, RecordRequest(epoch))

    def encode_record(self, sender: str, generation: int, record: AcceptorRecord) -> list[bytes]:
        """An acceptor's record, one lease per datagram."""
        parts = max(1, len(record.records))
        wire = [
            RecordPart(
                record.epoch, record.has_full_record, number, parts, record_to_wire(lease_name, lease_record)
            )
            for number, (lease_name, lease_record) in enumerate(record.records)
        ]
        wire = wire or [RecordPart(record.epoch, record.has_full_record, 0, 1)]
        return [self._datagram(sender, generation, LeaseMessageKind.LEARNT.value, part) for part in wire]

    def encode_order(self, sender: str, generation: int, order: Order) -> bytes:
        """A holder's order to a front."""
        return self._datagram(sender, generation, ORDER, order)

    def encode_report(self, sender: str, generation: int, report: OrderReport) -> bytes:
        """A front's report on an order."""
        return self._datagram(sender, generation, REPORT, report)

    # Over streams; each message is preceded by its length in two octets.

    def encode_text_request(self, sender: str, generation: int, digest: str) -> bytes:
        """A request for a text by its digest."""
        return frame(self._datagram(sender, generation, TEXT_REQUEST, TextRequest(digest)))

    def encode_text(self, sender: str, generation: int, text: bytes) -> Iterator[bytes]:
        """A text in chunks."""
        offsets = range(0, max(1, len(text)), CHUNK_OCTETS)
        for number, offset in enumerate(offsets):
            more = number + 1 < len(offsets)
            chunk = TextChunk(number, more, text[offset : offset + CHUNK_OCTETS])
            yield frame(self._seal(sender, generation, TEXT_CHUNK, chunk))

    def decode_text_request(self, opened: bytes) -> str:
        """The digest in a text request."""
        return self._payload(opened, TEXT_REQUEST, TEXT_REQUEST_DECODER).digest

    def decode_text_chunk(self, opened: bytes) -> TextChunk:
        """One chunk of a text."""
        return self._payload(opened, TEXT_CHUNK, TEXT_CHUNK_DECODER)

    def _payload(self, opened: bytes, kind: int, decoder: msgspec.msgpack.Decoder[T]) -> T:
        try:
            body = BODY_DECODER.decode(opened[1:])
            if opened[:1] != bytes((LEASE_FORMAT,)) or body.fleet != self.fleet or body.kind != kind:
                raise MessageError("unknown kind")
            return decoder.decode(bytes(body.payload))
        except msgspec.MsgspecError as error:
            raise MessageError("malformed") from error

    def decode(self, opened: bytes) -> ReceivedLeaseMessage:
        """Decodes an opened message, which begins with its format byte."""
        try:
            body = BODY_DECODER.decode(opened[1:])
            if body.fleet != self.fleet:
                raise MessageError("other fleet")
            sender = checked_name(body.sender)
            generation = checked_number(body.generation)
            return ReceivedLeaseMessage(sender, generation, _read(body))
        except msgspec.MsgspecError as error:
            raise MessageError("malformed") from error


def _read(body: WireBody) -> LeaseMessage:
    reader = READERS.get(body.kind)
    if reader is None:
        raise MessageError("unknown kind")
    return reader(body)


def _read_order(body: WireBody) -> Order:
    order = ORDER_DECODER.decode(body.payload)
    _check_order_fields(order)
    return order


def _read_report(body: WireBody) -> OrderReport:
    report = REPORT_DECODER.decode(body.payload)
    _check_order_fields(report)
    return report


def _check_order_fields(message: Order | OrderReport) -> None:
    checked_name(message.lease_name)
    checked_number(message.fencing_token)
    checked_number(message.step)


def _read_request(body: WireBody) -> LeaseRequest:
    wire = LEASE_REQUEST_DECODER.decode(body.payload)
    return LeaseRequest(
        MESSAGE_KINDS[body.kind],
        checked_name(wire.lease_name),
        term_from_wire(wire.term),
        checked_number(wire.seq),
        checked_number(wire.term_length),
        note_from_wire(wire.note),
    )


def _read_answer(body: WireBody) -> LeaseAnswer:
    wire = LEASE_ANSWER_DECODER.decode(body.payload)
    epochs = tuple(
        (checked_name(name), checked_number(epoch)) for name, epoch in wire.peer_epochs[:MAX_ACCEPTORS]
    )
    running = None if wire.running_term is None else term_from_wire(wire.running_term)
    return LeaseAnswer(
        MESSAGE_KINDS[body.kind],
        checked_name(wire.lease_name),
        checked_name(body.sender),
        checked_number(wire.epoch),
        checked_number(wire.fencing_token),
        checked_number(wire.seq),
        checked_number(wire.highest_promised),
        running,
        checked_number(wire.time_left),
        note_from_wire(wire.note),
        epochs,
    )


READERS: dict[int, Callable[[WireBody], LeaseMessage]] = {
    LeaseMessageKind.PREPARE.value: _read_request,
    LeaseMessageKind.PROPOSE.value: _read_request,
    LeaseMessageKind.RELEASE.value: _read_request,
    LeaseMessageKind.PROMISED.value: _read_answer,
    LeaseMessageKind.REFUSED.value: _read_answer,
    LeaseMessageKind.ACCEPTED.value: _read_answer,
    LeaseMessageKind.LEARN.value: lambda body: RECORD_REQUEST_DECODER.decode(body.payload),
    LeaseMessageKind.LEARNT.value: lambda body: PART_DECODER.decode(body.payload),
    ORDER: _read_order,
    REPORT: _read_report,
}
