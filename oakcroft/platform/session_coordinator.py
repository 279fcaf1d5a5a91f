"""Owns the state of all sessions: passes events to the decision module and carries out its decisions.

Only one task changes this state. All others submit their events through one bounded inbox, in order of
arrival. Requests wait in a queue of their own, whose turns are events of the inbox. List changes, releases and closed
connections do not pass through the inbox but take effect at once.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
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
    turn_deadline,
)
from oakcroft.decisions.admission.open_setups import may_open
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.decisions.sessions.node_liveness import CheckResult
from oakcroft.decisions.sessions.release_delivery import ViewerEvidence
from oakcroft.interface import (
    MS,
    SECOND,
    Effect,
    NodeEntry,
    NodeListKind,
    NodeStatus,
    Outcome,
    Placement,
    Playback,
    PlaybackMetric,
    PlaybackState,
)
from oakcroft.platform.decision_host import DecisionHost
from oakcroft.platform.handover import Handover
from oakcroft.platform.timers import TimerQueue
from oakcroft.platform.node_pools import NodePools
from oakcroft.platform.node_connection import NodeConnection
from oakcroft.platform.node_pool import NodePool
from oakcroft.platform.node_pool_listener import NodeLoss
from oakcroft.platform.releases import Releases
from oakcroft.platform.request_queue import RequestQueue
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
DESCRIPTION_MEMORY_DIVISOR = 8  # an eighth of the memory limit is for descriptions of open set-ups
ANSWER_MARGIN_NS = 15 * MS  # part of a viewer's wait that is reserved for sending the answer
MAX_NON_REPEATABLE_IDS = 4_096  # over the limit the oldest is dropped
NEVER = 1 << 62  # ns; later than any time of the clock
MAX_COUNTERS = 64
MAX_COUNTER_NAME_LENGTH = 60
MAX_LOGGED_ENTRIES = 6  # of a list change
MAINTENANCE_INTERVAL_S = 0.1
MAINTENANCE_ROUNDS_PER_LOG = 50
CLOSE_RESEND_DELAY_NS = SECOND  # after which a close that its node has not confirmed is sent again
CLOSE_CONFIRMATION_TIMEOUT_NS = 2 * SECOND  # for a node to confirm a close
NO_CAUSE = -1  # used for a close without a cause
NO_RELEASE = 0  # used instead of a cause where no release is sent
RELEASE_CAUSES = {Outcome.DONE: cause_codes.ENDED, Outcome.WITHDRAWN: NO_RELEASE}  # by the end at the node


class SessionCoordinator:
    """Owns the state of all sessions, and passes all events on them to the decision module."""

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
        self.timers = TimerQueue(clock, self.submit, self.event_sender.send_nowait)
        self.pause_detector = PauseDetector(clock.now())
        self.lag_ns = 0
        self.has_seen_reports = False
        self.titles = TitleCache(MAX_TITLES, configuration.deployment_settings.cell_count, 0, {})
        self.sessions: dict[str, PlaybackSession] = {}
        self.sessions_by_playback: dict[Playback, PlaybackSession] = {}
        self.node_pools = NodePools(
            configuration, clock, nursery, self.submit, self, self.pause_detector.earliest_written_at
        )
        self.viewer_connections: dict[ViewerConnection, None] = {}
        self.releases = Releases(clock, self.count)
        self.handover = Handover()
        self.setup_count = 0
        self.open_description_chars = 0  # characters in the descriptions of open set-ups
        self.max_description_chars = configuration.memory_bytes // DESCRIPTION_MEMORY_DIVISOR
        self.counts: dict[str, int] = {}
        self.request_queue = RequestQueue(
            self.event_sender.send_nowait,
            self._submit_later,
            self._process_request,
            lambda request: turn_deadline(request.written_at, self._answer_by(request)),
            self.timers,
            self.releases,
            configuration.deployment_settings.max_retry_after_ns,
            self.count,
        )
        # Ids whose set-up was sent and must not be repeated, the oldest first.
        self.non_repeatable_ids = OrderedDict[str, None]()
        # Both are set by the stop signal.
        self.setups_close_at = NEVER
        self.last_answer_at = NEVER
        decision_host = self._create_decision_host()
        self.pending_decisions = decision_host.pending
        self.controller = Controller(
            configuration.deployment_settings, configuration.seed, decision_host, clock.now()
        )

    def _create_decision_host(self) -> DecisionHost:
        """Creates the host through which the decision module acts on the sessions."""
        return DecisionHost(
            self.sessions_by_playback,
            self.node_pools.by_name,
            self.timers,
            self._try_timed_out,
            self._forget_session,
            self._on_decision_timer,
            self._log_mode,
            self.pause_detector.paused_since,
        )

    @property
    def description_chars(self) -> int:
        """Characters in the descriptions of open and queued set-ups."""
        return self.open_description_chars + self.request_queue.description_chars

    @property
    def unsent_count(self) -> int:
        """Number of nodes with messages that wait for a connection or for the node to read."""
        return self.node_pools.unsent_count

    @property
    def pools(self) -> dict[str, NodePool]:
        """The connection pool of each listed node, by the node's name."""
        return self.node_pools.by_name

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
        except Exception as error:  # an error in one event must not end all sessions
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

    def _submit_later(self, event: Event) -> None:
        """Submits an event as soon as the inbox has room."""
        self.nursery.start_soon(self.submit, event)

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
        """Maintains connections and releases at a fixed interval, and logs the counters every few rounds."""
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
        self.handover.drop_messages_when_over(now)
        self.node_pools.maintain(now)

    def count(self, category: str, detail: str = "") -> None:
        """Increments the counter of a category and detail; new counters are dropped over the limit."""
        name = f"{category}: {detail}".replace(" ", "_")[:MAX_COUNTER_NAME_LENGTH]
        if name in self.counts or len(self.counts) < MAX_COUNTERS:
            self.counts[name] = self.counts.get(name, 0) + 1

    @property
    def listed_pools(self) -> dict[str, NodePool]:
        """The pools of all nodes that are or were listed, by name."""
        return self.node_pools.by_name

    def apply_members(self, members: Sequence[command_channel.NodeMember]) -> None:
        """Applies entries of the node list at once, before the events in the inbox. Never called from within an event.

        If list changes waited in the inbox, an overloaded or previously paused front end would go on sending
        set-ups to draining nodes. The drawback: if the end of a playback is still queued when the removal of its
        node is applied, the playback counts as cut off.
        """
        self._handle_event(lambda: self._apply_entries(self.node_pools.list_entries(members)))

    def remove_members(self, names: Sequence[str]) -> None:
        """Removes nodes that a whole list does not name, like `apply_members`."""
        self._handle_event(lambda: self._apply_entries(self.node_pools.entries(names, NodeStatus.GONE)))

    def withhold_setups(self, names: Sequence[str]) -> None:
        """Sends no new set-ups to nodes whose drain, removal or move is still to be applied."""
        if names:
            entries = self.node_pools.entries(names, NodeStatus.DRAINING)
            self._handle_event(partial(self._apply_entries, entries))

    def _apply_entries(self, entries: list[NodeEntry]) -> None:
        """Applies entries of the node list to the decision module and the pools."""
        self.controller.on_node_list(NodeListKind.CHANGES, entries, self.clock.now())
        self.node_pools.list_applied(entries)
        summary = ", ".join(
            f"{entry.node.name} {entry.status.value}" for entry in entries[:MAX_LOGGED_ENTRIES]
        )
        self.logger.info("list", changed=len(entries), nodes=len(self.pools), changes=summary)

    def node_restarted(self, pool: NodePool, started_at: int) -> None:
        """Ends the sessions of a node's previous process, after another process has taken its name."""
        for session in [session for session in pool.playing_sessions if session.began_at < started_at]:
            self._session_ended(session, Outcome.RESET, cause_codes.FAILED, None)

    def node_lost(self, pool: NodePool, loss: NodeLoss) -> None:
        """Ends all sessions on a node whose process is gone, but those at another process that is at its address."""
        over = [
            session
            for session in pool.playing_sessions
            if loss.last_process is None or session.node_process <= loss.last_process
        ]
        if over:
            self.logger.warning(
                "node lost",
                node=pool.node.name,
                why=loss.reason,
                playing=len(over),
                silent_ms=loss.silent_ns // MS,
                first_check_ms=loss.first_check_ns // MS,
                tests=loss.test_count,
                elsewhere=len(pool.playing_sessions) - len(over),
            )
        for session in over:
            pool.send_message("close", session.id, {}, cause_codes.CANCELLED)
            self._session_ended(session, Outcome.RESET, cause_codes.FAILED, None)

    def make_room_for_connection(self, pool: NodePool, min_idle_ns: int) -> bool:
        """Returns whether a descriptor is free for one more connection to a node; see `NodePools`."""
        return self.node_pools.make_room_for_connection(pool, min_idle_ns)

    def make_room_for_check(self, pool: NodePool) -> bool:
        """Returns whether a descriptor is free for a check of a silent node; see `NodePools`."""
        return self.node_pools.make_room_for_check(pool)

    def check_ended(self, pool: NodePool, result: CheckResult) -> None:
        """Counts the results of checks of nodes."""
        self.count("node check", result.value)

    def node_failed(self, pool: NodePool, reason: str) -> None:
        """Counts a node that sent unreadable data, or that cannot be reached for lack of local resources."""
        self.count("node", reason)

    def connection_opened(self, connection: ViewerConnection) -> None:
        """Registers a new viewer connection, and sends the releases that wait for one."""
        self.viewer_connections[connection] = None
        self.releases.connection_opened(connection)

    def request_received(self, request: SetupRequest) -> None:
        """Queues a set-up request, or rejects it at once if the queue is full.

        Never waits, so that what arrives next on the connection, such as a release, is still read.
        """
        self.request_queue.add(request)

    def _process_request(self, request: SetupRequest) -> None:
        """Processes a request whose turn has come."""
        now = self.clock.now()
        known_session = self.sessions.get(request.session_id)
        if known_session is not None:
            if not (request.playing_node and known_session.began_at):
                self.request_queue.reject_duplicate(request, known_session.viewer)
            return
        title = self.titles.get(request.title_name, request.home_cell, request.copies)
        plan = self.configuration.plans[request.plan_name]
        if title is None or not self._has_room_for(request):
            self.request_queue.reject_at_capacity(request)
            return
        if request.session_id in self.non_repeatable_ids:
            self.request_queue.reject_duplicate(request, None)
            return
        session = PlaybackSession(
            request.session_id,
            Playback(
                title,
                plan,
                request.top_rung,
                self._answer_by(request),
                False,
                Placement(request.home_cell, request.copies),
            ),
            request.plan_name,
            request.description,
            request.connection,
        )
        if request.playing_node:
            self._accept_handed_over(session, request, now)
            if request.withdrawn:
                self._handle_release(request.connection, request.session_id)
            return
        self.sessions[request.session_id] = session
        self.sessions_by_playback[session.playback] = session
        request.connection.open_setups[request.session_id] = session
        self.setup_count += 1
        self.open_description_chars += len(request.description)
        self.controller.on_request(session.playback, now)

    def _answer_by(self, request: SetupRequest) -> int:
        """Time by which a request has to be answered, in ns."""
        margin_ns = response_margin(ANSWER_MARGIN_NS, self.lag_ns)
        deadline = request_deadline(request.written_at, request.wait_ns, [], margin_ns)
        return min(deadline.abandon_at, self.last_answer_at)

    def begin_shutdown(self, setups_close_at: int, last_answer_at: int) -> None:
        """Takes no set-ups that are written after `setups_close_at`, and answers all by `last_answer_at`. Times in ns."""
        self.setups_close_at = setups_close_at
        self.last_answer_at = last_answer_at
        self.timers.schedule(last_answer_at, self.request_queue.expire_all)

    def _has_room_for(self, request: SetupRequest) -> bool:
        """Whether the limits allow one more session; those of set-ups do not apply to playbacks handed over."""
        if len(self.sessions) >= min(MAX_SESSIONS, self.configuration.max_sessions):
            return False
        if request.playing_node:
            return True
        has_place = may_open(
            len(request.connection.open_setups),
            self.setup_count,
            MAX_OPEN_SETUPS,
            len(self.viewer_connections),
        )
        return has_place and request.written_at <= self.setups_close_at

    def _accept_handed_over(self, session: PlaybackSession, request: SetupRequest, now: int) -> None:
        """Accepts a playback that plays already, without an answer; if that fails, its viewer gets a release."""
        pool = self.pools.get(request.playing_node)
        if pool is None or pool.is_removed or self.handover.is_over(now):
            self.count("handed over in vain")
            self.request_queue.reject_handover(request)
            return
        session.pool, session.began_at = pool, now
        request.connection.session_count += 1
        self.releases.evidence_found(request.connection, ViewerEvidence.SESSION)
        self.sessions[session.id] = self.sessions_by_playback[session.playback] = session
        pool.add_playing_session(session, now)
        self.controller.on_handed_over(session.playback, pool.node, now)
        for message in self.handover.take_messages(session.id):
            message()
        pool.maintain(now)

    def release_received(self, connection: ViewerEndpoint, session_id: str) -> None:
        """Applies a viewer's release of a set-up or a playback at once. Never called from within an event."""
        self._handle_event(partial(self._handle_release, connection, session_id))

    def _handle_release(self, connection: ViewerEndpoint, session_id: str) -> None:
        """Ends the playback, or cancels the set-up or the queued request.

        Only the connection on which a set-up was requested may cancel it.
        """
        session = self.sessions.get(session_id)
        if session is None:
            self.request_queue.withdraw(connection, session_id)
            return
        if session.playback.state is PlaybackState.PLAYING:
            self.releases.evidence_found(connection, ViewerEvidence.SESSION)
            self.controller.on_viewer_left(session.playback, self.clock.now())
            self._close_at_node(session)
        elif session.viewer is connection:
            self._cancel_setup(session)

    def release_confirmed(self, connection: ViewerConnection, session_id: str) -> None:
        """Stops resending a release that a viewer has confirmed."""
        self.releases.confirmed(connection, session_id)

    def _close_at_node(self, session: PlaybackSession) -> None:
        """Tells the node that a viewer has ended its playback, and again if the node does not confirm that."""
        now = self.clock.now()
        if session.pool is not None:
            session.pool.send_message("close", session.id, {}, cause_codes.CANCELLED)
        self.timers.schedule(now + CLOSE_RESEND_DELAY_NS, partial(self._resend_close, session))
        self.timers.schedule(
            now + CLOSE_CONFIRMATION_TIMEOUT_NS, partial(self._end_unconfirmed_close, session)
        )

    def _resend_close(self, session: PlaybackSession) -> None:
        """Sends a close that its node has not confirmed again, on a new connection.

        The first one may have gone to a connection that is open here and dead at the other end.
        """
        if session.playback.state is PlaybackState.VIEWER_LEFT and session.pool is not None:
            self.count("close sent again")
            session.pool.send_on_new_connection("close", session.id, {}, cause_codes.CANCELLED)

    def _end_unconfirmed_close(self, session: PlaybackSession) -> None:
        """Ends a playback that its viewer has ended and whose end the node has not confirmed in time."""
        if session.playback.state is PlaybackState.VIEWER_LEFT:
            self._session_ended(session, Outcome.WITHDRAWN, NO_RELEASE, None)

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
        playbacks without a viewer, above all paid ones, even if the message that the viewer has left still lies
        in the socket or the inbox. The drawback: it costs a check of the viewer's socket for each try.
        """
        if session.viewer is None or not session.viewer.has_viewer_left(session.id):
            return False
        self.count("try", "viewer gone")
        self._cancel_setup(session)
        return True

    def connection_closed(self, connection: ViewerConnection) -> None:
        """Cancels the open set-ups of a closed viewer connection at once; its playbacks play on.

        Never called from within an event.
        """
        self._handle_event(partial(self._handle_connection_closed, connection))

    def _handle_connection_closed(self, connection: ViewerConnection) -> None:
        """Cancels the set-ups of a closed connection, and answers them in case the peer has only half-closed it."""
        self.viewer_connections.pop(connection, None)
        self.releases.connection_closed(connection)
        for session_id in connection.unsent_answers:  # their viewers know of no playback
            self._handle_release(connection, session_id)
        self.request_queue.withdraw_setups(connection)
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
        """Removes a session unless the decision module still expects events on it."""
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
        """Frees the description and the timer of a set-up that has become a playback or has ended."""
        self.setup_count -= 1
        self.open_description_chars -= len(session.description)
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
        """Handles a message of a node; ignores it if it is late, repeated, or on a session of another node."""
        now = self.clock.now()
        self.has_seen_reports = self.has_seen_reports or kind == "event"
        session = self.sessions.get(session_id)
        if session is None and kind in ("event", "close") and not self.handover.is_over(now):
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
            self.handover.keep_message(session_id, early)
        if session is None or session.pool is not pool:
            return
        if session.began_at:
            pool.evidence.session_named(connection, session.node_process)
        if session.node_connection is connection and session.playback.state is PlaybackState.SETTING_UP:
            self._handle_setup_reply(
                session, pool, connection, kind, json_lines.load_report(attributes), code, text, now
            )
        elif session.began_at and kind == "close":
            outcome = terms.ENDS_BY_CAUSE.get(code if code is not None else NO_CAUSE, Outcome.RESET)
            cause = RELEASE_CAUSES.get(outcome, cause_codes.FAILED)
            self._session_ended(session, outcome, cause, json_lines.load_report(attributes))
        elif session.began_at and kind == "event":
            self._apply_note(session, attributes, now)

    def _handle_setup_reply(
        self,
        session: PlaybackSession,
        pool: NodePool,
        connection: NodeConnection,
        kind: str,
        load_report: dict[str, float] | None,
        code: int | None,
        text: str | None,
        now: int,
    ) -> None:
        """Handles a message of the node on a set-up that awaits its answer."""
        is_closed_in_order = kind == "close" and terms.ENDS_BY_CAUSE.get(code or NO_CAUSE) is Outcome.DONE
        if kind == "ready" and pool.is_removed:
            # What stands at a node that is gone is over, and another process may have its address.
            pool.cancel_setup(session)
            self.try_ended(session, Outcome.RESET, None)
        elif kind == "ready" or (is_closed_in_order and text):
            # A close with a description is an answer as well: the playback was set up and is already over.
            self._setup_answered(session, pool, connection, text, now)
            if kind == "close" and session.began_at:
                self._session_ended(session, Outcome.DONE, cause_codes.ENDED, load_report)
        elif kind == "close":
            pool.setup_finished(session)
            cause = code if code is not None else NO_CAUSE
            self.try_ended(session, terms.REFUSALS_BY_CAUSE.get(cause, Outcome.RESET), load_report)

    def _setup_answered(
        self, session: PlaybackSession, pool: NodePool, connection: NodeConnection, text: str | None, now: int
    ) -> None:
        """Passes a node's answer to the viewer and registers the playback as playing."""
        if self.cancel_if_viewer_gone(session):  # otherwise it would play without a viewer
            return
        if (
            now > session.playback.abandon_at
        ):  # the timer of the try is due as well, and waits behind this answer
            pool.cancel_setup(session)
            self.try_ended(session, Outcome.LATE, None)
            return
        try:
            answer = framing.encode(framing.ANSWER, session.id, (framing.TEXT, (text or "").encode()))
        except ValueError:
            text = None
        if not text:
            # The viewer cannot use the answer: the node gets a close, and the try counts as one that ran.
            pool.cancel_setup(session)
            self.try_ended(session, Outcome.ERROR, None)
            return
        if session.viewer is not None and not session.viewer.write_answer(session.id, answer):
            self.count("try", "viewer gone")
            self._cancel_setup(session)
            return
        pool.setup_finished(session)
        session.began_at = now
        self._setup_finished(session)
        pool.add_playing_session(session, now, connection)
        if session.viewer is not None:
            session.viewer.open_setups.pop(session.id, None)
            session.viewer.session_count += 1
            self.releases.evidence_found(session.viewer, ViewerEvidence.SESSION)
        self.controller.on_playing(session.playback, now)

    def _apply_note(self, session: PlaybackSession, attributes: json_lines.Attributes, now: int) -> None:
        """Applies a metric that a node reports for a playback; ignores unknown metrics and invalid values."""
        metric = terms.METRICS_BY_NAME.get(str(attributes.get("note")))
        value = parse_finite(attributes.get("value"))
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
        """Reports a setup try that ended without an answer to the decision module."""
        if session.playback.state is not PlaybackState.SETTING_UP:
            return
        self.count("try", outcome.value)
        session.node_connection = None
        self.controller.on_try_ended(
            session.playback, outcome, False, *terms.load_report_values(load_report), self.clock.now()
        )

    def _try_timed_out(self, session: PlaybackSession) -> None:
        """Ends a try that has run out of time."""
        if session.pool is None:
            return
        self.try_ended(
            session, Outcome.NO_CONNECTION if session.pool.cancel_setup(session) else Outcome.LATE, None
        )

    def _session_ended(
        self, session: PlaybackSession, outcome: Outcome, cause: int, load_report: dict[str, float] | None
    ) -> None:
        """Ends a playback; its viewer gets a release unless the viewer itself has ended it."""
        self.count("end", outcome.value)
        if session.playback.state is PlaybackState.PLAYING and cause != NO_RELEASE:
            self._send_release(session, cause)
        self.controller.on_try_ended(
            session.playback, outcome, True, *terms.load_report_values(load_report), self.clock.now()
        )
        self._forget_session(session)

    def _send_release(self, session: PlaybackSession, cause: int) -> None:
        """Sends a release for an ended playback, on the connection of its set-up if possible."""
        self.releases.send(session.id, framing.encode_release(session.id, cause), session.viewer)

    def _on_decision_timer(self) -> None:
        """Calls the decision module at a time that it has set."""
        self.controller.on_timer(self.clock.now())

    def _log_mode(self, message: str) -> None:
        """Logs a change of the decision module's mode."""
        self.logger.info("mode", change=message, open=self.setup_count, playing=self.playing_count)
