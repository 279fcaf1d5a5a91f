"""Requests that come again under the same Idempotency-Key (draft-ietf-httpapi-idempotency-key-header-07).

A viewer whose connection broke does not know whether its playback runs. With its key it may ask again: while
the first request is at work, its viewer gone or not, it is told so (409); an answer that bound the fleet is given
again; and a request that ran nothing starts anew. A paid playback is so set up once however often its viewer asks, and
its answer is given again after its end too: the session that it names is then 404.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from oakcroft.decisions.sessions.answers import Final, Refusal


class Turn(Enum):
    """What to do with a request."""

    NEW = "begin"
    AGAIN = "give the first answer again"
    REFUSE = "refuse"


@dataclass
class Known:
    """What is remembered of one key."""

    about: str  # title, plan and a digest of the offer: the same request must have the same
    since: int
    paid: bool
    final: Final | None = None
    playing: bool = False
    answer: object = None
    given: bool = False  # again, to a request that came later


class Repeats:
    """The keys of one front, a bounded number of them, oldest forgotten first.

    When all places are taken, the oldest key goes that binds nothing: it has an answer, no running playback, and is not
    of a paid one that may have run. Where only others are left the new one is not remembered (`begin` says so): a free
    request is served all the same, for a full memory must not turn viewers away; a paid one must not be begun.
    """

    def __init__(self, most: int, keep: int) -> None:
        self.most, self.keep = most, keep
        self.known: OrderedDict[str, Known] = OrderedDict()
        self.loose: OrderedDict[str, None] = OrderedDict()  # those of them that bind nothing, oldest first

    def turn(self, key: str, about: str, now: int) -> tuple[Turn, Refusal | None, object]:
        """What a request with this key gets, and the refusal or the answer to give."""
        self._forget(now)
        known = self.known.get(key)
        if known is None:
            return Turn.NEW, None, None
        if known.about != about:
            return Turn.REFUSE, Refusal.KEY_REUSED, None
        if known.final is None:
            return Turn.REFUSE, Refusal.OUTSTANDING, None
        if self._again(known):
            known.given = known.given or known.final is Final.ABORTED
            return Turn.AGAIN, None, known.answer
        return Turn.NEW, None, None

    def answered(self, key: str) -> bool:
        """Whether an answer is remembered that a request with this key gets again."""
        known = self.known.get(key)
        return known is not None and self._again(known)

    @staticmethod
    def _again(known: Known) -> bool:
        """What plays, and what may have run of a paid plan, must not run again."""
        return (known.final is Final.PLAYS and (known.playing or known.paid)) or (
            known.final is Final.ABORTED and known.paid
        )

    def begin(self, key: str, about: str, paid: bool, now: int) -> bool:
        """A request with this key has become a playback; False where there is no place to remember it."""
        self._forget(now)
        self._drop(key)
        if len(self.known) >= self.most and not self._make_room():
            return False
        self.known[key] = Known(about, now, paid)
        return True

    def settled(self, key: str, final: Final, answer: object, now: int) -> None:
        """Its one answer has been given."""
        if known := self.known.get(key):
            known.final, known.answer, known.since = final, answer, now
            known.playing = final is Final.PLAYS
            self.known.move_to_end(key)
            self._loosen(key, known)

    def ended(self, key: str, answer: object, now: int) -> None:
        """The playback of this answer is over; a later request with the key of a free one is a new one. An earlier
        playback under the same key, whose end comes late, ends nothing of the later one."""
        known = self.known.get(key)
        if known is not None and known.playing and known.answer is answer:
            known.playing, known.since = False, now
            self.known.move_to_end(key)
            self._loosen(key, known)

    def recall(self, key: str, about: str, paid: bool, final: Final, answer: object, now: int) -> None:
        """An answer of an earlier life of this front."""
        if key not in self.known and (len(self.known) < self.most or self._make_room()):
            known = self.known[key] = Known(about, now, paid, final, final is Final.PLAYS, answer)
            self._loosen(key, known)

    def forget(self, key: str) -> bool:
        """What was promised under a key provably never ran: a request with it is a new one. False, and nothing changes,
        where its answer has been given again already."""
        known = self.known.get(key)
        if known is not None and known.given:
            return False
        self._drop(key)
        return True

    def _forget(self, now: int) -> None:
        while self.known:
            key, first = next(iter(self.known.items()))
            if first.final is None or first.playing:
                if now - first.since <= self.keep:
                    return
                first.since = now  # still at work: to the back of the queue
                self.known.move_to_end(key)
            elif now - first.since > self.keep:
                self._drop(key)
            else:
                return

    def _drop(self, key: str) -> None:
        self.known.pop(key, None)
        self.loose.pop(key, None)

    def _loosen(self, key: str, known: Known) -> None:
        self.loose.pop(key, None)
        if known.final is not None and not self._again(known):
            self.loose[key] = None

    def _make_room(self) -> bool:
        if not self.loose:
            return False
        self._drop(next(iter(self.loose)))
        return True
