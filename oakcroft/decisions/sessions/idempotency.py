"""Requests repeated under one Idempotency-Key (draft-ietf-httpapi-idempotency-key-header-07).

A viewer whose connection broke does not know whether its playback runs, and may repeat its request with the
same key. While the first request is in progress, whether or not its viewer has gone, the repeat is answered
with 409. If the first request plays, or is paid and has or may have run, its answer is replayed; otherwise the
repeat is a new request. So a paid playback is set up once, however often its viewer repeats the request. Its
answer is replayed even after its end, when the session that it names is answered with 404.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from oakcroft.decisions.sessions.answers import FinalAnswer, Refusal


class KeyDecision(Enum):
    """What to do with a request."""

    NEW = "begin"
    REPLAY = "give the first answer again"
    REFUSE = "refuse"


@dataclass
class KeyRecord:
    """What is kept of one key. `updated_at`: ns."""

    fingerprint: str  # title, plan and a digest of the offer; must be the same in a repeated request
    updated_at: int
    is_paid: bool
    final_answer: FinalAnswer | None = None
    is_playing: bool = False
    answer: object = None
    was_replayed: bool = False  # whether an abort was replayed to a later request


class IdempotencyStore:
    """The keys of one front end, a bounded number, oldest dropped first.

    When the store is full, the oldest key whose answer need not be replayed is evicted: it has an answer, no
    running playback, and is not of a paid request that may have run. If there is none, `begin` returns False
    and the new key is not kept. A free request is served all the same, since a full store must not reject
    viewers; a paid one must not be started.
    """

    def __init__(self, capacity: int, retention: int) -> None:
        """Starts without keys. `retention`: how long a key is kept, ns."""
        self.capacity = capacity
        self.retention = retention
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.evictable: OrderedDict[str, None] = (
            OrderedDict()
        )  # keys whose answers need not be replayed, oldest first

    def decide(self, key: str, fingerprint: str, now: int) -> tuple[KeyDecision, Refusal | None, object]:
        """Decides on a request with a key; returns also the refusal, or the answer to replay. `now`: ns."""
        self._expire(now)
        record = self.records.get(key)
        if record is None:
            return KeyDecision.NEW, None, None
        if record.fingerprint != fingerprint:
            return KeyDecision.REFUSE, Refusal.KEY_REUSED, None
        if record.final_answer is None:
            return KeyDecision.REFUSE, Refusal.OUTSTANDING, None
        if self._must_replay(record):
            record.was_replayed = record.was_replayed or record.final_answer is FinalAnswer.ABORTED
            return KeyDecision.REPLAY, None, record.answer
        return KeyDecision.NEW, None, None

    def has_replay(self, key: str) -> bool:
        """Whether a request with this key gets the answer of an earlier one."""
        record = self.records.get(key)
        return record is not None and self._must_replay(record)

    @staticmethod
    def _must_replay(record: KeyRecord) -> bool:
        """Whether a request must not run again: it plays, or is paid and has or may have run."""
        return (record.final_answer is FinalAnswer.PLAYS and (record.is_playing or record.is_paid)) or (
            record.final_answer is FinalAnswer.ABORTED and record.is_paid
        )

    def begin(self, key: str, fingerprint: str, is_paid: bool, now: int) -> bool:
        """Keeps the key of a request that becomes a playback; False if there is no room for it. `now`: ns."""
        self._expire(now)
        self._drop(key)
        if len(self.records) >= self.capacity and not self._evict_oldest():
            return False
        self.records[key] = KeyRecord(fingerprint, now, is_paid)
        return True

    def record_answer(self, key: str, final: FinalAnswer, answer: object, now: int) -> None:
        """Keeps the final answer of a request. `now`: ns."""
        if record := self.records.get(key):
            record.final_answer = final
            record.answer = answer
            record.updated_at = now
            record.is_playing = final is FinalAnswer.PLAYS
            self.records.move_to_end(key)
            self._update_evictable(key, record)

    def playback_ended(self, key: str, answer: object, now: int) -> None:
        """Handles the end of the playback of an answer. `now`: ns.

        A later request with the key of a free playback is then a new one. A late end of an earlier playback
        under the same key does not end the later one.
        """
        record = self.records.get(key)
        if record is not None and record.is_playing and record.answer is answer:
            record.is_playing = False
            record.updated_at = now
            self.records.move_to_end(key)
            self._update_evictable(key, record)

    def restore(
        self, key: str, fingerprint: str, is_paid: bool, final: FinalAnswer, answer: object, now: int
    ) -> None:
        """Restores an answer that an earlier process of this front end gave. `now`: ns."""
        if key not in self.records and (len(self.records) < self.capacity or self._evict_oldest()):
            record = self.records[key] = KeyRecord(
                fingerprint, now, is_paid, final, final is FinalAnswer.PLAYS, answer
            )
            self._update_evictable(key, record)

    def forget(self, key: str) -> bool:
        """Drops a key whose set-up provably never ran, so that a request with it is a new one.

        Does nothing and returns False if its answer was replayed already.
        """
        record = self.records.get(key)
        if record is not None and record.was_replayed:
            return False
        self._drop(key)
        return True

    def _expire(self, now: int) -> None:
        """Drops keys past their retention, except for those in progress or playing."""
        while self.records:
            key, oldest = next(iter(self.records.items()))
            if oldest.final_answer is None or oldest.is_playing:
                if now - oldest.updated_at <= self.retention:
                    return
                oldest.updated_at = now  # still in progress or playing: moves to the end of the queue
                self.records.move_to_end(key)
            elif now - oldest.updated_at > self.retention:
                self._drop(key)
            else:
                return

    def _drop(self, key: str) -> None:
        """Removes a key, whether or not it may be evicted."""
        self.records.pop(key, None)
        self.evictable.pop(key, None)

    def _update_evictable(self, key: str, record: KeyRecord) -> None:
        """Updates whether a key may be evicted."""
        self.evictable.pop(key, None)
        if record.final_answer is not None and not self._must_replay(record):
            self.evictable[key] = None

    def _evict_oldest(self) -> bool:
        """Evicts the oldest evictable key; False if there is none."""
        if not self.evictable:
            return False
        self._drop(next(iter(self.evictable)))
        return True
