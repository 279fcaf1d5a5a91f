"""Codec of reports of node loads between fronts: sealed MessagePack.

message = seal:16 format:1 body       body: an array [fleet, sender, generation, rows]
row = [process id:8, load, age]

The load of a link is in thousandths, the age in milliseconds. The format byte differs from those of membership and
lease messages, so a program without load reports drops these messages as `other form`.
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
"""Loads are sent in thousandths."""

MAX_NAME_LENGTH = 64
PROCESS_ID_LENGTH = 8

ProcessId = Annotated[bytes, msgspec.Meta(min_length=PROCESS_ID_LENGTH, max_length=PROCESS_ID_LENGTH)]
Load = Annotated[int, msgspec.Meta(ge=0, le=round(MAX_LOAD * LOAD_SCALE))]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORT_AGE // MS)]


class WireBody(msgspec.Struct, array_like=True):
    """The body of a message, after seal and format byte."""

    fleet: str
    sender: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    start: int
    rows: Annotated[list[tuple[ProcessId, Load, Age]], msgspec.Meta(max_length=MAX_REPORTS_PER_MESSAGE)]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WireBody)


class LoadCodec:
    """Encodes and decodes the load reports of one fleet."""

    def __init__(self, fleet: str, ring: KeyRing) -> None:
        """`fleet` is the fleet's name; `ring` has the keys to seal and open messages."""
        self.fleet = fleet
        self.ring = ring

    def encode(self, sender: str, generation: int, reports: Sequence[LoadReport]) -> bytes:
        """Encodes one datagram. Leaves out the last reports if not all fit."""
        rows = [
            (report.process_id, round(report.load * LOAD_SCALE), min(report.age, MAX_REPORT_AGE) // MS)
            for report in reports[:MAX_REPORTS_PER_MESSAGE]
        ]
        while True:
            body = WireBody(self.fleet, sender, generation, rows)
            octets = self.ring.seal(bytes((LOAD_FORMAT,)) + ENCODER.encode(body))
            if len(octets) <= MAX_DATAGRAM_BYTES or not rows:
                return octets
            rows.pop()

    def decode(self, opened: bytes) -> tuple[str, list[LoadReport]]:
        """Decodes an opened message, which begins with its format byte; returns the sender and its reports.

        Raises MessageError if the message is invalid.
        """
        try:
            body = DECODER.decode(opened[1:])
        except msgspec.MsgspecError as error:
            raise MessageError("malformed") from error
        if body.fleet != self.fleet:
            raise MessageError("other fleet")
        reports = [LoadReport(process_id, load / LOAD_SCALE, age * MS) for process_id, load, age in body.rows]
        return body.sender, reports
