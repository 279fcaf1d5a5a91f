"""One request for a playback and what becomes of it, as the front holds it beside the module's `Playback`."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from oakcroft.decisions.sessions.answers import Final, Reply
from oakcroft.decisions.admission.limits import Ticket
from oakcroft.decisions.admission.patience import Due
from oakcroft.decisions.fleet.again import Again
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.sessions.resource import Resource
from oakcroft.interface import Playback
from oakcroft.config.told import PlanTerms


@dataclass
class Upstream:
    """The session on a playout node: its resource there, and what goes with it."""

    node: str
    resource: str
    events: str
    layer: str
    tag: str
    answer: str


@dataclass(eq=False)
class Reader:
    """One reader of a session's event stream."""

    kinds: frozenset[str]
    send: trio.MemorySendChannel[tuple[str, dict[str, str]]]
    receive: trio.MemoryReceiveChannel[tuple[str, dict[str, str]]]


@dataclass(eq=False)
class Viewing:
    """A request, its one answer, and its session once it plays."""

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
    bound_retry: Again | None = None  # of a step down to `pb.top` that its node has not carried out
    bound_retry_waits: bool = False
    ending: bool = False
    readers: list[Reader] = field(default_factory=list)
    token: str = ""  # the name of the token that it was asked with
    beside: Viewing | None = None  # the one that its player knows, of which this is the copy in a move
    ticket: Ticket | None = None  # what it holds of the limits
    pool: Pool | None = None  # of its route: every set-up of it keeps to these nodes; none: all
    seated: bool = False  # it belongs to a seat of the session API
    asked_top: int = 1 << 30  # its highest rung but for what its title has
    catalogue: int = 0  # the version of the catalogue under which its last set-up left
    keyed: bool = False  # its viewer chose its key, and so can ask for it again
    unheard: bool = False  # its answer could not be written whole, and has not been asked for again
    about: str = ""  # a digest of what was asked, by which a repeated request is known

    def settle(self, final: Final, reply: Reply | None = None) -> bool:
        """Gives the one final answer; False if there was one before."""
        if self.final is not None:
            return False
        self.final, self.reply = final, reply
        self.answered.set()
        return True
