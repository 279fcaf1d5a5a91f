"""Client for one playout node: setup tries, requests on sessions, and the node's event stream.

The node is a WHIP and WHEP endpoint itself. A set-up is a POST of the viewer's offer to the same path; its
rung is the `encodingId` of the query, and later rungs go to the layer resource of the session. Events come as
server-sent events: the node names one stream for all sessions of one client, so that a front end keeps one
stream to a node and not one to each session.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import TypeVar
from urllib.parse import quote, urljoin, urlsplit

import msgspec
import orjson
import trio

from oakcroft.decisions.fleet.backoff import EVENTS, FAREWELL, RUNG, Again
from oakcroft.decisions.sessions.node_sessions import Claims
from oakcroft.decisions.sessions.setup_outcome import End, Trail, outcome
from oakcroft.decisions.sessions.event_stream_health import Break, Life, Lifeline, Loss, Patience
from oakcroft.decisions.sessions.session_resource import SDPFRAG
from oakcroft.running.clock import Clock
from oakcroft.front.playback_session import Upstream, Viewing
from oakcroft.httpwire.client import REFUSED, Ended, Peer
from oakcroft.httpwire.message import Headers, Response
from oakcroft.interface import SECOND, Outcome
from oakcroft.signalling import handing, sdp, words

NOTES = ("share", "link", "rung", "ended", "started")
ERRAND = 2.0
T = TypeVar("T")


@dataclass(frozen=True)
class TryEnd:
    """Result of one setup try; `upstream` is the session where it succeeded, `cause` a text for the log."""

    outcome: Outcome
    load: words.Load
    upstream: Upstream | None
    cause: str


class Told(msgspec.Struct):
    """An event of a node's stream of any kind; each field is present only in events that use it."""

    process: str = ""
    sessions: list[str] = []
    keys: list[str] = []  # one for each of `sessions`
    rungs: list[int] = []  # one for each of `sessions`
    ran: list[str] = []  # keys of this front end's set-ups that ran, as far back as the node remembers
    passed: list[str] = []  # sessions of this front end that another has taken over
    up_ms: int = 0
    remembers_ms: int = 0
    session: str = ""
    share: float = 1.0
    asked: float | None = None
    uplink: float | None = None
    rung: int = 0
    why: str = ""


