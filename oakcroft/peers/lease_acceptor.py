"""The lease acceptor of one front, with its record in the state file.

An answer is sent only after the state that it rests on is durable in the front's state file. If writing fails, the
acceptor sends nothing and so grants nothing.
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

from oakcroft.decisions.fleet.acceptor import MAX_LEASES, PEER_EPOCHS, LeaseAcceptor
from oakcroft.decisions.fleet.lease import LeaseAnswer, LeaseRequest, AcceptorRecord
from oakcroft.interface import MS, SECOND
from oakcroft.peerwire.errors import MessageError
from oakcroft.peerwire.lease_codec import ENCODER, LeaseCodec
from oakcroft.peerwire.lease_wire import RecordPart, WireLeaseRecord, record_from_wire, record_to_wire

RECORD_REQUEST_INTERVAL = SECOND // 2
"""Interval between two requests for the other acceptors' records, while this acceptor has lost its own."""

MAX_PENDING_SAVES = 64
"""Answers that wait for the disk; further messages are dropped, as any datagram may be."""

RECORD_NAME = "keeper"
"""Named value in the state file that holds the epoch, the other acceptors' epochs and the records of all leases, always
together."""

RECORD_DECODER = msgspec.msgpack.Decoder(tuple[int, list[tuple[str, int]], list[WireLeaseRecord]])


class NamedValueStore(Protocol):
    """The part of the state file that an acceptor needs."""

    async def save(self, name: str, value: bytes) -> bool:
        """Writes a named value durably; returns False if that is not known to have succeeded."""

    def held(self) -> tuple[dict[str, bytes], bool] | None:
        """Stored values, and whether they are the last that were written; None while the file cannot be read."""


