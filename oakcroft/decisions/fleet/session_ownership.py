"""Ownership of sessions on a playout node: which front may change or end one, and which may take it over.

A session concerns one node only, so the node itself decides and no quorum is needed: it alone knows which fronts have an
event stream open to it. A node knows a front by its pseudonym, its name in the membership, and the generation of its
process, which only grows from start to start (docs/fleet.md). The checks are made at the node, from what it has observed
itself: a caller's belief that another front has failed, or that it still holds a session, proves nothing.

A node ends the sessions of a front from which it has received nothing for the lease that the front requested. Until
then another front may take them over, but never from a front whose event stream is open.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND

MAX_SESSION_LEASE = 30 * SECOND
"""The longest lease that a node grants: sessions without a front use the node's link for as long."""

RECONNECT_GRACE = 1_000 * MS
"""How long the sessions of a front whose event stream broke are kept for it, as it may open the stream again."""


@dataclass(frozen=True)
class Caller:
    """A front as a node knows it."""

    pseudonym: str
    """Its pseudonym."""

    member: str = ""
    """Its name in the membership; empty where it takes no part in takeovers."""

    generation: int = 0
    """Generation of its process; 0 where it takes no part in takeovers."""


class TakeoverAnswer(Enum):
    """A node's answer to a front that would take over a session; the values are those on the wire."""

    ALLOWED = "away"  # the session may be taken over
    RECENTLY_CONNECTED = "soon"  # the holder's event stream broke a moment ago
    CONNECTED = "here"  # the holder's event stream is open
    CALLER_NOT_CONNECTED = (
        "deaf"  # the caller has no event stream open itself, and would lose the session at once
    )
    CALLER_NOT_ELIGIBLE = "older"  # the caller is the holder's process or an earlier one, or no member


def effective_lease(requested: int, node_default: int) -> int:
    """Returns how long a node keeps the sessions of a silent front.

    `requested` is the lease that the front requested, 0 for none; `node_default` is the node's own. All in ns.
    """
    return max(node_default, min(requested, MAX_SESSION_LEASE)) if requested > 0 else node_default


def may_control(holder: Caller, caller: Caller) -> bool:
    """Returns whether a caller may change or end a session.

    This rejects late requests of a front that was suspended while its sessions were taken over, and requests of the
    earlier of two processes under one pseudonym once the later one has touched the session.
    """
    return caller.pseudonym == holder.pseudonym and caller.generation >= holder.generation


def check_takeover(
    holder: Caller, caller: Caller, disconnected_for: int | None, caller_connected: bool
) -> TakeoverAnswer:
    """Returns whether a caller may take over a session, or why not.

    `disconnected_for` is the time in ns since the holder's event stream broke, None while it is open;
    `caller_connected` says whether the caller's own event stream is open.

    A front that is alive keeps its sessions while its stream is open, whatever other fronts believe. A caller that has
    failed or was cut off while its request was in flight gets nothing, as its stream is closed by then. An earlier
    process of the holder gets nothing either.
    """
    if not caller.member or (caller.member == holder.member and caller.generation <= holder.generation):
        return TakeoverAnswer.CALLER_NOT_ELIGIBLE
    if not caller_connected:
        return TakeoverAnswer.CALLER_NOT_CONNECTED
    if disconnected_for is None:
        return TakeoverAnswer.CONNECTED
    return (
        TakeoverAnswer.ALLOWED if disconnected_for >= RECONNECT_GRACE else TakeoverAnswer.RECENTLY_CONNECTED
    )
