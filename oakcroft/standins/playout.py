"""A playout node: a WHEP and WHIP endpoint over the model of its link, with faults to order."""

from __future__ import annotations

import socket
import struct
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from random import Random
from urllib.parse import unquote

import orjson
import trio

from oakcroft.decisions.admission.doors import Bounds, Door
from oakcroft.decisions.sessions.evidence import DRAINING_TYPE, FULL_TYPE
from oakcroft.decisions.sessions.resource import SDPFRAG
from oakcroft.decisions.routing.routing import Asked, Side
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.config.told import Site
from oakcroft.signalling import sdp, words
from oakcroft.standins import rtp
from oakcroft.standins.links import Machine, Stream
from oakcroft.standins.record import Record

REMEMBERS = 120.0  # seconds for which a node knows the keys that it ran
LEASE = 3.0  # a front whose event stream is gone for so long has lost its sessions
FINGERPRINT = "sha-256 " + ":".join(["AB"] * 32)


@dataclass
class Session:
    """One playback on a node."""

    id: str
    front: str
    key: str
    plan: str
    title: str
    tag: int = 1
    media: tuple[str, int] | None = None  # where the player receives, if it says
    sequence: int = 0


@dataclass
class Ear:
    """One front's event stream, or the lack of it."""

    send: trio.MemorySendChannel[bytes] | None = None
    away_since: float = 0.0


@dataclass
class Ails:
    """What is wrong with a node now."""

    dead: bool = False
    silent: bool = False
    hung: bool = False
    lost_share: float = 0.0
    draining: bool = False
    late: float = 0.0
    cut_from: set[str] = field(default_factory=set)


