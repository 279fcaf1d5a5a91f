"""Outcome of a setup try, from how far its request got on its connection.

Admission control must know "provably never ran" from "may have run"; RFC 9110 9.2.2 leaves it to the client
to know whether a request was applied. A try moves through defined stages, and the stage at its end together
with the kind of end decide the outcome. docs/front.md shows the same as a table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import Outcome

FULL_TYPE = "urn:oakcroft:problem:full"
"""Problem type (RFC 9457) of a node that rejected a set-up before any work, since it is full."""

DRAINING_TYPE = "urn:oakcroft:problem:draining"
"""Problem type (RFC 9457) of a node that rejected a set-up before any work, since it is draining."""


class Stage(Enum):
    """How far a request has got."""

    WAITING = "waiting for its turn"
    CONNECTING = "connecting"
    OPEN = "connected, nothing written"
    WRITING = "written in part"
    WRITTEN = "written whole"
    HEADED = "answer begun"
    READ = "answer read whole"


class End(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    UNREACHED = "no connection"
    BROKEN = "connection broken"
    GARBLED = "answer not understood"
    TIME_UP = "time up"
    WITHDRAWN = "withdrawn"


FOLLOWS = {
    Stage.WAITING: {Stage.CONNECTING, Stage.OPEN},
    Stage.CONNECTING: {Stage.OPEN},
    Stage.OPEN: {Stage.WRITING},
    Stage.WRITING: {Stage.WRITTEN, Stage.HEADED},  # a node may answer before it has read the whole request
    Stage.WRITTEN: {Stage.HEADED},
    Stage.HEADED: {Stage.READ},
    Stage.READ: set[Stage](),
}
UNTOUCHED = {Stage.WAITING, Stage.CONNECTING, Stage.OPEN}


@dataclass
class Trail:
    """Progress of one request: its stage, and the status and problem type of the response once there is one."""

    stage: Stage = Stage.WAITING
    status: int = 0
    problem: str = ""
    stages: list[Stage] = field(default_factory=lambda: [Stage.WAITING])

    def reach(self, stage: Stage) -> None:
        """Moves to the next stage; the only place where the stage changes.

        Raises ValueError for a step that cannot happen on a connection.
        """
        if stage not in FOLLOWS[self.stage]:
            raise ValueError(f"a try cannot go from {self.stage.value!r} to {stage.value!r}")
        self.stage = stage
        self.stages.append(stage)


def outcome(trail: Trail, end: End) -> Outcome:
    """Returns the outcome of a setup try for admission control.

    This guards against a paid playback that is set up twice: only what the connection proves counts as never
    run. A request written in part counts as run, since a node may act on what it has (only the end of the
    body is marked), and so does one on a kept-alive connection that closed under it. Drawback: a paid
    playback is aborted that might have been tried again.

    Raises ValueError for an answer that was not read whole.
    """
    if end is End.ANSWERED:
        if trail.stage is not Stage.READ:
            raise ValueError("an answer is whole only once it is read")
        return _answered(trail)
    if end is End.UNREACHED or (end is End.BROKEN and trail.stage in UNTOUCHED):
        return Outcome.NO_CONNECTION
    if end is End.TIME_UP:
        if trail.stage is Stage.CONNECTING:
            return Outcome.NO_CONNECTION
        return Outcome.NOT_SENT if trail.stage in UNTOUCHED else Outcome.LATE
    if end is End.WITHDRAWN:
        return Outcome.NOT_SENT if trail.stage in UNTOUCHED else Outcome.WITHDRAWN
    return Outcome.ERROR if end is End.GARBLED else Outcome.RESET


def _answered(trail: Trail) -> Outcome:
    """Returns the outcome of a whole response."""
    if trail.status == 201:
        return Outcome.DONE
    if trail.status == 503 and trail.problem in (FULL_TYPE, DRAINING_TYPE):
        return Outcome.FULL
    return Outcome.ERROR


def never_ran(result: Outcome) -> bool:
    """Whether an outcome proves that nothing ran."""
    return result in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
