"""Health of a node's event stream, by which a front end judges whether the playbacks on the node are lost.

A node's entry on the list comes seconds late and knows only of processes. The event stream is the front end's
own: it names the node's process and carries heartbeats.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Life(Enum):
    """State of a node's event stream."""

    UNTRIED = "untried"
    HEARD = "heard"
    SILENT = "silent"
    LOST = "lost"


class Break(Enum):
    """Why a stream ended or could not be opened."""

    REFUSED = "connection refused"
    RESET = "connection reset"
    CLOSED = "ended in order"
    UNANSWERED = "no answer in time"
    GONE = "the node knows no session of this front"


class Loss(Enum):
    """How certain the loss of a node's playbacks is."""

    PROVEN = "its process is gone"
    PRESUMED = "it has been silent for too long"


@dataclass(frozen=True)
class Patience:
    """Timeouts of an event stream: how long without a message counts as silent, and as lost. Times in ns."""

    silent_after: int
    lost_after: int


class Lifeline:
    """Health of the event stream from one node to one front end.

    This guards against playbacks that are kept as playing on a node that died, which would hold places, and
    against ending them all because of a stream that broke while the node played on.

    - Proven loss: the node names a new process, refuses two connections in a row (nothing listens there), or
      says that it knows no session of this front end.
    - A reset may concern the stream alone, so the stream is opened again first.
    - Presumed loss: silence for `lost_after`. That is long, because admission control stops sending set-ups
      to a silent node much sooner. The node may play on, so its seats stay taken until it has confirmed the
      end or had time for it.

    Drawback: viewers of a node that is cut off for longer are told that their playback ended though the node
    would have played on.
    """

    def __init__(self, patience: Patience, now: int) -> None:
        """Starts with a stream that was never opened. `now`: ns."""
        self.patience, self.state = patience, Life.UNTRIED
        self.process, self.last_heard, self.broken_at, self.refusals = "", now, 0, 0
        self.how: Loss | None = None  # certainty of the loss, until the node is heard again

    def _change(self, state: Life) -> bool:
        """Changes the state; True if it is another. The only place where the state changes."""
        changed, self.state = self.state is not state, state
        return changed

    def wanted(self, now: int) -> None:
        """Silence counts from now on, not from when the node was first listed. `now`: ns."""
        if self.state in (Life.UNTRIED, Life.LOST):
            self._change(Life.UNTRIED)
            self.last_heard, self.broken_at, self.refusals = now, 0, 0

    def opened(self, process: str, now: int) -> Loss | None:
        """The stream is open and names the node's process; a loss if that is another than before. `now`: ns."""
        another = bool(self.process) and process != self.process
        self.process, self.last_heard, self.broken_at, self.refusals = process, now, 0, 0
        self.how = None
        self._change(Life.HEARD)
        return Loss.PROVEN if another else None

    def beat(self, now: int) -> None:
        """A message arrived on the stream. `now`: ns."""
        self.last_heard, self.broken_at = now, 0
        self._change(Life.HEARD)

    def broke(self, why: Break, now: int) -> Loss | None:
        """The stream ended or could not be opened; returns the loss of the playbacks, if it proves one."""
        if self.state is Life.LOST:
            return None
        self.broken_at = self.broken_at or now
        self.refusals = self.refusals + 1 if why is Break.REFUSED else 0
        if why is Break.GONE or self.refusals >= 2:
            return self._lose(Loss.PROVEN)
        self._change(Life.SILENT)
        return self.look(now)

    def stood(self, for_ns: int) -> None:
        """Discounts a pause of the front end, during which the node could not be heard.

        This guards against a front end that ends all its playbacks after a pause longer than `lost_after`.
        """
        self.last_heard += for_ns
        if self.broken_at:
            self.broken_at += for_ns

    def look(self, now: int) -> Loss | None:
        """Checks the timeouts; returns the loss of the playbacks, if they have passed. `now`: ns."""
        if self.state is Life.LOST:
            return None
        if now - self.last_heard > self.patience.silent_after:
            self._change(Life.SILENT)
        since = self.broken_at or self.last_heard
        return self._lose(Loss.PRESUMED) if now - since > self.patience.lost_after else None

    def _lose(self, how: Loss) -> Loss | None:
        """Marks the node as lost; returns the loss unless it was marked before."""
        if how is Loss.PROVEN:
            self.process = ""
        self.refusals, self.how = 0, how
        return how if self._change(Life.LOST) else None
