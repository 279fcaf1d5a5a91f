"""Peers of a front end process in a dense trial: playout nodes, the command channel and viewers, with faults.

They note what happens in a `TrialRecord`, by which `dense_judge` judges the front end. Times in seconds on trio's clock.
"""

from __future__ import annotations

import json
import math
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import trio

from oakcroft.platformwire import framing

DONE, FULL, ERROR, CANCELLED = 16, 34, 47, 31
"""Causes of a node's releases."""

NODE_CLOSES = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


PIECES_WEIGHT = 400
"""How much likelier a message is sent whole than cut after each of its bytes."""


WAKING_SECONDS = 0.2
"""Time in which a process that has hung reads what was sent meanwhile."""


class Fate(Enum):
    """How a node answers a set-up."""

    READY = "ready"
    FULL = "full"
    NO_ANSWER = "none"
    UNREADABLE = "unreadable"
    BROKEN_OFF = "broken off"


SPOILT_ANSWERS = {
    Fate.UNREADABLE: b'{"msg":"ready","sid":\xff\n',
    Fate.BROKEN_OFF: b'{"msg":"rea',
}


@dataclass
class Request:
    """A set-up, as its viewer sees it."""

    session_id: str
    plan: str
    sent_at: float
    abandon_at: float
    answers: list[tuple[float, int, int]] = field(default_factory=list)
    """Time, type and cause of each message that the viewer got."""

    answered_by: str = ""
    """Name of the node that made the answer."""

    given_up_at: float = math.inf
    connection_ended_at: float = math.inf
    handed_over_at: float = 0.0

    @property
    def release_at(self) -> float:
        """When the session's release came after its answer."""
        return next((at for at, kind, _ in self.answers[1:] if kind == framing.RELEASE), math.inf)


@dataclass
class Try:
    """A set-up at a node. `proven_unrun`: its end proves that it never ran."""

    session_id: str
    node: str
    at: float
    ended_at: float = math.inf
    proven_unrun: bool = False
    was_delayed: bool = False
    """The node hung when it was sent or given up, so neither time is known."""


@dataclass
class Standing:
    """A session at a node. `over_at`: when it ended; `told_at`: when the node wrote its release."""

    session_id: str
    node: TrialNode
    name: str
    stream: trio.SocketStream
    began_at: float
    ends_at: float
    over_at: float = math.inf
    told_at: float = math.inf
    closed_by_front_at: float = math.inf


@dataclass
class TrialRecord:
    """What has happened in a trial."""

    requests: dict[str, Request] = field(default_factory=dict)
    tries: list[Try] = field(default_factory=list)
    sessions: list[Standing] = field(default_factory=list)
    unreadable_lines: list[str] = field(default_factory=list)
    """Lines of a front end to a node that are no messages."""

    events: list[tuple[float, str]] = field(default_factory=list)

    def write(self, text: str) -> None:
        """Adds an event to the log of the trial."""
        self.events.append((trio.current_time(), text))


