"""Outcome of a setup try, from how far its request got on its connection.

Admission control must distinguish "provably never ran" from "may have run"; RFC 9110 9.2.2 leaves it to the
client to know whether a request was applied. A try moves through defined stages, and the stage at its end together
with the kind of end decide the outcome. docs/front.md shows the same as a table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from oakcroft.interface import Outcome

STATUS_CREATED = 201
STATUS_UNAVAILABLE = 503

PROBLEM_FULL = "urn:oakcroft:problem:full"
"""Problem type (RFC 9457) of a node that rejected a set-up before any work, since it is full."""

PROBLEM_DRAINING = "urn:oakcroft:problem:draining"
"""Problem type (RFC 9457) of a node that rejected a set-up before any work, since it is draining."""


class RequestStage(Enum):
    """How far a request has progressed on its connection."""

    QUEUED = "waiting for its turn"
    CONNECTING = "connecting"
    CONNECTED = "connected, nothing written"
    PARTLY_WRITTEN = "written in part"
    WRITTEN = "written whole"
    RESPONSE_STARTED = "answer begun"
    RESPONSE_READ = "answer read whole"


class RequestEnd(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    UNREACHED = "no connection"
    CONNECTION_LOST = "connection broken"
    INVALID_RESPONSE = "answer not understood"
    TIMED_OUT = "time up"
    WITHDRAWN = "withdrawn"


NEXT_STAGES = {
    RequestStage.QUEUED: {RequestStage.CONNECTING, RequestStage.CONNECTED},
    RequestStage.CONNECTING: {RequestStage.CONNECTED},
    RequestStage.CONNECTED: {RequestStage.PARTLY_WRITTEN},
    # A node may answer before it has read the whole request.
    RequestStage.PARTLY_WRITTEN: {RequestStage.WRITTEN, RequestStage.RESPONSE_STARTED},
    RequestStage.WRITTEN: {RequestStage.RESPONSE_STARTED},
    RequestStage.RESPONSE_STARTED: {RequestStage.RESPONSE_READ},
    RequestStage.RESPONSE_READ: set[RequestStage](),
}
UNSENT_STAGES = {RequestStage.QUEUED, RequestStage.CONNECTING, RequestStage.CONNECTED}


@dataclass
class RequestProgress:
    """Progress of one request: its stage, and the status and problem type of the response once there is one."""

    stage: RequestStage = RequestStage.QUEUED
    status: int = 0
    problem_type: str = ""
    history: list[RequestStage] = field(default_factory=lambda: [RequestStage.QUEUED])

    def advance(self, stage: RequestStage) -> None:
        """Moves to the next stage; the only place where the stage changes.

        Raises ValueError for a transition that cannot happen on a connection.
        """
        if stage not in NEXT_STAGES[self.stage]:
            raise ValueError(f"a try cannot go from {self.stage.value!r} to {stage.value!r}")
        self.stage = stage
        self.history.append(stage)


def setup_outcome(progress: RequestProgress, end: RequestEnd) -> Outcome:
    """Returns the outcome of a setup try for admission control.

    This guards against a paid playback that is set up twice: a request counts as never run only if the
    connection proves it. A request written in part counts as run, since a node may act on what it has (only
    the end of the body is marked), and so does one on a kept-alive connection that the node closed meanwhile.
    Drawback: a paid playback is aborted that could have been retried.

    Raises ValueError for an answer that was not read whole.
    """
    if end is RequestEnd.ANSWERED:
        if progress.stage is not RequestStage.RESPONSE_READ:
            raise ValueError("the outcome of an answer is known only once it has been read whole")
        return _answered_outcome(progress)
    if end is RequestEnd.UNREACHED or (end is RequestEnd.CONNECTION_LOST and progress.stage in UNSENT_STAGES):
        return Outcome.NO_CONNECTION
    if end is RequestEnd.TIMED_OUT:
        if progress.stage is RequestStage.CONNECTING:
            return Outcome.NO_CONNECTION
        return Outcome.NOT_SENT if progress.stage in UNSENT_STAGES else Outcome.LATE
    if end is RequestEnd.WITHDRAWN:
        return Outcome.NOT_SENT if progress.stage in UNSENT_STAGES else Outcome.WITHDRAWN
    return Outcome.ERROR if end is RequestEnd.INVALID_RESPONSE else Outcome.RESET


def _answered_outcome(progress: RequestProgress) -> Outcome:
    """Returns the outcome of a try whose response was read whole."""
    if progress.status == STATUS_CREATED:
        return Outcome.DONE
    if progress.status == STATUS_UNAVAILABLE and progress.problem_type in (
        PROBLEM_FULL,
        PROBLEM_DRAINING,
    ):
        return Outcome.FULL
    return Outcome.ERROR


def proves_not_run(outcome: Outcome) -> bool:
    """Whether an outcome proves that nothing ran."""
    return outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
