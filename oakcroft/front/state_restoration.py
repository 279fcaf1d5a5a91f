"""Restores what an earlier process of this front end has left in its state file.

Sessions that played are resumed at once. Until a node has confirmed such a session, its end does not count against the
node, and a session of the session API is ended unless its client claims it in time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import structlog

from oakcroft.choice import FAILURE_SCORE_HALF_LIFE_NS
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.decisions.state.recovery import (
    NodePenalty,
    RecoveryAction,
    recovery_action,
    restored_retry_times,
)
from oakcroft.front.node_client import NodeClient
from oakcroft.front.playback_session import PlaybackSession, UpstreamSession
from oakcroft.front.promise_records import PromiseRecords
from oakcroft.front.protocols import Coordinator
from oakcroft.front.recovered_session import (
    attach_to_node,
    restore_aborted_key,
    resume_playback,
    session_from_promise,
)
from oakcroft.front.uncertain_intents import UncertainIntents
from oakcroft.interface import MS, SECOND, Node
from oakcroft.store.changes import ALIVE_KEY, MoveRecord, PutPromise, StateContents
from oakcroft.store.writer import StateWriter

CLAIM_TIMEOUT_NS = 15 * SECOND  # the same time as a client session waits for its client to reconnect


class StateRestoration:
    """Restores the contents of a state file, and tracks the restored sessions until nodes and clients claim them."""

    def __init__(
        self,
        store: StateWriter,
        coordinator: Coordinator,
        records: PromiseRecords,
        uncertain: UncertainIntents,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Begins without restored sessions."""
        self.store = store
        self.coordinator = coordinator
        self.records = records
        self.uncertain = uncertain
        self.log = log
        self.unconfirmed: set[str] = set()  # ids of restored sessions that no node has confirmed yet
        # Ids of restored sessions of API clients, with the time until which a client may claim them.
        self.unclaimed_until: dict[str, int] = {}

    def restore_contents(self, stored: StateContents, late: bool = False) -> None:
        """Restores the promises of the previous run, and what it knew of nodes.

        `late`: the file became readable during service; promises whose keys are known by then are skipped.
        """
        now = self.coordinator.clock.now()
        counts: Counter[str] = Counter()
        known_keys = {promise.key for promise in self.records.by_id.values()}
        for promise in stored.promises:
            if late and promise.key in known_keys:
                continue
            counts[self._restore_promise(promise, now).name.lower()] += 1
        self._restore_penalties(stored.node_penalties)
        alive_at = int(stored.named_values.get(ALIVE_KEY, b"0"))
        nodes_with_used_slot = self._nodes_with_used_slot(stored, now)
        terms = self.coordinator.site.terms
        self.coordinator.policy.on_history_restored(
            restored_retry_times(alive_at, terms.retry_budget_base, terms.retry_budget_window_ns, now),
            nodes_with_used_slot,
            now,
        )
        for move in stored.moves:
            self.store.enqueue(MoveRecord(move.playback, "", 0))
        self.log.info(
            "state taken on",
            promises=len(stored.promises),
            moves=len({move.new_playback for move in stored.moves}),
            away_ms=(now - alive_at) // MS,
            late=late,
            spent=len(nodes_with_used_slot),
            **counts,
        )

    def _restore_promise(self, promise: Promise, now: int) -> RecoveryAction:
        """Resumes, holds, remembers, ends or forgets a promise; returns which of these."""
        action = self._try_to_restore_playback(promise, now)
        if action is RecoveryAction.END:
            self._end_session(promise)
        if action is RecoveryAction.FORGET or (action is RecoveryAction.END and not promise.must_not_repeat):
            self.store.enqueue(PutPromise(replace(promise, mark=PromiseState.GONE)))
        elif action in (RecoveryAction.REMEMBER, RecoveryAction.END):
            self._remember_as_aborted(promise, now)
        return action

    def _try_to_restore_playback(self, promise: Promise, now: int) -> RecoveryAction:
        """Restores the playback of a promise that plays or may have run; returns what is to be done with the promise.

        Where its title or its node is not available here any more, it cannot be resumed or held.
        """
        action = recovery_action(
            promise,
            promise.node in self.coordinator.node_list.nodes,
            promise.plan in self.coordinator.site.plans,
            self.store.retention_ns,
            now,
        )
        if action not in (RecoveryAction.ADOPT, RecoveryAction.HOLD):
            return action
        if self._restore_playback(promise, action, now):
            return action
        return RecoveryAction.END if promise.mark is PromiseState.PLAYS else RecoveryAction.REMEMBER

    def _restore_playback(self, promise: Promise, action: RecoveryAction, now: int) -> bool:
        """Restores a promise as a playback of the policy, which then counts its seat and load.

        False if its node is gone or its title or plan is not served.
        """
        coordinator = self.coordinator
        node = coordinator.node_list.nodes.get(promise.node)
        node_client = coordinator.node_clients.get(promise.node)
        session = session_from_promise(coordinator, promise)
        if node is None or node_client is None or session is None:
            return False
        self.records.by_id[promise.id] = promise
        resume_playback(coordinator, session, node)
        if action is RecoveryAction.HOLD:
            self.uncertain.hold_restored(session, promise, now)
            if promise.must_not_repeat:
                restore_aborted_key(coordinator, promise, now)
        else:
            self._adopt(session, promise, node_client, now)
        coordinator.follow_events(node_client, promise.events or f"/events/{coordinator.pseudonym}")
        return True

    def _adopt(self, session: PlaybackSession, promise: Promise, node_client: NodeClient, now: int) -> None:
        """Lets a session of the earlier process play on, for its viewer and for the events of its node."""
        upstream = UpstreamSession(
            promise.node, promise.resource, promise.events, promise.layer, promise.tag, promise.answer
        )
        attach_to_node(self.coordinator, session, node_client, upstream)
        self.unconfirmed.add(session.id)
        if promise.seated:
            self.unclaimed_until[session.id] = now + CLAIM_TIMEOUT_NS
        self.coordinator.idempotency_store.restore(
            session.key, session.fingerprint, promise.must_not_repeat, FinalAnswer.PLAYS, session, now
        )

    def _remember_as_aborted(self, promise: Promise, now: int) -> None:
        """Keeps the key of a promise, which aborts."""
        aborted = replace(
            promise,
            mark=PromiseState.ABORTED,
            changed=max(promise.changed, now - self.store.retention_ns),
        )
        self.records.by_id[promise.id] = aborted
        self.store.enqueue(PutPromise(aborted))
        restore_aborted_key(self.coordinator, aborted, now)

    def _end_session(self, promise: Promise) -> None:
        """Ends the session of a promise on its node, if its node is known."""
        node_client = self.coordinator.node_clients.get(promise.node)
        if node_client is not None and promise.resource:
            self.coordinator.nursery.start_soon(node_client.end_session, promise.resource)

    def _restore_penalties(self, penalties: Iterable[NodePenalty]) -> None:
        """Restores the failure scores of nodes."""
        for penalty in penalties:
            if (node := self.coordinator.node_list.nodes.get(penalty.node)) is not None:
                node.failure_score.add(penalty.score, penalty.recorded_at, FAILURE_SCORE_HALF_LIFE_NS)
                node.failed_at = max(node.failed_at, penalty.failed_at)

    def _nodes_with_used_slot(self, stored: StateContents, now: int) -> list[Node]:
        """The nodes whose cold slot the earlier process has used so recently that the set-ups still count."""
        nodes = self.coordinator.node_list.nodes
        oldest_counted = now - 2 * self.coordinator.site.terms.overload_window_ns
        return [
            nodes[usage.node]
            for usage in stored.slot_usage
            if usage.node in nodes and usage.recorded_at >= oldest_counted
        ]

    # Restored sessions.

    def node_reported(self, node_name: str, resources: Iterable[str]) -> None:
        """Confirms the restored sessions that a node runs."""
        for resource in resources:
            if session := self.coordinator.sessions_by_upstream.get((node_name, resource)):
                self.unconfirmed.discard(session.id)

    def ended_while_away(self, session: PlaybackSession) -> bool:
        """Whether a session ended while this front end was not running.

        Such an end is not the node's fault: a thousand of them, counted as resets, would exclude a healthy node for most
        of a minute.
        """
        if session.id not in self.unconfirmed:
            return False
        self.unconfirmed.discard(session.id)
        return True

    def session_claimed(self, session: PlaybackSession) -> None:
        """A client has requested a restored session again."""
        self.unclaimed_until.pop(session.id, None)

    def end_unclaimed(self, now: int) -> None:
        """Ends restored sessions that no client has claimed in time."""
        for session_id in [session_id for session_id, until in self.unclaimed_until.items() if now > until]:
            del self.unclaimed_until[session_id]
            if (unclaimed := self.coordinator.sessions_by_id.get(session_id)) is not None:
                self.log.info("restored session not claimed", playback=session_id)
                self.coordinator.close_viewer_session(unclaimed)
                self.coordinator.end_session(unclaimed)
