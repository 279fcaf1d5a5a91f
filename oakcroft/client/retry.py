"""Decides without I/O whether and when a client may repeat a request, from its answer alone.

A request has an Idempotency-Key. Where the front end answered `outstanding`, the request is repeated under the same key:
it gets the first answer and never a second set-up. Where the connection was lost after the request was sent, the front
end may have been killed and have lost the key, and the playback may run and be paid for: such a request is repeated only
if the caller declares it `repeatable` (a free plan). A rejected request (503, 429) may be sent again under a new key, not
before the time in its answer, with jitter and within a budget. An aborted request is repeated only if its answer allows
that.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from random import Random

MAX_BUDGET = 10.0
NO_ANSWER = 0
RETRYABLE_STATUSES = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)
UNSURE_STATUSES = (NO_ANSWER, HTTPStatus.GATEWAY_TIMEOUT)


class Refused(Exception):
    """The front end rejected the request, and a retry was pointless or not allowed."""

    def __init__(self, status: int, kind: str, title: str) -> None:
        """`status`: HTTP status; `kind`: type of the problem; `title`: its text for people."""
        super().__init__(f"{status} {title}")
        self.status = status
        self.kind = kind
        self.title = title


class Unsure(Refused):
    """A set-up may have succeeded without an answer, so a paid playback must not be requested again."""


class RetryAction(Enum):
    """What to do after an answer, or when no answer came."""

    DONE = "take it"
    SAME_KEY = "ask again with the same key"
    NEW_KEY = "ask again with a new key"
    GIVE_UP = "give up"


@dataclass
class Retries:
    """Retry policy of a client.

    A request is tried at most `most` times. All retries of a client share `budget`, which each new request refills by
    `share`, so that many clients cannot multiply their load. The delay before a retry doubles from `first_wait` to
    `longest_wait` seconds. `repeatable`: a request may be repeated although its first try may have succeeded.
    """

    rng: Random
    most: int = 4
    budget: float = MAX_BUDGET
    share: float = 0.2
    first_wait: float = 0.2
    longest_wait: float = 5.0
    repeatable: bool = False

    def began(self) -> None:
        """Counts a new request of the client."""
        self.budget = min(MAX_BUDGET, self.budget + self.share)

    def after(
        self,
        tries: int,
        status: int | None,
        kind: str,
        retry: bool,
        retry_after: float | None,
        sent: bool = True,
    ) -> tuple[RetryAction, float]:
        """Returns the action after an answer, and the seconds to wait before it.

        - `tries`: tries of the request so far.
        - `status`: None if no answer came.
        - `kind`: type of the problem in the answer.
        - `retry`, `retry_after`: whether and after how many seconds the answer allows a retry.
        - `sent`: the front end may have read the request.
        """
        if status is not None and status < HTTPStatus.MULTIPLE_CHOICES:
            return RetryAction.DONE, 0.0
        is_unsafe = status is None and sent and not self.repeatable
        action = RetryAction.GIVE_UP if is_unsafe else self._action_after_failure(status, kind, retry)
        if action is RetryAction.GIVE_UP or tries >= self.most or self.budget < 1.0:
            return RetryAction.GIVE_UP, 0.0
        self.budget -= 1.0
        ceiling = min(self.longest_wait, self.first_wait * 2.0**tries)
        wait = ceiling * (0.5 + 0.5 * self.rng.random())
        return action, max(wait, (retry_after or 0.0) * (1.0 + 0.25 * self.rng.random()))

    @staticmethod
    def _action_after_failure(status: int | None, kind: str, retry: bool) -> RetryAction:
        """The action that a failure allows, whatever the budget and the tries so far."""
        if status is None or kind.endswith(":outstanding"):
            return RetryAction.SAME_KEY
        return RetryAction.NEW_KEY if status in RETRYABLE_STATUSES and retry else RetryAction.GIVE_UP


def final_error(status: int, kind: str, title: str, retry: bool) -> Refused:
    """Returns the error for a final answer; `status` is 0 if no answer came."""
    if status in UNSURE_STATUSES and not retry:
        return Unsure(status, kind, title)
    return Refused(status, kind, title)
