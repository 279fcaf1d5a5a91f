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
    next_attempt_at,
)
from oakcroft.decisions.moving.drain_notice import DrainNotices
from oakcroft.decisions.sessions.session_resource import SessionResource
from oakcroft.front.protocols import Coordinator
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.interface import SECOND, NodeEntry, NodeStatus, Node, PlaybackState

STAY_REPLY = Reply(
    503, "urn:oakcroft:problem:stay", "No other place was found: stay where you are", None, False
)
NodeFilter = Callable[[Node], bool]
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
        self.coordinator, self.rng, self.log = coordinator, rng, log
        self.scheduler = MoveScheduler(MoveLimits(), rng)
        self.drain_notices, self.degrading_nodes = DrainNotices(expected_notice_ns), DegradingNodes()
        self.moves: dict[str, Move] = {}  # by session id
        self.moves_by_participant: dict[PlaybackSession, Move] = {}
        self.schedule_changed = trio.Event()
        self.is_paused = False

    # Causes of moves.

    def on_node_list(self, entries: list[NodeEntry], drain_ends: dict[str, int | None], now: int) -> None:
        """Handles changes of the node list; `drain_ends` has the stated end of each drain by node."""
        for e in entries:
            name = e.node.name
            if e.status is NodeStatus.DRAINING:
                if self.drain_notices.start_drain(name, now, drain_ends.get(name)):
                    self.degrading_nodes.forget(name)
                    self._plan_moves_from(name, MoveReason.DRAIN, now)
                for move in [m for m in self.moves.values() if self._target_name(m) == name]:
                    self.handle(move, MoveEvent.TARGET_DRAINING)
            elif e.status is NodeStatus.READY:
                if self.drain_notices.cancel_drain(name):
                    self._cancel_moves_from(name)
            else:
                self.drain_notices.node_gone(name, now)
                self.degrading_nodes.forget(name)

    def on_delivered_share(self, node_name: str, share: float, fleet_share: float, now: int) -> None:
        """Handles a node's reported share of delivery; `fleet_share` is the mean of the other nodes."""
        if node_name in self.coordinator.node_list.removed_at:
            return  # its reports no longer count
        was = node_name in self.degrading_nodes.leaving_since
        if self.degrading_nodes.report(node_name, share, fleet_share, now):
            self.log.info(
                "mode", change=f"node {node_name} fades: {share:.2f} delivered, {fleet_share:.2f} elsewhere"
            )
            self._plan_moves_from(node_name, MoveReason.DEGRADING, now)
        elif (
            was
            and node_name not in self.degrading_nodes.leaving_since
            and node_name not in self.drain_notices.drains
        ):
            self._cancel_moves_from(node_name)

    def _plan_moves_from(self, node_name: str, reason: MoveReason, now: int) -> None:
        """Plans the moves away from a node."""
        node = self.coordinator.node_list.nodes.get(node_name)
        playing = (
            [
                self.coordinator.sessions_by_playback[pb]
                for pb in node.playbacks
                if pb in self.coordinator.sessions_by_playback
            ]
            if node
            else []
        )
        some, rest = [], 0
        for v in playing:
            if v.copy_of is not None or v.is_ending or v.id not in self.coordinator.sessions_by_id:
                continue
            if (
                reason_to_stay(
                    v.playback.plan,
                    v.playback.tries[0][1],
                    now,
                    TIMEOUTS_NS[MoveEvent.OFFER_TIMEOUT],
                    is_movable(v),
                )
                is not None
            ):
                rest += 1
                continue
            worth = v.playback.plan.revenue * self.coordinator.site.terms.rung_revenue_shares[v.playback.rung]
            some.append((v.id, worth))
        notice = self.drain_notices.time_left(node_name, now)
        planned = self.scheduler.plan_node(
            node_name, some, 5 * SECOND if notice is None else notice, reason, now
        )
        self.log.info("leaving node", node=node_name, why=reason.value, moves=planned, stay=rest,
                      notice_ms=None if notice is None else notice // 1_000_000)  # fmt: skip
        self._wake_scheduler()

    def _cancel_moves_from(self, node_name: str) -> None:
        """Cancels the moves away from a node that is usable again."""
        for key in self.scheduler.cancel_node(node_name):
            if key in self.moves:
                self.handle(self.moves[key], MoveEvent.CANCELLED)

    @staticmethod
    def _target_name(move: Move) -> str:
        """Name of the node that a move goes to, empty before it is chosen."""
        at = move.session if move.handover.state is MoveState.SWITCHED else move.counterpart
        node = at.playback.node if at is not None else None
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
            due = self.scheduler.next_due_at(now)
            if self.is_paused:  # moves wait at this level of service
                await trio.sleep(0.25)
                continue
            if due is not None and due <= now:
                await self.coordinator.submit(self._start_due_moves)
                await trio.sleep(0.02)
                continue
            wake = self.schedule_changed
            with trio.move_on_after(3600 if due is None else (due - now) / 1e9):
                await wake.wait()

    def _start_due_moves(self) -> None:
        """Starts the moves that are due now."""
        now = self.coordinator.clock.now()
        for wish in self.scheduler.start_due(now, self.scheduler.limits.max_concurrent):
            v = self.coordinator.sessions_by_id.get(wish.key)
            left = self.drain_notices.time_left(wish.node, now)
            if v is None or v.is_ending or v.playback.state is not PlaybackState.PLAYING:
                self.scheduler.forget(wish.key)
                continue
            if (
                reason_to_stay(v.playback.plan, v.playback.tries[0][1], now, OFFER_TIMEOUT_NS, is_movable(v))
                is not None
            ):
                self.scheduler.forget(wish.key)
                continue
            taken = v.playback.title.seats_taken.get(v.playback.plan, 0)
            how = move_method(
                v.playback.plan,
                taken,
                60 * SECOND if left is None else left,
                self.scheduler.limits.move_duration,
            )
            if how is MoveMethod.MAKE_BEFORE_BREAK:
                move = Move(v, Handover(), wish.node, started_at=now)
                self.moves[v.id] = self.moves_by_participant[v] = move
                self.handle(move, MoveEvent.DUE)
            elif how is MoveMethod.WAIT_FOR_SEAT:
                wish.in_progress, wish.attempts, wish.due_at = (
                    False,
                    wish.attempts - 1,
                    next_attempt_at(how, now, self.rng),
                )
            else:
                self.log.info("move breaks first", playback=v.id, node=wish.node)
                self.scheduler.forget(wish.key)
                self.coordinator.break_before_make(v)

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
        move.counterpart, counterpart.copy_of = counterpart, move.session
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.move_started(move.session, counterpart)
        self.moves_by_participant[counterpart] = move
        counterpart.playback.copy_of, counterpart.playback.comes_from_move = move.session.playback, True
        source, plan, key = move.session.playback.node, move.session.playback.plan, move.session.id
        chosen = node_filter(counterpart, not is_confined_to_zone(plan))
        counterpart.playback.node_filter = lambda n: (
            may_target(plan, source, n)
            and self.scheduler.has_room_on(key, n.name)
            and (chosen is None or chosen(n))
        )
        self.handle(move, MoveEvent.OFFER_RECEIVED)
        return True

    def target_chosen(self, counterpart: PlaybackSession, node_name: str) -> None:
        """Records the node to which the policy sends the copy's set-up."""
        if move := self.moves_by_participant.get(counterpart):
            self.scheduler.set_target(move.session.id, node_name)

    def handle(self, move: Move, event: MoveEvent) -> None:
        """Applies an event to a move and carries out the resulting action."""
        before = move.handover.state
        act = move.handover.handle(event)
        if move.handover.state is before and act is MoveAction.NONE:
            return
        self.log.debug("move", playback=move.session.id, what=event.value, state=move.handover.state.value)
        self._perform(move, act)
        timer = move.handover.pending_timeout()
        if timer is not None and move.handover.state is not before:
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
        v, other, helm = move.session, move.counterpart, self.coordinator
        match action:
            case MoveAction.REQUEST_OFFER:
                helm.publish_event(v, "move", {"offer": f"/session/{v.id}/move"})
            case MoveAction.PLACE_TARGET if other is not None:
                helm.request_placement(other)
            case MoveAction.REJECT_OFFER if other is not None:
                other.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
            case MoveAction.ACCEPT_OFFER if other is not None:
                other.set_answer(FinalAnswer.PLAYS)
            case MoveAction.SWITCH_TO_TARGET if other is not None:
                self._switch_to_target(move)
            case MoveAction.SWITCH_AND_ACCEPT_OFFER if other is not None:
                self._switch_to_target(move)
                other.set_answer(FinalAnswer.PLAYS)
            case MoveAction.END_SOURCE if other is not None:
                self._switch_to_target(move)
                helm.end_session(other)
            case MoveAction.END_TARGET if other is not None:
                helm.end_session(other)
            case MoveAction.END_TARGET_AND_REJECT_OFFER if other is not None:
                other.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                helm.end_session(other)
            case MoveAction.END_ALL:
                if other is not None:
                    other.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                    helm.end_counterpart(other)
            case MoveAction.REPORT_LOST:
                if other is not None:
                    other.set_answer(FinalAnswer.REJECTED, STAY_REPLY)
                helm.close_viewer_session(v)

    def _switch_to_target(self, move: Move) -> None:
        """Gives the player's session the target; the counterpart takes over what is left of the source."""
        v, other = move.session, move.counterpart
        assert other is not None
        assert other.upstream is not None
        v.playback, other.playback = other.playback, v.playback
        v.upstream, other.upstream = other.upstream, v.upstream
        v.resource = SessionResource(v.upstream.etag if v.upstream else "", other.ufrag)
        v.ufrag, v.rung_to_send = other.ufrag, None
        self.coordinator.rebind(v)
        self.coordinator.rebind(other)
        self.coordinator.set_rung_bound(
            v, max(v.playback.plan.floor, min(v.playback.top_rung, other.playback.top_rung))
        )  # its viewer may have requested a lower rung meanwhile
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.session_moved(v)
        self.coordinator.publish_event(v, "layers", {"encodingId": str(v.playback.rung)})

    def _close_move(self, move: Move) -> None:
        """Handles the end of a move, once."""
        if move.is_closed:
            return
        move.is_closed = True
        state, now = move.handover.state, self.coordinator.clock.now()
        if self.coordinator.durable_state is not None and move.counterpart is not None:
            self.coordinator.durable_state.move_ended(move.session)
        self.moves.pop(move.session.id, None)
        for part in (move.session, move.counterpart):
            if part is not None:
                self.moves_by_participant.pop(part, None)
        left = self.drain_notices.time_left(move.source_node, now)
        if left is None and move.source_node in self.degrading_nodes.leaving_since:
            left = 5 * SECOND
        again = self.scheduler.finish(move.session.id, state is not MoveState.STAYED, now, left)
        if again:
            self._wake_scheduler()
        target = (
            move.session.playback.node.name
            if state is MoveState.DONE and move.session.playback.node
            else None
        )
        self.log.info(
            "moved",
            playback=move.session.id,
            source=move.source_node,
            target=target,
            end=state.value,
            again=again,
            ms=(now - move.started_at) // 1_000_000,
            way=[c.name for c in move.handover.history],
        )

    # Ends of participants.

    def participant_ended(self, participant: PlaybackSession, was_lost: bool) -> bool:
        """Handles the end of a session in a move; returns True when the player's playback goes on all the
        same.

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
