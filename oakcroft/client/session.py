"""Client of the session API over WebSocket.

It reconnects and resumes its session by itself, so that a lost connection does not fail the calls that wait for answers.
"""

from __future__ import annotations

import itertools
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from random import Random
from http import HTTPStatus
from urllib.parse import urlsplit

import trio
import wsproto
from wsproto import events

from oakcroft.client.retry import Retries, RetryAction, final_error
from oakcroft.signalling import session_api as api

SESSION_API_PATH = "/api/v1"
FRONT_LOST = "urn:oakcroft:problem:front-lost"
FRONT_LOST_TITLE = "The front end has restarted and lost the state of this client"
LOST_REQUEST_ANSWER = api.Answer(0, 0, 504, FRONT_LOST, FRONT_LOST_TITLE, retry=False)
LOST_CALL_RESULT = api.Done(0, 0, 404, FRONT_LOST, FRONT_LOST_TITLE)
DEFAULT_PORT = 80
MAX_UNREAD_EVENTS = 256  # of one playback; further ones are dropped
READ_BYTES = 65_536
BYE_TIMEOUT_S = 1
RECONNECT_DELAY_S = 0.05  # doubled by each failure
MAX_RECONNECT_DELAY_S = 2.0
MAX_RECONNECT_DOUBLINGS = 6


class Playback:
    """A playback: its answer, and its events in the order of their arrival."""

    def __init__(self, id_: str, answer: str, tag: str, request: api.Ask | None = None) -> None:
        """`answer`: SDP answer; `tag`: entity tag of its ICE session; `request`: what requested it, for a repeat."""
        self.id = id_
        self.answer = answer
        self.tag = tag
        self.request = request
        self.event_sender, self.events = trio.open_memory_channel[api.Event](MAX_UNREAD_EVENTS)


