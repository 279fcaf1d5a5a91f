"""Takes over the sessions of failed front ends.

The decisions are in decisions/fleet/session_takeover.py and, for the node, session_ownership.py; docs/adopting.md has
the design. One request to a node: opens its event stream; lists its sessions of failed front ends; restores those that
can be served here, so that seats and loads are counted before the front end is responsible for them; records those whose
plan requires it, so that a restart does not forget their keys; takes them over at the node; drops those that the node
gave to another front end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import structlog
import trio

from oakcroft.config.settings import PlanTerms
from oakcroft.decisions.fleet.session_takeover import (
    SessionTakeover,
    TakeoverBounds,
    TakeoverRequest,
    TakeoverDecision,
)
from oakcroft.decisions.fleet.session_ownership import TakeoverAnswer
from oakcroft.decisions.membership.member import MemberState
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.state.promise import PromiseState, Promise
from oakcroft.front.session_service import MAX_TITLE_LENGTH
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.node_client import NodeClient
from oakcroft.front.recovered_session import attach_to_node, resume_playback, session_from_promise
from oakcroft.front.playback_session import UpstreamSession, PlaybackSession
from oakcroft.interface import MS, SECOND, Effect, Outcome, PlaybackState
from oakcroft.signalling import http_formats, takeover_messages

CHECK_INTERVAL_NS = 50 * MS
ANSWERS_BY_VALUE = {answer.value: answer for answer in TakeoverAnswer}

MAX_PAGES_PER_REQUEST = 64
"""Pages of one node's list that one request reads; the second round asks for the rest."""


@dataclass(frozen=True)
class ChosenSession:
    """A session that this front end asks a node to hand over."""

    offered: takeover_messages.OfferedSession
    """The node's offer."""

    session: PlaybackSession
    """The restored session, whose seat and load count already."""

    upstream: UpstreamSession
    """The session on the node, as it will be after the hand-over."""

    promise: Promise | None
    """The record that is written before the hand-over; None where none is."""


