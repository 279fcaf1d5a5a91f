"""The words by which nodes and fronts speak of sessions that outlive their front (docs/adopting.md).

A front says who it is in `Oakcroft-Front: NAME;start=NUMBER`, how long its sessions are to outlive its silence in
`Oakcroft-Lease: SECONDS`, and with each set-up hands the node a memo, `Oakcroft-Memo`, that the node keeps unread and
hands to whoever takes the session over. All of it is bounded, and what can't be read says nothing.
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
MEMO_HEADER = "Oakcroft-Memo"
SESSIONS_PATH = "/fronts/sessions"
NOT_HELD_PROBLEM = "urn:oakcroft:problem:not-held"
"""The type of a 409 to a front that holds a session no more, or never did."""

MAX_MEMO_LENGTH = 4_096  # characters, as it stands in its field
MAX_SESSIONS_PER_PAGE = 32  # sessions in one answer of a node
MAX_FRONTS_PER_REQUEST = 16  # fronts asked for in one question
FRONT_PATTERN = re.compile(r"([A-Za-z0-9_.~%-]{1,768});start=([0-9]{1,17})")

ShortText = Annotated[str, msgspec.Meta(max_length=255)]
LongText = Annotated[str, msgspec.Meta(max_length=1_024)]
TimestampNs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class SessionMemo(msgspec.Struct, frozen=True, array_like=True):
    """What a front must know of a playback to go on with it. Times in ns since the epoch. New fields go to the end."""

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
    """A session that may be taken over, as its node tells."""

    session: Annotated[str, msgspec.Meta(max_length=255, pattern=r"^/[!-~]*$")]
    key: ShortText
    front: ShortText  # the member that holds it
    rung: Annotated[int, msgspec.Meta(ge=0, lt=256)]
    tag: ShortText
    memo: Annotated[str, msgspec.Meta(max_length=MAX_MEMO_LENGTH)]
    answer: Annotated[str, msgspec.Meta(max_length=65_536)]


class SessionListing(msgspec.Struct, frozen=True):
    """A node's answer: how each front that was asked for stands there, and what may be taken."""

    fronts: Annotated[dict[str, str], msgspec.Meta(max_length=MAX_FRONTS_PER_REQUEST)]
    sessions: Annotated[list[OfferedSession], msgspec.Meta(max_length=MAX_SESSIONS_PER_PAGE)]
    next: ShortText = (
        ""  # a word of the node's own, to be sent back as `after` for what has no place here; "": that is all
    )


class SessionSelection(msgspec.Struct, frozen=True):
    """The sessions that a front would take, and in the answer those that it has."""

    sessions: Annotated[list[LongText], msgspec.Meta(max_length=MAX_SESSIONS_PER_PAGE)]


def format_front(member: str, start: int) -> str:
    """The value of an `Oakcroft-Front` field."""
    return f"{quote(member, safe='')};start={start}"


def parse_front(value: str | None) -> tuple[str, int]:
    """Name and start of a field; "" and 0 for none, or one that is not understood."""
    match = FRONT_PATTERN.fullmatch((value or "").strip())
    return (unquote(match[1]), int(match[2])) if match else ("", 0)


def parse_lease(value: str | None) -> int:
    """A lease in ns; 0 for none."""
    text = (value or "").strip()
    return int(text) * 1_000_000_000 if text.isdecimal() and text.isascii() and len(text) <= 4 else 0


def encode_memo(some: SessionMemo) -> str:
    """The value of an `Oakcroft-Memo` field; "" where it would be too long."""
    text = base64.urlsafe_b64encode(msgspec.msgpack.encode(some)).decode("ascii")
    return text if len(text) <= MAX_MEMO_LENGTH else ""


def decode_memo(text: str) -> SessionMemo | None:
    """The memo of a field; None where it is none."""
    try:
        return msgspec.msgpack.decode(base64.urlsafe_b64decode(text.encode("ascii")), type=SessionMemo)
    except (ValueError, binascii.Error, msgspec.MsgspecError):
        return None


LISTING_DECODER = msgspec.json.Decoder(SessionListing)
SELECTION_DECODER = msgspec.json.Decoder(SessionSelection)
