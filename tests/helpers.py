"""A host that records the decision module's calls, and stubs of the platform's peers over real connections."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import orjson
import structlog
import trio

from oakcroft.choice import Controller
from oakcroft.decisions.sessions.setup_outcome import PROBLEM_FULL
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    KeyScope,
    NodeStatus,
    NodeListKind,
    Node,
    Plan,
    Playback,
)
from oakcroft.interface import DeploymentSettings, Title
from oakcroft.platform.session_coordinator import SessionCoordinator
from oakcroft.platform.serve import PlatformFrontEnd
from oakcroft.platformwire import configuration, framing

START_NS = 100 * SECOND
TERMS = DeploymentSettings(
    front_count=2,
    front_index=0,
    must_subscribe=False,
    subscribe_within_ns=10 * SECOND,
    cell_count=4,
    rack_count=2,
    rung_rates=(200.0, 400.0, 800.0),
    rung_revenue_shares=(0.3, 0.6, 1.0),
    uplink_capacity=20000.0,
    join_rate_share=1.0,
    report_delay_ns=SECOND,
    report_interval_ns=3 * SECOND,
    max_tries=3,
    max_retry_after_ns=2 * SECOND,
    cold_pace_share=0.4,
    cold_duration_ns=10 * SECOND,
    overload_multiple=2.5,
    overload_window_ns=SECOND,
    retry_budget_base=None,
    retry_budget_share=0.0,
    retry_budget_window_ns=10 * SECOND,
)
FREE = Plan(
    effect=Effect.FREE,
    key_scope=KeyScope.ALL,
    key_ttl_ns=SECOND,
    startup_target_ns=SECOND,
    revenue=1.0,
    floor=0,
    top_rung=2,
    seats=0,
    rate_factor=1.0,
    shares_stream=False,
)
PAID = replace(FREE, effect=Effect.PAID)
KEYED = replace(FREE, effect=Effect.KEYED, key_scope=KeyScope.ZONE)


class ControllerHarness:
    """A decision module with a few nodes and a host that keeps every call."""

    def __init__(self, nodes: int = 4, terms: DeploymentSettings = TERMS, warm: bool = True) -> None:
        """Lists the nodes as kept from before; with `warm` they have started long enough ago not to be cold."""
        self.calls: list[tuple[Any, ...]] = []
        self.now = START_NS
        self.controller = Controller(terms, 7, self, START_NS)
        self.nodes = [Node(f"n{i}") for i in range(nodes)]
        for i, node in enumerate(self.nodes):
            node.cell = i
            node.zone = "east" if i % 2 else "west"
        self.apply_list(NodeListKind.KEPT)
        if warm:
            self.now += 20 * SECOND

    def apply_list(
        self, kind: NodeListKind, started_at: int = 0, listing: NodeStatus = NodeStatus.READY
    ) -> None:
        """Gives the module the whole list, with every node in one status."""
        entries = [NodeEntry(node, listing, started_at, 4000.0, 12.0) for node in self.nodes]
        self.controller.on_node_list(kind, entries, self.now)

    def request(self, plan: Plan = FREE, title: Title | None = None, wait: int = 4 * SECOND) -> Playback:
        """A viewer's request that waits for so long."""
        playback = Playback(title or Title("t", 0, 0), plan, 2, self.now + wait, False)
        self.controller.on_request(playback, self.now)
        return playback

    def sent_nodes(self) -> list[Node]:
        """The nodes that setup tries were sent to, in order."""
        return [call[2] for call in self.calls if call[0] == "send"]

    def final_answers(self, playback: Playback) -> list[str]:
        """The kinds of final answers to a playback."""
        return [call[0] for call in self.calls if call[0] in ("reject", "abort") and call[1] is playback]

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Records a setup try; its abandon time must not be later than the playback's."""
        assert START_NS < abandon_at <= playback.abandon_at + 40 * MS
        self.calls.append(("send", playback, node, abandon_at))

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Records a rejected playback."""
        self.calls.append(("reject", playback, retry_after_ns))

    def abort(self, playback: Playback) -> None:
        """Records an aborted playback."""
        self.calls.append(("abort", playback))

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Records a rung, which must be within the bounds of the plan and the viewer."""
        assert playback.plan.floor <= rung <= playback.top_rung
        self.calls.append(("set_rung", playback, rung))

    def set_timer(self, at: int) -> None:
        """Records a timer."""
        self.calls.append(("alarm", at))

    def subscribe_to_nodes(self) -> None:
        """Records a subscription to the list."""
        self.calls.append(("follow",))

    def log(self, message: str) -> None:
        """Records a log line."""
        self.calls.append(("log", message))


