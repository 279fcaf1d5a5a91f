"""How summaries of zones get round: eager forwarding of new contents, and digests that repair what it missed.

Inside a zone and between delegates alike, who takes a newer content forwards it at once to a few others
chosen at random, and digests are reconciled at a steady pace (push-pull as in Scuttlebutt, van Renesse and
others 2008). An author tells its heartbeat to each zone directly, whether that zone is reachable or not:
this is what finds a region again after a partition."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

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
from oakcroft.decisions.membership.zone_summary import DigestEntry, ZoneContact, ZoneSummary
from oakcroft.interface import MS, SECOND

LOCAL_DIGEST_INTERVAL = SECOND
"""Between two digests to a member of the own zone: a heartbeat gets through a zone of 85 in some seven of
them."""

REMOTE_DIGEST_INTERVAL = 4 * SECOND
"""Between two digests of a delegate to a delegate of another zone. Guards a zone that only a third one can
reach."""

LOCAL_FANOUT = 3
REMOTE_FANOUT = 3
"""To how many a new content is forwarded: with three, some 94% are reached by forwarding alone (Kermarrec,
Massoulié and Ganesh 2003), digests reach the rest."""

FORWARDING_TIME = SECOND
"""In which forwarding brings most contents; only then one is asked for."""

REQUEST_SPACING = 500 * MS
"""Between two requests for one zone's summary: several members may offer it in one moment."""

MAX_RECORD_DATAGRAMS = 3
"""In answer to one request; the rest waits for the next digest."""


@dataclass
class LocalZone:
    """What the gossip needs to know of the own zone: addresses of the other present members, and whether
    this front acts as a delegate."""

    peers: Sequence[Address] = ()
    is_delegate: bool = False


@dataclass
class GossipCounters:
    """What was dropped, and why."""

    implausible: int = 0  # summaries and entries that no author could have written
    deferred: int = 0  # messages that waited for tokens


@dataclass
class OtherZones:
    """Configured seeds of the other zones."""

    seeds: dict[str, tuple[Address, ...]] = field(default_factory=dict)


