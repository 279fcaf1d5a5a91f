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
class ConnectionLimits:
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


class ConnectionVerdict(Enum):
    """What to do with a new connection."""

    ACCEPT = "pass"
    EVICT_IDLE = "close an idle connection for it"
    REJECT = "answer 503 and close"


@dataclass
class Connection:
    """One open connection: its source, and since when it has been idle. Times in ns."""

    source: str
    connected_at: int
    is_busy: bool = False
    idle_since: int = 0


class ConnectionTable:
    """The open connections of a server.

    When the table is full, the connection that has been idle between requests for longest is closed for the
    new one, since its client has no request to repeat. If none is idle, the new connection is answered with
    503, because the requests on the others still have to be answered. One source may hold only its share of
    the connections.
    """

    MIN_IDLE_NS = SECOND

    def __init__(self, limits: ConnectionLimits) -> None:
        """Starts without connections."""
        self.limits = limits
        self.connections: dict[int, Connection] = {}
        self.idle_numbers: dict[int, None] = {}  # longest idle first
        self.connections_by_source: dict[str, int] = {}

    def accept(self, number: int, source: str, now: int) -> tuple[ConnectionVerdict, int | None]:
        """Admits or rejects a new connection. `now`: ns.

        With `EVICT_IDLE` the number of the connection to close is returned as well; it has already left the
        table.
        """
        if self.connections_by_source.get(source, 0) >= self.limits.connections_from_one:
            return ConnectionVerdict.REJECT, None
        evicted: int | None = None
        if len(self.connections) >= self.limits.connections:
            evicted = next(iter(self.idle_numbers), None)
            if evicted is None or now - self.connections[evicted].idle_since < self.MIN_IDLE_NS:
                return ConnectionVerdict.REJECT, None
            self.remove(evicted)
        self.connections[number] = Connection(source, now, idle_since=now)
        self.idle_numbers[number] = None
        self.connections_by_source[source] = self.connections_by_source.get(source, 0) + 1
        if evicted is None:
            return ConnectionVerdict.ACCEPT, None
        return ConnectionVerdict.EVICT_IDLE, evicted

    def mark_busy(self, number: int) -> None:
        """Records that a request has begun to arrive on a connection."""
        if connection := self.connections.get(number):
            connection.is_busy = True
            self.idle_numbers.pop(number, None)

    def mark_idle(self, number: int, now: int) -> None:
        """Records that the response is written and the connection waits for its next request. `now`: ns."""
        if connection := self.connections.get(number):
            connection.is_busy = False
            connection.idle_since = now
            self.idle_numbers.pop(number, None)
            self.idle_numbers[number] = None

    def remove(self, number: int) -> None:
        """Removes a closed connection; one that was evicted before is ignored."""
        connection = self.connections.pop(number, None)
        self.idle_numbers.pop(number, None)
        if connection is None:
            return
        remaining = self.connections_by_source[connection.source] - 1
        if remaining:
            self.connections_by_source[connection.source] = remaining
        else:
            del self.connections_by_source[connection.source]


class ExchangePhase(Enum):
    """Phase of one HTTP exchange on a connection."""

    IDLE = "idle"
    READING_HEAD = "reading the head"
    READING_BODY = "reading the body"
    PROCESSING = "at work"
    WRITING = "writing"


def phase_timeout(phase: ExchangePhase, limits: ConnectionLimits) -> int | None:
    """Returns how long a phase may take, ns; None for processing, which has a deadline of its own."""
    return {
        ExchangePhase.IDLE: limits.idle,
        ExchangePhase.READING_HEAD: limits.head_within,
        ExchangePhase.READING_BODY: limits.body_within,
        ExchangePhase.PROCESSING: None,
        ExchangePhase.WRITING: limits.write_within,
    }[phase]


def timeout_status(phase: ExchangePhase) -> int | None:
    """Returns the status for a phase that timed out.

    408 (RFC 9110 15.5.9) once a request has begun; otherwise None, and the connection is closed without a
    response.
    """
    return 408 if phase in (ExchangePhase.READING_HEAD, ExchangePhase.READING_BODY) else None


def head_error_status(header_count: int, size_bytes: int, limits: ConnectionLimits) -> int | None:
    """Returns 431 (RFC 6585 5) for a request head with too many bytes or header lines, else None."""
    return 431 if header_count > limits.headers or size_bytes > limits.head_bytes else None


def body_error_status(
    received_bytes: int, announced_bytes: int | None, limits: ConnectionLimits
) -> int | None:
    """Returns 413 (RFC 9110 15.5.14) as soon as a body is known to be too large, else None.

    The announced length counts before any of the body is read.
    """
    return 413 if max(received_bytes, announced_bytes or 0) > limits.body_bytes else None


class PendingRequests:
    """Requests for playbacks that have no answer yet.

    A full queue rejects new requests at once. This guards against a queue in which every request waits until
    it is too late, in particular with a fleet that does not answer, where each try holds a place until it
    times out. Drawback: a short burst on a slow fleet is rejected although it would have been served.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        """Starts without requests."""
        self.limits = limits
        self.pending: dict[int, None] = {}

    def has_room(self) -> bool:
        """Whether one more request may wait."""
        return len(self.pending) < self.limits.waiting

    def add(self, number: int) -> bool:
        """Adds a request; False if there is no room for it."""
        if not self.has_room():
            return False
        self.pending[number] = None
        return True

    def remove(self, number: int) -> None:
        """Removes a request that has its answer or whose viewer has gone."""
        self.pending.pop(number, None)


def is_slow_reader(unread_events: int, limits: ConnectionLimits) -> bool:
    """Whether a reader of an event stream has so many unread events that its stream is closed.

    The reader may open a new stream, which begins with the present state, so only the events in between are
    lost.
    """
    return unread_events >= limits.event_backlog


MIN_SETUP_TIME_NS = 15 * MS
"""Time left below which no set-up is started: two round trips and the node's processing."""
