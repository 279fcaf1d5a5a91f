"""Membership in two layers: the flat protocol inside a zone, and zone summaries between zones. No I/O.

Time is passed in with each call, and random numbers come from the generator given at the start. After each call the
host takes `outgoing`, `changes` and `lookup_results` and replaces them with empty lists. docs/membership.md describes
the design.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from oakcroft.decisions.membership.delegates import DelegateSelection
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.member_table import StateChange
from oakcroft.decisions.membership.membership import Membership
from oakcroft.decisions.membership.messages import Message, ReceivedMessage
from oakcroft.decisions.membership.paced_membership import PacedMembership
from oakcroft.decisions.membership.traffic_budget import TrafficBudget
from oakcroft.decisions.membership.zone_author import ZoneAuthor
from oakcroft.decisions.membership.zone_directory import RemoteState, ZoneChange, ZoneDirectory
from oakcroft.decisions.membership.zone_gossip import OtherZones, ZoneGossip
from oakcroft.decisions.membership.zone_lookup import LookupResult, ZoneLookups
from oakcroft.decisions.membership.zone_messages import (
    LookupAnswer,
    LookupRequest,
    MemberRecord,
    ZoneDigest,
    ZoneMessage,
    OutgoingZoneMessage,
    ZoneRecords,
    ZoneRequest,
)
from oakcroft.decisions.membership.zone_placement import ZonePlacement, ZoneStatus
from oakcroft.decisions.membership.zone_reporter import ZoneReporter, contact_of
from oakcroft.decisions.membership.zone_summary import ZoneContact
from oakcroft.interface import MS, SECOND

DELEGATE_START_DELAY = 10 * SECOND
"""Time from its start before a front acts as a delegate: when all start at once, each sees only itself and would rank
first."""

AUTHOR_INTERVAL = 500 * MS
"""Interval between checks whether this front is a delegate and has to author its zone's summary."""

CLOCK_TOLERANCE_US = 86_400 * 1_000_000
"""Bound by which a generation may be ahead of this front's clock: one day."""

NS_PER_US = 1_000

DIFFERENCE_TOLERANCE = 2 * SECOND
"""Time for which a front's members may differ from its zone's summary: gossip takes that long to reach all."""

LOOKUP_FANOUT = 2
"""Delegates that are asked for a member, in case one gives a false answer or has just failed."""


