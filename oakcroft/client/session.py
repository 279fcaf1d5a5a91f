"""The session API over WebSocket, with resumption: a break of the connection is not seen by what waits for answers."""

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

from oakcroft.client.retry import RetryAction, Retries, final_error
from oakcroft.signalling import session_api as api

SESSION_API_PATH = "/api/v1"
LOST_REQUEST_ANSWER = api.Answer(
    0, 0, 504, "urn:oakcroft:problem:front-lost", "The front has lost its memory", False
)
LOST_CALL_RESULT = api.Done(0, 0, 404, "urn:oakcroft:problem:front-lost", "The front has lost its memory")


class Playback:
    """One playback: its answer, and its events as they come."""

    def __init__(self, id_: str, answer: str, tag: str, request: api.Ask | None = None) -> None:
        """`answer`: in SDP; `tag`: of its ICE session; `asked`: what it was asked for by, to ask for it again."""
        self.id, self.answer, self.tag, self.request = id_, answer, tag, request
        self.send, self.events = trio.open_memory_channel[api.Event](256)


class SessionClient:
    """A client of one front: `async with SessionClient.open(url) as client`."""

    def __init__(
        self, url: str, token: str, subprotocol: str, nursery: trio.Nursery, retries: Retries
    ) -> None:
        """`subprotocol`: the coding of messages; `nursery`: in which the client's tasks run."""
        parts = urlsplit(url)
        self.host, self.port, self.token = parts.hostname or "127.0.0.1", parts.port or 80, token
        self.subprotocol, self.codec, self.nursery = subprotocol, api.Codec(subprotocol), nursery
        self.call_ids, self.last_seen, self.resume_token = itertools.count(1), 0, ""
        self.reply_channels: dict[int, trio.MemorySendChannel[object]] = {}
        self.pending_calls: dict[
            int, object
        ] = {}  # calls without an answer, sent again where the front has lost the seat
        self.playbacks: dict[str, Playback] = {}
        self.stream: trio.SocketStream | None = None
        self.ws: wsproto.WSConnection | None = None
        self.connected, self.retries, self.resumed, self.lost = trio.Event(), retries, 0, 0
        self.closing = False
        self.send_lock = trio.Lock()  # one message at a time on the stream

    @classmethod
    @asynccontextmanager
    async def open(
        cls, url: str, token: str = "", subprotocol: str = api.JSON, retries: Retries | None = None
    ) -> AsyncIterator[SessionClient]:
        """A connected client, which stays so until the block ends; then it says goodbye."""
        async with trio.open_nursery() as nursery:
            client = cls(url, token, subprotocol, nursery, retries or Retries(Random()))
            nursery.start_soon(client._run)
            await client.connected.wait()
            try:
                yield client
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(1):
                    client.closing = True
                    await client._send(api.Bye())
                nursery.cancel_scope.cancel()

    # The connection.

    async def _run(self) -> None:
        tries = 0
        while not self.closing:
            try:
                await self._connect()
                tries = 0
                await self._read()
            except (
                OSError,
                wsproto.utilities.ProtocolError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                pass
            self.connected = trio.Event() if self.connected.is_set() else self.connected
            if self.stream is not None:
                await trio.aclose_forcefully(self.stream)
            tries += 1
            await trio.sleep(min(2.0, 0.05 * 2 ** min(tries, 6)) * (0.5 + self.retries.rng.random()))

    async def _connect(self) -> None:
        self.stream = await trio.open_tcp_stream(self.host, self.port)
        self.ws = wsproto.WSConnection(wsproto.ConnectionType.CLIENT)
        request = events.Request(
            host=f"{self.host}:{self.port}", target=SESSION_API_PATH, subprotocols=[self.subprotocol]
        )
        await self.stream.send_all(self.ws.send(request))
        accepted = await self._next()
        if not isinstance(accepted, events.AcceptConnection):
            raise OSError("the front does not take the connection")
        await self._send(api.Hello(self.resume_token, self.last_seen, self.token))
        welcome = await self._message()
        if not isinstance(welcome, api.Welcome):
            raise OSError("the front does not welcome the client")
        if welcome.back:
            self.resumed += 1  # what the front did not read is said again; it takes no call twice by its id
            for message in list(self.pending_calls.values()):
                self.nursery.start_soon(self._send, message)
        else:
            self._start_new_session(welcome.remembers)
        self.resume_token = welcome.resume
        self.connected.set()

    def _start_new_session(self, remembers: bool) -> None:
        """The front does not know the seat any more, as after a restart. One that remembers its keys is asked again under
        them, for what waited and for what played. Of one without memory what played is lost, and what waited may have run
        there and be paid for and would be set up again under the same key, so it is not said again: its caller hears that
        nothing is known of it."""
        self.last_seen = 0
        for name, playback in list(self.playbacks.items()):
            if remembers and playback.request is not None and playback.request.key:
                self.nursery.start_soon(self._request_again, playback, playback.request)
                continue
            self.lost += 1
            playback.send.close()
            del self.playbacks[name]
        for id_, message in list(self.pending_calls.items()):
            if not self.resume_token or (remembers and isinstance(message, api.Ask) and message.key):
                self.nursery.start_soon(self._send, message)
            elif id_ in self.reply_channels:
                lost = LOST_REQUEST_ANSWER if isinstance(message, api.Ask) else LOST_CALL_RESULT
                self.reply_channels.pop(id_).send_nowait(lost)

    async def _request_again(self, playback: Playback, request: api.Ask) -> None:
        """Asks a restarted front for a playback under its key: the same goes on, or it is lost."""
        again = api.Ask(
            next(self.call_ids), request.path, request.offer, request.key, request.wait_s, request.top
        )
        answer = await self.call(again)
        if (
            isinstance(answer, api.Answer)
            and answer.status == HTTPStatus.CREATED
            and answer.playback == playback.id
        ):
            return
        if self.playbacks.pop(playback.id, None) is not None:
            self.lost += 1
            playback.send.close()

    async def _next(self) -> events.Event:
        assert self.ws is not None
        assert self.stream is not None
        while True:
            for event in self.ws.events():
                return event
            self.ws.receive_data(await self.stream.receive_some(65_536) or None)

    async def _message(self) -> api.ToClient:
        whole = bytearray()
        while True:
            event = await self._next()
            if isinstance(event, events.TextMessage | events.BytesMessage):
                whole += event.data.encode() if isinstance(event.data, str) else bytes(event.data)
                if event.message_finished:
                    return self.codec.decode_server_message(bytes(whole))
            elif isinstance(event, events.Ping) and self.ws is not None and self.stream is not None:
                async with self.send_lock:
                    await self.stream.send_all(self.ws.send(event.response()))
            elif isinstance(event, events.CloseConnection):
                raise OSError(f"closed: {event.code} {event.reason}")

    async def _read(self) -> None:
        while True:
            message = await self._message()
            number = getattr(message, "n", 0)
            if number:
                if number <= self.last_seen:
                    continue
                self.last_seen = number
                await self._send(api.Ack(number))
            match message:
                case api.Answer() | api.Done() | api.MovedTo():
                    self.pending_calls.pop(message.id, None)
                    if message.id in self.reply_channels:
                        self.reply_channels.pop(message.id).send_nowait(message)
                case api.Event() if message.playback in self.playbacks:
                    playback = self.playbacks[message.playback]
                    with suppress(trio.WouldBlock, trio.BrokenResourceError):  # nobody reads them
                        playback.send.send_nowait(message)
                    if message.kind == "inactive":
                        playback.send.close()
                        del self.playbacks[message.playback]

    async def _send(self, message: object) -> None:
        data = self.codec.encode(message)
        frame = (
            events.BytesMessage(data=data) if self.codec.is_binary else events.TextMessage(data=data.decode())
        )
        try:
            async with self.send_lock:
                if self.ws is not None and self.stream is not None:
                    await self.stream.send_all(self.ws.send(frame))
        except (trio.BrokenResourceError, trio.ClosedResourceError, wsproto.utilities.LocalProtocolError):
            pass  # it is said again, or answered already, once the connection stands

    async def call(self, message: object) -> object:
        """Sends a message with an id and waits for what answers it, over as many connections as it takes."""
        id_ = getattr(message, "id", 0)
        send, receive = trio.open_memory_channel[object](1)
        self.reply_channels[id_], self.pending_calls[id_] = send, message
        try:
            await self.connected.wait()
            await self._send(message)
            return await receive.receive()
        finally:
            self.reply_channels.pop(id_, None)
            self.pending_calls.pop(id_, None)

    # What a player does.

    async def play(self, path: str, offer: str, wait: int = 0, top: int | None = None) -> Playback:
        """Asks for a playback, and again where that is safe. Refused or Unsure where no try succeeds."""
        self.retries.began()
        key, tries = str(uuid.uuid4()), 0
        while True:
            ask = api.Ask(next(self.call_ids), path, offer, key, wait, top)
            answer = await self.call(ask)
            assert isinstance(answer, api.Answer)
            tries += 1
            if answer.status == HTTPStatus.CREATED:
                playback = self.playbacks[answer.playback] = Playback(
                    answer.playback, answer.answer, answer.tag, ask
                )
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
        """Names the highest rung wanted; the status."""
        done = await self.call(api.Layer(playback.id, rung, next(self.call_ids)))
        return done.status if isinstance(done, api.Done) else 0
