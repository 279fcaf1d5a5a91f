"""Sends releases, which tell viewers that their sessions have ended, and resends them until they are confirmed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from oakcroft.decisions.sessions.release_delivery import ReleaseTarget, UnconfirmedReleases, target_order
from oakcroft.platform.playback_session import ViewerEndpoint
from oakcroft.running.clock import Clock

MAX_UNSENT = 4_096  # releases that wait for a viewer connection; over the limit the oldest is dropped


@dataclass
class _Release:
    """One release: the message, the connection of its session's set-up, and the connections it was sent on."""

    message: bytes
    own_connection: ViewerEndpoint | None
    sent_on: list[ViewerEndpoint] = field(default_factory=list)


class Releases:
    """Delivers releases to viewers over the open connections.

    A release that was sent on the connection of its session's set-up needs no confirmation: it arrives unless
    the connection breaks.
    """

    def __init__(
        self, clock: Clock, connections: Iterable[ViewerEndpoint], count: Callable[[str, str], None]
    ) -> None:
        """Creates the queues; `connections` is a live view of the open connections, `count` counts events."""
        self.clock = clock
        self.connections = connections
        self.count = count
        self.unsent = OrderedDict[str, _Release]()  # by session id, for the next connection that opens
        self.unconfirmed = UnconfirmedReleases()
        self._awaiting_confirmation: dict[str, _Release] = {}

    def send(self, session_id: str, message: bytes, own_connection: ViewerEndpoint | None) -> None:
        """Sends a release on the session's own connection, else on another, else on the next one that opens."""
        release = _Release(message, own_connection)
        if self._attempt(session_id, release):
            return
        self.unsent[session_id] = release
        if len(self.unsent) > MAX_UNSENT:
            self.unsent.popitem(last=False)

    def connection_opened(self, connection: ViewerEndpoint) -> None:
        """Sends the releases that wait for a connection on one that has just opened."""
        for session_id, release in list(self.unsent.items()):
            if not self._send_on(connection, session_id, release):
                return
            del self.unsent[session_id]

    def confirmed(self, session_id: str) -> None:
        """A viewer's side has received the release."""
        self.unconfirmed.confirm(session_id)
        self._awaiting_confirmation.pop(session_id, None)

    def resend_overdue(self) -> None:
        """Sends unconfirmed releases again if there is another connection to send them on."""
        for session_id in self.unconfirmed.overdue(self.clock.now()):
            if not self._attempt(session_id, self._awaiting_confirmation[session_id]):
                self.unconfirmed.confirm(session_id)
        for session_id in [
            session_id for session_id in self._awaiting_confirmation if session_id not in self.unconfirmed
        ]:
            del self._awaiting_confirmation[session_id]
            self.count("release", "never confirmed")

    def _attempt(self, session_id: str, release: _Release) -> bool:
        """Sends a release on the best usable connection that has not carried it; returns whether there was one."""
        return any(self._send_on(connection, session_id, release) for connection in self._targets(release))

    def _targets(self, release: _Release) -> list[ViewerEndpoint]:
        """Returns the connections on which the release has not been sent, the best first."""
        candidates = dict.fromkeys([release.own_connection, *self.connections])
        untried = [
            connection
            for connection in candidates
            if connection is not None and connection not in release.sent_on
        ]

        def order(connection: ViewerEndpoint) -> tuple[bool, bool, bool]:
            is_own = connection is release.own_connection
            return target_order(ReleaseTarget(is_own, connection.has_served, connection.session_count))

        return sorted(untried, key=order)

    def _send_on(self, connection: ViewerEndpoint, session_id: str, release: _Release) -> bool:
        """Sends a release on one connection; returns whether the connection was usable."""
        if connection.is_at_end() or not connection.write(release.message):
            return False
        release.sent_on.append(connection)
        if connection is release.own_connection:
            self.count("release sent", "own connection")
        else:
            self.count("release sent", "session" if connection.has_served else "none")
        if connection is not release.own_connection:
            self._awaiting_confirmation[session_id] = release
            self.unconfirmed.record_sent(session_id, self.clock.now())
        return True
