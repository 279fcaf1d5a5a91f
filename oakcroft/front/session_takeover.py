"""Takes over the sessions of failed front ends.

The decisions are in decisions/fleet/session_takeover.py and, for the node, session_ownership.py; docs/adopting.md has
the design. One request to a node: opens its event stream; lists its sessions of failed front ends; restores those that
can be served here, so that seats and loads are counted before the front end is responsible for them; takes them over at
the node; drops those that the node gave to another front end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

import structlog
import trio

from oakcroft.decisions.fleet.session_takeover import (
    SessionTakeover as Course,
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
from oakcroft.signalling import handing, words

CHECK_INTERVAL_NS = 50 * MS
ANSWERS_BY_VALUE = {w.value: w for w in TakeoverAnswer}
MAX_PAGES_PER_REQUEST = 64  # of one node's list in one request; the second round asks for the rest


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
        """`on_published` is called with each adopted session that publishes."""
        self.coordinator, self.membership, self.bounds, self.on_published, self.log = (
            coordinator,
            membership,
            bounds,
            on_published,
            log,
        )
        self.accepts_new = accepts_new  # a front end that is leaving would at once end what it took over
        self.takeover = Course(membership.me.name, bounds)
        self.adopted_playbacks: dict[str, PlaybackSession] = {}  # adopted sessions by id
        self.adopted_counts, self.lost_to_others = Counter[str](), 0
        self.declined_counts = Counter[str]()
        coordinator.on_sessions_taken_over = self.playbacks_lost

    def playbacks_lost(self, playback_count: int) -> None:
        """Counts sessions of this front end that nodes report as taken over by others."""
        self.lost_to_others += playback_count

    def update_fronts(self) -> None:
        """Applies a change of the fleet's membership."""
        gone = [n for n, m in self.membership.members.items() if m.latest.state is MemberState.FAILED]
        present = [self.membership.me.name] if self.membership.displaced else self.membership.present()
        for dead in self.takeover.update_fronts(
            () if self.membership.displaced else gone, present, self.coordinator.clock.now()
        ):
            self.log.info("adoption over", of=dead.name, why="it is back, or forgotten", taken=dead.adopted)

    async def run(self) -> None:
        """Sends due takeover requests until cancelled."""
        if (
            self.coordinator.durable_state is None
        ):  # a front end with a state file restores its own sessions from that
            self.takeover.add_own_earlier_generation(self.coordinator.clock.now())
        while True:
            now = self.coordinator.clock.now()
            self.takeover.update_nodes(self.coordinator.node_list.listed_nodes, now)
            for errand in self.takeover.due_requests(now) if self.accepts_new() else ():
                self.coordinator.nursery.start_soon(self._run_request, errand)
            for dead in self.takeover.take_finished(now):
                if dead.adopted or dead.declined or dead.name != self.membership.me.name:
                    self.log.info("adoption done", of=dead.name, taken=dead.adopted, left=dict(dead.declined),
                                  ms=(now - dead.failed_at) // MS)  # fmt: skip
            await trio.sleep(CHECK_INTERVAL_NS / SECOND)

    async def _run_request(self, request: TakeoverRequest) -> None:
        told: dict[str, TakeoverAnswer] | None = None
        after = ""
        try:
            leg = self.coordinator.node_clients.get(request.node)
            if leg is not None:
                await self.coordinator.submit(
                    partial(self.coordinator.follow_events, leg, f"/events/{self.coordinator.pseudonym}")
                )
                for _ in range(MAX_PAGES_PER_REQUEST):
                    listing = await leg.list_sessions_of(request.front_names, after)
                    if listing is None:
                        told = None  # the list is incomplete: the node is asked again
                        break
                    told = {
                        n: ANSWERS_BY_VALUE.get(w, TakeoverAnswer.RECENTLY_CONNECTED)
                        for n, w in listing.fronts.items()
                    }
                    mine = [s for s in listing.sessions if request.is_own(s.front, s.session)]
                    if mine:
                        await self._adopt(leg, mine)
                    after = listing.next
                    if not after:
                        break
        finally:
            self.takeover.request_finished(request, told, self.coordinator.clock.now())

    async def _adopt(self, node_client: NodeClient, offered: list[handing.Offered]) -> None:
        """Takes over the offered sessions that can be served here."""
        chosen: dict[str, tuple[handing.Offered, PlaybackSession]] = {}
        done = trio.Event()

        def choose() -> None:
            self._forget_ended()
            for one in offered:
                why, v = self._restore_offered(node_client, one)
                if v is not None:
                    chosen[one.session] = one, v
                else:
                    self._count_declined(one.front, why)
            done.set()

        await self.coordinator.submit(choose)
        await done.wait()
        if not chosen:
            return
        given: set[str] | None = None
        try:
            given = await node_client.take_over(list(chosen))
        finally:
            with trio.CancelScope(shield=True):
                await self.coordinator.submit(partial(self._finish_adoption, node_client, chosen, given))

    def _forget_ended(self) -> None:
        """Drops adopted sessions that have ended."""
        self.adopted_playbacks = {
            id_: v
            for id_, v in self.adopted_playbacks.items()
            if v.playback in self.coordinator.sessions_by_playback
        }

    def _count_declined(self, front_name: str, decision: TakeoverDecision) -> None:
        self.declined_counts[decision.value] += 1
        if (dead := self.takeover.failed_fronts.get(front_name)) is not None:
            dead.declined[decision.value] += 1

    def _restore_offered(
        self, node_client: NodeClient, offered: handing.Offered
    ) -> tuple[TakeoverDecision, PlaybackSession | None]:
        """Restores an offered session as a playback of the decision module, if it can be served here.

        Returns why it is declined otherwise. Its seat is checked before the playback is counted (rule 5).
        """
        helm, memo = self.coordinator, handing.read_memo(offered.memo)
        if memo is None or not words.is_path(memo.path) or not words.is_path(offered.session):
            return TakeoverDecision.UNREADABLE_MEMO, None
        plan = helm.site.plans.get(memo.plan)
        if plan is None:
            return TakeoverDecision.UNKNOWN_PLAN, None
        if memo.id in helm.sessions_by_id or (node_client.name, offered.session) in helm.sessions_by_upstream:
            return TakeoverDecision.ALREADY_HELD, None
        if len(self.adopted_playbacks) >= self.bounds.max_adopted:
            return TakeoverDecision.TOO_MANY_ADOPTED, None
        node = helm.node_list.nodes.get(node_client.name)
        top = helm.title_top_rung(memo.title, max(memo.top, plan.plan.floor), plan.plan.floor)
        if (
            node is None
            or top is None
            or offered.rung < plan.plan.floor
            or len(memo.title) > MAX_TITLE_LENGTH
        ):
            return TakeoverDecision.TITLE_NOT_SERVED, None
        now = helm.clock.now()
        promise = Promise(
            memo.id,
            offered.key,
            memo.about,
            memo.path,
            memo.title,
            memo.plan,
            plan.plan.effect.value,
            plan.plan.seats > 0,
            memo.publishes,
            memo.ufrag,
            top,
            memo.token,
            memo.written,
            memo.abandon,
            PromiseState.PLAYS,
            node_client.name,
            node_client.stream_health.process,
            now,
            rung=offered.rung,
            changed=now,
        )
        v = session_from_promise(helm, promise)
        if v is None:
            return TakeoverDecision.TITLE_NOT_SERVED, None
        if plan.plan.seats and v.playback.title.seats_taken.get(plan.plan, 0) >= plan.plan.seats:
            return TakeoverDecision.NO_SEAT_FREE, None
        resume_playback(helm, v, node)
        self.adopted_playbacks[v.id] = v
        return TakeoverDecision.ACCEPTED, v

    def _finish_adoption(
        self,
        node_client: NodeClient,
        chosen: dict[str, tuple[handing.Offered, PlaybackSession]],
        given: set[str] | None,
    ) -> None:
        """Keeps the sessions that the node has given and ends the others.

        `given` is None if the node's answer was lost; its event stream is then reopened, whose start lists the sessions.
        """
        helm = self.coordinator
        for session, (one, v) in chosen.items():
            if v.playback not in helm.sessions_by_playback or v.playback.state is not PlaybackState.PLAYING:
                continue
            if given is not None and session not in given:
                self.adopted_playbacks.pop(v.id, None)
                helm.playback_ended(v, Outcome.WITHDRAWN)
                continue
            layer = f"{one.session}/layer"
            attach_to_node(
                helm, v, node_client,
                UpstreamSession(node_client.name, one.session, f"/events/{helm.pseudonym}", layer, one.tag, one.answer),
            )  # fmt: skip
            # A key that was aborted because nodes told of it while the state file was lost stays aborted.
            if helm.durable_state is None or not helm.durable_state.is_learned_key(v.key):
                paid = v.plan.plan.effect is not Effect.FREE
                helm.idempotency_store.restore(
                    v.key, v.fingerprint, paid, FinalAnswer.PLAYS, v, helm.clock.now()
                )
            if helm.durable_state is not None:
                helm.durable_state.answer_given(v, FinalAnswer.PLAYS)
            if v.publishes:
                self.on_published(v)
            if v.playback.rung > v.playback.top_rung:
                helm.set_rung_bound(v, v.playback.top_rung)
            self.adopted_counts[one.front] += 1
            if (dead := self.takeover.failed_fronts.get(one.front)) is not None:
                dead.adopted += 1
        if given is None:
            node_client.reopen_stream()
        else:
            self.log.info(
                "adopted",
                node=node_client.name,
                taken=len(given),
                asked=len(chosen),
                held=len(self.adopted_playbacks),
            )

    def status(self) -> dict[str, object]:
        """Counts and failed front ends, for operators."""
        course = self.takeover
        self._forget_ended()
        return {
            "held": len(self.adopted_playbacks),
            "adopted": sum(self.adopted_counts.values()),
            "passed_on": self.lost_to_others,
            "left": dict(self.declined_counts),
            "asking": sorted(
                d.name for d in course.failed_fronts.values() if d.expires_at and d.pending_nodes
            ),
            "errands": len(course.active_requests),
            "passed_over": course.dropped_tasks,
        }
