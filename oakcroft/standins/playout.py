"""A playout node: a WHEP and WHIP endpoint over the model of its link, with faults to order."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from random import Random

import orjson
import trio

from oakcroft.config.settings import SharedSettings
from oakcroft.decisions.admission.connection_limits import ConnectionLimits, ConnectionTable
from oakcroft.decisions.fleet.session_ownership import may_control
from oakcroft.decisions.sessions.setup_outcome import PROBLEM_DRAINING, PROBLEM_FULL
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.interface import SECOND
from oakcroft.signalling import handing, sdp, words
from oakcroft.standins import rtp
from oakcroft.standins.event_streams import end_sessions_of_lost_fronts, store_lease, open_event_stream
from oakcroft.standins.links import Machine
from oakcroft.standins.node_state import NodeState, Session, caller_of, front_of
from oakcroft.standins.record import Record
from oakcroft.standins.takeover import answer_takeover

FINGERPRINT = "sha-256 " + ":".join(["AB"] * 32)
ICE_USERNAME, ICE_PASSWORD = "node" + "A" * 4, "B" * 24
"""Of every answer; no media passes that would need them."""

LISTEN_RETRIES, LISTEN_RETRY_SECONDS = 100, 0.05
"""How often a port is tried again that another program may have had meanwhile."""

LISTEN_BACKLOG = 512
IDLE_NS = 3600 * SECOND
"""Connections of fronts are never cut for being idle within a day."""

MAX_SETUP_SLOWDOWN = 20.0
"""A node that is slowed down further answers set-ups no later."""

PRECONDITION_FAILED = 412
CREATED = 201


class PlayoutNode(NodeState):
    """One node: its port, its process, and its answers to the fronts."""

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
        """A node without a process; `listen` and `live` start one."""
        super().__init__(
            name, zone, cell, machine, site, record, rng, setup_duration_ns, clock, zone_of_front
        )
        self.port = 0
        self.process_scope: trio.CancelScope | None = None
        self.connections: set[trio.SocketStream] = set()

    async def listen(self) -> list[trio.SocketListener]:
        """Opens the node's port, the same one each time; while the node was dead, another program may have had it."""
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
        """One life of the process, until it is killed."""
        self.start_count += 1
        self.keys_by_front.clear()
        self.process_started_at = trio.current_time()
        self.faults.is_dead = self.faults.is_silent = self.faults.is_hung = False
        self.record.note("start", node=self.name, process=self.process, cold=self.machine.is_cold)
        server = Server(
            self.handle, ConnectionTable(ConnectionLimits(idle=IDLE_NS)), self.clock, self._failed
        )

        async def serve(stream: trio.SocketStream) -> None:
            self.connections.add(stream)
            try:
                await server.serve(stream)
            finally:
                self.connections.discard(stream)

        with trio.CancelScope() as self.process_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_media)
                await trio.serve_listeners(serve, listeners)

    async def _send_media(self) -> None:
        """RTP to every player that receives it, at the media clock's pace."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as out:
            while True:
                tick = rtp.media_tick(self.clock()) + 1
                await trio.sleep(max(0.0, (tick * rtp.PACKET_INTERVAL_NS - self.clock()) / SECOND))
                if self.faults.is_hung or self.faults.is_silent:
                    continue
                for session in list(self.sessions.values()):
                    await self._send_packet(out, session, tick)

    async def _send_packet(self, out: trio.socket.SocketType, session: Session, tick: int) -> None:
        stream = self.machine.streams.get(session.id)
        if session.media_address is None or stream is None:  # it may have ended while others were sent to
            return
        packet = rtp.encode_packet(
            session.next_rtp_sequence, tick, rtp.ssrc(session.id), self.clock(), stream.rung
        )
        session.next_rtp_sequence += 1
        try:
            await out.sendto(packet, session.media_address)
        except OSError:
            session.media_address = None

    def _failed(self, request: Request, error: BaseException) -> None:
        self.record.note("stand-in failed", node=self.name, path=request.path, error=repr(error))

    def kill(self) -> None:
        """The process dies: every connection is reset, every playback ends."""
        if self.faults.is_dead:
            return
        self.faults.is_dead = True
        playing = {session.front for session in self.sessions.values()}
        listening = {front for front, ear in self.subscriptions.items() if ear.channel}
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
        """Ends what fronts play here whose stream has been gone for the lease."""
        end_sessions_of_lost_fronts(self)

    async def handle(self, request: Request) -> Response:
        """One request of a front."""
        front = front_of(request)
        if request.method == "POST" and not request.path.startswith(("/sessions/", handing.PATH)):
            return await self.set_up(request, front)
        while self.cannot_reach(front):
            await self.changed.wait()
        if request.path.startswith("/events/"):
            store_lease(self, front, request)
            return self.open_event_stream(front)
        if request.path == words.LOAD_PATH and request.method == "GET":
            self.record.note("load asked", node=self.name, front=front)
            return Response(204, [(words.LOAD, words.load_report(self.load()))])
        if request.path == handing.PATH:
            return answer_takeover(self, request)
        return self._handle_session(request, front)

    def open_event_stream(self, front: str) -> Response:
        """Opens the event stream of a front."""
        return open_event_stream(self, front)

    def _handle_session(self, request: Request, front: str) -> Response:
        """A request for one session, by the front that holds it."""
        _, _, name = request.path.partition("/sessions/")
        name, _, part = name.partition("/")
        session = self.sessions.get(name)
        if session is None:
            return Response(404)
        caller = caller_of(request)
        if not may_control(session.holder, caller) and not self.faults.skips_holder_check:
            self.record.note("turned away", node=self.name, session=name, front=front, method=request.method)
            problem = words.problem(409, handing.NOT_HELD, "another front has it")
            return Response(409, [("Content-Type", words.PROBLEM)], problem)
        session.holder = replace(session.holder, generation=max(session.holder.generation, caller.generation))
        if request.method == "DELETE":
            self.end_session(name, "deleted", front)
            return Response(200)
        if request.method == "PATCH":
            return _patch(request, session)
        if part == "layer" and request.method == "POST":
            return self._change_rung(request, session, front)
        return Response(405)

    def _change_rung(self, request: Request, session: Session, front: str) -> Response:
        rung = int(orjson.loads(request.body)["encodingId"])
        self.record.note(
            "rung", node=self.name, front=front, plan=session.plan, session=session.id, rung=rung
        )
        stream = self.machine.streams[session.id]
        stream.rate, stream.rung = self.stream_rate(session.plan, session.title, rung), rung
        return Response(204)

    async def set_up(self, request: Request, front: str) -> Response:
        """Sets up a session, and puts on record how that ended, also where the front went away."""
        key = words.idempotency_key(request.header("idempotency-key") or "") or ""
        plan, title = self.plan_and_title(request.path)
        rung = int(request.query("encodingId") or 0)
        catalogue = int(request.header(words.CATALOGUE.lower()) or 0)
        self.setup_count += 1
        number = f"{self.process}.{self.setup_count}"
        self.record.note("setup", node=self.name, id=number, front=front, key=key, plan=plan, title=title,
                         rung=rung, catalogue=catalogue)  # fmt: skip
        session = Session(number.replace(".", "-"), front, key, plan, title, setup_number=self.setup_count)
        answered = False
        try:
            response = await self._answer(request, session, number, rung)
            answered = True
        finally:
            if not answered:
                self.record.note("broken", node=self.name, id=number, key=key)
        how = words.problem_type(response.body) if response.status != CREATED else ""
        self.record.note("answer", node=self.name, id=number, key=key, status=response.status, problem=how)
        return response

    async def _answer(self, request: Request, session: Session, number: str, rung: int) -> Response:
        """The answer to a set-up, which may be late, lost, or the process's last."""
        front = session.front  # by the time of the answer, another may have taken the session over
        while self.cannot_reach(front):
            await self.changed.wait()
        if not self.machine.admit_setup(self.clock()):
            self.record.note("fell", node=self.name, process=self.process)
            self.kill()
            await trio.sleep_forever()
        if not session.plan:
            return Response(404)
        if self.faults.is_draining:
            return self._refused(PROBLEM_DRAINING, "draining")
        if not self.machine.has_room():
            return self._refused(PROBLEM_FULL, "full")
        offer = sdp.parse(request.body.decode())
        await self._wait_setup_duration()
        session.media_address, session.holder = rtp.media_address(offer), caller_of(request)
        session.memo = (request.header(handing.MEMO.lower()) or "")[: handing.MOST_MEMO]
        session.answer = sdp.answer(offer, self.setup_count, (ICE_USERNAME, ICE_PASSWORD), FINGERPRINT)
        self.start_session(session, rung)
        store_lease(self, front, request)
        while self.faults.is_hung or self.cannot_reach(front):
            await self.changed.wait()
        if self.rng.random() < self.faults.lost_answer_share:
            self.record.note("answer lost", node=self.name, id=number, key=session.key)
            await trio.sleep_forever()
        return self._created(session, front)

    async def _wait_setup_duration(self) -> None:
        """Takes the time that a set-up takes here; it uses a place meanwhile."""
        self.machine.pending_setups += 1
        try:
            slowness = min(MAX_SETUP_SLOWDOWN, self.machine.slowdown)
            await trio.sleep(self.rng.uniform(*self.setup_duration_ns) / SECOND * slowness)
        finally:
            self.machine.pending_setups -= 1

    def _created(self, session: Session, front: str) -> Response:
        here = f"/sessions/{session.id}"
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE), ("Location", here), ("ETag", f'"{session.entity_tag}"'),
            ("Link", words.link(f"/events/{front}", words.REL_EVENTS)),
            ("Link", words.link(f"{here}/layer", words.REL_LAYER)),
            (words.LOAD, words.load_report(self.load())),
        ]  # fmt: skip
        body = session.answer.encode()
        return Response(201, headers, body, unsent=lambda: self.end_session(session.id, "answer not taken"))

    def _refused(self, kind: str, title: str) -> Response:
        headers = [("Content-Type", words.PROBLEM), (words.LOAD, words.load_report(self.load()))]
        return Response(503, headers, words.problem(503, kind, title))


def _patch(request: Request, session: Session) -> Response:
    """Trickle ICE, or an ICE restart (RFC 9725, section 4.3)."""
    fragment = sdp.parse_fragment(request.body.decode())
    if request.header("if-match") == "*":
        session.entity_tag += 1
        body = f"a=ice-ufrag:new{session.entity_tag:05d}\r\na=ice-pwd:{'C' * 24}\r\n".encode()
        return Response(
            200, [("Content-Type", SDPFRAG_MEDIA_TYPE), ("ETag", f'"{session.entity_tag}"')], body
        )
    if request.header("if-match") != f'"{session.entity_tag}"':
        return Response(PRECONDITION_FAILED)
    return Response(204 if fragment.candidates or fragment.ended else 400)


def reset_connection(stream: trio.SocketStream) -> None:
    """Closes a connection so that its peer sees a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()
    except OSError:
        pass
