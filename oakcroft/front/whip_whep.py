"""WHEP (draft-ietf-wish-whep) and WHIP (RFC 9725) over HTTP: an adapter to the session service."""

from __future__ import annotations

import re
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from pathlib import Path

import orjson
import trio

from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import Final, Reply
from oakcroft.decisions.sessions.session_resource import SDPFRAG
from oakcroft.front.session_service import READER_KINDS, Ask, Core, Faulty
from oakcroft.front.playback_session import Reader, Viewing
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.signalling import sdp, words

TRY = Path(__file__).parent / "try.html"
EXPOSED = "Location, Link, ETag, Retry-After, Accept-Post, Accept-Patch"
SESSION_PARTS = {
    "": "OPTIONS, PATCH, DELETE", "layer": "OPTIONS, POST", "events": "OPTIONS, GET, POST", "move": "OPTIONS, POST",
    "move/done": "OPTIONS, POST",
}  # fmt: skip
KEY_LINE = re.compile(rb"\r\nidempotency-key:([^\r\n]*)\r\n", re.IGNORECASE)
BEARER_LINE = re.compile(rb"\r\nauthorization:[ \t]*bearer ([^\r\n]*)\r\n", re.IGNORECASE)
ENDPOINT = "OPTIONS, POST"
ALLOWED = "Authorization, Content-Type, If-Match, Idempotency-Key, Prefer"


class Misused(Faulty):
    """A request that HTTP itself does not allow, with response headers that name what is allowed."""

    def __init__(self, status: int, kind: str, title: str, headers: Headers) -> None:
        """Creates an error with extra response headers."""
        super().__init__(status, kind, title)
        self.headers = headers


def bearer(request: Request) -> str | None:
    """Bearer token of a request; None where it has none."""
    scheme, _, given = (request.header("authorization") or "").partition(" ")
    return given if scheme.lower() == "bearer" else None