# Stubs of the platform's peers: a playout node, the command channel and a viewer.

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "membershipMode": "automatic",
    "models": ["k"],
    "classes": [
        {"name": "paid", "effect": "single_shot", "objectiveMs": 300.0, "deadlineMs": 1200.0, "worth": 2.0},
        {"name": "free", "effect": "free", "objectiveMs": 400.0, "deadlineMs": 1500.0, "worth": 1.0},
    ],
    "familyInfo": {
        "cells": 2,
        "classSeats": [0, 0],
        "classTop": [2, 2],
        "floorByClass": [0, 0],
        "groups": 1,
        "joinAdds": 1.0,
        "kindSlots": [400],
        "live": [False, False],
        "rateFactor": [1.0, 1.0],
        "ratesKb": [100.0, 200.0, 400.0],
        "reportsEveryMs": 1000.0,
        "rungWorth": [0.3, 0.6, 1.0],
        "seenAfterMs": 50.0,
        "uplinkKb": 0.0,
        "weightKb": 400000.0,
    },
    "permissions": {
        "maxAttempts": 3,
        "maxRetryAfterMs": 1000.0,
        "retryAfter": True,
        "connIdleMs": 15000.0,
        "dialTimeoutMs": 250.0,
        "streamsPerConn": 1024,
        "maxOpen": 1000,
    },
    "rules": {
        "coldMs": 200.0,
        "coldShare": 0.5,
        "drainGraceMs": 250.0,
        "fallMultiple": 50.0,
        "overloadForMs": 1000.0,
    },
}


