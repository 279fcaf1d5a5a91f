"""Seats of sessions whose request has no record any more while their end is not confirmed by their node.

A request's record goes, or binds only its key, once its viewer has been answered or has left. Its session may still run
then: its set-up is not answered yet, or its node has not confirmed its end. A process that starts in between must keep
its seat, so such a session has a record of its own, like a try of unknown outcome, until the policy counts its seat no
more.
"""

from __future__ import annotations

from dataclasses import replace

from oakcroft.choice import SEAT_HOLDING_STATES
from oakcroft.decisions.state.promise import PromiseState
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.front.promise_records import PromiseRecords, last_try_promise
from oakcroft.front.protocols import Coordinator
from oakcroft.interface import Playback

END_LABEL = "end"


class UnconfirmedEnds:
    """The records of the sessions of one front end that may still run on their nodes."""

    def __init__(self, coordinator: Coordinator, records: PromiseRecords) -> None:
        """Begins without sessions."""
        self.coordinator = coordinator
        self.records = records
        self.promise_ids: dict[Playback, str] = {}

    def hold_seat(self, session: PlaybackSession) -> None:
        """Records that a session may still run, if the policy counts a seat for it on a node."""
        playback = session.playback
        if not playback.plan.seats or playback.state not in SEAT_HOLDING_STATES:
            return
        if playback in self.promise_ids:
            return
        promise = last_try_promise(self.coordinator, session, END_LABEL)
        self.promise_ids[playback] = promise.id
        self.records.update(promise)

    def release(self, playback: Playback) -> None:
        """Drops the record of a playback whose seat the policy counts no more."""
        promise_id = self.promise_ids.pop(playback, None)
        if promise_id is not None:
            promise = self.records.by_id[promise_id]
            self.records.update(
                replace(promise, mark=PromiseState.GONE, changed=self.coordinator.clock.now())
            )
