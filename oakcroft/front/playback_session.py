"""A playback request and its session, as the front end holds them beside the policy's `Playback`."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from oakcroft.decisions.sessions.answers import FinalAnswer, Reply
from oakcroft.decisions.admission.request_limits import LimitReservation
from oakcroft.decisions.admission.deadlines import Deadline
from oakcroft.decisions.fleet.backoff import RetryBackoff
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.sessions.session_resource import SessionResource
from oakcroft.interface import Playback
from oakcroft.config.settings import PlanTerms


@dataclass
class UpstreamSession:
    """The session on a playout node: paths, entity tag and answer of its WHIP or WHEP resource."""

    node: str
    resource: str
    events_path: str
    layer_path: str
    etag: str
    sdp_answer: str


@dataclass(eq=False)
class SessionEventReader:
    """A reader of a session's event stream: the kinds of events it takes, and both ends of its channel."""

    kinds: frozenset[str]
    send: trio.MemorySendChannel[tuple[str, dict[str, str]]]
    receive: trio.MemoryReceiveChannel[tuple[str, dict[str, str]]]


@dataclass(eq=False)
class PlaybackSession:
    """A playback request, its final answer, and its session while it plays."""

    id: str
    path: str
    plan: PlanTerms
    publishes: bool
    key: str
    offer: str
    ufrag: str
    deadline: Deadline
    playback: Playback
    answered: trio.Event = field(default_factory=trio.Event)
    final_answer: FinalAnswer | None = None
    reply: Reply | None = None
    upstream: UpstreamSession | None = None
    resource: SessionResource | None = None
    rung_to_send: int | None = None
    is_sending_rung: bool = False
    # For a step down to `playback.top_rung` that its node has not carried out.
    bound_backoff: RetryBackoff | None = None
    bound_retry_pending: bool = False
    is_ending: bool = False
    readers: list[SessionEventReader] = field(default_factory=list)
    token_name: str = ""  # empty where the request had no token
    # The session that the player knows, of which this is the copy in a move.
    copy_of: PlaybackSession | None = None
    limit_reservation: LimitReservation | None = None  # what it holds of the request limits
    pool: Pool | None = None  # nodes of its route for every set-up; None: all nodes
    in_client_session: bool = False  # whether it belongs to a client session of the session API
    requested_top: int = 1 << 30  # highest rung before the title's own bound is applied
    catalogue_number: int = 0  # version of the catalogue under which its last set-up was sent
    has_client_key: bool = False  # whether the viewer chose the idempotency key and so can ask again
    answer_undelivered: bool = False  # its answer was not fully written and has not been asked for again
    fingerprint: str = ""  # digest of the request, by which a repeat is recognised

    def set_answer(self, final_answer: FinalAnswer, reply: Reply | None = None) -> bool:
        """Sets the final answer; returns False if there was one before."""
        if self.final_answer is not None:
            return False
        self.final_answer = final_answer
        self.reply = reply
        self.answered.set()
        return True