class StubNode:
    """A playout node. `script` has the reactions to the next set-ups, in order; without an entry it answers."""

    def __init__(self, name: str, facts: list[dict[str, Any]]) -> None:
        """A node that records what happens there in `facts`."""
        self.name = name
        self.facts = facts
        self.script: list[str | int] = []
        self.received: list[dict[str, Any]] = []
        self.streams: list[trio.SocketStream] = []
        self.port = 0
        self.may_read = trio.Event()  # set unless the node is held back
        self.may_read.set()

    def record_fact(self, kind: str, **fields: Any) -> None:
        """Adds a fact about this node."""
        self.facts.append({"t": time.time_ns(), "kind": kind, "node": self.name, **fields})

    async def serve(self, stream: trio.SocketStream) -> None:
        """Reads the messages of one connection."""
        self.streams.append(stream)
        remainder = b""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in stream:
                await self.may_read.wait()
                *whole, remainder = (remainder + data).split(b"\n")
                for line in whole:
                    self.received.append(message := orjson.loads(line))
                    if message["msg"] == "open":
                        await self.handle_setup(stream, message)
                    elif message["msg"] == "close" and message["code"] == 16:
                        self.record_fact(
                            "answer",
                            id=f"{self.name}.{message['sid']}",
                            key=message["sid"],
                            status=0,
                            problem="",
                        )
        self.streams.remove(stream)
        await trio.aclose_forcefully(stream)

    async def handle_setup(self, stream: trio.SocketStream, request: dict[str, Any]) -> None:
        """Handles a set-up according to the script."""
        sid = request["sid"]
        attributes = request["attrs"]
        plan = attributes["class"]
        number = f"{self.name}.{sid}"
        self.record_fact(
            "setup",
            id=number,
            front="front-0-a",
            key=sid,
            plan=plan,
            title=attributes["key"],
            rung=int(attributes["rung"]),
        )
        action = self.script.pop(0) if self.script else "ready"
        if action in ("ready", "more"):
            self.record_fact("ran", key=sid, plan=plan, front="front-0-a", session=sid)
            self.record_fact("answer", id=number, key=sid, status=201, problem="")
            if action == "more":
                await self.send(stream, msg="ready", sid="ff" * 8, attrs={}, text="of another")
            for _ in range(2 if action == "more" else 1):
                await self.send(stream, msg="ready", sid=sid, attrs={}, text=f"{self.name} é\r\n{sid}")
        elif action == "brief":  # the playback has already ended
            self.record_fact("answer", id=number, key=sid, status=201, problem="")
            await self.send(
                stream,
                msg="close",
                sid=sid,
                attrs={"load": "x0:0.5"},
                code=16,
                text=f"{self.name} é\r\n{sid}",
            )
        elif isinstance(action, int):
            self.record_fact(
                "answer", id=number, key=sid, status=503, problem=PROBLEM_FULL if action in (34, 102) else ""
            )
            await self.send(stream, msg="close", sid=sid, attrs={"load": "x0:0.5;odd"}, code=action)
        elif action == "garble":
            self.record_fact("broken", id=number, key=sid)
            await stream.send_all(b'{"msg":"ready","sid":\xff\n')
        elif action == "cut":
            self.record_fact("broken", id=number, key=sid)
            await trio.aclose_forcefully(stream)

    async def send(self, stream: trio.SocketStream, **message: Any) -> None:
        """Sends a message."""
        await stream.send_all(orjson.dumps(message) + b"\n")

    def received_messages(self, msg: str, sid: str = "") -> list[dict[str, Any]]:
        """The messages of a kind received, of one session or of all."""
        return [message for message in self.received if message["msg"] == msg and sid in ("", message["sid"])]


