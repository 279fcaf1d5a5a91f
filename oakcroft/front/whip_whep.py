"""WHEP (draft-ietf-wish-whep) and WHIP (RFC 9725) over HTTP: an adapter to the session service."""

from __future__ import annotations

import re
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from http import HTTPStatus
from pathlib import Path

import orjson
import trio

from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer, Reply
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.front.request_checks import RequestError
from oakcroft.front.session_service import EVENT_KINDS, PlaybackRequest, SessionService
from oakcroft.front.playback_session import SessionEventReader, PlaybackSession
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.signalling import http_formats, sdp

TRY_PAGE = Path(__file__).parent / "try.html"
EXPOSED_HEADERS = "Location, Link, ETag, Retry-After, Accept-Post, Accept-Patch"
SESSION_METHODS = {
    "": "OPTIONS, PATCH, DELETE", "layer": "OPTIONS, POST", "events": "OPTIONS, GET, POST", "move": "OPTIONS, POST",
    "move/done": "OPTIONS, POST",
}  # fmt: skip
KEY_HEADER_PATTERN = re.compile(rb"\r\nidempotency-key:([^\r\n]*)\r\n", re.IGNORECASE)
BEARER_HEADER_PATTERN = re.compile(rb"\r\nauthorization:[ \t]*bearer ([^\r\n]*)\r\n", re.IGNORECASE)
ENDPOINT_METHODS = "OPTIONS, POST"
KEEP_ALIVE_SECONDS = 10
ALLOWED_HEADERS = "Authorization, Content-Type, If-Match, Idempotency-Key, Prefer"


class HttpRequestError(RequestError):
    """A request that HTTP itself does not allow, with response headers that name what is allowed."""

    def __init__(self, status: int, kind: str, title: str, headers: Headers) -> None:
        """Creates an error with extra response headers."""
        super().__init__(status, kind, title)
        self.headers = headers


def bearer_token(request: Request) -> str | None:
    """Bearer token of a request; None where it has none."""
    scheme, _, given = (request.header("authorization") or "").partition(" ")
    return given if scheme.lower() == "bearer" else None


