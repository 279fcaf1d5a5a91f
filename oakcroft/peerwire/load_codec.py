"""Nodes' loads, from front to front, as MessagePack in a seal.

message = seal:16 form:1 body       body: an array [fleet, sender, start, rows]       row = [mark:8, load, age]

The load of a link in thousandths, the age in milliseconds. The form is another than those of the view and of duties, so a
program that knows no figures drops them as `other form`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from oakcroft.decisions.fleet.load_sharing import (
    MAX_REPORT_AGE,
    MAX_LOAD,
    MAX_REPORTS_PER_MESSAGE,
    LoadReport,
)
from oakcroft.interface import MS
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.membership_codec import MAX_DATAGRAM_BYTES
from oakcroft.peerwire.sealing import KeyRing

LOAD_FORMAT = 67
LOAD_SCALE = 1_000
"""Parts of one, in which a load goes on the wire."""

MAX_NAME_LENGTH = 64
PROCESS_ID_LENGTH = 8

ProcessId = Annotated[bytes, msgspec.Meta(min_length=PROCESS_ID_LENGTH, max_length=PROCESS_ID_LENGTH)]
Load = Annotated[int, msgspec.Meta(ge=0, le=round(MAX_LOAD * LOAD_SCALE))]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORT_AGE // MS)]


class WireBody(msgspec.Struct, array_like=True):
    """A message under its seal and format."""

    fleet: str
    sender: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    start: int
    rows: Annotated[list[tuple[ProcessId, Load, Age]], msgspec.Meta(max_length=MAX_REPORTS_PER_MESSAGE)]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WireBody)


class LoadCodec:
    """Writes and reads the figures of one fleet."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """`fleet` names the fleet, `ring` seals and opens."""
        self.fleet = fleet
        self.ring = ring

    def encode(self, sender: str, start: int, rows: Sequence[LoadReport]) -> bytes:
        """One datagram. Rows that do not fit stay out, the last first."""
        some = [
            (r.process_id, round(r.load * LOAD_SCALE), min(r.age, MAX_REPORT_AGE) // MS)
            for r in rows[:MAX_REPORTS_PER_MESSAGE]
        ]
        while True:
            octets = self.ring.seal(
                bytes((LOAD_FORMAT,)) + ENCODER.encode(WireBody(self.fleet, sender, start, some))
            )
            if len(octets) <= MAX_DATAGRAM_BYTES or not some:
                return octets
            some.pop()

    def decode(self, opened: bytes) -> tuple[str, list[LoadReport]]:
        """Whose figures, and which, of a message that the ring has opened, its form first. MessageError if it is none."""
        try:
            body = DECODER.decode(opened[1:])
        except msgspec.MsgspecError as fault:
            raise MessageError("malformed") from fault
        if body.fleet != self.fleet:
            raise MessageError("other fleet")
        return body.sender, [LoadReport(mark, load / LOAD_SCALE, age * MS) for mark, load, age in body.rows]
