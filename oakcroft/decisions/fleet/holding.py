"""Who holds a session on a playout node: which front may change or end it, and which may take it over.

A session concerns one node only, so the node itself grants it and no majority is asked: it alone knows which fronts
listen to it. A front is known there by three words: its pseudonym, its name among its peers, and the number of its
start, which only grows over its lives (docs/fleet.md). What is checked is checked here, at the resource, by what the
node has seen itself: a caller's belief that another is dead, or that it is still the owner, is never the proof.

The node ends what a front holds once nothing of it was heard for the lease that it asked for. Until then another may
take it, but never from a front that listens.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND

MOST_LEASE = (
    30 * SECOND
)  # whatever a front asks for: what nobody holds any more uses the node's link for so long
HELD_BACK = 1_000 * MS  # a stream that broke may be opened again: its sessions are kept for its front so long


@dataclass(frozen=True)
class Caller:
    """A front as a node knows it. `member` "", `start` 0: it takes no part in taking over."""

    front: str
    member: str = ""
    start: int = 0


class Word(Enum):
    """What a node says to one that would take over what a front holds."""

    AWAY = "away"  # it may be taken
    SOON = "soon"  # its stream broke a moment ago
    HERE = "here"  # it listens
    DEAF = "deaf"  # who asks does not listen itself, and so would lose it at once
    OLDER = "older"  # who asks is an earlier life of the one that holds it, or no member


def lease(asked: int, own: int) -> int:
    """How long a node keeps what a silent front holds, ns. `asked`: by the front, 0: it has not; `own`: the node's."""
    return max(own, min(asked, MOST_LEASE)) if asked > 0 else own


def may_act(held: Caller, caller: Caller) -> bool:
    """Whether a caller may change or end a session.

    Guards against a front that slept while its sessions passed on, and whose words come late; and against the earlier of
    two lives under one pseudonym once the later one has touched a session.
    """
    return caller.front == held.front and caller.start >= held.start


def may_take(held: Caller, caller: Caller, away: int | None, listens: bool) -> Word:
    """Whether a caller may take over a session. `away`: for how long its holder's stream has been gone, ns; None: it is
    open. `listens`: the caller's own stream is open.

    Guards against a wrong view (a living front is never robbed while it listens), against an adopter that died or was cut
    off while its word was under way (it does not listen any more), and against an earlier life of the holder.
    """
    if not caller.member or (caller.member == held.member and caller.start <= held.start):
        return Word.OLDER
    if not listens:
        return Word.DEAF
    if away is None:
        return Word.HERE
    return Word.AWAY if away >= HELD_BACK else Word.SOON
