"""Session operations that all signalling protocols share.

The service takes requests for playbacks, gives each its one answer, and changes and ends sessions; it knows
neither HTTP nor WebSocket. The WHIP and WHEP adapter and the session API adapter call it, and neither knows
the other.
"""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from urllib.parse import unquote

import structlog
import trio

from oakcroft.config.settings import SharedSettings, BearerToken, PlanTerms
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.routing import ladder
from oakcroft.decisions.sessions.answers import REFUSAL_REPLIES, FinalAnswer, Refusal, Reply
from oakcroft.decisions.admission.connection_limits import (
    MIN_SETUP_TIME_NS,
    ConnectionTable,
    PendingRequests,
    is_slow_reader,
)
from oakcroft.decisions.moving.handover import MoveState, MoveEvent
from oakcroft.decisions.admission.request_limits import LimitExceeded, RequestSubject
from oakcroft.decisions.admission.deadlines import (
    Deadline,
    request_deadline,
    is_too_late,
    response_margin,
)
from oakcroft.decisions.sessions.idempotency import KeyDecision
from oakcroft.decisions.sessions.session_resource import (
    ResourceAction,
    ResourceError,
    SessionResource,
)
from oakcroft.decisions.routing.route_table import (
    RouteRequest,
    Route,
    ClientRole,
    RouteMismatch,
    find_mismatch,
)
from oakcroft.decisions.admission.load_shedding import QueuedRequest
from oakcroft.decisions.fleet.shutdown import Shutdown
from oakcroft.running.clock import Clock
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.node_client import NodeClient
from oakcroft.front.request_checks import (
    RequestError,
    check_key,
    check_offer,
    parse_fragment,
    parse_offer,
    resource_error,
)
from oakcroft.front.request_queue import RequestQueue
from oakcroft.front.move_executor import STAY_REPLY, NodeFilter, Move
from oakcroft.front.service_levels import ServiceLevelControl
from oakcroft.front.zone_routing import ZoneRouter
from oakcroft.front.playback_session import SessionEventReader, PlaybackSession, UpstreamSession
from oakcroft.interface import Effect, Outcome
from oakcroft.signalling import http_formats, sdp

EVENT_KINDS = ("active", "inactive", "layers", "move")
MAX_EVENT_READERS = 4
MAX_TITLE_LENGTH = 200
ANSWER_GRACE_SECONDS = 0.02  # taken from the margin for the answer's way to the viewer


@dataclass
class PlaybackRequest:
    """A request for a playback, whichever protocol it came by.

    `written_at` is the earliest time at which it may have been written.
    """

    path: str
    offer: str
    key: str | None
    written_at: int
    token: BearerToken | None = None
    client: str = ""
    prefer_headers: list[str] = field(default_factory=list)
    top_rung: int | None = None
    in_client_session: bool = False


@dataclass
class PatchResult:
    """Result of a PATCH on a session: empty, or the entity tag and the fragment of a new ICE session."""

    etag: str = ""
    fragment: bytes = b""


