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
from oakcroft.signalling import http_formats, takeover_messages
from oakcroft.standins.links import Machine, Stream
from oakcroft.standins.record import Record

KEYS_KEPT_SECONDS = 120.0
"""For which a node knows the keys that it ran."""

LEASE_SECONDS = 3.0
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
    tag: int = 1
    """The entity tag of its ICE session; a restart counts it up."""
    holder: Caller = field(default_factory=lambda: Caller(""))
    memo: str = ""
    """What its front left for whoever takes it over."""
    answer: str = ""
    media: tuple[str, int] | None = None
    """Where the player receives, if it says."""
    sequence: int = 0
    """Of its next RTP packet."""
    number: int = 0
    """Of the set-up, in its process."""


@dataclass
class Ear:
    """One front's event stream, or the lack of it."""

    send: trio.MemorySendChannel[bytes] | None = None
    away_since: float = 0.0
    lease: float = LEASE_SECONDS
    passed: deque[tuple[float, str]] = field(default_factory=deque)
    """Sessions that others took over, and when."""


@dataclass
class Ails:
    """What is wrong with a node now."""

    dead: bool = False
    silent: bool = False
    hung: bool = False
    lost_share: float = 0.0
    draining: bool = False
    late: float = 0.0
    trusts_all: bool = False
    """A planted fault: it does not check who holds a session."""
    cut_from: set[str] = field(default_factory=set)


class NodeState:
    """The state of one node, and the changes of it that more than one kind of request makes."""

    def __init__(
        self,
        name: str,
        wing: str,
        cell: int,
        machine: Machine,
        site: SharedSettings,
        record: Record,
        rng: Random,
        setup: tuple[int, int],
        clock: Callable[[], int],
        wing_of: Callable[[str], str],
    ) -> None:
        """A node without a process. `setup`: how long a set-up takes, between two times in ns; `clock`: ns now;
        `wing_of`: the wing that a front stands in."""
        self.name, self.wing, self.cell, self.machine = name, wing, cell, machine
        self.site, self.record, self.rng, self.setup = site, record, rng, setup
        self.clock, self.wing_of = clock, wing_of
        self.boots, self.numbers = 0, 0
        self.ails = Ails()
        self.sessions: dict[str, Session] = {}
        self.ran: dict[str, deque[tuple[float, str]]] = {}
        """By front: when it ran a set-up, and under which key."""
        self.up_since = 0.0
        self.ears: dict[str, Ear] = {}
        self.changed = trio.Event()
        self.earned: dict[str, float] = {}

    @property
    def process(self) -> str:
        """The name of the running process."""
        return f"{self.name}-{self.boots}"

    def stir(self) -> None:
        """Wakes those that wait for the node's state to change."""
        self.changed.set()
        self.changed = trio.Event()

    def is_mute(self, front: str) -> bool:
        """Whether nothing that the node sends reaches a front."""
        return self.ails.silent or self.wing_of(front) in self.ails.cut_from

    def load(self) -> http_formats.LoadReport:
        """What is asked of its links, as it reports that."""
        asked, uplink = self.machine.asked(), self.machine.uplink_asked()
        return http_formats.LoadReport(asked, min(1.0, asked), uplink if uplink else None)

    def rate(self, plan: str, title: str, rung: int) -> float:
        """The rate of a stream, kB a second."""
        step = (sum(title.encode()) % TITLE_RATE_STEPS) / TITLE_RATE_STEPS
        of_title = TITLE_RATE_LEAST + TITLE_RATE_SPREAD * step
        return self.site.terms.rung_rates[rung] * self.site.plans[plan].plan.rate_factor * of_title

    def plan_of(self, path: str) -> tuple[str, str]:
        """The plan and title of a path, as the most particular route of either side has it; conditions on the client
        are the front's matter."""
        prefix, title = RouteRequest(ClientRole.WATCH, unquote(path), "", {}).split_path()
        for side in ClientRole:
            bucket = self.site.route_table.by_prefix.get((side, prefix))
            for routes in bucket.candidates(title) if bucket else ():
                for route in routes:
                    return route.plan, title
        return "", ""

    def keys_ran(self, front: str) -> deque[tuple[float, str]]:
        """When the node ran set-ups of a front, and under which keys, as far back as it knows."""
        ran = self.ran.setdefault(front, deque())
        while ran and ran[0][0] < trio.current_time() - KEYS_KEPT_SECONDS:
            ran.popleft()
        return ran

    def ear_of(self, front: str) -> Ear:
        """A front's event stream; one that is gone since now where it never had any."""
        return self.ears.setdefault(front, Ear(away_since=trio.current_time()))

    def away(self, front: str) -> int | None:
        """For how long a front has not listened, ns; None where it does."""
        ear = self.ears.get(front)
        if ear is None:
            return MAX_SESSION_LEASE
        return None if ear.send is not None else round((trio.current_time() - ear.away_since) * SECOND)

    def start_session(self, session: Session, rung: int) -> None:
        """A session begins to play."""
        plan = self.site.plans[session.plan].plan
        worth = tuple(worth * plan.revenue for worth in self.site.terms.rung_revenue_shares)
        stream = Stream(self.rate(session.plan, session.title, rung), rung, worth, self.clock())
        self.sessions[session.id] = session
        self.keys_ran(session.front).append((trio.current_time(), session.key))
        self.machine.begin(session.id, stream)
        self.record.note(
            "ran", node=self.name, key=session.key, plan=session.plan, front=session.front, session=session.id
        )
        self.say(self.ear_of(session.front), "started", {"session": f"/sessions/{session.id}"})

    def end_session(self, name: str, why: str, by: str = "") -> None:
        """Ends a session, if there is one of this name, and tells its front. `by`: the front that asked for it."""
        session = self.sessions.pop(name, None)
        stream = self.machine.end(name)
        if session is None or stream is None:
            return
        self.earned[session.plan] = self.earned.get(session.plan, 0.0) + stream.earned
        self.record.note(
            "over", node=self.name, session=name, key=session.key, front=session.front, why=why, by=by
        )
        if ear := self.ears.get(session.front):
            self.say(ear, "ended", {"session": f"/sessions/{name}", "why": why})

    @staticmethod
    def say(ear: Ear, name: str, data: object) -> None:
        """An event to one front, if it listens and is not too far behind."""
        if ear.send is not None:
            try:
                ear.send.send_nowait(http_formats.format_event(name, data))
            except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
                ear.send.close()
                ear.send, ear.away_since = None, trio.current_time()


def front_of(request: Request) -> str:
    """The pseudonym of the front that asks."""
    return (request.header("via") or "").removeprefix("1.1 ")


def caller_of(request: Request) -> Caller:
    """Which front asks, with its name among its peers and the number of its start."""
    member, start = takeover_messages.parse_front(request.header(takeover_messages.FRONT_HEADER.lower()))
    return Caller(front_of(request), member, start)