class TakeoverRunner:
    """Runs session takeover on one front end."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        membership: Membership,
        bounds: TakeoverBounds,
        on_published: Callable[[PlaybackSession], None],
        accepts_new: Callable[[], bool],
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """`on_published` is called with each session taken over that publishes."""
        self.coordinator = coordinator
        self.membership = membership
        self.bounds = bounds
        self.on_published = on_published
        self.log = log
        self.accepts_new = accepts_new  # a front end that is leaving would at once end what it took over
        self.takeover = SessionTakeover(membership.own_update.name, bounds)
        self.taken_over_sessions: dict[str, PlaybackSession] = {}  # taken over here, by id
        self.takeover_counts = Counter[str]()
        self.lost_to_others = 0
        self.declined_counts = Counter[str]()
        coordinator.on_sessions_taken_over = self.record_lost_sessions

    def record_lost_sessions(self, session_count: int) -> None:
        """Counts sessions of this front end that nodes report as taken over by others."""
        self.lost_to_others += session_count

    def update_fronts(self) -> None:
        """Applies a change of the fleet's membership."""
        failed_fronts = [
            name
            for name, member in self.membership.members.items()
            if member.latest.state is MemberState.FAILED
        ]
        present_fronts = (
            [self.membership.own_update.name] if self.membership.displaced else self.membership.present()
        )
        for returned_front in self.takeover.update_fronts(
            () if self.membership.displaced else failed_fronts, present_fronts, self.coordinator.clock.now()
        ):
            self.log.info(
                "adoption over",
                of=returned_front.name,
                why="it is back, or forgotten",
                taken=returned_front.taken_over,
            )

    async def run(self) -> None:
        """Sends due takeover requests until cancelled."""
        # A front end with a state file restores its own sessions from that.
        if self.coordinator.durable_state is None:
            self.takeover.add_own_earlier_generation(self.coordinator.clock.now())
        while True:
            now = self.coordinator.clock.now()
            self.takeover.update_nodes(self.coordinator.node_list.listed_nodes, now)
            for request in self.takeover.due_requests(now) if self.accepts_new() else ():
                self.coordinator.nursery.start_soon(self._run_request, request)
            for failed_front in self.takeover.take_finished(now):
                if (
                    failed_front.taken_over
                    or failed_front.declined
                    or failed_front.name != self.membership.own_update.name
                ):
                    self.log.info(
                        "adoption done",
                        of=failed_front.name,
                        taken=failed_front.taken_over,
                        left=dict(failed_front.declined),
                        ms=(now - failed_front.failed_at) // MS,
                    )
            await trio.sleep(CHECK_INTERVAL_NS / SECOND)

    async def _run_request(self, request: TakeoverRequest) -> None:
        answers: dict[str, TakeoverAnswer] | None = None
        next_page = ""
        try:
            node_client = self.coordinator.node_clients.get(request.node)
            if node_client is not None:
                await self.coordinator.submit(
                    partial(
                        self.coordinator.follow_events, node_client, f"/events/{self.coordinator.pseudonym}"
                    )
                )
                for _ in range(MAX_PAGES_PER_REQUEST):
                    listing = await node_client.list_sessions_of(request.front_names, next_page)
                    if listing is None:
                        answers = None  # the list is incomplete: the node is asked again
                        break
                    answers = {
                        name: ANSWERS_BY_VALUE.get(value, TakeoverAnswer.RECENTLY_CONNECTED)
                        for name, value in listing.fronts.items()
                    }
                    own_sessions = [
                        offered
                        for offered in listing.sessions
                        if request.is_own(offered.front, offered.session)
                    ]
                    if own_sessions:
                        await self._take_over_sessions(node_client, own_sessions)
                    next_page = listing.next
                    if not next_page:
                        break
        finally:
            self.takeover.request_finished(request, answers, self.coordinator.clock.now())

    async def _take_over_sessions(
        self, node_client: NodeClient, offered: list[takeover_messages.OfferedSession]
    ) -> None:
        """Takes over the offered sessions that can be served here."""
        chosen: dict[str, ChosenSession] = {}
        done = trio.Event()

        def choose() -> None:
            self._drop_ended()
            for offered_session in offered:
                decision, session = self._restore_offered(node_client, offered_session)
                if session is not None:
                    chosen[offered_session.session] = self._choose(node_client, offered_session, session)
                else:
                    self._count_declined(offered_session.front, decision)
            done.set()

        await self.coordinator.submit(choose)
        await done.wait()
        if not chosen:
            return
        handed_over: set[str] | None = set()  # no session is handed over before the node is asked
        try:
            await self._record_promises(chosen.values())
            handed_over = None
            handed_over = await node_client.take_over(list(chosen))
        finally:
            with trio.CancelScope(shield=True):
                await self.coordinator.submit(
                    partial(self._finish_takeover, node_client, chosen, handed_over)
                )

    def _choose(
        self, node_client: NodeClient, offered: takeover_messages.OfferedSession, session: PlaybackSession
    ) -> ChosenSession:
        """Prepares the takeover of a restored session."""
        upstream = UpstreamSession(
            node_client.name,
            offered.session,
            f"/events/{self.coordinator.pseudonym}",
            f"{offered.session}/layer",
            offered.tag,
            offered.answer,
        )
        durable_state = self.coordinator.durable_state
        promise = durable_state.takeover_started(session, upstream) if durable_state is not None else None
        return ChosenSession(offered, session, upstream, promise)

    async def _record_promises(self, chosen: Iterable[ChosenSession]) -> None:
        """Writes the records of chosen sessions that must be durable before the node hands the sessions over.

        Otherwise a front end that is killed right after the hand-over would not know the keys of its sessions.
        """
        promises = [chosen_session.promise for chosen_session in chosen if chosen_session.promise is not None]
        if promises and self.coordinator.durable_state is not None:
            await self.coordinator.durable_state.record_takeovers(promises)

    def _drop_ended(self) -> None:
        """Drops sessions taken over that have ended."""
        self.taken_over_sessions = {
            session_id: session
            for session_id, session in self.taken_over_sessions.items()
            if session.playback in self.coordinator.sessions_by_playback
        }

    def _count_declined(self, front_name: str, decision: TakeoverDecision) -> None:
        self.declined_counts[decision.value] += 1
        if (failed_front := self.takeover.failed_fronts.get(front_name)) is not None:
            failed_front.declined[decision.value] += 1

    def _restore_offered(
        self, node_client: NodeClient, offered: takeover_messages.OfferedSession
    ) -> tuple[TakeoverDecision, PlaybackSession | None]:
        """Restores an offered session as a playback of the decision module, if it can be served here.

        Returns why it is declined otherwise. Its seat is checked before the playback is counted (rule 5).
        """
        coordinator = self.coordinator
        context = takeover_messages.decode_context(offered.context)
        if (
            context is None
            or not http_formats.is_request_path(context.path)
            or not http_formats.is_request_path(offered.session)
        ):
            return TakeoverDecision.UNREADABLE_CONTEXT, None
        plan = coordinator.site.plans.get(context.plan)
        if plan is None:
            return TakeoverDecision.UNKNOWN_PLAN, None
        if self._is_held(node_client, offered, context):
            return TakeoverDecision.ALREADY_HELD, None
        if len(self.taken_over_sessions) >= self.bounds.max_taken_over:
            return TakeoverDecision.TOO_MANY_TAKEN_OVER, None
        node = coordinator.node_list.nodes.get(node_client.name)
        top_rung = coordinator.title_top_rung(
            context.title, max(context.top_rung, plan.plan.floor), plan.plan.floor
        )
        if (
            node is None
            or top_rung is None
            or offered.rung < plan.plan.floor
            or len(context.title) > MAX_TITLE_LENGTH
        ):
            return TakeoverDecision.TITLE_NOT_SERVED, None
        promise = self._promise_of(node_client, offered, context, plan, top_rung)
        session = session_from_promise(coordinator, promise)
        if session is None:
            return TakeoverDecision.TITLE_NOT_SERVED, None
        if plan.plan.seats and session.playback.title.seats_taken.get(plan.plan, 0) >= plan.plan.seats:
            return TakeoverDecision.NO_SEAT_FREE, None
        resume_playback(coordinator, session, node)
        self.taken_over_sessions[session.id] = session
        return TakeoverDecision.ACCEPTED, session

    def _is_held(
        self,
        node_client: NodeClient,
        offered: takeover_messages.OfferedSession,
        context: takeover_messages.SessionContext,
    ) -> bool:
        """Returns whether this front end has the session already, by its id or by its resource on the node."""
        return (
            context.id in self.coordinator.sessions_by_id
            or (node_client.name, offered.session) in self.coordinator.sessions_by_upstream
        )

    def _promise_of(
        self,
        node_client: NodeClient,
        offered: takeover_messages.OfferedSession,
        context: takeover_messages.SessionContext,
        plan: PlanTerms,
        top_rung: int,
    ) -> Promise:
        """Returns the record of an offered session, as if this front end had made its playback."""
        now = self.coordinator.clock.now()
        return Promise(
            context.id,
            offered.key,
            context.fingerprint,
            context.path,
            context.title,
            context.plan,
            plan.plan.effect.value,
            plan.plan.seats > 0,
            context.publishes,
            context.ufrag,
            top_rung,
            context.token,
            context.written_at,
            context.abandon_at,
            PromiseState.PLAYS,
            node_client.name,
            node_client.stream_health.process,
            now,
            rung=offered.rung,
            changed=now,
        )

    def _finish_takeover(
        self, node_client: NodeClient, chosen: dict[str, ChosenSession], handed_over: set[str] | None
    ) -> None:
        """Keeps the sessions that the node has handed over and ends the others.

        `handed_over` is None if the node's answer was lost; its event stream is then reopened, whose start lists the
        sessions.
        """
        coordinator = self.coordinator
        for resource, chosen_session in chosen.items():
            session = chosen_session.session
            was_refused = handed_over is not None and resource not in handed_over
            has_ended = (
                session.playback not in coordinator.sessions_by_playback
                or session.playback.state is not PlaybackState.PLAYING
            )
            if not (was_refused or has_ended):
                self._keep_session(node_client, chosen_session)
                continue
            if not has_ended:
                self.taken_over_sessions.pop(session.id, None)
                coordinator.playback_ended(session, Outcome.WITHDRAWN)
            if chosen_session.promise is not None and coordinator.durable_state is not None:
                coordinator.durable_state.takeover_failed(chosen_session.promise, was_refused)
        if handed_over is None:
            node_client.reopen_stream()
        else:
            self.log.info(
                "adopted",
                node=node_client.name,
                taken=len(handed_over),
                asked=len(chosen),
                held=len(self.taken_over_sessions),
            )

    def _keep_session(self, node_client: NodeClient, chosen_session: ChosenSession) -> None:
        """Serves a session that the node has handed over."""
        coordinator = self.coordinator
        session = chosen_session.session
        attach_to_node(coordinator, session, node_client, chosen_session.upstream)
        # A key that was aborted because nodes reported it while the state file was lost stays aborted.
        if coordinator.durable_state is None or not coordinator.durable_state.is_learned_key(session.key):
            is_paid = session.plan.plan.effect is not Effect.FREE
            coordinator.idempotency_store.restore(
                session.key,
                session.fingerprint,
                is_paid,
                FinalAnswer.PLAYS,
                session,
                coordinator.clock.now(),
            )
        if coordinator.durable_state is not None:
            coordinator.durable_state.answer_given(session, FinalAnswer.PLAYS)
        if session.publishes:
            self.on_published(session)
        if session.playback.rung > session.playback.top_rung:
            coordinator.set_rung_bound(session, session.playback.top_rung)
        front_name = chosen_session.offered.front
        self.takeover_counts[front_name] += 1
        if (failed_front := self.takeover.failed_fronts.get(front_name)) is not None:
            failed_front.taken_over += 1

    def status(self) -> dict[str, object]:
        """Counts and failed front ends, for operators."""
        takeover = self.takeover
        self._drop_ended()
        return {
            "held": len(self.taken_over_sessions),
            "adopted": sum(self.takeover_counts.values()),
            "passed_on": self.lost_to_others,
            "left": dict(self.declined_counts),
            "asking": sorted(
                front.name
                for front in takeover.failed_fronts.values()
                if front.expires_at and front.pending_nodes
            ),
            "errands": len(takeover.active_requests),
            "passed_over": takeover.dropped_tasks,
        }
