"""When a client may ask again, and when: decided without I/O, by the answer alone.

A request goes out under one Idempotency-Key. Where the front said `outstanding`, the same key is asked again: it gives
the first answer, never a second set-up. Where the connection broke after the request was out, the front may have been
killed and have forgotten the key, and what it set up may run and be paid for: such a request is asked again only where
the caller says that a repeat does no harm (`repeatable`, a free plan). A rejected one (503, 429) may be asked anew with a
new key, no earlier than it was told, with jitter, within a budget. An aborted one that must not be repeated never is.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from random import Random


class Refused(Exception):
    """The front rejected the request, and asking again was no use or not allowed. `status` and `kind` as it said."""

    def __init__(self, status: int, kind: str, title: str) -> None:
        """`kind`: the problem's type; `title`: its text for people."""
        super().__init__(f"{status} {title}")
        self.status, self.kind, self.title = status, kind, title


class Unsure(Refused):
    """A set-up may have run without an answer: a paid playback must not be asked for again."""


class RetryAction(Enum):
    """What to do after an answer, or the lack of one."""

    DONE = "take it"
    SAME_KEY = "ask again with the same key"
    NEW_KEY = "ask again with a new key"
    GIVE_UP = "give up"


@dataclass
class Retries:
    """The state of one request's repeats: at most `most`, and within `budget` shared by all requests of a client, which
    refills by `share` for each request, so that a crowd of clients cannot multiply its load."""

    rng: Random
    most: int = 4
    budget: float = 10.0
    share: float = 0.2
    first_wait: float = 0.2
    longest_wait: float = 5.0
    repeatable: bool = False

    def began(self) -> None:
        """A new request of the client."""
        self.budget = min(10.0, self.budget + self.share)

    def after(
        self,
        tries: int,
        status: int | None,
        kind: str,
        retry: bool,
        retry_after: float | None,
        sent: bool = True,
    ) -> tuple[RetryAction, float]:
        """What follows an answer (None: none came; `sent`: the request may have been read), and the seconds to wait
        first."""
        if status is not None and status < HTTPStatus.MULTIPLE_CHOICES:
            return RetryAction.DONE, 0.0
        action = (
            RetryAction.GIVE_UP
            if status is None and sent and not self.repeatable
            else self._action_after_failure(status, kind, retry)
        )
        if action is RetryAction.GIVE_UP or tries >= self.most or self.budget < 1.0:
            return RetryAction.GIVE_UP, 0.0
        self.budget -= 1.0
        ceiling = min(self.longest_wait, self.first_wait * 2.0**tries)
        wait = ceiling * (0.5 + 0.5 * self.rng.random())
        return action, max(wait, (retry_after or 0.0) * (1.0 + 0.25 * self.rng.random()))

    @staticmethod
    def _action_after_failure(status: int | None, kind: str, retry: bool) -> RetryAction:
        if status is None or kind.endswith(":outstanding"):
            return RetryAction.SAME_KEY
        if status in (429, 503) and retry:
            return RetryAction.NEW_KEY
        return RetryAction.NEW_KEY if status == HTTPStatus.GATEWAY_TIMEOUT and retry else RetryAction.GIVE_UP


def final_error(status: int, kind: str, title: str, retry: bool) -> Refused:
    """The error for an answer that is final."""
    return Unsure(status, kind, title) if status in (0, 504) and not retry else Refused(status, kind, title)
