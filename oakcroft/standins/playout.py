"""A playout node: a WHEP and WHIP endpoint over the model of its link, with faults to order."""

from __future__ import annotations

import socket
import struct
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from random import Random
from urllib.parse import unquote

import msgspec
import orjson
import trio

from oakcroft.decisions.admission.doors import Bounds, Door
from oakcroft.decisions.fleet.holding import MOST_LEASE, Caller, Word, lease, may_act, may_take
from oakcroft.decisions.sessions.evidence import DRAINING_TYPE, FULL_TYPE
from oakcroft.decisions.sessions.resource import SDPFRAG
from oakcroft.decisions.routing.routing import Asked, Side
from oakcroft.httpwire.message import Request, Response
from oakcroft.httpwire.server import Server
from oakcroft.config.told import Site
from oakcroft.signalling import handing, sdp, words
from oakcroft.standins import rtp
from oakcroft.standins.links import Machine, Stream
from oakcroft.standins.record import Record

REMEMBERS = 120.0  # seconds for which a node knows the keys that it ran
LEASE = 3.0  # a front whose event stream is gone for so long has lost its sessions
MOST_LISTING = 200_000  # octets of one answer to a front that would take over
MOST_PASSED = 1_024
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
    holder: Caller = field(default_factory=lambda: Caller(""))
    memo: str = ""  # what its front left for whoever takes it over
    answer: str = ""
    media: tuple[str, int] | None = None  # where the player receives, if it says
    sequence: int = 0
    number: int = 0  # of the set-up, in its process


@dataclass
class Ear:
    """One front's event stream, or the lack of it."""

    send: trio.MemorySendChannel[bytes] | None = None
    away_since: float = 0.0
    lease: float = LEASE
    passed: deque[tuple[float, str]] = field(
        default_factory=deque
    )  # sessions that others took over, and when


