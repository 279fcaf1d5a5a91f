"""Viewers' requests on their way to the session coordinator: queued in its inbox, withdrawn, or rejected."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import trio

from oakcroft.decisions.sessions.release_delivery import ViewerEvidence
from oakcroft.platform.playback_session import SetupRequest, ViewerEndpoint
from oakcroft.platform.releases import Releases
from oakcroft.platformwire import cause_codes, framing
from oakcroft.running.inbox import Event


class RequestQueue:
    """The set-up requests that wait in the coordinator's inbox, by session id.

    `submit_nowait` raises trio.WouldBlock while the inbox is full. `process` takes a request when its turn has come.
    """

    def __init__(
        self,
        submit_nowait: Callable[[Event], None],
        process: Callable[[SetupRequest], None],
        releases: Releases,
        max_retry_after_ns: int,
        count: Callable[[str, str], None],
    ) -> None:
        """Starts without requests; `count` counts rejections, by category and detail."""
        self.submit_nowait = submit_nowait
        self.process = process
        self.releases = releases
        self.max_retry_after_ns = max_retry_after_ns
        self.count = count
        self.requests: dict[str, SetupRequest] = {}
        self.description_chars = 0  # characters in the descriptions of queued set-ups

    def add(self, request: SetupRequest) -> None:
        """Queues a request in the inbox, or rejects it at once if the inbox is full or its id is in use."""
        self.releases.evidence_found(request.connection, ViewerEvidence.REQUEST)
        earlier = self.requests.get(request.session_id)
        if earlier is not None and not earlier.withdrawn:
            if not (request.playing_node and earlier.playing_node):
                self.reject_duplicate(request, earlier.connection)
            return
        try:
            self.submit_nowait(partial(self._take, request))
        except trio.WouldBlock:
            self.reject_at_capacity(request)
            return
        self.requests[request.session_id] = request
        request.connection.queued_requests[request.session_id] = request
        self.description_chars += len(request.description)

    def _take(self, request: SetupRequest) -> None:
        """Processes a request that has reached the head of the inbox, unless its viewer has left."""
        self.description_chars -= len(request.description)
        # A later request may have taken its id.
        if self.requests.get(request.session_id) is request:
            del self.requests[request.session_id]
        if request.connection.queued_requests.get(request.session_id) is request:
            del request.connection.queued_requests[request.session_id]
        if request.playing_node or not request.withdrawn:
            self.process(request)

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