class PlayoutNode:
    """One node: its port, its process, its sessions."""

    def __init__(self, name: str, wing: str, cell: int, machine: Machine, site: Site, record: Record, rng: Random,
                 setup: tuple[int, int], clock: Callable[[], int], wing_of: Callable[[str], str]) -> None:  # fmt: skip
        self.name, self.wing, self.cell, self.machine = name, wing, cell, machine
        self.site, self.record, self.rng, self.setup = site, record, rng, setup
        self.clock, self.wing_of = clock, wing_of
        self.port, self.boots, self.numbers = 0, 0, 0
        self.ails = Ails()
        self.sessions: dict[str, Session] = {}
        self.ran: dict[str, deque[tuple[float, str]]] = {}  # by front: when, and the key
        self.up_since = 0.0
        self.ears: dict[str, Ear] = {}
        self.scope: trio.CancelScope | None = None
        self.streams: set[trio.SocketStream] = set()
        self.changed = trio.Event()
        self.earned: dict[str, float] = {}

    @property
    def process(self) -> str:
        """The name of the running process."""
        return f"{self.name}-{self.boots}"

    # The process.

    async def listen(self) -> list[trio.SocketListener]:
        """Opens the node's port, the same one each time; while the node was dead, another program may have had it."""
        for patience in range(100, -1, -1):
            try:
                listeners = list(await trio.open_tcp_listeners(self.port, host="127.0.0.1", backlog=512))
                break
            except OSError:
                if not patience or not self.port:
                    raise
                await trio.sleep(0.05)
        self.port = listeners[0].socket.getsockname()[1]
        return listeners

    async def live(self, listeners: list[trio.SocketListener]) -> None:
        """One life of the process, until it is killed."""
        self.boots += 1
        self.ran.clear()
        self.up_since = trio.current_time()
        self.ails.dead = self.ails.silent = self.ails.hung = False
        self.record.note("start", node=self.name, process=self.process, cold=self.machine.cold)
        server = Server(self.handle, Door(Bounds(idle=3600 * 10**9)), self.clock, self._failed)

        async def serve(stream: trio.SocketStream) -> None:
            self.streams.add(stream)
            try:
                await server.serve(stream)
            finally:
                self.streams.discard(stream)

        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._media)
                await trio.serve_listeners(serve, listeners)

    async def _media(self) -> None:
        """RTP to every player that receives it, at the media clock's pace."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as out:
            while True:
                tick = rtp.tick(self.clock()) + 1
                await trio.sleep(max(0.0, (tick * rtp.INTERVAL - self.clock()) / 1e9))
                if self.ails.hung or self.ails.silent:
                    continue
                for session in list(self.sessions.values()):
                    stream = self.machine.streams.get(
                        session.id
                    )  # it may have ended while others were sent to
                    if session.media is not None and stream is not None:
                        packet = rtp.packet(
                            session.sequence, tick, rtp.ssrc(session.id), self.clock(), stream.rung
                        )
                        session.sequence += 1
                        try:
                            await out.sendto(packet, session.media)
                        except OSError:
                            session.media = None

    def _failed(self, request: Request, error: BaseException) -> None:
        self.record.note("stand-in failed", node=self.name, path=request.path, error=repr(error))

    def kill(self) -> None:
        """The process dies: every connection is reset, every playback ends."""
        if self.ails.dead:
            return
        self.ails.dead = True
        knew = sorted({s.front for s in self.sessions.values()} | {f for f, e in self.ears.items() if e.send})
        self.record.note("death", node=self.name, process=self.process, seen_by=knew)
        for session in list(self.sessions):
            self._drop(session, "death")
        self.ears.clear()
        for stream in list(self.streams):
            reset(stream)
        if self.scope is not None:
            self.scope.cancel()
        self.stir()

    def stir(self) -> None:
        """Wakes those that wait for the node's state to change."""
        self.changed.set()
        self.changed = trio.Event()

    # Requests.

    async def handle(self, request: Request) -> Response:
        """One request of a front."""
        front = (request.header("via") or "").removeprefix("1.1 ")
        if request.method == "POST" and not request.path.startswith("/sessions/"):
            return await self._set_up(request, front)
        while self._mute(front):
            await self.changed.wait()
        if request.path.startswith("/events/"):
            return self._events(front)
        _, _, name = request.path.partition("/sessions/")
        name, _, part = name.partition("/")
        session = self.sessions.get(name)
        if session is None:
            return Response(404)
        if request.method == "DELETE":
            self._drop(name, "deleted")
            return Response(200)
        if request.method == "PATCH":
            return self._patch(request, session)
        if part == "layer" and request.method == "POST":
            rung = int(orjson.loads(request.body)["encodingId"])
            self.record.note("rung", node=self.name, front=front, plan=session.plan, session=name, rung=rung)
            stream = self.machine.streams[name]
            stream.rate, stream.rung = self._rate(session.plan, session.title, rung), rung
            return Response(204)
        return Response(405)

    def _mute(self, front: str) -> bool:
        return self.ails.silent or self.wing_of(front) in self.ails.cut_from

    def _plan(self, path: str) -> tuple[str, str]:
        """The plan and title of a path, as the most particular route of either side has it; conditions on the client
        are the front's matter."""
        prefix, title = Asked(Side.WATCH, unquote(path), "", {}).split()
        for side in Side:
            bucket = self.site.table.buckets.get((side, prefix))
            for routes in bucket.candidates(title) if bucket else ():
                for route in routes:
                    return route.plan, title
        return "", ""

    def _rate(self, plan: str, title: str, rung: int) -> float:
        vary = 0.85 + 0.3 * (sum(title.encode()) % 97) / 97
        return self.site.terms.rates[rung] * self.site.plans[plan].plan.rate_factor * vary

    async def _set_up(self, request: Request, front: str) -> Response:
        key = words.idempotency_key(request.header("idempotency-key") or "") or ""
        plan, title = self._plan(request.path)
        rung = int(request.query("encodingId") or 0)
        self.numbers += 1
        number = f"{self.process}.{self.numbers}"
        self.record.note(
            "setup",
            node=self.name,
            id=number,
            front=front,
            key=key,
            plan=plan,
            title=title,
            rung=rung,
            catalogue=int(request.header(words.CATALOGUE.lower()) or 0),
        )
        answered = False
        try:
            response = await self._answer(request, front, key, plan, title, rung, number)
            answered = True
        finally:
            if not answered:
                self.record.note("broken", node=self.name, id=number, key=key)
        how = words.problem_type(response.body) if response.status != 201 else ""
        self.record.note("answer", node=self.name, id=number, key=key, status=response.status, problem=how)
        return response

    async def _answer(
        self, request: Request, front: str, key: str, plan: str, title: str, rung: int, number: str
    ) -> Response:
        while self._mute(front):
            await self.changed.wait()
        machine, now = self.machine, self.clock()
        if not machine.knock(now):
            self.record.note("fell", node=self.name, process=self.process)
            self.kill()
            await trio.sleep_forever()
        if not plan:
            return Response(404)
        if self.ails.draining:
            return self._refused(DRAINING_TYPE, "draining")
        if not machine.has_room():
            return self._refused(FULL_TYPE, "full")
        offer = sdp.parse(request.body.decode())
        machine.waiting += 1
        try:
            await trio.sleep(self.rng.uniform(*self.setup) / 1e9 * min(20.0, machine.slowness))
        finally:
            machine.waiting -= 1
        session = Session(number.replace(".", "-"), front, key, plan, title, media=rtp.receiver(offer))
        self._start(session, rung)
        while self.ails.hung or self._mute(front):
            await self.changed.wait()
        if self.rng.random() < self.ails.lost_share:
            self.record.note("answer lost", node=self.name, id=number, key=key)
            await trio.sleep_forever()
        here = f"/sessions/{session.id}"
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE), ("Location", here), ("ETag", f'"{session.tag}"'),
            ("Link", words.link(f"/events/{front}", words.REL_EVENTS)),
            ("Link", words.link(f"{here}/layer", words.REL_LAYER)),
            (words.LOAD, words.load_report(self._load())),
        ]  # fmt: skip
        body = sdp.answer(offer, self.numbers, ("node" + "A" * 4, "B" * 24), FINGERPRINT).encode()
        return Response(201, headers, body, unsent=lambda: self._drop(session.id, "answer not taken"))

    def _refused(self, kind: str, title: str) -> Response:
        headers = [("Content-Type", words.PROBLEM), (words.LOAD, words.load_report(self._load()))]
        return Response(503, headers, words.problem(503, kind, title))

    def _load(self) -> words.Load:
        asked, uplink = self.machine.asked(), self.machine.uplink_asked()
        return words.Load(asked, min(1.0, asked), uplink if uplink else None)

    def _ran(self, front: str) -> deque[tuple[float, str]]:
        some = self.ran.setdefault(front, deque())
        while some and some[0][0] < trio.current_time() - REMEMBERS:
            some.popleft()
        return some

    def _start(self, session: Session, rung: int) -> None:
        plan = self.site.plans[session.plan].plan
        worth = tuple(w * plan.revenue for w in self.site.terms.rung_worth)
        stream = Stream(self._rate(session.plan, session.title, rung), rung, worth, self.clock())
        self.sessions[session.id] = session
        self._ran(session.front).append((trio.current_time(), session.key))
        self.machine.begin(session.id, stream)
        self.record.note(
            "ran", node=self.name, key=session.key, plan=session.plan, front=session.front, session=session.id
        )
        ear = self.ears.setdefault(session.front, Ear(away_since=trio.current_time()))
        self.say(ear, "started", {"session": f"/sessions/{session.id}"})

    def _drop(self, name: str, why: str) -> None:
        session = self.sessions.pop(name, None)
        stream = self.machine.end(name)
        if session is None or stream is None:
            return
        self.earned[session.plan] = self.earned.get(session.plan, 0.0) + stream.earned
        self.record.note("over", node=self.name, session=name, key=session.key, front=session.front, why=why)
        if ear := self.ears.get(session.front):
            self.say(ear, "ended", {"session": f"/sessions/{name}", "why": why})

    def _patch(self, request: Request, session: Session) -> Response:
        fragment = sdp.parse_fragment(request.body.decode())
        if request.header("if-match") == "*":
            session.tag += 1
            body = f"a=ice-ufrag:new{session.tag:05d}\r\na=ice-pwd:{'C' * 24}\r\n".encode()
            return Response(200, [("Content-Type", SDPFRAG), ("ETag", f'"{session.tag}"')], body)
        stale = request.header("if-match") != f'"{session.tag}"'
        return Response(412 if stale else 204 if fragment.candidates or fragment.ended else 400)

    # The event stream of each front.

    def _events(self, front: str) -> Response:
        send, receive = trio.open_memory_channel[bytes](1024)
        ear = self.ears.setdefault(front, Ear())
        if ear.send is not None:
            ear.send.close()
        ear.send = send
        mine = [s for s in self.sessions.values() if s.front == front]
        send.send_nowait(words.event("hello", {
            "process": self.process, "sessions": [f"/sessions/{s.id}" for s in mine], "keys": [s.key for s in mine],
            "rungs": [self.machine.streams[s.id].rung for s in mine], "ran": [key for _, key in self._ran(front)],
            "up_ms": int((trio.current_time() - self.up_since) * 1000), "remembers_ms": int(REMEMBERS * 1000),
        }))  # fmt: skip
        headers = [("Content-Type", words.EVENTS), ("Cache-Control", "no-store")]
        return Response(200, headers, stream=self._chunks(front, ear, send, receive))

    async def _chunks(
        self,
        front: str,
        ear: Ear,
        send: trio.MemorySendChannel[bytes],
        receive: trio.MemoryReceiveChannel[bytes],
    ) -> AsyncIterator[bytes]:
        try:
            while True:
                chunk = words.BEAT
                with trio.move_on_after(0.5):
                    try:
                        chunk = await receive.receive()
                    except trio.EndOfChannel:
                        return
                while self._mute(front):
                    await self.changed.wait()
                yield chunk
        finally:
            receive.close()
            if ear.send is send:
                ear.send, ear.away_since = None, trio.current_time()

    @staticmethod
    def say(ear: Ear, name: str, data: object) -> None:
        """An event to one front, if it listens and is not too far behind."""
        if ear.send is not None:
            try:
                ear.send.send_nowait(words.event(name, data))
            except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
                ear.send.close()
                ear.send, ear.away_since = None, trio.current_time()

    def look_for_lost_fronts(self) -> None:
        """Ends what fronts play here whose stream has been gone for the lease."""
        now = trio.current_time()
        for front, ear in list(self.ears.items()):
            if ear.send is None and now - ear.away_since > LEASE and not self._mute(front):
                for session in [s.id for s in self.sessions.values() if s.front == front]:
                    self._drop(session, "front gone")
                if not any(s.front == front for s in self.sessions.values()):
                    del self.ears[front]


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection so that its peer sees a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()
    except OSError:
        pass
