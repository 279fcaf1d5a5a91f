"""The one task that owns the decision policy, passes events to it and carries out its decisions.

All other tasks submit their events through one bounded channel, and they are handled in order of arrival;
only this task calls the policy. What the policy asks for during a call becomes a task of the nursery: setup
tries, background requests to nodes, the timer. A full channel is handled where the event comes from: a new
request is rejected, all other events wait.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import structlog
import trio

from oakcroft.choice import Controller, stable_hash
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.routing.catalogue import Catalogue, PlaybackEffect, highest_rung, effect_on_playback
from oakcroft.decisions.moving.handover import MoveEvent
from oakcroft.decisions.admission.request_limits import LimitLedger
from oakcroft.decisions.admission.deadlines import HEARTBEAT_INTERVAL_NS, Deadline, PauseDetector
from oakcroft.decisions.sessions.idempotency import IdempotencyStore
from oakcroft.decisions.sessions.session_resource import SessionResource
from oakcroft.decisions.fleet.node_list import NodeList
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.decisions.routing.configuration_version import (
    ActiveConfiguration,
    ConfigurationVersion,
    ConfigurationVerdict,
)
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event, handle_events
from oakcroft.front.answer_delivery import AnswerDelivery
from oakcroft.front.node_list_updates import NodeListUpdater
from oakcroft.front.node_events import NodeEventHandler
from oakcroft.front.move_executor import MoveExecutor
from oakcroft.front.node_client import NodeClient, FrontIdentity, TryResult
from oakcroft.front.rendition_bound import RenditionBound
from oakcroft.front.protocols import ChangeNotifier, PolicyFactory, DecisionPolicy
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.interface import MS, Node, PlaybackMetric, Outcome, Playback, PlaybackState
from oakcroft.config.settings import Deployment, PlanTerms, SharedSettings
from oakcroft.signalling import http_formats


if TYPE_CHECKING:
    from oakcroft.front.durable_state import FrontEndState


EMPTY_LOAD_REPORT = http_formats.LoadReport()
MAX_QUEUED_EVENTS = 4_096
MAX_TITLES = 50_000
MAINTENANCE_INTERVAL_SECONDS = 0.5
MAX_IDEMPOTENCY_KEYS = 100_000


class SessionCoordinator:
    """The decision policy and its host in one front end.

    Methods without a leading underscore that change sessions run in the event task, unless they are
    coroutines.
    """

    def __init__(
        self,
        configuration: Deployment,
        seed: int,
        pseudonym: str,
        clock: Clock,
        nursery: trio.Nursery,
        log: structlog.typing.FilteringBoundLogger,
        policy_factory: PolicyFactory = Controller,
    ) -> None:
        """Creates the coordinator; nothing runs before its tasks are started.

        `configuration` is the version in force at the start, `pseudonym` the name of this front end towards
        nodes, and `policy_factory` creates the policy that decides.
        """
        self.pseudonym = pseudonym
        self.clock = clock
        self.nursery = nursery
        self.logger = log
        self.active_configuration = ActiveConfiguration(
            ConfigurationVersion(0, configuration.resolved, configuration)
        )
        site = configuration.shared
        self.rng = Random(seed + 1)  # for retries of requests to nodes; the policy has its own generator
        self.event_sender, self.event_receiver = trio.open_memory_channel[Event](MAX_QUEUED_EVENTS)
        # Nodes and titles.
        self.node_list = NodeList()
        self.node_clients: dict[str, NodeClient] = {}
        self.title_cache = TitleCache(
            MAX_TITLES, site.terms.cell_count, site.copy_count, configured_placements(site)
        )
        self.limit_ledger = LimitLedger(site.terms.front_index, site.terms.front_count)
        self.limit_ledger.set_limits(site.limits)
        # Sessions.
        self.sessions_by_playback: dict[Playback, PlaybackSession] = {}
        self.sessions_by_id: dict[str, PlaybackSession] = {}  # by the id that viewers use
        self.sessions_by_upstream: dict[tuple[str, str], PlaybackSession] = {}  # by node name and path there
        self.idempotency_store = IdempotencyStore(MAX_IDEMPOTENCY_KEYS, site.key_retention_ns)
        self.pause_detector = PauseDetector(clock.now())
        self.unanswered_count = 0
        self.playing_count = 0
        self.pending_session_ends = 0
        self.count_changed = ChangeNotifier()
        self.longest_abandon_ns = max(plan_terms.abandon_ns for plan_terms in site.plans.values())
        # The policy and the parts of this coordinator.
        self.move_executor = MoveExecutor(self, Random(seed + 3), site.default_drain_notice_ns, log)
        self.policy: DecisionPolicy = policy_factory(site.terms, seed, self, clock.now())
        self.rendition_bound = RenditionBound(self, self.rng, log)
        self.answer_delivery = AnswerDelivery(self, self.move_executor, log)
        self.node_events = NodeEventHandler(self, self.move_executor, log)
        self.node_list_updater = NodeListUpdater(self, self.move_executor, self.node_events, self.rng, log)
        self.durable_state: FrontEndState | None = None
        self.catalogue = Catalogue()
        self.answer_counts = Counter[FinalAnswer]()  # answers given since the start
        self.on_answer: Callable[[bool, PlanTerms, int], None] | None = None
        self.on_sessions_taken_over: Callable[[int], None] = lambda _: None
        self.identity: FrontIdentity | None = None
        self.on_link_load: Callable[[str, float, int], None] = lambda node, load, age: None

    @property
    def site(self) -> SharedSettings:
        """Deployment-wide part of the configuration version in force."""
        return self.active_configuration.version.compiled.shared

    def apply_configuration(
        self, version: ConfigurationVersion[Deployment] | None
    ) -> tuple[ConfigurationVerdict, list[str]]:
        """Applies a configuration version between two events, or rejects it as a whole.

        `version` is None for a configuration that could not be read. Returns the verdict, and the parts that
        need a restart where that is why it was rejected.
        """
        before = self.site
        verdict, parts = self.active_configuration.apply(version)
        if verdict is ConfigurationVerdict.TAKEN:
            site = self.site
            self.title_cache.apply_configuration(site.copy_count, configured_placements(site))
            self.limit_ledger.set_limits(site.limits)
            self.longest_abandon_ns = max(
                self.longest_abandon_ns, *(plan_terms.abandon_ns for plan_terms in site.plans.values())
            )
            self.idempotency_store.retention = site.key_retention_ns
            removed_plans = sorted(set(before.plans) - set(site.plans))
            self.logger.info(
                "configuration taken",
                version=self.active_configuration.version.number,
                routes=len(site.route_table.routes),
                over_seats=self._titles_over_seats()[:10],
                plans_gone=removed_plans,
            )
        else:
            self.logger.warning("configuration not taken", verdict=verdict.value, parts=parts)
        return verdict, parts

    def _titles_over_seats(self) -> list[str]:
        """Titles of which more seats are taken than a plan has, each with its numbers."""
        return [
            f"{title.name}: {title.seats_taken[plan_terms.plan]} of {plan_terms.plan.seats}"
            for title in self.title_cache.titles.values()
            for plan_terms in self.site.plans.values()
            if plan_terms.plan.seats and title.seats_taken.get(plan_terms.plan, 0) > plan_terms.plan.seats
        ]

    # Events.

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        await handle_events(self.event_receiver, lambda event: event())

    def try_submit(self, event: Event) -> bool:
        """Submits an event without waiting; returns False when the channel is full."""
        try:
            self.event_sender.send_nowait(event)
        except trio.WouldBlock:
            return False
        return True

    async def submit(self, event: Event) -> None:
        """Submits an event and waits for room in the channel."""
        await self.event_sender.send(event)

    def submit_later(self, event: Event) -> None:
        """Submits an event that must not be lost, from code that cannot wait."""
        if not self.try_submit(event):
            self.nursery.start_soon(self.submit, event)

    async def monitor_pauses(self) -> None:
        """Detects pauses of the process, until it is cancelled."""
        while True:
            self.discount_pause(self.clock.now())
            await trio.sleep(HEARTBEAT_INTERVAL_NS / 1e9)

    def discount_pause(self, now: int) -> None:
        """Detects a pause of the process that ends now, and excludes its duration from all node timeouts.

        Called before any judgement by elapsed time, which would otherwise count the pause.
        """
        pause_ns = self.pause_detector.heartbeat(now)
        if pause_ns:
            self.logger.warning("stood still", ms=pause_ns // MS, unanswered=self.unanswered_count)
            for node_client in self.node_clients.values():
                node_client.discount_pause(pause_ns)

    def paused_since(self, start: float) -> float:
        """Returns for how many seconds the process has been paused since a time on trio's clock."""
        now = self.clock.now()
        paused_ns = self.pause_detector.paused_since(now - round((trio.current_time() - start) * 1e9), now)
        return paused_ns / 1e9

    async def run_maintenance(self) -> None:
        """Checks periodically for silent nodes and for sessions that no setup try has claimed."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = self.clock.now()
            self.discount_pause(now)
            if self.durable_state is not None:
                await self.submit(self.durable_state.maintain)
            for node_client in list(self.node_clients.values()):
                await self._maintain_node_client(node_client, now)

    async def _maintain_node_client(self, node_client: NodeClient, now: int) -> None:
        """Checks a node for silence and for unclaimed sessions; closes the client of one that is no longer needed."""
        if node_client.is_watched and (loss := node_client.stream_health.check(now)) is not None:
            await self.submit(partial(self.node_events.node_lost, node_client, loss, "silent for too long"))
        for resource in node_client.node_sessions.take_orphans(now):
            self.logger.info("orphan ended", node=node_client.name)
            self.nursery.start_soon(node_client.end_session, resource)
        if node_client.name not in self.node_list.nodes and not node_client.node_sessions.claimed:
            del self.node_clients[node_client.name]
            await node_client.close()

    # Requests.

    def new_session(
        self,
        path: str,
        title_name: str,
        plan: PlanTerms,
        publishes: bool,
        key: str,
        offer: str,
        ufrag: str,
        top_rung: int,
        deadline: Deadline,
    ) -> PlaybackSession | None:
        """Creates the session of a request that has not been placed yet.

        Returns None where the title cache has no room for its title.
        """
        title = self.title_cache.get(title_name, stable_hash(title_name) % self.site.terms.cell_count)
        if title is None:
            return None
        playback = Playback(title, plan.plan, top_rung, deadline.abandon_at, False)
        return PlaybackSession(
            secrets.token_urlsafe(15), path, plan, publishes, key, offer, ufrag, deadline, playback
        )

    def request_placement(self, session: PlaybackSession) -> None:
        """Asks the policy to place a session, unless its viewer has left already."""
        # Its viewer left while the event was queued.
        if session.final_answer is not None or session.answered.is_set():
            if session.set_answer(FinalAnswer.REJECTED):
                self.idempotency_store.record_answer(
                    session.key, FinalAnswer.REJECTED, session, self.clock.now()
                )
            self._release_limits(session)
            return
        self.sessions_by_playback[session.playback] = session
        # A newer catalogue has come into force since the request was read.
        if session.catalogue_number != self.catalogue.number and not self._apply_catalogue(session):
            return
        self.policy.on_request(session.playback, self.clock.now())
        self._forget_if_over(session)

    def _apply_catalogue(self, session: PlaybackSession) -> bool:
        """Applies the catalogue in force to a new session; returns False for one that it makes rejected."""
        top_rung = self.title_top_rung(
            session.playback.title.name, session.requested_top, session.playback.plan.floor
        )
        if top_rung is None:
            reply = answers.REFUSAL_REPLIES[answers.Refusal.NO_TITLE]
            self.answer_delivery.finish_request(session, FinalAnswer.REJECTED, reply)
            del self.sessions_by_playback[session.playback]
            self._release_limits(session)
            return False
        session.playback.top_rung = top_rung
        session.catalogue_number = self.catalogue.number
        return True

    def title_top_rung(self, title: str, requested_top: int, floor: int) -> int | None:
        """Highest rung for a request under the catalogue in force; None where the title cannot be served.

        `requested_top` is the highest rung that the request takes, `floor` the lowest rung of its plan.
        """
        return highest_rung(self.catalogue, title, requested_top, floor, len(self.site.terms.rung_rates))

    def viewer_left(self, session: PlaybackSession) -> None:
        """Handles a viewer that left, or whose time was up, before its answer."""
        if session.playback not in self.sessions_by_playback:
            return
        # It plays, but its answer has not been stored yet.
        if session.playback.state is PlaybackState.PLAYING and session.copy_of is None:
            self.end_session(session)
            return
        self.policy.on_viewer_left(session.playback, self.clock.now())
        self._forget_if_over(session)

    def release_unproven(self, session: PlaybackSession) -> None:
        """Releases a playback of an earlier process that may have run, once it is known to hold nothing."""
        if session.playback in self.sessions_by_playback and not self.policy.is_over(session.playback):
            self.policy.on_try_ended(
                session.playback, Outcome.WITHDRAWN, True, None, None, None, self.clock.now()
            )
            self._forget_if_over(session)

    def end_session(self, session: PlaybackSession) -> None:
        """Ends a playing session, on behalf of its viewer or of this front end."""
        self.move_executor.viewer_left(session)
        if (
            session.is_ending
            or session.playback not in self.sessions_by_playback
            or session.playback.state is not PlaybackState.PLAYING
        ):
            return
        session.is_ending = True
        self.policy.on_viewer_left(session.playback, self.clock.now())
        self._start_session_end(session)

    def end_counterpart(self, counterpart: PlaybackSession) -> None:
        """Ends the counterpart of a move that is no longer wanted, whether it plays or is being set up."""
        if counterpart.playback.state is PlaybackState.PLAYING:
            self.end_session(counterpart)
        else:
            self.viewer_left(counterpart)

    def break_before_make(self, session: PlaybackSession) -> None:
        """Ends a session that can only move by breaking first: its viewer is told and connects again."""
        self.close_viewer_session(session)
        self.end_session(session)

    def rebind(self, session: PlaybackSession) -> None:
        """Registers a session again after its playback and its upstream session were exchanged."""
        if session.playback in self.sessions_by_playback:
            self.sessions_by_playback[session.playback] = session
        if (
            session.upstream is not None
            and (session.upstream.node, session.upstream.resource) in self.sessions_by_upstream
        ):
            self.sessions_by_upstream[session.upstream.node, session.upstream.resource] = session

    def _start_session_end(self, session: PlaybackSession) -> None:
        """Starts ending a session on its node."""
        self.pending_session_ends += 1
        self.nursery.start_soon(self._end_on_node, session)

    def set_requested_top(self, session: PlaybackSession, rung: int) -> None:
        """Limits the rungs that the policy may set to those that the viewer takes, `rung` and below."""
        if (
            session.playback not in self.sessions_by_playback
            or session.playback.state is not PlaybackState.PLAYING
        ):
            return
        session.requested_top = rung
        self.set_rung_bound(
            session, max(session.playback.plan.floor, min(rung, self.catalogue_effect(session)[1]))
        )

    def catalogue_effect(self, session: PlaybackSession) -> tuple[PlaybackEffect, int]:
        """Effect of the catalogue in force on a playback, and the highest rung that it allows."""
        node_name = session.playback.node.name if session.playback.node else ""
        catalogue_title = self.catalogue.titles.get(session.playback.title.name)
        rung_count = len(self.site.terms.rung_rates)
        return effect_on_playback(
            session.playback.plan.floor,
            session.playback.rung,
            catalogue_title,
            self.catalogue.serves_unlisted,
            rung_count,
            node_name,
        )

    def set_rung_bound(self, session: PlaybackSession, top_rung: int) -> None:
        """Sets the highest rung of a playing session.

        Where the session plays above it, it steps down at once and the policy is told.
        """
        self.rendition_bound.set_bound(session, top_rung)

    def rung_bound_exceeded(self, session: PlaybackSession) -> None:
        """Handles a node's report that a rung above the bound is in force."""
        self.rendition_bound.bound_exceeded(session)

    async def _end_on_node(self, session: PlaybackSession) -> None:
        """Ends a session on its node and then reports its playback as ended."""
        try:
            if session.upstream is not None and (node_client := self.node_clients.get(session.upstream.node)):
                await node_client.end_session(session.upstream.resource)
                node_client.node_sessions.session_released(session.upstream.resource)
            await self.submit(partial(self.playback_ended, session, Outcome.WITHDRAWN))
        finally:
            self.pending_session_ends -= 1
            self.count_changed.notify()

    # Implementation of Host.

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Starts a setup try; implements `Host.send_setup`. `abandon_at` is its deadline."""
        session = self.sessions_by_playback[playback]
        if session.copy_of is not None:
            self.move_executor.target_chosen(session, node.name)
        if self.durable_state is not None:
            self.durable_state.setup_sent(node)
        session.catalogue_number = self.catalogue.number
        self.nursery.start_soon(
            self._run_try, session, self.node_clients[node.name], playback.rung, abandon_at
        )

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Answers a request as rejected; implements `Host.reject`."""
        self.answer_delivery.finish_request(
            self.sessions_by_playback[playback], FinalAnswer.REJECTED, answers.rejected_reply(retry_after_ns)
        )

    def abort(self, playback: Playback) -> None:
        """Answers a request as aborted; implements `Host.abort`."""
        self.answer_delivery.finish_request(
            self.sessions_by_playback[playback],
            FinalAnswer.ABORTED,
            answers.aborted_reply(playback.plan.effect),
        )

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Sends a rung to the node of a playing session; implements `Host.set_rung`."""
        session = self.sessions_by_playback[playback]
        if playback.state is not PlaybackState.PLAYING:
            return  # the set-up itself carries the rung
        session.rung_to_send = rung
        if not session.is_sending_rung:
            session.is_sending_rung = True
            self.nursery.start_soon(self._send_rung_changes, session)

    def set_timer(self, at: int) -> None:
        """Calls the policy's `on_timer` at a time; implements `Host.set_timer`."""
        self.nursery.start_soon(self._run_timer, at)

    def subscribe_to_nodes(self) -> None:
        """Does nothing, as the node list is always followed; implements `Host.subscribe_to_nodes`."""

    def log(self, message: str) -> None:
        """Logs a change of the policy's mode of operation; implements `Host.log`."""
        self.logger.info("mode", change=message, playing=self.playing_count, unanswered=self.unanswered_count)

    # Tasks.

    async def _run_timer(self, fires_at: int) -> None:
        """Waits for the policy's timer."""
        await trio.sleep_until(self.clock.trio_time(fires_at))
        await self.submit(lambda: self.policy.on_timer(self.clock.now()))

    async def _run_try(
        self, session: PlaybackSession, node_client: NodeClient, rung: int, abandon_at: int
    ) -> None:
        """Runs one setup try, once its intent is stored where that is required."""
        if self.durable_state is None or await self.durable_state.record_intent(
            session, node_client.name, rung, abandon_at
        ):
            result = await node_client.set_up(session, rung, abandon_at)
        else:
            result = TryResult(Outcome.NOT_SENT, EMPTY_LOAD_REPORT, None, "not on record in time")
        await self.submit(partial(self._try_ended, session, node_client, result))

    async def _send_rung_changes(self, session: PlaybackSession) -> None:
        """Sends the rung that was requested last.

        While one change is under way, later requests replace each other.
        """
        rung = session.playback.rung
        try:
            while (
                session.rung_to_send is not None
                and session.upstream is not None
                and session.playback.state is PlaybackState.PLAYING
            ):
                rung = session.rung_to_send
                session.rung_to_send = None
                node_client = self.node_clients.get(session.upstream.node)
                if node_client is None:
                    return
                if not await node_client.set_rung(session.upstream, rung):
                    # The node's first event on a new stream says which rung is in force.
                    node_client.reopen_stream()
                    continue  # with the rung requested since, if any
                self.publish_event(session, "layers", {"encodingId": str(rung)})
        finally:
            session.is_sending_rung = False

    # Results from nodes.

    def _try_ended(self, session: PlaybackSession, node_client: NodeClient, result: TryResult) -> None:
        """Handles the end of a setup try."""
        now = self.clock.now()
        playback = session.playback
        if result.outcome is Outcome.DONE and result.upstream is not None:
            if self.node_clients.get(node_client.name) is node_client:
                self._try_succeeded(session, node_client, result)
                return
            # The list has replaced the node's address meanwhile, so nobody can use what runs at the old one.
            self.nursery.start_soon(node_client.end_session, result.upstream.resource)
            result = replace(result, outcome=Outcome.RESET, cause="its node has another address")
        is_closed = playback.state is not PlaybackState.SETTING_UP
        if self.durable_state is not None:
            self.durable_state.try_ended(session, result.outcome)
        if is_closed and session.final_answer is None:
            self.answer_delivery.abort_unanswered(session)
        self.logger.debug(
            "try",
            playback=session.id,
            node=node_client.name,
            outcome=result.outcome.value,
            cause=result.cause,
        )
        self.policy.on_try_ended(
            playback,
            result.outcome,
            is_closed,
            result.load_report.link_demand,
            result.load_report.utilization,
            result.load_report.uplink_demand,
            now,
        )
        self._forget_if_over(session)

    def apply_peer_load(self, node_name: str, link_load: float, measured_at: int) -> None:
        """Passes a node's load to the policy that another front end, or a probe of this one, has reported.

        `measured_at` is the time of the measurement.
        """
        node = self.node_list.nodes.get(node_name)
        now = self.clock.now()
        if node is not None and node_name in self.node_list.listed_nodes:
            self.policy.on_peer_load(node, link_load, max(0, now - measured_at), now)

    def _try_succeeded(self, session: PlaybackSession, node_client: NodeClient, result: TryResult) -> None:
        """Handles a setup try that has produced a session on its node."""
        now = self.clock.now()
        playback = session.playback
        assert result.upstream is not None
        still_runs = node_client.node_sessions.claim(result.upstream.resource, now)
        self.follow_events(node_client, result.upstream.events_path)
        session.upstream = result.upstream
        if playback.state is not PlaybackState.SETTING_UP:  # the viewer left during the set-up
            if session.final_answer is None:
                self.answer_delivery.abort_unanswered(session)
            session.is_ending = True
            self._start_session_end(session)
            return
        self.sessions_by_upstream[node_client.name, result.upstream.resource] = session
        self.policy.on_playing(playback, now)
        if result.load_report.link_demand is not None:
            self.policy.on_metric(playback, PlaybackMetric.LINK_LOAD, result.load_report.link_demand, now)
            self.on_link_load(node_client.name, result.load_report.link_demand, 0)
        if result.load_report.uplink_demand is not None:
            self.policy.on_metric(playback, PlaybackMetric.UPLINK_LOAD, result.load_report.uplink_demand, now)
        if session.copy_of is None:
            session.resource = SessionResource(result.upstream.etag, session.ufrag)
            self.sessions_by_id[session.id] = session
            self.answer_delivery.finish_request(session, FinalAnswer.PLAYS, None)
        elif (move := self.move_executor.move_of(session)) is not None:
            self.move_executor.handle(move, MoveEvent.TARGET_PLAYS)
        else:
            self.end_session(session)
        if not still_runs:
            self.playback_ended(session, Outcome.RESET)

    def follow_events(self, node_client: NodeClient, events_path: str) -> None:
        """Keeps the event stream of a node open from now on; `events_path` is the path of the stream."""
        self.node_events.follow(node_client, events_path)

    def detach_playback(self, session: PlaybackSession) -> PlaybackSession:
        """Moves a session's playback to a separate session, with which the rest of a move goes on."""
        detached = PlaybackSession(
            secrets.token_urlsafe(15),
            session.path,
            session.plan,
            session.publishes,
            session.key,
            "",
            "",
            session.deadline,
            session.playback,
        )
        detached.final_answer = session.final_answer
        detached.upstream = session.upstream
        detached.copy_of = session
        self.rebind(detached)
        return detached

    def playback_ended(self, session: PlaybackSession, outcome: Outcome, is_presumed: bool = False) -> None:
        """Handles the end of a playback that played, or whose viewer left while it was set up.

        With `is_presumed` the node is silent and the playback may go on: it is ended on its node first.
        """
        if session.playback not in self.sessions_by_playback or self.policy.is_over(session.playback):
            return
        if is_presumed:  # it may play on: the policy keeps its seat until the node has confirmed the end
            self.end_session(session)
            return
        self.policy.on_try_ended(session.playback, outcome, True, None, None, None, self.clock.now())
        if self.move_executor.move_of(session) is not None:
            detached = self.detach_playback(session)
            if self.move_executor.participant_ended(session, outcome is Outcome.RESET):
                self._forget_if_over(detached)
                return
            session = detached if session.copy_of is not None else session
        self.idempotency_store.playback_ended(session.key, session, self.clock.now())
        self.close_viewer_session(session, outcome)
        self._forget_if_over(session)

    def close_viewer_session(self, session: PlaybackSession, outcome: Outcome = Outcome.RESET) -> None:
        """Closes a session towards its viewer, whatever the node still holds."""
        if self.durable_state is not None:
            self.durable_state.session_ended(session)
        self.publish_event(session, "inactive", {"why": outcome.value})
        if session.resource is not None:
            session.resource.end()
        self.sessions_by_id.pop(session.id, None)
        for reader in session.readers:
            reader.send.close()
        session.readers.clear()

    # Event readers and removal.

    def publish_event(self, session: PlaybackSession, kind: str, data: dict[str, str]) -> None:
        """Sends an event to the readers of a session that take events of its kind."""
        for reader in list(session.readers):
            if kind not in reader.kinds:
                continue
            try:
                reader.send.send_nowait((kind, data))
            except trio.WouldBlock:
                # The reader is too slow: its stream ends, and a new one begins with the present state.
                session.readers.remove(reader)
                reader.send.close()

    def _release_limits(self, session: PlaybackSession) -> None:
        """Releases what a session holds of the request limits."""
        if session.limit_reservation is not None:
            self.limit_ledger.release(session.limit_reservation)

    def _forget_if_over(self, session: PlaybackSession) -> None:
        """Forgets a session once the policy expects nothing more for its playback."""
        if not self.policy.is_over(session.playback):
            return
        if self.sessions_by_playback.pop(session.playback, None) is None:
            return
        if self.durable_state is not None:
            self.durable_state.seat_released(session.playback)
        self._release_limits(session)
        if session.final_answer is FinalAnswer.PLAYS and session.copy_of is None:
            self.playing_count -= 1
            self.count_changed.notify()
        if session.upstream is not None:
            self.sessions_by_upstream.pop((session.upstream.node, session.upstream.resource), None)


def configured_placements(site: SharedSettings) -> dict[str, tuple[int, int]]:
    """First cell and number of copies of each title whose placement is configured."""
    return {name: (placement.home_cell, placement.copy_count) for name, placement in site.titles.items()}
