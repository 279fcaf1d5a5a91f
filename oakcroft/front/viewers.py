"""The side of viewers and publishers: WHEP (draft-ietf-wish-whep) and WHIP (RFC 9725) over HTTP.

One handler for each request. It checks what was sent, hands a playback-to-be to the helm, and waits for its one answer;
what the answer is, the module and `oakcroft/decisions/` decide.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import AsyncIterator
from functools import partial
from urllib.parse import unquote

import orjson
import structlog
import trio

from oakcroft.decisions import answers, ladder
from oakcroft.decisions.answers import REFUSALS, Final, Refusal, Reply
from oakcroft.decisions.doors import SHORTEST_SETUP, Door, Queue
from oakcroft.decisions.handover import Course, Happening
from oakcroft.decisions.limits import Over, Party
from oakcroft.decisions.patience import due, hopeless
from oakcroft.decisions.repeats import Turn
from oakcroft.decisions.resource import SDPFRAG, Act, Said
from oakcroft.decisions.routing import Asked, Route, Side, Why, refuses
from oakcroft.decisions.stopping import Stopping
from oakcroft.front.clock import Clock
from oakcroft.front.helm import Helm
from oakcroft.front.moves import STAY, Move
from oakcroft.front.viewing import Reader, Viewing
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.config.told import Site, Token
from oakcroft.signalling import sdp, words

READER_KINDS = ("active", "inactive", "layers", "move")
MOST_READERS = 4
MOST_TITLE = 200
TURN = 0.02  # seconds, of the margin for the way back
EXPOSED = "Location, Link, ETag, Retry-After, Accept-Post, Accept-Patch"
SESSION_PARTS = {
    "": "OPTIONS, PATCH, DELETE", "layer": "OPTIONS, POST", "events": "OPTIONS, GET, POST", "move": "OPTIONS, POST",
    "move/done": "OPTIONS, POST",
}  # fmt: skip
ENDPOINT_METHODS, SESSION_METHODS = "OPTIONS, POST", "OPTIONS, PATCH, DELETE"


class Faulty(Exception):
    """A request that gets a problem for its answer."""

    def __init__(
        self, status: int, kind: str, title: str, detail: str = "", headers: Headers | None = None
    ) -> None:
        super().__init__(title)
        self.status, self.kind, self.title, self.detail, self.headers = (
            status,
            kind,
            title,
            detail,
            headers or [],
        )


class Viewers:
    """Handles what comes from outside."""

    def __init__(self, zone: str, helm: Helm, door: Door, stopping: Stopping, clock: Clock,
                 log: structlog.typing.FilteringBoundLogger) -> None:  # fmt: skip
        self.zone, self.helm, self.door, self.stopping = zone, helm, door, stopping
        self.clock, self.log, self.queue = clock, log, Queue(door.bounds)
        self.number = 0
        self.publishing: dict[str, Viewing] = {}

    async def handle(self, request: Request) -> Response:
        """The answer to one request, whatever it is."""
        try:
            response = await self._handle(request)
        except Faulty as fault:
            body = words.problem(fault.status, fault.kind, fault.title, fault.detail)
            response = Response(fault.status, [("Content-Type", words.PROBLEM), *fault.headers], body)
        response.headers += [("Access-Control-Allow-Origin", "*"), ("Access-Control-Expose-Headers", EXPOSED)]
        return response

    async def _handle(self, request: Request) -> Response:
        if request.path.startswith("/session/"):
            return await self._session(request)
        site = self.helm.site  # the version under which this request is decided, from here to its answer
        prefix, _, last = request.path.rpartition("/")
        title = unquote(last, errors="replace")
        sides = site.table.sides(request.path)
        if not sides or not title or "/" in title or len(title) > MOST_TITLE or not title.isprintable():
            raise Faulty(404, "urn:oakcroft:problem:no-route", "Nothing is served at this path")
        if request.method == "OPTIONS":
            return self._options(ENDPOINT_METHODS, [("Accept-Post", sdp.MEDIA_TYPE)])
        if request.method != "POST":
            raise self._method(ENDPOINT_METHODS)
        token = self._authorise(request, site)
        return await self._post(request, site, sides, f"{prefix}/{title}", title, token)

    @staticmethod
    def _options(methods: str, more: Headers) -> Response:
        return Response(204, [
            ("Allow", methods), ("Access-Control-Allow-Methods", methods), ("Access-Control-Max-Age", "86400"),
            ("Access-Control-Allow-Headers", "Authorization, Content-Type, If-Match, Idempotency-Key, Prefer"), *more,
        ])  # fmt: skip

    @staticmethod
    def _method(allowed: str) -> Faulty:
        return Faulty(
            405, "urn:oakcroft:problem:method", "This method is not for here", headers=[("Allow", allowed)]
        )

    @staticmethod
    def _authorise(request: Request, site: Site) -> Token | None:
        """The bearer token (RFC 6750) that came, where the site states any. Tokens are found by their digest, so that the
        time of a look-up tells nothing of them."""
        if not site.tokens:
            return None
        scheme, _, given = (request.header("authorization") or "").partition(" ")
        token = site.tokens.get(hashlib.blake2b(given.strip().encode(), digest_size=32).digest())
        if scheme.lower() == "bearer" and token is not None:
            return token
        challenge = 'Bearer realm="oakcroft"' + (', error="invalid_token"' if given else "")
        raise Faulty(401, "urn:oakcroft:problem:token", "A valid bearer token is needed",
                     headers=[("WWW-Authenticate", challenge)])  # fmt: skip

    def _route(
        self, site: Site, sides: set[Side], offer: sdp.Description, path: str, token: Token | None
    ) -> Route:
        publishes = any(offer.direction(m) == "sendonly" for m in offer.media)
        side = next(iter(sides)) if len(sides) == 1 else Side.PUBLISH if publishes else Side.WATCH
        asked = Asked(side, path, self.zone, token.claims if token else {})
        route = site.table.find(asked)
        if route is not None:
            return route
        if any(refuses(r.match, asked) is Why.CLAIM for r in site.table.routes.values() if r.match.claims):
            raise Faulty(403, "urn:oakcroft:problem:claim", "This token does not give access to this title")
        raise Faulty(404, "urn:oakcroft:problem:no-route", "Nothing is served at this path")

    @staticmethod
    def _offer(request: Request) -> tuple[str, sdp.Description]:
        if words.media_type(request.header("content-type") or "") != sdp.MEDIA_TYPE:
            raise Faulty(415, "urn:oakcroft:problem:media-type", f"An offer comes as {sdp.MEDIA_TYPE}",
                         headers=[("Accept-Post", sdp.MEDIA_TYPE)])  # fmt: skip
        if not words.accepts(request.header("accept"), sdp.MEDIA_TYPE):
            raise Faulty(406, "urn:oakcroft:problem:accept", f"The answer comes as {sdp.MEDIA_TYPE}")
        try:
            text = request.body.decode("utf-8")
            offer = sdp.parse(text)
        except (UnicodeDecodeError, sdp.SdpFault) as fault:
            raise Faulty(
                400, "urn:oakcroft:problem:sdp", "The offer is no session description", str(fault)
            ) from None
        return text, offer

    @staticmethod
    def _check(offer: sdp.Description, publishes: bool) -> None:
        try:
            sdp.check_offer(offer, publishes)
        except sdp.SdpFault as fault:
            raise Faulty(
                422, "urn:oakcroft:problem:offer", "The offer cannot be answered", str(fault)
            ) from None

    # A request for a playback.

    async def _post(
        self, request: Request, site: Site, sides: set[Side], where: str, title: str, token: Token | None
    ) -> Response:
        text, offer = self._offer(request)
        route = self._route(site, sides, offer, where, token)
        publishes = route.match.side is Side.PUBLISH
        self._check(offer, publishes)
        given = request.header("idempotency-key")
        key = words.idempotency_key(given) if given is not None else secrets.token_urlsafe(15)
        if key is None:
            raise Faulty(400, "urn:oakcroft:problem:key", "Idempotency-Key holds a quoted string")
        now, plan, who = self.clock.now(), site.plans[route.plan], token.name if token else ""
        key = f"{who}/{key}" if who else key  # one client's key is no other's
        about = hashlib.blake2b(f"{request.path}\0{text}".encode(), digest_size=16).hexdigest()
        turn, refusal, earlier = self.helm.repeats.turn(key, about, now)
        if turn is Turn.REFUSE and refusal is not None:
            return self._refused(refusal)
        if turn is Turn.AGAIN and isinstance(earlier, Viewing):
            return self._answer(earlier)
        if not self.stopping.takes_new():
            return self._refused(Refusal.DRAINING)
        other = self.publishing.get(title) if publishes else None
        if other is not None and (other.final is None or other.id in self.helm.sessions):
            raise Faulty(409, "urn:oakcroft:problem:published", "This title is being published already")
        written = self.helm.stillness.written_at(request.read_at, request.idle_before)
        wait = due(written, plan.abandon, request.all("prefer"), site.way_back)
        if hopeless(wait, now, SHORTEST_SETUP):
            return self._refused(Refusal.TOO_LATE)
        takes = ladder.bytes_a_second(*sdp.bandwidth(offer))
        top = ladder.best_rung(site.terms.rates, plan.plan.rate_factor, takes)
        top = top if route.top is None else min(top, route.top)
        v = self.helm.viewing(request.path, title, plan, publishes, key, text, sdp.ufrag(offer), top, wait)
        if v is None or not self.queue.has_room():
            return self._refused(Refusal.BUSY)
        v.token = who
        if route.pool:
            pool, racks = site.pools[route.pool], site.terms.racks
            v.pb.admits = lambda node: pool.admits(node, racks)
        ticket = self.helm.ledger.ask(Party(who, route.name, route.plan, self.zone), now)
        if isinstance(ticket, Over):
            return self._reply(answers.over(ticket))
        v.ticket = ticket
        self.number += 1
        number = self.number
        self.queue.enter(number, now)
        if not self.helm.offer(partial(self.helm.arrived, v)):
            self.queue.leave(number)
            self.helm.ledger.back(ticket)
            return self._refused(Refusal.BUSY)
        self.helm.repeats.begin(key, about, plan.plan.effect.value == "paid", now)
        if publishes:
            self.publishing[title] = v
        self.helm.unanswered += 1
        try:
            with trio.CancelScope(deadline=self.clock.deadline(wait.abandon)):
                await v.answered.wait()
            if v.final is None:  # both fell due in one moment, as after standing still: the module goes first
                with trio.move_on_after(TURN):
                    await v.answered.wait()
            if v.final is None:  # the module owes it; a defence against any fault on the way there
                self.log.error("no answer in time", playback=v.id, plan=plan.name)
                self._gave_up(v, answers.aborted(plan.plan.effect))
            return self._answer(v, number)
        finally:
            self.helm.unanswered -= 1
            self.queue.leave(number)
            if v.final is None:  # the viewer has gone
                self.helm.repeats.left(key)
                self.helm.insist(partial(self.helm.left, v))
                v.answered.set()
            if publishes and v.final is not Final.PLAYS:
                self.publishing.pop(title, None)
            self.helm.bell.ring()

    def _gave_up(self, v: Viewing, reply: Reply) -> None:
        v.settle(Final.ABORTED, reply)
        self.helm.repeats.settled(v.key, Final.ABORTED, v, self.clock.now())
        self.helm.insist(partial(self.helm.left, v))

    @staticmethod
    def _refused(refusal: Refusal) -> Response:
        return Viewers._reply(REFUSALS[refusal])

    @staticmethod
    def _reply(reply: Reply) -> Response:
        headers = [("Content-Type", words.PROBLEM)]
        if reply.retry_after is not None:
            headers.append(("Retry-After", str(reply.retry_after)))
        return Response(
            reply.status, headers, words.problem(reply.status, reply.kind, reply.title, retry=reply.retry)
        )

    def _answer(self, v: Viewing, number: int | None = None) -> Response:
        """The final answer, the first time or again."""
        if v.final is not Final.PLAYS or v.upstream is None or v.resource is None:
            return self._reply(v.reply or answers.rejected(0))
        here = f"/session/{v.id}"
        headers = [("Content-Type", sdp.MEDIA_TYPE), ("Location", here), ("ETag", f'"{v.resource.tag}"')]
        headers += [("Link", words.link(server, words.REL_ICE)) for server in self.helm.site.ice]
        if not v.publishes:
            events = words.link(f"{here}/events", words.REL_EVENTS, events=",".join(READER_KINDS))
            headers += [("Link", events), ("Link", words.link(f"{here}/layer", words.REL_LAYER))]
        headers.append(("Accept-Patch", SDPFRAG))
        return Response(
            201, headers, v.upstream.answer.encode(), unsent=partial(self.helm.unsent, v) if number else None
        )

    # A session that plays.

    async def _session(self, request: Request) -> Response:
        _, _, rest = request.path.partition("/session/")
        name, _, part = rest.partition("/")
        if part not in SESSION_PARTS:
            raise Faulty(404, "urn:oakcroft:problem:no-route", "Nothing is served at this path")
        methods = SESSION_PARTS[part]
        if request.method == "OPTIONS":
            return self._options(methods, [("Accept-Patch", SDPFRAG)] if not part else [])
        if request.method not in methods:
            raise self._method(methods)
        token = self._authorise(request, self.helm.site)
        v = self.helm.sessions.get(name)
        if v is None or v.resource is None or v.upstream is None:
            raise Faulty(404, "urn:oakcroft:problem:no-session", "No such session")
        if token is not None and v.token and token.name != v.token:
            raise Faulty(403, "urn:oakcroft:problem:claim", "This session is another client's")
        if part == "layer":
            return await self._layer(request, v)
        if part == "events":
            return self._events(request, v)
        if part.startswith("move"):
            return await self._move(request, v, part == "move/done")
        return await (self._patch(request, v) if request.method == "PATCH" else self._delete(v))

    @staticmethod
    def _said(said: Said) -> Faulty:
        return Faulty(said.status, said.kind, said.title)

    async def _patch(self, request: Request, v: Viewing) -> Response:
        assert v.resource is not None
        assert v.upstream is not None
        kind = words.media_type(request.header("content-type") or "")
        fragment = sdp.Fragment("", "", [], True)
        if kind == SDPFRAG:
            try:
                fragment = sdp.parse_fragment(request.body.decode("utf-8"))
            except (UnicodeDecodeError, sdp.SdpFault) as fault:
                raise Faulty(
                    400, "urn:oakcroft:problem:sdp", "This is no trickle fragment", str(fault)
                ) from None
        raw = request.header("if-match")
        tags = words.entity_tags(raw) if raw is not None else None
        act = v.resource.patched(kind, tags, fragment.ufrag, len(fragment.candidates))
        if isinstance(act, Said):
            raise self._said(act)
        leg = self.helm.legs.get(v.upstream.node)
        if act is Act.TRICKLE:
            reply = await leg.patch(v.upstream, f'"{v.upstream.tag}"', request.body) if leg else None
            if reply is None or reply.status not in (200, 204):
                raise Faulty(502, "urn:oakcroft:problem:node", "The playout node did not take the candidates")
            return Response(204)
        done = False
        try:
            reply = await leg.patch(v.upstream, "*", request.body) if leg else None
            tag = (reply.header("etag") or "").strip('"') if reply is not None else ""
            if reply is None or reply.status != 200 or not tag:
                raise Faulty(502, "urn:oakcroft:problem:node", "The playout node did not restart ICE")
            v.upstream.tag = tag
            v.resource.restarted(tag, fragment.ufrag)
            done = True
            return Response(200, [("Content-Type", SDPFRAG), ("ETag", f'"{tag}"')], reply.body)
        finally:
            if not done:
                v.resource.restart_failed()

    async def _delete(self, v: Viewing) -> Response:
        assert v.resource is not None
        act = v.resource.deleted()
        if isinstance(act, Said):
            raise self._said(act)
        if v.publishes:
            self.publishing.pop(v.pb.title.name, None)
        await self.helm.tell(partial(self.helm.end, v))
        return Response(200)

    async def _layer(self, request: Request, v: Viewing) -> Response:
        """Layer selection: the viewer names the rung that it takes at most; under it the module goes on choosing."""
        try:
            body = orjson.loads(request.body)
            wish = body.get("encodingId") if isinstance(body, dict) else None
        except orjson.JSONDecodeError:
            wish = None
        if not isinstance(wish, str):
            raise Faulty(400, "urn:oakcroft:problem:layer", 'A layer is named as {"encodingId": "2"}')
        plan = v.pb.plan
        rung = ladder.rung_wished(wish, plan.floor, plan.top)
        if rung is None:
            detail = f"rungs {plan.floor} to {plan.top}"
            raise Faulty(422, "urn:oakcroft:problem:layer", "No such layer in this plan", detail)
        await self.helm.tell(partial(self.helm.wished, v, rung))
        return Response(200)

    async def _move(self, request: Request, v: Viewing, done: bool) -> Response:
        """A player that was told to move makes a new offer here, and says when it plays by the answer."""
        move = self.helm.moves.moves.get(v.id)
        if done:
            if move is not None:
                await self.helm.tell(partial(self.helm.moves.happens, move, Happening.CONFIRMED))
            return Response(204)
        text, offer = self._offer(request)
        self._check(offer, v.publishes)
        given = words.idempotency_key(request.header("idempotency-key") or "") or secrets.token_urlsafe(15)
        if move is None or not move.hand.takes_offer():
            raise Faulty(409, "urn:oakcroft:problem:no-move", "This session is not being moved")
        wait = due(self.clock.now(), v.plan.abandon, request.all("prefer"), self.helm.site.way_back)
        title = v.pb.title.name
        other = self.helm.viewing(
            v.path, title, v.plan, v.publishes, given, text, sdp.ufrag(offer), v.pb.top, wait
        )
        if other is None:
            return self._refused(Refusal.BUSY)
        await self.helm.tell(partial(self._begin_move, move, other))
        with trio.CancelScope(deadline=self.clock.deadline(wait.abandon)):
            await other.answered.wait()
        if other.final is not Final.PLAYS or v.upstream is None:
            return self._reply(other.reply or STAY)
        upstream = other.upstream if move.hand.state is Course.BESIDE else v.upstream
        if upstream is None:
            return self._reply(STAY)
        headers = [
            ("Content-Type", sdp.MEDIA_TYPE),
            ("Location", f"/session/{v.id}"),
            ("ETag", f'"{upstream.tag}"'),
        ]
        return Response(201, headers, upstream.answer.encode())

    def _begin_move(self, move: Move, other: Viewing) -> None:
        if not self.helm.moves.offered(move, other):
            other.settle(Final.REJECTED, STAY)

    def _events(self, request: Request, v: Viewing) -> Response:
        """Server-sent events of one session. POST names the kinds wanted and gets the place of the stream."""
        here = f"/session/{v.id}/events"
        if request.method == "POST":
            try:
                kinds = orjson.loads(request.body)
            except orjson.JSONDecodeError:
                kinds = None
            if not isinstance(kinds, list) or not all(isinstance(k, str) for k in kinds):
                raise Faulty(400, "urn:oakcroft:problem:events", 'Events are named as ["active", "inactive"]')
            wanted = [k for k in READER_KINDS if k in kinds]
            return Response(201, [("Location", f"{here}?kinds={'.'.join(wanted)}")])
        if not words.accepts(request.header("accept"), words.EVENTS):
            raise Faulty(406, "urn:oakcroft:problem:accept", f"Events come as {words.EVENTS}")
        if len(v.readers) >= MOST_READERS:
            raise Faulty(
                409, "urn:oakcroft:problem:events", f"{MOST_READERS} streams of this session are open"
            )
        named = request.query("kinds")
        kinds_ = frozenset(READER_KINDS if named is None else named.split("."))
        send, receive = trio.open_memory_channel[bytes](self.door.bounds.event_backlog)
        reader = Reader(kinds_, send, receive)
        v.readers.append(reader)
        if "active" in kinds_:
            send.send_nowait(words.event("active", {}))
        if "layers" in kinds_:
            send.send_nowait(words.event("layers", {"encodingId": str(v.pb.rung)}))
        headers = [("Content-Type", words.EVENTS), ("Cache-Control", "no-store")]
        return Response(200, headers, stream=self._chunks(v, reader))

    @staticmethod
    async def _chunks(v: Viewing, reader: Reader) -> AsyncIterator[bytes]:
        try:
            while True:
                chunk = words.BEAT
                with trio.move_on_after(10):
                    try:
                        chunk = await reader.receive.receive()
                    except trio.EndOfChannel:
                        return
                yield chunk
        finally:
            reader.receive.close()
            if reader in v.readers:
                v.readers.remove(reader)
