"""Graceful shutdown of a front: it accepts nothing new, answers open requests, and exits in a bounded time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Course(Enum):
    """Lifecycle state of a front; logs show the values."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


FOLLOWS = {
    Course.STARTING: {Course.SERVING, Course.LEAVING},
    Course.SERVING: {Course.DRAINING},
    Course.DRAINING: {Course.LEAVING},
    Course.LEAVING: {Course.GONE},
    Course.GONE: set[Course](),
}


@dataclass
class Stopping:
    """Lifecycle of one front. Times in ns.

    While it drains, requests for playbacks are refused with a time to retry, open requests get their answer, and
    playbacks go on and may still be changed and ended. Draining lasts until no request is open and no playback is left,
    or `drain_timeout` is over. While it leaves, nodes are told of the playbacks that end, for `leave_timeout` at most. A
    second stop signal skips from draining to leaving. No answer is dropped: draining is allowed at least the longest
    abandon time.
    """

    drain_within: int
    leave_within: int
    longest_abandon: int
    """Longest abandon time of all plans."""

    gone_within: int = 0
    """Time after the stop signal at which the process is killed, whatever is open; 0 where nobody kills it."""

    course: Course = Course.STARTING
    since: int = 0
    """When the present state began."""

    stopped_at: int = 0
    """When the stop signal came."""

    def _change(self, course: Course, now: int) -> None:
        """Sets the state. ValueError for a transition that is not in `TRANSITIONS`."""
        if course not in FOLLOWS[self.course]:
            raise ValueError(f"a front cannot go from {self.course.value} to {course.value}")
        self.course, self.since = course, now

    def serve(self, now: int) -> None:
        """The front listens and has a node list, cached or current. `now` in ns; ValueError after the start."""
        self._change(Course.SERVING, now)

    def signal(self, now: int) -> bool:
        """Takes a stop signal at `now` in ns and returns whether it changed the state."""
        if self.course is Course.STARTING:
            self._change(Course.LEAVING, now)
            self.stopped_at = now
        elif self.course is Course.SERVING:
            self._change(Course.DRAINING, now)
            self.stopped_at = now
        elif self.course is Course.DRAINING and now - self.since >= self.longest_abandon:
            self._change(Course.LEAVING, now)
        else:
            return False
        return True

    def takes_new(self) -> bool:
        """Returns whether a request may become a playback."""
        return self.course is Course.SERVING

    def look(self, unanswered: int, playing: int, farewells: int, now: int) -> Course:
        """Moves to the next state if it is due and returns the state.

        It goes one state at most, so that the host acts on each. `pending_session_ends` counts the sessions whose end
        has not been confirmed by their node; `now` in ns.
        """
        if self.course in (Course.DRAINING, Course.LEAVING) and 0 < self.gone_within <= now - self.stopped_at:
            self._change(Course.LEAVING if self.course is Course.DRAINING else Course.GONE, now)
        elif self.course is Course.DRAINING:
            within = max(self.drain_within, self.longest_abandon)
            if not unanswered and (not playing or now - self.since >= within):
                self._change(Course.LEAVING, now)
            elif now - self.since >= within + self.longest_abandon:
                self._change(Course.LEAVING, now)  # bounds the drain whatever stays open
        elif self.course is Course.LEAVING and (not farewells or now - self.since >= self.leave_within):
            self._change(Course.GONE, now)
        return self.course
