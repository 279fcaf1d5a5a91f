"""Health of a node's event stream, by which a front end judges whether the playbacks on the node are lost.

A node's entry on the node list is seconds late and covers only processes. The event stream is a direct
connection to the node: it names the node's process and carries heartbeats.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_REFUSALS = 2
"""Refused connections in a row that prove that the node's process is gone."""


class StreamState(Enum):
    """State of a node's event stream."""

    UNOPENED = "untried"
    ALIVE = "heard"
    SILENT = "silent"
    LOST = "lost"


class StreamBreak(Enum):
    """Why a stream ended or could not be opened."""

    REFUSED = "connection refused"
    RESET = "connection reset"
    CLOSED = "ended in order"
    TIMED_OUT = "no answer in time"
    LOCAL_SHORTAGE = "no descriptor left here"
    SESSIONS_UNKNOWN = "the node knows no session of this front"


class LossCertainty(Enum):
    """How certain the loss of a node's playbacks is."""

    PROVEN = "its process is gone"
    PRESUMED = "it has been silent for too long"


@dataclass(frozen=True)
class StreamTimeouts:
    """Timeouts of an event stream: how long without a message counts as silent, and as lost. Times in ns."""

    silent_after: int
    lost_after: int


class EventStreamHealth:
    """Health of the event stream from one node to one front end.

    This guards against playbacks that count as playing on a node that has died, which would keep their seats
    taken, and against ending them all because of a stream that broke while the node played on.

    - Proven loss: the node names a new process, refuses two connections in a row (nothing listens there), or
      says that it knows no session of this front end.
    - A reset may concern the stream alone, so the stream is opened again first.
    - A stream that this machine has no descriptor for says nothing of the node.
    - Presumed loss: silence for `lost_after`. That is long, because admission control stops sending set-ups
      to a silent node much sooner. The node may play on, so its seats stay taken until it has confirmed the
      end or had time for it.

    Drawback: viewers of a node that is cut off for longer are told that their playback ended though the node
    would have played on.
    """

    def __init__(self, timeouts: StreamTimeouts, now: int) -> None:
        """Starts with a stream that was never opened. `now`: ns."""
        self.timeouts = timeouts
        self.state = StreamState.UNOPENED
        self.process = ""
        self.last_message_at = now
        self.refusals = 0
        self.loss: LossCertainty | None = None  # reset when a stream of the node opens again

    def _set_state(self, state: StreamState) -> bool:
        """Changes the state; the only place that does. Returns whether the new state differs."""
        has_changed = self.state is not state
        self.state = state
        return has_changed

    def start(self, now: int) -> None:
        """Starts to watch the node: silence counts from now on, not from when it was first listed. `now`: ns."""
        if self.state in (StreamState.UNOPENED, StreamState.LOST):
            self._set_state(StreamState.UNOPENED)
            self.last_message_at = now
            self.refusals = 0

    def stream_opened(self, process: str, now: int) -> LossCertainty | None:
        """Handles an opened stream, which names the node's process; a new process is a loss. `now`: ns."""
        is_new_process = bool(self.process) and process != self.process
        self.process = process
        self.last_message_at = now
        self.refusals = 0
        self.loss = None
        self._set_state(StreamState.ALIVE)
        return LossCertainty.PROVEN if is_new_process else None

    def message_received(self, now: int) -> None:
        """Handles a message on the stream. `now`: ns."""
        self.last_message_at = now
        self._set_state(StreamState.ALIVE)

    def stream_broken(self, cause: StreamBreak, now: int) -> LossCertainty | None:
        """Handles a stream that ended or could not be opened; returns the loss of the playbacks, if any."""
        if self.state is StreamState.LOST:
            return None
        self.refusals = self.refusals + 1 if cause is StreamBreak.REFUSED else 0
        if cause is StreamBreak.LOCAL_SHORTAGE:
            self._count_silence_anew(now)
        if cause is StreamBreak.SESSIONS_UNKNOWN or self.refusals >= MAX_REFUSALS:
            return self._mark_lost(LossCertainty.PROVEN)
        self._set_state(StreamState.SILENT)
        return self.check(now)

    def _count_silence_anew(self, now: int) -> None:
        """Leaves the node the time from silent to lost, since this front end could not listen until now."""
        self.last_message_at = max(self.last_message_at, now - self.timeouts.silent_after)

    def discount_pause(self, pause_ns: int) -> None:
        """Discounts a pause of the front end, during which it read no messages of the node.

        This guards against a front end that ends all its playbacks after a pause longer than `lost_after`.
        """
        self.last_message_at += pause_ns

    @property
    def lost_at(self) -> int:
        """When the node counts as lost if nothing is received until then, in ns; breaks of the stream do not move it."""
        return self.last_message_at + self.timeouts.lost_after

    def check(self, now: int) -> LossCertainty | None:
        """Checks the timeouts; returns the presumed loss of the playbacks after `lost_after`. `now`: ns."""
        if self.state is StreamState.LOST:
            return None
        if now - self.last_message_at > self.timeouts.silent_after:
            self._set_state(StreamState.SILENT)
        return self._mark_lost(LossCertainty.PRESUMED) if now >= self.lost_at else None

    def _mark_lost(self, loss: LossCertainty) -> LossCertainty | None:
        """Marks the node as lost; returns the loss, or None if it was marked before."""
        if loss is LossCertainty.PROVEN:
            self.process = ""
        self.refusals = 0
        self.loss = loss
        return loss if self._set_state(StreamState.LOST) else None
