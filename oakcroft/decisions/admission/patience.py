"""How long a viewer waits, as far as the front can know, and when its answer is due.

The viewer's clock starts when it writes its request. The front sees the request when it reads it; between the
two lies the time in the socket's buffer, which is long when the front itself stood still. `Stillness` tells for
each moment since when that time may have run.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass

from oakcroft.interface import MS, SECOND

BEAT = 25 * MS
"""Time between two beats by which a front knows that it runs."""

STOOD = 4
"""Beats missed that count as standing still; fewer is the scheduler's noise."""

MOST_LAG = 150 * MS
"""Lag of the loop beyond this is standing still, and taken care of as such."""

PREFER_WAIT = re.compile(r"^\s*wait\s*=\s*\"?(\d{1,9})\"?\s*(?:;.*)?$", re.IGNORECASE)


class Stillness:
    """Knows since when the front may not have looked at its sockets.

    Guards against answers after the abandon time to requests that came while the front stood still; covers any
    pause of the whole process (a stopped machine, a long collection, a starved core). Harm: for a second
    after a pause, a request that came after it is given less time than it has, and may be aborted early.
    """

    def __init__(self, now: int) -> None:
        self.last_beat, self.pauses = now, deque[tuple[int, int]](maxlen=16)

    def beat(self, now: int) -> int:
        """The front runs now; returns how long it stood still before, 0 if it did not."""
        gap = now - self.last_beat
        stood = gap if gap > STOOD * BEAT else 0
        if stood:
            self.pauses.append((self.last_beat, now))
        self.last_beat = max(self.last_beat, now)
        return stood

    def written_at(self, read_at: int, idle_before: int) -> int:
        """The earliest time at which a request read now may have been written.

        `idle_before` is the last time at which its connection is known to have been empty: its accept, or
        the end of the exchange before. A request read within a beat after a pause may have lain in the
        buffer all through it, so it counts from the pause's start, but never from before `idle_before`.
        """
        gap = read_at - self.last_beat
        since = read_at
        if gap > STOOD * BEAT:  # the beat itself has not run yet
            since = self.last_beat
        else:
            for start, end in reversed(self.pauses):
                if read_at - end > SECOND:
                    break
                since = min(since, start)
        return max(since, min(idle_before, read_at))


def asked_wait(prefer: list[str]) -> int | None:
    """The time that a client states in `Prefer: wait=SECONDS` (RFC 7240 4.3), in ns; the first one counts.

    None where it states none. Preferences that are not understood are ignored, as section 2 demands.
    """
    for value in prefer:
        for part in value.split(","):
            if match := PREFER_WAIT.match(part):
                return int(match[1]) * SECOND
    return None


@dataclass(frozen=True)
class Due:
    """When one request's answer is due, and since when its client waits."""

    written: int
    abandon: int

    def left(self, now: int) -> int:
        """Time left until the abandon time, in ns, never under 0."""
        return max(0, self.abandon - now)


def due(written: int, abandon_time: int, prefer: list[str], margin: int) -> Due:
    """The plan's abandon time bounds what the client asks for; the margin is for the way back.

    An answer written in the last moment still has to cross the network and the client's own queue, so the
    front works to a time that is earlier by the margin (half of it for clients that wait under two margins).
    """
    asked = asked_wait(prefer)
    wait = abandon_time if asked is None else min(asked, abandon_time)
    return Due(written, written + wait - min(margin, wait // 2))


def margin(way_back: int, lag: int) -> int:
    """What is kept of each wait for the answer's way, in ns: as stated, and as much as the front's own loop has been late
    of late, up to `MOST_LAG`.

    Guards against answers that come milliseconds after the abandon time because the process got no core in between;
    covers any machine that is short of time. Harm: on such a machine set-ups have that much less time.
    """
    return way_back + min(lag, MOST_LAG)


def hopeless(request: Due, now: int, shortest_setup: int) -> bool:
    """Whether no set-up could end in the time that is left, so the request is answered at once.

    Guards against spending set-ups, and paid ones at that, on viewers that will be gone; covers a front
    that comes back from standing still to a queue of old requests. Harm: a very fast node is never asked.
    """
    return request.left(now) < shortest_setup
