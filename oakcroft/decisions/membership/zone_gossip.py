"""Dissemination of zone summaries: new contents are forwarded at once, and digests repair what forwarding missed.

Inside a zone and between delegates alike, a front that receives a newer content forwards it at once to a few random
others, and digests are reconciled periodically (push-pull as in Scuttlebutt, van Renesse et al. 2008). An author sends
its heartbeat to each zone directly, whether that zone is reachable or not, so that regions find each other after a
partition.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

from oakcroft.decisions.membership.messages import Address
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_directory import ZoneDirectory
from oakcroft.decisions.membership.zone_messages import (
    MAX_PAYLOAD_BYTES,
    ZoneDigest,
    ZoneMessage,
    OutgoingZoneMessage,
    ZoneRecords,
    ZoneRequest,
    entry_size,
    estimated_size,
    summary_size,
)
from oakcroft.decisions.membership.zone_summary import ZoneContact, ZoneSummary
from oakcroft.interface import MS, SECOND

LOCAL_DIGEST_INTERVAL = SECOND
"""Interval between digests to a random member of the own zone; a heartbeat reaches all of a zone of 85 in about seven
intervals."""

REMOTE_DIGEST_INTERVAL = 4 * SECOND
"""Interval between digests of a delegate to one of another zone, so that a zone is known even if only a third zone can
reach it."""

LOCAL_FANOUT = 3
REMOTE_FANOUT = 3
"""Number of receivers that a new content is forwarded to: with three, forwarding alone reaches about 94% (Kermarrec,
Massoulié and Ganesh 2003), and digests reach the rest."""

FORWARDING_TIME = SECOND
"""Time in which forwarding delivers most contents; a missing one is requested only after it."""

REQUEST_SPACING = 500 * MS
"""Minimum time between two requests for one zone's summary, which several members may offer at the same time."""

MAX_RECORD_DATAGRAMS = 3
"""Datagrams in answer to one request; the next digest brings the rest."""

T = TypeVar("T")


@dataclass
class LocalZone:
    """The own zone: addresses of the other present members, and whether this front acts as a delegate."""

    peers: Sequence[Address] = ()
    is_delegate: bool = False


@dataclass
class GossipCounters:
    """Counts of what was dropped, by reason. The field names appear in the status and do not change."""

    implausible: int = 0  # summaries and entries that no correct author could have written
    deferred: int = 0  # messages that the traffic budget did not allow


@dataclass
class OtherZones:
    """Configured seeds of the other zones."""

    seeds: dict[str, tuple[Address, ...]] = field(default_factory=dict)


