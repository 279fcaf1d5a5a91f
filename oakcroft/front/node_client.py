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
from http import HTTPStatus
from random import Random
from typing import TypeVar
from urllib.parse import quote, urljoin, urlsplit

import msgspec
import orjson
import trio

from oakcroft.choice import TRY_END_MARGIN_NS
from oakcroft.decisions.fleet.backoff import (
    EVENT_STREAM_RETRY,
    SESSION_END_RETRY,
    RUNG_CHANGE_RETRY,
    RetryBackoff,
)
from oakcroft.decisions.sessions.node_liveness import CHECK_TIMEOUT_NS
from oakcroft.decisions.sessions.node_sessions import NodeSessions
from oakcroft.decisions.sessions.setup_outcome import RequestEnd, RequestProgress, setup_outcome
from oakcroft.decisions.sessions.event_stream_health import (
    StreamBreak,
    StreamState,
    EventStreamHealth,
    LossCertainty,
    StreamTimeouts,
)
from oakcroft.decisions.sessions.session_resource import SDPFRAG_MEDIA_TYPE
from oakcroft.running.clock import Clock
from oakcroft.running.local_shortage import is_local_shortage
from oakcroft.front.playback_session import UpstreamSession, PlaybackSession
from oakcroft.httpwire.client import CONNECTION_REFUSED, ExchangeError, HttpClient
from oakcroft.httpwire.message import Headers, Response
from oakcroft.httpwire.time_limits import PausedSince, move_on_at
from oakcroft.interface import SECOND, Outcome
from oakcroft.signalling import http_formats, sdp, takeover_messages

EVENT_NAMES = ("share", "link", "rung", "ended", "started")
REQUEST_TIMEOUT_SECONDS = 2.0
MAX_TRY_GRACE_NS = 2 * SECOND  # added to the longest abandon time: no setup try lasts longer
MAX_REPORTED_VALUE = 1e6  # exclusive
ResponseT = TypeVar("ResponseT")


@dataclass(frozen=True)
class TryResult:
    """Result of one setup try; `upstream` is the session where it succeeded, `cause` a text for the log."""

    outcome: Outcome
    load_report: http_formats.LoadReport
    upstream: UpstreamSession | None
    cause: str


class NodeEvent(msgspec.Struct):
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