class ZoneGossip:
    """Whom one front sends what about zones, and when. Messages to be sent stand in `out`."""

    def __init__(
        self, directory: ZoneDirectory, others: OtherZones, budget: TrafficBudget, rng: Random, now: int
    ) -> None:
        """Intervals begin at random, so that fronts that start together do not send together."""
        self.directory = directory
        self.others = others
        self.budget = budget
        self.rng = rng
        self.local = LocalZone()
        self.out: list[OutgoingZoneMessage] = []
        self.counts = GossipCounters()
        self._requested_at: dict[str, int] = {}
        self._offered_at: dict[str, int] = {}  # contents of known zones that are not held yet
        self._next_local_digest_at = now + rng.randrange(LOCAL_DIGEST_INTERVAL)
        self._next_remote_digest_at = now + rng.randrange(REMOTE_DIGEST_INTERVAL)

    # Time.

    def due(self) -> int:
        """When `tick` has something to do at the latest."""
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
        """A whole digest. It carries heartbeats, so it does not wait for tokens."""
        for entries in _packed(self.directory.digest()):
            self._send(address, ZoneDigest(entries, wants_answer=True))

    # What this front authors.

    def publish(self, summary: ZoneSummary, now: int) -> None:
        """A summary of the own zone by this front: a new content is forwarded, a heartbeat told to each
        zone."""
        if self.directory.merge_summary(summary, now):
            # Forwarding has a head start: told of a new content at once, each zone would ask this front for it.
            # It goes without tokens: nobody else could tell it.
            for receiver in self._forward_addresses((summary,), None):
                self._send(receiver, ZoneRecords((summary,)))
            return
        for zone in self._other_zones():
            address = self._contact(zone)
            if address is not None:
                # Not charged: an author's heartbeats would leave it no tokens to answer with.
                self.out.append(
                    OutgoingZoneMessage(address, ZoneDigest((summary.entry,), wants_answer=False))
                )

    # What is received.

    def received_digest(
        self, sender: ZoneContact, message: ZoneDigest, latest_generation: int, now: int
    ) -> None:
        """Heartbeats are taken, newer contents asked for, and what is newer here is answered."""
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
        for newer in _packed(self.directory.newer_than(entries)):
            self.send_if_affordable(sender.address, ZoneDigest(newer, wants_answer=False))

    def received_request(self, sender: ZoneContact, message: ZoneRequest) -> None:
        """Summaries that the sender asks for, as far as tokens reach."""
        known = [
            self.directory.records[z].current
            for z in dict.fromkeys(message.zones)
            if z in self.directory.records
        ]
        for datagrams, summaries in enumerate(_packed_summaries(known)):
            if datagrams >= MAX_RECORD_DATAGRAMS:
                break
            self.send_if_affordable(sender.address, ZoneRecords(summaries))

    def received_records(
        self, sender: ZoneContact, message: ZoneRecords, latest_generation: int, now: int
    ) -> list[ZoneSummary]:
        """Summaries are taken where they are newer, and forwarded; returns those of the own zone."""
        fresh = []
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
                # A newcomer's first look at each zone is news to nobody else, unless it speaks for its zone.
                fresh.append(summary)
        if fresh:
            self._forward(fresh, sender.address)
        return own

    # Sending.

    def _is_overdue(self, zone: str, now: int) -> bool:
        """Whether a newer content should have come by forwarding. Guards an author, whom each zone would ask
        at once."""
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
        """New contents, at once, as far as tokens reach."""
        for address in self._forward_addresses(summaries, except_for):
            for part in _packed_summaries(summaries):
                self.send_if_affordable(address, ZoneRecords(part))

    def _forward_addresses(
        self, summaries: Sequence[ZoneSummary], except_for: Address | None
    ) -> list[Address]:
        """Some members of the own zone and, from a delegate, some other zones."""
        peers = [address for address in self.local.peers if address != except_for]
        addresses = self.rng.sample(peers, min(LOCAL_FANOUT, len(peers)))
        if not self.local.is_delegate:
            return addresses
        told_of = {summary.zone for summary in summaries}
        zones = [zone for zone in self._other_zones() if zone not in told_of]
        chosen = self.rng.sample(zones, min(REMOTE_FANOUT, len(zones)))
        return addresses + [address for zone in chosen if (address := self._contact(zone)) is not None]

    def _other_zones(self) -> list[str]:
        own = self.directory.own_zone
        return sorted({*self.directory.records, *self.others.seeds} - {own})

    def _contact(self, zone: str) -> Address | None:
        """One address to speak to a zone: of its delegates, or of its seeds where they are not known or are
        silent."""
        record = self.directory.records.get(zone)
        seeds = list(self.others.seeds.get(zone, ()))
        delegates = [delegate.address for delegate in record.summary.delegates] if record is not None else []
        is_silent = record is None or not record.is_reachable
        candidates = delegates + seeds if is_silent else delegates or seeds
        return self.rng.choice(candidates) if candidates else None

    def contacts(self, zone: str, most: int) -> list[Address]:
        """Some addresses to ask a zone's delegates at."""
        candidates = [self._contact(zone) for _ in range(2 * most)]
        return list(dict.fromkeys(address for address in candidates if address is not None))[:most]

    def _send(self, address: Address, message: ZoneMessage) -> None:
        self.budget.charge(estimated_size(message))
        self.out.append(OutgoingZoneMessage(address, message))

    def send_each(self, addresses: Iterable[Address], message: ZoneMessage) -> None:
        """A message that does not wait, to each address."""
        for address in addresses:
            self._send(address, message)

    def send_if_affordable(self, address: Address, message: ZoneMessage) -> bool:
        """A message that can wait; whether it was sent."""
        if not self.budget.spend(estimated_size(message)):
            self.counts.deferred += 1
            return False
        self.out.append(OutgoingZoneMessage(address, message))
        return True


def _packed(entries: Iterable[DigestEntry]) -> Iterator[tuple[DigestEntry, ...]]:
    """Entries, as many to a datagram as fit."""
    part: list[DigestEntry] = []
    size = 0
    for entry in entries:
        if part and size + entry_size(entry) > MAX_PAYLOAD_BYTES:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += entry_size(entry)
    if part:
        yield tuple(part)


def _packed_summaries(summaries: Iterable[ZoneSummary]) -> Iterator[tuple[ZoneSummary, ...]]:
    """Summaries, as many to a datagram as fit."""
    part: list[ZoneSummary] = []
    size = 0
    for summary in summaries:
        if part and size + summary_size(summary) > MAX_PAYLOAD_BYTES:
            yield tuple(part)
            part, size = [], 0
        part.append(summary)
        size += summary_size(summary)
    if part:
        yield tuple(part)
