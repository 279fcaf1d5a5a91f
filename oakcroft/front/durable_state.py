"""The state of one front end that survives a restart.

Records promises (setup intents and playing sessions) in the state file as they are made, and restores them at startup.
The decisions are in `decisions/state/`: which promises must be recorded, how they change, and what the reports of nodes
prove about them after a restart.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

import msgspec
import structlog
import trio

from oakcroft.choice import FAILURE_SCORE_HALF_LIFE_NS
from oakcroft.decisions.fleet.node_list import ListedNode
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.promise import (
    PromiseState,
    Promise,
    after_answer,
    after_failed_takeover,
    after_try,
    may_still_run,
    needs_durable_intent,
)
from oakcroft.decisions.state.recovery import (
    NodePenalty,
    NodeReport,
    Recovery,
    RecoveryPhase,
    SlotUsage,
)
from oakcroft.front.node_client import NodeClient, NodeEvent
from oakcroft.front.playback_session import UpstreamSession, PlaybackSession
from oakcroft.front.promise_records import (
    PromiseRecords,
    intent_promise,
    playing_promise,
    promise_on_upstream,
)
from oakcroft.front.protocols import Coordinator
from oakcroft.front.recovered_session import restore_aborted_key
from oakcroft.front.state_restoration import StateRestoration
from oakcroft.front.uncertain_intents import UncertainIntents
from oakcroft.front.unconfirmed_ends import UnconfirmedEnds
from oakcroft.interface import MS, SECOND, Node, Outcome, Playback
from oakcroft.store.changes import (
    ALIVE_KEY,
    COMPLETE_KEY,
    LEARNED_KEYS_KEY,
    MoveRecord,
    NamedValue,
    PutNodeList,
    PutPromise,
    ReplaceContents,
    StateContents,
)
from oakcroft.store.writer import StateWriter


MIN_STORED_PENALTY = 0.1  # lower failure scores are not stored
RECENT_FAILURE_NS = 60 * SECOND  # older failures are not stored
RECORD_INTERVAL_NS = SECOND  # between two records of the time and of failure scores


class FrontEndState:
    """The promises of one front end, recorded in its state file, and their restore after a restart."""

    def __init__(
        self, store: StateWriter, coordinator: Coordinator, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """Connects to the store of the state file; `restore` loads what the file holds."""
        self.store = store
        self.coordinator = coordinator
        self.log = log
        self.records = PromiseRecords(store)
        self.uncertain = UncertainIntents(coordinator, self.records, log)
        self.restoration = StateRestoration(store, coordinator, self.records, self.uncertain, log)
        self.unconfirmed_ends = UnconfirmedEnds(coordinator, self.records)
        self.stored_penalties: dict[str, NodePenalty] = {}
        self.recovery = Recovery(store.retention_ns, coordinator.clock.now())
        self.alive_recorded_at = 0
        self.node_list: PutNodeList | None = None
        store.snapshot_memory = lambda: ReplaceContents(tuple(self.promises.values()), self.node_list)
        store.on_late_read = partial(self.restoration.restore_contents, late=True)

    @property
    def promises(self) -> dict[str, Promise]:
        """The promises in memory, by the session's id."""
        return self.records.by_id

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
        promise = intent_promise(self.coordinator, session, node, rung)
        self.records.put(promise)
        with trio.move_on_at(self.coordinator.clock.trio_time(deadline)):
            if await self.store.write_durably(PutPromise(promise)):
                return True
        self.update_promise(replace(promise, mark=PromiseState.GONE))
        return False

    def update_promise(self, promise: Promise) -> None:
        """Stores a changed promise without waiting for the write."""
        self.records.update(promise)

    def try_ended(self, session: PlaybackSession, outcome: Outcome) -> None:
        """A setup try of a session has ended without success.

        A try that may still run keeps a seat until its end is proven, after a restart as well. If the request is tried
        again, the next try needs a seat of its own.
        """
        if session.playback.plan.seats and may_still_run(outcome):
            self.uncertain.hold_seat_of_last_try(session)
        if (promise := self.promises.get(session.id)) is not None:
            updated = after_try(promise, outcome, self.coordinator.clock.now())
            if updated is not promise:
                self.update_promise(updated)

    def must_record_answer(self, session: PlaybackSession) -> bool:
        """Whether the answer that a session plays must be recorded before it is given.

        Otherwise its key could be answered differently after a restart.
        """
        return needs_durable_intent(session.playback.plan) and session.copy_of is None

    async def record_playing(self, session: PlaybackSession) -> bool:
        """Records that a session plays; False if that did not succeed in time."""
        promise = playing_promise(self.coordinator, session)
        # Already answered "may have run", which is final.
        if promise is None or session.final_answer is not None:
            return False
        self.records.put(promise)
        return await self.store.write_durably(PutPromise(promise))

    def answer_given(self, session: PlaybackSession, final: FinalAnswer) -> None:
        """Records the final answer of a session."""
        if session.copy_of is not None:
            return
        if final is FinalAnswer.PLAYS:
            promise = playing_promise(self.coordinator, session)
            if promise is not None and (
                session.id not in self.promises or self.promises[session.id].mark is not PromiseState.PLAYS
            ):
                self.update_promise(promise)
        elif (earlier := self.promises.get(session.id)) is not None:
            self.unconfirmed_ends.hold_seat(session)
            self.update_promise(after_answer(earlier, final, self.coordinator.clock.now()))

    def session_moved(self, session: PlaybackSession) -> None:
        """Records that a session plays on another node than before."""
        promise = playing_promise(self.coordinator, session)
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
            self.unconfirmed_ends.hold_seat(session)
            mark = PromiseState.ABORTED if promise.must_not_repeat else PromiseState.GONE
            self.update_promise(replace(promise, mark=mark, answer="", changed=self.coordinator.clock.now()))

    def seat_released(self, playback: Playback) -> None:
        """The policy counts the seat of a playback no more."""
        self.unconfirmed_ends.release(playback)

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
        if now - self.alive_recorded_at >= RECORD_INTERVAL_NS:
            self.alive_recorded_at = now
            self.store.enqueue(NamedValue(ALIVE_KEY, str(now).encode()))
            self._record_penalties(now)
            self.records.drop_expired(now)
        self.uncertain.ask_nodes(now)
        self.restoration.end_unclaimed(now)
        if (
            self.recovery.phase is RecoveryPhase.STATE_LOST
            and self.recovery.check(now) is RecoveryPhase.SERVING
        ):
            self._record_complete_state()

    def _record_penalties(self, now: int) -> None:
        """Stores the failure scores of nodes that have changed."""
        nodes = self.coordinator.node_list.nodes
        self.stored_penalties = {
            name: penalty for name, penalty in self.stored_penalties.items() if name in nodes
        }
        for node in nodes.values():
            self._record_penalty(node, now)

    def _record_penalty(self, node: Node, now: int) -> None:
        """Stores a node's failure score if it has changed and is, or was until now, significant."""
        score = node.failure_score.read(now, FAILURE_SCORE_HALF_LIFE_NS)
        penalty = NodePenalty(node.name, round(score, 2), now, node.failed_at)
        stored = self.stored_penalties.get(node.name)
        is_significant = score > MIN_STORED_PENALTY or now - node.failed_at < RECENT_FAILURE_NS
        if not is_significant and stored is None:
            return
        if stored is not None and (stored.score, stored.failed_at) == (penalty.score, node.failed_at):
            return
        self.stored_penalties[node.name] = penalty
        self.store.enqueue(penalty)
        if not is_significant:
            del self.stored_penalties[node.name]

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
        promise = promise_on_upstream(self.coordinator, session, upstream)
        self.records.put(promise)
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
            restore_aborted_key(self.coordinator, updated, now)

    # Startup.

    def restore(self, stored: StateContents | None) -> None:
        """Restores what the state file holds; if it was lost, asks the nodes what this front end has promised."""
        now = self.coordinator.clock.now()
        if stored is not None:
            self.restoration.restore_contents(stored)
        was_found = stored is not None and self.store.was_complete
        if stored is not None and LEARNED_KEYS_KEY in stored.named_values:
            written_at, keys = msgspec.msgpack.decode(
                stored.named_values[LEARNED_KEYS_KEY], type=tuple[int, list[str]]
            )
            if now - written_at <= self.store.retention_ns:
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

    # Reports from nodes.

    def node_state_received(self, node_client: NodeClient, hello: NodeEvent, requested_at: int) -> None:
        """Handles a node's report of this front end's sessions that it runs and the keys that it has run."""
        now = self.coordinator.clock.now()
        self.restoration.node_reported(node_client.name, hello.sessions)
        report = NodeReport(
            hello.process,
            dict(zip(hello.sessions, hello.keys, strict=False)),
            frozenset(hello.ran),
            hello.up_ms * MS,
            hello.remembers_ms * MS,
            requested_at,
            now,
        )
        self.uncertain.node_reported(node_client, report)
        if (
            self.recovery.phase is RecoveryPhase.STATE_LOST
            and self.recovery.report_received(node_client.name, report, now) is RecoveryPhase.SERVING
        ):
            self._record_complete_state()

    def session_claimed(self, session: PlaybackSession) -> None:
        """A client has requested a restored session again."""
        self.restoration.session_claimed(session)

    def ended_while_away(self, session: PlaybackSession) -> bool:
        """Whether a restored session ended while this front end was not running, which is not the node's fault."""
        return self.restoration.ended_while_away(session)

    def _record_complete_state(self) -> None:
        """Records that the state file is complete again, together with the keys learned from nodes."""
        learned = msgspec.msgpack.encode((self.coordinator.clock.now(), sorted(self.recovery.learned_keys)))
        self.store.enqueue(NamedValue(LEARNED_KEYS_KEY, learned))
        self.store.enqueue(NamedValue(COMPLETE_KEY, b"1"))
        self.log.warning("state whole again", learnt=len(self.recovery.learned_keys))

    def node_lost(self, node_name: str, is_proven: bool) -> None:
        """Handles a lost node: if the loss is proven, resolves its uncertain intents as having run."""
        if not is_proven:
            return
        self.uncertain.node_lost(node_name)
        if self.recovery.phase is RecoveryPhase.STATE_LOST:
            self.recovery.report_received(node_name, None, self.coordinator.clock.now())