class StubChannel:
    """The command channel. A poll is answered once there are later events; while it is silent, none is."""

    def __init__(self) -> None:
        """A channel without events."""
        self.cmds: list[dict[str, Any]] = []
        self.polls: list[int] = []
        self.is_silent = False
        self.closes_after_answer = False
        self.truncated_answers = 0
        self.port = 0
        self.corruptions = list[str]()  # how the next answers are damaged: "half", "break", "again", "back"
        self.corrupted_count = 0
        self.stream: trio.SocketStream | None = None  # connection of the newest poll

    def answer_now(self, cursor: int, *members: dict[str, Any]) -> None:
        """Answers the newest poll without a turn of the event loop, so nothing else runs in between."""
        assert self.stream is not None
        event = {"cursor": cursor, "nodes": {"complete": False, "members": list(members)}}
        body = orjson.dumps({"cursor": cursor, "cmds": [event]})
        self.stream.socket._sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))  # type: ignore[attr-defined]

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answers the polls of one connection."""
        with suppress(trio.BrokenResourceError):
            while head := await stream.receive_some(4096):
                after = int(head.split(b"resume=")[1].split(b"&")[0])
                self.polls.append(after)
                self.stream = stream
                with trio.move_on_after(0.3):
                    while self.is_silent or not self.cmds or self.cmds[-1]["cursor"] <= after:
                        await trio.sleep(0.01)
                if self.is_silent:
                    await trio.sleep_forever()
                later = [c for c in self.cmds if c["cursor"] > after]
                body = orjson.dumps({"cursor": max([after, *(c["cursor"] for c in later)]), "cmds": later})
                corruption = self.corruptions.pop(0) if self.corruptions and later else ""
                self.corrupted_count += bool(corruption)
                if corruption in ("again", "back"):  # repeats the first events, which undo the later ones
                    undone = [c | {"cursor": 1 + i} for i, c in enumerate(self.cmds)]
                    body = orjson.dumps(
                        {"cursor": after if corruption == "again" else 1, "cmds": undone[:after]}
                    )
                if self.truncated_answers:
                    self.truncated_answers -= 1
                    body = body[: len(body) // 2]
                close = b"Connection: close\r\n" if self.closes_after_answer else b""
                head = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n" % (close, len(body))
                await stream.send_all(
                    (head + body)[: -len(body) // 2] if corruption in ("half", "break") else head + body
                )
                if corruption == "half":
                    await trio.sleep_forever()
                if self.closes_after_answer or corruption == "break":
                    await trio.aclose_forcefully(stream)
                    return


class StubViewer:
    """A connection that carries viewers' sessions."""

    def __init__(
        self, stream: trio.SocketStream, facts: list[dict[str, Any]], answered_ids: set[str]
    ) -> None:
        """Records requests and answers in `facts`, and the ids of answered sessions in `answered_ids`.

        All connections of a rig share both, since a release may arrive on another connection than the answer.
        """
        self.stream = stream
        self.facts = facts
        self.answered_ids = answered_ids
        self.frames = framing.FrameDecoder()

    def encode_setup(
        self,
        sid: str,
        plan: str = "free",
        title: str = "t",
        wait: str = "1000",
        at: str = "",
        text: bytes = b"offer\r\n",
        **odd: bytes,
    ) -> bytes:
        """The bytes of a set-up request; `odd` replaces parameters by their code, as in `p101`."""
        extras = "home:0;copies:0;top:2;viewer:1" + (f";at:{at}" if at else "")
        params = {
            100: plan.encode(),
            101: wait.encode(),
            104: title.encode(),
            105: extras.encode(),
            115: text,
        }
        params |= {int(name[1:]): value for name, value in odd.items()}
        if not at and not odd:
            self.facts.append(
                {
                    "t": time.time_ns(),
                    "kind": "ask",
                    "key": sid,
                    "front": 0,
                    "plan": plan,
                    "title": title,
                    "wait": round(float(wait) * MS),
                }
            )
        return framing.encode(framing.SET_UP, sid, *params.items())

    async def send_setup(self, sid: str, plan: str = "free", **odd: Any) -> None:
        """Sends a set-up request."""
        await self.stream.send_all(self.encode_setup(sid, plan, **odd))

    def leave(self, how: str, sid: str = "") -> None:
        """Leaves without a turn of the event loop: "close", "reset", "half-close", or the "release" of a set-up."""
        sock: socket.socket = self.stream.socket._sock  # type: ignore[attr-defined]
        if how == "release":
            sock.send(framing.encode(framing.RELEASE, sid, (framing.CAUSE, b"\x10")))
        elif how == "half-close":
            sock.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream.socket.close()

    def send_setup_now(self, sid: str, plan: str = "free", **odd: Any) -> None:
        """Sends a set-up request without a turn of the event loop."""
        sock: socket.socket = self.stream.socket._sock  # type: ignore[attr-defined]
        sock.send(self.encode_setup(sid, plan, **odd))

    async def send(self, kind: int, sid: str, cause: int = 16) -> None:
        """Sends a message with a cause."""
        await self.stream.send_all(framing.encode(kind, sid, (framing.CAUSE, bytes((cause,)))))

    async def receive(self, seconds: float = 4) -> tuple[int, str, int, bytes] | None:
        """The next message: its type, session id, cause and description; None at the end of the connection."""
        with trio.fail_after(seconds):
            while (event := self.frames.next_event()) is None:
                try:
                    data = await self.stream.receive_some(4096)
                except trio.BrokenResourceError:
                    return None
                if not data:
                    return None
                self.frames.receive_data(data)
        kind, sid, params = event
        cause = params.get(framing.CAUSE, b"\xff")[0]
        was_answered = sid in self.answered_ids
        # A release after the answer is the end of the playback, not an answer.
        if kind == framing.ANSWER or (kind == framing.RELEASE and not was_answered):
            status = 201 if kind == framing.ANSWER else 503 if cause in (34, 42, 102) else 504
            self.facts.append(
                {
                    "t": time.time_ns(),
                    "kind": "got",
                    "key": sid,
                    "status": status,
                    "extra": False,
                    "type": "urn:oakcroft:problem:rejected" if status == 503 else "",
                }
            )
        if kind == framing.ANSWER:
            self.answered_ids.add(sid)
        return kind, sid, cause, params.get(framing.TEXT, b"")


