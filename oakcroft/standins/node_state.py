"""What a playout node holds: its sessions, the event streams of its front ends, and what is wrong with it now."""

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
from oakcroft.signalling import handing, words
from oakcroft.standins.links import Machine, Stream
from oakcroft.standins.record import Record

KEY_RETENTION_SECONDS = 120.0
"""For which a node knows the keys that it ran."""

DEFAULT_LEASE_SECONDS = 3.0
"""A front whose event stream is gone for so long has lost its sessions, unless it asked for longer."""

TITLE_RATE_LEAST, TITLE_RATE_SPREAD, TITLE_RATE_STEPS = 0.85, 0.3, 97
"""A title's rate over its rung's: no two are encoded alike."""


@dataclass
class Session:
    """One playback on a node."""

    id: str
    front: str
    key: str
    plan: str
    title: str
    entity_tag: int = 1
    """The entity tag of its ICE session; a restart counts it up."""
    holder: Caller = field(default_factory=lambda: Caller(""))
    memo: str = ""
    """What its front left for whoever takes it over."""
    answer: str = ""
    media_address: tuple[str, int] | None = None
    """Where the player receives, if it says."""
    next_rtp_sequence: int = 0
    """Of its next RTP packet."""
    setup_number: int = 0
    """Of the set-up, in its process."""


@dataclass
class Subscription:
    """One front's event stream, or the lack of it."""

    channel: trio.MemorySendChannel[bytes] | None = None
    disconnected_at: float = 0.0
    lease_seconds: float = DEFAULT_LEASE_SECONDS
    taken_over: deque[tuple[float, str]] = field(default_factory=deque)
    """Sessions that others took over, and when."""


@dataclass
class NodeFaults:
    """What is wrong with a node now."""

    is_dead: bool = False
    is_silent: bool = False
    is_hung: bool = False
    lost_answer_share: float = 0.0
    is_draining: bool = False
    report_delay_seconds: float = 0.0
    skips_holder_check: bool = False
    """A planted fault: it does not check who holds a session."""
    unreachable_zones: set[str] = field(default_factory=set)


class NodeState:
    """The state of one node, and the changes of it that more than one kind of request makes."""

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
        self.name, self.zone, self.cell, self.machine = name, zone, cell, machine
        self.site, self.record, self.rng, self.setup_duration_ns = site, record, rng, setup_duration_ns
        self.clock, self.zone_of_front = clock, zone_of_front
        self.start_count, self.setup_count = 0, 0
        self.faults = NodeFaults()
        self.sessions: dict[str, Session] = {}
        self.keys_by_front: dict[str, deque[tuple[float, str]]] = {}
        """By front: when it ran a set-up, and under which key."""
        self.process_started_at = 0.0
        self.subscriptions: dict[str, Subscription] = {}
        self.changed = trio.Event()
        self.revenue_by_plan: dict[str, float] = {}

    @property
    def process(self) -> str:
        """The name of the running process."""
        return f"{self.name}-{self.start_count}"

    def notify_changed(self) -> None:
        """Wakes those that wait for the node's state to change."""
        self.changed.set()
        self.changed = trio.Event()

    def cannot_reach(self, front: str) -> bool:
        """Whether nothing that the node sends reaches a front."""
        return self.faults.is_silent or self.zone_of_front(front) in self.faults.unreachable_zones

    def load(self) -> words.Load:
        """What is asked of its links, as it reports that."""
        asked, uplink = self.machine.link_load(), self.machine.uplink_load()
        return words.Load(asked, min(1.0, asked), uplink if uplink else None)

    def stream_rate(self, plan: str, title: str, rung: int) -> float:
        """The rate of a stream, kB a second."""
        step = (sum(title.encode()) % TITLE_RATE_STEPS) / TITLE_RATE_STEPS
        of_title = TITLE_RATE_LEAST + TITLE_RATE_SPREAD * step
        return self.site.terms.rung_rates[rung] * self.site.plans[plan].plan.rate_factor * of_title

    def plan_and_title(self, path: str) -> tuple[str, str]:
        """The plan and title of a path, as the most particular route of either side has it; conditions on the client
        are the front's matter."""
        prefix, title = RouteRequest(ClientRole.WATCH, unquote(path), "", {}).split_path()
        for side in ClientRole:
            bucket = self.site.route_table.by_prefix.get((side, prefix))
            for routes in bucket.candidates(title) if bucket else ():
                for route in routes:
                    return route.plan, title
        return "", ""

    def recent_keys(self, front: str) -> deque[tuple[float, str]]:
        """When the node ran set-ups of a front, and under which keys, as far back as it knows."""
        ran = self.keys_by_front.setdefault(front, deque())
        while ran and ran[0][0] < trio.current_time() - KEY_RETENTION_SECONDS:
            ran.popleft()
        return ran

    def subscription_of(self, front: str) -> Subscription:
        """A front's event stream; one that is gone since now where it never had any."""
        return self.subscriptions.setdefault(front, Subscription(disconnected_at=trio.current_time()))

    def disconnected_for(self, front: str) -> int | None:
        """For how long a front has not listened, ns; None where it does."""
        ear = self.subscriptions.get(front)
        if ear is None:
            return MAX_SESSION_LEASE
        return (
            None if ear.channel is not None else round((trio.current_time() - ear.disconnected_at) * SECOND)
        )

    def start_session(self, session: Session, rung: int) -> None:
        """A session begins to play."""
        plan = self.site.plans[session.plan].plan
        worth = tuple(worth * plan.revenue for worth in self.site.terms.rung_revenue_shares)
        stream = Stream(self.stream_rate(session.plan, session.title, rung), rung, worth, self.clock())
        self.sessions[session.id] = session
        self.recent_keys(session.front).append((trio.current_time(), session.key))
        self.machine.add_stream(session.id, stream)
        self.record.note(
            "ran", node=self.name, key=session.key, plan=session.plan, front=session.front, session=session.id
        )
        self.send_event(
            self.subscription_of(session.front), "started", {"session": f"/sessions/{session.id}"}
        )

    def end_session(self, name: str, why: str, by: str = "") -> None:
        """Ends a session, if there is one of this name, and tells its front. `by`: the front that asked for it."""
        session = self.sessions.pop(name, None)
        stream = self.machine.remove_stream(name)
        if session is None or stream is None:
            return
        self.revenue_by_plan[session.plan] = self.revenue_by_plan.get(session.plan, 0.0) + stream.revenue
        self.record.note(
            "over", node=self.name, session=name, key=session.key, front=session.front, why=why, by=by
        )
        if ear := self.subscriptions.get(session.front):
            self.send_event(ear, "ended", {"session": f"/sessions/{name}", "why": why})

    @staticmethod
    def send_event(ear: Subscription, name: str, data: object) -> None:
        """An event to one front, if it listens and is not too far behind."""
        if ear.channel is not None:
            try:
                ear.channel.send_nowait(words.event(name, data))
            except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
                ear.channel.close()
                ear.channel, ear.disconnected_at = None, trio.current_time()


def front_of(request: Request) -> str:
    """The pseudonym of the front that asks."""
    return (request.header("via") or "").removeprefix("1.1 ")


def caller_of(request: Request) -> Caller:
    """Which front asks, with its name among its peers and the number of its start."""
    member, start = handing.read_front(request.header(handing.FRONT.lower()))
    return Caller(front_of(request), member, start)
