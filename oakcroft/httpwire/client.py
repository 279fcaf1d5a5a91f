"""HTTP client: persistent connections to one address, and the observed progress of each exchange.

An exchange is never retried here. This module reports each stage as the socket reaches it; whether a failed exchange may
have taken effect is decided in decisions/sessions/setup_outcome.py.
"""

from __future__ import annotations

import math
import select
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import NamedTuple

import h11
import trio

from oakcroft.decisions.sessions.setup_outcome import RequestEnd, RequestStage, RequestProgress
from oakcroft.httpwire.message import Headers, Response
from oakcroft.httpwire.time_limits import PausedSince, move_on_at, never_paused

MAX_RESPONSE_BYTES = 262_144
MAX_HEAD_BYTES = 32_768
READ_BYTES = 65_536
METHODS_WITH_BODY = ("POST", "PATCH", "PUT")  # their requests state a length even if the body is empty

CONNECTION_REFUSED = "connection refused"
"""Cause of an `ExchangeError` where nothing listens at the address."""


class ExchangeError(Exception):
    """An exchange ended without a complete response."""

    def __init__(self, end: RequestEnd, cause: str) -> None:
        """Creates the error; `end` is how the exchange ended, `cause` the underlying error as text."""
        super().__init__(f"{end.value}: {cause}")
        self.end = end
        self.cause = cause


@dataclass
class PooledConnection:
    """One open connection; `idle_since` is the end of its last exchange on trio's clock, in seconds."""

    stream: trio.SocketStream
    http: h11.Connection
    idle_since: float


class OutgoingRequest(NamedTuple):
    """A request that has not been sent yet."""

    method: str
    target: str
    headers: Headers
    body: bytes


