"""The front's own limits: who may connect, how much and how slowly a client may send or read.

Each limit has a stated answer. The limits keep one client from costing another anything; what a playback gets
is the module's matter, and it is only asked once a request has passed here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Bounds:
    """All limits of the door: counts, bytes, and times in ns."""

    connections: int = 20_000
    connections_from_one: int = 20_000
    waiting: int = 2_000  # requests for playbacks without an answer
    head_bytes: int = 16_384
    headers: int = 64
    body_bytes: int = 65_536
    idle: int = 30 * SECOND  # between two requests
    head_within: int = 5 * SECOND
    body_within: int = 5 * SECOND
    write_within: int = 5 * SECOND
    event_backlog: int = 64  # events that one slow reader of a stream may be behind


class Verdict(Enum):
    """What the door says to something that came in."""

    PASS = "pass"
    SHED = "close an idle connection for it"
    TURN_AWAY = "answer 503 and close"


@dataclass
class Guest:
    """One connection: who it comes from, and when it was last of use."""

    source: str
    since: int
    busy: bool = False
    idle_since: int = 0


class Door:
    """Which connections stand.

    When the table is full, a connection that has been idle between requests for longest is closed for the new
    one, since a client repeats nothing on an idle connection; where none is idle the newcomer is turned away with
    a 503, for those inside were promised an answer. One source may fill only its share.
    """

    IDLE_ENOUGH = SECOND

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.guests: dict[int, Guest] = {}
        self.idle: dict[int, None] = {}  # oldest first
        self.sources: dict[str, int] = {}

    def knock(self, number: int, source: str, now: int) -> tuple[Verdict, int | None]:
        """A connection comes. With SHED, the number of the connection to close goes with it."""
        if self.sources.get(source, 0) >= self.bounds.connections_from_one:
            return Verdict.TURN_AWAY, None
        loser: int | None = None
        if len(self.guests) >= self.bounds.connections:
            loser = next(iter(self.idle), None)
            if loser is None or now - self.guests[loser].idle_since < self.IDLE_ENOUGH:
                return Verdict.TURN_AWAY, None
            self.leave(loser)
        self.guests[number] = Guest(source, now, idle_since=now)
        self.idle[number] = None
        self.sources[source] = self.sources.get(source, 0) + 1
        return (Verdict.PASS, None) if loser is None else (Verdict.SHED, loser)

    def busy(self, number: int) -> None:
        """A request has begun to arrive on a connection."""
        if guest := self.guests.get(number):
            guest.busy = True
            self.idle.pop(number, None)

    def rests(self, number: int, now: int) -> None:
        """Its answer is written; the connection waits for the next."""
        if guest := self.guests.get(number):
            guest.busy, guest.idle_since = False, now
            self.idle.pop(number, None)
            self.idle[number] = None

    def leave(self, number: int) -> None:
        """The connection is closed. A number that is not inside is no error, since SHED removed it."""
        guest = self.guests.pop(number, None)
        self.idle.pop(number, None)
        if guest is None:
            return
        left = self.sources[guest.source] - 1
        if left:
            self.sources[guest.source] = left
        else:
            del self.sources[guest.source]


class Phase(Enum):
    """Where a connection stands in one exchange."""

    IDLE = "idle"
    HEAD = "reading the head"
    BODY = "reading the body"
    WORK = "at work"
    WRITE = "writing"


def time_allowed(phase: Phase, bounds: Bounds) -> int | None:
    """How long a phase may take, ns; None for work, which has a deadline of its own."""
    return {
        Phase.IDLE: bounds.idle,
        Phase.HEAD: bounds.head_within,
        Phase.BODY: bounds.body_within,
        Phase.WORK: None,
        Phase.WRITE: bounds.write_within,
    }[phase]


def status_when_slow(phase: Phase) -> int | None:
    """What a client that took too long hears: 408 (RFC 9110 15.5.9) for a request begun, nothing otherwise."""
    return 408 if phase in (Phase.HEAD, Phase.BODY) else None


def head_verdict(count: int, size: int, bounds: Bounds) -> int | None:
    """431 (RFC 6585 5) for a head that is too large in bytes or lines, else None."""
    return 431 if count > bounds.headers or size > bounds.head_bytes else None


def body_verdict(so_far: int, announced: int | None, bounds: Bounds) -> int | None:
    """413 (RFC 9110 15.5.14) as soon as a body is known to be too large, before it is read; else None."""
    return 413 if max(so_far, announced or 0) > bounds.body_bytes else None


class Queue:
    """Requests for playbacks that have no answer yet.

    A full queue answers the newcomer at once. Guards against a queue in which everyone waits until it is too
    late; covers a fleet that answers nothing, since each try there holds a place for its whole time. Harm: a
    short crowd on a slow fleet is turned away that would have been served.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds, self.waiting = bounds, dict[int, None]()

    def has_room(self) -> bool:
        """Whether one more may wait."""
        return len(self.waiting) < self.bounds.waiting

    def enter(self, number: int) -> bool:
        """Whether the request may wait."""
        if not self.has_room():
            return False
        self.waiting[number] = None
        return True

    def leave(self, number: int) -> None:
        """It has its answer, or its viewer has gone."""
        self.waiting.pop(number, None)


def slow_reader(behind: int, bounds: Bounds) -> bool:
    """Whether a reader of an event stream is so many events behind that its stream is closed; it may open a
    new one, which begins with the present state, so nothing is lost but the events between."""
    return behind >= bounds.event_backlog


SHORTEST_SETUP = 15 * MS
"""No set-up is begun with less time left than this, two round trips and a node's work."""
