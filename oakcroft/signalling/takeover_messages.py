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

FRONT = "Oakcroft-Front"
LEASE = "Oakcroft-Lease"
MEMO = "Oakcroft-Memo"
PATH = "/fronts/sessions"
NOT_HELD = "urn:oakcroft:problem:not-held"
"""The type of a 409 to a front that holds a session no more, or never did."""

MOST_MEMO = 4_096  # characters, as it stands in its field
MOST_PAGE = 32  # sessions in one answer of a node
MOST_OF = 16  # fronts asked for in one question
MEMBER = re.compile(r"([A-Za-z0-9_.~%-]{1,768});start=([0-9]{1,17})")

Text = Annotated[str, msgspec.Meta(max_length=255)]
Long = Annotated[str, msgspec.Meta(max_length=1_024)]
Whole = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class Memo(msgspec.Struct, frozen=True, array_like=True):
    """What a front must know of a playback to go on with it. Times in ns since the epoch. New fields go to the end."""

    id: Text
    about: Text
    path: Long
    title: Text
    plan: Text
    ufrag: Text
    token: Text
    top: Annotated[int, msgspec.Meta(ge=0, lt=256)]
    written: Whole
    abandon: Whole
    publishes: bool


class Offered(msgspec.Struct, frozen=True):
    """A session that may be taken over, as its node tells."""

    session: Annotated[str, msgspec.Meta(max_length=255, pattern=r"^/[!-~]*$")]
    key: Text
    front: Text  # the member that holds it
    rung: Annotated[int, msgspec.Meta(ge=0, lt=256)]
    tag: Text
    memo: Annotated[str, msgspec.Meta(max_length=MOST_MEMO)]
    answer: Annotated[str, msgspec.Meta(max_length=65_536)]


class Listing(msgspec.Struct, frozen=True):
    """A node's answer: how each front that was asked for stands there, and what may be taken."""

    fronts: Annotated[dict[str, str], msgspec.Meta(max_length=MOST_OF)]
    sessions: Annotated[list[Offered], msgspec.Meta(max_length=MOST_PAGE)]
    next: Text = (
        ""  # a word of the node's own, to be sent back as `after` for what has no place here; "": that is all
    )


class Taking(msgspec.Struct, frozen=True):
    """The sessions that a front would take, and in the answer those that it has."""

    sessions: Annotated[list[Long], msgspec.Meta(max_length=MOST_PAGE)]


def front(member: str, start: int) -> str:
    """The value of an `Oakcroft-Front` field."""
    return f"{quote(member, safe='')};start={start}"


def read_front(value: str | None) -> tuple[str, int]:
    """Name and start of a field; "" and 0 for none, or one that is not understood."""
    match = MEMBER.fullmatch((value or "").strip())
    return (unquote(match[1]), int(match[2])) if match else ("", 0)


def read_lease(value: str | None) -> int:
    """A lease in ns; 0 for none."""
    text = (value or "").strip()
    return int(text) * 1_000_000_000 if text.isdecimal() and text.isascii() and len(text) <= 4 else 0


def memo(some: Memo) -> str:
    """The value of an `Oakcroft-Memo` field; "" where it would be too long."""
    text = base64.urlsafe_b64encode(msgspec.msgpack.encode(some)).decode("ascii")
    return text if len(text) <= MOST_MEMO else ""


def read_memo(text: str) -> Memo | None:
    """The memo of a field; None where it is none."""
    try:
        return msgspec.msgpack.decode(base64.urlsafe_b64decode(text.encode("ascii")), type=Memo)
    except (ValueError, binascii.Error, msgspec.MsgspecError):
        return None


LISTING = msgspec.json.Decoder(Listing)
TAKING = msgspec.json.Decoder(Taking)
