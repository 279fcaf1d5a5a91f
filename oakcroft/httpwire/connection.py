"""A client's connection to the HTTP server: one exchange after another, each phase with its timeout.

Each exceeded limit has its status (decisions/admission/connection_limits.py). While a handler runs, the connection is
watched: a client that closes it cancels the handler.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import h11
import trio

from oakcroft.decisions.admission.connection_limits import (
    ConnectionLimits,
    ConnectionTable,
    ExchangePhase,
    body_error_status,
    head_error_status,
    phase_timeout,
    timeout_status,
)
from oakcroft.httpwire.error_responses import HttpError, error_response
from oakcroft.httpwire.message import Headers, Request, Response, is_whole_post

Handler = Callable[[Request], Awaitable[Response]]
Clock = Callable[[], int]
ErrorHandler = Callable[[Request, BaseException], None]
EarlyResponse = Callable[[bytes], bytes | None]
LargeBodyCheck = Callable[[str, Headers], bool]

LARGE_BODY_BYTES = 64 << 20
READ_BYTES = 16_384
WATCH_READ_BYTES = 4_096
REJECT_TIMEOUT_S = 0.5
CLOSE_TIMEOUT_S = 0.5
CLOSE_READ_BYTES = 65_536
MAX_CLOSE_READ_BYTES = 1_000_000
NS_PER_SECOND = 1e9
BODYLESS_STATUSES = (204, 304)


@dataclass(frozen=True)
class ConnectionContext:
    """What all connections of a server share.

    - `clock`: returns the time in ns.
    - `on_error`: called when the handler raised an exception; the client gets a 500.
    - `early_response`: gets the bytes of a complete request before they are parsed, and returns the bytes of a
      response that is sent at once, or None.
    - `allows_large_body`: whether a request, by its target and headers, may have a body of `LARGE_BODY_BYTES`.
    """

    handler: Handler
    connection_table: ConnectionTable
    clock: Clock
    on_error: ErrorHandler
    early_response: EarlyResponse | None = None
    allows_large_body: LargeBodyCheck | None = None


class Connection:
    """A client's connection and its exchanges."""

    def __init__(
        self, context: ConnectionContext, number: int, stream: trio.SocketStream, source: str
    ) -> None:
        """Wraps an accepted stream; `number` identifies it in the connection table, `source` is its peer's address."""
        self.context = context
        self.number = number
        self.stream = stream
        self.source = source
        self.limits = context.connection_table.limits
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.known_empty_at = context.clock()
        self.client_closed = False

    async def reject(self) -> None:
        """Answers 503 on a connection over the limit once a request head has arrived; else it just closes."""
        with trio.move_on_after(REJECT_TIMEOUT_S):
            try:
                await self._next_event(ExchangePhase.READING_HEAD)
                await self._write(error_response(503))
            except HttpError:
                return

    async def run(self) -> None:
        """Runs one exchange after another until the connection closes."""
        while True:
            try:
                request = await self._read_request()
                if request is None:
                    return
                response = await self._run_handler(request)
                if response is None:
                    return
            except HttpError as error:
                if error.status is None:
                    return
                response = error_response(error.status)
            if response.upgrade is not None:
                await response.upgrade(self.stream, self.http.trailing_data[0])
                return
            is_written = False
            try:
                await self._write(response)
                is_written = True
            finally:
                if not is_written and response.on_unsent:
                    response.on_unsent()
            can_continue = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
            if response.close or not can_continue:
                await self._close_gracefully()
                return
            self.http.start_next_cycle()
            self.known_empty_at = self.context.clock()
            self.context.connection_table.mark_idle(self.number, self.known_empty_at)

    async def _next_event(self, phase: ExchangePhase) -> object:
        """Returns the next h11 event, within the timeout of the phase."""
        timeout_ns = phase_timeout(phase, self.limits)
        with trio.move_on_after(timeout_ns / NS_PER_SECOND if timeout_ns else float("inf")):
            while True:
                try:
                    event = self.http.next_event()
                except h11.RemoteProtocolError as error:
                    if self.http.our_state in (h11.ERROR, h11.MUST_CLOSE):
                        raise HttpError(None) from error
                    raise HttpError(error.error_status_hint or 400) from error
                if event is not h11.NEED_DATA:
                    return event
                data = await self.stream.receive_some(READ_BYTES)
                self.http.receive_data(data)
        raise HttpError(timeout_status(phase))

    async def _read_request(self) -> Request | None:
        """Reads a complete request; None at the end of the connection."""
        if not await self._wait_for_request():
            return None
        self.context.connection_table.mark_busy(self.number)
        head = await self._next_event(ExchangePhase.READING_HEAD)
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise HttpError(400)
        read_at = self.context.clock()
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if status := head_error_status(len(head.headers), size, self.limits):
            raise HttpError(status)
        target = head.target.decode("latin-1")
        headers = [(name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in head.headers]
        limits = self._body_limits(target, headers)
        length = next((int(value) for name, value in headers if name == "content-length"), None)
        if status := body_error_status(0, length, limits):
            raise HttpError(status)
        if any(name == "expect" for name, _ in headers) and self.http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send_all(self.http.send(continue_response) or b"")
        body = await self._read_body(limits)
        return Request(
            head.method.decode("latin-1"), target, headers, body, self.source, read_at, self.known_empty_at
        )

    async def _wait_for_request(self) -> bool:
        """Waits for the first bytes of a request and sends early responses; False if the connection ended."""
        while not self.http.trailing_data[0]:
            with trio.move_on_after(self.limits.idle / NS_PER_SECOND) as scope:
                data = await self.stream.receive_some(READ_BYTES)
            if scope.cancelled_caught or not data:
                return False
            response = self._early_response(data)
            if response is None:
                self.http.receive_data(data)
                return True
            await self._send_in_time(response)
            self.known_empty_at = self.context.clock()
        return True

    def _early_response(self, data: bytes) -> bytes | None:
        if self.context.early_response is None or not is_whole_post(data):
            return None
        return self.context.early_response(data)

    def _body_limits(self, target: str, headers: Headers) -> ConnectionLimits:
        """Returns the limits for a request, with the larger body limit where it is allowed."""
        allows_large_body = self.context.allows_large_body
        if allows_large_body is not None and allows_large_body(target, headers):
            return replace(self.limits, body_bytes=LARGE_BODY_BYTES)
        return self.limits

    async def _read_body(self, limits: ConnectionLimits) -> bytes:
        body = bytearray()
        with trio.move_on_after(self.limits.body_within / NS_PER_SECOND):
            while True:
                event = await self._next_event(ExchangePhase.READING_BODY)
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if not isinstance(event, h11.Data):
                    raise HttpError(None)
                body += event.data
                if status := body_error_status(len(body), None, limits):
                    raise HttpError(status)
        raise HttpError(408)

    async def _run_handler(self, request: Request) -> Response | None:
        """Runs the handler and returns its response; None if the client has closed the connection."""
        response: Response | None = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                try:
                    data = await self.stream.receive_some(WATCH_READ_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    self.client_closed = True
                    nursery.cancel_scope.cancel()
                    return
                self.http.receive_data(data)  # the next request; nothing more is read before its turn

            nursery.start_soon(watch)
            try:
                response = await self.context.handler(request)
            except Exception as error:
                self.context.on_error(request, error)
                response = error_response(500)
            nursery.cancel_scope.cancel()
        if self.client_closed and response is not None and response.on_unsent:
            response.on_unsent()
        return None if self.client_closed else response

    async def _write(self, response: Response) -> None:
        """Writes a response; raises BrokenResourceError if the client reads too slowly."""
        headers = list(response.headers)
        is_bodyless = response.status in BODYLESS_STATUSES
        if response.stream is None and not is_bodyless:
            headers.append(("Content-Length", str(len(response.body))))
        if response.close or response.stream is not None:
            headers.append(("Connection", "close"))
        # Values are encoded as clients decode them (RFC 9110 5.5).
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        head = h11.Response(status_code=response.status, headers=encoded)
        try:
            data = self.http.send(head) or b""
        except h11.LocalProtocolError:
            raise HttpError(None) from None
        if response.stream is not None:
            await self._stream(data, response)
            return
        if response.body and not is_bodyless:
            data += self.http.send(h11.Data(data=response.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        await self._send_in_time(data)

    async def _stream(self, head: bytes, response: Response) -> None:
        """Writes a stream until it ends, the client goes, or the client reads too slowly."""
        assert response.stream is not None
        chunks = response.stream
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                try:
                    while await self.stream.receive_some(WATCH_READ_BYTES):
                        pass
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                await self._send_in_time(head)
                async for chunk in chunks:
                    await self._send_in_time(self.http.send(h11.Data(data=chunk)) or b"")
                await self._send_in_time(self.http.send(h11.EndOfMessage()) or b"")
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                with trio.CancelScope(shield=True):
                    close = getattr(chunks, "aclose", None)
                    if close is not None:
                        await close()
            nursery.cancel_scope.cancel()

    async def _send_in_time(self, data: bytes) -> None:
        with trio.move_on_after(self.limits.write_within / NS_PER_SECOND) as scope:
            await self.stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError

    async def _close_gracefully(self) -> None:
        """Closes the connection without losing the last response.

        What the client still sends is read and discarded for a while. Otherwise it would meet a closed socket, and the
        reset could reach the client before the response (RFC 9112 9.6).
        """
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self.stream.send_eof()
            discarded = 0
            while discarded < MAX_CLOSE_READ_BYTES:
                data = await self.stream.receive_some(CLOSE_READ_BYTES)
                if not data:
                    return
                discarded += len(data)
