"""The asking side: kept-alive connections to one peer, and the trail of each exchange.

An exchange is never repeated here. What a broken one proves is for decisions/sessions/setup_outcome.py; this file reports
each stage as the socket reaches it.
"""

from __future__ import annotations

import select
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from oakcroft.decisions.sessions.setup_outcome import RequestEnd, RequestStage, RequestProgress
from oakcroft.httpwire.message import Headers, Response

MOST_ANSWER = 262_144


class Ended(Exception):
    """An exchange that ended without a whole answer."""

    def __init__(self, end: RequestEnd, cause: str) -> None:
        super().__init__(f"{end.value}: {cause}")
        self.end, self.cause = end, cause


@dataclass
class Line:
    """One open connection."""

    stream: trio.SocketStream
    http: h11.Connection
    idle_since: float


class Peer:
    """The connections of one client to one address.

    Idle connections are kept up to `most_idle` and `idle_for` seconds, which must be under the peer's own idle
    time; one on which the peer has closed or spoken is not used again. When `most` exchanges are at work, the next
    one waits for its turn within its own deadline, and has not been sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect_within: float = 1.0,
        most: int = 512,
        most_idle: int = 32,
        idle_for: float = 10.0,
    ) -> None:
        self.host, self.port, self.connect_within = host, port, connect_within
        self.most_idle, self.idle_for = most_idle, idle_for
        self.idle: deque[Line] = deque()
        self.turns = trio.CapacityLimiter(most)

    async def ask(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        trail: RequestProgress | None = None,
        fresh: bool = False,
    ) -> Response:
        """One exchange. Ended says how it failed; a cancelled one leaves its trail where it stood."""
        trail = trail or RequestProgress()
        async with self.turns:
            trail.advance(RequestStage.CONNECTING)
            line = await self._line(fresh)
            trail.advance(RequestStage.CONNECTED)
            done = False
            try:
                response = await self._exchange(line, method, target, headers, body, trail)
                done = True
            finally:
                if done and self._reusable(line):
                    line.http.start_next_cycle()
                    line.idle_since = trio.current_time()
                    self.idle.append(line)
                    while len(self.idle) > self.most_idle:
                        await trio.aclose_forcefully(self.idle.popleft().stream)
                else:
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(line.stream)
            return response

    @asynccontextmanager
    async def stream(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> AsyncIterator[tuple[Response, AsyncIterator[bytes]]]:
        """An exchange whose answer is a stream, on a connection of its own."""
        line = await self._line(True)
        try:
            trail = RequestProgress()
            trail.advance(RequestStage.CONNECTED)
            await self._write(line, method, target, headers, body, trail)
            head = await self._head(line, trail)

            async def chunks() -> AsyncIterator[bytes]:
                while True:
                    event = await self._next(line)
                    if isinstance(event, h11.Data):
                        yield bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        return

            yield head, chunks()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(line.stream)

    async def close(self) -> None:
        """Closes what is idle."""
        while self.idle:
            await trio.aclose_forcefully(self.idle.popleft().stream)

    async def _line(self, fresh: bool) -> Line:
        now = trio.current_time()
        while self.idle and not fresh:
            line = self.idle.pop()
            if now - line.idle_since < self.idle_for and not readable(line.stream):
                return line
            await trio.aclose_forcefully(line.stream)
        try:
            with trio.fail_after(self.connect_within):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            raise Ended(
                RequestEnd.UNREACHED, REFUSED if was_refused(error) else str(error) or "no connection in time"
            ) from error
        return Line(stream, h11.Connection(h11.CLIENT, max_incomplete_event_size=32_768), now)

    async def _exchange(
        self, line: Line, method: str, target: str, headers: Headers, body: bytes, trail: RequestProgress
    ) -> Response:
        await self._write(line, method, target, headers, body, trail)
        response = await self._head(line, trail)
        read = bytearray()
        while True:
            event = await self._next(line)
            if isinstance(event, h11.Data):
                read += event.data
                if len(read) > MOST_ANSWER:
                    raise Ended(RequestEnd.INVALID_RESPONSE, "the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                trail.advance(RequestStage.RESPONSE_READ)
                response.body = bytes(read)
                return response
            else:
                raise Ended(RequestEnd.CONNECTION_LOST, "the answer broke off")

    async def _write(
        self, line: Line, method: str, target: str, headers: Headers, body: bytes, trail: RequestProgress
    ) -> None:
        fields = [("Host", f"{self.host}:{self.port}"), *headers]
        if body or method in ("POST", "PATCH", "PUT"):
            fields.append(("Content-Length", str(len(body))))
        try:
            octets = [(n.encode(), v.encode("latin-1")) for n, v in fields]  # as they are read (RFC 9110 5.5)
            data = line.http.send(h11.Request(method=method, target=target, headers=octets)) or b""
            if body:
                data += line.http.send(h11.Data(data=body)) or b""
            data += line.http.send(h11.EndOfMessage()) or b""
        except (
            h11.LocalProtocolError,
            UnicodeEncodeError,
        ) as error:  # HTTP cannot carry it, and none of it left
            raise Ended(RequestEnd.WITHDRAWN, str(error)) from error
        if trail.stage is RequestStage.CONNECTED:
            trail.advance(RequestStage.PARTLY_WRITTEN)  # from here on the kernel may have any part of it
        try:
            await line.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise Ended(RequestEnd.CONNECTION_LOST, str(error)) from error
        trail.advance(RequestStage.WRITTEN)

    async def _head(self, line: Line, trail: RequestProgress) -> Response:
        while True:
            event = await self._next(line)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise Ended(RequestEnd.CONNECTION_LOST, "closed without an answer")
            trail.advance(RequestStage.RESPONSE_STARTED)
            trail.status = event.status_code
            headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers]
            return Response(event.status_code, headers)

    async def _next(self, line: Line) -> object:
        ended = False
        try:
            while (event := line.http.next_event()) is h11.NEED_DATA:
                data = await line.stream.receive_some(65_536)
                ended = not data
                line.http.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise Ended(RequestEnd.CONNECTION_LOST, str(error)) from error
        except h11.RemoteProtocolError as error:
            raise Ended(
                RequestEnd.CONNECTION_LOST if ended else RequestEnd.INVALID_RESPONSE, str(error)
            ) from error
        return event

    @staticmethod
    def _reusable(line: Line) -> bool:
        return line.http.our_state is h11.DONE and line.http.their_state is h11.DONE


REFUSED = "connection refused"


def was_refused(error: BaseException) -> bool:
    """Whether nobody listens at the address: trio hides that in a group behind the error that it raises."""
    if isinstance(error, BaseExceptionGroup):
        return any(was_refused(e) for e in error.exceptions)
    cause = error.__cause__
    return isinstance(error, ConnectionRefusedError) or (cause is not None and was_refused(cause))


def readable(stream: trio.SocketStream) -> bool:
    """Whether an idle connection has anything to read, which can only be its end or stray bytes."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))
