"""Handles the events of playout nodes: what each means for the sessions there, and the loss of a node."""

from __future__ import annotations

from functools import partial

import structlog

from oakcroft.decisions.sessions.event_stream_health import LossCertainty
from oakcroft.front.node_client import NodeClient, NodeEvent, is_valid_value
from oakcroft.front.protocols import MoveParticipants, Coordinator
from oakcroft.interface import Node, Outcome, PlaybackMetric


class NodeEventHandler:
    """Handler of the node events of one front end."""

    def __init__(
        self,
        coordinator: Coordinator,
        move_executor: MoveParticipants,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Creates the handler."""
        self.coordinator = coordinator
        self.move_executor = move_executor
        self.log = log

    def follow(self, node_client: NodeClient, events_path: str) -> None:
        """Keeps the event stream of a node open from now on; an empty `events_path` is ignored."""
        if events_path and node_client.events_path != events_path:
            node_client.events_path = events_path
        if node_client.events_path:
            if not node_client.stream_wanted.is_set():
                node_client.stream_health.start(self.coordinator.clock.now())
            node_client.stream_wanted.set()
            if not node_client.is_watched:
                node_client.is_watched = True
                self.coordinator.nursery.start_soon(
                    node_client.watch,
                    partial(self._queue_event, node_client),
                    partial(self._queue_node_lost, node_client),
                )

    async def _queue_event(self, node_client: NodeClient, event_name: str, event: NodeEvent) -> None:
        """Submits a node event, with the time at which its stream was requested."""
        await self.coordinator.submit(
            partial(self._handle_event, node_client, event_name, event, node_client.stream_requested_at)
        )

    def _handle_event(
        self, node_client: NodeClient, event_name: str, event: NodeEvent, requested_at: int
    ) -> None:
        """Handles a node event in the event task."""
        now = self.coordinator.clock.now()
        node = self.coordinator.node_list.nodes.get(node_client.name)
        if event_name == "hello":
            self._handle_hello(node_client, event, requested_at, now)
        elif event_name == "started":
            node_client.node_sessions.session_started(event.session, now)
        elif event_name == "ended":
            if node_client.node_sessions.session_ended(event.session):
                self._session_ended(node_client, event.session, Outcome.DONE)
        elif event_name == "rung":
            self._apply_rung(node_client, event.session, event.rung, now)
        elif node is not None and node.playbacks:
            if event_name == "share" and is_valid_value(event.share):
                self._handle_share(node, min(1.0, event.share), now)
            elif event_name == "link":
                self._handle_link(node, event, now)

    def _handle_hello(self, node_client: NodeClient, event: NodeEvent, requested_at: int, now: int) -> None:
        """Reconciles the sessions here with those that the node names at the start of its stream."""
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.node_state_received(node_client, event, requested_at)
        missing = node_client.node_sessions.reconcile(event.sessions, requested_at, now)
        taken_over = set(event.passed).intersection(missing)
        if taken_over:  # nothing is lost, and it does not count against the node
            self.log.warning("passed on", node=node_client.name, playbacks=len(taken_over))
            self.coordinator.on_sessions_taken_over(len(taken_over))
        if len(missing) > len(taken_over):
            self.log.warning(
                "node lost",
                node=node_client.name,
                why=event.why or "sessions ended unheard",
                playbacks=len(missing) - len(taken_over),
            )
        for resource in missing:
            session = self.coordinator.sessions_by_upstream.get((node_client.name, resource))
            is_ended_while_away = (
                session is not None
                and self.coordinator.durable_state is not None
                and self.coordinator.durable_state.ended_while_away(session)
            )
            is_expected = is_ended_while_away or resource in taken_over
            self._session_ended(node_client, resource, Outcome.DONE if is_expected else Outcome.RESET)
        for resource, rung in zip(event.sessions, event.rungs, strict=False):
            self._apply_rung(node_client, resource, rung, now)

    def _handle_share(self, node: Node, share: float, now: int) -> None:
        """Passes a node's reported share of delivery on to the moves and the policy."""
        playback = next(iter(node.playbacks))
        other_shares = [
            other_node.delivered_share
            for other_node in self.coordinator.node_list.nodes.values()
            if other_node is not node and other_node.playbacks
        ]
        fleet_share = sum(other_shares) / len(other_shares) if other_shares else 0.0
        self.move_executor.on_delivered_share(node.name, share, fleet_share, now)
        self.coordinator.policy.on_metric(playback, PlaybackMetric.DELIVERED_SHARE, share, now)

    def _handle_link(self, node: Node, event: NodeEvent, now: int) -> None:
        """Passes a node's reported loads of its link and of its rack's uplink on to the policy."""
        playback = next(iter(node.playbacks))
        policy = self.coordinator.policy
        if event.asked is not None and is_valid_value(event.asked):
            policy.on_metric(playback, PlaybackMetric.LINK_LOAD, event.asked, now)
            report_delay_ns = self.coordinator.site.terms.report_delay_ns
            self.coordinator.on_link_load(node.name, event.asked, report_delay_ns)
        if event.uplink is not None and is_valid_value(event.uplink):
            policy.on_metric(playback, PlaybackMetric.UPLINK_LOAD, event.uplink, now)

    def _apply_rung(self, node_client: NodeClient, resource: str, rung: int, now: int) -> None:
        """Applies the rung that a node reports for a session."""
        session = self.coordinator.sessions_by_upstream.get((node_client.name, resource))
        if (
            session is not None
            and 0 <= rung < len(self.coordinator.site.terms.rung_rates)
            and rung != session.playback.rung
        ):
            self.coordinator.policy.on_metric(session.playback, PlaybackMetric.RUNG, rung, now)
            if session.playback.rung > session.playback.top_rung:
                self.coordinator.rung_bound_exceeded(session)

    async def _queue_node_lost(self, node_client: NodeClient, loss: LossCertainty, reason: str) -> None:
        """Submits the loss of a node."""
        await self.coordinator.submit(partial(self.node_lost, node_client, loss, reason))

    def node_lost(self, node_client: NodeClient, loss: LossCertainty, reason: str) -> None:
        """Ends what played on a node.

        Where the loss is only presumed, the policy is told that nothing is delivered there, the viewers are
        told of the end, and seats stay taken until the node confirms the end or its time has run out.
        """
        is_proven = loss is LossCertainty.PROVEN
        if self.coordinator.durable_state is not None:
            self.coordinator.durable_state.node_lost(node_client.name, is_proven)
        lost_resources = (
            node_client.node_sessions.lose_all()
            if is_proven
            else node_client.node_sessions.claimed_sessions()
        )
        if lost_resources:
            self.log.warning(
                "node lost", node=node_client.name, why=reason, how=loss.value, playbacks=len(lost_resources)
            )
        is_reported = False  # one silence counts once against its node, whatever the number of its playbacks
        for resource in lost_resources:
            session = self.coordinator.sessions_by_upstream.get((node_client.name, resource))
            if session is None:
                continue
            if is_proven:
                self.coordinator.playback_ended(session, Outcome.RESET)
                continue
            if not is_reported:
                is_reported = True
                self.coordinator.policy.on_metric(
                    session.playback, PlaybackMetric.DELIVERED_SHARE, 0.0, self.coordinator.clock.now()
                )
            if self.move_executor.move_of(session) is not None:
                self.coordinator.playback_ended(
                    self.coordinator.detach_playback(session), Outcome.RESET, is_presumed=True
                )
                if not self.move_executor.participant_ended(session, True):
                    self.coordinator.close_viewer_session(session)
                continue
            self.coordinator.close_viewer_session(session)
            self.coordinator.end_session(session)

    def _session_ended(self, node_client: NodeClient, resource: str, outcome: Outcome) -> None:
        """Ends the playback of a session that has ended on its node."""
        if session := self.coordinator.sessions_by_upstream.get((node_client.name, resource)):
            self.coordinator.playback_ended(session, outcome)
