"""State of an emulated playout node: its sessions, the event streams of its front ends, and its present faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from urllib.parse import unquote

import trio

from oakcroft.config.settings import SharedSettings
from oakcroft.decisions.fleet.session_ownership import MAX_SESSION_LEASE, Caller
from oakcroft.decisions.routing.route_table import RouteRequest, ClientRole
from oakcroft.httpwire.message import Request
from oakcroft.interface import SECOND
from oakcroft.signalling import http_formats, takeover_messages
from oakcroft.standins.links import Machine, Stream
from oakcroft.standins.record import Record

KEY_RETENTION_SECONDS = 120.0
"""How long a node remembers the idempotency keys of the set-ups that it ran."""

DEFAULT_LEASE_SECONDS = 3.0
"""A front end without an event stream for this time loses its sessions, unless it requested a longer lease."""

TITLE_RATE_MIN = 0.85
TITLE_RATE_SPREAD = 0.3
TITLE_RATE_STEPS = 97
"""Range and steps of a title's rate relative to that of its rung, as titles differ in how well they compress."""


@dataclass
class Session:
    """One playback on a node."""

    id: str
    front: str
    key: str
    plan: str
    title: str
    entity_tag: int = 1
    """Entity tag of its ICE session; an ICE restart increments it."""
    holder: Caller = field(default_factory=lambda: Caller(""))
    takeover_context: str = ""
    """What its front end stored for the one that may take it over."""
    answer: str = ""
    media_address: tuple[str, int] | None = None
    """Address at which the player receives, if its offer has one."""
    next_rtp_sequence: int = 0
    setup_number: int = 0
    """Number of the set-up, counted by process."""


@dataclass
class Subscription:
    """The event stream of one front end, which is open while there is a channel."""

    channel: trio.MemorySendChannel[bytes] | None = None
    disconnected_at: float = 0.0
    lease_seconds: float = DEFAULT_LEASE_SECONDS
    taken_over: deque[tuple[float, str]] = field(default_factory=deque)
    """Times and paths of sessions that other front ends took over from it."""


@dataclass
class NodeFaults:
    """Present faults of a node."""

    is_dead: bool = False
    is_silent: bool = False
    is_hung: bool = False
    lost_answer_share: float = 0.0
    is_draining: bool = False
    report_delay_seconds: float = 0.0
    skips_holder_check: bool = False
    """Violates the protocol for tests of the rules: any front end can control or take over any session."""
    unreachable_zones: set[str] = field(default_factory=set)


