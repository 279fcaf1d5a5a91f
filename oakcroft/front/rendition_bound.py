"""Holds a playing session to the highest rendition that its viewer and the catalogue leave it.

Its node carries a change of rendition out, and may refuse. What is in force then is known from the node's event stream,
which names the rendition of each session; where that is over the bound, the node is asked again, for a limited time.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.decisions.fleet.again import RENDITION_BOUND, Again
from oakcroft.front.steering import Steering
from oakcroft.front.viewing import Viewing
from oakcroft.interface import Note, State


class RenditionBound:
    """The bounds of all sessions of one front."""

    def __init__(self, helm: Steering, rng: Random, log: structlog.typing.FilteringBoundLogger) -> None:
        """`helm` has the sessions and sends what is decided; `rng` spreads repeated attempts."""
        self.helm, self.rng, self.log = helm, rng, log

    def set(self, v: Viewing, top: int) -> None:
        """The session goes no higher than `top`; where it does, it steps down at once."""
        v.pb.top = top
        v.bound_retry = None  # a new bound has all its attempts
        if v.pb.rung > top:
            self._step_down(v)

    def exceeded(self, v: Viewing) -> None:
        """The node has told of a rendition over the bound: it is asked again after a while.

        Guards against a step down that a node refused once and that nobody repeats: its viewer gets more than it can
        take. Each new bound gives the node `RENDITION_BOUND` anew, and one attempt waits at a time. Past that the session
        plays on at what is in force, its viewer hears which that is, and a new wish begins over. Harm: a node that never
        changes a rendition is asked about ten times for each bound, and the module's view of its link swings as often.
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
        """Sends the highest rendition within the bound; the module takes it as in force until the node says otherwise."""
        self.helm.controller.noted(v.pb, Note.RUNG, v.pb.top, self.helm.clock.now())
        self.helm.set_rung(v.pb, v.pb.top)

    def _plays(self, v: Viewing) -> bool:
        return v.pb in self.helm.viewings and v.pb.state is State.PLAYING and not v.ending