def busy() -> bytes:
    """The serialized response to a request that is rejected unread."""
    reply = answers.REFUSALS[answers.Refusal.BUSY]
    body = words.problem(reply.status, reply.kind, reply.title, retry=reply.retry)
    head = (
        f"HTTP/1.1 {reply.status} \r\nContent-Type: {words.PROBLEM}\r\nRetry-After: {reply.retry_after}\r\n"
        f"Access-Control-Allow-Origin: *\r\nAccess-Control-Expose-Headers: {EXPOSED}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Viewers:
    """Handles the HTTP requests of viewers and publishers."""

    def __init__(
        self, core: Core, other: tuple[str, Callable[[Request], Response]] | None = None,
        operators: tuple[str, Callable[[Request], Awaitable[Response]]] | None = None,
    ) -> None:  # fmt: skip
        """Creates the handler.

        `extra_route` is a path and the function that serves it; `operators_route` is a path prefix and the
        function that serves all paths below it.
        """
        self.operators = operators
        self.core, self.helm, self.other = core, core.helm, other
        self.busy = busy()

    def shed(self, data: bytes) -> bytes | None:
        """Response to a complete unparsed request that is to be shed; None where it is to be handled."""
        target = data[5 : data.find(b" ", 5)].decode("latin-1").partition("?")[0]
        if not self.core.line.waiting or self._repeated(data):
            return None
        return self.busy if self.core.sheds(target) else None

    def _repeated(self, data: bytes) -> bool:
        """Whether a complete unparsed request has a key that already has its answer; False in any doubt."""
        head = data[: data.find(b"\r\n\r\n") + 2]
        key, bearer_ = KEY_LINE.search(head), BEARER_LINE.search(head)
        if key is None:
            return False
        try:
            token = self.core.token(bearer_[1].decode("latin-1") if bearer_ else None)
        except Faulty:
            return False
        return self.core.repeated(words.idempotency_key(key[1].decode("latin-1")), token)

    async def handle(self, request: Request) -> Response:
        """Response to one request; errors become problem documents."""
        try:
            response = await self._handle(request)
        except Faulty as fault:
            headers = [
                ("Content-Type", words.PROBLEM),
                *(fault.headers if isinstance(fault, Misused) else []),
            ]
            if fault.status == 401:
                challenge = 'Bearer realm="oakcroft"' + (f', error="{fault.detail}"' if fault.detail else "")
                headers.append(("WWW-Authenticate", challenge))
            body = words.problem(fault.status, fault.kind, fault.title, fault.detail)
            response = Response(fault.status, headers, body)
        response.headers += [("Access-Control-Allow-Origin", "*"), ("Access-Control-Expose-Headers", EXPOSED)]
        return response

    async def _handle(self, request: Request) -> Response:
        """Dispatches a request by its path."""
        if self.other is not None and request.path == self.other[0]:
            return self.other[1](request)
        if self.operators is not None and request.path.startswith(self.operators[0]):
            return await self.operators[1](request)
        if request.path == "/try" and request.method == "GET":
            headers = [("Content-Type", "text/html; charset=utf-8"), ("Cache-Control", "no-store")]
            return Response(200, headers, TRY.read_bytes())
        if request.path.startswith("/session/"):
            return await self._session(request)
        if request.method == "POST" and self._answered(request):
            return await self._post(request)  # even where the path is no longer served
        self.core.served(request.path)
        if request.method == "OPTIONS":
            return self._options(ENDPOINT, [("Accept-Post", sdp.MEDIA_TYPE)])
        if request.method != "POST":
            raise self._method(ENDPOINT)
        return await self._post(request)

    @staticmethod
    def _options(methods: str, more: Headers) -> Response:
        """Response to OPTIONS."""
        return Response(204, [
            ("Allow", methods), ("Access-Control-Allow-Methods", methods), ("Access-Control-Max-Age", "86400"),
            ("Access-Control-Allow-Headers", ALLOWED), *more,
        ])  # fmt: skip

    @staticmethod
    def _method(allowed: str) -> Faulty:
        """The error for a method that is not allowed."""
        return Misused(405, "method", "This method is not for here", [("Allow", allowed)])

    @staticmethod
    def _offer(request: Request) -> str:
        """The offer in a request. Raises RequestError 400, 406 or 415."""
        if words.media_type(request.header("content-type") or "") != sdp.MEDIA_TYPE:
            raise Misused(
                415, "media-type", f"An offer comes as {sdp.MEDIA_TYPE}", [("Accept-Post", sdp.MEDIA_TYPE)]
            )
        if not words.accepts(request.header("accept"), sdp.MEDIA_TYPE):
            raise Faulty(406, "accept", f"The answer comes as {sdp.MEDIA_TYPE}")
        try:
            return request.body.decode("utf-8")
        except UnicodeDecodeError as fault:
            raise Faulty(400, "sdp", "The offer is no session description", str(fault)) from None

    @staticmethod
    def _key(request: Request) -> str | None:
        """The idempotency key of a request, if it has one. Raises RequestError 400."""
        given = request.header("idempotency-key")
        key = words.idempotency_key(given) if given is not None else None
        if given is not None and key is None:
            raise Faulty(400, "key", "Idempotency-Key holds a quoted string")
        return key

    def _answered(self, request: Request) -> bool:
        """Whether a request repeats one that has its answer."""
        key = request.header("idempotency-key")
        return key is not None and self.core.repeated(
            words.idempotency_key(key), self.core.token(bearer(request))
        )

    async def _post(self, request: Request) -> Response:
        """Handles the POST of an offer."""
        token = self.core.token(bearer(request))
        written = self.helm.stillness.written_at(request.read_at, request.idle_before)
        ask = Ask(request.path, self._offer(request), self._key(request), written, token, request.source,
                  request.all("prefer"))  # fmt: skip
        answer, first = await self.core.ask(ask)
        return self._reply(answer) if isinstance(answer, Reply) else self._answer(answer, first)

    @staticmethod
    def _reply(reply: Reply) -> Response:
        """A reply as a response with a problem document."""
        headers = [("Content-Type", words.PROBLEM)]
        if reply.retry_after is not None:
            headers.append(("Retry-After", str(reply.retry_after)))
        return Response(
            reply.status, headers, words.problem(reply.status, reply.kind, reply.title, retry=reply.retry)
        )

    def _answer(self, v: Viewing, first: bool) -> Response:
        """Response with a session's final answer; `is_first` says that it was not given before."""
        if v.final is not Final.PLAYS or v.upstream is None or v.resource is None:
            return self._reply(v.reply or answers.rejected(0))
        here = f"/session/{v.id}"
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Location", here), ("ETag", f'"{v.resource.tag}"')]
        headers += [("Link", words.link(server, words.REL_ICE)) for server in self.helm.site.ice]
        if not v.publishes:
            events = words.link(f"{here}/events", words.REL_EVENTS, events=",".join(READER_KINDS))
            headers += [("Link", events), ("Link", words.link(f"{here}/layer", words.REL_LAYER))]
        headers.append(("Accept-Patch", SDPFRAG))
        lost = partial(self.helm.unsent, v) if first or v.unheard else None
        v.unheard = False
        return Response(201, headers, v.upstream.answer.encode(), unsent=lost)

    async def _session(self, request: Request) -> Response:
        """Handles a request on a session resource or one of its sub-resources."""
        _, _, rest = request.path.partition("/session/")
        name, _, part = rest.partition("/")
        if part not in SESSION_PARTS:
            raise Faulty(404, "no-route", "Nothing is served at this path")
        methods = SESSION_PARTS[part]
        if request.method == "OPTIONS":
            return self._options(methods, [("Accept-Patch", SDPFRAG)] if not part else [])
        if request.method not in methods:
            raise self._method(methods)
        v = self.core.session(name, self.core.token(bearer(request)))
        match part:
            case "layer":
                return await self._layer(request, v)
            case "events":
                return self._events(request, v)
            case "move":
                return await self._move(request, v)
            case "move/done":
                await self.core.moved(v)
                return Response(204)
        if request.method == "DELETE":
            await self.core.end(v)
            return Response(200)
        raw = request.header("if-match")
        tags = words.entity_tags(raw) if raw is not None else None
        kind = words.media_type(request.header("content-type") or "")
        patched = await self.core.patch(v, kind, tags, request.body)
        if not patched.tag:
            return Response(204)
        return Response(200, [("Content-Type", SDPFRAG), ("ETag", f'"{patched.tag}"')], patched.fragment)

    async def _layer(self, request: Request, v: Viewing) -> Response:
        """Handles the choice of the highest rung."""
        try:
            body = orjson.loads(request.body)
            wish = body.get("encodingId") if isinstance(body, dict) else None
        except orjson.JSONDecodeError:
            wish = None
        if not isinstance(wish, str):
            raise Faulty(400, "layer", 'A layer is named as {"encodingId": "2"}')
        await self.core.layer(v, wish)
        return Response(200)

    async def _move(self, request: Request, v: Viewing) -> Response:
        """Handles the offer of a player that is being moved."""
        key = self._key(request) or secrets.token_urlsafe(15)
        moved = await self.core.move(v, self._offer(request), key, request.all("prefer"))
        if isinstance(moved, Reply):
            return self._reply(moved)
        answer, tag = moved
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Location", f"/session/{v.id}"), ("ETag", f'"{tag}"')]
        return Response(201, headers, answer.encode())

    def _events(self, request: Request, v: Viewing) -> Response:
        """Handles server-sent events of one session.

        POST names the kinds of events and returns the location of the stream; GET opens the stream.
        """
        here = f"/session/{v.id}/events"
        if request.method == "POST":
            try:
                kinds = orjson.loads(request.body)
            except orjson.JSONDecodeError:
                kinds = None
            if not isinstance(kinds, list) or not all(isinstance(k, str) for k in kinds):
                raise Faulty(400, "events", 'Events are named as ["active", "inactive"]')
            wanted = [k for k in READER_KINDS if k in kinds]
            return Response(201, [("Location", f"{here}?kinds={'.'.join(wanted)}")])
        if not words.accepts(request.header("accept"), words.EVENTS):
            raise Faulty(406, "accept", f"Events come as {words.EVENTS}")
        named = request.query("kinds")
        reader = self.core.reader(v, frozenset(READER_KINDS if named is None else named.split(".")))
        headers = [("Content-Type", words.EVENTS), ("Cache-Control", "no-store")]
        return Response(200, headers, stream=self._chunks(v, reader))

    async def _chunks(self, v: Viewing, reader: Reader) -> AsyncIterator[bytes]:
        """Server-sent events of a reader, with a comment as keepalive every 10 seconds."""
        try:
            while True:
                chunk = words.BEAT
                with trio.move_on_after(10):
                    try:
                        chunk = words.event(*await reader.receive.receive())
                    except trio.EndOfChannel:
                        return
                yield chunk
        finally:
            self.core.unread(v, reader)
