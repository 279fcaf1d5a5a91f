"""The session API over WebSocket (RFC 6455, on wsproto): an adapter to the session service.

A connection acts for a client session, which outlives it: playbacks, open requests and messages that the client has not
acknowledged belong to the client session (`decisions/sessions/client_session.py`). The requests and event forwarders of
a client session are tasks of the API's nursery, each in a cancel scope of the client session; they end with the client
session, not with the connection.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial

import structlog
import trio
import wsproto
from wsproto import events
from wsproto.frame_protocol import CloseReason

from oakcroft.config.settings import Token
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import Final, Reply
from oakcroft.decisions.admission.client_limits import CLOSE, Allowance, Client, Word
from oakcroft.decisions.admission.resume_tokens import Invalid, Passes
from oakcroft.decisions.sessions.session_resource import SDPFRAG
from oakcroft.decisions.sessions.client_session import Outbox, Pulse, Seat, Standing
from oakcroft.front.session_service import Ask, Core, Faulty
from oakcroft.front.playback_session import Reader, Viewing
from oakcroft.httpwire.message import Request, Response
from oakcroft.interface import SECOND
from oakcroft.signalling import session_api as api

PATH = "/api/v1"
KEEP = 15 * SECOND
KINDS = frozenset({"inactive", "layers", "move"})
HELLO_WITHIN = 5.0
WRITE_WITHIN = 5.0
MOST_CALLS = 4096
Make = Callable[[int], object]


@dataclass(eq=False)
class Holder:
    """A client session with the tasks, playbacks and connection that belong to it."""

    id: str
    seat: Seat[object]
    client: Client
    token: Token | None
    source: str
    scopes: set[trio.CancelScope] = field(default_factory=set)  # of its requests and event forwarders
    playbacks: dict[str, Viewing] = field(default_factory=dict)
    readers: dict[str, Reader] = field(default_factory=dict)
    tops: dict[str, int] = field(default_factory=dict)
    # Recent call ids, to recognise repeated calls; the values are unused.
    calls: OrderedDict[int, None] = field(default_factory=OrderedDict)
    link: Link | None = None

    def takes(self, call: int) -> bool:
        """Records a call id; False for a repeated call.

        After a lost connection a client repeats calls that it does not know to have been received. Calls without an id
        (0) are never repeated calls.
        """
        if call and call in self.calls:
            return False
        if call:
            self.calls[call] = None
            while len(self.calls) > MOST_CALLS:
                self.calls.popitem(last=False)
        return True

    @contextmanager
    def task(self) -> Iterator[None]:
        """Runs the body in a cancel scope that is cancelled when the client session ends."""
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                yield
            finally:
                self.scopes.discard(scope)


class SessionApi:
    """The session API of one front end: all its client sessions and their connections."""

    def __init__(self, core: Core, nursery: trio.Nursery, log: structlog.typing.FilteringBoundLogger) -> None:
        """`service` does what clients request; requests and event forwarders run in `nursery`."""
        self.core, self.nursery, self.log, self.clock = core, nursery, log, core.clock
        self.allowance = Allowance()
        self.passes = Passes(KEEP + 60 * SECOND)
        self.holders: dict[str, Holder] = {}
        self.callers: dict[str, Client] = {}  # connections by access token or address
        self.numbers = 0

    # Client sessions.

    def _key(self) -> None:
        now = self.clock.now()
        if self.passes.wants_key(now):
            self.passes.take_key(self.passes.newest + 1, secrets.token_bytes(32), now)

    async def look_after(self) -> None:
        """Ends client sessions whose clients have not reconnected in time; drops unused connection counts."""
        while True:
            await trio.sleep(0.5)
            now = self.clock.now()
            for holder in list(self.holders.values()):
                if holder.seat.look(now):
                    self.log.info("client gone", seat=holder.id, playbacks=len(holder.playbacks))
                    await self.end(holder)
            for name in [n for n, c in self.callers.items() if c.idle]:
                del self.callers[name]

    async def end(self, holder: Holder) -> None:
        """Ends a client session: cancels its requests and ends its playbacks."""
        if self.holders.pop(holder.id, None) is None:
            return
        for scope in list(holder.scopes):
            scope.cancel()
        for v in list(holder.playbacks.values()):
            await self._gone(holder, v)

    async def _gone(self, holder: Holder, v: Viewing) -> None:
        if not self._let_go(holder, v):
            return
        with suppress(Faulty):  # the playback has already ended
            await self.core.end(v)

    def _let_go(self, holder: Holder, v: Viewing) -> bool:
        """Detaches a playback from its client session; False if it was not attached."""
        if holder.playbacks.pop(v.id, None) is None:
            return False
        holder.client.playbacks -= 1
        holder.tops.pop(v.id, None)
        self.core.unread(v, holder.readers.pop(v.id))
        return True

    def put(self, holder: Holder, make: Make) -> None:
        """Queues a message until the client acknowledges it, and sends it if the client is connected.

        `make_message` makes the message from its number. A client with too many unacknowledged messages loses its
        client session.
        """
        number = holder.seat.outbox.next_number
        message = make(number)
        if holder.seat.put(message, self.clock.now()) is None:
            if holder.seat.standing is Standing.OVERRUN:
                self.log.info("client overrun", seat=holder.id, behind=self.allowance.behind)
                self.nursery.start_soon(self.end, holder)
                if holder.link is not None:
                    holder.link.close(1013, "too far behind")
            return
        if holder.link is not None:
            holder.link.send(message)

    # Connections.

    def response(self, request: Request) -> Response:
        """The HTTP response to a WebSocket opening handshake (RFC 6455 4.2).

        Raises RequestError if the handshake is invalid or names no known subprotocol.
        """
        offered = [p.strip() for value in request.all("sec-websocket-protocol") for p in value.split(",")]
        chosen = next((p for p in api.SUBPROTOCOLS if p in offered), None)
        if (request.header("upgrade") or "").lower() != "websocket" or request.method != "GET":
            return Response(426, [("Upgrade", "websocket"), ("Connection", "Upgrade")], close=True)
        if chosen is None:
            raise Faulty(
                400, "subprotocol", f"One of the subprotocols {', '.join(api.SUBPROTOCOLS)} is spoken here"
            )
        if request.header("sec-websocket-version") != "13":
            return Response(426, [("Upgrade", "websocket"), ("Sec-WebSocket-Version", "13")], close=True)
        ws = wsproto.WSConnection(wsproto.ConnectionType.SERVER)
        fields = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in request.headers]
        try:  # checked here, where the client can still get an HTTP error response
            ws.initiate_upgrade_connection(fields, request.target)
        except wsproto.utilities.RemoteProtocolError as fault:
            raise Faulty(400, "handshake", "This is no WebSocket handshake", str(fault)) from None
        return Response(101, upgrade=partial(self._serve, ws, request.source, chosen))

    async def _serve(
        self, ws: wsproto.WSConnection, source: str, subprotocol: str, stream: trio.SocketStream, rest: bytes
    ) -> None:
        self.numbers += 1
        link = Link(stream, ws, subprotocol, self.numbers, self.allowance)
        await link.open(rest)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write, nursery.cancel_scope)
                await self._speak(link, source)
                nursery.cancel_scope.deadline = trio.current_time() + 1  # for messages still to be written
                link.finish()
        finally:
            if link.caller is not None:
                link.caller.connections -= 1
            holder = link.holder
            if holder is not None and holder.seat.detached(link.number, self.clock.now()):
                holder.link = None

    async def _speak(self, link: Link, source: str) -> None:
        """Reads and handles messages until the connection ends; the first must be a hello."""
        with trio.move_on_after(HELLO_WITHIN) as hello:
            first = await link.receive()
            if not isinstance(first, api.Hello):
                link.close(1008, "hello comes first")
                return
            try:
                if not self._attach(link, first, source):
                    return
            except Faulty as fault:
                link.close(4000 + fault.status, fault.title)
                return
        if hello.cancelled_caught:
            link.close(1008, "hello comes first")
            return
        holder = link.holder
        assert holder is not None
        while True:
            message = await link.receive()
            if message is None or holder.link is not link:
                return
            word = holder.client.says(self.clock.now())
            if word is not Word.PASS:
                link.close(CLOSE[word], word.value)
                return
            if isinstance(message, api.Ack):
                if not holder.seat.outbox.acknowledged(message.n):
                    link.close(1008, "acknowledges what was never sent")
                    return
            elif isinstance(message, api.Bye):
                holder.seat.left(link.number, self.clock.now())
                await self.end(holder)
                link.close(1000, "")
                return
            elif isinstance(message, api.Hello):
                link.close(1008, "hello comes once")
                return
            elif holder.takes(getattr(message, "id", 0)):
                self.nursery.start_soon(self._call, holder, message, self.clock.now())

    def _attach(self, link: Link, hello: api.Hello, source: str) -> bool:
        """Gives a connection its client session: the one that its resume token names, or a new one.

        False if the connection is closed because its caller has too many.
        """
        self._key()
        token, now = self.core.token(hello.token or None), self.clock.now()
        who = token.name if token else source
        caller = self.callers.setdefault(who, Client(self.allowance))
        word = caller.connects()
        if word is not Word.PASS:
            link.close(CLOSE[word], word.value)
            return False
        link.caller = caller
        why = ""
        if hello.resume:
            opened = self.passes.open(hello.resume, who, now)
            old = self.holders.get(opened) if isinstance(opened, str) else None
            claim = old.seat.attach(link.number, hello.seen, now) if old is not None else None
            if old is not None and claim is not None:
                self._take_over(link, old, claim[0])
                return True
            why = (
                opened.value
                if isinstance(opened, Invalid)
                else "the seat is over, or what was missed cannot be told"
            )
        seat = Seat[object](KEEP, Outbox(self.allowance.behind), connection=link.number, since=now)
        holder = Holder(secrets.token_urlsafe(12), seat, Client(self.allowance), token, source, link=link)
        self.holders[holder.id] = holder
        link.holder = holder
        remembers = self.core.helm.memory is not None
        pass_ = self.passes.give(holder.id, who, now)
        link.send(api.Welcome(pass_, KEEP // 1_000_000, False, why, remembers=remembers))
        return True

    def _take_over(self, link: Link, holder: Holder, missed: list[tuple[int, object]]) -> None:
        earlier = holder.link
        if earlier is not None and earlier is not link:
            earlier.send(api.Replaced())
            earlier.close(4001, "replaced")
        holder.link, link.holder = link, holder
        who = holder.token.name if holder.token else holder.source
        again = self.passes.give(holder.id, who, self.clock.now())
        link.send(api.Welcome(again, KEEP // 1_000_000, True, "", list(holder.playbacks)))
        for _, message in missed:
            link.send(message)

    # Calls.

    async def _call(self, holder: Holder, message: api.FromClient, read_at: int) -> None:
        with holder.task():
            if isinstance(message, api.Ask):
                await self._ask(holder, message, read_at)
                return
            number = getattr(message, "id", 0)
            try:
                await self._do(holder, message, number)
            except Faulty as fault:
                self.put(holder, partial(_done, number, fault.status, fault.kind, fault.title))
            except Exception as error:  # a failed call must not end the front end
                self.log.error("call failed", kind=type(message).__name__, error=repr(error))
                self.put(
                    holder,
                    partial(
                        _done, number, 500, "urn:oakcroft:problem:fault", "The front failed on this call"
                    ),
                )

    async def _ask(self, holder: Holder, m: api.Ask, read_at: int) -> None:
        word = holder.client.asks_for(self.core.repeated(m.key or None, holder.token))
        if word is not Word.PASS:
            self.put(holder, partial(_refused, m.id, 429, "urn:oakcroft:problem:client", word.value))
            return
        plays = False
        try:
            written = self.core.helm.stillness.written_at(read_at, 0)
            prefer = [f"wait={m.wait_s}"] if m.wait_s > 0 else []
            client = holder.token.name if holder.token else holder.source
            ask = Ask(m.path, m.offer, m.key or None, written, holder.token, client, prefer, m.top, True)
            answer, first = await self.core.ask(ask)
            if isinstance(answer, Reply):
                self.put(holder, partial(_replied, m.id, answer))
            elif answer.final is not Final.PLAYS or answer.upstream is None or answer.resource is None:
                self.put(holder, partial(_replied, m.id, answer.reply or answers.rejected(0)))
            else:
                plays = self._plays(holder, answer)
                self.put(holder, partial(_plays, m.id, answer, not first))
        except Faulty as fault:
            self.put(holder, partial(_refused, m.id, fault.status, fault.kind, fault.title))
        finally:
            holder.client.answered(plays)

    def _plays(self, holder: Holder, v: Viewing) -> bool:
        """Attaches a playback to the client session; False if it was attached already."""
        if v.id in holder.playbacks:
            return False
        v.unheard = False
        for other in self.holders.values():  # it belongs to the one client session that requested it last
            if other.playbacks.get(v.id) is v:
                self._let_go(other, v)
                self.put(other, partial(_event, v.id, "inactive", {"why": "another seat has asked for it"}))
        holder.playbacks[v.id] = v
        holder.tops[v.id] = v.pb.top
        reader = holder.readers[v.id] = self.core.reader(v, KINDS, seat=True)
        self.nursery.start_soon(self._forward, holder, v, reader)
        return True

    async def _forward(self, holder: Holder, v: Viewing, reader: Reader) -> None:
        """Sends the events of a playback to the client until the playback ends."""
        with holder.task(), suppress(trio.ClosedResourceError):  # closed when the client ends the playback
            async for kind, data in reader.receive:
                self.put(holder, partial(_event, v.id, kind, data))
        if holder.readers.get(v.id) is reader:
            self._let_go(holder, v)

    async def _do(self, holder: Holder, m: api.FromClient, number: int) -> None:
        v = self._own(holder, getattr(m, "playback", ""))
        match m:
            case api.End():
                await self._gone(holder, v)
            case api.Layer():
                holder.tops[v.id] = m.rung
                await self.core.layer(v, str(m.rung))
            case api.Pause():
                await self.core.layer(v, str(v.pb.plan.floor))
            case api.Resume():
                await self.core.layer(v, str(min(holder.tops.get(v.id, v.pb.plan.top), v.pb.plan.top)))
            case api.Trickle():
                tags = ["*"] if m.tag == "*" else [f'"{m.tag}"']
                patched = await self.core.patch(v, SDPFRAG, tags, m.fragment.encode())
                self.put(holder, partial(_done, number, 200, "", "", patched.tag, patched.fragment.decode()))
                return
            case api.MoveOffer():
                moved = await self.core.move(v, m.offer, m.key or secrets.token_urlsafe(15), [])
                if isinstance(moved, Reply):
                    raise Faulty(moved.status, moved.kind.rpartition(":")[2], moved.title)
                self.put(holder, partial(_moved, number, v.id, *moved))
                return
            case api.MoveDone():
                await self.core.moved(v)
        self.put(holder, partial(_done, number, 200, "", ""))

    @staticmethod
    def _own(holder: Holder, playback: str) -> Viewing:
        v = holder.playbacks.get(playback)
        if v is None:
            raise Faulty(404, "no-session", "No such playback")
        return v


def _plays(id_: int, v: Viewing, again: bool, n: int) -> api.Answer:
    assert v.upstream is not None
    assert v.resource is not None
    return api.Answer(n, id_, 201, playback=v.id, answer=v.upstream.answer, tag=v.resource.tag, again=again)


def _replied(id_: int, r: Reply, n: int) -> api.Answer:
    return api.Answer(n, id_, r.status, r.kind, r.title, r.retry, r.retry_after)


def _refused(id_: int, status: int, kind: str, title: str, n: int) -> api.Answer:
    return api.Answer(n, id_, status, kind, title)


def _event(playback: str, kind: str, data: dict[str, str], n: int) -> api.Event:
    return api.Event(n, playback, kind, data)


def _done(id_: int, status: int, kind: str, title: str, *rest: object) -> api.Done:
    *more, n = rest
    assert isinstance(n, int)
    tag, fragment = (str(more[0]), str(more[1])) if more else ("", "")
    return api.Done(n, id_, status, kind, title, tag, fragment)


def _moved(id_: int, playback: str, answer: str, tag: str, n: int) -> api.MovedTo:
    return api.MovedTo(n, id_, playback, answer, tag)


class Link:
    """One WebSocket connection: reads messages from frames, writes messages through a bounded queue."""

    def __init__(
        self, stream: trio.SocketStream, ws: wsproto.WSConnection, subprotocol: str, number: int, allowance: Allowance
    ) -> None:  # fmt: skip
        """`number` identifies the connection to its client session; later connections have higher numbers."""
        self.stream, self.subprotocol, self.number, self.allowance = stream, subprotocol, number, allowance
        self.codec, self.ws = api.Codec(subprotocol), ws
        self.out, self.queue = trio.open_memory_channel[bytes](allowance.behind + 16)
        self.holder: Holder | None = None
        self.caller: Client | None = None
        self.pulse = Pulse()
        self.partial = bytearray()
        self.closing = False

    async def open(self, rest: bytes) -> None:
        """Sends the upgrade response.

        `early_data`: bytes received after the request. Raises trio.BrokenResourceError if the client does not read the
        response in time.
        """
        for event in self.ws.events():
            if isinstance(event, events.Request):
                with trio.move_on_after(WRITE_WITHIN) as slow:
                    accept = self.ws.send(events.AcceptConnection(subprotocol=self.subprotocol))
                    await self.stream.send_all(accept)
                if slow.cancelled_caught:
                    raise trio.BrokenResourceError
        if rest:
            self.ws.receive_data(rest)

    def send(self, message: object) -> None:
        """Queues a message for writing.

        A full queue ends the connection; the client session still has the message until it is acknowledged.
        """
        if self.closing:
            return
        data = self.codec.write(message)
        frame = (
            events.BytesMessage(data=data) if self.codec.binary else events.TextMessage(data=data.decode())
        )
        self._queue(self.ws.send(frame))

    def _queue(self, data: bytes) -> None:
        try:
            self.out.send_nowait(data)
        except (trio.WouldBlock, trio.ClosedResourceError, trio.BrokenResourceError):
            self.closing = True
            self.out.close()

    def close(self, code: int, why: str) -> None:
        """Closes the connection with a status code (RFC 6455 7.4) after the queued messages are written."""
        if not self.closing:
            with suppress(wsproto.utilities.LocalProtocolError):
                self._queue(self.ws.send(events.CloseConnection(code=code, reason=why[:120])))
            self.finish()

    def finish(self) -> None:
        """Accepts no more messages; those already queued are still written."""
        self.closing = True
        self.out.close()

    async def write(self, scope: trio.CancelScope) -> None:
        """Writes queued messages until writing ends, then cancels `connection_scope`.

        A client that does not read a message in time loses the connection.
        """
        with trio.CancelScope() as whole:
            async for data in self.queue:
                with trio.move_on_after(WRITE_WITHIN) as slow:
                    try:
                        await self.stream.send_all(data)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        whole.cancel()
                if slow.cancelled_caught:
                    break
        scope.cancel()

    async def receive(self) -> api.FromClient | None:
        """The next message; None when either side ends the connection."""
        while True:
            try:
                for event in self.ws.events():
                    message = self._event(event)
                    if message is not None:
                        return message
                    if self.closing:
                        return None
                data = b""
                with trio.move_on_after(self.pulse.every / 1e9) as quiet:
                    data = await self.stream.receive_some(65_536)
                if quiet.cancelled_caught:
                    self.pulse.quiet()
                    if self.pulse.dead:
                        return None
                    self._queue(self.ws.send(events.Ping()))
                    continue
                self.pulse.heard()
                if not data:
                    return None
                self.ws.receive_data(data)
            except wsproto.utilities.RemoteProtocolError as fault:
                if fault.event_hint is not None:
                    self._queue(self.ws.send(fault.event_hint))
                self.finish()
                return None
            except (trio.BrokenResourceError, trio.ClosedResourceError, wsproto.utilities.LocalProtocolError):
                return None

    def _event(self, event: events.Event) -> api.FromClient | None:
        match event:
            case events.TextMessage() | events.BytesMessage():
                self.partial += event.data.encode() if isinstance(event.data, str) else bytes(event.data)
                if len(self.partial) > self.allowance.message_bytes:
                    self.close(CloseReason.MESSAGE_TOO_BIG, "the message is too large")
                    return None
                if not event.message_finished:
                    return None
                data, self.partial = bytes(self.partial), bytearray()
                if isinstance(event, events.BytesMessage) is not self.codec.binary:
                    self.close(CloseReason.UNSUPPORTED_DATA, f"{self.subprotocol} has other frames")
                    return None
                try:
                    return self.codec.read(data)
                except ValueError as fault:
                    self.close(CloseReason.INVALID_FRAME_PAYLOAD_DATA, str(fault))
            case events.Ping():
                self._queue(self.ws.send(event.response()))
            case events.CloseConnection():
                if not self.closing:
                    self._queue(self.ws.send(event.response()))
                self.finish()
        return None
