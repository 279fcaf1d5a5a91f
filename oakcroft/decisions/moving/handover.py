"""State machine of one move: a playback leaves its node while it plays, by make before break.

`TRANSITIONS` defines the next state for every pair of state and event; at worst the playback goes on at its
source. What the front end has to do with a step is a `MoveAction`. tests/test_moves.py checks every reachable
state, with all faults.

The usual sequence is PLANNED, ASKED (the player was told to make an offer), PLACING (its offer has arrived,
admission control looks for a place and the set-up is sent), BESIDE (it plays on both nodes), SWITCHED (the
player has the target; the source is being ended), DONE. In STAYED it plays on at its source and the move is
over. In LOST it plays nowhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Course(Enum):
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


class Happening(Enum):
    """An event of a move."""

    DUE = "its time has come"
    OFFER = "the player makes its offer"
    NO_OFFER = "the player made no offer in time"
    PLACED = "the target plays"
    NO_PLACE = "no target was found, or its set-up failed"
    CONFIRMED = "the player plays from the target"
    UNCONFIRMED = "the player said nothing in time"
    SOURCE_ENDED = "the source has ended in order"
    SOURCE_DIED = "the source is lost"
    TARGET_DIED = "the target is lost"
    TAKEN_BACK = "the reason to move is gone"
    TARGET_DRAINS = "the target begins draining"
    VIEWER_LEFT = "the viewer has left"


class Act(Enum):
    """What the front end does with a step."""

    NOTHING = "nothing"
    ASK = "tell the player to make an offer"
    PLACE = "ask the module for a place"
    REFUSE = "answer the player's offer: stay"
    GIVE = "answer the player's offer: here is the target"
    END_SOURCE = "end the source"
    END_TARGET = "end the target"
    END_TARGET_AND_REFUSE = "end the target, answer the offer: stay"
    END_ALL = "end whatever plays"
    TELL_LOST = "tell the player that its playback ended"
    SWITCH = "the target is the playback now"
    GIVE_AS_ONLY = "answer the offer: here is the target; nothing else plays"


S, H, A = Course, Happening, Act
OVER = (S.DONE, S.STAYED, S.LOST)
TABLE: dict[tuple[Course, Happening], tuple[Course, Act]] = {
    # PLANNED: nothing has been done yet, so nothing has to be undone.
    (S.PLANNED, H.DUE): (S.ASKED, A.ASK),
    (S.PLANNED, H.SOURCE_DIED): (S.LOST, A.TELL_LOST),
    (S.PLANNED, H.SOURCE_ENDED): (S.LOST, A.NOTHING),
    (S.PLANNED, H.TAKEN_BACK): (S.STAYED, A.NOTHING),
    (S.PLANNED, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # ASKED: a player that does not support moves never answers; its playback stays.
    (S.ASKED, H.OFFER): (S.PLACING, A.PLACE),
    (S.ASKED, H.NO_OFFER): (S.STAYED, A.NOTHING),
    (S.ASKED, H.SOURCE_DIED): (S.LOST, A.TELL_LOST),
    (S.ASKED, H.SOURCE_ENDED): (S.LOST, A.NOTHING),
    (S.ASKED, H.TAKEN_BACK): (S.STAYED, A.NOTHING),
    (S.ASKED, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # PLACING: a set-up may have been sent, which cannot be undone, only awaited.
    (S.PLACING, H.PLACED): (S.BESIDE, A.GIVE),
    (S.PLACING, H.NO_PLACE): (S.STAYED, A.REFUSE),
    (S.PLACING, H.SOURCE_DIED): (S.ORPHANED, A.NOTHING),
    (S.PLACING, H.SOURCE_ENDED): (S.ORPHANED, A.NOTHING),
    (S.PLACING, H.TARGET_DIED): (S.STAYED, A.REFUSE),
    (S.PLACING, H.TAKEN_BACK): (S.RECALLED, A.NOTHING),
    (S.PLACING, H.TARGET_DRAINS): (S.RECALLED, A.NOTHING),
    (S.PLACING, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # RECALLED: if the target plays after all, it is ended, and the player stays.
    (S.RECALLED, H.PLACED): (S.STAYED, A.END_TARGET_AND_REFUSE),
    (S.RECALLED, H.NO_PLACE): (S.STAYED, A.REFUSE),
    (S.RECALLED, H.SOURCE_DIED): (S.ORPHANED, A.NOTHING),  # with the source gone, the target is wanted again
    (S.RECALLED, H.SOURCE_ENDED): (S.ORPHANED, A.NOTHING),
    (S.RECALLED, H.TARGET_DIED): (S.STAYED, A.REFUSE),
    (S.RECALLED, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # ORPHANED: if the target plays, it becomes the playback; otherwise the playback is lost.
    (S.ORPHANED, H.PLACED): (S.DONE, A.GIVE_AS_ONLY),
    (S.ORPHANED, H.NO_PLACE): (S.LOST, A.TELL_LOST),
    (S.ORPHANED, H.TARGET_DIED): (S.LOST, A.TELL_LOST),
    (S.ORPHANED, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # BESIDE: the player has the target's answer. No confirmation counts as one, or both would play for ever.
    (S.BESIDE, H.CONFIRMED): (S.SWITCHED, A.END_SOURCE),
    (S.BESIDE, H.UNCONFIRMED): (S.SWITCHED, A.END_SOURCE),
    (S.BESIDE, H.SOURCE_DIED): (S.DONE, A.SWITCH),
    (S.BESIDE, H.SOURCE_ENDED): (S.DONE, A.SWITCH),
    (S.BESIDE, H.TARGET_DIED): (S.STAYED, A.NOTHING),
    (S.BESIDE, H.TARGET_DRAINS): (S.STAYED, A.END_TARGET),
    (S.BESIDE, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
    # SWITCHED: the target is the playback, whatever becomes of the source.
    (S.SWITCHED, H.SOURCE_ENDED): (S.DONE, A.NOTHING),
    (S.SWITCHED, H.SOURCE_DIED): (S.DONE, A.NOTHING),
    (S.SWITCHED, H.TARGET_DIED): (S.LOST, A.TELL_LOST),
    (S.SWITCHED, H.VIEWER_LEFT): (S.LOST, A.END_ALL),
}
"""Next state and action by state and event.

Other pairs change nothing: late timers, second offers, drains of a node that was left already.
"""


@dataclass
class Handover:
    """One move. Only `handle` changes its state."""

    state: Course = Course.PLANNED
    way: list[Course] = field(default_factory=lambda: [Course.PLANNED])

    def happens(self, what: Happening) -> Act:
        """Applies an event and returns what the front end has to do; the only place where the state changes."""
        after = TABLE.get((self.state, what))
        if after is None:
            return Act.NOTHING
        self.state, act = after
        self.way.append(self.state)
        return act

    @property
    def over(self) -> bool:
        """Whether the move has ended."""
        return self.state in OVER

    def takes_offer(self) -> bool:
        """Whether the player's offer is wanted now."""
        return self.state is Course.ASKED

    def waits_for(self) -> Happening | None:
        """Returns the event of the timer that runs in this state; None if there is no timer."""
        return {Course.ASKED: Happening.NO_OFFER, Course.BESIDE: Happening.UNCONFIRMED}.get(self.state)
