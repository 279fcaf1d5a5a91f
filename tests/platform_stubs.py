"""Stubs of the platform's peers over real connections: a playout node, the command channel and a viewer."""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from http import HTTPStatus
from typing import Any

import orjson
import trio

from oakcroft.decisions.sessions.setup_outcome import PROBLEM_FULL
from oakcroft.interface import MS
from oakcroft.platformwire import cause_codes, framing

FULL_CAUSES = (34, 102)  # causes with which a node refuses a set-up that did not run
REJECTION_CAUSES = (*FULL_CAUSES, cause_codes.REJECTED)  # causes with which a viewer may try again


def final_status(kind: int, cause: int) -> HTTPStatus:
    """Returns the status by which the rules judge a viewer's final answer."""
    if kind == framing.ANSWER:
        return HTTPStatus.CREATED
    return HTTPStatus.SERVICE_UNAVAILABLE if cause in REJECTION_CAUSES else HTTPStatus.GATEWAY_TIMEOUT


class StubNode:
    """A playout node. `script` has the reactions to the next set-ups, in order; with an empty script it answers.

    A reaction is a cause, with which the set-up is refused, or one of these words:

    - "ready": answers.
    - "more": sends an answer for an unknown session, and then its own answer twice.
    - "brief": answers with a close, as if the playback had already ended.
    - "garble": sends a line that is no JSON.
    - "cut": closes the connection.
    - "silence": does nothing.
    """

    def __init__(self, name: str, facts: list[dict[str, Any]]) -> None:
        """Creates a node that records its set-ups and answers in `facts`."""
        self.name = name
        self.facts = facts
        self.script: list[str | int] = []
        self.received: list[dict[str, Any]] = []
        self.streams: list[trio.SocketStream] = []
        self.port = 0
        self.may_read = trio.Event()  # the node reads nothing until it is set
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
                    elif message["msg"] == "close" and message["code"] == cause_codes.CANCELLED:
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
                "answer",
                id=number,
                key=sid,
                status=503,
                problem=PROBLEM_FULL if action in FULL_CAUSES else "",
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
        """Returns the received messages of a kind, of one session or of all."""
        return [message for message in self.received if message["msg"] == msg and sid in ("", message["sid"])]


class StubChannel:
    """The command channel. Answers a poll once there are later events or after 0.3 s; while silent, never."""

    def __init__(self) -> None:
        """Creates a channel without events."""
        self.cmds: list[dict[str, Any]] = []
        self.polls: list[int] = []
        self.is_silent = False
        self.closes_after_answer = False
        self.answers_late_by = 0.0  # seconds from when an answer is made until it is sent
        self.truncated_answers = 0
        self.port = 0
        self.corruptions = list[str]()  # how the next answers are damaged: "half", "break", "again", "back"
        self.corrupted_count = 0
        self.stream: trio.SocketStream | None = None  # connection of the newest poll

    def answer_now(self, cursor: int, *members: dict[str, Any]) -> None:
        """Answers the newest poll without a task switch, so that nothing else runs in between."""
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
                await trio.sleep(self.answers_late_by)
                corruption = self.corruptions.pop(0) if self.corruptions and later else ""
                self.corrupted_count += bool(corruption)
                if corruption in (
                    "again",
                    "back",
                ):  # repeats earlier cursors with contents that undo later events
                    repeated = [c | {"cursor": 1 + i} for i, c in enumerate(self.cmds)]
                    body = orjson.dumps(
                        {"cursor": after if corruption == "again" else 1, "cmds": repeated[:after]}
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
    """A connection from viewers."""

    def __init__(
        self, stream: trio.SocketStream, facts: list[dict[str, Any]], answered_ids: set[str]
    ) -> None:
        """Records requests and answers in `facts`, and the ids of answered sessions in `answered_ids`.

        All connections of a rig share both, since a release may arrive on another connection than the answer.
        The ids could be derived from `facts`, but a scan of them for each message is quadratic in the sessions.
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
        **overrides: bytes,
    ) -> bytes:
        """Encodes a set-up request; `overrides` replaces parameters by their code, as in `p101`."""
        extras = "home:0;copies:0;top:2;viewer:1" + (f";at:{at}" if at else "")
        params = {
            100: plan.encode(),
            101: wait.encode(),
            104: title.encode(),
            105: extras.encode(),
            115: text,
        }
        params |= {int(name[1:]): value for name, value in overrides.items()}
        if not at and not overrides:
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

    async def send_setup(self, sid: str, plan: str = "free", **overrides: Any) -> None:
        """Sends a set-up request."""
        await self.stream.send_all(self.encode_setup(sid, plan, **overrides))

    def leave(self, how: str, sid: str = "") -> None:
        """Leaves without a task switch, by "close", "reset", "half-close", or the "release" of a set-up."""
        sock: socket.socket = self.stream.socket._sock  # type: ignore[attr-defined]
        if how == "release":
            sock.send(framing.encode(framing.RELEASE, sid, (framing.CAUSE, b"\x10")))
        elif how == "half-close":
            sock.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream.socket.close()

    def send_setup_now(self, sid: str, plan: str = "free", **overrides: Any) -> None:
        """Sends a set-up request without a task switch."""
        sock: socket.socket = self.stream.socket._sock  # type: ignore[attr-defined]
        sock.send(self.encode_setup(sid, plan, **overrides))

    async def send(self, kind: int, sid: str, cause: int = 16) -> None:
        """Sends a message with a cause."""
        await self.stream.send_all(framing.encode(kind, sid, (framing.CAUSE, bytes((cause,)))))

    async def receive(self, seconds: float = 4) -> tuple[int, str, int, bytes] | None:
        """Returns the next message, as type, session id, cause and description; None at the end of the connection."""
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
            status = final_status(kind, cause)
            self.facts.append(
                {
                    "t": time.time_ns(),
                    "kind": "got",
                    "key": sid,
                    "status": int(status),
                    "extra": False,
                    "type": "urn:oakcroft:problem:rejected"
                    if status == HTTPStatus.SERVICE_UNAVAILABLE
                    else "",
                }
            )
        if kind == framing.ANSWER:
            self.answered_ids.add(sid)
        return kind, sid, cause, params.get(framing.TEXT, b"")
