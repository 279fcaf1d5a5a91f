"""Whether the playbacks on a node are lost, judged by the one event stream that a front keeps to it.

A node's list entry comes seconds late and knows only of processes. The stream is the front's own lifeline: it
names the node's process, and beats. The life of a node, as seen here, is a state machine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Life(Enum):
    """How a node's stream stands."""

    UNTRIED = "untried"
    HEARD = "heard"
    SILENT = "silent"
    LOST = "lost"


class Break(Enum):
    """Why a stream, or an attempt to open one, ended."""

    REFUSED = "connection refused"
    RESET = "connection reset"
    CLOSED = "ended in order"
    UNANSWERED = "no answer in time"
    GONE = "the node knows no session of this front"


class Loss(Enum):
    """How surely a node's playbacks are lost."""

    PROVEN = "its process is gone"
    PRESUMED = "it has been silent for too long"


@dataclass(frozen=True)
class Patience:
    """How long without a beat counts as silent, and how long a break or silence may last, all in ns."""

    silent_after: int
    lost_after: int


class Lifeline:
    """One node's life, as one front sees it.

    Guards against playbacks that are kept as playing on a node that died, which would hold places, and against
    ending them all for a stream that broke while the node played on. A process that names itself anew has
    lost them for certain; so has one that refuses two connections in a row, since nothing listens there, or that says
    it knows nothing. A reset may be the stream alone, so it is opened again first. Silence is given `lost_after`, as
    set-ups to a silent node are stopped by the module's distrust much sooner; a loss by silence is presumed only, so
    that the node may play on: its seats stay taken until it has confirmed the end or had time for it. Harm: viewers
    of a node cut off for longer are told that their playback ended though the node would have played on.
    """

    def __init__(self, patience: Patience, now: int) -> None:
        self.patience, self.state = patience, Life.UNTRIED
        self.process, self.last_heard, self.broken_at, self.refusals = "", now, 0, 0
        self.how: Loss | None = None  # how surely it was lost, until it is heard again

    def _change(self, state: Life) -> bool:
        """The one place where the state changes; True when it did."""
        changed, self.state = self.state is not state, state
        return changed

    def wanted(self, now: int) -> None:
        """A stream is wanted from now on: silence counts from here, not from when the node was first listed."""
        if self.state in (Life.UNTRIED, Life.LOST):
            self._change(Life.UNTRIED)
            self.last_heard, self.broken_at, self.refusals = now, 0, 0

    def opened(self, process: str, now: int) -> Loss | None:
        """The stream stands and names the node's process. A loss when that is another than before."""
        another = bool(self.process) and process != self.process
        self.process, self.last_heard, self.broken_at, self.refusals = process, now, 0, 0
        self.how = None
        self._change(Life.HEARD)
        return Loss.PROVEN if another else None

    def beat(self, now: int) -> None:
        """Anything came on the stream."""
        self.last_heard, self.broken_at = now, 0
        self._change(Life.HEARD)

    def broke(self, why: Break, now: int) -> Loss | None:
        """The stream ended or could not be opened; the loss of the node's playbacks, if it comes to that now."""
        if self.state is Life.LOST:
            return None
        self.broken_at = self.broken_at or now
        self.refusals = self.refusals + 1 if why is Break.REFUSED else 0
        if why is Break.GONE or self.refusals >= 2:
            return self._lose(Loss.PROVEN)
        self._change(Life.SILENT)
        return self.look(now)

    def stood(self, for_ns: int) -> None:
        """The front itself stood still for so long: the node could not be heard, and that speaks neither for nor against
        it. Guards against a front that wakes and ends all that it has, for its own sleep was longer than `lost_after`."""
        self.last_heard += for_ns
        if self.broken_at:
            self.broken_at += for_ns

    def look(self, now: int) -> Loss | None:
        """To be called now and then; the loss of the node's playbacks, if it comes to that now."""
        if self.state is Life.LOST:
            return None
        if now - self.last_heard > self.patience.silent_after:
            self._change(Life.SILENT)
        since = self.broken_at or self.last_heard
        return self._lose(Loss.PRESUMED) if now - since > self.patience.lost_after else None

    def _lose(self, how: Loss) -> Loss | None:
        if how is Loss.PROVEN:
            self.process = ""
        self.refusals, self.how = 0, how
        return how if self._change(Life.LOST) else None