@dataclass
class Ails:
    """What is wrong with a node now."""

    dead: bool = False
    silent: bool = False
    hung: bool = False
    lost_share: float = 0.0
    draining: bool = False
    late: float = 0.0
    trusts_all: bool = False  # a planted fault: it does not check who holds a session
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
        if request.method == "POST" and not request.path.startswith(("/sessions/", handing.PATH)):
            return await self._set_up(request, front)
        while self._mute(front):
            await self.changed.wait()
        if request.path.startswith("/events/"):
            self._leased(front, request)
            return self._events(front)
        if request.path == words.LOAD_PATH and request.method == "GET":
            self.record.note("load asked", node=self.name, front=front)
            return Response(204, [(words.LOAD, words.load_report(self._load()))])
        if request.path == handing.PATH:
            return self._take(request) if request.method == "POST" else self._offer(request)
        _, _, name = request.path.partition("/sessions/")
        name, _, part = name.partition("/")
        session = self.sessions.get(name)
        if session is None:
            return Response(404)
        caller = caller_of(request)
        if not may_act(session.holder, caller) and not self.ails.trusts_all:
            self.record.note("turned away", node=self.name, session=name, front=front, method=request.method)
            return Response(
                409,
                [("Content-Type", words.PROBLEM)],
                words.problem(409, handing.NOT_HELD, "another front has it"),
            )
        session.holder = replace(session.holder, start=max(session.holder.start, caller.start))
        if request.method == "DELETE":
            self._drop(name, "deleted", front)
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
        session.holder, session.number = caller_of(request), int(number.rpartition(".")[2])
        session.memo = (request.header(handing.MEMO.lower()) or "")[: handing.MOST_MEMO]
        body = sdp.answer(offer, self.numbers, ("node" + "A" * 4, "B" * 24), FINGERPRINT).encode()
        session.answer = body.decode()
        self._start(session, rung)
        self._leased(front, request)
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

    def _drop(self, name: str, why: str, by: str = "") -> None:
        session = self.sessions.pop(name, None)
        stream = self.machine.end(name)
        if session is None or stream is None:
            return
        self.earned[session.plan] = self.earned.get(session.plan, 0.0) + stream.earned
        self.record.note(
            "over", node=self.name, session=name, key=session.key, front=session.front, why=why, by=by
        )
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

    def _leased(self, front: str, request: Request) -> None:
        """For how long a front asks this node to keep what it has."""
        asked = lease(handing.read_lease(request.header(handing.LEASE.lower())), round(LEASE * 1e9))
        self.ears.setdefault(front, Ear(away_since=trio.current_time())).lease = asked / 1e9

    # Sessions that outlive their front.

    def _away(self, front: str) -> int | None:
        """For how long a front has not listened, ns; None where it does."""
        ear = self.ears.get(front)
        if ear is None:
            return MOST_LEASE
        return None if ear.send is not None else round((trio.current_time() - ear.away_since) * 1e9)

    def _offer(self, request: Request) -> Response:
        """What may be taken over of the fronts that are named."""
        caller, some, going_on = caller_of(request), list[handing.Offered](), ""
        asked = [unquote(n) for n in (request.query("of") or "").split(",") if n][: handing.MOST_OF]
        after = request.query("after") or "0"
        told = dict.fromkeys(asked, Word.AWAY.value)
        room, last = MOST_LISTING, 0
        for s in sorted(self.sessions.values(), key=lambda s: s.number):
            if s.holder.member not in told or not s.memo:
                continue
            word = self._may_take(s, caller)
            if word is not Word.AWAY:
                told[s.holder.member] = word.value
                continue
            if s.number <= int(after):
                continue
            room -= len(s.answer) + len(s.memo) + 1_000
            if len(some) == handing.MOST_PAGE or room < 0:
                going_on = str(last)
                break
            last = s.number
            rung, path, of = self.machine.streams[s.id].rung, f"/sessions/{s.id}", s.holder.member
            some.append(handing.Offered(path, s.key, of, rung, str(s.tag), s.memo, s.answer))
        body = msgspec.json.encode(handing.Listing(told, some, going_on))
        return Response(200, [("Content-Type", "application/json"), ("Cache-Control", "no-store")], body)

    def _may_take(self, session: Session, caller: Caller) -> Word:
        ear = self.ears.get(caller.front)
        return may_take(
            session.holder, caller, self._away(session.front), ear is not None and ear.send is not None
        )

    def _take(self, request: Request) -> Response:
        """Hands sessions over to a front; all that may be, in one step of this node."""
        caller = caller_of(request)
        try:
            wanted = handing.TAKING.decode(request.body).sessions
        except msgspec.MsgspecError:
            return Response(400)
        given = []
        for path in wanted:
            session = self.sessions.get(path.removeprefix("/sessions/"))
            if session is None or not (self.ails.trusts_all or self._may_take(session, caller) is Word.AWAY):
                continue
            before = session.front
            passed = self.ears.setdefault(before, Ear(away_since=trio.current_time())).passed
            passed.append((trio.current_time(), path))
            while len(passed) > MOST_PASSED or passed[0][0] < trio.current_time() - REMEMBERS:
                passed.popleft()
            session.front, session.holder = caller.front, caller
            self._ran(caller.front).append((trio.current_time(), session.key))
            self.record.note("passed", node=self.name, session=session.id, key=session.key, plan=session.plan,
                             title=session.title, before=before, front=caller.front, start=caller.start)  # fmt: skip
            given.append(path)
        return Response(
            200, [("Content-Type", "application/json")], msgspec.json.encode(handing.Taking(given))
        )

    def _events(self, front: str) -> Response:
        send, receive = trio.open_memory_channel[bytes](1024)
        ear = self.ears.setdefault(front, Ear())
        if ear.send is not None:
            ear.send.close()
        ear.send = send
        self.record.note("listens", node=self.name, front=front, open=True)
        mine = [s for s in self.sessions.values() if s.front == front]
        send.send_nowait(words.event("hello", {
            "process": self.process, "sessions": [f"/sessions/{s.id}" for s in mine], "keys": [s.key for s in mine],
            "rungs": [self.machine.streams[s.id].rung for s in mine], "ran": [key for _, key in self._ran(front)],
            "up_ms": int((trio.current_time() - self.up_since) * 1000), "remembers_ms": int(REMEMBERS * 1000),
            "passed": [path for _, path in ear.passed],
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
                self.record.note("listens", node=self.name, front=front, open=False)

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
            if ear.send is None and now - ear.away_since > ear.lease and not self._mute(front):
                for session in [s.id for s in self.sessions.values() if s.front == front]:
                    self._drop(session, "front gone")
                if not any(s.front == front for s in self.sessions.values()) and not (
                    ear.passed and ear.passed[-1][0] > now - REMEMBERS
                ):
                    del self.ears[front]


def caller_of(request: Request) -> Caller:
    """Which front asks."""
    member, start = handing.read_front(request.header(handing.FRONT.lower()))
    return Caller((request.header("via") or "").removeprefix("1.1 "), member, start)


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection so that its peer sees a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()
    except OSError:
        pass