class FrontIdentity:
    """Identity of this front end among its peers, and the lease of its sessions (docs/adopting.md).

    `generation` returns the number of this start, which may rise at run time; `lease_ns` is how long sessions
    outlive the front end's silence.
    """

    def __init__(self, front_name: str, generation: Callable[[], int], lease_ns: int) -> None:
        """Creates an identity that goes with every request to a node."""
        self.front_name = front_name
        self.generation = generation
        self.lease_ns = lease_ns

    def headers(self) -> Headers:
        """Headers that go with every request to a node."""
        return [
            (
                takeover_messages.FRONT_HEADER,
                takeover_messages.format_front(self.front_name, self.generation()),
            ),
            (takeover_messages.LEASE_HEADER, str(self.lease_ns // SECOND)),
        ]


def encode_takeover_context(session: PlaybackSession) -> str:
    """Encodes what another front end needs to know of a session to take it over.

    Empty where it would be too long, in which case the session cannot be taken over.
    """
    playback = session.playback
    return takeover_messages.encode_context(
        takeover_messages.SessionContext(
            session.id,
            session.fingerprint,
            session.path,
            playback.title.name,
            session.plan.name,
            session.ufrag,
            session.token_name,
            playback.top_rung,
            session.deadline.written_at,
            session.deadline.abandon_at,
            session.publishes,
        )
    )


EventHandler = Callable[[str, NodeEvent], Awaitable[None]]
LossHandler = Callable[[LossCertainty, str], Awaitable[None]]


class NodeClient:
    """Client of this front end for one playout node."""

    def __init__(
        self, name: str, host: str, port: int, pseudonym: str, clock: Clock, rng: Random, connect_timeout_ns: int,
        timeouts: StreamTimeouts, claim_timeout_ns: int, paused_since: PausedSince,
    ) -> None:  # fmt: skip
        """Creates the client; `watch` has to run before events come. Times are in nanoseconds."""
        self.name = name
        self.pseudonym = pseudonym
        self.clock = clock
        self.rng = rng
        self.address = (host, port)
        self.paused_since = paused_since
        self.peer = HttpClient(host, port, connect_timeout_ns / 1e9, paused_since=paused_since)
        self.stream_health = EventStreamHealth(timeouts, clock.now())
        self.node_sessions = NodeSessions(claim_timeout_ns)
        self.events_path = ""
        self.is_watched = False
        self.stream_requested_at = 0  # the hello event of the stream is no older than this
        self.stream_wanted = trio.Event()  # set when the stream is worth opening
        self.stream_scope: trio.CancelScope | None = None
        self.is_reopening = False
        self.watch_scope = trio.CancelScope()  # of the watch task
        self.detect_pause: Callable[[int], None] = lambda _: None  # called before elapsed time is judged
        self.identity: FrontIdentity | None = None  # where sessions are to outlive this front end

    def _headers(self, **extra_headers: str) -> Headers:
        """Headers of every request, and extra ones whose names have underscores for hyphens."""
        identity_headers = self.identity.headers() if self.identity is not None else []
        return [
            ("Via", f"1.1 {self.pseudonym}"),
            *identity_headers,
            *((name.replace("_", "-"), value) for name, value in extra_headers.items()),
        ]

    def discount_pause(self, pause_ns: int) -> None:
        """Excludes a pause of this process from all times by which the node is judged."""
        self.node_sessions.discount_pause(pause_ns)
        self.stream_health.discount_pause(pause_ns)

    async def set_up(self, session: PlaybackSession, rung: int, ends_at: int) -> TryResult:
        """Runs one setup try, which ends by `ends_at` (ns), later by pauses of this process meanwhile."""
        progress = RequestProgress()
        end = RequestEnd.TIMED_OUT
        cause = ""
        response = None
        deadline = self.clock.trio_time(ends_at)
        last_deadline = self.clock.trio_time(session.playback.abandon_at - TRY_END_MARGIN_NS)
        async with move_on_at(deadline, last_deadline, self.paused_since):
            try:
                headers = self._headers(
                    Content_Type=sdp.MEDIA_TYPE, Idempotency_Key=http_formats.quoted_string(session.key)
                )
                if session.catalogue_number:
                    headers.append((http_formats.CATALOGUE_HEADER, str(session.catalogue_number)))
                if self.identity is not None and (context := encode_takeover_context(session)):
                    headers.append((takeover_messages.CONTEXT_HEADER, context))
                response = await self.peer.request(
                    "POST", f"{session.path}?encodingId={rung}", headers, session.offer.encode(), progress
                )
                end = RequestEnd.ANSWERED
            except ExchangeError as ended:
                end = ended.end
                cause = ended.cause
        load_report = http_formats.LoadReport()
        upstream = None
        if response is not None:
            load_report = http_formats.parse_load_report(response.header(http_formats.LOAD_HEADER))
            progress.problem_type = (
                http_formats.problem_type(response.body) if response.status != HTTPStatus.CREATED else ""
            )
            if response.status == HTTPStatus.CREATED:
                upstream = self._parse_upstream(session.path, response)
                if upstream is None:
                    end = RequestEnd.INVALID_RESPONSE
                    cause = "a 201 without a usable Location or answer"
        return TryResult(setup_outcome(progress, end), load_report, upstream, cause or progress.problem_type)

    def _parse_upstream(self, path: str, response: Response) -> UpstreamSession | None:
        """Session that a 201 response describes; None where a part of it is missing."""
        location = response.header("location")
        if (
            not location
            or http_formats.parse_media_type(response.header("content-type") or "") != sdp.MEDIA_TYPE
        ):
            return None
        base = f"http://{self.address[0]}:{self.address[1]}{path}"
        links = http_formats.parse_links(response.header_values("link"))
        resource = self._local_path(base, location)
        if resource is None:
            return None
        events_path, layer_path = (
            self._local_path(base, links.get(rel, "")) or ""
            for rel in (http_formats.REL_EVENTS, http_formats.REL_LAYER)
        )
        etag = (response.header("etag") or "").strip('"')
        return UpstreamSession(
            self.name,
            resource,
            events_path if http_formats.REL_EVENTS in links else "",
            layer_path if http_formats.REL_LAYER in links else "",
            etag,
            response.body.decode("utf-8", "replace"),
        )

    def _local_path(self, base: str, reference: str) -> str | None:
        """Path of a URL on this node.

        None for a URL elsewhere, since a node cannot redirect a front end to other hosts, and for what is no
        URL (RFC 3986), which could not be requested again.
        """
        try:
            parts = urlsplit(urljoin(base, reference))
            is_local = (parts.hostname, parts.port) == self.address and parts.scheme == "http"
        except ValueError:
            return None
        target = parts.path + (f"?{parts.query}" if parts.query else "")
        return target if is_local and http_formats.is_request_path(target.replace("?", "")) else None

    async def _request_with_retry(
        self,
        backoff: RetryBackoff,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        even_if_lost: bool = False,
    ) -> Response | None:
        """Repeats a request until it is answered with a status below 500; None when it was given up.

        Unless `even_if_lost`, it is given up as soon as the node counts as lost.
        """
        while True:
            response = await self._request(method, target, self._headers() + headers, body)
            if response is not None and response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return response
            if self.stream_health.state is StreamState.LOST and not even_if_lost:
                return None
            wait = backoff.record_failure(self.clock.now())
            if wait is None:
                return None
            await trio.sleep(wait / 1e9)

    async def end_session(self, resource: str) -> bool:
        """Ends a session; returns whether the node has confirmed it."""
        backoff = RetryBackoff(SESSION_END_RETRY, self.rng, self.clock.now())
        response = await self._request_with_retry(backoff, "DELETE", resource, [], b"", even_if_lost=True)
        return response is not None

    async def set_rung(self, upstream: UpstreamSession, rung: int) -> bool:
        """Sets the rung of a playing session; returns whether it is in force."""
        if not upstream.layer_path:
            return False
        body = orjson.dumps({"encodingId": str(rung)})
        headers = [("Content-Type", "application/json")]
        backoff = RetryBackoff(RUNG_CHANGE_RETRY, self.rng, self.clock.now())
        response = await self._request_with_retry(backoff, "POST", upstream.layer_path, headers, body)
        return response is not None and response.status in (HTTPStatus.OK, HTTPStatus.NO_CONTENT)

    async def patch(self, upstream: UpstreamSession, if_match: str, body: bytes) -> Response | None:
        """Forwards a trickle ICE fragment, once; None when it got no answer."""
        return await self._request(
            "PATCH",
            upstream.resource,
            self._headers(Content_Type=SDPFRAG_MEDIA_TYPE, If_Match=if_match),
            body,
        )

    async def list_sessions_of(
        self, front_names: Iterable[str], after: str
    ) -> takeover_messages.SessionListing | None:
        """Lists the node's sessions of front ends that no longer listen to it, from a position on.

        None where the node gave no usable answer.
        """
        fronts = ",".join(quote(name, safe="") for name in front_names)
        target = f"{takeover_messages.SESSIONS_PATH}?of={fronts}&after={quote(after, safe='')}"
        return await self._request_json("GET", target, b"", takeover_messages.LISTING_DECODER)

    async def take_over(self, resources: list[str]) -> set[str] | None:
        """Takes over sessions; returns those that the node has granted, None where no answer came."""
        body = msgspec.json.encode(takeover_messages.SessionSelection(resources))
        granted = await self._request_json(
            "POST", takeover_messages.SESSIONS_PATH, body, takeover_messages.SELECTION_DECODER
        )
        return set(granted.sessions) if granted is not None else None

    async def fetch_load(self) -> tuple[float | None, bool]:
        """Load of the node's link: requested rate over capacity, None where the node did not report it.

        The second value is False where the node does not support the question.
        """
        response = await self._request("GET", http_formats.LOAD_PATH, self._headers(), b"")
        if response is None:
            return None, True
        link_load = (
            http_formats.parse_load_report(response.header(http_formats.LOAD_HEADER)).link_demand
            if response.status < HTTPStatus.MULTIPLE_CHOICES
            else None
        )
        return (
            (link_load, True)
            if is_valid_value(link_load)
            else (None, response.status >= HTTPStatus.INTERNAL_SERVER_ERROR)
        )

    async def _request_json(
        self, method: str, target: str, body: bytes, decoder: msgspec.json.Decoder[ResponseT]
    ) -> ResponseT | None:
        """Decoded JSON response to a request; None where it did not come or cannot be decoded."""
        headers = self._headers(**({"Content_Type": "application/json"} if body else {}))
        response = await self._request(method, target, headers, body)
        try:
            return (
                decoder.decode(response.body)
                if response is not None and response.status == HTTPStatus.OK
                else None
            )
        except (ValueError, msgspec.MsgspecError):
            return None

    async def _request(self, method: str, target: str, headers: Headers, body: bytes) -> Response | None:
        """Sends one request; None where no complete response came in time."""
        try:
            with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
                return await self.peer.request(method, target, headers, body)
        except (ExchangeError, trio.TooSlowError):
            return None

    def reopen_stream(self) -> None:
        """Reopens the event stream, so that the node reports what it runs now."""
        if self.stream_scope is not None:
            self.is_reopening = True
            self.stream_scope.cancel()

    async def close(self) -> None:
        """Ends the watch task and closes the connections."""
        self.watch_scope.cancel()
        await self.peer.close()

    async def watch(self, on_event: EventHandler, on_lost: LossHandler) -> None:
        """Keeps the event stream open until the client is closed; reports events and the loss of the node."""
        with self.watch_scope:
            await self._watch_streams(on_event, on_lost)

    async def _watch_streams(self, on_event: EventHandler, on_lost: LossHandler) -> None:
        """Opens the event stream again after each break."""
        backoff = RetryBackoff(EVENT_STREAM_RETRY, self.rng, self.clock.now())
        while True:
            await self.stream_wanted.wait()
            cause = await self._read_stream(on_event, backoff)
            self.detect_pause(self.clock.now())
            loss = self.stream_health.stream_broken(cause, self.clock.now())
            if loss is not None:
                await on_lost(loss, cause.value)
            if self.stream_health.state is StreamState.LOST:
                self.stream_wanted = trio.Event()  # set again by the next successful set-up
                continue
            now = self.clock.now()
            delay = min(backoff.record_failure(now) or 0, max(0, self.stream_health.lost_at - now))
            await trio.sleep(delay / 1e9)

    async def _read_stream(self, on_event: EventHandler, backoff: RetryBackoff) -> StreamBreak:
        """Reads one event stream to its end; returns how it ended."""
        parser = http_formats.EventStreamParser()
        headers = self._headers(Accept=http_formats.EVENT_STREAM_MEDIA_TYPE)
        self.stream_requested_at = self.clock.now()
        try:
            with trio.CancelScope() as silence:
                self.stream_scope = silence
                self.is_reopening = False
                silence.deadline = self._silence_deadline()
                async with self.peer.stream(
                    "GET", self.events_path, headers, connect_timeout_s=CHECK_TIMEOUT_NS / SECOND
                ) as (head, chunks):
                    if head.status in (HTTPStatus.NOT_FOUND, HTTPStatus.GONE):
                        return StreamBreak.SESSIONS_UNKNOWN
                    if head.status != HTTPStatus.OK:
                        return StreamBreak.CLOSED
                    async for chunk in chunks:
                        self.stream_health.message_received(self.clock.now())
                        silence.deadline = self._silence_deadline()
                        for name, data in parser.feed(chunk):
                            await self._handle_event(name, data, on_event, backoff)
            if silence.cancelled_caught:
                return StreamBreak.CLOSED if self.is_reopening else StreamBreak.TIMED_OUT
        except ExchangeError as ended:
            if is_local_shortage(ended):
                return StreamBreak.LOCAL_SHORTAGE
            return StreamBreak.REFUSED if ended.cause == CONNECTION_REFUSED else StreamBreak.RESET
        except (ValueError, msgspec.DecodeError):
            return StreamBreak.RESET
        return StreamBreak.CLOSED

    async def _handle_event(
        self, name: str, data: bytes, on_event: EventHandler, backoff: RetryBackoff
    ) -> None:
        """Decodes an event and reports it; hello, the first of a stream, tells whether sessions were lost."""
        if name == "hello":
            backoff.record_success(self.clock.now())
            event = msgspec.json.decode(data, type=NodeEvent)
            loss = self.stream_health.stream_opened(event.process, self.clock.now())
            # The event's own list of sessions tells what is lost.
            event.why = loss.value if loss is not None else ""
            await on_event(name, event)
        elif name in EVENT_NAMES:
            await on_event(name, msgspec.json.decode(data, type=NodeEvent))

    def _silence_deadline(self) -> float:
        """When the stream is reopened or the node is lost unless data comes, on trio's clock in seconds."""
        silent_at = self.clock.now() + self.stream_health.timeouts.silent_after
        return self.clock.trio_time(min(silent_at, self.stream_health.lost_at))


def is_valid_value(value: float | None) -> bool:
    """Whether a reported value is present and within bounds."""
    return value is not None and math.isfinite(value) and 0 <= value < MAX_REPORTED_VALUE
