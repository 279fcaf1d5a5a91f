"""The leg to one playout node: setup tries, errands on sessions, and the one event stream that tells of the node.

The node is a WHIP and WHEP endpoint of its own. A set-up is a POST of the viewer's offer to the same path; its rung
is the `encodingId` of the query, later ones go to the layer resource of the session. Late notes come by server-sent
events: the node names one stream for all sessions of one client, so that a front keeps a stream to a node, not to
a session.
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

from oakcroft.decisions.fleet.again import EVENTS, FAREWELL, RUNG, Again
from oakcroft.decisions.sessions.claims import Claims
from oakcroft.decisions.sessions.evidence import End, Trail, outcome
from oakcroft.decisions.sessions.lifeline import Break, Life, Lifeline, Loss, Patience
from oakcroft.decisions.sessions.resource import SDPFRAG
from oakcroft.running.clock import Clock
from oakcroft.front.viewing import Upstream, Viewing
from oakcroft.httpwire.client import REFUSED, Ended, Peer
from oakcroft.httpwire.message import Headers, Response
from oakcroft.interface import SECOND, Outcome
from oakcroft.signalling import handing, sdp, words

NOTES = ("share", "link", "rung", "ended", "started")
ERRAND = 2.0
T = TypeVar("T")


@dataclass(frozen=True)
class TryEnd:
    """How one setup try ended."""

    outcome: Outcome
    load: words.Load
    upstream: Upstream | None
    cause: str


class Told(msgspec.Struct):
    """An event of a node's stream, whichever kind: each field stands only where it has something to say."""

    process: str = ""
    sessions: list[str] = []
    keys: list[str] = []  # of the sessions, one each
    rungs: list[int] = []  # likewise
    ran: list[str] = []  # keys of this front's set-ups that ran, as far back as the node remembers
    passed: list[str] = []  # sessions that were this front's and that another has taken over since
    up_ms: int = 0
    remembers_ms: int = 0
    session: str = ""
    share: float = 1.0
    asked: float | None = None
    uplink: float | None = None
    rung: int = 0
    why: str = ""


