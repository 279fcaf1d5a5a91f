"""Sends releases to viewers: the end of each session, and again until a viewer's side confirms it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from oakcroft.decisions.sessions.release_delivery import ReleaseTarget, UnconfirmedReleases, target_order
from oakcroft.platform.playback_session import ViewerEnd
from oakcroft.running.clock import Clock

MAX_OWED = 4_096  # releases that wait for a viewer's connection; beyond it the oldest is dropped


@dataclass
class _Release:
    """One release: the message, the connection of its session's set-up, and the connections it was sent on."""

    message: bytes
    own: ViewerEnd | None
    sent_on: list[ViewerEnd] = field(default_factory=list)


class Releases:
    """Releases on their way to viewers over the open connections.

    A release that was sent on the connection of its session's set-up needs no confirmation: it arrives, or
    the connection breaks.
    """

    def __init__(self, clock: Clock, connections: Iterable[ViewerEnd]) -> None:
        """`connections` is a live view of the open connections."""
        self.clock, self.connections = clock, connections
        self.owed = OrderedDict[str, _Release]()  # by session id, for the next connection that opens
        self.unconfirmed = UnconfirmedReleases()
        self._under_way: dict[str, _Release] = {}

    def send(self, session: str, message: bytes, own: ViewerEnd | None) -> None:
        """Sends a release on the session's own connection, else on another, else on the next one that opens."""
        release = _Release(message, own)
        if self._attempt(session, release):
            return
        self.owed[session] = release
        if len(self.owed) > MAX_OWED:
            self.owed.popitem(last=False)

    def opened(self, connection: ViewerEnd) -> None:
        """Sends the releases that wait for a connection on one that has just opened."""
        for session, release in list(self.owed.items()):
            if not self._send_on(connection, session, release):
                return
            del self.owed[session]

    def confirmed(self, session: str) -> None:
        """A viewer's side has received the release."""
        self.unconfirmed.confirmed(session)
        self._under_way.pop(session, None)

    def look(self) -> None:
        """Sends unconfirmed releases again if there is another connection to send them on."""
        for session in self.unconfirmed.overdue(self.clock.now()):
            if not self._attempt(session, self._under_way[session]):
                self.unconfirmed.confirmed(session)
        for session in [s for s in self._under_way if s not in self.unconfirmed]:
            del self._under_way[session]

    def _attempt(self, session: str, release: _Release) -> bool:
        """Sends a release on the best connection that it was not sent on yet; returns whether there was one."""
        return any(self._send_on(connection, session, release) for connection in self._targets(release))

    def _targets(self, release: _Release) -> list[ViewerEnd]:
        """The connections that the release may be sent on next, the best first."""
        candidates = dict.fromkeys([release.own, *self.connections])
        untried = [c for c in candidates if c is not None and c not in release.sent_on]

        def order(connection: ViewerEnd) -> tuple[bool, bool, bool]:
            own = connection is release.own
            return target_order(ReleaseTarget(own, connection.has_served, connection.sessions))

        return sorted(untried, key=order)

    def _send_on(self, connection: ViewerEnd, session: str, release: _Release) -> bool:
        """Sends a release on one connection; returns whether the connection was usable."""
        if connection.ended() or not connection.write(release.message):
            return False
        release.sent_on.append(connection)
        if connection is not release.own:
            self._under_way[session] = release
            self.unconfirmed.sent(session, self.clock.now())
        return True
