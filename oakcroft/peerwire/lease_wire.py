"""Wire structures of lease messages, and their conversion to and from the types of `oakcroft.decisions.fleet`.

Structures are encoded as arrays: the order of their fields is the wire format, their names are not sent.
"""

from __future__ import annotations

import msgspec

from oakcroft.decisions.fleet.lease import MAX_NOTE_OCTETS, NUMBER_LIMIT, LeaseNote, LeaseRecord, LeaseTerm
from oakcroft.peerwire.errors import MessageError

MAX_NAME_LENGTH = 64

MAX_PROMISED_TO_LENGTH = 2 * MAX_NAME_LENGTH
"""Maximum length of `WireLeaseRecord.promised_to`, which is a name and a generation in one string."""


class WireTerm(msgspec.Struct, array_like=True):
    """A `LeaseTerm` on the wire."""

    fencing_token: int
    holder: str
    generation: int


class WireNote(msgspec.Struct, array_like=True, frozen=True):
    """A `LeaseNote` on the wire."""

    fencing_token: int = 0
    step: int = 0
    body: bytes = b""


class WireLeaseRequest(msgspec.Struct, array_like=True):
    """A `LeaseRequest` on the wire."""

    lease_name: str
    term: WireTerm
    seq: int = 0
    term_length: int = 0
    note: WireNote = WireNote()


class WireLeaseAnswer(msgspec.Struct, array_like=True):
    """A `LeaseAnswer` on the wire."""

    lease_name: str
    epoch: int
    fencing_token: int
    seq: int = 0
    highest_promised: int = 0
    running_term: WireTerm | None = None
    time_left: int = 0
    note: WireNote = WireNote()
    peer_epochs: list[tuple[str, int]] = []


class RecordRequest(msgspec.Struct, array_like=True):
    """The request of an acceptor that has lost its record for another's; `epoch` is that of its new record."""

    epoch: int


class WireLeaseRecord(msgspec.Struct, array_like=True):
    """A `LeaseRecord` with the name of its lease, on the wire and in the state file."""

    lease_name: str
    promised_token: int
    promised_to: str
    accepted_term: WireTerm | None
    note: WireNote


class RecordPart(msgspec.Struct, array_like=True):
    """One part of an acceptor's record: the record of one lease, or none if the acceptor has none."""

    epoch: int
    has_full_record: bool
    part_index: int
    part_count: int
    lease_record: WireLeaseRecord | None = None


class Order(msgspec.Struct, array_like=True):
    """A holder's order, fenced by its term's token and a step within the term; `body` depends on the
    lease."""

    lease_name: str
    fencing_token: int
    step: int
    body: bytes


class OrderReport(msgspec.Struct, array_like=True):
    """Report on an order. If `accepted` is false, it was rejected, and `fencing_token` and `step` are those of the
    order in force."""

    lease_name: str
    fencing_token: int
    step: int
    accepted: bool
    body: bytes


class TextRequest(msgspec.Struct, array_like=True):
    """Requests a text by its digest."""

    digest: str


class TextChunk(msgspec.Struct, array_like=True):
    """A chunk of a text, in order. A single empty chunk means that the front does not have the text."""

    part: int
    more: bool
    octets: bytes


class WireBody(msgspec.Struct, array_like=True):
    """The body of a message, after seal and format byte."""

    fleet: str
    sender: str
    generation: int
    kind: int
    payload: msgspec.Raw


def checked_number(number: int) -> int:
    """Returns a number if it is within bounds. Raises MessageError if not."""
    if not 0 <= number < NUMBER_LIMIT:
        raise MessageError("malformed")
    return number


def checked_name(name: str, max_length: int = MAX_NAME_LENGTH) -> str:
    """Returns a name if it is not too long. Raises MessageError if it is."""
    if len(name) > max_length:
        raise MessageError("malformed")
    return name


def term_to_wire(term: LeaseTerm) -> WireTerm:
    """Converts a term to its wire structure."""
    return WireTerm(term.fencing_token, term.holder, term.generation)


def term_from_wire(wire: WireTerm) -> LeaseTerm:
    """Converts a wire structure to a term. Raises MessageError if it is invalid."""
    return LeaseTerm(
        checked_number(wire.fencing_token), checked_name(wire.holder), checked_number(wire.generation)
    )


def note_to_wire(note: LeaseNote) -> WireNote:
    """Converts a note to its wire structure."""
    return WireNote(note.fencing_token, note.step, note.body)


def note_from_wire(wire: WireNote) -> LeaseNote:
    """Converts a wire structure to a note. Raises MessageError if it is invalid."""
    if len(wire.body) > MAX_NOTE_OCTETS:
        raise MessageError("malformed")
    return LeaseNote(checked_number(wire.fencing_token), checked_number(wire.step), wire.body)


def record_to_wire(lease_name: str, record: LeaseRecord) -> WireLeaseRecord:
    """Converts a lease record to its structure on the wire and in the state file."""
    term = None if record.accepted_term is None else term_to_wire(record.accepted_term)
    return WireLeaseRecord(
        lease_name, record.promised_token, record.promised_to, term, note_to_wire(record.note)
    )


def record_from_wire(wire: WireLeaseRecord) -> LeaseRecord:
    """Converts a wire structure to a lease record. Raises MessageError if it is invalid."""
    term = None if wire.accepted_term is None else term_from_wire(wire.accepted_term)
    promised_to = checked_name(wire.promised_to, MAX_PROMISED_TO_LENGTH)
    return LeaseRecord(checked_number(wire.promised_token), promised_to, term, note_from_wire(wire.note))
