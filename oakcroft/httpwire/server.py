"""The serving side: connections within the door's bounds, one handler for each request.

Every connection is a task under the server's nursery.
Each phase of an exchange has its time (decisions/admission/connection_limits.py), each limit its answer. While a handler
works, the connection is watched: a client that closes it cancels the handler.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Awaitable, Callable
from dataclasses import replace

import h11
import trio

from oakcroft.decisions.admission.connection_limits import (
    ConnectionTable,
    ExchangePhase,
    ConnectionVerdict,
    body_error_status,
    head_error_status,
    timeout_status,
)
from oakcroft.decisions.admission.connection_limits import phase_timeout
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.signalling.http_formats import PROBLEM_MEDIA_TYPE, problem_body

Handler = Callable[[Request], Awaitable[Response]]
Clock = Callable[[], int]
EarlyResponse = Callable[[bytes], bytes | None]
LargeBodyCheck = Callable[[str, Headers], bool]
LARGE_BODY_BYTES = 64 << 20
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)", re.IGNORECASE)
UNSUPPORTED_HEADER_PATTERN = re.compile(rb"\r\n(transfer-encoding|expect|connection)[ \t]*:", re.IGNORECASE)
PROBLEM_TITLES = {
    400: "Malformed request", 408: "The request came too slowly", 413: "The body is too large",
    431: "The head is too large", 500: "The front failed on this request", 503: "Too many connections",
}  # fmt: skip


def is_whole_post(data: bytes) -> bool:
    """Whether these bytes are one whole plain POST and nothing more, as they came; any doubt is False."""
    if not data.startswith(b"POST /"):
        return False
    end = data.find(b"\r\n\r\n")
    head = data[: end + 2]
    lengths = CONTENT_LENGTH_PATTERN.findall(head)
    return (
        end > 0
        and len(lengths) == 1
        and len(data) == end + 4 + int(lengths[0])
        and not UNSUPPORTED_HEADER_PATTERN.search(head)
    )


class HttpError(Exception):
    """An exchange that ends with a status of the server's own."""

    def __init__(self, status: int | None) -> None:
        super().__init__(str(status))
        self.status = status


def error_response(status: int, detail: str = "") -> Response:
    """A problem response (RFC 9457) after which the connection closes."""
    kind = f"urn:oakcroft:problem:http-{status}"
    headers = [("Content-Type", PROBLEM_MEDIA_TYPE)]
    if status == 503:
        headers.append(("Retry-After", "1"))
    return Response(
        status, headers, problem_body(status, kind, PROBLEM_TITLES.get(status, "Refused"), detail), close=True
    )