class ZonedMembership:
    """The membership of one front in a fleet of zones."""

    def __init__(
        self, own_update: MemberUpdate, secret: bytes, rng: Random, now: int, placement: ZonePlacement
    ) -> None:
        """`own_update.zone` is the own zone. Raises ValueError if it is among the other zones of `placement`."""
        if any(other.zone == own_update.zone for other in placement.others):
            raise ValueError(f"own zone {own_update.zone} is listed among the other zones")
        self.zone = own_update.zone
        self.started_at = now
        self.first_generation = own_update.generation
        self.budget = TrafficBudget(now)
        self.paced_membership = PacedMembership(own_update, secret, rng, now, placement.seeds, self.budget)
        seeds = {other.zone: other.addresses for other in placement.others}
        self.directory = ZoneDirectory(own_update.zone, seeds)
        self.gossip = ZoneGossip(self.directory, OtherZones(seeds), self.budget, rng, now)
        self.author = ZoneAuthor(contact_of(own_update), placement.region, now)
        self.reporter = ZoneReporter(self.local, self.author, now)
        self.selection = DelegateSelection(own_update.zone)
        self.lookups = ZoneLookups(rng)
        self.outgoing: list[Message | OutgoingZoneMessage] = []
        self.changes: list[StateChange | ZoneChange] = []
        self._processed_present: list[str] | None = None
        self._next_author_at = now + DELEGATE_START_DELAY
        self._apply_local_changes(now)

    # Queries.

    @property
    def local(self) -> Membership:
        """The flat membership of the own zone."""
        return self.paced_membership.membership

    @property
    def lookup_results(self) -> list[LookupResult]:
        """Results of finished lookups. The host takes the list and replaces it with an empty one."""
        return self.lookups.results

    @lookup_results.setter
    def lookup_results(self, results: list[LookupResult]) -> None:
        self.lookups.results = results

    def present(self) -> list[str]:
        """Present members of the own zone, including this front."""
        return self.local.present()

    def state_of(self, name: str) -> MemberState | None:
        """State of a member of the own zone; None if it is not known."""
        return self.local.state_of(name)

    def left_count(self) -> int:
        """Number of members of the own zone that have left with proof; only their rate shares are taken over."""
        return self.local.left_count()

    def full_state(self, known_to_peer: Sequence[MemberUpdate] | None = None) -> list[MemberUpdate]:
        """Updates to send in an exchange, within the traffic budget, which each call charges.

        The answering side passes the updates that it has received from the other.
        """
        return self.paced_membership.exchange_state(known_to_peer)

    def remote_state(self, zone: str, name: str) -> RemoteState:
        """State of a member of another zone."""
        return self.directory.state(zone, name)

    def zones(self) -> list[ZoneStatus]:
        """Status of the other known zones."""
        return [
            ZoneStatus(
                zone, record.summary.region, record.summary.counts, record.is_reachable, record.moved_at
            )
            for zone, record in sorted(self.directory.records.items())
            if zone != self.zone
        ]

    def rank(self, now: int) -> int | None:
        """This front's rank among its zone's delegates; None if it is not one or has just started."""
        if now - self.started_at < DELEGATE_START_DELAY or self.local.displaced or self.local.left:
            return None
        delegates = self.selection.delegates(self._clock(now))
        own_name = self.local.own_update.name
        return delegates.index(own_name) if own_name in delegates else None

    # Time.

    @property
    def due(self) -> int:
        """The latest time by which `tick` must be called."""
        times = [self.paced_membership.due, self.gossip.due(), self._next_author_at]
        times += [at for at in (self.directory.due(), self.lookups.due()) if at is not None]
        return min(times)

    def tick(self, now: int) -> None:
        """Performs everything that is due."""
        self.budget.advance(now)
        self.paced_membership.tick(now)
        if not self.local.left and not self.local.displaced:
            self.gossip.tick(now)
        if now >= self._next_author_at:
            self._next_author_at = now + AUTHOR_INTERVAL
            self._publish_summary(now)
            self._compare_with_summary(now)
        self.directory.tick(now)
        self.lookups.tick(now)
        self._apply_local_changes(now)

    def _publish_summary(self, now: int) -> None:
        rank = self.rank(now)
        self.gossip.local.is_delegate = rank is not None
        record = self.directory.records.get(self.zone)
        if not self.author.is_due(rank, record, now):
            return
        self.reporter.report_refuted(now)
        local = self.reporter.local_state(self.selection.delegates(self._clock(now)))
        summary = self.author.next_summary(local, record, now)
        if summary is not None:
            self.gossip.publish(summary, now)

    def _compare_with_summary(self, now: int) -> None:
        """Compares the members with the zone's summary, to detect updates that gossip failed to deliver here."""
        record = self.directory.records.get(self.zone)
        if record is None:
            return
        if self.reporter.differs_for(record.summary, now) >= DIFFERENCE_TOLERANCE:
            self.paced_membership.on_digest_mismatch(now)
        else:
            self.paced_membership.on_digest_match(now)

    # Received messages.

    def receive_message(self, message: ReceivedMessage, now: int) -> None:
        """Processes a datagram of the flat protocol."""
        self.budget.advance(now)
        self.paced_membership.receive_message(message, now)
        self._apply_local_changes(now)

    def accepts_exchange(self, now: int) -> bool:
        """Whether to answer an exchange now; if not, the stream is closed and the other side tries again."""
        self.budget.advance(now)
        return self.paced_membership.accepts_exchange()

    def receive_full_state(self, sender: MemberUpdate, updates: Sequence[MemberUpdate], now: int) -> None:
        """Merges another front's full state."""
        self.budget.advance(now)
        self.paced_membership.receive_full_state(sender, updates, now)
        self._apply_local_changes(now)

    def receive_zone_message(self, sender: ZoneContact, message: ZoneMessage, now: int) -> None:
        """Processes a datagram of the protocol between zones."""
        self.budget.advance(now)
        latest = self._latest_generation(now)
        if self.local.left or self.local.displaced or not sender.is_plausible(latest):
            return
        if isinstance(message, ZoneDigest):
            self.gossip.received_digest(sender, message, latest, now)
        elif isinstance(message, ZoneRequest):
            self.gossip.received_request(sender, message)
        elif isinstance(message, ZoneRecords):
            for summary in self.gossip.received_records(sender, message, latest, now):
                self.reporter.examine(summary, now)
        elif isinstance(message, LookupRequest):
            self._answer_lookup(sender, message)
        else:
            self.lookups.receive_answer(message)
        self._apply_local_changes(now)

    def lookup(self, zone: str, name: str, now: int) -> None:
        """Starts a lookup of a member of another zone; the result is added to `lookup_results`."""
        self.budget.advance(now)
        addresses = self.gossip.contacts(zone, LOOKUP_FANOUT)
        request = self.lookups.begin(zone, name, len(addresses), now)
        if request is not None:
            self.gossip.send_each(addresses, request)
        self._apply_local_changes(now)

    def leave(self, now: int) -> None:
        """Leaves the fleet with proof, as in the flat protocol."""
        self.local.leave()
        self._collect(now)

    def _answer_lookup(self, sender: ZoneContact, request: LookupRequest) -> None:
        """Answers from the own table, if the request is for this front's zone."""
        if request.zone != self.zone:
            return
        member = self.local.members.get(request.name)
        found = None
        if member is not None:
            known = member.latest
            found = MemberRecord(
                known.name, known.generation, known.incarnation, known.state, known.host, known.port
            )
        answer = LookupAnswer(request.number, request.zone, request.name, found)
        self.gossip.send_if_affordable(sender.address, answer)

    def _clock(self, now: int) -> int:
        """Clock time in microseconds, comparable with generations: this front's generation plus its uptime."""
        own = max(self.first_generation, self.local.own_update.generation)
        return own + (now - self.started_at) // NS_PER_US

    def _latest_generation(self, now: int) -> int:
        """The latest plausible generation. A front whose clock is behind rejects others, which affects only itself."""
        return self._clock(now) + CLOCK_TOLERANCE_US

    # Effects of each call.

    def _apply_local_changes(self, now: int) -> None:
        """Passes changes of the flat membership on to the zone layer, and collects messages and changes."""
        present = self.local.present()
        if present is not self._processed_present:
            self._processed_present = present
            own_name = self.local.own_update.name
            members = self.local.members
            self.selection.observe({name: members[name].latest.generation for name in present})
            self.gossip.local.peers = [members[name].latest.address for name in present if name != own_name]
        for change in self.local.changes:
            self.reporter.record_change(change, now)
        self._collect(now)

    def _collect(self, now: int) -> None:
        self.changes += self.local.changes
        self.local.changes = []
        self.changes += self.directory.changes
        self.directory.changes = []
        self.paced_membership.collect(now)
        self.outgoing += self.paced_membership.outgoing
        self.paced_membership.outgoing = []
        self.outgoing += self.gossip.outgoing
        self.gossip.outgoing = []
