"""How the end of a session reaches its viewer: on which connection it is sent, and when it is sent again.

A session belongs to no connection, so its release (the message that ends it) may be sent on any connection from
viewers. It is not known, though, who is at the other end: a client that serves no viewers passes no release on.
So a release is owed until a viewer's side confirms it, and is sent again on another connection until then. A
release on the open connection of its session's set-up is not sent again: it arrives unless the connection breaks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

from oakcroft.interface import MS, SECOND

CONFIRM_TIMEOUT_NS = 200 * MS
"""Time for a confirmation: a round trip and the viewer's own processing."""

MAX_ATTEMPTS_WITHOUT_EVIDENCE = 4
"""Attempts on connections that have shown nothing of viewers. With the timeout the last one is made after 0.6 s,
within the second in which an end must be sent.
"""

RELEASE_LIFETIME_NS = 30 * SECOND
"""Time for which a release is owed; after it the viewer is taken to have left for good."""

MAX_OWED = 4_096
MAX_RESENDS_PER_ROUND = 32  # of releases whose confirmation is overdue
MAX_PER_FLUSH = 64  # releases sent at once on a connection that has newly shown evidence of viewers


class ViewerEvidence(IntEnum):
    """What a connection has shown of who is at its other end; a higher value is stronger."""

    NONE = 0  # nothing, or health checks only
    REQUEST = 1  # a valid set-up request
    SESSION = 2  # a session was set up or handed over on it, or the end of one was sent or confirmed on it


class ReleaseConnection(Protocol):
    """A connection that releases can be sent on. It is compared by identity."""

    session_count: int  # live sessions whose set-up arrived on it


ConnectionT = TypeVar("ConnectionT", bound=ReleaseConnection)


@dataclass(frozen=True)
class _Attempt:
    """When a release was last sent (ns), and what the connection had shown by then."""

    sent_at: int
    evidence: ViewerEvidence


@dataclass
class OwedRelease(Generic[ConnectionT]):
    """A release that no viewer has confirmed. Times in ns.

    - `own_connection`: the connection of its session's set-up; None if there is none.
    - `sent_on`: the open connections on which it was sent.
    """

    session: str
    message: bytes
    own_connection: ConnectionT | None
    owed_since: int
    sent_on: dict[ConnectionT, None] = field(default_factory=dict)
    attempts_without_evidence: int = 0


