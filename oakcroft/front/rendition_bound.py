"""Limits a playing session to the highest rendition that its viewer and the catalogue allow.

The session's node carries out a change of rendition, or refuses it. The node's event stream tells the rendition of each
session; if that is above the bound, the node is asked again, for a limited time.
"""

from __future__ import annotations

from random import Random

import structlog
import trio

from oakcroft.decisions.fleet.backoff import RENDITION_BOUND_RETRY, RetryBackoff
from oakcroft.front.protocols import Coordinator
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.interface import PlaybackMetric, PlaybackState


class RenditionBound:
    """Enforces the rendition bounds of all sessions of one front end."""

    def __init__(
        self, coordinator: Coordinator, rng: Random, log: structlog.typing.FilteringBoundLogger
    ) -> None:
        """`coordinator` has the sessions and sends rung changes to nodes; `rng` spreads repeated attempts."""
        self.coordinator = coordinator
        self.rng = rng
        self.log = log

    def set_bound(self, session: PlaybackSession, top_rung: int) -> None:
        """Sets the highest rung of a session; a session above it steps down at once."""
        session.playback.top_rung = top_rung
        session.bound_backoff = None  # a new bound starts with all its attempts
        if session.playback.rung > top_rung:
            self._step_down(session)

    def bound_exceeded(self, session: PlaybackSession) -> None:
        """Handles a node's report of a rendition above the bound: asks the node again after a delay.

        Guards against a step down that a node refused once and that is never repeated: the viewer would get more than it
        can receive. Attempts follow `RENDITION_BOUND_RETRY`, restarted by each new bound, and one is pending at a time.
        After the last attempt the session keeps its rendition, and its viewer is told which that is. Cost: a node that
        never changes a rendition is asked about ten times for each bound, and the decision module's estimate of its link
        load changes as often.
        """
        if session.bound_retry_pending or not self._is_playing(session):
            return
        now = self.coordinator.clock.now()
        if session.bound_backoff is None:
            session.bound_backoff = RetryBackoff(RENDITION_BOUND_RETRY, self.rng, now)
        delay_ns = session.bound_backoff.record_failure(now)
        if delay_ns is None:
            self._give_up(session)
            return
        session.bound_retry_pending = True
        self.coordinator.nursery.start_soon(self._retry_after, session, delay_ns)

    async def _retry_after(self, session: PlaybackSession, delay_ns: int) -> None:
        """Repeats a step down after a delay."""
        await trio.sleep(delay_ns / 1e9)
        await self.coordinator.submit(lambda: self._retry_step_down(session))

    def _retry_step_down(self, session: PlaybackSession) -> None:
        """Repeats a step down in the event task, if the session is still above its bound."""
        session.bound_retry_pending = False
        if self._is_playing(session) and session.playback.rung > session.playback.top_rung:
            self._step_down(session)

    def _give_up(self, session: PlaybackSession) -> None:
        """Logs a bound that its node has not applied, and tells the viewer the rendition in force."""
        node = session.upstream.node if session.upstream is not None else ""
        self.log.warning(
            "rendition bound not in force",
            playback=session.id,
            node=node,
            rung=session.playback.rung,
            top=session.playback.top_rung,
        )
        self.coordinator.publish_event(session, "layers", {"encodingId": str(session.playback.rung)})

    def _step_down(self, session: PlaybackSession) -> None:
        """Requests the highest rung within the bound.

        The decision module assumes that it is in force until the node reports otherwise.
        """
        self.coordinator.policy.on_metric(
            session.playback, PlaybackMetric.RUNG, session.playback.top_rung, self.coordinator.clock.now()
        )
        self.coordinator.set_rung(session.playback, session.playback.top_rung)

    def _is_playing(self, session: PlaybackSession) -> bool:
        """Whether a session plays and is not being ended."""
        return (
            session.playback in self.coordinator.sessions_by_playback
            and session.playback.state is PlaybackState.PLAYING
            and not session.is_ending
        )