class AcceptorHost:
    """Hosts an acceptor: passes messages to it, saves its record and sends its answers.

    `identity` returns this front's name and generation; `send` sends octets to a front by name.
    """

    def __init__(
        self,
        acceptor: LeaseAcceptor,
        store: NamedValueStore,
        codec: LeaseCodec,
        identity: Callable[[], tuple[str, int]],
        send: Callable[[str, bytes], None],
        dropped: Counter[str],
        log: structlog.typing.FilteringBoundLogger,
        now: int,
    ) -> None:
        """`store` is the state file; `dropped` counts messages dropped because too many saves were pending."""
        self.acceptor = acceptor
        self.store = store
        self.codec = codec
        self.identity = identity
        self.send = send
        self.dropped = dropped
        self.log = log
        self.nursery: trio.Nursery | None = None
        self.is_loaded = False
        self.is_record_writable = True
        self.pending_saves = 0
        self.active_writes = 0
        self.request_count = 0
        self.next_record_request_at = now
        self.record_parts: dict[str, dict[int, RecordPart]] = {}  # by acceptor, the parts received so far

    # Messages.

    def receive_request(self, sender: str, request: LeaseRequest, now: int) -> None:
        """Processes a candidate's request."""
        if not self.is_loaded or request.term.holder != sender:
            return
        self.request_count += 1
        answer = self.acceptor.handle_request(request, now)
        if answer is not None:
            self._when_saved(partial(self._send_answer, sender, answer))

    def _send_answer(self, receiver: str, answer: LeaseAnswer) -> None:
        with suppress(MessageError):  # a candidate whose name does not fit in a datagram gets no answer
            self.send(receiver, self.codec.encode_answer(*self.identity(), answer))

    def receive_record_request(self, sender: str, epoch: int) -> None:
        """Processes the request of another acceptor, which has lost its record, for this one's record."""
        if not self.is_loaded:
            return
        record = self.acceptor.record_for_peer(sender, epoch)
        if record is None:
            return
        if self.acceptor.has_full_record:
            self._when_saved(partial(self._send_record, sender, record))
        else:  # an incomplete record holds nothing that has to be durable first
            self._send_record(sender, record)

    def _send_record(self, receiver: str, record: AcceptorRecord) -> None:
        with suppress(MessageError):
            for part in self.codec.encode_record(*self.identity(), record):
                self.send(receiver, part)

    def receive_record_part(self, sender: str, part: RecordPart, now: int) -> None:
        """Processes one part of another acceptor's record. Raises MessageError if it is invalid."""
        acceptor = self.acceptor
        if acceptor.has_full_record or sender not in acceptor.acceptors:
            return
        if not 0 <= part.part_index < part.part_count <= MAX_LEASES:
            raise MessageError("malformed")
        parts = self.record_parts.setdefault(sender, {})
        if any(
            (known.epoch, known.has_full_record, known.part_count)
            != (part.epoch, part.has_full_record, part.part_count)
            for known in parts.values()
        ):
            parts.clear()
        parts[part.part_index] = part
        if len(parts) < part.part_count:
            return
        del self.record_parts[sender]
        records = tuple(
            (known.lease_record.lease_name, record_from_wire(known.lease_record))
            for known in parts.values()
            if known.lease_record is not None
        )
        if acceptor.receive_peer_record(
            AcceptorRecord(sender, part.epoch, part.has_full_record, records), now
        ):
            mute_ms = max(0, acceptor.silent_until - now) // MS
            self.log.info("keeper learnt", duties=len(acceptor.records), mute_ms=mute_ms)
            self._when_saved(lambda: None)

    # Record.

    def _when_saved(self, on_saved: Callable[[], object]) -> None:
        """Calls `on_saved` once the acceptor's record is durable; never if it cannot be written."""
        if self.nursery is None:
            return
        if not self.acceptor.unsaved and not self.active_writes:
            on_saved()
        elif self.pending_saves < MAX_PENDING_SAVES:
            self.pending_saves += 1
            self.nursery.start_soon(self._save, on_saved)
        else:
            self.dropped["too many to save"] += 1

    async def _save(self, on_saved: Callable[[], object]) -> None:
        """Writes the whole record each time, so that no part of it can be missing from a new state file."""
        acceptor = self.acceptor
        unsaved = acceptor.unsaved
        acceptor.unsaved = set()
        value = self._encode_record()
        is_saved = False
        self.active_writes += 1
        try:
            is_saved = acceptor.has_full_record and await self.store.save(RECORD_NAME, value)
        finally:
            self.pending_saves -= 1
            self.active_writes -= 1
            if not is_saved:
                acceptor.unsaved |= unsaved  # no answer that rests on these is sent until they are saved
        if is_saved is not self.is_record_writable and acceptor.has_full_record:
            self.is_record_writable = is_saved
            why = "on record again" if is_saved else "its record can't be written"
            self.log.warning("keeper", grants=is_saved, why=why)
        if is_saved:
            on_saved()

    def _encode_record(self) -> bytes:
        acceptor = self.acceptor
        records = [
            record_to_wire(lease_name, record) for lease_name, record in sorted(acceptor.records.items())
        ]
        return ENCODER.encode((acceptor.epoch, sorted(acceptor.peer_epochs.items()), records))

    def _load_record(self, now: int) -> None:
        """Loads the record, as soon as the state file can be read."""
        acceptor = self.acceptor
        stored = self.store.held()
        if stored is None:
            return
        values, is_latest = stored
        self.is_loaded = True
        try:
            epoch, peer_epochs, wire_records = RECORD_DECODER.decode(values[RECORD_NAME])
            records = {wire.lease_name: record_from_wire(wire) for wire in wire_records}
            acceptor.load_record(epoch, dict(peer_epochs), records, is_latest, now)
        except KeyError:
            pass  # this front was never an acceptor, or its record is lost
        except (msgspec.MsgspecError, MessageError) as error:
            self.log.error("keeper's record unreadable", why=str(error))
        if not acceptor.has_full_record:
            asks = len(acceptor.acceptors) - 1
            self.log.warning("keeper remembers nothing", asks=asks, mute_ms=acceptor.term_length // MS)

    # Time.

    def tick(self, now: int) -> None:
        """Loads the record once it can be read; while it is lost, requests the other acceptors' records."""
        if not self.is_loaded:
            self._load_record(now)
        if self.is_loaded and not self.acceptor.has_full_record and now >= self.next_record_request_at:
            self.next_record_request_at = now + RECORD_REQUEST_INTERVAL
            self._request_peer_records()

    def _request_peer_records(self) -> None:
        acceptor = self.acceptor
        _, acceptor.epoch = self.identity()
        if not acceptor.peers_to_ask():
            acceptor.peer_records.clear()  # all have answered, and it was not enough: ask all again
        for other in acceptor.peers_to_ask():
            self.send(other, self.codec.encode_record_request(*self.identity(), acceptor.epoch))
        if len(acceptor.acceptors) == 1:
            acceptor.has_full_record = True  # there is no other acceptor to ask
            acceptor.unsaved = {PEER_EPOCHS}

    def promised_token(self, lease_name: str) -> int | None:
        """Returns the highest fencing token promised for a lease; None if there is none."""
        record = self.acceptor.records.get(lease_name)
        return record.promised_token if record is not None else None

    def time_left_ms(self, lease_name: str, now: int) -> int | None:
        """Returns the milliseconds until the running term of a lease ends here; None if no term runs."""
        if self.acceptor.running_term(lease_name, now) is None:
            return None
        return (self.acceptor.running_until[lease_name] - now) // MS

    def status(self, now: int) -> dict[str, object]:
        """Returns the status for operators; the keys are an interface and do not change."""
        acceptor = self.acceptor
        return {
            "speaks": self.is_loaded and acceptor.can_answer(now),
            "sound": acceptor.has_full_record,
            "epoch": acceptor.epoch,
            "record": self.is_record_writable,
            "mute_ms": max(0, acceptor.silent_until - now) // MS,
            "asks": self.request_count,
            "waits_for": acceptor.peers_to_ask(),
            "epochs": dict(acceptor.peer_epochs),
        }