def busy_response() -> bytes:
    """The serialized response to a request that is rejected unread."""
    reply = answers.REFUSAL_REPLIES[answers.Refusal.BUSY]
    body = http_formats.problem_body(reply.status, reply.problem_type, reply.title, retry=reply.may_retry)
    head = (
        f"HTTP/1.1 {reply.status} \r\nContent-Type: {http_formats.PROBLEM_MEDIA_TYPE}\r\n"
        f"Retry-After: {reply.retry_after_s}\r\n"
        f"Access-Control-Allow-Origin: *\r\nAccess-Control-Expose-Headers: {EXPOSED_HEADERS}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class WhipWhepApi:
    """Handles the HTTP requests of viewers and publishers."""

    def __init__(
        self, service: SessionService, extra_route: tuple[str, Callable[[Request], Response]] | None = None,
        operators_route: tuple[str, Callable[[Request], Awaitable[Response]]] | None = None,
    ) -> None:  # fmt: skip
        """Creates the handler.

        `extra_route` is a path and the function that serves it; `operators_route` is a path prefix and the
        function that serves all paths below it.
        """
        self.operators_route = operators_route
        self.service = service
        self.coordinator = service.coordinator
        self.extra_route = extra_route
        self.busy_response = busy_response()

    def shed_response(self, raw_request: bytes) -> bytes | None:
        """Response to a complete unparsed request that is to be shed; None where it is to be handled."""
        target = raw_request[5 : raw_request.find(b" ", 5)].decode("latin-1").partition("?")[0]
        if not self.service.request_queue.fair_queue.waiting or self._raw_request_has_replay(raw_request):
            return None
        return self.busy_response if self.service.request_queue.should_shed(target) else None

    def _raw_request_has_replay(self, raw_request: bytes) -> bool:
        """Whether a complete unparsed request has a key that already has its answer; False in any doubt."""
        head = raw_request[: raw_request.find(b"\r\n\r\n") + 2]
        key = KEY_HEADER_PATTERN.search(head)
        bearer = BEARER_HEADER_PATTERN.search(head)
        if key is None:
            return False
        try:
            token = self.service.authenticate(bearer[1].decode("latin-1") if bearer else None)
        except RequestError:
            return False
        return self.service.has_replay(http_formats.parse_idempotency_key(key[1].decode("latin-1")), token)

    async def handle(self, request: Request) -> Response:
        """Response to one request; errors become problem documents."""
        try:
            response = await self._route_request(request)
        except RequestError as error:
            headers = [
                ("Content-Type", http_formats.PROBLEM_MEDIA_TYPE),
                *(error.headers if isinstance(error, HttpRequestError) else []),
            ]
            if error.status == HTTPStatus.UNAUTHORIZED:
                challenge = 'Bearer realm="oakcroft"' + (f', error="{error.detail}"' if error.detail else "")
                headers.append(("WWW-Authenticate", challenge))
            body = http_formats.problem_body(error.status, error.problem_type, error.title, error.detail)
            response = Response(error.status, headers, body)
        response.headers += [
            ("Access-Control-Allow-Origin", "*"),
            ("Access-Control-Expose-Headers", EXPOSED_HEADERS),
        ]
        return response

    async def _route_request(self, request: Request) -> Response:
        """Dispatches a request by its path."""
        if self.extra_route is not None and request.path == self.extra_route[0]:
            return self.extra_route[1](request)
        if self.operators_route is not None and request.path.startswith(self.operators_route[0]):
            return await self.operators_route[1](request)
        if request.path == "/try" and request.method == "GET":
            headers = [("Content-Type", "text/html; charset=utf-8"), ("Cache-Control", "no-store")]
            return Response(200, headers, TRY_PAGE.read_bytes())
        if request.path.startswith("/session/"):
            return await self._handle_session(request)
        if request.method == "POST" and self._has_replay(request):
            return await self._create_session(request)  # even where the path is no longer served
        self.service.roles_served(request.path)
        if request.method == "OPTIONS":
            return self._options_response(ENDPOINT_METHODS, [("Accept-Post", sdp.MEDIA_TYPE)])
        if request.method != "POST":
            raise self._method_not_allowed(ENDPOINT_METHODS)
        return await self._create_session(request)

    @staticmethod
    def _options_response(methods: str, extra_headers: Headers) -> Response:
        """Response to OPTIONS."""
        return Response(204, [
            ("Allow", methods), ("Access-Control-Allow-Methods", methods), ("Access-Control-Max-Age", "86400"),
            ("Access-Control-Allow-Headers", ALLOWED_HEADERS), *extra_headers,
        ])  # fmt: skip

    @staticmethod
    def _method_not_allowed(allowed: str) -> RequestError:
        """The error for a method that is not allowed."""
        return HttpRequestError(405, "method", "This method is not for here", [("Allow", allowed)])

    @staticmethod
    def _read_offer(request: Request) -> str:
        """The offer in a request. Raises RequestError 400, 406 or 415."""
        if http_formats.parse_media_type(request.header("content-type") or "") != sdp.MEDIA_TYPE:
            raise HttpRequestError(
                415, "media-type", f"An offer comes as {sdp.MEDIA_TYPE}", [("Accept-Post", sdp.MEDIA_TYPE)]
            )
        if not http_formats.accepts_media_type(request.header("accept"), sdp.MEDIA_TYPE):
            raise RequestError(406, "accept", f"The answer comes as {sdp.MEDIA_TYPE}")
        try:
            return request.body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise RequestError(400, "sdp", "The offer is no session description", str(error)) from None

    @staticmethod
    def _read_key(request: Request) -> str | None:
        """The idempotency key of a request, if it has one. Raises RequestError 400."""
        given = request.header("idempotency-key")
        key = http_formats.parse_idempotency_key(given) if given is not None else None
        if given is not None and key is None:
            raise RequestError(400, "key", "Idempotency-Key holds a quoted string")
        return key

    def _has_replay(self, request: Request) -> bool:
        """Whether a request repeats one that has its answer."""
        key = request.header("idempotency-key")
        return key is not None and self.service.has_replay(
            http_formats.parse_idempotency_key(key), self.service.authenticate(bearer_token(request))
        )

    async def _create_session(self, request: Request) -> Response:
        """Handles the POST of an offer."""
        token = self.service.authenticate(bearer_token(request))
        written_at = self.coordinator.pause_detector.earliest_written_at(request.read_at, request.idle_before)
        playback_request = PlaybackRequest(
            request.path,
            self._read_offer(request),
            self._read_key(request),
            written_at,
            token,
            request.source,
            request.header_values("prefer"),
        )
        answer, is_first = await self.service.request_playback(playback_request)
        return (
            self._problem_response(answer)
            if isinstance(answer, Reply)
            else self._answer_response(answer, is_first)
        )

    @staticmethod
    def _problem_response(reply: Reply) -> Response:
        """A reply as a response with a problem document."""
        headers = [("Content-Type", http_formats.PROBLEM_MEDIA_TYPE)]
        if reply.retry_after_s is not None:
            headers.append(("Retry-After", str(reply.retry_after_s)))
        return Response(
            reply.status,
            headers,
            http_formats.problem_body(reply.status, reply.problem_type, reply.title, retry=reply.may_retry),
        )

    def _answer_response(self, session: PlaybackSession, is_first: bool) -> Response:
        """Response with a session's final answer; `is_first` says that it was not given before."""
        if (
            session.final_answer is not FinalAnswer.PLAYS
            or session.upstream is None
            or session.resource is None
        ):
            return self._problem_response(session.reply or answers.rejected_reply(0))
        location = f"/session/{session.id}"
        headers = self._session_headers(session, session.resource.etag, location)
        on_unsent = (
            partial(self.coordinator.answer_delivery.handle_undelivered, session)
            if is_first or session.answer_undelivered
            else None
        )
        session.answer_undelivered = False
        return Response(201, headers, session.upstream.sdp_answer.encode(), on_unsent=on_unsent)

    def _session_headers(self, session: PlaybackSession, etag: str, location: str) -> Headers:
        """Headers of the answer that a session plays."""
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Location", location),
            ("ETag", f'"{etag}"'),
        ]
        headers += [
            ("Link", http_formats.format_link(server, http_formats.REL_ICE_SERVER))
            for server in self.coordinator.site.ice_servers
        ]
        if not session.publishes:
            events = http_formats.format_link(
                f"{location}/events", http_formats.REL_EVENTS, events=",".join(EVENT_KINDS)
            )
            headers += [
                ("Link", events),
                ("Link", http_formats.format_link(f"{location}/layer", http_formats.REL_LAYER)),
            ]
        headers.append(("Accept-Patch", SDPFRAG_MEDIA_TYPE))
        return headers

    async def _handle_session(self, request: Request) -> Response:
        """Handles a request on a session resource or one of its sub-resources."""
        _, _, rest = request.path.partition("/session/")
        session_id, _, subresource = rest.partition("/")
        if subresource not in SESSION_METHODS:
            raise RequestError(404, "no-route", "Nothing is served at this path")
        methods = SESSION_METHODS[subresource]
        if request.method == "OPTIONS":
            return self._options_response(
                methods, [("Accept-Patch", SDPFRAG_MEDIA_TYPE)] if not subresource else []
            )
        if request.method not in methods:
            raise self._method_not_allowed(methods)
        session = self.service.find_session(session_id, self.service.authenticate(bearer_token(request)))
        match subresource:
            case "layer":
                return await self._select_layer(request, session)
            case "events":
                return self._handle_events(request, session)
            case "move":
                return await self._accept_move_offer(request, session)
            case "move/done":
                await self.service.confirm_move(session)
                return Response(204)
        if request.method == "DELETE":
            await self.service.end_session(session)
            return Response(200)
        return await self._patch(request, session)

    async def _patch(self, request: Request, session: PlaybackSession) -> Response:
        """Handles a trickle ICE fragment."""
        if_match = request.header("if-match")
        etags = http_formats.parse_entity_tags(if_match) if if_match is not None else None
        content_type = http_formats.parse_media_type(request.header("content-type") or "")
        result = await self.service.patch(session, content_type, etags, request.body)
        if not result.etag:
            return Response(204)
        return Response(
            200, [("Content-Type", SDPFRAG_MEDIA_TYPE), ("ETag", f'"{result.etag}"')], result.fragment
        )

    async def _select_layer(self, request: Request, session: PlaybackSession) -> Response:
        """Handles the choice of the highest rung."""
        try:
            body = orjson.loads(request.body)
            requested = body.get("encodingId") if isinstance(body, dict) else None
        except orjson.JSONDecodeError:
            requested = None
        if not isinstance(requested, str):
            raise RequestError(400, "layer", 'A layer is named as {"encodingId": "2"}')
        await self.service.select_layer(session, requested)
        return Response(200)

    async def _accept_move_offer(self, request: Request, session: PlaybackSession) -> Response:
        """Handles the offer of a player that is being moved."""
        key = self._read_key(request) or secrets.token_urlsafe(15)
        result = await self.service.accept_move_offer(
            session, self._read_offer(request), key, request.header_values("prefer")
        )
        if isinstance(result, Reply):
            return self._problem_response(result)
        answer, etag = result
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Location", f"/session/{session.id}"),
            ("ETag", f'"{etag}"'),
        ]
        return Response(201, headers, answer.encode())

    def _handle_events(self, request: Request, session: PlaybackSession) -> Response:
        """Handles server-sent events of one session.

        POST names the kinds of events and returns the location of the stream; GET opens the stream.
        """
        location = f"/session/{session.id}/events"
        if request.method == "POST":
            kinds = self._read_event_kinds(request)
            return Response(201, [("Location", f"{location}?kinds={'.'.join(kinds)}")])
        if not http_formats.accepts_media_type(
            request.header("accept"), http_formats.EVENT_STREAM_MEDIA_TYPE
        ):
            raise RequestError(406, "accept", f"Events come as {http_formats.EVENT_STREAM_MEDIA_TYPE}")
        requested_kinds = request.query_parameter("kinds")
        reader = self.service.open_reader(
            session, frozenset(EVENT_KINDS if requested_kinds is None else requested_kinds.split("."))
        )
        headers = [("Content-Type", http_formats.EVENT_STREAM_MEDIA_TYPE), ("Cache-Control", "no-store")]
        return Response(200, headers, stream=self._event_stream(session, reader))

    @staticmethod
    def _read_event_kinds(request: Request) -> list[str]:
        """Kinds of events that a request names, without unknown ones. Raises RequestError 400."""
        try:
            kinds = orjson.loads(request.body)
        except orjson.JSONDecodeError:
            kinds = None
        if not isinstance(kinds, list) or not all(isinstance(kind, str) for kind in kinds):
            raise RequestError(400, "events", 'Events are named as ["active", "inactive"]')
        return [kind for kind in EVENT_KINDS if kind in kinds]

    async def _event_stream(
        self, session: PlaybackSession, reader: SessionEventReader
    ) -> AsyncIterator[bytes]:
        """Server-sent events of a reader, with a comment as keepalive while there are none."""
        try:
            while True:
                chunk = http_formats.KEEP_ALIVE_COMMENT
                with trio.move_on_after(KEEP_ALIVE_SECONDS):
                    try:
                        chunk = http_formats.format_event(*await reader.receive.receive())
                    except trio.EndOfChannel:
                        return
                yield chunk
        finally:
            self.service.close_reader(session, reader)