class SessionService:
    """The session operations of one front end."""

    def __init__(
        self,
        zone: str,
        coordinator: SessionCoordinator,
        connection_table: ConnectionTable,
        shutdown: Shutdown,
        clock: Clock,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the service of a front end in `zone`; its request queue has to run beside it."""
        self.zone = zone
        self.coordinator = coordinator
        self.connection_table = connection_table
        self.shutdown = shutdown
        self.clock = clock
        self.log = log
        self.pending_requests = PendingRequests(connection_table.limits)
        self.last_request_number = 0
        self.publishers: dict[str, PlaybackSession] = {}
        self.request_queue = RequestQueue(coordinator, log)
        self.level_control: ServiceLevelControl | None = None
        self.zone_router: ZoneRouter | None = None

    # Requests.

    def authenticate(self, bearer: str | None) -> BearerToken | None:
        """The token of a bearer credential (RFC 6750); None where the configuration has no tokens.

        It is looked up by its digest, so that the time of a look-up reveals nothing about it. Raises
        RequestError 401 without a valid one.
        """
        tokens = self.coordinator.site.tokens
        if not tokens:
            return None
        token = tokens.get(hashlib.blake2b((bearer or "").strip().encode(), digest_size=32).digest())
        if token is None:
            raise RequestError(
                401, "token", "A valid bearer token is needed", "invalid_token" if bearer else ""
            )
        return token

    def roles_served(self, path: str) -> set[ClientRole]:
        """The client roles that are served at a path. Raises RequestError 404 where none is."""
        title = unquote(path.rpartition("/")[2], errors="replace")
        roles = (
            self.coordinator.site.route_table.roles_served(path)
            if http_formats.is_request_path(path)
            else set()
        )
        if not roles or not title or "/" in title or len(title) > MAX_TITLE_LENGTH or not title.isprintable():
            raise RequestError(404, "no-route", "Nothing is served at this path")
        return roles

    def _find_route(
        self, site: SharedSettings, request: PlaybackRequest, offer: sdp.Description, title: str
    ) -> Route:
        """Route of a request.

        Raises RequestError 403 where only a claim is missing, 404 where no route matches.
        """
        roles = self.roles_served(request.path)
        publishes = any(offer.direction(media) == "sendonly" for media in offer.media)
        role = next(iter(roles)) if len(roles) == 1 else ClientRole.PUBLISH if publishes else ClientRole.WATCH
        path = f"{request.path.rpartition('/')[0]}/{title}"
        route_request = RouteRequest(role, path, self.zone, request.token.claims if request.token else {})
        route = site.route_table.find(route_request)
        if route is not None:
            return route
        if any(
            find_mismatch(candidate.match, route_request) is RouteMismatch.CLAIM
            for candidate in site.route_table.routes.values()
            if candidate.match.claims
        ):
            raise RequestError(403, "claim", "This token does not give access to this title")
        raise RequestError(404, "no-route", "Nothing is served at this path")

    def has_replay(self, key: str | None, token: BearerToken | None) -> bool:
        """Whether a request with this key of this client has its answer already.

        Such a request is exempt from all limits, as it binds nothing any more and gets the same answer again.
        """
        return key is not None and self.coordinator.idempotency_store.has_replay(self._client_key(key, token))

    @staticmethod
    def _client_key(key: str, token: BearerToken | None) -> str:
        """Key with its client's name, since keys of different clients are unrelated."""
        return f"{token.name}/{key}" if token else key

    async def request_playback(self, request: PlaybackRequest) -> tuple[PlaybackSession | Reply, bool]:
        """Answers a request for a playback.

        Returns the session with its final answer, or a reply that rejects the request before it became a
        playback; and whether the answer is given for the first time. Raises RequestError where the request
        itself is wrong. A caller that is cancelled counts as a viewer that left.
        """
        site = self.coordinator.site  # the request is decided under this version throughout
        title = unquote(request.path.rpartition("/")[2], errors="replace")
        # Before anything is parsed, since parsing dominates the cost of a rejected request.
        if not self.has_replay(request.key, request.token) and self.request_queue.should_shed(request.path):
            return REFUSAL_REPLIES[Refusal.BUSY], True
        check_key(request.key)
        now = self.clock.now()
        key = self._client_key(
            request.key if request.key is not None else secrets.token_urlsafe(15), request.token
        )
        fingerprint = hashlib.blake2b(f"{request.path}\0{request.offer}".encode(), digest_size=16).hexdigest()
        decision, refusal, earlier_session = self.coordinator.idempotency_store.decide(key, fingerprint, now)
        if decision is KeyDecision.REFUSE and refusal is not None:
            return REFUSAL_REPLIES[refusal], True
        if decision is KeyDecision.REPLAY and isinstance(earlier_session, PlaybackSession):
            if self.coordinator.durable_state is not None:
                self.coordinator.durable_state.session_claimed(earlier_session)
            return earlier_session, False
        session = self._admit(site, request, title, key, fingerprint, now)
        if isinstance(session, Reply):
            return session, True
        self.last_request_number += 1
        return await self._queue_and_answer(
            session, self.last_request_number, fingerprint, request.client or session.token_name
        )

    def _admit(
        self,
        site: SharedSettings,
        request: PlaybackRequest,
        title: str,
        key: str,
        fingerprint: str,
        now: int,
    ) -> PlaybackSession | Reply:
        """Session of a request that passes all checks and limits, or the reply that rejects it.

        Raises RequestError where the request itself is wrong.
        """
        offer = parse_offer(request.offer)
        route = self._find_route(site, request, offer, title)
        publishes = route.match.role is ClientRole.PUBLISH
        plan = site.plans[route.plan]
        check_offer(offer, publishes)
        if not self.shutdown.accepts_requests():
            return REFUSAL_REPLIES[Refusal.DRAINING]
        if publishes:
            self._check_unpublished(title)
        deadline = self._request_deadline(site, request, plan)
        if is_too_late(deadline, now, MIN_SETUP_TIME_NS):
            return REFUSAL_REPLIES[Refusal.TOO_LATE]
        requested_top = self._highest_requested_rung(site, request, offer, route)
        if self.level_control is not None:
            if not self.level_control.admit(plan.name):
                return REFUSAL_REPLIES[Refusal.REDUCED]
            requested_top = self.level_control.limit_top_rung(requested_top, plan.plan.floor)
        requested_top = max(requested_top, plan.plan.floor)
        catalogue_number = self.coordinator.catalogue.number
        top_rung = self.coordinator.title_top_rung(title, requested_top, plan.plan.floor)
        if top_rung is None:
            self.coordinator.answer_counts[FinalAnswer.REJECTED] += 1
            return REFUSAL_REPLIES[Refusal.NO_TITLE]
        session = self.coordinator.new_session(
            request.path, title, plan, publishes, key, request.offer, sdp.ice_ufrag(offer), top_rung, deadline
        )
        if session is None or not self.pending_requests.has_room():
            return REFUSAL_REPLIES[Refusal.BUSY]
        session.in_client_session = request.in_client_session
        session.has_client_key = request.key is not None
        session.token_name = request.token.name if request.token else ""
        session.fingerprint = fingerprint
        session.requested_top = requested_top
        session.catalogue_number = catalogue_number
        return self._reserve(site, session, route, now) or session

    def _request_deadline(self, site: SharedSettings, request: PlaybackRequest, plan: PlanTerms) -> Deadline:
        """Time by which a request has to be answered."""
        lag_ns = self.level_control.loop_lag_ns if self.level_control is not None else 0
        return request_deadline(
            request.written_at,
            plan.abandon_ns,
            request.prefer_headers,
            response_margin(site.answer_margin_ns, lag_ns),
        )

    def _reserve(
        self, site: SharedSettings, session: PlaybackSession, route: Route, now: int
    ) -> Reply | None:
        """Reserves what a session needs of the request limits; returns the reply that rejects it, or None."""
        durable_state = self.coordinator.durable_state
        if durable_state is not None and (reply := durable_state.rejection(session)) is not None:
            return reply
        session.pool = site.pools[route.pool] if route.pool else None
        session.playback.node_filter = self._node_filter(session)
        reservation = self.coordinator.limit_ledger.acquire(
            RequestSubject(session.token_name, route.name, route.plan, self.zone), now
        )
        if isinstance(reservation, LimitExceeded):
            return answers.limit_reply(reservation)
        session.limit_reservation = reservation
        return None

    def _check_unpublished(self, title: str) -> None:
        """Raises RequestError 409 for a title that has a publisher."""
        self._forget_ended_publishers()
        if title in self.publishers:
            raise RequestError(409, "published", "This title is being published already")

    def register_publisher(self, session: PlaybackSession) -> None:
        """Registers a publishing session, which holds its title until it ends."""
        self.publishers[session.playback.title.name] = session

    def _forget_ended_publishers(self) -> None:
        """Drops publishing sessions that have ended, which no longer hold their titles."""
        self.publishers = {
            title: publisher
            for title, publisher in self.publishers.items()
            if publisher.final_answer is None or publisher.id in self.coordinator.sessions_by_id
        }

    @staticmethod
    def _highest_requested_rung(
        site: SharedSettings, request: PlaybackRequest, offer: sdp.Description, route: Route
    ) -> int:
        """Highest rung that the offer's bandwidth, the route and the request allow."""
        max_rate = ladder.offered_rate(*sdp.session_bandwidth(offer))
        rung_limits = [
            ladder.best_rung(site.terms.rung_rates, site.plans[route.plan].plan.rate_factor, max_rate),
            route.top,
            request.top_rung,
        ]
        return min(rung for rung in rung_limits if rung is not None)

    def _node_filter(self, session: PlaybackSession, applies_zones: bool = True) -> NodeFilter | None:
        """Filter for the nodes that a set-up may go to now; None for all nodes.

        These are the nodes of its route's pool, in the zones that may take it at present.
        """
        zone_filter = (
            self.zone_router.node_filter() if self.zone_router is not None and applies_zones else None
        )
        pool = session.pool
        rack_count = self.coordinator.site.terms.rack_count
        if pool is None:
            return zone_filter
        return lambda node: pool.admits(node, rack_count) and (zone_filter is None or zone_filter(node))

    async def _queue_and_answer(
        self, session: PlaybackSession, number: int, fingerprint: str, client: str
    ) -> tuple[PlaybackSession | Reply, bool]:
        """Queues a request in front of the policy and waits for its answer."""
        self.pending_requests.add(number)
        if not self._begin_key(session, fingerprint):
            self.pending_requests.remove(number)
            self._release_limits(session)
            return REFUSAL_REPLIES[Refusal.BUSY], True
        if session.publishes:
            self.register_publisher(session)
        self.coordinator.unanswered_count += 1
        has_turn = is_submitted = False
        try:
            has_turn = await self.request_queue.wait_for_turn(
                QueuedRequest(session.deadline.abandon_at, number, session.plan.name, client)
            )
            is_submitted = has_turn and self.coordinator.try_submit(
                partial(self.coordinator.request_placement, session)
            )
            if not is_submitted:
                is_busy = has_turn or self.request_queue.fair_queue.is_full
                reply = REFUSAL_REPLIES[Refusal.BUSY if is_busy else Refusal.TOO_LATE]
                self._reject_unsubmitted(session, reply)
                return reply, True
            await self._wait_for_answer(session)
            return session, True
        finally:
            if has_turn:
                self.request_queue.finish_request()
            self.coordinator.unanswered_count -= 1
            self.pending_requests.remove(number)
            if not is_submitted:
                self._release_limits(session)
            if session.final_answer is None:
                self._handle_viewer_left(session, is_submitted)
            if session.publishes and session.final_answer is not FinalAnswer.PLAYS:
                self.publishers.pop(session.playback.title.name, None)
            self.coordinator.count_changed.notify()

    def _begin_key(self, session: PlaybackSession, fingerprint: str) -> bool:
        """Records a key as in use; returns False for a paid plan whose key cannot be recorded.

        Without a record, a repeat of a paid request would be set up again.
        """
        is_paid = session.plan.plan.effect is Effect.PAID
        is_recorded = self.coordinator.idempotency_store.begin(
            session.key, fingerprint, is_paid, self.clock.now()
        )
        return is_recorded or not is_paid

    def _release_limits(self, session: PlaybackSession) -> None:
        """Releases what a session holds of the request limits."""
        if session.limit_reservation is not None:
            self.coordinator.limit_ledger.release(session.limit_reservation)

    def _reject_unsubmitted(self, session: PlaybackSession, reply: Reply | None) -> None:
        """Rejects a request that has not reached the policy."""
        session.set_answer(FinalAnswer.REJECTED, reply)
        self.coordinator.idempotency_store.record_answer(
            session.key, FinalAnswer.REJECTED, session, self.clock.now()
        )

    async def _wait_for_answer(self, session: PlaybackSession) -> None:
        """Waits for the policy's answer until the request's deadline; aborts the request where none comes."""
        with trio.CancelScope(deadline=self.clock.trio_time(session.deadline.abandon_at)):
            await session.answered.wait()
        if session.final_answer is None:  # both fell due at once, as after a pause: the policy goes first
            with trio.move_on_after(ANSWER_GRACE_SECONDS):
                await session.answered.wait()
        if session.final_answer is not None:
            return
        # The policy owes the answer; this guards against any fault there.
        self.log.error("no answer in time", playback=session.id, plan=session.plan.name)
        session.set_answer(FinalAnswer.ABORTED, answers.aborted_reply(session.plan.plan.effect))
        self.coordinator.idempotency_store.record_answer(
            session.key, FinalAnswer.ABORTED, session, self.clock.now()
        )
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.answer_given(session, FinalAnswer.ABORTED)
        self.coordinator.submit_later(partial(self.coordinator.viewer_left, session))

    def _handle_viewer_left(self, session: PlaybackSession, is_submitted: bool) -> None:
        """Handles a viewer that left before its answer; its key stays in use until its set-up has ended."""
        if is_submitted:
            self.coordinator.submit_later(partial(self.coordinator.viewer_left, session))
        else:
            self._reject_unsubmitted(session, None)
        session.answered.set()

    # Playing sessions.

    def find_session(self, session_id: str, token: BearerToken | None) -> PlaybackSession:
        """Session by its id. Raises RequestError 404, or 403 for a session of another client."""
        session = self.coordinator.sessions_by_id.get(session_id)
        if session is None or session.resource is None or session.upstream is None:
            raise RequestError(404, "no-session", "No such session")
        if token is not None and session.token_name and token.name != session.token_name:
            raise RequestError(403, "claim", "This session is another client's")
        self._check_active(session)
        return session

    def _check_active(self, session: PlaybackSession) -> None:
        """Raises RequestError 404 for a session that has ended, or is being ended."""
        if (
            session.resource is None
            or session.resource.not_found()
            or session.id not in self.coordinator.sessions_by_id
        ):
            raise RequestError(404, "no-session", "No such session")

    async def patch(
        self, session: PlaybackSession, content_type: str, etags: list[str] | None, body: bytes
    ) -> PatchResult:
        """Applies a trickle ICE fragment to a session (RFC 9725 4.3).

        Raises RequestError with the status of a request that does not fit the resource, or 502 where the node
        failed.
        """
        assert session.resource is not None
        assert session.upstream is not None
        fragment = parse_fragment(content_type, body)
        action = session.resource.patch(content_type, etags, fragment.ufrag, len(fragment.candidates))
        if isinstance(action, ResourceError):
            raise resource_error(action)
        node_client = self.coordinator.node_clients.get(session.upstream.node)
        if action is not ResourceAction.TRICKLE:
            return await self._restart_ice(node_client, session.upstream, session.resource, fragment, body)
        reply = (
            await node_client.patch(session.upstream, f'"{session.upstream.etag}"', body)
            if node_client
            else None
        )
        if reply is None or reply.status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
            raise RequestError(502, "node", "The playout node did not take the candidates")
        return PatchResult()

    @staticmethod
    async def _restart_ice(
        node_client: NodeClient | None,
        upstream: UpstreamSession,
        resource: SessionResource,
        fragment: sdp.Fragment,
        body: bytes,
    ) -> PatchResult:
        """Forwards an ICE restart to the node. Raises RequestError 502 where the node failed.

        `upstream` and `resource` are those of the start of the request, as a move may replace the session's.
        """
        is_restarted = False
        try:
            reply = await node_client.patch(upstream, "*", body) if node_client else None
            etag = (reply.header("etag") or "").strip('"') if reply is not None else ""
            if reply is None or reply.status != HTTPStatus.OK or not etag:
                raise RequestError(502, "node", "The playout node did not restart ICE")
            upstream.etag = etag
            resource.restart_succeeded(etag, fragment.ufrag)
            is_restarted = True
            return PatchResult(etag, reply.body)
        finally:
            if not is_restarted:
                resource.restart_failed()

    async def end_session(self, session: PlaybackSession) -> None:
        """Ends a session for its viewer. Raises RequestError 404 for one that has ended."""
        assert session.resource is not None
        action = session.resource.delete()
        if isinstance(action, ResourceError):
            raise resource_error(action)
        if session.publishes:
            self.publishers.pop(session.playback.title.name, None)
        await self.coordinator.submit(partial(self.coordinator.end_session, session))

    async def select_layer(self, session: PlaybackSession, requested: str) -> None:
        """Sets the highest rung that the viewer takes; below it the policy goes on choosing.

        Raises RequestError 422 for a rung that the plan does not have.
        """
        self._check_active(session)
        plan = session.playback.plan
        rung = ladder.requested_rung(requested, plan.floor, plan.top_rung)
        if rung is None:
            raise RequestError(
                422, "layer", "No such layer in this plan", f"rungs {plan.floor} to {plan.top_rung}"
            )
        # A level of reduced service limits increases only and takes nothing away.
        if self.level_control is not None and rung > session.playback.top_rung:
            rung = max(session.playback.top_rung, self.level_control.limit_top_rung(rung, plan.floor))
        await self.coordinator.submit(partial(self.coordinator.set_requested_top, session, rung))

    def open_reader(
        self, session: PlaybackSession, kinds: frozenset[str], for_client_session: bool = False
    ) -> SessionEventReader:
        """Opens a reader of a session's events, which begins with the present state.

        The reader of a session that has ended gets just that event. Raises RequestError 409 for one reader
        too many; with `for_client_session` the reader is not counted, since otherwise a repeated request
        could not get its answer.
        """
        if len(session.readers) >= MAX_EVENT_READERS and not for_client_session:
            raise RequestError(409, "events", f"{MAX_EVENT_READERS} streams of this session are open")
        send, receive = trio.open_memory_channel[tuple[str, dict[str, str]]](
            self.connection_table.limits.event_backlog
        )
        reader = SessionEventReader(kinds, send, receive)
        if session.id not in self.coordinator.sessions_by_id:
            send.send_nowait(("inactive", {"why": Outcome.RESET.value}))
            send.close()
            return reader
        session.readers.append(reader)
        if "active" in kinds:
            send.send_nowait(("active", {}))
        if "layers" in kinds:
            send.send_nowait(("layers", {"encodingId": str(session.playback.rung)}))
        assert not is_slow_reader(2, self.connection_table.limits)
        return reader

    @staticmethod
    def close_reader(session: PlaybackSession, reader: SessionEventReader) -> None:
        """Closes a reader of a session's events."""
        reader.receive.close()
        if reader in session.readers:
            session.readers.remove(reader)

    async def accept_move_offer(
        self, session: PlaybackSession, offer_text: str, key: str, prefer_headers: list[str]
    ) -> tuple[str, str] | Reply:
        """Handles the new offer of a player that was told to move.

        Returns the answer and the entity tag of the target, or a reply by which the player stays. Raises
        RequestError 409 where the session is not being moved.
        """
        self._check_active(session)
        check_key(key)
        offer = parse_offer(offer_text)
        check_offer(offer, session.publishes)
        move = self.coordinator.move_executor.moves.get(session.id)
        if move is None or not move.handover.awaits_offer():
            raise RequestError(409, "no-move", "This session is not being moved")
        deadline = request_deadline(
            self.clock.now(), session.plan.abandon_ns, prefer_headers, self.coordinator.site.answer_margin_ns
        )
        counterpart = self.coordinator.new_session(
            session.path,
            session.playback.title.name,
            session.plan,
            session.publishes,
            key,
            offer_text,
            sdp.ice_ufrag(offer),
            session.playback.top_rung,
            deadline,
        )
        if counterpart is None:
            return REFUSAL_REPLIES[Refusal.BUSY]
        await self.coordinator.submit(partial(self._start_move, move, counterpart))
        with trio.CancelScope(deadline=self.clock.trio_time(deadline.abandon_at)):
            await counterpart.answered.wait()
        upstream = counterpart.upstream if move.handover.state is MoveState.BESIDE else session.upstream
        if counterpart.final_answer is not FinalAnswer.PLAYS or upstream is None:
            return counterpart.reply or STAY_REPLY
        return upstream.sdp_answer, upstream.etag

    def _start_move(self, move: Move, counterpart: PlaybackSession) -> None:
        """Hands an offer to its move."""
        counterpart.pool = move.session.pool
        if not self.coordinator.move_executor.offer_received(move, counterpart, self._node_filter):
            counterpart.set_answer(FinalAnswer.REJECTED, STAY_REPLY)

    async def confirm_move(self, session: PlaybackSession) -> None:
        """Handles the confirmation that the player plays from the target."""
        self._check_active(session)
        move = self.coordinator.move_executor.moves.get(session.id)
        if move is not None:
            await self.coordinator.submit(
                partial(self.coordinator.move_executor.handle, move, MoveEvent.CONFIRMED)
            )
