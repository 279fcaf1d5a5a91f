"""The state of one front end that survives a restart.

Records promises (setup intents and playing sessions) in the state file as they are made, and restores them at startup.
The decisions are in `decisions/state/`: remembered, durable, recovery.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

import msgspec
import structlog
import trio

from oakcroft.choice import FAILURE_SCORE_HALF_LIFE_NS
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.recovery import (
    RecoveryAction,
    NodePenalty,
    RecoveryPhase,
    Recovery,
    SlotUsage,
    PromiseVerdict,
    NodeReport,
    proof_possible_at,
    recovery_action,
    restored_further_tries,
    judge_promise,
    apply_verdict,
)
from oakcroft.decisions.state.promise import (
    PromiseState,
    Promise,
    after_answer,
    after_failed_takeover,
    after_try,
    may_still_run,
    transition,
    unproven_try,
    needs_durable_intent,
)
from oakcroft.decisions.fleet.backoff import SESSION_END_RETRY
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.front.node_client import NodeClient, NodeEvent
from oakcroft.front.recovered_session import attach_to_node, resume_playback, session_from_promise
from oakcroft.front.protocols import Coordinator
from oakcroft.front.playback_session import UpstreamSession, PlaybackSession
from oakcroft.interface import MS, SECOND, Node, Outcome, Playback, PlaybackState
from oakcroft.store.file import (
    NamedValue,
    StateContents,
    MoveRecord,
    PutPromise,
    PutNodeList,
    ReplaceContents,
)
from oakcroft.store.changes import ALIVE_KEY, COMPLETE_KEY, LEARNED_KEYS_KEY
from oakcroft.store.writer import StateWriter


MIN_STORED_PENALTY = 0.1  # lower failure scores are not stored
CLAIM_TIMEOUT_NS = 15 * SECOND  # the same time as a client session waits for its client to reconnect
RECENT_FAILURE_NS = 60 * SECOND  # older failures are not stored
PROOF_RETRY_NS = 2 * SECOND  # between two questions to the node of a try that keeps a seat
# A node that proves nothing keeps the seat of a try for as long as one that does not confirm a session's end.
MAX_SEAT_HOLD_NS = SESSION_END_RETRY.give_up_after


class FrontEndState:
    """The promises of one front end, recorded in its state file, and their restore after a restart."""

    def __init__(
        self, store: StateWriter, coordinator: Coordinator, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """Connects to the store of the state file; `restore` loads what the file holds."""
        self.store = store
        self.coordinator = coordinator
        self.log = log
        self.promises: dict[str, Promise] = {}  # by the session's id
        self.unconfirmed: set[str] = set()  # ids of restored sessions that no node has confirmed yet
        # Restored intents of unknown outcome, and tries of this process that may still run, by the promise's id.
        self.uncertain: dict[str, PlaybackSession] = {}
        # Ids of those whose seat is counted here, as the policy has no playback for them.
        self.seats_held: set[str] = set()
        self.claim_timeout = CLAIM_TIMEOUT_NS
        # Ids of restored sessions of API clients, with the time until which a client may claim them.
        self.unclaimed_until: dict[str, int] = {}
        # When the node of an uncertain intent is asked again, by the session's id.
        self.proof_due_at: dict[str, int] = {}
        self.stored_penalties: dict[str, NodePenalty] = {}
        self.recovery = Recovery(store.retention_ns, coordinator.clock.now())
        self.alive_recorded_at = 0
        self.node_list: PutNodeList | None = None
        store.snapshot_memory = lambda: ReplaceContents(tuple(self.promises.values()), self.node_list)
        store.on_late_read = partial(self._restore_promises, late=True)

    # During service.

    def rejection(self, session: PlaybackSession) -> answers.Reply | None:
        """The reply to a request that may not begin; None if it may.

        A request whose intent must be recorded is rejected while nothing can be recorded, and aborted if nodes have told
        that its key was promised before the state file was lost.
        """
        if not needs_durable_intent(session.playback.plan):
            return None
        # While the state file cannot be read yet, it may hold a key learned from nodes as playing: the key would be
        # answered "aborted" now and "plays" later.
        if session.key in self.recovery.learned_keys and self.store.is_read:
            return answers.aborted_reply(session.playback.plan.effect)
        can_write = self.store.health.can_record(self.coordinator.clock.now())
        return (
            None
            if can_write and self.recovery.can_record(session.key)
            else answers.REFUSAL_REPLIES[answers.Refusal.UNRECORDED]
        )

    def is_learned_key(self, key: str) -> bool:
        """Whether nodes have told of this key, promised before this front end lost its state file."""
        return key in self.recovery.learned_keys

    async def record_intent(self, session: PlaybackSession, node: str, rung: int, deadline: int) -> bool:
        """Records the intent of a set-up before it is sent; False if that did not succeed by `deadline`."""
        if not needs_durable_intent(session.playback.plan):
            return True
        if session.final_answer is not None:  # its abandon time has just passed: no set-up is sent any more
            return False
        earlier = self.promises.get(session.id)
        promise = self._intent_promise(session, node, rung)
        self.promises[session.id] = transition(earlier, promise)
        with trio.move_on_at(self.coordinator.clock.trio_time(deadline)):
            if await self.store.write_durably(PutPromise(promise)):
                return True
        self.update_promise(replace(promise, mark=PromiseState.GONE))
        return False

    def update_promise(self, promise: Promise) -> None:
        """Stores a changed promise without waiting for the write."""
        earlier = self.promises.get(promise.id)
        if earlier is None and promise.mark is PromiseState.GONE:
            return
        if earlier is not None and earlier.mark is PromiseState.GONE:
            return
        if (
            earlier is not None
            and earlier.mark is PromiseState.ABORTED
            and promise.mark is PromiseState.PLAYS
        ):
            return  # a session that was taken over again after its end here: its key stays aborted
        transition(earlier, promise)
        if promise.mark is PromiseState.GONE:
            self.promises.pop(promise.id, None)
        else:
            self.promises[promise.id] = promise
        self.store.enqueue(PutPromise(promise))

    def try_ended(self, session: PlaybackSession, outcome: Outcome) -> None:
        """A setup try of a session has ended without success.

        A try that may still run keeps a seat until its end is proven, after a restart as well. If the request is tried
        again, the next try needs a seat of its own.
        """
        if session.playback.plan.seats and may_still_run(outcome):
            self._hold_seat_of_last_try(session)
        if (promise := self.promises.get(session.id)) is not None:
            updated = after_try(promise, outcome, self.coordinator.clock.now())
            if updated is not promise:
                self.update_promise(updated)

    def _hold_seat_of_last_try(self, session: PlaybackSession) -> None:
        """Keeps a seat for the last try of a session, until a report of its node proves its end."""
        request = session.playback
        if not request.tries:
            return
        node, sent_at = request.tries[-1]
        intent = replace(self._intent_promise(session, node.name, request.rung), sent_at=sent_at)
        promise = unproven_try(intent, len(request.tries))
        playback = Playback(request.title, request.plan, request.top_rung, request.abandon_at, False)
        self.uncertain[promise.id] = PlaybackSession(
            promise.id,
            session.path,
            session.plan,
            session.publishes,
            promise.key,
            "",
            "",
            session.deadline,
            playback,
        )
        self.seats_held.add(promise.id)
        request.title.seats_taken[request.plan] = request.title.seats_taken.get(request.plan, 0) + 1
        self.proof_due_at[promise.id] = proof_possible_at(promise)
        self.update_promise(promise)
        if node_client := self.coordinator.node_clients.get(node.name):
            events_path = node_client.events_path or f"/events/{self.coordinator.pseudonym}"
            self.coordinator.follow_events(node_client, events_path)

    def _release(self, held_session: PlaybackSession) -> None:
        """Releases an uncertain session, which is known to hold nothing."""
        if held_session.id in self.seats_held:
            self.seats_held.remove(held_session.id)
            held_session.playback.title.seats_taken[held_session.playback.plan] -= 1
        self.coordinator.release_unproven(held_session)

    def playing_promise(self, session: PlaybackSession) -> Promise | None:
        """The promise to record for a playing session, whether newly set up or moved to another node."""
        if session.upstream is None or session.playback.node is None:
            return None
        return self._promise_on_upstream(session, session.upstream)

    def _promise_on_upstream(self, session: PlaybackSession, upstream: UpstreamSession) -> Promise:
        """The promise for a session that plays as a session on a node."""
        promise = self._intent_promise(session, upstream.node, session.playback.rung)
        return replace(
            promise,
            mark=PromiseState.PLAYS,
            sent_at=session.playback.tries[-1][1] if session.playback.tries else promise.changed,
            resource=upstream.resource,
            events=upstream.events_path,
            layer=upstream.layer_path,
            tag=session.resource.etag if session.resource else upstream.etag,
            answer=upstream.sdp_answer,
        )

    def _intent_promise(self, session: PlaybackSession, node: str, rung: int) -> Promise:
        """The promise for an intent to set a session up on a node, now."""
        now = self.coordinator.clock.now()
        node_client = self.coordinator.node_clients.get(node)
        return Promise(
            session.id,
            session.key,
            session.fingerprint,
            session.path,
            session.playback.title.name,
            session.plan.name,
            session.playback.plan.effect.value,
            session.playback.plan.seats > 0,
            session.publishes,
            session.ufrag,
            session.playback.top_rung,
            session.token_name,
            session.deadline.written_at,
            session.deadline.abandon_at,
            PromiseState.INTENT,
            node,
            node_client.stream_health.process if node_client else "",
            now,
            rung=rung,
            changed=now,
            seated=session.in_client_session,
        )

    def must_record_answer(self, session: PlaybackSession) -> bool:
        """Whether the answer that a session plays must be recorded before it is given.

        Otherwise its key could be answered differently after a restart.
        """
        return needs_durable_intent(session.playback.plan) and session.copy_of is None

    async def record_playing(self, session: PlaybackSession) -> bool:
        """Records that a session plays; False if that did not succeed in time."""
        promise = self.playing_promise(session)
        # Already answered "may have run", which is final.
        if promise is None or session.final_answer is not None:
            return False
        self.promises[session.id] = transition(self.promises.get(session.id), promise)
        return await self.store.write_durably(PutPromise(promise))

    def answer_given(self, session: PlaybackSession, final: FinalAnswer) -> None:
        """Records the final answer of a session."""
        if session.copy_of is not None:
            return
        if final is FinalAnswer.PLAYS:
            promise = self.playing_promise(session)
            if promise is not None and (
                session.id not in self.promises or self.promises[session.id].mark is not PromiseState.PLAYS
            ):
                self.update_promise(promise)
        elif (earlier := self.promises.get(session.id)) is not None:
            self.update_promise(after_answer(earlier, final, self.coordinator.clock.now()))

    def session_moved(self, session: PlaybackSession) -> None:
        """Records that a session plays on another node than before."""
        promise = self.playing_promise(session)
        if promise is not None and session.id in self.promises:
            self.update_promise(promise)

    def session_ended(self, session: PlaybackSession) -> None:
        """Records that a session has ended.

        If the session must not repeat, its key is kept for as long as a viewer may repeat the request: after a restart
        the request is then aborted instead of being set up a second time.
        """
        promise = self.promises.get(session.id)
        if (
            session.final_answer is FinalAnswer.PLAYS
            and promise is not None
            and promise.mark is PromiseState.PLAYS
        ):
            mark = PromiseState.ABORTED if promise.must_not_repeat else PromiseState.GONE
            self.update_promise(replace(promise, mark=mark, answer="", changed=self.coordinator.clock.now()))

    def move_started(self, session: PlaybackSession, copy: PlaybackSession) -> None:
        """Records that a move may set up a copy of a session from now on."""
        self.store.enqueue(MoveRecord(session.id, copy.key, self.coordinator.clock.now()))

    def move_ended(self, session: PlaybackSession) -> None:
        """Records that the move of a session has ended."""
        self.store.enqueue(MoveRecord(session.id, "", 0))

    def node_list_changed(self, listed_nodes: Iterable[ListedNode], version: int, service: str) -> None:
        """Stores a changed node list."""
        self.node_list = PutNodeList(tuple(listed_nodes), version, service, self.coordinator.clock.now())
        self.store.enqueue(self.node_list)

    def setup_sent(self, node: Node) -> None:
        """Stores how much of its cold slot a node has used, while the node may be cold."""
        now = self.coordinator.clock.now()
        if now - max(node.started_at, node.failed_at) < self.coordinator.site.terms.cold_duration_ns:
            self.store.enqueue(
                SlotUsage(node.name, node.started_at, node.cold_slot, node.cold_slot_setups, now)
            )

    def maintain(self) -> None:
        """Runs periodic work.

        Stores changed failure scores of nodes, asks nodes again that can now prove what became of uncertain intents, and
        ends restored sessions that no client has claimed.
        """
        now = self.coordinator.clock.now()
        if now - self.alive_recorded_at >= SECOND:
            self.alive_recorded_at = now
            self.store.enqueue(NamedValue(ALIVE_KEY, str(now).encode()))
            self.stored_penalties = {
                name: penalty
                for name, penalty in self.stored_penalties.items()
                if name in self.coordinator.node_list.nodes
            }
            for node in self.coordinator.node_list.nodes.values():
                score = node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS)
                penalty = NodePenalty(node.name, round(score, 2), now, node.failed_at)
                stored = self.stored_penalties.get(node.name)
                is_significant = score > MIN_STORED_PENALTY or now - node.failed_at < RECENT_FAILURE_NS
                if (is_significant or stored is not None) and (
                    stored is None or (stored.score, stored.failed_at) != (penalty.score, node.failed_at)
                ):
                    self.stored_penalties[node.name] = penalty
                    self.store.enqueue(penalty)
                    if not is_significant:
                        del self.stored_penalties[node.name]
            for expired_id in [
                session_id
                for session_id, promise in self.promises.items()
                if promise.mark is PromiseState.ABORTED and now - promise.changed > self.store.retention_ns
            ]:
                del self.promises[expired_id]  # the store expires its copy on its own
        for expired_id, due_at in list(self.proof_due_at.items()):
            if now >= due_at and expired_id in self.uncertain:
                self._ask_for_proof(expired_id, now)
        for expired_id in [session_id for session_id, until in self.unclaimed_until.items() if now > until]:
            del self.unclaimed_until[expired_id]
            if (unclaimed := self.coordinator.sessions_by_id.get(expired_id)) is not None:
                self.log.info("restored session not claimed", playback=expired_id)
                self.coordinator.close_viewer_session(unclaimed)
                self.coordinator.end_session(unclaimed)
        if (
            self.recovery.phase is RecoveryPhase.STATE_LOST
            and self.recovery.check(now) is RecoveryPhase.SERVING
        ):
            self._record_complete_state()

    def _ask_for_proof(self, promise_id: str, now: int) -> None:
        """Asks the node of an uncertain intent what became of it, as its report can prove that now.

        The node of a try that keeps a seat is asked again until it has proven the try's end, for a limited time: a
        node that stays silent must not hold the seat without end.
        """
        del self.proof_due_at[promise_id]
        promise = self.promises[promise_id]
        if promise.is_unproven_try:
            if now - proof_possible_at(promise) > MAX_SEAT_HOLD_NS:
                self._resolve_as_run(promise_id)
                return
            self.proof_due_at[promise_id] = now + PROOF_RETRY_NS
        if node_client := self.coordinator.node_clients.get(promise.node):
            node_client.reopen_stream()

    def _resolve_as_run(self, promise_id: str) -> None:
        """Resolves an uncertain intent as one that has run and is over."""
        self.proof_due_at.pop(promise_id, None)
        self._release(self.uncertain.pop(promise_id))
        promise = self.promises[promise_id]
        self.update_promise(apply_verdict(promise, PromiseVerdict.RAN, self.coordinator.clock.now()))

    # Takeover of sessions of failed front ends.

    def takeover_started(self, session: PlaybackSession, upstream: UpstreamSession) -> Promise | None:
        """Returns the promise that must be recorded before a node hands a session over; None where none must be.

        `upstream` is the session on the node, as it will be after the hand-over. A session of which there is a record
        already keeps that record, and while the state file has not been read yet it may hold one: nothing is recorded
        before the hand-over in either case.
        """
        if not needs_durable_intent(session.playback.plan):
            return None
        if session.id in self.promises or not self.store.is_read:
            return None
        promise = transition(None, self._promise_on_upstream(session, upstream))
        self.promises[promise.id] = promise
        return promise

    async def record_takeovers(self, promises: Iterable[Promise]) -> None:
        """Records sessions that are to be taken over, all at the same time; the wait is bounded.

        Returns also where that did not succeed: their viewers play, so they are taken over all the same.
        """
        async with trio.open_nursery() as nursery:
            for promise in promises:
                nursery.start_soon(self._record_takeover, promise)

    async def _record_takeover(self, promise: Promise) -> None:
        """Records a session that is to be taken over, or leaves its record to a later commit."""
        if not await self.store.write_durably(PutPromise(promise)):
            self.log.warning("answer not on record", playback=promise.id, plan=promise.plan)
            self.store.enqueue(PutPromise(promise))

    def takeover_failed(self, promise: Promise, was_refused: bool) -> None:
        """Withdraws the record of a session that was not handed over (`was_refused`) or has ended meanwhile."""
        now = self.coordinator.clock.now()
        updated = after_failed_takeover(promise, was_refused, now)
        self.update_promise(updated)
        if updated.mark is PromiseState.ABORTED:
            self._restore_aborted_key(updated, now)

    # Startup.

    def restore(self, stored: StateContents | None) -> None:
        """Restores what the state file holds; if it was lost, asks the nodes what this front end has promised."""
        now = self.coordinator.clock.now()
        if stored is not None:
            self._restore_promises(stored)
        was_found = stored is not None and self.store.was_complete
        if stored is not None and LEARNED_KEYS_KEY in stored.named_values:
            at, keys = msgspec.msgpack.decode(
                stored.named_values[LEARNED_KEYS_KEY], type=tuple[int, list[str]]
            )
            if now - at <= self.store.retention_ns:
                self.recovery.learned_keys |= set(keys)
        phase = self.recovery.state_read(was_found, self.coordinator.node_list.listed_nodes, now)
        if phase is RecoveryPhase.STATE_LOST:
            self.log.warning(
                "state lost",
                nodes=len(self.recovery.unanswered_nodes),
                keep_s=self.store.retention_ns // SECOND,
            )
            self._ask_unanswered_nodes()

    def _ask_unanswered_nodes(self) -> None:
        for name in sorted(self.recovery.unanswered_nodes):
            if node_client := self.coordinator.node_clients.get(name):
                self.coordinator.follow_events(node_client, f"/events/{self.coordinator.pseudonym}")

    def nodes_listed(self, listed_nodes: Iterable[ListedNode]) -> None:
        """Asks the nodes that the first node list after startup adds, if the state file was lost."""
        if self.recovery.phase is RecoveryPhase.STATE_LOST or not self.recovery.has_node_list:
            self.recovery.nodes_listed([node.name for node in listed_nodes])
            if self.recovery.phase is RecoveryPhase.STATE_LOST:
                self._ask_unanswered_nodes()

    def _restore_promises(self, stored: StateContents, late: bool = False) -> None:
        """Restores the promises of the previous run: resumes, holds, remembers or ends each.

        `late`: the file became readable during service; promises whose keys are known by then are skipped.
        """
        coordinator = self.coordinator
        now = self.coordinator.clock.now()
        counts: dict[str, int] = {}
        copies = {record.new_playback for record in stored.moves}
        known_keys = {kept_promise.key for kept_promise in self.promises.values()}
        for promise in stored.promises:
            if late and promise.key in known_keys:
                continue
            plan = coordinator.site.plans.get(promise.plan)
            action = recovery_action(
                promise,
                promise.node in coordinator.node_list.nodes,
                plan is not None,
                self.store.retention_ns,
                now,
            )
            if action in (RecoveryAction.ADOPT, RecoveryAction.HOLD) and not self._restore_playback(
                promise, action, now
            ):
                action = RecoveryAction.END if promise.mark is PromiseState.PLAYS else RecoveryAction.REMEMBER
            counts[action.name.lower()] = counts.get(action.name.lower(), 0) + 1
            if action is RecoveryAction.END:
                self._end_session(promise)
            if action is RecoveryAction.FORGET or (
                action is RecoveryAction.END and not promise.must_not_repeat
            ):
                self.store.enqueue(PutPromise(replace(promise, mark=PromiseState.GONE)))
            elif action in (RecoveryAction.REMEMBER, RecoveryAction.END):
                aborted = replace(
                    promise,
                    mark=PromiseState.ABORTED,
                    changed=max(promise.changed, now - self.store.retention_ns),
                )
                self.promises[promise.id] = aborted
                self.store.enqueue(PutPromise(aborted))
                self._restore_aborted_key(aborted, now)
        for penalty in stored.node_penalties:
            if (node := coordinator.node_list.nodes.get(penalty.node)) is not None:
                node.failure_score.add(penalty.score, penalty.recorded_at, FAILURE_SCORE_HALF_LIFE_NS)
                node.failed_at = max(node.failed_at, penalty.failed_at)
        oldest_counted = now - 2 * coordinator.site.terms.overload_window_ns
        nodes_with_used_slot = [
            coordinator.node_list.nodes[usage.node]
            for usage in stored.slot_usage
            if usage.node in coordinator.node_list.nodes and usage.recorded_at >= oldest_counted
        ]
        alive_at = int(stored.named_values.get(ALIVE_KEY, b"0"))
        terms = coordinator.site.terms
        coordinator.policy.on_history_restored(
            restored_further_tries(alive_at, terms.retry_budget_base, terms.retry_budget_window_ns, now),
            nodes_with_used_slot,
            now,
        )
        for move in stored.moves:
            self.store.enqueue(MoveRecord(move.playback, "", 0))
        self.log.info(
            "state taken on",
            promises=len(stored.promises),
            moves=len(copies),
            away_ms=(now - alive_at) // MS,
            late=late,
            spent=len(nodes_with_used_slot),
            **counts,
        )

    def _restore_playback(self, promise: Promise, action: RecoveryAction, now: int) -> bool:
        """Restores a promise as a playback of the decision module, which then counts its seat and load.

        False if its node is gone or its title or plan is not served.
        """
        coordinator = self.coordinator
        node = coordinator.node_list.nodes.get(promise.node)
        node_client = coordinator.node_clients.get(promise.node)
        session = session_from_promise(coordinator, promise)
        if node is None or node_client is None or session is None:
            return False
        self.promises[promise.id] = promise
        resume_playback(coordinator, session, node)
        if action is RecoveryAction.HOLD:
            session.final_answer = FinalAnswer.ABORTED
            session.is_ending = True
            coordinator.policy.on_viewer_left(session.playback, now)
            self.uncertain[session.id] = session
            self.proof_due_at[session.id] = proof_possible_at(promise)
            if promise.must_not_repeat:
                self._restore_aborted_key(promise, now)
        else:
            upstream = UpstreamSession(
                promise.node, promise.resource, promise.events, promise.layer, promise.tag, promise.answer
            )
            attach_to_node(coordinator, session, node_client, upstream)
            self.unconfirmed.add(session.id)
            if promise.seated:
                self.unclaimed_until[session.id] = now + self.claim_timeout
            coordinator.idempotency_store.restore(
                session.key, session.fingerprint, promise.must_not_repeat, FinalAnswer.PLAYS, session, now
            )
        coordinator.follow_events(node_client, promise.events or f"/events/{coordinator.pseudonym}")
        return True

    def _restore_aborted_key(self, promise: Promise, now: int) -> None:
        """Makes repeated requests with the key of a promise that may have run abort."""
        session = session_from_promise(self.coordinator, promise)
        plan = self.coordinator.site.plans.get(promise.plan)
        if session is None or plan is None:
            return
        session.set_answer(FinalAnswer.ABORTED, answers.aborted_reply(plan.plan.effect))
        self.coordinator.idempotency_store.restore(
            session.key, session.fingerprint, True, FinalAnswer.ABORTED, session, now
        )

    def _end_session(self, promise: Promise) -> None:
        node_client = self.coordinator.node_clients.get(promise.node)
        if node_client is not None and promise.resource:
            self.coordinator.nursery.start_soon(node_client.end_session, promise.resource)

    # Reports from nodes.

    def node_state_received(self, node_client: NodeClient, hello: NodeEvent, requested_at: int) -> None:
        """Handles a node's report of this front end's sessions that it runs and the keys that it has run."""
        now = self.coordinator.clock.now()
        running = dict(zip(hello.sessions, hello.keys, strict=False))
        for resource in hello.sessions:
            if held_session := self.coordinator.sessions_by_upstream.get((node_client.name, resource)):
                self.unconfirmed.discard(held_session.id)
        # A viewer may have set a key up again on this node: its new session is not the one that is asked for.
        unclaimed = {
            resource: key
            for resource, key in running.items()
            if (node_client.name, resource) not in self.coordinator.sessions_by_upstream
        }
        report = NodeReport(
            hello.process,
            unclaimed,
            frozenset(hello.ran),
            hello.up_ms * MS,
            hello.remembers_ms * MS,
            requested_at,
            now,
        )
        for session_id, held_session in list(self.uncertain.items()):
            promise = self.promises[session_id]
            if promise.node != node_client.name:
                continue
            verdict = judge_promise(promise, report)
            if verdict is PromiseVerdict.UNPROVEN:
                continue
            if (
                verdict is PromiseVerdict.RUNNING
                and promise.is_unproven_try
                and self._is_being_set_up(promise.node_key)
            ):
                continue  # the node is asked again
            running_resource = next(
                (running_path for running_path, key in unclaimed.items() if key == promise.node_key), None
            )
            self.log.info(
                "promise resolved", playback=session_id, node=node_client.name, verdict=verdict.name.lower()
            )
            abort_replayed = (
                verdict is PromiseVerdict.NEVER_RAN
                and not self.coordinator.idempotency_store.forget(held_session.key)
            )
            updated = apply_verdict(promise, verdict, now, abort_replayed)
            self.uncertain.pop(session_id)
            self.proof_due_at.pop(session_id, None)
            if verdict is PromiseVerdict.RUNNING and running_resource is not None:
                del unclaimed[running_resource]  # another try with this key has a session of its own
                self.coordinator.nursery.start_soon(
                    self._end_and_release, node_client, running_resource, held_session
                )
            else:
                self._release(held_session)
            if updated is not promise:
                self.update_promise(updated)
        if (
            self.recovery.phase is RecoveryPhase.STATE_LOST
            and self.recovery.report_received(node_client.name, report, now) is RecoveryPhase.SERVING
        ):
            self._record_complete_state()

    def _is_being_set_up(self, key: str) -> bool:
        """Whether a set-up with this key is out, whose session a node may report before its answer has arrived."""
        return any(
            session.key == key and session.playback.state is PlaybackState.SETTING_UP
            for session in self.coordinator.sessions_by_playback.values()
        )

    def session_claimed(self, session: PlaybackSession) -> None:
        """A client has requested a restored session again."""
        self.unclaimed_until.pop(session.id, None)

    def ended_while_away(self, session: PlaybackSession) -> bool:
        """Whether a session ended while this front end was not running.

        Such an end is not the node's fault: a thousand of them, counted as resets, would exclude a healthy node for most
        of a minute.
        """
        if session.id not in self.unconfirmed:
            return False
        self.unconfirmed.discard(session.id)
        return True

    def _record_complete_state(self) -> None:
        """Records that the state file is complete again, together with the keys learned from nodes."""
        learned = msgspec.msgpack.encode((self.coordinator.clock.now(), sorted(self.recovery.learned_keys)))
        self.store.enqueue(NamedValue(LEARNED_KEYS_KEY, learned))
        self.store.enqueue(NamedValue(COMPLETE_KEY, b"1"))
        self.log.warning("state whole again", learnt=len(self.recovery.learned_keys))

    async def _end_and_release(
        self, node_client: NodeClient, resource: str, held_session: PlaybackSession
    ) -> None:
        await node_client.end_session(resource)
        await self.coordinator.submit(partial(self._release, held_session))

    def node_lost(self, node_name: str, is_proven: bool) -> None:
        """Handles a lost node: if the loss is proven, resolves its uncertain intents as having run."""
        if not is_proven:
            return
        for session_id in list(self.uncertain):
            if self.promises[session_id].node == node_name:
                self._resolve_as_run(session_id)
        if self.recovery.phase is RecoveryPhase.STATE_LOST:
            self.recovery.report_received(node_name, None, self.coordinator.clock.now())
