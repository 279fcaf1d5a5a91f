"""Protocols between the session coordinator and its parts.

Moves, durable state and node events work on the coordinator's sessions, and the coordinator works through
them. What each of them needs of the others is declared here, so that none of them imports another.
`SessionCoordinator` satisfies `Coordinator`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from oakcroft.decisions.fleet.node_list import ListedNode, NodeList
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.decisions.sessions.answers import FinalAnswer
from oakcroft.decisions.sessions.idempotency import IdempotencyStore
from oakcroft.front.node_client import FrontIdentity, NodeClient, NodeEvent
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.config.settings import PlanTerms, SharedSettings
from oakcroft.interface import (
    Host,
    NodeListKind,
    NodeEntry,
    Node,
    PlaybackMetric,
    Outcome,
    Playback,
    DeploymentSettings,
)
from oakcroft.running.clock import Clock
from oakcroft.running.inbox import Event


class DecisionPolicy(Protocol):
    """What a front end calls to decide: the controller, or a baseline in its place."""

    def on_node_list(self, kind: NodeListKind, entries: Iterable[NodeEntry], now: int) -> None:
        """Handles a node list or its changes."""

    def on_request(self, playback: Playback, now: int) -> None:
        """Handles a request for a playback."""

    def on_handed_over(self, playback: Playback, node: Node, now: int) -> None:
        """Takes over a playback that plays on a node already."""

    def on_history_restored(
        self, retry_times: Iterable[int], nodes_with_used_slot: Iterable[Node], now: int
    ) -> None:
        """Restores what an earlier process did: times of retries, and nodes whose cold slot is used up."""

    def on_playing(self, playback: Playback, now: int) -> None:
        """Handles a set-up that has succeeded."""

    def on_metric(self, playback: Playback, metric: PlaybackMetric, value: float, now: int) -> None:
        """Handles a reported value of a playing playback."""

    def on_peer_load(self, node: Node, link_load: float, report_age_ns: int, now: int) -> None:
        """Handles a node's link load that another front end has reported."""

    def on_viewer_left(self, playback: Playback, now: int) -> None:
        """Handles a viewer that left."""

    def on_timer(self, now: int) -> None:
        """Handles the timer that was set through the host."""

    def is_over(self, playback: Playback) -> bool:
        """Whether nothing more can come for a playback."""

    def on_try_ended(
        self, playback: Playback, outcome: Outcome, is_closed: bool,
        link_load: float | None, capped_link_load: float | None, uplink_load: float | None, now: int,
    ) -> None:  # fmt: skip
        """Handles the end of a setup try, or of the playback that it started."""


PolicyFactory = Callable[[DeploymentSettings, int, Host, int], DecisionPolicy]


class ChangeNotifier:
    """Wakes tasks that wait for a change of the front end's counts."""

    def __init__(self) -> None:
        """Creates a notifier that nobody waits for."""
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wakes all waiting tasks."""
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for_change(self, timeout_seconds: float) -> None:
        """Waits for the next change, for `timeout_seconds` at most."""
        with trio.move_on_after(timeout_seconds):
            await self.changed.wait()


class DurableState(Protocol):
    """The stored state, as the parts of the coordinator use it."""

    def must_record_answer(self, session: PlaybackSession) -> bool:
        """Whether the answer that a session plays must be recorded before it is given."""

    async def record_playing(self, session: PlaybackSession) -> bool:
        """Records that a session plays; returns False if that did not succeed in time."""

    def answer_given(self, session: PlaybackSession, final: FinalAnswer) -> None:
        """Records the final answer of a session."""

    def node_list_changed(self, listed_nodes: Iterable[ListedNode], version: int, service: str) -> None:
        """Stores a changed node list."""

    def nodes_listed(self, listed_nodes: Iterable[ListedNode]) -> None:
        """Handles the nodes of an applied list, which recovery may have to ask."""

    def move_started(self, session: PlaybackSession, copy: PlaybackSession) -> None:
        """Records that a copy of a session may be set up from now on."""

    def move_ended(self, session: PlaybackSession) -> None:
        """Records that the move of a session has ended."""

    def session_moved(self, session: PlaybackSession) -> None:
        """Records that a session plays on another node."""

    def node_state_received(self, node_client: NodeClient, hello: NodeEvent, requested_at: int) -> None:
        """Handles the first event of a node's stream, which names the sessions that the node runs."""

    def ended_while_away(self, session: PlaybackSession) -> bool:
        """Whether a session ended while this front end was not running.

        Such an end says nothing against its node.
        """

    def node_lost(self, node_name: str, is_proven: bool) -> None:
        """Handles the loss of a node; `is_proven` says that its process is known to be gone."""