class PlatformRig:
    """One front end on the platform's protocol, with the nodes n0 and n1."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Nothing runs before `start`."""
        self.nursery = nursery
        self.facts = list[dict[str, Any]]()
        self.answered_ids = set[str]()  # sessions whose viewers got an answer
        self.nodes = [StubNode("n0", self.facts), StubNode("n1", self.facts)]
        self.channel = StubChannel()
        self.stop = trio.Event()
        self.ended = trio.Event()
        self.port = 0
        self.platform: PlatformFrontEnd
        self.info: dict[str, Any] = dict(SETTINGS["familyInfo"])

    @property
    def coordinator(self) -> SessionCoordinator:
        """The front end's session coordinator."""
        assert self.platform.coordinator is not None
        return self.platform.coordinator

    async def listen(self, serve: Any) -> int:
        """Serves a stub on a free port; returns the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    def member(self, node: StubNode, phase: str = "up", name: str = "") -> dict[str, Any]:
        """A node as the command channel lists it."""
        return {
            "id": name or node.name,
            "host_port": f"127.0.0.1:{node.port}",
            "locality": "w",
            "flavor": "k",
            "cell": int(node.name[1]),
            "phase": phase,
            "size": 1,
            "up_since_ms": 0,
        }

    def configuration(self) -> dict[str, Any]:
        """The front end's configuration, with both nodes on the known list."""
        members = [self.member(n) for n in self.nodes]
        known = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": members}}]}
        return {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "07",
            "limits": {"sockets": 64, "memory_mb": 64},
            "channel": f"127.0.0.1:{self.channel.port}",
            "known": known,
            "settings": SETTINGS | {"familyInfo": self.info},
        }

    async def start(self, dead: int = -1) -> None:
        """Starts the stubs and the front end, and waits until it listens. Nothing listens at the node `dead`."""
        self.channel.port = await self.listen(self.channel.serve)
        for i, node in enumerate(self.nodes):
            node.port = 1 if i == dead else await self.listen(node.serve)
        settings = configuration.decode(orjson.dumps(self.configuration()))
        settings.listen_address = ("127.0.0.1", 0)
        self.platform = PlatformFrontEnd(settings, structlog.wrap_logger(structlog.ReturnLogger()))
        listening = trio.Event()

        async def ready(port: int) -> None:
            self.port = port
            listening.set()

        async def run() -> None:
            await self.platform.run(signals=False, stop=self.stop, ready=ready)
            self.ended.set()

        self.nursery.start_soon(run)
        await listening.wait()

    async def viewer(self) -> StubViewer:
        """Opens a viewer's connection."""
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        return StubViewer(stream, self.facts, self.answered_ids)

    def add_list_change(self, cursor: int, *members: dict[str, Any]) -> None:
        """Adds an event with changes of the list to the command channel."""
        self.channel.cmds.append({"cursor": cursor, "nodes": {"complete": False, "members": list(members)}})


def run_on_platform(
    test: Callable[[PlatformRig], Awaitable[None]],
    dead: int = -1,
    started: bool = True,
    within: float = 30,
    info: dict[str, Any] | None = None,
) -> None:
    """Runs a test against one front end, within a time. With `started` false the test starts it itself."""

    async def bounded() -> None:
        with trio.fail_after(within):
            async with trio.open_nursery() as nursery:
                rig = PlatformRig(nursery)
                rig.info |= info or {}
                if started:
                    await rig.start(dead)
                await test(rig)
                nursery.cancel_scope.cancel()

    trio.run(bounded)
