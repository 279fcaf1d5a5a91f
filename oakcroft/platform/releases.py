"""Sends releases, which tell viewers that their sessions have ended, and resends them until they are confirmed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from oakcroft.decisions.sessions.release_delivery import OwedRelease, ReleaseDelivery, ViewerEvidence
from oakcroft.platform.playback_session import ViewerEndpoint
from oakcroft.running.clock import Clock


class Releases:
    """Delivers releases to viewers over the open connections."""

    def __init__(self, clock: Clock, count: Callable[[str, str], None]) -> None:
        """Creates the queues; `count` counts what was sent, by category and detail."""
        self.clock = clock
        self.count = count
        self.delivery = ReleaseDelivery[ViewerEndpoint]()

    def send(self, session_id: str, message: bytes, own_connection: ViewerEndpoint | None) -> None:
        """Sends a release on the session's own connection, else on another, else on one that opens later."""
        release = self.delivery.add(session_id, message, own_connection, self.clock.now())
        self._give_up()
        self._attempt(release)

    def connection_opened(self, connection: ViewerEndpoint) -> None:
        """Sends releases that wait for a connection on one that has just opened."""
        self._send_all(self.delivery.connection_opened(connection), connection)

    def evidence_found(self, connection: ViewerEndpoint, evidence: ViewerEvidence) -> None:
        """Sends releases that wait for a connection from viewers on one that has shown to be one."""
        self._send_all(self.delivery.evidence_found(connection, evidence), connection)

    def connection_closed(self, connection: ViewerEndpoint) -> None:
        """Sends the releases that a closed connection may have lost on other connections."""
        for release in self.delivery.connection_closed(connection):
            self._attempt(release)

    def confirmed(self, connection: ViewerEndpoint, session_id: str) -> None:
        """A viewer's side has received a release, so it passes on others too."""
        if self.delivery.remove(session_id):
            self.evidence_found(connection, ViewerEvidence.SESSION)
            self._send_all(self.delivery.sendable_on(connection), connection)

    def resend_overdue(self) -> None:
        """Sends unconfirmed releases again, and gives up those that were owed for too long."""
        self._give_up()
        for release in self.delivery.take_overdue(self.clock.now()):
            self._attempt(release)

    def _give_up(self) -> None:
        """Removes the releases that are owed no longer, and counts them."""
        for _ in range(self.delivery.take_given_up(self.clock.now())):
            self.count("release", "never confirmed")

    def _attempt(self, release: OwedRelease[ViewerEndpoint]) -> None:
        """Sends a release on the best usable connection that has not carried it, if there is one."""
        for connection in self.delivery.targets(release):
            if self._send_on(connection, release):
                return

    def _send_all(self, releases: Iterable[OwedRelease[ViewerEndpoint]], connection: ViewerEndpoint) -> None:
        """Sends releases on one connection, as far as it is usable."""
        for release in releases:
            if not self._send_on(connection, release):
                return

    def _send_on(self, connection: ViewerEndpoint, release: OwedRelease[ViewerEndpoint]) -> bool:
        """Sends a release on one connection; returns whether the connection was usable."""
        if connection.is_at_end() or not connection.write(release.message):
            return False
        is_own = connection is release.own_connection
        detail = "own connection" if is_own else self.delivery.evidence_of(connection).name.lower()
        self.count("release sent", detail)
        self.delivery.record_sent(release, connection, self.clock.now())
        return True
