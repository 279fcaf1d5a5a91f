"""Graceful shutdown of a front: it accepts nothing new, answers open requests, and exits in a bounded time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FrontState(Enum):
    """Lifecycle state of a front; logs show the values."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


TRANSITIONS = {
    FrontState.STARTING: {FrontState.SERVING, FrontState.LEAVING},
    FrontState.SERVING: {FrontState.DRAINING},
    FrontState.DRAINING: {FrontState.LEAVING},
    FrontState.LEAVING: {FrontState.GONE},
    FrontState.GONE: set[FrontState](),
}


@dataclass
class Shutdown:
    """Lifecycle of one front. Times in ns.

    While it drains, requests for playbacks are refused with a time to retry, open requests get their answer, and
    playbacks go on and may still be changed and ended. Draining lasts until no request is open and no playback is left,
    or `drain_timeout` is over. While it leaves, nodes are told of the playbacks that end, for `leave_timeout` at most. A
    second stop signal skips from draining to leaving. No answer is dropped: draining is allowed at least the longest
    abandon time.
    """

    drain_timeout: int
    leave_timeout: int
    longest_abandon_time: int
    """Longest abandon time of all plans."""

    exit_timeout: int = 0
    """Time after the stop signal at which the process is killed, whatever is open; 0 where nobody kills it."""

    state: FrontState = FrontState.STARTING
    state_since: int = 0
    """When the present state began."""

    stop_requested_at: int = 0
    """When the stop signal came."""

    def _set_state(self, state: FrontState, now: int) -> None:
        """Sets the state. ValueError for a transition that is not in `TRANSITIONS`."""
        if state not in TRANSITIONS[self.state]:
            raise ValueError(f"a front cannot go from {self.state.value} to {state.value}")
        self.state = state
        self.state_since = now

    def start_serving(self, now: int) -> None:
        """The front listens and has a node list, cached or current. `now` in ns; ValueError after the start."""
        self._set_state(FrontState.SERVING, now)

    def handle_stop_signal(self, now: int) -> bool:
        """Takes a stop signal at `now` in ns and returns whether it changed the state."""
        if self.state is FrontState.STARTING:
            self._set_state(FrontState.LEAVING, now)
            self.stop_requested_at = now
        elif self.state is FrontState.SERVING:
            self._set_state(FrontState.DRAINING, now)
            self.stop_requested_at = now
        elif self.state is FrontState.DRAINING and now - self.state_since >= self.longest_abandon_time:
            self._set_state(FrontState.LEAVING, now)
        else:
            return False
        return True

    def accepts_requests(self) -> bool:
        """Returns whether a request may become a playback."""
        return self.state is FrontState.SERVING

    def advance(
        self, unanswered_requests: int, active_playbacks: int, pending_session_ends: int, now: int
    ) -> FrontState:
        """Moves to the next state if it is due and returns the state.

        It goes one state at most, so that the host acts on each. `pending_session_ends` counts the sessions whose end
        has not been confirmed by their node; `now` in ns.
        """
        if (
            self.state in (FrontState.DRAINING, FrontState.LEAVING)
            and 0 < self.exit_timeout <= now - self.stop_requested_at
        ):
            self._set_state(FrontState.LEAVING if self.state is FrontState.DRAINING else FrontState.GONE, now)
        elif self.state is FrontState.DRAINING:
            drain_limit = max(self.drain_timeout, self.longest_abandon_time)
            if not unanswered_requests and (not active_playbacks or now - self.state_since >= drain_limit):
                self._set_state(FrontState.LEAVING, now)
            elif now - self.state_since >= drain_limit + self.longest_abandon_time:
                self._set_state(FrontState.LEAVING, now)  # bounds the drain whatever stays open
        elif self.state is FrontState.LEAVING and (
            not pending_session_ends or now - self.state_since >= self.leave_timeout
        ):
            self._set_state(FrontState.GONE, now)
        return self.state
