"""State machine of one move: a playing playback leaves its node, by make before break.

`TRANSITIONS` defines the next state for every pair of state and event; at worst the playback goes on at its
source. What the front end has to do after a transition is a `MoveAction`. tests/test_moves.py checks every reachable
state, with all faults.

The usual sequence is PLANNED, ASKED (the player was told to make an offer), PLACING (its offer has arrived,
admission control looks for a node and the set-up is sent), BESIDE (it plays on both nodes), SWITCHED (the
player uses the target; the source is being ended), DONE. In STAYED it plays on at its source and the move is
over. In LOST it plays nowhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class MoveState(Enum):
    """State of a move. The names of the members are written to the log."""

    PLANNED = "planned"
    ASKED = "player asked"
    PLACING = "target being set up"
    RECALLED = "called off while the target is set up"
    ORPHANED = "source lost while the target is set up"
    BESIDE = "plays on both"
    SWITCHED = "player switched, source being ended"
    DONE = "done"
    STAYED = "stayed"
    LOST = "lost"


class MoveEvent(Enum):
    """An event of a move."""

    DUE = "its time has come"
    OFFER_RECEIVED = "the player makes its offer"
    OFFER_TIMEOUT = "the player made no offer in time"
    TARGET_PLAYS = "the target plays"
    TARGET_FAILED = "no target was found, or its set-up failed"
    CONFIRMED = "the player plays from the target"
    CONFIRM_TIMEOUT = "the player said nothing in time"
    SOURCE_ENDED = "the source has ended in order"
    SOURCE_LOST = "the source is lost"
    TARGET_LOST = "the target is lost"
    CANCELLED = "the reason to move is gone"
    TARGET_DRAINING = "the target begins draining"
    VIEWER_LEFT = "the viewer has left"


class MoveAction(Enum):
    """What the front end has to do after a transition."""

    NONE = "nothing"
    REQUEST_OFFER = "tell the player to make an offer"
    PLACE_TARGET = "ask the module for a place"
    REJECT_OFFER = "answer the player's offer: stay"
    ACCEPT_OFFER = "answer the player's offer: here is the target"
    END_SOURCE = "end the source"
    END_TARGET = "end the target"
    END_TARGET_AND_REJECT_OFFER = "end the target, answer the offer: stay"
    END_ALL = "end whatever plays"
    REPORT_LOST = "tell the player that its playback ended"
    SWITCH_TO_TARGET = "the target is the playback now"
    SWITCH_AND_ACCEPT_OFFER = "answer the offer: here is the target; nothing else plays"


# Short names for the table of transitions.
S = MoveState
E = MoveEvent
A = MoveAction
END_STATES = (S.DONE, S.STAYED, S.LOST)
TRANSITIONS: dict[tuple[MoveState, MoveEvent], tuple[MoveState, MoveAction]] = {
    # PLANNED: nothing has been done yet, so nothing has to be undone.
    (S.PLANNED, E.DUE): (S.ASKED, A.REQUEST_OFFER),
    (S.PLANNED, E.SOURCE_LOST): (S.LOST, A.REPORT_LOST),
    (S.PLANNED, E.SOURCE_ENDED): (S.LOST, A.NONE),
    (S.PLANNED, E.CANCELLED): (S.STAYED, A.NONE),
    (S.PLANNED, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # ASKED: a player that does not support moves never answers, so its playback stays.
    (S.ASKED, E.OFFER_RECEIVED): (S.PLACING, A.PLACE_TARGET),
    (S.ASKED, E.OFFER_TIMEOUT): (S.STAYED, A.NONE),
    (S.ASKED, E.SOURCE_LOST): (S.LOST, A.REPORT_LOST),
    (S.ASKED, E.SOURCE_ENDED): (S.LOST, A.NONE),
    (S.ASKED, E.CANCELLED): (S.STAYED, A.NONE),
    (S.ASKED, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # PLACING: a set-up may have been sent; it cannot be undone, so its outcome is awaited.
    (S.PLACING, E.TARGET_PLAYS): (S.BESIDE, A.ACCEPT_OFFER),
    (S.PLACING, E.TARGET_FAILED): (S.STAYED, A.REJECT_OFFER),
    (S.PLACING, E.SOURCE_LOST): (S.ORPHANED, A.NONE),
    (S.PLACING, E.SOURCE_ENDED): (S.ORPHANED, A.NONE),
    (S.PLACING, E.TARGET_LOST): (S.STAYED, A.REJECT_OFFER),
    (S.PLACING, E.CANCELLED): (S.RECALLED, A.NONE),
    (S.PLACING, E.TARGET_DRAINING): (S.RECALLED, A.NONE),
    (S.PLACING, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # RECALLED: if the target plays after all, it is ended, and the player stays.
    (S.RECALLED, E.TARGET_PLAYS): (S.STAYED, A.END_TARGET_AND_REJECT_OFFER),
    (S.RECALLED, E.TARGET_FAILED): (S.STAYED, A.REJECT_OFFER),
    (S.RECALLED, E.SOURCE_LOST): (S.ORPHANED, A.NONE),  # with the source gone, the target is wanted again
    (S.RECALLED, E.SOURCE_ENDED): (S.ORPHANED, A.NONE),
    (S.RECALLED, E.TARGET_LOST): (S.STAYED, A.REJECT_OFFER),
    (S.RECALLED, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # ORPHANED: if the target plays, it becomes the playback; otherwise the playback is lost.
    (S.ORPHANED, E.TARGET_PLAYS): (S.DONE, A.SWITCH_AND_ACCEPT_OFFER),
    (S.ORPHANED, E.TARGET_FAILED): (S.LOST, A.REPORT_LOST),
    (S.ORPHANED, E.TARGET_LOST): (S.LOST, A.REPORT_LOST),
    (S.ORPHANED, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # BESIDE: the player has the target's answer. The timeout counts as a confirmation, or both would play for ever.
    (S.BESIDE, E.CONFIRMED): (S.SWITCHED, A.END_SOURCE),
    (S.BESIDE, E.CONFIRM_TIMEOUT): (S.SWITCHED, A.END_SOURCE),
    (S.BESIDE, E.SOURCE_LOST): (S.DONE, A.SWITCH_TO_TARGET),
    (S.BESIDE, E.SOURCE_ENDED): (S.DONE, A.SWITCH_TO_TARGET),
    (S.BESIDE, E.TARGET_LOST): (S.STAYED, A.NONE),
    (S.BESIDE, E.TARGET_DRAINING): (S.STAYED, A.END_TARGET),
    (S.BESIDE, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # SWITCHED: the target is the playback, whatever becomes of the source.
    (S.SWITCHED, E.SOURCE_ENDED): (S.DONE, A.NONE),
    (S.SWITCHED, E.SOURCE_LOST): (S.DONE, A.NONE),
    (S.SWITCHED, E.TARGET_LOST): (S.LOST, A.REPORT_LOST),
    (S.SWITCHED, E.VIEWER_LEFT): (S.LOST, A.END_ALL),
}
"""Next state and action by state and event.

Other pairs change nothing: late timers, second offers, drains of a node that was already left.
"""

TIMEOUTS = {
    MoveState.ASKED: MoveEvent.OFFER_TIMEOUT,
    MoveState.BESIDE: MoveEvent.CONFIRM_TIMEOUT,
}
"""Event of the timer that runs in a state, if one does."""


@dataclass
class Handover:
    """One move. Only `handle` changes its state."""

    state: MoveState = MoveState.PLANNED
    history: list[MoveState] = field(default_factory=lambda: [MoveState.PLANNED])

    def handle(self, event: MoveEvent) -> MoveAction:
        """Applies an event and returns what the front end has to do; the only place where the state changes."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return MoveAction.NONE
        self.state, action = transition
        self.history.append(self.state)
        return action

    @property
    def has_ended(self) -> bool:
        """Whether the move has ended."""
        return self.state in END_STATES

    def awaits_offer(self) -> bool:
        """Whether the player's offer is wanted now."""
        return self.state is MoveState.ASKED

    def pending_timeout(self) -> MoveEvent | None:
        """Returns the event of the timer that runs in this state; None if there is no timer."""
        return TIMEOUTS.get(self.state)