class Standing:
    """Identity of this front end among its peers, and the lease of its sessions (docs/adopting.md).

    `generation` returns the number of this start, which may rise at run time; `lease_ns` is how long sessions
    outlive the front end's silence.
    """

    def __init__(self, member: str, start: Callable[[], int], lease: int) -> None:
        """Creates an identity; the lease is in nanoseconds."""
        self.member, self.start, self.lease = member, start, lease

    def headers(self) -> Headers:
        """Headers that go with every request to a node."""
        return [
            (handing.FRONT, handing.front(self.member, self.start())),
            (handing.LEASE, str(self.lease // SECOND)),
        ]


def memo_of(v: Viewing) -> str:
    """Memo that lets another front end take a session over.

    Empty where it would be too long, in which case the session cannot be taken over.
    """
    pb = v.pb
    return handing.memo(handing.Memo(v.id, v.about, v.path, pb.title.name, v.plan.name, v.ufrag, v.token, pb.top,
                                     v.due.written, v.due.abandon, v.publishes))  # fmt: skip


Hear = Callable[[str, Told], Awaitable[None]]
Lost = Callable[[Loss, str], Awaitable[None]]


class NodeLeg:
    """Client of this front end for one playout node."""

    def __init__(
        self, name: str, host: str, port: int, me: str, clock: Clock, rng: Random, connect_within: int,
        patience: Patience, claim_within: int,
    ) -> None:  # fmt: skip
        """Creates the client; `watch` has to run before events come. Times are in nanoseconds."""
        self.name, self.me, self.clock, self.rng = name, me, clock, rng
        self.address = (host, port)
        self.peer = Peer(host, port, connect_within / 1e9)
        self.lifeline = Lifeline(patience, clock.now())
        self.claims = Claims(claim_within)
        self.events = ""
        self.watched = False
        self.asked_at = 0  # the hello event of the stream is no older than this
        self.wake = trio.Event()  # set when the stream is worth opening
        self.stream: trio.CancelScope | None = None
        self.renewing = False
        self.life = trio.CancelScope()  # of the watch task
        self.awake: Callable[[int], None] = lambda _: None  # called before elapsed time is judged
        self.standing: Standing | None = None  # where sessions are to outlive this front end end

    def _headers(self, **more: str) -> Headers:
        """Headers of every request, and further ones whose names have underscores for hyphens."""
        who = self.standing.headers() if self.standing is not None else []
        return [("Via", f"1.1 {self.me}"), *who, *((k.replace("_", "-"), v) for k, v in more.items())]

    async def set_up(self, v: Viewing, rung: int, until: int) -> TryEnd:
        """Runs one setup try, which ends by `abandon_at` at the latest."""
        trail = Trail()
        end, cause, response = End.TIME_UP, "", None
        with trio.CancelScope(deadline=self.clock.deadline(until)):
            try:
                headers = self._headers(Content_Type=sdp.MEDIA_TYPE, Idempotency_Key=words.quoted(v.key))
                if v.catalogue:
                    headers.append((words.CATALOGUE, str(v.catalogue)))
                if self.standing is not None and (memo := memo_of(v)):
                    headers.append((handing.MEMO, memo))
                response = await self.peer.ask(
                    "POST", f"{v.path}?encodingId={rung}", headers, v.offer.encode(), trail
                )
                end = End.ANSWERED
            except Ended as ended:
                end, cause = ended.end, ended.cause
        load, upstream = words.Load(), None
        if response is not None:
            load = words.read_load(response.header(words.LOAD))
            trail.problem = words.problem_type(response.body) if response.status != 201 else ""
            if response.status == 201:
                upstream = self._upstream(v.path, response)
                if upstream is None:
                    end, cause = End.GARBLED, "a 201 without a usable Location or answer"
        return TryEnd(outcome(trail, end), load, upstream, cause or trail.problem)

    def _upstream(self, path: str, response: Response) -> Upstream | None:
        """Session that a 201 response describes; None where a part of it is missing."""
        location = response.header("location")
        if not location or words.media_type(response.header("content-type") or "") != sdp.MEDIA_TYPE:
            return None
        base = f"http://{self.address[0]}:{self.address[1]}{path}"
        found = words.links(response.all("link"))
        resource = self._here(base, location)
        if resource is None:
            return None
        events, layer = (
            self._here(base, found.get(rel, "")) or "" for rel in (words.REL_EVENTS, words.REL_LAYER)
        )
        tag = (response.header("etag") or "").strip('"')
        return Upstream(
            self.name, resource, events if words.REL_EVENTS in found else "", layer if words.REL_LAYER in found else "",
            tag, response.body.decode("utf-8", "replace"),
        )  # fmt: skip

    def _here(self, base: str, reference: str) -> str | None:
        """Path of a URL on this node.

        None for a URL elsewhere, since a node cannot redirect a front end to other hosts, and for what is no
        URL (RFC 3986), which could not be requested again.
        """
        try:
            parts = urlsplit(urljoin(base, reference))
            here = (parts.hostname, parts.port) == self.address and parts.scheme == "http"
        except ValueError:
            return None
        target = parts.path + (f"?{parts.query}" if parts.query else "")
        return target if here and words.is_path(target.replace("?", "")) else None

    async def _errand(
        self, again: Again, method: str, target: str, headers: Headers, body: bytes, insists: bool = False
    ) -> Response | None:
        """Repeats a request until it is answered with a status below 500; None when it was given up.

        Unless `even_if_lost`, it is given up as soon as the node counts as lost.
        """
        while True:
            response = await self._once(method, target, self._headers() + headers, body)
            if response is not None and response.status < 500:
                return response
            if self.lifeline.state is Life.LOST and not insists:
                return None
            wait = again.failed(self.clock.now())
            if wait is None:
                return None
            await trio.sleep(wait / 1e9)

    async def farewell(self, resource: str) -> bool:
        """Ends a session; returns whether the node has confirmed it."""
        again = Again(FAREWELL, self.rng, self.clock.now())
        response = await self._errand(again, "DELETE", resource, [], b"", insists=True)
        return response is not None

    async def set_rung(self, upstream: Upstream, rung: int) -> bool:
        """Sets the rung of a playing session; returns whether it is in force."""
        if not upstream.layer:
            return False
        body = orjson.dumps({"encodingId": str(rung)})
        headers = [("Content-Type", "application/json")]
        again = Again(RUNG, self.rng, self.clock.now())
        response = await self._errand(again, "POST", upstream.layer, headers, body)
        return response is not None and response.status in (200, 204)

    async def patch(self, upstream: Upstream, if_match: str, body: bytes) -> Response | None:
        """Forwards a trickle ICE fragment, once; None when it got no answer."""
        return await self._once(
            "PATCH", upstream.resource, self._headers(Content_Type=SDPFRAG, If_Match=if_match), body
        )

    async def offered(self, names: Iterable[str], after: str) -> handing.Listing | None:
        """Lists the node's sessions of front ends that no longer listen to it, from a position on.

        None where the node gave no usable answer.
        """
        target = (
            f"{handing.PATH}?of={','.join(quote(n, safe='') for n in names)}&after={quote(after, safe='')}"
        )
        return await self._question("GET", target, b"", handing.LISTING)

    async def take(self, sessions: list[str]) -> set[str] | None:
        """Takes over sessions; returns those that the node has granted, None where no answer came."""
        body = msgspec.json.encode(handing.Taking(sessions))
        given = await self._question("POST", handing.PATH, body, handing.TAKING)
        return set(given.sessions) if given is not None else None

    async def load(self) -> tuple[float | None, bool]:
        """Load of the node's link: requested rate over capacity, None where the node did not report it.

        The second value is False where the node does not support the question.
        """
        response = await self._once("GET", words.LOAD_PATH, self._headers(), b"")
        if response is None:
            return None, True
        asked = words.read_load(response.header(words.LOAD)).asked if response.status < 300 else None
        return (asked, True) if sound(asked) else (None, response.status >= 500)

    async def _question(
        self, method: str, target: str, body: bytes, decoder: msgspec.json.Decoder[T]
    ) -> T | None:
        """Decoded JSON response to a request; None where it did not come or cannot be decoded."""
        headers = self._headers(**({"Content_Type": "application/json"} if body else {}))
        response = await self._once(method, target, headers, body)
        try:
            return decoder.decode(response.body) if response is not None and response.status == 200 else None
        except (ValueError, msgspec.MsgspecError):
            return None

    async def _once(self, method: str, target: str, headers: Headers, body: bytes) -> Response | None:
        """Sends one request; None where no complete response came in time."""
        try:
            with trio.fail_after(ERRAND):
                return await self.peer.ask(method, target, headers, body)
        except (Ended, trio.TooSlowError):
            return None

    def renew(self) -> None:
        """Reopens the event stream, so that the node reports what it runs now."""
        if self.stream is not None:
            self.renewing = True
            self.stream.cancel()

    async def close(self) -> None:
        """Ends the watch task and closes the connections."""
        self.life.cancel()
        await self.peer.close()

    async def watch(self, hear: Hear, lost: Lost) -> None:
        """Keeps the event stream open until the client is closed; reports events and the loss of the node."""
        with self.life:
            await self._watch(hear, lost)

    async def _watch(self, hear: Hear, lost: Lost) -> None:
        """Opens the event stream again after each break."""
        again = Again(EVENTS, self.rng, self.clock.now())
        while True:
            await self.wake.wait()
            why = await self._listen(hear, lost, again)
            self.awake(self.clock.now())
            loss = self.lifeline.broke(why, self.clock.now())
            if loss is not None:
                await lost(loss, why.value)
            if self.lifeline.state is Life.LOST:
                self.wake = trio.Event()  # set again by the next successful set-up
                continue
            await trio.sleep((again.failed(self.clock.now()) or 0) / 1e9)

    async def _listen(self, hear: Hear, lost: Lost, again: Again) -> Break:
        """Reads one event stream to its end; returns how it ended."""
        reader, headers = words.EventReader(), self._headers(Accept=words.EVENTS)
        self.asked_at = self.clock.now()
        try:
            with trio.CancelScope() as silence:
                self.stream, self.renewing = silence, False
                silence.deadline = trio.current_time() + self._silence()
                async with self.peer.stream("GET", self.events, headers) as (head, chunks):
                    if head.status in (404, 410):
                        return Break.GONE
                    if head.status != 200:
                        return Break.CLOSED
                    async for chunk in chunks:
                        silence.deadline = trio.current_time() + self._silence()
                        self.lifeline.beat(self.clock.now())
                        for name, data in reader.feed(chunk):
                            if name == "hello":
                                again.worked(self.clock.now())
                                told = msgspec.json.decode(data, type=Told)
                                loss = self.lifeline.opened(told.process, self.clock.now())
                                told.why = (
                                    loss.value if loss is not None else ""
                                )  # its own list tells what is lost
                                await hear(name, told)
                            elif name in NOTES:
                                await hear(name, msgspec.json.decode(data, type=Told))
            if silence.cancelled_caught:
                return Break.CLOSED if self.renewing else Break.UNANSWERED
        except Ended as ended:
            return Break.REFUSED if ended.cause == REFUSED else Break.RESET
        except (ValueError, msgspec.DecodeError):
            return Break.RESET
        return Break.CLOSED

    def _silence(self) -> float:
        """Seconds without data after which the stream is reopened."""
        return self.lifeline.patience.silent_after / 1e9


def sound(value: float | None) -> bool:
    """Whether a reported value is present and within bounds."""
    return value is not None and math.isfinite(value) and 0 <= value < 1e6


LONGEST_TRY_GRACE = 2 * SECOND
