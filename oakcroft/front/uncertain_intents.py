"""Intents of unknown outcome: they may have run, and keep a seat until a report of their node proves what became of them.

An intent of an earlier process is a playback of the policy, which counts its seat and its load. A try of this process
that may still run is none, since its request has a playback of its own that goes on. Its seat is counted here.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import structlog

from oakcroft.decisions.fleet.backoff import SESSION_END_RETRY
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.promise import Promise
from oakcroft.decisions.state.recovery import (
    NodeReport,
    PromiseVerdict,
    apply_verdict,
    judge_promise,
    proof_possible_at,
)
from oakcroft.front.node_client import NodeClient
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.front.promise_records import PromiseRecords, last_try_promise
from oakcroft.front.protocols import Coordinator
from oakcroft.interface import SECOND, Playback, PlaybackState

PROOF_RETRY_NS = 2 * SECOND  # between two questions to the node of a try that keeps a seat
# A node that proves nothing keeps the seat of a try for as long as one that does not confirm a session's end.
MAX_SEAT_HOLD_NS = SESSION_END_RETRY.give_up_after


class UncertainIntents:
    """The intents of unknown outcome of one front end, and what the reports of nodes prove about them."""

    def __init__(
        self, coordinator: Coordinator, records: PromiseRecords, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """Begins without intents."""
        self.coordinator = coordinator
        self.records = records
        self.log = log
        self.sessions: dict[str, PlaybackSession] = {}  # by the promise's id
        self.proof_due_at: dict[str, int] = {}  # when the node is asked again, by the promise's id
        self.seats_held: set[str] = set()  # ids of the promises whose seat is counted here
        # Sessions on nodes that are being ended here, with the time of their end (None: not confirmed yet).
        self.ended_at: dict[tuple[str, str], int | None] = {}

    def __len__(self) -> int:
        """Number of intents."""
        return len(self.sessions)

    def hold_restored(self, session: PlaybackSession, promise: Promise, now: int) -> None:
        """Holds an intent of an earlier process, whose playback the policy has been told of."""
        session.final_answer = FinalAnswer.ABORTED
        session.is_ending = True
        self.coordinator.policy.on_viewer_left(session.playback, now)
        self.sessions[session.id] = session
        self.proof_due_at[session.id] = proof_possible_at(promise)

    def hold_seat_of_last_try(self, session: PlaybackSession) -> None:
        """Keeps a seat for the last try of a session, until a report of its node proves its end."""
        request = session.playback
        if not request.tries:
            return
        promise = last_try_promise(self.coordinator, session, len(request.tries))
        self.sessions[promise.id] = session_of_try(session, promise)
        self.seats_held.add(promise.id)
        request.title.seats_taken[request.plan] = request.title.seats_taken.get(request.plan, 0) + 1
        self.proof_due_at[promise.id] = proof_possible_at(promise)
        self.records.update(promise)
        if node_client := self.coordinator.node_clients.get(promise.node):
            events_path = node_client.events_path or f"/events/{self.coordinator.pseudonym}"
            self.coordinator.follow_events(node_client, events_path)

    def ask_nodes(self, now: int) -> None:
        """Asks the nodes again that can now prove what became of intents."""
        for promise_id, due_at in list(self.proof_due_at.items()):
            if now >= due_at and promise_id in self.sessions:
                self._ask_node(promise_id, now)

    def _ask_node(self, promise_id: str, now: int) -> None:
        """Asks the node of an intent what became of it.

        The node of a try that keeps a seat is asked again until it has proven the try's end, for a limited time: a
        node that stays silent must not hold the seat without end.
        """
        del self.proof_due_at[promise_id]
        promise = self.records.by_id[promise_id]
        if promise.is_unproven_try:
            if now - proof_possible_at(promise) > MAX_SEAT_HOLD_NS:
                self._resolve_as_run(promise_id)
                return
            self.proof_due_at[promise_id] = now + PROOF_RETRY_NS
        if node_client := self.coordinator.node_clients.get(promise.node):
            node_client.reopen_stream()

    def node_reported(self, node_client: NodeClient, report: NodeReport) -> None:
        """Resolves the intents about which a node's report proves something."""
        unclaimed = self._unclaimed_sessions(node_client.name, report)
        unclaimed_report = replace(report, running_sessions=unclaimed)
        for promise_id in list(self.sessions):
            promise = self.records.by_id[promise_id]
            if promise.node != node_client.name:
                continue
            verdict = judge_promise(promise, unclaimed_report)
            if verdict is PromiseVerdict.UNPROVEN:
                continue
            if (
                verdict is PromiseVerdict.RUNNING
                and promise.is_unproven_try
                and self._is_being_set_up(promise.node_key)
            ):
                continue  # the node is asked again
            resource = next((path for path, key in unclaimed.items() if key == promise.node_key), None)
            self._resolve(promise, verdict, node_client, resource, report.received_at)
            if resource is not None:
                del unclaimed[resource]  # another try with this key has a session of its own

    def _unclaimed_sessions(self, node_name: str, report: NodeReport) -> dict[str, str]:
        """The sessions of a report, each with its key, that an intent may have left.

        A viewer may have set a key up again on this node: its new session is not the one that is asked for. Neither is
        one that is being ended for another intent with the key, nor one that the report lists because it was requested
        before that end.
        """
        for session, ended_at in list(self.ended_at.items()):
            if session[0] == node_name and ended_at is not None and ended_at < report.requested_at:
                del self.ended_at[session]
        return {
            resource: key
            for resource, key in report.running_sessions.items()
            if (node_name, resource) not in self.coordinator.sessions_by_upstream
            and (node_name, resource) not in self.ended_at
        }

    def _resolve(
        self,
        promise: Promise,
        verdict: PromiseVerdict,
        node_client: NodeClient,
        resource: str | None,
        now: int,
    ) -> None:
        """Applies a verdict to an intent, and ends the session at `resource` that it has left on its node.

        The record stays as it is until that end is confirmed: a process that starts in between must hold the seat.
        """
        held_session = self.sessions[promise.id]
        self.log.info(
            "promise resolved", playback=promise.id, node=node_client.name, verdict=verdict.name.lower()
        )
        abort_replayed = (
            verdict is PromiseVerdict.NEVER_RAN
            and not self.coordinator.idempotency_store.forget(held_session.key)
        )
        updated = apply_verdict(promise, verdict, now, abort_replayed)
        self.sessions.pop(promise.id)
        self.proof_due_at.pop(promise.id, None)
        if verdict is PromiseVerdict.RUNNING and resource is not None:
            self.ended_at[node_client.name, resource] = None
            self.coordinator.nursery.start_soon(
                self._end_and_release, node_client, resource, held_session, updated
            )
        else:
            self._release(held_session, updated)

    def _is_being_set_up(self, key: str) -> bool:
        """Whether a set-up with this key is out, whose session a node may report before its answer has arrived."""
        return any(
            session.key == key and session.playback.state is PlaybackState.SETTING_UP
            for session in self.coordinator.sessions_by_playback.values()
        )

    def node_lost(self, node_name: str) -> None:
        """Resolves the intents of a node whose process is gone."""
        for session in [session for session in self.ended_at if session[0] == node_name]:
            del self.ended_at[session]
        for promise_id in list(self.sessions):
            if self.records.by_id[promise_id].node == node_name:
                self._resolve_as_run(promise_id)

    def _resolve_as_run(self, promise_id: str) -> None:
        """Resolves an intent as one that has run and is over."""
        self.proof_due_at.pop(promise_id, None)
        promise = self.records.by_id[promise_id]
        updated = apply_verdict(promise, PromiseVerdict.RAN, self.coordinator.clock.now())
        self._release(self.sessions.pop(promise_id), updated)

    async def _end_and_release(
        self, node_client: NodeClient, resource: str, held_session: PlaybackSession, updated: Promise
    ) -> None:
        """Ends a session on its node, and then releases the intent that has left it."""
        await node_client.end_session(resource)
        await self.coordinator.submit(
            partial(self._session_ended, node_client.name, resource, held_session, updated)
        )

    def _session_ended(
        self, node_name: str, resource: str, held_session: PlaybackSession, updated: Promise
    ) -> None:
        """Releases the intent whose session has been ended."""
        self.ended_at[node_name, resource] = self.coordinator.clock.now()
        self._release(held_session, updated)

    def _release(self, held_session: PlaybackSession, updated: Promise) -> None:
        """Releases an intent that is known to hold nothing any more, and records what its promise has become."""
        if held_session.id in self.seats_held:
            self.seats_held.remove(held_session.id)
            held_session.playback.title.seats_taken[held_session.playback.plan] -= 1
        self.coordinator.release_unproven(held_session)
        if updated != self.records.by_id.get(updated.id):
            self.records.update(updated)


def session_of_try(session: PlaybackSession, promise: Promise) -> PlaybackSession:
    """A session that stands for one try of a request; the policy does not know of its playback."""
    request = session.playback
    playback = Playback(request.title, request.plan, request.top_rung, request.abandon_at, False)
    return PlaybackSession(
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
