"""The lease acceptor of one front, with its record in the state file.

An answer leaves once what it rests on is durable in the front's state file; where that fails the acceptor says nothing,
and so grants nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Protocol

import msgspec
import structlog
import trio

from oakcroft.decisions.fleet.acceptor import MAX_LEASES, LeaseAcceptor
from oakcroft.decisions.fleet.lease import LeaseAnswer, LeaseRequest, AcceptorRecord
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import ENCODER, LeaseCodec
from oakcroft.peerwire.lease_wire import RecordPart, WireRow, row_from_wire, row_to_wire

RECORD_REQUEST_INTERVAL = SECOND // 2
"""Between two questions of an acceptor that remembers nothing."""

MAX_PENDING_SAVES = 64
"""Answers that wait for the disk; past it a message is dropped, as any datagram may be."""

RECORD_NAME = "keeper"
"""A fact of the state file: epoch, epochs and all rows, always together."""

EPOCHS = ""
"""Among what is unsaved, stands for the epochs of the other acceptors' records."""

RECORD_DECODER = msgspec.msgpack.Decoder(tuple[int, list[tuple[str, int]], list[WireRow]])


class NamedValueStore(Protocol):
    """The state file, as far as an acceptor needs it."""

    async def save(self, name: str, value: bytes) -> bool:
        """Puts a named value on record, synced; False where that is not known to have succeeded."""

    def held(self) -> tuple[dict[str, bytes], bool] | None:
        """What is on record, and whether it is the last that was written; None while the file can't be read."""


