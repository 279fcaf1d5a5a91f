"""Messages between front ends and playout nodes about sessions that outlive their front end (docs/adopting.md).

A front end identifies itself in `Oakcroft-Front: NAME;start=NUMBER`. `Oakcroft-Lease: SECONDS` states how long its
sessions shall outlive the loss of its event stream. Each set-up carries the context of its session in `Oakcroft-Memo`:
the node stores it without interpreting it, and passes it to the front end that takes the session over. All values are
bounded, and an invalid one counts as absent.
"""

from __future__ import annotations

import base64
import binascii
import re
from typing import Annotated
from urllib.parse import quote, unquote

import msgspec

FRONT_HEADER = "Oakcroft-Front"
LEASE_HEADER = "Oakcroft-Lease"
CONTEXT_HEADER = "Oakcroft-Memo"
SESSIONS_PATH = "/fronts/sessions"
NOT_HELD_PROBLEM = "urn:oakcroft:problem:not-held"
"""Problem type of a 409 to a front end that does not hold the session, or no longer does."""

MAX_CONTEXT_LENGTH = 4_096  # characters of the encoded header field
MAX_SESSIONS_PER_PAGE = 32
MAX_FRONTS_PER_REQUEST = 16
MAX_LEASE_DIGITS = 4
FRONT_PATTERN = re.compile(r"([A-Za-z0-9_.~%-]{1,768});start=([0-9]{1,17})")

SECOND_NS = 1_000_000_000

ShortText = Annotated[str, msgspec.Meta(max_length=255)]
LongText = Annotated[str, msgspec.Meta(max_length=1_024)]
TimestampNs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class SessionContext(msgspec.Struct, frozen=True, array_like=True):
    """What another front end needs to know of a playback to continue it. Times in ns since the epoch.

    It is encoded as an array, so new fields go to the end.
    """

    id: ShortText
    fingerprint: ShortText
    path: LongText
    title: ShortText
    plan: ShortText
    ufrag: ShortText
    token: ShortText
    top_rung: Annotated[int, msgspec.Meta(ge=0, lt=256)]
    written_at: TimestampNs
    abandon_at: TimestampNs
    publishes: bool


class OfferedSession(msgspec.Struct, frozen=True):
    """A session that may be taken over, as its node reports it."""

    session: Annotated[str, msgspec.Meta(max_length=255, pattern=r"^/[!-~]*$")]
    key: ShortText
    front: ShortText  # name of the front end that holds it
    rung: Annotated[int, msgspec.Meta(ge=0, lt=256)]
    tag: ShortText
    context: Annotated[str, msgspec.Meta(max_length=MAX_CONTEXT_LENGTH)] = msgspec.field(name="memo")
    answer: Annotated[str, msgspec.Meta(max_length=65_536)]


class SessionListing(msgspec.Struct, frozen=True):
    """A node's answer: its verdict on each requested front end, and the sessions that may be taken over."""

    fronts: Annotated[dict[str, str], msgspec.Meta(max_length=MAX_FRONTS_PER_REQUEST)]
    sessions: Annotated[list[OfferedSession], msgspec.Meta(max_length=MAX_SESSIONS_PER_PAGE)]
    next: ShortText = ""  # opaque cursor, sent back as `after` to get the next page; "" on the last page


class SessionSelection(msgspec.Struct, frozen=True):
    """The sessions that a front end asks to take over; in the answer, those that it holds now."""

    sessions: Annotated[list[LongText], msgspec.Meta(max_length=MAX_SESSIONS_PER_PAGE)]


def format_front(member: str, start: int) -> str:
    """Returns the value of an `Oakcroft-Front` field.

    `start` is the generation of the front end's process.
    """
    return f"{quote(member, safe='')};start={start}"


def parse_front(value: str | None) -> tuple[str, int]:
    """Returns the name and generation of an `Oakcroft-Front` field; "" and 0 if it is absent or invalid."""
    match = FRONT_PATTERN.fullmatch((value or "").strip())
    if match is None:
        return "", 0
    return unquote(match[1]), int(match[2])


def parse_lease(value: str | None) -> int:
    """Returns the lease of an `Oakcroft-Lease` field in ns; 0 if it is absent or invalid."""
    text = (value or "").strip()
    is_valid = text.isdecimal() and text.isascii() and len(text) <= MAX_LEASE_DIGITS
    return int(text) * SECOND_NS if is_valid else 0


def encode_context(context: SessionContext) -> str:
    """Returns the value of an `Oakcroft-Memo` field; "" if it would be longer than `MAX_CONTEXT_LENGTH`."""
    text = base64.urlsafe_b64encode(msgspec.msgpack.encode(context)).decode("ascii")
    return text if len(text) <= MAX_CONTEXT_LENGTH else ""


def decode_context(text: str) -> SessionContext | None:
    """Returns the session context of an `Oakcroft-Memo` field; None if it is invalid."""
    try:
        return msgspec.msgpack.decode(base64.urlsafe_b64decode(text.encode("ascii")), type=SessionContext)
    except (ValueError, binascii.Error, msgspec.MsgspecError):
        return None


LISTING_DECODER = msgspec.json.Decoder(SessionListing)
SELECTION_DECODER = msgspec.json.Decoder(SessionSelection)