class SessionClient:
    """A client of one front end; create it with `async with SessionClient.open(url) as client`."""

    def __init__(
        self, url: str, token: str, subprotocol: str, nursery: trio.Nursery, retries: Retries
    ) -> None:
        """`subprotocol`: encoding of the messages; `nursery`: runs the tasks of the client."""
        parts = urlsplit(url)
        self.host = parts.hostname or "127.0.0.1"
        self.port = parts.port or DEFAULT_PORT
        self.token = token
        self.subprotocol = subprotocol
        self.codec = api.Codec(subprotocol)
        self.nursery = nursery
        self.retries = retries
        self.call_ids = itertools.count(1)
        self.last_seen = 0  # highest number of a received message
        self.resume_token = ""
        self.reply_channels: dict[int, trio.MemorySendChannel[object]] = {}  # by call id
        self.pending_calls: dict[int, object] = {}  # calls without an answer, by call id
        self.playbacks: dict[str, Playback] = {}
        self.stream: trio.SocketStream | None = None
        self.websocket: wsproto.WSConnection | None = None
        self.connected = trio.Event()
        self.resumed = 0  # reconnects that resumed the session
        self.lost = 0  # playbacks that the front end lost
        self.closing = False
        self.send_lock = trio.Lock()  # one message at a time on the stream

    @classmethod
    @asynccontextmanager
    async def open(
        cls, url: str, token: str = "", subprotocol: str = api.JSON, retries: Retries | None = None
    ) -> AsyncIterator[SessionClient]:
        """Gives a connected client, which reconnects by itself until the block ends; then it ends its session."""
        async with trio.open_nursery() as nursery:
            client = cls(url, token, subprotocol, nursery, retries or Retries(Random()))
            nursery.start_soon(client._run)
            await client.connected.wait()
            try:
                yield client
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(BYE_TIMEOUT_S):
                    client.closing = True
                    await client._send(api.Bye())
                nursery.cancel_scope.cancel()

    async def _run(self) -> None:
        """Connects and reads messages until the client closes; reconnects with growing, random delays."""
        failures = 0
        while not self.closing:
            try:
                await self._connect()
                failures = 0
                await self._read()
            except (
                OSError,
                wsproto.utilities.ProtocolError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                pass
            if self.connected.is_set():
                self.connected = trio.Event()
            if self.stream is not None:
                await trio.aclose_forcefully(self.stream)
            failures += 1
            delay = RECONNECT_DELAY_S * 2 ** min(failures, MAX_RECONNECT_DOUBLINGS)
            await trio.sleep(min(MAX_RECONNECT_DELAY_S, delay) * (0.5 + self.retries.rng.random()))

    async def _connect(self) -> None:
        """Opens a connection and resumes the client session, or starts a new one. Raises OSError if it is rejected."""
        self.stream = await trio.open_tcp_stream(self.host, self.port)
        self.websocket = wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
        request = events.Request(
            host=f"{self.host}:{self.port}", target=SESSION_API_PATH, subprotocols=[self.subprotocol]
        )
        await self.stream.send_all(self.websocket.send(request))
        accepted = await self._next_event()
        if not isinstance(accepted, events.AcceptConnection):
            raise OSError("the front end rejected the WebSocket handshake")
        await self._send(api.Hello(self.resume_token, self.last_seen, self.token))
        welcome = await self._receive()
        if not isinstance(welcome, api.Welcome):
            raise OSError("the front end did not answer hello with welcome")
        if welcome.back:
            self.resumed += 1
            # The front end may not have read them; it carries out each call id only once.
            for message in list(self.pending_calls.values()):
                self.nursery.start_soon(self._send, message)
        else:
            self._start_new_session(welcome.remembers)
        self.resume_token = welcome.resume
        self.connected.set()

    def _start_new_session(self, remembers: bool) -> None:
        """Handles a front end that does not know the client session any more, for example after a restart.

        If it keeps idempotency keys over a restart (`remembers`), playbacks and pending requests are requested again
        under their keys. Otherwise the playbacks are lost. A pending request may have run there and be paid for, and a
        repeat under its key could set it up again, so it is not repeated: its caller gets a `front-lost` answer.
        """
        self.last_seen = 0
        for playback_id, playback in list(self.playbacks.items()):
            if remembers and playback.request is not None and playback.request.key:
                self.nursery.start_soon(self._resume_playback, playback, playback.request)
                continue
            self.lost += 1
            playback.event_sender.close()
            del self.playbacks[playback_id]
        for call_id, message in list(self.pending_calls.items()):
            if not self.resume_token or (remembers and isinstance(message, api.Ask) and message.key):
                self.nursery.start_soon(self._send, message)
            elif call_id in self.reply_channels:
                lost_result = LOST_REQUEST_ANSWER if isinstance(message, api.Ask) else LOST_CALL_RESULT
                self.reply_channels.pop(call_id).send_nowait(lost_result)

    async def _resume_playback(self, playback: Playback, request: api.Ask) -> None:
        """Requests a playback again under its key after the front end restarted; it continues, or it is lost."""
        repeat = api.Ask(
            next(self.call_ids), request.path, request.offer, request.key, request.wait_s, request.top
        )
        answer = await self.call(repeat)
        has_continued = (
            isinstance(answer, api.Answer)
            and answer.status == HTTPStatus.CREATED
            and answer.playback == playback.id
        )
        if has_continued:
            return
        if self.playbacks.pop(playback.id, None) is not None:
            self.lost += 1
            playback.event_sender.close()

    async def _next_event(self) -> events.Event:
        """The next WebSocket event of the connection."""
        assert self.websocket is not None
        assert self.stream is not None
        while True:
            for event in self.websocket.events():
                return event
            self.websocket.receive_data(await self.stream.receive_some(READ_BYTES) or None)

    async def _receive(self) -> api.ToClient:
        """The next message; answers pings. Raises OSError when the front end closes the connection."""
        data = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, events.TextMessage | events.BytesMessage):
                data += event.data.encode() if isinstance(event.data, str) else bytes(event.data)
                if event.message_finished:
                    return self.codec.decode_server_message(bytes(data))
            elif isinstance(event, events.Ping) and self.websocket is not None and self.stream is not None:
                async with self.send_lock:
                    await self.stream.send_all(self.websocket.send(event.response()))
            elif isinstance(event, events.CloseConnection):
                raise OSError(f"the front end closed the connection: {event.code} {event.reason}")

    async def _read(self) -> None:
        """Reads and acknowledges messages until the connection is lost; skips those received before."""
        while True:
            message = await self._receive()
            number = getattr(message, "n", 0)
            if number:
                if number <= self.last_seen:
                    continue
                self.last_seen = number
                await self._send(api.Ack(number))
            self._handle_message(message)

    def _handle_message(self, message: api.ToClient) -> None:
        """Passes an answer to its call, or an event to its playback."""
        match message:
            case api.Answer() | api.Done() | api.MovedTo():
                self.pending_calls.pop(message.id, None)
                if message.id in self.reply_channels:
                    self.reply_channels.pop(message.id).send_nowait(message)
            case api.Event() if message.playback in self.playbacks:
                playback = self.playbacks[message.playback]
                with suppress(trio.WouldBlock, trio.BrokenResourceError):  # drops events that nobody reads
                    playback.event_sender.send_nowait(message)
                if message.kind == "inactive":
                    playback.event_sender.close()
                    del self.playbacks[message.playback]

    async def _send(self, message: object) -> None:
        """Sends a message, unless the connection is lost."""
        data = self.codec.encode(message)
        frame = (
            events.BytesMessage(data=data) if self.codec.is_binary else events.TextMessage(data=data.decode())
        )
        try:
            async with self.send_lock:
                if self.websocket is not None and self.stream is not None:
                    await self.stream.send_all(self.websocket.send(frame))
        except (trio.BrokenResourceError, trio.ClosedResourceError, wsproto.utilities.LocalProtocolError):
            pass  # it is sent again after the reconnect, or has its answer already

    async def call(self, message: object) -> object:
        """Sends a message with an id and waits for its answer, over as many connections as that takes."""
        call_id = getattr(message, "id", 0)
        reply_sender, replies = trio.open_memory_channel[object](1)
        self.reply_channels[call_id] = reply_sender
        self.pending_calls[call_id] = message
        try:
            await self.connected.wait()
            await self._send(message)
            return await replies.receive()
        finally:
            self.reply_channels.pop(call_id, None)
            self.pending_calls.pop(call_id, None)

    async def play(self, path: str, offer: str, wait: int = 0, top: int | None = None) -> Playback:
        """Requests a playback, and retries where that is safe; raises Refused or Unsure if no try succeeds.

        `wait`: seconds for each try; `top`: the highest rung wanted.
        """
        self.retries.began()
        key = str(uuid.uuid4())
        tries = 0
        while True:
            request = api.Ask(next(self.call_ids), path, offer, key, wait, top)
            answer = await self.call(request)
            assert isinstance(answer, api.Answer)
            tries += 1
            if answer.status == HTTPStatus.CREATED:
                playback = Playback(answer.playback, answer.answer, answer.tag, request)
                self.playbacks[answer.playback] = playback
                return playback
            action, seconds = self.retries.after(
                tries, answer.status, answer.kind, answer.retry, answer.retry_after_s
            )
            if action is RetryAction.GIVE_UP:
                raise final_error(answer.status, answer.kind, answer.title, answer.retry)
            await trio.sleep(seconds)
            if action is RetryAction.NEW_KEY:
                key = str(uuid.uuid4())

    async def end(self, playback: Playback) -> None:
        """Ends a playback."""
        self.playbacks.pop(playback.id, None)
        await self.call(api.End(playback.id, next(self.call_ids)))

    async def layer(self, playback: Playback, rung: int) -> int:
        """Sets the highest rung wanted, and returns the status of the answer."""
        done = await self.call(api.Layer(playback.id, rung, next(self.call_ids)))
        return done.status if isinstance(done, api.Done) else 0
