"""Viewers' set-up requests that wait for their turn: queued by connection, withdrawn, expired or rejected."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from functools import partial

import trio

from oakcroft.decisions.sessions.release_delivery import ViewerEvidence
from oakcroft.platform.playback_session import SetupRequest, ViewerEndpoint
from oakcroft.platform.releases import Releases
from oakcroft.platform.timers import TimerQueue
from oakcroft.platformwire import cause_codes, framing
from oakcroft.running.inbox import Event

MAX_QUEUED_REQUESTS = 2_048
"""Past it, a request of the connection with the most of them is rejected."""


class RequestQueue:
    """The set-up requests that wait for their turn.

    Connections take turns (fair queueing, Nagle, RFC 970), so that a client's crowd delays that client. A turn is an
    event at the end of the inbox: what has arrived by then, such as answers of nodes and due timers, comes first. A
    request that gets no turn before its viewer gives up is rejected in time.
    """

    def __init__(
        self,
        submit_nowait: Callable[[Event], None],
        submit_later: Callable[[Event], None],
        process: Callable[[SetupRequest], None],
        turn_by: Callable[[SetupRequest], int],
        timers: TimerQueue,
        releases: Releases,
        max_retry_after_ns: int,
        count: Callable[[str, str], None],
    ) -> None:
        """Starts without requests.

        `submit_nowait` puts an event into the inbox, or raises trio.WouldBlock while it is full; `submit_later` waits
        for room. `process` takes a request when its turn has come, `turn_by` tells until when a set-up waits for it,
        and `count` counts rejections, by category and detail.
        """
        self.submit_nowait = submit_nowait
        self.submit_later = submit_later
        self.process = process
        self.turn_by = turn_by
        self.timers = timers
        self.releases = releases
        self.max_retry_after_ns = max_retry_after_ns
        self.count = count
        self.requests: dict[str, SetupRequest] = {}  # by session id
        self.description_chars = 0  # characters in the descriptions of queued set-ups
        # Those of each connection, the oldest first; the connection whose turn is next comes first.
        self._by_connection = OrderedDict[ViewerEndpoint, dict[SetupRequest, None]]()
        self._queued_count = 0
        self._is_turn_due = False

    def add(self, request: SetupRequest) -> None:
        """Queues a request, or rejects it at once if there is no room or its id is in use."""
        self.releases.evidence_found(request.connection, ViewerEvidence.REQUEST)
        earlier = self.requests.get(request.session_id)
        if earlier is not None and not earlier.withdrawn:
            if not (request.playing_node and earlier.playing_node):
                self.reject_duplicate(request, earlier.connection)
            return
        if self._queued_count >= MAX_QUEUED_REQUESTS and not self._make_room(request):
            self.reject_at_capacity(request)
            return
        self.requests[request.session_id] = request
        request.connection.queued_requests[request.session_id] = request
        self._by_connection.setdefault(request.connection, {})[request] = None
        self._queued_count += 1
        self.description_chars += len(request.description)
        if not request.playing_node:
            request.turn_by = self.turn_by(request)
            request.timer_id = self.timers.schedule(request.turn_by, partial(self._expire, request))
        self._submit_turn()

    def _make_room(self, newcomer: SetupRequest) -> bool:
        """Rejects the newest set-up of the connection with the most requests; returns whether there was one.

        The connection of the newcomer itself may be that one; then the newcomer has no room, unless it plays already.
        """
        longest = max(self._by_connection.values(), key=len)
        own = self._by_connection.get(newcomer.connection, {})
        if len(own) >= len(longest) and not newcomer.playing_node:
            return False
        newest = next((request for request in reversed(longest) if not request.playing_node), None)
        if newest is None:
            return False
        self._remove(newest)
        if not newest.withdrawn:
            self.reject_at_capacity(newest)
        return True

    def _remove(self, request: SetupRequest) -> bool:
        """Takes a request out of the queue; returns whether it was there."""
        queued = self._by_connection.get(request.connection, {})
        if request not in queued:
            return False
        del queued[request]
        if not queued:
            del self._by_connection[request.connection]
        self._queued_count -= 1
        self.description_chars -= len(request.description)
        self.timers.cancel(request.timer_id)
        # A later request may have taken its id.
        if self.requests.get(request.session_id) is request:
            del self.requests[request.session_id]
        if request.connection.queued_requests.get(request.session_id) is request:
            del request.connection.queued_requests[request.session_id]
        return True

    def _submit_turn(self) -> None:
        """Puts the next turn at the end of the inbox, if requests wait and none is there."""
        if self._is_turn_due or not self._by_connection:
            return
        self._is_turn_due = True
        try:
            self.submit_nowait(self._take_turn)
        except trio.WouldBlock:
            self.submit_later(self._take_turn)

    def _take_turn(self) -> None:
        """Processes the oldest request of the connection whose turn it is."""
        self._is_turn_due = False
        try:
            request = self._next_request()
            if request is not None:
                self.process(request)
        finally:
            self._submit_turn()

    def _next_request(self) -> SetupRequest | None:
        """Takes the oldest request of the connection whose turn it is.

        Those whose viewers have left, or whose time for a turn is over, take none.
        """
        while self._by_connection:
            connection, queued = next(iter(self._by_connection.items()))
            request = next(iter(queued))
            if not request.playing_node and request.turn_by <= self.timers.clock.now():
                self._expire(request)
                continue
            self._remove(request)
            if connection in self._by_connection:
                self._by_connection.move_to_end(connection)
            if request.playing_node or not request.withdrawn:
                return request
        return None

    def _expire(self, request: SetupRequest) -> None:
        """Rejects a set-up that has got no turn in time."""
        if self._remove(request) and not request.withdrawn:
            self.count("turned away", "no turn in time")
            self._reject_setup(request)

    def expire_all(self) -> None:
        """Rejects all set-ups that have got no turn yet."""
        for queued in list(self._by_connection.values()):
            for request in list(queued):
                if not request.playing_node:
                    self._expire(request)

    def withdraw(self, connection: ViewerEndpoint, session_id: str) -> None:
        """Withdraws a request whose viewer has released it; a set-up only on the connection of its request."""
        request = self.requests.get(session_id)
        if request is not None and (request.connection is connection or request.playing_node):
            request.withdrawn = True

    def withdraw_setups(self, connection: ViewerEndpoint) -> None:
        """Withdraws the set-ups of a closed connection, and answers them in case the peer has only half-closed it.

        A playback that plays already is not tied to a connection.
        """
        for request in connection.queued_requests.values():
            if not request.playing_node:
                request.withdrawn = True
                self._reject_setup(request)

    def _reject_setup(self, request: SetupRequest) -> None:
        """Answers that a set-up is rejected, and that the viewer should not retry for a time."""
        request.connection.write(
            framing.encode_release(request.session_id, cause_codes.REJECTED, self.max_retry_after_ns)
        )

    def reject_at_capacity(self, request: SetupRequest) -> None:
        """Rejects a request because a limit is reached."""
        self.count("turned away", "no place")
        if request.playing_node:
            self.reject_handover(request, self.max_retry_after_ns)
        else:
            self._reject_setup(request)

    def reject_handover(self, request: SetupRequest, retry_after_ns: int = 0) -> None:
        """Releases a playback that is handed over but cannot go on here, unless its viewer has ended it meanwhile.

        Its viewer takes it for playing, so the release is owed even if the connection of the handover has closed.
        """
        if not request.withdrawn:
            message = framing.encode_release(request.session_id, cause_codes.FAILED, retry_after_ns)
            self.releases.send(request.session_id, message, request.connection)

    def reject_duplicate(self, request: SetupRequest, first_connection: ViewerEndpoint | None) -> None:
        """Rejects a request whose id is already in use, without affecting the first request."""
        self.count("id used twice", "")
        if first_connection is request.connection:
            # On this connection a release would pass for the answer to the first request.
            request.connection.close()
        else:
            request.connection.write(framing.encode_release(request.session_id, cause_codes.FAILED))
