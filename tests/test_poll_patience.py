"""How long polls of the list service may stay unanswered; no sockets."""

from __future__ import annotations

from oakcroft.decisions.fleet.poll_patience import (
    MAX_KEPT_POLLS,
    PROMPT_LATENESS_NS,
    SLOW_LATENESS_NS,
    PollPatience,
)
from oakcroft.interface import SECOND


def test_the_first_overdue_poll_is_given_up_and_the_next_is_kept() -> None:
    """Guards against a dead connection that is waited for, and against a slow service that is never heard."""
    patience = PollPatience(SECOND)
    assert patience.time_for_answer(SECOND) == SECOND + PROMPT_LATENESS_NS
    assert not patience.overdue(0)
    assert patience.time_for_answer(0) == SLOW_LATENESS_NS
    assert patience.overdue(0)
    assert not patience.overdue(MAX_KEPT_POLLS)


def test_an_answer_in_time_ends_the_patience() -> None:
    """Guards against a service that is taken for slow for ever."""
    patience = PollPatience(SECOND)
    patience.overdue(0)
    patience.answered(0, SLOW_LATENESS_NS)
    assert patience.overdue(0)
    patience.answered(SECOND, SECOND)
    assert not patience.overdue(0)