class ReleaseDelivery(Generic[ConnectionT]):
    """The releases that are owed, and the connections that they can be sent on.

    An owed release is in one of three states: sent on its own connection, which is open; sent on another one, with
    its confirmation due; or without a connection to try, until one opens or shows evidence of viewers.
    """

    def __init__(self) -> None:
        """Starts without releases and connections."""
        self.owed = OrderedDict[str, OwedRelease[ConnectionT]]()  # by session, the oldest first
        # The releases that were sent on their own connections are in none of the next three tables.
        self._awaiting_confirmation = OrderedDict[str, _Attempt]()  # in the order in which they were sent
        self._waiting = OrderedDict[str, None]()
        self._waiting_for_evidence = OrderedDict[str, None]()
        self._evidence = dict[ConnectionT, ViewerEvidence]()
        # The connections with each evidence; those that have shown it last come last.
        self._connections = {evidence: dict[ConnectionT, None]() for evidence in ViewerEvidence}
        # The sessions whose releases each connection has carried.
        self._sent_on = dict[ConnectionT, dict[str, None]]()

    @property
    def waiting_count(self) -> int:
        """Number of releases without a connection to try."""
        return len(self._waiting) + len(self._waiting_for_evidence)

    def evidence_of(self, connection: ConnectionT) -> ViewerEvidence:
        """Returns what a connection has shown."""
        return self._evidence.get(connection, ViewerEvidence.NONE)

    def connection_opened(self, connection: ConnectionT) -> list[OwedRelease[ConnectionT]]:
        """Adds a connection; returns the releases to send on it."""
        self._evidence[connection] = ViewerEvidence.NONE
        self._connections[ViewerEvidence.NONE][connection] = None
        return self.sendable_on(connection)

    def evidence_found(
        self, connection: ConnectionT, evidence: ViewerEvidence
    ) -> list[OwedRelease[ConnectionT]]:
        """Records what an open connection has shown; returns the releases to send on it if that is new."""
        known = self._evidence.get(connection)
        if known is None or known >= evidence:
            return []
        del self._connections[known][connection]
        self._connections[evidence][connection] = None
        self._evidence[connection] = evidence
        return self.sendable_on(connection)

    def connection_closed(self, connection: ConnectionT) -> list[OwedRelease[ConnectionT]]:
        """Removes a connection; returns the releases that it may have lost and that are sent nowhere else."""
        known = self._evidence.pop(connection, None)
        if known is not None:
            del self._connections[known][connection]
        lost = list[OwedRelease[ConnectionT]]()
        for session in self._sent_on.pop(connection, ()):
            release = self.owed[session]
            del release.sent_on[connection]
            if not (session in self._awaiting_confirmation or self._is_waiting(session)):
                self._wait(release)
                lost.append(release)
        return lost

    def add(
        self, session: str, message: bytes, own_connection: ConnectionT | None, now: int
    ) -> OwedRelease[ConnectionT]:
        """Adds a release, which replaces an earlier one of its session. `now`: ns."""
        self.remove(session)
        release = self.owed[session] = OwedRelease(session, message, own_connection, now)
        self._wait(release)
        return release

    def _wait(self, release: OwedRelease[ConnectionT]) -> None:
        """Lets a release wait for a connection that it may be sent on."""
        has_attempts = release.attempts_without_evidence < MAX_ATTEMPTS_WITHOUT_EVIDENCE
        (self._waiting if has_attempts else self._waiting_for_evidence)[release.session] = None

    def _is_waiting(self, session: str) -> bool:
        """Whether a session's release waits for a connection."""
        return session in self._waiting or session in self._waiting_for_evidence

    def _stop_waiting(self, session: str) -> None:
        """Removes a session's release from the tables of those that wait for a connection or a confirmation."""
        self._awaiting_confirmation.pop(session, None)
        self._waiting.pop(session, None)
        self._waiting_for_evidence.pop(session, None)

    def remove(self, session: str) -> bool:
        """Removes a release, since it is confirmed or given up; returns whether it was owed."""
        release = self.owed.pop(session, None)
        if release is None:
            return False
        for connection in release.sent_on:
            del self._sent_on[connection][session]
        self._stop_waiting(session)
        return True

    def take_given_up(self, now: int) -> int:
        """Removes the releases over their lifetime or over the limit; returns how many there were. `now`: ns."""
        given_up = 0
        while self.owed and (
            len(self.owed) > MAX_OWED or now - next(iter(self.owed.values())).owed_since > RELEASE_LIFETIME_NS
        ):
            self.remove(next(iter(self.owed)))
            given_up += 1
        return given_up

    def targets(self, release: OwedRelease[ConnectionT]) -> Iterator[ConnectionT]:
        """Yields the connections on which a release may be sent, the best first.

        The session's own connection comes first, then the others by their evidence. With the same evidence, those
        with live sessions come first, as viewers keep them open, and the last to have shown its evidence.

        This guards against releases that are sent to clients without viewers. In a run with a crowd of clients,
        none of 231 releases sent on connections that had never been served was confirmed, and all of 1,813 on
        others were.
        """
        own = release.own_connection
        if own is not None and self._may_send(release, own):
            yield own
        for evidence in reversed(ViewerEvidence):
            for has_sessions in (True, False):
                for connection in reversed(self._connections[evidence]):
                    if (
                        connection is not own
                        and bool(connection.session_count) is has_sessions
                        and self._may_send(release, connection)
                    ):
                        yield connection

    def _may_send(self, release: OwedRelease[ConnectionT], connection: ConnectionT) -> bool:
        """Whether a release may be sent on a connection."""
        evidence = self._evidence.get(connection)
        if evidence is None or connection in release.sent_on:
            return False
        return (
            evidence is not ViewerEvidence.NONE
            or connection is release.own_connection
            or release.attempts_without_evidence < MAX_ATTEMPTS_WITHOUT_EVIDENCE
        )

    def sendable_on(self, connection: ConnectionT) -> list[OwedRelease[ConnectionT]]:
        """Returns the releases to send on a connection now, `MAX_PER_FLUSH` at most.

        These are the waiting ones. On a connection with evidence they include those that were last sent on one
        without sessions: in a crowd of clients that keep asking, each of these would otherwise come before the viewer.
        """
        sessions: Iterable[str] = self._waiting
        if self.evidence_of(connection) is not ViewerEvidence.NONE:
            in_doubt = (
                session
                for session, attempt in self._awaiting_confirmation.items()
                if attempt.evidence is not ViewerEvidence.SESSION
            )
            sessions = chain(self._waiting, self._waiting_for_evidence, in_doubt)
        releases = (self.owed[session] for session in sessions)
        sendable = (release for release in releases if self._may_send(release, connection))
        return list(islice(sendable, MAX_PER_FLUSH))

    def record_sent(self, release: OwedRelease[ConnectionT], connection: ConnectionT, now: int) -> None:
        """Records that a release was sent on an open connection. `now`: ns."""
        session = release.session
        release.sent_on[connection] = None
        self._sent_on.setdefault(connection, {})[session] = None
        self._stop_waiting(session)
        if connection is release.own_connection:
            return
        evidence = self.evidence_of(connection)
        self._awaiting_confirmation[session] = _Attempt(now, evidence)
        if evidence is ViewerEvidence.NONE:
            release.attempts_without_evidence += 1

    def take_overdue(self, now: int) -> list[OwedRelease[ConnectionT]]:
        """Returns the releases to send again, which wait until then, `MAX_RESENDS_PER_ROUND` at most. `now`: ns."""
        overdue = list[OwedRelease[ConnectionT]]()
        while self._awaiting_confirmation and len(overdue) < MAX_RESENDS_PER_ROUND:
            session, attempt = next(iter(self._awaiting_confirmation.items()))
            if now - attempt.sent_at < CONFIRM_TIMEOUT_NS:
                break
            del self._awaiting_confirmation[session]
            self._wait(self.owed[session])
            overdue.append(self.owed[session])
        return overdue
