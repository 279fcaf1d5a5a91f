"""The messages between fronts that spread summaries of zones, as typed values; their octets are peerwire's.

Each is one datagram. The sender is told by the envelope, as a `ZoneContact`.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.messages import Address
from oakcroft.decisions.membership.zone_summary import DigestEntry, MemberChange, ZoneContact, ZoneSummary

MAX_PAYLOAD_BYTES = 1_200
"""Octets of entries or summaries in one datagram of 1,400; the rest is for seal and envelope."""

ENVELOPE_BYTES = 79
"""Octets of a datagram's seal, fleet, sender and kind, for names and addresses of 10 octets."""

ENTRY_BYTES = 28
"""Octets of a digest entry beside the zone's name."""

SUMMARY_BYTES = 52
"""Octets of a summary beside names, delegates and changes."""

CONTACT_BYTES = 15
CHANGE_BYTES = 15
LOOKUP_BYTES = 24
"""Octets of a contact, of a change and of a lookup beside the texts in them."""


@dataclass(frozen=True)
class ZoneDigest:
    """Which summaries the sender holds. `wants_answer`: it asks for the entries that are newer at the
    receiver."""

    entries: tuple[DigestEntry, ...]
    wants_answer: bool


@dataclass(frozen=True)
class ZoneRequest:
    """The sender asks for the summaries of these zones."""

    zones: tuple[str, ...]


@dataclass(frozen=True)
class ZoneRecords:
    """Summaries, on request or as they came to be known."""

    summaries: tuple[ZoneSummary, ...]


@dataclass(frozen=True)
class LookupRequest:
    """The sender asks a member of a zone for another member of that zone."""

    number: int
    zone: str
    name: str


@dataclass(frozen=True)
class MemberRecord:
    """One member as its own zone's flat membership has it."""

    name: str
    generation: int
    incarnation: int
    state: MemberState
    host: str
    port: int


@dataclass(frozen=True)
class LookupAnswer:
    """The answer to a `LookupRequest`; `member` is None where the answering front does not know it."""

    number: int
    zone: str
    name: str
    member: MemberRecord | None


ZoneMessage = ZoneDigest | ZoneRequest | ZoneRecords | LookupRequest | LookupAnswer


@dataclass(frozen=True)
class OutgoingZoneMessage:
    """A message to be sent as a datagram to whoever is at an address."""

    address: Address
    message: ZoneMessage


def entry_size(entry: DigestEntry) -> int:
    """Octets of a digest entry, estimated."""
    return ENTRY_BYTES + len(entry.zone)


def summary_size(summary: ZoneSummary) -> int:
    """Octets of a summary, estimated."""
    names = len(summary.zone) + len(summary.region) + len(summary.author)
    contacts = sum(_contact_size(contact) for contact in summary.delegates)
    return SUMMARY_BYTES + names + contacts + sum(change_size(change) for change in summary.changes)


def _contact_size(contact: ZoneContact) -> int:
    return CONTACT_BYTES + len(contact.name) + len(contact.host)


def change_size(change: MemberChange) -> int:
    """Octets of a change in a summary, estimated."""
    return CHANGE_BYTES + len(change.name)


def estimated_size(message: ZoneMessage) -> int:
    """Octets of the datagram, seal included, IP and UDP not."""
    if isinstance(message, ZoneDigest):
        return ENVELOPE_BYTES + sum(entry_size(entry) for entry in message.entries)
    if isinstance(message, ZoneRequest):
        return ENVELOPE_BYTES + sum(1 + len(zone) for zone in message.zones)
    if isinstance(message, ZoneRecords):
        return ENVELOPE_BYTES + sum(summary_size(summary) for summary in message.summaries)
    return ENVELOPE_BYTES + LOOKUP_BYTES + len(message.zone) + 2 * len(message.name)
