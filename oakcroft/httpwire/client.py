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

MAX_RESPONSE_BYTES = 262_144


class ExchangeError(Exception):
    """An exchange that ended without a whole answer."""

    def __init__(self, end: RequestEnd, cause: str) -> None:
        super().__init__(f"{end.value}: {cause}")
        self.end, self.cause = end, cause


@dataclass
class PooledConnection:
    """One open connection."""

    stream: trio.SocketStream
    http: h11.Connection
    idle_since: float


class HttpClient:
    """The connections of one client to one address.

    Idle connections are kept up to `most_idle` and `idle_for` seconds, which must be under the peer's own idle
    time; one on which the peer has closed or spoken is not used again. When `most` exchanges are at work, the next
    one waits for its turn within its own deadline, and has not been sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = 1.0,
        max_concurrent: int = 512,
        max_idle: int = 32,
        idle_timeout_s: float = 10.0,
    ) -> None:
        self.host, self.port, self.connect_timeout_s = host, port, connect_timeout_s
        self.max_idle, self.idle_timeout_s = max_idle, idle_timeout_s
        self.idle: deque[PooledConnection] = deque()
        self.limiter = trio.CapacityLimiter(max_concurrent)

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        progress: RequestProgress | None = None,
        new_connection: bool = False,
    ) -> Response:
        """One exchange. ExchangeError says how it failed; a cancelled one leaves its progress where it stood."""
        progress = progress or RequestProgress()
        async with self.limiter:
            progress.advance(RequestStage.CONNECTING)
            line = await self._connection(new_connection)
            progress.advance(RequestStage.CONNECTED)
            done = False
            try:
                response = await self._exchange(line, method, target, headers, body, progress)
                done = True
            finally:
                if done and self._is_reusable(line):
                    line.http.start_next_cycle()
                    line.idle_since = trio.current_time()
                    self.idle.append(line)
                    while len(self.idle) > self.max_idle:
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
        line = await self._connection(True)
        try:
            progress = RequestProgress()
            progress.advance(RequestStage.CONNECTED)
            await self._write(line, method, target, headers, body, progress)
            head = await self._head(line, progress)

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

    async def _connection(self, new_connection: bool) -> PooledConnection:
        now = trio.current_time()
        while self.idle and not new_connection:
            line = self.idle.pop()
            if now - line.idle_since < self.idle_timeout_s and not has_pending_input(line.stream):
                return line
            await trio.aclose_forcefully(line.stream)
        try:
            with trio.fail_after(self.connect_timeout_s):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            raise ExchangeError(
                RequestEnd.UNREACHED,
                CONNECTION_REFUSED if was_refused(error) else str(error) or "no connection in time",
            ) from error
        return PooledConnection(stream, h11.Connection(h11.CLIENT, max_incomplete_event_size=32_768), now)

    async def _exchange(
        self,
        line: PooledConnection,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        progress: RequestProgress,
    ) -> Response:
        await self._write(line, method, target, headers, body, progress)
        response = await self._head(line, progress)
        read = bytearray()
        while True:
            event = await self._next(line)
            if isinstance(event, h11.Data):
                read += event.data
                if len(read) > MAX_RESPONSE_BYTES:
                    raise ExchangeError(RequestEnd.INVALID_RESPONSE, "the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                progress.advance(RequestStage.RESPONSE_READ)
                response.body = bytes(read)
                return response
            else:
                raise ExchangeError(RequestEnd.CONNECTION_LOST, "the answer broke off")

    async def _write(
        self,
        line: PooledConnection,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        progress: RequestProgress,
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
            raise ExchangeError(RequestEnd.WITHDRAWN, str(error)) from error
        if progress.stage is RequestStage.CONNECTED:
            progress.advance(RequestStage.PARTLY_WRITTEN)  # from here on the kernel may have any part of it
        try:
            await line.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(RequestEnd.CONNECTION_LOST, str(error)) from error
        progress.advance(RequestStage.WRITTEN)

    async def _head(self, line: PooledConnection, progress: RequestProgress) -> Response:
        while True:
            event = await self._next(line)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeError(RequestEnd.CONNECTION_LOST, "closed without an answer")
            progress.advance(RequestStage.RESPONSE_STARTED)
            progress.status = event.status_code
            headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers]
            return Response(event.status_code, headers)

    async def _next(self, line: PooledConnection) -> object:
        ended = False
        try:
            while (event := line.http.next_event()) is h11.NEED_DATA:
                data = await line.stream.receive_some(65_536)
                ended = not data
                line.http.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(RequestEnd.CONNECTION_LOST, str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ExchangeError(
                RequestEnd.CONNECTION_LOST if ended else RequestEnd.INVALID_RESPONSE, str(error)
            ) from error
        return event

    @staticmethod
    def _is_reusable(line: PooledConnection) -> bool:
        return line.http.our_state is h11.DONE and line.http.their_state is h11.DONE


CONNECTION_REFUSED = "connection refused"


def was_refused(error: BaseException) -> bool:
    """Whether nobody listens at the address: trio hides that in a group behind the error that it raises."""
    if isinstance(error, BaseExceptionGroup):
        return any(was_refused(e) for e in error.exceptions)
    cause = error.__cause__
    return isinstance(error, ConnectionRefusedError) or (cause is not None and was_refused(cause))


def has_pending_input(stream: trio.SocketStream) -> bool:
    """Whether an idle connection has anything to read, which can only be its end or stray bytes."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))
