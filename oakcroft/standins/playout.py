"""Emulated playout node: a WHEP and WHIP endpoint over the model of its link, with faults on demand."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import trio

from oakcroft.config.settings import SharedSettings
from oakcroft.decisions.admission.connection_limits import ConnectionLimits, ConnectionTable
from oakcroft.decisions.sessions.setup_outcome import PROBLEM_DRAINING, PROBLEM_FULL
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.interface import SECOND
from oakcroft.signalling import http_formats, sdp, takeover_messages
from oakcroft.standins import rtp
from oakcroft.standins.event_streams import end_sessions_of_lost_fronts, store_lease, open_event_stream
from oakcroft.standins.links import Machine
from oakcroft.standins.media_sender import send_media
from oakcroft.standins.node_state import NodeState, Session, caller_of, front_of
from oakcroft.standins.record import Record
from oakcroft.standins.session_requests import answer_session_request
from oakcroft.standins.takeover import answer_takeover

FINGERPRINT = "sha-256 " + ":".join(["AB"] * 32)
ICE_USERNAME = "node" + "A" * 4
ICE_PASSWORD = "B" * 24
"""The same in every answer; the node sends media without ICE."""

LISTEN_RETRIES = 100
LISTEN_RETRY_SECONDS = 0.05
"""Retries to bind a port that another program may have used while the node was dead."""

LISTEN_BACKLOG = 512
IDLE_TIMEOUT_NS = 3600 * SECOND
"""Long enough that no connection of a front end is closed for being idle within a day."""

MAX_SETUP_SLOWDOWN = 20.0
"""Highest factor by which a slowed-down node takes longer for a set-up."""


class PlayoutNode(NodeState):
    """One node: its port, its process, and its answers to the front ends."""

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        machine: Machine,
        site: SharedSettings,
        record: Record,
        rng: Random,
        setup_duration_ns: tuple[int, int],
        clock: Callable[[], int],
        zone_of_front: Callable[[str], str],
    ) -> None:
        """Creates a node without a running process; `listen` and `run_process` start one."""
        super().__init__(
            name, zone, cell, machine, site, record, rng, setup_duration_ns, clock, zone_of_front
        )
        self.port = 0
        self.process_scope: trio.CancelScope | None = None
        self.connections: set[trio.SocketStream] = set()

    async def listen(self) -> list[trio.SocketListener]:
        """Opens the node's port, which stays the same from process to process."""
        for retries_left in range(LISTEN_RETRIES, -1, -1):
            try:
                listeners = list(
                    await trio.open_tcp_listeners(self.port, host="127.0.0.1", backlog=LISTEN_BACKLOG)
                )
                break
            except OSError:
                if not retries_left or not self.port:
                    raise
                await trio.sleep(LISTEN_RETRY_SECONDS)
        self.port = listeners[0].socket.getsockname()[1]
        return listeners

    async def run_process(self, listeners: list[trio.SocketListener]) -> None:
        """Runs one process of the node until it is killed."""
        self.start_count += 1
        self.keys_by_front.clear()
        self.process_started_at = trio.current_time()
        self.faults.is_dead = False
        self.faults.is_silent = False
        self.faults.is_hung = False
        self.record.note("start", node=self.name, process=self.process, cold=self.machine.is_cold)
        server = Server(
            self.handle,
            ConnectionTable(ConnectionLimits(idle=IDLE_TIMEOUT_NS)),
            self.clock,
            self._record_failure,
        )

        async def serve_connection(stream: trio.SocketStream) -> None:
            self.connections.add(stream)
            try:
                await server.serve(stream)
            finally:
                self.connections.discard(stream)

        with trio.CancelScope() as self.process_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_media, self)
                await trio.serve_listeners(serve_connection, listeners)

    def _record_failure(self, request: Request, error: BaseException) -> None:
        self.record.note("stand-in failed", node=self.name, path=request.path, error=repr(error))

    def kill(self) -> None:
        """Kills the process: resets every connection and ends every playback."""
        if self.faults.is_dead:
            return
        self.faults.is_dead = True
        playing = {session.front for session in self.sessions.values()}
        listening = {front for front, subscription in self.subscriptions.items() if subscription.channel}
        self.record.note("death", node=self.name, process=self.process, seen_by=sorted(playing | listening))
        for session in list(self.sessions):
            self.end_session(session, "death")
        self.subscriptions.clear()
        for stream in list(self.connections):
            reset_connection(stream)
        if self.process_scope is not None:
            self.process_scope.cancel()
        self.notify_changed()

    def end_sessions_of_lost_fronts(self) -> None:
        """Ends the sessions of front ends that have had no event stream for their lease."""
        end_sessions_of_lost_fronts(self)

    async def handle(self, request: Request) -> Response:
        """Answers one request of a front end."""
        front = front_of(request)
        if request.method == "POST" and not request.path.startswith(
            ("/sessions/", takeover_messages.SESSIONS_PATH)
        ):
            return await self.set_up(request, front)
        while self.cannot_reach(front):
            await self.changed.wait()
        if request.path.startswith("/events/"):
            store_lease(self, front, request)
            return self.open_event_stream(front)
        if request.path == http_formats.LOAD_PATH and request.method == "GET":
            self.record.note("load asked", node=self.name, front=front)
            return Response(204, [(http_formats.LOAD_HEADER, http_formats.format_load_report(self.load()))])
        if request.path == takeover_messages.SESSIONS_PATH:
            return answer_takeover(self, request)
        return answer_session_request(self, request, front)

    def open_event_stream(self, front: str) -> Response:
        """Opens the event stream of a front end."""
        return open_event_stream(self, front)

    async def set_up(self, request: Request, front: str) -> Response:
        """Sets up a session and records the outcome, also if the front end closes the connection meanwhile."""
        key = http_formats.parse_idempotency_key(request.header("idempotency-key") or "") or ""
        plan, title = self.plan_and_title(request.path)
        rung = int(request.query_parameter("encodingId") or 0)
        catalogue = int(request.header(http_formats.CATALOGUE_HEADER.lower()) or 0)
        self.setup_count += 1
        setup_id = f"{self.process}.{self.setup_count}"
        self.record.note(
            "setup",
            node=self.name,
            id=setup_id,
            front=front,
            key=key,
            plan=plan,
            title=title,
            rung=rung,
            catalogue=catalogue,
        )
        session_id = setup_id.replace(".", "-")
        session = Session(session_id, front, key, plan, title, setup_number=self.setup_count)
        is_answered = False
        try:
            response = await self._answer_set_up(request, session, setup_id, rung)
            is_answered = True
        finally:
            if not is_answered:
                self.record.note("broken", node=self.name, id=setup_id, key=key)
        problem = http_formats.problem_type(response.body) if response.status != HTTPStatus.CREATED else ""
        self.record.note(
            "answer", node=self.name, id=setup_id, key=key, status=response.status, problem=problem
        )
        return response

    async def _answer_set_up(self, request: Request, session: Session, setup_id: str, rung: int) -> Response:
        """Answers a set-up. The answer may be late or lost, or the set-up may crash the process."""
        front = session.front  # another front end may take the session over before the answer is sent
        while self.cannot_reach(front):
            await self.changed.wait()
        if not self.machine.admit_setup(self.clock()):
            self.record.note("fell", node=self.name, process=self.process)
            self.kill()
            await trio.sleep_forever()
        if not session.plan:
            return Response(404)
        if self.faults.is_draining:
            return self._unavailable_response(PROBLEM_DRAINING, "draining")
        if not self.machine.has_room():
            return self._unavailable_response(PROBLEM_FULL, "full")
        offer = sdp.parse(request.body.decode())
        await self._wait_setup_duration()
        session.media_address = rtp.media_address(offer)
        session.holder = caller_of(request)
        session.takeover_context = (request.header(takeover_messages.CONTEXT_HEADER.lower()) or "")[
            : takeover_messages.MAX_CONTEXT_LENGTH
        ]
        session.answer = sdp.create_answer(offer, self.setup_count, (ICE_USERNAME, ICE_PASSWORD), FINGERPRINT)
        self.start_session(session, rung)
        store_lease(self, front, request)
        while self.faults.is_hung or self.cannot_reach(front):
            await self.changed.wait()
        if self.rng.random() < self.faults.lost_answer_share:
            self.record.note("answer lost", node=self.name, id=setup_id, key=session.key)
            await trio.sleep_forever()
        return self._created_response(session, front)

    async def _wait_setup_duration(self) -> None:
        """Waits as long as a set-up takes, which counts against the node's capacity meanwhile."""
        self.machine.pending_setups += 1
        try:
            slowdown = min(MAX_SETUP_SLOWDOWN, self.machine.slowdown)
            await trio.sleep(self.rng.uniform(*self.setup_duration_ns) / SECOND * slowdown)
        finally:
            self.machine.pending_setups -= 1

    def _created_response(self, session: Session, front: str) -> Response:
        """Returns the 201 of a session, which ends if the response cannot be sent."""
        path = f"/sessions/{session.id}"
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Location", path),
            ("ETag", f'"{session.entity_tag}"'),
            ("Link", http_formats.format_link(f"/events/{front}", http_formats.REL_EVENTS)),
            ("Link", http_formats.format_link(f"{path}/layer", http_formats.REL_LAYER)),
            (http_formats.LOAD_HEADER, http_formats.format_load_report(self.load())),
        ]
        body = session.answer.encode()
        return Response(
            201, headers, body, on_unsent=lambda: self.end_session(session.id, "answer not taken")
        )

    def _unavailable_response(self, kind: str, title: str) -> Response:
        """Returns a 503 with a problem and the load of the node."""
        headers = [
            ("Content-Type", http_formats.PROBLEM_MEDIA_TYPE),
            (http_formats.LOAD_HEADER, http_formats.format_load_report(self.load())),
        ]
        return Response(503, headers, http_formats.problem_body(503, kind, title))


def reset_connection(stream: trio.SocketStream) -> None:
    """Closes a connection with a TCP reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()
    except OSError:
        pass
