"""Requests repeated under one Idempotency-Key (draft-ietf-httpapi-idempotency-key-header-07).

A viewer whose connection broke does not know whether its playback runs. With its key it may ask again. While
the first request is in progress, whether or not its viewer has gone, the repeat is answered with 409. An
answer that binds the fleet is given again. A request that ran nothing starts anew. So a paid playback is set
up once, however often its viewer asks. Its answer is given again even after its end, when the session that it
names is a 404.
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
    """What is kept of one key. `updated_at`: ns."""

    about: str  # title, plan and a digest of the offer; a repeat must have the same
    since: int
    paid: bool
    final: Final | None = None
    playing: bool = False
    answer: object = None
    given: bool = False  # to a later request


class Repeats:
    """The keys of one front end, a bounded number, oldest dropped first.

    When the store is full, the oldest key that binds nothing is evicted: it has an answer, no running
    playback, and is not of a paid request that may have run. If there is none, the new key is not kept, as
    `begin` reports. A free request is served all the same, since a full store must not reject viewers; a paid
    one must not be begun.
    """

    def __init__(self, most: int, keep: int) -> None:
        """Starts without keys. `retention`: how long a key is kept, ns."""
        self.most, self.keep = most, keep
        self.known: OrderedDict[str, Known] = OrderedDict()
        self.loose: OrderedDict[str, None] = OrderedDict()  # keys that bind nothing, oldest first

    def turn(self, key: str, about: str, now: int) -> tuple[Turn, Refusal | None, object]:
        """Decides on a request with a key; returns the refusal or the answer to give with it. `now`: ns."""
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
        """Whether a request with this key gets an answer that is kept."""
        known = self.known.get(key)
        return known is not None and self._again(known)

    @staticmethod
    def _again(known: Known) -> bool:
        """Whether a request must not run again: it plays, or is paid and may have run."""
        return (known.final is Final.PLAYS and (known.playing or known.paid)) or (
            known.final is Final.ABORTED and known.paid
        )

    def begin(self, key: str, about: str, paid: bool, now: int) -> bool:
        """A request with this key has become a playback; False if there is no room for the key. `now`: ns."""
        self._forget(now)
        self._drop(key)
        if len(self.known) >= self.most and not self._make_room():
            return False
        self.known[key] = Known(about, now, paid)
        return True

    def settled(self, key: str, final: Final, answer: object, now: int) -> None:
        """Keeps the final answer of a request. `now`: ns."""
        if known := self.known.get(key):
            known.final, known.answer, known.since = final, answer, now
            known.playing = final is Final.PLAYS
            self.known.move_to_end(key)
            self._loosen(key, known)

    def ended(self, key: str, answer: object, now: int) -> None:
        """The playback of an answer is over. `now`: ns.

        A later request with the key of a free playback is a new one. The end of an earlier playback under the
        same key may come late; it does not end the later one.
        """
        known = self.known.get(key)
        if known is not None and known.playing and known.answer is answer:
            known.playing, known.since = False, now
            self.known.move_to_end(key)
            self._loosen(key, known)

    def recall(self, key: str, about: str, paid: bool, final: Final, answer: object, now: int) -> None:
        """Restores an answer that an earlier process of this front end gave. `now`: ns."""
        if key not in self.known and (len(self.known) < self.most or self._make_room()):
            known = self.known[key] = Known(about, now, paid, final, final is Final.PLAYS, answer)
            self._loosen(key, known)

    def forget(self, key: str) -> bool:
        """Drops a key whose set-up provably never ran, so that a request with it is a new one.

        False, and nothing changes, if its answer has been given again already.
        """
        known = self.known.get(key)
        if known is not None and known.given:
            return False
        self._drop(key)
        return True

    def _forget(self, now: int) -> None:
        """Drops keys past their retention; those in progress or playing stay."""
        while self.known:
            key, first = next(iter(self.known.items()))
            if first.final is None or first.playing:
                if now - first.since <= self.keep:
                    return
                first.since = now  # still in progress or playing: moves to the end of the queue
                self.known.move_to_end(key)
            elif now - first.since > self.keep:
                self._drop(key)
            else:
                return

    def _drop(self, key: str) -> None:
        """Drops a key."""
        self.known.pop(key, None)
        self.loose.pop(key, None)

    def _loosen(self, key: str, known: Known) -> None:
        """Updates whether a key may be evicted."""
        self.loose.pop(key, None)
        if known.final is not None and not self._again(known):
            self.loose[key] = None

    def _make_room(self) -> bool:
        """Evicts the oldest key that may be; False if there is none."""
        if not self.loose:
            return False
        self._drop(next(iter(self.loose)))
        return True
