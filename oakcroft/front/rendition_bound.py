"""Limits a playing session to the highest rendition that its viewer and the catalogue allow.

The session's node carries out a change of rendition, or refuses it. The node's event stream tells the rendition of each
session; if that is above the bound, the node is asked again, for a limited time.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.decisions.fleet.backoff import RENDITION_BOUND, Again
from oakcroft.front.protocols import Steering
from oakcroft.front.playback_session import Viewing
from oakcroft.interface import Note, State


class RenditionBound:
    """Enforces the rendition bounds of all sessions of one front end."""

    def __init__(self, helm: Steering, rng: Random, log: structlog.typing.FilteringBoundLogger) -> None:
        """`coordinator` has the sessions and sends rung changes to nodes; `rng` spreads repeated attempts."""
        self.helm, self.rng, self.log = helm, rng, log

    def set(self, v: Viewing, top: int) -> None:
        """Sets the highest rung of a session; a session above it steps down at once."""
        v.pb.top = top
        v.bound_retry = None  # a new bound starts with all its attempts
        if v.pb.rung > top:
            self._step_down(v)

    def exceeded(self, v: Viewing) -> None:
        """Handles a node's report of a rendition above the bound: asks the node again after a delay.

        Guards against a step down that a node refused once and that is never repeated: the viewer would get more than it
        can receive. Attempts follow `RENDITION_BOUND_RETRY`, restarted by each new bound, and one is pending at a time.
        After the last attempt the session keeps its rendition, and its viewer is told which that is. Cost: a node that
        never changes a rendition is asked about ten times for each bound, and the decision module's estimate of its link
        load changes as often.
        """
        if v.bound_retry_waits or not self._plays(v):
            return
        now = self.helm.clock.now()
        if v.bound_retry is None:
            v.bound_retry = Again(RENDITION_BOUND, self.rng, now)
        wait = v.bound_retry.failed(now)
        if wait is None:
            self._give_up(v)
            return
        v.bound_retry_waits = True
        self.helm.nursery.start_soon(self._ask_again, v, wait)

    async def _ask_again(self, v: Viewing, wait: int) -> None:
        await trio.sleep(wait / 1e9)
        await self.helm.tell(lambda: self._asked_again(v))

    def _asked_again(self, v: Viewing) -> None:
        v.bound_retry_waits = False
        if self._plays(v) and v.pb.rung > v.pb.top:
            self._step_down(v)

    def _give_up(self, v: Viewing) -> None:
        node = v.upstream.node if v.upstream is not None else ""
        self.log.warning(
            "rendition bound not in force", playback=v.id, node=node, rung=v.pb.rung, top=v.pb.top
        )
        self.helm.publish(v, "layers", {"encodingId": str(v.pb.rung)})

    def _step_down(self, v: Viewing) -> None:
        """Requests the highest rung within the bound.

        The decision module assumes that it is in force until the node reports otherwise.
        """
        self.helm.controller.noted(v.pb, Note.RUNG, v.pb.top, self.helm.clock.now())
        self.helm.set_rung(v.pb, v.pb.top)

    def _plays(self, v: Viewing) -> bool:
        return v.pb in self.helm.viewings and v.pb.state is State.PLAYING and not v.ending