class ZoneGossip:
    """Sends and processes the messages that disseminate zone summaries. Messages to send are in `outgoing`."""

    def __init__(
        self, directory: ZoneDirectory, others: OtherZones, budget: TrafficBudget, rng: Random, now: int
    ) -> None:
        """Intervals begin at random times, so that fronts that start together do not send at the same time."""
        self.directory = directory
        self.others = others
        self.budget = budget
        self.rng = rng
        self.local = LocalZone()
        self.outgoing: list[OutgoingZoneMessage] = []
        self.counts = GossipCounters()
        self._requested_at: dict[str, int] = {}
        self._offered_at: dict[str, int] = {}  # contents of known zones that are not held yet
        self._next_local_digest_at = now + rng.randrange(LOCAL_DIGEST_INTERVAL)
        self._next_remote_digest_at = now + rng.randrange(REMOTE_DIGEST_INTERVAL)

    # Time.

    def due(self) -> int:
        """The latest time by which `tick` must be called."""
        return min(self._next_local_digest_at, self._next_remote_digest_at)

    def tick(self, now: int) -> None:
        """Sends the digests that are due."""
        if now >= self._next_local_digest_at:
            self._next_local_digest_at = now + LOCAL_DIGEST_INTERVAL
            if self.local.peers:
                self._send_digest(self.rng.choice(self.local.peers))
        if now >= self._next_remote_digest_at:
            self._next_remote_digest_at = now + REMOTE_DIGEST_INTERVAL
            zones = self._other_zones()
            if zones and self.local.is_delegate:
                address = self._contact(self.rng.choice(zones))
                if address is not None:
                    self._send_digest(address)

    def _send_digest(self, address: Address) -> None:
        """Sends a full digest. It carries heartbeats, so it does not wait for the budget."""
        for entries in _packed(self.directory.digest(), entry_size):
            self._send(address, ZoneDigest(entries, wants_answer=True))

    # Publication.

    def publish(self, summary: ZoneSummary, now: int) -> None:
        """Publishes a summary of the own zone: forwards a new content, or sends a new heartbeat to each zone."""
        if self.directory.merge_summary(summary, now):
            # Heartbeats of a new content are not sent at once: each zone would then request it from this front.
            # Forwarding does not wait for the budget, since no other front has the content yet.
            for receiver in self._forward_addresses((summary,), None):
                self._send(receiver, ZoneRecords((summary,)))
            return
        for zone in self._other_zones():
            address = self._contact(zone)
            if address is not None:
                # Not charged: otherwise an author's heartbeats would leave it no budget for answers.
                self.outgoing.append(
                    OutgoingZoneMessage(address, ZoneDigest((summary.entry,), wants_answer=False))
                )

    # Received messages.

    def received_digest(
        self, sender: ZoneContact, message: ZoneDigest, latest_generation: int, now: int
    ) -> None:
        """Applies heartbeats, requests newer contents, and answers with the entries that are newer here."""
        entries = [entry for entry in message.entries if entry.is_plausible(latest_generation)]
        self.counts.implausible += len(message.entries) - len(entries)
        wanted = []
        for entry in entries:
            self.directory.advance(entry, now)
            if self.directory.is_newer_content(entry) and self._is_overdue(entry.zone, now):
                wanted.append(entry.zone)
        self._request(sender.address, wanted, now)
        if not message.wants_answer:
            return
        for newer in _packed(self.directory.newer_than(entries), entry_size):
            self.send_if_affordable(sender.address, ZoneDigest(newer, wants_answer=False))

    def received_request(self, sender: ZoneContact, message: ZoneRequest) -> None:
        """Sends the requested summaries, as far as the budget allows."""
        records = self.directory.records
        known = [records[zone].current for zone in dict.fromkeys(message.zones) if zone in records]
        for datagram_count, summaries in enumerate(_packed(known, summary_size)):
            if datagram_count >= MAX_RECORD_DATAGRAMS:
                break
            self.send_if_affordable(sender.address, ZoneRecords(summaries))

    def received_records(
        self, sender: ZoneContact, message: ZoneRecords, latest_generation: int, now: int
    ) -> list[ZoneSummary]:
        """Merges and forwards newer summaries; returns those of the own zone."""
        forwarded = []
        own = []
        for summary in message.summaries:
            if not summary.is_plausible(latest_generation):
                self.counts.implausible += 1
                continue
            is_first = summary.zone not in self.directory.records
            if not self.directory.merge_summary(summary, now):
                continue
            self._offered_at.pop(summary.zone, None)
            if summary.zone == self.directory.own_zone:
                own.append(summary)
            if self.local.is_delegate or not is_first:
                # A front that learns of a zone for the first time does not forward the summary, since others know it
                # already; only a delegate does.
                forwarded.append(summary)
        if forwarded:
            self._forward(forwarded, sender.address)
        return own

    # Sending.

    def _is_overdue(self, zone: str, now: int) -> bool:
        """Whether forwarding should have delivered a newer content by now; earlier, all zones would request it."""
        if zone not in self.directory.records:
            return True
        return now - self._offered_at.setdefault(zone, now) >= FORWARDING_TIME

    def _request(self, address: Address, zones: Iterable[str], now: int) -> None:
        due = [zone for zone in zones if now - self._requested_at.get(zone, now - SECOND) >= REQUEST_SPACING]
        if not due:
            return
        if self.send_if_affordable(address, ZoneRequest(tuple(due))):
            self._requested_at = {
                zone: at for zone, at in self._requested_at.items() if now - at < REQUEST_SPACING
            }
            self._requested_at.update(dict.fromkeys(due, now))

    def _forward(self, summaries: Sequence[ZoneSummary], except_for: Address) -> None:
        """Forwards new contents, as far as the budget allows."""
        for address in self._forward_addresses(summaries, except_for):
            for part in _packed(summaries, summary_size):
                self.send_if_affordable(address, ZoneRecords(part))

    def _forward_addresses(
        self, summaries: Sequence[ZoneSummary], except_for: Address | None
    ) -> list[Address]:
        """Random members of the own zone and, if this front is a delegate, of other zones."""
        peers = [address for address in self.local.peers if address != except_for]
        addresses = self.rng.sample(peers, min(LOCAL_FANOUT, len(peers)))
        if not self.local.is_delegate:
            return addresses
        described_zones = {summary.zone for summary in summaries}
        zones = [zone for zone in self._other_zones() if zone not in described_zones]
        chosen = self.rng.sample(zones, min(REMOTE_FANOUT, len(zones)))
        return addresses + [address for zone in chosen if (address := self._contact(zone)) is not None]

    def _other_zones(self) -> list[str]:
        own = self.directory.own_zone
        return sorted({*self.directory.records, *self.others.seeds} - {own})

    def _contact(self, zone: str) -> Address | None:
        """A random address of a zone: of its delegates, and of its seeds if the zone is unreachable or has none."""
        record = self.directory.records.get(zone)
        seeds = list(self.others.seeds.get(zone, ()))
        delegates = [delegate.address for delegate in record.summary.delegates] if record is not None else []
        is_silent = record is None or not record.is_reachable
        candidates = delegates + seeds if is_silent else delegates or seeds
        return self.rng.choice(candidates) if candidates else None

    def contacts(self, zone: str, limit: int) -> list[Address]:
        """Up to `limit` random addresses of a zone."""
        candidates = [self._contact(zone) for _ in range(2 * limit)]
        return list(dict.fromkeys(address for address in candidates if address is not None))[:limit]

    def _send(self, address: Address, message: ZoneMessage) -> None:
        self.budget.charge(estimated_size(message))
        self.outgoing.append(OutgoingZoneMessage(address, message))

    def send_each(self, addresses: Iterable[Address], message: ZoneMessage) -> None:
        """Sends a message to each address without waiting for the budget."""
        for address in addresses:
            self._send(address, message)

    def send_if_affordable(self, address: Address, message: ZoneMessage) -> bool:
        """Sends a deferrable message if the budget allows it; returns whether it was sent."""
        if not self.budget.spend(estimated_size(message)):
            self.counts.deferred += 1
            return False
        self.outgoing.append(OutgoingZoneMessage(address, message))
        return True


def _packed(items: Iterable[T], size_of: Callable[[T], int]) -> Iterator[tuple[T, ...]]:
    """Splits items into parts that each fit in one datagram, in order."""
    part: list[T] = []
    part_size = 0
    for item in items:
        item_size = size_of(item)
        if part and part_size + item_size > MAX_PAYLOAD_BYTES:
            yield tuple(part)
            part = []
            part_size = 0
        part.append(item)
        part_size += item_size
    if part:
        yield tuple(part)
