"""Deadlines of requests: how long a viewer waits, as far as the front end can know.

A viewer's time starts when it writes its request; the front end sees the request when it reads it. Between
the two lies the time in the socket buffer, which is long when the process was paused. `PauseDetector` gives
the earliest time at which a request that is read now may have been written.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND

HEARTBEAT_INTERVAL_NS = 25 * MS
"""Time between two heartbeats of the event loop."""

PAUSE_HEARTBEATS = 4
"""Missed heartbeats that count as a pause; fewer are scheduling jitter."""

MIN_PAUSE_NS = PAUSE_HEARTBEATS * HEARTBEAT_INTERVAL_NS
"""Time between two heartbeats up to which there was no pause."""

PAUSE_COUNTS_FOR_NS = SECOND
"""Time after a pause in which a request that is read may have been in the buffer throughout the pause."""

MAX_PAUSES = 16
"""Number of recent pauses that are kept."""

MAX_LOOP_LAG_NS = 150 * MS
"""Largest lag of the event loop that the margin covers; a larger one is handled as a pause."""

MIN_SETUP_TIME_NS = 50 * MS
"""Time before a deadline in which no set-up is begun that has waited for its turn until then."""

PREFER_WAIT_PATTERN = re.compile(r"^\s*wait\s*=\s*\"?(\d{1,9})\"?\s*(?:;.*)?$", re.IGNORECASE)


class PauseDetector:
    """Detects pauses of the process, during which its sockets were not read.

    This guards against answers that come after the abandon time to requests that arrived during a pause of
    the whole process (a stopped machine, a long garbage collection, a starved core). Drawback: for a second
    after a pause, a request that arrived after it is given less time than it has, and may be aborted early.
    """

    def __init__(self, now: int) -> None:
        """Starts with a heartbeat at `now`, ns."""
        self.last_heartbeat_at = now
        self.pauses = deque[tuple[int, int]](maxlen=MAX_PAUSES)  # start and end of each, ns

    def heartbeat(self, now: int) -> int:
        """Records a heartbeat; returns the length of the pause before it in ns, 0 if there was none."""
        gap = now - self.last_heartbeat_at
        pause = gap if gap > MIN_PAUSE_NS else 0
        if pause:
            self.pauses.append((self.last_heartbeat_at, now))
        self.last_heartbeat_at = max(self.last_heartbeat_at, now)
        return pause

    def paused_since(self, start: int, now: int) -> int:
        """Returns for how much of the time from `start` to `now` the process was paused. Times in ns."""
        pauses = list(self.pauses)
        if now - self.last_heartbeat_at > MIN_PAUSE_NS:
            pauses.append((self.last_heartbeat_at, now))  # no heartbeat has recorded its end yet
        return sum(max(0, min(end, now) - max(begin, start)) for begin, end in pauses)

    def earliest_written_at(self, read_at: int, idle_before: int) -> int:
        """Returns the earliest time at which a request read now may have been written. Times in ns.

        `idle_before` is the last time at which the connection is known to have been empty: its accept, or the
        end of the previous exchange. A request read within a second after a pause may have been in the buffer
        throughout the pause, so its time counts from the start of the pause, but never from before
        `idle_before`.
        """
        gap = read_at - self.last_heartbeat_at
        since = read_at
        if gap > MIN_PAUSE_NS:  # a pause whose end no heartbeat has recorded yet
            since = self.last_heartbeat_at
        else:
            for start, end in reversed(self.pauses):
                if read_at - end > PAUSE_COUNTS_FOR_NS:
                    break
                since = min(since, start)
        return max(since, min(idle_before, read_at))


def preferred_wait(prefer: list[str]) -> int | None:
    """Returns the wait that a client states in `Prefer: wait=SECONDS` (RFC 7240 4.3), in ns.

    The first one counts; None if there is none. Preferences that are not understood are ignored, as section 2
    requires.
    """
    for value in prefer:
        for part in value.split(","):
            if match := PREFER_WAIT_PATTERN.match(part):
                return int(match[1]) * SECOND
    return None


@dataclass(frozen=True)
class Deadline:
    """Deadline of one request's answer, and since when its client waits. Times in ns."""

    written_at: int
    abandon_at: int

    def time_left(self, now: int) -> int:
        """Time left until the deadline, in ns; never negative."""
        return max(0, self.abandon_at - now)


def request_deadline(written_at: int, abandon_time: int, prefer: list[str], margin: int) -> Deadline:
    """Returns the deadline of a request. Times in ns.

    The client waits for as long as it asked for, at most for the plan's abandon time. The margin is time kept
    for the way back: an answer written at the last moment still has to pass through the network and the
    client's own queue. It is at most half of the wait, for clients that wait for less than two margins.
    """
    preferred = preferred_wait(prefer)
    wait = abandon_time if preferred is None else min(preferred, abandon_time)
    return Deadline(written_at, written_at + wait - min(margin, wait // 2))


def response_margin(return_time: int, lag: int) -> int:
    """Returns the time that is kept of each wait for the answer's way back, in ns.

    That is the configured time plus the recent lag of the front end's event loop, up to `MAX_LOOP_LAG_NS`.
    The lag guards against answers that come milliseconds after the abandon time because the process got no
    core, on any machine that is short of processor time. Drawback: on such a machine set-ups have that much
    less time.
    """
    return return_time + min(lag, MAX_LOOP_LAG_NS)


def turn_deadline(written_at: int, answer_by: int) -> int:
    """Returns when a request has to have its turn, or else be rejected, to be answered in time. Times in ns.

    `MIN_SETUP_TIME_NS` before its answer is due, but at most half of its time, for clients that wait for less.
    """
    return answer_by - min(MIN_SETUP_TIME_NS, (answer_by - written_at) // 2)


def is_too_late(deadline: Deadline, now: int, min_setup_time: int) -> bool:
    """Whether no set-up can end in the time that is left, so that the request is answered at once.

    This guards against set-ups, paid ones among them, for viewers that will have left, for example when a
    front end resumes after a pause with a queue of old requests. Drawback: a very fast node is never tried.
    """
    return deadline.time_left(now) < min_setup_time