class HttpClient:
    """HTTP client for one address, with a pool of idle connections.

    Up to `max_idle` idle connections are kept, each for `idle_timeout_s`, which must be shorter than the idle timeout of
    the server. An idle connection that the server has closed or sent bytes on is not reused. While `max_concurrent`
    exchanges are in progress, the next one waits within its own deadline, and nothing of it has been sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = 1.0,
        max_concurrent: int = 512,
        max_idle: int = 32,
        idle_timeout_s: float = 10.0,
        paused_since: PausedSince = never_paused,
    ) -> None:
        """Creates a client without connections. Pauses of this process do not count as time to connect."""
        self.host = host
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self.paused_since = paused_since
        self.max_idle = max_idle
        self.idle_timeout_s = idle_timeout_s
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
        """Runs one exchange and returns its response; raises ExchangeError if there is none.

        `progress` records the stages reached, also if the exchange is cancelled. With `new_connection` no idle
        connection is reused.
        """
        progress = progress or RequestProgress()
        outgoing = OutgoingRequest(method, target, headers, body)
        async with self.limiter:
            progress.advance(RequestStage.CONNECTING)
            connection = await self._connection(new_connection)
            progress.advance(RequestStage.CONNECTED)
            is_done = False
            try:
                response = await self._exchange(connection, outgoing, progress)
                is_done = True
            finally:
                if is_done and self._is_reusable(connection):
                    await self._keep(connection)
                else:
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(connection.stream)
            return response

    @asynccontextmanager
    async def stream(
        self, method: str, target: str, headers: Headers, body: bytes = b"", connect_timeout_s: float = 0.0
    ) -> AsyncIterator[tuple[Response, AsyncIterator[bytes]]]:
        """Runs an exchange with a streamed response on a new connection; yields its head and its body's chunks.

        `connect_timeout_s` replaces that of the client if it is longer.
        """
        connection = await self._new_connection(max(connect_timeout_s, self.connect_timeout_s))
        try:
            progress = RequestProgress()
            progress.advance(RequestStage.CONNECTED)
            await self._write(connection, OutgoingRequest(method, target, headers, body), progress)
            head = await self._read_head(connection, progress)

            async def chunks() -> AsyncIterator[bytes]:
                while True:
                    event = await self._next_event(connection)
                    if isinstance(event, h11.Data):
                        yield bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        return

            yield head, chunks()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(connection.stream)

    async def close(self) -> None:
        """Closes all idle connections."""
        while self.idle:
            await trio.aclose_forcefully(self.idle.popleft().stream)

    async def _keep(self, connection: PooledConnection) -> None:
        """Returns a connection to the pool; closes the least recently used ones over the limit."""
        connection.http.start_next_cycle()
        connection.idle_since = trio.current_time()
        self.idle.append(connection)
        while len(self.idle) > self.max_idle:
            await trio.aclose_forcefully(self.idle.popleft().stream)

    async def _connection(self, new_connection: bool) -> PooledConnection:
        """Returns the most recently used idle connection that is usable, or a new one."""
        now = trio.current_time()
        while self.idle and not new_connection:
            connection = self.idle.pop()
            is_fresh = now - connection.idle_since < self.idle_timeout_s
            if is_fresh and not has_pending_input(connection.stream):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._new_connection(self.connect_timeout_s)

    async def _new_connection(self, connect_timeout_s: float) -> PooledConnection:
        """Returns a new connection; raises ExchangeError where none comes about within the timeout."""
        stream = await self._connect(connect_timeout_s)
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        return PooledConnection(stream, http, trio.current_time())

    async def _connect(self, connect_timeout_s: float) -> trio.SocketStream:
        """Opens a connection; raises ExchangeError where none comes about within the timeout."""
        stream: trio.SocketStream | None = None
        failure: OSError | None = None
        deadline = trio.current_time() + connect_timeout_s
        try:
            async with move_on_at(deadline, math.inf, self.paused_since):
                try:
                    stream = await trio.open_tcp_stream(self.host, self.port)
                except OSError as error:
                    failure = error
        except trio.Cancelled:  # the caller's own time is up
            if stream is not None:
                stream.socket.close()
            raise
        if stream is not None:
            return stream
        if failure is None:
            raise ExchangeError(RequestEnd.UNREACHED, "connect timed out")
        cause = CONNECTION_REFUSED if was_refused(failure) else str(failure) or "connect failed"
        raise ExchangeError(RequestEnd.UNREACHED, cause) from failure

    async def _exchange(
        self, connection: PooledConnection, request: OutgoingRequest, progress: RequestProgress
    ) -> Response:
        """Sends a request on a connection and reads the complete response."""
        await self._write(connection, request, progress)
        response = await self._read_head(connection, progress)
        response_body = bytearray()
        while True:
            event = await self._next_event(connection)
            if isinstance(event, h11.Data):
                response_body += event.data
                if len(response_body) > MAX_RESPONSE_BYTES:
                    raise ExchangeError(RequestEnd.INVALID_RESPONSE, "the response is too large")
            elif isinstance(event, h11.EndOfMessage):
                progress.advance(RequestStage.RESPONSE_READ)
                response.body = bytes(response_body)
                return response
            else:
                raise ExchangeError(RequestEnd.CONNECTION_LOST, "the response ended early")

    async def _write(
        self, connection: PooledConnection, request: OutgoingRequest, progress: RequestProgress
    ) -> None:
        """Sends a request with the header fields that the connection requires."""
        headers = [("Host", f"{self.host}:{self.port}"), *request.headers]
        if request.body or request.method in METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(request.body))))
        try:
            data = _encode_request(connection.http, request, headers)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            # HTTP cannot represent the request, and nothing of it was sent.
            raise ExchangeError(RequestEnd.WITHDRAWN, str(error)) from error
        if progress.stage is RequestStage.CONNECTED:
            progress.advance(RequestStage.PARTLY_WRITTEN)  # from here on the kernel may have any part of it
        try:
            await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(RequestEnd.CONNECTION_LOST, str(error)) from error
        progress.advance(RequestStage.WRITTEN)

    async def _read_head(self, connection: PooledConnection, progress: RequestProgress) -> Response:
        """Reads the head of the final response; skips informational ones."""
        while True:
            event = await self._next_event(connection)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeError(
                    RequestEnd.CONNECTION_LOST, "the connection was closed without a response"
                )
            progress.advance(RequestStage.RESPONSE_STARTED)
            progress.status = event.status_code
            headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers]
            return Response(event.status_code, headers)

    async def _next_event(self, connection: PooledConnection) -> object:
        """Returns the next h11 event; raises ExchangeError if the connection fails or the response is invalid."""
        is_closed = False
        try:
            while (event := connection.http.next_event()) is h11.NEED_DATA:
                data = await connection.stream.receive_some(READ_BYTES)
                is_closed = not data
                connection.http.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(RequestEnd.CONNECTION_LOST, str(error)) from error
        except h11.RemoteProtocolError as error:
            end = RequestEnd.CONNECTION_LOST if is_closed else RequestEnd.INVALID_RESPONSE
            raise ExchangeError(end, str(error)) from error
        return event

    @staticmethod
    def _is_reusable(connection: PooledConnection) -> bool:
        """Returns whether both directions of the exchange are complete and the connection may stay open."""
        return connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE


def _encode_request(http: h11.Connection, request: OutgoingRequest, headers: Headers) -> bytes:
    """Encodes a request with complete header fields."""
    # Values are encoded as servers decode them (RFC 9110 5.5).
    encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
    data = http.send(h11.Request(method=request.method, target=request.target, headers=encoded)) or b""
    if request.body:
        data += http.send(h11.Data(data=request.body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    return data


def was_refused(error: BaseException) -> bool:
    """Returns whether a connect was refused; trio reports that as an exception group that is the error's cause."""
    if isinstance(error, BaseExceptionGroup):
        return any(was_refused(inner) for inner in error.exceptions)
    if isinstance(error, ConnectionRefusedError):
        return True
    return error.__cause__ is not None and was_refused(error.__cause__)


def has_pending_input(stream: trio.SocketStream) -> bool:
    """Returns whether an idle connection has anything to read: its end or unexpected bytes."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))