class NodeState:
    """State of one node, and the changes of state that several kinds of requests have in common."""

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        machine: Machine,
        site: SharedSettings,
        record: Record,
        rng: Random,
        setup_duration_ns: tuple[int, int],
        clock: Callable[[], int],
        zone_of_front: Callable[[str], str],
    ) -> None:
        """Creates a node without a running process.

        `setup_duration_ns` is the range of how long a set-up takes; `clock` returns the time in ns; `zone_of_front`
        returns the zone of a front end.
        """
        self.name = name
        self.zone = zone
        self.cell = cell
        self.machine = machine
        self.site = site
        self.record = record
        self.rng = rng
        self.setup_duration_ns = setup_duration_ns
        self.clock = clock
        self.zone_of_front = zone_of_front
        self.start_count = 0
        self.setup_count = 0
        self.faults = NodeFaults()
        self.sessions: dict[str, Session] = {}
        self.keys_by_front: dict[str, deque[tuple[float, str]]] = {}
        """Times and idempotency keys of the set-ups that it ran."""
        self.process_started_at = 0.0
        self.subscriptions: dict[str, Subscription] = {}
        self.changed = trio.Event()
        self.revenue_by_plan: dict[str, float] = {}

    @property
    def process(self) -> str:
        """Name of the running process."""
        return f"{self.name}-{self.start_count}"

    def notify_changed(self) -> None:
        """Wakes the tasks that wait for a change of the node's state."""
        self.changed.set()
        self.changed = trio.Event()

    def cannot_reach(self, front: str) -> bool:
        """Returns whether nothing that the node sends reaches a front end."""
        return self.faults.is_silent or self.zone_of_front(front) in self.faults.unreachable_zones

    def load(self) -> http_formats.LoadReport:
        """Returns the loads of its link and its uplink in the form of its reports."""
        link_load, uplink_load = self.machine.link_load(), self.machine.uplink_load()
        return http_formats.LoadReport(link_load, min(1.0, link_load), uplink_load or None)

    def stream_rate(self, plan: str, title: str, rung: int) -> float:
        """Returns the rate of a stream in kB/s."""
        step = (sum(title.encode()) % TITLE_RATE_STEPS) / TITLE_RATE_STEPS
        title_factor = TITLE_RATE_MIN + TITLE_RATE_SPREAD * step
        return self.site.terms.rung_rates[rung] * self.site.plans[plan].plan.rate_factor * title_factor

    def plan_and_title(self, path: str) -> tuple[str, str]:
        """Returns the plan and the title of a path by the most specific route for watching or publishing.

        Conditions that routes set on the client are left to the front end.
        """
        prefix, title = RouteRequest(ClientRole.WATCH, unquote(path), "", {}).split_path()
        for role in ClientRole:
            bucket = self.site.route_table.by_prefix.get((role, prefix))
            for routes in bucket.candidates(title) if bucket else ():
                for route in routes:
                    return route.plan, title
        return "", ""

    def recent_keys(self, front: str) -> deque[tuple[float, str]]:
        """Returns the times and keys of a front end's set-ups within the retention, oldest first."""
        keys = self.keys_by_front.setdefault(front, deque())
        while keys and keys[0][0] < trio.current_time() - KEY_RETENTION_SECONDS:
            keys.popleft()
        return keys

    def subscription_of(self, front: str) -> Subscription:
        """Returns a front end's event stream, or creates one that counts as disconnected from now on."""
        return self.subscriptions.setdefault(front, Subscription(disconnected_at=trio.current_time()))

    def disconnected_for(self, front: str) -> int | None:
        """Returns for how long in ns a front end has had no event stream; None while it has one."""
        subscription = self.subscriptions.get(front)
        if subscription is None:
            return MAX_SESSION_LEASE
        if subscription.channel is not None:
            return None
        return round((trio.current_time() - subscription.disconnected_at) * SECOND)

    def start_session(self, session: Session, rung: int) -> None:
        """Starts a session on a rung, and reports it to its front end."""
        plan = self.site.plans[session.plan].plan
        revenue_rates = tuple(share * plan.revenue for share in self.site.terms.rung_revenue_shares)
        rate = self.stream_rate(session.plan, session.title, rung)
        self.sessions[session.id] = session
        self.recent_keys(session.front).append((trio.current_time(), session.key))
        self.machine.add_stream(session.id, Stream(rate, rung, revenue_rates, self.clock()))
        self.record.note(
            "ran", node=self.name, key=session.key, plan=session.plan, front=session.front, session=session.id
        )
        subscription = self.subscription_of(session.front)
        self.send_event(subscription, "started", {"session": f"/sessions/{session.id}"})

    def end_session(self, session_id: str, reason: str, requested_by: str = "") -> None:
        """Ends a session, if it exists, and reports that to its front end.

        `requested_by` is the front end that requested the end, if one did.
        """
        session = self.sessions.pop(session_id, None)
        stream = self.machine.remove_stream(session_id)
        if session is None or stream is None:
            return
        self.revenue_by_plan[session.plan] = self.revenue_by_plan.get(session.plan, 0.0) + stream.revenue
        self.record.note(
            "over",
            node=self.name,
            session=session_id,
            key=session.key,
            front=session.front,
            why=reason,
            by=requested_by,
        )
        if subscription := self.subscriptions.get(session.front):
            self.send_event(subscription, "ended", {"session": f"/sessions/{session_id}", "why": reason})

    @staticmethod
    def send_event(subscription: Subscription, name: str, data: object) -> None:
        """Queues an event for one front end; closes its event stream if the front end is too far behind."""
        if subscription.channel is None:
            return
        try:
            subscription.channel.send_nowait(http_formats.format_event(name, data))
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            subscription.channel.close()
            subscription.channel = None
            subscription.disconnected_at = trio.current_time()


def front_of(request: Request) -> str:
    """Returns the pseudonym of the front end that sends a request."""
    return (request.header("via") or "").removeprefix("1.1 ")


def caller_of(request: Request) -> Caller:
    """Returns the front end that sends a request, with its member name and its generation."""
    member, generation = takeover_messages.parse_front(request.header(takeover_messages.FRONT_HEADER.lower()))
    return Caller(front_of(request), member, generation)
