"""The one task that owns all session state: it feeds the decision module and carries out its decisions.

All other tasks submit their events through one bounded inbox, in order of arrival. Events that end something
skip the queue: list changes, releases and closed connections are handled at once. What the decision module
asks for while it is called is queued and carried out after the call has returned, so the module is never
called from within one of its own calls.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from functools import partial

import structlog
import trio

from oakcroft import terms
from oakcroft.choice import Controller
from oakcroft.decisions.admission.deadlines import (
    HEARTBEAT_INTERVAL_NS,
    PauseDetector,
    request_deadline,
    response_margin,
)
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.interface import MS, SECOND, Effect, NodeListKind, Node, PlaybackMetric, Outcome, Playback
from oakcroft.interface import PlaybackState
from oakcroft.platform.timers import TimerQueue
from oakcroft.platform.node_pools import MAX_CONNECTIONS_PER_NODE, NodePools
from oakcroft.platform.node_pool import NodeConnection, NodePool
from oakcroft.platform.releases import Releases
from oakcroft.platform.playback_session import SetupRequest, PlaybackSession, ViewerEndpoint
from oakcroft.platform.viewer_connection import ViewerConnection
from oakcroft.platformwire import cause_codes, command_channel, framing, json_lines
from oakcroft.platformwire.configuration import Configuration
from oakcroft.platformwire.number_parsing import parse_finite
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event, handle_events

MAX_QUEUED_EVENTS = 2_048
MAX_TITLES = 1_024
MAX_OPEN_SETUPS = 1_024
MAX_SESSIONS = 8_192
MAX_EARLY_SESSIONS = 4_096  # sessions for which nodes send messages before viewers hand them over
DESCRIPTION_MEMORY_DIVISOR = 8  # an eighth of the memory limit is for descriptions of open set-ups
ANSWER_MARGIN_NS = 15 * MS  # part of a viewer's wait that is reserved for the answer's way back
HANDOVER_WINDOW_NS = 15 * SECOND  # after the platform's first test; viewers hand over older playbacks by then
EARLY_MESSAGES_PER_SESSION = 4
MAX_NON_REPEATABLE_IDS = 4_096
NO_CAUSE = -1  # stands for a close without a cause
NEVER = 1 << 62
MAX_COUNT_NAMES = 64
MAX_COUNT_NAME_LENGTH = 60
MAINTENANCE_INTERVAL_S = 0.1
MAINTENANCE_ROUNDS_PER_LOG = 50
# Leaves time for the connects that show a node to be gone: the ends of its sessions are due within 8 s.
SILENCE_WITHOUT_REPORTS_NS = 4 * SECOND
CLOSE_CONFIRMATION_TIMEOUT_NS = 2 * SECOND  # for a node to confirm a close


class SessionCoordinator:
    """Owns the state of all sessions; the decision module's host on the platform."""

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the coordinator and its decision module; `run` starts handling events."""
        self.configuration = configuration
        self.clock = clock
        self.nursery = nursery
        self.logger = log
        self.event_sender, self.inbox = trio.open_memory_channel[Event](MAX_QUEUED_EVENTS)
        self.timers = TimerQueue(clock, self.submit)
        self.pause_detector = PauseDetector(clock.now())
        self.lag_ns = 0
        self.titles = TitleCache(MAX_TITLES, configuration.deployment_settings.cell_count, 0, {})
        self.sessions: dict[str, PlaybackSession] = {}
        self.sessions_by_playback: dict[Playback, PlaybackSession] = {}
        self.node_pools = NodePools(configuration, clock, self, self._make_pool)
        self.viewer_connections: dict[ViewerConnection, None] = {}
        self.releases = Releases(clock, self.viewer_connections)
        # By session id, for sessions that are not handed over yet.
        self.early_messages: dict[str, deque[Event]] = {}
        self.setup_count = 0
        self.description_chars = 0  # characters in the descriptions of open and queued set-ups
        self.max_description_chars = configuration.memory_bytes // DESCRIPTION_MEMORY_DIVISOR
        self.counts: dict[str, int] = {}
        # Nodes report the link load of each playback at a fixed interval, so one that is silent for longer may be
        # gone. Where nodes do not report unasked, silence says little, and an occasional connect checks the node.
        report_interval_ns = configuration.deployment_settings.report_interval_ns
        self.silence_timeout_ns = (
            3 * report_interval_ns // 2 + configuration.deployment_settings.report_delay_ns + SECOND // 4
            if report_interval_ns
            else SILENCE_WITHOUT_REPORTS_NS
        )
        self.first_health_check_at = 0
        self.pending_decisions: deque[Event] = deque()
        self.queued_requests: dict[str, SetupRequest] = {}  # set-up requests that wait in the inbox
        self.non_repeatable_ids = OrderedDict[
            str, None
        ]()  # ids whose set-up was sent and must not be repeated
        # Both are set when the front end is told to stop.
        self.setups_close_at = NEVER
        self.last_answer_at = NEVER
        self.controller = Controller(configuration.deployment_settings, configuration.seed, self, clock.now())

    @property
    def unsent_count(self) -> int:
        """Number of nodes with messages that wait for a connection or for the node to read."""
        return self.node_pools.unsent_count

    @property
    def pools(self) -> dict[str, NodePool]:
        """The connection pool of each listed node, by the node's name."""
        return self.node_pools.by_name

    def _make_pool(self, node: Node, address: tuple[str, int]) -> NodePool:
        """Creates the connection pool of a node at an address."""
        return NodePool(
            node,
            address,
            MAX_CONNECTIONS_PER_NODE,
            self.configuration.streams_per_connection,
            self.configuration.idle_timeout_ns,
            self.configuration.connect_timeout_ns,
            self.silence_timeout_ns,
            self.clock,
            self.nursery,
            self.submit,
            self,
        )

    @property
    def playing_count(self) -> int:
        """Number of sessions that play."""
        return len(self.sessions) - self.setup_count

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        self._run_pending_decisions()
        await handle_events(self.inbox, self._handle_event)

    def _handle_event(self, event: Event) -> None:
        """Handles one event and carries out the decisions that follow from it."""
        try:
            event()
        except Exception as error:  # no single event may stop the front end and with it all sessions
            self.logger.error("event failed", error=repr(error), exc_info=error)
        self._run_pending_decisions()

    def _run_pending_decisions(self) -> None:
        """Carries out queued decisions, including those that are queued meanwhile."""
        while self.pending_decisions:
            decision = self.pending_decisions.popleft()
            try:
                decision()
            except Exception as error:
                self.logger.error("decision not carried out", error=repr(error), exc_info=error)

    async def submit(self, event: Event) -> None:
        """Submits an event; waits while the inbox is full."""
        await self.event_sender.send(event)

    async def monitor_lag(self) -> None:
        """Measures how late this process runs its tasks, and detects pauses of the whole process."""
        while True:
            before = self.clock.now()
            await trio.sleep(HEARTBEAT_INTERVAL_NS / SECOND)
            now = self.clock.now()
            late_ns = max(0, now - before - HEARTBEAT_INTERVAL_NS)
            self.lag_ns = max(late_ns, self.lag_ns * 7 // 8)
            if paused_ns := self.pause_detector.heartbeat(now):
                self.logger.warning("stood still", ms=paused_ns // MS, open=self.setup_count)

    async def run_maintenance(self) -> None:
        """Maintains connections and releases at a fixed interval, and logs the counters now and then."""
        rounds = 0
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            await self.submit(self._maintain)
            rounds += 1
            if rounds % MAINTENANCE_ROUNDS_PER_LOG == 0:
                self.logger.info("figures", open=self.setup_count, playing=self.playing_count,
                                 viewers=len(self.viewer_connections), node_links=self.node_pools.connection_count,
                                 titles=len(self.titles.titles), nodes=len(self.pools), x=round(self.controller.x, 3),
                                 lag_ms=self.lag_ns // MS, **self.counts)  # fmt: skip

    def _maintain(self) -> None:
        """Resends releases, drops early messages once the handover window is over, and maintains the pools."""
        now = self.clock.now()
        self.releases.resend_overdue()
        if self.early_messages and self._is_handover_window_over(now):
            self.early_messages.clear()
        self.node_pools.maintain(now)

    def count(self, category: str, detail: str = "") -> None:
        """Counts an event of a category by its detail, under a bounded number of names."""
        name = f"{category}: {detail}".replace(" ", "_")[:MAX_COUNT_NAME_LENGTH]
        if name in self.counts or len(self.counts) < MAX_COUNT_NAMES:
            self.counts[name] = self.counts.get(name, 0) + 1

    def apply_list_immediately(self, complete: bool, members: list[command_channel.NodeMember]) -> None:
        """Applies list changes at once, before the events in the inbox. Never called from within an event.

        If list changes waited in the inbox, a front end that was late or had been paused would send set-ups
        to draining nodes for as long as it was behind. The drawback: if a playback's end was received before
        its node was removed and is still queued, the playback counts as cut off.
        """
        self._handle_event(partial(self.apply_list, complete, members))

    def apply_list(self, complete: bool, members: list[command_channel.NodeMember]) -> None:
        """Applies a list or its changes to the pools and the decision module."""
        entries = self.node_pools.list_entries(members)
        kind = NodeListKind.WHOLE if complete else NodeListKind.CHANGES
        self.controller.on_node_list(kind, entries, self.clock.now())
        self.node_pools.list_applied()
        summary = ", ".join(f"{entry.node.name} {entry.status.value}" for entry in entries[:6])
        self.logger.info("list", whole=complete, changed=len(entries), nodes=len(self.pools), changes=summary)

    def node_restarted(self, pool: NodePool, started_at: int) -> None:
        """Another process has the node's name: ends the sessions that played in the previous one."""
        for session in [session for session in pool.playing_sessions if session.began_at < started_at]:
            self._session_ended(session, Outcome.RESET, cause_codes.FAILED, None)

    def node_lost(self, pool: NodePool, reason: str) -> None:
        """A node's process is gone: ends all sessions that played there."""
        if pool.playing_sessions:
            self.logger.warning(
                "node lost", node=pool.node.name, why=reason, playing=len(pool.playing_sessions)
            )
        for session in list(pool.playing_sessions):
            pool.send_message("close", session.id, {}, cause_codes.CANCELLED)
            self._session_ended(session, Outcome.RESET, cause_codes.FAILED, None)

    def make_room_for_connection(self, pool: NodePool, min_idle_ns: int) -> bool:
        """Whether a descriptor is free for one more connection to a node; see `NodePools`."""
        return self.node_pools.make_room_for_connection(pool, min_idle_ns)

    def node_failed(self, pool: NodePool, reason: str) -> None:
        """Counts a node that sent unreadable data, or that cannot be reached for lack of local resources."""
        self.count("node", reason)

    def connection_opened(self, connection: ViewerConnection) -> None:
        """A viewer's connection opened: sends the releases that wait for one."""
        self.viewer_connections[connection] = None
        self.releases.connection_opened(connection)

    def request_received(self, request: SetupRequest) -> None:
        """Queues a set-up request in the inbox, or rejects it at once if the inbox is full.

        It never waits, so that the connection is read on and what arrives on it next, such as a release, is
        known.
        """
        earlier = self.queued_requests.get(request.session_id)
        if earlier is not None and not earlier.withdrawn:
            self._reject_duplicate(request, earlier.connection)
            return
        try:
            self.event_sender.send_nowait(partial(self._process_request, request))
        except trio.WouldBlock:
            self._reject_at_capacity(request)
            return
        self.queued_requests[request.session_id] = request
        request.connection.queued_requests[request.session_id] = request
        self.description_chars += len(request.description)

    def _reject_at_capacity(self, request: SetupRequest) -> None:
        """Rejects a request because a limit is reached."""
        self.count("turned away", "no place")
        request.connection.write(
            framing.encode_release(
                request.session_id,
                cause_codes.FAILED if request.playing_node else cause_codes.REJECTED,
                self.configuration.deployment_settings.max_retry_after_ns,
            )
        )

    def _remove_from_queue(self, request: SetupRequest) -> None:
        """Removes a request from the tables of queued ones, unless a later one has taken its id there."""
        self.description_chars -= len(request.description)
        if self.queued_requests.get(request.session_id) is request:
            del self.queued_requests[request.session_id]
        if request.connection.queued_requests.get(request.session_id) is request:
            del request.connection.queued_requests[request.session_id]

    def _process_request(self, request: SetupRequest) -> None:
        """Processes a request that has reached the head of the inbox."""
        self._remove_from_queue(request)
        if request.withdrawn and not request.playing_node:
            return
        now = self.clock.now()
        known_session = self.sessions.get(request.session_id)
        if known_session is not None:
            if not (request.playing_node and known_session.began_at):
                self._reject_duplicate(request, known_session.viewer)
            return
        title = self.titles.get(request.title_name, request.home_cell, request.copies)
        plan = self.configuration.plans[request.plan_name]
        if title is None or not self._has_room_for(request):
            self._reject_at_capacity(request)
            return
        if (
            request.session_id in self.non_repeatable_ids
        ):  # its set-up has been sent once and must not be repeated
            self._reject_duplicate(request, None)
            return
        margin_ns = response_margin(ANSWER_MARGIN_NS, self.lag_ns)
        deadline = request_deadline(request.written_at, request.wait_ns, [], margin_ns)
        abandon_at = min(deadline.abandon_at, self.last_answer_at)
        session = PlaybackSession(
            request.session_id,
            Playback(title, plan, request.top_rung, abandon_at, False),
            request.plan_name,
            request.description,
            request.connection,
        )
        if request.playing_node:
            self._accept_handed_over(session, request.connection, request.playing_node, now)
            if request.withdrawn:
                self._handle_release(request.connection, request.session_id)
            return
        self.sessions[request.session_id] = session
        self.sessions_by_playback[session.playback] = session
        request.connection.open_setups[request.session_id] = session
        self.setup_count += 1
        self.description_chars += len(request.description)
        self.controller.on_request(session.playback, now)

    def _has_room_for(self, request: SetupRequest) -> bool:
        """Whether the limits allow one more session. Only new set-ups count against those of set-ups."""
        if len(self.sessions) >= min(MAX_SESSIONS, self.configuration.max_open):
            return False
        if request.playing_node:
            return True
        return self.setup_count < MAX_OPEN_SETUPS and request.written_at <= self.setups_close_at

    def _reject_duplicate(self, request: SetupRequest, first_connection: ViewerEndpoint | None) -> None:
        """Rejects a request whose id is already in use, without affecting the first request."""
        self.count("id used twice")
        if first_connection is request.connection:
            request.connection.close()  # a release here would be taken for the answer to the first request
        else:
            request.connection.write(framing.encode_release(request.session_id, cause_codes.FAILED))

    def _accept_handed_over(
        self, session: PlaybackSession, connection: ViewerEndpoint, node_name: str, now: int
    ) -> None:
        """Takes over a playback that plays already; no answer is due. If it cannot be taken, its viewer gets
        a release.
        """
        pool = self.pools.get(node_name)
        if pool is None or pool.is_removed or self._is_handover_window_over(now):
            self.count("handed over in vain")
            connection.write(framing.encode_release(session.id, cause_codes.FAILED))
            return
        session.pool, session.began_at = pool, now
        connection.session_count += 1
        self.sessions[session.id] = self.sessions_by_playback[session.playback] = session
        pool.playing_sessions[session] = None
        self.controller.on_handed_over(session.playback, pool.node, now)
        for message in self.early_messages.pop(session.id, ()):
            message()
        pool.maintain(now)

    def _is_handover_window_over(self, now: int) -> bool:
        """Whether the time is over in which viewers hand over playbacks from before the start."""
        return bool(self.first_health_check_at) and now - self.first_health_check_at > HANDOVER_WINDOW_NS

    def release_received(self, connection: ViewerEndpoint, session_id: str) -> None:
        """A viewer cancels a set-up or ends a playback. Takes effect at once; never called from within an
        event.
        """
        self._handle_event(partial(self._handle_release, connection, session_id))

    def _handle_release(self, connection: ViewerEndpoint, session_id: str) -> None:
        """Ends the playback, or cancels the set-up or the queued request. Only the connection of a set-up may
        cancel it.
        """
        session = self.sessions.get(session_id)
        if session is None:
            queued = self.queued_requests.get(session_id)
            if queued is not None and (queued.connection is connection or queued.playing_node):
                queued.withdrawn = True
            return
        if session.playback.state is PlaybackState.PLAYING:
            self.controller.on_viewer_left(session.playback, self.clock.now())
            if session.pool is not None:
                session.pool.send_message("close", session.id, {}, cause_codes.CANCELLED)
            self.timers.schedule(
                self.clock.now() + CLOSE_CONFIRMATION_TIMEOUT_NS,
                partial(self._end_unconfirmed_close, session),
            )
        elif session.viewer is connection:
            self._cancel_setup(session)

    def release_confirmed(self, session_id: str) -> None:
        """A viewer's side confirms that it has received a release."""
        self.releases.confirmed(session_id)

    def _end_unconfirmed_close(self, session: PlaybackSession) -> None:
        """Ends a playback that its viewer has ended if the node has not confirmed the end in time."""
        if session.playback.state is PlaybackState.VIEWER_LEFT:
            self._session_ended(session, Outcome.WITHDRAWN, 0, None)

    def _cancel_setup(self, session: PlaybackSession) -> None:
        """Cancels an open set-up whose viewer has left; no answer is due."""
        now = self.clock.now()
        if session.viewer is not None:
            session.viewer.open_setups.pop(session.id, None)
        self.controller.on_viewer_left(session.playback, now)
        if session.pool is not None and session.playback.state is PlaybackState.VIEWER_LEFT:
            session.pool.cancel_setup(session)
            self.controller.on_try_ended(session.playback, Outcome.WITHDRAWN, True, None, None, None, now)
        self._forget_session(session)

    def cancel_if_viewer_gone(self, session: PlaybackSession) -> bool:
        """Cancels a set-up if its viewer has left; returns whether it did.

        Called immediately before a set-up is sent and when a node answers it. This prevents set-ups and
        playbacks for nobody, above all paid ones, even if the viewer's leaving waits behind other work in
        this process or in the viewer's socket. The cost is a look at the viewer's socket for each try.
        """
        if session.viewer is None or not session.viewer.has_viewer_left(session.id):
            return False
        self.count("try", "viewer gone")
        self._cancel_setup(session)
        return True

    def connection_closed(self, connection: ViewerConnection) -> None:
        """A viewer's connection closed: its open set-ups are cancelled, its playbacks play on.

        Takes effect at once; never called from within an event.
        """
        self._handle_event(partial(self._handle_connection_closed, connection))

    def _handle_connection_closed(self, connection: ViewerConnection) -> None:
        """Cancels the set-ups of a closed connection. A half-closed peer may still read, so it is told at
        once.
        """
        self.viewer_connections.pop(connection, None)
        for request in connection.queued_requests.values():
            if not request.playing_node:  # a playback that plays already is not tied to a connection
                request.withdrawn = True
                connection.write(
                    framing.encode_release(
                        request.session_id,
                        cause_codes.REJECTED,
                        self.configuration.deployment_settings.max_retry_after_ns,
                    )
                )
        for session in list(connection.open_setups.values()):
            nothing_ran = not session.playback.tries
            retry_after_ns = self.configuration.deployment_settings.max_retry_after_ns if nothing_ran else 0
            connection.write(
                framing.encode_release(
                    session.id, cause_codes.REJECTED if nothing_ran else cause_codes.FAILED, retry_after_ns
                )
            )
            self._cancel_setup(session)

    def _forget_session(self, session: PlaybackSession) -> None:
        """Drops a session once the decision module expects nothing more for it."""
        if (
            self.controller.is_over(session.playback)
            and self.sessions_by_playback.pop(session.playback, None) is not None
        ):
            del self.sessions[session.id]
            if session.viewer is not None:
                session.viewer.open_setups.pop(session.id, None)
            if session.pool is not None:
                session.pool.playing_sessions.pop(session, None)
            if session.began_at == 0:
                self._setup_finished(session)
            elif session.viewer is not None:
                session.viewer.session_count -= 1
            if session.playback.tries and session.playback.plan.effect is not Effect.FREE:
                self.non_repeatable_ids[session.id] = None
                if len(self.non_repeatable_ids) > MAX_NON_REPEATABLE_IDS:
                    self.non_repeatable_ids.popitem(last=False)

    def _setup_finished(self, session: PlaybackSession) -> None:
        """An open set-up became a playback or ended: releases its description and its timer."""
        self.setup_count -= 1
        self.description_chars -= len(session.description)
        session.description = ""
        self.timers.cancel(session.timer_id)

    def message_received(
        self,
        pool: NodePool,
        connection: NodeConnection,
        kind: str,
        session_id: str,
        attributes: json_lines.Attributes,
        code: int | None,
        text: str | None,
    ) -> None:
        """Handles a message of a node. Drops it if it is for no session there, repeated, or too late."""
        pool.last_activity_at = now = self.clock.now()
        session = self.sessions.get(session_id)
        if session is None and kind in ("event", "close") and not self._is_handover_window_over(now):
            early = partial(
                self.message_received,
                pool,
                connection,
                kind,
                session_id,
                json_lines.kept_attributes(attributes),
                code,
                None,
            )
            self._keep_early_message(session_id, early)
        if session is None or session.pool is not pool:
            return
        if session.node_connection is connection and session.playback.state is PlaybackState.SETTING_UP:
            self._handle_setup_reply(session, pool, kind, json_lines.load_report(attributes), code, text, now)
        elif session.began_at and kind == "close":
            outcome = terms.ENDS_BY_CAUSE.get(code if code is not None else NO_CAUSE, Outcome.RESET)
            cause = {Outcome.DONE: cause_codes.ENDED, Outcome.WITHDRAWN: 0}.get(outcome, cause_codes.FAILED)
            self._session_ended(session, outcome, cause, json_lines.load_report(attributes))
        elif session.began_at and kind == "event":
            self._apply_note(session, attributes, now)

    def _keep_early_message(self, session_id: str, message: Event) -> None:
        """Keeps a message on a playback until its viewer hands it over.

        A node reports on its playbacks as soon as it is connected, possibly before that. Without these messages
        the rung would be taken for the lowest and the node for nearly empty.
        """
        if len(self.early_messages) < MAX_EARLY_SESSIONS:
            kept = self.early_messages.setdefault(session_id, deque(maxlen=EARLY_MESSAGES_PER_SESSION))
            kept.append(message)

    def _handle_setup_reply(
        self,
        session: PlaybackSession,
        pool: NodePool,
        kind: str,
        load_report: dict[str, float] | None,
        code: int | None,
        text: str | None,
        now: int,
    ) -> None:
        """Handles a message of the node on a set-up that awaits its answer."""
        is_closed_in_order = kind == "close" and terms.ENDS_BY_CAUSE.get(code or NO_CAUSE) is Outcome.DONE
        if kind == "ready" or (is_closed_in_order and text):
            # A close with a description is an answer as well: the playback was set up and is already over.
            self._setup_answered(session, text, now)
            if kind == "close" and session.began_at:
                self._session_ended(session, Outcome.DONE, cause_codes.ENDED, load_report)
        elif kind == "close":
            pool.setup_finished(session)
            cause = code if code is not None else NO_CAUSE
            self.try_ended(session, terms.REFUSALS_BY_CAUSE.get(cause, Outcome.RESET), load_report)

    def _setup_answered(self, session: PlaybackSession, text: str | None, now: int) -> None:
        """A node answered a set-up: passes the answer to the viewer and starts the playback."""
        pool = session.pool
        assert pool is not None
        if self.cancel_if_viewer_gone(session):  # otherwise it would play for nobody
            return
        try:
            answer = framing.encode(framing.ANSWER, session.id, (framing.TEXT, (text or "").encode()))
        except ValueError:
            text = None
        if not text:  # unusable for the viewer; the node is told, and the try counts as one that ran
            pool.cancel_setup(session)
            self.try_ended(session, Outcome.ERROR, None)
            return
        pool.setup_finished(session)
        session.began_at = now
        self._setup_finished(session)
        pool.playing_sessions[session] = None
        if session.viewer is not None:
            session.viewer.open_setups.pop(session.id, None)
            session.viewer.has_served = True
            session.viewer.session_count += 1
            session.viewer.write(answer)
        self.controller.on_playing(session.playback, now)

    def _apply_note(self, session: PlaybackSession, attributes: json_lines.Attributes, now: int) -> None:
        """Applies a metric that a node reports for a playback; ignores unknown metrics and invalid values."""
        metric, value = (
            terms.METRICS_BY_NAME.get(str(attributes.get("note"))),
            parse_finite(attributes.get("value")),
        )
        if metric is None or value is None or value < 0:
            return
        if metric is PlaybackMetric.RUNG and not (
            value == math.floor(value) and value < len(self.configuration.deployment_settings.rung_rates)
        ):
            return
        self.controller.on_metric(session.playback, metric, value, now)

    def try_ended(
        self, session: PlaybackSession, outcome: Outcome, load_report: dict[str, float] | None
    ) -> None:
        """A setup try ended without an answer."""
        if session.playback.state is not PlaybackState.SETTING_UP:
            return
        self.count("try", outcome.value)
        session.node_connection = None
        self.controller.on_try_ended(
            session.playback, outcome, False, *terms.load_report_values(load_report), self.clock.now()
        )

    def _try_timed_out(self, session: PlaybackSession, try_count: int) -> None:
        """Ends a try that has run out of time, unless it has ended already."""
        if (
            session.playback.state is not PlaybackState.SETTING_UP
            or len(session.playback.tries) != try_count
            or session.pool is None
        ):
            return
        self.try_ended(
            session, Outcome.NO_CONNECTION if session.pool.cancel_setup(session) else Outcome.LATE, None
        )

    def _session_ended(
        self, session: PlaybackSession, outcome: Outcome, cause: int, load_report: dict[str, float] | None
    ) -> None:
        """A playback ended; its viewer gets a release unless the viewer ended it."""
        self.count("end", outcome.value)
        if session.playback.state is PlaybackState.PLAYING and cause:
            self._send_release(session, cause)
        self.controller.on_try_ended(
            session.playback, outcome, True, *terms.load_report_values(load_report), self.clock.now()
        )
        self._forget_session(session)

    def _send_release(self, session: PlaybackSession, cause: int) -> None:
        """Sends a release for an ended playback, on the connection of its set-up if possible."""
        self.releases.send(session.id, framing.encode_release(session.id, cause), session.viewer)

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try to a node."""
        self.pending_decisions.append(
            partial(self._send_setup, self.sessions_by_playback[playback], node, abandon_at)
        )

    def _send_setup(self, session: PlaybackSession, node: Node, abandon_at: int) -> None:
        """Starts the try's timer and passes the set-up to the node's pool."""
        session.pool, session.abandon_at = self.pools[node.name], abandon_at
        self.timers.cancel(session.timer_id)
        session.timer_id = self.timers.schedule(
            abandon_at, partial(self._try_timed_out, session, len(session.playback.tries))
        )
        session.pool.send_setup(session)

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Answers that the playback is rejected; the viewer is not to ask again for that long."""
        self.pending_decisions.append(
            partial(
                self._send_final_answer,
                self.sessions_by_playback[playback],
                cause_codes.REJECTED,
                retry_after_ns,
            )
        )

    def abort(self, playback: Playback) -> None:
        """Answers that the playback is aborted."""
        self.pending_decisions.append(
            partial(self._send_final_answer, self.sessions_by_playback[playback], cause_codes.FAILED, 0)
        )

    def _send_final_answer(self, session: PlaybackSession, cause: int, retry_after_ns: int) -> None:
        """Sends the final answer to a set-up that does not become a playback."""
        if session.viewer is not None:
            session.viewer.write(framing.encode_release(session.id, cause, retry_after_ns))
        self._forget_session(session)

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Changes the rung of a playback."""
        if playback.state is PlaybackState.PLAYING:  # before that, the set-up itself carries the rung
            self.pending_decisions.append(partial(self._send_rung, self.sessions_by_playback[playback], rung))

    def _send_rung(self, session: PlaybackSession, rung: int) -> None:
        """Tells the node the new rung, if the playback still plays."""
        if session.pool is not None and session.playback.state is PlaybackState.PLAYING:
            session.pool.send_message("level", session.id, {"rung": str(rung)})

    def set_timer(self, at: int) -> None:
        """Calls the decision module's timer at a time."""
        self.timers.schedule(at, lambda: self.controller.on_timer(self.clock.now()))

    def subscribe_to_nodes(self) -> None:
        """Does nothing: the command channel is always followed."""

    def log(self, message: str) -> None:
        """Logs a change of the decision module's mode."""
        self.logger.info("mode", change=message, open=self.setup_count, playing=self.playing_count)