class AcceptorHost:
    """Hosts an acceptor: takes messages to it, keeps its record, and sends what it answers.

    `me` gives this front's name and generation, `send` takes octets to a front by name.
    """

    def __init__(
        self, acceptor: LeaseAcceptor, record: NamedValueStore, codec: LeaseCodec, me: Callable[[], tuple[str, int]],
        send: Callable[[str, bytes], None], dropped: Counter[str], log: structlog.typing.FilteringBoundLogger, now: int,
    ) -> None:  # fmt: skip
        """`record` is the state file; `dropped` counts what could not wait for it."""
        self.acceptor = acceptor
        self.record = record
        self.codec = codec
        self.me = me
        self.send = send
        self.dropped = dropped
        self.log = log
        self.nursery: trio.Nursery | None = None
        self.has_begun = False
        self.is_record_writable = True
        self.waiting_for_record = 0
        self.writing = 0
        self.asks = 0
        self.next_learn_at = now
        self.parts: dict[str, dict[int, RecordPart]] = {}  # by acceptor, what it has told so far

    # Messages.

    def receive_request(self, sender: str, ask: LeaseRequest, now: int) -> None:
        """A candidate's message."""
        if not self.has_begun or ask.term.holder != sender:
            return
        self.asks += 1
        answer = self.acceptor.handle_request(ask, now)
        if answer is not None:
            self._when_saved(partial(self._send_answer, sender, answer))

    def _send_answer(self, to: str, answer: LeaseAnswer) -> None:
        with suppress(MessageError):  # a name too long to fit: such a candidate gets nothing
            self.send(to, self.codec.encode_answer(*self.me(), answer))

    def receive_record_request(self, sender: str, epoch: int) -> None:
        """Another acceptor, which remembers nothing, asks what this one knows."""
        if not self.has_begun:
            return
        told = self.acceptor.record_for_peer(sender, epoch)
        if told is None:
            return
        if self.acceptor.has_full_record:
            self._when_saved(partial(self._send_learnt, sender, told))
        else:  # it has no record yet that anything could rest on
            self._send_learnt(sender, told)

    def _send_learnt(self, to: str, told: AcceptorRecord) -> None:
        with suppress(MessageError):
            for part in self.codec.encode_record(*self.me(), told):
                self.send(to, part)

    def receive_record_part(self, sender: str, part: RecordPart, now: int) -> None:
        """One part of what another acceptor tells. MessageError where it can't be one."""
        keeper = self.acceptor
        if keeper.has_full_record or sender not in keeper.acceptors:
            return
        if not 0 <= part.part < part.parts <= MAX_LEASES:
            raise MessageError("malformed")
        parts = self.parts.setdefault(sender, {})
        if any((p.epoch, p.sound, p.parts) != (part.epoch, part.sound, part.parts) for p in parts.values()):
            parts.clear()
        parts[part.part] = part
        if len(parts) < part.parts:
            return
        del self.parts[sender]
        rows = tuple((p.row.duty, row_from_wire(p.row)) for p in parts.values() if p.row is not None)
        if keeper.receive_peer_record(AcceptorRecord(sender, part.epoch, part.sound, rows), now):
            mute_ms = max(0, keeper.silent_until - now) // MS
            self.log.info("keeper learnt", duties=len(keeper.records), mute_ms=mute_ms)
            self._when_saved(lambda: None)

    # The record.

    def _when_saved(self, then: Callable[[], object]) -> None:
        """Does something once what the acceptor holds is on record; never where it can't be put there."""
        if self.nursery is None:
            return
        if not self.acceptor.unsaved and not self.writing:
            then()
        elif self.waiting_for_record < MAX_PENDING_SAVES:
            self.waiting_for_record += 1
            self.nursery.start_soon(self._save, then)
        else:
            self.dropped["too many to save"] += 1

    async def _save(self, then: Callable[[], object]) -> None:
        """All that the acceptor holds is written each time, so that no part of it can be missing from a new file."""
        keeper = self.acceptor
        duties, keeper.unsaved = keeper.unsaved, set()
        value = self._record_value()
        saved = False
        self.writing += 1
        try:
            saved = keeper.has_full_record and await self.record.save(RECORD_NAME, value)
        finally:
            self.waiting_for_record -= 1
            self.writing -= 1
            if not saved:
                keeper.unsaved |= duties  # until it is, nothing that rests on it leaves
        if saved is not self.is_record_writable and keeper.has_full_record:
            self.is_record_writable = saved
            why = "on record again" if saved else "its record can't be written"
            self.log.warning("keeper", grants=saved, why=why)
        if saved:
            then()

    def _record_value(self) -> bytes:
        keeper = self.acceptor
        rows = [row_to_wire(duty, row) for duty, row in sorted(keeper.records.items())]
        return ENCODER.encode((keeper.epoch, sorted(keeper.peer_epochs.items()), rows))

    def _begin(self, now: int) -> None:
        """Takes the record on once it can be read."""
        keeper = self.acceptor
        held = self.record.held()
        if held is None:
            return
        facts, whole = held
        self.has_begun = True
        try:
            epoch, epochs, words = RECORD_DECODER.decode(facts[RECORD_NAME])
            keeper.load_record(epoch, dict(epochs), {w.duty: row_from_wire(w) for w in words}, whole, now)
        except KeyError:
            pass  # it never was an acceptor, or all of it is lost
        except (msgspec.MsgspecError, MessageError) as error:
            self.log.error("keeper's record unreadable", why=str(error))
        if not keeper.has_full_record:
            asks = len(keeper.acceptors) - 1
            self.log.warning("keeper remembers nothing", asks=asks, mute_ms=keeper.term_length // MS)

    # Time.

    def tick(self, now: int) -> None:
        """Begins once the record can be read; asks the other acceptors while this one remembers nothing."""
        if not self.has_begun:
            self._begin(now)
        if self.has_begun and not self.acceptor.has_full_record and now >= self.next_learn_at:
            self.next_learn_at = now + RECORD_REQUEST_INTERVAL
            self._ask_others()

    def _ask_others(self) -> None:
        keeper = self.acceptor
        _, keeper.epoch = self.me()
        if not keeper.peers_to_ask():
            keeper.peer_records.clear()  # all have told, and it was not enough: anew
        for other in keeper.peers_to_ask():
            self.send(other, self.codec.encode_record_request(*self.me(), keeper.epoch))
        if len(keeper.acceptors) == 1:
            keeper.has_full_record = True  # nobody else to ask
            keeper.unsaved = {EPOCHS}

    def promised_token(self, duty: str) -> int | None:
        """The highest number promised for a lease; None where none was."""
        row = self.acceptor.records.get(duty)
        return row.promised_token if row is not None else None

    def time_left(self, duty: str, now: int) -> int | None:
        """Milliseconds that the running term of a lease has left here; None where none runs."""
        if self.acceptor.running_term(duty, now) is None:
            return None
        return (self.acceptor.running_until[duty] - now) // MS

    def status(self, now: int) -> dict[str, object]:
        """For operators."""
        keeper = self.acceptor
        return {
            "speaks": self.has_begun and keeper.can_answer(now),
            "sound": keeper.has_full_record,
            "epoch": keeper.epoch,
            "record": self.is_record_writable,
            "mute_ms": max(0, keeper.silent_until - now) // MS,
            "asks": self.asks,
            "waits_for": keeper.peers_to_ask(),
            "epochs": dict(keeper.peer_epochs),
        }
