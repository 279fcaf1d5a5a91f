"""Small stand-ins of the platform for the cases of the second review: command channel, playout nodes, viewers.

They follow PROTOCOL and DEPLOY of the users' pages and use the standard library only. A case builds them in one event
loop and starts the front ends as processes of their own with `run` of the deploy file. All times are Unix seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SLACK = 0.05  # every time limit of the rules is 50 ms longer on sockets (PROTOCOL)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SET_UP, ANSWER, RELEASE, CONFIRMED, TEST, TESTED, RUNG = 1, 9, 12, 16, 52, 53, 60
REFUSALS = (34, 42, 102)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played as it is meant."""


class Record:
    """What was sent, answered and run, in order; written to `record.txt` beside the case."""

    def __init__(self, folder: Path) -> None:
        """Starts an empty record for the case in `folder`."""
        self.folder = folder
        self.began_at = time.time()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self.lines.append(f"{time.time() - self.began_at:9.4f} {text}")

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        """Writes the record."""
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")


def encode_frame(kind: int, session: str, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes one message between viewers and a front end."""
    body = b"".join(bytes((code,)) + len(value).to_bytes(2, "big") + value for code, value in parameters)
    return (9 + len(body)).to_bytes(2, "big") + bytes((kind,)) + bytes.fromhex(session) + body


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, str, dict[int, bytes]]:
    """Reads one message of a front end."""
    length = int.from_bytes(await reader.readexactly(2), "big")
    body = await reader.readexactly(length)
    parameters: dict[int, bytes] = {}
    position = 9
    while position < length:
        size = int.from_bytes(body[position + 1 : position + 3], "big")
        parameters[body[position]] = body[position + 3 : position + 3 + size]
        position += 3 + size
    return body[0], body[1:9].hex(), parameters


class Channel:
    """The command channel: numbered events, asked for by long polls over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        """Creates a channel without events."""
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.told_at: list[float] = []  # by event: when it was put into the channel
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = free_port()
        self.polls: list[tuple[float, int, int]] = []  # time, resume, octets of the answer
        self.is_down = False
        self.way = 0.0  # seconds that each poll and each answer is under way
        self.late_by = 0.0  # seconds that an answer takes to be made

    async def start(self) -> None:
        """Listens; keeps its port over a restart."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_down = False

    def stop(self) -> None:
        """Goes down: connections are reset, and new ones are refused."""
        self.is_down = True
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def tell(self, members: list[dict[str, Any]], complete: bool = False) -> int:
        """Puts an event into the channel; returns its number."""
        number = len(self.events) + 1
        nodes = {"revision": number, "complete": complete, "members": members}
        self.events.append({"cursor": number, "nodes": nodes})
        self.told_at.append(time.time())
        self.changed.set()
        self.changed = asyncio.Event()
        return number

    def known(self) -> dict[str, Any]:
        """The events up to now, as the configuration holds them."""
        return {"cursor": len(self.events), "cmds": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the polls of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = head.split(b" ", 2)[1].split(b"?", 1)[1].decode()
                fields = dict(part.split("=", 1) for part in query.split("&"))
                after, block = int(fields["resume"]), min(5000, int(fields["block"])) / 1000
                await asyncio.sleep(self.way)
                asked_at = time.time()
                while len(self.events) <= after and time.time() - asked_at < block:
                    left = block - (time.time() - asked_at)
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except TimeoutError:
                        break
                await asyncio.sleep(self.late_by)
                later = self.events[after:]
                body = json.dumps({"cursor": max(after, len(self.events)), "cmds": later}).encode()
                self.polls.append((asked_at, after, len(body)))
                if later:
                    self.record.add(
                        f"channel answers resume={after}: {len(later)} events, {len(body)} octets"
                    )
                await asyncio.sleep(self.way)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Standing:
    """A session that stands at a node."""

    def __init__(self, session: str, writer: asyncio.StreamWriter, rate: float) -> None:
        """Starts at the answer."""
        self.session = session
        self.writer = writer
        self.rate = rate
        self.rung = 0


class Node:
    """A playout node. It answers soundly; a case may change how."""

    def __init__(self, name: str, record: Record, rng: random.Random, **options: Any) -> None:
        """Creates a node; `options` replaces attributes such as `life`."""
        self.name = name
        self.record = record
        self.rng = rng
        self.cell = 0
        self.zone = "north-hall"
        self.kind = "two-core"
        self.size = 1.0
        self.up_since_ms = 0
        self.phase = "up"
        self.life = (6.0, 12.0)  # seconds that a session stands
        self.work = (0.005, 0.03)  # seconds until a set-up is answered
        self.link = 7000.0  # kB/s
        self.rates = [240.0, 430.0, 745.0, 1290.0, 2230.0]
        self.slots = 23
        self.report = "x0"
        self.note_every = 3.0
        self.port = 0
        self.host = HOST
        self.opens: list[tuple[float, str, str]] = []  # time, session, class of each set-up received
        self.opened_titles: list[tuple[float, str, str]] = []  # the same with the title
        self.standing: dict[str, Standing] = {}
        self.pending: dict[str, asyncio.StreamWriter] = {}
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.owed: list[str] = []  # releases that no connection could take
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_open: Callable[[Node, str, dict[str, Any], asyncio.StreamWriter], Awaitable[bool]] | None = (
            None
        )
        for option, value in options.items():
            setattr(self, option, value)

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self._spawn(self._send_notes())

    def _spawn(self, work: Any) -> None:
        """Runs a task of this node."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def member(self, phase: str = "") -> dict[str, Any]:
        """The node as the command channel lists it."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase or self.phase,
            "size": self.size,
            "up_since_ms": self.up_since_ms,
        }

    def die(self) -> None:
        """The process dies: its connections are reset, its sessions are cut."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.standing.clear()
        self.pending.clear()

    def load(self) -> str:
        """The report: what is asked of the link over what it gives."""
        asked = sum(session.rate for session in self.standing.values()) / self.link
        return f"x0:{asked:.3f}" if self.report == "x0" else f"utilization:{min(1.0, asked):.3f}"

    def send(
        self, writer: asyncio.StreamWriter, kind: str, session: str, attrs: dict[str, Any], **more: Any
    ) -> None:
        """Writes one message."""
        if not writer.transport.is_closing():
            message = {"msg": kind, "sid": session, "attrs": attrs, **more}
            writer.write(json.dumps(message).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles the messages of one connection."""
        self.writers[writer] = None
        owed, self.owed = self.owed, []
        for session in owed:
            self.send(writer, "close", session, {}, code=16)
        try:
            while line := await reader.readline():
                await self.handle(json.loads(line), writer)
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.pop(writer, None)
            for session, other in list(self.pending.items()):
                if other is writer:  # the set-ups open on a connection are given up when it closes
                    del self.pending[session]
            writer.close()

    async def handle(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Handles one message of a front end."""
        kind, session = message["msg"], message["sid"]
        if kind == "open":
            self.opens.append((time.time(), session, message["attrs"]["class"]))
            self.record.add(f"node {self.name} gets open {session} {message['attrs']['class']}")
            self.opened_titles.append((time.time(), session, message["attrs"]["key"]))
            self.pending[session] = writer
            if self.on_open is None or not await self.on_open(self, session, message, writer):
                self._spawn(self._answer(session, message, writer))
        elif kind == "close":
            self.record.add(f"node {self.name} gets close {session} {message.get('code')}")
            self.pending.pop(session, None)
            if self.standing.pop(session, None) is not None:
                self.send(writer, "close", session, {"load": self.load()}, code=31)
        elif kind == "level" and session in self.standing:
            standing = self.standing[session]
            standing.rung = int(message["attrs"]["rung"])
            standing.rate = self.rates[standing.rung]
        elif kind == "probe":
            self.send(writer, "probed", session, {"load": self.load()}, code=1)

    async def _answer(self, session: str, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Answers a set-up after its work, and ends its session after its life."""
        await asyncio.sleep(self.rng.uniform(*self.work))
        if session not in self.pending:
            return
        del self.pending[session]
        if self.phase == "draining" or len(self.standing) >= self.slots:
            self.record.add(f"node {self.name} refuses {session}")
            self.send(writer, "close", session, {"load": self.load()}, code=34)
            return
        rung = int(message["attrs"].get("rung", 0))
        standing = self.standing[session] = Standing(session, writer, self.rates[rung])
        standing.rung = rung
        self.record.add(f"node {self.name} answers {session}: it stands")
        self.send(writer, "ready", session, {"load": self.load()}, text=f"{self.name} {session}\r\n")
        await asyncio.sleep(self.rng.uniform(*self.life))
        self.end(session)

    def end(self, session: str) -> None:
        """Ends a standing session; its release goes on its connection, else on any, else on the next one."""
        standing = self.standing.pop(session, None)
        if standing is None:
            return
        self.record.add(f"node {self.name} releases {session}")
        writers = [standing.writer, *self.writers]
        for writer in writers:
            if writer in self.writers and not writer.transport.is_closing():
                self.send(writer, "close", session, {"load": self.load()}, code=16)
                return
        self.owed.append(session)

    async def _send_notes(self) -> None:
        """Tells how full the link is, on one session."""
        while True:
            await asyncio.sleep(self.note_every)
            if self.standing:
                session = self.rng.choice(list(self.standing))
                writer = self.standing[session].writer
                open_writers = [other for other in (writer, *self.writers) if other in self.writers]
                if open_writers:
                    asked = sum(one.rate for one in self.standing.values()) / self.link
                    attrs = {"note": "local", "value": round(asked, 3)}
                    self.send(open_writers[0], "event", session, attrs)


class Front:
    """One front end, started with `run` of the deploy file."""

    def __init__(self, name: str, index: int, record: Record, folder: Path, config: dict[str, Any]) -> None:
        """Creates a front end that is not started; `config` lacks its name and address."""
        self.name = name
        self.record = record
        self.folder = folder
        self.port = free_port()
        settings = config["settings"] | {"me": index}
        self.config = config | {"name": name, "listen": f"{HOST}:{self.port}", "settings": settings}
        self.file = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = (folder / f"{name}.log").open("ab")

    def write_config(self) -> None:
        """Writes the file of the configuration."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.file)

    async def start(self) -> None:
        """Starts the process, and waits until it passes a test."""
        self.config["seed"] = "8c1f30d27a5be9%02x" % (self.port % 256)
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(self.file),
            "TMPDIR": str(self.folder),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
        )  # fmt: skip
        RUNNING.append(self.process)
        until = time.time() + 30
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRunError(
                    f"front end {self.name} ended with {self.process.returncode} at its start"
                )
            if await self.passes_test():
                self.record.add(f"front end {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"front end {self.name} was not ready within 30 s")

    async def passes_test(self) -> bool:
        """Whether the front end passes a test."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(encode_frame(TEST, "00000000000000fe", (114, b"\0")))
            kind, _, parameters = await asyncio.wait_for(read_frame(reader), 1.0)
            return kind == TESTED and parameters.get(114) == b"\1"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        assert self.process is not None
        self.record.add(f"front end {self.name} gets {number.name}")
        self.process.send_signal(number)


class Request:
    """A set-up as its viewer sees it."""

    def __init__(self, session: str, plan: str, wait: float) -> None:
        """Starts when it is sent."""
        self.session = session
        self.plan = plan
        self.sent_at = time.time()
        self.give_up_at = self.sent_at + wait
        self.messages: list[tuple[float, int, int]] = []  # time, type and cause of what came for it
        self.answered = asyncio.Event()
        self.ended = asyncio.Event()  # its connection is over
        self.connection: ViewerConnection | None = None
        self.served_by = ""

    @property
    def answer(self) -> str:
        """What the viewer was told: served, refused, failed, or nothing."""
        if not self.messages:
            return "nothing"
        _, kind, cause = self.messages[0]
        return "served" if kind == ANSWER else "refused" if cause in REFUSALS else "failed"


class ViewerConnection:
    """A connection from viewers to one front end."""

    def __init__(self, viewers: Viewers, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wraps an open connection."""
        self.viewers = viewers
        self.reader = reader
        self.writer = writer
        self.is_open = True
        self.sessions: set[str] = set()
        self.task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        """Reads the messages of the front end until the connection ends."""
        try:
            while True:
                kind, session, parameters = await read_frame(self.reader)
                cause = parameters.get(114, b"\xff")[0]
                self.viewers.heard(self, kind, session, cause, parameters.get(115, b""))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.is_open = False
            for request in self.viewers.requests.values():
                if request.connection is self:
                    request.ended.set()
            self.writer.close()


class Viewers:
    """The viewers of one front end. One connection carries `per_connection` open set-ups at most."""

    def __init__(self, front: Front, record: Record, prefix: str, extras: str) -> None:
        """Creates viewers without connections; `prefix` (4 hex digits) begins their ids.

        `extras` names the cells that hold the titles, as in `home:0;copies:14`, where `ask` does not.
        """
        self.extras = extras
        self.front = front
        self.record = record
        self.prefix = prefix
        self.number = 0
        self.requests: dict[str, Request] = {}
        self.connections: list[ViewerConnection] = []

    def new_id(self) -> str:
        """A new id of a set-up."""
        self.number += 1
        return f"{self.prefix}{self.number:012x}"

    async def connect(self) -> ViewerConnection:
        """Opens a connection."""
        reader, writer = await asyncio.open_connection(HOST, self.front.port)
        connection = ViewerConnection(self, reader, writer)
        self.connections.append(connection)
        return connection

    async def shared(self, count: int) -> ViewerConnection | None:
        """One of up to `count` connections that many sessions share; None if none can be opened."""
        self.connections = [connection for connection in self.connections if connection.is_open]
        try:
            if len(self.connections) < count:
                return await self.connect()
        except OSError:
            return None
        self.number_of_turn = getattr(self, "number_of_turn", 0) + 1
        return self.connections[self.number_of_turn % len(self.connections)]

    def heard(self, connection: ViewerConnection, kind: int, session: str, cause: int, text: bytes) -> None:
        """Handles a message of the front end, and confirms a release."""
        request = self.requests.get(session)
        names = {ANSWER: "answer", RELEASE: f"release {cause}"}
        self.record.add(
            f"viewer of {self.front.name} gets {names.get(kind, kind)} for {session} {text[:12]!r}"
        )
        if request is None or kind not in (ANSWER, RELEASE):
            return
        request.messages.append((time.time(), kind, cause))
        if kind == ANSWER:
            request.served_by = text.decode().split(" ")[0]
        request.answered.set()
        if kind == RELEASE and connection.is_open:
            connection.writer.write(encode_frame(CONFIRMED, session))

    async def ask(
        self, plan: str, title: str, wait: float, top: int = 4, extras: str = "",
        connection: ViewerConnection | None = None, at: str = "", session: str = "",
    ) -> Request | None:  # fmt: skip
        """Sends a set-up; returns None if no connection could be opened."""
        try:
            connection = connection or await self.connect()
        except OSError:
            return None
        session = session or self.new_id()
        request = self.requests[session] = Request(session, plan, wait)
        request.connection = connection
        connection.sessions.add(session)
        more = f";at:{at}" if at else ""
        connection.writer.write(
            encode_frame(
                SET_UP, session, (100, plan.encode()), (101, str(round(wait * 1000)).encode()),
                (104, title.encode()), (105, f"{extras or self.extras};top:{top};viewer:{session}{more}".encode()),
                (115, b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"),
            )
        )  # fmt: skip
        self.record.add(f"viewer asks {self.front.name}: {session} {plan} {title} {wait:.1f} s{more}")
        return request

    def end(self, request: Request) -> None:
        """The viewer gives the set-up up, or ends its session."""
        connection = request.connection
        if connection is not None and connection.is_open:
            self.record.add(f"viewer ends {request.session}")
            connection.writer.write(encode_frame(RELEASE, request.session, (114, b"\x10")))

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()


class LagMeter:
    """Measures how late this process runs its tasks, so that its own lateness is not judged."""

    def __init__(self) -> None:
        """Starts without a lag."""
        self.worst = 0.0
        self.late: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            before = time.time()
            await asyncio.sleep(0.01)
            lag = time.time() - before - 0.01
            self.worst = max(self.worst, lag)
            if lag > SLACK:
                self.late.append((before, lag))

    def was_late_at(self, at: float) -> bool:
        """Whether this script ran late at a time, so that what it saw then is not judged."""
        return any(began <= at <= began + lag + 0.02 for began, lag in self.late)


RUNNING: list[subprocess.Popen[bytes]] = []


def free_port() -> int:
    """A port that is free now, below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


def plan(name: str, effect: str, target_ms: float, deadline_ms: float, worth: float) -> dict[str, Any]:
    """A class of the settings. `effect`: `free`, or `single_shot` for one that is paid for at set-up."""
    return {
        "deadlineMs": deadline_ms, "effect": effect, "group": "all", "keyTtlMs": 5000.0, "lateShare": 0.0,
        "name": name, "objectiveMs": target_ms, "streamed": True, "worth": worth,
    }  # fmt: skip


def settings(**families: Any) -> dict[str, Any]:
    """Settings in the form of the simulator's first message, near those of maribor-lessons; see WIRE."""
    base: dict[str, Any] = {
        "balancers": 2,
        "classes": [
            plan("live", "free", 800.0, 5000.0, 1.0),
            plan("recorded", "free", 1500.0, 4000.0, 2.0),
        ],
        "clients": {"marksRetry": False},
        "customers": [],
        "family": "streams",
        "familyInfo": {
            "cells": 14, "classSeats": [0, 40], "classTop": [3, 4], "floorByClass": [0, 1], "groups": 2,
            "guard": 0.0, "joinAdds": 1.0, "kindSlots": [23], "linksKb": 98000.0, "live": [True, False],
            "rateFactor": [0.7, 1.0], "ratesKb": [240.0, 430.0, 745.0, 1290.0, 2230.0],
            "reportsEveryMs": 3000.0, "rungWorth": [0.25, 0.45, 0.65, 0.85, 1.0], "seenAfterMs": 900.0,
            "stall": 8.0, "switchS": 0.5, "uplinkKb": 49000.0, "weightKb": 7000.0,
        },
        "fees": {"connection": 0.0, "crossZone": 0.0072, "handshake": 0.0, "lateFail": 0.061,
                 "membershipMode": 0.0, "moves": 0.073, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.0},
        "layer": 0,
        "me": 0,
        "membershipMode": "automatic",
        "models": ["two-core"],
        "objectiveMix": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
        "overShareWorth": 0.1,
        "permissions": {
            "cancelling": True, "connIdleMs": 15000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
            "dialTimeoutMs": 250.0, "maxAttempts": 4, "maxOpen": 4096, "maxRetryAfterMs": 2000.0,
            "peerMessages": False, "probing": False, "retryAfter": True, "secondCopies": False,
            "streamsPerConn": 64,
        },
        "report": {"fields": ["x0"], "how": "inline"},
        "resolutionMs": 10.0,
        "rules": {"answerSlackMs": 40.0, "askWithinMs": 10000.0, "coldMs": 8000.0, "coldShare": 0.4,
                  "drainGraceMs": 250.0, "fallMultiple": 2.5, "overloadForMs": 1000.0},
        "tiers": ["lesson-media"],
        "weightSource": "nominal",
        "worthBy": "work",
        "zone": "north-hall",
        "zones": ["north-hall", "south-hall"],
    }  # fmt: skip
    for name, values in families.items():
        base[name] = base[name] | values if isinstance(values, dict) else values
    return base


def configuration(
    channel: Channel, deployment: dict[str, Any], memory_mb: int = 96, sockets: int = 512
) -> dict[str, Any]:
    """A front end's configuration without its name and address."""
    return {
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "channel": f"{HOST}:{channel.port}",
        "known": channel.known(),
        "settings": deployment,
    }


def end_processes() -> None:
    """Ends all processes that were started."""
    for process in RUNNING:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()


def main(folder: str, play: Callable[[Record, Path], Awaitable[int]], limit: float = 112.0) -> None:
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(Path(folder).resolve())
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(asyncio.wait_for(play(record, Path(temporary)), limit))
        except Exception as error:  # a fault of the case itself must not pass for a broken rule
            record.say(f"could not run: {error!r}")
        finally:
            # What asyncio says of connections that are left open is of no use.
            os.dup2(os.open(os.devnull, os.O_WRONLY), 2)
            end_processes()
            for log in sorted(Path(temporary).glob("*.log")):
                record.lines.append(f"--- {log.name}")
                record.lines += log.read_text(errors="replace").splitlines()
            record.say(f"exit {code}")
            record.write()
    os._exit(code)
