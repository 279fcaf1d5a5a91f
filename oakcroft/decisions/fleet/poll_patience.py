"""How long a poll of the list service may stay unanswered, and what becomes of one that is overdue.

A service that has stopped and one that is slow look alike. The first wants a new call soon; the second never answers
a caller that gives each call up before its answer.
"""

from __future__ import annotations

from oakcroft.interface import MS

PROMPT_LATENESS_NS = 400 * MS
"""Time after the end of a poll's wait within which a service that is not slow has answered."""

SLOW_LATENESS_NS = 1_950 * MS
"""The same once a poll was answered late or not at all; after a stop a change counts as told 2 s past the wait."""

KEPT_POLL_NS = 4_500 * MS
"""Age up to which an overdue poll is still read beside the next one; a change must be known within 6 s (acceptance)."""


MAX_KEPT_POLLS = 2
"""Overdue polls that are kept; the one asked after a change is then answered within its age and the time of the next."""


class PollPatience:
    """The patience with one list service. Times in ns.

    The first overdue poll is given up, since a connection may have died. From then on, until an answer comes in
    time again, polls have more time, and overdue ones are kept beside the next one. Drawback: a slow service has up to
    `MAX_KEPT_POLLS` more connections of each front end.
    """

    def __init__(self, poll_wait_ns: int) -> None:
        """Starts with a service that has not been slow; `poll_wait_ns` is the usual wait of a poll."""
        self.poll_wait_ns = poll_wait_ns
        self.is_slow = False

    def time_for_answer(self, wait_ns: int) -> int:
        """Returns the time until a poll is overdue that the service may hold for `wait_ns`."""
        if self.is_slow:
            return wait_ns + SLOW_LATENESS_NS
        return self.poll_wait_ns + PROMPT_LATENESS_NS

    def answered(self, wait_ns: int, answered_after: int) -> None:
        """Handles an answer that came `answered_after` its poll."""
        self.is_slow = answered_after > wait_ns + PROMPT_LATENESS_NS

    def overdue(self, kept_polls: int) -> bool:
        """Handles a poll that is overdue; returns whether it is kept beside the next one and those kept already."""
        was_slow, self.is_slow = self.is_slow, True
        return was_slow and kept_polls < MAX_KEPT_POLLS
