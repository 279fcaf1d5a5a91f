"""The structures that lease messages have on the wire; `lease_codec` turns them into the decisions' own.

A lease is called a duty on the wire, its acceptors keepers, and a generation a start.
"""

from __future__ import annotations

import msgspec

from oakcroft.decisions.fleet.lease import MAX_NOTE_OCTETS, NUMBER_LIMIT, LeaseNote, LeaseRecord, LeaseTerm
from oakcroft.peerwire.errors import MessageError

MAX_NAME_LENGTH = 64

MAX_PROMISED_TO_LENGTH = 2 * MAX_NAME_LENGTH
"""Of whom a number was promised to: a name and a generation as one text."""


class WireTerm(msgspec.Struct, array_like=True):
    """A `LeaseTerm` on the wire."""

    number: int
    owner: str
    start: int


class WireNote(msgspec.Struct, array_like=True, frozen=True):
    """A `LeaseNote` on the wire."""

    number: int = 0
    step: int = 0
    body: bytes = b""


class WireLeaseRequest(msgspec.Struct, array_like=True):
    """An `Ask` on the wire."""

    duty: str
    term: WireTerm
    seq: int = 0
    length: int = 0
    note: WireNote = WireNote()


class WireLeaseAnswer(msgspec.Struct, array_like=True):
    """An `Answer` on the wire."""

    duty: str
    epoch: int
    number: int
    seq: int = 0
    highest: int = 0
    running: WireTerm | None = None
    left: int = 0
    note: WireNote = WireNote()
    epochs: list[tuple[str, int]] = []


class RecordRequest(msgspec.Struct, array_like=True):
    """An acceptor that remembers nothing, with the epoch of its new record, asks what another knows."""

    epoch: int


class WireRow(msgspec.Struct, array_like=True):
    """A row of an acceptor's record; also as it stands in the state file."""

    duty: str
    promised: int
    to: str
    term: WireTerm | None
    note: WireNote


class RecordPart(msgspec.Struct, array_like=True):
    """One part of what an acceptor tells: a row, or none where it has none."""

    epoch: int
    sound: bool
    part: int
    parts: int
    row: WireRow | None = None


class Order(msgspec.Struct, array_like=True):
    """A holder's order under its term's number and a step of it; `body` is the work's own."""

    duty: str
    number: int
    step: int
    body: bytes


class OrderReport(msgspec.Struct, array_like=True):
    """What became of an order; `taken` false: it was turned away here, and (number, step) is what stands."""

    duty: str
    number: int
    step: int
    taken: bool
    body: bytes


class TextRequest(msgspec.Struct, array_like=True):
    """Asks for a text by its digest."""

    digest: str


class TextChunk(msgspec.Struct, array_like=True):
    """A part of a text, in order. None at all and no more: whoever was asked does not hold it."""

    part: int
    more: bool
    octets: bytes


class WireBody(msgspec.Struct, array_like=True):
    """A message under its seal and format."""

    fleet: str
    sender: str
    start: int
    kind: int
    payload: msgspec.Raw


def checked_number(number: int) -> int:
    """A number that is within bounds. MessageError where it is not."""
    if not 0 <= number < NUMBER_LIMIT:
        raise MessageError("malformed")
    return number


def checked_name(name: str, max_length: int = MAX_NAME_LENGTH) -> str:
    """A name that is within bounds. MessageError where it is not."""
    if len(name) > max_length:
        raise MessageError("malformed")
    return name


def term_to_wire(term: LeaseTerm) -> WireTerm:
    """A term for the wire."""
    return WireTerm(term.fencing_token, term.holder, term.generation)


def term_from_wire(wire: WireTerm) -> LeaseTerm:
    """A term that has been read. MessageError where it is none."""
    return LeaseTerm(checked_number(wire.number), checked_name(wire.owner), checked_number(wire.start))


def note_to_wire(note: LeaseNote) -> WireNote:
    """A note for the wire."""
    return WireNote(note.fencing_token, note.step, note.body)


def note_from_wire(wire: WireNote) -> LeaseNote:
    """A note that has been read. MessageError where it is none."""
    if len(wire.body) > MAX_NOTE_OCTETS:
        raise MessageError("malformed")
    return LeaseNote(checked_number(wire.number), checked_number(wire.step), wire.body)


def row_to_wire(duty: str, row: LeaseRecord) -> WireRow:
    """A row for the wire or the state file."""
    term = None if row.accepted_term is None else term_to_wire(row.accepted_term)
    return WireRow(duty, row.promised_token, row.promised_to, term, note_to_wire(row.note))


def row_from_wire(wire: WireRow) -> LeaseRecord:
    """A row that has been read. MessageError where it is none."""
    term = None if wire.term is None else term_from_wire(wire.term)
    to = checked_name(wire.to, MAX_PROMISED_TO_LENGTH)
    return LeaseRecord(checked_number(wire.promised), to, term, note_from_wire(wire.note))
