"""Messages between fronts that disseminate zone summaries, as typed values; `oakcroft.peerwire` encodes them.

Each is one datagram, whose envelope contains the sender as a `ZoneContact`.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.messages import Address
from oakcroft.decisions.membership.zone_summary import DigestEntry, MemberChange, ZoneContact, ZoneSummary

MAX_PAYLOAD_BYTES = 1_200
"""Room for entries or summaries in one datagram of 1,400; the rest is for seal and envelope."""

ENVELOPE_BYTES = 79
"""Size of a datagram's seal, fleet, sender and kind, with names and addresses of 10 octets."""

ENTRY_BYTES = 28
"""Size of a digest entry without the zone's name."""

SUMMARY_BYTES = 52
"""Size of a summary without names, delegates and changes."""

CONTACT_BYTES = 15
CHANGE_BYTES = 15
LOOKUP_BYTES = 24
"""Sizes of a contact, a change and a lookup without the strings in them."""


@dataclass(frozen=True)
class ZoneDigest:
    """The summaries that the sender holds; with `wants_answer` it requests the entries that are newer at the
    receiver."""

    entries: tuple[DigestEntry, ...]
    wants_answer: bool


@dataclass(frozen=True)
class ZoneRequest:
    """Requests the summaries of some zones."""

    zones: tuple[str, ...]


@dataclass(frozen=True)
class ZoneRecords:
    """Summaries, as requested or as forwarded."""

    summaries: tuple[ZoneSummary, ...]


@dataclass(frozen=True)
class LookupRequest:
    """Requests a member's record from another member of its zone."""

    number: int
    zone: str
    name: str


@dataclass(frozen=True)
class MemberRecord:
    """One member according to the flat membership of its own zone."""

    name: str
    generation: int
    incarnation: int
    state: MemberState
    host: str
    port: int


@dataclass(frozen=True)
class LookupAnswer:
    """Answer to a `LookupRequest`; `member` is None if the answering front does not know it."""

    number: int
    zone: str
    name: str
    member: MemberRecord | None


ZoneMessage = ZoneDigest | ZoneRequest | ZoneRecords | LookupRequest | LookupAnswer


@dataclass(frozen=True)
class OutgoingZoneMessage:
    """A message to send as a datagram to an address."""

    address: Address
    message: ZoneMessage


def entry_size(entry: DigestEntry) -> int:
    """Estimated octets of a digest entry."""
    return ENTRY_BYTES + len(entry.zone)


def summary_size(summary: ZoneSummary) -> int:
    """Estimated octets of a summary."""
    names = len(summary.zone) + len(summary.region) + len(summary.author)
    contacts = sum(_contact_size(contact) for contact in summary.delegates)
    return SUMMARY_BYTES + names + contacts + sum(change_size(change) for change in summary.changes)


def _contact_size(contact: ZoneContact) -> int:
    return CONTACT_BYTES + len(contact.name) + len(contact.host)


def change_size(change: MemberChange) -> int:
    """Estimated octets of a change in a summary."""
    return CHANGE_BYTES + len(change.name)


def estimated_size(message: ZoneMessage) -> int:
    """Estimated octets of the datagram, including the seal but not IP and UDP headers."""
    if isinstance(message, ZoneDigest):
        return ENVELOPE_BYTES + sum(entry_size(entry) for entry in message.entries)
    if isinstance(message, ZoneRequest):
        return ENVELOPE_BYTES + sum(1 + len(zone) for zone in message.zones)
    if isinstance(message, ZoneRecords):
        return ENVELOPE_BYTES + sum(summary_size(summary) for summary in message.summaries)
    return ENVELOPE_BYTES + LOOKUP_BYTES + len(message.zone) + 2 * len(message.name)