class Standing:
    """Who this front is among its peers, and how long its sessions are to outlive its silence (docs/adopting.md).
    `start`: the number of its start, which may be raised while it runs."""

    def __init__(self, member: str, start: Callable[[], int], lease: int) -> None:
        self.member, self.start, self.lease = member, start, lease

    def headers(self) -> Headers:
        """What goes with every request to a node."""
        return [
            (handing.FRONT, handing.front(self.member, self.start())),
            (handing.LEASE, str(self.lease // SECOND)),
        ]


def memo_of(v: Viewing) -> str:
    """What whoever takes a playback over must know of it; "" where that does not fit, and it can't be taken over."""
    pb = v.pb
    return handing.memo(handing.Memo(v.id, v.about, v.path, pb.title.name, v.plan.name, v.ufrag, v.token, pb.top,
                                     v.due.written, v.due.abandon, v.publishes))  # fmt: skip


Hear = Callable[[str, Told], Awaitable[None]]
Lost = Callable[[Loss, str], Awaitable[None]]


class NodeLeg:
    """One node, as this front speaks to it."""

    def __init__(
        self, name: str, host: str, port: int, me: str, clock: Clock, rng: Random, connect_within: int,
        patience: Patience, claim_within: int,
    ) -> None:  # fmt: skip
        self.name, self.me, self.clock, self.rng = name, me, clock, rng
        self.address = (host, port)
        self.peer = Peer(host, port, connect_within / 1e9)
        self.lifeline = Lifeline(patience, clock.now())
        self.claims = Claims(claim_within)
        self.events = ""
        self.watched = False
        self.asked_at = 0  # when the stream was asked for: the node's word at its beginning is no older
        self.wake = trio.Event()  # set when it is worth opening the stream
        self.stream: trio.CancelScope | None = None
        self.renewing = False
        self.life = trio.CancelScope()  # of the watch
        self.awake: Callable[[int], None] = lambda _: None  # asked before time that has passed is judged
        self.standing: Standing | None = None  # where sessions are to outlive this front

    def _headers(self, **more: str) -> Headers:
        who = self.standing.headers() if self.standing is not None else []
        return [("Via", f"1.1 {self.me}"), *who, *((k.replace("_", "-"), v) for k, v in more.items())]

    async def set_up(self, v: Viewing, rung: int, until: int) -> TryEnd:
        """One setup try, ended by `until` at the latest."""
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
        """The path of a URL on this node; None for one elsewhere, since a node does not send a front to others, and for
        what is no URL (RFC 3986), which this front could never ask for again."""
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
        """A call that may be repeated until it is answered; None when it was given up."""
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
        """Ends a session; whether the node has confirmed it."""
        again = Again(FAREWELL, self.rng, self.clock.now())
        response = await self._errand(again, "DELETE", resource, [], b"", insists=True)
        return response is not None

    async def set_rung(self, upstream: Upstream, rung: int) -> bool:
        """Sets the rung of a playing session; whether it is in force."""
        if not upstream.layer:
            return False
        body = orjson.dumps({"encodingId": str(rung)})
        headers = [("Content-Type", "application/json")]
        again = Again(RUNG, self.rng, self.clock.now())
        response = await self._errand(again, "POST", upstream.layer, headers, body)
        return response is not None and response.status in (200, 204)

    async def patch(self, upstream: Upstream, if_match: str, body: bytes) -> Response | None:
        """Passes a trickle fragment on, once; None when it got no answer."""
        return await self._once(
            "PATCH", upstream.resource, self._headers(Content_Type=SDPFRAG, If_Match=if_match), body
        )

    async def offered(self, names: Iterable[str], after: str) -> handing.Listing | None:
        """What the node has of fronts that do not listen to it any more, from a place on; None where it could not say."""
        target = (
            f"{handing.PATH}?of={','.join(quote(n, safe='') for n in names)}&after={quote(after, safe='')}"
        )
        return await self._question("GET", target, b"", handing.LISTING)

    async def take(self, sessions: list[str]) -> set[str] | None:
        """Takes over sessions; those that the node has given, None where its answer did not come."""
        body = msgspec.json.encode(handing.Taking(sessions))
        given = await self._question("POST", handing.PATH, body, handing.TAKING)
        return set(given.sessions) if given is not None else None

    async def load(self) -> tuple[float | None, bool]:
        """What is asked of the node's link over what it gives; None where it did not say, and whether it knows the
        question."""
        response = await self._once("GET", words.LOAD_PATH, self._headers(), b"")
        if response is None:
            return None, True
        asked = words.read_load(response.header(words.LOAD)).asked if response.status < 300 else None
        return (asked, True) if sound(asked) else (None, response.status >= 500)

    async def _question(
        self, method: str, target: str, body: bytes, decoder: msgspec.json.Decoder[T]
    ) -> T | None:
        """What a node answers in JSON; None where it did not, or nothing that can be read."""
        headers = self._headers(**({"Content_Type": "application/json"} if body else {}))
        response = await self._once(method, target, headers, body)
        try:
            return decoder.decode(response.body) if response is not None and response.status == 200 else None
        except (ValueError, msgspec.MsgspecError):
            return None

    async def _once(self, method: str, target: str, headers: Headers, body: bytes) -> Response | None:
        """One call; None where it got no whole answer in time."""
        try:
            with trio.fail_after(ERRAND):
                return await self.peer.ask(method, target, headers, body)
        except (Ended, trio.TooSlowError):
            return None

    def renew(self) -> None:
        """Opens the stream anew, so that the node tells what it runs now."""
        if self.stream is not None:
            self.renewing = True
            self.stream.cancel()

    async def close(self) -> None:
        """The front has nothing to do with this node any more."""
        self.life.cancel()
        await self.peer.close()

    async def watch(self, hear: Hear, lost: Lost) -> None:
        """Keeps the event stream open until the leg is closed; tells what comes and when the node is lost."""
        with self.life:
            await self._watch(hear, lost)

    async def _watch(self, hear: Hear, lost: Lost) -> None:
        again = Again(EVENTS, self.rng, self.clock.now())
        while True:
            await self.wake.wait()
            why = await self._listen(hear, lost, again)
            self.awake(self.clock.now())
            loss = self.lifeline.broke(why, self.clock.now())
            if loss is not None:
                await lost(loss, why.value)
            if self.lifeline.state is Life.LOST:
                self.wake = trio.Event()  # the next set-up that works wakes it
                continue
            await trio.sleep((again.failed(self.clock.now()) or 0) / 1e9)

    async def _listen(self, hear: Hear, lost: Lost, again: Again) -> Break:
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
        """Seconds without a byte after which the stream is opened anew."""
        return self.lifeline.patience.silent_after / 1e9


def sound(value: float | None) -> bool:
    """Whether a note's figure can be one."""
    return value is not None and math.isfinite(value) and 0 <= value < 1e6


LONGEST_TRY_GRACE = 2 * SECOND
