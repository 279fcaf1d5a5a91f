"""The promises of one front end in memory, and how a promise describes a session."""

from __future__ import annotations

from dataclasses import replace

from oakcroft.decisions.state.promise import PromiseState, Promise, transition, unproven_try
from oakcroft.front.playback_session import PlaybackSession, UpstreamSession
from oakcroft.front.protocols import Coordinator
from oakcroft.store.changes import PutPromise
from oakcroft.store.writer import StateWriter


class PromiseRecords:
    """The promises in memory, by id; the state file gets every change of them."""

    def __init__(self, store: StateWriter) -> None:
        """Begins without promises."""
        self.store = store
        self.by_id: dict[str, Promise] = {}

    def put(self, promise: Promise) -> None:
        """Sets a promise in memory only; the caller writes it."""
        self.by_id[promise.id] = transition(self.by_id.get(promise.id), promise)

    def update(self, promise: Promise) -> None:
        """Stores a changed promise without waiting for the write."""
        earlier = self.by_id.get(promise.id)
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
            self.by_id.pop(promise.id, None)
        else:
            self.by_id[promise.id] = promise
        self.store.enqueue(PutPromise(promise))

    def drop_expired(self, now: int) -> None:
        """Drops aborted promises past their retention from memory; the store expires its copies on its own."""
        for expired_id in [
            promise_id
            for promise_id, promise in self.by_id.items()
            if promise.mark is PromiseState.ABORTED and now - promise.changed > self.store.retention_ns
        ]:
            del self.by_id[expired_id]


def intent_promise(coordinator: Coordinator, session: PlaybackSession, node_name: str, rung: int) -> Promise:
    """The promise for an intent to set a session up on a node, now."""
    now = coordinator.clock.now()
    node_client = coordinator.node_clients.get(node_name)
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
        node_name,
        node_client.stream_health.process if node_client else "",
        now,
        rung=rung,
        changed=now,
        seated=session.in_client_session,
    )


def last_try_promise(coordinator: Coordinator, session: PlaybackSession, label: int | str) -> Promise:
    """The promise of a session's last try, which may still run; `label` tells it from others of the request."""
    node, sent_at = session.playback.tries[-1]
    intent = intent_promise(coordinator, session, node.name, session.playback.rung)
    return unproven_try(replace(intent, sent_at=sent_at), label)


def promise_on_upstream(
    coordinator: Coordinator, session: PlaybackSession, upstream: UpstreamSession
) -> Promise:
    """The promise for a session that plays as a session on a node."""
    promise = intent_promise(coordinator, session, upstream.node, session.playback.rung)
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


def playing_promise(coordinator: Coordinator, session: PlaybackSession) -> Promise | None:
    """The promise for a playing session, whether newly set up or moved to another node; None if it plays no more."""
    if session.upstream is None or session.playback.node is None:
        return None
    return promise_on_upstream(coordinator, session, session.upstream)
