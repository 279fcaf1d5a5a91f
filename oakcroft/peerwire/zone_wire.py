"""Wire structures of messages between zones; `zone_codec` converts them to and from decision types.

Decoding checks types and the length of names; `is_plausible` of the decision types checks the bounds of numbers.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from oakcroft.decisions.membership.member import MAX_NAME_LENGTH, MAX_PORT, MemberState


class ZoneMessageKind(Enum):
    """Kind of the payload; the value is its number on the wire."""

    DIGEST = 1
    REQUEST = 2
    RECORDS = 3
    LOOKUP_REQUEST = 4
    LOOKUP_ANSWER = 5


KINDS = {kind.value: kind for kind in ZoneMessageKind}

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Number = Annotated[int, msgspec.Meta(ge=0)]


class WireSender(msgspec.Struct, array_like=True, frozen=True):
    """A `ZoneContact` on the wire."""

    name: Name
    generation: Number
    zone: Name
    host: Name
    port: Port


class WireDelegate(msgspec.Struct, array_like=True, frozen=True):
    """A delegate on the wire; its zone is that of the summary."""

    name: Name
    generation: Number
    host: Name
    port: Port


class WireEntry(msgspec.Struct, array_like=True, frozen=True):
    """A `DigestEntry` on the wire."""

    zone: Name
    epoch: Number
    version: Number
    fingerprint: Number
    heartbeat: Number


class WireDigest(msgspec.Struct, array_like=True, frozen=True):
    """A `ZoneDigest` on the wire."""

    entries: list[WireEntry]
    wants_answer: bool


class WireRequest(msgspec.Struct, array_like=True, frozen=True):
    """A `ZoneRequest` on the wire."""

    zones: list[Name]


class WireChange(msgspec.Struct, array_like=True, frozen=True):
    """A `MemberChange` on the wire."""

    name: Name
    generation: Number
    incarnation: Number
    state: MemberState


class WireSummary(msgspec.Struct, array_like=True, frozen=True):
    """A `ZoneSummary` on the wire; `counts` are the present, failed and left members."""

    zone: Name
    region: Name
    author: Name
    epoch: Number
    version: Number
    heartbeat: Number
    counts: tuple[Number, Number, Number]
    delegates: list[WireDelegate]
    member_digest: Number
    changes: list[WireChange]


class WireRecords(msgspec.Struct, array_like=True, frozen=True):
    """A `ZoneRecords` on the wire."""

    summaries: list[WireSummary]


class WireLookupRequest(msgspec.Struct, array_like=True, frozen=True):
    """A `LookupRequest` on the wire."""

    number: Number
    zone: Name
    name: Name


class WireMember(msgspec.Struct, array_like=True, frozen=True):
    """A `MemberRecord` on the wire."""

    name: Name
    generation: Number
    incarnation: Number
    state: MemberState
    host: Name
    port: Port


class WireLookupAnswer(msgspec.Struct, array_like=True, frozen=True):
    """A `LookupAnswer` on the wire."""

    number: Number
    zone: Name
    name: Name
    member: WireMember | None = None


class WireBody(msgspec.Struct, array_like=True, frozen=True):
    """The body of a datagram, after seal and format byte."""

    fleet: str
    sender: WireSender
    kind: int
    payload: msgspec.Raw
