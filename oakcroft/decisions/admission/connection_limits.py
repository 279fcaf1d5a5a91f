"""Limits of a server on its connections.

They bound how many connections there are, and how much and how slowly a client may send or read. Each limit
has a defined answer. The limits keep one client from using up what others need. Admission control, which
decides what a playback gets, sees a request only once it has passed them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.interface import MS, SECOND


@dataclass(frozen=True)
class Bounds:
    """All limits on connections: counts, bytes, and times in ns.

    The field names are the keys of the `door` form of the configuration.
    """

    connections: int = 20_000
    connections_from_one: int = 20_000
    waiting: int = 2_000  # requests for playbacks that have no answer yet
    head_bytes: int = 16_384
    headers: int = 64
    body_bytes: int = 65_536
    idle: int = 30 * SECOND  # time between two requests
    head_within: int = 5 * SECOND
    body_within: int = 5 * SECOND
    write_within: int = 5 * SECOND
    event_backlog: int = 64  # unread events of one event stream


class Verdict(Enum):
    """What to do with a new connection."""

    PASS = "pass"
    SHED = "close an idle connection for it"
    TURN_AWAY = "answer 503 and close"


@dataclass
class Guest:
    """One open connection: its source, and since when it has been idle. Times in ns."""

    source: str
    since: int
    busy: bool = False
    idle_since: int = 0


class Door:
    """The open connections of a server.

    When the table is full, the connection that has been idle between requests for longest is closed for the
    new one, since its client has no request to repeat. If none is idle, the new connection is answered with
    503: the requests on the others are still owed an answer. One source may hold only its share of the
    connections.
    """

    IDLE_ENOUGH = SECOND

    def __init__(self, bounds: Bounds) -> None:
        """Starts with no connections."""
        self.bounds = bounds
        self.guests: dict[int, Guest] = {}
        self.idle: dict[int, None] = {}  # longest idle first
        self.sources: dict[str, int] = {}

    def knock(self, number: int, source: str, now: int) -> tuple[Verdict, int | None]:
        """Admits or rejects a new connection. `now`: ns.

        With `EVICT_IDLE` the number of the connection to close is returned as well; it has already left the
        table.
        """
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
        """Notes that a request has begun to arrive on a connection."""
        if guest := self.guests.get(number):
            guest.busy = True
            self.idle.pop(number, None)

    def rests(self, number: int, now: int) -> None:
        """Notes that the response is written and the connection waits for its next request. `now`: ns."""
        if guest := self.guests.get(number):
            guest.busy, guest.idle_since = False, now
            self.idle.pop(number, None)
            self.idle[number] = None

    def leave(self, number: int) -> None:
        """Removes a closed connection; one that was evicted before is ignored."""
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
    """Phase of one HTTP exchange on a connection."""

    IDLE = "idle"
    HEAD = "reading the head"
    BODY = "reading the body"
    WORK = "at work"
    WRITE = "writing"


def time_allowed(phase: Phase, bounds: Bounds) -> int | None:
    """Returns how long a phase may take, ns; None for processing, which has a deadline of its own."""
    return {
        Phase.IDLE: bounds.idle,
        Phase.HEAD: bounds.head_within,
        Phase.BODY: bounds.body_within,
        Phase.WORK: None,
        Phase.WRITE: bounds.write_within,
    }[phase]


def status_when_slow(phase: Phase) -> int | None:
    """Returns the status for a phase that timed out.

    408 (RFC 9110 15.5.9) once a request has begun; otherwise None, and the connection is closed without a
    response.
    """
    return 408 if phase in (Phase.HEAD, Phase.BODY) else None


def head_verdict(count: int, size: int, bounds: Bounds) -> int | None:
    """Returns 431 (RFC 6585 5) for a request head with too many bytes or header lines, else None."""
    return 431 if count > bounds.headers or size > bounds.head_bytes else None


def body_verdict(so_far: int, announced: int | None, bounds: Bounds) -> int | None:
    """Returns 413 (RFC 9110 15.5.14) as soon as a body is known to be too large, else None.

    The announced length counts before any of the body is read.
    """
    return 413 if max(so_far, announced or 0) > bounds.body_bytes else None


class Queue:
    """Requests for playbacks that have no answer yet.

    A full queue rejects new requests at once. This guards against a queue in which every request waits until
    it is too late; in particular against a fleet that does not answer, where each try holds a place until it
    times out. Drawback: a short burst on a slow fleet is rejected although it would have been served.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Starts with no requests."""
        self.bounds, self.waiting = bounds, dict[int, None]()

    def has_room(self) -> bool:
        """Whether one more request may wait."""
        return len(self.waiting) < self.bounds.waiting

    def enter(self, number: int) -> bool:
        """Adds a request; False if there is no room for it."""
        if not self.has_room():
            return False
        self.waiting[number] = None
        return True

    def leave(self, number: int) -> None:
        """Removes a request that has its answer or whose viewer has gone."""
        self.waiting.pop(number, None)


def slow_reader(behind: int, bounds: Bounds) -> bool:
    """Whether a reader of an event stream has so many unread events that its stream is closed.

    The reader may open a new stream, which begins with the present state, so only the events in between are
    lost.
    """
    return behind >= bounds.event_backlog


SHORTEST_SETUP = 15 * MS
"""Least time left in which a set-up is begun: two round trips and the node's processing."""
