"""A playback request and its session, as the front end holds them beside the policy's `Playback`."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from oakcroft.decisions.sessions.answers import Final, Reply
from oakcroft.decisions.admission.request_limits import Ticket
from oakcroft.decisions.admission.deadlines import Due
from oakcroft.decisions.fleet.backoff import Again
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.sessions.session_resource import Resource
from oakcroft.interface import Playback
from oakcroft.config.settings import PlanTerms


@dataclass
class Upstream:
    """The session on a playout node: paths, entity tag and answer of its WHIP or WHEP resource."""

    node: str
    resource: str
    events: str
    layer: str
    tag: str
    answer: str


@dataclass(eq=False)
class Reader:
    """A reader of a session's event stream: the kinds of events it takes, and both ends of its channel."""

    kinds: frozenset[str]
    send: trio.MemorySendChannel[tuple[str, dict[str, str]]]
    receive: trio.MemoryReceiveChannel[tuple[str, dict[str, str]]]


@dataclass(eq=False)
class Viewing:
    """A playback request, its final answer, and its session while it plays."""

    id: str
    path: str
    plan: PlanTerms
    publishes: bool
    key: str
    offer: str
    ufrag: str
    due: Due
    pb: Playback
    answered: trio.Event = field(default_factory=trio.Event)
    final: Final | None = None
    reply: Reply | None = None
    upstream: Upstream | None = None
    resource: Resource | None = None
    rung_wanted: int | None = None
    rung_at_work: bool = False
    # For a step down to `playback.top_rung` that its node has not carried out.
    bound_retry: Again | None = None
    bound_retry_waits: bool = False
    ending: bool = False
    readers: list[Reader] = field(default_factory=list)
    token: str = ""  # empty where the request had no token
    beside: Viewing | None = None  # the session that the player knows, of which this is the copy in a move
    ticket: Ticket | None = None  # what it holds of the request limits
    pool: Pool | None = None  # nodes of its route for every set-up; None: all nodes
    seated: bool = False  # whether it belongs to a client session of the session API
    asked_top: int = 1 << 30  # highest rung before the title's own bound is applied
    catalogue: int = 0  # version of the catalogue under which its last set-up was sent
    keyed: bool = False  # whether the viewer chose the idempotency key and so can ask again
    unheard: bool = False  # its answer was not fully written and has not been asked for again
    about: str = ""  # digest of the request, by which a repeat is recognised

    def settle(self, final: Final, reply: Reply | None = None) -> bool:
        """Sets the final answer; returns False if there was one before."""
        if self.final is not None:
            return False
        self.final, self.reply = final, reply
        self.answered.set()
        return True
