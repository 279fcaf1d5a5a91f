"""The structures that messages between zones have on the wire; `zone_codec` turns them into the decisions' own.

Numbers and names are bounded by the decisions (`is_plausible`); here types are checked, and that no text is long.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from oakcroft.decisions.membership.member import MAX_NAME_LENGTH, MAX_PORT, MemberState


class ZoneMessageKind(Enum):
    """Which message the payload is; the value is its number on the wire."""

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
    """A delegate of the zone whose summary it stands in."""

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
    """A `ZoneSummary` on the wire; `counts` are present, failed, left."""

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
    """A datagram under its seal and format."""

    fleet: str
    sender: WireSender
    kind: int
    payload: msgspec.Raw
