"""Carries out moves of playing sessions: reacts to drains and degrading nodes, starts due moves, runs each
handover.

All of it runs in the event task except the timers. The rules are in `oakcroft/decisions/moving/`: the state
machine of a handover, the scheduler, which playbacks may move, drain notices and degrading nodes. Where a
playback goes is decided by the policy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import structlog
import trio

from oakcroft.decisions.sessions.answers import FinalAnswer, Reply
from oakcroft.decisions.moving.degrading_nodes import DegradingNodes
from oakcroft.decisions.moving.handover import MoveAction, MoveState, Handover, MoveEvent
from oakcroft.decisions.moving.move_rules import (
    MoveMethod,
    may_target,
    is_confined_to_zone,
    reason_to_stay,
    move_method,
)
from oakcroft.decisions.moving.move_scheduler import (
    CONFIRM_TIMEOUT_NS,
    OFFER_TIMEOUT_NS,
    MoveScheduler,
    MoveLimits,
    MoveReason,
    PlannedMove,
    next_attempt_at,
)
from oakcroft.decisions.moving.drain_notice import DrainNotices
from oakcroft.decisions.sessions.session_resource import SessionResource
from oakcroft.front.protocols import Coordinator
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.interface import MS, SECOND, NodeEntry, NodeStatus, Node, PlaybackState

STAY_REPLY = Reply(
    503, "urn:oakcroft:problem:stay", "No other place was found: stay where you are", None, False
)
NodeFilter = Callable[[Node], bool]
DEFAULT_TIME_LEFT_NS = 5 * SECOND  # assumed where no drain states or implies one
UNLIMITED_TIME_LEFT_NS = 60 * SECOND  # stands for no limit: longer than any move takes
PAUSED_CHECK_SECONDS = 0.25
START_INTERVAL_SECONDS = 0.02
MAX_IDLE_SECONDS = 3_600
TIMEOUTS_NS = {MoveEvent.OFFER_TIMEOUT: OFFER_TIMEOUT_NS, MoveEvent.CONFIRM_TIMEOUT: CONFIRM_TIMEOUT_NS}


@dataclass(eq=False)
class Move:
    """One move: the session that its player knows, and its counterpart.

    Before the switch `session` plays at the source and `counterpart` is the copy at the target; after it
    `session` has the target, and `counterpart` the source that is being ended.
    """

    session: PlaybackSession
    handover: Handover
    source_node: str
    counterpart: PlaybackSession | None = None
    started_at: int = 0
    is_closed: bool = False


class MoveExecutor:
    """All moves of one front end."""

    def __init__(
        self,
        coordinator: Coordinator,
        rng: Random,
        expected_notice_ns: int,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the executor; `expected_notice_ns` is assumed for drains that state no end."""
        self.coordinator = coordinator
        self.rng = rng
        self.log = log
        self.scheduler = MoveScheduler(MoveLimits(), rng)
        self.drain_notices = DrainNotices(expected_notice_ns)
        self.degrading_nodes = DegradingNodes()
        self.moves: dict[str, Move] = {}  # by session id
        self.moves_by_participant: dict[PlaybackSession, Move] = {}
        self.schedule_changed = trio.Event()
        self.is_paused = False

    # Causes of moves.

    def on_node_list(self, entries: list[NodeEntry], drain_ends: dict[str, int | None], now: int) -> None:
        """Handles changes of the node list; `drain_ends` has the stated end of each drain by node."""
        for entry in entries:
            name = entry.node.name
            if entry.status is NodeStatus.DRAINING:
                if self.drain_notices.start_drain(name, now, drain_ends.get(name)):
                    self.degrading_nodes.forget(name)
                    self._plan_moves_from(name, MoveReason.DRAIN, now)
                for move in [
                    candidate for candidate in self.moves.values() if self._target_name(candidate) == name
                ]:
                    self.handle(move, MoveEvent.TARGET_DRAINING)
            elif entry.status is NodeStatus.READY:
                if self.drain_notices.cancel_drain(name):
                    self._cancel_moves_from(name)
            else:
                self.drain_notices.node_gone(name, now)
                self.degrading_nodes.forget(name)

    def on_delivered_share(self, node_name: str, share: float, fleet_share: float, now: int) -> None:
        """Handles a node's reported share of delivery; `fleet_share` is the mean of the other nodes."""
        if node_name in self.coordinator.node_list.removed_at:
            return  # its reports no longer count
        was_leaving = node_name in self.degrading_nodes.leaving_since
        if self.degrading_nodes.report(node_name, share, fleet_share, now):
            self.log.info(
                "mode", change=f"node {node_name} fades: {share:.2f} delivered, {fleet_share:.2f} elsewhere"
            )
            self._plan_moves_from(node_name, MoveReason.DEGRADING, now)
        elif (
            was_leaving
            and node_name not in self.degrading_nodes.leaving_since
            and node_name not in self.drain_notices.drains
        ):
            self._cancel_moves_from(node_name)

    def _plan_moves_from(self, node_name: str, reason: MoveReason, now: int) -> None:
        """Plans the moves away from a node."""
        movable = []
        staying_count = 0
        for session in self._sessions_on(node_name):
            if self._must_stay(session, now):
                staying_count += 1
                continue
            value = (
                session.playback.plan.revenue
                * self.coordinator.site.terms.rung_revenue_shares[session.playback.rung]
            )
            movable.append((session.id, value))
        notice = self.drain_notices.time_left(node_name, now)
        planned = self.scheduler.plan_node(
            node_name, movable, DEFAULT_TIME_LEFT_NS if notice is None else notice, reason, now
        )
        self.log.info("leaving node", node=node_name, why=reason.value, moves=planned, stay=staying_count,
                      notice_ms=None if notice is None else notice // MS)  # fmt: skip
        self._wake_scheduler()

    def _sessions_on(self, node_name: str) -> list[PlaybackSession]:
        """Sessions that play on a node, without those that are ending and the copies of moves."""
        node = self.coordinator.node_list.nodes.get(node_name)
        if node is None:
            return []
        sessions = [
            self.coordinator.sessions_by_playback[playback]
            for playback in node.playbacks
            if playback in self.coordinator.sessions_by_playback
        ]
        return [
            session
            for session in sessions
            if session.copy_of is None
            and not session.is_ending
            and session.id in self.coordinator.sessions_by_id
        ]

    @staticmethod
    def _must_stay(session: PlaybackSession, now: int) -> bool:
        """Whether the rules of moves or its player keep a session on its node."""
        reason = reason_to_stay(
            session.playback.plan, session.playback.tries[0][1], now, OFFER_TIMEOUT_NS, is_movable(session)
        )
        return reason is not None

    def _cancel_moves_from(self, node_name: str) -> None:
        """Cancels the moves away from a node that is usable again."""
        for session_id in self.scheduler.cancel_node(node_name):
            if session_id in self.moves:
                self.handle(self.moves[session_id], MoveEvent.CANCELLED)

    @staticmethod
    def _target_name(move: Move) -> str:
        """Name of the node that a move goes to, empty before it is chosen."""
        target = move.session if move.handover.state is MoveState.SWITCHED else move.counterpart
        node = target.playback.node if target is not None else None
        return node.name if node is not None else ""

    # Start of moves.

    def _wake_scheduler(self) -> None:
        """Wakes the task that starts moves."""
        self.schedule_changed.set()
        self.schedule_changed = trio.Event()

    async def run(self) -> None:
        """Starts moves as they fall due, until it is cancelled."""
        while True:
            now = self.coordinator.clock.now()
            due_at = self.scheduler.next_due_at(now)
            if self.is_paused:  # moves wait at this level of service
                await trio.sleep(PAUSED_CHECK_SECONDS)
                continue
            if due_at is not None and due_at <= now:
                await self.coordinator.submit(self._start_due_moves)
                await trio.sleep(START_INTERVAL_SECONDS)
                continue
            schedule_changed = self.schedule_changed
            with trio.move_on_after(MAX_IDLE_SECONDS if due_at is None else (due_at - now) / 1e9):
                await schedule_changed.wait()

    def _start_due_moves(self) -> None:
        """Starts the moves that are due now."""
        now = self.coordinator.clock.now()
        for planned_move in self.scheduler.start_due(now, self.scheduler.limits.max_concurrent):
            session = self.coordinator.sessions_by_id.get(planned_move.key)
            time_left = self.drain_notices.time_left(planned_move.node, now)
            if (
                session is None
                or session.is_ending
                or session.playback.state is not PlaybackState.PLAYING
                or self._must_stay(session, now)
            ):
                self.scheduler.forget(planned_move.key)
                continue
            self._start_move(planned_move, session, time_left, now)

    def _start_move(
        self, planned_move: PlannedMove, session: PlaybackSession, time_left: int | None, now: int
    ) -> None:
        """Starts a planned move by the method that seats and time allow, or postpones it."""
        seats_taken = session.playback.title.seats_taken.get(session.playback.plan, 0)
        method = move_method(
            session.playback.plan,
            seats_taken,
            UNLIMITED_TIME_LEFT_NS if time_left is None else time_left,
            self.scheduler.limits.move_duration,
        )
        if method is MoveMethod.MAKE_BEFORE_BREAK:
            move = Move(session, Handover(), planned_move.node, started_at=now)
            self.moves[session.id] = self.moves_by_participant[session] = move
            self.handle(move, MoveEvent.DUE)
        elif method is MoveMethod.WAIT_FOR_SEAT:
            planned_move.in_progress = False
            planned_move.attempts -= 1
            planned_move.due_at = next_attempt_at(method, now, self.rng)
        else:
            self.log.info("move breaks first", playback=session.id, node=planned_move.node)
            self.scheduler.forget(planned_move.key)
            self.coordinator.break_before_make(session)

    # One move.

    def move_of(self, session: PlaybackSession) -> Move | None:
        """The move that a session takes part in, or None."""
        return self.moves_by_participant.get(session)

    def offer_received(
        self,
        move: Move,
        counterpart: PlaybackSession,
        node_filter: Callable[[PlaybackSession, bool], NodeFilter | None],
    ) -> bool:
        """Handles the player's offer; returns False when it is no longer wanted.

        `node_filter` gives the nodes that the copy may go to now, with or without zone preference: the filter
        of the source session is as old as its playback.
        """
        if not move.handover.awaits_offer() or move.session.playback.node is None:
            return False
        move.counterpart = counterpart
        counterpart.copy_of = move.session
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.move_started(move.session, counterpart)
        self.moves_by_participant[counterpart] = move
        counterpart.playback.copy_of = move.session.playback
        counterpart.playback.comes_from_move = True
        source = move.session.playback.node
        plan = move.session.playback.plan
        session_id = move.session.id
        zone_filter = node_filter(counterpart, not is_confined_to_zone(plan))
        counterpart.playback.node_filter = lambda node: (
            may_target(plan, source, node)
            and self.scheduler.has_room_on(session_id, node.name)
            and (zone_filter is None or zone_filter(node))
        )
        self.handle(move, MoveEvent.OFFER_RECEIVED)
        return True

    def target_chosen(self, counterpart: PlaybackSession, node_name: str) -> None:
        """Records the node to which the policy sends the copy's set-up."""
        if move := self.moves_by_participant.get(counterpart):
            self.scheduler.set_target(move.session.id, node_name)

    def handle(self, move: Move, event: MoveEvent) -> None:
        """Applies an event to a move and carries out the resulting action."""
        previous_state = move.handover.state
        action = move.handover.handle(event)
        if move.handover.state is previous_state and action is MoveAction.NONE:
            return
        self.log.debug("move", playback=move.session.id, what=event.value, state=move.handover.state.value)
        self._perform(move, action)
        timer = move.handover.pending_timeout()
        if timer is not None and move.handover.state is not previous_state:
            self.coordinator.nursery.start_soon(self._run_timer, move, timer, move.handover.state)
        if move.handover.has_ended:
            self._close_move(move)

    async def _run_timer(self, move: Move, event: MoveEvent, state: MoveState) -> None:
        """Applies a timeout event to a move that is still in the state that set the timer."""
        await trio.sleep(TIMEOUTS_NS[event] / 1e9)
        await self.coordinator.submit(
            lambda: self.handle(move, event) if move.handover.state is state else None
        )

    def _perform(self, move: Move, action: MoveAction) -> None:
        """Carries out an action of the state machine."""
        session = move.session
        counterpart = move.counterpart
        coordinator = self.coordinator
        match action:
            case MoveAction.REQUEST_OFFER:
                coordinator.publish_event(session, "move", {"offer": f"/session/{session.id}/move"})
            case MoveAction.PLACE_TARGET if counterpart is not None:
                coordinator.request_placement(counterpart)
            case MoveAction.REJECT_OFFER if counterpart is not None:
                counterpart.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
            case MoveAction.ACCEPT_OFFER if counterpart is not None:
                counterpart.set_answer(FinalAnswer.PLAYS)
            case MoveAction.SWITCH_TO_TARGET if counterpart is not None:
                self._switch_to_target(move)
            case MoveAction.SWITCH_AND_ACCEPT_OFFER if counterpart is not None:
                self._switch_to_target(move)
                counterpart.set_answer(FinalAnswer.PLAYS)
            case MoveAction.END_SOURCE if counterpart is not None:
                self._switch_to_target(move)
                coordinator.end_session(counterpart)
            case MoveAction.END_TARGET if counterpart is not None:
                coordinator.end_session(counterpart)
            case MoveAction.END_TARGET_AND_REJECT_OFFER if counterpart is not None:
                counterpart.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                coordinator.end_session(counterpart)
            case MoveAction.END_ALL:
                if counterpart is not None:
                    counterpart.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                    coordinator.end_counterpart(counterpart)
            case MoveAction.REPORT_LOST:
                if counterpart is not None:
                    counterpart.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                coordinator.close_viewer_session(session)

    def _switch_to_target(self, move: Move) -> None:
        """Gives the player's session the target; the counterpart takes over what is left of the source."""
        session = move.session
        counterpart = move.counterpart
        assert counterpart is not None
        assert counterpart.upstream is not None
        session.playback, counterpart.playback = counterpart.playback, session.playback
        session.upstream, counterpart.upstream = counterpart.upstream, session.upstream
        session.resource = SessionResource(
            session.upstream.etag if session.upstream else "", counterpart.ufrag
        )
        session.ufrag = counterpart.ufrag
        session.rung_to_send = None
        self.coordinator.rebind(session)
        self.coordinator.rebind(counterpart)
        # The viewer may have requested a lower rung meanwhile.
        top_rung = min(session.playback.top_rung, counterpart.playback.top_rung)
        self.coordinator.set_rung_bound(session, max(session.playback.plan.floor, top_rung))
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.session_moved(session)
        self.coordinator.publish_event(session, "layers", {"encodingId": str(session.playback.rung)})

    def _close_move(self, move: Move) -> None:
        """Handles the end of a move, once."""
        if move.is_closed:
            return
        move.is_closed = True
        state = move.handover.state
        now = self.coordinator.clock.now()
        if self.coordinator.durable_state is not None and move.counterpart is not None:
            self.coordinator.durable_state.move_ended(move.session)
        self.moves.pop(move.session.id, None)
        for participant in (move.session, move.counterpart):
            if participant is not None:
                self.moves_by_participant.pop(participant, None)
        time_left = self.drain_notices.time_left(move.source_node, now)
        if time_left is None and move.source_node in self.degrading_nodes.leaving_since:
            time_left = DEFAULT_TIME_LEFT_NS
        is_retried = self.scheduler.finish(move.session.id, state is not MoveState.STAYED, now, time_left)
        if is_retried:
            self._wake_scheduler()
        self._log_end(move, is_retried, now)

    def _log_end(self, move: Move, is_retried: bool, now: int) -> None:
        """Logs the end of a move."""
        state = move.handover.state
        target_node = (
            move.session.playback.node.name
            if state is MoveState.DONE and move.session.playback.node
            else None
        )
        self.log.info(
            "moved",
            playback=move.session.id,
            source=move.source_node,
            target=target_node,
            end=state.value,
            again=is_retried,
            ms=(now - move.started_at) // MS,
            way=[visited.name for visited in move.handover.history],
        )

    # Ends of participants.

    def participant_ended(self, participant: PlaybackSession, was_lost: bool) -> bool:
        """Handles the end of a session in a move; returns whether the player's playback goes on.

        `was_lost` says that its node was lost, rather than that the session ended in order.
        """
        move = self.moves_by_participant.get(participant)
        if move is None:
            return False
        is_source = (participant is move.session) != (move.handover.state is MoveState.SWITCHED)
        if is_source:
            self.handle(move, MoveEvent.SOURCE_LOST if was_lost else MoveEvent.SOURCE_ENDED)
        else:
            self.handle(move, MoveEvent.TARGET_LOST)
        return participant is not move.session or move.handover.state is not MoveState.LOST

    def viewer_left(self, session: PlaybackSession) -> None:
        """Handles the end of a session by its viewer or by this front end."""
        self.scheduler.forget(session.id)
        if move := self.moves.get(session.id):
            self.handle(move, MoveEvent.VIEWER_LEFT)


def is_movable(session: PlaybackSession) -> bool:
    """Whether a player has declared support for moves: it reads events of that kind."""
    return any("move" in reader.kinds for reader in session.readers)