class Server:
    """Serves one listener."""

    def __init__(
        self,
        handler: Handler,
        connection_table: ConnectionTable,
        clock: Clock,
        on_error: Callable[[Request, BaseException], None],
        early_response: EarlyResponse | None = None,
        allows_large_body: LargeBodyCheck | None = None,
    ) -> None:
        """`early_response`: looks at a whole request unread, and answers it at once or says None.

        `allows_large_body`: whether a request, by its target and headers, may have a body of `LARGE_BODY_BYTES`.
        """
        self.early_response = early_response
        self.allows_large_body = allows_large_body
        self.handler = handler
        self.connection_table = connection_table
        self.clock = clock
        self.on_error = on_error
        self.connection_numbers = itertools.count(1)
        self.scopes: dict[int, trio.CancelScope] = {}

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Accepts until it is cancelled."""
        await trio.serve_listeners(self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        """One connection, until it closes."""
        number, now = next(self.connection_numbers), self.clock()
        try:
            source = str(stream.socket.getpeername()[0])
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        verdict, evicted = self.connection_table.accept(number, source, now)
        if evicted is not None and evicted in self.scopes:
            self.scopes[evicted].cancel()
        with trio.CancelScope() as scope:
            self.scopes[number] = scope
            connection = Connection(self, number, stream, source)
            try:
                if verdict is ConnectionVerdict.REJECT:
                    await connection.reject()
                else:
                    await connection.run()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h11.RemoteProtocolError,
                h11.LocalProtocolError,
            ):
                pass  # the client is gone, or is told already
            finally:
                self.connection_table.remove(number)
                del self.scopes[number]
                await trio.aclose_forcefully(stream)


class Connection:
    """One client's connection and its exchanges."""

    def __init__(self, server: Server, number: int, stream: trio.SocketStream, source: str) -> None:
        self.server, self.number, self.stream, self.source = server, number, stream, source
        self.limits = server.connection_table.limits
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.emptied_at = server.clock()
        self.client_closed = False

    async def reject(self) -> None:
        """503 to a newcomer for whom there is no place, once its head is there, or nothing."""
        with trio.move_on_after(0.5):
            try:
                await self._event(ExchangePhase.READING_HEAD)
                await self._write(error_response(503))
            except HttpError:
                return

    async def run(self) -> None:
        """Exchange after exchange."""
        while True:
            try:
                request = await self._read()
                if request is None:
                    return
                response = await self._handle(request)
                if response is None:
                    return
            except HttpError as error:
                if error.status is None:
                    return
                response = error_response(error.status)
            if response.upgrade is not None:
                await response.upgrade(self.stream, self.http.trailing_data[0])
                return
            written = False
            try:
                await self._write(response)
                written = True
            finally:
                if not written and response.on_unsent:
                    response.on_unsent()
            if self.http.our_state is not h11.DONE or response.close or self.http.their_state is not h11.DONE:
                await self._close_gracefully()
                return
            self.http.start_next_cycle()
            self.emptied_at = self.server.clock()
            self.server.connection_table.mark_idle(self.number, self.emptied_at)

    async def _event(self, phase: ExchangePhase) -> object:
        """The next h11 event, within the phase's time."""
        allowed = phase_timeout(phase, self.limits)
        with trio.move_on_after(allowed / 1e9 if allowed else float("inf")):
            while True:
                try:
                    event = self.http.next_event()
                except h11.RemoteProtocolError as error:
                    if self.http.our_state is h11.ERROR or self.http.our_state is h11.MUST_CLOSE:
                        raise HttpError(None) from error
                    raise HttpError(error.error_status_hint or 400) from error
                if event is not h11.NEED_DATA:
                    return event
                data = await self.stream.receive_some(16_384)
                self.http.receive_data(data)
        raise HttpError(timeout_status(phase))

    async def _read(self) -> Request | None:
        """A whole request; None at the end of the connection."""
        while not self.http.trailing_data[0]:
            with trio.move_on_after(self.limits.idle / 1e9) as scope:
                data = await self.stream.receive_some(16_384)
            if scope.cancelled_caught or not data:
                return None
            early = (
                self.server.early_response(data)
                if self.server.early_response is not None and is_whole_post(data)
                else None
            )
            if early is None:
                self.http.receive_data(data)
                break
            await self._send_in_time(early)
            self.emptied_at = self.server.clock()
        self.server.connection_table.mark_busy(self.number)
        head = await self._event(ExchangePhase.READING_HEAD)
        if isinstance(head, h11.ConnectionClosed):
            return None
        if not isinstance(head, h11.Request):
            raise HttpError(400)
        read_at = self.server.clock()
        size = sum(len(n) + len(v) + 4 for n, v in head.headers)
        if status := head_error_status(len(head.headers), size, self.limits):
            raise HttpError(status)
        headers = [(n.decode("latin-1").lower(), v.decode("latin-1")) for n, v in head.headers]
        length = next((int(v) for n, v in headers if n == "content-length"), None)
        limits = self.limits
        if self.server.allows_large_body is not None and self.server.allows_large_body(
            head.target.decode("latin-1"), headers
        ):
            limits = replace(limits, body_bytes=LARGE_BODY_BYTES)
        if status := body_error_status(0, length, limits):
            raise HttpError(status)
        if any(n == "expect" for n, _ in headers) and self.http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send_all(self.http.send(continue_response) or b"")
        body = bytearray()
        with trio.move_on_after(self.limits.body_within / 1e9):
            while True:
                event = await self._event(ExchangePhase.READING_BODY)
                if isinstance(event, h11.Data):
                    body += event.data
                    if status := body_error_status(len(body), None, limits):
                        raise HttpError(status)
                elif isinstance(event, h11.EndOfMessage):
                    return Request(
                        head.method.decode("latin-1"), head.target.decode("latin-1"), headers, bytes(body),
                        self.source, read_at, self.emptied_at,
                    )  # fmt: skip
                else:
                    raise HttpError(None)
        raise HttpError(408)

    async def _handle(self, request: Request) -> Response | None:
        """The handler's response; None when the client has gone."""
        response: Response | None = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                try:
                    data = await self.stream.receive_some(4_096)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    self.client_closed = True
                    nursery.cancel_scope.cancel()
                    return
                self.http.receive_data(data)  # the next request; read no further until it is its turn

            nursery.start_soon(watch)
            try:
                response = await self.server.handler(request)
            except Exception as error:
                self.server.on_error(request, error)
                response = error_response(500)
            nursery.cancel_scope.cancel()
        if self.client_closed and response is not None and response.on_unsent:
            response.on_unsent()
        return None if self.client_closed else response

    async def _write(self, response: Response) -> None:
        """Writes within its time; a client that reads too slowly loses its connection."""
        headers = list(response.headers)
        bodyless = response.status in (204, 304)
        if response.stream is None and not bodyless:
            headers.append(("Content-Length", str(len(response.body))))
        if response.close or response.stream is not None:
            headers.append(("Connection", "close"))
        octets = [(n.encode(), v.encode("latin-1")) for n, v in headers]  # as they are read (RFC 9110 5.5)
        head = h11.Response(status_code=response.status, headers=octets)
        try:
            data = self.http.send(head) or b""
        except h11.LocalProtocolError:
            raise HttpError(None) from None
        if response.stream is not None:
            await self._stream(data, response)
            return
        if response.body and not bodyless:
            data += self.http.send(h11.Data(data=response.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(self.limits.write_within / 1e9) as scope:
            await self.stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError

    async def _stream(self, head: bytes, response: Response) -> None:
        """Writes a stream until it ends, the client goes, or the client reads too slowly."""
        assert response.stream is not None
        chunks = response.stream
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                try:
                    while await self.stream.receive_some(4_096):
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
        with trio.move_on_after(self.limits.write_within / 1e9) as scope:
            await self.stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError

    async def _close_gracefully(self) -> None:
        """Closes so that the last answer is not lost: what the client still sends is read away for a moment, or
        its bytes would meet a closed socket and the reset would overtake the answer (RFC 9112 9.6)."""
        with trio.move_on_after(0.5):
            await self.stream.send_eof()
            read = 0
            while read < 1_000_000:
                data = await self.stream.receive_some(65_536)
                if not data:
                    return
                read += len(data)
