"""The one final answer of a playback, in HTTP's words.

201 means that it plays. Rejected is 503 (RFC 9110 15.6.4): nothing ran or a repeat is harmless, come again, with
Retry-After where the deployment allows one. Aborted is 504 (15.6.5) where a set-up may be running unseen: for
a plan paid at set-up the problem body says `retry: false`, and no Retry-After is sent, since well-behaved
clients repeat a 503 by themselves but not a POST that ended in 504. docs/front.md weighs the codes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.decisions.admission.limits import Over
from oakcroft.interface import SECOND, Effect


class Final(Enum):
    """What became of a request for a playback."""

    PLAYS = "plays"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Refusal(Enum):
    """Why the front itself turned a request away before it became a playback."""

    BUSY = "too many requests wait"
    TOO_LATE = "it cannot be answered in time"
    DRAINING = "this front is being stopped"
    UNRECORDED = "this front cannot keep a record of it now"
    REDUCED = "service is reduced, and this plan is not served at this level"
    NO_TITLE = "there is no such title, or no rendition of it for this plan"
    OUTSTANDING = "the first request with this key has no answer yet"
    KEY_REUSED = "this key was used for another request"


@dataclass(frozen=True)
class Reply:
    """Status, problem type and title (RFC 9457), and the Retry-After in whole seconds if one is named."""

    status: int
    kind: str
    title: str
    retry_after: int | None = None
    retry: bool = True


def whole_seconds(stay_away: int) -> int | None:
    """Retry-After knows whole seconds (RFC 9110 10.2.3); a wait is rounded up, none is named for 0."""
    return -(-stay_away // SECOND) if stay_away > 0 else None


def rejected(stay_away: int) -> Reply:
    """The answer of the module's rejection, `stay_away` in ns."""
    title = "No room for this playback now"
    return Reply(503, "urn:oakcroft:problem:rejected", title, whole_seconds(stay_away))


def aborted(effect: Effect) -> Reply:
    """The answer of the module's abort."""
    paid = effect is Effect.PAID
    title = "A set-up may have run without an answer"
    return Reply(
        504, "urn:oakcroft:problem:aborted", title + ("; do not ask again" if paid else ""), None, not paid
    )


def over(limit: Over) -> Reply:
    """The answer of a limit that is reached: 429 (RFC 6585 4), with the time after which it has room where it knows."""
    title = f"Limit {limit.limit} is reached: {limit.what}"
    return Reply(429, "urn:oakcroft:problem:limit", title, whole_seconds(limit.back_after or 0))


REFUSALS = {
    Refusal.BUSY: Reply(503, "urn:oakcroft:problem:busy", "Too many requests wait here", 1),
    Refusal.TOO_LATE: Reply(503, "urn:oakcroft:problem:too-late", "No time left to answer in", None),
    Refusal.DRAINING: Reply(503, "urn:oakcroft:problem:stopping", "This front is being stopped", 1),
    Refusal.UNRECORDED: Reply(
        503, "urn:oakcroft:problem:no-record", "This front cannot keep a record of it now", 2
    ),
    Refusal.REDUCED: Reply(503, "urn:oakcroft:problem:reduced", "Service is reduced: not this plan now", 5),
    Refusal.NO_TITLE: Reply(
        404,
        "urn:oakcroft:problem:no-title",
        "No such title, or no rendition of it for this plan",
        None,
        False,
    ),
    Refusal.OUTSTANDING: Reply(
        409, "urn:oakcroft:problem:outstanding", "The first request has no answer yet", 1
    ),
    Refusal.KEY_REUSED: Reply(
        422, "urn:oakcroft:problem:key-reused", "Key used for another request", None, False
    ),
}