class MoveParticipants(Protocol):
    """The moves, as node events use them."""

    def on_delivered_share(self, node_name: str, share: float, fleet_share: float, now: int) -> None:
        """Handles a reported share of delivery of a node; `fleet_share` is the mean of the other nodes."""

    def move_of(self, session: PlaybackSession) -> object | None:
        """Move that a session takes part in, or None."""

    def participant_ended(self, participant: PlaybackSession, was_lost: bool) -> bool:
        """Handles the end of a session in a move; returns whether the player's playback goes on."""


class Coordinator(Protocol):
    """The session coordinator, as its parts use it: its sessions, and the operations on one."""

    pseudonym: str
    clock: Clock
    nursery: trio.Nursery
    node_list: NodeList
    node_clients: dict[str, NodeClient]
    title_cache: TitleCache
    sessions_by_playback: dict[Playback, PlaybackSession]
    sessions_by_id: dict[str, PlaybackSession]
    sessions_by_upstream: dict[tuple[str, str], PlaybackSession]
    idempotency_store: IdempotencyStore
    playing_count: int
    answer_counts: Counter[FinalAnswer]
    on_answer: Callable[[bool, PlanTerms, int], None] | None
    on_sessions_taken_over: Callable[[int], None]
    on_link_load: Callable[[str, float, int], None]
    longest_abandon_ns: int
    identity: FrontIdentity | None

    @property
    def site(self) -> SharedSettings:
        """Deployment-wide part of the configuration version in force."""

    @property
    def policy(self) -> DecisionPolicy:
        """The decision policy."""

    @property
    def durable_state(self) -> DurableState | None:
        """The stored state; None where the front end keeps none."""

    async def submit(self, event: Event) -> None:
        """Submits an event and waits for room in the channel."""

    def submit_later(self, event: Event) -> None:
        """Submits an event that must not be lost, from code that cannot wait."""

    def discount_pause(self, now: int) -> None:
        """Detects a pause of the process that ends now, and excludes its duration from all node timeouts."""

    def paused_since(self, start: float) -> float:
        """Returns for how many seconds the process has been paused since a time on trio's clock."""

    def request_placement(self, session: PlaybackSession) -> None:
        """Asks the policy to place a session."""

    def release_unproven(self, session: PlaybackSession) -> None:
        """Releases a playback of an earlier process that may have run and holds nothing any more."""

    def end_session(self, session: PlaybackSession) -> None:
        """Ends a playing session."""

    def end_counterpart(self, counterpart: PlaybackSession) -> None:
        """Ends the counterpart of a move that is no longer wanted."""

    def break_before_make(self, session: PlaybackSession) -> None:
        """Ends a session whose viewer has to connect again."""

    def close_viewer_session(self, session: PlaybackSession, outcome: Outcome = Outcome.RESET) -> None:
        """Closes a session towards its viewer."""

    def rebind(self, session: PlaybackSession) -> None:
        """Registers a session again after its playback and upstream session were exchanged."""

    def set_rung_bound(self, session: PlaybackSession, top_rung: int) -> None:
        """Sets the highest rung of a playing session."""

    def rung_bound_exceeded(self, session: PlaybackSession) -> None:
        """Handles a node's report that a rung above the bound is in force."""

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Sends a rung to the node of a playing session."""

    def publish_event(self, session: PlaybackSession, kind: str, data: dict[str, str]) -> None:
        """Sends an event to the readers of a session."""

    def playback_ended(self, session: PlaybackSession, outcome: Outcome, is_presumed: bool = False) -> None:
        """Handles the end of a playback."""

    def detach_playback(self, session: PlaybackSession) -> PlaybackSession:
        """Moves a session's playback to a separate session."""

    def follow_events(self, node_client: NodeClient, events_path: str) -> None:
        """Keeps the event stream of a node open from now on."""
