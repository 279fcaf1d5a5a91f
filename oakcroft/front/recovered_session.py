"""Sessions that play already and are recovered, after a restart or from a front end that does not return."""

from __future__ import annotations

from oakcroft.choice import stable_hash
from oakcroft.decisions.admission.deadlines import Deadline
from oakcroft.decisions.sessions.answers import FinalAnswer, aborted_reply
from oakcroft.decisions.sessions.session_resource import SessionResource
from oakcroft.decisions.state.promise import Promise
from oakcroft.front.node_client import NodeClient
from oakcroft.front.protocols import Coordinator
from oakcroft.front.playback_session import UpstreamSession, PlaybackSession
from oakcroft.interface import Node, Playback


def session_from_promise(coordinator: Coordinator, promise: Promise) -> PlaybackSession | None:
    """Creates the session of a stored promise; None where its plan or its title is not available here any more."""
    plan = coordinator.site.plans.get(promise.plan)
    title = coordinator.title_cache.get(
        promise.title, stable_hash(promise.title) % coordinator.site.terms.cell_count
    )
    if plan is None or title is None:
        return None
    playback = Playback(title, plan.plan, promise.top, promise.abandon, False)
    playback.rung = max(plan.plan.floor, min(promise.rung, plan.plan.top_rung))
    session = PlaybackSession(
        promise.id,
        promise.path,
        plan,
        promise.publishes,
        promise.key,
        "",
        promise.ufrag,
        Deadline(promise.written, promise.abandon),
        playback,
    )
    session.token_name = promise.token
    session.fingerprint = promise.about
    session.in_client_session = promise.seated
    session.requested_top = playback.top_rung
    return session


def resume_playback(coordinator: Coordinator, session: PlaybackSession, node: Node) -> None:
    """Tells the policy that the playback plays on a node: its seat and its load count from now on."""
    coordinator.sessions_by_playback[session.playback] = session
    coordinator.policy.on_handed_over(session.playback, node, coordinator.clock.now())


def attach_to_node(
    coordinator: Coordinator, session: PlaybackSession, node_client: NodeClient, upstream: UpstreamSession
) -> None:
    """Registers a session that plays on a node, for its viewer and for the node's events."""
    session.final_answer = FinalAnswer.PLAYS
    session.upstream = upstream
    session.resource = SessionResource(upstream.etag, session.ufrag)
    coordinator.sessions_by_id[session.id] = session
    coordinator.sessions_by_upstream[upstream.node, upstream.resource] = session
    coordinator.playing_count += 1
    node_client.node_sessions.claim(upstream.resource, coordinator.clock.now())


def restore_aborted_key(coordinator: Coordinator, promise: Promise, now: int) -> None:
    """Makes repeated requests with the key of a promise that may have run abort."""
    session = session_from_promise(coordinator, promise)
    plan = coordinator.site.plans.get(promise.plan)
    if session is None or plan is None:
        return
    session.set_answer(FinalAnswer.ABORTED, aborted_reply(plan.plan.effect))
    coordinator.idempotency_store.restore(
        session.key, session.fingerprint, True, FinalAnswer.ABORTED, session, now
    )
