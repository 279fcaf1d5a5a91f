"""The final answer of a request for a playback, as an HTTP response.

201 means that it plays. A rejection is 503 (RFC 9110 15.6.4): nothing ran, or a repeat is harmless, and the
client may retry, after Retry-After if the deployment allows one. An abort is 504 (15.6.5): a set-up may have
run without the front end's knowledge. For a plan paid at set-up its problem body says `retry: false`. No
Retry-After is sent with a 504, since well-behaved clients repeat a 503 by themselves but not a POST that
ended in 504. docs/front.md gives the reasons for these codes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakcroft.decisions.admission.request_limits import LimitExceeded
from oakcroft.interface import SECOND, Effect


class FinalAnswer(Enum):
    """Result of a request for a playback."""

    PLAYS = "plays"
    REJECTED = "rejected"
    ABORTED = "aborted"


class Refusal(Enum):
    """Why the front end refused a request without a decision of admission control."""

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
    """Status, problem type and title (RFC 9457), and the Retry-After in whole seconds if there is one."""

    status: int
    problem_type: str
    title: str
    retry_after_s: int | None = None
    may_retry: bool = True


def retry_after_seconds(wait_ns: int) -> int | None:
    """Rounds a wait (ns) up to the whole seconds of Retry-After (RFC 9110 10.2.3); None for no wait."""
    return -(-wait_ns // SECOND) if wait_ns > 0 else None


def rejected_reply(wait_ns: int) -> Reply:
    """Returns the answer of a rejection by admission control. `wait_ns`: how long the client should wait."""
    title = "No room for this playback now"
    return Reply(503, "urn:oakcroft:problem:rejected", title, retry_after_seconds(wait_ns))


def aborted_reply(effect: Effect) -> Reply:
    """Returns the answer of an abort by admission control."""
    is_paid = effect is Effect.PAID
    title = "A set-up may have run without an answer"
    if is_paid:
        title += "; do not ask again"
    return Reply(504, "urn:oakcroft:problem:aborted", title, None, not is_paid)


def limit_reply(exceeded: LimitExceeded) -> Reply:
    """Returns the answer of a limit that is reached: 429 (RFC 6585 4).

    It has a Retry-After if it is known when the limit will have room.
    """
    title = f"Limit {exceeded.limit} is reached: {exceeded.detail}"
    return Reply(429, "urn:oakcroft:problem:limit", title, retry_after_seconds(exceeded.retry_after_ns or 0))


REFUSAL_REPLIES = {
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