class TrialNode:
    """A playout node at one address, which different processes may take one after the other."""

    def __init__(self, name: str, cell: int, record: TrialRecord, rng: Random, note_interval: float) -> None:
        """Creates a node that does not listen yet."""
        self.name = name
        self.cell = cell
        self.record = record
        self.rng = rng
        self.note_interval = note_interval
        self.port = 0
        self.phase = "up"
        self.told_phases: list[tuple[float, str, str]] = []
        """When the channel had which phase of which name."""

        self.awake = trio.Event()
        self.awake.set()
        self.hangs: list[tuple[float, float]] = []
        self.disturbed_at = -math.inf
        """When its connections were last reset, or its process was last replaced."""

        self.streams: dict[trio.SocketStream, trio.Lock] = {}
        self.standing: dict[str, Standing] = {}
        self.open_tries: dict[str, tuple[Try, trio.SocketStream]] = {}
        self.unheard_releases: list[str] = []
        self.may_fail_answers = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self.port = listener.getsockname()[1]
        trio_listener = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_notes)
            nursery.start_soon(self._end_sessions)
            task_status.started()
            while True:
                stream = await trio_listener.accept()
                await self.awake.wait()
                nursery.start_soon(self._serve, stream, nursery)

    async def _serve(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        """Handles the messages of one connection until it ends."""
        self.streams[stream] = trio.Lock()
        remainder = b""
        with suppress(*NODE_CLOSES):
            unheard, self.unheard_releases = self.unheard_releases, []
            for session_id in unheard:
                await self._send(stream, msg="close", sid=session_id, attrs={}, code=DONE)
            async for data in stream:
                await self.awake.wait()
                *lines, remainder = (remainder + data).split(b"\n")
                for line in lines:
                    if stream.socket.fileno() >= 0:  # its process has not died meanwhile
                        await self._handle_line(stream, line, nursery)
            await self.awake.wait()
        self.streams.pop(stream, None)
        for session_id, (attempt, other) in list(self.open_tries.items()):
            if other is stream:
                attempt.ended_at = trio.current_time()
                attempt.was_delayed = attempt.was_delayed or self._has_just_hung()
                del self.open_tries[session_id]
        await trio.aclose_forcefully(stream)

    async def _handle_line(self, stream: trio.SocketStream, line: bytes, nursery: trio.Nursery) -> None:
        """Handles one line of a front end, which is to be a message."""
        try:
            message = json.loads(line)
        except ValueError:
            self.record.unreadable_lines.append(f"{self.name} got {line[:200]!r}")
            return
        await self._handle(stream, message, nursery)

    async def _handle(
        self, stream: trio.SocketStream, message: dict[str, Any], nursery: trio.Nursery
    ) -> None:
        """Handles one message of a front end."""
        kind, session_id, now = message["msg"], message["sid"], trio.current_time()
        if kind == "open":
            attempt = Try(session_id, self.name, now, was_delayed=self._has_just_hung())
            self.record.tries.append(attempt)
            self.open_tries[session_id] = (attempt, stream)
            nursery.start_soon(self._answer, stream, attempt)
        elif kind == "close":
            if (found := self.open_tries.pop(session_id, None)) is not None:
                found[0].ended_at = now
                found[0].was_delayed = found[0].was_delayed or self._has_just_hung()
            if (session := self.standing.pop(session_id, None)) is not None:
                session.over_at = session.closed_by_front_at = now
                await self._send(stream, msg="close", sid=session_id, attrs={}, code=CANCELLED)
        elif kind == "probe":
            await self._send(stream, msg="probed", sid=session_id, attrs={}, code=1)

    def _has_just_hung(self) -> bool:
        """Whether what is read now may have been sent while the process hung."""
        return any(begin <= trio.current_time() <= end + WAKING_SECONDS for begin, end in self.hangs)

    async def _answer(self, stream: trio.SocketStream, attempt: Try) -> None:
        """Answers a set-up after its work."""
        await trio.sleep(self.rng.expovariate(1 / 0.03))
        await self.awake.wait()
        session_id = attempt.session_id
        if self.open_tries.get(session_id, (None,))[0] is not attempt:
            return
        attempt.was_delayed = attempt.was_delayed or self._has_just_hung()
        fate = self._draw_fate()
        if fate is Fate.NO_ANSWER:
            return
        if fate is Fate.READY:
            await self._begin_session(stream, attempt)
            return
        del self.open_tries[session_id]
        attempt.ended_at = trio.current_time()
        if fate is Fate.FULL:
            attempt.proven_unrun = True
            await self._send(stream, msg="close", sid=session_id, attrs={}, code=FULL)
        else:
            await self._send_bytes(stream, SPOILT_ANSWERS[fate])

    def _draw_fate(self) -> Fate:
        """Draws how a set-up is answered."""
        if not self.may_fail_answers:
            return self.rng.choices([Fate.READY, Fate.FULL], [0.95, 0.05])[0]
        return self.rng.choices(list(Fate), [0.88, 0.05, 0.03, 0.02, 0.02])[0]

    async def _begin_session(self, stream: trio.SocketStream, attempt: Try) -> None:
        """Answers a set-up: its session stands."""
        session_id = attempt.session_id
        del self.open_tries[session_id]
        now = trio.current_time()
        life = self.rng.uniform(1.5, 14.0)
        session = Standing(session_id, self, self.name, stream, now, now + life)
        self.standing[session_id] = session
        self.record.sessions.append(session)
        attempt.ended_at = now
        await self._send(stream, msg="ready", sid=session_id, attrs={}, text=f"{self.name} {session_id}")

    async def _send(self, stream: trio.SocketStream, **message: Any) -> bool:
        """Sends a message; returns whether the connection took it."""
        return await self._send_bytes(stream, json.dumps(message).encode() + b"\n")

    async def _send_bytes(self, stream: trio.SocketStream, data: bytes) -> bool:
        """Sends bytes in one or two pieces; returns whether the connection took them."""
        cut = self.rng.choice([*range(1, len(data)), *PIECES_WEIGHT * [len(data)]])
        lock = self.streams.get(stream)
        if lock is None:
            return False
        try:
            async with lock:
                await stream.send_all(data[:cut])
                await trio.sleep(0.002 if cut < len(data) else 0)
                await stream.send_all(data[cut:])
        except NODE_CLOSES:
            return False
        return True

    def _stream_of(self, session: Standing) -> trio.SocketStream | None:
        """The connection for what concerns a session: that of its set-up, otherwise any open one."""
        if session.stream in self.streams:
            return session.stream
        return next(iter(self.streams), None)

    async def _send_notes(self) -> None:
        """Tells how full the link is at a fixed interval, on each session."""
        while True:
            await trio.sleep(self.note_interval or math.inf)
            await self.awake.wait()
            for session in list(self.standing.values()):
                if (stream := self._stream_of(session)) is not None:
                    attributes = {"note": "local", "value": "0.3"}
                    await self._send(stream, msg="event", sid=session.session_id, attrs=attributes)

    async def _end_sessions(self) -> None:
        """Ends the sessions whose time is over, also while the process hangs, which tells nobody then."""
        while True:
            await trio.sleep(0.02)
            now = trio.current_time()
            for session in self.standing.values():
                if session.over_at == math.inf and session.ends_at <= now:
                    session.over_at = now
            if not self.awake.is_set():
                continue
            over = [session for session in self.standing.values() if session.over_at < math.inf]
            for session in over:
                if self.standing.pop(session.session_id, None) is None:
                    continue  # closed by the front end meanwhile
                self.unheard_releases.append(session.session_id)
                stream = self._stream_of(session)
                if stream is not None and await self._send(
                    stream, msg="close", sid=session.session_id, attrs={}, code=DONE
                ):
                    session.told_at = trio.current_time()

    async def hang(self, seconds: float) -> None:
        """Hangs for a time: the kernel takes connects and data, the process does nothing."""
        self.record.write(f"{self.name} hangs for {seconds:.1f} s")
        began_at = trio.current_time()
        self.awake = trio.Event()
        for attempt, _ in self.open_tries.values():
            attempt.was_delayed = True
        self.hangs.append((began_at, began_at + seconds))
        await trio.sleep(seconds)
        self.awake.set()

    def reset_connections(self) -> None:
        """Resets all connections; set-ups open on them are given up."""
        self.record.write(f"{self.name} resets {len(self.streams)} connections")
        self.disturbed_at = trio.current_time()
        for stream in list(self.streams):
            with suppress(*NODE_CLOSES):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.socket.close()

    def be_replaced(self, name: str) -> None:
        """The process dies, and another node listens at its address at once."""
        self.record.write(f"{self.name} dies, {name} has its address")
        now = trio.current_time()
        self.reset_connections()
        for session in self.standing.values():
            session.over_at = min(session.over_at, now)
        for attempt, _ in self.open_tries.values():
            attempt.ended_at = now
        self.standing.clear()
        self.open_tries.clear()
        self.unheard_releases.clear()
        self.name = name

    def member(self, phase: str, name: str = "") -> dict[str, Any]:
        """The node as the command channel lists it."""
        return {"id": name or self.name, "host_port": f"127.0.0.1:{self.port}", "locality": "w", "flavor": "k",
                "cell": self.cell, "phase": phase, "size": 1, "up_since_ms": 0}  # fmt: skip


class TrialChannel:
    """The command channel, which may be down, silent or slow."""

    def __init__(self, record: TrialRecord, address: tuple[str, int]) -> None:
        """Starts without events, at an address that nobody else takes while it is down."""
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.host, self.port = address
        self.listener: trio.SocketListener | None = None
        self.streams: set[trio.SocketStream] = set()
        self.late_by = 0.0
        self.silent_until = -math.inf
        self.troubles: list[tuple[float, float]] = []
        """When it could not be reached, or was silent or slow."""

    def tell(self, members: list[dict[str, Any]], *, complete: bool = False) -> None:
        """Adds an event."""
        cursor = len(self.events) + 1
        self.record.write("told " + ", ".join(f"{member['id']} {member['phase']}" for member in members))
        self.events.append({"cursor": cursor, "nodes": {"complete": complete, "members": members}})

    async def listen(self, nursery: trio.Nursery) -> None:
        """Listens, on the same port again after a stop."""
        [self.listener] = await trio.open_tcp_listeners(self.port, host=self.host)
        nursery.start_soon(self._accept, self.listener, nursery)

    async def _accept(self, listener: trio.SocketListener, nursery: trio.Nursery) -> None:
        """Accepts connections until the listener is closed."""
        with suppress(trio.ClosedResourceError):
            while True:
                nursery.start_soon(self._serve, await listener.accept())

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Answers the polls of one connection."""
        self.streams.add(stream)
        with suppress(*NODE_CLOSES):
            while head := await stream.receive_some(4096):
                query = head.split()[1].partition(b"?")[2].decode()
                asked = dict(part.split("=") for part in query.split("&"))
                after = int(asked["resume"])
                with trio.move_on_after(int(asked["block"]) / 1000):
                    while len(self.events) <= after:
                        await trio.sleep(0.01)
                if trio.current_time() < self.silent_until:
                    await trio.sleep_forever()
                answer = {"cursor": len(self.events), "cmds": self.events[after:]}
                await trio.sleep(self.late_by)
                body = json.dumps(answer).encode()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.streams.discard(stream)
        await trio.aclose_forcefully(stream)

    async def be_down(self, seconds: float, nursery: trio.Nursery) -> None:
        """Takes no connection for a time, and closes the open ones."""
        self.record.write(f"channel is down for {seconds:.1f} s")
        assert self.listener is not None
        await self.listener.aclose()
        for stream in list(self.streams):
            await trio.aclose_forcefully(stream)
        await trio.sleep(seconds)
        await self.listen(nursery)

    async def be_silent(self, seconds: float) -> None:
        """Answers no poll that ends within the next seconds; those connections stay open."""
        self.record.write(f"channel falls silent for {seconds:.1f} s")
        self.silent_until = trio.current_time() + seconds
        await trio.sleep(seconds)

    async def be_slow(self, seconds: float, late_by: float) -> None:
        """Answers late for a time."""
        self.record.write(f"channel is {late_by:.1f} s late for {seconds:.1f} s")
        self.late_by = late_by
        await trio.sleep(seconds)
        self.late_by = 0.0


class TrialViewers:
    """One connection of viewers, which many sessions share; opened again when it ends."""

    def __init__(self, record: TrialRecord, rng: Random, address: Callable[[], tuple[str, int]]) -> None:
        """Starts without a connection."""
        self.record = record
        self.rng = rng
        self.address = address
        self.stream: trio.SocketStream | None = None
        self.sending = trio.Lock()
        self.open_requests: dict[str, Request] = {}
        self.leaving: set[trio.SocketStream] = set()
        self.passed_test = trio.Event()

    async def run(self) -> None:
        """Keeps a connection open until it is cancelled."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*self.address())
            except OSError:
                await trio.sleep(0.05)
                continue
            self.stream = stream
            await self._read(stream)
            self.stream = None
            now = trio.current_time()
            for request in self.open_requests.values():
                if stream in self.leaving:
                    request.given_up_at = min(request.given_up_at, now)
                request.connection_ended_at = now
            self.open_requests.clear()
            await trio.aclose_forcefully(stream)

    async def _read(self, stream: trio.SocketStream) -> None:
        """Reads messages until the connection ends."""
        decoder = framing.FrameDecoder()
        with suppress(*NODE_CLOSES):
            while data := await stream.receive_some(65536):
                decoder.receive_data(data)
                while (event := decoder.next_event()) is not None:
                    await self._handle(*event)

    async def _handle(self, kind: int, session_id: str, parameters: dict[int, bytes]) -> None:
        """Notes a message of the front end; confirms a release."""
        if kind == framing.TESTED and parameters.get(framing.CAUSE) == b"\x01":
            self.passed_test.set()
        if kind not in (framing.ANSWER, framing.RELEASE):
            return
        request = self.record.requests.get(session_id)
        if request is not None:
            cause = parameters.get(framing.CAUSE, b"\xff")[0]
            request.answers.append((trio.current_time(), kind, cause))
            if kind == framing.ANSWER:
                request.answered_by = parameters.get(framing.TEXT, b"").decode().split()[0]
            self.open_requests.pop(session_id, None)
        if kind == framing.RELEASE:
            await self.send(framing.encode(framing.RELEASE_CONFIRMED, session_id))

    async def send(self, data: bytes, pieces: int = 1) -> bool:
        """Sends bytes in pieces; returns whether the connection took them."""
        stream = self.stream
        if stream is None:
            return False
        try:
            async with self.sending:
                for number in range(pieces):
                    await stream.send_all(
                        data[number * len(data) // pieces : (number + 1) * len(data) // pieces]
                    )
                    await trio.sleep(0.01 if number + 1 < pieces else 0)
        except NODE_CLOSES:
            return False
        return stream is self.stream

    async def test(self) -> None:
        """Sends a test, as the platform's distributor does."""
        await self.send(framing.encode(framing.TEST, "00000000000000fe", (framing.CAUSE, b"\0")))

    async def ask(self, session_id: str, plan: str, wait_ms: int, at: str = "") -> Request | None:
        """Sends a set-up; returns None if there is no connection."""
        extras = "home:0;copies:0;top:2;viewer:1" + (f";at:{at}" if at else "")
        data = framing.encode(
            framing.SET_UP, session_id, (framing.PLAN, plan.encode()), (framing.WAIT, str(wait_ms).encode()),
            (framing.TITLE, b"t%d" % self.rng.randrange(6)), (framing.EXTRAS, extras.encode()),
            (framing.TEXT, b"offer" * self.rng.choice([1, 1, 400])),
        )  # fmt: skip
        if at:
            await self.send(data)
            return None
        if self.stream is None:
            return None
        request = Request(session_id, plan, math.inf, math.inf)
        self.record.requests[session_id] = request
        self.open_requests[session_id] = request
        if not await self.send(data, self.rng.choice([1, 1, 1, 3])):
            del self.record.requests[session_id]
            self.open_requests.pop(session_id, None)
            return None
        request.sent_at = trio.current_time()
        request.abandon_at = request.sent_at + wait_ms / 1000
        return request

    async def give_up(self, request: Request) -> None:
        """Gives a set-up up, or ends a session."""
        request.given_up_at = min(request.given_up_at, trio.current_time())
        self.open_requests.pop(request.session_id, None)
        await self.send(framing.encode(framing.RELEASE, request.session_id, (framing.CAUSE, bytes((DONE,)))))

    def leave(self) -> None:
        """Closes the connection with whatever is unread; a new one follows."""
        if self.stream is not None:
            self.leaving.add(self.stream)
            now = trio.current_time()
            for request in self.open_requests.values():
                request.given_up_at = min(request.given_up_at, now)
            self.stream.socket.shutdown(socket.SHUT_RDWR)
